//! Events, as they come in.

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
    /// Learns of an event.
    pub(crate) fn handle_event(&mut self, event: HallEvent) {
        match event {
            HallEvent::Arrived(item) => self.arrive(item),
            HallEvent::Adopted { item, placement, started_at } => {
                self.adopt(item, &placement, started_at);
            }
            HallEvent::Cancelled(work) => self.with(&work, HallCore::cancel),
            HallEvent::Started(work) => self.with(&work, HallCore::started),
            HallEvent::StartFailed { work, worker, fault } => {
                let worker = worker.and_then(|it| self.topology.find_worker(&it));
                self.with(&work, |core, it| core.start_failed(it, worker, fault));
            }
            HallEvent::Checkpointed(work) => self.with(&work, HallCore::checkpointed),
            HallEvent::Ended { work, exit } => {
                self.with(&work, |core, it| core.ended(it, &exit));
            }
            HallEvent::WorkerLost(name) => self.worker_changed(&name, |it| it.present = false),
            HallEvent::WorkerBack(name) => self.worker_changed(&name, |it| it.present = true),
            HallEvent::WorkerDraining(name) => {
                self.worker_changed(&name, |it| it.drained_by_event = true)
            }
            HallEvent::WorkerUndrained(name) => {
                self.worker_changed(&name, |it| it.drained_by_event = false);
            }
        }
    }

    /// Late and repeated events name work that is gone; they change nothing.
    fn with(&mut self, work: &work::WorkId, act: impl FnOnce(&mut HallCore, u32)) {
        if let Some(index) = self.items.find(work) {
            act(self, index);
        }
    }

    fn arrive(&mut self, work: work::WorkItem) {
        if self.items.find(&work.id).is_some() {
            return;
        }
        let refusal = self.check_admission(&work).err();
        let index = self.insert(work, self.now);
        if let Some(reason) = refusal {
            self.finish_unplaced(index, reason);
            return;
        }
        self.enqueue(index);
        self.check_deadline(index);
    }

    fn insert(&mut self, work: work::WorkItem, started_at: time::WallTime) -> u32 {
        if let Some(name) = &work.guarantee {
            let named = self
                .homes
                .iter_mut()
                .find(|it| it.account_id == work.account && it.guarantee == *name);
            named.into_iter().for_each(|it| it.claimed_by_name = true);
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

    /// Takes over a gang that another scheduler started.
    fn adopt(
        &mut self,
        work: work::WorkItem,
        placement: &[work::TaskAssignment],
        started_at: time::WallTime,
    ) {
        if let Some(known) = self.items.find(&work.id) {
            if self.items.at(known).state != ItemState::Waiting {
                return;
            }
            self.dequeue(known);
            self.forget(known);
        }
        let tasks: Vec<PlacedTask> = placement.iter().map(|it| self.adopted_task(it)).collect();
        let index = self.insert(work, started_at);
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

    fn adopted_task(&mut self, slot: &work::TaskAssignment) -> PlacedTask {
        let most = slot.accelerators.iter().max().map_or(0, |it| it + 1);
        let known = self.topology.find_worker(&slot.worker);
        let worker = match known {
            Some(it) if most <= self.topology.workers[it as usize].accelerators => it,
            _ => self.add_removed_worker(&slot.worker, most),
        };
        let first = self.topology.workers[worker as usize].first_accelerator;
        PlacedTask { worker, accelerators: slot.accelerators.iter().map(|it| first + it).collect() }
    }

    /// A worker on which work runs though the configuration does not have it.
    fn add_removed_worker(&mut self, name: &str, accelerators: u32) -> u32 {
        let worker = self.topology.push(WorkerSpec {
            name: name.to_owned(),
            rack: NONE,
            first_accelerator: 0,
            accelerators,
            cores: 0,
            memory_mb: 0,
            slots: 0,
        });
        let n = self.topology.worker_of.len();
        self.ledger.holder.resize(n, NONE);
        self.ledger.reserved_for.resize(n, NONE);
        self.ledger.home.resize(n, NONE);
        self.ledger.workers.push(crate::ledger::WorkerLedger {
            free_accelerators: accelerators,
            ..Default::default()
        });
        self.health.push(WorkerHealth::new());
        self.reported_states.push(model::WorkerState::Lost);
        worker
    }

    fn cancel(&mut self, index: u32) {
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

    fn started(&mut self, index: u32) {
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

    fn start_failed(&mut self, index: u32, worker: Option<u32>, fault: StartFault) {
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
        let wait = if worker.is_none() && fault != StartFault::Withdrawn {
            Duration::from_secs(1)
        } else {
            Duration::ZERO
        };
        self.requeue(index, wait, reasons::start_failed(fault));
    }

    fn checkpointed(&mut self, index: u32) {
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

    fn ended(&mut self, index: u32, exit: &WorkExit) {
        let item = self.items.at_mut(index);
        if !item.state.holds_accelerators() {
            return;
        }
        // Unlike a failed start, an end says that some of it may have run.
        item.ever_started = true;
        match exit {
            WorkExit::Succeeded => self.succeeded(index),
            WorkExit::Stopped => self.stopped(index),
            WorkExit::Failed { worker } => {
                let worker = self.topology.find_worker(worker);
                self.failed(index, worker);
            }
            WorkExit::Lost { worker } => {
                let name = worker.clone();
                self.lost(index, &name);
            }
        }
    }

    fn worker_changed(&mut self, name: &str, change: impl FnOnce(&mut WorkerHealth)) {
        let Some(worker) = self.topology.find_worker(name) else {
            // What is learned of a worker that the configuration does not have holds when it gets
            // it: a worker drained meanwhile must not take work then.
            change(self.unlisted_health.entry(name.to_owned()).or_insert_with(WorkerHealth::new));
            return;
        };
        let health = &mut self.health[worker as usize];
        let before = health.usable();
        change(health);
        if health.usable() != before {
            self.homes_dirty = true;
        }
        self.note_capacity_change();
    }

    /// Capacity of what one task uses.
    pub(crate) fn usage_of(&self, index: u32) -> Usage {
        Usage::of(&self.items.at(index).work.demand)
    }
}
