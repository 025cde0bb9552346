//! Placement rules: which accelerators and worker resources an item may use now.

use std::time::Duration;

use almondpass_schema::time;

use crate::core::HallCore;
use crate::item::{ItemState, ReservationKind};
use crate::ledger::{Booking, Usage};
use crate::placement::{PlacementRequest, PlacementRule};
use crate::queue::GroupKey;
use crate::topology::{HallTopology, NONE};

/// Placement penalty of a worker with recent failures. For comparison: an accelerator outside home blocks has
/// a penalty of 1 for a reclaimable item.
const FAILURE_PENALTY: u32 = 4;

/// Free capacity for an item that claims no guarantee.
pub(crate) struct FreeCapacityRule<'a> {
    pub(crate) core: &'a HallCore,
    pub(crate) index: u32,
    pub(crate) usage: Usage,
    /// The item can't be reclaimed within the reclaim bound, so it may not use home blocks.
    pub(crate) non_reclaimable: bool,
    /// Whether the item may use home blocks only, because the free accelerators outside them are kept for
    /// other work.
    pub(crate) home_blocks_only: bool,
    /// When the item is expected to end if it starts now; decides on backfill.
    pub(crate) expected_end: time::WallTime,
    /// When the item has ended in any case if it starts now.
    pub(crate) latest_end: time::WallTime,
    pub(crate) exclude: &'a [u32],
    /// Whether accelerators reserved for other items are excluded, unless the item can backfill them.
    pub(crate) respects_reservations: bool,
    /// Workers on which the item failed.
    pub(crate) failed_on: &'a [u32],
}

impl<'a> FreeCapacityRule<'a> {
    /// Creates the rule for the item at `index`, started now.
    pub(crate) fn new(core: &'a HallCore, index: u32) -> FreeCapacityRule<'a> {
        let item = core.items.at(index);
        let rule = &core.catalog.classes[item.class as usize];
        let estimate = core.estimate(item);
        let remaining = |whole: Duration| whole.saturating_sub(item.work.saved_run);
        let max_run =
            if rule.is_request { rule.max_run } else { core.parameters.max_run_time(rule.max_run) };
        // If fragmentation weighs at least as much as completion time, only items that almost certainly
        // end in time backfill a reserved block.
        let expected_run = if 0.5 <= core.parameters.fragmentation_weight {
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
            expected_end: core.now + remaining(expected_run),
            latest_end: core.now + remaining(max_run),
            exclude: &item.exclude,
            respects_reservations: true,
            failed_on: &item.failed_on,
        }
    }

    /// Whether the item may run on accelerators that are reserved for `reserved_for`: only in a block that is
    /// reserved for a gang, and only if it ends before the gang is expected to start.
    fn backfills(&self, reserved_for: u32) -> bool {
        if reserved_for == self.index || !self.respects_reservations {
            return true;
        }
        let gang = self.core.items.at(reserved_for);
        if gang.state != ItemState::Reserved(ReservationKind::Gang) {
            return false;
        }
        // For a gang past its wait bound the latest end counts, so that no backfilled run delays its start.
        let end =
            if self.core.is_overdue(reserved_for) { self.latest_end } else { self.expected_end };
        end <= gang.expected_free_at
    }

    /// Whether work failed on the worker since its last success, or this item ever failed there.
    fn avoids(&self, worker: u32) -> bool {
        self.core.health[worker as usize].has_failure_streak() || self.failed_on.contains(&worker)
    }

    /// Resources of a worker that are reserved for other items and that this item may not backfill.
    fn reserved_for_others(&self, worker: u32) -> Usage {
        let reserved = self.core.ledger.workers[worker as usize].reserved;
        if reserved == Usage::default() {
            return reserved;
        }
        let excluded = |it: &u32| !self.backfills(*it);
        let reservations = &self.core.ledger.workers[worker as usize].reservations;
        if reservations.iter().any(excluded) { reserved } else { Usage::default() }
    }

    fn accepts(&self, worker: u32) -> bool {
        self.core.health[worker as usize].accepts_new_work(self.core.now)
            && !self.exclude.contains(&worker)
    }
}

impl PlacementRule for FreeCapacityRule<'_> {
    fn allows_worker(&self, worker: u32) -> bool {
        0 < self.core.ledger.workers[worker as usize].free_accelerators && self.accepts(worker)
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
        if !self.accepts(worker) {
            return 0;
        }
        let ledger = &self.core.ledger.workers[worker as usize];
        let n_tasks = ledger.free.minus(self.reserved_for_others(worker)).max_tasks(self.usage);
        if !self.non_reclaimable {
            return n_tasks;
        }
        let free_for_non_reclaimable =
            self.core.ledger.free_for_non_reclaimable(worker, &self.core.topology);
        n_tasks.min(free_for_non_reclaimable.max_tasks(self.usage))
    }

    fn penalty(&self, accelerator: u32) -> u32 {
        let at = accelerator as usize;
        // Non-reclaimable work can use only the accelerators outside home blocks, so reclaimable work
        // prefers those inside.
        let outside_home = !self.non_reclaimable && self.core.ledger.home[at] == NONE;
        let worker = self.core.topology.worker_of[at];
        u32::from(outside_home) + FAILURE_PENALTY * u32::from(self.avoids(worker))
    }

    /// Prefers, in this order, workers without recent failures, workers where the task leaves the share of
    /// cores, memory and slots that the free accelerators need, and workers with the fewest free cores.
    fn cpu_only_rank(&self, worker: u32) -> i64 {
        let spec = &self.core.topology.workers[worker as usize];
        let ledger = &self.core.ledger.workers[worker as usize];
        let accelerator_share = Usage::share(spec, ledger.free_accelerators);
        let strands_accelerators = !ledger.free.minus(accelerator_share).covers(self.usage);
        let rank = ledger.free.cores + 10_000 * i64::from(strands_accelerators);
        rank + 100_000 * i64::from(self.avoids(worker))
    }
}

/// A block as if nothing ran in it, to check whether an item could ever run there.
pub(crate) struct EmptyBlockRule<'a> {
    pub(crate) topology: &'a HallTopology,
    /// Accelerators of the block, ascending.
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

/// The home block that an item claims.
pub(crate) struct ClaimRule<'a> {
    pub(crate) core: &'a HallCore,
    pub(crate) home: u32,
    pub(crate) key: &'a GroupKey,
    pub(crate) request: &'a PlacementRequest,
    /// Whether accelerators that others hold are allowed too, to be reclaimed from them.
    pub(crate) reclaims: bool,
    pub(crate) exclude: &'a [u32],
}

impl ClaimRule<'_> {
    /// Whether each task stays within the cores, memory and slots that belong to its accelerators: the other
    /// guarantees on the worker rely on the remaining shares.
    fn within_share(&self, worker: u32) -> bool {
        let spec = &self.core.topology.workers[worker as usize];
        Usage::share(spec, self.request.accelerators_per_task).covers(self.request.usage)
    }

    /// Whether the holder can be stopped, or ends by itself, within the reclaim bound. Holders that claim a
    /// guarantee themselves must yield to this claim.
    fn can_reclaim_from(&self, holder: u32) -> bool {
        let item = self.core.items.at(holder);
        let yields = item.claimed_home.is_some() && self.core.claim_yields(holder, self.key);
        (item.claimed_home.is_none() || yields) && self.core.frees_within_reclaim_bound(item)
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
        reservable && (holder == NONE || self.can_reclaim_from(holder))
    }

    fn task_capacity(&self, worker: u32) -> u32 {
        if self.exclude.contains(&worker) || !self.within_share(worker) {
            return 0;
        }
        if self.reclaims {
            return u32::MAX;
        }
        let ledger = &self.core.ledger.workers[worker as usize];
        ledger.free.minus(ledger.reserved).max_tasks(self.request.usage)
    }

    fn penalty(&self, _accelerator: u32) -> u32 {
        0
    }

    fn cpu_only_rank(&self, _worker: u32) -> i64 {
        0
    }
}
