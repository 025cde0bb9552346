//! Why a worker gets no tasks now.

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::worker;

/// A worker that has not answered for this long gets no new tasks: longer than an idle look takes.
const ANSWERED_WITHIN: Duration = Duration::from_millis(3_500);

/// What bars a worker from new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ExclusionReason {
    /// The platform's list does not have it.
    Unlisted,
    /// Its entry has not been written lately, and it refuses nothing: its room may have shrunk.
    StaleEntry,
    /// A successor would not find it.
    OffRoster,
    /// It has not answered under this tenure, or not lately.
    Silent,
    /// The list speaks of another life of it.
    OtherIncarnation,
    /// It is about to leave.
    Leaving,
    /// Its data centre is evacuated.
    Evacuated,
    /// It refused a start a moment ago.
    Refusing,
    /// It fails or hangs tasks of several jobs.
    Failing,
    /// Its tasks are far too slow.
    Slow,
}

impl ExclusionReason {
    /// A short name, for logs.
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
    /// What bars a worker from new tasks now, if anything does.
    pub(crate) fn exclusion_reason(
        &self,
        id: &ids::WorkerId,
        worker: &worker::WorkerRecord,
        now: Duration,
    ) -> Option<ExclusionReason> {
        if !worker.listed {
            return Some(ExclusionReason::Unlisted);
        }
        if !worker.is_responsive() || now >= worker.last_contact_at + ANSWERED_WITHIN {
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
        if self.is_evacuated(worker) {
            return Some(ExclusionReason::Evacuated);
        }
        if !self.roster.is_saved(id) {
            return Some(ExclusionReason::OffRoster);
        }
        // A worker that refuses nothing would be filled beyond a room that has shrunk unheard, as
        // while the store is away.
        let is_unguarded = self.catalog.without_admission_check.contains(&worker.entry.upstream);
        let is_old = is_unguarded && worker.is_entry_stale(&self.timing, now);
        is_old.then_some(ExclusionReason::StaleEntry)
    }

    /// Whether nothing may start on a worker until its data centre is taken back.
    pub(crate) fn is_evacuated(&self, worker: &worker::WorkerRecord) -> bool {
        self.evacuated.contains(&worker.entry.data_center)
    }
}
