//! Free capacity of a hall and where the baselines place a gang in it.

use std::collections::HashMap;

use almondpass_schema::{ids, model};

use crate::work;

/// Which of several fitting places a baseline takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlaceChoice {
    /// The first one in the order of the hall.
    First,
    /// The one that leaves the fewest free accelerators beside it.
    Tightest,
}

/// Free capacity of one worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerRoom {
    name: ids::WorkerId,
    rack: usize,
    free: Vec<bool>,
    cores: u32,
    memory_mb: u64,
    slots: u32,
    pub(crate) lost: bool,
    pub(crate) draining: bool,
}

impl WorkerRoom {
    fn takes(&self, item: &work::WorkItem) -> bool {
        !self.lost && !self.draining && !item.exclude.contains(&self.name)
    }

    fn spare_tasks(&self, demand: &work::TaskDemand) -> u32 {
        let cores = self.cores.checked_div(demand.cores).unwrap_or(u32::MAX);
        let memory = self.memory_mb.checked_div(demand.memory_mb).unwrap_or(u64::MAX);
        let slots = self.slots.checked_div(demand.slots).unwrap_or(u32::MAX);
        cores.min(u32::try_from(memory).unwrap_or(u32::MAX)).min(slots)
    }

    fn is_run_free(&self, start: usize, len: usize) -> bool {
        self.free.get(start..start + len).is_some_and(|it| it.iter().all(|free| *free))
    }

    /// Free accelerators directly below `start` and from `end` upwards.
    fn free_beside(&self, start: usize, end: usize) -> usize {
        let below = self.free[..start].iter().rev().take_while(|it| **it).count();
        let above = self.free[end..].iter().take_while(|it| **it).count();
        below + above
    }
}

/// Free capacity of a hall; copied to look ahead.
#[derive(Clone, Debug, Default)]
pub(crate) struct HallRoom {
    workers: Vec<WorkerRoom>,
    index: HashMap<ids::WorkerId, usize>,
}

impl HallRoom {
    pub(crate) fn of(hall: &model::HallLayout, config: &model::ConfigDocument) -> HallRoom {
        let mut room = HallRoom::default();
        for (rack, layout) in hall.racks.iter().enumerate() {
            let Some(kind) = config.worker_kinds.iter().find(|it| it.name == layout.kind) else {
                continue;
            };
            for number in 1..=layout.workers {
                let name = format!("{}-{}-{number:02}", hall.name, layout.name);
                room.index.insert(name.clone(), room.workers.len());
                room.workers.push(WorkerRoom {
                    name,
                    rack,
                    free: vec![true; kind.accelerators as usize],
                    cores: kind.cores,
                    memory_mb: kind.memory_mb,
                    slots: kind.slots,
                    lost: true,
                    draining: false,
                });
            }
        }
        room
    }

    pub(crate) fn worker_mut(&mut self, worker: &ids::WorkerId) -> Option<&mut WorkerRoom> {
        let index = *self.index.get(worker)?;
        self.workers.get_mut(index)
    }

    pub(crate) fn take(&mut self, demand: &work::TaskDemand, placement: &[work::TaskSlot]) {
        for slot in placement {
            let Some(worker) = self.worker_mut(&slot.worker) else { continue };
            worker.cores = worker.cores.saturating_sub(demand.cores);
            worker.memory_mb = worker.memory_mb.saturating_sub(demand.memory_mb);
            worker.slots = worker.slots.saturating_sub(demand.slots);
            for accelerator in &slot.accelerators {
                worker.free[*accelerator as usize] = false;
            }
        }
    }

    pub(crate) fn give_back(&mut self, demand: &work::TaskDemand, placement: &[work::TaskSlot]) {
        for slot in placement {
            let Some(worker) = self.worker_mut(&slot.worker) else { continue };
            worker.cores += demand.cores;
            worker.memory_mb += demand.memory_mb;
            worker.slots += demand.slots;
            for accelerator in &slot.accelerators {
                worker.free[*accelerator as usize] = true;
            }
        }
    }

    /// Finds a place for the whole gang.
    pub(crate) fn place(
        &self,
        item: &work::WorkItem,
        choice: PlaceChoice,
    ) -> Option<Vec<work::TaskSlot>> {
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
        choice: PlaceChoice,
    ) -> Option<Vec<work::TaskSlot>> {
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
        choice: PlaceChoice,
    ) -> Option<work::TaskSlot> {
        let len = item.demand.accelerators as usize;
        let mut best: Option<(usize, work::TaskSlot)> = None;
        for worker in self.workers.iter().filter(|it| it.takes(item)) {
            if worker.spare_tasks(&item.demand) == 0 {
                continue;
            }
            for start in 0..=worker.free.len().saturating_sub(len) {
                if !worker.is_run_free(start, len) {
                    continue;
                }
                let beside = if len == 0 {
                    worker.cores as usize
                } else {
                    worker.free_beside(start, start + len)
                };
                if best.as_ref().is_none_or(|(least, _)| beside < *least) {
                    best = Some((beside, task_slot(rank, &worker.name, start, len)));
                }
                if choice == PlaceChoice::First {
                    return best.map(|(_, slot)| slot);
                }
            }
        }
        best.map(|(_, slot)| slot)
    }

    fn place_adjacent(
        &self,
        item: &work::WorkItem,
        adjacency: model::Adjacency,
        choice: PlaceChoice,
    ) -> Option<Vec<work::TaskSlot>> {
        let mut best: Option<(usize, Vec<work::TaskSlot>)> = None;
        for first in 0..self.workers.len() {
            for offset in 0..self.workers[first].free.len() {
                let Some((beside, placement)) = self.fill_from(item, adjacency, first, offset)
                else {
                    continue;
                };
                if choice == PlaceChoice::First {
                    return Some(placement);
                }
                if best.as_ref().is_none_or(|(least, _)| beside < *least) {
                    best = Some((beside, placement));
                }
            }
        }
        best.map(|(_, placement)| placement)
    }

    /// Fills neighbouring workers from accelerator `offset` of worker `first` on without a gap
    /// that another task of the gang would fit in.
    fn fill_from(
        &self,
        item: &work::WorkItem,
        adjacency: model::Adjacency,
        first: usize,
        offset: usize,
    ) -> Option<(usize, Vec<work::TaskSlot>)> {
        let len = item.demand.accelerators as usize;
        let mut placement = Vec::with_capacity(item.tasks as usize);
        let mut beside = 0;
        let mut start = offset;
        for worker in &self.workers[first..] {
            let in_reach = match adjacency {
                model::Adjacency::Worker => start == offset && placement.is_empty(),
                model::Adjacency::Rack => worker.rack == self.workers[first].rack,
                model::Adjacency::Hall | model::Adjacency::Any => true,
            };
            if !in_reach || !worker.takes(item) {
                return None;
            }
            let begin = start;
            let mut spare = worker.spare_tasks(&item.demand);
            while placement.len() < item.tasks as usize && start + len <= worker.free.len() {
                if spare == 0 || !worker.is_run_free(start, len) {
                    return None;
                }
                let rank = placement.len() as u32;
                placement.push(task_slot(rank, &worker.name, start, len));
                spare -= 1;
                start += len;
            }
            if begin == start {
                return None;
            }
            beside += worker.free_beside(begin, start);
            if placement.len() == item.tasks as usize {
                return Some((beside, placement));
            }
            start = 0;
        }
        None
    }

    /// The same hall with nothing running and every worker live.
    pub(crate) fn emptied(
        &self,
        config: &model::ConfigDocument,
        hall: &model::HallLayout,
    ) -> HallRoom {
        let mut room = HallRoom::of(hall, config);
        room.workers.iter_mut().for_each(|it| it.lost = false);
        room
    }
}

fn task_slot(rank: u32, worker: &ids::WorkerId, start: usize, len: usize) -> work::TaskSlot {
    let accelerators = (start..start + len).map(|it| it as u32).collect();
    work::TaskSlot { rank, worker: worker.clone(), accelerators }
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
