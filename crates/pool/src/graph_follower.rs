//! Follows the accepted job graphs, besides the nudges of the instances that accept them.

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

/// How long the store may wait for a change. Bounds for how long a connection that has gone
/// silent is believed in.
const WAIT: Duration = Duration::from_millis(2_000);

/// Wait after a failure.
const AGAIN: Duration = Duration::from_millis(200);

/// Follows until the tenure is over.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    leader: Arc<leader::LeaderState>,
    mut after: ids::RowVersion,
) {
    let mut monitor = feed_monitor::FeedMonitor::new("jobs");
    loop {
        match next(&state, &mut monitor, after).await {
            // Rows that could not be taken come again.
            Ok(rows) if take(&state, &leader, &rows.rows) => {
                after = after.max(rows.version);
                leader.set_applied_graph_version(after);
            }
            Ok(_) => time::sleep(AGAIN).await,
            Err(error) => {
                monitor.record_failure(&error, after);
                time::sleep(AGAIN).await;
            }
        }
    }
}

/// What has changed behind `after`, or the whole table.
async fn next<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    monitor: &mut feed_monitor::FeedMonitor,
    after: ids::RowVersion,
) -> Result<row_feed::FeedRows, row_feed::FeedFault> {
    if monitor.claim_table_read() {
        return Ok(store_call::snapshot(state, keys::GRAPHS).await?);
    }
    match store_call::follow(state, keys::GRAPHS, after, WAIT).await {
        Ok(rows) => {
            monitor.record_answer(after);
            Ok(rows)
        }
        Err(row_feed::FeedFault::HistoryGone) => {
            tracing::info!(after, "history of the job graphs is gone; the table is read");
            Ok(store_call::snapshot(state, keys::GRAPHS).await?)
        }
        Err(error) => Err(error),
    }
}

/// Takes rows of accepted job graphs into the core.
fn take<S: state::PoolAdapters>(
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

/// Whether a row is to be taken in as it is. One that the feed has passed and that is not
/// known was forgotten since, or missed: only the store can tell, and what was saved of its progress.
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

/// Takes the row that an instance has just written. Tells whether it is known from then on; where it
/// can't be taken, the feed or another nudge brings it.
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

/// Takes job graphs into the core. A holder that isn't firm takes none: another may have taken
/// over, and would not know that this one has started them.
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
