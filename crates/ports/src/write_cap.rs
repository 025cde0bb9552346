//! Client-side cap on the rate of writes to the platform's store.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{self, Instant};

/// Spaces writes so that no second has more writes than the cap plus the burst. The platform serves
/// a few hundred writes a second to all its clients together; beyond that it is slow for all of them.
#[derive(Debug)]
pub struct WriteCap {
    per_second: u32,
    state: Mutex<CapState>,
}

#[derive(Debug)]
struct CapState {
    /// When the next write is due if all writes are evenly spaced.
    due: Instant,
    /// Start times of the writes of the last second.
    recent: VecDeque<Instant>,
}

/// How far writes may run ahead of their even spacing.
const BURST: Duration = Duration::from_millis(250);

/// Period to which the cap applies and over which its use is measured.
const CAP_PERIOD: Duration = Duration::from_secs(1);

impl WriteCap {
    /// Creates a cap of `per_second` writes a second, at least one.
    pub fn new(per_second: u32) -> WriteCap {
        let state = CapState { due: Instant::now(), recent: VecDeque::new() };
        metrics::gauge!("almondpass_store_write_cap_per_second").set(f64::from(per_second));
        WriteCap { per_second: per_second.max(1), state: Mutex::new(state) }
    }

    /// Waits until the next write may be made. Returns `None` at once if that would be after `expires`.
    pub async fn acquire(&self, expires: Instant) -> Option<()> {
        let start_at = self.reserve(expires)?;
        time::sleep_until(start_at).await;
        Some(())
    }

    /// Share of the cap used in the last second, from 0 to slightly over 1.
    pub fn used_ratio(&self) -> f64 {
        let mut state = self.lock();
        state.drop_older_than_period(Instant::now());
        state.recent.len() as f64 / f64::from(self.per_second)
    }

    fn reserve(&self, expires: Instant) -> Option<Instant> {
        let now = Instant::now();
        let mut state = self.lock();
        let due = state.due.max(now);
        let start_at = due.checked_sub(BURST).map_or(now, |it| it.max(now));
        if expires < start_at {
            return None;
        }
        state.due = due + CAP_PERIOD / self.per_second;
        state.drop_older_than_period(now);
        state.recent.push_back(start_at);
        Some(start_at)
    }

    fn lock(&self) -> MutexGuard<'_, CapState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CapState {
    fn drop_older_than_period(&mut self, now: Instant) {
        while self.recent.front().is_some_and(|it| *it + CAP_PERIOD <= now) {
            self.recent.pop_front();
        }
    }
}
