//! Relocates homes from free accelerators to accelerators that are held by reclaimable items.
//!
//! Non-reclaimable items can't use a free home block, although a block full of reclaimable items would
//! serve the guarantee as well. When a non-reclaimable item waits, a home is therefore moved over
//! reclaimable items. The guarantee is for some block, not for a particular one. A claim then has to
//! reclaim the block, which the reclaim bound allows for.

use std::time::Duration;

use crate::blocks;
use crate::core::HallCore;
use crate::item::QueueItem;
use crate::ledger::Booking;
use crate::topology::NONE;

/// Least time between two attempts to relocate a home, or to restore the canonical blocks.
const MIN_STAY: Duration = Duration::from_secs(10);

/// Order of the blocks that a home could be relocated to; the lowest is best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RelocationScore {
    /// Free accelerators of the block, which would be closed to non-reclaimable items.
    n_free: usize,
    /// Items that a claim would have to preempt.
    n_holders: usize,
    first_accelerator: u32,
}

impl HallCore {
    /// Relocates one unclaimed home so that free accelerators become usable for all items; false if no
    /// home can be relocated.
    pub(crate) fn relocate_idle_home(&mut self) -> bool {
        for home in 0..self.homes.len() as u32 {
            let shape = &self.homes[home as usize];
            let is_relocatable = shape.has_block()
                && shape.claims.is_empty()
                && shape.relocation_tried_at.is_none_or(|it| it + MIN_STAY <= self.now);
            let n_free = self.n_free(&shape.block);
            if !is_relocatable || n_free == 0 {
                continue;
            }
            // Recorded before the search, so that a search without a result is not repeated until `MIN_STAY`
            // later, when the hall may have changed.
            self.homes[home as usize].relocation_tried_at = Some(self.now);
            if let Some(block) = self.occupied_block(home, n_free) {
                self.relocate_home(home, block);
                return true;
            }
        }
        false
    }

    /// Moves unclaimed homes back to their blocks in an empty hall, as far as these can be reclaimed;
    /// false if nothing was tried. Items are admitted if they fit beside these blocks. Relocated homes may
    /// leave no run for such an item, and in a hall without other events nothing else would move them.
    pub(crate) fn restore_canonical_blocks(&mut self) -> bool {
        if self.now < self.homes_restored_at + MIN_STAY {
            return false;
        }
        self.homes_restored_at = self.now;
        let displaced: Vec<(u32, Vec<u32>)> = (0..self.homes.len() as u32)
            .map(|it| (it, self.homes[it as usize].block.clone()))
            .filter(|(home, block)| {
                let shape = &self.homes[*home as usize];
                shape.has_block() && shape.claims.is_empty() && *block != shape.canonical
            })
            .collect();
        if displaced.is_empty() {
            return false;
        }
        displaced.iter().for_each(|(home, _)| self.remove_block(*home));
        for (home, _) in &displaced {
            let canonical = self.homes[*home as usize].canonical.clone();
            if self.can_assign_block(*home, &canonical) {
                self.assign_block(*home, canonical);
            }
        }
        // The remaining homes return to the block they had, or get another one if it is taken now.
        for (home, block) in displaced {
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

    /// The block with the fewest free accelerators, if these are less than half of `n_free_now`.
    fn occupied_block(&self, home: u32, n_free_now: usize) -> Option<Vec<u32>> {
        let shape = &self.homes[home as usize];
        let allows_accelerator = |it: u32| {
            let at = it as usize;
            let holder = self.ledger.holder[at];
            // An item of the home's own account is not allowed: it would become a claim of the guarantee and
            // use it up.
            let is_reclaimable_from_others =
                |it: &QueueItem| it.booking == Booking::Reclaimable && it.account != shape.account;
            let holder_allowed =
                holder == NONE || is_reclaimable_from_others(self.items.at(holder));
            self.ledger.home[at] == NONE
                && self.ledger.reserved_for[at] == NONE
                && holder_allowed
                && self.health[self.topology.worker_of[at] as usize].usable()
        };
        let score = |block: &[u32]| {
            let mut holders: Vec<u32> =
                block.iter().map(|it| self.ledger.holder[*it as usize]).collect();
            holders.dedup();
            RelocationScore {
                n_free: self.n_free(block),
                n_holders: holders.len(),
                first_accelerator: block[0],
            }
        };
        let choices =
            blocks::choices(&self.topology, shape.size, shape.adjacency, allows_accelerator);
        let found = choices
            .into_iter()
            .map(|it| (score(&it.accelerators), it.accelerators))
            .filter(|(score, _)| 2 * score.n_free < n_free_now)
            .min_by_key(|(score, _)| *score);
        found.map(|(_, block)| block).filter(|it| self.leaves_home_shares(it, true))
    }
}
