//! Timers of the policy.

use std::collections::BTreeSet;

use almondpass_schema::time;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The time that a gang has for a checkpoint before its stop is over.
    Grace,
    /// A periodic checkpoint of a run may be due.
    PeriodicCheckpoint,
    /// A run reaches the run limit of its class.
    Throttle,
    /// A run reaches the overrun bound, a multiple of the run limit.
    Overrun,
    /// A deadline has passed, or can no longer be met.
    Deadline,
    /// The retry delay after a failure is over.
    Retry,
    /// A waiting time of the policy is over, so that waiting work is tried again. Set for no item.
    WaitOver,
    /// Capacity may have become usable, so that homes are checked as well. Set for no item.
    CapacityCheck,
}

/// One timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimerEntry {
    pub(crate) at: time::WallTime,
    pub(crate) kind: TimerKind,
    /// Index of the item, or [`crate::topology::NONE`].
    pub(crate) item: u32,
    /// Generation of the item's index; a timer of an item that was removed is ignored.
    pub(crate) generation: u32,
}

/// Timers by time. A timer that has become obsolete is not removed; its handler checks the state of
/// the item when the timer fires.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimerQueue {
    entries: BTreeSet<TimerEntry>,
}

impl TimerQueue {
    pub(crate) fn set(&mut self, entry: TimerEntry) {
        self.entries.insert(entry);
    }

    /// Removes and returns the earliest timer that is due.
    pub(crate) fn pop_due(&mut self, now: time::WallTime) -> Option<TimerEntry> {
        let due = self.entries.first().is_some_and(|it| it.at <= now);
        if due { self.entries.pop_first() } else { None }
    }

    /// When the earliest timer is due.
    pub(crate) fn next_due(&self) -> Option<time::WallTime> {
        self.entries.first().map(|it| it.at)
    }
}
