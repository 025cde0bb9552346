//! Items by dense index and by id.

use std::collections::HashMap;

use crate::item;
use crate::work;

#[derive(Clone, Debug, Default)]
struct TableEntry {
    generation: u32,
    item: Option<item::QueueItem>,
}

/// Every request and job that the core knows. Ids are only looked up, never walked, so that the
/// order of the hash map decides nothing.
#[derive(Clone, Debug, Default)]
pub(crate) struct ItemTable {
    entries: Vec<TableEntry>,
    free: Vec<u32>,
    index: HashMap<work::WorkId, u32>,
}

impl ItemTable {
    pub(crate) fn find(&self, work: &work::WorkId) -> Option<u32> {
        self.index.get(work).copied()
    }

    pub(crate) fn insert(&mut self, item: item::QueueItem) -> u32 {
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push(TableEntry::default());
            self.entries.len() as u32 - 1
        });
        self.index.insert(item.work.id, index);
        self.entries[index as usize].item = Some(item);
        index
    }

    pub(crate) fn remove(&mut self, index: u32) -> Option<item::QueueItem> {
        let entry = &mut self.entries[index as usize];
        let item = entry.item.take()?;
        entry.generation = entry.generation.wrapping_add(1);
        self.index.remove(&item.work.id);
        self.free.push(index);
        Some(item)
    }

    /// The item of an index that is in use.
    pub(crate) fn at(&self, index: u32) -> &item::QueueItem {
        self.entries[index as usize].item.as_ref().expect("the index of a live item")
    }

    /// The item of an index that is in use.
    pub(crate) fn at_mut(&mut self, index: u32) -> &mut item::QueueItem {
        self.entries[index as usize].item.as_mut().expect("the index of a live item")
    }

    /// Tells an item from a later one at the same index.
    pub(crate) fn generation(&self, index: u32) -> u32 {
        self.entries[index as usize].generation
    }

    /// The item, unless another has taken its index since.
    pub(crate) fn get(&self, index: u32, generation: u32) -> Option<&item::QueueItem> {
        let entry = self.entries.get(index as usize)?;
        if entry.generation != generation {
            return None;
        }
        entry.item.as_ref()
    }

    /// Live items in order of their index.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &item::QueueItem)> {
        self.entries
            .iter()
            .enumerate()
            .filter_map(|(index, it)| it.item.as_ref().map(|item| (index as u32, item)))
    }

    pub(crate) fn len(&self) -> usize {
        self.index.len()
    }
}
