//! Moving a home from free accelerators to held ones.
//!
//! A home block that is free keeps out what can't be reclaimed, while a block full of work that can
//! be reclaimed would guarantee the same. So where the former waits, a home moves over the latter.
//! This is late binding: the guarantee is for a block, not for this block. A claim then costs a
//! reclaim, which the bound allows for.

use std::time::Duration;

use crate::blocks;
use crate::core::HallCore;
use crate::item::QueueItem;
use crate::ledger::Booking;
use crate::topology::NONE;

/// A home stays where it was moved for this long.
const STAYS: Duration = Duration::from_secs(10);

/// What moving a home to a block would bring and cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RelocationScore {
    /// Accelerators free in it, which would be closed then.
    n_free: usize,
    /// Work that a claim would stop.
    n_holders: usize,
    first: u32,
}

impl HallCore {
    /// Moves one home so that free accelerators become open to all; false where none can.
    pub(crate) fn relocate_idle_home(&mut self) -> bool {
        for home in 0..self.homes.len() as u32 {
            let shape = &self.homes[home as usize];
            let idle = shape.has_block()
                && shape.claims.is_empty()
                && shape.relocation_tried_at.is_none_or(|it| it + STAYS <= self.now);
            let n_free = self.n_free(&shape.block);
            if !idle || n_free == 0 {
                continue;
            }
            // A search that finds nothing is not repeated before the hall has changed.
            self.homes[home as usize].relocation_tried_at = Some(self.now);
            if let Some(block) = self.busy_block(home, n_free) {
                self.relocate_home(home, block);
                return true;
            }
        }
        false
    }

    /// Brings unclaimed homes back to where they are in an empty hall, as far as that can be
    /// reclaimed. Work was admitted if it fits beside these places; homes that have moved about may
    /// leave no run for it, and nothing else would ever move them in a quiet hall.
    pub(crate) fn restore_canonical_blocks(&mut self) -> bool {
        if self.now < self.homes_restored_at + STAYS {
            return false;
        }
        self.homes_restored_at = self.now;
        let moved: Vec<(u32, Vec<u32>)> = (0..self.homes.len() as u32)
            .map(|it| (it, self.homes[it as usize].block.clone()))
            .filter(|(home, block)| {
                let shape = &self.homes[*home as usize];
                shape.has_block() && shape.claims.is_empty() && *block != shape.canonical
            })
            .collect();
        if moved.is_empty() {
            return false;
        }
        moved.iter().for_each(|(home, _)| self.remove_block(*home));
        for (home, _) in &moved {
            let canonical = self.homes[*home as usize].canonical.clone();
            if self.can_assign_block(*home, &canonical) {
                self.assign_block(*home, canonical);
            }
        }
        // Each of the others goes back, or where it can if its place is taken now.
        for (home, block) in moved {
            if !self.homes[home as usize].has_block() && self.can_assign_block(home, &block) {
                self.assign_block(home, block);
            }
        }
        self.assign_missing_blocks();
        self.homes_dirty = self.homes.iter().any(|it| !it.has_block());
        true
    }

    fn n_free(&self, block: &[u32]) -> usize {
        block.iter().filter(|it| self.ledger.holder[**it as usize] == NONE).count()
    }

    /// The block that closes fewest free accelerators, clearly fewer than now.
    fn busy_block(&self, home: u32, n_free_now: usize) -> Option<Vec<u32>> {
        let shape = &self.homes[home as usize];
        let allows = |it: u32| {
            let at = it as usize;
            let holder = self.ledger.holder[at];
            // The account's own work would become its claim, and the home would be taken.
            let lends =
                |it: &QueueItem| it.booking == Booking::Reclaimable && it.account != shape.account;
            let soft = holder == NONE || lends(self.items.at(holder));
            self.ledger.home[at] == NONE
                && self.ledger.reserved_for[at] == NONE
                && soft
                && self.health[self.topology.worker_of[at] as usize].usable()
        };
        let score = |block: &[u32]| {
            let mut holders: Vec<u32> =
                block.iter().map(|it| self.ledger.holder[*it as usize]).collect();
            holders.dedup();
            RelocationScore {
                n_free: self.n_free(block),
                n_holders: holders.len(),
                first: block[0],
            }
        };
        let choices = blocks::choices(&self.topology, shape.size, shape.adjacency, allows);
        let found = choices
            .into_iter()
            .map(|it| (score(&it.accelerators), it.accelerators))
            .filter(|(score, _)| 2 * score.n_free < n_free_now)
            .min_by_key(|(score, _)| *score);
        found.map(|(_, block)| block).filter(|it| self.leaves_home_shares(it, true))
    }
}
