//! The jobs of a hall: what is durable, what is not yet, and the gangs that run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondpass_policy::{event, work};
use almondpass_schema::{ids, model};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::commit;
use crate::lease;

/// One job.
#[derive(Debug)]
pub(crate) struct JobEntry {
    /// The job as it stands now.
    pub(crate) record: model::JobRecord,
    /// The job as its row has it; `None` while it is not accepted. Callers are told this one: a
    /// state that is told before it is durable could be taken back by a takeover.
    pub(crate) committed: Option<model::JobRecord>,
    /// Whether its class may run more than once.
    pub(crate) repeatable: bool,
    /// Callers who submitted or cancelled it, answered by the next commit.
    pub(crate) waiters: Vec<oneshot::Sender<model::JobReply>>,
    /// Its gang, while one starts, runs or stops.
    pub(crate) gang: Option<Gang>,
    /// Starts tried under this tenure, rolled-back ones included; part of the lease names.
    pub(crate) n_starts: u32,
    /// Runs before this one ended, from checkpoint to checkpoint.
    pub(crate) saved_run: Duration,
    /// When it arrived, for the histograms.
    pub(crate) arrived_at: Instant,
}

/// A gang that starts, runs or stops.
#[derive(Debug)]
pub(crate) struct Gang {
    /// Which start of the job.
    pub(crate) start: lease::StartNumber,
    /// Its members.
    pub(crate) members: Vec<GangMember>,
    /// How far it has come.
    pub(crate) phase: GangPhase,
    /// When it started.
    pub(crate) started_at: Instant,
    /// When a checkpoint was asked for, until it is told to the policy.
    pub(crate) checkpoint_requested: bool,
    /// Whether it is to be stopped as soon as the task that starts it reports.
    pub(crate) stop_requested: bool,
    /// Whether that task may have sent a start to a worker.
    pub(crate) start_sent: bool,
    /// Whether that task reported.
    pub(crate) start_reported: bool,
}

/// One member of a gang.
#[derive(Clone, Debug)]
pub(crate) struct GangMember {
    /// Where it is.
    pub(crate) assignment: work::TaskAssignment,
    /// Its lease.
    pub(crate) lease: ids::LeaseId,
    /// How its task ended.
    pub(crate) exit: Option<model::TaskExit>,
    /// Its checkpoint when one was last asked for.
    pub(crate) previous_checkpoint: Option<ids::CheckpointId>,
    /// Its latest checkpoint.
    pub(crate) checkpoint: Option<ids::CheckpointId>,
}

/// How far a gang has come.
#[derive(Debug)]
pub(crate) enum GangPhase {
    /// Its members are being reserved.
    Reserving,
    /// All are reserved; waits for the row that says that a start may have been sent.
    PersistingStart(oneshot::Sender<bool>),
    /// Starts were sent.
    Starting,
    /// All members run.
    Running,
    /// Its leases are being released; then the policy learns the ending.
    Stopping {
        /// What the policy learns.
        ending: GangEnding,
        /// Since when.
        since: Instant,
    },
}

/// What the policy learns once nothing of a gang is held any more.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum GangEnding {
    /// It never ran.
    NotStarted {
        /// The worker in the way, if one was.
        worker: Option<ids::WorkerId>,
        /// Why.
        fault: event::StartFault,
    },
    /// It ran.
    Ended(event::WorkExit),
}

/// Jobs by id.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    /// Jobs that are not over, or whose end is not durable.
    pub(crate) entries: BTreeMap<ids::JobId, JobEntry>,
    /// Jobs whose row differs from what is known.
    pub(crate) dirty: BTreeSet<ids::JobId>,
    /// The commit on its way, or to be tried again.
    pub(crate) commit: Option<commit::CommitPlan>,
    /// Number of the last group of this tenure.
    pub(crate) commit_number: u64,
    /// Version of the commit row after the last group that is durable, once known.
    pub(crate) commit_version: Option<ids::RowVersion>,
    /// Whether a commit is on its way.
    pub(crate) committing: bool,
    /// When the next commit may go out.
    pub(crate) next_commit_at: Option<Instant>,
    /// When ended jobs are looked through again.
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

    /// Jobs of an account that wait.
    pub(crate) fn n_queued(&self, account: &str) -> usize {
        let jobs = self.entries.values().filter(|it| it.record.account == account);
        jobs.filter(|it| it.record.state == model::JobState::Queued).count()
    }
}

impl JobEntry {
    /// Whether the job is over.
    pub(crate) fn has_ended(&self) -> bool {
        is_terminal(self.record.state)
    }

    /// The gang, if it is of this start.
    pub(crate) fn gang_for_start(&mut self, start: lease::StartNumber) -> Option<&mut Gang> {
        self.gang.as_mut().filter(|it| it.start == start)
    }
}

/// Whether a job in this state is over.
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
