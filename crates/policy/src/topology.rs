//! A hall as an order of racks, workers and accelerators, with dense indexes.

use std::collections::HashMap;

use almondpass_schema::{ids, model};

/// Marks the absence of an index.
pub(crate) const NONE: u32 = u32::MAX;

/// A worker's place and capacity.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct WorkerSpec {
    pub(crate) name: ids::WorkerId,
    /// Rack index; `NONE` for a worker that the configuration no longer has.
    pub(crate) rack: u32,
    /// Index of its first accelerator in the hall.
    pub(crate) first_accelerator: u32,
    pub(crate) accelerators: u32,
    pub(crate) cores: u32,
    pub(crate) memory_mb: u64,
    pub(crate) slots: u32,
}

impl WorkerSpec {
    /// Index behind its last accelerator.
    pub(crate) fn accelerators_end(&self) -> u32 {
        self.first_accelerator + self.accelerators
    }
}

/// Every worker of a hall in the order in which they stand.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct HallTopology {
    pub(crate) workers: Vec<WorkerSpec>,
    pub(crate) racks: Vec<ids::RackName>,
    /// Worker of each accelerator.
    pub(crate) worker_of: Vec<u32>,
    index: HashMap<ids::WorkerId, u32>,
}

impl HallTopology {
    /// Lays out the hall of a configuration. A rack of an unknown kind has no capacity.
    pub(crate) fn new(layout: &model::HallLayout, kinds: &[model::WorkerKind]) -> HallTopology {
        let mut topology = HallTopology::default();
        for (rack, it) in layout.racks.iter().enumerate() {
            topology.racks.push(it.name.clone());
            let kind = kinds.iter().find(|kind| kind.name == it.kind);
            for number in 1..=it.workers {
                topology.push(WorkerSpec {
                    name: format!("{}-{}-{number:02}", layout.name, it.name),
                    rack: rack as u32,
                    first_accelerator: 0,
                    accelerators: kind.map_or(0, |kind| kind.accelerators),
                    cores: kind.map_or(0, |kind| kind.cores),
                    memory_mb: kind.map_or(0, |kind| kind.memory_mb),
                    slots: kind.map_or(0, |kind| kind.slots),
                });
            }
        }
        topology
    }

    /// Adds a worker behind all others.
    pub(crate) fn push(&mut self, mut spec: WorkerSpec) -> u32 {
        let index = self.workers.len() as u32;
        spec.first_accelerator = self.worker_of.len() as u32;
        self.worker_of.extend((0..spec.accelerators).map(|_| index));
        self.index.insert(spec.name.clone(), index);
        self.workers.push(spec);
        index
    }

    /// Index of a worker.
    pub(crate) fn find_worker(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    /// Accelerators of the hall.
    pub(crate) fn n_accelerators(&self) -> u32 {
        self.worker_of.len() as u32
    }

    /// The worker of an accelerator.
    pub(crate) fn host(&self, accelerator: u32) -> &WorkerSpec {
        &self.workers[self.worker_of[accelerator as usize] as usize]
    }

    /// Rack name of a worker, for people.
    pub(crate) fn rack_name(&self, worker: u32) -> &str {
        let rack = self.workers[worker as usize].rack;
        self.racks.get(rack as usize).map_or("(removed)", |it| it.as_str())
    }

    /// Whether a run that begins on one worker may go on to another.
    pub(crate) fn run_may_span(&self, from: u32, to: u32, adjacency: model::Adjacency) -> bool {
        let (from_rack, to_rack) =
            (self.workers[from as usize].rack, self.workers[to as usize].rack);
        match adjacency {
            model::Adjacency::Worker => from == to,
            model::Adjacency::Rack => from_rack == to_rack && from_rack != NONE,
            model::Adjacency::Hall | model::Adjacency::Any => from_rack != NONE && to_rack != NONE,
        }
    }
}
