//! The life cycle of an item: queued, started, stopped, ended.

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

/// Number of distinct healthy workers on which a job fails before the job counts as faulty.
const FAULTY_AFTER_WORKERS: usize = 3;
/// Number of failures after which a job counts as faulty, whichever workers it failed on.
const MAX_FAILURES: u32 = 8;
/// Base of the delay before a failed job is retried; doubled for each failure.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest delay before a failed job is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

impl HallCore {
    /// Key of the group to which a waiting item belongs.
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

    fn queue_entry(&self, index: u32) -> QueueEntry {
        let work = &self.items.at(index).work;
        QueueEntry { submitted_at: work.submitted_at, work: work.id, item: index }
    }

    /// Adds an item to the queue.
    pub(crate) fn enqueue(&mut self, index: u32) {
        let now = self.now;
        let item = self.items.at_mut(index);
        item.state = ItemState::Waiting;
        item.state_since = now;
        self.queue.push(self.group_key(index), self.queue_entry(index));
        self.changed_since_round = true;
    }

    /// Removes an item from the queue, without a change of its state.
    pub(crate) fn dequeue(&mut self, index: u32) {
        self.queue.remove(&self.group_key(index), &self.queue_entry(index));
    }

    /// Books an item on the accelerators of its tasks, and on the home that it claims.
    pub(crate) fn hold(
        &mut self,
        index: u32,
        tasks: Vec<PlacedTask>,
        booking: Booking,
        claimed_home: Option<u32>,
    ) {
        let usage = self.usage_of(index);
        self.ledger.hold(index, &tasks, usage, booking);
        let is_request = self.catalog.classes[self.items.at(index).class as usize].is_request;
        let item = self.items.at_mut(index);
        let n_accelerators = item.n_accelerators();
        let account = &mut self.account_usage[item.account as usize];
        account.accelerators += n_accelerators;
        account.usage.add(usage.times(item.work.tasks));
        account.running_requests += u32::from(is_request);
        if self.catalog.classes[item.class as usize].urgent {
            item.urgent_accelerators = n_accelerators;
            self.headroom.urgent_held += n_accelerators;
        }
        item.tasks = tasks;
        item.booking = booking;
        if let Some(home) = claimed_home {
            self.attach_claim(index, home);
        }
    }

    /// Frees the accelerators and the other resources that an item holds.
    pub(crate) fn release(&mut self, index: u32) {
        self.detach_claim(index);
        let usage = self.usage_of(index);
        let is_request = self.catalog.classes[self.items.at(index).class as usize].is_request;
        let item = self.items.at_mut(index);
        let tasks = std::mem::take(&mut item.tasks);
        let n_accelerators = item.n_accelerators();
        let account = &mut self.account_usage[item.account as usize];
        account.accelerators -= n_accelerators;
        account.usage.sub(usage.times(item.work.tasks));
        account.running_requests -= u32::from(is_request);
        self.headroom.urgent_held -= item.urgent_accelerators;
        item.urgent_accelerators = 0;
        let booking = item.booking;
        self.ledger.release(index, &tasks, usage, booking);
        self.note_capacity_change();
    }

    /// Decides the start of an item that is not in the queue and has no reservation. A claimed home is
    /// given by its index.
    pub(crate) fn start(
        &mut self,
        index: u32,
        tasks: Vec<PlacedTask>,
        claimed_home: Option<u32>,
        reason: model::WaitReason,
    ) {
        let booking = match claimed_home {
            Some(_) => Booking::Claim,
            None => self.booking_of(index),
        };
        self.spend_headroom(index, &tasks);
        let placement = self.task_assignments(&tasks);
        self.hold(index, tasks, booking, claimed_home);
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

    /// The tasks with the names of their workers and with accelerator indexes within the worker, as a
    /// decision gives them.
    pub(crate) fn task_assignments(&self, tasks: &[PlacedTask]) -> Vec<work::TaskAssignment> {
        let assignment = |(rank, it): (usize, &PlacedTask)| {
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
        tasks.iter().enumerate().map(assignment).collect()
    }

    /// Decides that a whole gang is stopped without a further checkpoint.
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

    /// Decides that a gang saves a checkpoint within `grace` and is then stopped. A gang that is not
    /// running or can't save checkpoints is stopped at once.
    pub(crate) fn checkpoint_and_stop(
        &mut self,
        index: u32,
        grace: Duration,
        after_stop: AfterStop,
        reason: model::WaitReason,
    ) {
        let item = self.items.at(index);
        let can_checkpoint = self.catalog.classes[item.class as usize].checkpoint;
        if item.state != ItemState::Running || !can_checkpoint || grace.is_zero() {
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

    /// Queues an item again after its attempt ended, with its age and checkpoint, once `delay` is over.
    /// A cancelled item is finished instead.
    pub(crate) fn requeue(&mut self, index: u32, delay: Duration, reason: model::WaitReason) {
        let item = self.items.at(index);
        let work = item.work.id;
        if item.cancelled {
            self.finish_unplaced(index, reasons::cancelled());
            return;
        }
        self.outbox.push(Decision::Requeue { work, reason });
        if delay.is_zero() {
            self.enqueue(index);
        } else {
            let now = self.now;
            let item = self.items.at_mut(index);
            item.state = ItemState::Delayed;
            item.state_since = now;
            self.set_timer(now + delay, TimerKind::Retry, index);
        }
        self.check_deadline(index);
    }

    /// Why an item ends after its stop: the recorded reason, or else that it was cancelled.
    pub(crate) fn end_reason(&self, index: u32) -> model::WaitReason {
        self.items.at(index).end_reason.clone().unwrap_or_else(reasons::cancelled)
    }

    /// Finishes an item that holds no accelerators. The outcome is `not_run` if the item never started,
    /// else `failed`.
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

    /// Removes an item that holds no accelerators.
    pub(crate) fn forget(&mut self, index: u32) {
        self.items.remove(index);
    }

    /// Finishes an item that succeeded, and records its run time for estimates.
    pub(crate) fn end_succeeded(&mut self, index: u32) {
        let item = self.items.at(index);
        let run = item.work.saved_run + self.now.since(item.saved_at);
        let (account, class, declared) = (item.account, item.class, item.work.declared_run);
        self.estimates.record(account, class, run, declared);
        self.record_success(index);
        self.release(index);
        self.finish(index, model::RequestOutcome::Done, reasons::done());
    }

    /// Requeues or finishes an item whose tasks were stopped. If the policy did not decide the stop, an
    /// item that it may not restart ends with the outcome `unknown`.
    pub(crate) fn end_stopped(&mut self, index: u32) {
        self.abandon_probe(index);
        self.release(index);
        let item = self.items.at(index);
        let stop_decided = matches!(item.state, ItemState::Stopping | ItemState::Checkpointing);
        if item.after_stop == AfterStop::End && stop_decided {
            let reason = self.end_reason(index);
            self.finish_unplaced(index, reason);
        } else if stop_decided || self.may_restart(index) {
            self.items.at_mut(index).n_reclaims += 1;
            self.requeue(index, Duration::ZERO, reasons::stopped());
        } else {
            self.finish(index, model::RequestOutcome::Unknown, reasons::stopped());
        }
    }

    /// Whether the policy may start an item again after a failure or loss: only repeatable jobs.
    /// Requests are retried by the entry that has their body, within the entry's retry budget.
    fn may_restart(&self, index: u32) -> bool {
        let rule = &self.catalog.classes[self.items.at(index).class as usize];
        rule.repeatable && !rule.is_request
    }

    /// Retries a failed job after a delay, or finishes it as failed if it is faulty or may not be
    /// restarted. The failure is recorded against the worker, if that is known.
    pub(crate) fn end_failed(&mut self, index: u32, worker: Option<u32>) {
        let work = self.items.at(index).work.id;
        if let Some(worker) = worker {
            self.record_failure(index, worker, work);
        }
        self.abandon_probe(index);
        self.release(index);
        let healthy = |it: &&u32| self.health[**it as usize].usable();
        let item = self.items.at(index);
        let n_workers = item.failed_on.iter().filter(healthy).count();
        let faulty = FAULTY_AFTER_WORKERS <= n_workers || MAX_FAILURES <= item.n_failures;
        if item.cancelled || !self.may_restart(index) {
            self.finish(index, model::RequestOutcome::Failed, reasons::failed());
        } else if faulty {
            let reason = reasons::faulty(n_workers, item.n_failures);
            self.withdraw_failures(index);
            self.finish(index, model::RequestOutcome::Failed, reason);
        } else {
            let delay = RETRY_DELAY * (1 << (item.n_failures.min(6)));
            self.requeue(index, delay.min(MAX_RETRY_DELAY), reasons::failed_retry());
        }
    }

    /// Requeues an item that was lost with a worker, or finishes it with the outcome `unknown` if it
    /// may not be restarted.
    pub(crate) fn end_lost(&mut self, index: u32, worker: &str) {
        self.abandon_probe(index);
        self.release(index);
        let reason = reasons::worker_lost(worker);
        if self.items.at(index).cancelled {
            self.finish_unplaced(index, reason);
        } else if self.may_restart(index) {
            self.requeue(index, Duration::ZERO, reason);
        } else {
            self.finish(index, model::RequestOutcome::Unknown, reason);
        }
    }
}
