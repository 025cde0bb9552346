//! Runs the tasks that make up an instance.

use std::sync::Arc;

use tokio::task::JoinSet;

use crate::contender;
use crate::document_follower;
use crate::member_list;
use crate::state;
use crate::store_probe;
use crate::supervisor;

/// Follows the configuration and the peers, and schedules while this instance holds the tenure. Returns once
/// the instance is leaving and has released the tenure.
pub async fn run<S: state::PoolAdapters>(state: Arc<state::PoolState<S>>) {
    let mut parts = JoinSet::new();
    let shared = Arc::clone(&state);
    parts.spawn(supervisor::restart_on_panic("configuration", move || {
        document_follower::run(Arc::clone(&shared))
    }));
    let shared = Arc::clone(&state);
    parts.spawn(supervisor::restart_on_panic("members", move || {
        member_list::run(Arc::clone(&shared))
    }));
    if state.settings.scheduling.adaptive_retry {
        let shared = Arc::clone(&state);
        parts.spawn(supervisor::restart_on_panic("store probe", move || {
            store_probe::run(Arc::clone(&shared))
        }));
    }
    supervisor::restart_on_panic("tenure", || contender::run(Arc::clone(&state))).await;
    parts.shutdown().await;
}
