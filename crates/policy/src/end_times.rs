//! How long work is expected to hold what it holds, and by when it is off in any case.

use std::time::Duration;

use almondpass_schema::time;

use crate::catalog::ClassRule;
use crate::core::HallCore;
use crate::estimates;
use crate::item::{ItemState, QueueItem};
use crate::ledger::Booking;

/// Part of the time taken that a run which has outlasted its estimate is expected to go on; right for
/// run times whose logarithm spreads by about a half.
const REST_OF_LATE_RUN: f64 = 0.4;

impl HallCore {
    /// Expected run time of an item, all attempts together.
    pub(crate) fn estimate(&self, item: &QueueItem) -> estimates::RunEstimate {
        let rule = &self.catalog.classes[item.class as usize];
        self.estimates.estimate(
            item.account,
            item.class,
            item.work.declared_run,
            rule.expected_run,
            rule.max_run,
        )
    }

    /// When a held item is expected to end.
    pub(crate) fn expected_end(&self, item: &QueueItem) -> time::WallTime {
        if item.state == ItemState::Stopping {
            return self.now + self.parameters.stop_margin;
        }
        if item.state == ItemState::Checkpointing {
            return self.now + self.parameters.checkpoint_grace + self.parameters.stop_margin;
        }
        let whole = self.estimate(item).median.saturating_sub(item.work.saved_run);
        let end = item.saved_at + whole;
        // What runs longer than half of its kind goes on for a good part of what it has taken.
        let rest = item.run_time(self.now).mul_f64(REST_OF_LATE_RUN).max(Duration::from_secs(1));
        if self.now < end { end } else { self.now + rest }
    }

    /// The time by which a held item is over in any case.
    pub(crate) fn latest_end(&self, item: &QueueItem) -> time::WallTime {
        let rule = &self.catalog.classes[item.class as usize];
        if rule.is_request {
            return item.started_at + rule.max_run;
        }
        let bound = self.parameters.max_run_time(rule.max_run);
        item.saved_at + bound.saturating_sub(item.work.saved_run)
    }

    /// Whether held work is off its accelerators within the reclaim bound whenever that is asked.
    pub(crate) fn frees_within_reclaim_bound(&self, item: &QueueItem) -> bool {
        let rule = &self.catalog.classes[item.class as usize];
        let stopping = matches!(item.state, ItemState::Stopping | ItemState::Checkpointing);
        let stoppable = !rule.is_request && (rule.repeatable || stopping);
        stoppable || self.latest_end(item) <= self.now + self.parameters.reclaim_bound
    }

    /// How an item that claims nothing is booked when it starts.
    pub(crate) fn booking_of(&self, index: u32) -> Booking {
        let rule = &self.catalog.classes[self.items.at(index).class as usize];
        if self.is_non_reclaimable(rule) { Booking::NonReclaimable } else { Booking::Reclaimable }
    }

    /// Whether work of a class can be neither stopped nor awaited within the reclaim bound.
    pub(crate) fn is_non_reclaimable(&self, rule: &ClassRule) -> bool {
        let stoppable = !rule.is_request && rule.repeatable;
        let bound = if rule.is_request {
            rule.max_run + self.parameters.stop_margin
        } else {
            self.parameters.max_run_time(rule.max_run)
        };
        !stoppable && self.parameters.reclaim_bound < bound
    }
}
