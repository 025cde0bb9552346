//! Cancels job graphs: durable before the caller hears of it.

use std::sync::Arc;
use std::time::Duration;

use almondpass_ports::keys;
use almondpass_ports::table::TableService;
use almondpass_schema::{ids, model};
use tokio::time::{self, Instant};

use crate::entry;
use crate::state;
use crate::submit;
use crate::writer;

/// Wait before the row is read and written again.
const AGAIN: Duration = Duration::from_millis(80);

/// What became of a cancelling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job is marked as cancelled; it ends unless it has ended already.
    Cancelled,
    /// There is no such job of that account.
    Absent,
    /// Whether it is marked is not known.
    Unknown,
}

/// Marks a job as cancelled.
pub async fn cancel<S: state::PoolSite>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    account: Option<&str>,
    deadline: Instant,
) -> CancelOutcome {
    loop {
        if let Some(outcome) = try_cancel(state, graph, account).await {
            return outcome;
        }
        if Instant::now() + AGAIN >= deadline {
            return CancelOutcome::Unknown;
        }
        time::sleep(AGAIN).await;
    }
}

async fn try_cancel<S: state::PoolSite>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    account: Option<&str>,
) -> Option<CancelOutcome> {
    let read = entry::read::<S, model::GraphRow>(state, keys::graph(graph)).await.ok()?;
    let Some((mut row, version)) = read.filter(|(it, _)| it.account.as_deref() == account) else {
        return Some(CancelOutcome::Absent);
    };
    if row.cancelled {
        return Some(CancelOutcome::Cancelled);
    }
    row.cancelled = true;
    let transaction = model::TableTransaction {
        conditions: vec![model::TableCondition { key: keys::graph(graph), version }],
        writes: vec![writer::write_of(keys::graph(graph), &row)],
    };
    let outcome = state.site.store().transact(transaction).await;
    let Ok(model::TableOutcome::Committed { versions }) = outcome else {
        return None;
    };
    let version = versions.first().copied().unwrap_or_default();
    submit::nudge(state, model::GraphNudge { graph, version, row });
    Some(CancelOutcome::Cancelled)
}
