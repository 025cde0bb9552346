//! What must hold after every turn, checked naively for tests and fuzzers.

use std::collections::BTreeMap;

use almondpass_schema::{ids, time};
use thiserror::Error;

use crate::core::HallCore;
use crate::ledger::{Booking, Usage};
use crate::topology::NONE;
use crate::work;

/// What does not hold.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum InvariantBreach {
    /// Two pieces of work hold one accelerator.
    #[error(
        "expected one holder of accelerator {accelerator} of {worker}, found {first} and {second}"
    )]
    HeldTwice {
        /// The worker.
        worker: ids::WorkerId,
        /// Index on it.
        accelerator: u32,
        /// One holder.
        first: work::WorkId,
        /// The other.
        second: work::WorkId,
    },
    /// The ledger and the items disagree.
    #[error("expected the ledger to agree with the items, found {0}")]
    Ledger(String),
    /// Some of a gang's tasks hold accelerators, some do not.
    #[error("expected {tasks} tasks of {work} to be held, found {held}")]
    PartialGang {
        /// The gang.
        work: work::WorkId,
        /// Tasks that it has.
        tasks: u32,
        /// Tasks that are held.
        held: u32,
    },
    /// A worker gives more than it has.
    #[error("expected {worker} to have what it gives, found {detail}")]
    Overcommitted {
        /// The worker.
        worker: ids::WorkerId,
        /// How much too much.
        detail: String,
    },
    /// Two home blocks overlap, or a block has the wrong size.
    #[error("expected a block of its own for {home}, found {detail}")]
    HomeBlock {
        /// `account/name`.
        home: String,
        /// What is wrong.
        detail: String,
    },
    /// A home block that can't be reclaimed in time.
    #[error("expected the home block of {home} to be reclaimable, found {work} on {worker}")]
    NotReclaimable {
        /// `account/name`.
        home: String,
        /// Who is in the way.
        work: work::WorkId,
        /// Where.
        worker: ids::WorkerId,
    },
}

impl HallCore {
    /// Checks everything that must hold between turns.
    ///
    /// # Errors
    /// The first breach found.
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
            let mut hard = Usage::default();
            for (_, item) in self.items.iter().filter(|(_, it)| it.state.holds_accelerators()) {
                let n = item.tasks.iter().filter(|it| it.worker as usize == worker).count() as u32;
                let here = Usage::of(&item.work.demand).times(n);
                used.add(here);
                if item.booking == Booking::NonReclaimable {
                    hard.add(here);
                }
            }
            let book = &self.ledger.workers[worker];
            if book.free != Usage::capacity(spec).minus(used) || book.non_reclaimable != hard {
                let text = format!("{book:?} on {}, used {used:?}, hard {hard:?}", spec.name);
                return Err(InvariantBreach::Ledger(text));
            }
            if !book.free.covers(Usage::default()) {
                let detail = format!("{:?} left", book.free);
                let worker = spec.name.clone();
                return Err(InvariantBreach::Overcommitted { worker, detail });
            }
        }
        Ok(())
    }

    fn check_home_blocks(&self) -> Result<(), InvariantBreach> {
        let mut owners: BTreeMap<u32, u32> = BTreeMap::new();
        for (home, shape) in self.homes.iter().enumerate() {
            let breach =
                |detail: String| Err(InvariantBreach::HomeBlock { home: shape.label(), detail });
            if shape.has_block() && shape.block.len() as u32 != shape.size {
                return breach(format!("{} accelerators", shape.block.len()));
            }
            if shape.size < self.claimed_accelerators(home as u32) {
                return breach(format!("{} claimed", self.claimed_accelerators(home as u32)));
            }
            for it in &shape.block {
                if owners.insert(*it, home as u32).is_some() {
                    return breach(format!("accelerator {it} in two blocks"));
                }
                if self.ledger.home[*it as usize] != home as u32 {
                    return breach(format!("accelerator {it} not in the ledger"));
                }
            }
        }
        let settled = self.ledger.home.iter().filter(|it| **it != NONE).count();
        if settled != owners.len() {
            return Err(InvariantBreach::Ledger(format!("{settled} home accelerators")));
        }
        Ok(())
    }

    fn check_reclaimable(&self, now: time::WallTime) -> Result<(), InvariantBreach> {
        for (home, shape) in self.homes.iter().enumerate() {
            for it in &shape.block {
                let spec = self.topology.host(*it);
                let holder = self.ledger.holder[*it as usize];
                if holder == NONE {
                    continue;
                }
                let item = self.items.at(holder);
                let rule = &self.catalog.classes[item.class as usize];
                let claims = item.claimed_home == Some(home as u32);
                let stops = !rule.is_request && (rule.repeatable || item.cancelled || item.overran);
                let ends = self.latest_end(item) <= now + self.parameters.reclaim_bound;
                if !(claims || stops || ends) {
                    return Err(InvariantBreach::NotReclaimable {
                        home: shape.label(),
                        work: item.work.id,
                        worker: spec.name.clone(),
                    });
                }
            }
            let workers: BTreeMap<u32, ()> =
                shape.block.iter().map(|it| (self.topology.worker_of[*it as usize], ())).collect();
            for worker in workers.keys() {
                self.check_share(*worker, &shape.label())?;
            }
        }
        Ok(())
    }

    fn check_share(&self, worker: u32, home: &str) -> Result<(), InvariantBreach> {
        let room = self.ledger.free_for_non_reclaimable(worker, &self.topology);
        if room.covers(Usage::default()) {
            return Ok(());
        }
        let name = &self.topology.workers[worker as usize].name;
        let detail = format!("cores, memory or slots of {name} that can't be reclaimed");
        Err(InvariantBreach::HomeBlock { home: home.to_owned(), detail })
    }
}
