//! The order of waiting work, and what starts now.
//!
//! Urgent work first; then by priority, raised by one for each ageing step waited; then the account
//! with the least dominant share above its guarantee; then the eldest.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use almondpass_schema::{model, time};

use crate::core::HallCore;
use crate::item::{QueueItem, ReservationKind};
use crate::ledger::{Booking, PlacedTask};
use crate::placement::{self, PlacementRequest};
use crate::placement_rules::FreeCapacityRule;
use crate::queue::{GroupKey, QueueEntry, QueueGroup};
use crate::reasons;
use crate::reclaim;
use crate::timers::TimerKind;
use crate::topology::NONE;

/// Ageing raises work up to this priority; urgent work stays before it.
const HIGHEST_LEVEL: u64 = 9;
/// Accelerators and workers looked at in one turn; bounds its time.
const STEPS_A_TURN: usize = 200_000;
/// Starts decided in one turn.
const STARTS_A_TURN: usize = 112;
/// Urgent work waits for runs to end by themselves for this part of its start bound.
const URGENT_PATIENCE: u32 = 4;
/// Elder work of a group that excludes workers may fail to fit where the next would.
const TRIES_A_GROUP: usize = 4;

/// Place of a group in the order; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupRank {
    not_urgent: bool,
    aged_priority: Reverse<u64>,
    share: u32,
    eldest: QueueEntry,
}

impl HallCore {
    /// Priority with ageing.
    pub(crate) fn aged_priority(&self, item: &QueueItem, priority: u8) -> u64 {
        let waited = self.now.since(item.work.submitted_at);
        let steps = waited.as_millis() / self.parameters.ageing_step.as_millis().max(1);
        (u64::from(priority) + steps as u64).min(HIGHEST_LEVEL.max(u64::from(priority)))
    }

    fn rank(&self, group: u32) -> Option<GroupRank> {
        let group = self.queue.group(group)?;
        let eldest = *group.entries.first()?;
        let rule = &self.catalog.classes[group.key.class as usize];
        let item = self.items.at(eldest.item);
        Some(GroupRank {
            not_urgent: !rule.urgent,
            aged_priority: Reverse(self.aged_priority(item, rule.priority)),
            share: self.account_usage[group.key.account as usize].dominant_share(&self.capacity),
            eldest,
        })
    }

    /// Groups in order, as of now.
    pub(crate) fn ranked_groups(&self, filter: impl Fn(&HallCore, &GroupKey) -> bool) -> Vec<u32> {
        let mut ranked: Vec<(GroupRank, u32)> = self
            .queue
            .active_groups()
            .filter(|it| self.queue.group(*it).is_some_and(|group| filter(self, &group.key)))
            .filter_map(|it| Some((self.rank(it)?, it)))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, it)| it).collect()
    }

    /// Starts what fits, in order, within the bound of a turn.
    pub(crate) fn dispatch(&mut self) {
        let fresh = |it: &u32| {
            self.queue
                .group(*it)
                .is_some_and(|group| group.blocked_at_version != Some(self.capacity_version))
        };
        let mut heap: BinaryHeap<Reverse<(GroupRank, u32)>> = self
            .queue
            .active_groups()
            .filter(fresh)
            .filter_map(|it| Some(Reverse((self.rank(it)?, it))))
            .collect();
        let step = self.topology.worker_of.len() + self.topology.workers.len() + 1;
        let mut steps = 0;
        let mut starts = 0;
        while let Some(Reverse((rank, group))) = heap.pop() {
            if STEPS_A_TURN <= steps || STARTS_A_TURN <= starts {
                self.budget_exhausted = true;
                return;
            }
            // Shares grow with each start of the turn.
            let Some(now) = self.rank(group) else { continue };
            if rank < now {
                heap.push(Reverse((now, group)));
                continue;
            }
            steps += step;
            if self.try_group(group) {
                starts += 1;
                if let Some(now) = self.rank(group) {
                    heap.push(Reverse((now, group)));
                }
            }
        }
    }

    /// Starts one of a group, or notes why it waits.
    fn try_group(&mut self, group: u32) -> bool {
        let Some(it) = self.queue.group(group) else { return false };
        let entries: Vec<QueueEntry> = it.entries.iter().copied().take(TRIES_A_GROUP).collect();
        let urgent = self.catalog.classes[it.key.class as usize].urgent;
        let mut code = model::WaitCode::NoCapacity;
        for entry in entries {
            match self.ineligibility(entry.item) {
                Some(it) => code = it,
                None if self.start_unguaranteed(entry.item) => return true,
                None if self.lend(entry.item) => return true,
                None if urgent && self.opens_soon(entry.item) => {}
                None if urgent && self.reclaim_urgent(entry.item) => return true,
                None => {
                    code = self.blocked_by(entry.item);
                    let hard = self.booking_of(entry.item) == Booking::NonReclaimable;
                    if hard && !self.homes.is_empty() || self.limited_to_home_blocks(entry.item) {
                        self.retry_soon();
                    }
                }
            }
            if self.items.at(entry.item).exclude.is_empty() {
                break;
            }
        }
        if self.gives_up(group) {
            return true;
        }
        let version = self.capacity_version;
        if let Some(it) = self.queue.group_mut(group) {
            it.blocked_at_version = Some(version);
            it.wait_code = code;
        }
        false
    }

    /// Ends the eldest of a group that the hall can't run any more since the configuration changed;
    /// it would wait for ever.
    fn gives_up(&mut self, group: u32) -> bool {
        let number = self.config_number;
        let Some(it) = self.queue.group_mut(group) else { return false };
        if it.feasible_in_config == number {
            return false;
        }
        let Some(entry) = it.entries.first().copied() else { return false };
        let refusal = self.check_admission(&self.items.at(entry.item).work).err();
        match refusal {
            Some(reason) if reason.code == model::WaitCode::NeverFits => {
                self.finish_unplaced(entry.item, reason);
                true
            }
            _ => {
                if let Some(it) = self.queue.group_mut(group) {
                    it.feasible_in_config = number;
                }
                false
            }
        }
    }

    /// Why work may not start whatever is free.
    pub(crate) fn ineligibility(&self, index: u32) -> Option<model::WaitCode> {
        let item = self.items.at(index);
        let rule = &self.catalog.classes[item.class as usize];
        let account = &self.catalog.accounts[item.account as usize];
        let uses = &self.account_usage[item.account as usize];
        if !rule.known {
            return Some(model::WaitCode::UnknownClass);
        }
        if !account.known {
            return Some(model::WaitCode::UnknownAccount);
        }
        if rule.upstream_drained || !rule.upstream_in_hall {
            return Some(model::WaitCode::UpstreamUnavailable);
        }
        let above = account
            .max_accelerators
            .is_some_and(|it| it < uses.accelerators + item.n_accelerators());
        let many = rule.is_request && account.max_running_requests <= uses.running_requests;
        (above || many).then_some(model::WaitCode::AccountLimit)
    }

    /// Starts work in free capacity above the guarantee.
    pub(crate) fn start_unguaranteed(&mut self, index: u32) -> bool {
        let request = PlacementRequest::of(&self.items.at(index).work);
        let rule = FreeCapacityRule::new(self, index);
        let Some(tasks) = placement::best(&self.topology, &request, &rule) else { return false };
        let reason = self.start_reason(&tasks);
        self.dequeue(index);
        self.start(index, tasks, None, reason);
        true
    }

    pub(crate) fn start_reason(&self, tasks: &[PlacedTask]) -> model::WaitReason {
        let first = &self.topology.workers[tasks[0].worker as usize].name;
        let mut workers: Vec<u32> = tasks.iter().map(|it| it.worker).collect();
        workers.dedup();
        let text = match workers.len() {
            1 => format!("fits on {first}"),
            n => format!("fits on {} from {first}", reasons::count(n, "worker")),
        };
        reasons::plain(model::WaitCode::Queued, text)
    }

    /// The nearest reason for which free capacity does not do.
    fn blocked_by(&self, index: u32) -> model::WaitCode {
        let item = self.items.at(index);
        if self.booking_of(index) == Booking::NonReclaimable && self.fits_in_homes(index) {
            return model::WaitCode::GuaranteeKept;
        }
        let kept = self.limited_to_home_blocks(index) || !self.reserved_items.is_empty();
        if kept && self.fits_in_blocks(index) {
            return model::WaitCode::ClearingBlock;
        }
        if 1 < item.work.tasks && item.work.adjacency != model::Adjacency::Any {
            return model::WaitCode::Adjacency;
        }
        model::WaitCode::NoCapacity
    }

    /// Whether work that can't be reclaimed would fit if home blocks were open to it.
    fn fits_in_homes(&self, index: u32) -> bool {
        let request = PlacementRequest::of(&self.items.at(index).work);
        let rule = FreeCapacityRule {
            non_reclaimable: false,
            home_blocks_only: false,
            ..FreeCapacityRule::new(self, index)
        };
        placement::best(&self.topology, &request, &rule).is_some()
    }

    /// Whether work would fit if reserved places were open to it.
    fn fits_in_blocks(&self, index: u32) -> bool {
        let request = PlacementRequest::of(&self.items.at(index).work);
        let rule = FreeCapacityRule {
            respects_reservations: false,
            home_blocks_only: false,
            ..FreeCapacityRule::new(self, index)
        };
        placement::best(&self.topology, &request, &rule).is_some()
    }

    /// Whether enough accelerators are expected to be free within a part of the urgent start bound
    /// for all urgent work that waits. Short runs end all the time; stopping a long one for each
    /// piece of a burst would lose much work for nothing.
    fn opens_soon(&mut self, index: u32) -> bool {
        let patience =
            self.submitted_at(index) + self.parameters.urgent_start_bound / URGENT_PATIENCE;
        if patience <= self.now || 1 < self.items.at(index).n_accelerators() {
            return false;
        }
        let ends = |holder: &u32| self.expected_end(self.items.at(*holder)) <= patience;
        let holders = self.ledger.holder.iter().filter(|it| **it != NONE);
        let n_opening = holders.filter(|it| ends(it)).count();
        let urgent = |it: &QueueGroup| self.catalog.classes[it.key.class as usize].urgent;
        let groups = self.queue.active_groups().filter_map(|it| self.queue.group(it));
        let n_waiting: usize = groups.filter(|it| urgent(it)).map(|it| it.entries.len()).sum();
        if n_opening < n_waiting {
            return false;
        }
        self.set_timer(patience, TimerKind::WaitOver, NONE);
        true
    }

    /// Makes room for work that may not run in home blocks, by moving one.
    fn lend(&mut self, index: u32) -> bool {
        if self.booking_of(index) != Booking::NonReclaimable {
            return false;
        }
        self.relocate_idle_home() && self.start_unguaranteed(index)
            || self.restore_canonical_blocks() && self.start_unguaranteed(index)
    }

    /// Reserves a place for urgent work whose holders are repeatable, of lower priority and above
    /// their guarantee, where nothing opens by itself in time.
    fn reclaim_urgent(&mut self, index: u32) -> bool {
        let request = PlacementRequest::of(&self.items.at(index).work);
        if request.accelerators_per_task == 0 {
            return false;
        }
        let rule = crate::urgent_placement::UrgentRule::new(self, index);
        let starts: Vec<u32> = (0..self.topology.n_accelerators()).collect();
        let grace = self.parameters.urgent_grace();
        let Some(tasks) = reclaim::cheapest_placement(self, &request, &rule, &starts, grace) else {
            return false;
        };
        self.dequeue(index);
        self.reserve(index, tasks, ReservationKind::Urgent, None);
        self.preempt_holders(index, ReservationKind::Urgent);
        true
    }

    /// How long work of a group has waited at most.
    pub(crate) fn wait_time(&self, index: u32) -> std::time::Duration {
        self.now.since(self.items.at(index).work.submitted_at)
    }

    /// When work was submitted.
    pub(crate) fn submitted_at(&self, index: u32) -> time::WallTime {
        self.items.at(index).work.submitted_at
    }
}
