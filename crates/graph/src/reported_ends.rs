//! Ends that a former scheduler has learned from workers that do not answer, and could not save.
//!
//! Until such an end is acknowledged only the worker and that scheduler know of it. A successor that learned
//! that nothing runs on the worker, and not of the end, would start the task again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::core;
use crate::order;
use crate::progress;
use crate::save_queue;
use crate::task_ends;
use crate::task_key;
use crate::worker;

/// Ends that former schedulers have reported, by worker, until they are durable: the next successor has to learn
/// of them too.
#[derive(Clone, Debug, Default)]
pub struct ReportedEnds {
    ends: BTreeMap<ids::WorkerId, Vec<worker::UnsavedEnd>>,
}

impl ReportedEnds {
    /// Forgets the ends that are durable.
    pub(crate) fn drop_durable(&mut self, unsaved: &save_queue::SaveQueue) {
        self.ends.retain(|_, ends| {
            ends.retain(|it| !it.is_durable(unsaved));
            !ends.is_empty()
        });
    }

    fn of_worker(&self, worker: &ids::WorkerId) -> &[worker::UnsavedEnd] {
        self.ends.get(worker).map(Vec::as_slice).unwrap_or_default()
    }
}

impl core::PoolCore {
    /// The ends of a worker that the store lacks, as it listed them to this scheduler or to an earlier one.
    pub(crate) fn ends_to_report(
        &self,
        id: &ids::WorkerId,
        worker: &worker::WorkerRecord,
    ) -> Vec<model::UnsavedEnd> {
        let ends = worker.unsaved_ends.iter().chain(self.reported_ends.of_worker(id));
        let unsaved = ends.filter(|it| !it.is_durable(&self.unsaved));
        unsaved.map(|it| to_message(&it.end)).collect()
    }

    /// Applies the ends that a former scheduler reports of a worker, as if the worker had listed them. Returns
    /// whether the job of each is known; otherwise the end has no effect.
    pub(crate) fn apply_reported_ends(
        &mut self,
        worker: &ids::WorkerId,
        reported: &[model::UnsavedEnd],
        now: Duration,
    ) -> bool {
        let mut are_jobs_known = true;
        for end in reported.iter().map(from_message) {
            are_jobs_known &= self.jobs.contains_key(&end.task.graph);
            let change = self.apply_end(worker, &end, task_ends::EndSource::FormerScheduler, now);
            if change.is_some() {
                let ends = self.reported_ends.ends.entry(worker.clone()).or_default();
                ends.push(worker::UnsavedEnd { end, change });
            }
        }
        are_jobs_known
    }
}

fn to_message(end: &order::ListedEnd) -> model::UnsavedEnd {
    let checkpoint = end.checkpoint.as_deref().filter(|it| progress::is_checkpoint_saved(it));
    model::UnsavedEnd {
        graph: end.task.graph,
        occurrence: end.task.occurrence,
        step: end.task.step,
        task: end.task.task,
        attempt: end.attempt,
        how: end.how,
        checkpoint: checkpoint.map(str::to_owned),
    }
}

/// The end without a number, as it is not acknowledged to its worker by this.
fn from_message(reported: &model::UnsavedEnd) -> order::ListedEnd {
    let model::UnsavedEnd { graph, occurrence, step, task, .. } = *reported;
    order::ListedEnd {
        number: 0,
        task: task_key::TaskKey { graph, occurrence, step, task },
        attempt: reported.attempt,
        how: reported.how,
        checkpoint: reported.checkpoint.as_deref().map(Arc::from),
    }
}
