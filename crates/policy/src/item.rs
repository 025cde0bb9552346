//! A request or job as the policy keeps it, with its state.

use std::time::Duration;

use almondpass_schema::{model, time};

use crate::decision;
use crate::ledger;
use crate::work;

/// Why accelerators are reserved for waiting work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReservationKind {
    /// The work claims a guarantee; the work that holds the accelerators is preempted.
    Claim,
    /// The work is urgent; the work that holds the accelerators is preempted.
    Urgent,
    /// The work is a gang; the block becomes free as the work on it ends.
    Gang,
}

/// State of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ItemState {
    /// In the queue.
    Waiting,
    /// Not in the queue until the retry delay after a failure is over.
    Delayed,
    /// Not in the queue; accelerators are reserved and not all of them are free yet.
    Reserved(ReservationKind),
    /// `Start` was decided; neither `Started` nor `StartFailed` has come yet.
    Starting,
    /// All tasks run.
    Running,
    /// A checkpoint was requested; `Stop` follows.
    Checkpointing,
    /// `Stop` was decided; `Ended` has not come yet.
    Stopping,
}

impl ItemState {
    /// Whether an item in this state holds its accelerators.
    pub(crate) fn holds_accelerators(self) -> bool {
        matches!(
            self,
            ItemState::Starting
                | ItemState::Running
                | ItemState::Checkpointing
                | ItemState::Stopping
        )
    }
}

/// One request or job, from its arrival to its end.
#[derive(Clone, Debug)]
pub(crate) struct QueueItem {
    pub(crate) work: work::WorkItem,
    pub(crate) class: u32,
    pub(crate) account: u32,
    pub(crate) state: ItemState,
    /// When the item entered its state.
    pub(crate) state_since: time::WallTime,
    /// Workers and accelerators that are held or reserved; empty while neither.
    pub(crate) tasks: Vec<ledger::PlacedTask>,
    pub(crate) booking: ledger::Booking,
    /// Index of the home whose block the item claims.
    pub(crate) claimed_home: Option<u32>,
    /// Start of the current attempt.
    pub(crate) started_at: time::WallTime,
    /// When the attempt last saved a checkpoint, or else its start: run time since then would be lost.
    pub(crate) saved_at: time::WallTime,
    /// When the reserved accelerators are expected to be free.
    pub(crate) expected_free_at: time::WallTime,
    /// Accelerators that are counted as held by urgent work; 0 for other work.
    pub(crate) urgent_accelerators: u32,
    /// When a periodic checkpoint, after which the run continues, was last requested.
    pub(crate) checkpoint_requested_at: time::WallTime,
    /// When the gang is stopped even if the checkpoint in progress is not complete.
    pub(crate) stop_by: time::WallTime,
    /// What happens to the item after the stop in progress.
    pub(crate) after_stop: decision::AfterStop,
    /// Whether `Started` was received for the current attempt.
    pub(crate) start_reported: bool,
    /// Whether any of the work may have run, so that the outcome can't be `not_run`.
    pub(crate) ever_started: bool,
    pub(crate) cancelled: bool,
    pub(crate) throttled: bool,
    /// Whether the item is stopped because its run exceeded the overrun bound.
    pub(crate) overran: bool,
    /// Workers on which the work failed; used again only if no other worker is free.
    pub(crate) failed_on: Vec<u32>,
    /// Number of failures over all attempts.
    pub(crate) n_failures: u32,
    /// Workers on which the work must not be started again.
    pub(crate) exclude: Vec<u32>,
    /// Whether the gang was already overdue when its block was chosen.
    pub(crate) chosen_overdue: bool,
    /// Why the item ends, once a stop with `AfterStop::End` was decided.
    pub(crate) end_reason: Option<model::WaitReason>,
    /// Number of times the item was requeued after a stop.
    pub(crate) n_reclaims: u32,
}

impl QueueItem {
    /// Run time that a stop at `now` would lose, summed over the accelerators, in accelerator seconds.
    pub(crate) fn lost_work(&self, now: time::WallTime) -> f64 {
        if self.state == ItemState::Starting {
            return 0.0;
        }
        let n_accelerators = f64::from(self.work.tasks * self.work.demand.accelerators.max(1));
        now.since(self.saved_at).as_secs_f64() * n_accelerators
    }

    /// Run time of the current attempt.
    pub(crate) fn run_time(&self, now: time::WallTime) -> Duration {
        now.since(self.started_at)
    }

    /// Accelerators of the whole gang.
    pub(crate) fn n_accelerators(&self) -> u32 {
        self.work.tasks * self.work.demand.accelerators
    }
}
