//! Keeping every guaranteed shape at home in a block that can be reclaimed.

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

/// A home moves where a claim costs less than this part of what it costs in its present block.
const WORTH_MOVING: f64 = 0.7;

/// How dear a block is as a home: what a claim would cost now, then how far it is from where the
/// shape is at home in an empty hall, then what it leaves of its run.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct HomeCost {
    lost_work: f64,
    moved: bool,
    slack: u32,
    first: u32,
}

impl HallCore {
    /// Takes over the guarantees that the configuration puts into this hall; blocks of those that
    /// stay the same are kept.
    pub(crate) fn configure_homes(&mut self) {
        let old = std::mem::take(&mut self.homes);
        self.release_blocks(&old);
        let mine: Vec<HomeBlock> = self
            .all_homes
            .iter()
            .filter(|it| it.hall == self.hall)
            .map(|it| (it, self.catalog.known_account(&it.account)))
            .map(|(it, account)| HomeBlock::new(it, account.unwrap_or(NONE)))
            .collect();
        self.homes = mine;
        for was in old {
            let same = |it: &HomeBlock| {
                it.account == was.account
                    && it.guarantee == was.guarantee
                    && it.size == was.size
                    && it.adjacency == was.adjacency
            };
            let Some(home) = self.homes.iter().position(same) else { continue };
            self.homes[home].last_reported_block = was.last_reported_block;
            self.homes[home].claimed_by_name = was.claimed_by_name;
            if was.has_block() {
                self.assign_block(home as u32, was.block);
            }
        }
        self.homes_dirty = true;
    }

    /// Takes every block away, as before the hall is laid out anew.
    pub(crate) fn remove_all_blocks(&mut self) {
        let mut homes = std::mem::take(&mut self.homes);
        self.release_blocks(&homes);
        for it in &mut homes {
            it.block.clear();
            it.claims.clear();
        }
        self.homes = homes;
    }

    /// Frees blocks and makes their claims ordinary work; reservations go back to the queue.
    fn release_blocks(&mut self, homes: &[HomeBlock]) {
        for it in homes {
            for claim in &it.claims {
                let item = self.items.at_mut(*claim);
                item.claimed_home = None;
                let width = item.n_accelerators();
                self.account_usage[item.account as usize].claimed_accelerators -= width;
                if self.items.at(*claim).state.holds_accelerators() {
                    let booking = self.booking_of(*claim);
                    self.rebook(*claim, booking);
                } else {
                    self.unreserve_and_enqueue(*claim);
                }
            }
            self.ledger.remove_home_block(&it.block, &self.topology);
        }
    }

    /// Takes the block of one home away.
    pub(crate) fn remove_block(&mut self, home: u32) {
        let was = self.homes[home as usize].clone();
        self.homes[home as usize].block.clear();
        self.homes[home as usize].claims.clear();
        self.release_blocks(&[was]);
    }

    /// Makes a block the home of a shape. Work of the same account inside becomes its claim.
    pub(crate) fn assign_block(&mut self, home: u32, block: Vec<u32>) {
        self.ledger.add_home_block(home, &block, &self.topology);
        let account = self.homes[home as usize].account;
        let holders: BTreeSet<u32> =
            block.iter().map(|it| self.ledger.holder[*it as usize]).collect();
        self.homes[home as usize].block = block;
        for it in holders.into_iter().filter(|it| *it != NONE) {
            let item = self.items.at(it);
            if item.account == account && item.claimed_home.is_none() && self.lies_in_home(it, home)
            {
                self.rebook(it, Booking::Claim);
                self.attach_claim(it, home);
            }
        }
        self.homes_version += 1;
        self.note_capacity_change();
    }

    /// Whether all accelerators of held work lie in a home block, and no more of each worker is
    /// used than goes with them.
    fn lies_in_home(&self, index: u32, home: u32) -> bool {
        let item = self.items.at(index);
        item.tasks.iter().all(|task| {
            let spec = &self.topology.workers[task.worker as usize];
            let share = Usage::share(spec, task.accelerators.len() as u32);
            let inside = |it: &u32| self.ledger.home[*it as usize] == home;
            share.covers(Usage::of(&item.work.demand))
                && !task.accelerators.is_empty()
                && task.accelerators.iter().all(inside)
        })
    }

    /// Notes a claim.
    pub(crate) fn attach_claim(&mut self, index: u32, home: u32) {
        self.items.at_mut(index).claimed_home = Some(home);
        let claims = &mut self.homes[home as usize].claims;
        if claims.contains(&index) {
            return;
        }
        claims.push(index);
        let item = self.items.at(index);
        let width = item.n_accelerators();
        self.account_usage[item.account as usize].claimed_accelerators += width;
    }

    /// Forgets a claim.
    pub(crate) fn detach_claim(&mut self, index: u32) {
        let item = self.items.at_mut(index);
        let Some(home) = item.claimed_home.take() else { return };
        let width = item.n_accelerators();
        let account = item.account as usize;
        self.account_usage[account].claimed_accelerators -= width;
        self.homes[home as usize].claims.retain(|it| *it != index);
    }

    /// Accelerators of a home that work claims.
    pub(crate) fn claimed_accelerators(&self, home: u32) -> u32 {
        let width = |it: &u32| self.items.at(*it).n_accelerators();
        self.homes[home as usize].claims.iter().map(width).sum()
    }

    /// Gives every shape whose block is damaged another one, and reports what changed.
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

    /// Shapes in the order in which blocks are chosen: those that fit in few places first.
    fn homes_without_block(&self) -> Vec<u32> {
        let mut lost: Vec<u32> = (0..self.homes.len() as u32)
            .filter(|it| !self.homes[*it as usize].has_block())
            .collect();
        lost.sort_by_key(|it| {
            let home = &self.homes[*it as usize];
            (home.adjacency == model::Adjacency::Any, Reverse(home.size), *it)
        });
        lost
    }

    pub(crate) fn assign_missing_blocks(&mut self) {
        for home in self.homes_without_block() {
            if let Some((_, block)) = self.cheapest_home(home, true) {
                self.assign_block(home, block);
            }
        }
    }

    /// Chooses all unclaimed blocks anew, largest first, where one after the other left a shape
    /// without one; goes back where that houses no more shapes.
    fn reassign_unclaimed_blocks(&mut self) {
        let n_before = self.homes.iter().filter(|it| it.has_block()).count();
        let moved: Vec<(u32, Vec<u32>)> = (0..self.homes.len() as u32)
            .filter(|it| {
                let home = &self.homes[*it as usize];
                home.has_block() && home.claims.is_empty()
            })
            .map(|it| (it, self.homes[it as usize].block.clone()))
            .collect();
        if moved.is_empty() {
            return;
        }
        let kept: Vec<u32> = (0..self.homes.len() as u32)
            .filter(|it| self.homes[*it as usize].has_block())
            .filter(|it| moved.iter().all(|(home, _)| home != it))
            .collect();
        moved.iter().for_each(|(home, _)| self.remove_block(*home));
        self.assign_missing_blocks();
        if n_before < self.homes.iter().filter(|it| it.has_block()).count() {
            return;
        }
        // A home that settled just now may have found a claim already, as the account's own work
        // lay there. Kept for that, its block would overlap those that are put back.
        for home in 0..self.homes.len() as u32 {
            if self.homes[home as usize].has_block() && !kept.contains(&home) {
                self.remove_block(home);
            }
        }
        for (home, block) in moved {
            // A home that took up a claim meanwhile stays, and may lie on this block.
            if !self.homes[home as usize].has_block() && self.can_assign_block(home, &block) {
                self.assign_block(home, block);
            }
        }
        self.assign_missing_blocks();
    }

    /// Whether a block can still be had: usable workers, and nobody in it who can't be sent away.
    fn block_is_valid(&self, home: u32) -> bool {
        let block = &self.homes[home as usize].block;
        let sound = |it: &u32| self.home_allows(home, *it);
        block.iter().all(sound)
            && self.leaves_home_shares(block, false)
            && self.holders_fit(home, block)
    }

    /// Whether a home without a block could have this one.
    pub(crate) fn can_assign_block(&self, home: u32, block: &[u32]) -> bool {
        block.iter().all(|it| self.home_allows(home, *it))
            && self.leaves_home_shares(block, true)
            && self.holders_fit(home, block)
    }

    /// Whether an accelerator may lie in a home block, whoever else's it is.
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

    /// Whether work that can't be reclaimed leaves each worker the cores, memory and slots that go
    /// with its home blocks.
    pub(crate) fn leaves_home_shares(&self, block: &[u32], adds: bool) -> bool {
        self.by_worker(block).into_iter().all(|(worker, n)| {
            let spec = &self.topology.workers[worker as usize];
            let book = &self.ledger.workers[worker as usize];
            let homes = book.home_accelerators + if adds { n } else { 0 };
            let left = Usage::capacity(spec).minus(Usage::share(spec, homes));
            left.covers(book.non_reclaimable)
        })
    }

    /// Whether the cores, memory and slots that go with a block are free now. A home that moved to
    /// a block without them would move again in each turn.
    fn home_shares_free(&self, block: &[u32]) -> bool {
        self.by_worker(block).into_iter().all(|(worker, n)| {
            let spec = &self.topology.workers[worker as usize];
            let book = &self.ledger.workers[worker as usize];
            book.free.minus(book.reserved).covers(Usage::share(spec, n))
        })
    }

    /// Whether work would fit a block if nothing else were there. A home that moved to one that its
    /// claim does not fit would move again in each turn.
    fn fits_block(&self, index: u32, block: &[u32]) -> bool {
        let item = self.items.at(index);
        let request = PlacementRequest::of(&item.work);
        let exclude = &item.exclude;
        let rule = EmptyBlockRule { topology: &self.topology, block, request: &request, exclude };
        placement::best(&self.topology, &request, &rule).is_some()
    }

    /// Workers of a block with how many of its accelerators each has.
    fn by_worker(&self, block: &[u32]) -> Vec<(u32, u32)> {
        let mut counts: Vec<(u32, u32)> = Vec::new();
        for it in block {
            let worker = self.topology.worker_of[*it as usize];
            match counts.last_mut() {
                Some((last, n)) if *last == worker => *n += 1,
                _ => counts.push((worker, 1)),
            }
        }
        counts
    }

    /// Whether everything in a block can be sent away or is the account's own and all inside.
    fn holders_fit(&self, home: u32, block: &[u32]) -> bool {
        let account = self.homes[home as usize].account;
        let mut last = NONE;
        block.iter().all(|it| {
            let holder = self.ledger.holder[*it as usize];
            if holder == NONE || holder == last {
                return true;
            }
            last = holder;
            let item = self.items.at(holder);
            if self.frees_within_reclaim_bound(item) || item.claimed_home == Some(home) {
                return true;
            }
            let inside = |it: &u32| block.binary_search(it).is_ok();
            item.account == account && item.tasks.iter().flat_map(|it| &it.accelerators).all(inside)
        })
    }

    /// The cheapest block for a shape that has none.
    fn cheapest_home(&self, home: u32, own_free: bool) -> Option<(HomeCost, Vec<u32>)> {
        let shape = &self.homes[home as usize];
        let allows = |it: u32| self.home_allows(home, it);
        let choices = blocks::choices(&self.topology, shape.size, shape.adjacency, allows);
        choices
            .into_iter()
            .filter(|it| self.leaves_home_shares(&it.accelerators, true))
            .filter(|it| self.holders_fit(home, &it.accelerators))
            .map(|it| (self.home_cost(home, &it, own_free), it))
            .min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal))
            .map(|(cost, it)| (cost, it.accelerators))
    }

    /// Prices a block. Where `own_free`, the account's own work in it costs nothing: it becomes a
    /// claim.
    fn home_cost(&self, home: u32, choice: &blocks::BlockChoice, own_free: bool) -> HomeCost {
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
            let own = item.account == shape.account;
            if own && own_free {
                0.0
            } else {
                self.victim_cost(item, self.parameters.checkpoint_grace)
            }
        };
        HomeCost {
            lost_work: holders.iter().map(cost).sum(),
            moved: choice.accelerators != shape.canonical,
            slack: choice.slack,
            first: choice.accelerators[0],
        }
    }

    /// Moves an unclaimed home to where a claim would cost clearly less.
    pub(crate) fn move_home_to_cheaper_block(&mut self, home: u32, index: u32) {
        let shape = &self.homes[home as usize];
        if !shape.claims.is_empty() {
            return;
        }
        let here = blocks::BlockChoice { accelerators: shape.block.clone(), slack: 0 };
        let now = self.home_cost(home, &here, false).lost_work;
        let Some((cost, block)) = self.cheapest_home(home, false) else { return };
        let cheaper = cost.lost_work < now * WORTH_MOVING;
        if block == here.accelerators || !cheaper || !self.fits_block(index, &block) {
            return;
        }
        self.remove_block(home);
        self.assign_block(home, block);
        self.report_home_moved(home, "moved to a block that costs less to reclaim");
    }

    /// Moves a home to make room, which operators need not hear of: its guarantee is as good.
    pub(crate) fn relocate_home(&mut self, home: u32, block: Vec<u32>) {
        self.remove_block(home);
        self.assign_block(home, block);
    }

    /// Moves an unclaimed home to a wholly free block elsewhere; false where there is none.
    pub(crate) fn move_home_to_free_block(&mut self, home: u32, index: u32) -> bool {
        let shape = &self.homes[home as usize];
        if !shape.claims.is_empty() {
            return false;
        }
        let free = |it: u32| {
            let at = it as usize;
            self.ledger.holder[at] == NONE
                && self.ledger.home[at] == NONE
                && self.ledger.reserved_for[at] == NONE
                && self.health[self.topology.worker_of[at] as usize].accepts_new_work(self.now)
        };
        let choices = blocks::choices(&self.topology, shape.size, shape.adjacency, free);
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
