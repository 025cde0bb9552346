//! Runs the parts of an instance.

use std::sync::Arc;

use tokio::task::JoinSet;

use crate::document_follower;
use crate::member_list;
use crate::seat;
use crate::state;

/// Follows the configuration and the peers, and schedules when it is this instance's turn.
/// Returns once the instance is leaving and has given up the tenure.
pub async fn run<S: state::PoolSite>(state: Arc<state::PoolState<S>>) {
    let mut parts = JoinSet::new();
    parts.spawn(document_follower::run(Arc::clone(&state)));
    parts.spawn(member_list::run(Arc::clone(&state)));
    seat::run(state).await;
    parts.shutdown().await;
}
