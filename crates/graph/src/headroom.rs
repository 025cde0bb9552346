//! How many workers are kept empty for urgent work that has not come yet.
//!
//! Urgent work has to start within a second, and stopping other work takes up to one. So what it
//! is likely to need next is kept free of other work, as far as urgent work was seen lately.

use std::time::Duration;

use crate::room;

/// Time over which the use by urgent work is averaged.
const MEMORY: Duration = Duration::from_secs(8);

/// Share of the mean use that is kept free beside it: urgent work comes in gangs, a few a second.
const SHARE: f64 = 1.4;

/// Use that is assumed before anything is known, as a share of all accelerators. It fades like any
/// other.
const FIRST_SHARE: f64 = 0.2;

/// Most workers kept empty, as a share of all.
const MOST_SHARE: f64 = 0.4;

/// The use of accelerators by urgent work, averaged.
#[derive(Clone, Copy, Debug, Default)]
pub struct UrgentHeadroom {
    mean: f64,
    seen_at: Option<Duration>,
}

impl UrgentHeadroom {
    /// Takes in that urgent work uses `used` of `all` accelerators now.
    pub fn observe(&mut self, used: u32, all: u32, now: Duration) {
        let Some(seen_at) = self.seen_at.replace(now) else {
            self.mean = FIRST_SHARE * f64::from(all);
            return;
        };
        let elapsed = now.saturating_sub(seen_at);
        let weight = 1.0 - (-elapsed.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.mean += weight * (f64::from(used) - self.mean);
    }

    /// Workers of `each` to keep empty of `n_workers`.
    pub fn n_workers(&self, each: room::Room, n_workers: usize) -> usize {
        let needed = SHARE * self.mean / f64::from(each.accelerators.max(1));
        needed.min(MOST_SHARE * n_workers as f64) as usize
    }
}
