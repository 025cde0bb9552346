//! What happens to work because time passes: saved, throttled, stopped, given up.

use std::time::Duration;

use crate::core::HallCore;
use crate::decision::{AfterStop, Decision};
use crate::item::ItemState;
use crate::reasons;
use crate::timers::TimerKind;
use crate::topology::NONE;

/// Between two checkpoints of a run that goes on. By Young's rule this suits a checkpoint of some
/// 5 s and a loss or a reclaim every ten hours.
const SAVE_INTERVAL: Duration = Duration::from_secs(600);
/// The same while urgent work is about: it stops gangs without the time to save them. This suits a
/// stop every 38 minutes.
const EXPOSED_INTERVAL: Duration = Duration::from_secs(150);
/// Timers looked at in one turn.
const TIMERS_A_TURN: usize = 512;

impl HallCore {
    /// Sets the times at which a run is looked at. Requests are bounded by the term of their grant.
    pub(crate) fn set_run_timers(&mut self, index: u32) {
        let item = self.items.at(index);
        let rule = &self.catalog.classes[item.class as usize];
        let deadline = item.work.deadline;
        if !rule.is_request {
            let left = |limit: Duration| limit.saturating_sub(item.work.saved_run);
            let throttle = item.saved_at + left(rule.max_run);
            let overrun =
                item.saved_at + left(rule.max_run.mul_f64(self.parameters.overrun_factor));
            let saves = rule.checkpoint;
            self.set_timer(throttle, TimerKind::Throttle, index);
            self.set_timer(overrun, TimerKind::Overrun, index);
            if saves {
                self.set_timer(self.now + EXPOSED_INTERVAL, TimerKind::PeriodicCheckpoint, index);
            }
            if let Some(at) = deadline {
                self.set_timer(at, TimerKind::Deadline, index);
            }
        }
    }

    /// Looks at everything that is due.
    pub(crate) fn fire_timers(&mut self) {
        for _ in 0..TIMERS_A_TURN {
            let Some(it) = self.timers.pop_due(self.now) else { return };
            if it.item == NONE {
                self.capacity_version += 1;
                self.homes_dirty |= it.kind == TimerKind::CapacityCheck;
            } else if self.items.get(it.item, it.generation).is_some() {
                self.fire(it.item, it.kind);
            }
        }
        self.budget_exhausted = true;
    }

    fn fire(&mut self, index: u32, kind: TimerKind) {
        let item = self.items.at(index);
        match (kind, item.state) {
            // A timer of an earlier attempt must not cut this checkpoint short.
            (TimerKind::Grace, ItemState::Checkpointing) if item.stop_by <= self.now => {
                self.stop(index, item.after_stop, reasons::grace_over());
            }
            (TimerKind::Throttle, ItemState::Running) => self.throttle(index),
            (TimerKind::PeriodicCheckpoint, ItemState::Running) => self.save(index),
            (TimerKind::Overrun, ItemState::Running) => self.overrun(index),
            (TimerKind::Deadline, _) => self.check_deadline(index),
            (TimerKind::Retry, ItemState::Delayed) => self.enqueue(index),
            _ => {}
        }
    }

    /// Has a gang save its run, so that little is lost when it must go without a grace or its
    /// worker dies.
    fn save(&mut self, index: u32) {
        let item = self.items.at(index);
        let interval =
            if self.has_recent_urgent_demand() { EXPOSED_INTERVAL } else { SAVE_INTERVAL };
        let due = item.saved_at.max(item.checkpoint_requested_at) + interval;
        if self.now < due {
            // Urgent work may come before the long interval is over.
            let next = due.min(self.now + EXPOSED_INTERVAL);
            self.set_timer(next, TimerKind::PeriodicCheckpoint, index);
            return;
        }
        let work = item.work.id;
        let now = self.now;
        self.items.at_mut(index).checkpoint_requested_at = now;
        let reason = reasons::saved();
        self.outbox.push(Decision::Checkpoint { work, stop_by: None, reason });
        self.set_timer(now + EXPOSED_INTERVAL, TimerKind::PeriodicCheckpoint, index);
    }

    fn throttle(&mut self, index: u32) {
        let total = self.total_run(index);
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

    fn overrun(&mut self, index: u32) {
        let total = self.total_run(index);
        let rule = &self.catalog.classes[self.items.at(index).class as usize];
        if total < rule.max_run.mul_f64(self.parameters.overrun_factor) {
            return;
        }
        let reason = reasons::overran(rule);
        self.items.at_mut(index).overran = true;
        self.checkpoint_and_stop(index, self.parameters.checkpoint_grace, AfterStop::End, reason);
    }

    /// Run time over all attempts that counts.
    fn total_run(&self, index: u32) -> Duration {
        let item = self.items.at(index);
        item.work.saved_run + self.now.since(item.saved_at)
    }

    /// Tells waiting work early that its deadline can't be met any more, and stops repeatable runs
    /// whose result has become worthless.
    pub(crate) fn check_deadline(&mut self, index: u32) {
        let item = self.items.at(index);
        let Some(deadline) = item.work.deadline else { return };
        let rule = &self.catalog.classes[item.class as usize];
        match item.state {
            ItemState::Waiting | ItemState::Delayed | ItemState::Reserved(_) => {
                let least = self.estimate(item).low.saturating_sub(item.work.saved_run);
                let latest = deadline - least;
                if latest < self.now || deadline <= self.now {
                    self.finish_unplaced(index, reasons::deadline(deadline, least));
                } else {
                    let soon = Duration::from_millis(1);
                    let at = deadline.min(latest + soon);
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
