//! Handlers of the events that the hall scheduler applies to the policy.

use std::time::Duration;

use almondpass_schema::{model, time};

use crate::core::HallCore;
use crate::decision::AfterStop;
use crate::event::{HallEvent, StartFault, WorkExit};
use crate::health::WorkerHealth;
use crate::item::{ItemState, QueueItem};
use crate::ledger::{Booking, PlacedTask, Usage};
use crate::reasons;
use crate::topology::{NONE, WorkerSpec};
use crate::work;

impl HallCore {
    /// Updates the state by an event.
    pub(crate) fn handle_event(&mut self, event: HallEvent) {
        match event {
            HallEvent::Arrived(item) => self.handle_arrived(item),
            HallEvent::Adopted { item, placement, started_at } => {
                self.handle_adopted(item, &placement, started_at);
            }
            HallEvent::Cancelled(work) => self.with_item(&work, HallCore::handle_cancelled),
            HallEvent::Started(work) => self.with_item(&work, HallCore::handle_started),
            HallEvent::StartFailed { work, worker, fault } => {
                let worker = worker.and_then(|it| self.topology.find_worker(&it));
                self.with_item(&work, |core, it| core.handle_start_failed(it, worker, fault));
            }
            HallEvent::Checkpointed(work) => self.with_item(&work, HallCore::handle_checkpointed),
            HallEvent::Ended { work, exit } => {
                self.with_item(&work, |core, it| core.handle_ended(it, &exit));
            }
            HallEvent::WorkerLost(name) => {
                self.update_worker_health(&name, |it| it.present = false)
            }
            HallEvent::WorkerBack(name) => self.update_worker_health(&name, |it| it.present = true),
            HallEvent::WorkerDraining(name) => {
                self.update_worker_health(&name, |it| it.drained_by_event = true)
            }
            HallEvent::WorkerUndrained(name) => {
                self.update_worker_health(&name, |it| it.drained_by_event = false);
            }
        }
    }

    /// Calls a handler with the index of an item. Late and repeated events name work that has been
    /// removed; they change nothing.
    fn with_item(&mut self, work: &work::WorkId, handler: impl FnOnce(&mut HallCore, u32)) {
        if let Some(index) = self.items.find(work) {
            handler(self, index);
        }
    }

    /// Queues new work, or finishes it at once if the hall could never run it.
    fn handle_arrived(&mut self, work: work::WorkItem) {
        if self.items.find(&work.id).is_some() {
            return;
        }
        let refusal = self.check_admission(&work).err();
        let index = self.insert_item(work, self.now);
        if let Some(reason) = refusal {
            self.finish_unplaced(index, reason);
            return;
        }
        self.enqueue(index);
        self.check_deadline(index);
    }

    fn insert_item(&mut self, work: work::WorkItem, started_at: time::WallTime) -> u32 {
        if let Some(name) = &work.guarantee {
            let named_home = self
                .homes
                .iter_mut()
                .find(|it| it.account_id == work.account && it.guarantee == *name);
            named_home.into_iter().for_each(|it| it.claimed_by_name = true);
        }
        let class = self.catalog.intern_class(&work.class, 0 < work.demand.slots);
        let account = self.catalog.intern_account(&work.account);
        self.account_usage.resize(self.catalog.accounts.len(), Default::default());
        let failed_on = work.failed_on.iter().filter_map(|it| self.topology.find_worker(it));
        let mut failed_on = failed_on.collect::<Vec<_>>();
        failed_on.sort_unstable();
        failed_on.dedup();
        let exclude = work.exclude.iter().filter_map(|it| self.topology.find_worker(it)).collect();
        self.items.insert(QueueItem {
            class,
            account,
            state: ItemState::Waiting,
            state_since: self.now,
            tasks: Vec::new(),
            booking: Booking::Reclaimable,
            claimed_home: None,
            started_at,
            saved_at: started_at,
            expected_free_at: self.now,
            stop_by: self.now,
            urgent_accelerators: 0,
            checkpoint_requested_at: started_at,
            after_stop: AfterStop::Requeue,
            start_reported: false,
            ever_started: 0 < work.attempt,
            cancelled: false,
            throttled: false,
            overran: false,
            failed_on,
            n_failures: u32::try_from(work.failed_on.len()).unwrap_or(u32::MAX),
            exclude,
            chosen_overdue: false,
            end_reason: None,
            n_reclaims: 0,
            work,
        })
    }

    /// Adds a gang that an earlier scheduler of the hall started and that still runs.
    fn handle_adopted(
        &mut self,
        work: work::WorkItem,
        placement: &[work::TaskAssignment],
        started_at: time::WallTime,
    ) {
        if let Some(existing) = self.items.find(&work.id) {
            if self.items.at(existing).state != ItemState::Waiting {
                return;
            }
            self.dequeue(existing);
            self.forget(existing);
        }
        let tasks: Vec<PlacedTask> = placement.iter().map(|it| self.adopted_task(it)).collect();
        let index = self.insert_item(work, started_at);
        let item = self.items.at_mut(index);
        item.start_reported = true;
        item.ever_started = true;
        let booking = self.booking_of(index);
        self.hold(index, tasks, booking, None);
        let item = self.items.at_mut(index);
        item.state = ItemState::Running;
        self.set_run_timers(index);
        self.homes_dirty = true;
    }

    /// The place of an adopted task. If the configuration does not list the worker, or lists it with
    /// too few accelerators, the worker is added.
    fn adopted_task(&mut self, assignment: &work::TaskAssignment) -> PlacedTask {
        let n_needed = assignment.accelerators.iter().max().map_or(0, |it| it + 1);
        let listed = self.topology.find_worker(&assignment.worker);
        let worker = match listed {
            Some(it) if n_needed <= self.topology.workers[it as usize].accelerators => it,
            _ => self.add_unlisted_worker(&assignment.worker, n_needed),
        };
        let first = self.topology.workers[worker as usize].first_accelerator;
        PlacedTask {
            worker,
            accelerators: assignment.accelerators.iter().map(|it| first + it).collect(),
        }
    }

    /// Adds a worker that runs work although the configuration does not list it, or lists it with
    /// fewer accelerators.
    fn add_unlisted_worker(&mut self, name: &str, accelerators: u32) -> u32 {
        let worker = self.topology.push(WorkerSpec {
            name: name.to_owned(),
            rack: NONE,
            first_accelerator: 0,
            accelerators,
            cores: 0,
            memory_mb: 0,
            slots: 0,
        });
        let n_accelerators = self.topology.worker_of.len();
        self.ledger.holder.resize(n_accelerators, NONE);
        self.ledger.reserved_for.resize(n_accelerators, NONE);
        self.ledger.home.resize(n_accelerators, NONE);
        self.ledger.workers.push(crate::ledger::WorkerLedger {
            free_accelerators: accelerators,
            ..Default::default()
        });
        self.health.push(WorkerHealth::new());
        self.reported_states.push(model::WorkerState::Lost);
        worker
    }

    fn handle_cancelled(&mut self, index: u32) {
        let item = self.items.at_mut(index);
        item.cancelled = true;
        item.after_stop = AfterStop::End;
        match item.state {
            ItemState::Waiting | ItemState::Delayed | ItemState::Reserved(_) => {
                self.finish_unplaced(index, reasons::cancelled());
            }
            ItemState::Starting | ItemState::Running | ItemState::Checkpointing => {
                self.stop(index, AfterStop::End, reasons::cancelled());
            }
            ItemState::Stopping => {}
        }
    }

    fn handle_started(&mut self, index: u32) {
        let now = self.now;
        let item = self.items.at_mut(index);
        if !matches!(item.state, ItemState::Starting | ItemState::Stopping) || item.start_reported {
            return;
        }
        item.start_reported = true;
        item.ever_started = true;
        item.work.attempt += 1;
        item.started_at = now;
        item.saved_at = now;
        if item.state == ItemState::Starting {
            item.state = ItemState::Running;
            item.state_since = now;
            self.set_run_timers(index);
        }
    }

    fn handle_start_failed(&mut self, index: u32, worker: Option<u32>, fault: StartFault) {
        let state = self.items.at(index).state;
        if !matches!(state, ItemState::Starting | ItemState::Stopping) {
            return;
        }
        let work = self.items.at(index).work.id;
        self.abandon_probe(index);
        self.release(index);
        if let Some(worker) = worker {
            match fault {
                StartFault::Refused => self.pause_worker(worker),
                StartFault::Unreachable | StartFault::Failed => {
                    self.pause_worker(worker);
                    self.record_failure(index, worker, work);
                }
                StartFault::Withdrawn => {}
            }
        }
        if self.items.at(index).after_stop == AfterStop::End && state == ItemState::Stopping {
            let reason = self.end_reason(index);
            self.finish_unplaced(index, reason);
            return;
        }
        let delay = if worker.is_none() && fault != StartFault::Withdrawn {
            Duration::from_secs(1)
        } else {
            Duration::ZERO
        };
        self.requeue(index, delay, reasons::start_failed(fault));
    }

    fn handle_checkpointed(&mut self, index: u32) {
        let now = self.now;
        let item = self.items.at_mut(index);
        if !item.state.holds_accelerators() || item.state == ItemState::Starting {
            return;
        }
        item.work.saved_run += now.since(item.saved_at);
        item.saved_at = now;
        if item.state == ItemState::Checkpointing {
            let after_stop = item.after_stop;
            self.stop(index, after_stop, reasons::checkpoint_kept());
        }
    }

    fn handle_ended(&mut self, index: u32, exit: &WorkExit) {
        let item = self.items.at_mut(index);
        if !item.state.holds_accelerators() {
            return;
        }
        // Unlike `StartFailed`, `Ended` means that some of the work may have run.
        item.ever_started = true;
        match exit {
            WorkExit::Succeeded => self.end_succeeded(index),
            WorkExit::Stopped => self.end_stopped(index),
            WorkExit::Failed { worker } => {
                let worker = self.topology.find_worker(worker);
                self.end_failed(index, worker);
            }
            WorkExit::Lost { worker } => {
                let name = worker.clone();
                self.end_lost(index, &name);
            }
        }
    }

    fn update_worker_health(&mut self, name: &str, change: impl FnOnce(&mut WorkerHealth)) {
        let Some(worker) = self.topology.find_worker(name) else {
            // The health of a worker that the configuration does not list is kept until it does: a
            // worker that was drained meanwhile must not get work then.
            change(self.unlisted_health.entry(name.to_owned()).or_insert_with(WorkerHealth::new));
            return;
        };
        let health = &mut self.health[worker as usize];
        let was_usable = health.usable();
        change(health);
        if health.usable() != was_usable {
            self.homes_dirty = true;
        }
        self.note_capacity_change();
    }

    /// Cores, memory and upstream slots that one task of an item uses.
    pub(crate) fn usage_of(&self, index: u32) -> Usage {
        Usage::of(&self.items.at(index).work.demand)
    }
}
