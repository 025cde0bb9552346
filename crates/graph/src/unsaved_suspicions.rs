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
use crate::task_key;

/// Limit of the chunks that are handed over. Each is a few hundred bytes.
pub(crate) const MAX_REPORTED_CHUNKS: usize = 256;

impl core::PoolCore {
    /// The losses and saved starts in progress rows that the store lacks, for the successor.
    pub fn unsaved_suspicions(&self) -> Vec<model::UnsavedSuspicions> {
        let chunks = self.unsaved.unsaved_rows().filter_map(|it| match it {
            save_queue::SaveRowKey::Progress { graph, chunk } => Some((graph, chunk)),
            save_queue::SaveRowKey::Roster { .. } | save_queue::SaveRowKey::Speeds => None,
        });
        let chunks = chunks.collect::<BTreeSet<_>>().into_iter();
        let reported = chunks.filter_map(|(graph, chunk)| {
            let job = self.jobs.get(&graph)?;
            let is_failed_for_crashes = job.failure == Some(model::FailureCause::CrashesWorkers);
            let is_reported = is_failed_for_crashes || !job.has_ended();
            if is_reported { suspicions_of(graph, job, chunk) } else { None }
        });
        reported.take(MAX_REPORTED_CHUNKS).collect()
    }

    /// Merges the losses and starts that an earlier scheduler could not save. Skips attempts that
    /// are known to have ended: the worker may have listed how they ended.
    pub fn merge_suspicions(&mut self, reported: model::UnsavedSuspicions, now: Duration) {
        let graph = reported.graph;
        for (index, step) in (reported.first_step..).zip(reported.steps) {
            let Some(job) = self.jobs.get(&graph).filter(|it| !it.has_ended()) else { return };
            let losses = step.losses.into_iter();
            let losses = losses.map(|it| (job.task_key(graph, index, it.task), it));
            let saved_starts = step.trials.iter();
            let saved_starts =
                saved_starts.map(|it| (job.task_key(graph, index, it.task), it.attempt));
            let (losses, saved_starts) =
                (losses.collect::<Vec<_>>(), saved_starts.collect::<Vec<_>>());
            for (key, reported) in losses {
                self.merge_losses(key, &reported, now);
            }
            for (key, attempt) in saved_starts {
                self.merge_saved_start(key, attempt);
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
            tracing::info!(task = %key, attempt = loss.attempt, "loss is told by a former scheduler");
            self.record_loss(key, loss, now);
        }
    }

    fn merge_saved_start(&mut self, key: task_key::TaskKey, attempt: u32) {
        self.begin_run_of(key);
        let Some(task) = self.task_record_mut(key).filter(|it| !it.done) else { return };
        if attempt <= task.ended_attempt {
            return;
        }
        let saved_attempt = match &task.run {
            Some(run) if run.attempt == attempt => &mut task.suspicion.saved_attempt,
            _ => &mut task.suspicion.inherited_attempt,
        };
        if *saved_attempt < Some(attempt) {
            tracing::info!(task = %key, attempt, "start is told by a former scheduler");
            *saved_attempt = Some(attempt);
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
    let steps = job.steps.iter().skip(row.first_step as usize).zip(row.steps);
    let steps = steps.map(|(step, it)| model::StepSuspicions {
        losses: it.losses,
        trials: it.trials.into_iter().filter(|it| !is_planned(step, it.task)).collect(),
    });
    let steps = steps.collect::<Vec<_>>();
    let has_any = steps.iter().any(|it| !it.losses.is_empty() || !it.trials.is_empty());
    has_any.then_some(model::UnsavedSuspicions { graph, first_step: row.first_step, steps })
}

/// Whether the start of a task was planned and not sent. It never will be, as a report ends the tenure.
fn is_planned(step: &job::StepRecord, task: u32) -> bool {
    step.tasks.get(task as usize).is_some_and(|it| it.planned_start.is_some())
}
