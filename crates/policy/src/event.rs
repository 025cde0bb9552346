//! Events that the hall scheduler applies to the policy.

use almondpass_schema::{ids, time};

use crate::work;

/// A change in the hall that the policy has to take into account.
#[derive(Clone, Debug, PartialEq)]
pub enum HallEvent {
    /// Work was accepted. An id that is already known changes nothing.
    Arrived(work::WorkItem),
    /// A new scheduler found all tasks of this gang running.
    Adopted {
        /// The request or job.
        item: work::WorkItem,
        /// Worker and accelerators of each task, by rank.
        placement: Vec<work::TaskAssignment>,
        /// When the running attempt started.
        started_at: time::WallTime,
    },
    /// The caller cancelled the work. Accelerators that it holds are not free before `Ended`.
    Cancelled(work::WorkId),
    /// Every task of the gang was reserved and started.
    Started(work::WorkId),
    /// The start was rolled back completely: no task ran and no accelerators are held.
    StartFailed {
        /// Id of the request or job.
        work: work::WorkId,
        /// Worker at which the start failed, if it failed at one.
        worker: Option<ids::WorkerId>,
        /// Why the start failed.
        fault: StartFault,
    },
    /// A checkpoint of the whole gang is durable.
    Checkpointed(work::WorkId),
    /// Nothing of the work runs any more and its accelerators are free.
    Ended {
        /// Id of the request or job.
        work: work::WorkId,
        /// How the work ended.
        exit: WorkExit,
    },
    /// A worker does not answer, or the platform reports that its machine is gone.
    WorkerLost(ids::WorkerId),
    /// A worker answers again.
    WorkerBack(ids::WorkerId),
    /// A worker is leaving, or an operator drains it: it gets no new work.
    WorkerDraining(ids::WorkerId),
    /// The drain of a worker was cancelled.
    WorkerUndrained(ids::WorkerId),
}

/// Why a gang did not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartFault {
    /// The worker rejected the reservation: accelerators that the policy recorded as free are held.
    Refused,
    /// The worker did not answer.
    Unreachable,
    /// The worker could not start the task.
    Failed,
    /// The hall scheduler rolled the start back for a reason that lies with no worker.
    Withdrawn,
}

/// How work ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkExit {
    /// All tasks succeeded.
    Succeeded,
    /// A task failed, through a fault of its own or of its worker. The policy distinguishes the two by
    /// the failures of other work on the worker and of the same work on other workers.
    Failed {
        /// Worker on which a task failed first.
        worker: ids::WorkerId,
    },
    /// The gang was stopped after a decision of the policy.
    Stopped,
    /// A worker died or a lease expired during the run; the remaining tasks were stopped.
    Lost {
        /// Worker that was lost.
        worker: ids::WorkerId,
    },
}
