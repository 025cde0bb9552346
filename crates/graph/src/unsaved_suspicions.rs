//! Exchange of unsaved suspicions: losses and starts of suspects that a scheduler could not save,
//! and hands to its successor.
//!
//! Workers are often lost during an outage of the store. Without this exchange the losses recorded
//! meanwhile would be gone with the scheduler, and its successor would start a task that crashes
//! its workers as often again.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::core;
use crate::job;
use crate::progress;
use crate::save_queue;
use crate::saved_start;
use crate::task_key;

/// Limit of the chunks that are handed over. Each is a few hundred bytes.
pub(crate) const MAX_REPORTED_CHUNKS: usize = 256;

impl core::PoolCore {
    /// The losses and saved starts in progress rows that the store lacks, and the starts that were planned and
    /// not sent, for the successor.
    pub fn unsaved_suspicions(&self) -> Vec<model::UnsavedSuspicions> {
        let unsaved = self.unsaved.unsaved_rows().filter_map(|it| match it {
            save_queue::SaveRowKey::Progress { graph, chunk } => Some((graph, chunk)),
            save_queue::SaveRowKey::Roster { .. } | save_queue::SaveRowKey::Speeds => None,
        });
        let unsaved = unsaved.collect::<BTreeSet<_>>();
        // A silent worker's starts count as reported only if all unsaved chunks are, so these come first.
        let planned = self.chunks_with_planned_starts();
        let chunks = unsaved.iter().chain(planned.difference(&unsaved));
        let reported = chunks.filter_map(|(graph, chunk)| {
            let job = self.jobs.get(graph)?;
            let is_failed_for_crashes = job.failure == Some(model::FailureCause::CrashesWorkers);
            let is_reported = is_failed_for_crashes || !job.has_ended();
            if is_reported { suspicions_of(*graph, job, *chunk) } else { None }
        });
        reported.take(MAX_REPORTED_CHUNKS).collect()
    }

    /// Chunks with a task whose start is planned and not sent. Their rows may be durable.
    fn chunks_with_planned_starts(&self) -> BTreeSet<(ids::GraphId, u32)> {
        let mut chunks = BTreeSet::new();
        for (graph, job) in self.active_jobs() {
            for (index, step) in (0..).zip(&job.steps) {
                let planned = (0..).zip(&step.tasks).filter(|(_, it)| it.planned_start.is_some());
                let keys = planned.map(|(task, _)| job.task_key(graph, index, task));
                chunks.extend(keys.filter_map(|it| Some((graph, progress::chunk_of(job, it)?))));
            }
        }
        chunks
    }

    /// Merges the losses and starts that an earlier scheduler could not save. Skips attempts that
    /// are known to have ended: the worker may have listed how they ended.
    pub fn merge_suspicions(&mut self, reported: model::UnsavedSuspicions, now: Duration) {
        let graph = reported.graph;
        for (index, step) in (reported.first_step..).zip(reported.steps) {
            let Some(job) = self.jobs.get(&graph).filter(|it| !it.has_ended()) else { return };
            let losses = step.losses.into_iter();
            let losses = losses.map(|it| (job.task_key(graph, index, it.task), it));
            let settled = step.settled.iter();
            let settled = settled.map(|it| (job.task_key(graph, index, it.task), it.attempt));
            let saved_starts = step.trials.into_iter().map(|it| {
                (job.task_key(graph, index, it.task), saved_start::SavedStart::from_row(it))
            });
            let (losses, settled) = (losses.collect::<Vec<_>>(), settled.collect::<Vec<_>>());
            let saved_starts = saved_starts.collect::<Vec<_>>();
            for (key, attempt) in settled {
                self.merge_settled_start(key, attempt);
            }
            for (key, reported) in losses {
                self.merge_losses(key, &reported, now);
            }
            for (key, start) in saved_starts {
                self.merge_saved_start(key, start);
            }
        }
    }

    fn merge_losses(
        &mut self,
        key: task_key::TaskKey,
        reported: &model::TaskLosses,
        now: Duration,
    ) {
        self.begin_run_of(key);
        let Some(task) = self.task_record_mut(key).filter(|it| !it.done) else { return };
        let restored = progress::restore_suspicion(reported);
        task.suspicion.record_survival(restored.longest_survived_run());
        let ended = task.ended_attempt;
        let open = restored.losses().iter().filter(|it| it.attempt > ended);
        for loss in open.copied().collect::<Vec<_>>() {
            tracing::info!(task = %key, attempt = loss.attempt, "loss is reported by a former scheduler");
            self.record_loss(key, loss, now);
        }
    }

    /// Drops the evidence that a task's starts up to `attempt` give by being in the store.
    fn merge_settled_start(&mut self, key: task_key::TaskKey, attempt: u32) {
        self.begin_run_of(key);
        let Some(task) = self.task_record_mut(key).filter(|it| !it.done) else { return };
        if task.suspicion.settle_inherited(attempt) {
            tracing::info!(task = %key, attempt, "start on record is settled by a former scheduler");
            self.mark_task_changed(key);
        }
    }

    fn merge_saved_start(&mut self, key: task_key::TaskKey, start: saved_start::SavedStart) {
        self.begin_run_of(key);
        let has_no_effect = self.has_no_effect(&start);
        let Some(task) = self.task_record_mut(key).filter(|it| !it.done) else { return };
        let attempt = start.attempt;
        if attempt <= task.ended_attempt {
            return;
        }
        let is_running = task.run.as_ref().is_some_and(|it| it.attempt == attempt);
        if has_no_effect && !is_running {
            return;
        }
        let suspicion = &mut task.suspicion;
        let known =
            if is_running { &mut suspicion.saved_start } else { &mut suspicion.inherited_start };
        if known.as_ref().is_none_or(|it| it.attempt < attempt) {
            tracing::info!(task = %key, attempt, "start is reported by a former scheduler");
            *known = Some(Box::new(start));
            self.index_inherited_starts(key.graph);
            self.mark_task_changed(key);
        }
    }
}

/// The losses and saved starts of the tasks in a chunk; `None` if there are none.
fn suspicions_of(
    graph: ids::GraphId,
    job: &job::JobRecord,
    chunk: u32,
) -> Option<model::UnsavedSuspicions> {
    let row = progress::chunk_row(job, chunk)?;
    let parts = progress::parts_of_chunk(job, chunk).zip(row.steps);
    let steps = parts.filter_map(|((index, within), saved)| {
        let tasks = &job.steps.get(index)?.tasks;
        let reported = within.filter_map(|task| Some((task, tasks.get(task as usize)?)));
        let reported = reported.filter(|(_, it)| !it.done).collect::<Vec<_>>();
        let counted =
            reported.iter().filter_map(|(task, it)| Some(counted_start(it)?.to_row(*task)));
        let settled = reported.iter().filter_map(|(task, it)| {
            Some(model::TaskAttempt { task: *task, attempt: settled_attempt(it)? })
        });
        Some(model::StepSuspicions {
            losses: saved.losses,
            trials: counted.collect(),
            settled: settled.collect(),
        })
    });
    let steps = steps.collect::<Vec<_>>();
    let is_empty = |it: &model::StepSuspicions| {
        it.losses.is_empty() && it.trials.is_empty() && it.settled.is_empty()
    };
    let has_any = !steps.iter().all(is_empty);
    has_any.then_some(model::UnsavedSuspicions { graph, first_step: row.first_step, steps })
}

/// The saved start of a task of which nothing was heard since. A planned start was not sent, and never will
/// be, as a report ends the tenure.
fn counted_start(task: &job::TaskRecord) -> Option<&saved_start::SavedStart> {
    let suspicion = &task.suspicion;
    let sent = suspicion.saved_start.as_deref().filter(|_| task.planned_start.is_none());
    sent.or(suspicion.inherited_start.as_deref())
}

/// The highest start of a task that may be in the store and counts no more.
fn settled_attempt(task: &job::TaskRecord) -> Option<u32> {
    let suspicion = &task.suspicion;
    let planned = suspicion.saved_attempt().filter(|_| task.planned_start.is_some());
    planned.or_else(|| suspicion.settled_attempt())
}
