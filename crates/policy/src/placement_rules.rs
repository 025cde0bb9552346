//! What a piece of work may use of the hall now.

use std::time::Duration;

use almondpass_schema::time;

use crate::core::HallCore;
use crate::item::{ItemState, ReservationKind};
use crate::ledger::{Booking, Usage};
use crate::placement::{PlacementRequest, PlacementRule};
use crate::queue::GroupKey;
use crate::topology::{HallTopology, NONE};

/// Failures on a worker make it less welcome by this, and an accelerator in a home block by one.
const SUSPECT_PENALTY: u32 = 4;

/// Free capacity above the guarantee.
pub(crate) struct FreeCapacityRule<'a> {
    pub(crate) core: &'a HallCore,
    pub(crate) index: u32,
    pub(crate) usage: Usage,
    /// Can't be reclaimed, so that home blocks are closed to it.
    pub(crate) non_reclaimable: bool,
    /// Whether all that is free beside home blocks is kept for other work.
    pub(crate) home_blocks_only: bool,
    /// By when it is expected to be gone, for backfill.
    pub(crate) expected_end: time::WallTime,
    /// By when it is gone in any case.
    pub(crate) latest_end: time::WallTime,
    pub(crate) exclude: &'a [u32],
    /// Whether places reserved for others are closed to it.
    pub(crate) respects_reservations: bool,
    /// Workers on which it failed.
    pub(crate) failed_on: &'a [u32],
}

impl<'a> FreeCapacityRule<'a> {
    /// Rule for an item that claims nothing.
    pub(crate) fn new(core: &'a HallCore, index: u32) -> FreeCapacityRule<'a> {
        let item = core.items.at(index);
        let rule = &core.catalog.classes[item.class as usize];
        let estimate = core.estimate(item);
        let left = |whole: Duration| whole.saturating_sub(item.work.saved_run);
        let bound =
            if rule.is_request { rule.max_run } else { core.parameters.max_run_time(rule.max_run) };
        // Where fragmentation counts more, only what is nearly sure to be gone in time goes in.
        let likely = if 0.5 <= core.parameters.fragmentation_weight {
            estimate.high
        } else {
            estimate.median
        };
        FreeCapacityRule {
            core,
            index,
            usage: Usage::of(&item.work.demand),
            non_reclaimable: core.booking_of(index) == Booking::NonReclaimable,
            home_blocks_only: core.limited_to_home_blocks(index),
            expected_end: core.now + left(likely),
            latest_end: core.now + left(bound),
            exclude: &item.exclude,
            respects_reservations: true,

            failed_on: &item.failed_on,
        }
    }

    /// Whether it may run in a block that is cleared for a gang.
    fn backfills(&self, reserved_for: u32) -> bool {
        if reserved_for == self.index || !self.respects_reservations {
            return true;
        }
        let gang = self.core.items.at(reserved_for);
        if gang.state != ItemState::Reserved(ReservationKind::Gang) {
            return false;
        }
        // A gang past its bound is held up by no run that might outlast the opening.
        let end =
            if self.core.is_overdue(reserved_for) { self.latest_end } else { self.expected_end };
        end <= gang.expected_free_at
    }

    /// Whether something failed on the worker lately, or this very work did.
    fn avoids(&self, worker: u32) -> bool {
        self.core.health[worker as usize].has_failure_streak() || self.failed_on.contains(&worker)
    }

    /// What reservations keep from this work on a worker.
    fn kept(&self, worker: u32) -> Usage {
        let reserved = self.core.ledger.workers[worker as usize].reserved;
        if reserved == Usage::default() {
            return reserved;
        }
        let closed = |it: &u32| !self.backfills(*it);
        let reservations = &self.core.ledger.workers[worker as usize].reservations;
        if reservations.iter().any(closed) { reserved } else { Usage::default() }
    }

    fn open(&self, worker: u32) -> bool {
        self.core.health[worker as usize].accepts_new_work(self.core.now)
            && !self.exclude.contains(&worker)
    }
}

impl PlacementRule for FreeCapacityRule<'_> {
    fn allows_worker(&self, worker: u32) -> bool {
        0 < self.core.ledger.workers[worker as usize].free_accelerators && self.open(worker)
    }

    fn allows_accelerator(&self, accelerator: u32) -> bool {
        let at = accelerator as usize;
        let ledger = &self.core.ledger;
        ledger.holder[at] == NONE
            && (!self.non_reclaimable || ledger.home[at] == NONE)
            && (!self.home_blocks_only || ledger.home[at] != NONE)
            && (ledger.reserved_for[at] == NONE || self.backfills(ledger.reserved_for[at]))
    }

    fn task_capacity(&self, worker: u32) -> u32 {
        if !self.open(worker) {
            return 0;
        }
        let book = &self.core.ledger.workers[worker as usize];
        let room = book.free.minus(self.kept(worker)).max_tasks(self.usage);
        if !self.non_reclaimable {
            return room;
        }
        let free_for_non_reclaimable =
            self.core.ledger.free_for_non_reclaimable(worker, &self.core.topology);
        room.min(free_for_non_reclaimable.max_tasks(self.usage))
    }

    fn penalty(&self, accelerator: u32) -> u32 {
        let at = accelerator as usize;
        // What can't be reclaimed has only the accelerators beside home blocks, so other work
        // leaves these to it.
        let unfit = !self.non_reclaimable && self.core.ledger.home[at] == NONE;
        let worker = self.core.topology.worker_of[at];
        u32::from(unfit) + SUSPECT_PENALTY * u32::from(self.avoids(worker))
    }

    /// Cores and memory that free accelerators will need are used last, then the fullest worker
    /// goes first.
    fn cpu_only_rank(&self, worker: u32) -> i64 {
        let spec = &self.core.topology.workers[worker as usize];
        let book = &self.core.ledger.workers[worker as usize];
        let kept = Usage::share(spec, book.free_accelerators);
        let strands = !book.free.minus(kept).covers(self.usage);
        let rank = book.free.cores + 10_000 * i64::from(strands);
        rank + 100_000 * i64::from(self.avoids(worker))
    }
}

/// A block as if it were empty, to see whether work could ever claim it.
pub(crate) struct EmptyBlockRule<'a> {
    pub(crate) topology: &'a HallTopology,
    /// Its accelerators, ascending.
    pub(crate) block: &'a [u32],
    pub(crate) request: &'a PlacementRequest,
    pub(crate) exclude: &'a [u32],
}

impl PlacementRule for EmptyBlockRule<'_> {
    fn allows_accelerator(&self, accelerator: u32) -> bool {
        self.block.binary_search(&accelerator).is_ok()
    }

    fn task_capacity(&self, worker: u32) -> u32 {
        let spec = &self.topology.workers[worker as usize];
        let fits =
            Usage::share(spec, self.request.accelerators_per_task).covers(self.request.usage);
        if fits && !self.exclude.contains(&worker) { u32::MAX } else { 0 }
    }

    fn penalty(&self, _accelerator: u32) -> u32 {
        0
    }

    fn cpu_only_rank(&self, _worker: u32) -> i64 {
        0
    }
}

/// The home block of a claim.
pub(crate) struct ClaimRule<'a> {
    pub(crate) core: &'a HallCore,
    pub(crate) home: u32,
    pub(crate) key: &'a GroupKey,
    pub(crate) request: &'a PlacementRequest,
    /// Whether it may take what others hold, to be reclaimed.
    pub(crate) reclaims: bool,
    pub(crate) exclude: &'a [u32],
}

impl ClaimRule<'_> {
    /// A claim uses no more of a worker than goes with its accelerators: the same is kept for the
    /// other guarantees there.
    fn within_share(&self, worker: u32) -> bool {
        let spec = &self.core.topology.workers[worker as usize];
        Usage::share(spec, self.request.accelerators_per_task).covers(self.request.usage)
    }

    /// Whether the holder can be sent away, or leaves by itself in time.
    fn takes(&self, holder: u32) -> bool {
        let item = self.core.items.at(holder);
        let own = item.claimed_home.is_some() && self.core.claim_yields(holder, self.key);
        (item.claimed_home.is_none() || own) && self.core.frees_within_reclaim_bound(item)
    }
}

impl PlacementRule for ClaimRule<'_> {
    fn allows_accelerator(&self, accelerator: u32) -> bool {
        let at = accelerator as usize;
        let ledger = &self.core.ledger;
        let worker = self.core.topology.worker_of[at];
        if ledger.home[at] != self.home
            || !self.core.health[worker as usize].accepts_new_work(self.core.now)
        {
            return false;
        }
        let holder = ledger.holder[at];
        let reserved = ledger.reserved_for[at];
        if !self.reclaims {
            return holder == NONE && reserved == NONE;
        }
        let reservable =
            reserved == NONE || self.core.items.at(reserved).claimed_home != Some(self.home);
        reservable && (holder == NONE || self.takes(holder))
    }

    fn task_capacity(&self, worker: u32) -> u32 {
        if self.exclude.contains(&worker) || !self.within_share(worker) {
            return 0;
        }
        if self.reclaims {
            return u32::MAX;
        }
        let book = &self.core.ledger.workers[worker as usize];
        book.free.minus(book.reserved).max_tasks(self.request.usage)
    }

    fn penalty(&self, _accelerator: u32) -> u32 {
        0
    }

    fn cpu_only_rank(&self, _worker: u32) -> i64 {
        0
    }
}
