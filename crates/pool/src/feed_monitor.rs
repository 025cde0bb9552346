//! How a feed of the holder of the tenure stands.

use std::fmt;
use std::time::Duration;

use almondpass_schema::ids;
use tokio::time::Instant;

/// A feed that gives no answers for this long is replaced by a read of the whole table, and again after
/// as long: it may be the feed alone that fails, such as by an answer that is too large.
const TABLE_AFTER: Duration = Duration::from_secs(4);

/// Tells when a feed can't be followed and when it can again.
#[derive(Debug)]
pub(crate) struct FeedMonitor {
    feed: &'static str,
    outage: Option<FeedOutage>,
}

#[derive(Clone, Copy, Debug)]
struct FeedOutage {
    since: Instant,
    table_due: Instant,
}

impl FeedMonitor {
    /// A feed that stands well.
    pub(crate) fn new(feed: &'static str) -> FeedMonitor {
        FeedMonitor { feed, outage: None }
    }

    /// It has answered; `after` is where it stood.
    pub(crate) fn record_answer(&mut self, after: ids::RowVersion) {
        let Some(outage) = self.outage.take() else { return };
        let stood_ms = outage.since.elapsed().as_millis() as u64;
        tracing::info!(feed = self.feed, after, stood_ms, "feed answers again");
        self.meter(0.0);
    }

    /// It can't be followed; `after` is where it stands.
    pub(crate) fn record_failure(&mut self, error: &impl fmt::Display, after: ids::RowVersion) {
        metrics::counter!("almondpass_pool_feed_failures_total", "feed" => self.feed).increment(1);
        if self.outage.is_some() {
            return;
        }
        tracing::warn!(feed = self.feed, after, %error, "feed can't be followed");
        let since = Instant::now();
        self.outage = Some(FeedOutage { since, table_due: since + TABLE_AFTER });
        self.meter(1.0);
    }

    /// Whether the whole table is to be read in place of the feed now; not again for a while then.
    pub(crate) fn claim_table_read(&mut self) -> bool {
        let now = Instant::now();
        let due = self.outage.as_mut().filter(|it| now >= it.table_due);
        due.map(|it| it.table_due = now + TABLE_AFTER).is_some()
    }

    fn meter(&self, stands_still: f64) {
        metrics::gauge!("almondpass_pool_feed_stands_still", "feed" => self.feed).set(stands_still);
    }
}

impl Drop for FeedMonitor {
    fn drop(&mut self) {
        // With the tenure.
        self.meter(0.0);
    }
}
