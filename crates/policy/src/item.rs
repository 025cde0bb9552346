//! Work in the core, and where it stands.

use std::time::Duration;

use almondpass_schema::{model, time};

use crate::decision;
use crate::ledger;
use crate::work;

/// Why accelerators are reserved for work that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReservationKind {
    /// It claims a guarantee; whoever is there is stopped.
    Claim,
    /// It is urgent; whoever is there is stopped.
    Urgent,
    /// A gang for which a block is cleared as work there ends.
    Gang,
}

/// Where work stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ItemState {
    /// In the queue.
    Waiting,
    /// Out of the queue until a time, after a failure.
    Delayed,
    /// Its place is reserved and becomes free.
    Reserved(ReservationKind),
    /// `Start` was decided.
    Starting,
    /// It runs.
    Running,
    /// A checkpoint was asked for, `Stop` follows.
    Checkpointing,
    /// `Stop` was decided.
    Stopping,
}

impl ItemState {
    /// Whether it holds accelerators.
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

/// One request or job.
#[derive(Clone, Debug)]
pub(crate) struct QueueItem {
    pub(crate) work: work::WorkItem,
    pub(crate) class: u32,
    pub(crate) account: u32,
    pub(crate) state: ItemState,
    /// Since when it stands so.
    pub(crate) state_since: time::WallTime,
    /// Where it is held or reserved.
    pub(crate) tasks: Vec<ledger::PlacedTask>,
    pub(crate) booking: ledger::Booking,
    /// Home block that it claims.
    pub(crate) claimed_home: Option<u32>,
    pub(crate) started_at: time::WallTime,
    /// Run time saved up to this point of the attempt.
    pub(crate) saved_at: time::WallTime,
    /// When its place is expected to open, while reserving.
    pub(crate) expected_free_at: time::WallTime,
    /// Accelerators by which it counts as urgent use while held.
    pub(crate) urgent_accelerators: u32,
    /// When a checkpoint of a run that goes on was last asked for.
    pub(crate) checkpoint_requested_at: time::WallTime,
    /// When the checkpoint under way is cut short.
    pub(crate) stop_by: time::WallTime,
    /// What becomes of it after the stop under way.
    pub(crate) after_stop: decision::AfterStop,
    /// Whether this attempt was reported as started.
    pub(crate) start_reported: bool,
    /// Whether it ever started, so that `not run` would be untrue.
    pub(crate) ever_started: bool,
    pub(crate) cancelled: bool,
    pub(crate) throttled: bool,
    /// Stopped for an overrun; the reason of its end.
    pub(crate) overran: bool,
    /// Workers on which it failed by itself; it goes back there only where nothing else is free.
    pub(crate) failed_on: Vec<u32>,
    pub(crate) n_failures: u32,
    /// Workers on which it must not start again.
    pub(crate) exclude: Vec<u32>,
    /// Whether its block was chosen when it was overdue already.
    pub(crate) chosen_overdue: bool,
    /// Why it ends, where a stop for good is under way.
    pub(crate) end_reason: Option<model::WaitReason>,
    /// Times it was a victim.
    pub(crate) n_reclaims: u32,
}

impl QueueItem {
    /// Run time that a stop now would lose over all accelerators, in accelerator seconds.
    pub(crate) fn lost_work(&self, now: time::WallTime) -> f64 {
        if self.state == ItemState::Starting {
            return 0.0;
        }
        let width = f64::from(self.work.tasks * self.work.demand.accelerators.max(1));
        now.since(self.saved_at).as_secs_f64() * width
    }

    /// Run time in this attempt.
    pub(crate) fn run_time(&self, now: time::WallTime) -> Duration {
        now.since(self.started_at)
    }

    /// Accelerators of the whole gang.
    pub(crate) fn n_accelerators(&self) -> u32 {
        self.work.tasks * self.work.demand.accelerators
    }
}
