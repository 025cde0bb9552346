//! Workers that tasks avoid as they failed there, for a while.
//!
//! The worker may be the only one that has what a task needs: without an end the task would never start
//! again.

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::task_key;
use crate::worker;

/// A task keeps off the worker on which it failed last for this long. The platform takes a job as lost that
/// stands still for 3 s although there is room.
const AVOIDED_FOR: Duration = Duration::from_millis(2_000);

/// And for this long at most where room is scarce and another worker has what it needs, once that is free: on
/// a worker that goes on failing its attempts would be used up.
const LONGEST_AVOIDED: Duration = Duration::from_secs(10);

/// The end of an avoidance, unless the task fails again before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AvoidanceEnd {
    at: Duration,
    since: Duration,
    task: task_key::TaskKey,
}

impl core::PoolCore {
    /// Has a task keep off the worker on which it has just failed.
    pub(crate) fn avoid_failed_worker(
        &mut self,
        key: task_key::TaskKey,
        worker: &ids::WorkerId,
        now: Duration,
    ) {
        let Some(task) = self.task_record_mut(key) else { return };
        let at = now + AVOIDED_FOR;
        task.avoids = Some(worker.clone());
        task.avoids_until = at;
        self.avoidance_ends.push_back(AvoidanceEnd { at, since: now, task: key });
    }

    /// Ends the avoidances that are due.
    pub(crate) fn expire_avoidances(&mut self, now: Duration) {
        while let Some(end) = self.avoidance_ends.front().copied().filter(|it| now >= it.at) {
            self.avoidance_ends.pop_front();
            let is_due = |it: &&mut job::TaskRecord| now >= it.avoids_until;
            if self.task_record_mut(end.task).filter(is_due).is_none() {
                continue;
            }
            if now < end.since + LONGEST_AVOIDED && self.awaits_another(end.task, now) {
                self.avoidance_ends.push_back(AvoidanceEnd { at: now + AVOIDED_FOR, ..end });
            } else if let Some(task) = self.task_record_mut(end.task) {
                task.avoids = None;
            }
        }
    }
    /// Whether room is scarce, and a task could run on another worker than the one that it avoids.
    fn awaits_another(&self, key: task_key::TaskKey, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&key.graph) else { return false };
        let (Some(step), Some(task)) = (job.step(key), job.task(key)) else { return false };
        let could_run = |id: &ids::WorkerId, it: &worker::WorkerRecord| {
            let label = step.spec.label.as_ref();
            task.avoids.as_ref() != Some(id)
                && it.entry.upstream == job.upstream
                && label.is_none_or(|label| it.entry.labels.contains(label))
                && step.task_resources().fits_in(it.entry.capacity)
                && self.exclusion_reason(id, it, now).is_none()
        };
        !self.underused.contains(&job.upstream)
            && self.workers.iter().any(|(id, it)| could_run(id, it))
    }
}
