//! How many workers are kept empty for urgent work that has not come yet.
//!
//! Urgent work has to start within a second, and stopping other work takes up to one. What it uses
//! already comes free as it ends, and serves what comes next; beside that its use varies. Jobs come
//! one by one, each with the accelerators that it uses, so that the variance of their use is the mean
//! sum of the squares of these: in proportion to its mean the use of many jobs varies less than that
//! of few. Room in proportion to the mean kept 880 of 1,100 workers empty on days of high load, and the
//! least urgent class waited 38 s at the median, next to 300 empty workers.

use std::time::Duration;

use crate::room;

/// Time over which the use by urgent work is averaged.
const MEMORY: Duration = Duration::from_secs(8);

/// Standard deviations of the use that one share of the headroom covers.
const SPREADS: f64 = 2.5;

/// Deviation that is assumed before anything is known, as a share of all accelerators. It fades like
/// any other.
const FIRST_SHARE: f64 = 0.1;

/// Most workers kept empty, as a share of all.
const MOST_SHARE: f64 = 0.4;

/// How much the use of accelerators by urgent work varies.
#[derive(Clone, Copy, Debug, Default)]
pub struct UrgentHeadroom {
    variance: f64,
    seen_at: Option<Duration>,
}

impl UrgentHeadroom {
    /// Takes in the accelerators that each urgent job uses now, of `all`.
    pub fn observe(&mut self, used: impl Iterator<Item = u32>, all: u32, now: Duration) {
        let Some(seen_at) = self.seen_at.replace(now) else {
            self.variance = (FIRST_SHARE * f64::from(all)).powi(2);
            return;
        };
        let squares = used.map(|it| f64::from(it).powi(2)).sum::<f64>();
        let elapsed = now.saturating_sub(seen_at);
        let weight = 1.0 - (-elapsed.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.variance += weight * (squares - self.variance);
    }

    /// Workers of `each` to keep empty of `n_workers`.
    pub fn n_workers(&self, each: room::Room, n_workers: usize) -> usize {
        let needed = SPREADS * self.variance.sqrt() / f64::from(each.accelerators.max(1));
        needed.min(MOST_SHARE * n_workers as f64) as usize
    }
}
