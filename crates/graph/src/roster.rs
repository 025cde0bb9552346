//! The roster: the saved list of workers on which a successor has to expect tasks.
//!
//! The roster is kept in pages of bounded size, so that no row grows with the number of workers.
//! The store refuses a row that is too large each time; a scheduler that could write nothing else
//! would lose its tenure over it, and so would each successor.

use std::collections::{BTreeMap, BTreeSet};

use almondpass_schema::ids;

/// Workers per page. An entry takes about 60 bytes, and 450 with the longest names, so that a page
/// stays below 29 KB; the platform accepts 64 KB. Each change of the roster writes one page.
pub const WORKERS_PER_PAGE: usize = 64;

/// Assignment of workers to pages, and the content of each page that the store surely has.
#[derive(Clone, Debug, Default)]
pub struct RosterPages {
    pages: BTreeMap<u32, BTreeSet<ids::WorkerId>>,
    page_of: BTreeMap<ids::WorkerId, u32>,
    /// By page, the workers that a successor surely finds there without a silence note.
    saved: BTreeMap<u32, BTreeSet<ids::WorkerId>>,
    /// Workers with a silence note: the store says, or may say, that all starts on them are saved.
    with_saved_starts: BTreeSet<ids::WorkerId>,
}

impl RosterPages {
    /// Whether a successor surely finds the worker in the store without a silence note; only such a
    /// worker may get tasks.
    pub fn is_saved(&self, worker: &ids::WorkerId) -> bool {
        let page = self.page_of.get(worker).and_then(|it| self.saved.get(it));
        page.is_some_and(|it| it.contains(worker))
    }

    /// Whether the worker is assigned to a page, saved or not.
    pub fn contains(&self, worker: &ids::WorkerId) -> bool {
        self.page_of.contains_key(worker)
    }

    /// All workers that are assigned to a page, saved or not.
    pub fn workers(&self) -> impl Iterator<Item = &ids::WorkerId> {
        self.page_of.keys()
    }

    /// Workers that are assigned to a page, in the order of their ids.
    pub fn workers_on_page(&self, page: u32) -> impl Iterator<Item = &ids::WorkerId> {
        self.pages.get(&page).into_iter().flatten()
    }

    /// Assigns a worker to a page with space. Returns the page, which has to be written.
    pub fn add(&mut self, worker: &ids::WorkerId) -> u32 {
        let page_with_space = self.pages.iter().find(|(_, it)| it.len() < WORKERS_PER_PAGE);
        let page =
            page_with_space.map(|(page, _)| *page).unwrap_or_else(|| self.first_unused_page());
        self.pages.entry(page).or_default().insert(worker.clone());
        self.page_of.insert(worker.clone(), page);
        page
    }

    /// Records that the worker's saved roster entry is out of date. Returns the page that has to be
    /// written; `None` if the worker is on no page.
    pub fn mark_stale(&mut self, worker: &ids::WorkerId) -> Option<u32> {
        let page = self.page_of.get(worker).copied()?;
        if let Some(saved) = self.saved.get_mut(&page) {
            saved.remove(worker);
        }
        Some(page)
    }

    /// Sets or withdraws a worker's silence note, which says that all starts on the worker are
    /// saved. Returns the page that has to be written; `None` if nothing has changed. Until a page
    /// without the note is saved the worker gets no tasks.
    pub fn set_starts_saved(
        &mut self,
        worker: &ids::WorkerId,
        are_starts_saved: bool,
    ) -> Option<u32> {
        if self.with_saved_starts.contains(worker) == are_starts_saved {
            return None;
        }
        let page = self.mark_stale(worker)?;
        if are_starts_saved {
            self.with_saved_starts.insert(worker.clone());
        } else {
            self.with_saved_starts.remove(worker);
        }
        Some(page)
    }

    /// Whether the worker has a silence note: all starts on it are saved.
    pub fn are_starts_saved(&self, worker: &ids::WorkerId) -> bool {
        self.with_saved_starts.contains(worker)
    }

    /// Removes a worker from its page. Returns the page, which has to be written.
    pub fn remove(&mut self, worker: &ids::WorkerId) -> Option<u32> {
        self.with_saved_starts.remove(worker);
        let page = self.page_of.remove(worker)?;
        if let Some(workers) = self.pages.get_mut(&page) {
            workers.remove(worker);
        }
        Some(page)
    }

    /// Adds a worker that was read from a page in the store. Returns the pages that have to be
    /// written. There are some if that page is already full, as an earlier release kept all workers
    /// in one row; the page to which the worker is moved comes first.
    pub fn load_worker(
        &mut self,
        worker: &ids::WorkerId,
        are_starts_saved: bool,
        page: u32,
    ) -> Vec<u32> {
        if self.page_of.contains_key(worker) {
            // The worker is on two pages: on its old one, and on the one to which it was being
            // moved.
            if !are_starts_saved {
                self.with_saved_starts.remove(worker);
            }
            return vec![page];
        }
        if are_starts_saved {
            self.with_saved_starts.insert(worker.clone());
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

    /// Records that the page is being written. Until the answer the store may have the old content
    /// or the new one.
    pub fn page_sent(&mut self, page: u32) {
        let workers = self.pages.entry(page).or_default();
        if let Some(saved) = self.saved.get_mut(&page) {
            saved.retain(|it| workers.contains(it));
        }
    }

    /// Records that the store has the page with these workers.
    pub fn page_saved(&mut self, page: u32, workers: impl Iterator<Item = ids::WorkerId>) {
        let workers =
            workers.filter(|it| !self.with_saved_starts.contains(it)).collect::<BTreeSet<_>>();
        if workers.is_empty() {
            self.saved.remove(&page);
        } else {
            self.saved.insert(page, workers);
        }
    }

    fn first_unused_page(&self) -> u32 {
        self.pages.keys().next_back().map_or(0, |it| it + 1)
    }
}
