//! Time-limited avoidance of a worker by the tasks that failed on it.
//!
//! The avoided worker may be the only one that offers what a task needs: without a time limit the task
//! would never start again.

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::task_key;
use crate::worker;

/// A task avoids the worker on which it failed last for this long. The platform counts a job as lost
/// that is idle for 3 s although capacity is free.
const AVOIDANCE_TIME: Duration = Duration::from_millis(2_000);

/// Upper bound of that time if capacity is scarce and another worker, once it is free, offers what the
/// task needs: on a worker that goes on failing tasks, the task would use up its attempts.
const MAX_AVOIDANCE_TIME: Duration = Duration::from_secs(10);

/// The end of an avoidance. It has no effect if the task has failed once more since.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AvoidanceEnd {
    ends_at: Duration,
    began_at: Duration,
    task: task_key::TaskKey,
}

impl core::PoolCore {
    /// Makes a task avoid the worker on which it has just failed.
    pub(crate) fn avoid_failed_worker(
        &mut self,
        key: task_key::TaskKey,
        worker: &ids::WorkerId,
        now: Duration,
    ) {
        let Some(task) = self.task_record_mut(key) else { return };
        let ends_at = now + AVOIDANCE_TIME;
        task.avoids = Some(worker.clone());
        task.avoids_until = ends_at;
        self.avoidance_ends.push_back(AvoidanceEnd { ends_at, began_at: now, task: key });
    }

    /// Ends the avoidances that are due, or extends them where the task had better wait for another
    /// worker.
    pub(crate) fn expire_avoidances(&mut self, now: Duration) {
        while let Some(end) = self.avoidance_ends.front().copied().filter(|it| now >= it.ends_at) {
            self.avoidance_ends.pop_front();
            let is_due = |it: &&mut job::TaskRecord| now >= it.avoids_until;
            if self.task_record_mut(end.task).filter(is_due).is_none() {
                continue;
            }
            if now < end.began_at + MAX_AVOIDANCE_TIME && self.awaits_another_worker(end.task, now)
            {
                self.avoidance_ends
                    .push_back(AvoidanceEnd { ends_at: now + AVOIDANCE_TIME, ..end });
            } else if let Some(task) = self.task_record_mut(end.task) {
                task.avoids = None;
            }
        }
    }

    /// Whether capacity is scarce and a worker other than the avoided one could run the task.
    fn awaits_another_worker(&self, key: task_key::TaskKey, now: Duration) -> bool {
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
