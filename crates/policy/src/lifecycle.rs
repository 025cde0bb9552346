//! Work on its way through the hall: queued, started, stopped, ended.

use std::time::Duration;

use almondpass_schema::model;

use crate::core::HallCore;
use crate::decision::{AfterStop, Decision};
use crate::item::ItemState;
use crate::ledger::{Booking, PlacedTask};
use crate::queue::{GroupKey, QueueEntry};
use crate::reasons;
use crate::timers::TimerKind;
use crate::work;

/// Distinct healthy workers on which work fails before it is its own fault.
const FAULTY_AFTER: usize = 3;
/// Failures after which it is given up in any case.
const MOST_FAILURES: u32 = 8;
/// Pause after the first failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause after a failure.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);

impl HallCore {
    /// The group of a waiting item.
    pub(crate) fn group_key(&self, index: u32) -> GroupKey {
        let item = self.items.at(index);
        GroupKey {
            account: item.account,
            class: item.class,
            tasks: item.work.tasks,
            demand: item.work.demand,
            adjacency: item.work.adjacency,
            guarantee: item.work.guarantee.clone(),
        }
    }

    fn entry(&self, index: u32) -> QueueEntry {
        let work = &self.items.at(index).work;
        QueueEntry { submitted_at: work.submitted_at, work: work.id, item: index }
    }

    /// Puts an item in the queue.
    pub(crate) fn enqueue(&mut self, index: u32) {
        let now = self.now;
        let item = self.items.at_mut(index);
        item.state = ItemState::Waiting;
        item.state_since = now;
        self.queue.push(self.group_key(index), self.entry(index));
        self.changed_since_round = true;
    }

    /// Takes an item out of the queue.
    pub(crate) fn dequeue(&mut self, index: u32) {
        self.queue.remove(&self.group_key(index), &self.entry(index));
    }

    /// Books an item on its accelerators.
    pub(crate) fn hold(
        &mut self,
        index: u32,
        tasks: Vec<PlacedTask>,
        booking: Booking,
        claim: Option<u32>,
    ) {
        let usage = self.usage_of(index);
        self.ledger.hold(index, &tasks, usage, booking);
        let request = self.catalog.classes[self.items.at(index).class as usize].is_request;
        let item = self.items.at_mut(index);
        let width = item.n_accelerators();
        let account = &mut self.account_usage[item.account as usize];
        account.accelerators += width;
        account.usage.add(usage.times(item.work.tasks));
        account.running_requests += u32::from(request);
        if self.catalog.classes[item.class as usize].urgent {
            item.urgent_accelerators = width;
            self.headroom.urgent_held += width;
        }
        item.tasks = tasks;
        item.booking = booking;
        if let Some(home) = claim {
            self.attach_claim(index, home);
        }
    }

    /// Frees what an item holds.
    pub(crate) fn release(&mut self, index: u32) {
        self.detach_claim(index);
        let usage = self.usage_of(index);
        let request = self.catalog.classes[self.items.at(index).class as usize].is_request;
        let item = self.items.at_mut(index);
        let tasks = std::mem::take(&mut item.tasks);
        let width = item.n_accelerators();
        let account = &mut self.account_usage[item.account as usize];
        account.accelerators -= width;
        account.usage.sub(usage.times(item.work.tasks));
        account.running_requests -= u32::from(request);
        self.headroom.urgent_held -= item.urgent_accelerators;
        item.urgent_accelerators = 0;
        let booking = item.booking;
        self.ledger.release(index, &tasks, usage, booking);
        self.note_capacity_change();
    }

    /// Starts an item that is in no queue and reserves nothing.
    pub(crate) fn start(
        &mut self,
        index: u32,
        tasks: Vec<PlacedTask>,
        claim: Option<u32>,
        reason: model::WaitReason,
    ) {
        let booking = match claim {
            Some(_) => Booking::Claim,
            None => self.booking_of(index),
        };
        self.spend_headroom(index, &tasks);
        let placement = self.task_assignments(&tasks);
        self.hold(index, tasks, booking, claim);
        let now = self.now;
        let item = self.items.at_mut(index);
        item.state = ItemState::Starting;
        item.state_since = now;
        item.start_reported = false;
        item.started_at = now;
        item.saved_at = now;
        item.after_stop = AfterStop::Requeue;
        item.throttled = false;
        let work = item.work.id;
        self.outbox.push(Decision::Start { work, placement, reason });
    }

    /// Tasks as the scheduler knows them.
    pub(crate) fn task_assignments(&self, tasks: &[PlacedTask]) -> Vec<work::TaskAssignment> {
        let slot = |(rank, it): (usize, &PlacedTask)| {
            let spec = &self.topology.workers[it.worker as usize];
            work::TaskAssignment {
                rank: rank as u32,
                worker: spec.name.clone(),
                accelerators: it
                    .accelerators
                    .iter()
                    .map(|it| it - spec.first_accelerator)
                    .collect(),
            }
        };
        tasks.iter().enumerate().map(slot).collect()
    }

    /// Orders a whole gang to stop at once.
    pub(crate) fn stop(&mut self, index: u32, after_stop: AfterStop, reason: model::WaitReason) {
        let now = self.now;
        let item = self.items.at_mut(index);
        item.state = ItemState::Stopping;
        item.state_since = now;
        item.after_stop = after_stop;
        if after_stop == AfterStop::End && item.end_reason.is_none() {
            item.end_reason = Some(reason.clone());
        }
        let work = item.work.id;
        self.outbox.push(Decision::Stop { work, after_stop, reason });
    }

    /// Asks a gang for a checkpoint within a grace, where it can make one, and then stops it.
    pub(crate) fn checkpoint_and_stop(
        &mut self,
        index: u32,
        grace: Duration,
        after_stop: AfterStop,
        reason: model::WaitReason,
    ) {
        let item = self.items.at(index);
        let able = self.catalog.classes[item.class as usize].checkpoint;
        if item.state != ItemState::Running || !able || grace.is_zero() {
            self.stop(index, after_stop, reason);
            return;
        }
        let stop_by = self.now + grace;
        let now = self.now;
        let item = self.items.at_mut(index);
        item.state = ItemState::Checkpointing;
        item.state_since = now;
        item.stop_by = stop_by;
        item.after_stop = after_stop;
        if after_stop == AfterStop::End {
            item.end_reason = Some(reason.clone());
        }
        let work = item.work.id;
        let stop_by = Some(stop_by);
        self.outbox.push(Decision::Checkpoint { work, stop_by, reason });
        self.set_timer(now + grace, TimerKind::Grace, index);
    }

    /// Queues an item again after its attempt ended, with its age and checkpoint.
    pub(crate) fn requeue(&mut self, index: u32, wait: Duration, reason: model::WaitReason) {
        let item = self.items.at(index);
        let work = item.work.id;
        if item.cancelled {
            self.finish_unplaced(index, reasons::cancelled());
            return;
        }
        self.outbox.push(Decision::Requeue { work, reason });
        if wait.is_zero() {
            self.enqueue(index);
        } else {
            let now = self.now;
            let item = self.items.at_mut(index);
            item.state = ItemState::Delayed;
            item.state_since = now;
            self.set_timer(now + wait, TimerKind::Retry, index);
        }
        self.check_deadline(index);
    }

    /// Why an item ends whose stop was ordered.
    pub(crate) fn end_reason(&self, index: u32) -> model::WaitReason {
        self.items.at(index).end_reason.clone().unwrap_or_else(reasons::cancelled)
    }

    /// Ends an item that holds nothing now: `not run` only where it never ran.
    pub(crate) fn finish_unplaced(&mut self, index: u32, reason: model::WaitReason) {
        let outcome = match self.items.at(index).ever_started {
            true => model::RequestOutcome::Failed,
            false => model::RequestOutcome::NotRun,
        };
        match self.items.at(index).state {
            ItemState::Waiting => self.dequeue(index),
            ItemState::Reserved(_) => self.unreserve(index),
            _ => {}
        }
        self.finish(index, outcome, reason);
    }

    fn finish(&mut self, index: u32, outcome: model::RequestOutcome, reason: model::WaitReason) {
        let work = self.items.at(index).work.id;
        self.outbox.push(Decision::Finish { work, outcome, reason });
        self.forget(index);
    }

    /// Forgets an item that holds nothing.
    pub(crate) fn forget(&mut self, index: u32) {
        self.items.remove(index);
    }

    pub(crate) fn succeeded(&mut self, index: u32) {
        let item = self.items.at(index);
        let run = item.work.saved_run + self.now.since(item.saved_at);
        let (account, class, declared) = (item.account, item.class, item.work.declared_run);
        self.estimates.record(account, class, run, declared);
        self.record_success(index);
        self.release(index);
        self.finish(index, model::RequestOutcome::Done, reasons::done());
    }

    pub(crate) fn stopped(&mut self, index: u32) {
        self.abandon_probe(index);
        self.release(index);
        let item = self.items.at(index);
        let asked = matches!(item.state, ItemState::Stopping | ItemState::Checkpointing);
        if item.after_stop == AfterStop::End && asked {
            let reason = self.end_reason(index);
            self.finish_unplaced(index, reason);
        } else if asked || self.retries(index) {
            self.items.at_mut(index).n_reclaims += 1;
            self.requeue(index, Duration::ZERO, reasons::stopped());
        } else {
            self.finish(index, model::RequestOutcome::Unknown, reasons::stopped());
        }
    }

    /// Whether the core may start it once more. A request is retried by the entry that has its
    /// body, under the entry's budget.
    fn retries(&self, index: u32) -> bool {
        let rule = &self.catalog.classes[self.items.at(index).class as usize];
        rule.repeatable && !rule.is_request
    }

    pub(crate) fn failed(&mut self, index: u32, worker: Option<u32>) {
        let work = self.items.at(index).work.id;
        if let Some(worker) = worker {
            self.record_failure(index, worker, work);
        }
        self.abandon_probe(index);
        self.release(index);
        let healthy = |it: &&u32| self.health[**it as usize].usable();
        let item = self.items.at(index);
        let n_workers = item.failed_on.iter().filter(healthy).count();
        let faulty = FAULTY_AFTER <= n_workers || MOST_FAILURES <= item.n_failures;
        if item.cancelled || !self.retries(index) {
            self.finish(index, model::RequestOutcome::Failed, reasons::failed());
        } else if faulty {
            let reason = reasons::faulty(n_workers, item.n_failures);
            self.withdraw_failures(index);
            self.finish(index, model::RequestOutcome::Failed, reason);
        } else {
            let doubled = FIRST_PAUSE * (1 << (item.n_failures.min(6)));
            self.requeue(index, doubled.min(LONGEST_PAUSE), reasons::failed_retry());
        }
    }

    pub(crate) fn lost(&mut self, index: u32, worker: &str) {
        self.abandon_probe(index);
        self.release(index);
        let reason = reasons::worker_lost(worker);
        if self.items.at(index).cancelled {
            self.finish_unplaced(index, reason);
        } else if self.retries(index) {
            self.requeue(index, Duration::ZERO, reason);
        } else {
            self.finish(index, model::RequestOutcome::Unknown, reason);
        }
    }
}
