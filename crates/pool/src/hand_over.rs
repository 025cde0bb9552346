//! Hands the tenure over to a stronger instance.
//!
//! A weak instance may hold it because no stronger one was there when it was free. Its looks and
//! renewals come late for as long as it holds it, since its work grows with the number of workers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use almondpass_ports::boot_clock::BootClock;
use almondpass_schema::ids;
use tokio::time;

use crate::leader;
use crate::state;

/// A tenure is kept for at least this long, and behind its settling: its beginning is the busiest time, the
/// rows of the instances that start along with this one come within it, and what has waited for it to settle is
/// about to start.
const KEPT_FOR: Duration = Duration::from_secs(3);

/// A worker that does not answer is waited for this long: a successor waits for its lease anew, and accepted
/// jobs with it.
const SILENCE_PATIENCE: Duration = Duration::from_secs(30);

/// The instances that were found are looked at this often.
const INTERVAL: Duration = Duration::from_secs(1);

/// Instances to which the tenure was offered once. The row of a machine that is gone stays in the
/// store; without this the tenure would be given up for it again and again.
#[derive(Debug, Default)]
pub(crate) struct OfferedInstances {
    offered: BTreeSet<ids::InstanceId>,
}

/// Gives the tenure up once a stronger instance is found to which it was not offered before.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    leader: Arc<leader::LeaderState>,
) {
    while !leader.core().is_settled(state.adapters.clock().now()) {
        time::sleep(INTERVAL).await;
    }
    time::sleep(KEPT_FOR).await;
    let mut wanted_since = None;
    loop {
        // While the store is away a tenure that is given up could be taken by nobody.
        let may_write =
            leader.is_exclusive(state.adapters.clock()) && !state.is_store_unavailable();
        if may_write && knows_new(&state) {
            let now = state.adapters.clock().now();
            let since = *wanted_since.get_or_insert(now);
            if now >= since + SILENCE_PATIENCE || leader.core().all_answer() {
                tracing::info!(
                    epoch = leader.epoch,
                    "tenure is handed over to a stronger instance"
                );
                note_offered(&state);
                leader.release_requested.cancel();
                return;
            }
        }
        time::sleep(INTERVAL).await;
    }
}

/// Whether there is a stronger instance that was not offered the tenure.
fn knows_new<S: state::PoolAdapters>(state: &state::PoolState<S>) -> bool {
    let stronger = state.stronger_instances();
    !stronger.is_subset(&state.offered_instances().offered)
}

/// Notes that all stronger instances were offered the tenure.
fn note_offered<S: state::PoolAdapters>(state: &state::PoolState<S>) {
    let stronger = state.stronger_instances();
    state.offered_instances().offered.extend(stronger);
}
