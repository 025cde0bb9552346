//! Cancels job graphs. A cancellation is stored before the caller is answered.

use std::sync::Arc;
use std::time::Duration;

use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use tokio::time::{self, Instant};

use crate::cancel_marker;
use crate::job_query;
use crate::nudge;
use crate::relay;
use crate::state;
use crate::store_call;
use crate::writer;

/// Wait before a failed cancellation reads and writes the row again.
const RETRY_INTERVAL: Duration = Duration::from_millis(80);

/// Time allowed for a direct write to the store before the call is relayed through a peer.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Marks a job as cancelled: directly in the store, or through a peer where the store does not answer this
/// instance. Returns `Unknown` where the write may or may not have taken effect by `deadline`.
pub async fn cancel<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    account: Option<&str>,
    deadline: Instant,
) -> model::CancelOutcome {
    if !state.is_store_unavailable() {
        let direct_deadline = deadline.min(Instant::now() + DIRECT_TIMEOUT);
        let outcome = cancel_directly(state, graph, account, direct_deadline).await;
        if outcome != model::CancelOutcome::Unknown {
            return outcome;
        }
    }
    match relay::cancel(state, graph, account, deadline).await {
        relay::RelayOutcome::Served(outcome) => outcome,
        _ => cancel_directly(state, graph, account, deadline).await,
    }
}

/// Marks a job as cancelled directly in the store, and retries until `deadline`.
pub(crate) async fn cancel_directly<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    account: Option<&str>,
    deadline: Instant,
) -> model::CancelOutcome {
    loop {
        if let Some(outcome) = try_cancel(state, graph, account).await {
            return outcome;
        }
        if Instant::now() + RETRY_INTERVAL >= deadline {
            return model::CancelOutcome::Unknown;
        }
        time::sleep(RETRY_INTERVAL).await;
    }
}

async fn try_cancel<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    account: Option<&str>,
) -> Option<model::CancelOutcome> {
    let read = job_query::read_row::<S, model::GraphRow>(state, keys::graph(graph)).await.ok()?;
    let Some((mut row, version)) = read else {
        return write_marker(state, graph, account).await;
    };
    if row.account.as_deref() != account || cancel_marker::is_marker(&row) {
        return Some(model::CancelOutcome::Absent);
    }
    if row.cancelled {
        // An earlier call has cancelled the job, or a write of this call whose answer was lost.
        nudge::send(state, model::GraphNudge { graph, version, row });
        return Some(model::CancelOutcome::Cancelled);
    }
    row.cancelled = true;
    let transaction = model::TableTransaction {
        conditions: vec![model::TableCondition { key: keys::graph(graph), version }],
        writes: vec![writer::encode_write(keys::graph(graph), &row)],
    };
    let outcome = store_call::transact(state, transaction).await;
    let Ok(model::TableOutcome::Committed { versions }) = outcome else {
        return None;
    };
    let version = versions.first().copied().unwrap_or_default();
    nudge::send(state, model::GraphNudge { graph, version, row });
    Some(model::CancelOutcome::Cancelled)
}

/// Bars the id of a job that is not stored: a write of its submission may still be in progress. Returns
/// `None` where the marker is not known to be stored.
async fn write_marker<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    account: Option<&str>,
) -> Option<model::CancelOutcome> {
    let row = cancel_marker::marker_row(account);
    let transaction = model::TableTransaction {
        conditions: vec![model::TableCondition { key: keys::graph(graph), version: 0 }],
        writes: vec![writer::encode_write(keys::graph(graph), &row)],
    };
    let outcome = store_call::transact(state, transaction).await;
    if !matches!(outcome, Ok(model::TableOutcome::Committed { .. })) {
        return None;
    }
    tracing::info!(job = format_args!("{graph:016x}"), account, "id is cancelled before its job");
    Some(model::CancelOutcome::Absent)
}
