//! Numbered versions in the table service.

use std::time::Duration;

use almondpass_peer::{codec, error};
use almondpass_ports::{keys, table};
use almondpass_schema::{blob, ids, model};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time;

/// Versions that the table keeps; each newer one takes the oldest out. At 2,900 changes a day the
/// history reaches back 17 days, at ten a day 13 years; without an end the table would fill.
pub const KEPT_VERSIONS: ids::ConfigVersion = 50_000;

/// Reads and writes the versions. A row `config-head` holds the newest number; each version has
/// a row of its own that is never written again.
#[derive(Clone, Debug)]
pub struct ConfigStore<T> {
    table: T,
    deadline: Duration,
}

/// The newest number and the version of the row that names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// Number of the newest version; 0 before the first.
    pub version: ids::ConfigVersion,
    /// Version of the row, on which the next write is conditional.
    pub row_version: ids::RowVersion,
}

/// Why a row could not be had.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum StoreFault {
    /// The table service did not answer as it should.
    #[error(transparent)]
    Call(#[from] error::CallError),
    /// Its answer took too long.
    #[error("{key}: expected an answer within {deadline:?}, found none")]
    TimedOut {
        /// First row asked for.
        key: ids::RowKey,
        /// The deadline.
        deadline: Duration,
    },
    /// The answer is older than what is known already.
    #[error("{}: expected version {expected} or newer, found {found}", keys::config_head())]
    Stale {
        /// Number that is known to be there.
        expected: ids::ConfigVersion,
        /// Number read.
        found: ids::ConfigVersion,
    },
    /// The row is there, but this release cannot read it.
    #[error("{key}: expected a row that this release can read, found {detail}")]
    Unreadable {
        /// The row.
        key: ids::RowKey,
        /// What was wrong with it.
        detail: String,
    },
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum StoredDraft {
    /// It is the newest version now.
    Committed,
    /// Another write was first; nothing was written.
    Raced,
    /// No answer: it may or may not have taken effect.
    Unanswered(StoreFault),
    /// It certainly had no effect.
    NotWritten(StoreFault),
}

impl<T: table::TableService> ConfigStore<T> {
    /// Uses `table`, giving each call `deadline`.
    pub fn new(table: T, deadline: Duration) -> ConfigStore<T> {
        ConfigStore { table, deadline }
    }

    /// Reads the newest number. The answer may be stale; the conditional write finds that out.
    pub async fn head(&self) -> Result<StoredHead, StoreFault> {
        let rows = self.get(vec![keys::config_head()]).await?;
        let Some(row) = rows.first() else {
            return Ok(StoredHead { version: 0, row_version: 0 });
        };
        let head = decode::<model::ConfigHead>(row)?;
        Ok(StoredHead { version: head.version, row_version: row.version })
    }

    /// Reads one version; `None` where there is none of this number.
    pub async fn version(
        &self,
        version: ids::ConfigVersion,
    ) -> Result<Option<model::ConfigRow>, StoreFault> {
        let rows = self.get(vec![keys::config_version(version)]).await?;
        let Some(row) = rows.first() else {
            return Ok(None);
        };
        let read = decode::<model::ConfigRow>(row)?;
        if read.version != version {
            let detail = format!("version {}", read.version);
            return Err(StoreFault::Unreadable { key: row.key.clone(), detail });
        }
        Ok(Some(read))
    }

    /// Reads the versions from `newest` down, `limit` at most, newest first. Numbers follow one
    /// another without gaps, so no scan is needed.
    pub async fn versions(
        &self,
        newest: ids::ConfigVersion,
        limit: u32,
    ) -> Result<Vec<model::ConfigRow>, StoreFault> {
        let numbers = (1..=newest).rev().take(usize::try_from(limit).unwrap_or(usize::MAX));
        let keys = numbers.map(keys::config_version).collect::<Vec<_>>();
        if keys.is_empty() {
            return Ok(Vec::new());
        }
        let rows = self.get(keys).await?;
        rows.iter().map(decode).collect()
    }

    /// Writes `row` and makes it the newest, if `head` is the newest still.
    pub(crate) async fn append(&self, head: StoredHead, row: &model::ConfigRow) -> StoredDraft {
        let key = keys::config_version(row.version);
        let conditions = vec![
            model::TableCondition { key: keys::config_head(), version: head.row_version },
            model::TableCondition { key: key.clone(), version: 0 },
        ];
        let newest = encode(&model::ConfigHead { version: row.version });
        let mut writes = vec![
            model::TableWrite { key: keys::config_head(), value: Some(newest) },
            model::TableWrite { key, value: Some(encode(row)) },
        ];
        if let Some(old) = row.version.checked_sub(KEPT_VERSIONS).filter(|it| 0 < *it) {
            writes.push(model::TableWrite { key: keys::config_version(old), value: None });
        }
        let transaction = model::TableTransaction { conditions, writes };
        let outcome = time::timeout(self.deadline, self.table.transact(transaction)).await;
        match outcome {
            Ok(Ok(model::TableOutcome::Committed { .. })) => StoredDraft::Committed,
            Ok(Ok(model::TableOutcome::Conflict { .. })) => StoredDraft::Raced,
            Ok(Err(error)) if error.fault.had_no_effect() => StoredDraft::NotWritten(error.into()),
            Ok(Err(error)) => StoredDraft::Unanswered(error.into()),
            Err(_) => {
                let key = keys::config_head();
                StoredDraft::Unanswered(StoreFault::TimedOut { key, deadline: self.deadline })
            }
        }
    }

    /// Rows that exist.
    async fn get(&self, keys: Vec<ids::RowKey>) -> Result<Vec<model::TableRow>, StoreFault> {
        let key = keys[0].clone();
        let answer = time::timeout(self.deadline, self.table.get(model::TableGet { keys })).await;
        let Ok(answer) = answer else {
            return Err(StoreFault::TimedOut { key, deadline: self.deadline });
        };
        Ok(answer?.rows.into_iter().filter(|it| it.version != 0).collect())
    }
}

fn encode(row: &impl Serialize) -> blob::Blob {
    let bytes = codec::encode(row).expect("rows of the schema are writable");
    blob::Blob::from(bytes.to_vec())
}

fn decode<R: DeserializeOwned>(row: &model::TableRow) -> Result<R, StoreFault> {
    let value = row.value.as_ref().map_or(&[][..], |it| it.as_slice());
    codec::decode(value)
        .map_err(|error| StoreFault::Unreadable { key: row.key.clone(), detail: error.to_string() })
}
