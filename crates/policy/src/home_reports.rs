//! Reports changes of guarantees and their home blocks to operators.

use almondpass_schema::model;

use crate::core::{HallCore, SETTLE_TIME};
use crate::decision::Decision;
use crate::reasons;
use crate::topology::NONE;

impl HallCore {
    /// Reports guarantees that lost, regained or moved their block since `before`, which holds the earlier
    /// block of each home. Losses are not reported within `SETTLE_TIME` after the start of the scheduler.
    pub(crate) fn report_home_changes(&mut self, before: &[Vec<u32>]) {
        let starting_up = self.now.since(self.created_at) < SETTLE_TIME;
        for home in 0..self.homes.len() as u32 {
            let has_block_now = self.homes[home as usize].has_block();
            let last_reported = self.homes[home as usize].last_reported_has_block;
            if has_block_now {
                if last_reported == Some(true)
                    && before[home as usize] != self.homes[home as usize].block
                {
                    self.report_home_moved(
                        home,
                        "moved: its block was damaged or is no longer reclaimable",
                    );
                } else if last_reported == Some(false) {
                    self.report_home_moved(home, "whole again");
                }
                self.homes[home as usize].last_reported_has_block = Some(true);
            } else if last_reported != Some(false) && !starting_up {
                self.homes[home as usize].last_reported_has_block = Some(false);
                self.report_home_lost(home);
            }
        }
    }

    /// Reports a change of a home that has a block; `change` completes the sentence "guarantee X ...".
    pub(crate) fn report_home_moved(&mut self, home: u32, change: &str) {
        let shape = &self.homes[home as usize];
        let first_worker = self.topology.host(shape.block[0]);
        let reason = reasons::plain(
            model::WaitCode::GuaranteeKept,
            format!("guarantee {} {change}; now at home from {}", shape.label(), first_worker.name),
        );
        self.push_guarantee(home, reason);
    }

    /// Reports that no reclaimable block is left for a guarantee.
    pub(crate) fn report_home_lost(&mut self, home: u32) {
        let shape = &self.homes[home as usize];
        let n_live = self.health.iter().filter(|it| it.usable()).count();
        let reason = reasons::plain(
            model::WaitCode::NoCapacity,
            format!(
                "guarantee {} lost: no block of {} accelerators ({}) in {} can be reclaimed, with \
                 {} of {} live",
                shape.label(),
                shape.size,
                shape.adjacency,
                self.hall,
                n_live,
                reasons::count(self.health.len(), "worker"),
            ),
        );
        self.push_guarantee(home, reason);
    }

    /// Adds the current state of a guarantee, with the reason of its change, to the decisions of the round.
    fn push_guarantee(&mut self, home: u32, reason: model::WaitReason) {
        let state = self.home_state(home);
        let shape = &self.homes[home as usize];
        self.outbox.push(Decision::GuaranteeChanged {
            account: shape.account_id.clone(),
            guarantee: shape.guarantee.clone(),
            state,
            reason,
        });
    }

    /// State of a guarantee, from its block, its claims and the holders of the block.
    pub(crate) fn home_state(&self, home: u32) -> model::GuaranteeState {
        let shape = &self.homes[home as usize];
        let is_free = |it: &u32| self.ledger.holder[*it as usize] == NONE;
        if !shape.has_block() {
            model::GuaranteeState::Lost
        } else if !shape.claims.is_empty() {
            model::GuaranteeState::Claimed
        } else if shape.block.iter().all(is_free) {
            model::GuaranteeState::Free
        } else {
            model::GuaranteeState::Reclaimable
        }
    }
}
