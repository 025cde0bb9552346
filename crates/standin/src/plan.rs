//! Which workers and upstreams a site has.

use almondpass_schema::{ids, model};

use crate::worker;

/// One worker of a site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerPlan {
    /// What it has.
    pub shape: worker::WorkerShape,
    /// Services that run on it.
    pub upstreams: Vec<ids::UpstreamName>,
}

/// The workers that a configuration document describes, hall by hall, rack by rack. Racks of an
/// unknown kind have none: whoever checks the document reports them.
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
