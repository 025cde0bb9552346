//! Record of the task runs on fake workers, against which the oracles of tests check the scheduler.

use std::sync::{Arc, Mutex};

use almondpass_schema::{ids, model};
use tokio::time::Instant;

use crate::state;

/// All task runs on the workers of a fleet. Clones share the log.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    runs: Arc<Mutex<Vec<TaskRun>>>,
}

/// One run of one task on one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskRun {
    /// Worker that ran the task.
    pub worker: ids::WorkerId,
    /// Lease under which the task ran.
    pub lease: ids::LeaseId,
    /// Job that the task belongs to.
    pub job: ids::JobId,
    /// Number of the task within its gang.
    pub rank: u32,
    /// Accelerators of the lease, numbered from 0 on the worker.
    pub accelerators: Vec<u32>,
    /// Checkpoint that the task resumed from; absent if it started from the beginning.
    pub resumed_from: Option<ids::CheckpointId>,
    /// When the worker accepted the start.
    pub started: Instant,
    /// When and why the run ended; absent while the task runs.
    pub ended: Option<RunEnd>,
}

/// When and why a run ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEnd {
    /// Time at which the end was due, which may be before the call that processed it.
    pub at: Instant,
    /// What ended the run.
    pub cause: EndCause,
}

/// What ended a run.
#[derive(Clone, Debug, PartialEq)]
pub enum EndCause {
    /// The task exited by itself.
    Exited(model::TaskExit),
    /// A stop signal.
    Signalled,
    /// The lease was released by its holder.
    Released,
    /// The lease expired without renewal.
    Lapsed,
    /// The worker crashed.
    WorkerLost,
}

/// Index of a run in its [`RunLog`].
pub(crate) type RunIndex = usize;

impl RunLog {
    /// All runs so far, in order of their start. An end that is due is missing until a later call to its
    /// worker processes it; [`crate::fleet::WorkerFleet::runs`] processes all due ends first.
    pub fn runs(&self) -> Vec<TaskRun> {
        state::lock(&self.runs).clone()
    }

    pub(crate) fn start(&self, run: TaskRun) -> RunIndex {
        let mut runs = state::lock(&self.runs);
        runs.push(run);
        runs.len() - 1
    }

    pub(crate) fn end(&self, index: RunIndex, end: RunEnd) {
        if let Some(run) = state::lock(&self.runs).get_mut(index) {
            run.ended.get_or_insert(end);
        }
    }
}

impl TaskRun {
    /// Whether the task ran at any time from `from` (included) to `to` (excluded).
    pub fn overlaps(&self, from: Instant, to: Instant) -> bool {
        let ends_after_from = self.ended.as_ref().is_none_or(|it| from < it.at);
        self.started < to && ends_after_from
    }
}
