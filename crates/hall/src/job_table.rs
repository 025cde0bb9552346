//! The jobs of a hall: their current and their durable records, and their gangs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondpass_policy::{event, work};
use almondpass_schema::{ids, model};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::commit;
use crate::lease;

/// A job as the hall actor keeps it until its end is durable.
#[derive(Debug)]
pub(crate) struct JobEntry {
    /// Current state of the job, durable or not.
    pub(crate) record: model::JobRecord,
    /// Content of the job row; `None` until the job is accepted. Callers get this record: a state
    /// that is returned before it is durable could be undone by a takeover.
    pub(crate) committed: Option<model::JobRecord>,
    /// Whether jobs of its class may run more than once.
    pub(crate) repeatable: bool,
    /// Callers that submitted or cancelled the job; answered once its row is committed.
    pub(crate) waiters: Vec<oneshot::Sender<model::JobReply>>,
    /// The gang of the job, while one starts, runs or stops.
    pub(crate) gang: Option<Gang>,
    /// Starts under this tenure, including those that were rolled back; part of the lease names.
    pub(crate) n_starts: u32,
    /// Run time that the latest durable checkpoint saves, from the start of the gang that made it.
    pub(crate) saved_run: Duration,
    /// When this tenure received the job; start of the measured waiting time.
    pub(crate) arrived_at: Instant,
}

/// A gang that starts, runs or stops.
#[derive(Debug)]
pub(crate) struct Gang {
    /// The start of the job that created the gang.
    pub(crate) start: lease::StartNumber,
    pub(crate) members: Vec<GangMember>,
    pub(crate) phase: GangPhase,
    /// When the start began. For a gang adopted at takeover: when the job began to run by its row,
    /// or else the time of the adoption.
    pub(crate) started_at: Instant,
    /// Whether a checkpoint was requested that the policy is not yet notified of as durable.
    pub(crate) checkpoint_requested: bool,
    /// Whether the gang is to be stopped as soon as its start task reports.
    pub(crate) stop_requested: bool,
    /// Whether the start task may have sent a start to a worker.
    pub(crate) start_sent: bool,
    /// Whether the start task has reported.
    pub(crate) start_reported: bool,
}

/// A member of a gang: one task of the job on one worker.
#[derive(Clone, Debug)]
pub(crate) struct GangMember {
    /// Rank, worker and accelerators of the task.
    pub(crate) assignment: work::TaskAssignment,
    /// Lease that holds the worker's resources for the task.
    pub(crate) lease: ids::LeaseId,
    /// How the task ended; `None` while it has not.
    pub(crate) exit: Option<model::TaskExit>,
    /// Latest checkpoint of the task when the gang was last requested to save one.
    pub(crate) previous_checkpoint: Option<ids::CheckpointId>,
    /// Latest checkpoint of the task.
    pub(crate) checkpoint: Option<ids::CheckpointId>,
}

/// Phase of a gang, from reserving its leases to releasing them.
#[derive(Debug)]
pub(crate) enum GangPhase {
    /// Leases for the members are being reserved.
    Reserving,
    /// All leases of a non-repeatable job are reserved. No start is sent until the job row that
    /// records the start is durable; the sender then tells the start task whether to go ahead.
    PersistingStart(oneshot::Sender<bool>),
    /// Starts may have been sent to workers.
    Starting,
    /// All members were started.
    Running,
    /// The leases are being released; the policy is notified of the ending after that.
    Stopping {
        ending: GangEnding,
        /// When the stop began.
        since: Instant,
    },
}

/// Ending of a gang, reported to the policy once all its leases are released.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum GangEnding {
    /// The gang did not run.
    NotStarted {
        /// The worker at which the start failed, if it failed at one.
        worker: Option<ids::WorkerId>,
        /// Reason for which the start failed.
        fault: event::StartFault,
    },
    /// The gang ran.
    Ended(event::WorkExit),
}

/// The jobs of a hall, and the state of commits of their rows.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    /// Jobs that have not ended or whose end is not durable.
    pub(crate) entries: BTreeMap<ids::JobId, JobEntry>,
    /// Jobs with changes that are not in their row or in the pending batch.
    pub(crate) dirty: BTreeSet<ids::JobId>,
    /// The batch that is in flight or to be retried.
    pub(crate) pending_batch: Option<commit::CommitBatch>,
    /// Number of the last batch of this tenure.
    pub(crate) last_batch_number: u64,
    /// Version of the commit row after the last durable batch; `None` until the first commit.
    pub(crate) commit_row_version: Option<ids::RowVersion>,
    /// Whether a commit is in flight.
    pub(crate) committing: bool,
    /// When the next commit may start; `None` if nothing is to be written.
    pub(crate) next_commit_at: Option<Instant>,
    /// When ended jobs are next swept; `None` before the first sweep of this tenure.
    pub(crate) next_sweep_at: Option<Instant>,
}

impl JobTable {
    /// Whether a write or a start is in flight.
    pub(crate) fn is_busy(&self) -> bool {
        let starting = self.entries.values().filter_map(|it| it.gang.as_ref());
        let starting = starting.into_iter().any(|it| {
            matches!(
                it.phase,
                GangPhase::Reserving | GangPhase::PersistingStart(_) | GangPhase::Starting
            )
        });
        self.committing || !self.dirty.is_empty() || starting
    }

    /// Number of queued jobs of an account.
    pub(crate) fn n_queued(&self, account: &str) -> usize {
        let jobs = self.entries.values().filter(|it| it.record.account == account);
        jobs.filter(|it| it.record.state == model::JobState::Queued).count()
    }
}

impl JobEntry {
    pub(crate) fn has_ended(&self) -> bool {
        is_terminal(self.record.state)
    }

    /// Returns the gang if it was created by this start.
    pub(crate) fn gang_for_start(&mut self, start: lease::StartNumber) -> Option<&mut Gang> {
        self.gang.as_mut().filter(|it| it.start == start)
    }
}

/// Whether a job in this state has ended.
pub(crate) fn is_terminal(state: model::JobState) -> bool {
    matches!(
        state,
        model::JobState::Done
            | model::JobState::Failed
            | model::JobState::NotRun
            | model::JobState::Unknown
            | model::JobState::Cancelled
    )
}
