//! What is truly held in the replayed hall, and the definition of fragmentation.

use std::collections::{BTreeMap, HashMap};

use almondpass_policy::work;
use almondpass_schema::{ids, model};

use crate::site;

/// A wanted run of accelerators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WantedShape {
    /// How many.
    pub accelerators: u32,
    /// 0 within a worker, 1 within a rack, 2 within the hall.
    pub reach: u8,
}

impl WantedShape {
    /// The run that a gang needs, where it needs one.
    pub fn of_work(item: &work::WorkItem) -> WantedShape {
        let all = item.tasks * item.demand.accelerators;
        match item.adjacency {
            model::Adjacency::Any => {
                WantedShape { accelerators: item.demand.accelerators, reach: 0 }
            }
            adjacency => WantedShape { accelerators: all, reach: reach(adjacency) },
        }
    }

    /// The run that a guarantee needs.
    pub fn of_guarantee(shape: &model::GuaranteedShape) -> WantedShape {
        WantedShape { accelerators: shape.accelerators, reach: reach(shape.adjacency) }
    }
}

fn reach(adjacency: model::Adjacency) -> u8 {
    match adjacency {
        model::Adjacency::Any | model::Adjacency::Worker => 0,
        model::Adjacency::Rack => 1,
        model::Adjacency::Hall => 2,
    }
}

/// Free accelerators and those of them that lie in no run of the largest wanted shape.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreeCount {
    /// Free accelerators of workers that are alive and not drained.
    pub free: u32,
    /// Those in no free run of the largest guaranteed or waiting shape.
    pub fragmented: u32,
    /// Held accelerators.
    pub held: u32,
    /// Accelerators of live workers.
    pub live: u32,
}

/// The hall as it truly is.
#[derive(Debug)]
pub struct HallFloor {
    workers: Vec<FloorWorker>,
    index: HashMap<ids::WorkerId, usize>,
    guaranteed: Option<WantedShape>,
    waiting: BTreeMap<WantedShape, u32>,
}

#[derive(Debug)]
struct FloorWorker {
    rack: usize,
    held: Vec<Option<work::WorkId>>,
    dead: bool,
    drained: bool,
}

impl HallFloor {
    /// An empty hall with every worker alive.
    pub fn new(document: &model::ConfigDocument) -> HallFloor {
        let mut floor = HallFloor {
            workers: Vec::new(),
            index: HashMap::new(),
            guaranteed: guaranteed(document),
            waiting: BTreeMap::new(),
        };
        for (rack, names) in site::worker_names(&document.halls[0]).into_iter().enumerate() {
            let layout = &document.halls[0].racks[rack];
            let kind = document.worker_kinds.iter().find(|it| it.name == layout.kind);
            let n_accelerators = kind.map_or(0, |it| it.accelerators) as usize;
            for name in names {
                floor.index.insert(name, floor.workers.len());
                let held = vec![None; n_accelerators];
                floor.workers.push(FloorWorker { rack, held, dead: false, drained: false });
            }
        }
        floor
    }

    /// Whether the worker is dead.
    pub fn is_dead(&self, worker: &ids::WorkerId) -> bool {
        self.index.get(worker).is_none_or(|it| self.workers[*it].dead)
    }

    /// Marks a worker dead or alive.
    pub fn set_dead(&mut self, worker: &ids::WorkerId, dead: bool) {
        if let Some(index) = self.index.get(worker) {
            self.workers[*index].dead = dead;
        }
    }

    /// Marks a worker drained or not.
    pub fn set_drained(&mut self, worker: &ids::WorkerId, drained: bool) {
        if let Some(index) = self.index.get(worker) {
            self.workers[*index].drained = drained;
        }
    }

    /// Counts a shape as waiting.
    pub fn want(&mut self, shape: WantedShape) {
        *self.waiting.entry(shape).or_insert(0) += 1;
    }

    /// Counts a shape as waiting no more.
    pub fn unwant(&mut self, shape: WantedShape) {
        let Some(count) = self.waiting.get_mut(&shape) else { return };
        *count -= 1;
        if *count == 0 {
            self.waiting.remove(&shape);
        }
    }

    /// Holds accelerators for work. A second holder would mean that the policy broke its first
    /// promise, so the replay ends there.
    pub fn hold(&mut self, work: work::WorkId, placement: &[work::TaskAssignment]) {
        for slot in placement {
            let worker = &mut self.workers[self.index[&slot.worker]];
            for accelerator in &slot.accelerators {
                let holder = &mut worker.held[*accelerator as usize];
                assert_eq!(*holder, None, "{}/{accelerator} held twice", slot.worker);
                *holder = Some(work);
            }
        }
    }

    /// Frees what `hold` took.
    pub fn free(&mut self, placement: &[work::TaskAssignment]) {
        for slot in placement {
            let worker = &mut self.workers[self.index[&slot.worker]];
            for accelerator in &slot.accelerators {
                worker.held[*accelerator as usize] = None;
            }
        }
    }

    /// Counts free and fragmented accelerators.
    pub fn count(&self) -> FreeCount {
        let waiting = self.waiting.last_key_value().map(|(shape, _)| *shape);
        let wanted = waiting.max(self.guaranteed);
        let mut counter = RunCounter::new(wanted);
        for (index, worker) in self.workers.iter().enumerate() {
            let parted = match wanted.map_or(0, |it| it.reach) {
                0 => true,
                1 => index == 0 || self.workers[index - 1].rack != worker.rack,
                _ => index == 0,
            };
            if parted {
                counter.part();
            }
            counter.worker(worker);
        }
        counter.finish()
    }
}

struct RunCounter {
    wanted: u32,
    run: u32,
    count: FreeCount,
}

impl RunCounter {
    fn new(wanted: Option<WantedShape>) -> RunCounter {
        let wanted = wanted.map_or(1, |it| it.accelerators);
        RunCounter { wanted, run: 0, count: FreeCount::default() }
    }

    fn worker(&mut self, worker: &FloorWorker) {
        if !worker.dead {
            self.count.live += worker.held.len() as u32;
        }
        for holder in &worker.held {
            match holder {
                Some(_) if worker.dead => self.part(),
                Some(_) => {
                    self.count.held += 1;
                    self.part();
                }
                None if worker.dead || worker.drained => self.part(),
                None => self.run += 1,
            }
        }
    }

    fn part(&mut self) {
        self.count.free += self.run;
        if self.run < self.wanted {
            self.count.fragmented += self.run;
        }
        self.run = 0;
    }

    fn finish(mut self) -> FreeCount {
        self.part();
        self.count
    }
}

fn guaranteed(document: &model::ConfigDocument) -> Option<WantedShape> {
    let shapes = document.accounts.iter().flat_map(|it| &it.guarantees);
    shapes.map(WantedShape::of_guarantee).max()
}
