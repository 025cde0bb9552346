//! Layout of a hall: its racks, workers and accelerators in a fixed order, addressed by dense indexes.

use std::collections::HashMap;

use almondpass_schema::{ids, model};

/// Stands for "no index" where an index of a rack, worker, accelerator or item is stored.
pub(crate) const NONE: u32 = u32::MAX;

/// Position and capacity of a worker.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct WorkerSpec {
    pub(crate) name: ids::WorkerId,
    /// Rack index; `NONE` for a worker that is no longer in the configuration.
    pub(crate) rack: u32,
    /// Index, in the hall, of the worker's first accelerator.
    pub(crate) first_accelerator: u32,
    pub(crate) accelerators: u32,
    pub(crate) cores: u32,
    pub(crate) memory_mb: u64,
    pub(crate) slots: u32,
}

impl WorkerSpec {
    /// Index after the worker's last accelerator.
    pub(crate) fn accelerators_end(&self) -> u32 {
        self.first_accelerator + self.accelerators
    }
}

/// Workers and racks of a hall in the order of the configuration, followed by workers that were removed
/// from it while items still run on them.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct HallTopology {
    pub(crate) workers: Vec<WorkerSpec>,
    pub(crate) racks: Vec<ids::RackName>,
    /// Worker index of each accelerator.
    pub(crate) worker_of: Vec<u32>,
    index: HashMap<ids::WorkerId, u32>,
}

impl HallTopology {
    /// Builds the topology of a hall from its configuration. Workers of an unknown kind have no
    /// capacity.
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

    /// Appends a worker, numbers its accelerators after all others and returns its index.
    pub(crate) fn push(&mut self, mut spec: WorkerSpec) -> u32 {
        let index = self.workers.len() as u32;
        spec.first_accelerator = self.worker_of.len() as u32;
        self.worker_of.extend((0..spec.accelerators).map(|_| index));
        self.index.insert(spec.name.clone(), index);
        self.workers.push(spec);
        index
    }

    pub(crate) fn find_worker(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    /// Number of accelerators in the hall, including those of workers that were removed from the
    /// configuration.
    pub(crate) fn n_accelerators(&self) -> u32 {
        self.worker_of.len() as u32
    }

    /// The worker that has this accelerator.
    pub(crate) fn host(&self, accelerator: u32) -> &WorkerSpec {
        &self.workers[self.worker_of[accelerator as usize] as usize]
    }

    /// Name of a worker's rack for messages; `(removed)` if the worker is no longer configured.
    pub(crate) fn rack_name(&self, worker: u32) -> &str {
        let rack = self.workers[worker as usize].rack;
        self.racks.get(rack as usize).map_or("(removed)", |it| it.as_str())
    }

    /// Whether a run with this adjacency may continue from one worker to the next.
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
