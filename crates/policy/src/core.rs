//! The policy of a hall: state and the order of a turn. Each step has its own module.

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

/// A guarantee without a block is not reported as lost within this after the start: workers of a
/// new scheduler come back one by one.
pub(crate) const SETTLE_TIME: std::time::Duration = std::time::Duration::from_secs(2);

/// Decides for one hall.
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
    /// Items whose place is reserved.
    pub(crate) reserved_items: BTreeSet<u32>,
    pub(crate) homes: Vec<HomeBlock>,
    /// Every guarantee of the configuration, for refusals that name the right hall.
    pub(crate) all_homes: Vec<homes::Home>,
    pub(crate) homes_dirty: bool,
    pub(crate) homes_version: u64,
    /// Counts configurations.
    pub(crate) config_number: u64,
    /// When homes were last brought back to where they are in an empty hall.
    pub(crate) homes_restored_at: time::WallTime,
    pub(crate) health: Vec<WorkerHealth>,
    /// What is known of workers that the configuration does not have.
    pub(crate) unlisted_health: BTreeMap<ids::WorkerId, WorkerHealth>,
    /// State of each worker as last decided.
    pub(crate) reported_states: Vec<model::WorkerState>,
    pub(crate) failure_rates: crate::probing::FailureRates,
    pub(crate) estimates: EstimateTable,
    pub(crate) account_usage: Vec<AccountUsage>,
    pub(crate) headroom: HeadroomBudget,
    pub(crate) timers: TimerQueue,
    pub(crate) outbox: Vec<decision::Decision>,
    /// Grows with everything by which work may fit that did not before.
    pub(crate) capacity_version: u64,
    pub(crate) reservation_check_version: u64,
    /// Whether the last turn stopped at its bound.
    pub(crate) budget_exhausted: bool,
    /// Whether something was learned since the last turn.
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
        core.adopt_rules(&config);
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
            self.rebuild();
        }
        self.config_number += 1;
        self.parameters = PolicyParameters::new(&config);
        self.adopt_rules(&config);
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
    /// Takes classes, accounts, drains and guarantees from a configuration.
    fn adopt_rules(&mut self, config: &model::ConfigDocument) {
        self.catalog.configure(&self.hall, config);
        self.account_usage.resize(self.catalog.accounts.len(), AccountUsage::default());
        for (worker, health) in self.health.iter_mut().enumerate() {
            let spec = &self.topology.workers[worker];
            let named = |it: &model::DrainOrder| {
                it.upstream.is_none() && it.worker.as_ref() == Some(&spec.name)
            };
            // A worker that the configuration no longer has runs its work to the end. Without this
            // it looks as live as before, and new work starts on a machine that is being taken away.
            health.drained_by_config = spec.rack == NONE || config.drains.iter().any(named);
        }
        self.capacity = HallCapacity::default();
        for spec in self.topology.workers.iter().filter(|it| it.rack != NONE) {
            self.capacity.accelerators += spec.accelerators;
            self.capacity.usage.add(Usage::capacity(spec));
        }
        self.configure_homes();
    }

    /// Lays the hall out anew and books running work again. Workers that the configuration no
    /// longer has stay behind the others while work runs on them.
    fn rebuild(&mut self) {
        let old = std::mem::take(&mut self.topology);
        let old_health = std::mem::take(&mut self.health);
        let reserving: Vec<u32> = self.reserved_items.iter().copied().collect();
        self.topology = old.clone();
        for it in reserving {
            self.unreserve_and_enqueue(it);
        }
        self.remove_all_blocks();
        self.topology = HallTopology::new(&self.layout, &self.worker_kinds);
        let mut moved: Vec<u32> = Vec::with_capacity(old.workers.len());
        for spec in &old.workers {
            let index = self.topology.find_worker(&spec.name);
            let busy = !self.ledger.workers[moved.len()].items.is_empty();
            let lacks = index.is_none_or(|it| {
                self.topology.workers[it as usize].accelerators < spec.accelerators
            });
            moved.push(match index {
                Some(index) if !(busy && lacks) => index,
                _ if busy => self.topology.push(WorkerSpec { rack: NONE, ..spec.clone() }),
                _ => NONE,
            });
        }
        self.ledger = HallLedger::new(&self.topology);
        let unlisted_health = &mut self.unlisted_health;
        let known =
            |it: &WorkerSpec| unlisted_health.remove(&it.name).unwrap_or_else(WorkerHealth::new);
        self.health = self.topology.workers.iter().map(known).collect();
        self.reported_states = vec![model::WorkerState::Lost; self.health.len()];
        for (index, health) in old_health.into_iter().enumerate() {
            if moved[index] != NONE {
                self.reported_states[moved[index] as usize] = health.state(self.now);
                self.health[moved[index] as usize] = health;
            } else {
                self.unlisted_health.insert(old.workers[index].name.clone(), health);
            }
        }
        self.rebook_moved(&old, &moved);
    }

    /// Books everything that is held on the new layout.
    fn rebook_moved(&mut self, old: &HallTopology, moved: &[u32]) {
        let all: Vec<u32> = self.items.iter().map(|(index, _)| index).collect();
        for index in all {
            let topology = &self.topology;
            let item = self.items.at_mut(index);
            let there = |it: &u32| moved.get(*it as usize).copied().filter(|it| *it != NONE);
            item.exclude = item.exclude.iter().filter_map(there).collect();
            item.failed_on = item.failed_on.iter().filter_map(there).collect();
            if !item.state.holds_accelerators() {
                continue;
            }
            for task in &mut item.tasks {
                let from = old.workers[task.worker as usize].first_accelerator;
                task.worker = moved[task.worker as usize];
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

    /// Books running work by the rules in force now.
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

    /// Changes how held work is booked.
    pub(crate) fn rebook(&mut self, index: u32, booking: Booking) {
        let item = self.items.at_mut(index);
        let usage = Usage::of(&item.work.demand);
        self.ledger.rebook(&item.tasks, usage, item.booking, booking);
        item.booking = booking;
    }

    /// Notes that work may fit that did not before.
    pub(crate) fn note_capacity_change(&mut self) {
        self.capacity_version += 1;
        self.changed_since_round = true;
    }

    /// Looks at an item again at a time.
    pub(crate) fn set_timer(&mut self, at: time::WallTime, kind: TimerKind, item: u32) {
        let generation = if item == NONE { 0 } else { self.items.generation(item) };
        self.timers.set(TimerEntry { at, kind, item, generation });
    }

    /// Items known, waiting items, and pairs with learned run times.
    pub fn sizes(&self) -> CoreSizes {
        CoreSizes {
            items: self.items.len(),
            waiting: self.queue.len(),
            estimates: self.estimates.len(),
        }
    }
}

/// How much the core holds, for metrics and for the proof that it is bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreSizes {
    /// Requests and jobs.
    pub items: usize,
    /// Those that wait.
    pub waiting: usize,
    /// Pairs of account and class with learned run times.
    pub estimates: usize,
}

fn find_hall<'a>(
    config: &'a model::ConfigDocument,
    hall: &ids::HallName,
) -> Result<&'a model::HallLayout, hall_policy::PolicyFault> {
    let found = config.halls.iter().find(|it| it.name == *hall);
    found.ok_or_else(|| hall_policy::PolicyFault::UnknownHall(hall.clone()))
}
