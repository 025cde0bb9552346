//! Removal of ended jobs after the retention period, during which callers may still ask for their
//! outcome.

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::progress;
use crate::save_queue;

impl core::PoolCore {
    /// Up to `limit` jobs whose end is durable and older than the retention period. Their rows may
    /// be removed: first the acceptance row, then, by
    /// [`PoolCore::forget_job`](core::PoolCore::forget_job), the progress rows. In the other order
    /// a successor could find an accepted job without progress, and run it once more.
    pub fn expired_jobs(&self, now: Duration, limit: usize) -> Vec<ids::GraphId> {
        let retention = self.timing.retention;
        let expired_jobs = self.jobs.iter().filter(|(graph, it)| {
            let is_past_retention = it.ended_at.is_some_and(|ended| now >= ended + retention);
            is_past_retention
                && has_durable_end_and_no_runs(it)
                && self.is_saved(**graph, progress::n_chunks(it))
        });
        expired_jobs.map(|(graph, _)| *graph).take(limit).collect()
    }

    /// Removes the record of a job whose acceptance row was removed from the store, or never was
    /// there, and marks its progress rows for removal.
    pub fn forget_job(&mut self, graph: ids::GraphId) {
        self.active.remove(&graph);
        let Some(job) = self.jobs.remove(&graph) else { return };
        self.mark_job_changed(graph, progress::n_chunks(&job));
    }

    /// Marks a progress row for removal that is left of a job whose acceptance row was removed by a
    /// scheduler that has since ended.
    pub fn forget_chunk(&mut self, graph: ids::GraphId, chunk: u32) {
        self.unsaved.mark_changed(save_queue::SaveRowKey::Progress { graph, chunk });
    }

    fn is_saved(&self, graph: ids::GraphId, n_chunks: u32) -> bool {
        let mut chunks =
            (0..n_chunks).map(|chunk| save_queue::SaveRowKey::Progress { graph, chunk });
        chunks.all(|it| self.unsaved.is_saved(it))
    }
}

/// Whether the end of the job is durable and none of its tasks is on a worker any more.
fn has_durable_end_and_no_runs(job: &job::JobRecord) -> bool {
    let mut tasks = job.steps.iter().flat_map(|it| &it.tasks);
    job.is_end_durable() && tasks.all(|it| it.run.is_none())
}
