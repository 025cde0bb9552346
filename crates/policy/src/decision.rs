//! What the core wants done, each with a reason that an operator can read.

use almondpass_schema::{ids, model, time};

use crate::work;

/// One thing to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Reserve every member, then start all, or roll back whole and say `StartFailed`.
    Start {
        /// The work.
        work: work::WorkId,
        /// Where.
        placement: Vec<work::TaskAssignment>,
        /// Why there.
        reason: model::WaitReason,
    },
    /// Ask the whole gang for a checkpoint and say `Checkpointed` when it is durable.
    Checkpoint {
        /// The work.
        work: work::WorkId,
        /// A `Stop` follows at this time at the latest; without one the gang runs on.
        stop_by: Option<time::WallTime>,
        /// Why.
        reason: model::WaitReason,
    },
    /// Stop the whole gang and say `Ended` with `Stopped`.
    Stop {
        /// The work.
        work: work::WorkId,
        /// What becomes of it afterwards.
        after_stop: AfterStop,
        /// Why.
        reason: model::WaitReason,
    },
    /// Ask the gang to use less.
    Throttle {
        /// The work.
        work: work::WorkId,
        /// Why.
        reason: model::WaitReason,
    },
    /// Queued again after it ended; its caller is told the truth.
    Requeue {
        /// The work.
        work: work::WorkId,
        /// Why.
        reason: model::WaitReason,
    },
    /// Over, with the outcome for the caller. Nothing of it runs.
    Finish {
        /// The work.
        work: work::WorkId,
        /// What the caller is told.
        outcome: model::RequestOutcome,
        /// Why.
        reason: model::WaitReason,
    },
    /// A worker changed its state.
    WorkerChanged {
        /// The worker.
        worker: ids::WorkerId,
        /// Its new state.
        state: model::WorkerState,
        /// Why.
        reason: model::WaitReason,
    },
    /// A guaranteed shape changed its state: moved, lost, or whole again.
    GuaranteeChanged {
        /// Whose it is.
        account: ids::AccountId,
        /// Its name.
        guarantee: ids::GuaranteeName,
        /// How it stands.
        state: model::GuaranteeState,
        /// Why.
        reason: model::WaitReason,
    },
}

/// What becomes of work once it is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterStop {
    /// It waits again, with its age and checkpoint.
    Requeue,
    /// It is over.
    End,
}
