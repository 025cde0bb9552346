//! Which rows have to be written, and which changes are durable.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondpass_schema::ids;

/// A row that the store refused is offered again after this long. Each offer costs a call, and what
/// has to change is seldom ours: a limit of the store, or a right to write there.
const OFFER_AGAIN: Duration = Duration::from_secs(10);

/// A row that the scheduler writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SaveRowKey {
    /// What became of a chunk of a job's tasks.
    Progress {
        /// The job.
        graph: ids::GraphId,
        /// The chunk, from 0.
        chunk: u32,
    },
    /// A page of the roster.
    Roster {
        /// The page, from 0.
        page: u32,
    },
}

/// A change of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// The row.
    pub row: SaveRowKey,
    /// Number of the change.
    pub number: u64,
}

/// The rows that differ from what the store has, each with the first change that it lacks.
#[derive(Clone, Debug, Default)]
pub struct SaveQueue {
    newest: u64,
    due: BTreeMap<SaveRowKey, u64>,
    /// The rows of `due` in the order of their first changes, so that none waits without end.
    order: BTreeSet<(u64, SaveRowKey)>,
    in_flight: BTreeMap<SaveRowKey, u64>,
    set_apart: BTreeMap<SaveRowKey, RefusedRow>,
}

/// A row that the store refuses.
#[derive(Clone, Copy, Debug)]
struct RefusedRow {
    change: u64,
    again_at: Duration,
}

impl SaveQueue {
    /// Notes that a row has to be written anew.
    pub fn mark_changed(&mut self, row: SaveRowKey) -> RowChange {
        self.newest += 1;
        let change = self.newest;
        if !self.due.contains_key(&row) && !self.set_apart.contains_key(&row) {
            self.due.insert(row, change);
            self.order.insert((change, row));
        }
        RowChange { row, number: change }
    }

    /// Takes the row that has waited longest. It is in flight until its outcome is known.
    pub fn take_oldest(&mut self) -> Option<SaveRowKey> {
        let (change, row) = self.order.pop_first()?;
        self.due.remove(&row);
        self.in_flight.insert(row, change);
        Some(row)
    }

    /// Takes a row that the store has refused, once it is to be offered again: by itself, so that
    /// it holds up no other.
    pub fn take_refused_due(&mut self, now: Duration) -> Option<SaveRowKey> {
        let refused = self.set_apart.iter().find(|(_, it)| now >= it.again_at);
        let (row, change) = refused.map(|(row, it)| (*row, it.change))?;
        self.set_apart.remove(&row);
        self.in_flight.insert(row, change);
        Some(row)
    }

    /// A row in flight is durable.
    pub fn row_saved(&mut self, row: SaveRowKey) {
        self.in_flight.remove(&row);
    }

    /// The store refuses a row in flight, and would again.
    pub fn row_refused(&mut self, row: SaveRowKey, now: Duration) {
        let Some(change) = self.in_flight.remove(&row) else { return };
        if let Some(later) = self.due.remove(&row) {
            self.order.remove(&(later, row));
        }
        self.set_apart.insert(row, RefusedRow { change, again_at: now + OFFER_AGAIN });
    }

    /// Whether a change has reached the store.
    pub fn is_durable(&self, mark: RowChange) -> bool {
        let lacks = |first: Option<&u64>| first.is_some_and(|it| *it <= mark.number);
        let refused = self.set_apart.get(&mark.row).map(|it| &it.change);
        !lacks(self.due.get(&mark.row)) && !lacks(self.in_flight.get(&mark.row)) && !lacks(refused)
    }

    /// Whether the store has the row as it is.
    pub fn is_saved(&self, row: SaveRowKey) -> bool {
        self.is_durable(RowChange { row, number: u64::MAX })
    }

    /// Whether the store lacks a change of any such row.
    pub fn has_unsaved(&self, is_such: impl Fn(SaveRowKey) -> bool) -> bool {
        self.unsaved_rows().any(is_such)
    }

    /// The rows of which the store lacks a change, some of them twice.
    pub fn unsaved_rows(&self) -> impl Iterator<Item = SaveRowKey> {
        let rows = self.due.keys().chain(self.in_flight.keys()).chain(self.set_apart.keys());
        rows.copied()
    }

    /// Whether a row waits to be taken.
    pub fn has_due(&self) -> bool {
        !self.due.is_empty()
    }

    /// Rows that the store refuses.
    pub fn n_refused(&self) -> usize {
        self.set_apart.len()
    }
}
