//! Timer-driven actions on items: periodic checkpoints, throttling, stops for overruns and deadlines.

use std::time::Duration;

use crate::core::HallCore;
use crate::decision::{AfterStop, Decision};
use crate::item::ItemState;
use crate::reasons;
use crate::timers::TimerKind;
use crate::topology::NONE;

/// Interval between periodic checkpoints of a run. By Young's formula it is the best interval for a
/// checkpoint of about 5 s and one loss or reclaim every ten hours.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(600);
/// Interval between periodic checkpoints while there is urgent work, which stops gangs without time
/// for a checkpoint. By the same formula it is the best interval for one stop every 38 minutes.
const URGENT_CHECKPOINT_INTERVAL: Duration = Duration::from_secs(150);
/// Bound on the timers fired in one round.
const MAX_TIMERS_PER_ROUND: usize = 512;

impl HallCore {
    /// Sets the timers of a run that starts. Requests need none: they are bounded by the term of their
    /// grant.
    pub(crate) fn set_run_timers(&mut self, index: u32) {
        let item = self.items.at(index);
        let rule = &self.catalog.classes[item.class as usize];
        let deadline = item.work.deadline;
        if !rule.is_request {
            let remaining = |limit: Duration| limit.saturating_sub(item.work.saved_run);
            let throttle_at = item.saved_at + remaining(rule.max_run);
            let overrun_at =
                item.saved_at + remaining(rule.max_run.mul_f64(self.parameters.overrun_factor));
            let can_checkpoint = rule.checkpoint;
            self.set_timer(throttle_at, TimerKind::Throttle, index);
            self.set_timer(overrun_at, TimerKind::Overrun, index);
            if can_checkpoint {
                self.set_timer(
                    self.now + URGENT_CHECKPOINT_INTERVAL,
                    TimerKind::PeriodicCheckpoint,
                    index,
                );
            }
            if let Some(at) = deadline {
                self.set_timer(at, TimerKind::Deadline, index);
            }
        }
    }

    /// Fires all timers that are due, within the bound of a round.
    pub(crate) fn fire_timers(&mut self) {
        for _ in 0..MAX_TIMERS_PER_ROUND {
            let Some(it) = self.timers.pop_due(self.now) else { return };
            if it.item == NONE {
                self.capacity_version += 1;
                self.homes_dirty |= it.kind == TimerKind::CapacityCheck;
            } else if self.items.get(it.item, it.generation).is_some() {
                self.fire_item_timer(it.item, it.kind);
            }
        }
        self.budget_exhausted = true;
    }

    fn fire_item_timer(&mut self, index: u32, kind: TimerKind) {
        let item = self.items.at(index);
        match (kind, item.state) {
            // A timer that an earlier attempt has set must not cut this checkpoint short.
            (TimerKind::Grace, ItemState::Checkpointing) if item.stop_by <= self.now => {
                self.stop(index, item.after_stop, reasons::grace_over());
            }
            (TimerKind::Throttle, ItemState::Running) => self.throttle(index),
            (TimerKind::PeriodicCheckpoint, ItemState::Running) => {
                self.request_periodic_checkpoint(index)
            }
            (TimerKind::Overrun, ItemState::Running) => self.stop_overrun(index),
            (TimerKind::Deadline, _) => self.check_deadline(index),
            (TimerKind::Retry, ItemState::Delayed) => self.enqueue(index),
            _ => {}
        }
    }

    /// Decides a periodic checkpoint if one is due, so that little is lost when the gang is stopped
    /// without time for a checkpoint or a worker dies.
    fn request_periodic_checkpoint(&mut self, index: u32) {
        let item = self.items.at(index);
        let interval = if self.has_recent_urgent_demand() {
            URGENT_CHECKPOINT_INTERVAL
        } else {
            CHECKPOINT_INTERVAL
        };
        let due = item.saved_at.max(item.checkpoint_requested_at) + interval;
        if self.now < due {
            // The shorter interval applies as soon as urgent work arrives.
            let next = due.min(self.now + URGENT_CHECKPOINT_INTERVAL);
            self.set_timer(next, TimerKind::PeriodicCheckpoint, index);
            return;
        }
        let work = item.work.id;
        let now = self.now;
        self.items.at_mut(index).checkpoint_requested_at = now;
        let reason = reasons::saved();
        self.outbox.push(Decision::Checkpoint { work, stop_by: None, reason });
        self.set_timer(now + URGENT_CHECKPOINT_INTERVAL, TimerKind::PeriodicCheckpoint, index);
    }

    /// Decides once per attempt that a run is throttled, when it has exceeded its run limit.
    fn throttle(&mut self, index: u32) {
        let total = self.total_run_time(index);
        let item = self.items.at(index);
        let rule = &self.catalog.classes[item.class as usize];
        if item.throttled || total < rule.max_run {
            return;
        }
        let reason = reasons::throttled(rule);
        let work = item.work.id;
        self.items.at_mut(index).throttled = true;
        self.outbox.push(Decision::Throttle { work, reason });
    }

    /// Stops a run that has exceeded the overrun bound, after a checkpoint.
    fn stop_overrun(&mut self, index: u32) {
        let total = self.total_run_time(index);
        let rule = &self.catalog.classes[self.items.at(index).class as usize];
        if total < rule.max_run.mul_f64(self.parameters.overrun_factor) {
            return;
        }
        let reason = reasons::overran(rule);
        self.items.at_mut(index).overran = true;
        self.checkpoint_and_stop(index, self.parameters.checkpoint_grace, AfterStop::End, reason);
    }

    /// Run time over all attempts, without run time that was lost.
    fn total_run_time(&self, index: u32) -> Duration {
        let item = self.items.at(index);
        item.work.saved_run + self.now.since(item.saved_at)
    }

    /// Finishes waiting work as soon as its deadline can no longer be met, and stops running repeatable
    /// jobs whose deadline has passed, since their result is worthless.
    pub(crate) fn check_deadline(&mut self, index: u32) {
        let item = self.items.at(index);
        let Some(deadline) = item.work.deadline else { return };
        let rule = &self.catalog.classes[item.class as usize];
        match item.state {
            ItemState::Waiting | ItemState::Delayed | ItemState::Reserved(_) => {
                let least_run = self.estimate(item).low.saturating_sub(item.work.saved_run);
                let latest_start = deadline - least_run;
                if latest_start < self.now || deadline <= self.now {
                    self.finish_unplaced(index, reasons::deadline(deadline, least_run));
                } else {
                    let margin = Duration::from_millis(1);
                    let at = deadline.min(latest_start + margin);
                    self.set_timer(at, TimerKind::Deadline, index);
                }
            }
            ItemState::Running if rule.repeatable && !rule.is_request && deadline <= self.now => {
                self.stop(index, AfterStop::End, reasons::deadline(deadline, Duration::ZERO));
            }
            _ => {}
        }
    }
}
