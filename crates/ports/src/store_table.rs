//! Client of the table service with retries, group commit and coalesced reads.

use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_peer::error;
use almondpass_schema::{ids, model};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::coalesce;
use crate::commit;
use crate::group;
use crate::guard;
use crate::store;
use crate::table;
use crate::write_cap;

/// A table client that groups and settles transactions, and that retries and coalesces reads.
/// Clones share the groups, the circuit breaker and the retry budget.
///
/// A lost answer can be settled only if the transaction writes at least one row under a condition on
/// that row, with a value that no other writer writes; see [`crate::settle`].
#[derive(Clone, Debug)]
pub struct StoreTable<T> {
    committer: Arc<commit::TableCommitter<T>>,
    arrivals: mpsc::Sender<group::WaitingTransaction>,
    gets: coalesce::ReadCoalescer<Vec<ids::RowKey>, RowsAnswer>,
    scans: coalesce::ReadCoalescer<ScanKey, RowsAnswer>,
    call_timeout: Duration,
}

type RowsAnswer = Result<model::TableRows, error::CallError>;

/// Parameters of a scan; scans with equal parameters are coalesced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ScanKey {
    prefix: String,
    after: Option<ids::RowKey>,
    limit: u32,
}

impl<T: table::TableService> StoreTable<T> {
    pub(crate) fn new(
        table: T,
        guard: Arc<guard::CallGuard>,
        cap: Arc<write_cap::WriteCap>,
        config: store::StoreConfig,
    ) -> StoreTable<T> {
        let committer = Arc::new(commit::TableCommitter { table, guard, cap });
        let (arrivals, receiver) = mpsc::channel(config.group.max_waiting);
        tokio::spawn(group::run(Arc::clone(&committer), config.group, receiver));
        StoreTable {
            committer,
            arrivals,
            gets: coalesce::ReadCoalescer::default(),
            scans: coalesce::ReadCoalescer::default(),
            call_timeout: config.call_timeout,
        }
    }
}

impl<T: table::TableService> table::TableService for StoreTable<T> {
    async fn transact(
        &self,
        transaction: model::TableTransaction,
    ) -> Result<model::TableOutcome, error::CallError> {
        let expires = Instant::now() + self.call_timeout;
        let (reply, outcome) = oneshot::channel();
        let waiting = group::WaitingTransaction { transaction, expires, reply };
        if self.arrivals.try_send(waiting).is_err() {
            return Err(self.committer.not_sent("too many transactions waiting".to_owned()));
        }
        outcome.await.unwrap_or_else(|_| Err(self.no_answer_error(model::TableTransaction::PATH)))
    }

    async fn get(&self, get: model::TableGet) -> RowsAnswer {
        let committer = Arc::clone(&self.committer);
        let call_timeout = self.call_timeout;
        let keys = get.keys.clone();
        let read = move || {
            let (committer, get) = (Arc::clone(&committer), get.clone());
            async move {
                let expires = Instant::now() + call_timeout;
                let read = || committer.table.get(get.clone());
                committer.guard.call_with_retries(model::TableGet::PATH, expires, read).await
            }
        };
        let rows = self.gets.read(keys, read).await;
        rows.unwrap_or_else(|| Err(self.no_answer_error(model::TableGet::PATH)))
    }

    async fn scan(&self, scan: model::TableScan) -> RowsAnswer {
        let committer = Arc::clone(&self.committer);
        let call_timeout = self.call_timeout;
        let key = ScanKey::from(&scan);
        let read = move || {
            let (committer, scan) = (Arc::clone(&committer), scan.clone());
            async move {
                let expires = Instant::now() + call_timeout;
                let read = || committer.table.scan(scan.clone());
                committer.guard.call_with_retries(model::TableScan::PATH, expires, read).await
            }
        };
        let rows = self.scans.read(key, read).await;
        rows.unwrap_or_else(|| Err(self.no_answer_error(model::TableScan::PATH)))
    }
}

impl<T: table::TableService> StoreTable<T> {
    /// Creates the error of a call whose answering task ended without an answer.
    fn no_answer_error(&self, step: &'static str) -> error::CallError {
        let fault = error::CallFault::NoAnswer("a panic of the store client".to_owned());
        self.committer.guard.error(step, fault)
    }
}

impl From<&model::TableScan> for ScanKey {
    fn from(scan: &model::TableScan) -> ScanKey {
        ScanKey { prefix: scan.prefix.clone(), after: scan.after.clone(), limit: scan.limit }
    }
}
