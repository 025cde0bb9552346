//! Orders from the core to the owner that executes them, and the replies of workers.

use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::task_key;

/// An order to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolOrder {
    /// Starts a task.
    Start(StartOrder),
    /// Stops an attempt of a task; the worker refuses that attempt if it arrives later.
    Stop(StopOrder),
    /// Polls the worker at once.
    Poll {
        /// Worker to poll.
        worker: ids::WorkerId,
    },
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Worker that is to run the task.
    pub worker: ids::WorkerId,
    /// Control address of the worker.
    pub address: ids::PeerAddress,
    /// Incarnation of the worker that the order is meant for, as counted by this scheduler.
    pub generation: u32,
    /// Time of the decision. A start that cannot be sent soon after it is dropped.
    pub ordered_at: Duration,
    /// Task to start.
    pub task: task_key::TaskKey,
    /// Attempt number, higher than those of earlier attempts.
    pub attempt: u32,
    /// Job body, as submitted by the caller.
    pub body: Arc<str>,
    /// Deadline in milliseconds of the worker's clock. The worker refuses the start after it.
    pub deadline_ms: u64,
    /// Checkpoint to resume from, if any.
    pub checkpoint: Option<Arc<str>>,
}

/// An order to stop a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StopOrder {
    /// Worker that runs the task.
    pub worker: ids::WorkerId,
    /// Control address of the worker.
    pub address: ids::PeerAddress,
    /// Incarnation of the worker that the order is meant for, as counted by this scheduler.
    pub generation: u32,
    /// Task to stop.
    pub task: task_key::TaskKey,
    /// Attempt to stop.
    pub attempt: u32,
}

/// Parameters of the next poll of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct PollRequest {
    /// Control address of the worker.
    pub address: ids::PeerAddress,
    /// Incarnation of the worker that the poll is meant for, as counted by this scheduler.
    pub generation: u32,
    /// New lease deadline of all tasks on the worker, in milliseconds of its clock.
    pub deadline_ms: Option<u64>,
    /// Highest task end that is saved; the worker may forget ends up to this number.
    pub last_seen: u64,
    /// How long the worker may hold the reply back until a task ends.
    pub wait: Duration,
}

/// A worker's reply to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollReply {
    /// Incarnation of the worker that replies, where the platform distinguishes incarnations.
    pub incarnation: Option<ids::Incarnation>,
    /// Worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Running tasks.
    pub running: Vec<ListedRun>,
    /// Ends that are not acknowledged, by ascending number.
    pub ended: Vec<ListedEnd>,
    /// Whether `ended` has all unacknowledged ends.
    pub complete: bool,
}

/// A running task in a poll reply.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRun {
    /// Task that runs.
    pub task: task_key::TaskKey,
    /// Attempt that runs.
    pub attempt: u32,
    /// Newest checkpoint, if any.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent.
    pub percent: u32,
}

/// An end of a task in a poll reply.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEnd {
    /// Number of the end, counted by the worker.
    pub number: u64,
    /// Task that ended.
    pub task: task_key::TaskKey,
    /// Attempt that ended.
    pub attempt: u32,
    /// How the attempt ended.
    pub how: EndKind,
    /// Newest checkpoint, if any.
    pub checkpoint: Option<Arc<str>>,
}

/// How an attempt of a task ended: it completed its work; it failed, through its own fault or the worker's;
/// it was stopped on request; the worker's lease expired; another member of the gang ended; the other members
/// of the gang did not start in time.
pub type EndKind = model::EndKind;

/// Result of sending a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker accepted the start.
    Started {
        /// Worker's clock in milliseconds.
        clock_ms: u64,
    },
    /// The worker refused the start; nothing runs.
    Refused(StartRefusal),
    /// The order was never sent; nothing runs.
    NotSent,
    /// No answer: the task may be running, may start later, or may never start.
    Unknown,
    /// Another worker answers at the address; the intended worker no longer exists.
    Replaced,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The attempt number is not higher than one stopped or ended on the worker.
    Old,
    /// The start arrived after its deadline.
    Late,
    /// The worker lacks free resources.
    Room,
    /// Any other reason; the worker is unhealthy.
    Unwell,
}
