//! Records which item holds or has reserved accelerators, cores, memory and slots of a hall, and which
//! accelerators belong to home blocks.

use crate::topology::{self, HallTopology, NONE};
use crate::work;

/// An amount of cores, memory and slots: capacity of a worker, a share of it, or the use of tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) cores: i64,
    pub(crate) memory_mb: i64,
    pub(crate) slots: i64,
}

impl Usage {
    /// The demand of one task.
    pub(crate) fn of(demand: &work::TaskDemand) -> Usage {
        Usage {
            cores: i64::from(demand.cores),
            memory_mb: demand.memory_mb as i64,
            slots: i64::from(demand.slots),
        }
    }

    pub(crate) fn capacity(spec: &topology::WorkerSpec) -> Usage {
        Usage {
            cores: i64::from(spec.cores),
            memory_mb: spec.memory_mb as i64,
            slots: i64::from(spec.slots),
        }
    }

    /// The part of a worker's capacity that belongs to a number of its accelerators, in proportion.
    pub(crate) fn share(spec: &topology::WorkerSpec, accelerators: u32) -> Usage {
        let worker_capacity = Usage::capacity(spec);
        let total = i64::from(spec.accelerators.max(1));
        let n_accelerators = i64::from(accelerators);
        Usage {
            cores: worker_capacity.cores * n_accelerators / total,
            memory_mb: worker_capacity.memory_mb * n_accelerators / total,
            slots: worker_capacity.slots * n_accelerators / total,
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

    /// Whether `other` is no larger in cores, memory and slots.
    pub(crate) fn covers(self, other: Usage) -> bool {
        other.cores <= self.cores && other.memory_mb <= self.memory_mb && other.slots <= self.slots
    }

    /// How many tasks of this demand fit in the amount.
    pub(crate) fn max_tasks(self, demand: Usage) -> u32 {
        let n_fitting = |available: i64, needed: i64| {
            if needed == 0 { i64::from(u32::MAX) } else { available / needed }
        };
        n_fitting(self.cores, demand.cores)
            .min(n_fitting(self.memory_mb, demand.memory_mb))
            .min(n_fitting(self.slots, demand.slots))
            .clamp(0, i64::from(u32::MAX)) as u32
    }
}

/// One task and the worker and accelerators it is placed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlacedTask {
    pub(crate) worker: u32,
    /// Indexes, in the hall, of its accelerators.
    pub(crate) accelerators: Vec<u32>,
}

/// Use and reservations of one worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct WorkerLedger {
    pub(crate) free: Usage,
    /// Used by items that can't be reclaimed within the reclaim bound and claim no home block.
    pub(crate) non_reclaimable: Usage,
    /// Cores, memory and slots that reservations need.
    pub(crate) reserved: Usage,
    /// Items with a reservation on this worker, once for each task.
    pub(crate) reservations: Vec<u32>,
    pub(crate) free_accelerators: u32,
    /// Number of the worker's accelerators inside home blocks.
    pub(crate) home_accelerators: u32,
    /// Items that hold tasks on this worker, once for each task.
    pub(crate) items: Vec<u32>,
}

/// Whether the accelerators that an item holds can be reclaimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Booking {
    /// They can be reclaimed within the reclaim bound.
    Reclaimable,
    /// They can't be reclaimed within the reclaim bound, so the item must stay outside home blocks.
    NonReclaimable,
    /// The item claims the home block that it lies in.
    Claim,
}

/// Holders, reservations and home blocks of every accelerator and worker of a hall.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct HallLedger {
    /// Item that holds each accelerator, or `NONE`.
    pub(crate) holder: Vec<u32>,
    /// Item for which each accelerator is reserved, or `NONE`.
    pub(crate) reserved_for: Vec<u32>,
    /// Index of the home whose block each accelerator lies in, or `NONE`.
    pub(crate) home: Vec<u32>,
    pub(crate) workers: Vec<WorkerLedger>,
}

impl HallLedger {
    /// A ledger in which nothing is held, reserved or part of a home block.
    pub(crate) fn new(topology: &HallTopology) -> HallLedger {
        let n = topology.worker_of.len();
        let worker_ledger = |spec: &topology::WorkerSpec| WorkerLedger {
            free: Usage::capacity(spec),
            free_accelerators: spec.accelerators,
            ..WorkerLedger::default()
        };
        HallLedger {
            holder: vec![NONE; n],
            reserved_for: vec![NONE; n],
            home: vec![NONE; n],
            workers: topology.workers.iter().map(worker_ledger).collect(),
        }
    }

    /// Books the tasks of an item on their workers and accelerators. If an accelerator is held already,
    /// books nothing and returns false.
    pub(crate) fn hold(
        &mut self,
        item: u32,
        tasks: &[PlacedTask],
        usage: Usage,
        booking: Booking,
    ) -> bool {
        let is_held = |it: &u32| self.holder[*it as usize] != NONE;
        if tasks.iter().flat_map(|it| &it.accelerators).any(is_held) {
            return false;
        }
        for task in tasks {
            for accelerator in &task.accelerators {
                self.holder[*accelerator as usize] = item;
            }
            let worker_ledger = &mut self.workers[task.worker as usize];
            worker_ledger.free_accelerators -= task.accelerators.len() as u32;
            worker_ledger.free.sub(usage);
            worker_ledger.items.push(item);
            if booking == Booking::NonReclaimable {
                worker_ledger.non_reclaimable.add(usage);
            }
        }
        true
    }

    /// Reverses `hold`; `booking` is the present booking of the tasks.
    pub(crate) fn release(
        &mut self,
        item: u32,
        tasks: &[PlacedTask],
        usage: Usage,
        booking: Booking,
    ) {
        for task in tasks {
            for accelerator in &task.accelerators {
                self.holder[*accelerator as usize] = NONE;
            }
            let worker_ledger = &mut self.workers[task.worker as usize];
            worker_ledger.free_accelerators += task.accelerators.len() as u32;
            worker_ledger.free.add(usage);
            if let Some(position) = worker_ledger.items.iter().position(|other| *other == item) {
                worker_ledger.items.swap_remove(position);
            }
            if booking == Booking::NonReclaimable {
                worker_ledger.non_reclaimable.sub(usage);
            }
        }
    }

    /// Changes the booking of held tasks from one kind to another.
    pub(crate) fn rebook(
        &mut self,
        tasks: &[PlacedTask],
        usage: Usage,
        from: Booking,
        to: Booking,
    ) {
        for task in tasks {
            let worker_ledger = &mut self.workers[task.worker as usize];
            if from == Booking::NonReclaimable {
                worker_ledger.non_reclaimable.sub(usage);
            }
            if to == Booking::NonReclaimable {
                worker_ledger.non_reclaimable.add(usage);
            }
        }
    }

    /// Reserves accelerators, cores, memory and slots for an item that will start there.
    pub(crate) fn reserve(&mut self, item: u32, tasks: &[PlacedTask], usage: Usage) {
        for task in tasks {
            for accelerator in &task.accelerators {
                self.reserved_for[*accelerator as usize] = item;
            }
            let worker_ledger = &mut self.workers[task.worker as usize];
            worker_ledger.reserved.add(usage);
            worker_ledger.reservations.push(item);
        }
    }

    /// Reverses `reserve`.
    pub(crate) fn unreserve(&mut self, item: u32, tasks: &[PlacedTask], usage: Usage) {
        for task in tasks {
            for accelerator in &task.accelerators {
                self.reserved_for[*accelerator as usize] = NONE;
            }
            let worker_ledger = &mut self.workers[task.worker as usize];
            worker_ledger.reserved.sub(usage);
            if let Some(position) =
                worker_ledger.reservations.iter().position(|other| *other == item)
            {
                worker_ledger.reservations.swap_remove(position);
            }
        }
    }

    /// Records the accelerators of `block` as the block of a home.
    pub(crate) fn add_home_block(&mut self, home: u32, block: &[u32], topology: &HallTopology) {
        for accelerator in block {
            self.home[*accelerator as usize] = home;
            self.workers[topology.worker_of[*accelerator as usize] as usize].home_accelerators += 1;
        }
    }

    /// Reverses `add_home_block`.
    pub(crate) fn remove_home_block(&mut self, block: &[u32], topology: &HallTopology) {
        for accelerator in block {
            self.home[*accelerator as usize] = NONE;
            self.workers[topology.worker_of[*accelerator as usize] as usize].home_accelerators -= 1;
        }
    }

    /// What further non-reclaimable items may use of a worker, not counting reclaimable items that run
    /// there now.
    pub(crate) fn free_for_non_reclaimable(&self, worker: u32, topology: &HallTopology) -> Usage {
        self.capacity_for_non_reclaimable(worker, topology)
            .minus(self.workers[worker as usize].non_reclaimable)
    }

    /// What non-reclaimable items together may use of a worker: its capacity without the share of its
    /// home blocks.
    pub(crate) fn capacity_for_non_reclaimable(
        &self,
        worker: u32,
        topology: &HallTopology,
    ) -> Usage {
        let spec = &topology.workers[worker as usize];
        let n_home_accelerators = self.workers[worker as usize].home_accelerators;
        Usage::capacity(spec).minus(Usage::share(spec, n_home_accelerators))
    }
}
