//! Tells the holder of the tenure of rows of jobs, until it knows of them.
//!
//! The feed brings every row, but a feed may stand still for seconds, and the holder may change while a
//! nudge is under way.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::error;
use almondpass_peer::link::PeerLink;
use almondpass_schema::{ids, model};
use thiserror::Error;
use tokio::time::{self, Instant};

use crate::graph_follower;
use crate::state;

/// For the holder to answer.
const DEADLINE: Duration = Duration::from_millis(500);

/// Wait before the first repetition; doubled for each further one.
const FIRST_AGAIN: Duration = Duration::from_millis(200);

/// Longest wait between two repetitions.
const LONGEST_AGAIN: Duration = Duration::from_millis(3_200);

/// A nudge is repeated for this long: through an outage of the store and the takeover behind it.
const PATIENCE: Duration = Duration::from_secs(30);

/// Nudges that are repeated at a time. Each keeps its row, usually a few kilobytes; more than that
/// many wait for the feed.
const MOST_PENDING: usize = 200;

/// Nudges that are not acknowledged yet.
#[derive(Debug, Default)]
pub(crate) struct PendingNudges {
    /// Their jobs, and whether the job was cancelled.
    pending: BTreeSet<NudgeKey>,
}

type NudgeKey = (ids::GraphId, bool);

/// Why a nudge is not acknowledged.
#[derive(Debug, Error)]
enum NudgeFault {
    #[error("no holder is known")]
    NoHolder,
    #[error("the holder does not know the job")]
    NotKnown,
    #[error(transparent)]
    Call(#[from] error::CallError),
}

impl NudgeFault {
    fn outcome(&self) -> &'static str {
        match self {
            NudgeFault::NoHolder => "no_holder",
            NudgeFault::NotKnown => "not_known",
            NudgeFault::Call(_) => "unanswered",
        }
    }
}

/// Tells the holder of a row without waiting for it.
pub(crate) fn send<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    nudge: model::GraphNudge,
) {
    if state.leader().is_some_and(|leader| graph_follower::accept_nudge(state, &leader, &nudge)) {
        return;
    }
    let key = (nudge.graph, nudge.row.cancelled);
    let is_repeated = {
        let mut nudges = state.nudges();
        if nudges.pending.contains(&key) {
            return;
        }
        nudges.pending.len() < MOST_PENDING && nudges.pending.insert(key)
    };
    let mark = is_repeated.then(|| PendingMark { state: Arc::clone(state), key });
    let patience = if is_repeated { PATIENCE } else { Duration::ZERO };
    let state = Arc::clone(state);
    tokio::spawn(async move {
        repeat(&state, &nudge, patience).await;
        drop(mark);
    });
}

/// A nudge that is under way. It ends with its task, by a panic too: else no later nudge would tell of its job.
struct PendingMark<S: state::PoolAdapters> {
    state: Arc<state::PoolState<S>>,
    key: NudgeKey,
}

impl<S: state::PoolAdapters> Drop for PendingMark<S> {
    fn drop(&mut self) {
        self.state.nudges().pending.remove(&self.key);
    }
}

/// Nudges until the holder knows of the row, for as long as `patience`.
async fn repeat<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    nudge: &model::GraphNudge,
    patience: Duration,
) {
    let job = format!("{:016x}", nudge.graph);
    let began = Instant::now();
    let mut again = FIRST_AGAIN;
    let mut n_tries = 1;
    while let Err(fault) = try_once(state, nudge).await {
        count(fault.outcome());
        if n_tries == 1 {
            let version = nudge.version;
            tracing::info!(job, version, %fault, "nudge is not acknowledged");
        }
        if began.elapsed() + again > patience {
            count("given_up");
            tracing::info!(job, n_tries, %fault, "nudge is given up");
            return;
        }
        time::sleep(again).await;
        again = (again * 2).min(LONGEST_AGAIN);
        n_tries += 1;
    }
    count("acknowledged");
    if n_tries > 1 {
        let took_ms = began.elapsed().as_millis() as u64;
        tracing::info!(job, n_tries, took_ms, "nudge is acknowledged");
    }
}

/// Nudges whoever holds the tenure now.
async fn try_once<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    nudge: &model::GraphNudge,
) -> Result<(), NudgeFault> {
    if let Some(leader) = state.leader() {
        let is_known = graph_follower::accept_nudge(state, &leader, nudge);
        return is_known.then_some(()).ok_or(NudgeFault::NotKnown);
    }
    let holder = state.remote_holder().ok_or(NudgeFault::NoHolder)?;
    let taken = state.adapters.peers().call(&holder.address, nudge.clone(), DEADLINE).await?;
    // An earlier release does not tell.
    if taken.known.unwrap_or(true) { Ok(()) } else { Err(NudgeFault::NotKnown) }
}

fn count(outcome: &'static str) {
    metrics::counter!("almondpass_pool_nudges_total", "outcome" => outcome).increment(1);
}
