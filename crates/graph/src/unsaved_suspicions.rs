//! What a scheduler holds against tasks and has not saved, for its successor.
//!
//! Losses come amid outages: while the store is away, what was learnt of them would go with the scheduler, and a
//! task that crashes its workers would be started anew as often again.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::core;
use crate::job;
use crate::progress;
use crate::save_queue;
use crate::task_key;

/// Chunks that are told of. Each is a few hundred bytes.
const MOST_TOLD: usize = 256;

impl core::PoolCore {
    /// What is held against tasks and was not saved.
    pub fn unsaved_suspicions(&self) -> Vec<model::UnsavedSuspicions> {
        let chunks = self.unsaved.unsaved_rows().filter_map(|it| match it {
            save_queue::SaveRowKey::Progress { graph, chunk } => Some((graph, chunk)),
            save_queue::SaveRowKey::Roster { .. } => None,
        });
        let chunks = chunks.collect::<BTreeSet<_>>().into_iter();
        let told = chunks.filter_map(|(graph, chunk)| {
            let job = self.jobs.get(&graph)?;
            let is_given_up = job.failure == Some(model::FailureCause::CrashesWorkers);
            let is_told = is_given_up || !job.has_ended();
            if is_told { suspicions_of(graph, job, chunk) } else { None }
        });
        told.take(MOST_TOLD).collect()
    }

    /// Takes in what an earlier scheduler held against tasks and had not saved. Not of an attempt that is known to
    /// be over: its worker may have told how it ended.
    pub fn merge_suspicions(&mut self, told: model::UnsavedSuspicions, now: Duration) {
        let graph = told.graph;
        for (index, step) in (told.first_step..).zip(told.steps) {
            let Some(job) = self.jobs.get(&graph).filter(|it| !it.has_ended()) else { return };
            let losses = step.losses.into_iter();
            let losses = losses.map(|it| (job.task_key(graph, index, it.task), it));
            let trials = step.trials.iter();
            let trials = trials.map(|it| (job.task_key(graph, index, it.task), it.attempt));
            let (losses, trials) = (losses.collect::<Vec<_>>(), trials.collect::<Vec<_>>());
            for (key, told) in losses {
                self.learn_losses(key, &told, now);
            }
            for (key, attempt) in trials {
                self.learn_trial(key, attempt);
            }
        }
    }

    fn learn_losses(&mut self, key: task_key::TaskKey, told: &model::TaskLosses, now: Duration) {
        let Some(task) = self.task_record_mut(key).filter(|it| !it.done) else { return };
        let former = progress::restore_suspicion(told);
        task.suspicion.record_survival(former.longest_survived_run());
        let ended = task.ended_attempt;
        let open = former.losses().iter().filter(|it| it.attempt > ended);
        for loss in open.copied().collect::<Vec<_>>() {
            tracing::info!(task = %key, attempt = loss.attempt, "loss is told by a former scheduler");
            self.record_loss(key, loss, now);
        }
    }

    fn learn_trial(&mut self, key: task_key::TaskKey, attempt: u32) {
        let Some(task) = self.task_record_mut(key).filter(|it| !it.done) else { return };
        if attempt <= task.ended_attempt {
            return;
        }
        let trial = match &task.run {
            Some(run) if run.attempt == attempt => &mut task.suspicion.saved_attempt,
            _ => &mut task.suspicion.inherited_attempt,
        };
        if *trial < Some(attempt) {
            tracing::info!(task = %key, attempt, "start is told by a former scheduler");
            *trial = Some(attempt);
            self.mark_task_changed(key);
        }
    }
}

/// What is held against the tasks of a chunk, if anything is.
fn suspicions_of(
    graph: ids::GraphId,
    job: &job::JobRecord,
    chunk: u32,
) -> Option<model::UnsavedSuspicions> {
    let row = progress::chunk_row(job, chunk)?;
    let steps = row.steps.into_iter();
    let steps = steps.map(|it| model::StepSuspicions { losses: it.losses, trials: it.trials });
    let steps = steps.collect::<Vec<_>>();
    let is_any = steps.iter().any(|it| !it.losses.is_empty() || !it.trials.is_empty());
    is_any.then_some(model::UnsavedSuspicions { graph, first_step: row.first_step, steps })
}
