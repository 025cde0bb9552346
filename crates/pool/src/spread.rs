//! Spreads what all instances do at the same interval.

use std::time::Duration;

use xxhash_rust::xxh3;

/// The interval, lengthened by up to `max_share` of it: by a share that is derived from the instance's name.
pub(crate) fn lengthen(instance: &str, interval: Duration, max_share: f64) -> Duration {
    let share = (xxh3::xxh3_64(instance.as_bytes()) % 1_000) as f64 / 1_000.0;
    interval.mul_f64(1.0 + max_share * share)
}
