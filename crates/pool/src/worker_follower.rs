//! Follows the platform's list of workers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use almondpass_ports::boot_clock::BootClock;
use almondpass_ports::row_feed;
use almondpass_schema::ids;
use tokio::time;

use crate::document::PlatformReader;
use crate::feed_monitor;
use crate::leader;
use crate::state;
use crate::store_call;
use crate::tenure_loader;

/// Interval between two requests for changes of the list. Each worker writes its row every 1.5 s, so a long
/// poll would be answered 32 times a second with 48 workers, and each call is paid for. A worker that leaves
/// must get no new tasks 2 s later.
const READ_INTERVAL: Duration = Duration::from_millis(600);

/// Wait after a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Entries that lapsed while the store was unavailable are written again within this time after its return if
/// their workers are alive; the platform promises about two seconds. A worker whose entry is still missing
/// then is gone.
const REAPPEAR_WITHIN: Duration = Duration::from_millis(2_500);

/// Follows the list until the tenure ends.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    leader: Arc<leader::LeaderState>,
    mut after: ids::RowVersion,
) {
    let mut monitor = feed_monitor::FeedMonitor::new("workers");
    loop {
        if monitor.claim_table_read() {
            after = reread_list(&state, &leader, after).await.map_or(after, |it| after.max(it));
        }
        let requested_at = state.adapters.clock().now();
        match store_call::follow(&state, S::Reader::WORKER_TABLE, after, Duration::ZERO).await {
            Ok(rows) => {
                monitor.record_answer(after);
                apply(&state, &leader, &rows.rows, after);
                after = after.max(rows.version);
                if !rows.more {
                    leader.core().note_list_read(requested_at);
                }
                // Every worker rewrites its row continually, and an answer holds a bounded number of changes.
                // With pauses between full answers the changes of a large list would be read later and later,
                // and tasks would start on workers that announced long before that they leave.
                if !rows.more {
                    time::sleep(READ_INTERVAL).await;
                }
                continue;
            }
            Err(row_feed::FeedFault::HistoryGone) => {}
            Err(error) => {
                monitor.record_failure(&error, after);
                time::sleep(RETRY_DELAY).await;
                continue;
            }
        }
        tracing::info!(after, "change history of the worker list is gone; the whole list is read");
        if let Some(version) = reread_list(&state, &leader, after).await {
            after = after.max(version);
        } else {
            time::sleep(RETRY_DELAY).await;
        }
    }
}

fn apply<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    rows: &[row_feed::FeedRow],
    after: ids::RowVersion,
) {
    if rows.is_empty() {
        return;
    }
    let now = state.adapters.clock().now();
    let mut core = leader.core();
    for row in rows {
        let has_changed = tenure_loader::apply_worker_row(state, &mut core, row, now);
        if has_changed && row.version > after {
            core.note_entry_read(&row.key);
        }
    }
    drop(core);
    leader.round_due.notify_one();
    leader.save_due.notify_one();
}

/// Reads the whole list. A worker that is missing from it is given time to reappear, and is removed only if a
/// second read misses it too.
async fn reread_list<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    after: ids::RowVersion,
) -> Option<ids::RowVersion> {
    let first = read(state, leader, after).await?;
    let missing = missing_from(leader, &first.rows);
    if missing.is_empty() {
        return Some(first.version);
    }
    time::sleep(REAPPEAR_WITHIN).await;
    let second = read(state, leader, after).await?;
    let still_missing = missing_from(leader, &second.rows);
    let now = state.adapters.clock().now();
    let mut core = leader.core();
    for worker in missing.intersection(&still_missing) {
        core.unlist_worker(worker, now);
    }
    Some(second.version)
}

async fn read<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    after: ids::RowVersion,
) -> Option<row_feed::FeedRows> {
    let requested_at = state.adapters.clock().now();
    let read = store_call::snapshot(state, S::Reader::WORKER_TABLE).await;
    let rows =
        read.inspect_err(|error| tracing::debug!(%error, "the worker list can't be read")).ok()?;
    apply(state, leader, &rows.rows, after);
    leader.core().note_list_read(requested_at);
    Some(rows)
}

fn missing_from(
    leader: &leader::LeaderState,
    rows: &[row_feed::FeedRow],
) -> BTreeSet<ids::WorkerId> {
    let listed = rows.iter().map(|it| it.key.as_str()).collect::<BTreeSet<_>>();
    let core = leader.core();
    let missing = core.worker_ids().filter(|it| !listed.contains(it.as_str()));
    missing.cloned().collect()
}
