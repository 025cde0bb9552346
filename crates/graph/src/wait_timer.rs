//! Times at which the wait of a job is logged.

use std::time::Duration;

/// Time after which a wait is first logged. Later intervals grow, because hundreds of jobs wait when there is
/// more work than capacity.
const FIRST_LOGGED_AFTER: Duration = Duration::from_secs(1);

/// Factor between successive intervals.
const INTERVAL_FACTOR: u32 = 4;

/// Longest interval, so that an endless wait stays visible in the log.
const MAX_INTERVAL: Duration = Duration::from_secs(60);

/// Start of a job's wait, and the time at which it is next logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitTimer {
    since: Duration,
    due: Duration,
    interval: Duration,
    /// Whether this wait was counted as starved.
    pub is_counted_starved: bool,
}

impl WaitTimer {
    /// Starts a wait at `now`.
    pub fn new(now: Duration) -> WaitTimer {
        WaitTimer {
            since: now,
            due: now + FIRST_LOGGED_AFTER,
            interval: FIRST_LOGGED_AFTER,
            is_counted_starved: false,
        }
    }

    /// Start of the wait.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Whether the wait is due to be logged.
    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.due
    }

    /// Schedules the next log line after the wait was logged at `now`.
    pub fn note_reported(&mut self, now: Duration) {
        self.interval = (self.interval * INTERVAL_FACTOR).min(MAX_INTERVAL);
        self.due = now + self.interval;
    }
}
