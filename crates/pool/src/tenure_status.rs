//! Decides whether the holder of the tenure may act at a given time.

use std::time::Duration;

use crate::settings;

/// An outage of the store is assumed to last this long after its last sign: longer than a renewal takes to
/// fail and be tried again.
const OUTAGE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// What a holder may do with its tenure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenureStatus {
    /// No other instance can hold the tenure.
    Firm,
    /// The term has run out while the store gave no answers: scheduling of known jobs goes on. The fencing token
    /// of another holder reaches each worker before that holder starts anything elsewhere. But it may extend the
    /// leases of workers that this holder does not reach, so these count as over only if they lapsed within the term.
    Detached,
    /// The term has run out for an unknown reason: this process may have been suspended. No order is given
    /// until a renewal was tried.
    Stale,
    /// The tenure has ended.
    Ended,
}

/// Renewals and failures of a tenure, as its holder has observed them.
#[derive(Clone, Copy, Debug)]
pub struct TenureState {
    timing: settings::TenureTiming,
    exclusive_until: Duration,
    last_failure_at: Option<Duration>,
    ended: bool,
}

impl TenureState {
    /// Creates the state of a tenure whose row was written by a call sent at `sent_at`.
    pub fn new(timing: settings::TenureTiming, sent_at: Duration) -> TenureState {
        let exclusive_until = sent_at + timing.term - timing.clock_margin;
        TenureState { timing, exclusive_until, last_failure_at: None, ended: false }
    }

    /// Records that a write that was first sent at `sent_at` succeeded.
    pub fn record_renewal(&mut self, sent_at: Duration) {
        self.exclusive_until =
            self.exclusive_until.max(sent_at + self.timing.term - self.timing.clock_margin);
        self.last_failure_at = None;
    }

    /// Records that a write got no answer or that the store rejected it temporarily.
    pub fn record_failure(&mut self, now: Duration) {
        self.last_failure_at = Some(now);
    }

    /// Ends the tenure: another instance holds it, or it was released.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Status of the tenure at `now`.
    pub fn status(&self, now: Duration) -> TenureStatus {
        if self.ended {
            return TenureStatus::Ended;
        }
        if now < self.exclusive_until {
            return TenureStatus::Firm;
        }
        // A process that was suspended through its term finds an old sign of an outage, or none, and must not
        // rely on it: the store may be available again and another instance may have taken over.
        let is_outage = self.last_failure_at.is_some_and(|it| now < it + OUTAGE_TIMEOUT);
        if is_outage && now < self.exclusive_until + self.timing.max_detached {
            return TenureStatus::Detached;
        }
        TenureStatus::Stale
    }

    /// Time until which no other instance can hold the tenure.
    pub fn exclusive_until(&self) -> Duration {
        self.exclusive_until
    }

    /// Whether orders may be given at `now`.
    pub fn may_order(&self, now: Duration) -> bool {
        matches!(self.status(now), TenureStatus::Firm | TenureStatus::Detached)
    }
}
