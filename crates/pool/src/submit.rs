//! Accepts job graphs: writes a row into the store, then nudges the tenure holder.

use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::codec;
use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use metrics::Label;
use tokio::time::{self, Instant};

use crate::call_times;
use crate::cancel_marker;
use crate::nudge;
use crate::relay;
use crate::retry_time;
use crate::state;
use crate::store_call;
use crate::store_outage;
use crate::writer;

/// A store that rejects a write without effect is tried again for this long, so that a single rejection does
/// not reach the caller; a longer outage is reported to the caller at once.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(250);

/// Time allowed for direct writes to the store before the call is relayed through a peer: a write takes up
/// to 0.54 s while the store is 60 times slower than usual.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(650);

/// Wait before a failed write of the row is repeated.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(80);

/// Copies of a row that exist while it is stored: the row, its encoding, and both on their way to the store or to
/// a peer.
const ROW_COPIES: usize = 4;

/// Answer to a submission. Peers exchange only the outcome; the load decides before a submission is relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// The job was stored, or not.
    Outcome(model::SubmitOutcome),
    /// The job could only end when it is worth nothing to its caller; nothing was stored.
    Overloaded {
        /// Time after which such a job would be of use again.
        retry_after: Duration,
    },
}

/// Memory that the submission of a job takes until it is answered, in bytes.
pub fn handling_memory(row: &model::GraphRow) -> usize {
    let text_bytes = |it: &Option<String>| it.as_ref().map_or(0, String::len);
    let steps = row.graph.steps.iter().map(|it| {
        size_of_val(it)
            + size_of_val(it.after.as_slice())
            + text_bytes(&it.label)
            + text_bytes(&it.rack)
    });
    ROW_COPIES * (size_of_val(row) + row.graph.body.len() + steps.sum::<usize>())
}

/// Stores a job graph under its id, unless it is stored already: directly in the store, or through a peer
/// where the store does not answer this instance. Returns `Unknown` where the row may have been stored.
pub async fn submit<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    row: model::GraphRow,
    times: call_times::CallTimes,
) -> SubmitAnswer {
    // Proof that the job has not run: this call has written nothing, and the store has no row of an earlier one.
    if let Some(retry_after) = state.refuse_for_load(graph, &row, times).await {
        return SubmitAnswer::Overloaded { retry_after };
    }
    let account = row.account.clone().unwrap_or_default();
    let labels =
        [("account", account), ("class", row.class.clone())].map(|(key, it)| Label::new(key, it));
    let outcome = submit_with_relay(state, graph, row, times).await;
    let outcome_label = Label::new("outcome", outcome.to_string());
    let labels = labels.into_iter().chain([outcome_label]).collect::<Vec<_>>();
    metrics::counter!("almondpass_pool_submissions_total", labels).increment(1);
    SubmitAnswer::Outcome(outcome)
}

async fn submit_with_relay<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    row: model::GraphRow,
    times: call_times::CallTimes,
) -> model::SubmitOutcome {
    let deadline = times.deadline;
    let mut may_be_stored = false;
    if !state.is_store_away() {
        match submit_directly(state, graph, &row, deadline.min(Instant::now() + DIRECT_TIMEOUT))
            .await
        {
            model::SubmitOutcome::NotRun => {}
            model::SubmitOutcome::Unknown => may_be_stored = true,
            certain => return certain,
        }
    }
    loop {
        match relay::submit(state, graph, &row, deadline).await {
            relay::RelayOutcome::Served(outcome) => return outcome,
            relay::RelayOutcome::NotServed => {}
            relay::RelayOutcome::Unclear => may_be_stored = true,
        }
        if may_be_stored {
            break;
        }
        match state.await_store(store_wait(graph, &row, times)).await {
            store_outage::WaitOutcome::Returned => break,
            store_outage::WaitOutcome::RelayDue => {}
            // Proof that the job has not run: no write of this call is in progress, since every write of it
            // was rejected without effect.
            store_outage::WaitOutcome::Refused => return model::SubmitOutcome::NotRun,
        }
    }
    // The store may be back, or slow rather than unavailable; `submit_directly` gives up early on a store
    // that rejects writes. While a write may still take effect, its outcome is worth the rest of the caller's
    // time: a caller can't repeat a call of unknown outcome without a cost.
    match submit_directly(state, graph, &row, deadline).await {
        model::SubmitOutcome::NotRun if may_be_stored => model::SubmitOutcome::Unknown,
        outcome => outcome,
    }
}

fn store_wait(
    graph: ids::GraphId,
    row: &model::GraphRow,
    times: call_times::CallTimes,
) -> store_outage::StoreWait {
    let caller = retry_time::RefusedCaller::of_row(graph, row);
    let n_bytes = writer::encoded_size(&writer::encode_write(keys::graph(graph), row));
    store_outage::StoreWait { caller, n_bytes, times }
}

/// Stores a job graph directly in the store, and retries until `deadline` or until the store has rejected
/// writes for `REJECTION_TIMEOUT`.
pub(crate) async fn submit_directly<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    row: &model::GraphRow,
    deadline: Instant,
) -> model::SubmitOutcome {
    let started = Instant::now();
    if started >= deadline {
        // Nothing has been sent, so the outcome is known.
        return model::SubmitOutcome::NotRun;
    }
    let condition = model::TableCondition { key: keys::graph(graph), version: 0 };
    let write = writer::encode_write(keys::graph(graph), row);
    let transaction = model::TableTransaction { conditions: vec![condition], writes: vec![write] };
    let mut may_be_stored = false;
    let mut n_failed = 0;
    loop {
        let sent_at = Instant::now();
        let writing = store_call::transact(state, transaction.clone());
        let Ok(written) = time::timeout_at(deadline, writing).await else {
            store_call::observe_silence(state, sent_at);
            return model::SubmitOutcome::Unknown;
        };
        match written {
            Ok(model::TableOutcome::Committed { versions }) => {
                let version = versions.first().copied().unwrap_or_default();
                nudge::send(state, model::GraphNudge { graph, version, row: row.clone() });
                return model::SubmitOutcome::Accepted;
            }
            // The row exists: an earlier call of the caller has stored it, or a write of this call
            // whose answer was lost.
            Ok(model::TableOutcome::Conflict { rows }) => {
                return outcome_of_existing(state, graph, &rows, row);
            }
            Err(error) if error.fault.is_permanent() => {
                tracing::error!(
                    job = format_args!("{graph:016x}"),
                    n_bytes = transaction.writes.iter().map(writer::encoded_size).sum::<usize>(),
                    %error,
                    may_be_stored,
                    "row of a job is refused"
                );
                return outcome_unless_stored(may_be_stored, model::SubmitOutcome::Refused);
            }
            Err(error) => {
                may_be_stored |= !error.fault.had_no_effect();
                n_failed += 1;
                // Logged once per call: a call tries a dozen times a second, and an outage affects all
                // callers.
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
        let next = Instant::now() + WRITE_RETRY_INTERVAL;
        let is_rejected_for_long = !may_be_stored && next >= started + REJECTION_TIMEOUT;
        if next >= deadline || is_rejected_for_long {
            tracing::info!(
                job = format_args!("{graph:016x}"),
                n_failed,
                may_be_stored,
                "storing a job is given up"
            );
            return outcome_unless_stored(may_be_stored, model::SubmitOutcome::NotRun);
        }
        time::sleep(WRITE_RETRY_INTERVAL).await;
    }
}

/// Returns `outcome` for a write that had no effect, or `Unknown` where an earlier write may have stored
/// the row.
fn outcome_unless_stored(
    may_be_stored: bool,
    outcome: model::SubmitOutcome,
) -> model::SubmitOutcome {
    if may_be_stored { model::SubmitOutcome::Unknown } else { outcome }
}

/// Derives the outcome from the row found in place of `wanted`: `Taken` where it belongs to another account,
/// or where the job was cancelled before it was stored. The tenure holder may not know the row yet, so it is
/// nudged.
fn outcome_of_existing<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    graph: ids::GraphId,
    rows: &[model::TableRow],
    wanted: &model::GraphRow,
) -> model::SubmitOutcome {
    let found = rows.iter().find_map(|it| Some((it.version, it.value.as_ref()?)));
    let stored = found.and_then(|(version, it)| Some((version, codec::decode(it).ok()?)));
    let Some((version, row)) = stored else { return model::SubmitOutcome::Unknown };
    let row: model::GraphRow = row;
    if row.account != wanted.account || cancel_marker::is_marker(&row) {
        return model::SubmitOutcome::Taken;
    }
    nudge::send(state, model::GraphNudge { graph, version, row });
    model::SubmitOutcome::Accepted
}
