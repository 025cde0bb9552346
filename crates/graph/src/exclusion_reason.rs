//! Reasons for which a worker gets no new tasks.

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::worker;

/// A worker gets no new tasks after this long without an answer. It exceeds the duration of a poll of an idle
/// worker.
const MAX_SILENCE: Duration = Duration::from_millis(3_500);

/// Why a worker gets no new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ExclusionReason {
    /// The worker is not on the platform's list.
    Unlisted,
    /// The worker has no admission check, and its entry is too old to rule out that its capacity has shrunk.
    StaleEntry,
    /// The worker is not saved in the roster, so a successor would not find it.
    OffRoster,
    /// The worker has not answered under this tenure, or not recently.
    Silent,
    /// The list has the entry of another incarnation of the worker, or the worker has restarted since the tenure was
    /// last known to be exclusive.
    OtherIncarnation,
    /// The worker is about to shut down.
    Leaving,
    /// The worker's data centre is under evacuation.
    Evacuated,
    /// The worker refused a start moments ago.
    Refusing,
    /// Tasks of several jobs fail or stall on the worker.
    Failing,
    /// Tasks on the worker run far too slowly.
    Slow,
}

impl ExclusionReason {
    /// Short name for logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            ExclusionReason::Unlisted => "unlisted",
            ExclusionReason::StaleEntry => "old news",
            ExclusionReason::OffRoster => "off the roster",
            ExclusionReason::Silent => "silent",
            ExclusionReason::OtherIncarnation => "other life",
            ExclusionReason::Leaving => "leaving",
            ExclusionReason::Evacuated => "evacuated",
            ExclusionReason::Refusing => "refusing",
            ExclusionReason::Failing => "failing",
            ExclusionReason::Slow => "slow",
        }
    }
}

impl core::PoolCore {
    /// Returns why a worker gets no new tasks now, or nothing if it may get some.
    pub(crate) fn exclusion_reason(
        &self,
        id: &ids::WorkerId,
        worker: &worker::WorkerRecord,
        now: Duration,
    ) -> Option<ExclusionReason> {
        if !worker.listed {
            return Some(ExclusionReason::Unlisted);
        }
        if !worker.is_responsive() || now >= worker.last_contact_at + MAX_SILENCE {
            return Some(ExclusionReason::Silent);
        }
        if now < worker.paused_until {
            return Some(ExclusionReason::Refusing);
        }
        if worker.health.is_paused(now) {
            return Some(ExclusionReason::Failing);
        }
        if now < worker.slow_until {
            return Some(ExclusionReason::Slow);
        }
        if worker.leaves_at.is_some() {
            return Some(ExclusionReason::Leaving);
        }
        if !worker.is_listed_incarnation() {
            return Some(ExclusionReason::OtherIncarnation);
        }
        // Such an incarnation has not seen the fencing token of a later scheduler that may be at work by now.
        if worker.incarnation_since > self.known_until(now) {
            return Some(ExclusionReason::OtherIncarnation);
        }
        if self.is_evacuated(worker) {
            return Some(ExclusionReason::Evacuated);
        }
        if !self.roster.is_saved(id) {
            return Some(ExclusionReason::OffRoster);
        }
        // A worker without admission check accepts starts beyond its capacity. If the capacity shrank and the
        // change could not be read, as during an outage of the store, the worker would be overloaded.
        let lacks_admission_check =
            self.catalog.without_admission_check.contains(&worker.entry.upstream);
        let is_stale = lacks_admission_check && worker.is_entry_stale(&self.timing, now);
        is_stale.then_some(ExclusionReason::StaleEntry)
    }

    /// Whether a worker's data centre is under evacuation, so that nothing may start on it.
    pub(crate) fn is_evacuated(&self, worker: &worker::WorkerRecord) -> bool {
        self.evacuated.contains(&worker.entry.data_center)
    }
}
