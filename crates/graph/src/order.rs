//! What the core asks of its holder, and what it is told in return.

use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::ids;

use crate::task_key;

/// Something to be sent to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolOrder {
    /// Start a task.
    Start(StartOrder),
    /// Stop an attempt of a task, and refuse it if it comes later.
    Stop(StopOrder),
    /// List what is on the worker, at once.
    Poll {
        /// The worker.
        worker: ids::WorkerId,
    },
}

/// A start.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The worker.
    pub worker: ids::WorkerId,
    /// Its control address.
    pub address: ids::PeerAddress,
    /// The life of the worker that is meant, as the scheduler counts.
    pub generation: u32,
    /// When it was decided; it leaves soon or not at all.
    pub ordered_at: Duration,
    /// The task.
    pub task: task_key::TaskKey,
    /// Number of the attempt.
    pub attempt: u32,
    /// What the caller handed in for it.
    pub body: Arc<str>,
    /// On the worker's clock; the start is refused behind it.
    pub deadline_ms: u64,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
}

/// A stop.
#[derive(Clone, Debug, PartialEq)]
pub struct StopOrder {
    /// The worker.
    pub worker: ids::WorkerId,
    /// Its control address.
    pub address: ids::PeerAddress,
    /// The life of the worker that is meant, as the scheduler counts.
    pub generation: u32,
    /// The task.
    pub task: task_key::TaskKey,
    /// The attempt.
    pub attempt: u32,
}

/// How the next look at a worker is to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct PollRequest {
    /// Its control address.
    pub address: ids::PeerAddress,
    /// The life of the worker that is meant, as the scheduler counts.
    pub generation: u32,
    /// New deadline of everything on it, on its clock.
    pub deadline_ms: Option<u64>,
    /// Ends up to this one are durable and may be forgotten.
    pub last_seen: u64,
    /// How long the worker may wait for an end.
    pub wait: Duration,
}

/// What a worker lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollReply {
    /// The life of the worker that answers, where the platform tells lives apart.
    pub incarnation: Option<ids::Incarnation>,
    /// Its clock.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<ListedRun>,
    /// What has ended and was not acknowledged, in order.
    pub ended: Vec<ListedEnd>,
    /// Whether `ended` holds all of them.
    pub complete: bool,
}

/// A task that runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRun {
    /// The task.
    pub task: task_key::TaskKey,
    /// Its attempt.
    pub attempt: u32,
    /// Newest checkpoint, if any.
    pub checkpoint: Option<Arc<str>>,
    /// How far it is.
    pub percent: u32,
}

/// A task that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEnd {
    /// Number of the end on this worker.
    pub number: u64,
    /// The task.
    pub task: task_key::TaskKey,
    /// Its attempt.
    pub attempt: u32,
    /// How it ended.
    pub how: EndKind,
    /// Newest checkpoint, if any.
    pub checkpoint: Option<Arc<str>>,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// Its work is done.
    Done,
    /// Through its own fault or the worker's.
    Failed,
    /// Somebody stopped it.
    Stopped,
    /// The worker's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// What became of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker has it; its clock.
    Started {
        /// Its clock.
        clock_ms: u64,
    },
    /// The worker refused; nothing runs.
    Refused(StartRefusal),
    /// It never left; nothing runs.
    NotSent,
    /// No answer: it may run, start later, or never.
    Unknown,
    /// Another worker answers there; the one that was meant is over.
    Replaced,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// Not a higher attempt than one stopped or ended there.
    Old,
    /// It came behind its deadline.
    Late,
    /// No room.
    Room,
    /// Anything else; the worker is unwell.
    Unwell,
}
