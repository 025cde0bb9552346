//! Finds out when the former holder of the tenure is over.
//!
//! Until everything that it may have ordered has ended, one worker that does not answer holds up each job
//! that was accepted before. Unless it is known to be over, it may go on without the store for a while.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{lease_clock, timing};
use almondpass_peer::link::PeerLink;
use almondpass_ports::boot_clock::BootClock;
use almondpass_schema::model;
use futures_util::future;
use tokio::time;

use crate::leader;
use crate::predecessor_list;
use crate::state;

/// Between the check that lets an order leave and the reckoning of its deadline. An order that was under way when
/// the earlier holder stopped giving orders extends no lease beyond that: the deadline is a moment on the worker's
/// clock.
const ORDER_SLACK: Duration = Duration::from_millis(100);

/// For the former holder's machine to answer.
const DEADLINE: Duration = Duration::from_millis(300);

/// Wait before it is asked again.
const AGAIN: Duration = Duration::from_millis(250);

/// When all that a holder has ordered has ended on workers that don't answer, if it gives no orders from
/// `over_at` on.
pub(crate) fn settles_after(over_at: Duration, timing: &timing::PoolTiming) -> Duration {
    over_at + ORDER_SLACK + lease_clock::max_local_span(timing.lease)
}

/// Asks at the addresses of the former holders until each is known to be over there, or all that they may have
/// ordered has ended.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    leader: Arc<leader::LeaderState>,
) {
    let mut told = BTreeSet::new();
    loop {
        let now = state.adapters.clock().now();
        let mut open = leader.predecessors().unsettled(now);
        open.retain(|it| !it.address.is_empty() && !told.contains(&it.epoch));
        if open.is_empty() {
            return;
        }
        let asked = open.iter().map(|it| ask(&state, it));
        for (former, answer) in open.iter().zip(future::join_all(asked).await) {
            let Some(answer) = answer else { continue };
            let Some(over_for_ms) = answer.over_for_ms else { continue };
            told.insert(former.epoch);
            let now = state.adapters.clock().now();
            let over_at = now.saturating_sub(Duration::from_millis(over_for_ms));
            note_over(&state, &leader, former, over_at);
            let mut core = leader.core();
            answer.unsaved.into_iter().for_each(|it| core.merge_suspicions(it, now));
        }
        time::sleep(AGAIN).await;
    }
}

fn note_over<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    former: &predecessor_list::Predecessor,
    over_at: Duration,
) {
    let settles_at = settles_after(over_at, &state.settings.timing);
    let left_ms = settles_at.saturating_sub(state.adapters.clock().now()).as_millis() as u64;
    tracing::info!(
        former = former.holder,
        epoch = former.epoch,
        left_ms,
        "former holder of the tenure is over"
    );
    leader.predecessors().bound_settling(former.epoch, settles_at);
    let settles_at = leader.predecessors().settles_at();
    leader.core().bound_settling(settles_at);
}

/// Asks a former holder whether it is over. That it can't be reached tells nothing.
async fn ask<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    former: &predecessor_list::Predecessor,
) -> Option<model::TenureAnswer> {
    let query = model::TenureQuery { holder: former.holder.clone(), epoch: former.epoch };
    state.adapters.peers().call(&former.address, query, DEADLINE).await.ok()
}

/// Answers a successor. A tenure that is held still ends here: a later one is in force.
pub(crate) fn answer<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    query: &model::TenureQuery,
) -> model::TenureAnswer {
    let clock = state.adapters.clock();
    let over_for = |since, unsaved| {
        let over_for = clock.now().saturating_sub(since).as_millis() as u64;
        model::TenureAnswer { over_for_ms: Some(over_for), unsaved }
    };
    if query.holder != state.settings.instance {
        // No two processes answer at one address: that one has ended before this one began.
        return over_for(state.started_at, Vec::new());
    }
    if state.acquired_epoch().is_some_and(|it| it > query.epoch) {
        return over_for(clock.now(), Vec::new());
    }
    let leader = state.leader();
    if let Some(leader) = leader.as_ref().filter(|it| !it.has_ended()) {
        tracing::warn!(epoch = leader.epoch, "tenure is ended for a successor");
        // Else it may have stood still, or been without the store, for long.
        let ends_now = leader.permit_order(clock);
        leader.end();
        if ends_now {
            return over_for(clock.now(), leader.core().unsaved_suspicions());
        }
    } else if leader.is_none() && state.acquired_epoch().is_some() {
        return model::TenureAnswer::default();
    }
    let ordered_at = leader.as_ref().and_then(|it| it.ordered_at()).max(state.last_order_at());
    let unsaved = leader.map(|it| it.core().unsaved_suspicions());
    let unsaved = unsaved.unwrap_or_else(|| state.unsaved_suspicions());
    over_for(ordered_at.unwrap_or(state.started_at), unsaved)
}
