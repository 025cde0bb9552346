//! Room kept beside the home blocks for work that has nowhere else to go.
//!
//! Two kinds of work suffer where everything is full. Urgent work stops gangs, which then wait for
//! their place again and lose what they ran since their last checkpoint. And work that can't be
//! reclaimed may not run in home blocks: a gang that spreads beside them for hours leaves it
//! nothing, though the gang could run in a home block as well. So as many accelerators beside the
//! blocks stay free of other new work as each kind was seen to need lately, up to a bound.

use std::time::Duration;

use almondpass_schema::time;

use crate::core::HallCore;
use crate::ledger::{Booking, PlacedTask};
use crate::timers::TimerKind;
use crate::topology::NONE;

/// Time over which needs are averaged.
const AVERAGED_OVER: Duration = Duration::from_secs(20 * 60);
/// Deviations above the mean that are kept where only completion time counts.
const MOST_DEVIATIONS: f64 = 2.0;
/// Part of the hall that is kept for urgent work at most.
const MOST_KEPT: f64 = 0.1;
/// Runs of this many urgent start bounds are short.
const SHORT_RUN: u32 = 20;
/// Accelerators that urgent work needs on average where it is about.
const URGENT_ABOUT: f64 = 1.0;
/// When nothing else happens, work that was held back is looked at again after this.
const LOOK_AGAIN: Duration = Duration::from_secs(15);

/// Average and spread of a need, in accelerators.
#[derive(Clone, Copy, Debug, Default)]
struct NeedAverage {
    mean: f64,
    variance: f64,
    seen_at: time::WallTime,
}

impl NeedAverage {
    /// Learns what is needed now.
    fn see(&mut self, need: u32, now: time::WallTime) {
        let passed = now.since(self.seen_at).as_secs_f64();
        self.seen_at = now;
        let part = 1.0 - (-passed / AVERAGED_OVER.as_secs_f64()).exp();
        let distance = f64::from(need) - self.mean;
        self.mean += part * distance;
        self.variance = (1.0 - part) * (self.variance + part * distance * distance);
    }

    /// Accelerators to keep free beside those held.
    fn kept(&self, held: u32, deviations: f64, most: f64) -> i64 {
        let need = self.mean + deviations * self.variance.sqrt();
        (need - f64::from(held)).clamp(0.0, most).ceil() as i64
    }
}

/// What may still be used beside the home blocks in a turn.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeadroomBudget {
    urgent: NeedAverage,
    hard: NeedAverage,
    /// Accelerators held by urgent work.
    pub(crate) urgent_held: u32,
    /// Accelerators beside home blocks.
    outside: u32,
    /// Free accelerators beyond those kept for urgent work.
    spare: i64,
    /// Free accelerators beyond those kept for all work that can't be reclaimed.
    soft_spare: i64,
}

impl HallCore {
    /// Finds out how much may be used in this turn.
    pub(crate) fn update_headroom(&mut self) {
        let mut free = 0;
        let mut outside = 0;
        let mut hard_held = 0;
        for at in 0..self.topology.n_accelerators() {
            if self.ledger.home[at as usize] != NONE {
                continue;
            }
            outside += 1;
            let holder = self.ledger.holder[at as usize];
            if holder == NONE {
                free += i64::from(self.is_accelerator_available(at));
            } else if self.items.at(holder).booking == Booking::NonReclaimable {
                hard_held += 1;
            }
        }
        let (urgent_waits, hard_waits) = self.waiting_needs();
        let deviations = MOST_DEVIATIONS * (1.0 - self.parameters.fragmentation_weight);
        let most = MOST_KEPT * f64::from(self.capacity.accelerators);
        let book = &mut self.headroom;
        let urgent_need = book.urgent_held.saturating_add(urgent_waits).min(outside);
        book.urgent.see(urgent_need, self.now);
        book.hard.see(hard_waits.saturating_add(hard_held).min(outside), self.now);
        let urgent_kept = book.urgent.kept(book.urgent_held, deviations, most);
        let hard_kept = book.hard.kept(hard_held, deviations, f64::from(outside));
        book.outside = outside;
        book.spare = free - urgent_kept;
        book.soft_spare = free - urgent_kept.max(hard_kept);
    }

    /// Whether urgent work, which may stop gangs, was about lately.
    pub(crate) fn has_recent_urgent_demand(&self) -> bool {
        URGENT_ABOUT <= self.headroom.urgent.mean
    }

    /// Accelerators that waiting urgent work, and waiting work that can't be reclaimed, wants.
    fn waiting_needs(&self) -> (u32, u32) {
        let mut urgent = 0_u32;
        let mut hard = 0_u32;
        for it in self.queue.active_groups().filter_map(|it| self.queue.group(it)) {
            let rule = &self.catalog.classes[it.key.class as usize];
            let one = it.key.tasks.saturating_mul(it.key.demand.accelerators);
            let width = one.saturating_mul(it.entries.len() as u32);
            if rule.urgent {
                urgent = urgent.saturating_add(width);
            }
            if self.is_non_reclaimable(rule) {
                hard = hard.saturating_add(width);
            }
        }
        (urgent, hard)
    }

    /// Counts accelerators beside home blocks that a start takes.
    pub(crate) fn spend_headroom(&mut self, index: u32, tasks: &[PlacedTask]) {
        let outside = |it: &&u32| self.ledger.home[**it as usize] == NONE;
        let n = tasks.iter().flat_map(|it| &it.accelerators).filter(outside).count() as i64;
        let rule = &self.catalog.classes[self.items.at(index).class as usize];
        let (urgent, hard) = (rule.urgent, self.is_non_reclaimable(rule));
        if !urgent {
            self.headroom.spare -= n;
        }
        if !urgent && !hard {
            self.headroom.soft_spare -= n;
        }
    }

    /// Whether what is free beside home blocks is kept for other work.
    pub(crate) fn limited_to_home_blocks(&self, index: u32) -> bool {
        let item = self.items.at(index);
        let rule = &self.catalog.classes[item.class as usize];
        let width = i64::from(item.n_accelerators());
        let spare = match self.is_non_reclaimable(rule) {
            true => self.headroom.spare,
            false => self.headroom.spare.min(self.headroom.soft_spare),
        };
        !rule.urgent && 0 < width && spare < width && !self.ends_soon(index)
    }

    /// Whether work is so short that urgent work need not mind it: many such runs end within its
    /// start bound.
    fn ends_soon(&self, index: u32) -> bool {
        let item = self.items.at(index);
        let rule = &self.catalog.classes[item.class as usize];
        rule.is_request
            && self.estimate(item).median <= self.parameters.urgent_start_bound * SHORT_RUN
    }

    /// Whether work that can be reclaimed would crowd out work that can't, if a block beside the
    /// homes were cleared for it.
    pub(crate) fn crowds_out_non_reclaimable(&self, index: u32) -> bool {
        let item = self.items.at(index);
        let rule = &self.catalog.classes[item.class as usize];
        let left = f64::from(self.headroom.outside) - self.headroom.hard.mean;
        !self.is_non_reclaimable(rule) && left < f64::from(item.n_accelerators())
    }

    /// Has work that was held back looked at again soon.
    pub(crate) fn retry_soon(&mut self) {
        self.set_timer(self.now + LOOK_AGAIN, TimerKind::WaitOver, NONE);
    }
}
