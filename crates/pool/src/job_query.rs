//! What callers ask of an instance.

use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::progress;
use almondpass_peer::codec;
use almondpass_peer::link::PeerLink;
use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use tokio::time::{self, Instant};

use crate::leader;
use crate::nudge;
use crate::relay;
use crate::state;
use crate::store_call;

/// For the holder of the tenure to answer before the store is asked.
const HOLDER_DEADLINE: Duration = Duration::from_millis(250);

/// The own way to the store is tried for this long before a peer is asked.
const OWN_PATIENCE: Duration = Duration::from_millis(400);

/// Wait before the store is read again after a failure.
const READ_AGAIN: Duration = Duration::from_millis(100);

/// How far a job is. The holder of the tenure is asked first, then the store, and a peer where
/// neither gives an answer.
pub async fn job_state<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    account: Option<&str>,
    deadline: Instant,
) -> model::GraphLooked {
    let patience = if state.is_store_unavailable() { Duration::ZERO } else { OWN_PATIENCE };
    let own = deadline.min(Instant::now() + patience);
    let answer = direct_job_state(state, graph, account, own).await;
    if answer.outcome != model::LookOutcome::Unavailable {
        return answer;
    }
    match relay::job_state(state, graph, account, deadline).await {
        relay::RelayOutcome::Served(answer) => answer,
        _ => direct_job_state(state, graph, account, deadline).await,
    }
}

/// How far a job is, by the holder of the tenure or the own way to the store.
pub(crate) async fn direct_job_state<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    account: Option<&str>,
    deadline: Instant,
) -> model::GraphLooked {
    let answer = ask_holder(state, model::GraphQuery { graph }).await;
    let holder_schedules = answer.as_ref().is_some_and(|it| it.schedules == Some(true));
    if let Some(model::GraphAnswer { account: owner, state: Some(known), failure, .. }) = answer {
        let is_theirs = owner.as_deref() == account;
        return if is_theirs {
            known_job(known, failure)
        } else {
            looked(model::LookOutcome::Absent)
        };
    }
    loop {
        if let Some(stored) = stored_job(state, graph, account).await {
            if let Some(nudge) = stored.unfinished.filter(|_| holder_schedules) {
                nudge::send(state, nudge);
            }
            return stored.looked;
        }
        if Instant::now() + READ_AGAIN >= deadline {
            return looked(model::LookOutcome::Unavailable);
        }
        time::sleep(READ_AGAIN).await;
    }
}

/// Accepted jobs of a class of which no task has started; nothing where the holder of the tenure
/// can't be asked.
pub async fn backlog<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    class: &ids::ClassName,
) -> Option<u64> {
    if let Some(leader) = state.leader() {
        return Some(leader.core().backlog(class));
    }
    let holder = state.remote_holder()?;
    let query = model::BacklogQuery { class: class.clone() };
    let answer = state.adapters.peers().call(&holder.address, query, HOLDER_DEADLINE).await;
    answer.ok()?.waiting
}

/// What the holder of the tenure knows of a job.
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
    }
}

fn known_job(state: model::GraphState, failure: Option<model::FailureCause>) -> model::GraphLooked {
    let failure = failure.filter(|_| state == model::GraphState::Failed);
    model::GraphLooked { outcome: model::LookOutcome::Known(state), failure }
}

fn looked(outcome: model::LookOutcome) -> model::GraphLooked {
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
    let answer = state.adapters.peers().call(&holder.address, query, HOLDER_DEADLINE).await;
    answer.inspect_err(|error| tracing::debug!(%error, "holder gave no answer")).ok()
}

/// A job by the rows of the store.
struct StoredJob {
    looked: model::GraphLooked,
    /// What the holder is told where it does not know the job; nothing where nothing is left to do.
    unfinished: Option<model::GraphNudge>,
}

/// A job by the rows of the store; nothing where they can't be read.
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
    let Some((row, version)) = row.filter(|(it, _)| it.account.as_deref() == account) else {
        return Some(StoredJob { looked: looked(model::LookOutcome::Absent), unfinished: None });
    };
    let failure = progress.as_ref().and_then(|(it, _)| it.failure);
    let known = match progress.map(|(it, _)| it.state) {
        Some(ended @ (model::GraphState::Completed | model::GraphState::Failed)) => ended,
        _ if row.cancelled => model::GraphState::Cancelled,
        known => known.unwrap_or(model::GraphState::Pending),
    };
    let is_unfinished = matches!(known, model::GraphState::Pending | model::GraphState::Running);
    let unfinished = is_unfinished.then_some(model::GraphNudge { graph, version, row });
    Some(StoredJob { looked: known_job(known, failure), unfinished })
}

/// Reads one row; nothing inside where there is none.
pub(crate) async fn read_row<S: state::PoolAdapters, M: serde::de::DeserializeOwned>(
    state: &state::PoolState<S>,
    key: ids::RowKey,
) -> Result<Option<(M, ids::RowVersion)>, ReadFailure> {
    let rows = store_call::get(state, key).await;
    let rows = rows.map_err(|error| {
        tracing::debug!(%error, "row can't be read");
        ReadFailure
    })?;
    let Some(row) = rows.rows.into_iter().next() else { return Ok(None) };
    let Some(value) = row.value else { return Ok(None) };
    let content = codec::decode(&value).map_err(|error| {
        tracing::error!(key = row.key, %error, "row can't be understood");
        ReadFailure
    })?;
    Ok(Some((content, row.version)))
}

/// The store gave no usable answer; it was logged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadFailure;
