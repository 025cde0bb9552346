//! Starts that are saved before their outcome is known, and what a successor learns of them from the workers.
//!
//! A saved start that no worker lists may mean that the task has crashed its worker, or that the start was never
//! sent. The worker for which it was meant tells the two apart: while it is in the same incarnation and lists
//! nothing of the start, no worker was lost under it. A start that is still on its way is no exception, as the
//! worker has seen the fencing token of the scheduler that it answers.

use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::core;
use crate::worker;

/// A start that is saved.
#[derive(Clone, Debug, PartialEq)]
pub struct SavedStart {
    /// Number of the attempt.
    pub attempt: u32,
    /// Where it was to take effect; `None` if the row does not tell.
    pub place: Option<model::StartPlace>,
}

impl SavedStart {
    /// Whether two starts are the same attempt in the same incarnation of a worker.
    pub(crate) fn is_same_as(&self, other: &SavedStart) -> bool {
        let meant =
            |it: &SavedStart| it.place.as_ref().map(|it| (it.worker.clone(), it.incarnation));
        self.attempt == other.attempt && meant(self) == meant(other)
    }

    /// A start as it was saved for a task.
    pub(crate) fn from_row(row: model::SavedStart) -> SavedStart {
        SavedStart { attempt: row.attempt, place: row.place }
    }

    /// The start as it is saved for the task with that index.
    pub(crate) fn to_row(&self, task: u32) -> model::SavedStart {
        model::SavedStart { task, attempt: self.attempt, place: self.place.clone() }
    }
}

impl worker::WorkerRecord {
    /// Whether the worker is in the incarnation for which a start was meant. If the platform does not number
    /// incarnations, the clock decides: within one incarnation it never goes back.
    fn is_in_incarnation_of(&self, place: &model::StartPlace) -> bool {
        match (self.incarnation, place.incarnation) {
            (Some(current), Some(meant)) => current == meant,
            (None, None) => self.clock.latest_reading_ms().is_some_and(|it| it >= place.clock_ms),
            _ => false,
        }
    }
}

impl core::PoolCore {
    /// The place of a start on a worker at `now`, in the incarnation that is known of it.
    pub(crate) fn start_place(
        &self,
        worker: &ids::WorkerId,
        now: Duration,
    ) -> Option<model::StartPlace> {
        let record = self.workers.get(worker)?;
        let clock_ms = record.clock.min_reading_ms(now)?;
        let incarnation = record.incarnation;
        Some(model::StartPlace { worker: worker.clone(), incarnation, clock_ms })
    }

    /// Remembers for which workers the inherited starts of a job were meant.
    pub(crate) fn index_inherited_starts(&mut self, graph: ids::GraphId) {
        let Some(job) = self.jobs.get(&graph).filter(|it| !it.has_ended()) else { return };
        for (index, step) in (0..).zip(&job.steps) {
            for (task, record) in (0..).zip(&step.tasks) {
                let Some(start) = &record.suspicion.inherited_start else { continue };
                let Some(place) = &start.place else { continue };
                let starts = self.inherited_starts.entry(place.worker.clone()).or_default();
                starts.push((job.task_key(graph, index, task), SavedStart::clone(start)));
            }
        }
    }

    /// Settles the inherited starts that were meant for a worker, which has just listed all its runs and ends: if
    /// it is in the incarnation of the start, no worker was lost under it.
    pub(crate) fn settle_starts_at(&mut self, worker: &ids::WorkerId) {
        for (key, start) in self.inherited_starts.remove(worker).unwrap_or_default() {
            if !self.has_no_effect(&start) {
                continue;
            }
            let Some(task) = self.task_record_mut(key).filter(|it| !it.done) else { continue };
            let is_listed = task.suspicion.saved_attempt() == Some(start.attempt);
            if !is_listed && task.suspicion.settle_inherited(start.attempt) {
                tracing::info!(
                    job = format_args!("{:016x}", key.graph),
                    task = %key,
                    attempt = start.attempt,
                    worker,
                    "saved start has no effect: its worker lives and does not list it"
                );
                self.mark_task_changed(key);
            }
        }
    }

    /// Whether the worker for which a start was meant has listed all its runs and ends since, in the same
    /// incarnation. A start that it did not list will not take effect any more.
    pub(crate) fn has_no_effect(&self, start: &SavedStart) -> bool {
        let Some(place) = &start.place else { return false };
        let worker = self.workers.get(&place.worker).filter(|it| it.has_listed_all);
        worker.is_some_and(|it| it.is_in_incarnation_of(place))
    }
}
