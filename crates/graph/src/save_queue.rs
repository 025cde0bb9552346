//! Queue of the rows that have to be written to the store, which also tells which changes are
//! durable.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondpass_schema::ids;

/// Interval between attempts to write a row that the store refuses. Each attempt costs a call, and
/// the cause is seldom the scheduler's to remove: a limit of the store, or a missing right to write
/// there.
const REFUSED_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// Key of a row that the scheduler writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SaveRowKey {
    /// Progress of one chunk of a job's tasks.
    Progress {
        /// Id of the job.
        graph: ids::GraphId,
        /// Number of the chunk, from 0.
        chunk: u32,
    },
    /// A page of the roster.
    Roster {
        /// Number of the page, from 0.
        page: u32,
    },
    /// Learned speeds of workers.
    Speeds,
}

/// Identifies one change of a row, so that its durability can be asked for later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// The changed row.
    pub row: SaveRowKey,
    /// Number of the change; rises with each change of any row.
    pub number: u64,
}

/// The rows that differ from what the store has, each with the first change that the store lacks. A
/// row is due, in flight or refused; a row that changes while in flight is due as well.
#[derive(Clone, Debug, Default)]
pub struct SaveQueue {
    last_change: u64,
    due: BTreeMap<SaveRowKey, u64>,
    /// The rows of `due` in the order of their first changes, so that each row is written in the
    /// end.
    by_first_change: BTreeSet<(u64, SaveRowKey)>,
    in_flight: BTreeMap<SaveRowKey, u64>,
    refused: BTreeMap<SaveRowKey, RefusedRow>,
}

/// A row that the store has refused.
#[derive(Clone, Copy, Debug)]
struct RefusedRow {
    change: u64,
    retry_at: Duration,
}

impl SaveQueue {
    /// Records that a row has changed and has to be written.
    pub fn mark_changed(&mut self, row: SaveRowKey) -> RowChange {
        self.last_change += 1;
        let change = self.last_change;
        if !self.due.contains_key(&row) && !self.refused.contains_key(&row) {
            self.due.insert(row, change);
            self.by_first_change.insert((change, row));
        }
        RowChange { row, number: change }
    }

    /// Takes the due row that has waited longest. It is in flight until `row_saved` or
    /// `row_refused` is called.
    pub fn take_oldest(&mut self) -> Option<SaveRowKey> {
        let (change, row) = self.by_first_change.pop_first()?;
        self.due.remove(&row);
        self.in_flight.insert(row, change);
        Some(row)
    }

    /// Takes a refused row whose next attempt is due. It is written alone, so that it delays no
    /// other row.
    pub fn take_refused_due(&mut self, now: Duration) -> Option<SaveRowKey> {
        let refused_change = self.refused.iter().find(|(_, it)| now >= it.retry_at);
        let (row, change) = refused_change.map(|(row, it)| (*row, it.change))?;
        self.refused.remove(&row);
        self.in_flight.insert(row, change);
        Some(row)
    }

    /// Records that a row in flight is durable.
    pub fn row_saved(&mut self, row: SaveRowKey) {
        self.in_flight.remove(&row);
    }

    /// Records that the store refused a row in flight, and would refuse it again.
    pub fn row_refused(&mut self, row: SaveRowKey, now: Duration) {
        let Some(change) = self.in_flight.remove(&row) else { return };
        if let Some(due_change) = self.due.remove(&row) {
            self.by_first_change.remove(&(due_change, row));
        }
        self.refused.insert(row, RefusedRow { change, retry_at: now + REFUSED_RETRY_INTERVAL });
    }

    /// Records that a row must not be written, as the store has content that can't be read. No change of it is
    /// ever durable.
    pub fn withhold(&mut self, row: SaveRowKey) {
        if let Some(due_change) = self.due.remove(&row) {
            self.by_first_change.remove(&(due_change, row));
        }
        self.refused.insert(row, RefusedRow { change: 0, retry_at: Duration::MAX });
    }

    /// Whether a row must not be written.
    pub fn is_withheld(&self, row: SaveRowKey) -> bool {
        self.refused.get(&row).is_some_and(|it| it.retry_at == Duration::MAX)
    }

    /// Whether the store has a change.
    pub fn is_durable(&self, change: RowChange) -> bool {
        let is_missing = |first: Option<&u64>| first.is_some_and(|it| *it <= change.number);
        let refused_change = self.refused.get(&change.row).map(|it| &it.change);
        !is_missing(self.due.get(&change.row))
            && !is_missing(self.in_flight.get(&change.row))
            && !is_missing(refused_change)
    }

    /// The latest change of a row, which is durable once the store has the row's present content.
    pub fn latest_change(&self, row: SaveRowKey) -> RowChange {
        RowChange { row, number: self.last_change }
    }

    /// Whether the store has the present content of the row.
    pub fn is_saved(&self, row: SaveRowKey) -> bool {
        self.is_durable(self.latest_change(row))
    }

    /// Whether the store lacks a change of any row that matches.
    pub fn has_unsaved(&self, matches: impl Fn(SaveRowKey) -> bool) -> bool {
        self.unsaved_rows().any(matches)
    }

    /// The rows of which the store lacks a change; a row that is both due and in flight appears
    /// twice.
    pub fn unsaved_rows(&self) -> impl Iterator<Item = SaveRowKey> {
        let rows = self.due.keys().chain(self.in_flight.keys()).chain(self.refused.keys());
        rows.copied()
    }

    /// Whether a row waits to be taken, refused rows not counted.
    pub fn has_due(&self) -> bool {
        !self.due.is_empty()
    }

    /// Number of rows that the store has refused and that wait for another attempt.
    pub fn n_refused(&self) -> usize {
        self.refused.len()
    }
}
