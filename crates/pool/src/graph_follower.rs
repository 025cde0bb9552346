//! Admits accepted job graphs into the core: from the feed of their table, and from the nudges of the
//! instances that accept them.

use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{intake, progress};
use almondpass_ports::boot_clock::BootClock;
use almondpass_ports::keys;
use almondpass_ports::row_feed;
use almondpass_schema::{ids, model};
use tokio::time;

use crate::feed_monitor;
use crate::leader;
use crate::missed_job;
use crate::state;
use crate::store_call;
use crate::tenure_loader;

/// Longest time for which the store may hold a read open until a change occurs. It bounds for how
/// long a connection that has gone silent is used.
const FEED_WAIT: Duration = Duration::from_millis(2_000);

/// Wait before the feed is read again after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Follows the feed from `after` until the tenure is over.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    leader: Arc<leader::LeaderState>,
    mut after: ids::RowVersion,
) {
    let mut monitor = feed_monitor::FeedMonitor::new("jobs");
    loop {
        match read_changes(&state, &mut monitor, after).await {
            // `after` moves on only once all rows were admitted, so that rejected rows are read again.
            Ok(rows) if admit_rows(&state, &leader, &rows.rows) => {
                after = after.max(rows.version);
                leader.set_applied_graph_version(after);
            }
            Ok(_) => time::sleep(RETRY_INTERVAL).await,
            Err(error) => {
                monitor.record_failure(&error, after);
                time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Reads the changes after version `after`, or the whole table where the feed fails or its history is gone.
async fn read_changes<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    monitor: &mut feed_monitor::FeedMonitor,
    after: ids::RowVersion,
) -> Result<row_feed::FeedRows, row_feed::FeedFault> {
    if monitor.claim_table_read() {
        return Ok(store_call::snapshot(state, keys::GRAPHS).await?);
    }
    match store_call::follow(state, keys::GRAPHS, after, FEED_WAIT).await {
        Ok(rows) => {
            monitor.record_answer(after);
            Ok(rows)
        }
        Err(row_feed::FeedFault::HistoryGone) => {
            tracing::info!(after, "history of the job graph feed is gone; reading the whole table");
            Ok(store_call::snapshot(state, keys::GRAPHS).await?)
        }
        Err(error) => Err(error),
    }
}

/// Admits the rows that are new. Returns false where this holder may not admit jobs now.
fn admit_rows<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    leader: &Arc<leader::LeaderState>,
    rows: &[row_feed::FeedRow],
) -> bool {
    let admitted = rows.iter().filter_map(|row| {
        let admitted =
            tenure_loader::decode_graph_row(row, intake::JobOrigin::Feed, leader.acquired_version)?;
        is_new(state, leader, &admitted).then_some(admitted)
    });
    rows.is_empty() || admit(state, leader, admitted)
}

/// Returns whether a row is to be admitted without its saved progress. A row that the feed has passed and
/// whose job is not known belongs to a job that was forgotten since or missed. Only the store shows which,
/// and the progress saved for the job, so such a row starts a recovery instead.
fn is_new<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    leader: &Arc<leader::LeaderState>,
    admitted: &intake::AdmittedJob,
) -> bool {
    if leader.core().has_job(admitted.graph, admitted.row.cancelled) {
        return false;
    }
    if admitted.version > leader.applied_graph_version() {
        return true;
    }
    missed_job::recover(state, leader, admitted.graph);
    false
}

/// Admits the row that an instance has just written. Returns whether the core knows the row afterwards;
/// otherwise the feed or another nudge delivers it.
pub(crate) fn accept_nudge<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    leader: &Arc<leader::LeaderState>,
    nudge: &model::GraphNudge,
) -> bool {
    if leader.core().has_job(nudge.graph, nudge.row.cancelled) {
        return true;
    }
    let admitted = intake::AdmittedJob {
        graph: nudge.graph,
        row: nudge.row.clone(),
        version: nudge.version,
        origin: intake::JobOrigin::Nudge,
        progress: progress::SavedChunks::default(),
        inherited: nudge.version < leader.acquired_version,
    };
    is_new(state, leader, &admitted) && admit(state, leader, std::iter::once(admitted))
}

/// Admits job graphs into the core. A holder whose tenure isn't firm admits none and returns false: another
/// instance may have taken over, and would not know that this one has started their tasks.
pub(crate) fn admit<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    admitted: impl Iterator<Item = intake::AdmittedJob>,
) -> bool {
    if !leader.is_exclusive(state.adapters.clock()) {
        return false;
    }
    let now = state.adapters.clock().now();
    for it in admitted {
        leader.core().admit(it, now);
    }
    leader.round_due.notify_one();
    true
}
