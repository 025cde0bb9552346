//! Whether the holder of the tenure may act at a moment.

use std::time::Duration;

use crate::settings;

/// An outage of the store is believed to last this long behind its last sign: longer than a
/// renewal takes to fail and be tried again.
const OUTAGE_MEMORY: Duration = Duration::from_millis(2_000);

/// What a holder may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenureStatus {
    /// Nobody else can hold the tenure.
    Firm,
    /// The term has run out while the store gave no answers: jobs that are known go on. Another
    /// holder is harmless: its token reaches each worker before it starts anything elsewhere.
    Detached,
    /// The term has run out and it is not known why: this process may have stood still. Nothing
    /// goes on until a renewal was tried.
    Stale,
    /// It is over.
    Ended,
}

/// What the holder knows of its tenure.
#[derive(Clone, Copy, Debug)]
pub struct TenureState {
    times: settings::TenureTiming,
    exclusive_until: Duration,
    outage_seen: Option<Duration>,
    ended: bool,
}

impl TenureState {
    /// A tenure whose row was written by a call sent at `sent_at`.
    pub fn new(times: settings::TenureTiming, sent_at: Duration) -> TenureState {
        let exclusive_until = sent_at + times.term - times.clock_margin;
        TenureState { times, exclusive_until, outage_seen: None, ended: false }
    }

    /// A write that was first sent at `sent_at` went through.
    pub fn record_renewal(&mut self, sent_at: Duration) {
        self.exclusive_until =
            self.exclusive_until.max(sent_at + self.times.term - self.times.clock_margin);
        self.outage_seen = None;
    }

    /// A write had no answer, or the store refused for now.
    pub fn record_failure(&mut self, now: Duration) {
        self.outage_seen = Some(now);
    }

    /// Somebody else holds it, or it was given up.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// What may be done at `now`.
    pub fn status(&self, now: Duration) -> TenureStatus {
        if self.ended {
            return TenureStatus::Ended;
        }
        if now < self.exclusive_until {
            return TenureStatus::Firm;
        }
        // A process that stood still through its term finds an old sign of an outage or none, and
        // must not act on it: the store may have come back and another may have taken over.
        let is_outage = self.outage_seen.is_some_and(|it| now < it + OUTAGE_MEMORY);
        if is_outage && now < self.exclusive_until + self.times.max_detached {
            return TenureStatus::Detached;
        }
        TenureStatus::Stale
    }

    /// Whether orders may be given at `now`.
    pub fn may_order(&self, now: Duration) -> bool {
        matches!(self.status(now), TenureStatus::Firm | TenureStatus::Detached)
    }
}
