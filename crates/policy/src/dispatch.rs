//! The order of waiting work, and the start of work that fits.
//!
//! Urgent work goes first. Then work is ordered by priority, which rises by one for each ageing step
//! waited; then by account, the least dominant share above the guarantee first; then by age.

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

/// Highest priority that ageing gives. Urgent work goes before it.
const HIGHEST_AGED_PRIORITY: u64 = 9;
/// Bound on the accelerators and workers examined by the searches of one round, which bounds its
/// duration.
const MAX_STEPS_PER_ROUND: usize = 200_000;
/// Bound on the starts decided in one round.
const MAX_STARTS_PER_ROUND: usize = 112;
/// Divisor of the urgent start bound. Gives the time for which urgent work waits for runs to end by
/// themselves.
const URGENT_WAIT_DIVISOR: u32 = 4;
/// Items of a group that are tried before the group counts as blocked: an older item that excludes
/// workers may not fit where the next one does.
const MAX_TRIES_PER_GROUP: usize = 4;

/// Sort key of a group; the group with the least rank goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupRank {
    not_urgent: bool,
    aged_priority: Reverse<u64>,
    share: u32,
    oldest: QueueEntry,
}

impl HallCore {
    /// Priority of an item, raised by one for each ageing step that the item has waited.
    pub(crate) fn aged_priority(&self, item: &QueueItem, priority: u8) -> u64 {
        let waited = self.now.since(item.work.submitted_at);
        let steps = waited.as_millis() / self.parameters.ageing_step.as_millis().max(1);
        (u64::from(priority) + steps as u64).min(HIGHEST_AGED_PRIORITY.max(u64::from(priority)))
    }

    fn rank(&self, group: u32) -> Option<GroupRank> {
        let group = self.queue.group(group)?;
        let oldest = *group.entries.first()?;
        let rule = &self.catalog.classes[group.key.class as usize];
        let item = self.items.at(oldest.item);
        Some(GroupRank {
            not_urgent: !rule.urgent,
            aged_priority: Reverse(self.aged_priority(item, rule.priority)),
            share: self.account_usage[group.key.account as usize].dominant_share(&self.capacity),
            oldest,
        })
    }

    /// Groups that pass the filter, in the order in which they go now.
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

    /// Starts the work that fits, in order, within the bounds of a round.
    pub(crate) fn dispatch(&mut self) {
        let untried = |it: &u32| {
            self.queue
                .group(*it)
                .is_some_and(|group| group.blocked_at_version != Some(self.capacity_version))
        };
        let mut heap: BinaryHeap<Reverse<(GroupRank, u32)>> = self
            .queue
            .active_groups()
            .filter(untried)
            .filter_map(|it| Some(Reverse((self.rank(it)?, it))))
            .collect();
        let steps_per_search = self.topology.worker_of.len() + self.topology.workers.len() + 1;
        let mut steps = 0;
        let mut starts = 0;
        while let Some(Reverse((rank, group))) = heap.pop() {
            if MAX_STEPS_PER_ROUND <= steps || MAX_STARTS_PER_ROUND <= starts {
                self.budget_exhausted = true;
                return;
            }
            // Each start raises the share of its account, so that groups of the account rank lower.
            let Some(current) = self.rank(group) else { continue };
            if rank < current {
                heap.push(Reverse((current, group)));
                continue;
            }
            steps += steps_per_search;
            if self.try_group(group) {
                starts += 1;
                if let Some(current) = self.rank(group) {
                    heap.push(Reverse((current, group)));
                }
            }
        }
    }

    /// Starts one item of a group, or ends it if the hall can no longer run it, or records why the
    /// group waits. Returns whether an item left the group.
    fn try_group(&mut self, group: u32) -> bool {
        let Some(it) = self.queue.group(group) else { return false };
        let entries: Vec<QueueEntry> =
            it.entries.iter().copied().take(MAX_TRIES_PER_GROUP).collect();
        let urgent = self.catalog.classes[it.key.class as usize].urgent;
        let mut code = model::WaitCode::NoCapacity;
        for entry in entries {
            match self.ineligibility(entry.item) {
                Some(it) => code = it,
                None if self.start_unguaranteed(entry.item) => return true,
                None if self.start_after_home_relocation(entry.item) => return true,
                None if urgent && self.can_await_free_accelerator(entry.item) => {}
                None if urgent && self.reserve_urgent(entry.item) => return true,
                None => {
                    code = self.blocking_reason(entry.item);
                    let non_reclaimable = self.booking_of(entry.item) == Booking::NonReclaimable;
                    if non_reclaimable && !self.homes.is_empty()
                        || self.limited_to_home_blocks(entry.item)
                    {
                        self.retry_soon();
                    }
                }
            }
            if self.items.at(entry.item).exclude.is_empty() {
                break;
            }
        }
        if self.end_infeasible(group) {
            return true;
        }
        let version = self.capacity_version;
        if let Some(it) = self.queue.group_mut(group) {
            it.blocked_at_version = Some(version);
            it.wait_code = code;
        }
        false
    }

    /// Ends the oldest item of a group if a new configuration has left the hall unable to run it: the
    /// item would wait for ever. Checked once for each configuration.
    fn end_infeasible(&mut self, group: u32) -> bool {
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

    /// Why an item may not start regardless of free capacity: its class or account is unknown, its
    /// upstream is unavailable, or its account is at a limit.
    pub(crate) fn ineligibility(&self, index: u32) -> Option<model::WaitCode> {
        let item = self.items.at(index);
        let rule = &self.catalog.classes[item.class as usize];
        let account = &self.catalog.accounts[item.account as usize];
        let usage = &self.account_usage[item.account as usize];
        if !rule.known {
            return Some(model::WaitCode::UnknownClass);
        }
        if !account.known {
            return Some(model::WaitCode::UnknownAccount);
        }
        if rule.upstream_drained || !rule.upstream_in_hall {
            return Some(model::WaitCode::UpstreamUnavailable);
        }
        let over_accelerators = account
            .max_accelerators
            .is_some_and(|it| it < usage.accelerators + item.n_accelerators());
        let over_requests =
            rule.is_request && account.max_running_requests <= usage.running_requests;
        (over_accelerators || over_requests).then_some(model::WaitCode::AccountLimit)
    }

    /// Starts an item in free capacity without claiming a guarantee. Returns whether it was started.
    pub(crate) fn start_unguaranteed(&mut self, index: u32) -> bool {
        let request = PlacementRequest::of(&self.items.at(index).work);
        let rule = FreeCapacityRule::new(self, index);
        let Some(tasks) = placement::best(&self.topology, &request, &rule) else { return false };
        let reason = self.start_reason(&tasks);
        self.dequeue(index);
        self.start(index, tasks, None, reason);
        true
    }

    /// The reason given with a start: the workers that the tasks were placed on.
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

    /// The most specific reason why an item does not fit into the free capacity.
    fn blocking_reason(&self, index: u32) -> model::WaitCode {
        let item = self.items.at(index);
        if self.booking_of(index) == Booking::NonReclaimable && self.fits_with_home_blocks(index) {
            return model::WaitCode::GuaranteeKept;
        }
        let capacity_kept = self.limited_to_home_blocks(index) || !self.reserved_items.is_empty();
        if capacity_kept && self.fits_in_reserved_blocks(index) {
            return model::WaitCode::ClearingBlock;
        }
        if 1 < item.work.tasks && item.work.adjacency != model::Adjacency::Any {
            return model::WaitCode::Adjacency;
        }
        model::WaitCode::NoCapacity
    }

    /// Whether a non-reclaimable item would fit if it were allowed to run in home blocks.
    fn fits_with_home_blocks(&self, index: u32) -> bool {
        let request = PlacementRequest::of(&self.items.at(index).work);
        let rule = FreeCapacityRule {
            non_reclaimable: false,
            home_blocks_only: false,
            ..FreeCapacityRule::new(self, index)
        };
        placement::best(&self.topology, &request, &rule).is_some()
    }

    /// Whether an item would fit if it were allowed to run on accelerators reserved for others.
    fn fits_in_reserved_blocks(&self, index: u32) -> bool {
        let request = PlacementRequest::of(&self.items.at(index).work);
        let rule = FreeCapacityRule {
            respects_reservations: false,
            home_blocks_only: false,
            ..FreeCapacityRule::new(self, index)
        };
        placement::best(&self.topology, &request, &rule).is_some()
    }

    /// Whether an urgent item of at most one accelerator can wait for a run to end instead of
    /// preempting one: within a part of the urgent start bound, enough accelerators are expected to
    /// become free for all urgent work that waits. Short runs end all the time, so that stopping a
    /// long run for each item of a burst would lose much work for nothing. If the item can wait, a
    /// timer is set for the end of that time.
    fn can_await_free_accelerator(&mut self, index: u32) -> bool {
        let wait_until =
            self.submitted_at(index) + self.parameters.urgent_start_bound / URGENT_WAIT_DIVISOR;
        if wait_until <= self.now || 1 < self.items.at(index).n_accelerators() {
            return false;
        }
        let ends_in_time = |holder: &u32| self.expected_end(self.items.at(*holder)) <= wait_until;
        let holders = self.ledger.holder.iter().filter(|it| **it != NONE);
        let n_freed = holders.filter(|it| ends_in_time(it)).count();
        let urgent = |it: &QueueGroup| self.catalog.classes[it.key.class as usize].urgent;
        let groups = self.queue.active_groups().filter_map(|it| self.queue.group(it));
        let n_waiting: usize = groups.filter(|it| urgent(it)).map(|it| it.entries.len()).sum();
        if n_freed < n_waiting {
            return false;
        }
        self.set_timer(wait_until, TimerKind::WaitOver, NONE);
        true
    }

    /// Tries to start a non-reclaimable item, which may not run in home blocks, after one home was
    /// relocated, or else after all unclaimed homes were moved back to their canonical blocks. Returns
    /// whether the item was started.
    fn start_after_home_relocation(&mut self, index: u32) -> bool {
        if self.booking_of(index) != Booking::NonReclaimable {
            return false;
        }
        self.relocate_idle_home() && self.start_unguaranteed(index)
            || self.restore_canonical_blocks() && self.start_unguaranteed(index)
    }

    /// Reserves accelerators for an urgent item and preempts the work that holds them. The victims are
    /// repeatable, of lower priority and outside their guarantee. For use where no run is expected to
    /// end in time. Returns whether a placement was found.
    fn reserve_urgent(&mut self, index: u32) -> bool {
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

    /// How long an item has waited since it was submitted.
    pub(crate) fn wait_time(&self, index: u32) -> std::time::Duration {
        self.now.since(self.items.at(index).work.submitted_at)
    }

    /// When an item was submitted; a requeued item keeps its time.
    pub(crate) fn submitted_at(&self, index: u32) -> time::WallTime {
        self.items.at(index).work.submitted_at
    }
}
