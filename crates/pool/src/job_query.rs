//! Answers callers' queries: the state of a job and the backlog of a job class.

use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::progress;
use almondpass_peer::codec;
use almondpass_peer::link::PeerLink;
use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use tokio::time::{self, Instant};

use crate::call_times;
use crate::cancel_marker;
use crate::leader;
use crate::nudge;
use crate::relay;
use crate::retry_time;
use crate::state;
use crate::store_call;
use crate::store_outage;

/// Time allowed for the tenure holder to answer before the store is read.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time allowed for direct reads of the store before the query is relayed through a peer.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Wait before the job's rows are read again after the store failed.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the state of a job. Asks the tenure holder first, then reads the store, and relays the
/// query through a peer where neither answers. A job of another account is `Absent`.
pub async fn job_state<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    account: Option<&str>,
    times: call_times::CallTimes,
) -> model::GraphLooked {
    let deadline = times.deadline;
    let direct_timeout = if state.is_store_away() { Duration::ZERO } else { DIRECT_TIMEOUT };
    let direct_deadline = deadline.min(Instant::now() + direct_timeout);
    let answer = direct_job_state(state, graph, account, direct_deadline).await;
    if answer.outcome != model::LookOutcome::Unavailable {
        return answer;
    }
    if let relay::RelayOutcome::Served(answer) =
        relay::job_state(state, graph, account, deadline).await
    {
        return answer;
    }
    // A query is seldom urgent and is easily repeated, so it comes back after the submissions.
    let caller = retry_time::RefusedCaller { graph, is_urgent: false };
    let wait = store_outage::StoreWait { caller, n_bytes: 0, times };
    if state.await_store(wait).await == store_outage::WaitOutcome::Refused {
        return answer;
    }
    direct_job_state(state, graph, account, deadline).await
}

/// Returns the state of a job from the tenure holder or from direct reads of the store.
pub(crate) async fn direct_job_state<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    account: Option<&str>,
    deadline: Instant,
) -> model::GraphLooked {
    let answer = ask_holder(state, model::GraphQuery { graph }).await;
    let holder_schedules = answer.as_ref().is_some_and(|it| it.schedules == Some(true));
    if let Some(model::GraphAnswer { account: owner, state: Some(known), failure, .. }) = answer {
        let is_own_account = owner.as_deref() == account;
        return if is_own_account {
            known_answer(known, failure)
        } else {
            plain_answer(model::LookOutcome::Absent)
        };
    }
    if state.refuses_store_calls() {
        return plain_answer(model::LookOutcome::Unavailable);
    }
    loop {
        if let Some(stored) = stored_job(state, graph, account).await {
            if let Some(nudge) = stored.unfinished.filter(|_| holder_schedules) {
                nudge::send(state, nudge);
            }
            return stored.answer;
        }
        if Instant::now() + READ_RETRY_INTERVAL >= deadline {
            return plain_answer(model::LookOutcome::Unavailable);
        }
        time::sleep(READ_RETRY_INTERVAL).await;
    }
}

/// Returns the number of accepted jobs of a class of which no task has started; `None` where the
/// tenure holder can't be asked.
pub async fn backlog<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    class: &ids::ClassName,
) -> Option<u64> {
    if let Some(leader) = state.leader() {
        return Some(leader.core().backlog(class));
    }
    let holder = state.remote_holder()?;
    let query = model::BacklogQuery { class: class.clone() };
    let answer = state.adapters.peers().call(&holder.address, query, HOLDER_TIMEOUT).await.ok()?;
    state.load.receive(holder.instance, answer.load);
    answer.waiting
}

/// Answers a job query from the scheduler's state in memory. Called on the tenure holder only.
pub(crate) fn answer_as_holder(
    leader: &leader::LeaderState,
    graph: ids::GraphId,
) -> model::GraphAnswer {
    let schedules = Some(true);
    let core = leader.core();
    let Some(shown) = core.state_of(graph) else {
        return model::GraphAnswer { schedules, ..model::GraphAnswer::default() };
    };
    model::GraphAnswer {
        account: shown.account.map(str::to_owned),
        state: Some(shown.state),
        failure: shown.failure,
        schedules,
        load: None,
    }
}

fn known_answer(
    state: model::GraphState,
    failure: Option<model::FailureCause>,
) -> model::GraphLooked {
    let failure = failure.filter(|_| state == model::GraphState::Failed);
    model::GraphLooked { outcome: model::LookOutcome::Known(state), failure }
}

fn plain_answer(outcome: model::LookOutcome) -> model::GraphLooked {
    model::GraphLooked { outcome, failure: None }
}

async fn ask_holder<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    query: model::GraphQuery,
) -> Option<model::GraphAnswer> {
    if let Some(leader) = state.leader() {
        return Some(answer_as_holder(&leader, query.graph));
    }
    let holder = state.remote_holder()?;
    let answer = state.adapters.peers().call(&holder.address, query, HOLDER_TIMEOUT).await;
    answer
        .inspect_err(|error| {
            tracing::debug!(%error, "tenure holder did not answer a job query");
            state.holder_doubted.notify_one();
        })
        .inspect(|it| state.load.receive(holder.instance, it.load.clone()))
        .ok()
}

/// State of a job according to its rows in the store.
struct StoredJob {
    answer: model::GraphLooked,
    /// Nudge for a tenure holder that does not know the job; `None` where the job has ended or is cancelled.
    unfinished: Option<model::GraphNudge>,
}

/// Reads a job's state from its rows in the store; `None` where the rows can't be read.
async fn stored_job<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    graph: ids::GraphId,
    account: Option<&str>,
) -> Option<StoredJob> {
    let (row, progress) = tokio::try_join!(
        read_row::<S, model::GraphRow>(state, keys::graph(graph)),
        read_row::<S, model::ProgressRow>(state, keys::progress(graph, progress::HEAD_CHUNK)),
    )
    .ok()?;
    let is_own_job =
        |it: &model::GraphRow| it.account.as_deref() == account && !cancel_marker::is_marker(it);
    let Some((row, version)) = row.filter(|(it, _)| is_own_job(it)) else {
        return Some(StoredJob {
            answer: plain_answer(model::LookOutcome::Absent),
            unfinished: None,
        });
    };
    let failure = progress.as_ref().and_then(|(it, _)| it.failure);
    let known = match progress.map(|(it, _)| it.state) {
        Some(ended @ (model::GraphState::Completed | model::GraphState::Failed)) => ended,
        _ if row.cancelled => model::GraphState::Cancelled,
        known => known.unwrap_or(model::GraphState::Pending),
    };
    let is_unfinished = matches!(known, model::GraphState::Pending | model::GraphState::Running);
    let unfinished = is_unfinished.then_some(model::GraphNudge { graph, version, row });
    Some(StoredJob { answer: known_answer(known, failure), unfinished })
}

/// Reads and decodes one row; `Ok(None)` where the row does not exist.
pub(crate) async fn read_row<S: state::PoolAdapters, M: serde::de::DeserializeOwned>(
    state: &state::PoolState<S>,
    key: ids::RowKey,
) -> Result<Option<(M, ids::RowVersion)>, ReadFailure> {
    let rows = store_call::get(state, key).await;
    let rows = rows.map_err(|error| {
        tracing::debug!(%error, "row cannot be read from the store");
        ReadFailure
    })?;
    let Some(row) = rows.rows.into_iter().next() else { return Ok(None) };
    let Some(value) = row.value else { return Ok(None) };
    let content = codec::decode(&value).map_err(|error| {
        tracing::error!(key = row.key, %error, "stored row cannot be decoded");
        ReadFailure
    })?;
    Ok(Some((content, row.version)))
}

/// A row could not be read or decoded. The reason is logged where it occurs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadFailure;
