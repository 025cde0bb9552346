//! Reads jobs for callers that ask again and again.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_peer::error;
use almondpass_ports::keys;
use almondpass_ports::table::TableService;
use almondpass_schema::{ids, model};
use thiserror::Error;
use tokio::time::{Instant, timeout};

use crate::settings;

/// Jobs kept at a time; beyond this the stale ones are dropped.
const KEPT_JOBS: usize = 4_096;
/// What stands for the peer in errors of the table.
const TABLE: &str = "table";

/// Why a job could not be read.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ReadFault {
    /// The table does not answer as it should.
    #[error(transparent)]
    Table(#[from] error::CallError),
    /// A row holds something else.
    #[error("table.read at {key}: expected a job, found {detail}")]
    Malformed {
        /// The row.
        key: ids::RowKey,
        /// What is wrong with it.
        detail: String,
    },
}

/// Reads jobs' rows. Rows read within the last term are served again, and callers that ask for
/// the same row together share one read.
///
/// A fixed short term was chosen over terms that end with the next write: a row's writer is the
/// hall's scheduler and not this instance, so the conditional write that would end the term is
/// not seen here.
#[derive(Debug)]
pub struct JobReader<T> {
    table: T,
    read_timeout: Duration,
    row_term: Duration,
    rows: Mutex<HashMap<ids::RowKey, Arc<CachedRow>>>,
}

type CachedRow = tokio::sync::Mutex<Option<ReadRow>>;

#[derive(Clone, Debug)]
struct ReadRow {
    read_at: Instant,
    record: model::JobRecord,
}

impl<T: TableService> JobReader<T> {
    /// A reader of `table`.
    pub fn new(table: T, settings: &settings::EntrySettings) -> JobReader<T> {
        JobReader {
            table,
            read_timeout: settings.read_timeout,
            row_term: settings.row_term,
            rows: Mutex::default(),
        }
    }

    /// The job as its row says; `None` where there is no row.
    pub async fn read(
        &self,
        account: &str,
        job: &ids::JobId,
    ) -> Result<Option<model::JobRecord>, ReadFault> {
        let key = keys::job(account, job);
        let cached = self.slot(&key);
        let mut row = cached.lock().await;
        if let Some(row) = row.as_ref().filter(|it| it.read_at.elapsed() < self.row_term) {
            return Ok(Some(row.record.clone()));
        }
        let record = self.fetch(&key).await?;
        // That there is no row is not kept: the job may be accepted in the next moment.
        *row = record.clone().map(|record| ReadRow { read_at: Instant::now(), record });
        Ok(record)
    }

    /// Reads the row anew next time: this instance just had it changed.
    pub fn forget(&self, account: &str, job: &ids::JobId) {
        self.lock().remove(&keys::job(account, job));
    }

    /// A page of an account's jobs.
    pub async fn page(
        &self,
        account: &str,
        after: Option<&ids::JobId>,
        limit: u32,
    ) -> Result<model::JobPage, ReadFault> {
        let prefix = keys::account_jobs(account);
        let after = after.map(|it| keys::job(account, it));
        let scan = model::TableScan { prefix, after, limit };
        let rows = self.within(self.table.scan(scan)).await?;
        let decoded = rows.rows.iter().map(decode).collect::<Result<Vec<_>, _>>()?;
        let jobs = decoded.into_iter().flatten().collect::<Vec<_>>();
        let next = jobs.last().map(|it| it.job).filter(|_| rows.more);
        Ok(model::JobPage { jobs, next })
    }

    async fn fetch(&self, key: &ids::RowKey) -> Result<Option<model::JobRecord>, ReadFault> {
        let get = model::TableGet { keys: vec![key.clone()] };
        let rows = self.within(self.table.get(get)).await?;
        rows.rows.first().map_or(Ok(None), decode)
    }

    async fn within<F>(&self, read: F) -> Result<model::TableRows, ReadFault>
    where
        F: Future<Output = Result<model::TableRows, error::CallError>>,
    {
        match timeout(self.read_timeout, read).await {
            Ok(rows) => Ok(rows?),
            Err(_) => Err(ReadFault::Table(error::CallError {
                step: "table.read",
                peer: TABLE.to_owned(),
                fault: error::CallFault::TimedOut(self.read_timeout),
            })),
        }
    }

    fn slot(&self, key: &ids::RowKey) -> Arc<CachedRow> {
        let mut rows = self.lock();
        if KEPT_JOBS <= rows.len() {
            rows.retain(|_, it| self.in_use(it));
        }
        if KEPT_JOBS <= rows.len() {
            return Arc::default();
        }
        Arc::clone(rows.entry(key.clone()).or_default())
    }

    fn in_use(&self, row: &CachedRow) -> bool {
        let Ok(row) = row.try_lock() else {
            return true;
        };
        row.as_ref().is_some_and(|it| it.read_at.elapsed() < self.row_term)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ids::RowKey, Arc<CachedRow>>> {
        self.rows.lock().unwrap_or_else(|it| it.into_inner())
    }
}

fn decode(row: &model::TableRow) -> Result<Option<model::JobRecord>, ReadFault> {
    let Some(value) = &row.value else {
        return Ok(None);
    };
    let record = rmp_serde::from_slice(value);
    record
        .map(Some)
        .map_err(|it| ReadFault::Malformed { key: row.key.clone(), detail: it.to_string() })
}
