//! The table service, guarded.

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

/// A table whose transactions are grouped and settled, and whose reads are repeated and shared.
/// Clones share the groups, the circuit and the budget.
///
/// For a lost answer to be settled, a transaction writes at least one row under a condition on
/// that row, with a value that no other writer writes; see [`crate::settle`].
#[derive(Clone, Debug)]
pub struct StoreTable<T> {
    committer: Arc<commit::TableCommitter<T>>,
    arrivals: mpsc::Sender<group::WaitingTransaction>,
    gets: coalesce::ReadCoalescer<Vec<ids::RowKey>, RowsAnswer>,
    scans: coalesce::ReadCoalescer<ScanKey, RowsAnswer>,
    patience: Duration,
}

type RowsAnswer = Result<model::TableRows, error::CallError>;

/// What makes two scans the same.
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
        let (arrivals, receiver) = mpsc::channel(config.group.queue);
        tokio::spawn(group::run(Arc::clone(&committer), config.group, receiver));
        StoreTable {
            committer,
            arrivals,
            gets: coalesce::ReadCoalescer::default(),
            scans: coalesce::ReadCoalescer::default(),
            patience: config.patience,
        }
    }
}

impl<T: table::TableService> table::TableService for StoreTable<T> {
    async fn transact(
        &self,
        transaction: model::TableTransaction,
    ) -> Result<model::TableOutcome, error::CallError> {
        let expires = Instant::now() + self.patience;
        let (reply, outcome) = oneshot::channel();
        let waiting = group::WaitingTransaction { transaction, expires, reply };
        if self.arrivals.try_send(waiting).is_err() {
            return Err(self.committer.not_sent("too many transactions waiting".to_owned()));
        }
        outcome.await.unwrap_or_else(|_| Err(self.lost(model::TableTransaction::PATH)))
    }

    async fn get(&self, get: model::TableGet) -> RowsAnswer {
        let committer = Arc::clone(&self.committer);
        let patience = self.patience;
        let keys = get.keys.clone();
        let read = move || {
            let (committer, get) = (Arc::clone(&committer), get.clone());
            async move {
                let expires = Instant::now() + patience;
                let read = || committer.table.get(get.clone());
                committer.guard.repeat(model::TableGet::PATH, expires, read).await
            }
        };
        let rows = self.gets.read(keys, read).await;
        rows.unwrap_or_else(|| Err(self.lost(model::TableGet::PATH)))
    }

    async fn scan(&self, scan: model::TableScan) -> RowsAnswer {
        let committer = Arc::clone(&self.committer);
        let patience = self.patience;
        let key = ScanKey::from(&scan);
        let read = move || {
            let (committer, scan) = (Arc::clone(&committer), scan.clone());
            async move {
                let expires = Instant::now() + patience;
                let read = || committer.table.scan(scan.clone());
                committer.guard.repeat(model::TableScan::PATH, expires, read).await
            }
        };
        let rows = self.scans.read(key, read).await;
        rows.unwrap_or_else(|| Err(self.lost(model::TableScan::PATH)))
    }
}

impl<T: table::TableService> StoreTable<T> {
    /// The task that would have answered ended without doing so.
    fn lost(&self, step: &'static str) -> error::CallError {
        let fault = error::CallFault::NoAnswer("a panic of the store client".to_owned());
        self.committer.guard.error(step, fault)
    }
}

impl From<&model::TableScan> for ScanKey {
    fn from(scan: &model::TableScan) -> ScanKey {
        ScanKey { prefix: scan.prefix.clone(), after: scan.after.clone(), limit: scan.limit }
    }
}
