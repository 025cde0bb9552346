//! What is saved of jobs, and how it is read back.

use std::collections::BTreeSet;
use std::sync::Arc;

use almondpass_schema::{ids, model};

use crate::core;
use crate::job;
use crate::worker;

/// Changes to be saved in one transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct SaveBatch {
    /// Once this batch is durable, so are all changes up to this one.
    pub change: u64,
    /// The rows to write.
    pub rows: Vec<(ids::GraphId, model::ProgressRow)>,
    /// The rows to remove.
    pub removed: Vec<ids::GraphId>,
    /// The roster to write, where it has changed.
    pub roster: Option<model::RosterRow>,
}

impl core::PoolCore {
    /// Takes up to `most` changed jobs for saving; nothing where nothing has changed. A batch is
    /// to be saved before the next one is taken.
    pub fn take_batch(&mut self, most: usize) -> Option<SaveBatch> {
        let roster = self.changed_roster();
        if let Some(roster) = &roster {
            // Until the answer the store may have either.
            let written = names_in(roster);
            self.saved_roster.retain(|it| written.contains(it));
        }
        if self.changed.is_empty() && self.forgotten.is_empty() && roster.is_none() {
            return None;
        }
        let mut rows = Vec::new();
        while rows.len() < most {
            let Some(graph) = self.changed.pop_first() else { break };
            if let Some(job) = self.jobs.get(&graph) {
                rows.push((graph, progress_of(job)));
            }
        }
        let mut removed = Vec::new();
        while rows.len() + removed.len() < most {
            let Some(graph) = self.forgotten.pop_first() else { break };
            removed.push(graph);
        }
        let change = if self.changed.is_empty() { self.change } else { self.durable_change };
        Some(SaveBatch { change, rows, removed, roster })
    }

    /// Whether there is something to save.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty() || !self.forgotten.is_empty() || self.is_roster_due()
    }

    /// The batch is durable: callers may be told, and workers' ends acknowledged.
    pub fn batch_saved(&mut self, batch: &SaveBatch) {
        self.durable_change = self.durable_change.max(batch.change);
        for (graph, row) in &batch.rows {
            if let Some(job) = self.jobs.get_mut(graph)
                && job.durable != model::GraphState::Cancelled
            {
                job.durable = row.state;
            }
        }
        if let Some(roster) = &batch.roster {
            self.saved_roster = names_in(roster);
        }
        for worker in self.workers.values_mut() {
            worker.settle_ends(self.durable_change);
        }
    }

    /// Workers on which a successor has to expect tasks. It waits for each of them, so that none
    /// may stay that has left: for that the successor would wait for as long as a lease lasts.
    fn roster(&self) -> impl Iterator<Item = (&ids::WorkerId, &worker::WorkerRecord)> {
        self.workers.iter().filter(|(_, it)| !it.has_left())
    }

    fn is_roster_due(&self) -> bool {
        let is_saved = self.roster().all(|(id, _)| self.saved_roster.contains(id));
        !is_saved || self.roster().count() != self.saved_roster.len()
    }

    /// The roster, if it differs from the saved one.
    fn changed_roster(&self) -> Option<model::RosterRow> {
        if !self.is_roster_due() {
            return None;
        }
        let workers = self.roster().map(|(worker, it)| model::RosterEntry {
            worker: worker.clone(),
            address: it.listing.address.clone(),
            upstream: it.listing.upstream.clone(),
        });
        Some(model::RosterRow { workers: workers.collect() })
    }
}

fn names_in(roster: &model::RosterRow) -> BTreeSet<ids::WorkerId> {
    roster.workers.iter().map(|it| it.worker.clone()).collect()
}

/// What is to be durable of a job.
pub fn progress_of(job: &job::JobRecord) -> model::ProgressRow {
    model::ProgressRow { state: job.state, steps: job.steps.iter().map(step_progress).collect() }
}

/// Takes what was saved of a job into its record.
pub fn restore(job: &mut job::JobRecord, progress: model::ProgressRow) {
    job.state = progress.state;
    job.durable = progress.state;
    job.started = progress.state != model::GraphState::Pending;
    for (step, saved) in job.steps.iter_mut().zip(progress.steps) {
        restore_step(step, saved);
    }
}

fn step_progress(step: &job::StepRecord) -> model::StepProgress {
    let tasks = || step.tasks.iter().enumerate().map(|(index, it)| (index as u32, it));
    let failures = |task: u32, it: &job::FailureCount| model::TaskFailures {
        task,
        attempts: it.attempts().to_vec(),
    };
    let failed = tasks().filter(|(_, it)| it.failures.count() > 0);
    let mut failed = failed.map(|(task, it)| failures(task, &it.failures)).collect::<Vec<_>>();
    if step.spec.gang && step.gang_failures.count() > 0 {
        failed = vec![failures(0, &step.gang_failures)];
    }
    let started = tasks().filter(|(_, it)| it.attempt > 0 && !it.done);
    let saved = tasks().filter(|(_, it)| !it.done);
    model::StepProgress {
        done: tasks().filter(|(_, it)| it.done).map(|(task, _)| task).collect(),
        failures: failed,
        attempts: started
            .map(|(task, it)| model::TaskAttempt { task, attempt: it.attempt })
            .collect(),
        checkpoints: saved
            .filter_map(|(task, it)| {
                let checkpoint = it.checkpoint.as_deref()?.to_owned();
                Some(model::TaskCheckpoint { task, checkpoint })
            })
            .collect(),
    }
}

fn restore_step(step: &mut job::StepRecord, saved: model::StepProgress) {
    for task in saved.done {
        if let Some(task) = step.tasks.get_mut(task as usize) {
            task.done = true;
        }
    }
    for it in saved.failures {
        let failures = job::FailureCount::of_attempts(it.attempts);
        if step.spec.gang {
            step.gang_failures = failures;
        } else if let Some(task) = step.tasks.get_mut(it.task as usize) {
            task.failures = failures;
        }
    }
    for it in saved.attempts {
        if let Some(task) = step.tasks.get_mut(it.task as usize) {
            task.attempt = it.attempt;
        }
    }
    for it in saved.checkpoints {
        if let Some(task) = step.tasks.get_mut(it.task as usize) {
            task.checkpoint = Some(Arc::from(it.checkpoint));
        }
    }
}
