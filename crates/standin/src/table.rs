//! A fake of the platform's table service, in memory.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_peer::error;
use almondpass_ports::{row_feed, table};
use almondpass_schema::{blob, ids, model};
use tokio::time::{self, Instant};

use crate::fault;
use crate::state;

/// A handle to the fake table service. Clones share the rows.
#[derive(Clone, Debug, Default)]
pub struct TableFake {
    rows: Arc<Mutex<TableRows>>,
    service_faults: fault::FaultPlan,
    path_faults: fault::FaultPlan,
    limits: Arc<Mutex<TableLimits>>,
}

/// Limits of the table service. Transactions over a limit are rejected permanently, without effect.
#[derive(Clone, Debug)]
pub struct TableLimits {
    /// Maximum size of a row's value, in bytes.
    pub row_bytes: usize,
    /// Maximum total size of the values of a transaction, in bytes.
    pub transaction_bytes: usize,
    /// Maximum number of conditions and writes of a transaction, together.
    pub entries: usize,
    /// Maximum number of rows per page of a snapshot.
    pub page_rows: usize,
    /// Maximum number of rows in one answer to a follower; all rows of one transaction have to fit.
    pub feed_rows: usize,
    /// Maximum number of transactions a second on one part of a table; those over it are rejected, and count
    /// as well.
    pub transactions_per_second: usize,
    /// Keys of rows whose writes are rejected.
    pub read_only_rows: BTreeSet<ids::RowKey>,
}

impl Default for TableLimits {
    fn default() -> TableLimits {
        TableLimits {
            row_bytes: usize::MAX,
            transaction_bytes: usize::MAX,
            entries: usize::MAX,
            page_rows: usize::MAX,
            feed_rows: usize::MAX,
            transactions_per_second: usize::MAX,
            read_only_rows: BTreeSet::new(),
        }
    }
}

impl TableLimits {
    /// The fault with which a transaction over a limit is rejected.
    fn rejection(&self, transaction: &model::TableTransaction) -> Option<error::CallFault> {
        let bytes = |it: &model::TableWrite| it.value.as_ref().map_or(0, |it| it.len());
        let refused = |status, detail: &str| {
            Some(error::CallFault::Refused { status, detail: detail.to_owned() })
        };
        if transaction.writes.iter().any(|it| self.read_only_rows.contains(&it.key)) {
            return refused(403, "the row is read-only");
        }
        if transaction.writes.iter().any(|it| bytes(it) > self.row_bytes) {
            return refused(400, "a row is too long");
        }
        if transaction.writes.iter().map(bytes).sum::<usize>() > self.transaction_bytes {
            return refused(413, "the call is too large");
        }
        if transaction.conditions.len() + transaction.writes.len() > self.entries {
            return refused(400, "too many entries");
        }
        None
    }
}

/// Step name in fault plans of reading a whole table.
pub const SNAPSHOT_STEP: &str = "snapshot";

/// Step name in fault plans of following a table.
pub const FOLLOW_STEP: &str = "follow";

/// Interval at which a waiting feed checks for changes.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Peer name of the table service in call errors.
const PEER: &str = "table";

#[derive(Debug, Default)]
struct TableRows {
    rows: BTreeMap<ids::RowKey, StoredRow>,
    transactions: u64,
    numbering: VersionNumbering,
    /// The history of changes up to and including this transaction is no longer available.
    forgotten_through: u64,
    /// Times at which existing rows were removed, by key.
    removals: BTreeMap<ids::RowKey, Vec<Instant>>,
    /// Number of rows read by scans, for snapshots and by followers, by the prefix of the table.
    rows_returned: BTreeMap<String, usize>,
    /// Number of calls, those without an answer included.
    n_calls: u64,
    /// Times of the transactions within the last second by part, the rejected ones included.
    transacted_at: BTreeMap<String, VecDeque<Instant>>,
}

/// How row versions are numbered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionNumbering {
    /// Each row has a counter of its own writes.
    #[default]
    PerRow,
    /// All rows share one counter, which each transaction increments.
    Shared,
}

/// A stored row. A deleted row keeps its version, so that a row that is written again never gets a version
/// that it had before.
#[derive(Clone, Debug)]
struct StoredRow {
    version: ids::RowVersion,
    /// Number of the transaction that last wrote or deleted the row.
    written_in: u64,
    value: Option<blob::Blob>,
}

impl TableFake {
    /// An empty table.
    pub fn new() -> TableFake {
        TableFake::default()
    }

    /// An empty table with [`VersionNumbering::Shared`], which feeds need in order to follow changes.
    pub fn shared_numbering() -> TableFake {
        let table = TableFake::default();
        state::lock(&table.rows).numbering = VersionNumbering::Shared;
        table
    }

    /// Discards the history of changes: feeds that follow from an earlier version fail with `HistoryGone`.
    pub fn forget_history(&self) {
        let mut rows = state::lock(&self.rows);
        rows.forgotten_through = rows.transactions;
    }

    /// A handle to the same table whose calls also get the faults of `path_faults`, for example of the path
    /// from one instance.
    pub fn with_path_faults(&self, path_faults: fault::FaultPlan) -> TableFake {
        TableFake { path_faults, ..self.clone() }
    }

    /// Faults of the service itself, for every caller.
    pub fn faults(&self) -> &fault::FaultPlan {
        &self.service_faults
    }

    /// Sets the limits for all handles.
    pub fn set_limits(&self, limits: TableLimits) {
        *state::lock(&self.limits) = limits;
    }

    /// Number of rows of `table` read by scans, for snapshots and by followers so far.
    pub fn rows_returned(&self, table: &str) -> usize {
        let rows = state::lock(&self.rows);
        rows.rows_returned.get(&format!("{table}/")).copied().unwrap_or_default()
    }

    /// Number of calls of all instances so far, those without an answer included.
    pub fn n_calls(&self) -> u64 {
        state::lock(&self.rows).n_calls
    }

    /// Counts a transaction. Returns the number of those on its part within the last second.
    fn count_transaction(&self, transaction: &model::TableTransaction) -> usize {
        let key = transaction.writes.first().map(|it| it.key.as_str());
        let part = key.and_then(|it| it.split('/').nth(1)).unwrap_or_default();
        let mut rows = state::lock(&self.rows);
        let times = rows.transacted_at.entry(part.to_owned()).or_default();
        let now = Instant::now();
        times.push_back(now);
        while times.pop_front_if(|it| *it + Duration::from_secs(1) <= now).is_some() {}
        times.len()
    }

    fn count_call(&self) {
        state::lock(&self.rows).n_calls += 1;
    }

    /// Number of transactions committed so far.
    pub fn committed_transactions(&self) -> u64 {
        state::lock(&self.rows).transactions
    }

    /// Times at which the existing row `key` was removed. Ignores injected faults; for the checks of oracles.
    pub fn removal_times(&self, key: &str) -> Vec<Instant> {
        state::lock(&self.rows).removals.get(key).cloned().unwrap_or_default()
    }

    /// Current rows whose keys begin with `prefix`. Ignores injected faults; for the checks of oracles.
    pub fn peek(&self, prefix: &str) -> Vec<model::TableRow> {
        let scan = model::TableScan { prefix: prefix.to_owned(), after: None, limit: u32::MAX };
        state::lock(&self.rows).scan(&scan).rows
    }

    async fn call_with_faults<T: Send + 'static>(
        &self,
        step: &'static str,
        effect: impl FnOnce(&mut TableRows) -> T + Send + 'static,
    ) -> Result<T, error::CallError> {
        let rows = Arc::clone(&self.rows);
        let effect = move || effect(&mut state::lock(&rows));
        fault::call_through(&[&self.path_faults, &self.service_faults], PEER, step, effect).await
    }
}

impl table::TableService for TableFake {
    async fn transact(
        &self,
        transaction: model::TableTransaction,
    ) -> Result<model::TableOutcome, error::CallError> {
        self.count_call();
        let step = model::TableTransaction::PATH;
        let limits = state::lock(&self.limits).clone();
        let is_over_rate = self.count_transaction(&transaction) > limits.transactions_per_second;
        let too_many = || error::CallFault::Refused { status: 429, detail: "too many".to_owned() };
        let rejection = limits.rejection(&transaction).or_else(|| is_over_rate.then(too_many));
        if let Some(fault) = rejection {
            return Err(error::CallError { step, peer: PEER.to_owned(), fault });
        }
        self.call_with_faults(step, move |rows| rows.transact(transaction)).await
    }

    async fn get(&self, get: model::TableGet) -> Result<model::TableRows, error::CallError> {
        self.count_call();
        self.call_with_faults(model::TableGet::PATH, move |rows| rows.get(&get)).await
    }

    async fn scan(&self, scan: model::TableScan) -> Result<model::TableRows, error::CallError> {
        self.count_call();
        let read = move |rows: &mut TableRows| {
            let scanned = rows.scan(&scan);
            let table = scan.prefix.split('/').next().unwrap_or_default();
            *rows.rows_returned.entry(format!("{table}/")).or_default() += scanned.rows.len();
            scanned
        };
        self.call_with_faults(model::TableScan::PATH, read).await
    }
}

impl TableRows {
    fn transact(&mut self, transaction: model::TableTransaction) -> model::TableOutcome {
        let failed = transaction.conditions.iter().map(|it| (it, self.read(&it.key)));
        let failed = failed.filter(|(condition, row)| condition.version != row.version);
        let rows = failed.map(|(_, row)| row).collect::<Vec<_>>();
        if !rows.is_empty() {
            return model::TableOutcome::Conflict { rows };
        }
        self.transactions += 1;
        let writes = transaction.writes.into_iter();
        model::TableOutcome::Committed { versions: writes.map(|it| self.write(it)).collect() }
    }

    fn get(&self, get: &model::TableGet) -> model::TableRows {
        let rows = get.keys.iter().map(|it| self.read(it)).collect();
        model::TableRows { rows, more: false }
    }

    fn scan(&self, scan: &model::TableScan) -> model::TableRows {
        let first = match &scan.after {
            Some(after) if scan.prefix <= *after => Bound::Excluded(after.clone()),
            _ => Bound::Included(scan.prefix.clone()),
        };
        let in_prefix = self.rows.range((first, Bound::Unbounded));
        let in_prefix = in_prefix.take_while(|(key, _)| key.starts_with(&scan.prefix));
        let mut live = in_prefix.filter(|(_, row)| row.value.is_some());
        let limit = usize::try_from(scan.limit).unwrap_or(usize::MAX);
        let rows = live.by_ref().take(limit).map(|(key, row)| row.to_row(key)).collect();
        model::TableRows { rows, more: live.next().is_some() }
    }

    fn read(&self, key: &ids::RowKey) -> model::TableRow {
        match self.rows.get(key) {
            Some(row) if row.value.is_some() => row.to_row(key),
            _ => model::TableRow { key: key.clone(), version: 0, value: None },
        }
    }

    fn write(&mut self, write: model::TableWrite) -> ids::RowVersion {
        let empty = StoredRow { version: 0, written_in: 0, value: None };
        let row = self.rows.entry(write.key.clone()).or_insert(empty);
        if row.value.is_some() && write.value.is_none() {
            self.removals.entry(write.key).or_default().push(Instant::now());
        }
        row.written_in = self.transactions;
        row.version = match self.numbering {
            VersionNumbering::PerRow => row.version + 1,
            VersionNumbering::Shared => self.transactions,
        };
        row.value = write.value;
        row.version
    }
}

impl row_feed::RowFeed for TableFake {
    async fn snapshot(
        &self,
        table: &str,
        deadline: Duration,
    ) -> Result<row_feed::FeedRows, error::CallError> {
        let prefix = format!("{table}/");
        let max_rows = state::lock(&self.limits).page_rows;
        let mut snapshot = row_feed::FeedRows::default();
        loop {
            self.count_call();
            let (prefix, after) = (prefix.clone(), snapshot.rows.last().map(|it| it.key.clone()));
            let page = self
                .call_with_faults(SNAPSHOT_STEP, move |rows| rows.page(&prefix, after, max_rows));
            let fault = error::CallFault::TimedOut(deadline);
            let timed_out = error::CallError { step: SNAPSHOT_STEP, peer: PEER.to_owned(), fault };
            let page = time::timeout(deadline, page).await.unwrap_or(Err(timed_out))?;
            if snapshot.rows.is_empty() {
                snapshot.version = page.version;
            }
            snapshot.rows.extend(page.rows);
            if !page.more {
                return Ok(snapshot);
            }
        }
    }

    async fn follow(
        &self,
        table: &str,
        after: ids::RowVersion,
        wait: Duration,
    ) -> Result<row_feed::FeedRows, row_feed::FeedFault> {
        let prefix = format!("{table}/");
        let wait_ends = Instant::now() + wait;
        self.count_call();
        loop {
            let prefix = prefix.clone();
            let max_rows = state::lock(&self.limits).feed_rows;
            let read = move |rows: &mut TableRows| {
                (after >= rows.forgotten_through)
                    .then(|| limit_changes(rows.changes(&prefix, Some(after)), max_rows))
            };
            let Some(changes) = self.call_with_faults(FOLLOW_STEP, read).await? else {
                return Err(row_feed::FeedFault::HistoryGone);
            };
            if !changes.rows.is_empty() || Instant::now() >= wait_ends {
                return Ok(changes);
            }
            time::sleep(FEED_POLL_INTERVAL).await;
        }
    }
}

impl TableRows {
    /// The next page of a table: rows in key order, after the row with key `after`.
    fn page(&mut self, prefix: &str, after: Option<String>, max_rows: usize) -> row_feed::FeedRows {
        let mut page = self.changes(prefix, None);
        page.rows.sort_by(|a, b| a.key.cmp(&b.key));
        page.rows.retain(|it| after.as_ref().is_none_or(|after| it.key > *after));
        page.more = page.rows.len() > max_rows;
        page.rows.truncate(max_rows);
        page
    }

    /// Rows whose keys begin with `prefix`, in version order: all existing rows, or with `after` the rows
    /// that were written or deleted after that transaction.
    fn changes(&mut self, prefix: &str, after: Option<u64>) -> row_feed::FeedRows {
        let in_prefix = self.rows.range(prefix.to_owned()..);
        let in_prefix = in_prefix.take_while(|(key, _)| key.starts_with(prefix));
        let wanted = in_prefix.filter(|(_, row)| match after {
            Some(after) => row.written_in > after,
            None => row.value.is_some(),
        });
        let mut rows = wanted.map(|(key, row)| row.to_feed_row(key)).collect::<Vec<_>>();
        rows.sort_by_key(|it| it.version);
        *self.rows_returned.entry(prefix.to_owned()).or_default() += rows.len();
        row_feed::FeedRows { rows, version: self.transactions, more: false }
    }
}

/// Limits the changes to one answer. The follower gets the rest by following from the last version in it.
fn limit_changes(mut changes: row_feed::FeedRows, max_rows: usize) -> row_feed::FeedRows {
    let Some(version) = changes.rows.get(max_rows).map(|it| it.version) else { return changes };
    // The rows of one transaction stay together: a follower that continues after the transaction's version
    // would miss the rest of them.
    changes.rows.retain(|it| it.version < version);
    if let Some(last) = changes.rows.last() {
        changes.version = last.version;
        changes.more = true;
    }
    changes
}

impl StoredRow {
    fn to_feed_row(&self, key: &ids::RowKey) -> row_feed::FeedRow {
        let key = key.rsplit('/').next().unwrap_or_default().to_owned();
        row_feed::FeedRow { key, version: self.version, value: self.value.clone() }
    }

    fn to_row(&self, key: &ids::RowKey) -> model::TableRow {
        model::TableRow { key: key.clone(), version: self.version, value: self.value.clone() }
    }
}
