//! Finds out when the former holders of the tenure stopped giving orders.
//!
//! Until everything that a former holder may have ordered has ended, a single worker that does not answer
//! delays every job that was accepted before. A former holder that is not known to have stopped may go on
//! without the store for a while.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{lease_clock, tenure_report, timing};
use almondpass_peer::link::PeerLink;
use almondpass_ports::boot_clock::BootClock;
use almondpass_schema::model;
use futures_util::future;
use tokio::time;

use crate::leader;
use crate::predecessor_list;
use crate::state;
use crate::tenure_legacy;

/// Longest time between the check that lets an order be sent and the calculation of its deadline. An order
/// that was in progress when the former holder stopped extends no lease beyond this: the deadline is a time
/// on the worker's clock.
const ORDER_SLACK: Duration = Duration::from_millis(100);

/// Timeout of a query to a former holder's machine.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Wait before a former holder is queried again.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Time at which everything that a holder has ordered has ended, also on workers that do not answer, if the
/// holder gives no orders from `stopped_at` on.
pub(crate) fn settles_after(stopped_at: Duration, timing: &timing::PoolTiming) -> Duration {
    stopped_at + ORDER_SLACK + lease_clock::max_local_span(timing.lease)
}

/// Queries the addresses of the former holders until each of them is known to have stopped, or all that they
/// may have ordered has ended.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    leader: Arc<leader::LeaderState>,
) {
    let mut answered = BTreeSet::new();
    loop {
        let now = state.adapters.clock().now();
        let mut open = leader.predecessors().unsettled(now);
        open.retain(|it| !it.address.is_empty() && !answered.contains(&it.epoch));
        if open.is_empty() {
            return;
        }
        let queries = open.iter().map(|it| query_holder(&state, it));
        for (former, answer) in open.iter().zip(future::join_all(queries).await) {
            let Some(answer) = answer else { continue };
            let Some(over_for_ms) = answer.over_for_ms else { continue };
            answered.insert(former.epoch);
            let now = state.adapters.clock().now();
            let stopped_at = now.saturating_sub(Duration::from_millis(over_for_ms));
            record_end(&state, &leader, former, stopped_at);
            let report =
                tenure_report::TenureReport { suspicions: answer.unsaved, silent: answer.silent };
            // The report covers all tenures up to that of the holder that gives it, but none after it.
            if former.epoch + 1 == leader.epoch {
                leader.core().merge_last_report(report, now);
            } else {
                leader.core().merge_earlier_report(report, now);
            }
            leader.round_due.notify_one();
            leader.save_due.notify_one();
        }
        time::sleep(QUERY_INTERVAL).await;
    }
}

fn record_end<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    former: &predecessor_list::Predecessor,
    stopped_at: Duration,
) {
    let settles_at = settles_after(stopped_at, &state.settings.timing);
    let left_ms = settles_at.saturating_sub(state.adapters.clock().now()).as_millis() as u64;
    tracing::info!(
        former = former.holder,
        epoch = former.epoch,
        left_ms,
        "former holder of the tenure gives no more orders"
    );
    leader.predecessors().bound_settling(former.epoch, settles_at);
    let settles_at = leader.predecessors().settles_at();
    leader.core().bound_settling(settles_at);
}

/// Asks a former holder whether it has stopped. Returns `None` if it can't be reached, which does not mean
/// that it has stopped.
async fn query_holder<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    former: &predecessor_list::Predecessor,
) -> Option<model::TenureAnswer> {
    let query = model::TenureQuery { holder: former.holder.clone(), epoch: former.epoch };
    state.adapters.peers().call(&former.address, query, QUERY_TIMEOUT).await.ok()
}

/// Answers a successor's query. If this instance still holds the tenure in question, it ends the tenure: a
/// later one is in force.
pub(crate) fn answer<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    query: &model::TenureQuery,
) -> model::TenureAnswer {
    let clock = state.adapters.clock();
    let over_for = |since, legacy: tenure_legacy::TenureLegacy| {
        let now = clock.now();
        let over_for = now.saturating_sub(since).as_millis() as u64;
        let tenure_report::TenureReport { suspicions, silent } =
            legacy.into_report(query.epoch, now);
        model::TenureAnswer { over_for_ms: Some(over_for), unsaved: suspicions, silent }
    };
    let no_legacy = tenure_legacy::TenureLegacy::default;
    if query.holder != state.settings.instance {
        // No two processes listen at one address, so the queried process ended before this one started.
        return over_for(state.started_at, no_legacy());
    }
    if state.acquired_epoch().is_some_and(|it| it > query.epoch) {
        return over_for(clock.now(), no_legacy());
    }
    let leader = state.leader();
    if let Some(leader) = leader.as_ref().filter(|it| !it.has_ended()) {
        tracing::warn!(epoch = leader.epoch, "tenure is ended: a successor has asked for it");
        // If no order may be sent now, this process may have been suspended, or cut off from the store, for
        // long.
        let ends_now = leader.permit_order(clock);
        leader.end();
        if ends_now {
            return over_for(clock.now(), tenure_legacy::TenureLegacy::of(leader, clock.now()));
        }
    } else if leader.is_none() && state.acquired_epoch().is_some() {
        return model::TenureAnswer::default();
    }
    let ordered_at = leader.as_ref().and_then(|it| it.ordered_at()).max(state.last_order_at());
    let legacy = leader.map(|it| tenure_legacy::TenureLegacy::of(&it, clock.now()));
    let legacy = legacy.unwrap_or_else(|| state.legacy());
    over_for(ordered_at.unwrap_or(state.started_at), legacy)
}
