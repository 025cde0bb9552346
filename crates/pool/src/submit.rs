//! Accepts job graphs: a row in the store, then a nudge for the scheduler.

use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::codec;
use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use metrics::Label;
use tokio::time::{self, Instant};

use crate::nudge;
use crate::relay;
use crate::state;
use crate::store_call;
use crate::writer;

/// A store that refuses is asked again for this long, so that one refusal in passing does not
/// reach the caller; a longer outage does at once.
const REFUSED_PATIENCE: Duration = Duration::from_millis(250);

/// The own way to the store is tried for this long before a peer is asked: a write takes up to
/// 0.54 s while the store is 60 times slower.
const OWN_PATIENCE: Duration = Duration::from_millis(650);

/// Wait before the row is written again.
const WRITE_AGAIN: Duration = Duration::from_millis(80);

/// Stores a job graph under its id, unless it is stored already: by the own way to the store, or
/// by that of a peer.
pub async fn submit<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    row: model::GraphRow,
    deadline: Instant,
) -> model::SubmitOutcome {
    let account = row.account.clone().unwrap_or_default();
    let labels =
        [("account", account), ("class", row.class.clone())].map(|(key, it)| Label::new(key, it));
    let outcome = submit_by_any_way(state, graph, row, deadline).await;
    let outcome_label = Label::new("outcome", outcome.to_string());
    let labels = labels.into_iter().chain([outcome_label]).collect::<Vec<_>>();
    metrics::counter!("almondpass_pool_submissions_total", labels).increment(1);
    outcome
}

async fn submit_by_any_way<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    row: model::GraphRow,
    deadline: Instant,
) -> model::SubmitOutcome {
    let mut may_be_stored = false;
    if !state.is_store_unavailable() {
        match submit_directly(state, graph, &row, deadline.min(Instant::now() + OWN_PATIENCE)).await
        {
            model::SubmitOutcome::NotRun => {}
            model::SubmitOutcome::Unknown => may_be_stored = true,
            certain => return certain,
        }
    }
    match relay::submit(state, graph, &row, deadline).await {
        relay::RelayOutcome::Served(outcome) => return outcome,
        relay::RelayOutcome::NotServed => {}
        relay::RelayOutcome::Unclear => may_be_stored = true,
    }
    // The store may be back, or slow rather than away; one that refuses is given up on in there.
    // While a write may still land, its outcome is worth the rest of the caller's time: a caller
    // can't repeat what is unknown for nothing.
    match submit_directly(state, graph, &row, deadline).await {
        model::SubmitOutcome::NotRun if may_be_stored => model::SubmitOutcome::Unknown,
        outcome => outcome,
    }
}

/// Stores a job graph by the own way to the store.
pub(crate) async fn submit_directly<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    row: &model::GraphRow,
    deadline: Instant,
) -> model::SubmitOutcome {
    let started = Instant::now();
    let condition = model::TableCondition { key: keys::graph(graph), version: 0 };
    let write = writer::encode_write(keys::graph(graph), row);
    let transaction = model::TableTransaction { conditions: vec![condition], writes: vec![write] };
    let mut may_be_stored = false;
    let mut n_failed = 0;
    loop {
        let writing = store_call::transact(state, transaction.clone());
        let Ok(written) = time::timeout_at(deadline, writing).await else {
            return model::SubmitOutcome::Unknown;
        };
        match written {
            Ok(model::TableOutcome::Committed { versions }) => {
                let version = versions.first().copied().unwrap_or_default();
                nudge::send(state, model::GraphNudge { graph, version, row: row.clone() });
                return model::SubmitOutcome::Accepted;
            }
            // Stored before: by an earlier call of the caller, or by a write of this one whose
            // answer was lost.
            Ok(model::TableOutcome::Conflict { rows }) => {
                return settle(state, graph, &rows, row);
            }
            Err(error) if error.fault.is_permanent() => {
                tracing::error!(
                    job = format_args!("{graph:016x}"),
                    n_bytes = transaction.writes.iter().map(writer::encoded_size).sum::<usize>(),
                    %error,
                    may_be_stored,
                    "row of a job is refused"
                );
                return unless_stored(may_be_stored, model::SubmitOutcome::Refused);
            }
            Err(error) => {
                may_be_stored |= !error.fault.had_no_effect();
                n_failed += 1;
                // Once a call: it tries a dozen times a second, and an outage meets all callers.
                if n_failed == 1 {
                    tracing::info!(
                        job = format_args!("{graph:016x}"),
                        %error,
                        may_be_stored,
                        "job could not be stored"
                    );
                }
            }
        }
        let next = Instant::now() + WRITE_AGAIN;
        let is_refused_for_long = !may_be_stored && next >= started + REFUSED_PATIENCE;
        if next >= deadline || is_refused_for_long {
            tracing::info!(
                job = format_args!("{graph:016x}"),
                n_failed,
                may_be_stored,
                "storing a job is given up"
            );
            return unless_stored(may_be_stored, model::SubmitOutcome::NotRun);
        }
        time::sleep(WRITE_AGAIN).await;
    }
}

/// The outcome of a write that certainly did not land, unless an earlier one may have.
fn unless_stored(may_be_stored: bool, outcome: model::SubmitOutcome) -> model::SubmitOutcome {
    if may_be_stored { model::SubmitOutcome::Unknown } else { outcome }
}

/// What the row tells that was found in place of `wanted`. The holder may not know of it yet.
fn settle<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    rows: &[model::TableRow],
    wanted: &model::GraphRow,
) -> model::SubmitOutcome {
    let found = rows.iter().find_map(|it| Some((it.version, it.value.as_ref()?)));
    let stored = found.and_then(|(version, it)| Some((version, codec::decode(it).ok()?)));
    let Some((version, row)) = stored else { return model::SubmitOutcome::Unknown };
    let row: model::GraphRow = row;
    if row.account != wanted.account {
        return model::SubmitOutcome::Taken;
    }
    nudge::send(state, model::GraphNudge { graph, version, row });
    model::SubmitOutcome::Accepted
}
