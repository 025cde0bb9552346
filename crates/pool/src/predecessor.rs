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

/// Between the check that lets an order leave and the reckoning of its deadline. An order that was under way when
/// the earlier holder stopped giving orders extends no lease beyond that: the deadline is a moment on the worker's
/// clock.
const ORDER_SLACK: Duration = Duration::from_millis(100);

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
    let clock = state.site.clock();
    let over_for = |since| {
        let over_for = clock.now().saturating_sub(since).as_millis() as u64;
        model::TenureAnswer { over_for_ms: Some(over_for) }
    };
    if query.holder != state.settings.instance {
        // No two processes answer at one address: that one has ended before this one began.
        return over_for(state.began_at);
    }
    if state.taken().is_some_and(|it| it > query.epoch) {
        return over_for(clock.now());
    }
    let lead = state.lead();
    if let Some(lead) = lead.as_ref().filter(|it| !it.is_over()) {
        tracing::warn!(epoch = lead.epoch, "tenure is ended for a successor");
        // Else it may have stood still, or been without the store, for long.
        let ends_now = lead.may_order(clock);
        lead.end();
        if ends_now {
            return over_for(clock.now());
        }
    } else if lead.is_none() && state.taken().is_some() {
        return model::TenureAnswer { over_for_ms: None };
    }
    let ordered_at = lead.and_then(|it| it.ordered_at()).max(state.ordered_at());
    over_for(ordered_at.unwrap_or(state.began_at))
}
