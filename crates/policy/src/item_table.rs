//! The table of items, by dense index and by id.

use std::collections::HashMap;

use crate::item;
use crate::work;

#[derive(Clone, Debug, Default)]
struct TableEntry {
    /// Incremented each time an item is removed from the entry.
    generation: u32,
    item: Option<item::QueueItem>,
}

/// Every request and job that the policy knows. The hash map is only used for lookups and never
/// iterated, so that its order can't influence decisions.
#[derive(Clone, Debug, Default)]
pub(crate) struct ItemTable {
    entries: Vec<TableEntry>,
    /// Indexes of `entries` that can be reused.
    free_indexes: Vec<u32>,
    index: HashMap<work::WorkId, u32>,
}

impl ItemTable {
    pub(crate) fn find(&self, work: &work::WorkId) -> Option<u32> {
        self.index.get(work).copied()
    }

    pub(crate) fn insert(&mut self, item: item::QueueItem) -> u32 {
        let index = self.free_indexes.pop().unwrap_or_else(|| {
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
        self.free_indexes.push(index);
        Some(item)
    }

    /// The item at an index; panics if the index is not in use.
    pub(crate) fn at(&self, index: u32) -> &item::QueueItem {
        self.entries[index as usize].item.as_ref().expect("the index of a live item")
    }

    /// The item at an index; panics if the index is not in use.
    pub(crate) fn at_mut(&mut self, index: u32) -> &mut item::QueueItem {
        self.entries[index as usize].item.as_mut().expect("the index of a live item")
    }

    /// Generation of an index; distinguishes an item from later ones with the same index.
    pub(crate) fn generation(&self, index: u32) -> u32 {
        self.entries[index as usize].generation
    }

    /// The item at an index, or `None` if the item of that generation was removed.
    pub(crate) fn get(&self, index: u32, generation: u32) -> Option<&item::QueueItem> {
        let entry = self.entries.get(index as usize)?;
        if entry.generation != generation {
            return None;
        }
        entry.item.as_ref()
    }

    /// All items, by ascending index.
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
