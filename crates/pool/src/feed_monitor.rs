//! Tracks outages of a feed that the tenure holder follows.

use std::fmt;
use std::time::Duration;

use almondpass_schema::ids;
use tokio::time::Instant;

/// A feed that has failed for this long is replaced by a read of the whole table, repeated at the same
/// interval. The feed alone may be at fault, for example by an answer that is too large.
const TABLE_READ_INTERVAL: Duration = Duration::from_secs(4);

/// Logs and meters the outages of one feed, and says when its table is read instead.
#[derive(Debug)]
pub(crate) struct FeedMonitor {
    feed: &'static str,
    outage: Option<FeedOutage>,
}

#[derive(Clone, Copy, Debug)]
struct FeedOutage {
    since: Instant,
    table_read_due: Instant,
}

impl FeedMonitor {
    /// Creates the monitor of a feed without an outage. `feed` is its name in logs and metrics.
    pub(crate) fn new(feed: &'static str) -> FeedMonitor {
        FeedMonitor { feed, outage: None }
    }

    /// Ends the outage, if there is one. `after` is the version after which the feed was read.
    pub(crate) fn record_answer(&mut self, after: ids::RowVersion) {
        let Some(outage) = self.outage.take() else { return };
        let outage_ms = outage.since.elapsed().as_millis() as u64;
        tracing::info!(feed = self.feed, after, stood_ms = outage_ms, "feed answers again");
        self.set_gauge(0.0);
    }

    /// Counts a failure and begins an outage, if there is none. `after` is the version after which the
    /// feed was read.
    pub(crate) fn record_failure(&mut self, error: &impl fmt::Display, after: ids::RowVersion) {
        metrics::counter!("almondpass_pool_feed_failures_total", "feed" => self.feed).increment(1);
        if self.outage.is_some() {
            return;
        }
        tracing::warn!(feed = self.feed, after, %error, "feed can't be followed");
        let since = Instant::now();
        self.outage = Some(FeedOutage { since, table_read_due: since + TABLE_READ_INTERVAL });
        self.set_gauge(1.0);
    }

    /// Returns whether the whole table is to be read now instead of the feed, and if so postpones the next
    /// read.
    pub(crate) fn claim_table_read(&mut self) -> bool {
        let now = Instant::now();
        let due = self.outage.as_mut().filter(|it| now >= it.table_read_due);
        due.map(|it| it.table_read_due = now + TABLE_READ_INTERVAL).is_some()
    }

    fn set_gauge(&self, value: f64) {
        metrics::gauge!("almondpass_pool_feed_stands_still", "feed" => self.feed).set(value);
    }
}

impl Drop for FeedMonitor {
    fn drop(&mut self) {
        // The monitor ends with the tenure: an instance without the tenure shows no outage.
        self.set_gauge(0.0);
    }
}
