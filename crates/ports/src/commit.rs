//! One transaction, made until its fate is known or no retry is left.

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

/// Makes transactions.
#[derive(Debug)]
pub(crate) struct TableCommitter<T> {
    pub(crate) table: T,
    pub(crate) guard: Arc<guard::CallGuard>,
    pub(crate) cap: Arc<write_cap::WriteCap>,
}

const STEP: &str = model::TableTransaction::PATH;

impl<T: table::TableService> TableCommitter<T> {
    /// Makes a transaction, put together from `members`, whose first write the cap has admitted. An
    /// error that may have had an
    /// effect comes back only where the rows could not be read, or did not tell.
    pub(crate) async fn commit(
        &self,
        transaction: &model::TableTransaction,
        members: &[&model::TableTransaction],
        expires: Instant,
    ) -> Result<model::TableOutcome, error::CallError> {
        let mut waits = self.guard.begin();
        // The last attempt that may have had an effect. From then on no conflict and no refusal
        // of a later attempt may pass for "not committed".
        let mut doubt = None;
        loop {
            let sent = self.table.transact(transaction.clone());
            let error = match self.guard.attempt(STEP, sent).await {
                Ok(outcome) => return resolve(transaction, members, outcome, doubt),
                Err(error) => error,
            };
            if !error.fault.had_no_effect() {
                doubt = Some(error.clone());
            }
            let given_up = doubt.clone().unwrap_or_else(|| error.clone());
            if !self.guard.may_retry(&mut waits, &error, expires).await {
                return Err(given_up);
            }
            if let Some(doubt) = &doubt {
                let settled = self.settle(transaction, members, &mut waits, expires).await;
                match settled.unwrap_or(settle::Verdict::Unclear) {
                    settle::Verdict::Committed { versions } => {
                        return Ok(model::TableOutcome::Committed { versions });
                    }
                    settle::Verdict::Conflict { rows } => {
                        return Ok(model::TableOutcome::Conflict { rows });
                    }
                    settle::Verdict::Unclear => return Err(doubt.clone()),
                    settle::Verdict::Pending => {}
                }
            }
            if self.cap.acquire(expires).await.is_none() {
                return Err(given_up);
            }
        }
    }

    /// The error of a transaction that was not sent.
    pub(crate) fn not_sent(&self, reason: String) -> error::CallError {
        self.guard.error(STEP, error::CallFault::NotSent(reason))
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
                    metrics::counter!("almondpass_store_settled_total", "verdict" => name(&verdict))
                        .increment(1);
                    return Ok(verdict);
                }
                Err(error) => error,
            };
            if !self.guard.may_retry(waits, &error, expires).await {
                return Err(error);
            }
        }
    }
}

/// What an answer means after attempts that may have had an effect.
fn resolve(
    transaction: &model::TableTransaction,
    members: &[&model::TableTransaction],
    outcome: model::TableOutcome,
    doubt: Option<error::CallError>,
) -> Result<model::TableOutcome, error::CallError> {
    let (model::TableOutcome::Conflict { rows }, Some(doubt)) = (&outcome, doubt) else {
        return Ok(outcome);
    };
    match settle::judge_conflict(transaction, members, rows) {
        settle::Verdict::Committed { versions } => Ok(model::TableOutcome::Committed { versions }),
        settle::Verdict::Conflict { .. } => Ok(outcome),
        settle::Verdict::Pending | settle::Verdict::Unclear => Err(doubt),
    }
}

fn name(verdict: &settle::Verdict) -> &'static str {
    match verdict {
        settle::Verdict::Committed { .. } => "committed",
        settle::Verdict::Conflict { .. } => "conflict",
        settle::Verdict::Pending => "pending",
        settle::Verdict::Unclear => "unclear",
    }
}
