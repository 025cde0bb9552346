//! Headroom: accelerators outside the home blocks that are kept free for urgent and for non-reclaimable work.
//!
//! In a full hall, urgent work stops gangs, which then wait for a block again and lose what they ran
//! since their last checkpoint. Non-reclaimable work, which can neither be stopped nor is sure to end
//! within the reclaim bound, may not run in home blocks: a reclaimable gang that occupies the accelerators
//! outside them for hours leaves none for it, although the gang could run in a home block as well. So
//! other new work leaves as many accelerators outside the home blocks free as each of the two kinds needed
//! recently, up to a bound.

use std::time::Duration;

use almondpass_schema::time;

use crate::core::HallCore;
use crate::ledger::{Booking, PlacedTask};
use crate::timers::TimerKind;
use crate::topology::NONE;

/// Time constant of the moving averages of demand.
const AVERAGING_TIME: Duration = Duration::from_secs(20 * 60);
/// Standard deviations above the mean demand that are kept free if only completion time has weight.
const MAX_DEVIATIONS: f64 = 2.0;
/// Largest fraction of the hall's accelerators that is kept for urgent work.
const MAX_URGENT_FRACTION: f64 = 0.1;
/// Requests whose expected run is at most this many urgent start bounds count as short.
const SHORT_RUN_START_BOUNDS: u32 = 20;
/// Mean demand, in accelerators, from which urgent work counts as recent.
const RECENT_URGENT_DEMAND: f64 = 1.0;
/// Work that was held back is considered again after this time if no event causes a round earlier.
const RETRY_INTERVAL: Duration = Duration::from_secs(15);

/// Exponential moving mean and variance of a demand, in accelerators.
#[derive(Clone, Copy, Debug, Default)]
struct DemandAverage {
    mean: f64,
    variance: f64,
    updated_at: time::WallTime,
}

impl DemandAverage {
    /// Adds the current demand. The sample's weight grows with the time since the previous update.
    fn update(&mut self, demand: u32, now: time::WallTime) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let weight = 1.0 - (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
        let deviation = f64::from(demand) - self.mean;
        self.mean += weight * deviation;
        self.variance = (1.0 - weight) * (self.variance + weight * deviation * deviation);
    }

    /// Accelerators to keep free in addition to the `held` ones: 0 to `max`.
    fn kept_free(&self, held: u32, deviations: f64, max: f64) -> i64 {
        let demand = self.mean + deviations * self.variance.sqrt();
        (demand - f64::from(held)).clamp(0.0, max).ceil() as i64
    }
}

/// How many accelerators outside the home blocks may still be used in a round.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeadroomBudget {
    urgent: DemandAverage,
    non_reclaimable: DemandAverage,
    /// Accelerators held by urgent work.
    pub(crate) urgent_held: u32,
    /// Accelerators outside home blocks, held ones included.
    outside_homes: u32,
    /// Free accelerators outside home blocks, less those kept for urgent work.
    for_non_urgent: i64,
    /// Free accelerators outside home blocks, less the larger of those kept for urgent and for
    /// non-reclaimable work.
    for_reclaimable: i64,
}

impl HallCore {
    /// Updates the averages of demand, and the accelerators that may be used in this round.
    pub(crate) fn update_headroom(&mut self) {
        let mut free = 0;
        let mut outside_homes = 0;
        let mut non_reclaimable_held = 0;
        for at in 0..self.topology.n_accelerators() {
            if self.ledger.home[at as usize] != NONE {
                continue;
            }
            outside_homes += 1;
            let holder = self.ledger.holder[at as usize];
            if holder == NONE {
                free += i64::from(self.is_accelerator_available(at));
            } else if self.items.at(holder).booking == Booking::NonReclaimable {
                non_reclaimable_held += 1;
            }
        }
        let (urgent_waiting, non_reclaimable_waiting) = self.waiting_demand();
        let deviations = MAX_DEVIATIONS * (1.0 - self.parameters.fragmentation_weight);
        let max_urgent_kept = MAX_URGENT_FRACTION * f64::from(self.capacity.accelerators);
        let budget = &mut self.headroom;
        let urgent_demand = budget.urgent_held.saturating_add(urgent_waiting).min(outside_homes);
        budget.urgent.update(urgent_demand, self.now);
        budget.non_reclaimable.update(
            non_reclaimable_waiting.saturating_add(non_reclaimable_held).min(outside_homes),
            self.now,
        );
        let urgent_kept = budget.urgent.kept_free(budget.urgent_held, deviations, max_urgent_kept);
        let non_reclaimable_kept = budget.non_reclaimable.kept_free(
            non_reclaimable_held,
            deviations,
            f64::from(outside_homes),
        );
        budget.outside_homes = outside_homes;
        budget.for_non_urgent = free - urgent_kept;
        budget.for_reclaimable = free - urgent_kept.max(non_reclaimable_kept);
    }

    /// Whether urgent work, which may stop gangs, ran or waited recently.
    pub(crate) fn has_recent_urgent_demand(&self) -> bool {
        RECENT_URGENT_DEMAND <= self.headroom.urgent.mean
    }

    /// Accelerators wanted by waiting urgent work, and by waiting non-reclaimable work.
    fn waiting_demand(&self) -> (u32, u32) {
        let mut urgent = 0_u32;
        let mut non_reclaimable = 0_u32;
        for it in self.queue.active_groups().filter_map(|it| self.queue.group(it)) {
            let rule = &self.catalog.classes[it.key.class as usize];
            let per_item = it.key.tasks.saturating_mul(it.key.demand.accelerators);
            let n_accelerators = per_item.saturating_mul(it.entries.len() as u32);
            if rule.urgent {
                urgent = urgent.saturating_add(n_accelerators);
            }
            if self.is_non_reclaimable(rule) {
                non_reclaimable = non_reclaimable.saturating_add(n_accelerators);
            }
        }
        (urgent, non_reclaimable)
    }

    /// Subtracts the accelerators outside home blocks that a started item holds from what this round may use.
    pub(crate) fn spend_headroom(&mut self, index: u32, tasks: &[PlacedTask]) {
        let outside_homes = |it: &&u32| self.ledger.home[**it as usize] == NONE;
        let n = tasks.iter().flat_map(|it| &it.accelerators).filter(outside_homes).count() as i64;
        let rule = &self.catalog.classes[self.items.at(index).class as usize];
        let (urgent, non_reclaimable) = (rule.urgent, self.is_non_reclaimable(rule));
        if !urgent {
            self.headroom.for_non_urgent -= n;
        }
        if !urgent && !non_reclaimable {
            self.headroom.for_reclaimable -= n;
        }
    }

    /// Whether an item may use home blocks only, because the free accelerators outside them are kept for
    /// urgent or non-reclaimable work. Never for urgent items, and short requests are exempt.
    pub(crate) fn limited_to_home_blocks(&self, index: u32) -> bool {
        let item = self.items.at(index);
        let rule = &self.catalog.classes[item.class as usize];
        let n_accelerators = i64::from(item.n_accelerators());
        let usable = match self.is_non_reclaimable(rule) {
            true => self.headroom.for_non_urgent,
            false => self.headroom.for_non_urgent.min(self.headroom.for_reclaimable),
        };
        !rule.urgent
            && 0 < n_accelerators
            && usable < n_accelerators
            && !self.is_short_request(index)
    }

    /// Whether an item is a request so short that it does not delay urgent work: among many such runs, enough
    /// end within the urgent start bound.
    fn is_short_request(&self, index: u32) -> bool {
        let item = self.items.at(index);
        let rule = &self.catalog.classes[item.class as usize];
        rule.is_request
            && self.estimate(item).median
                <= self.parameters.urgent_start_bound * SHORT_RUN_START_BOUNDS
    }

    /// Whether a reclaimable item, in a block reserved for it outside the home blocks, would leave too few
    /// accelerators for the mean demand of non-reclaimable work.
    pub(crate) fn crowds_out_non_reclaimable(&self, index: u32) -> bool {
        let item = self.items.at(index);
        let rule = &self.catalog.classes[item.class as usize];
        let left = f64::from(self.headroom.outside_homes) - self.headroom.non_reclaimable.mean;
        !self.is_non_reclaimable(rule) && left < f64::from(item.n_accelerators())
    }

    /// Sets a timer after which work that was held back is considered again.
    pub(crate) fn retry_soon(&mut self) {
        self.set_timer(self.now + RETRY_INTERVAL, TimerKind::WaitOver, NONE);
    }
}
