//! The queue of waiting work, in groups of the same shape.
//!
//! If the first item of a group does not fit, the others do not fit either, so that a burst of
//! thousands of like items costs one search for a placement.

use std::collections::{BTreeSet, HashMap};

use almondpass_schema::{ids, model, time};

use crate::work;

/// What the items of a group have in common: everything that decides where they fit, except for
/// the workers that single items exclude.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct GroupKey {
    pub(crate) account: u32,
    pub(crate) class: u32,
    pub(crate) tasks: u32,
    pub(crate) demand: work::TaskDemand,
    pub(crate) adjacency: model::Adjacency,
    pub(crate) guarantee: Option<ids::GuaranteeName>,
}

/// One item in a group. Entries are ordered by age, the oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    pub(crate) submitted_at: time::WallTime,
    pub(crate) work: work::WorkId,
    pub(crate) item: u32,
}

/// Waiting items with the same key.
#[derive(Clone, Debug)]
pub(crate) struct QueueGroup {
    pub(crate) key: GroupKey,
    pub(crate) entries: BTreeSet<QueueEntry>,
    /// Value of `HallCore::capacity_version` at which no item of the group that was tried did fit;
    /// `None` if the group has to be tried.
    pub(crate) blocked_at_version: Option<u64>,
    /// Why the item that was tried last did not start.
    pub(crate) wait_code: model::WaitCode,
    /// Number of the last configuration for which the hall was found able to run the group.
    pub(crate) feasible_in_config: u64,
}

/// All waiting work of a hall.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    groups: Vec<Option<QueueGroup>>,
    index: HashMap<GroupKey, u32>,
    /// Indexes of `groups` that can be reused.
    free_indexes: Vec<u32>,
    /// Indexes of groups that are not empty.
    active: BTreeSet<u32>,
    /// Number of entries in all groups.
    len: usize,
}

impl WaitQueue {
    /// Adds an entry to the group of `key`. A new first entry lets the group be tried again.
    pub(crate) fn push(&mut self, key: GroupKey, entry: QueueEntry) {
        let index = match self.index.get(&key) {
            Some(index) => *index,
            None => self.create_group(key),
        };
        let group = self.groups[index as usize].as_mut().expect("a group in use");
        if group.entries.insert(entry) {
            self.len += 1;
        }
        if group.entries.first() == Some(&entry) {
            group.blocked_at_version = None;
        }
    }

    /// Removes an entry, and its group if that becomes empty. Returns whether the entry was found.
    pub(crate) fn remove(&mut self, key: &GroupKey, entry: &QueueEntry) -> bool {
        let Some(index) = self.index.get(key).copied() else { return false };
        let group = self.groups[index as usize].as_mut().expect("a group in use");
        let found = group.entries.remove(entry);
        self.len -= usize::from(found);
        if group.entries.is_empty() {
            let key = key.clone();
            self.index.remove(&key);
            self.groups[index as usize] = None;
            self.active.remove(&index);
            self.free_indexes.push(index);
        }
        found
    }

    fn create_group(&mut self, key: GroupKey) -> u32 {
        let index = self.free_indexes.pop().unwrap_or_else(|| {
            self.groups.push(None);
            self.groups.len() as u32 - 1
        });
        self.index.insert(key.clone(), index);
        self.active.insert(index);
        self.groups[index as usize] = Some(QueueGroup {
            key,
            entries: BTreeSet::new(),
            blocked_at_version: None,
            wait_code: model::WaitCode::Queued,
            feasible_in_config: 0,
        });
        index
    }

    /// Indexes of all groups that are not empty, ascending.
    pub(crate) fn active_groups(&self) -> impl Iterator<Item = u32> + '_ {
        self.active.iter().copied()
    }

    /// The group at an index, or `None` if the group has become empty.
    pub(crate) fn group(&self, index: u32) -> Option<&QueueGroup> {
        self.groups.get(index as usize)?.as_ref()
    }

    pub(crate) fn group_mut(&mut self, index: u32) -> Option<&mut QueueGroup> {
        self.groups.get_mut(index as usize)?.as_mut()
    }

    /// The group with the given key.
    pub(crate) fn find(&self, key: &GroupKey) -> Option<&QueueGroup> {
        self.group(*self.index.get(key)?)
    }

    /// Marks every group to be tried again, after a new configuration.
    pub(crate) fn unblock_all(&mut self) {
        self.groups.iter_mut().flatten().for_each(|it| it.blocked_at_version = None);
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }
}
