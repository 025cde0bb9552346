//! Keeps a reclaimable home block assigned to every guaranteed shape of the hall.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use almondpass_schema::model;

use crate::blocks;
use crate::core::HallCore;
use crate::guarantee::HomeBlock;
use crate::ledger::{Booking, Usage};
use crate::placement::{self, PlacementRequest};
use crate::placement_rules::EmptyBlockRule;
use crate::topology::NONE;

/// A home moves to another block if a claim there costs less than this fraction of its cost in the present
/// block.
const MAX_RELATIVE_COST: f64 = 0.7;

/// Cost of a block as a home: first what a claim would cost now, then whether it differs from the block
/// in an empty hall, then how many accelerators of its run it leaves over.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct HomeCost {
    lost_work: f64,
    differs_from_canonical: bool,
    slack: u32,
    first_accelerator: u32,
}

impl HallCore {
    /// Adopts the guarantees that the configuration assigns to this hall. Guarantees that are unchanged
    /// keep their blocks.
    pub(crate) fn configure_homes(&mut self) {
        let old = std::mem::take(&mut self.homes);
        self.release_blocks(&old);
        let configured: Vec<HomeBlock> = self
            .all_homes
            .iter()
            .filter(|it| it.hall == self.hall)
            .map(|it| (it, self.catalog.known_account(&it.account)))
            .map(|(it, account)| HomeBlock::new(it, account.unwrap_or(NONE)))
            .collect();
        self.homes = configured;
        for old_home in old {
            let is_same_guarantee = |it: &HomeBlock| {
                it.account == old_home.account
                    && it.guarantee == old_home.guarantee
                    && it.size == old_home.size
                    && it.adjacency == old_home.adjacency
            };
            let Some(home) = self.homes.iter().position(is_same_guarantee) else { continue };
            self.homes[home].last_reported_has_block = old_home.last_reported_has_block;
            self.homes[home].claimed_by_name = old_home.claimed_by_name;
            if old_home.has_block() {
                self.assign_block(home as u32, old_home.block);
            }
        }
        self.homes_dirty = true;
    }

    /// Removes the blocks of all homes, before the topology of the hall is rebuilt.
    pub(crate) fn remove_all_blocks(&mut self) {
        let mut homes = std::mem::take(&mut self.homes);
        self.release_blocks(&homes);
        for home in &mut homes {
            home.block.clear();
            home.claims.clear();
        }
        self.homes = homes;
    }

    /// Releases blocks in the ledger. Their running claims become ordinary items, and claims that only
    /// reserve a place return to the queue.
    fn release_blocks(&mut self, homes: &[HomeBlock]) {
        for home in homes {
            for claim in &home.claims {
                let item = self.items.at_mut(*claim);
                item.claimed_home = None;
                let n_accelerators = item.n_accelerators();
                self.account_usage[item.account as usize].claimed_accelerators -= n_accelerators;
                if self.items.at(*claim).state.holds_accelerators() {
                    let booking = self.booking_of(*claim);
                    self.rebook(*claim, booking);
                } else {
                    self.unreserve_and_enqueue(*claim);
                }
            }
            self.ledger.remove_home_block(&home.block, &self.topology);
        }
    }

    /// Removes the block and the claims of one home.
    pub(crate) fn remove_block(&mut self, home: u32) {
        let old_home = self.homes[home as usize].clone();
        self.homes[home as usize].block.clear();
        self.homes[home as usize].claims.clear();
        self.release_blocks(&[old_home]);
    }

    /// Assigns a block to a home. Items of the same account that lie in the block become its claims.
    pub(crate) fn assign_block(&mut self, home: u32, block: Vec<u32>) {
        self.ledger.add_home_block(home, &block, &self.topology);
        let account = self.homes[home as usize].account;
        let holders: BTreeSet<u32> =
            block.iter().map(|it| self.ledger.holder[*it as usize]).collect();
        self.homes[home as usize].block = block;
        for holder in holders.into_iter().filter(|it| *it != NONE) {
            let item = self.items.at(holder);
            if item.account == account
                && item.claimed_home.is_none()
                && self.lies_in_home(holder, home)
            {
                self.rebook(holder, Booking::Claim);
                self.attach_claim(holder, home);
            }
        }
        self.homes_version += 1;
        self.note_capacity_change();
    }

    /// Whether all accelerators of a held item lie in a home block, and each of its tasks uses no more cores,
    /// memory and slots than the share of its accelerators.
    fn lies_in_home(&self, index: u32, home: u32) -> bool {
        let item = self.items.at(index);
        item.tasks.iter().all(|task| {
            let spec = &self.topology.workers[task.worker as usize];
            let share = Usage::share(spec, task.accelerators.len() as u32);
            let is_inside = |it: &u32| self.ledger.home[*it as usize] == home;
            share.covers(Usage::of(&item.work.demand))
                && !task.accelerators.is_empty()
                && task.accelerators.iter().all(is_inside)
        })
    }

    /// Records that an item claims a home; an item that is attached already is not counted twice.
    pub(crate) fn attach_claim(&mut self, index: u32, home: u32) {
        self.items.at_mut(index).claimed_home = Some(home);
        let claims = &mut self.homes[home as usize].claims;
        if claims.contains(&index) {
            return;
        }
        claims.push(index);
        let item = self.items.at(index);
        let n_accelerators = item.n_accelerators();
        self.account_usage[item.account as usize].claimed_accelerators += n_accelerators;
    }

    /// Removes the claim of an item, if it has one.
    pub(crate) fn detach_claim(&mut self, index: u32) {
        let item = self.items.at_mut(index);
        let Some(home) = item.claimed_home.take() else { return };
        let n_accelerators = item.n_accelerators();
        let account = item.account as usize;
        self.account_usage[account].claimed_accelerators -= n_accelerators;
        self.homes[home as usize].claims.retain(|it| *it != index);
    }

    /// Sum of the accelerators of all claims of a home, whether they run or reserve a place.
    pub(crate) fn claimed_accelerators(&self, home: u32) -> u32 {
        let n_accelerators = |it: &u32| self.items.at(*it).n_accelerators();
        self.homes[home as usize].claims.iter().map(n_accelerators).sum()
    }

    /// Assigns another block to every shape whose block is no longer valid, and reports the changes.
    pub(crate) fn repair_homes(&mut self) {
        if !self.homes_dirty {
            return;
        }
        self.homes_dirty = false;
        let before: Vec<Vec<u32>> = self.homes.iter().map(|it| it.block.clone()).collect();
        for home in 0..self.homes.len() as u32 {
            if self.homes[home as usize].has_block() && !self.block_is_valid(home) {
                self.remove_block(home);
            }
        }
        self.assign_missing_blocks();
        if self.homes.iter().any(|it| !it.has_block()) {
            self.reassign_unclaimed_blocks();
        }
        self.report_home_changes(&before);
    }

    /// Homes without a block, in the order in which blocks are chosen: contiguous shapes, which fit in
    /// fewer places, come first, and large shapes come before small ones.
    fn homes_without_block(&self) -> Vec<u32> {
        let mut missing: Vec<u32> = (0..self.homes.len() as u32)
            .filter(|it| !self.homes[*it as usize].has_block())
            .collect();
        missing.sort_by_key(|it| {
            let home = &self.homes[*it as usize];
            (home.adjacency == model::Adjacency::Any, Reverse(home.size), *it)
        });
        missing
    }

    /// Assigns the cheapest block to every home that has none, where one exists.
    pub(crate) fn assign_missing_blocks(&mut self) {
        for home in self.homes_without_block() {
            if let Some((_, block)) = self.cheapest_home(home, true) {
                self.assign_block(home, block);
            }
        }
    }

    /// Chooses the blocks of all unclaimed homes again, largest first, after choosing them one by one left a
    /// home without a block. Restores the earlier blocks if this gives no more homes a block.
    fn reassign_unclaimed_blocks(&mut self) {
        let n_before = self.homes.iter().filter(|it| it.has_block()).count();
        let unclaimed: Vec<(u32, Vec<u32>)> = (0..self.homes.len() as u32)
            .filter(|it| {
                let home = &self.homes[*it as usize];
                home.has_block() && home.claims.is_empty()
            })
            .map(|it| (it, self.homes[it as usize].block.clone()))
            .collect();
        if unclaimed.is_empty() {
            return;
        }
        let claimed_homes: Vec<u32> = (0..self.homes.len() as u32)
            .filter(|it| self.homes[*it as usize].has_block())
            .filter(|it| unclaimed.iter().all(|(home, _)| home != it))
            .collect();
        unclaimed.iter().for_each(|(home, _)| self.remove_block(*home));
        self.assign_missing_blocks();
        if n_before < self.homes.iter().filter(|it| it.has_block()).count() {
            return;
        }
        // A home that was assigned a block just now may already have a claim, because an item of its account
        // lay there. If it kept the block for that reason, the block would overlap those that are restored.
        for home in 0..self.homes.len() as u32 {
            if self.homes[home as usize].has_block() && !claimed_homes.contains(&home) {
                self.remove_block(home);
            }
        }
        for (home, block) in unclaimed {
            // A home that was claimed in the meantime keeps its block, which may overlap this one.
            if !self.homes[home as usize].has_block() && self.can_assign_block(home, &block) {
                self.assign_block(home, block);
            }
        }
        self.assign_missing_blocks();
    }

    /// Whether the block of a home is still reclaimable: its workers are usable, and every holder in it can
    /// be preempted, claims this home, or is an item of the home's account that lies in the block entirely.
    fn block_is_valid(&self, home: u32) -> bool {
        let block = &self.homes[home as usize].block;
        let is_allowed = |it: &u32| self.home_allows(home, *it);
        block.iter().all(is_allowed)
            && self.leaves_home_shares(block, false)
            && self.holders_fit(home, block)
    }

    /// Whether this block could be assigned to a home that has none.
    pub(crate) fn can_assign_block(&self, home: u32, block: &[u32]) -> bool {
        block.iter().all(|it| self.home_allows(home, *it))
            && self.leaves_home_shares(block, true)
            && self.holders_fit(home, block)
    }

    /// Whether an accelerator may lie in the block of this home: its worker is usable, it lies in no other
    /// home block, and its holder is reclaimable or of the home's account.
    fn home_allows(&self, home: u32, accelerator: u32) -> bool {
        let at = accelerator as usize;
        let worker = self.topology.worker_of[at];
        let other = self.ledger.home[at];
        if !self.health[worker as usize].usable() || (other != NONE && other != home) {
            return false;
        }
        let holder = self.ledger.holder[at];
        if holder == NONE {
            return true;
        }
        let item = self.items.at(holder);
        self.frees_within_reclaim_bound(item) || item.account == self.homes[home as usize].account
    }

    /// Whether non-reclaimable items leave on each worker of a block the cores, memory and slots that belong
    /// to its home accelerators. `is_new` adds the accelerators of the block, which are not counted yet.
    pub(crate) fn leaves_home_shares(&self, block: &[u32], is_new: bool) -> bool {
        self.accelerators_by_worker(block).into_iter().all(|(worker, n)| {
            let spec = &self.topology.workers[worker as usize];
            let worker_ledger = &self.ledger.workers[worker as usize];
            let n_home_accelerators = worker_ledger.home_accelerators + if is_new { n } else { 0 };
            let remaining = Usage::capacity(spec).minus(Usage::share(spec, n_home_accelerators));
            remaining.covers(worker_ledger.non_reclaimable)
        })
    }

    /// Whether the cores, memory and slots that belong to a block are free now. A home that moved to a block
    /// without them would move again in each scheduling round.
    fn home_shares_free(&self, block: &[u32]) -> bool {
        self.accelerators_by_worker(block).into_iter().all(|(worker, n)| {
            let spec = &self.topology.workers[worker as usize];
            let worker_ledger = &self.ledger.workers[worker as usize];
            worker_ledger.free.minus(worker_ledger.reserved).covers(Usage::share(spec, n))
        })
    }

    /// Whether an item would fit a block if nothing else were there. A home that moved to a block that its
    /// claim does not fit would move again in each scheduling round.
    fn fits_block(&self, index: u32, block: &[u32]) -> bool {
        let item = self.items.at(index);
        let request = PlacementRequest::of(&item.work);
        let exclude = &item.exclude;
        let rule = EmptyBlockRule { topology: &self.topology, block, request: &request, exclude };
        placement::best(&self.topology, &request, &rule).is_some()
    }

    /// Workers of a block, each with the number of its accelerators in the block.
    fn accelerators_by_worker(&self, block: &[u32]) -> Vec<(u32, u32)> {
        let mut counts: Vec<(u32, u32)> = Vec::new();
        for it in block {
            let worker = self.topology.worker_of[*it as usize];
            match counts.last_mut() {
                Some((last_worker, n)) if *last_worker == worker => *n += 1,
                _ => counts.push((worker, 1)),
            }
        }
        counts
    }

    /// Whether every holder in a block can be preempted, claims this home, or is an item of the home's
    /// account that lies in the block entirely.
    fn holders_fit(&self, home: u32, block: &[u32]) -> bool {
        let account = self.homes[home as usize].account;
        let mut last_holder = NONE;
        block.iter().all(|it| {
            let holder = self.ledger.holder[*it as usize];
            if holder == NONE || holder == last_holder {
                return true;
            }
            last_holder = holder;
            let item = self.items.at(holder);
            if self.frees_within_reclaim_bound(item) || item.claimed_home == Some(home) {
                return true;
            }
            let is_inside = |it: &u32| block.binary_search(it).is_ok();
            item.account == account
                && item.tasks.iter().flat_map(|it| &it.accelerators).all(is_inside)
        })
    }

    /// The cheapest valid block for a home, with its cost. `own_items_free` is passed on to `home_cost`.
    fn cheapest_home(&self, home: u32, own_items_free: bool) -> Option<(HomeCost, Vec<u32>)> {
        let shape = &self.homes[home as usize];
        let allows = |it: u32| self.home_allows(home, it);
        let choices = blocks::choices(&self.topology, shape.size, shape.adjacency, allows);
        choices
            .into_iter()
            .filter(|it| self.leaves_home_shares(&it.accelerators, true))
            .filter(|it| self.holders_fit(home, &it.accelerators))
            .map(|it| (self.home_cost(home, &it, own_items_free), it))
            .min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal))
            .map(|(cost, it)| (cost, it.accelerators))
    }

    /// Cost of a block for a home. With `own_items_free`, items of the home's account cost nothing, because
    /// they become claims.
    fn home_cost(&self, home: u32, choice: &blocks::BlockChoice, own_items_free: bool) -> HomeCost {
        let shape = &self.homes[home as usize];
        let mut holders: Vec<u32> = choice
            .accelerators
            .iter()
            .map(|it| self.ledger.holder[*it as usize])
            .filter(|it| *it != NONE)
            .collect();
        holders.sort_unstable();
        holders.dedup();
        let cost = |it: &u32| {
            let item = self.items.at(*it);
            let is_own = item.account == shape.account;
            if is_own && own_items_free {
                0.0
            } else {
                self.victim_cost(item, self.parameters.checkpoint_grace)
            }
        };
        HomeCost {
            lost_work: holders.iter().map(cost).sum(),
            differs_from_canonical: choice.accelerators != shape.canonical,
            slack: choice.slack,
            first_accelerator: choice.accelerators[0],
        }
    }

    /// Moves an unclaimed home to a block where a claim costs clearly less and the item `index` fits.
    pub(crate) fn move_home_to_cheaper_block(&mut self, home: u32, index: u32) {
        let shape = &self.homes[home as usize];
        if !shape.claims.is_empty() {
            return;
        }
        let current = blocks::BlockChoice { accelerators: shape.block.clone(), slack: 0 };
        let current_cost = self.home_cost(home, &current, false).lost_work;
        let Some((cost, block)) = self.cheapest_home(home, false) else { return };
        let cheaper = cost.lost_work < current_cost * MAX_RELATIVE_COST;
        if block == current.accelerators || !cheaper || !self.fits_block(index, &block) {
            return;
        }
        self.remove_block(home);
        self.assign_block(home, block);
        self.report_home_moved(home, "moved to a block that costs less to reclaim");
    }

    /// Moves a home to free accelerators for other items. This is not reported to operators, since the
    /// guarantee is as good as before.
    pub(crate) fn relocate_home(&mut self, home: u32, block: Vec<u32>) {
        self.remove_block(home);
        self.assign_block(home, block);
    }

    /// Moves an unclaimed home to a block of free accelerators that the item `index` fits; false if there is
    /// none.
    pub(crate) fn move_home_to_free_block(&mut self, home: u32, index: u32) -> bool {
        let shape = &self.homes[home as usize];
        if !shape.claims.is_empty() {
            return false;
        }
        let is_free = |it: u32| {
            let at = it as usize;
            self.ledger.holder[at] == NONE
                && self.ledger.home[at] == NONE
                && self.ledger.reserved_for[at] == NONE
                && self.health[self.topology.worker_of[at] as usize].accepts_new_work(self.now)
        };
        let choices = blocks::choices(&self.topology, shape.size, shape.adjacency, is_free);
        let choice = choices
            .into_iter()
            .filter(|it| self.leaves_home_shares(&it.accelerators, true))
            .filter(|it| self.home_shares_free(&it.accelerators))
            .filter(|it| self.fits_block(index, &it.accelerators))
            .min_by_key(|it| (it.slack, it.accelerators[0]));
        let Some(choice) = choice else { return false };
        self.remove_block(home);
        self.assign_block(home, choice.accelerators);
        self.report_home_moved(home, "moved to a free block");
        true
    }
}
