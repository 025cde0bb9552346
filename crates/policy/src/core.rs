//! The state of a hall's policy and the order of steps in a scheduling round. Each step has its own
//! module.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use almondpass_schema::{ids, model, time};

use crate::account_usage::{AccountUsage, HallCapacity};
use crate::catalog::RuleCatalog;
use crate::decision;
use crate::estimates::EstimateTable;
use crate::event;
use crate::guarantee::HomeBlock;
use crate::hall_policy;
use crate::headroom::HeadroomBudget;
use crate::health::WorkerHealth;
use crate::homes;
use crate::item_table::ItemTable;
use crate::ledger::{Booking, HallLedger, Usage};
use crate::parameters::PolicyParameters;
use crate::queue::WaitQueue;
use crate::timers::{TimerEntry, TimerKind, TimerQueue};
use crate::topology::{HallTopology, NONE, WorkerSpec};
use crate::work;

/// For this time after the policy was created, a guarantee without a block is not reported as lost,
/// since the workers connect to a new hall scheduler one after the other.
pub(crate) const SETTLE_TIME: std::time::Duration = std::time::Duration::from_secs(2);

/// The policy of one hall. Owned by the hall scheduler; keeps everything in memory.
pub struct HallCore {
    pub(crate) hall: ids::HallName,
    pub(crate) layout: model::HallLayout,
    pub(crate) worker_kinds: Vec<model::WorkerKind>,
    pub(crate) parameters: PolicyParameters,
    pub(crate) topology: HallTopology,
    pub(crate) capacity: HallCapacity,
    pub(crate) catalog: RuleCatalog,
    pub(crate) ledger: HallLedger,
    pub(crate) items: ItemTable,
    pub(crate) queue: WaitQueue,
    /// Items for which accelerators are reserved.
    pub(crate) reserved_items: BTreeSet<u32>,
    pub(crate) homes: Vec<HomeBlock>,
    /// Guarantees of all halls, so that a rejection can name the hall in which a guarantee is at home.
    pub(crate) all_homes: Vec<homes::Home>,
    /// Whether the home blocks have to be checked in the next round.
    pub(crate) homes_dirty: bool,
    /// Number of block assignments so far. Counted only; no decision reads it.
    pub(crate) homes_version: u64,
    /// Number of configurations applied so far.
    pub(crate) config_number: u64,
    /// When the homes were last moved back to their canonical blocks.
    pub(crate) homes_restored_at: time::WallTime,
    pub(crate) health: Vec<WorkerHealth>,
    /// Health of workers that the configuration does not list.
    pub(crate) unlisted_health: BTreeMap<ids::WorkerId, WorkerHealth>,
    /// State of each worker as last reported by a decision.
    pub(crate) reported_states: Vec<model::WorkerState>,
    pub(crate) failure_rates: crate::probing::FailureRates,
    pub(crate) estimates: EstimateTable,
    pub(crate) account_usage: Vec<AccountUsage>,
    pub(crate) headroom: HeadroomBudget,
    pub(crate) timers: TimerQueue,
    /// Decisions that the next round returns.
    pub(crate) outbox: Vec<decision::Decision>,
    /// Incremented by every change after which work may fit that did not fit before.
    pub(crate) capacity_version: u64,
    /// Value of `capacity_version` at the last check of the reservations; 0 if a check is due.
    pub(crate) reservation_check_version: u64,
    /// Whether the last round stopped at its bound with work left.
    pub(crate) budget_exhausted: bool,
    /// Whether an event was applied or capacity changed since the last round began.
    pub(crate) changed_since_round: bool,
    pub(crate) created_at: time::WallTime,
    pub(crate) now: time::WallTime,
}

impl hall_policy::HallPolicy for HallCore {
    fn new(
        hall: &ids::HallName,
        config: Arc<model::ConfigDocument>,
        now: time::WallTime,
    ) -> Result<HallCore, hall_policy::PolicyFault> {
        let layout = find_hall(&config, hall)?.clone();
        let all_homes = homes::assign(&config)?;
        let topology = HallTopology::new(&layout, &config.worker_kinds);
        let mut core = HallCore {
            hall: hall.clone(),
            layout,
            worker_kinds: config.worker_kinds.clone(),
            parameters: PolicyParameters::new(&config),
            capacity: HallCapacity::default(),
            catalog: RuleCatalog::default(),
            ledger: HallLedger::new(&topology),
            items: ItemTable::default(),
            queue: WaitQueue::default(),
            reserved_items: BTreeSet::new(),
            homes: Vec::new(),
            all_homes,
            homes_dirty: true,
            homes_version: 0,
            config_number: 1,
            homes_restored_at: time::WallTime::default(),
            health: topology.workers.iter().map(|_| WorkerHealth::new()).collect(),
            unlisted_health: BTreeMap::new(),
            reported_states: vec![model::WorkerState::Lost; topology.workers.len()],
            failure_rates: crate::probing::FailureRates::default(),
            estimates: EstimateTable::default(),
            account_usage: Vec::new(),
            headroom: HeadroomBudget::default(),
            timers: TimerQueue::default(),
            outbox: Vec::new(),
            capacity_version: 1,
            reservation_check_version: 0,
            budget_exhausted: false,
            changed_since_round: true,
            created_at: now,
            now,
            topology,
        };
        core.apply_config_rules(&config);
        core.set_timer(now + SETTLE_TIME, TimerKind::CapacityCheck, NONE);
        Ok(core)
    }

    fn configure(
        &mut self,
        config: Arc<model::ConfigDocument>,
        now: time::WallTime,
    ) -> Result<(), hall_policy::PolicyFault> {
        let layout = find_hall(&config, &self.hall)?.clone();
        let all_homes = homes::assign(&config)?;
        self.now = now;
        self.all_homes = all_homes;
        if layout != self.layout || config.worker_kinds != self.worker_kinds {
            self.layout = layout;
            self.worker_kinds = config.worker_kinds.clone();
            self.rebuild_topology();
        }
        self.config_number += 1;
        self.parameters = PolicyParameters::new(&config);
        self.apply_config_rules(&config);
        self.rebook_all();
        self.queue.unblock_all();
        self.note_capacity_change();
        Ok(())
    }

    fn apply(&mut self, event: event::HallEvent, now: time::WallTime) {
        self.now = now;
        self.changed_since_round = true;
        self.handle_event(event);
    }

    fn run_round(&mut self, now: time::WallTime) -> Vec<decision::Decision> {
        self.now = now;
        self.budget_exhausted = false;
        self.changed_since_round = false;
        self.fire_timers();
        self.report_worker_states();
        self.repair_homes();
        self.check_reservations();
        self.update_headroom();
        self.serve_claims();
        self.probe_workers();
        self.dispatch();
        self.reserve_gang_blocks();
        std::mem::take(&mut self.outbox)
    }

    fn next_wake(&self, now: time::WallTime) -> Option<time::WallTime> {
        if self.budget_exhausted || self.changed_since_round || !self.outbox.is_empty() {
            return Some(now);
        }
        self.timers.next_due()
    }

    fn reason(&self, work: &work::WorkId, now: time::WallTime) -> Option<model::WaitReason> {
        let item = self.items.find(work)?;
        Some(self.explain(item, now))
    }

    fn admits(&self, item: &work::WorkItem) -> Result<(), model::WaitReason> {
        self.check_admission(item)
    }

    fn picture(&self, now: time::WallTime) -> model::HallPicture {
        self.build_picture(now)
    }
}

impl HallCore {
    /// Applies the classes, accounts, drains and guarantees of a configuration.
    fn apply_config_rules(&mut self, config: &model::ConfigDocument) {
        self.catalog.configure(&self.hall, config);
        self.account_usage.resize(self.catalog.accounts.len(), AccountUsage::default());
        for (worker, health) in self.health.iter_mut().enumerate() {
            let spec = &self.topology.workers[worker];
            let drains_worker = |it: &model::DrainOrder| {
                it.upstream.is_none() && it.worker.as_ref() == Some(&spec.name)
            };
            // A worker that the configuration no longer lists finishes its running work. It has to
            // count as drained, or new work would start on a machine that is being removed.
            health.drained_by_config = spec.rack == NONE || config.drains.iter().any(drains_worker);
        }
        self.capacity = HallCapacity::default();
        for spec in self.topology.workers.iter().filter(|it| it.rack != NONE) {
            self.capacity.accelerators += spec.accelerators;
            self.capacity.usage.add(Usage::capacity(spec));
        }
        self.configure_homes();
    }

    /// Rebuilds the topology and the ledger after a change of the layout, and books running work
    /// again. Workers that the configuration no longer lists are appended while work runs on them.
    fn rebuild_topology(&mut self) {
        let old = std::mem::take(&mut self.topology);
        let old_health = std::mem::take(&mut self.health);
        let reserved: Vec<u32> = self.reserved_items.iter().copied().collect();
        self.topology = old.clone();
        for it in reserved {
            self.unreserve_and_enqueue(it);
        }
        self.remove_all_blocks();
        self.topology = HallTopology::new(&self.layout, &self.worker_kinds);
        let mut new_indexes: Vec<u32> = Vec::with_capacity(old.workers.len());
        for spec in &old.workers {
            let index = self.topology.find_worker(&spec.name);
            let busy = !self.ledger.workers[new_indexes.len()].items.is_empty();
            let too_small = index.is_none_or(|it| {
                self.topology.workers[it as usize].accelerators < spec.accelerators
            });
            new_indexes.push(match index {
                Some(index) if !(busy && too_small) => index,
                _ if busy => self.topology.push(WorkerSpec { rack: NONE, ..spec.clone() }),
                _ => NONE,
            });
        }
        self.ledger = HallLedger::new(&self.topology);
        let unlisted_health = &mut self.unlisted_health;
        let known_health =
            |it: &WorkerSpec| unlisted_health.remove(&it.name).unwrap_or_else(WorkerHealth::new);
        self.health = self.topology.workers.iter().map(known_health).collect();
        self.reported_states = vec![model::WorkerState::Lost; self.health.len()];
        for (index, health) in old_health.into_iter().enumerate() {
            if new_indexes[index] != NONE {
                self.reported_states[new_indexes[index] as usize] = health.state(self.now);
                self.health[new_indexes[index] as usize] = health;
            } else {
                self.unlisted_health.insert(old.workers[index].name.clone(), health);
            }
        }
        self.rebook_on_new_layout(&old, &new_indexes);
    }

    /// Books the accelerators of running work in the ledger of the new layout. `new_indexes` has the
    /// new index of each worker of `old`, or [`NONE`] for workers that are gone.
    fn rebook_on_new_layout(&mut self, old: &HallTopology, new_indexes: &[u32]) {
        let all: Vec<u32> = self.items.iter().map(|(index, _)| index).collect();
        for index in all {
            let topology = &self.topology;
            let item = self.items.at_mut(index);
            let new_index =
                |it: &u32| new_indexes.get(*it as usize).copied().filter(|it| *it != NONE);
            item.exclude = item.exclude.iter().filter_map(new_index).collect();
            item.failed_on = item.failed_on.iter().filter_map(new_index).collect();
            if !item.state.holds_accelerators() {
                continue;
            }
            for task in &mut item.tasks {
                let from = old.workers[task.worker as usize].first_accelerator;
                task.worker = new_indexes[task.worker as usize];
                let to = topology.workers[task.worker as usize].first_accelerator;
                for it in &mut task.accelerators {
                    *it = *it - from + to;
                }
            }
            let usage = Usage::of(&item.work.demand);
            let booking = item.booking;
            let tasks = item.tasks.clone();
            self.ledger.hold(index, &tasks, usage, booking);
        }
    }

    /// Books running work according to the rules in force now. Claims keep their booking.
    fn rebook_all(&mut self) {
        let all: Vec<u32> = self
            .items
            .iter()
            .filter(|(_, it)| it.state.holds_accelerators() && it.booking != Booking::Claim)
            .map(|(index, _)| index)
            .collect();
        for index in all {
            let booking = self.booking_of(index);
            self.rebook(index, booking);
        }
        self.homes_dirty = true;
    }

    /// Changes the booking of work that holds accelerators.
    pub(crate) fn rebook(&mut self, index: u32, booking: Booking) {
        let item = self.items.at_mut(index);
        let usage = Usage::of(&item.work.demand);
        self.ledger.rebook(&item.tasks, usage, item.booking, booking);
        item.booking = booking;
    }

    /// Records that work may fit now that did not fit before, so that all waiting work is retried.
    pub(crate) fn note_capacity_change(&mut self) {
        self.capacity_version += 1;
        self.changed_since_round = true;
    }

    /// Sets a timer for an item, or for none with [`NONE`]. The generation of the item is recorded, so
    /// that a timer does not fire for a later item with the same index.
    pub(crate) fn set_timer(&mut self, at: time::WallTime, kind: TimerKind, item: u32) {
        let generation = if item == NONE { 0 } else { self.items.generation(item) };
        self.timers.set(TimerEntry { at, kind, item, generation });
    }

    /// Current number of items, waiting items and run time estimates.
    pub fn sizes(&self) -> CoreSizes {
        CoreSizes {
            items: self.items.len(),
            waiting: self.queue.len(),
            estimates: self.estimates.len(),
        }
    }
}

/// Sizes of the policy's tables, for metrics and for tests that its memory is bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreSizes {
    /// Requests and jobs, waiting or running.
    pub items: usize,
    /// Requests and jobs that wait.
    pub waiting: usize,
    /// Pairs of account and class with recorded run times.
    pub estimates: usize,
}

fn find_hall<'a>(
    config: &'a model::ConfigDocument,
    hall: &ids::HallName,
) -> Result<&'a model::HallLayout, hall_policy::PolicyFault> {
    let found = config.halls.iter().find(|it| it.name == *hall);
    found.ok_or_else(|| hall_policy::PolicyFault::UnknownHall(hall.clone()))
}
