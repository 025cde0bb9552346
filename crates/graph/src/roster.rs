//! The roster: on which workers a successor has to expect tasks.
//!
//! It is kept in pages of bounded size, so that no row grows with the number of workers: the store
//! refuses a row that is too large each time, and a scheduler that could write nothing else would
//! lose its tenure over it, as would each successor.

use std::collections::{BTreeMap, BTreeSet};

use almondpass_schema::ids;

/// Workers of one page. An entry takes about 60 bytes, and 450 with the longest names, so that a page
/// stays below 29 KB where the platform takes 64. Each change writes one page.
pub const WORKERS_PER_PAGE: usize = 64;

/// Which workers stand on which page, and which of them the store has.
#[derive(Clone, Debug, Default)]
pub struct RosterPages {
    pages: BTreeMap<u32, BTreeSet<ids::WorkerId>>,
    page_of: BTreeMap<ids::WorkerId, u32>,
    /// By page, the workers that a successor surely finds there.
    saved: BTreeMap<u32, BTreeSet<ids::WorkerId>>,
    /// Workers of which the store has, or may have, that all that may run there is on record.
    on_record: BTreeSet<ids::WorkerId>,
}

impl RosterPages {
    /// Whether a successor surely finds the worker; only such a worker may get tasks.
    pub fn is_saved(&self, worker: &ids::WorkerId) -> bool {
        let page = self.page_of.get(worker).and_then(|it| self.saved.get(it));
        page.is_some_and(|it| it.contains(worker))
    }

    /// Whether the worker has a place.
    pub fn contains(&self, worker: &ids::WorkerId) -> bool {
        self.page_of.contains_key(worker)
    }

    /// The workers that have a place.
    pub fn workers(&self) -> impl Iterator<Item = &ids::WorkerId> {
        self.page_of.keys()
    }

    /// The workers on a page.
    pub fn workers_on_page(&self, page: u32) -> impl Iterator<Item = &ids::WorkerId> {
        self.pages.get(&page).into_iter().flatten()
    }

    /// Gives a worker a place. Tells which page has to be written.
    pub fn add(&mut self, worker: &ids::WorkerId) -> u32 {
        let open = self.pages.iter().find(|(_, it)| it.len() < WORKERS_PER_PAGE);
        let page = open.map(|(page, _)| *page).unwrap_or_else(|| self.first_unused());
        self.pages.entry(page).or_default().insert(worker.clone());
        self.page_of.insert(worker.clone(), page);
        page
    }

    /// Notes that what its page says of a worker is out of date. Tells which page has to be written,
    /// where the worker has a place.
    pub fn mark_stale(&mut self, worker: &ids::WorkerId) -> Option<u32> {
        let page = self.page_of.get(worker).copied()?;
        if let Some(saved) = self.saved.get_mut(&page) {
            saved.remove(worker);
        }
        Some(page)
    }

    /// Notes whether all that may run on a worker is on record. Tells which page has to be written, where
    /// that has changed. Until a page without the note is saved the worker gets no tasks.
    pub fn set_starts_saved(
        &mut self,
        worker: &ids::WorkerId,
        are_starts_saved: bool,
    ) -> Option<u32> {
        if self.on_record.contains(worker) == are_starts_saved {
            return None;
        }
        let page = self.mark_stale(worker)?;
        if are_starts_saved {
            self.on_record.insert(worker.clone());
        } else {
            self.on_record.remove(worker);
        }
        Some(page)
    }

    /// Whether all that may run on a worker is on record.
    pub fn are_starts_saved(&self, worker: &ids::WorkerId) -> bool {
        self.on_record.contains(worker)
    }

    /// Takes a worker off its page. Tells which page has to be written.
    pub fn remove(&mut self, worker: &ids::WorkerId) -> Option<u32> {
        self.on_record.remove(worker);
        let page = self.page_of.remove(worker)?;
        if let Some(workers) = self.pages.get_mut(&page) {
            workers.remove(worker);
        }
        Some(page)
    }

    /// Takes in a worker as the store has it on a page. Tells which pages have to be written, the one
    /// with its new place first, where that page is full already: an earlier release kept one row for
    /// all workers.
    pub fn load_worker(
        &mut self,
        worker: &ids::WorkerId,
        are_starts_saved: bool,
        page: u32,
    ) -> Vec<u32> {
        if self.page_of.contains_key(worker) {
            // Named twice: once in its old place, once in the one that it was being moved to.
            if !are_starts_saved {
                self.on_record.remove(worker);
            }
            return vec![page];
        }
        if are_starts_saved {
            self.on_record.insert(worker.clone());
        }
        let workers = self.pages.entry(page).or_default();
        if workers.len() >= WORKERS_PER_PAGE {
            return vec![self.add(worker), page];
        }
        workers.insert(worker.clone());
        self.page_of.insert(worker.clone(), page);
        if !are_starts_saved {
            self.saved.entry(page).or_default().insert(worker.clone());
        }
        Vec::new()
    }

    /// The page is on its way to the store. Until the answer the store may have either content.
    pub fn page_sent(&mut self, page: u32) {
        let workers = self.pages.entry(page).or_default();
        if let Some(saved) = self.saved.get_mut(&page) {
            saved.retain(|it| workers.contains(it));
        }
    }

    /// The store has the page with these workers.
    pub fn page_saved(&mut self, page: u32, workers: impl Iterator<Item = ids::WorkerId>) {
        let workers = workers.filter(|it| !self.on_record.contains(it)).collect::<BTreeSet<_>>();
        if workers.is_empty() {
            self.saved.remove(&page);
        } else {
            self.saved.insert(page, workers);
        }
    }

    fn first_unused(&self) -> u32 {
        self.pages.keys().next_back().map_or(0, |it| it + 1)
    }
}
