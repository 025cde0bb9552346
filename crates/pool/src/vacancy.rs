//! How long the tenure stays free: the waits before an instance acquires it, and what they add up to.
//!
//! An instance leaves a free tenure to others for a while: a weak one to stronger ones, and one that has not served
//! its last tenures to those that may. Both waits pass at the same time, and neither is longer than any other
//! instance needs to acquire the tenure.

use std::time::Duration;

use crate::settings;

/// Share of a watch interval over which the reads of different instances are spread.
pub(crate) const MAX_SPREAD_SHARE: f64 = 0.3;

/// Time within which each other early contender has read the tenure's row.
pub(crate) fn two_watch_intervals(timing: &settings::TenureTiming) -> Duration {
    2 * spread(timing.watch_interval)
}

/// How long a free tenure is left to stronger instances. The holder's work grows with the number of workers: at 350
/// workers it took nine tenths of the 0.12 cores of the weakest instances, and renewals and polls of workers came
/// late.
pub(crate) fn weaker_delay(timing: &settings::TenureTiming, is_early_contender: bool) -> Duration {
    // The stronger instances may all be gone but for those that read the row as rarely as this one.
    if is_early_contender { timing.weaker_delay } else { 2 * timing.weaker_delay }
}

/// How long an instance leaves a free tenure to others that are up after `n_unserved` tenures in a row that were not
/// served. It doubles with each of them, as weaker instances, and those that read the row rarely, acquire the tenure
/// later than others, until it is as long as any of these takes.
pub fn unserved_delay(timing: &settings::TenureTiming, n_unserved: u32) -> Duration {
    let Some(n_doublings) = n_unserved.checked_sub(1) else { return Duration::ZERO };
    let factor = 1_u32.checked_shl(n_doublings).unwrap_or(u32::MAX);
    two_watch_intervals(timing).saturating_mul(factor).min(longest_takeover(timing))
}

/// Time within which every instance that is up and leaves the tenure to stronger ones alone has acquired it, once it
/// is free.
pub fn longest_takeover(timing: &settings::TenureTiming) -> Duration {
    spread(timing.rare_watch_interval) + weaker_delay(timing, false) + spread(timing.watch_interval)
}

/// Longest time from the last renewal of a tenure until another instance has sent its write to acquire it, while the
/// store answers, if that instance waits as long as any may.
pub fn longest_vacancy(timing: &settings::TenureTiming) -> Duration {
    let read_within = spread(timing.rare_watch_interval);
    read_within + timing.term + longest_takeover(timing)
}

fn spread(interval: Duration) -> Duration {
    interval.mul_f64(1.0 + MAX_SPREAD_SHARE)
}
