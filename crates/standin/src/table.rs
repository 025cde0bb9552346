//! The table service, in memory.

use std::collections::{BTreeMap, BTreeSet};
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

/// A handle of the table; clones share the rows.
#[derive(Clone, Debug, Default)]
pub struct TableFake {
    rows: Arc<Mutex<TableRows>>,
    plan: fault::FaultPlan,
    path: fault::FaultPlan,
    limits: Arc<Mutex<TableLimits>>,
}

/// What the table takes; anything else is refused for good, before any effect.
#[derive(Clone, Debug)]
pub struct TableLimits {
    /// Longest content of a row, in bytes.
    pub row_bytes: usize,
    /// Most content of a transaction, in bytes.
    pub transaction_bytes: usize,
    /// Most conditions and writes of a transaction.
    pub entries: usize,
    /// Most rows of one page of a table.
    pub page_rows: usize,
    /// Most rows that one answer to a follower tells.
    pub feed_rows: usize,
    /// Rows that nobody may write.
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
            read_only_rows: BTreeSet::new(),
        }
    }
}

impl TableLimits {
    /// Why a transaction is refused, if it is.
    fn fault_of(&self, transaction: &model::TableTransaction) -> Option<error::CallFault> {
        let bytes = |it: &model::TableWrite| it.value.as_ref().map_or(0, |it| it.len());
        let refused = |status, detail: &str| {
            Some(error::CallFault::Refused { status, detail: detail.to_owned() })
        };
        if transaction.writes.iter().any(|it| self.read_only_rows.contains(&it.key)) {
            return refused(403, "a row that is not to be written");
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

/// Step of reading a whole table, for fault plans.
pub const SNAPSHOT_STEP: &str = "snapshot";

/// Step of following a table, for fault plans.
pub const FOLLOW_STEP: &str = "follow";

/// How often a feed that waits looks for changes.
const FEED_TICK: Duration = Duration::from_millis(10);

/// Name of the fake in errors.
const PEER: &str = "table";

#[derive(Debug, Default)]
struct TableRows {
    rows: BTreeMap<ids::RowKey, StoredRow>,
    transactions: u64,
    numbering: VersionNumbering,
    /// Changes up to this transaction are forgotten.
    forgotten: u64,
    /// When each row was removed that was there.
    removals: BTreeMap<ids::RowKey, Vec<Instant>>,
    /// Rows that were told to those who read or follow tables, by the prefix of the table.
    rows_returned: BTreeMap<String, usize>,
}

/// Where the versions of rows are taken from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionNumbering {
    /// Each row counts its own writes.
    #[default]
    PerRow,
    /// One counter for all rows, which each transaction moves on.
    Shared,
}

/// A row as stored. A deleted row keeps its version, so that a row written again never shows a
/// version that it had before.
#[derive(Clone, Debug)]
struct StoredRow {
    version: ids::RowVersion,
    /// The transaction that wrote it.
    changed: u64,
    value: Option<blob::Blob>,
}

impl TableFake {
    /// An empty table.
    pub fn new() -> TableFake {
        TableFake::default()
    }

    /// An empty table whose versions are taken from one counter, which a feed can follow.
    pub fn shared_numbering() -> TableFake {
        let table = TableFake::default();
        state::lock(&table.rows).numbering = VersionNumbering::Shared;
        table
    }

    /// Forgets which rows have changed so far.
    pub fn forget_history(&self) {
        let mut rows = state::lock(&self.rows);
        rows.forgotten = rows.transactions;
    }

    /// The same table behind a path of its own, such as one instance's.
    pub fn with_path_faults(&self, path: fault::FaultPlan) -> TableFake {
        TableFake { path, ..self.clone() }
    }

    /// Faults of the service itself, for every caller.
    pub fn faults(&self) -> &fault::FaultPlan {
        &self.plan
    }

    /// Sets what the table takes.
    pub fn set_limits(&self, limits: TableLimits) {
        *state::lock(&self.limits) = limits;
    }

    /// Rows of a table that were told so far to those who read or follow it.
    pub fn rows_returned(&self, table: &str) -> usize {
        let rows = state::lock(&self.rows);
        rows.rows_returned.get(&format!("{table}/")).copied().unwrap_or_default()
    }

    /// Transactions that committed so far.
    pub fn committed_transactions(&self) -> u64 {
        state::lock(&self.rows).transactions
    }

    /// When a row that was there was removed, past all faults, for oracles.
    pub fn removal_times(&self, key: &str) -> Vec<Instant> {
        state::lock(&self.rows).removals.get(key).cloned().unwrap_or_default()
    }

    /// The rows below a prefix as they are, past all faults, for oracles.
    pub fn peek(&self, prefix: &str) -> Vec<model::TableRow> {
        let scan = model::TableScan { prefix: prefix.to_owned(), after: None, limit: u32::MAX };
        state::lock(&self.rows).scan(&scan).rows
    }

    async fn pass<T: Send + 'static>(
        &self,
        step: &'static str,
        effect: impl FnOnce(&mut TableRows) -> T + Send + 'static,
    ) -> Result<T, error::CallError> {
        let rows = Arc::clone(&self.rows);
        let effect = move || effect(&mut state::lock(&rows));
        fault::call_through(&[&self.path, &self.plan], PEER, step, effect).await
    }
}

impl table::TableService for TableFake {
    async fn transact(
        &self,
        transaction: model::TableTransaction,
    ) -> Result<model::TableOutcome, error::CallError> {
        let step = model::TableTransaction::PATH;
        if let Some(fault) = state::lock(&self.limits).fault_of(&transaction) {
            return Err(error::CallError { step, peer: PEER.to_owned(), fault });
        }
        self.pass(step, move |rows| rows.transact(transaction)).await
    }

    async fn get(&self, get: model::TableGet) -> Result<model::TableRows, error::CallError> {
        self.pass(model::TableGet::PATH, move |rows| rows.get(&get)).await
    }

    async fn scan(&self, scan: model::TableScan) -> Result<model::TableRows, error::CallError> {
        self.pass(model::TableScan::PATH, move |rows| rows.scan(&scan)).await
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
        let below = self.rows.range((first, Bound::Unbounded));
        let below = below.take_while(|(key, _)| key.starts_with(&scan.prefix));
        let mut live = below.filter(|(_, row)| row.value.is_some());
        let limit = usize::try_from(scan.limit).unwrap_or(usize::MAX);
        let rows = live.by_ref().take(limit).map(|(key, row)| row.shown(key)).collect();
        model::TableRows { rows, more: live.next().is_some() }
    }

    fn read(&self, key: &ids::RowKey) -> model::TableRow {
        match self.rows.get(key) {
            Some(row) if row.value.is_some() => row.shown(key),
            _ => model::TableRow { key: key.clone(), version: 0, value: None },
        }
    }

    fn write(&mut self, write: model::TableWrite) -> ids::RowVersion {
        let empty = StoredRow { version: 0, changed: 0, value: None };
        let row = self.rows.entry(write.key.clone()).or_insert(empty);
        if row.value.is_some() && write.value.is_none() {
            self.removals.entry(write.key).or_default().push(Instant::now());
        }
        row.changed = self.transactions;
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
        let most = state::lock(&self.limits).page_rows;
        let mut read = row_feed::FeedRows::default();
        loop {
            let (prefix, after) = (prefix.clone(), read.rows.last().map(|it| it.key.clone()));
            let page = self.pass(SNAPSHOT_STEP, move |rows| rows.page(&prefix, after, most));
            let fault = error::CallFault::TimedOut(deadline);
            let timed_out = error::CallError { step: SNAPSHOT_STEP, peer: PEER.to_owned(), fault };
            let page = time::timeout(deadline, page).await.unwrap_or(Err(timed_out))?;
            if read.rows.is_empty() {
                read.version = page.version;
            }
            read.rows.extend(page.rows);
            if !page.more {
                return Ok(read);
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
        let expires = Instant::now() + wait;
        loop {
            let prefix = prefix.clone();
            let most = state::lock(&self.limits).feed_rows;
            let read = move |rows: &mut TableRows| {
                (after >= rows.forgotten)
                    .then(|| first_rows(rows.changes(&prefix, Some(after)), most))
            };
            let Some(changes) = self.pass(FOLLOW_STEP, read).await? else {
                return Err(row_feed::FeedFault::HistoryGone);
            };
            if !changes.rows.is_empty() || Instant::now() >= expires {
                return Ok(changes);
            }
            time::sleep(FEED_TICK).await;
        }
    }
}

impl TableRows {
    /// The next page of a table, in the order of the rows' names, behind the row named `after`.
    fn page(&mut self, prefix: &str, after: Option<String>, most: usize) -> row_feed::FeedRows {
        let mut page = self.changes(prefix, None);
        page.rows.sort_by(|a, b| a.key.cmp(&b.key));
        page.rows.retain(|it| after.as_ref().is_none_or(|after| it.key > *after));
        page.more = page.rows.len() > most;
        page.rows.truncate(most);
        page
    }

    /// Rows below a prefix: all that there are, or all that changed behind a transaction.
    fn changes(&mut self, prefix: &str, after: Option<u64>) -> row_feed::FeedRows {
        let below = self.rows.range(prefix.to_owned()..);
        let below = below.take_while(|(key, _)| key.starts_with(prefix));
        let wanted = below.filter(|(_, row)| match after {
            Some(after) => row.changed > after,
            None => row.value.is_some(),
        });
        let mut rows = wanted.map(|(key, row)| row.fed(key)).collect::<Vec<_>>();
        rows.sort_by_key(|it| it.version);
        *self.rows_returned.entry(prefix.to_owned()).or_default() += rows.len();
        row_feed::FeedRows { rows, version: self.transactions, more: false }
    }
}

/// As many of the changes as one answer tells; the rest follows behind the last of them.
fn first_rows(mut changes: row_feed::FeedRows, most: usize) -> row_feed::FeedRows {
    let Some(version) = changes.rows.get(most).map(|it| it.version) else { return changes };
    // The rows of one transaction stay together: following on behind its version would skip some.
    changes.rows.retain(|it| it.version < version);
    if let Some(last) = changes.rows.last() {
        changes.version = last.version;
        changes.more = true;
    }
    changes
}

impl StoredRow {
    fn fed(&self, key: &ids::RowKey) -> row_feed::FeedRow {
        let key = key.rsplit('/').next().unwrap_or_default().to_owned();
        row_feed::FeedRow { key, version: self.version, value: self.value.clone() }
    }

    fn shown(&self, key: &ids::RowKey) -> model::TableRow {
        model::TableRow { key: key.clone(), version: self.version, value: self.value.clone() }
    }
}
