//! Removes the rows of jobs that ended long ago. A takeover reads the rows of all jobs, and the tenure
//! holder keeps them in memory; without the removal both would grow without bound.

use std::sync::Arc;
use std::time::Duration;

use almondpass_ports::boot_clock::BootClock;
use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use tokio::time;

use crate::leader;
use crate::state;
use crate::store_call;
use crate::writer;

/// Interval between two searches for expired jobs.
const SEARCH_INTERVAL: Duration = Duration::from_secs(10);

/// Most rows removed per interval, each by a call of its own because the rows lie in different parts of the
/// store. At the load planned for two years ahead, a job ends every 41 s.
const MAX_REMOVED_PER_INTERVAL: usize = 20;

/// Removes the rows of expired jobs until the tenure is over.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    leader: Arc<leader::LeaderState>,
) {
    loop {
        time::sleep(SEARCH_INTERVAL).await;
        if !leader.is_exclusive(state.adapters.clock()) || state.is_store_unavailable() {
            continue;
        }
        let expired =
            leader.core().expired_jobs(state.adapters.clock().now(), MAX_REMOVED_PER_INTERVAL);
        for graph in expired {
            if !remove(&state, graph).await {
                break;
            }
            tracing::info!(job = format_args!("{graph:016x}"), "ended job is forgotten");
            leader.core().forget_job(graph);
            leader.save_due.notify_one();
        }
    }
}

/// Removes the row of a job's acceptance. The write needs no fencing by the tenure, because the job's end is
/// saved already.
async fn remove<S: state::PoolAdapters>(state: &state::PoolState<S>, graph: ids::GraphId) -> bool {
    let writes = vec![writer::removal_write(keys::graph(graph))];
    let transaction = model::TableTransaction { conditions: Vec::new(), writes };
    let removed = store_call::transact(state, transaction).await;
    removed
        .inspect_err(|error| tracing::debug!(%error, "row of an ended job cannot be removed yet"))
        .is_ok()
}
