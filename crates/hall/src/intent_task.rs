//! Appends to the intent log, seals it and trims it, in tasks that report to the scheduler.

use std::collections::VecDeque;

use almondpass_schema::{ids, model};
use tokio::time::Instant;

use crate::backend;
use crate::intent_index;
use crate::intent_log;

/// The scheduler's end of the intent log.
#[derive(Debug, Default)]
pub(crate) struct IntentState {
    /// What became of keys.
    pub(crate) index: intent_index::IntentIndex,
    /// Where the log goes on; taken by the append on its way, absent until the log is sealed.
    pub(crate) cursors: Option<intent_log::LogCursors>,
    /// Whether both stores are sealed, so that no older holder can add anything.
    pub(crate) sealed: bool,
    /// Intents to append, by grant.
    pub(crate) intents: Vec<model::IntentEntry>,
    /// Outcomes to append.
    pub(crate) outcomes: Vec<model::IntentEntry>,
    /// When outcomes go out even without an intent.
    pub(crate) flush_at: Option<Instant>,
    /// Batches in the table that still matter, oldest first.
    pub(crate) table_batches: VecDeque<BatchAge>,
    /// Batches in the object store that still matter, oldest first.
    pub(crate) object_batches: VecDeque<BatchAge>,
    /// When the log is trimmed next.
    pub(crate) next_trim: Option<Instant>,
}

/// A batch and when it stops to matter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BatchAge {
    /// Its number.
    pub(crate) number: u64,
    /// When its last line stops to matter.
    pub(crate) until: almondpass_schema::time::WallTime,
}

impl IntentState {
    /// Whether an append is on its way or due.
    pub(crate) fn is_busy(&self) -> bool {
        let appending = self.sealed && self.cursors.is_none();
        appending || !self.intents.is_empty() || !self.outcomes.is_empty()
    }
}

/// What became of an append.
pub(crate) struct AppendReport {
    /// Where the log goes on.
    pub(crate) cursors: intent_log::LogCursors,
    /// Where it went on before.
    pub(crate) before: intent_log::LogCursors,
    /// What was appended.
    pub(crate) entries: Vec<model::IntentEntry>,
    /// How it went.
    pub(crate) outcome: intent_log::AppendOutcome,
}

/// What sealing found.
pub(crate) struct SealReport {
    /// The log; `None` where a store did not answer.
    pub(crate) sealed: Option<SealedLog>,
    /// Whether a newer tenure was found.
    pub(crate) fenced: bool,
}

/// A sealed log with its content.
pub(crate) struct SealedLog {
    /// Where it goes on.
    pub(crate) cursors: intent_log::LogCursors,
    /// Batches of the table.
    pub(crate) table: Vec<intent_log::StoredBatch>,
    /// Batches of the object store.
    pub(crate) objects: Vec<intent_log::StoredBatch>,
}

/// What became of a trim.
pub(crate) struct TrimReport {
    /// Batches that were to be dropped from the table.
    pub(crate) numbers: Vec<u64>,
    /// Whether they were.
    pub(crate) done: bool,
}

/// Appends a batch.
pub(crate) async fn append<B: backend::HallBackend>(
    log: intent_log::IntentLog<B>,
    before: intent_log::LogCursors,
    entries: Vec<model::IntentEntry>,
) -> AppendReport {
    let mut cursors = before.clone();
    let outcome = log.append(&mut cursors, entries.clone()).await;
    AppendReport { cursors, before, entries, outcome }
}

/// Seals both stores.
pub(crate) async fn seal<B: backend::HallBackend>(log: intent_log::IntentLog<B>) -> SealReport {
    match seal_both(&log).await {
        Ok(sealed) => SealReport { sealed: Some(sealed), fenced: false },
        Err(fault) => {
            tracing::warn!(hall = log.hall, %fault, "cannot seal the intent log");
            let fenced = matches!(fault, crate::error::HallError::Fenced { .. });
            SealReport { sealed: None, fenced }
        }
    }
}

async fn seal_both<B: backend::HallBackend>(
    log: &intent_log::IntentLog<B>,
) -> Result<SealedLog, crate::error::HallError> {
    let (table_end, table) = log.seal_table().await?;
    let (objects_end, objects) = log.seal_objects().await?;
    let cursors = intent_log::LogCursors { table: table_end, objects: objects_end };
    Ok(SealedLog { cursors, table, objects })
}

/// Drops batches.
pub(crate) async fn trim<B: backend::HallBackend>(
    log: intent_log::IntentLog<B>,
    numbers: Vec<u64>,
    floor: model::IntentFloor,
) -> TrimReport {
    let trimmed = log.trim(numbers.clone(), floor).await;
    if let Err(fault) = &trimmed {
        tracing::warn!(hall = log.hall, %fault, "cannot trim the intent log");
    }
    TrimReport { numbers, done: trimmed.is_ok() }
}

/// Grants whose intents are among `entries`.
pub(crate) fn granted(entries: &[model::IntentEntry]) -> Vec<ids::GrantId> {
    let grants = entries.iter().filter_map(|it| match it {
        model::IntentEntry::Intent { grant, .. } => Some(*grant),
        model::IntentEntry::Outcome { .. } => None,
    });
    grants.collect()
}
