//! Accepts job graphs: a row in the store, then a nudge for the scheduler.

use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::codec;
use almondpass_peer::link::PeerLink;
use almondpass_ports::keys;
use almondpass_ports::row_feed;
use almondpass_ports::table::TableService;
use almondpass_schema::{blob, ids, model};
use tokio::time::{self, Instant};

use crate::graph_follower;
use crate::state;
use crate::writer;

/// A store that refuses is asked again for this long, so that one refusal in passing does not
/// reach the caller; a longer outage does at once.
const REFUSED_PATIENCE: Duration = Duration::from_millis(400);

/// Wait before the row is written again.
const WRITE_AGAIN: Duration = Duration::from_millis(80);

/// For the scheduler to take a nudge; the feed brings the row all the same.
const NUDGE_DEADLINE: Duration = Duration::from_millis(500);

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It is stored and will run.
    Accepted,
    /// It is not stored, and no write is under way that could still store it.
    NotRun,
    /// A write may have stored it, or may yet.
    Unknown,
    /// Another account has a job of that id.
    Taken,
}

/// Stores a job graph under its id, unless it is stored already.
pub async fn submit<S: state::PoolSite>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    row: model::GraphRow,
    deadline: Instant,
) -> SubmitOutcome {
    let started = Instant::now();
    let condition = model::TableCondition { key: keys::graph(graph), version: 0 };
    let write = writer::write_of(keys::graph(graph), &row);
    let transaction = model::TableTransaction { conditions: vec![condition], writes: vec![write] };
    let mut may_be_stored = false;
    loop {
        let outcome = state.site.store().transact(transaction.clone()).await;
        match outcome {
            Ok(model::TableOutcome::Committed { versions }) => {
                let version = versions.first().copied().unwrap_or_default();
                nudge(state, model::GraphNudge { graph, version, row });
                return SubmitOutcome::Accepted;
            }
            // Stored before: by an earlier call of the caller, or by a write of this one whose
            // answer was lost.
            Ok(model::TableOutcome::Conflict { rows }) => return judge(&rows, &row),
            Err(error) => {
                may_be_stored |= !error.fault.had_no_effect();
                tracing::info!(
                    job = format_args!("{graph:016x}"),
                    %error,
                    may_be_stored,
                    "job could not be stored"
                );
            }
        }
        let next = Instant::now() + WRITE_AGAIN;
        let is_refused_for_long = !may_be_stored && next >= started + REFUSED_PATIENCE;
        if next >= deadline || is_refused_for_long {
            return if may_be_stored { SubmitOutcome::Unknown } else { SubmitOutcome::NotRun };
        }
        time::sleep(WRITE_AGAIN).await;
    }
}

fn judge(rows: &[model::TableRow], wanted: &model::GraphRow) -> SubmitOutcome {
    let stored = rows.iter().find_map(|it| it.value.as_ref());
    let stored = stored.and_then(|it| codec::decode::<model::GraphRow>(it).ok());
    match stored {
        Some(stored) if stored.account == wanted.account => SubmitOutcome::Accepted,
        Some(_) => SubmitOutcome::Taken,
        None => SubmitOutcome::Unknown,
    }
}

/// Tells the scheduler of a row, without waiting for it.
pub(crate) fn nudge<S: state::PoolSite>(
    state: &Arc<state::PoolState<S>>,
    nudge: model::GraphNudge,
) {
    if let Some(lead) = state.lead() {
        if let Ok(value) = codec::encode(&nudge.row) {
            let row = row_feed::FeedRow {
                key: format!("{:016x}", nudge.graph),
                version: nudge.version,
                value: Some(blob::Blob::from(value.to_vec())),
            };
            graph_follower::take(state, &lead, &[row]);
        }
        return;
    }
    let Some(holder) = state.other_holder() else { return };
    let peers = state.site.peers().clone();
    tokio::spawn(async move {
        if let Err(error) = peers.call(&holder.address, nudge, NUDGE_DEADLINE).await {
            tracing::debug!(%error, "nudge without answer");
        }
    });
}
