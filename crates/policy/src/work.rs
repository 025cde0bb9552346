//! Work as the core sees it: a request is a gang of one that is answered on its connection.

use std::time::Duration;

use almondpass_schema::{ids, model, time};
use uuid::Uuid;

/// Id of a request or a job.
pub type WorkId = Uuid;

/// What one task needs of its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TaskDemand {
    /// Accelerators, adjacent within the worker.
    pub accelerators: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Slots of the upstream; 1 for a request, 0 for a task of a job.
    pub slots: u32,
}

/// A request or a job as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkItem {
    /// Its id.
    pub id: WorkId,
    /// Who pays.
    pub account: ids::AccountId,
    /// What kind of work.
    pub class: ids::ClassName,
    /// Tasks of the gang.
    pub tasks: u32,
    /// What each task needs.
    pub demand: TaskDemand,
    /// How close the accelerators of all tasks together must lie.
    pub adjacency: model::Adjacency,
    /// Guaranteed shape that the caller names; without one the core matches any that fits.
    pub guarantee: Option<ids::GuaranteeName>,
    /// Run time that the caller expects; a hint.
    pub declared_run: Option<Duration>,
    /// When the result is worthless.
    pub deadline: Option<time::WallTime>,
    /// When it was first accepted; a requeued victim keeps it.
    pub submitted_at: time::WallTime,
    /// Starts so far.
    pub attempt: u32,
    /// Run time saved in its latest checkpoint.
    pub saved_run: Duration,
    /// Workers on which it must not start again.
    pub exclude: Vec<ids::WorkerId>,
    /// Workers on which it failed before, one for each failure; it may go back there.
    pub failed_on: Vec<ids::WorkerId>,
}

/// One task of a gang on its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskAssignment {
    /// Number of the task.
    pub rank: u32,
    /// The worker.
    pub worker: ids::WorkerId,
    /// Indexes of its accelerators on the worker, ascending.
    pub accelerators: Vec<u32>,
}
