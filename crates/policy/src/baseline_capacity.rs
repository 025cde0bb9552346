//! Free capacity of a hall and where the baselines place a gang in it.

use std::collections::HashMap;
use std::sync::Arc;

use almondpass_schema::{ids, model};

use crate::work;

/// Which of several fitting places a baseline takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementChoice {
    /// The first one in the order of the hall.
    First,
    /// The one that leaves the fewest free accelerators beside it.
    Tightest,
}

/// Free capacity of one worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerCapacity {
    rack: usize,
    /// A bit for each free accelerator.
    free: u64,
    accelerators: u32,
    cores: u32,
    memory_mb: u64,
    slots: u32,
    pub(crate) lost: bool,
    pub(crate) draining: bool,
}

impl WorkerCapacity {
    fn spare_tasks(&self, demand: &work::TaskDemand) -> u32 {
        let cores = self.cores.checked_div(demand.cores).unwrap_or(u32::MAX);
        let memory = self.memory_mb.checked_div(demand.memory_mb).unwrap_or(u64::MAX);
        let slots = self.slots.checked_div(demand.slots).unwrap_or(u32::MAX);
        cores.min(u32::try_from(memory).unwrap_or(u32::MAX)).min(slots)
    }

    fn is_run_free(&self, start: u32, len: u32) -> bool {
        let run = run_mask(start, len);
        start + len <= self.accelerators && self.free & run == run
    }

    /// Free accelerators directly below `start` and from `end` upwards.
    fn free_beside(&self, start: u32, end: u32) -> u32 {
        let below = match start {
            0 => 0,
            _ => (self.free << (u64::BITS - start)).leading_ones(),
        };
        let above = self.free.checked_shr(end).unwrap_or(0).trailing_ones();
        below + above
    }
}

fn run_mask(start: u32, len: u32) -> u64 {
    let run = 1_u64.checked_shl(len).unwrap_or(0).wrapping_sub(1);
    run.checked_shl(start).unwrap_or(0)
}

/// Free capacity of a hall; copied to look ahead.
#[derive(Clone, Debug)]
pub(crate) struct HallCapacity {
    workers: Vec<WorkerCapacity>,
    names: Arc<WorkerNames>,
}

#[derive(Debug, Default)]
struct WorkerNames {
    names: Vec<ids::WorkerId>,
    index: HashMap<ids::WorkerId, usize>,
}

impl HallCapacity {
    pub(crate) fn of(hall: &model::HallLayout, config: &model::ConfigDocument) -> HallCapacity {
        let mut names = WorkerNames::default();
        let mut workers = Vec::new();
        for (rack, layout) in hall.racks.iter().enumerate() {
            let Some(kind) = config.worker_kinds.iter().find(|it| it.name == layout.kind) else {
                continue;
            };
            for number in 1..=layout.workers {
                let name = format!("{}-{}-{number:02}", hall.name, layout.name);
                names.index.insert(name.clone(), workers.len());
                names.names.push(name);
                workers.push(WorkerCapacity {
                    rack,
                    free: run_mask(0, kind.accelerators),
                    accelerators: kind.accelerators,
                    cores: kind.cores,
                    memory_mb: kind.memory_mb,
                    slots: kind.slots,
                    lost: true,
                    draining: false,
                });
            }
        }
        HallCapacity { workers, names: Arc::new(names) }
    }

    pub(crate) fn worker_mut(&mut self, worker: &ids::WorkerId) -> Option<&mut WorkerCapacity> {
        let index = *self.names.index.get(worker)?;
        self.workers.get_mut(index)
    }

    fn takes(&self, index: usize, item: &work::WorkItem) -> bool {
        let worker = &self.workers[index];
        let live = !worker.lost && !worker.draining;
        live && (item.exclude.is_empty() || !item.exclude.contains(&self.names.names[index]))
    }

    pub(crate) fn take(&mut self, demand: &work::TaskDemand, placement: &[work::TaskAssignment]) {
        for slot in placement {
            let Some(worker) = self.worker_mut(&slot.worker) else { continue };
            worker.cores = worker.cores.saturating_sub(demand.cores);
            worker.memory_mb = worker.memory_mb.saturating_sub(demand.memory_mb);
            worker.slots = worker.slots.saturating_sub(demand.slots);
            for accelerator in &slot.accelerators {
                worker.free &= !run_mask(*accelerator, 1);
            }
        }
    }

    pub(crate) fn give_back(
        &mut self,
        demand: &work::TaskDemand,
        placement: &[work::TaskAssignment],
    ) {
        for slot in placement {
            let Some(worker) = self.worker_mut(&slot.worker) else { continue };
            worker.cores += demand.cores;
            worker.memory_mb += demand.memory_mb;
            worker.slots += demand.slots;
            for accelerator in &slot.accelerators {
                worker.free |= run_mask(*accelerator, 1);
            }
        }
    }

    /// Finds a place for the whole gang.
    pub(crate) fn place(
        &self,
        item: &work::WorkItem,
        choice: PlacementChoice,
    ) -> Option<Vec<work::TaskAssignment>> {
        let adjacency =
            if item.demand.accelerators == 0 { model::Adjacency::Any } else { item.adjacency };
        match adjacency {
            model::Adjacency::Any => self.place_apart(item, choice),
            model::Adjacency::Worker | model::Adjacency::Rack | model::Adjacency::Hall => {
                self.place_adjacent(item, adjacency, choice)
            }
        }
    }

    fn place_apart(
        &self,
        item: &work::WorkItem,
        choice: PlacementChoice,
    ) -> Option<Vec<work::TaskAssignment>> {
        let mut room = self.clone();
        let mut placement = Vec::with_capacity(item.tasks as usize);
        for rank in 0..item.tasks {
            let slot = room.place_task(item, rank, choice)?;
            room.take(&item.demand, std::slice::from_ref(&slot));
            placement.push(slot);
        }
        Some(placement)
    }

    fn place_task(
        &self,
        item: &work::WorkItem,
        rank: u32,
        choice: PlacementChoice,
    ) -> Option<work::TaskAssignment> {
        let len = item.demand.accelerators;
        let mut best: Option<(u32, usize, u32)> = None;
        for (index, worker) in self.workers.iter().enumerate() {
            if !self.takes(index, item) || worker.spare_tasks(&item.demand) == 0 {
                continue;
            }
            for start in 0..=worker.accelerators.saturating_sub(len) {
                if !worker.is_run_free(start, len) {
                    continue;
                }
                let beside =
                    if len == 0 { worker.cores } else { worker.free_beside(start, start + len) };
                if best.is_none_or(|(least, _, _)| beside < least) {
                    best = Some((beside, index, start));
                }
                if choice == PlacementChoice::First {
                    return best.map(|(_, index, start)| self.task_slot(rank, index, start, len));
                }
            }
        }
        best.map(|(_, index, start)| self.task_slot(rank, index, start, len))
    }

    fn place_adjacent(
        &self,
        item: &work::WorkItem,
        adjacency: model::Adjacency,
        choice: PlacementChoice,
    ) -> Option<Vec<work::TaskAssignment>> {
        let mut best: Option<(u32, usize, u32)> = None;
        for first in 0..self.workers.len() {
            for offset in 0..self.workers[first].accelerators {
                let Some(beside) = self.room_from(item, adjacency, first, offset) else {
                    continue;
                };
                if choice == PlacementChoice::First {
                    return Some(self.fill_from(item, first, offset));
                }
                if best.is_none_or(|(least, _, _)| beside < least) {
                    best = Some((beside, first, offset));
                }
            }
        }
        best.map(|(_, first, offset)| self.fill_from(item, first, offset))
    }

    /// Free accelerators left beside a gang on neighbouring workers from accelerator `offset` of
    /// worker `first` on, without a gap that another task of it would fit in.
    fn room_from(
        &self,
        item: &work::WorkItem,
        adjacency: model::Adjacency,
        first: usize,
        offset: u32,
    ) -> Option<u32> {
        let len = item.demand.accelerators;
        let mut left = item.tasks;
        let mut beside = 0;
        let mut start = offset;
        for (index, worker) in self.workers.iter().enumerate().skip(first) {
            let in_reach = match adjacency {
                model::Adjacency::Worker => index == first,
                model::Adjacency::Rack => worker.rack == self.workers[first].rack,
                model::Adjacency::Hall | model::Adjacency::Any => true,
            };
            let n_tasks = left.min(worker.accelerators.saturating_sub(start) / len);
            let end = start + n_tasks * len;
            let fits = in_reach
                && 0 < n_tasks
                && n_tasks <= worker.spare_tasks(&item.demand)
                && worker.is_run_free(start, end - start)
                && self.takes(index, item);
            if !fits {
                return None;
            }
            beside += worker.free_beside(start, end);
            left -= n_tasks;
            if left == 0 {
                return Some(beside);
            }
            start = 0;
        }
        None
    }

    fn fill_from(
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
            if self.workers[index].accelerators < start + len {
                index += 1;
                start = 0;
            }
            placement.push(self.task_slot(rank, index, start, len));
            start += len;
        }
        placement
    }

    fn task_slot(&self, rank: u32, index: usize, start: u32, len: u32) -> work::TaskAssignment {
        let worker = self.names.names[index].clone();
        work::TaskAssignment { rank, worker, accelerators: (start..start + len).collect() }
    }

    /// The same hall with nothing running and every worker live.
    pub(crate) fn emptied(
        hall: &model::HallLayout,
        config: &model::ConfigDocument,
    ) -> HallCapacity {
        let mut room = HallCapacity::of(hall, config);
        room.workers.iter_mut().for_each(|it| it.lost = false);
        room
    }
}

/// A shape that did not fit in this turn; later work of the same shape does not either.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ShapeKey {
    tasks: u32,
    demand: work::TaskDemand,
    adjacency: model::Adjacency,
}

impl ShapeKey {
    pub(crate) fn of(item: &work::WorkItem) -> Option<ShapeKey> {
        let key = ShapeKey { tasks: item.tasks, demand: item.demand, adjacency: item.adjacency };
        item.exclude.is_empty().then_some(key)
    }
}
