//! Expected and latest end times of held items, and whether they can be reclaimed in time.

use std::time::Duration;

use almondpass_schema::time;

use crate::catalog::ClassRule;
use crate::core::HallCore;
use crate::estimates;
use crate::item::{ItemState, QueueItem};
use crate::ledger::Booking;

/// A run that has exceeded its estimate is expected to need this fraction of its run time so far in addition.
/// Holds for log-normal run times with a standard deviation of the logarithm of about 0.5.
const LATE_RUN_REMAINDER: f64 = 0.4;

impl HallCore {
    /// Estimated run time of an item, all attempts together.
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

    /// When an item that holds accelerators is expected to end.
    pub(crate) fn expected_end(&self, item: &QueueItem) -> time::WallTime {
        if item.state == ItemState::Stopping {
            return self.now + self.parameters.stop_margin;
        }
        if item.state == ItemState::Checkpointing {
            return self.now + self.parameters.checkpoint_grace + self.parameters.stop_margin;
        }
        let remaining = self.estimate(item).median.saturating_sub(item.work.saved_run);
        let end = item.saved_at + remaining;
        // A run past its median estimate is expected to go on for a good part of its run time so far.
        let remainder =
            item.run_time(self.now).mul_f64(LATE_RUN_REMAINDER).max(Duration::from_secs(1));
        if self.now < end { end } else { self.now + remainder }
    }

    /// The time by which an item that holds accelerators has ended in any case.
    pub(crate) fn latest_end(&self, item: &QueueItem) -> time::WallTime {
        let rule = &self.catalog.classes[item.class as usize];
        if rule.is_request {
            return item.started_at + rule.max_run;
        }
        let bound = self.parameters.max_run_time(rule.max_run);
        item.saved_at + bound.saturating_sub(item.work.saved_run)
    }

    /// Whether an item that holds accelerators frees them within the reclaim bound from now: because it is
    /// stopping, can be stopped, or ends by itself in time.
    pub(crate) fn frees_within_reclaim_bound(&self, item: &QueueItem) -> bool {
        let rule = &self.catalog.classes[item.class as usize];
        let stopping = matches!(item.state, ItemState::Stopping | ItemState::Checkpointing);
        let stoppable = !rule.is_request && (rule.repeatable || stopping);
        stoppable || self.latest_end(item) <= self.now + self.parameters.reclaim_bound
    }

    /// How an item that claims no guarantee is booked in the ledger when it starts.
    pub(crate) fn booking_of(&self, index: u32) -> Booking {
        let rule = &self.catalog.classes[self.items.at(index).class as usize];
        if self.is_non_reclaimable(rule) { Booking::NonReclaimable } else { Booking::Reclaimable }
    }

    /// Whether work of a class can neither be stopped nor be sure to end within the reclaim bound.
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
