//! How long ended jobs are answered for.

use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::core;
use crate::job;
use crate::progress;
use crate::save_queue;

impl core::PoolCore {
    /// Up to `most` jobs whose end is durable and was long enough ago. Their rows may go: that of the
    /// acceptance first, then, with [`PoolCore::forget`](core::PoolCore::forget), that of the
    /// progress. The other way round a successor would run the job once more.
    pub fn expired_jobs(&self, now: Duration, most: usize) -> Vec<ids::GraphId> {
        let retention = self.timing.retention;
        let expired_jobs = self.jobs.iter().filter(|(graph, it)| {
            let is_old = it.ended_at.is_some_and(|ended| now >= ended + retention);
            is_old && is_settled(it) && self.is_saved(**graph, progress::n_chunks(it))
        });
        expired_jobs.map(|(graph, _)| *graph).take(most).collect()
    }

    /// Forgets a job whose acceptance is gone from the store, or was never there.
    pub fn forget_job(&mut self, graph: ids::GraphId) {
        self.active.remove(&graph);
        let Some(job) = self.jobs.remove(&graph) else { return };
        self.mark_job_changed(graph, progress::n_chunks(&job));
    }

    /// Removes what is left of a job whose acceptance a dead scheduler has removed already.
    pub fn forget_chunk(&mut self, graph: ids::GraphId, chunk: u32) {
        self.unsaved.mark_changed(save_queue::SaveRowKey::Progress { graph, chunk });
    }

    fn is_saved(&self, graph: ids::GraphId, n_chunks: u32) -> bool {
        let mut chunks =
            (0..n_chunks).map(|chunk| save_queue::SaveRowKey::Progress { graph, chunk });
        chunks.all(|it| self.unsaved.is_saved(it))
    }
}

/// Whether the end is durable and nothing of the job is on a worker any more.
fn is_settled(job: &job::JobRecord) -> bool {
    let is_durable =
        !matches!(job.durable_state, model::GraphState::Pending | model::GraphState::Running);
    let mut tasks = job.steps.iter().flat_map(|it| &it.tasks);
    is_durable && tasks.all(|it| it.run.is_none())
}
