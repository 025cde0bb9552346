//! What is to be written to the store, in rows of bounded size.

use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::core;
use crate::progress;
use crate::save_queue;
use crate::task_key;
use crate::worker;

/// Rows to be written in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SaveBatch {
    /// The rows.
    pub rows: Vec<SaveRow>,
}

/// A row to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct SaveRow {
    /// Which row.
    pub key: save_queue::SaveRowKey,
    /// What it is to hold.
    pub content: SaveContent,
}

/// Content of a row.
#[derive(Clone, Debug, PartialEq)]
pub enum SaveContent {
    /// What became of a chunk of a job's tasks.
    Progress(model::ProgressRow),
    /// A page of the roster.
    Roster(model::RosterRow),
    /// The row is to be removed.
    Removed,
}

impl core::PoolCore {
    /// Takes changed rows for saving, the one that has waited longest first. Each is handed to `add`,
    /// which tells whether another fits in behind it; a row that was refused before goes by itself.
    /// Nothing where nothing has changed. A batch is to be saved, or refused, before the next one is
    /// taken.
    pub fn take_save_batch(
        &mut self,
        now: Duration,
        mut add: impl FnMut(&SaveRow) -> bool,
    ) -> Option<SaveBatch> {
        self.update_roster();
        self.note_silent_workers(now);
        let refused = self.unsaved.take_refused_due(now);
        let is_alone = refused.is_some();
        let mut batch = SaveBatch::default();
        let mut next = refused.or_else(|| self.unsaved.take_oldest());
        while let Some(key) = next {
            let row = self.row_to_save(key);
            let has_room = add(&row);
            batch.rows.push(row);
            next = if has_room && !is_alone { self.unsaved.take_oldest() } else { None };
        }
        (!batch.rows.is_empty()).then_some(batch)
    }

    /// Whether there is something to save.
    pub fn has_rows_to_save(&self) -> bool {
        self.unsaved.has_due()
    }

    /// Rows that the store refuses.
    pub fn n_refused_rows(&self) -> usize {
        self.unsaved.n_refused()
    }

    /// The rows are durable: callers may be told, and workers' ends acknowledged.
    pub fn batch_saved(&mut self, batch: SaveBatch) {
        for row in batch.rows {
            self.unsaved.row_saved(row.key);
            self.row_saved(row);
        }
        self.note_roster_saved();
        for worker in self.workers.values_mut() {
            worker.advance_acknowledged(&self.unsaved);
        }
    }

    /// The store refuses the row, and would again however often it is written. It is offered again
    /// after a while; until then the ends that it tells of stay with their workers, where a successor
    /// finds them.
    pub fn row_refused(&mut self, key: save_queue::SaveRowKey, now: Duration) {
        self.unsaved.row_refused(key, now);
    }

    fn row_to_save(&mut self, key: save_queue::SaveRowKey) -> SaveRow {
        let content = match key {
            save_queue::SaveRowKey::Progress { graph, chunk } => {
                let job = self.jobs.get(&graph);
                let row = job.and_then(|it| progress::chunk_row(it, chunk));
                row.map_or(SaveContent::Removed, SaveContent::Progress)
            }
            save_queue::SaveRowKey::Roster { page } => self.roster_page(page),
        };
        SaveRow { key, content }
    }

    fn roster_page(&mut self, page: u32) -> SaveContent {
        self.roster.page_sent(page);
        let named = self.roster.workers_on_page(page).map(|worker| {
            let listing = self.workers.get(worker).map(|it| &it.entry);
            model::RosterEntry {
                worker: worker.clone(),
                address: listing.map(|it| it.address.clone()).unwrap_or_default(),
                upstream: listing.map(|it| it.upstream.clone()).unwrap_or_default(),
                on_record: self.roster.are_starts_saved(worker),
            }
        });
        let workers = named.collect::<Vec<_>>();
        if workers.is_empty() {
            return SaveContent::Removed;
        }
        SaveContent::Roster(model::RosterRow { workers })
    }

    fn row_saved(&mut self, row: SaveRow) {
        match (row.key, row.content) {
            (save_queue::SaveRowKey::Roster { page }, content) => {
                let workers = match content {
                    SaveContent::Roster(roster) => roster.workers,
                    _ => Vec::new(),
                };
                // One that has moved since is not found by what the row says.
                let is_found = |entry: &model::RosterEntry| {
                    if entry.on_record {
                        return false;
                    }
                    let record = self.workers.get(&entry.worker);
                    record.is_none_or(|it| it.entry.has_endpoint(&entry.address, &entry.upstream))
                };
                let found = workers.into_iter().filter(is_found).map(|it| it.worker);
                self.roster.page_saved(page, found);
            }
            (
                save_queue::SaveRowKey::Progress { graph, chunk: progress::HEAD_CHUNK },
                SaveContent::Progress(saved),
            ) => {
                if let Some(job) = self.jobs.get_mut(&graph)
                    && job.durable_state != model::GraphState::Cancelled
                {
                    job.durable_state = saved.state;
                }
            }
            _ => {}
        }
    }

    /// Notes that the row with a task has changed in a way that a successor has to know, and that of
    /// the job's state where that has.
    pub(crate) fn mark_task_changed(
        &mut self,
        key: task_key::TaskKey,
    ) -> Option<save_queue::RowChange> {
        self.update_active(key.graph);
        let job = self.jobs.get(&key.graph)?;
        let graph = key.graph;
        let own = progress::chunk_of(job, key)?;
        let is_gang = job.step(key)?.spec.gang;
        let chunks = if is_gang { progress::chunks_of_step(job, key)? } else { own..=own };
        if job.state != job.durable_state {
            self.unsaved.mark_changed(save_queue::SaveRowKey::Progress {
                graph,
                chunk: progress::HEAD_CHUNK,
            });
        }
        for chunk in chunks.filter(|it| *it != own) {
            self.unsaved.mark_changed(save_queue::SaveRowKey::Progress { graph, chunk });
        }
        Some(self.unsaved.mark_changed(save_queue::SaveRowKey::Progress { graph, chunk: own }))
    }

    /// Notes that all rows of a job have to be written anew, or removed.
    pub(crate) fn mark_job_changed(&mut self, graph: ids::GraphId, n_chunks: u32) {
        for chunk in 0..n_chunks {
            self.unsaved.mark_changed(save_queue::SaveRowKey::Progress { graph, chunk });
        }
    }

    /// Has the roster's page with a worker written anew, as the worker answers elsewhere: a successor
    /// would look for it where it was.
    pub(crate) fn mark_roster_stale(&mut self, worker: &ids::WorkerId) {
        if let Some(page) = self.roster.mark_stale(worker) {
            self.unsaved.mark_changed(save_queue::SaveRowKey::Roster { page });
        }
    }

    /// Brings the roster up to date. A successor waits for each worker that it names, so that none may
    /// stay that has left, or whose lease has lapsed: for that the successor would wait for as long as a
    /// lease lasts.
    pub(crate) fn update_roster(&mut self) {
        let stays = |id: &ids::WorkerId| {
            self.workers.get(id).is_some_and(worker::WorkerRecord::belongs_in_roster)
        };
        let gone = self.roster.workers().filter(|it| !stays(it)).cloned().collect::<Vec<_>>();
        let fresh = self
            .workers
            .iter()
            .filter(|(id, it)| it.belongs_in_roster() && !self.roster.contains(id));
        let fresh = fresh.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        for worker in gone {
            if let Some(page) = self.roster.remove(&worker) {
                self.unsaved.mark_changed(save_queue::SaveRowKey::Roster { page });
            }
        }
        for worker in fresh {
            let page = self.roster.add(&worker);
            self.unsaved.mark_changed(save_queue::SaveRowKey::Roster { page });
        }
    }
}
