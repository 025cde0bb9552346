//! The workers and upstreams of a site, read from its configuration document.

use almondpass_schema::{ids, model};

use crate::worker;

/// A worker of a site, with the upstreams that run on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerPlan {
    /// Name, data centre and resources of the worker.
    pub shape: worker::WorkerShape,
    /// Upstreams with a service on this worker.
    pub upstreams: Vec<ids::UpstreamName>,
}

/// The workers that a configuration document describes, in the order of its halls and racks. A rack of an
/// unknown worker kind is skipped: reporting it is up to the check of the document.
pub fn configured_workers(document: &model::ConfigDocument) -> Vec<WorkerPlan> {
    document.halls.iter().flat_map(|hall| configured_workers_of_hall(document, hall)).collect()
}

fn configured_workers_of_hall(
    document: &model::ConfigDocument,
    hall: &model::HallLayout,
) -> Vec<WorkerPlan> {
    let upstreams = document.upstreams.iter().filter(|it| it.halls.contains(&hall.name));
    let upstreams = upstreams.map(|it| it.name.clone()).collect::<Vec<_>>();
    let mut workers = Vec::new();
    for rack in &hall.racks {
        let Some(kind) = document.worker_kinds.iter().find(|it| it.name == rack.kind) else {
            continue;
        };
        for number in 1..=rack.workers {
            let shape = worker::WorkerShape {
                id: format!("{}-{}-{number:02}", hall.name, rack.name),
                data_center: hall.data_center.clone(),
                accelerators: kind.accelerators,
                slots: kind.slots,
                cores: kind.cores,
                memory_mb: kind.memory_mb,
            };
            workers.push(WorkerPlan { shape, upstreams: upstreams.clone() });
        }
    }
    workers
}
