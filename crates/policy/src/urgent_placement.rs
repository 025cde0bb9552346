//! What urgent work may take from others.

use crate::core::HallCore;
use crate::item::{ItemState, ReservationKind};
use crate::ledger::Usage;
use crate::placement::PlacementRule;
use crate::placement_rules::FreeCapacityRule;
use crate::topology::NONE;

/// Free accelerators, and those of repeatable jobs of lower priority above their guarantee.
pub(crate) struct UrgentRule<'a> {
    open: FreeCapacityRule<'a>,
    priority: u8,
}

impl<'a> UrgentRule<'a> {
    pub(crate) fn new(core: &'a HallCore, index: u32) -> UrgentRule<'a> {
        let class = core.items.at(index).class as usize;
        UrgentRule {
            open: FreeCapacityRule::new(core, index),
            priority: core.catalog.classes[class].priority,
        }
    }

    fn takes(&self, holder: u32) -> bool {
        let core = self.open.core;
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
        let core = self.open.core;
        let at = accelerator as usize;
        let worker = core.topology.worker_of[at];
        let reserved = core.ledger.reserved_for[at];
        let clearing = ItemState::Reserved(ReservationKind::Gang);
        core.health[worker as usize].accepts_new_work(core.now)
            && !self.open.exclude.contains(&worker)
            && (!self.open.non_reclaimable || core.ledger.home[at] == NONE)
            && (reserved == NONE
                || core.items.at(reserved).state == clearing && !core.is_overdue(reserved))
            && (core.ledger.holder[at] == NONE || self.takes(core.ledger.holder[at]))
    }

    fn task_capacity(&self, worker: u32) -> u32 {
        let core = self.open.core;
        if !core.health[worker as usize].accepts_new_work(core.now) {
            return 0;
        }
        let book = &core.ledger.workers[worker as usize];
        let mut items = book.items.clone();
        items.sort_unstable();
        let mut free: Usage = book.free.minus(book.reserved);
        for it in items.into_iter().filter(|it| self.takes(*it)) {
            free.add(core.usage_of(it));
        }
        let room = free.max_tasks(self.open.usage);
        if !self.open.non_reclaimable {
            return room;
        }
        room.min(
            core.ledger.free_for_non_reclaimable(worker, &core.topology).max_tasks(self.open.usage),
        )
    }

    fn penalty(&self, accelerator: u32) -> u32 {
        self.open.penalty(accelerator)
    }

    fn cpu_only_rank(&self, worker: u32) -> i64 {
        self.open.cpu_only_rank(worker)
    }
}
