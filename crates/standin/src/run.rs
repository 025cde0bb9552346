//! What workers really ran, for oracles.

use std::sync::{Arc, Mutex};

use almondpass_schema::{ids, model};
use tokio::time::Instant;

use crate::state;

/// Every run of a task on any worker of a fleet; clones share it.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    runs: Arc<Mutex<Vec<TaskRun>>>,
}

/// One run of one task on one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskRun {
    /// Where it ran.
    pub worker: ids::WorkerId,
    /// Under which lease.
    pub lease: ids::LeaseId,
    /// The job it belongs to.
    pub job: ids::JobId,
    /// Its number in the gang.
    pub rank: u32,
    /// The accelerators it had.
    pub accelerators: Vec<u32>,
    /// The checkpoint it resumed from.
    pub resumed_from: Option<ids::CheckpointId>,
    /// When it started.
    pub started: Instant,
    /// When and how it ended; absent while it runs.
    pub ended: Option<RunEnd>,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEnd {
    /// When.
    pub at: Instant,
    /// By what.
    pub cause: EndCause,
}

/// By what a run ended.
#[derive(Clone, Debug, PartialEq)]
pub enum EndCause {
    /// The task itself.
    Exited(model::TaskExit),
    /// A signal.
    Signalled,
    /// Its lease was given back.
    Released,
    /// Its lease lapsed.
    Lapsed,
    /// The worker died.
    WorkerLost,
}

/// Place of a run in the log.
pub(crate) type RunIndex = usize;

impl RunLog {
    /// All runs so far, in order of their start. Ends that no call has brought to light yet are
    /// missing; [`crate::fleet::WorkerFleet::runs`] settles them first.
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
    /// Whether it ran at some moment from `from` until before `to`.
    pub fn overlaps(&self, from: Instant, to: Instant) -> bool {
        let ended_after = self.ended.as_ref().is_none_or(|it| from < it.at);
        self.started < to && ended_after
    }
}
