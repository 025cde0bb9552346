//! Times at which the core looks at something again.

use std::collections::BTreeSet;

use almondpass_schema::time;

/// What is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The grace of a checkpoint ends.
    Grace,
    /// A run is to be saved.
    PeriodicCheckpoint,
    /// A run reaches its limit.
    Throttle,
    /// A run reaches the overrun bound.
    Overrun,
    /// A deadline comes near.
    Deadline,
    /// Work may be tried again.
    Retry,
    /// Something waited long enough for the next step; of no item.
    WaitOver,
    /// Capacity may have come back; of no item.
    CapacityCheck,
}

/// One time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimerEntry {
    pub(crate) at: time::WallTime,
    pub(crate) kind: TimerKind,
    pub(crate) item: u32,
    pub(crate) generation: u32,
}

/// Times in order. Entries are not taken out when they lose their meaning; whoever fires one looks
/// at the item as it is then.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimerQueue {
    entries: BTreeSet<TimerEntry>,
}

impl TimerQueue {
    pub(crate) fn set(&mut self, entry: TimerEntry) {
        self.entries.insert(entry);
    }

    /// The next that is due.
    pub(crate) fn pop_due(&mut self, now: time::WallTime) -> Option<TimerEntry> {
        let due = self.entries.first().is_some_and(|it| it.at <= now);
        if due { self.entries.pop_first() } else { None }
    }

    pub(crate) fn next_due(&self) -> Option<time::WallTime> {
        self.entries.first().map(|it| it.at)
    }
}
