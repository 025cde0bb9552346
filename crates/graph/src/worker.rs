//! Workers as the scheduler keeps them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::ids;

use crate::ack_window;
use crate::candidate;
use crate::health;
use crate::lease_clock;
use crate::losses;
use crate::resources;
use crate::save_queue;
use crate::task_key;
use crate::timing;

/// Kept for the way of a start.
const NEWS_MARGIN: Duration = Duration::from_millis(300);

/// What the platform's list says of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Its control address.
    pub address: ids::PeerAddress,
    /// Whose tasks it runs.
    pub upstream: ids::UpstreamName,
    /// What it offers.
    pub capacity: resources::Resources,
    /// All its labels.
    pub labels: Vec<String>,
    /// Its data centre.
    pub data_center: ids::DataCenter,
    /// The label that names its rack.
    pub rack: ids::RackName,
    /// Whether it is about to leave, and the least time that it stays.
    pub leaves_in: Option<Duration>,
    /// The life of the worker that says so, where the platform tells lives apart.
    pub incarnation: Option<ids::Incarnation>,
    /// Rises with each time that a life of the worker has written this, where the platform numbers that.
    pub sequence: Option<u64>,
}

impl WorkerEntry {
    /// Whether the same life has written `later` behind this: the store may carry writes out late.
    pub fn is_superseded_by(&self, later: &WorkerEntry) -> bool {
        let is_same_life = self.incarnation.is_some() && self.incarnation == later.incarnation;
        is_same_life && self.sequence.zip(later.sequence).is_some_and(|(it, later)| it < later)
    }

    /// Whether the worker is found at that address, for that upstream: all that the roster tells of it.
    pub fn has_endpoint(&self, address: &str, upstream: &str) -> bool {
        self.address == address && self.upstream == upstream
    }
}

/// A worker and what is known to be on it.
#[derive(Clone, Debug, Default)]
pub struct WorkerRecord {
    /// What the list said last.
    pub entry: WorkerEntry,
    /// The same as placing needs it.
    pub place: Arc<candidate::WorkerProfile>,
    /// The life that its entry told of last.
    pub entry_incarnation: Option<ids::Incarnation>,
    /// Whether the list has it now.
    pub listed: bool,
    /// What its entry says is from then or later, as far as that is known under this tenure.
    pub entry_current_at: Option<Duration>,
    /// The list told of its entry anew behind then.
    pub entry_read_at: Option<Duration>,
    /// When the list first said that it leaves, as the time until which it stays at least.
    pub leaves_at: Option<Duration>,
    /// Whether it has answered under this tenure, so that orders of earlier ones are refused.
    pub fenced: bool,
    /// Whether tasks of an earlier tenure may be on it.
    pub inherited: bool,
    /// The life of it that is known, where the platform tells lives apart. All that follows belongs
    /// to it.
    pub incarnation: Option<ids::Incarnation>,
    /// Number of that life; rises with each that is found. Orders name it.
    pub generation: u32,
    /// When that life was found.
    pub incarnation_since: Duration,
    /// Its clock and lease.
    pub clock: lease_clock::LeaseClock,
    /// When it last answered anything.
    pub last_contact_at: Duration,
    /// Exchanges without an answer since it last answered a look. While there are any, nobody knows
    /// whether the worker has started again.
    pub n_missed_calls: u32,
    /// When time was last taken note of before the first of them.
    pub silent_since: Duration,
    /// Whether it is silent, its lease has surely lapsed, and nothing can be on it before it answers.
    pub has_lapsed: bool,
    /// What its looks tell of which life it is in.
    pub ack_window: ack_window::AckWindow,
    /// Lowest end that its last answer has listed.
    pub lowest_listed_end: Option<u64>,
    /// Highest end that was taken in.
    pub highest_seen_end: u64,
    /// Ends that wait to be durable before they may be acknowledged.
    pub unsaved_ends: VecDeque<UnsavedEnd>,
    /// Highest end that may be acknowledged.
    pub acknowledged: u64,
    /// Tasks whose room counts here.
    pub runs: BTreeSet<task_key::TaskKey>,
    /// Those of them that have it for themselves, as they may crash it.
    pub isolated_runs: BTreeSet<task_key::TaskKey>,
    /// Room of these tasks.
    pub used: resources::Resources,
    /// Runs that should not be there, by attempt, with the time of the last stop.
    pub unwanted_runs: BTreeMap<task_key::TaskKey, UnwantedRun>,
    /// How it has been doing.
    pub health: health::WorkerHealth,
    /// Its tasks are far slower than they should be; nothing is started before this.
    pub slow_until: Duration,
    /// Nothing is started before this: it said that it has no room, or is unwell.
    pub paused_until: Duration,
    /// Room that is being cleared for units.
    pub claims: Vec<ResourceClaim>,
    /// What ran there when its life was taken to be over, for when it is surer whether it is.
    pub lost_runs: Vec<losses::LostRun>,
}

/// Room that is being cleared for a unit and that nothing else may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceClaim {
    /// The unit.
    pub unit: task_key::UnitKey,
    /// How much.
    pub resources: resources::Resources,
    /// Lapses then, in case the unit went elsewhere.
    pub until: Duration,
}

/// An end that a worker has listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnsavedEnd {
    /// Its number at the worker.
    pub number: u64,
    /// The change that has to be durable first; nothing where a successor need not know of it.
    pub change: Option<save_queue::RowChange>,
}

/// A run that nobody wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnwantedRun {
    /// Its attempt.
    pub attempt: u32,
    /// What it takes: all that the worker offers where its job is not known any more.
    pub resources: resources::Resources,
    /// When a stop was last sent.
    pub stop_sent_at: Option<Duration>,
}

impl WorkerRecord {
    /// A worker of which nothing is known.
    pub fn with_generation(generation: u32) -> WorkerRecord {
        WorkerRecord { generation, ..WorkerRecord::default() }
    }

    /// What is in use, by tasks that should be there and by those that are being stopped because they
    /// should not.
    pub fn in_use(&self) -> resources::Resources {
        self.unwanted_runs.values().fold(self.used, |sum, it| sum.plus(it.resources))
    }

    /// What is free. A worker that refuses nothing would be filled beyond its room beside runs that are
    /// being stopped.
    pub fn free(&self) -> resources::Resources {
        self.entry.capacity.minus(self.in_use())
    }

    /// Whether its room may have shrunk unheard, so that it counts by now: its entry has not been written,
    /// or not been read, for so long.
    pub fn is_entry_stale(&self, timing: &timing::PoolTiming, now: Duration) -> bool {
        self.entry_current_at.is_none_or(|it| now + NEWS_MARGIN >= it + timing.max_entry_age)
    }

    /// Whether it has answered under this tenure, and each call since.
    pub fn is_responsive(&self) -> bool {
        self.fenced && self.n_missed_calls == 0
    }

    /// What the next look acknowledges: only what the last answer has listed, and only to a life that
    /// was seen a moment ago. A worker that has started again forgets ends of its new life that have the
    /// same numbers, unseen; one notices by tasks that are done, by the worker's word, and start once
    /// more. So no acknowledgement is repeated without need, either.
    pub fn next_ack(&self, now: Duration) -> ack_window::EndAck {
        let is_owed = self.lowest_listed_end.is_some_and(|it| it <= self.acknowledged);
        if !is_owed {
            return ack_window::EndAck::Nothing;
        }
        if self.is_responsive() && self.ack_window.is_open(now) {
            ack_window::EndAck::UpTo(self.acknowledged)
        } else {
            ack_window::EndAck::VerifyFirst
        }
    }

    /// Whether it leaves and nothing is on it any more; nothing new will be.
    pub fn has_left(&self) -> bool {
        let is_empty = self.runs.is_empty() && self.unwanted_runs.is_empty();
        self.leaves_at.is_some() && self.fenced && is_empty
    }

    /// Whether a successor has to expect tasks on it.
    pub fn belongs_in_roster(&self) -> bool {
        !self.has_left() && !self.has_lapsed
    }

    /// Moves on the end that may be acknowledged, as far as what the ends changed is durable.
    pub fn advance_acknowledged(&mut self, unsaved: &save_queue::SaveQueue) {
        while let Some(end) = self.unsaved_ends.front().copied() {
            if end.change.is_some_and(|it| !unsaved.is_durable(it)) {
                break;
            }
            self.acknowledged = end.number;
            self.unsaved_ends.pop_front();
        }
    }
}
