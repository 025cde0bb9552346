//! Free capacity of a hall, and gang placement of the baseline policies.

use std::collections::HashMap;
use std::sync::Arc;

use almondpass_schema::{ids, model};

use crate::work;

/// Which of several possible placements a baseline chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementChoice {
    /// The first one in the order of racks and workers of the hall layout.
    First,
    /// The one with the fewest free accelerators adjacent to it; for a task without accelerators, the
    /// worker with the fewest free cores.
    Tightest,
}

/// Free capacity of one worker. Cores, memory and slots count what is free.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerCapacity {
    /// Index of the rack in the hall layout.
    rack: usize,
    /// One bit per accelerator, set while it is free.
    free_mask: u64,
    /// Accelerators of the worker, free or not.
    n_accelerators: u32,
    cores: u32,
    memory_mb: u64,
    slots: u32,
    pub(crate) lost: bool,
    pub(crate) draining: bool,
}

impl WorkerCapacity {
    /// Number of tasks whose demand for cores, memory and slots fits. Accelerators are checked separately.
    fn task_capacity(&self, demand: &work::TaskDemand) -> u32 {
        let cores = self.cores.checked_div(demand.cores).unwrap_or(u32::MAX);
        let memory = self.memory_mb.checked_div(demand.memory_mb).unwrap_or(u64::MAX);
        let slots = self.slots.checked_div(demand.slots).unwrap_or(u32::MAX);
        cores.min(u32::try_from(memory).unwrap_or(u32::MAX)).min(slots)
    }

    fn is_range_free(&self, start: u32, len: u32) -> bool {
        let range = range_mask(start, len);
        start + len <= self.n_accelerators && self.free_mask & range == range
    }

    /// Number of contiguous free accelerators directly below `start` plus those from `end` upwards.
    fn free_neighbours(&self, start: u32, end: u32) -> u32 {
        let below = match start {
            0 => 0,
            _ => (self.free_mask << (u64::BITS - start)).leading_ones(),
        };
        let above = self.free_mask.checked_shr(end).unwrap_or(0).trailing_ones();
        below + above
    }
}

/// Mask with the `len` bits from bit `start` on set.
fn range_mask(start: u32, len: u32) -> u64 {
    let range = 1_u64.checked_shl(len).unwrap_or(0).wrapping_sub(1);
    range.checked_shl(start).unwrap_or(0)
}

/// Free capacity of all workers of a hall. Cloned to try out placements; clones share the worker names.
#[derive(Clone, Debug)]
pub(crate) struct HallCapacity {
    workers: Vec<WorkerCapacity>,
    worker_names: Arc<WorkerNames>,
}

#[derive(Debug, Default)]
struct WorkerNames {
    by_index: Vec<ids::WorkerId>,
    index_of: HashMap<ids::WorkerId, usize>,
}

impl HallCapacity {
    /// Capacity of a hall with nothing running; every worker counts as lost until it is reported back.
    pub(crate) fn of(hall: &model::HallLayout, config: &model::ConfigDocument) -> HallCapacity {
        let mut names = WorkerNames::default();
        let mut workers = Vec::new();
        for (rack, layout) in hall.racks.iter().enumerate() {
            let Some(kind) = config.worker_kinds.iter().find(|it| it.name == layout.kind) else {
                continue;
            };
            for number in 1..=layout.workers {
                let name = format!("{}-{}-{number:02}", hall.name, layout.name);
                names.index_of.insert(name.clone(), workers.len());
                names.by_index.push(name);
                workers.push(WorkerCapacity {
                    rack,
                    free_mask: range_mask(0, kind.accelerators),
                    n_accelerators: kind.accelerators,
                    cores: kind.cores,
                    memory_mb: kind.memory_mb,
                    slots: kind.slots,
                    lost: true,
                    draining: false,
                });
            }
        }
        HallCapacity { workers, worker_names: Arc::new(names) }
    }

    pub(crate) fn worker_mut(&mut self, worker: &ids::WorkerId) -> Option<&mut WorkerCapacity> {
        let index = *self.worker_names.index_of.get(worker)?;
        self.workers.get_mut(index)
    }

    /// Whether the worker is live and not excluded by the work item.
    fn accepts(&self, index: usize, item: &work::WorkItem) -> bool {
        let worker = &self.workers[index];
        let live = !worker.lost && !worker.draining;
        live && (item.exclude.is_empty()
            || !item.exclude.contains(&self.worker_names.by_index[index]))
    }

    pub(crate) fn allocate(
        &mut self,
        demand: &work::TaskDemand,
        placement: &[work::TaskAssignment],
    ) {
        for assignment in placement {
            let Some(worker) = self.worker_mut(&assignment.worker) else { continue };
            worker.cores = worker.cores.saturating_sub(demand.cores);
            worker.memory_mb = worker.memory_mb.saturating_sub(demand.memory_mb);
            worker.slots = worker.slots.saturating_sub(demand.slots);
            for accelerator in &assignment.accelerators {
                worker.free_mask &= !range_mask(*accelerator, 1);
            }
        }
    }

    pub(crate) fn release(
        &mut self,
        demand: &work::TaskDemand,
        placement: &[work::TaskAssignment],
    ) {
        for assignment in placement {
            let Some(worker) = self.worker_mut(&assignment.worker) else { continue };
            worker.cores += demand.cores;
            worker.memory_mb += demand.memory_mb;
            worker.slots += demand.slots;
            for accelerator in &assignment.accelerators {
                worker.free_mask |= range_mask(*accelerator, 1);
            }
        }
    }

    /// Finds a placement for the whole gang without allocating it.
    pub(crate) fn find_placement(
        &self,
        item: &work::WorkItem,
        choice: PlacementChoice,
    ) -> Option<Vec<work::TaskAssignment>> {
        let adjacency =
            if item.demand.accelerators == 0 { model::Adjacency::Any } else { item.adjacency };
        match adjacency {
            model::Adjacency::Any => self.find_independent_placement(item, choice),
            model::Adjacency::Worker | model::Adjacency::Rack | model::Adjacency::Hall => {
                self.find_adjacent_placement(item, adjacency, choice)
            }
        }
    }

    /// Places the tasks one after another, each wherever it fits.
    fn find_independent_placement(
        &self,
        item: &work::WorkItem,
        choice: PlacementChoice,
    ) -> Option<Vec<work::TaskAssignment>> {
        let mut capacity = self.clone();
        let mut placement = Vec::with_capacity(item.tasks as usize);
        for rank in 0..item.tasks {
            let assignment = capacity.find_task_placement(item, rank, choice)?;
            capacity.allocate(&item.demand, std::slice::from_ref(&assignment));
            placement.push(assignment);
        }
        Some(placement)
    }

    fn find_task_placement(
        &self,
        item: &work::WorkItem,
        rank: u32,
        choice: PlacementChoice,
    ) -> Option<work::TaskAssignment> {
        let len = item.demand.accelerators;
        let mut best: Option<(u32, usize, u32)> = None;
        for (index, worker) in self.workers.iter().enumerate() {
            if !self.accepts(index, item) || worker.task_capacity(&item.demand) == 0 {
                continue;
            }
            for start in 0..=worker.n_accelerators.saturating_sub(len) {
                if !worker.is_range_free(start, len) {
                    continue;
                }
                let leftover = if len == 0 {
                    worker.cores
                } else {
                    worker.free_neighbours(start, start + len)
                };
                if best.is_none_or(|(least, _, _)| leftover < least) {
                    best = Some((leftover, index, start));
                }
                if choice == PlacementChoice::First {
                    return best
                        .map(|(_, index, start)| self.task_assignment(rank, index, start, len));
                }
            }
        }
        best.map(|(_, index, start)| self.task_assignment(rank, index, start, len))
    }

    /// Places the gang on a contiguous range of accelerators within the reach of `adjacency`.
    fn find_adjacent_placement(
        &self,
        item: &work::WorkItem,
        adjacency: model::Adjacency,
        choice: PlacementChoice,
    ) -> Option<Vec<work::TaskAssignment>> {
        let mut best: Option<(u32, usize, u32)> = None;
        for first in 0..self.workers.len() {
            for offset in 0..self.workers[first].n_accelerators {
                let Some(leftover) = self.free_neighbours_from(item, adjacency, first, offset)
                else {
                    continue;
                };
                if choice == PlacementChoice::First {
                    return Some(self.assign_adjacent_tasks(item, first, offset));
                }
                if best.is_none_or(|(least, _, _)| leftover < least) {
                    best = Some((leftover, first, offset));
                }
            }
        }
        best.map(|(_, first, offset)| self.assign_adjacent_tasks(item, first, offset))
    }

    /// Checks that the gang fits on consecutive workers, starting at accelerator `offset` of worker
    /// `first`, without a gap in which another of its tasks would fit. Returns the number of free
    /// accelerators adjacent to that placement, or none if the gang does not fit.
    fn free_neighbours_from(
        &self,
        item: &work::WorkItem,
        adjacency: model::Adjacency,
        first: usize,
        offset: u32,
    ) -> Option<u32> {
        let len = item.demand.accelerators;
        let mut left = item.tasks;
        let mut leftover = 0;
        let mut start = offset;
        for (index, worker) in self.workers.iter().enumerate().skip(first) {
            let in_reach = match adjacency {
                model::Adjacency::Worker => index == first,
                model::Adjacency::Rack => worker.rack == self.workers[first].rack,
                model::Adjacency::Hall | model::Adjacency::Any => true,
            };
            let n_tasks = left.min(worker.n_accelerators.saturating_sub(start) / len);
            let end = start + n_tasks * len;
            let fits = in_reach
                && 0 < n_tasks
                && n_tasks <= worker.task_capacity(&item.demand)
                && worker.is_range_free(start, end - start)
                && self.accepts(index, item);
            if !fits {
                return None;
            }
            leftover += worker.free_neighbours(start, end);
            left -= n_tasks;
            if left == 0 {
                return Some(leftover);
            }
            start = 0;
        }
        None
    }

    /// Builds the placement that `free_neighbours_from` has checked.
    fn assign_adjacent_tasks(
        &self,
        item: &work::WorkItem,
        first: usize,
        offset: u32,
    ) -> Vec<work::TaskAssignment> {
        let len = item.demand.accelerators;
        let mut placement = Vec::with_capacity(item.tasks as usize);
        let mut index = first;
        let mut start = offset;
        for rank in 0..item.tasks {
            if self.workers[index].n_accelerators < start + len {
                index += 1;
                start = 0;
            }
            placement.push(self.task_assignment(rank, index, start, len));
            start += len;
        }
        placement
    }

    fn task_assignment(
        &self,
        rank: u32,
        index: usize,
        start: u32,
        len: u32,
    ) -> work::TaskAssignment {
        let worker = self.worker_names.by_index[index].clone();
        work::TaskAssignment { rank, worker, accelerators: (start..start + len).collect() }
    }

    /// Capacity of a hall with nothing running and every worker live.
    pub(crate) fn unoccupied(
        hall: &model::HallLayout,
        config: &model::ConfigDocument,
    ) -> HallCapacity {
        let mut capacity = HallCapacity::of(hall, config);
        capacity.workers.iter_mut().for_each(|it| it.lost = false);
        capacity
    }
}

/// Shape of a gang. If one gang does not fit, later ones of the same shape are skipped in that round.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ShapeKey {
    tasks: u32,
    demand: work::TaskDemand,
    adjacency: model::Adjacency,
}

impl ShapeKey {
    /// None for work that excludes workers, since its placement depends on more than the shape.
    pub(crate) fn of(item: &work::WorkItem) -> Option<ShapeKey> {
        let key = ShapeKey { tasks: item.tasks, demand: item.demand, adjacency: item.adjacency };
        item.exclude.is_empty().then_some(key)
    }
}
