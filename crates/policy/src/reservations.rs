//! Reservations: accelerators and worker resources that are kept for a waiting item until their current
//! holders have ended or were stopped.

use almondpass_schema::{model, time};

use crate::core::HallCore;
use crate::item::{ItemState, ReservationKind};
use crate::ledger::{Booking, PlacedTask, Usage};
use crate::reasons;
use crate::topology::NONE;

impl HallCore {
    /// Reserves accelerators and worker resources for an item that is in no queue. Reservations of other
    /// items that overlap are cancelled and their items queued again; the caller has checked that
    /// those items have less precedence. `claimed_home` is the home whose guarantee the item claims.
    pub(crate) fn reserve(
        &mut self,
        index: u32,
        tasks: Vec<PlacedTask>,
        kind: ReservationKind,
        claimed_home: Option<u32>,
    ) {
        let mut overlapping: Vec<u32> = tasks
            .iter()
            .flat_map(|it| &it.accelerators)
            .map(|it| self.ledger.reserved_for[*it as usize])
            .filter(|it| *it != NONE)
            .collect();
        if kind == ReservationKind::Gang {
            // A gang of CPU-only tasks shares its workers with no other reservation.
            let cpu_only = tasks.iter().filter(|it| it.accelerators.is_empty());
            let reservations =
                |it: &PlacedTask| self.ledger.workers[it.worker as usize].reservations.clone();
            overlapping.extend(cpu_only.flat_map(reservations));
        }
        overlapping.sort_unstable();
        overlapping.dedup();
        for it in overlapping {
            self.unreserve_and_enqueue(it);
        }
        let usage = self.usage_of(index);
        self.ledger.reserve(index, &tasks, usage);
        let expected_free_at = self.expected_free_at(index, &tasks);
        let now = self.now;
        let item = self.items.at_mut(index);
        item.tasks = tasks;
        item.state = ItemState::Reserved(kind);
        item.state_since = now;
        item.expected_free_at = expected_free_at;
        self.reserved_items.insert(index);
        if let Some(home) = claimed_home {
            self.attach_claim(index, home);
        }
        self.reservation_check_version = 0;
    }

    /// Cancels the item's reservation and detaches its claim; the item is then in no queue.
    pub(crate) fn unreserve(&mut self, index: u32) {
        self.detach_claim(index);
        let usage = self.usage_of(index);
        let tasks = std::mem::take(&mut self.items.at_mut(index).tasks);
        self.ledger.unreserve(index, &tasks, usage);
        self.reserved_items.remove(&index);
        self.note_capacity_change();
    }

    /// Cancels the item's reservation and queues the item again.
    pub(crate) fn unreserve_and_enqueue(&mut self, index: u32) {
        self.unreserve(index);
        self.enqueue(index);
    }

    /// When the accelerators, cores, memory and slots of `tasks` are expected to be free for the item: when
    /// the last of their current holders is expected to end.
    pub(crate) fn expected_free_at(&self, index: u32, tasks: &[PlacedTask]) -> time::WallTime {
        let holder = |it: &u32| self.ledger.holder[*it as usize];
        let mut latest = self.now;
        let mut last = NONE;
        for it in tasks.iter().flat_map(|it| &it.accelerators).map(holder) {
            if it != NONE && it != last && it != index {
                latest = latest.max(self.expected_end(self.items.at(it)));
                last = it;
            }
        }
        for (worker, worker_tasks) in tasks_by_worker(tasks) {
            let needed = self.usage_of(index).times(worker_tasks.len() as u32);
            latest = latest.max(self.worker_free_at(worker, needed));
        }
        latest
    }

    /// When a worker is expected to have `needed` cores, memory and slots free. If the ends of all items
    /// there don't free enough, the result is `max_run_time` of the gang wait bound from now.
    pub(crate) fn worker_free_at(&self, worker: u32, needed: Usage) -> time::WallTime {
        let ledger = &self.ledger.workers[worker as usize];
        let mut free = ledger.free;
        if free.covers(needed) {
            return self.now;
        }
        let end = |it: &u32| (self.expected_end(self.items.at(*it)), *it);
        let mut ends: Vec<(time::WallTime, u32)> = ledger.items.iter().map(end).collect();
        ends.sort_unstable();
        for (at, holder) in ends {
            free.add(self.usage_of(holder));
            if free.covers(needed) {
                return at;
            }
        }
        self.now + self.parameters.max_run_time(self.parameters.gang_wait)
    }

    /// Starts the items whose reserved resources are all free. Of the others, reservations that may no longer
    /// be used are cancelled, gang reservations are refreshed, and holders are preempted for claims and
    /// urgent items. Does nothing if no capacity has changed since the last call.
    pub(crate) fn check_reservations(&mut self) {
        if self.reservation_check_version == self.capacity_version {
            return;
        }
        self.reservation_check_version = self.capacity_version;
        let all: Vec<u32> = self.reserved_items.iter().copied().collect();
        for index in all {
            // An item handled earlier in this loop may have cancelled this reservation.
            if self.reserved_items.contains(&index) {
                self.check_reservation(index);
            }
        }
    }

    fn check_reservation(&mut self, index: u32) {
        let tasks = self.items.at(index).tasks.clone();
        let usable = |it: &PlacedTask| self.health[it.worker as usize].usable();
        if !tasks.iter().all(usable) || !self.avoids_home_blocks(index, &tasks) {
            self.unreserve_and_enqueue(index);
            return;
        }
        let ItemState::Reserved(kind) = self.items.at(index).state else { return };
        if self.reserved_resources_are_free(index, &tasks)
            && self.leaves_home_resources(index, &tasks)
        {
            self.start_reserved(index, kind);
        } else if kind == ReservationKind::Gang {
            self.refresh_gang_reservation(index);
        } else {
            self.preempt_holders(index, kind);
        }
    }

    /// Whether a non-reclaimable item would still start outside all home blocks. A home block may have been
    /// relocated onto reserved accelerators; if the item started there, the guarantee would be
    /// unavailable for its whole run.
    fn avoids_home_blocks(&self, index: u32, tasks: &[PlacedTask]) -> bool {
        if self.items.at(index).claimed_home.is_some()
            || self.booking_of(index) != Booking::NonReclaimable
        {
            return true;
        }
        let outside = |it: &u32| self.ledger.home[*it as usize] == NONE;
        let usage = self.usage_of(index);
        tasks.iter().flat_map(|it| &it.accelerators).all(outside)
            && tasks_by_worker(tasks).all(|(worker, worker_tasks)| {
                // The current holders will have ended when the item starts. If they were counted here,
                // the reservation would be cancelled and made again in every round.
                let available = self.ledger.capacity_for_non_reclaimable(worker, &self.topology);
                available.covers(usage.times(worker_tasks.len() as u32))
            })
    }

    /// Whether a non-reclaimable item, together with the non-reclaimable work that runs on each of its
    /// workers, leaves the cores, memory and slots of the home blocks there.
    fn leaves_home_resources(&self, index: u32, tasks: &[PlacedTask]) -> bool {
        if self.items.at(index).claimed_home.is_some()
            || self.booking_of(index) != Booking::NonReclaimable
        {
            return true;
        }
        let usage = self.usage_of(index);
        tasks_by_worker(tasks).all(|(worker, worker_tasks)| {
            let available = self.ledger.free_for_non_reclaimable(worker, &self.topology);
            available.covers(usage.times(worker_tasks.len() as u32))
        })
    }

    /// Whether every accelerator of `tasks` is free, and the cores, memory and slots on their workers.
    fn reserved_resources_are_free(&self, index: u32, tasks: &[PlacedTask]) -> bool {
        let usage = self.usage_of(index);
        let free = |it: &u32| self.ledger.holder[*it as usize] == NONE;
        tasks_by_worker(tasks).all(|(worker, worker_tasks)| {
            let needed = usage.times(worker_tasks.len() as u32);
            worker_tasks.iter().flat_map(|it| &it.accelerators).all(free)
                && self.ledger.workers[worker as usize].free.covers(needed)
        })
    }

    fn start_reserved(&mut self, index: u32, kind: ReservationKind) {
        let claimed_home = self.items.at(index).claimed_home;
        let tasks = self.items.at(index).tasks.clone();
        self.unreserve(index);
        let reason = match (kind, claimed_home) {
            (ReservationKind::Claim, Some(home)) => self.claim_reason(home, "was reclaimed"),
            (ReservationKind::Urgent, _) => {
                reasons::plain(model::WaitCode::Reclaiming, "urgent: its place was reclaimed")
            }
            _ => reasons::plain(model::WaitCode::ClearingBlock, "the block cleared for it is free"),
        };
        self.start(index, tasks, claimed_home, reason);
    }
}

/// Groups tasks by worker. Tasks of the same worker must be adjacent in `tasks`.
pub(crate) fn tasks_by_worker(tasks: &[PlacedTask]) -> impl Iterator<Item = (u32, &[PlacedTask])> {
    tasks.chunk_by(|a, b| a.worker == b.worker).map(|it| (it[0].worker, it))
}
