//! Who holds what: accelerators, cores, memory and slots, and what is promised to whom.

use crate::topology::{self, HallTopology, NONE};
use crate::work;

/// Cores, memory and slots of one worker, or a share of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) cores: i64,
    pub(crate) memory_mb: i64,
    pub(crate) slots: i64,
}

impl Usage {
    /// What one task uses.
    pub(crate) fn of(demand: &work::TaskDemand) -> Usage {
        Usage {
            cores: i64::from(demand.cores),
            memory_mb: demand.memory_mb as i64,
            slots: i64::from(demand.slots),
        }
    }

    /// All of a worker.
    pub(crate) fn capacity(spec: &topology::WorkerSpec) -> Usage {
        Usage {
            cores: i64::from(spec.cores),
            memory_mb: spec.memory_mb as i64,
            slots: i64::from(spec.slots),
        }
    }

    /// Share of a worker that goes with some of its accelerators.
    pub(crate) fn share(spec: &topology::WorkerSpec, accelerators: u32) -> Usage {
        let whole = Usage::capacity(spec);
        let total = i64::from(spec.accelerators.max(1));
        let part = i64::from(accelerators);
        Usage {
            cores: whole.cores * part / total,
            memory_mb: whole.memory_mb * part / total,
            slots: whole.slots * part / total,
        }
    }

    pub(crate) fn add(&mut self, other: Usage) {
        self.cores += other.cores;
        self.memory_mb += other.memory_mb;
        self.slots += other.slots;
    }

    pub(crate) fn sub(&mut self, other: Usage) {
        self.cores -= other.cores;
        self.memory_mb -= other.memory_mb;
        self.slots -= other.slots;
    }

    pub(crate) fn minus(mut self, other: Usage) -> Usage {
        self.sub(other);
        self
    }

    pub(crate) fn times(self, n: u32) -> Usage {
        let n = i64::from(n);
        Usage { cores: self.cores * n, memory_mb: self.memory_mb * n, slots: self.slots * n }
    }

    /// Whether all of `other` fits in this.
    pub(crate) fn covers(self, other: Usage) -> bool {
        other.cores <= self.cores && other.memory_mb <= self.memory_mb && other.slots <= self.slots
    }

    /// How many tasks of this demand fit.
    pub(crate) fn max_tasks(self, demand: Usage) -> u32 {
        let fit = |have: i64, need: i64| if need == 0 { i64::from(u32::MAX) } else { have / need };
        fit(self.cores, demand.cores)
            .min(fit(self.memory_mb, demand.memory_mb))
            .min(fit(self.slots, demand.slots))
            .clamp(0, i64::from(u32::MAX)) as u32
    }
}

/// One task where it is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlacedTask {
    pub(crate) worker: u32,
    /// Accelerators by index in the hall.
    pub(crate) accelerators: Vec<u32>,
}

/// What stands on one worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct WorkerLedger {
    pub(crate) free: Usage,
    /// Used by work that can't be reclaimed in time and claims no home there.
    pub(crate) non_reclaimable: Usage,
    /// Wanted by reservations.
    pub(crate) reserved: Usage,
    /// Work that reserves something here, once for each task.
    pub(crate) reservations: Vec<u32>,
    pub(crate) free_accelerators: u32,
    /// Accelerators inside home blocks.
    pub(crate) home_accelerators: u32,
    /// Work with tasks here, once for each task.
    pub(crate) items: Vec<u32>,
}

/// How work is booked on its accelerators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Booking {
    /// Can be reclaimed within the bound.
    Reclaimable,
    /// Cannot.
    NonReclaimable,
    /// Claims the home block that it is in.
    Claim,
}

/// Every accelerator and worker of the hall.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct HallLedger {
    /// Work that holds each accelerator.
    pub(crate) holder: Vec<u32>,
    /// Work for which each accelerator is reserved.
    pub(crate) reserved_for: Vec<u32>,
    /// Home block in which each accelerator lies.
    pub(crate) home: Vec<u32>,
    pub(crate) workers: Vec<WorkerLedger>,
}

impl HallLedger {
    /// A hall with nothing held.
    pub(crate) fn new(topology: &HallTopology) -> HallLedger {
        let n = topology.worker_of.len();
        let book = |spec: &topology::WorkerSpec| WorkerLedger {
            free: Usage::capacity(spec),
            free_accelerators: spec.accelerators,
            ..WorkerLedger::default()
        };
        HallLedger {
            holder: vec![NONE; n],
            reserved_for: vec![NONE; n],
            home: vec![NONE; n],
            workers: topology.workers.iter().map(book).collect(),
        }
    }

    /// Books the tasks of work; false, and nothing booked, where an accelerator is held already.
    pub(crate) fn hold(
        &mut self,
        item: u32,
        tasks: &[PlacedTask],
        usage: Usage,
        booking: Booking,
    ) -> bool {
        let taken = |it: &u32| self.holder[*it as usize] != NONE;
        if tasks.iter().flat_map(|it| &it.accelerators).any(taken) {
            return false;
        }
        for it in tasks {
            for accelerator in &it.accelerators {
                self.holder[*accelerator as usize] = item;
            }
            let book = &mut self.workers[it.worker as usize];
            book.free_accelerators -= it.accelerators.len() as u32;
            book.free.sub(usage);
            book.items.push(item);
            if booking == Booking::NonReclaimable {
                book.non_reclaimable.add(usage);
            }
        }
        true
    }

    /// Gives back what `hold` booked.
    pub(crate) fn release(
        &mut self,
        item: u32,
        tasks: &[PlacedTask],
        usage: Usage,
        booking: Booking,
    ) {
        for it in tasks {
            for accelerator in &it.accelerators {
                self.holder[*accelerator as usize] = NONE;
            }
            let book = &mut self.workers[it.worker as usize];
            book.free_accelerators += it.accelerators.len() as u32;
            book.free.add(usage);
            if let Some(at) = book.items.iter().position(|other| *other == item) {
                book.items.swap_remove(at);
            }
            if booking == Booking::NonReclaimable {
                book.non_reclaimable.sub(usage);
            }
        }
    }

    /// Changes how held work is booked.
    pub(crate) fn rebook(
        &mut self,
        tasks: &[PlacedTask],
        usage: Usage,
        from: Booking,
        to: Booking,
    ) {
        for it in tasks {
            let book = &mut self.workers[it.worker as usize];
            if from == Booking::NonReclaimable {
                book.non_reclaimable.sub(usage);
            }
            if to == Booking::NonReclaimable {
                book.non_reclaimable.add(usage);
            }
        }
    }

    /// Reserves accelerators and shares for work that will start there.
    pub(crate) fn reserve(&mut self, item: u32, tasks: &[PlacedTask], usage: Usage) {
        for it in tasks {
            for accelerator in &it.accelerators {
                self.reserved_for[*accelerator as usize] = item;
            }
            let book = &mut self.workers[it.worker as usize];
            book.reserved.add(usage);
            book.reservations.push(item);
        }
    }

    /// Gives a reservation up.
    pub(crate) fn unreserve(&mut self, item: u32, tasks: &[PlacedTask], usage: Usage) {
        for it in tasks {
            for accelerator in &it.accelerators {
                self.reserved_for[*accelerator as usize] = NONE;
            }
            let book = &mut self.workers[it.worker as usize];
            book.reserved.sub(usage);
            if let Some(at) = book.reservations.iter().position(|other| *other == item) {
                book.reservations.swap_remove(at);
            }
        }
    }

    /// Makes accelerators a home block.
    pub(crate) fn add_home_block(&mut self, home: u32, block: &[u32], topology: &HallTopology) {
        for it in block {
            self.home[*it as usize] = home;
            self.workers[topology.worker_of[*it as usize] as usize].home_accelerators += 1;
        }
    }

    /// Takes a home block away.
    pub(crate) fn remove_home_block(&mut self, block: &[u32], topology: &HallTopology) {
        for it in block {
            self.home[*it as usize] = NONE;
            self.workers[topology.worker_of[*it as usize] as usize].home_accelerators -= 1;
        }
    }

    /// What work that can't be reclaimed may still use of a worker, whatever else runs there now.
    pub(crate) fn free_for_non_reclaimable(&self, worker: u32, topology: &HallTopology) -> Usage {
        self.capacity_for_non_reclaimable(worker, topology)
            .minus(self.workers[worker as usize].non_reclaimable)
    }

    /// What work that can't be reclaimed may use of a worker at most.
    pub(crate) fn capacity_for_non_reclaimable(
        &self,
        worker: u32,
        topology: &HallTopology,
    ) -> Usage {
        let spec = &topology.workers[worker as usize];
        let homes = self.workers[worker as usize].home_accelerators;
        Usage::capacity(spec).minus(Usage::share(spec, homes))
    }
}
