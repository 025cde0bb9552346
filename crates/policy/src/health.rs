//! Which workers may take work, and which fail what they start.
//!
//! A worker that fails everything is free again at once, and would be given the next work, and the
//! next. A streak of failures of different work therefore takes it out, for longer each time, and
//! one small piece of work probes it before it counts as live again. Failures of work that fails
//! elsewhere too say nothing about the worker.

use std::time::Duration;

use almondpass_schema::{model, time};

use crate::work;

/// Weight of failures in a streak at which a worker is taken out.
const QUARANTINE_WEIGHT: f64 = 2.0;
/// First quarantine; doubles with each failed probe.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);
/// Longest quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(30 * 60);
/// After a refused reservation the worker is left alone for this: the ledger was wrong about it,
/// and asking again at once would spin.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// A failure in a streak.
#[derive(Clone, Copy, Debug)]
struct BlamedWork {
    work: work::WorkId,
    weight: f64,
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerHealth {
    pub(crate) present: bool,
    /// Drained by an event.
    pub(crate) drained_by_event: bool,
    /// Drained by the configuration.
    pub(crate) drained_by_config: bool,
    /// Out until this time after a refusal.
    pub(crate) paused_until: time::WallTime,
    /// Weight of the failures since the last success.
    streak: f64,
    /// Work of the streak, so that one piece of work counts once.
    blamed: Vec<BlamedWork>,
    pub(crate) quarantined_until: Option<time::WallTime>,
    quarantine: Duration,
    /// The item that probes it.
    pub(crate) probe: Option<work::WorkId>,
}

impl WorkerHealth {
    /// A worker that has not answered yet.
    pub(crate) fn new() -> WorkerHealth {
        WorkerHealth {
            present: false,
            drained_by_event: false,
            drained_by_config: false,
            paused_until: time::WallTime::default(),
            streak: 0.0,
            blamed: Vec::new(),
            quarantined_until: None,
            quarantine: FIRST_QUARANTINE,
            probe: None,
        }
    }

    /// Its state for operators.
    pub(crate) fn state(&self, now: time::WallTime) -> model::WorkerState {
        if !self.present {
            model::WorkerState::Lost
        } else if self.drained_by_event || self.drained_by_config {
            model::WorkerState::Draining
        } else {
            match self.quarantined_until {
                Some(until) if now < until => model::WorkerState::Quarantined,
                Some(_) => model::WorkerState::Probing,
                None => model::WorkerState::Live,
            }
        }
    }

    /// Whether it takes any work, homes included.
    pub(crate) fn usable(&self) -> bool {
        self.present
            && !self.drained_by_event
            && !self.drained_by_config
            && self.quarantined_until.is_none()
    }

    /// Whether it takes new work now.
    pub(crate) fn accepts_new_work(&self, now: time::WallTime) -> bool {
        self.usable() && self.paused_until <= now
    }

    /// Whether a piece of work may probe it.
    pub(crate) fn awaits_probe(&self, now: time::WallTime) -> bool {
        self.state(now) == model::WorkerState::Probing && self.probe.is_none()
    }

    /// Whether it failed something since its last success.
    pub(crate) fn has_failure_streak(&self) -> bool {
        0.0 < self.streak
    }

    /// Learns that something ended well here.
    pub(crate) fn record_success(&mut self, work: work::WorkId) {
        self.streak = 0.0;
        self.blamed.clear();
        if self.probe == Some(work) {
            self.probe = None;
            self.quarantined_until = None;
            self.quarantine = FIRST_QUARANTINE;
        }
    }

    /// Learns of a failure; true where it takes the worker out.
    pub(crate) fn record_failure(
        &mut self,
        work: work::WorkId,
        weight: f64,
        now: time::WallTime,
    ) -> bool {
        if self.probe == Some(work) {
            self.probe = None;
            self.quarantine = (self.quarantine * 2).min(LONGEST_QUARANTINE);
            self.quarantined_until = Some(now + self.quarantine);
            return true;
        }
        if self.quarantined_until.is_some() || self.blamed.iter().any(|it| it.work == work) {
            return false;
        }
        self.streak += weight;
        self.blamed.push(BlamedWork { work, weight });
        if self.streak < QUARANTINE_WEIGHT || self.blamed.len() < 2 {
            return false;
        }
        self.streak = 0.0;
        self.blamed.clear();
        self.quarantined_until = Some(now + self.quarantine);
        true
    }

    /// Takes work again without a probe. The next quarantine is longer, as after a failed probe.
    pub(crate) fn end_quarantine(&mut self) {
        self.quarantined_until = None;
        self.quarantine = (self.quarantine * 2).min(LONGEST_QUARANTINE);
    }

    /// Takes back the blame for work that failed elsewhere as well.
    pub(crate) fn withdraw_failure(&mut self, work: work::WorkId) {
        if let Some(at) = self.blamed.iter().position(|it| it.work == work) {
            let blame = self.blamed.remove(at);
            self.streak = (self.streak - blame.weight).max(0.0);
        }
    }

    /// Forgets a probe that ended without saying anything.
    pub(crate) fn abandon_probe(&mut self, work: work::WorkId) {
        if self.probe == Some(work) {
            self.probe = None;
        }
    }

    /// Leaves the worker alone for a while after a refusal.
    pub(crate) fn pause(&mut self, now: time::WallTime) -> time::WallTime {
        self.paused_until = now + REFUSED_PAUSE;
        self.paused_until
    }
}
