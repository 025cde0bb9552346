//! Calls by way of a peer, where this instance's own way to the store is cut.
//!
//! The store turns some instances away while it serves the others. What such an instance can't do
//! itself, a peer does for it, instead of sending its callers away. Only one step is made: a peer
//! that is asked uses its own way or none.

use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_peer::error;
use almondpass_peer::link::PeerLink;
use almondpass_schema::{ids, model};
use tokio::time::Instant;

use crate::state;

/// Peers asked for one call. The store seldom turns more than a third of the instances away.
const MOST_PEERS: usize = 3;

/// For one peer to answer.
const PEER_DEADLINE: Duration = Duration::from_millis(700);

/// Kept of a peer's deadline for its answer to travel.
const TRAVEL_MARGIN: Duration = Duration::from_millis(60);

/// After a call that no peer could serve, none is tried for this long: the store is away for all,
/// and callers are better told at once.
const FRUITLESS_PAUSE: Duration = Duration::from_millis(600);

/// Whether a way round the store is worth a try.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RelayState {
    fruitless_until: Option<Instant>,
    next_peer: usize,
}

/// What became of a call by way of peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayOutcome<R> {
    /// A peer has served it.
    Served(R),
    /// None could, and none has done anything.
    NotServed,
    /// None could, or one may have.
    Unclear,
}

/// Has a peer store a job graph.
pub(crate) async fn submit<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    graph: ids::GraphId,
    row: &model::GraphRow,
    deadline: Instant,
) -> RelayOutcome<model::SubmitOutcome> {
    let call = |patience_ms| model::GraphSubmit { graph, row: row.clone(), patience_ms };
    let judge = |reply: model::GraphSubmitted| match reply.outcome {
        model::SubmitOutcome::NotRun => RelayOutcome::NotServed,
        model::SubmitOutcome::Unknown => RelayOutcome::Unclear,
        served => RelayOutcome::Served(served),
    };
    ask(state, deadline, call, judge).await
}

/// Has a peer cancel a job graph.
pub(crate) async fn cancel<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    graph: ids::GraphId,
    account: Option<&str>,
    deadline: Instant,
) -> RelayOutcome<model::CancelOutcome> {
    let account = account.map(str::to_owned);
    let call = |patience_ms| model::GraphCancel { graph, account: account.clone(), patience_ms };
    let judge = |reply: model::GraphCancelled| match reply.outcome {
        model::CancelOutcome::Unknown => RelayOutcome::Unclear,
        served => RelayOutcome::Served(served),
    };
    ask(state, deadline, call, judge).await
}

/// Has a peer look how far a job graph is.
pub(crate) async fn job_state<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    graph: ids::GraphId,
    account: Option<&str>,
    deadline: Instant,
) -> RelayOutcome<model::GraphLooked> {
    let account = account.map(str::to_owned);
    let call = |patience_ms| model::GraphLook { graph, account: account.clone(), patience_ms };
    let judge = |reply: model::GraphLooked| match reply.outcome {
        model::LookOutcome::Unavailable => RelayOutcome::NotServed,
        _ => RelayOutcome::Served(reply),
    };
    ask(state, deadline, call, judge).await
}

async fn ask<S: state::PoolAdapters, C: PeerCall, R>(
    state: &state::PoolState<S>,
    deadline: Instant,
    call: impl Fn(u64) -> C,
    judge: impl Fn(C::Reply) -> RelayOutcome<R>,
) -> RelayOutcome<R> {
    let mut outcome = RelayOutcome::NotServed;
    for peer in next_peers(state) {
        let left = deadline.saturating_duration_since(Instant::now()).min(PEER_DEADLINE);
        let Some(patience) = left.checked_sub(TRAVEL_MARGIN) else { break };
        let reply =
            state.adapters.peers().call(&peer, call(patience.as_millis() as u64), left).await;
        match reply.map(&judge) {
            Ok(served @ RelayOutcome::Served(_)) => {
                metrics::counter!("almondpass_pool_detours_total").increment(1);
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
    state.relays().fruitless_until = Some(Instant::now() + FRUITLESS_PAUSE);
    outcome
}

fn log_failure(error: &error::CallError) {
    tracing::debug!(%error, "a peer gave no answer");
}

/// The next few peers in turn; none while a way round is not worth a try.
fn next_peers<S: state::PoolAdapters>(state: &state::PoolState<S>) -> Vec<ids::PeerAddress> {
    let peers = state.peer_addresses();
    let mut relays = state.relays();
    if relays.fruitless_until.is_some_and(|it| Instant::now() < it) || peers.is_empty() {
        return Vec::new();
    }
    let first = relays.next_peer;
    relays.next_peer = first.wrapping_add(1);
    let n_asked = MOST_PEERS.min(peers.len());
    (0..n_asked).map(|it| peers[first.wrapping_add(it) % peers.len()].clone()).collect()
}
