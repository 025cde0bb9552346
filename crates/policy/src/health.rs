//! Health of workers: which of them accept work, and which are quarantined because work fails there.
//!
//! A worker on which everything fails is free again at once and would attract one item after the other.
//! A streak of failures of different items therefore puts it in quarantine, for longer each time, and
//! one small item has to succeed there as a probe before the worker counts as live again. Failures of
//! items that fail on other workers too don't count against the worker.

use std::time::Duration;

use almondpass_schema::{model, time};

use crate::work;

/// Total weight of the failures in a streak from which a worker is quarantined.
const QUARANTINE_WEIGHT: f64 = 2.0;
/// Length of the first quarantine; it doubles with each failed probe.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);
/// Longest quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(30 * 60);
/// A worker gets no new work for this time after a start there was refused or failed. After a refusal the
/// ledger is wrong about the worker, and an immediate retry would be refused again, in a busy loop.
const START_FAILURE_PAUSE: Duration = Duration::from_secs(2);

/// A failure in a streak.
#[derive(Clone, Copy, Debug)]
struct StreakFailure {
    work: work::WorkId,
    weight: f64,
}

/// Health of one worker, as far as it decides on placement.
#[derive(Clone, Debug)]
pub(crate) struct WorkerHealth {
    /// Whether the worker is connected, as of its last `WorkerBack` or `WorkerLost` event; false before the
    /// first.
    pub(crate) present: bool,
    /// A drain event came, and no undrain event since.
    pub(crate) drained_by_event: bool,
    /// The configuration drains the worker, or no longer lists it.
    pub(crate) drained_by_config: bool,
    /// No new work before this time, after a start that was refused or failed.
    pub(crate) paused_until: time::WallTime,
    /// Total weight of the failures since the last success.
    streak_weight: f64,
    /// Failures in the streak, at most one for each work id.
    streak: Vec<StreakFailure>,
    /// End of the quarantine. Stays set after that time until a probe succeeds or the quarantine is lifted.
    pub(crate) quarantined_until: Option<time::WallTime>,
    /// Length of the next quarantine.
    quarantine: Duration,
    /// Work that runs on the worker as its probe.
    pub(crate) probe: Option<work::WorkId>,
}

impl WorkerHealth {
    /// A worker that has not connected yet.
    pub(crate) fn new() -> WorkerHealth {
        WorkerHealth {
            present: false,
            drained_by_event: false,
            drained_by_config: false,
            paused_until: time::WallTime::default(),
            streak_weight: 0.0,
            streak: Vec::new(),
            quarantined_until: None,
            quarantine: FIRST_QUARANTINE,
            probe: None,
        }
    }

    /// State of the worker as operators see it.
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

    /// Whether the worker can have work or home blocks: connected, not drained and not in quarantine.
    pub(crate) fn usable(&self) -> bool {
        self.present
            && !self.drained_by_event
            && !self.drained_by_config
            && self.quarantined_until.is_none()
    }

    /// Whether the worker is usable and not paused after a start that was refused or failed.
    pub(crate) fn accepts_new_work(&self, now: time::WallTime) -> bool {
        self.usable() && self.paused_until <= now
    }

    /// Whether the worker's quarantine is over and no probe runs on it yet.
    pub(crate) fn awaits_probe(&self, now: time::WallTime) -> bool {
        self.state(now) == model::WorkerState::Probing && self.probe.is_none()
    }

    /// Whether work failed on the worker since the last success there.
    pub(crate) fn has_failure_streak(&self) -> bool {
        0.0 < self.streak_weight
    }

    /// Records that `work` succeeded on the worker: the streak ends, and after a probe the quarantine too.
    pub(crate) fn record_success(&mut self, work: work::WorkId) {
        self.streak_weight = 0.0;
        self.streak.clear();
        if self.probe == Some(work) {
            self.probe = None;
            self.quarantined_until = None;
            self.quarantine = FIRST_QUARANTINE;
        }
    }

    /// Records that `work` failed on the worker. `weight` is 0.1 to 1, and small for classes that fail
    /// often anyway. True if this failure puts the worker in quarantine.
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
        if self.quarantined_until.is_some() || self.streak.iter().any(|it| it.work == work) {
            return false;
        }
        self.streak_weight += weight;
        self.streak.push(StreakFailure { work, weight });
        if self.streak_weight < QUARANTINE_WEIGHT || self.streak.len() < 2 {
            return false;
        }
        self.streak_weight = 0.0;
        self.streak.clear();
        self.quarantined_until = Some(now + self.quarantine);
        true
    }

    /// Ends the quarantine without a probe. The next quarantine is twice as long, as after a failed probe.
    pub(crate) fn end_quarantine(&mut self) {
        self.quarantined_until = None;
        self.quarantine = (self.quarantine * 2).min(LONGEST_QUARANTINE);
    }

    /// Removes the failure of `work` from the streak, because the work failed on another worker too.
    pub(crate) fn withdraw_failure(&mut self, work: work::WorkId) {
        if let Some(at) = self.streak.iter().position(|it| it.work == work) {
            let failure = self.streak.remove(at);
            self.streak_weight = (self.streak_weight - failure.weight).max(0.0);
        }
    }

    /// Clears the probe if it is `work`, which ended without showing whether the worker is sound.
    pub(crate) fn abandon_probe(&mut self, work: work::WorkId) {
        if self.probe == Some(work) {
            self.probe = None;
        }
    }

    /// Gives the worker no new work for [`START_FAILURE_PAUSE`]. Returns the end of the pause.
    pub(crate) fn pause(&mut self, now: time::WallTime) -> time::WallTime {
        self.paused_until = now + START_FAILURE_PAUSE;
        self.paused_until
    }
}
