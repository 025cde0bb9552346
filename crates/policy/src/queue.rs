//! Waiting work, in groups of the same shape.
//!
//! What fails to fit for the first of a group fails for the others too, so that a wave of
//! thousands costs one search.

use std::collections::{BTreeSet, HashMap};

use almondpass_schema::{ids, model, time};

use crate::work;

/// Work that differs only in its age.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct GroupKey {
    pub(crate) account: u32,
    pub(crate) class: u32,
    pub(crate) tasks: u32,
    pub(crate) demand: work::TaskDemand,
    pub(crate) adjacency: model::Adjacency,
    pub(crate) guarantee: Option<ids::GuaranteeName>,
}

/// One piece of waiting work; the eldest is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    pub(crate) submitted_at: time::WallTime,
    pub(crate) work: work::WorkId,
    pub(crate) item: u32,
}

/// Waiting work of one shape.
#[derive(Clone, Debug)]
pub(crate) struct QueueGroup {
    pub(crate) key: GroupKey,
    pub(crate) entries: BTreeSet<QueueEntry>,
    /// Version of the capacity at which its first did not fit.
    pub(crate) blocked_at_version: Option<u64>,
    /// Why it did not.
    pub(crate) wait_code: model::WaitCode,
    /// Number of the configuration under which it was last seen to be possible.
    pub(crate) feasible_in_config: u64,
}

/// All waiting work of a hall.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    groups: Vec<Option<QueueGroup>>,
    index: HashMap<GroupKey, u32>,
    free: Vec<u32>,
    /// Groups in use.
    active: BTreeSet<u32>,
    len: usize,
}

impl WaitQueue {
    /// Adds work.
    pub(crate) fn push(&mut self, key: GroupKey, entry: QueueEntry) {
        let index = match self.index.get(&key) {
            Some(index) => *index,
            None => self.open(key),
        };
        let group = self.groups[index as usize].as_mut().expect("an open group");
        if group.entries.insert(entry) {
            self.len += 1;
        }
        if group.entries.first() == Some(&entry) {
            group.blocked_at_version = None;
        }
    }

    /// Takes work out; false where it is not there.
    pub(crate) fn remove(&mut self, key: &GroupKey, entry: &QueueEntry) -> bool {
        let Some(index) = self.index.get(key).copied() else { return false };
        let group = self.groups[index as usize].as_mut().expect("an open group");
        let found = group.entries.remove(entry);
        self.len -= usize::from(found);
        if group.entries.is_empty() {
            let key = key.clone();
            self.index.remove(&key);
            self.groups[index as usize] = None;
            self.active.remove(&index);
            self.free.push(index);
        }
        found
    }

    fn open(&mut self, key: GroupKey) -> u32 {
        let index = self.free.pop().unwrap_or_else(|| {
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

    /// Indexes of groups that have work.
    pub(crate) fn active_groups(&self) -> impl Iterator<Item = u32> + '_ {
        self.active.iter().copied()
    }

    /// A group, unless it was emptied since.
    pub(crate) fn group(&self, index: u32) -> Option<&QueueGroup> {
        self.groups.get(index as usize)?.as_ref()
    }

    pub(crate) fn group_mut(&mut self, index: u32) -> Option<&mut QueueGroup> {
        self.groups.get_mut(index as usize)?.as_mut()
    }

    /// The group of a shape.
    pub(crate) fn find(&self, key: &GroupKey) -> Option<&QueueGroup> {
        self.group(*self.index.get(key)?)
    }

    /// Lets every group be tried again, as after a new configuration.
    pub(crate) fn unblock_all(&mut self) {
        self.groups.iter_mut().flatten().for_each(|it| it.blocked_at_version = None);
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }
}
