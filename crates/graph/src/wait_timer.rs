//! When a job that waits is told of.

use std::time::Duration;

/// A job that waits is told of after this, and again after four times as long, and so on: jobs wait by the
/// hundred where there is more work than room.
const FIRST_TOLD_AFTER: Duration = Duration::from_secs(1);

/// Factor between two times at which a wait is told of.
const TOLD_AGAIN_FACTOR: u32 = 4;

/// A wait is told of this often at the least, so that one without end stays in sight.
const LONGEST_SILENCE: Duration = Duration::from_secs(60);

/// Since when a job waits, and what was told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitTimer {
    since: Duration,
    due: Duration,
    interval: Duration,
    /// Whether it was counted as left standing.
    pub is_counted_starved: bool,
}

impl WaitTimer {
    /// A wait that begins now.
    pub fn new(now: Duration) -> WaitTimer {
        WaitTimer {
            since: now,
            due: now + FIRST_TOLD_AFTER,
            interval: FIRST_TOLD_AFTER,
            is_counted_starved: false,
        }
    }

    /// Since when the job waits.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Whether the wait is to be told of now.
    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.due
    }

    /// The wait was told of.
    pub fn note_reported(&mut self, now: Duration) {
        self.interval = (self.interval * TOLD_AGAIN_FACTOR).min(LONGEST_SILENCE);
        self.due = now + self.interval;
    }
}
