//! Commits one transaction, with retries until its outcome is known or no retry is left.

use std::sync::Arc;

use almondpass_peer::call::PeerCall;
use almondpass_peer::error;
use almondpass_schema::model;
use tokio::time::Instant;

use crate::guard;
use crate::retry;
use crate::settle;
use crate::table;
use crate::write_cap;

/// Commits transactions to the table with retries, and settles those whose answer was lost.
#[derive(Debug)]
pub(crate) struct TableCommitter<T> {
    pub(crate) table: T,
    pub(crate) guard: Arc<guard::CallGuard>,
    pub(crate) cap: Arc<write_cap::WriteCap>,
}

const TRANSACT: &str = model::TableTransaction::PATH;

impl<T: table::TableService> TableCommitter<T> {
    /// Commits a transaction that was merged from `members`. The caller has acquired the write cap for
    /// the first attempt.
    ///
    /// After an attempt with an unknown effect, the rows are read back. An error that may have had an
    /// effect is returned only if no retry was left, or the rows could not be read or did not show the
    /// outcome.
    pub(crate) async fn commit(
        &self,
        transaction: &model::TableTransaction,
        members: &[&model::TableTransaction],
        expires: Instant,
    ) -> Result<model::TableOutcome, error::CallError> {
        let mut waits = self.guard.begin();
        // Error of the last attempt that may have had an effect. Once it is set, a conflict or a
        // rejection of a later attempt no longer means that the transaction did not commit.
        let mut ambiguous_error = None;
        loop {
            let sent = self.table.transact(transaction.clone());
            let error = match self.guard.attempt(TRANSACT, sent).await {
                Ok(outcome) => return resolve(transaction, members, outcome, ambiguous_error),
                Err(error) => error,
            };
            if !error.fault.had_no_effect() {
                ambiguous_error = Some(error.clone());
            }
            let final_error = ambiguous_error.clone().unwrap_or_else(|| error.clone());
            if !self.guard.wait_for_retry(&mut waits, &error, expires).await {
                return Err(final_error);
            }
            if let Some(ambiguous_error) = &ambiguous_error {
                let settled = self.settle(transaction, members, &mut waits, expires).await;
                match settled.unwrap_or(settle::Verdict::Unclear) {
                    settle::Verdict::Committed { versions } => {
                        return Ok(model::TableOutcome::Committed { versions });
                    }
                    settle::Verdict::Conflict { rows } => {
                        return Ok(model::TableOutcome::Conflict { rows });
                    }
                    settle::Verdict::Unclear => return Err(ambiguous_error.clone()),
                    settle::Verdict::Pending => {}
                }
            }
            if self.cap.acquire(expires).await.is_none() {
                return Err(final_error);
            }
        }
    }

    /// Creates the error of a transaction that was not sent.
    pub(crate) fn not_sent(&self, reason: String) -> error::CallError {
        self.guard.error(TRANSACT, error::CallFault::NotSent(reason))
    }

    async fn settle(
        &self,
        transaction: &model::TableTransaction,
        members: &[&model::TableTransaction],
        waits: &mut retry::RetryWaits,
        expires: Instant,
    ) -> Result<settle::Verdict, error::CallError> {
        loop {
            let read = settle::settle(&self.table, transaction, members);
            let error = match self.guard.attempt(model::TableGet::PATH, read).await {
                Ok(verdict) => {
                    metrics::counter!(
                        "almondpass_store_settled_total",
                        "verdict" => verdict_label(&verdict)
                    )
                    .increment(1);
                    return Ok(verdict);
                }
                Err(error) => error,
            };
            if !self.guard.wait_for_retry(waits, &error, expires).await {
                return Err(error);
            }
        }
    }
}

/// Returns the outcome of the transaction from the answer to its last attempt, given the error of an earlier
/// attempt that may have had an effect.
fn resolve(
    transaction: &model::TableTransaction,
    members: &[&model::TableTransaction],
    outcome: model::TableOutcome,
    ambiguous_error: Option<error::CallError>,
) -> Result<model::TableOutcome, error::CallError> {
    let (model::TableOutcome::Conflict { rows }, Some(ambiguous_error)) =
        (&outcome, ambiguous_error)
    else {
        return Ok(outcome);
    };
    match settle::verdict_of_conflict(transaction, members, rows) {
        settle::Verdict::Committed { versions } => Ok(model::TableOutcome::Committed { versions }),
        settle::Verdict::Conflict { .. } => Ok(outcome),
        settle::Verdict::Pending | settle::Verdict::Unclear => Err(ambiguous_error),
    }
}

fn verdict_label(verdict: &settle::Verdict) -> &'static str {
    match verdict {
        settle::Verdict::Committed { .. } => "committed",
        settle::Verdict::Conflict { .. } => "conflict",
        settle::Verdict::Pending => "pending",
        settle::Verdict::Unclear => "unclear",
    }
}
