//! Our own cap on writes to the platform's store.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{self, Instant};

/// Spaces writes so that no second sees more than the cap, give or take the burst. The platform
/// serves a few hundred writes a second to everybody; past that it is slow for all.
#[derive(Debug)]
pub struct WriteCap {
    per_second: u32,
    state: Mutex<CapState>,
}

#[derive(Debug)]
struct CapState {
    /// When the next write would be due if all were evenly spaced.
    due: Instant,
    /// Writes of the last second.
    recent: VecDeque<Instant>,
}

/// Writes may run ahead of their even spacing by this much.
const BURST: Duration = Duration::from_millis(250);

/// Span over which the use is measured.
const MEASURED: Duration = Duration::from_secs(1);

impl WriteCap {
    /// Allows `per_second` writes a second, one at least.
    pub fn new(per_second: u32) -> WriteCap {
        let state = CapState { due: Instant::now(), recent: VecDeque::new() };
        metrics::gauge!("almondpass_store_write_cap_per_second").set(f64::from(per_second));
        WriteCap { per_second: per_second.max(1), state: Mutex::new(state) }
    }

    /// Takes the next write's turn; `None` where it would come after `expires`.
    pub async fn acquire(&self, expires: Instant) -> Option<()> {
        let turn = self.reserve(expires)?;
        time::sleep_until(turn).await;
        Some(())
    }

    /// Share of the cap that the last second used, from 0 to a little over 1.
    pub fn used(&self) -> f64 {
        let mut state = self.lock();
        state.forget(Instant::now());
        state.recent.len() as f64 / f64::from(self.per_second)
    }

    fn reserve(&self, expires: Instant) -> Option<Instant> {
        let now = Instant::now();
        let mut state = self.lock();
        let due = state.due.max(now);
        let turn = due.checked_sub(BURST).map_or(now, |it| it.max(now));
        if expires < turn {
            return None;
        }
        state.due = due + MEASURED / self.per_second;
        state.forget(now);
        state.recent.push_back(turn);
        Some(turn)
    }

    fn lock(&self) -> MutexGuard<'_, CapState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CapState {
    fn forget(&mut self, now: Instant) {
        while self.recent.front().is_some_and(|it| *it + MEASURED <= now) {
            self.recent.pop_front();
        }
    }
}
