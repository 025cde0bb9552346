//! Claims: items of an account that start in the home block of one of its guaranteed shapes.

use almondpass_schema::model;

use crate::core::HallCore;
use crate::guarantee::HomeBlock;
use crate::item::{ItemState, ReservationKind};
use crate::ledger::{Booking, PlacedTask};
use crate::placement::{self, PlacementRequest, PlacementRule};
use crate::placement_rules::ClaimRule;
use crate::queue::GroupKey;
use crate::reasons;
use crate::reclaim;

/// Most claims that are served in one scheduling round; the rest follows in the next round.
const MAX_CLAIMS_PER_ROUND: usize = 64;

impl HallCore {
    /// Starts waiting items that fit an unclaimed part of a guaranteed shape of their account, or
    /// reserves a place in its home block and preempts the holders.
    pub(crate) fn serve_claims(&mut self) {
        if self.homes.is_empty() {
            return;
        }
        let mut budget = MAX_CLAIMS_PER_ROUND;
        let mut groups = self.ranked_groups(|core, key| core.may_claim(key));
        // Items that name a guarantee go before items that only fit one.
        groups.sort_by_key(|it| self.queue.group(*it).is_some_and(|it| it.key.guarantee.is_none()));
        for group in groups {
            while self.serve_claim(group) {
                budget -= 1;
                if budget == 0 {
                    self.budget_exhausted = true;
                    return;
                }
            }
        }
    }

    /// Whether a guaranteed shape of the account has enough unclaimed accelerators for an item of this
    /// group.
    fn may_claim(&self, key: &GroupKey) -> bool {
        let n_accelerators = key.tasks * key.demand.accelerators;
        0 < n_accelerators
            && (0..self.homes.len() as u32).any(|it| self.home_fits(it, key, n_accelerators))
    }

    /// Whether an item of this group, which needs `n_accelerators`, may claim the home.
    fn home_fits(&self, home: u32, key: &GroupKey, n_accelerators: u32) -> bool {
        let shape = &self.homes[home as usize];
        shape.account == key.account
            && shape.has_block()
            && key.guarantee.as_ref().is_none_or(|it| *it == shape.guarantee)
            && self.unyielding_accelerators(home, key) + n_accelerators <= shape.size
            && (key.guarantee.is_some() || !self.blocks_shape(shape, key, n_accelerators))
    }

    /// Whether an item that does not name the guarantee would keep its account from claiming the whole
    /// shape within the reclaim bound. A non-reclaimable item may only take a shape that no item has
    /// named, and a shape that can span workers only if the item fills at least half of it.
    fn blocks_shape(&self, shape: &HomeBlock, key: &GroupKey, n_accelerators: u32) -> bool {
        let rule = &self.catalog.classes[key.class as usize];
        let leaves_most_unused =
            shape.adjacency != model::Adjacency::Worker && 2 * n_accelerators < shape.size;
        self.is_non_reclaimable(rule) && (shape.claimed_by_name || leaves_most_unused)
    }

    /// Accelerators of a home whose claims do not yield to an item of this group.
    fn unyielding_accelerators(&self, home: u32, key: &GroupKey) -> u32 {
        let is_kept = |it: &&u32| !self.claim_yields(**it, key);
        let claims = self.homes[home as usize].claims.iter().filter(is_kept);
        claims.map(|it| self.items.at(*it).n_accelerators()).sum()
    }

    /// Whether a running claim may be preempted for another item of the same account: the claim does
    /// not name the guarantee, and the other item names one or is urgent. Urgent claims, requests, claims
    /// that can't be repeated and claims of higher priority do not yield.
    pub(crate) fn claim_yields(&self, claim: u32, key: &GroupKey) -> bool {
        let item = self.items.at(claim);
        let rule = &self.catalog.classes[item.class as usize];
        let other = &self.catalog.classes[key.class as usize];
        let is_active = matches!(item.state, ItemState::Starting | ItemState::Running);
        let takes_precedence = key.guarantee.is_some() || other.urgent;
        is_active
            && takes_precedence
            && item.work.guarantee.is_none()
            && !rule.urgent
            && rule.repeatable
            && !rule.is_request
            && rule.priority <= other.priority
    }

    /// Starts the first item of a group or reserves a place for it; false if neither is possible now.
    fn serve_claim(&mut self, group: u32) -> bool {
        let Some(queue_group) = self.queue.group(group) else { return false };
        let key = queue_group.key.clone();
        let Some(entry) = queue_group.entries.first().copied() else { return false };
        let index = entry.item;
        if self.ineligibility(index).is_some() {
            return false;
        }
        let n_accelerators = key.tasks * key.demand.accelerators;
        let homes: Vec<u32> = (0..self.homes.len() as u32)
            .filter(|it| self.home_fits(*it, &key, n_accelerators))
            .collect();
        let request = PlacementRequest::of(&self.items.at(index).work);
        // A non-reclaimable item is never preempted, so it is as safe outside the home block. Inside, it
        // would prevent a claim of the whole shape.
        let non_reclaimable = self.booking_of(index) == Booking::NonReclaimable;
        if non_reclaimable && key.guarantee.is_none() && self.start_unguaranteed(index) {
            return true;
        }
        for home in &homes {
            if let Some(tasks) = self.place_claim(index, *home, &request, &key) {
                return self.start_claim(index, *home, tasks, "home block is free");
            }
        }
        // A free block elsewhere needs no preemption. The home moves there if the item names the guarantee
        // or uses at least half of the shape, so that the item runs in a home block and is not
        // reclaimed for other accounts.
        for home in &homes {
            let moves_home =
                self.homes[*home as usize].size <= 2 * n_accelerators || key.guarantee.is_some();
            if moves_home
                && self.move_home_to_free_block(*home, index)
                && let Some(tasks) = self.place_claim(index, *home, &request, &key)
            {
                return self.start_claim(index, *home, tasks, "block was moved to a free one");
            }
        }
        if key.guarantee.is_none() && !non_reclaimable && self.start_unguaranteed(index) {
            return true;
        }
        homes.iter().any(|it| self.reclaim_home(index, *it, &request, &key))
    }

    /// Starts an item as a claim of a home; `detail` says in the wait reason how it got its place.
    fn start_claim(&mut self, index: u32, home: u32, tasks: Vec<PlacedTask>, detail: &str) -> bool {
        let reason = self.claim_reason(home, detail);
        self.dequeue(index);
        self.start(index, tasks, Some(home), reason);
        true
    }

    pub(crate) fn claim_reason(&self, home: u32, detail: &str) -> model::WaitReason {
        let label = self.homes[home as usize].label();
        reasons::plain(
            model::WaitCode::GuaranteeKept,
            format!("claims guarantee {label}: {detail}"),
        )
    }

    /// The best free place in the home block.
    fn place_claim(
        &self,
        index: u32,
        home: u32,
        request: &PlacementRequest,
        key: &GroupKey,
    ) -> Option<Vec<PlacedTask>> {
        let exclude = &self.items.at(index).exclude;
        let rule = ClaimRule { core: self, home, key, request, reclaims: false, exclude };
        placement::best(&self.topology, request, &rule)
    }

    /// Reserves the cheapest place in the home block and preempts its holders; false if no place in the
    /// block can be reclaimed.
    fn reclaim_home(
        &mut self,
        index: u32,
        home: u32,
        request: &PlacementRequest,
        key: &GroupKey,
    ) -> bool {
        self.move_home_to_cheaper_block(home, index);
        let exclude = &self.items.at(index).exclude;
        let rule = ClaimRule { core: self, home, key, request, reclaims: true, exclude };
        let Some(tasks) = self.cheapest_home_place(request, &rule, home) else { return false };
        self.dequeue(index);
        self.reserve(index, tasks, ReservationKind::Claim, Some(home));
        self.preempt_holders(index, ReservationKind::Claim);
        true
    }

    /// The place in the home block whose holders cost least to preempt.
    fn cheapest_home_place(
        &self,
        request: &PlacementRequest,
        rule: &impl PlacementRule,
        home: u32,
    ) -> Option<Vec<PlacedTask>> {
        let block = &self.homes[home as usize].block;
        reclaim::cheapest_placement(self, request, rule, block, self.parameters.checkpoint_grace)
    }
}
