//! What callers ask of an instance.

use std::time::Duration;

use almondpass_peer::codec;
use almondpass_peer::link::PeerLink;
use almondpass_ports::keys;
use almondpass_ports::table::TableService;
use almondpass_schema::{ids, model};
use tokio::time::{self, Instant};

use crate::state;

/// For the holder of the tenure to answer before the store is asked.
const HOLDER_DEADLINE: Duration = Duration::from_millis(250);

/// Wait before the store is read again after a failure.
const READ_AGAIN: Duration = Duration::from_millis(100);

/// How far a job is, as callers are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateAnswer {
    /// It is known.
    Known(model::GraphState),
    /// There is no such job of that account.
    Absent,
    /// Nobody who knows could be asked in time.
    Unavailable,
}

/// How far a job is. The holder of the tenure is asked first, and the store where that gives none.
pub async fn state_of<S: state::PoolSite>(
    state: &state::PoolState<S>,
    graph: ids::GraphId,
    account: Option<&str>,
    deadline: Instant,
) -> StateAnswer {
    let answer = ask_holder(state, model::GraphQuery { graph }).await;
    if let Some(model::GraphAnswer { account: owner, state: Some(known) }) = answer {
        let is_theirs = owner.as_deref() == account;
        return if is_theirs { StateAnswer::Known(known) } else { StateAnswer::Absent };
    }
    loop {
        if let Some(answer) = stored_state(state, graph, account).await {
            return answer;
        }
        if Instant::now() + READ_AGAIN >= deadline {
            return StateAnswer::Unavailable;
        }
        time::sleep(READ_AGAIN).await;
    }
}

/// Accepted jobs of a class of which no task has started; nothing where the holder of the tenure
/// can't be asked.
pub async fn backlog<S: state::PoolSite>(
    state: &state::PoolState<S>,
    class: &ids::ClassName,
) -> Option<u64> {
    if let Some(lead) = state.lead() {
        return Some(lead.core().backlog(class));
    }
    let holder = state.other_holder()?;
    let query = model::BacklogQuery { class: class.clone() };
    let answer = state.site.peers().call(&holder.address, query, HOLDER_DEADLINE).await;
    answer.ok()?.waiting
}

async fn ask_holder<S: state::PoolSite>(
    state: &state::PoolState<S>,
    query: model::GraphQuery,
) -> Option<model::GraphAnswer> {
    if let Some(lead) = state.lead() {
        let core = lead.core();
        let (known, account) = core.state_of(query.graph)?;
        return Some(model::GraphAnswer {
            account: account.map(str::to_owned),
            state: Some(known),
        });
    }
    let holder = state.other_holder()?;
    let answer = state.site.peers().call(&holder.address, query, HOLDER_DEADLINE).await;
    answer.inspect_err(|error| tracing::debug!(%error, "holder gave no answer")).ok()
}

/// The state by the rows of the store; nothing where they can't be read.
async fn stored_state<S: state::PoolSite>(
    state: &state::PoolState<S>,
    graph: ids::GraphId,
    account: Option<&str>,
) -> Option<StateAnswer> {
    let (row, progress) = tokio::try_join!(
        read::<S, model::GraphRow>(state, keys::graph(graph)),
        read::<S, model::ProgressRow>(state, keys::progress(graph)),
    )
    .ok()?;
    let Some((row, _)) = row.filter(|(it, _)| it.account.as_deref() == account) else {
        return Some(StateAnswer::Absent);
    };
    let known = match progress.map(|(it, _)| it.state) {
        Some(ended @ (model::GraphState::Completed | model::GraphState::Failed)) => ended,
        _ if row.cancelled => model::GraphState::Cancelled,
        known => known.unwrap_or(model::GraphState::Pending),
    };
    Some(StateAnswer::Known(known))
}

/// Reads one row; nothing inside where there is none.
pub(crate) async fn read<S: state::PoolSite, M: serde::de::DeserializeOwned>(
    state: &state::PoolState<S>,
    key: ids::RowKey,
) -> Result<Option<(M, ids::RowVersion)>, StoreFault> {
    let rows = state.site.store().get(model::TableGet { keys: vec![key] }).await;
    let rows = rows.map_err(|error| {
        tracing::debug!(%error, "row can't be read");
        StoreFault
    })?;
    let Some(row) = rows.rows.into_iter().next() else { return Ok(None) };
    let Some(value) = row.value else { return Ok(None) };
    let content = codec::decode(&value).map_err(|error| {
        tracing::error!(key = row.key, %error, "row can't be understood");
        StoreFault
    })?;
    Ok(Some((content, row.version)))
}

/// The store gave no usable answer; it was logged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreFault;
