//! Relays calls through a peer while the store does not answer this instance.
//!
//! The store may reject some instances while it serves the others. A rejected instance relays its
//! calls to a peer instead of rejecting its callers. A call is relayed at most once: the peer
//! calls the store directly or not at all.

use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_peer::error;
use almondpass_peer::link::PeerLink;
use almondpass_schema::{ids, model};
use tokio::time::Instant;

use crate::state;

/// Peers tried for one call. The store seldom rejects more than a third of the instances.
const MAX_PEERS: usize = 3;

/// Time allowed for one peer to answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Part of a peer's time that is reserved for its answer to arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(60);

/// After a call that no peer could serve, nothing is relayed for this long: the store is probably
/// unavailable to all instances, and callers are better rejected at once.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(600);

/// Which peer is tried next, and until when relaying is paused.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RelayState {
    paused_until: Option<Instant>,
    last_served_at: Option<Instant>,
    next_peer: usize,
}

/// Outcome of a relayed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayOutcome<R> {
    /// A peer served the call.
    Served(R),
    /// No peer served the call, and the call certainly had no effect.
    NotServed,
    /// No peer answered definitely; the call may have had an effect.
    Unclear,
}

/// Submits a job graph through a peer.
pub(crate) async fn submit<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    graph: ids::GraphId,
    row: &model::GraphRow,
    deadline: Instant,
) -> RelayOutcome<model::SubmitOutcome> {
    let call = |patience_ms| model::GraphSubmit { graph, row: row.clone(), patience_ms };
    let outcome_of = |reply: model::GraphSubmitted| match reply.outcome {
        model::SubmitOutcome::NotRun => RelayOutcome::NotServed,
        model::SubmitOutcome::Unknown => RelayOutcome::Unclear,
        served => RelayOutcome::Served(served),
    };
    try_peers(state, deadline, call, outcome_of).await
}

/// Cancels a job graph through a peer.
pub(crate) async fn cancel<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    graph: ids::GraphId,
    account: Option<&str>,
    deadline: Instant,
) -> RelayOutcome<model::CancelOutcome> {
    let account = account.map(str::to_owned);
    let call = |patience_ms| model::GraphCancel { graph, account: account.clone(), patience_ms };
    let outcome_of = |reply: model::GraphCancelled| match reply.outcome {
        model::CancelOutcome::Unknown => RelayOutcome::Unclear,
        served => RelayOutcome::Served(served),
    };
    try_peers(state, deadline, call, outcome_of).await
}

/// Reads the state of a job graph through a peer.
pub(crate) async fn job_state<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    graph: ids::GraphId,
    account: Option<&str>,
    deadline: Instant,
) -> RelayOutcome<model::GraphLooked> {
    let account = account.map(str::to_owned);
    let call = |patience_ms| model::GraphLook { graph, account: account.clone(), patience_ms };
    let outcome_of = |reply: model::GraphLooked| match reply.outcome {
        model::LookOutcome::Unavailable => RelayOutcome::NotServed,
        _ => RelayOutcome::Served(reply),
    };
    try_peers(state, deadline, call, outcome_of).await
}

async fn try_peers<S: state::PoolAdapters, C: PeerCall, R>(
    state: &state::PoolState<S>,
    deadline: Instant,
    call: impl Fn(u64) -> C,
    outcome_of: impl Fn(C::Reply) -> RelayOutcome<R>,
) -> RelayOutcome<R> {
    let mut outcome = RelayOutcome::NotServed;
    let mut n_tried = 0;
    for peer in next_peers(state) {
        let time_left = deadline.saturating_duration_since(Instant::now()).min(PEER_TIMEOUT);
        let Some(peer_time) = time_left.checked_sub(ANSWER_MARGIN) else { break };
        n_tried += 1;
        let reply =
            state.adapters.peers().call(&peer, call(peer_time.as_millis() as u64), time_left).await;
        match reply.map(&outcome_of) {
            Ok(served @ RelayOutcome::Served(_)) => {
                metrics::counter!("almondpass_pool_detours_total").increment(1);
                state.relays().last_served_at = Some(Instant::now());
                return served;
            }
            Ok(RelayOutcome::NotServed) => {}
            Ok(RelayOutcome::Unclear) => outcome = RelayOutcome::Unclear,
            Err(error) => {
                log_failure(&error);
                if !error.fault.had_no_effect() {
                    outcome = RelayOutcome::Unclear;
                }
            }
        }
    }
    // A call that tried no peer says nothing about them; it would extend the pause for ever.
    if n_tried > 0 {
        state.relays().paused_until = Some(Instant::now() + PAUSE_AFTER_FAILURE);
    }
    outcome
}

/// Remaining pause of the relay; `None` if no peer has served a call since `since`.
pub(crate) fn resumes_in<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    since: Instant,
) -> Option<Duration> {
    let relays = *state.relays();
    relays.last_served_at.filter(|it| *it >= since)?;
    let paused_until = relays.paused_until?;
    Some(paused_until.saturating_duration_since(Instant::now()))
}

fn log_failure(error: &error::CallError) {
    tracing::debug!(%error, "peer did not answer a relayed call");
}

/// Chooses the peers for one call by round robin; empty while relaying is paused.
fn next_peers<S: state::PoolAdapters>(state: &state::PoolState<S>) -> Vec<ids::PeerAddress> {
    let peers = state.peer_addresses();
    let mut relays = state.relays();
    if relays.paused_until.is_some_and(|it| Instant::now() < it) || peers.is_empty() {
        return Vec::new();
    }
    let first = relays.next_peer;
    relays.next_peer = first.wrapping_add(1);
    let n_tried = MAX_PEERS.min(peers.len());
    (0..n_tried).map(|it| peers[first.wrapping_add(it) % peers.len()].clone()).collect()
}
