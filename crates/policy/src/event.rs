//! What happens in a hall.

use almondpass_schema::{ids, time};

use crate::work;

/// Something that the core learns.
#[derive(Clone, Debug, PartialEq)]
pub enum HallEvent {
    /// Work was accepted; a known id changes nothing.
    Arrived(work::WorkItem),
    /// A new scheduler found this whole gang running.
    Adopted {
        /// The work.
        item: work::WorkItem,
        /// Where its tasks are.
        placement: Vec<work::TaskAssignment>,
        /// When it started.
        started_at: time::WallTime,
    },
    /// The caller does not want it any more. Held accelerators are free only after `Ended`.
    Cancelled(work::WorkId),
    /// Every member of the gang was reserved and started.
    Started(work::WorkId),
    /// The start was rolled back whole: nothing ran and nothing is held.
    StartFailed {
        /// The work.
        work: work::WorkId,
        /// The worker that was in the way, if one was.
        worker: Option<ids::WorkerId>,
        /// Why.
        fault: StartFault,
    },
    /// A checkpoint of the whole gang is durable.
    Checkpointed(work::WorkId),
    /// Nothing of the work runs any more and its accelerators are free.
    Ended {
        /// The work.
        work: work::WorkId,
        /// How it ended.
        exit: WorkExit,
    },
    /// A worker does not answer, or the platform says that it is gone.
    WorkerLost(ids::WorkerId),
    /// A worker answers again.
    WorkerBack(ids::WorkerId),
    /// A worker leaves or is drained by an operator: no new work.
    WorkerDraining(ids::WorkerId),
    /// A drain was called off.
    WorkerUndrained(ids::WorkerId),
}

/// Why a gang did not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartFault {
    /// The worker refused the reservation: somebody else holds what we thought free.
    Refused,
    /// The worker did not answer.
    Unreachable,
    /// The worker could not start the task.
    Failed,
    /// The scheduler rolled it back for a reason of its own.
    Withdrawn,
}

/// How work ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkExit {
    /// It ended well.
    Succeeded,
    /// It failed by itself, or its worker made it fail; the core tells these apart over time.
    Failed {
        /// Worker on which it failed first.
        worker: ids::WorkerId,
    },
    /// It was stopped on a decision of the core.
    Stopped,
    /// A worker died or a lease lapsed under it; the gang was stopped whole.
    Lost {
        /// The worker.
        worker: ids::WorkerId,
    },
}
