//! Placement rule of urgent work: free capacity, and what it may preempt.

use crate::core::HallCore;
use crate::item::{ItemState, ReservationKind};
use crate::ledger::Usage;
use crate::placement::PlacementRule;
use crate::placement_rules::FreeCapacityRule;
use crate::topology::NONE;

/// Allows free accelerators, those held by repeatable jobs that have lower priority, claim no guarantee and
/// are not urgent themselves, and those reserved for a gang that is not past its wait bound.
pub(crate) struct UrgentRule<'a> {
    free_capacity: FreeCapacityRule<'a>,
    priority: u8,
}

impl<'a> UrgentRule<'a> {
    pub(crate) fn new(core: &'a HallCore, index: u32) -> UrgentRule<'a> {
        let class = core.items.at(index).class as usize;
        UrgentRule {
            free_capacity: FreeCapacityRule::new(core, index),
            priority: core.catalog.classes[class].priority,
        }
    }

    fn can_preempt(&self, holder: u32) -> bool {
        let core = self.free_capacity.core;
        let item = core.items.at(holder);
        let rule = &core.catalog.classes[item.class as usize];
        let running = matches!(item.state, ItemState::Starting | ItemState::Running);
        running
            && item.claimed_home.is_none()
            && !rule.is_request
            && rule.repeatable
            && !rule.urgent
            && rule.priority < self.priority
    }
}

impl PlacementRule for UrgentRule<'_> {
    fn allows_accelerator(&self, accelerator: u32) -> bool {
        let core = self.free_capacity.core;
        let at = accelerator as usize;
        let worker = core.topology.worker_of[at];
        let reserved_for = core.ledger.reserved_for[at];
        let gang_reservation = ItemState::Reserved(ReservationKind::Gang);
        core.health[worker as usize].accepts_new_work(core.now)
            && !self.free_capacity.exclude.contains(&worker)
            && (!self.free_capacity.non_reclaimable || core.ledger.home[at] == NONE)
            && (reserved_for == NONE
                || core.items.at(reserved_for).state == gang_reservation
                    && !core.is_overdue(reserved_for))
            && (core.ledger.holder[at] == NONE || self.can_preempt(core.ledger.holder[at]))
    }

    fn task_capacity(&self, worker: u32) -> u32 {
        let core = self.free_capacity.core;
        if !core.health[worker as usize].accepts_new_work(core.now) {
            return 0;
        }
        let ledger = &core.ledger.workers[worker as usize];
        let mut items = ledger.items.clone();
        items.sort_unstable();
        let mut free: Usage = ledger.free.minus(ledger.reserved);
        for it in items.into_iter().filter(|it| self.can_preempt(*it)) {
            free.add(core.usage_of(it));
        }
        let n_tasks = free.max_tasks(self.free_capacity.usage);
        if !self.free_capacity.non_reclaimable {
            return n_tasks;
        }
        n_tasks.min(
            core.ledger
                .free_for_non_reclaimable(worker, &core.topology)
                .max_tasks(self.free_capacity.usage),
        )
    }

    fn penalty(&self, accelerator: u32) -> u32 {
        self.free_capacity.penalty(accelerator)
    }

    fn cpu_only_rank(&self, worker: u32) -> i64 {
        self.free_capacity.cpu_only_rank(worker)
    }
}
