//! Limits the log lines about events that come once a call.

use std::time::Duration;

use tokio::time::Instant;

/// Shortest interval between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts events between the log lines about them.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogLimit {
    logged_at: Option<Instant>,
    n_unlogged: u64,
}

impl LogLimit {
    /// Counts an event. Returns the number since the last line if a line is due.
    pub fn count(&mut self) -> Option<u64> {
        self.n_unlogged += 1;
        let now = Instant::now();
        if self.logged_at.is_some_and(|it| now < it + LOG_INTERVAL) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.n_unlogged))
    }
}
