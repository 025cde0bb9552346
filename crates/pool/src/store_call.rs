//! Calls to the store, each with its deadline: a store that says nothing must not hold up what
//! waits for it.

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

/// For a transaction: 60 times the usual 9 ms, the slowest that the users' sites name, and more.
pub const WRITE_DEADLINE: Duration = Duration::from_millis(900);

/// For a read of one row: 60 times the usual 4 ms, and more.
pub const READ_DEADLINE: Duration = Duration::from_millis(600);

/// For one page of a table, and what is asked for before it: at 60 times the usual 4 ms each.
pub const PAGE_DEADLINE: Duration = Duration::from_millis(1_500);

/// For a whole table, however many pages it has. With a bound for a few pages nobody could take the
/// tenure while the store is slow, once jobs are many: 6,000 that ended lately are 13 pages. The tenure
/// is renewed meanwhile. At 60 times the usual 4 ms this is 40 pages, or 20,000 rows.
pub const TABLE_DEADLINE: Duration = Duration::from_secs(10);

/// For the answer to a feed, beyond the time that the store may wait.
pub const FEED_SLACK: Duration = Duration::from_millis(500);

/// Wait before a write is sent again to a store that gives no answers; usually one takes 9 ms.
const RESEND: Duration = Duration::from_millis(150);

/// Name of the store in errors of this module.
const STORE: &str = "store";

/// Writes. Every transaction of this crate may be sent twice: its condition holds once, or it
/// writes the same again.
pub(crate) async fn transact<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    transaction: model::TableTransaction,
) -> Result<model::TableOutcome, error::CallError> {
    let step = model::TableTransaction::PATH;
    if state.is_store_unavailable() {
        return within(step, WRITE_DEADLINE, transact_insistently(state, transaction)).await;
    }
    within(step, WRITE_DEADLINE, state.adapters.store().transact(transaction)).await
}

/// Sends a transaction again and again, and takes the first answer. A store that says nothing has
/// lost the call, and once it is back only another one tells.
async fn transact_insistently<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    transaction: model::TableTransaction,
) -> Result<model::TableOutcome, error::CallError> {
    let mut calls = FuturesUnordered::new();
    let mut unclear = None;
    loop {
        calls.push(state.adapters.store().transact(transaction.clone()));
        let resend = time::sleep(RESEND);
        tokio::pin!(resend);
        loop {
            tokio::select! {
                biased;
                Some(answer) = calls.next() => match answer {
                    Ok(outcome) => return Ok(outcome),
                    Err(error) => {
                        // One that may have landed counts for all: else a caller would be told that
                        // its job was not stored, and it would run.
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

/// Reads one row.
pub(crate) async fn get<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    key: ids::RowKey,
) -> Result<model::TableRows, error::CallError> {
    let get = model::TableGet { keys: vec![key] };
    within(model::TableGet::PATH, READ_DEADLINE, state.adapters.store().get(get)).await
}

pub(crate) async fn snapshot<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    table: &str,
) -> Result<row_feed::FeedRows, error::CallError> {
    let reading = state.adapters.store().snapshot(table, PAGE_DEADLINE);
    within(model::TableScan::PATH, TABLE_DEADLINE, reading).await
}

pub(crate) async fn follow<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    table: &str,
    after: ids::RowVersion,
    wait: Duration,
) -> Result<row_feed::FeedRows, row_feed::FeedFault> {
    let deadline = wait + FEED_SLACK;
    let following = state.adapters.store().follow(table, after, wait);
    time::timeout(deadline, following)
        .await
        .unwrap_or_else(|_| Err(timed_out(model::TableScan::PATH, deadline).into()))
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
