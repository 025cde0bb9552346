//! Invariants that hold after every round, checked by brute force in tests and fuzzers.

use std::collections::BTreeMap;

use almondpass_schema::{ids, time};
use thiserror::Error;

use crate::core::HallCore;
use crate::ledger::{Booking, Usage};
use crate::topology::NONE;
use crate::work;

/// The invariant that is violated, with the objects that violate it.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum InvariantBreach {
    /// Two work items hold the same accelerator.
    #[error(
        "expected one holder of accelerator {accelerator} of {worker}, found {first} and {second}"
    )]
    HeldTwice {
        /// Worker of the accelerator.
        worker: ids::WorkerId,
        /// Index of the accelerator on the worker, from 0.
        accelerator: u32,
        /// Holder that was found first.
        first: work::WorkId,
        /// Holder that was found second.
        second: work::WorkId,
    },
    /// The ledger and the items disagree; the text says where.
    #[error("expected the ledger to agree with the items, found {0}")]
    Ledger(String),
    /// Only some of a gang's tasks are placed although the gang holds accelerators.
    #[error("expected {tasks} tasks of {work} to be held, found {held}")]
    PartialGang {
        /// Id of the gang.
        work: work::WorkId,
        /// Number of tasks of the gang.
        tasks: u32,
        /// Number of its tasks that are placed.
        held: u32,
    },
    /// More cores, memory or slots of a worker are in use than it has.
    #[error("expected the use of {worker} within its capacity, found {detail}")]
    Overcommitted {
        /// Worker that is overcommitted.
        worker: ids::WorkerId,
        /// Free resources of the worker, some of them negative.
        detail: String,
    },
    /// Two home blocks overlap, a block has the wrong size, more of it is claimed than it has, or
    /// non-reclaimable work uses the block's share of a worker.
    #[error("expected a valid home block for {home}, found {detail}")]
    HomeBlock {
        /// Home as `account/guarantee`.
        home: String,
        /// Description of the fault.
        detail: String,
    },
    /// A home block holds work that can't be reclaimed within the reclaim bound.
    #[error("expected the home block of {home} to be reclaimable, found {work} on {worker}")]
    NotReclaimable {
        /// Home as `account/guarantee`.
        home: String,
        /// Work that holds an accelerator of the block.
        work: work::WorkId,
        /// Worker of that accelerator.
        worker: ids::WorkerId,
    },
}

impl HallCore {
    /// Checks all invariants that hold between rounds. Takes time in proportion to workers times items.
    ///
    /// # Errors
    /// The first violation found.
    pub fn check_invariants(&self, now: time::WallTime) -> Result<(), InvariantBreach> {
        self.check_holders()?;
        self.check_workers()?;
        self.check_home_blocks()?;
        self.check_reclaimable(now)
    }

    fn check_holders(&self) -> Result<(), InvariantBreach> {
        let mut holders: BTreeMap<u32, u32> = BTreeMap::new();
        for (index, item) in self.items.iter() {
            if !item.state.holds_accelerators() {
                continue;
            }
            let held = item.tasks.len() as u32;
            if held != item.work.tasks {
                let (work, tasks) = (item.work.id, item.work.tasks);
                return Err(InvariantBreach::PartialGang { work, tasks, held });
            }
            for accelerator in item.tasks.iter().flat_map(|it| &it.accelerators) {
                if let Some(first) = holders.insert(*accelerator, index) {
                    let spec = self.topology.host(*accelerator);
                    return Err(InvariantBreach::HeldTwice {
                        worker: spec.name.clone(),
                        accelerator: accelerator - spec.first_accelerator,
                        first: self.items.at(first).work.id,
                        second: item.work.id,
                    });
                }
            }
        }
        for (accelerator, holder) in self.ledger.holder.iter().enumerate() {
            let found = holders.get(&(accelerator as u32)).copied().unwrap_or(NONE);
            if found != *holder {
                let text = format!("accelerator {accelerator} with {holder}, held by {found}");
                return Err(InvariantBreach::Ledger(text));
            }
        }
        Ok(())
    }

    fn check_workers(&self) -> Result<(), InvariantBreach> {
        for (worker, spec) in self.topology.workers.iter().enumerate() {
            if spec.rack == NONE {
                continue;
            }
            let mut used = Usage::default();
            let mut non_reclaimable = Usage::default();
            for (_, item) in self.items.iter().filter(|(_, it)| it.state.holds_accelerators()) {
                let n = item.tasks.iter().filter(|it| it.worker as usize == worker).count() as u32;
                let item_usage = Usage::of(&item.work.demand).times(n);
                used.add(item_usage);
                if item.booking == Booking::NonReclaimable {
                    non_reclaimable.add(item_usage);
                }
            }
            let ledger = &self.ledger.workers[worker];
            if ledger.free != Usage::capacity(spec).minus(used)
                || ledger.non_reclaimable != non_reclaimable
            {
                let text = format!(
                    "{ledger:?} on {}, used {used:?}, non-reclaimable {non_reclaimable:?}",
                    spec.name
                );
                return Err(InvariantBreach::Ledger(text));
            }
            if !ledger.free.covers(Usage::default()) {
                let detail = format!("{:?} left", ledger.free);
                let worker = spec.name.clone();
                return Err(InvariantBreach::Overcommitted { worker, detail });
            }
        }
        Ok(())
    }

    fn check_home_blocks(&self) -> Result<(), InvariantBreach> {
        let mut owners: BTreeMap<u32, u32> = BTreeMap::new();
        for (home, home_block) in self.homes.iter().enumerate() {
            let breach = |detail: String| {
                Err(InvariantBreach::HomeBlock { home: home_block.label(), detail })
            };
            if home_block.has_block() && home_block.block.len() as u32 != home_block.size {
                return breach(format!("{} accelerators", home_block.block.len()));
            }
            if home_block.size < self.claimed_accelerators(home as u32) {
                return breach(format!("{} claimed", self.claimed_accelerators(home as u32)));
            }
            for it in &home_block.block {
                if owners.insert(*it, home as u32).is_some() {
                    return breach(format!("accelerator {it} in two blocks"));
                }
                if self.ledger.home[*it as usize] != home as u32 {
                    return breach(format!("accelerator {it} not in the ledger"));
                }
            }
        }
        let n_home_accelerators = self.ledger.home.iter().filter(|it| **it != NONE).count();
        if n_home_accelerators != owners.len() {
            return Err(InvariantBreach::Ledger(format!(
                "{n_home_accelerators} home accelerators"
            )));
        }
        Ok(())
    }

    fn check_reclaimable(&self, now: time::WallTime) -> Result<(), InvariantBreach> {
        for (home, home_block) in self.homes.iter().enumerate() {
            for it in &home_block.block {
                let spec = self.topology.host(*it);
                let holder = self.ledger.holder[*it as usize];
                if holder == NONE {
                    continue;
                }
                let item = self.items.at(holder);
                let rule = &self.catalog.classes[item.class as usize];
                let is_claim = item.claimed_home == Some(home as u32);
                let stoppable =
                    !rule.is_request && (rule.repeatable || item.cancelled || item.overran);
                let ends_in_time = self.latest_end(item) <= now + self.parameters.reclaim_bound;
                if !(is_claim || stoppable || ends_in_time) {
                    return Err(InvariantBreach::NotReclaimable {
                        home: home_block.label(),
                        work: item.work.id,
                        worker: spec.name.clone(),
                    });
                }
            }
            let workers: BTreeMap<u32, ()> = home_block
                .block
                .iter()
                .map(|it| (self.topology.worker_of[*it as usize], ()))
                .collect();
            for worker in workers.keys() {
                self.check_home_share(*worker, &home_block.label())?;
            }
        }
        Ok(())
    }

    fn check_home_share(&self, worker: u32, home: &str) -> Result<(), InvariantBreach> {
        let free = self.ledger.free_for_non_reclaimable(worker, &self.topology);
        if free.covers(Usage::default()) {
            return Ok(());
        }
        let name = &self.topology.workers[worker as usize].name;
        let detail = format!("cores, memory or slots of {name} that can't be reclaimed");
        Err(InvariantBreach::HomeBlock { home: home.to_owned(), detail })
    }
}
