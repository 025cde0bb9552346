//! Finds out when the former holder of the tenure is over.
//!
//! Until everything that it may have ordered has ended, one worker that does not answer holds up each job
//! that was accepted before. Unless it is known to be over, it may go on without the store for a while.

use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{lease_clock, terms};
use almondpass_peer::link::PeerLink;
use almondpass_ports::boot_clock::BootClock;
use almondpass_schema::{ids, model};
use tokio::time;

use crate::lead;
use crate::state;

/// For an order that was under way when the earlier holder stopped giving orders.
const ORDER_SLACK: Duration = Duration::from_millis(300);

/// For the former holder's machine to answer.
const DEADLINE: Duration = Duration::from_millis(300);

/// Wait before it is asked again.
const AGAIN: Duration = Duration::from_millis(250);

/// The former holder of a tenure.
#[derive(Clone, Debug)]
pub(crate) struct Predecessor {
    pub(crate) holder: ids::InstanceId,
    pub(crate) address: ids::PeerAddress,
    pub(crate) epoch: ids::Epoch,
    /// Until then, what holders before it have ordered may go on.
    pub(crate) others_settle_at: Duration,
}

/// When all that a holder has ordered has ended on workers that don't answer, if it gives no orders from
/// `over_at` on.
pub(crate) fn settles_behind(over_at: Duration, terms: &terms::PoolTerms) -> Duration {
    over_at + ORDER_SLACK + lease_clock::at_most(terms.lease)
}

/// Asks at the address of the former holder until it is known to be over there, or all that it may have
/// ordered has ended.
pub(crate) async fn run<S: state::PoolSite>(
    state: Arc<state::PoolState<S>>,
    lead: Arc<lead::LeadState>,
    predecessor: Option<Predecessor>,
) {
    let Some(predecessor) = predecessor else { return };
    while !lead.core().is_settled(state.site.clock().now()) {
        if let Some(over_at) = over_at(&state, &predecessor).await {
            let settles_at = settles_behind(over_at, &state.settings.terms);
            let settles_at = settles_at.max(predecessor.others_settle_at);
            let former = &predecessor.holder;
            let left_ms = settles_at.saturating_sub(state.site.clock().now()).as_millis() as u64;
            tracing::info!(former, left_ms, "former holder of the tenure is over");
            lead.core().settles_by(settles_at);
            return;
        }
        time::sleep(AGAIN).await;
    }
}

/// Since when the former holder is surely over, if it is. That it can't be reached tells nothing.
async fn over_at<S: state::PoolSite>(
    state: &state::PoolState<S>,
    predecessor: &Predecessor,
) -> Option<Duration> {
    let Predecessor { holder, address, epoch, .. } = predecessor;
    let query = model::TenureQuery { holder: holder.clone(), epoch: *epoch };
    let answer = state.site.peers().call(address, query, DEADLINE).await.ok()?;
    let over_for = Duration::from_millis(answer.over_for_ms?);
    Some(state.site.clock().now().saturating_sub(over_for))
}

/// Answers a successor. A tenure that is held still ends here: a later one is in force.
pub(crate) fn answer<S: state::PoolSite>(
    state: &state::PoolState<S>,
    query: &model::TenureQuery,
) -> model::TenureAnswer {
    let now = state.site.clock().now();
    if query.holder != state.settings.instance {
        // No two processes answer at one address: that one has ended before this one began.
        let over_for = now.saturating_sub(state.began_at);
        return model::TenureAnswer { over_for_ms: Some(over_for.as_millis() as u64) };
    }
    if let Some(lead) = state.lead().filter(|it| it.epoch <= query.epoch) {
        tracing::warn!(epoch = lead.epoch, "tenure is ended for a successor");
        lead.end();
    }
    let may_go_on = state.taken().is_some_and(|it| it <= query.epoch);
    let is_ended = state.lead().is_some_and(|it| it.is_over());
    let over_for_ms = (!may_go_on || is_ended).then_some(0);
    model::TenureAnswer { over_for_ms }
}
