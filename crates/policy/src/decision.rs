//! Decisions of the policy, each with a reason that operators can read. The hall scheduler carries
//! them out.

use almondpass_schema::{ids, model, time};

use crate::work;

/// One action for the hall scheduler to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Reserve accelerators for every task of the gang, then start all tasks. If any of this fails, roll
    /// everything back and apply `StartFailed`.
    Start {
        /// Id of the request or job.
        work: work::WorkId,
        /// Worker and accelerators of each task, by rank.
        placement: Vec<work::TaskAssignment>,
        /// Why this placement was chosen.
        reason: model::WaitReason,
    },
    /// Request a checkpoint of the whole gang; apply `Checkpointed` once it is durable.
    Checkpoint {
        /// Id of the request or job.
        work: work::WorkId,
        /// Time by which a `Stop` follows; if `None`, the gang continues to run.
        stop_by: Option<time::WallTime>,
        /// Why this was decided.
        reason: model::WaitReason,
    },
    /// Stop the whole gang; apply `Ended` with `WorkExit::Stopped` once nothing of it runs.
    Stop {
        /// Id of the request or job.
        work: work::WorkId,
        /// What happens to the work after the stop.
        after_stop: AfterStop,
        /// Why this was decided.
        reason: model::WaitReason,
    },
    /// Request that the gang use less of its resources, as its run exceeds the run limit.
    Throttle {
        /// Id of the request or job.
        work: work::WorkId,
        /// Why this was decided.
        reason: model::WaitReason,
    },
    /// The work was queued again after its attempt ended; report that to the caller.
    Requeue {
        /// Id of the request or job.
        work: work::WorkId,
        /// Why this was decided.
        reason: model::WaitReason,
    },
    /// The work is finished and nothing of it runs. The policy no longer knows it.
    Finish {
        /// Id of the request or job.
        work: work::WorkId,
        /// Outcome to report to the caller.
        outcome: model::RequestOutcome,
        /// Why this was decided.
        reason: model::WaitReason,
    },
    /// The state of a worker changed; report it.
    WorkerChanged {
        /// Name of the worker.
        worker: ids::WorkerId,
        /// New state of the worker.
        state: model::WorkerState,
        /// Why this was decided.
        reason: model::WaitReason,
    },
    /// The state of a guarantee changed: its home block was moved, lost or found again; report it.
    GuaranteeChanged {
        /// Account that the guarantee belongs to.
        account: ids::AccountId,
        /// Name of the guarantee.
        guarantee: ids::GuaranteeName,
        /// New state of the guarantee.
        state: model::GuaranteeState,
        /// Why this was decided.
        reason: model::WaitReason,
    },
}

/// What happens to work after it was stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterStop {
    /// The work is queued again, with its age and checkpoint.
    Requeue,
    /// The work is finished.
    End,
}
