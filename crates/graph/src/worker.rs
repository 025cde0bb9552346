//! The scheduler's records of workers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::ids;

use crate::ack_window;
use crate::candidate;
use crate::health;
use crate::lease_clock;
use crate::losses;
use crate::order;
use crate::resources;
use crate::save_queue;
use crate::task_key;
use crate::timing;
use crate::worker_speed;

/// Allowance for the time in which a start reaches the worker. A start is ordered only if the
/// worker's entry stays fresh for that long.
const START_TRANSIT_MARGIN: Duration = Duration::from_millis(300);

/// A worker's entry in the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Address at which the worker takes starts, stops and polls.
    pub address: ids::PeerAddress,
    /// Upstream whose tasks the worker runs.
    pub upstream: ids::UpstreamName,
    /// Resources that the worker offers in total.
    pub capacity: resources::Resources,
    /// All labels of the worker, including the one that names its rack.
    pub labels: Vec<String>,
    /// Data centre that contains the worker.
    pub data_center: ids::DataCenter,
    /// The label that names the worker's rack.
    pub rack: ids::RackName,
    /// Minimum time for which the worker stays, if it is about to leave; `None` if it is not.
    pub leaves_in: Option<Duration>,
    /// Incarnation of the worker that wrote the entry; `None` on a platform that doesn't number
    /// incarnations.
    pub incarnation: Option<ids::Incarnation>,
    /// Number of the write; rises with each write of the entry by the same incarnation. `None` on a
    /// platform that doesn't number writes.
    pub sequence: Option<u64>,
}

impl WorkerEntry {
    /// Whether the same incarnation wrote `later` after this entry. The two may be read in the
    /// other order, as the store may carry out a write late.
    pub fn is_superseded_by(&self, later: &WorkerEntry) -> bool {
        let is_same_incarnation =
            self.incarnation.is_some() && self.incarnation == later.incarnation;
        is_same_incarnation
            && self.sequence.zip(later.sequence).is_some_and(|(it, later)| it < later)
    }

    /// Whether the worker has that address and upstream, which is all that the roster saves of an
    /// entry.
    pub fn has_endpoint(&self, address: &str, upstream: &str) -> bool {
        self.address == address && self.upstream == upstream
    }
}

/// A worker, its lease, and the runs and ends that the scheduler knows of on it.
#[derive(Clone, Debug, Default)]
pub struct WorkerRecord {
    /// The entry last read from the platform's list.
    pub entry: WorkerEntry,
    /// The parts of `entry` that placement needs, shared with each round's candidates.
    pub place: Arc<candidate::WorkerProfile>,
    /// The last incarnation that any entry of the worker named.
    pub entry_incarnation: Option<ids::Incarnation>,
    /// Whether the platform's list contains the worker now.
    pub listed: bool,
    /// The content of the entry dates from this time or later. `None` if this is not known under
    /// the present tenure.
    pub entry_current_at: Option<Duration>,
    /// Time up to which the platform's list had been read when the entry was last received.
    pub entry_read_at: Option<Duration>,
    /// When the worker may leave at the earliest, computed when its entry first announced it.
    pub leaves_at: Option<Duration>,
    /// Whether the worker has answered under this tenure and so refuses orders of earlier tenures.
    pub fenced: bool,
    /// Whether the worker has listed all its unacknowledged ends under this tenure. An answer holds a limited
    /// number of them.
    pub has_listed_all: bool,
    /// Whether tasks that an earlier tenure started may be on the worker.
    pub inherited: bool,
    /// The known incarnation of the worker; `None` on a platform that doesn't number incarnations.
    /// All fields below belong to this incarnation.
    pub incarnation: Option<ids::Incarnation>,
    /// The scheduler's own number of that incarnation; rises with each new incarnation that is
    /// found. Orders carry it.
    pub generation: u32,
    /// When the scheduler found that incarnation.
    pub incarnation_since: Duration,
    /// Model of the worker's clock, and of its lease by that clock.
    pub clock: lease_clock::LeaseClock,
    /// When the worker last answered a call.
    pub last_contact_at: Duration,
    /// Number of calls without an answer since the last answered poll. While it is above zero, the
    /// worker may have restarted unnoticed.
    pub n_missed_calls: u32,
    /// Time of the last maintenance before the first of those calls.
    pub silent_since: Duration,
    /// Whether the worker is silent, its lease has surely lapsed, and nothing can run on it before
    /// it answers again.
    pub has_lapsed: bool,
    /// Period after an answered poll in which acknowledging ends is safe.
    pub ack_window: ack_window::AckWindow,
    /// Lowest end number in the worker's last answer.
    pub lowest_listed_end: Option<u64>,
    /// Highest end number that was processed.
    pub highest_seen_end: u64,
    /// Ends that were processed but may not be acknowledged yet, as their changes are not durable.
    /// In order of their numbers.
    pub unsaved_ends: VecDeque<UnsavedEnd>,
    /// Highest end number that may be acknowledged to the worker.
    pub acknowledged: u64,
    /// Tasks whose resources count as used on this worker.
    pub runs: BTreeSet<task_key::TaskKey>,
    /// Those of `runs` that are isolated runs: they have the worker for themselves, as they may
    /// crash it.
    pub isolated_runs: BTreeSet<task_key::TaskKey>,
    /// Sum of the resources of `runs`.
    pub used: resources::Resources,
    /// Runs that should not be on the worker and are being stopped.
    pub unwanted_runs: BTreeMap<task_key::TaskKey, UnwantedRun>,
    /// Stops that were ordered and have no outcome yet, by task and attempt.
    pub stops_in_transit: BTreeSet<(task_key::TaskKey, u32)>,
    /// Recent failures of tasks on the worker.
    pub health: health::WorkerHealth,
    /// How fast the worker is, as far as its runs have shown.
    pub speed: worker_speed::WorkerSpeed,
    /// Nothing starts on the worker before this time, as its tasks are far slower than expected.
    pub slow_until: Duration,
    /// Nothing starts on the worker before this time, as it refused a start for lack of resources
    /// or for its health.
    pub paused_until: Duration,
    /// Resources that are being preempted for units that wait.
    pub claims: Vec<ResourceClaim>,
    /// Runs whose loss was assumed with this worker; kept until it is certain whether the
    /// incarnation has ended.
    pub lost_runs: Vec<losses::LostRun>,
}

/// Resources of a worker that are being preempted for one unit; nothing else may use them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceClaim {
    /// Unit for which the resources are preempted.
    pub unit: task_key::UnitKey,
    /// Claimed resources.
    pub resources: resources::Resources,
    /// When the claim expires, in case the unit was placed elsewhere.
    pub until: Duration,
}

/// An end that a worker has listed and whose change may not be durable yet.
#[derive(Clone, Debug, PartialEq)]
pub struct UnsavedEnd {
    /// The end as the worker listed it.
    pub end: order::ListedEnd,
    /// The change that has to be durable before the end is acknowledged; `None` if a successor does
    /// not need to know of the end.
    pub change: Option<save_queue::RowChange>,
}

/// A run on a worker that is not expected there and is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnwantedRun {
    /// Highest attempt of the task that the worker has listed.
    pub attempt: u32,
    /// Resources that the run takes; the worker's whole capacity if its job is unknown.
    pub resources: resources::Resources,
    /// When a stop was last sent; `None` before the first one.
    pub stop_sent_at: Option<Duration>,
}

impl UnsavedEnd {
    /// Whether the store has all that a successor needs to know of the end.
    pub fn is_durable(&self, unsaved: &save_queue::SaveQueue) -> bool {
        self.change.is_none_or(|it| unsaved.is_durable(it))
    }
}

impl WorkerRecord {
    /// A record without an entry, runs or contact, for a new incarnation with that number.
    pub fn with_generation(generation: u32) -> WorkerRecord {
        WorkerRecord { generation, ..WorkerRecord::default() }
    }

    /// Resources in use, both by expected runs and by unwanted runs that are being stopped.
    pub fn in_use(&self) -> resources::Resources {
        self.unwanted_runs.values().fold(self.used, |sum, it| sum.plus(it.resources))
    }

    /// Free resources. Unwanted runs count as used, because a worker without an admission check
    /// would otherwise be filled beyond its capacity while they are being stopped.
    pub fn free(&self) -> resources::Resources {
        self.entry.capacity.minus(self.in_use())
    }

    /// Whether the entry is too old to rely on its capacity: it was not written, or not read, for
    /// so long that the worker may offer fewer resources by now.
    pub fn is_entry_stale(&self, timing: &timing::PoolTiming, now: Duration) -> bool {
        self.entry_current_at
            .is_none_or(|it| now + START_TRANSIT_MARGIN >= it + timing.max_entry_age)
    }

    /// Whether the worker has answered under this tenure, and every call since its last answered
    /// poll.
    pub fn is_responsive(&self) -> bool {
        self.fenced && self.n_missed_calls == 0
    }

    /// Which ends the next poll acknowledges: only those that the last answer listed, and only to
    /// an incarnation that answered a moment ago. A worker that has restarted would forget ends of
    /// its new incarnation that have the same numbers, before the scheduler has read them; this
    /// shows as tasks that the worker reports done and that are started again. For the same reason
    /// no acknowledgement is repeated without need.
    pub fn next_ack(&self, now: Duration) -> ack_window::EndAck {
        let has_end_to_acknowledge =
            self.lowest_listed_end.is_some_and(|it| it <= self.acknowledged);
        if !has_end_to_acknowledge {
            return ack_window::EndAck::Nothing;
        }
        if self.is_responsive() && self.ack_window.is_open(now) {
            ack_window::EndAck::UpTo(self.acknowledged)
        } else {
            ack_window::EndAck::VerifyFirst
        }
    }

    /// Whether the worker is leaving and nothing is on it. Nothing starts on a worker that is
    /// leaving.
    pub fn has_left(&self) -> bool {
        let is_empty = self.runs.is_empty() && self.unwanted_runs.is_empty();
        self.leaves_at.is_some() && self.has_listed_all && is_empty
    }

    /// Whether a successor has to expect tasks on the worker, or ends of which the store does not know.
    pub fn belongs_in_roster(&self) -> bool {
        let has_left = self.has_left() && self.unsaved_ends.is_empty();
        !has_left && !self.has_lapsed
    }

    /// Raises `acknowledged` over all processed ends up to the first one whose change is not
    /// durable yet.
    pub fn advance_acknowledged(&mut self, unsaved: &save_queue::SaveQueue) {
        while let Some(saved) = self.unsaved_ends.pop_front_if(|it| it.is_durable(unsaved)) {
            self.acknowledged = saved.end.number;
        }
    }
}
