//! Claims: work of an account that fits a guaranteed shape of it.

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

/// Claims looked at in one turn.
const MAX_CLAIMS_PER_ROUND: usize = 64;

impl HallCore {
    /// Starts what fits an unclaimed shape of its account, reclaiming it where it must.
    pub(crate) fn serve_claims(&mut self) {
        if self.homes.is_empty() {
            return;
        }
        let mut budget = MAX_CLAIMS_PER_ROUND;
        let mut groups = self.ranked_groups(|core, key| core.may_claim(key));
        // Work that names its guarantee goes before what merely fits.
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

    /// Whether a shape of the account has room for the work by count.
    fn may_claim(&self, key: &GroupKey) -> bool {
        let width = key.tasks * key.demand.accelerators;
        0 < width && (0..self.homes.len() as u32).any(|it| self.home_fits(it, key, width))
    }

    fn home_fits(&self, home: u32, key: &GroupKey, width: u32) -> bool {
        let shape = &self.homes[home as usize];
        shape.account == key.account
            && shape.has_block()
            && key.guarantee.as_ref().is_none_or(|it| *it == shape.guarantee)
            && self.kept_claims(home, key) + width <= shape.size
            && (key.guarantee.is_some() || !self.blocks_shape(shape, key, width))
    }

    /// Whether work that merely fits a shape would keep its account from claiming it whole in time.
    /// What can't be reclaimed takes a shape that nobody names and that is not much larger.
    fn blocks_shape(&self, shape: &HomeBlock, key: &GroupKey, width: u32) -> bool {
        let rule = &self.catalog.classes[key.class as usize];
        let gangs = shape.adjacency != model::Adjacency::Worker && 2 * width < shape.size;
        self.is_non_reclaimable(rule) && (shape.claimed_by_name || gangs)
    }

    /// Accelerators of a home whose claims do not yield to work of this kind.
    fn kept_claims(&self, home: u32, key: &GroupKey) -> u32 {
        let kept = |it: &&u32| !self.claim_yields(**it, key);
        let claims = self.homes[home as usize].claims.iter().filter(kept);
        claims.map(|it| self.items.at(*it).n_accelerators()).sum()
    }

    /// Whether a claim gives way to other work of its own account: it took the guarantee without
    /// naming it, and the other names it or is urgent.
    pub(crate) fn claim_yields(&self, claim: u32, key: &GroupKey) -> bool {
        let item = self.items.at(claim);
        let rule = &self.catalog.classes[item.class as usize];
        let other = &self.catalog.classes[key.class as usize];
        let running = matches!(item.state, ItemState::Starting | ItemState::Running);
        let stronger = key.guarantee.is_some() || other.urgent;
        running
            && stronger
            && item.work.guarantee.is_none()
            && !rule.urgent
            && rule.repeatable
            && !rule.is_request
            && rule.priority <= other.priority
    }

    /// Serves the first of a group; false where it can't be served now.
    fn serve_claim(&mut self, group: u32) -> bool {
        let Some(it) = self.queue.group(group) else { return false };
        let key = it.key.clone();
        let Some(entry) = it.entries.first().copied() else { return false };
        let index = entry.item;
        if self.ineligibility(index).is_some() {
            return false;
        }
        let width = key.tasks * key.demand.accelerators;
        let homes: Vec<u32> =
            (0..self.homes.len() as u32).filter(|it| self.home_fits(*it, &key, width)).collect();
        let request = PlacementRequest::of(&self.items.at(index).work);
        // What can't be reclaimed is as safe elsewhere, and would stand in the way of a claim of the
        // whole shape at home.
        let hard = self.booking_of(index) == Booking::NonReclaimable;
        if hard && key.guarantee.is_none() && self.start_unguaranteed(index) {
            return true;
        }
        for home in &homes {
            if let Some(tasks) = self.place_claim(index, *home, &request, &key) {
                return self.start_claim(index, *home, tasks, "home block is free");
            }
        }
        // Free accelerators elsewhere cost nobody anything. The home moves there for work that uses
        // most of it, so that it stays safe from others.
        for home in &homes {
            let most = self.homes[*home as usize].size <= 2 * width || key.guarantee.is_some();
            if most
                && self.move_home_to_free_block(*home, index)
                && let Some(tasks) = self.place_claim(index, *home, &request, &key)
            {
                return self.start_claim(index, *home, tasks, "block was moved to a free one");
            }
        }
        if key.guarantee.is_none() && !hard && self.start_unguaranteed(index) {
            return true;
        }
        homes.iter().any(|it| self.reclaim_home(index, *it, &request, &key))
    }

    fn start_claim(&mut self, index: u32, home: u32, tasks: Vec<PlacedTask>, how: &str) -> bool {
        let reason = self.claim_reason(home, how);
        self.dequeue(index);
        self.start(index, tasks, Some(home), reason);
        true
    }

    pub(crate) fn claim_reason(&self, home: u32, how: &str) -> model::WaitReason {
        let label = self.homes[home as usize].label();
        reasons::plain(model::WaitCode::GuaranteeKept, format!("claims guarantee {label}: {how}"))
    }

    /// A free place in the home block.
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

    /// Reserves the cheapest place in the home block and sends away whoever is there.
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
        let Some(tasks) = self.cheapest_place(request, &rule, home) else { return false };
        self.dequeue(index);
        self.reserve(index, tasks, ReservationKind::Claim, Some(home));
        self.preempt_holders(index, ReservationKind::Claim);
        true
    }

    fn cheapest_place(
        &self,
        request: &PlacementRequest,
        rule: &impl PlacementRule,
        home: u32,
    ) -> Option<Vec<PlacedTask>> {
        let block = &self.homes[home as usize].block;
        reclaim::cheapest_placement(self, request, rule, block, self.parameters.checkpoint_grace)
    }
}
