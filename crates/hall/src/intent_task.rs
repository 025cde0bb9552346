//! Background tasks that append to, seal and trim the intent log and report to the hall actor.

use std::collections::VecDeque;

use almondpass_schema::{ids, model};
use tokio::time::Instant;

use crate::backend;
use crate::intent_index;
use crate::intent_log;

/// State of the intent log in the hall actor.
#[derive(Debug, Default)]
pub(crate) struct IntentState {
    /// Uses of idempotency keys and their outcomes.
    pub(crate) index: intent_index::IntentIndex,
    /// Write positions; `None` until the log is sealed and while an append is in flight.
    pub(crate) cursors: Option<intent_log::LogCursors>,
    /// Whether both stores are sealed, so that no earlier holder can append to the log.
    pub(crate) sealed: bool,
    /// Intents to append.
    pub(crate) pending_intents: Vec<model::IntentEntry>,
    /// Outcomes to append.
    pub(crate) pending_outcomes: Vec<model::IntentEntry>,
    /// When pending outcomes are appended even if no intent is pending.
    pub(crate) flush_at: Option<Instant>,
    /// Batches in the table that are still needed, oldest first.
    pub(crate) table_batches: VecDeque<BatchExpiry>,
    /// Batches in the object store that are still needed, oldest first.
    pub(crate) object_batches: VecDeque<BatchExpiry>,
    /// When the log is next trimmed; `None` if it has not been trimmed under this tenure.
    pub(crate) next_trim_at: Option<Instant>,
}

/// A batch of the log and the time from which it is no longer needed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BatchExpiry {
    pub(crate) number: u64,
    /// Time from which none of its entries is needed.
    pub(crate) expires_at: almondpass_schema::time::WallTime,
}

impl IntentState {
    /// Whether an append is in flight or entries are pending.
    pub(crate) fn is_busy(&self) -> bool {
        let appending = self.sealed && self.cursors.is_none();
        appending || !self.pending_intents.is_empty() || !self.pending_outcomes.is_empty()
    }
}

/// Sent to the hall actor after an append.
pub(crate) struct AppendReport {
    /// Write positions after the append.
    pub(crate) cursors: intent_log::LogCursors,
    /// Write positions before the append.
    pub(crate) previous_cursors: intent_log::LogCursors,
    /// The entries of the append, durable or not.
    pub(crate) entries: Vec<model::IntentEntry>,
    pub(crate) outcome: intent_log::AppendOutcome,
}

/// Sent to the hall actor after an attempt to seal the log.
pub(crate) struct SealReport {
    /// Content of the sealed log; `None` if it could not be sealed.
    pub(crate) sealed: Option<SealedLog>,
    /// Whether a newer tenure holds the log.
    pub(crate) fenced: bool,
}

/// Content of a log after both stores were sealed.
pub(crate) struct SealedLog {
    /// Write positions after the seals.
    pub(crate) cursors: intent_log::LogCursors,
    /// Batches in the table.
    pub(crate) table: Vec<intent_log::StoredBatch>,
    /// Batches in the object store.
    pub(crate) objects: Vec<intent_log::StoredBatch>,
}

/// Sent to the hall actor after a trim of the log.
pub(crate) struct TrimReport {
    /// Batches to be deleted from the table.
    pub(crate) numbers: Vec<u64>,
    /// Whether the table answered the deletion.
    pub(crate) done: bool,
}

/// Appends entries to the log, starting at the write positions `previous_cursors`.
pub(crate) async fn append<B: backend::HallBackend>(
    log: intent_log::IntentLog<B>,
    previous_cursors: intent_log::LogCursors,
    entries: Vec<model::IntentEntry>,
) -> AppendReport {
    let mut cursors = previous_cursors.clone();
    let outcome = log.append(&mut cursors, entries.clone()).await;
    AppendReport { cursors, previous_cursors, entries, outcome }
}

/// Seals and reads the log in both stores.
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

/// Deletes the batches `numbers` from the table and moves the floor of the log.
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

/// Returns the grants whose intents are among `entries`.
pub(crate) fn intent_grants(entries: &[model::IntentEntry]) -> Vec<ids::GrantId> {
    let grants = entries.iter().filter_map(|it| match it {
        model::IntentEntry::Intent { grant, .. } => Some(*grant),
        model::IntentEntry::Outcome { .. } => None,
    });
    grants.collect()
}
