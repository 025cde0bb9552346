//! The row that has to be durable before an end may be acknowledged.
//!
//! The invariant: an end may be acknowledged to its worker only once a successor that reads the store, and
//! hears of the end from nobody, would decide the same. A worker forgets an end that is acknowledged, and the
//! scheduler's memory ends with its tenure. In particular, the end of a job makes its tasks' ends irrelevant
//! only once it is durable itself: until then a successor would find the job running.

use crate::core;
use crate::order;
use crate::progress;
use crate::save_queue;
use crate::task_key;

/// An end that was applied to the records of its task and job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AppliedEnd {
    /// Task that ended.
    pub(crate) task: task_key::TaskKey,
    /// How it ended.
    pub(crate) how: order::EndKind,
    /// Whether the end withdrew the saved start or the loss of its attempt. A successor that finds either
    /// would hold the attempt against the task.
    pub(crate) is_evidence_withdrawn: bool,
}

impl core::PoolCore {
    /// The change that has to be durable before an end is acknowledged; `None` if a successor does not need
    /// to know of the end. The records that the end has changed have to be marked as changed before.
    pub(crate) fn change_to_await(&self, end: AppliedEnd) -> Option<save_queue::RowChange> {
        let job = self.jobs.get(&end.task.graph)?;
        if job.is_end_durable() {
            return None;
        }
        let is_gang = job.step(end.task)?.spec.gang;
        let is_done = job.task(end.task)?.done;
        match end.how {
            order::EndKind::Done => self.latest_change(end.task),
            // A failure of a task that is done has no effect, and a successor has to find it done.
            order::EndKind::Failed if is_done => self.latest_change(end.task),
            order::EndKind::Failed if is_gang => {
                self.latest_change(task_key::gang_failures_key(end.task))
            }
            order::EndKind::Failed => self.latest_change(end.task),
            order::EndKind::Stopped
            | order::EndKind::Lapsed
            | order::EndKind::Broken
            | order::EndKind::Alone => {
                end.is_evidence_withdrawn.then(|| self.latest_change(end.task)).flatten()
            }
        }
    }

    /// The latest change of the row with a task; `None` if the row must not be written. A worker that kept such an
    /// end for good would keep all later ones too.
    fn latest_change(&self, key: task_key::TaskKey) -> Option<save_queue::RowChange> {
        let chunk = progress::chunk_of(self.jobs.get(&key.graph)?, key)?;
        let row = save_queue::SaveRowKey::Progress { graph: key.graph, chunk };
        (!self.unsaved.is_withheld(row)).then(|| self.unsaved.latest_change(row))
    }
}
