//! Places that are reserved for work until whoever is there has gone.

use almondpass_schema::{model, time};

use crate::core::HallCore;
use crate::item::{ItemState, ReservationKind};
use crate::ledger::{Booking, PlacedTask, Usage};
use crate::reasons;
use crate::topology::NONE;

impl HallCore {
    /// Reserves a place for an item that is in no queue. Reservations in the way are given up;
    /// callers have made sure that these weigh less.
    pub(crate) fn reserve(
        &mut self,
        index: u32,
        tasks: Vec<PlacedTask>,
        kind: ReservationKind,
        claim: Option<u32>,
    ) {
        let mut others: Vec<u32> = tasks
            .iter()
            .flat_map(|it| &it.accelerators)
            .map(|it| self.ledger.reserved_for[*it as usize])
            .filter(|it| *it != NONE)
            .collect();
        if kind == ReservationKind::Gang {
            // A gang of tasks without accelerators shares its workers with no other reservation.
            let books = tasks.iter().filter(|it| it.accelerators.is_empty());
            let there =
                |it: &PlacedTask| self.ledger.workers[it.worker as usize].reservations.clone();
            others.extend(books.flat_map(there));
        }
        others.sort_unstable();
        others.dedup();
        for it in others {
            self.unreserve_and_enqueue(it);
        }
        let usage = self.usage_of(index);
        self.ledger.reserve(index, &tasks, usage);
        let opening = self.expected_free_at(index, &tasks);
        let now = self.now;
        let item = self.items.at_mut(index);
        item.tasks = tasks;
        item.state = ItemState::Reserved(kind);
        item.state_since = now;
        item.expected_free_at = opening;
        self.reserved_items.insert(index);
        if let Some(home) = claim {
            self.attach_claim(index, home);
        }
        self.reservation_check_version = 0;
    }

    /// Gives the place up; the item is then in no queue.
    pub(crate) fn unreserve(&mut self, index: u32) {
        self.detach_claim(index);
        let usage = self.usage_of(index);
        let tasks = std::mem::take(&mut self.items.at_mut(index).tasks);
        self.ledger.unreserve(index, &tasks, usage);
        self.reserved_items.remove(&index);
        self.note_capacity_change();
    }

    /// Gives the place up and queues the item again.
    pub(crate) fn unreserve_and_enqueue(&mut self, index: u32) {
        self.unreserve(index);
        self.enqueue(index);
    }

    /// When a place is expected to be free: when the last of its holders has gone.
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
        for (worker, here) in tasks_by_worker(tasks) {
            let needed = self.usage_of(index).times(here.len() as u32);
            latest = latest.max(self.worker_free_at(worker, needed));
        }
        latest
    }

    /// When a worker is expected to have cores, memory and slots free.
    pub(crate) fn worker_free_at(&self, worker: u32, needed: Usage) -> time::WallTime {
        let book = &self.ledger.workers[worker as usize];
        let mut free = book.free;
        if free.covers(needed) {
            return self.now;
        }
        let end = |it: &u32| (self.expected_end(self.items.at(*it)), *it);
        let mut ends: Vec<(time::WallTime, u32)> = book.items.iter().map(end).collect();
        ends.sort_unstable();
        for (at, holder) in ends {
            free.add(self.usage_of(holder));
            if free.covers(needed) {
                return at;
            }
        }
        self.now + self.parameters.max_run_time(self.parameters.gang_wait)
    }

    /// Starts what has its whole place free, and sees to it that the rest goes on.
    pub(crate) fn check_reservations(&mut self) {
        if self.reservation_check_version == self.capacity_version {
            return;
        }
        self.reservation_check_version = self.capacity_version;
        let all: Vec<u32> = self.reserved_items.iter().copied().collect();
        for index in all {
            // An earlier one of this round may have pushed it aside.
            if self.reserved_items.contains(&index) {
                self.check_reservation(index);
            }
        }
    }

    fn check_reservation(&mut self, index: u32) {
        let tasks = self.items.at(index).tasks.clone();
        let open = |it: &PlacedTask| self.health[it.worker as usize].usable();
        if !tasks.iter().all(open) || !self.leaves_homes_alone(index, &tasks) {
            self.unreserve_and_enqueue(index);
            return;
        }
        let ItemState::Reserved(kind) = self.items.at(index).state else { return };
        if self.is_free(index, &tasks) && self.spares_homes(index, &tasks) {
            self.start_reserved(index, kind);
        } else if kind == ReservationKind::Gang {
            self.refresh_gang_reservation(index);
        } else {
            self.preempt_holders(index, kind);
        }
    }

    /// Whether work that can't be reclaimed would still start beside all home blocks. A block may
    /// have moved over a place after it was reserved; started there, the work would hold the
    /// guarantee up for its whole run.
    fn leaves_homes_alone(&self, index: u32, tasks: &[PlacedTask]) -> bool {
        if self.items.at(index).claimed_home.is_some()
            || self.booking_of(index) != Booking::NonReclaimable
        {
            return true;
        }
        let outside = |it: &u32| self.ledger.home[*it as usize] == NONE;
        let usage = self.usage_of(index);
        tasks.iter().flat_map(|it| &it.accelerators).all(outside)
            && tasks_by_worker(tasks).all(|(worker, here)| {
                // Who is there now will have gone: counted here, the place would be given up and
                // reserved again in turn after turn.
                let room = self.ledger.capacity_for_non_reclaimable(worker, &self.topology);
                room.covers(usage.times(here.len() as u32))
            })
    }

    /// Whether work that can't be reclaimed leaves each worker, beside what of its kind runs there,
    /// the cores, memory and slots of the home blocks.
    fn spares_homes(&self, index: u32, tasks: &[PlacedTask]) -> bool {
        if self.items.at(index).claimed_home.is_some()
            || self.booking_of(index) != Booking::NonReclaimable
        {
            return true;
        }
        let usage = self.usage_of(index);
        tasks_by_worker(tasks).all(|(worker, here)| {
            let room = self.ledger.free_for_non_reclaimable(worker, &self.topology);
            room.covers(usage.times(here.len() as u32))
        })
    }

    /// Whether every accelerator, and the cores, memory and slots beside them, are free.
    fn is_free(&self, index: u32, tasks: &[PlacedTask]) -> bool {
        let usage = self.usage_of(index);
        let free = |it: &u32| self.ledger.holder[*it as usize] == NONE;
        tasks_by_worker(tasks).all(|(worker, here)| {
            let needed = usage.times(here.len() as u32);
            here.iter().flat_map(|it| &it.accelerators).all(free)
                && self.ledger.workers[worker as usize].free.covers(needed)
        })
    }

    fn start_reserved(&mut self, index: u32, kind: ReservationKind) {
        let claim = self.items.at(index).claimed_home;
        let tasks = self.items.at(index).tasks.clone();
        self.unreserve(index);
        let reason = match (kind, claim) {
            (ReservationKind::Claim, Some(home)) => self.claim_reason(home, "was reclaimed"),
            (ReservationKind::Urgent, _) => {
                reasons::plain(model::WaitCode::Reclaiming, "urgent: its place was reclaimed")
            }
            _ => reasons::plain(model::WaitCode::ClearingBlock, "the block cleared for it is free"),
        };
        self.start(index, tasks, claim, reason);
    }
}

/// Tasks of each worker; tasks of one worker stand together.
pub(crate) fn tasks_by_worker(tasks: &[PlacedTask]) -> impl Iterator<Item = (u32, &[PlacedTask])> {
    tasks.chunk_by(|a, b| a.worker == b.worker).map(|it| (it[0].worker, it))
}
