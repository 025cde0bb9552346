//! Hands the tenure over to a stronger instance.
//!
//! A weak instance may hold the tenure because no stronger one was present when it was free. Its polls and
//! renewals come late for as long as it holds the tenure, since its work grows with the number of workers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use almondpass_ports::boot_clock::BootClock;
use almondpass_schema::ids;
use tokio::time;

use crate::leader;
use crate::state;

/// A tenure is kept for at least this long after it has settled. Its beginning is the busiest time, the rows
/// of instances that start at the same time as this one appear during it, and jobs that waited for the
/// settling are about to start.
const MIN_HOLD_TIME: Duration = Duration::from_secs(3);

/// A hand-over is postponed for at most this long because of a wait that a successor would begin anew.
const MAX_POSTPONEMENT: Duration = Duration::from_secs(30);

/// Interval between two checks for stronger instances.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Instances to which the tenure was offered once. The row of a machine that is gone stays in the store;
/// without this record the tenure would be released for that machine again and again.
#[derive(Debug, Default)]
pub(crate) struct OfferedInstances {
    offered: BTreeSet<ids::InstanceId>,
}

/// Requests the release of the tenure once a stronger instance is found to which it was not offered before.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    leader: Arc<leader::LeaderState>,
) {
    while !leader.core().is_settled(state.adapters.clock().now()) {
        time::sleep(CHECK_INTERVAL).await;
    }
    time::sleep(MIN_HOLD_TIME).await;
    let mut wanted_since = None;
    loop {
        // While the store is unavailable no instance could acquire a released tenure.
        let may_write =
            leader.is_exclusive(state.adapters.clock()) && !state.is_store_unavailable();
        if may_write && has_unoffered_stronger(&state) {
            let now = state.adapters.clock().now();
            let since = *wanted_since.get_or_insert(now);
            if now >= since + MAX_POSTPONEMENT || !has_wait_to_finish(&leader) {
                tracing::info!(
                    epoch = leader.epoch,
                    "tenure is handed over to a stronger instance"
                );
                record_offers(&state);
                leader.release_requested.cancel();
                return;
            }
        }
        time::sleep(CHECK_INTERVAL).await;
    }
}

/// Whether accepted jobs wait for the lease of a worker that does not answer, or would under a successor, or with
/// nothing running for a better place.
fn has_wait_to_finish(leader: &leader::LeaderState) -> bool {
    let core = leader.core();
    !core.all_answer() || core.has_standing_job()
}

/// Whether there is a stronger instance to which the tenure was not offered yet.
fn has_unoffered_stronger<S: state::PoolAdapters>(state: &state::PoolState<S>) -> bool {
    let stronger = state.stronger_instances();
    !stronger.is_subset(&state.offered_instances().offered)
}

/// Records that the tenure was offered to all stronger instances.
fn record_offers<S: state::PoolAdapters>(state: &state::PoolState<S>) {
    let stronger = state.stronger_instances();
    state.offered_instances().offered.extend(stronger);
}
