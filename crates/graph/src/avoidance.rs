//! Workers that tasks avoid as they failed there, for a while.
//!
//! The worker may be the only one that has what a task needs: without an end the task would never start
//! again.

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::task_key;

/// A task keeps off the worker on which it failed last for this long. The platform takes a job as lost that
/// stands still for 3 s although there is room.
const AVOIDED_FOR: Duration = Duration::from_millis(2_000);

/// The end of an avoidance, unless the task fails again before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AvoidanceEnd {
    at: Duration,
    task: task_key::TaskKey,
}

impl core::PoolCore {
    /// Has a task keep off the worker on which it has just failed.
    pub(crate) fn keep_off(
        &mut self,
        key: task_key::TaskKey,
        worker: &ids::WorkerId,
        now: Duration,
    ) {
        let Some(task) = self.task_of(key) else { return };
        let at = now + AVOIDED_FOR;
        task.avoids = Some(worker.clone());
        task.avoids_until = at;
        self.avoidance_ends.push_back(AvoidanceEnd { at, task: key });
    }

    /// Ends the avoidances that are due.
    pub(crate) fn end_avoidances(&mut self, now: Duration) {
        while let Some(end) = self.avoidance_ends.front().copied().filter(|it| now >= it.at) {
            self.avoidance_ends.pop_front();
            let task = self.task_of(end.task).filter(|it| now >= it.avoids_until);
            if let Some(task) = task {
                task.avoids = None;
            }
        }
    }
}
