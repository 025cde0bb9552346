//! Calls to the store, each with a deadline: a store that does not answer must not block the task that
//! calls it.

use std::future::Future;
use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_peer::error;
use almondpass_ports::row_feed::{self, RowFeed};
use almondpass_ports::table::TableService;
use almondpass_schema::{ids, model};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::{self, Instant};

use crate::state;

/// Time allowed for a transaction: more than 60 times the usual 9 ms. The slowest store that the users'
/// sites report takes 60 times as long as usual.
pub const WRITE_DEADLINE: Duration = Duration::from_millis(900);

/// Time allowed for a read of one row: more than 60 times the usual 4 ms.
pub const READ_DEADLINE: Duration = Duration::from_millis(600);

/// Time allowed for one page of a table and the calls that precede it, at 60 times the usual 4 ms each.
pub const PAGE_DEADLINE: Duration = Duration::from_millis(1_500);

/// Time allowed for a whole table, however many pages it has. With a bound for a few pages, no instance
/// could take over the tenure while the store is slow and jobs are many: 6,000 recently ended jobs are 13
/// pages. The tenure is renewed in the meantime. At 60 times the usual 4 ms per page, 10 s are enough for
/// 40 pages, or 20,000 rows.
pub const TABLE_DEADLINE: Duration = Duration::from_secs(10);

/// Time allowed for the answer to a read of a feed, beyond the time for which the store may hold it open.
pub const FEED_SLACK: Duration = Duration::from_millis(500);

/// Wait before a write is sent again while the store does not answer; a write usually takes 9 ms.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);

/// Name of the store in call errors.
const STORE: &str = "store";

/// Commits a transaction. Every transaction of this crate may be sent twice: either its condition holds only
/// the first time, or it writes the same values again.
pub(crate) async fn transact<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    transaction: model::TableTransaction,
) -> Result<model::TableOutcome, error::CallError> {
    let step = model::TableTransaction::PATH;
    let sent_at = Instant::now();
    let answer = if state.is_store_unavailable() {
        within(step, WRITE_DEADLINE, transact_with_resends(state, transaction)).await
    } else {
        within(step, WRITE_DEADLINE, state.adapters.store().transact(transaction)).await
    };
    observe(state, sent_at, &answer);
    answer
}

/// Records that a call sent at `sent_at` was cut short by its caller and had no answer by then. A call that
/// was cut short too early says nothing about the store.
pub(crate) fn observe_silence<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    sent_at: Instant,
) {
    let waited = sent_at.elapsed();
    if waited >= READ_DEADLINE {
        let silence = timed_out(model::TableTransaction::PATH, waited);
        observe::<_, ()>(state, sent_at, &Err(silence));
    }
}

/// Records the answer or the failure of a call in the outages that this instance sees. An outage that the
/// call reveals began at `since`.
fn observe<S: state::PoolAdapters, T>(
    state: &state::PoolState<S>,
    since: Instant,
    answer: &Result<T, error::CallError>,
) {
    if !state.settings.scheduling.adaptive_retry {
        return;
    }
    match answer {
        Ok(_) => state.outages.record_answer(),
        Err(error) => state.outages.record_failure(since, &error.fault),
    }
}

/// Sends a transaction repeatedly and returns the first answer. A store that does not answer has lost the
/// call, and only a call sent after the store is back is answered.
async fn transact_with_resends<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    transaction: model::TableTransaction,
) -> Result<model::TableOutcome, error::CallError> {
    let mut calls = FuturesUnordered::new();
    let mut unclear = None;
    loop {
        calls.push(state.adapters.store().transact(transaction.clone()));
        let resend = time::sleep(RESEND_INTERVAL);
        tokio::pin!(resend);
        loop {
            tokio::select! {
                biased;
                Some(answer) = calls.next() => match answer {
                    Ok(outcome) => return Ok(outcome),
                    Err(error) => {
                        // One call that may have taken effect makes the whole outcome unclear.
                        // Otherwise a caller would learn that its job was not stored, and the job
                        // would run.
                        if unclear.is_none() && !error.fault.had_no_effect() {
                            unclear = Some(error.clone());
                        }
                        if calls.is_empty() {
                            return Err(unclear.unwrap_or(error));
                        }
                    }
                },
                () = &mut resend => break,
            }
        }
    }
}

/// Reads one row within `READ_DEADLINE`.
pub(crate) async fn get<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    key: ids::RowKey,
) -> Result<model::TableRows, error::CallError> {
    let get = model::TableGet { keys: vec![key] };
    let sent_at = Instant::now();
    let answer =
        within(model::TableGet::PATH, READ_DEADLINE, state.adapters.store().get(get)).await;
    observe(state, sent_at, &answer);
    answer
}

/// Reads the rows behind a prefix within `READ_DEADLINE`.
pub(crate) async fn scan<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    scan: model::TableScan,
) -> Result<model::TableRows, error::CallError> {
    let sent_at = Instant::now();
    let answer =
        within(model::TableScan::PATH, READ_DEADLINE, state.adapters.store().scan(scan)).await;
    observe(state, sent_at, &answer);
    answer
}

pub(crate) async fn snapshot<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    table: &str,
) -> Result<row_feed::FeedRows, error::CallError> {
    let reading = state.adapters.store().snapshot(table, PAGE_DEADLINE);
    let answer = within(model::TableScan::PATH, TABLE_DEADLINE, reading).await;
    observe(state, Instant::now(), &answer);
    answer
}

pub(crate) async fn follow<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    table: &str,
    after: ids::RowVersion,
    wait: Duration,
) -> Result<row_feed::FeedRows, row_feed::FeedFault> {
    let deadline = wait + FEED_SLACK;
    let following = state.adapters.store().follow(table, after, wait);
    let answer = time::timeout(deadline, following)
        .await
        .unwrap_or_else(|_| Err(timed_out(model::TableScan::PATH, deadline).into()));
    match &answer {
        Err(row_feed::FeedFault::Call(error)) => {
            observe::<_, ()>(state, Instant::now(), &Err(error.clone()));
        }
        _ => observe(state, Instant::now(), &Ok(())),
    }
    answer
}

async fn within<T>(
    step: &'static str,
    deadline: Duration,
    call: impl Future<Output = Result<T, error::CallError>>,
) -> Result<T, error::CallError> {
    let sent_at = Instant::now();
    let answer = time::timeout(deadline, call).await;
    let answer = answer.unwrap_or_else(|_| Err(timed_out(step, deadline)));
    metrics::histogram!("almondpass_pool_store_seconds", "step" => step).record(sent_at.elapsed());
    if answer.is_err() {
        metrics::counter!("almondpass_pool_store_failures_total", "step" => step).increment(1);
    }
    answer
}

fn timed_out(step: &'static str, deadline: Duration) -> error::CallError {
    error::CallError { step, peer: STORE.to_owned(), fault: error::CallFault::TimedOut(deadline) }
}
