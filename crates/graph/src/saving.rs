//! Selection of the rows to write to the store, and their content. The rows have bounded size.

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
    /// The rows, longest unsaved first.
    pub rows: Vec<SaveRow>,
}

/// A row to be written or removed.
#[derive(Clone, Debug, PartialEq)]
pub struct SaveRow {
    /// Key of the row.
    pub key: save_queue::SaveRowKey,
    /// New content of the row.
    pub content: SaveContent,
}

/// New content of a row.
#[derive(Clone, Debug, PartialEq)]
pub enum SaveContent {
    /// Progress of one chunk of a job's tasks.
    Progress(model::ProgressRow),
    /// A page of the roster.
    Roster(model::RosterRow),
    /// Learned speeds of workers.
    Speeds(model::SpeedRow),
    /// The row is to be removed.
    Removed,
}

impl core::PoolCore {
    /// Takes changed rows for saving, longest unsaved first; `None` if nothing has changed. Each
    /// row is passed to `add`, which returns whether the batch has space for another one. A row
    /// that was refused before gets a batch of its own. A batch has to be saved or refused before
    /// the next one is taken.
    pub fn take_save_batch(
        &mut self,
        now: Duration,
        mut add: impl FnMut(&SaveRow) -> bool,
    ) -> Option<SaveBatch> {
        self.update_roster();
        self.note_silent_workers(now);
        self.mark_speeds_changed(now);
        let refused = self.unsaved.take_refused_due(now);
        let is_retry = refused.is_some();
        let mut batch = SaveBatch::default();
        let mut next = refused.or_else(|| self.unsaved.take_oldest());
        while let Some(key) = next {
            let row = self.row_to_save(key);
            let has_space = add(&row);
            batch.rows.push(row);
            next = if has_space && !is_retry { self.unsaved.take_oldest() } else { None };
        }
        (!batch.rows.is_empty()).then_some(batch)
    }

    /// Whether a row waits to be written, refused rows not counted.
    pub fn has_rows_to_save(&self) -> bool {
        self.unsaved.has_due()
    }

    /// Number of rows that the store has refused and that wait for another attempt.
    pub fn n_refused_rows(&self) -> usize {
        self.unsaved.n_refused()
    }

    /// Records that the rows of a batch are durable. From now on callers may learn of job ends in
    /// them, and workers' ends are acknowledged.
    pub fn batch_saved(&mut self, batch: SaveBatch) {
        for row in batch.rows {
            let key = row.key;
            self.unsaved.row_saved(key);
            self.row_saved(row);
            self.drop_saved_records(key);
        }
        self.note_roster_saved();
        for worker in self.workers.values_mut() {
            worker.advance_acknowledged(&self.unsaved);
        }
        self.reported_ends.drop_durable(&self.unsaved);
    }

    /// Records that the store refuses a row, and would refuse it however often it is written. It is
    /// tried again after a while. Until then workers keep the ends whose changes the row contains,
    /// and a successor finds them there.
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
            save_queue::SaveRowKey::Speeds => SaveContent::Speeds(self.speed_row_to_save()),
        };
        SaveRow { key, content }
    }

    fn roster_page(&mut self, page: u32) -> SaveContent {
        self.roster.page_sent(page);
        let entries = self.roster.workers_on_page(page).map(|worker| {
            let entry = self.workers.get(worker).map(|it| &it.entry);
            model::RosterEntry {
                worker: worker.clone(),
                address: entry.map(|it| it.address.clone()).unwrap_or_default(),
                upstream: entry.map(|it| it.upstream.clone()).unwrap_or_default(),
                on_record: self.roster.are_starts_saved(worker),
            }
        });
        let workers = entries.collect::<Vec<_>>();
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
                // A worker whose address or upstream has changed meanwhile can't be found by the
                // saved entry.
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

    /// Marks the row with a task as changed, and the head row if the job's state has changed.
    /// Called for each change that a successor has to know. Returns the change of the task's row.
    pub(crate) fn mark_task_changed(
        &mut self,
        key: task_key::TaskKey,
    ) -> Option<save_queue::RowChange> {
        self.update_active(key.graph);
        let job = self.jobs.get(&key.graph)?;
        let graph = key.graph;
        let own_chunk = progress::chunk_of(job, key)?;
        let is_gang = job.step(key)?.spec.gang;
        let chunks =
            if is_gang { progress::chunks_of_step(job, key)? } else { own_chunk..=own_chunk };
        if job.state != job.durable_state {
            self.unsaved.mark_changed(save_queue::SaveRowKey::Progress {
                graph,
                chunk: progress::HEAD_CHUNK,
            });
        }
        for chunk in chunks.filter(|it| *it != own_chunk) {
            self.unsaved.mark_changed(save_queue::SaveRowKey::Progress { graph, chunk });
        }
        Some(
            self.unsaved.mark_changed(save_queue::SaveRowKey::Progress { graph, chunk: own_chunk }),
        )
    }

    /// Marks all progress rows of a job as changed; the row of a chunk that the job does not have
    /// is removed.
    pub(crate) fn mark_job_changed(&mut self, graph: ids::GraphId, n_chunks: u32) {
        for chunk in 0..n_chunks {
            self.unsaved.mark_changed(save_queue::SaveRowKey::Progress { graph, chunk });
        }
    }

    /// Marks the roster page with a worker as changed because the worker's address or upstream has
    /// changed; a successor would call it at its former address.
    pub(crate) fn mark_roster_stale(&mut self, worker: &ids::WorkerId) {
        if let Some(page) = self.roster.mark_stale(worker) {
            self.unsaved.mark_changed(save_queue::SaveRowKey::Roster { page });
        }
    }

    /// Adds workers to the roster and removes those that have left or whose lease has lapsed. A
    /// successor waits for each worker in the roster; for one that is gone it would wait until a
    /// lease runs out.
    pub(crate) fn update_roster(&mut self) {
        let is_expected = |id: &ids::WorkerId| {
            self.workers.get(id).is_some_and(worker::WorkerRecord::belongs_in_roster)
        };
        let obsolete =
            self.roster.workers().filter(|it| !is_expected(it)).cloned().collect::<Vec<_>>();
        let missing = self
            .workers
            .iter()
            .filter(|(id, it)| it.belongs_in_roster() && !self.roster.contains(id));
        let missing = missing.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        for worker in obsolete {
            if let Some(page) = self.roster.remove(&worker) {
                self.unsaved.mark_changed(save_queue::SaveRowKey::Roster { page });
            }
        }
        for worker in missing {
            let page = self.roster.add(&worker);
            self.unsaved.mark_changed(save_queue::SaveRowKey::Roster { page });
        }
    }
}
