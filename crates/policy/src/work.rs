//! Requests and jobs as the policy handles them. A request is a gang of one task that is answered on
//! its connection.

use std::time::Duration;

use almondpass_schema::{ids, model, time};
use uuid::Uuid;

/// Id of a request or a job.
pub type WorkId = Uuid;

/// Resources that one task needs on its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TaskDemand {
    /// Number of accelerators, which have to be adjacent within the worker.
    pub accelerators: u32,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Slots of the upstream; 1 for a request, 0 for a task of a job.
    pub slots: u32,
}

/// A request or a job as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkItem {
    /// Id of the request or job.
    pub id: WorkId,
    /// Client account to which the usage is charged.
    pub account: ids::AccountId,
    /// Job class, which sets priority, run limit and whether the work is repeatable.
    pub class: ids::ClassName,
    /// Number of tasks of the gang, at least 1.
    pub tasks: u32,
    /// Resources that each task needs.
    pub demand: TaskDemand,
    /// How close to each other the accelerators of all tasks have to be.
    pub adjacency: model::Adjacency,
    /// Guarantee that the caller claims by name. If `None`, any guarantee of the account that fits is
    /// claimed.
    pub guarantee: Option<ids::GuaranteeName>,
    /// Run time that the caller expects. Used for estimates, never enforced.
    pub declared_run: Option<Duration>,
    /// Time after which the result is worthless.
    pub deadline: Option<time::WallTime>,
    /// When the work was first accepted. Work that is requeued keeps this time.
    pub submitted_at: time::WallTime,
    /// Number of attempts started so far.
    pub attempt: u32,
    /// Run time saved in the latest checkpoint, over all attempts.
    pub saved_run: Duration,
    /// Workers on which the work must not be started again.
    pub exclude: Vec<ids::WorkerId>,
    /// Workers on which the work failed, one entry for each failure. The work may run there again.
    pub failed_on: Vec<ids::WorkerId>,
}

/// Worker and accelerators that one task of a gang is assigned to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskAssignment {
    /// Number of the task within the gang, from 0.
    pub rank: u32,
    /// Worker that runs the task.
    pub worker: ids::WorkerId,
    /// Indexes of the accelerators within the worker, ascending.
    pub accelerators: Vec<u32>,
}
