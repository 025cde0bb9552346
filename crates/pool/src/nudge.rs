//! Nudges the tenure holder about a job row that was written, and repeats the nudge until the holder knows
//! the row.
//!
//! The feed delivers every row too, but a feed may stop for seconds, and the holder may change while a
//! nudge is in progress.

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

/// Time allowed for the holder to answer.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Wait before the first repetition; doubled for each further one.
const FIRST_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait between two repetitions.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(3_200);

/// A nudge is repeated for this long: through an outage of the store and the takeover after it.
const MAX_REPEAT_DURATION: Duration = Duration::from_secs(30);

/// Most nudges that are repeated at a time. Each keeps its row in memory, usually a few kilobytes. Further
/// nudges are sent once, after which the job waits for the feed.
const MAX_PENDING: usize = 200;

/// Nudges that are being repeated until the holder acknowledges them.
#[derive(Debug, Default)]
pub(crate) struct PendingNudges {
    /// Keys of the nudges; a cancellation is a nudge of its own besides that of the acceptance.
    pending: BTreeSet<NudgeKey>,
}

/// Job of a nudge, and whether the row is cancelled.
type NudgeKey = (ids::GraphId, bool);

/// Why a nudge is not acknowledged.
#[derive(Debug, Error)]
enum NudgeFault {
    #[error("no tenure holder is known")]
    NoHolder,
    #[error("the tenure holder does not know the job")]
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

/// Sends a nudge to the holder in the background, unless the same nudge is pending. Where this instance is
/// the holder, the row is admitted directly.
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
        nudges.pending.len() < MAX_PENDING && nudges.pending.insert(key)
    };
    let mark = is_repeated.then(|| PendingMark { state: Arc::clone(state), key });
    let repeat_for = if is_repeated { MAX_REPEAT_DURATION } else { Duration::ZERO };
    let state = Arc::clone(state);
    tokio::spawn(async move {
        repeat(&state, &nudge, repeat_for).await;
        drop(mark);
    });
}

/// Marks a nudge as pending. The mark is removed with its task, also by a panic: otherwise no later nudge
/// of the job would be sent.
struct PendingMark<S: state::PoolAdapters> {
    state: Arc<state::PoolState<S>>,
    key: NudgeKey,
}

impl<S: state::PoolAdapters> Drop for PendingMark<S> {
    fn drop(&mut self) {
        self.state.nudges().pending.remove(&self.key);
    }
}

/// Repeats a nudge until the holder knows the row, for `repeat_for` at most.
async fn repeat<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    nudge: &model::GraphNudge,
    repeat_for: Duration,
) {
    let job = format!("{:016x}", nudge.graph);
    let began = Instant::now();
    let mut retry_interval = FIRST_RETRY_INTERVAL;
    let mut n_tries = 1;
    while let Err(fault) = try_once(state, nudge).await {
        count(fault.outcome());
        state.holder_doubted.notify_one();
        if n_tries == 1 {
            let version = nudge.version;
            tracing::info!(job, version, %fault, "nudge is not acknowledged");
        }
        if began.elapsed() + retry_interval > repeat_for {
            count("given_up");
            tracing::info!(job, n_tries, %fault, "nudge is given up");
            return;
        }
        time::sleep(retry_interval).await;
        retry_interval = (retry_interval * 2).min(MAX_RETRY_INTERVAL);
        n_tries += 1;
    }
    count("acknowledged");
    if n_tries > 1 {
        let took_ms = began.elapsed().as_millis() as u64;
        tracing::info!(job, n_tries, took_ms, "nudge is acknowledged");
    }
}

/// Sends a nudge once to the current holder, which may be this instance.
async fn try_once<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    nudge: &model::GraphNudge,
) -> Result<(), NudgeFault> {
    if let Some(leader) = state.leader() {
        let is_known = graph_follower::accept_nudge(state, &leader, nudge);
        return is_known.then_some(()).ok_or(NudgeFault::NotKnown);
    }
    let holder = state.remote_holder().ok_or(NudgeFault::NoHolder)?;
    let taken = state.adapters.peers().call(&holder.address, nudge.clone(), HOLDER_TIMEOUT).await?;
    state.load.receive(holder.instance, taken.load);
    // An earlier release does not send `known`; its answer counts as an acknowledgement.
    if taken.known.unwrap_or(true) { Ok(()) } else { Err(NudgeFault::NotKnown) }
}

fn count(outcome: &'static str) {
    metrics::counter!("almondpass_pool_nudges_total", "outcome" => outcome).increment(1);
}
