//! Removes the rows of jobs that ended long ago. A takeover reads all of them, and the holder keeps
//! them in memory; without this both would grow for as long as the platform lives.

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

/// Ended jobs are looked for this often.
const INTERVAL: Duration = Duration::from_secs(10);

/// Rows removed at a time, each by a call of its own as they lie in different parts. At two years'
/// size a job ends every 41 s.
const AT_A_TIME: usize = 20;

/// Removes rows until the tenure is over.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    leader: Arc<leader::LeaderState>,
) {
    loop {
        time::sleep(INTERVAL).await;
        if !leader.is_exclusive(state.adapters.clock()) || state.is_store_unavailable() {
            continue;
        }
        let expired = leader.core().expired_jobs(state.adapters.clock().now(), AT_A_TIME);
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

/// Removes the row of an acceptance. Whoever holds the tenure may do so: the end is durable.
async fn remove<S: state::PoolAdapters>(state: &state::PoolState<S>, graph: ids::GraphId) -> bool {
    let writes = vec![writer::removal_write(keys::graph(graph))];
    let transaction = model::TableTransaction { conditions: Vec::new(), writes };
    let removed = store_call::transact(state, transaction).await;
    removed
        .inspect_err(|error| tracing::debug!(%error, "row of an ended job is kept for now"))
        .is_ok()
}
