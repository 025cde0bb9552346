//! The two sites as configuration documents of one hall each, built in code.

use almondpass_schema::{ids, model, time};
use clap::ValueEnum;
use serde::Serialize;

use crate::workload;

/// Workers in each rack of a hall of today: about 50 workers in three halls, 8 a rack.
const RACK_WORKERS: [u32; 3] = [8, 8, 1];

/// Which of the two users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SiteName {
    /// Saurashtra Dielectric Laboratories.
    Laboratories,
    /// Georgian Scrap Weighbridge Association.
    Association,
}

impl SiteName {
    /// The hall that is replayed.
    pub fn hall(self) -> ids::HallName {
        match self {
            SiteName::Laboratories => "rajkot".to_owned(),
            SiteName::Association => "gardabani".to_owned(),
        }
    }

    /// The configuration document.
    pub fn document(self) -> model::ConfigDocument {
        match self {
            SiteName::Laboratories => laboratories(),
            SiteName::Association => association(),
        }
    }

    /// What arrives.
    pub fn workload(self) -> Vec<workload::ClassLoad> {
        match self {
            SiteName::Laboratories => workload::laboratories(),
            SiteName::Association => workload::association(),
        }
    }
}

/// Names of the workers of a hall in order, rack by rack.
pub fn worker_names(hall: &model::HallLayout) -> Vec<Vec<ids::WorkerId>> {
    let names = |rack: &model::RackLayout| {
        (1..=rack.workers).map(|it| format!("{}-{}-{it:02}", hall.name, rack.name)).collect()
    };
    hall.racks.iter().map(names).collect()
}

fn laboratories() -> model::ConfigDocument {
    let hall = SiteName::Laboratories.hall();
    let kind = worker_kind("gpu8", 32, 64);
    let upstream = "oil-analysis";
    model::ConfigDocument {
        site: "saurashtra-dielectric-laboratories".to_owned(),
        objective: model::ObjectiveWeights { completion_time: 0.35, fragmentation: 0.65 },
        bounds: bounds(30, 10, 2, 600, 7_200),
        halls: vec![hall_layout(&hall, "gujarat", &kind)],
        worker_kinds: vec![kind],
        upstreams: vec![model::UpstreamSpec {
            name: upstream.to_owned(),
            halls: vec![hall.clone()],
            former_halls: Vec::new(),
        }],
        classes: vec![
            model::JobClass {
                urgent: true,
                priority: 9,
                ..class("diagnosis", model::ClassKind::Request, upstream, 6, 20)
            },
            model::JobClass {
                priority: 8,
                checkpoint: true,
                ..class("diagnosis-run", model::ClassKind::Job, upstream, 300, 3_600)
            },
            model::JobClass {
                priority: 6,
                ..class("report-check", model::ClassKind::Request, upstream, 4, 10)
            },
            model::JobClass {
                priority: 2,
                checkpoint: true,
                ..class("ageing", model::ClassKind::Job, upstream, 5_400, 28_800)
            },
        ],
        accounts: vec![
            account("gridco", Vec::new()),
            account("coastal-discom", vec![shape("diagnosis", 8, model::Adjacency::Worker, &hall)]),
            account(
                "solar-substations",
                vec![
                    shape("diagnosis", 8, model::Adjacency::Worker, &hall),
                    shape("ageing", 16, model::Adjacency::Rack, &hall),
                ],
            ),
            account("asset-planners", vec![shape("ageing", 32, model::Adjacency::Rack, &hall)]),
        ],
        drains: Vec::new(),
    }
}

fn association() -> model::ConfigDocument {
    let hall = SiteName::Association.hall();
    let kind = worker_kind("gpu8", 64, 128);
    let upstream = "weighdesk";
    model::ConfigDocument {
        site: "georgian-scrap-weighbridge-association".to_owned(),
        objective: model::ObjectiveWeights { completion_time: 0.7, fragmentation: 0.3 },
        bounds: bounds(20, 8, 1, 300, 21_600),
        halls: vec![hall_layout(&hall, "kartli", &kind)],
        worker_kinds: vec![kind],
        upstreams: vec![model::UpstreamSpec {
            name: upstream.to_owned(),
            halls: vec![hall.clone()],
            former_halls: Vec::new(),
        }],
        classes: vec![
            model::JobClass {
                urgent: true,
                repeatable: false,
                priority: 9,
                ..class("gate-ticket", model::ClassKind::Request, upstream, 3, 10)
            },
            model::JobClass {
                priority: 6,
                ..class("metal-class", model::ClassKind::Request, upstream, 5, 15)
            },
            model::JobClass {
                priority: 1,
                checkpoint: true,
                ..class("audit", model::ClassKind::Job, upstream, 2_400, 14_400)
            },
        ],
        accounts: vec![
            account("kartli-steel", Vec::new()),
            account("rustavi-yard", vec![shape("gate", 8, model::Adjacency::Worker, &hall)]),
            account("gori-yard", vec![shape("audit", 16, model::Adjacency::Rack, &hall)]),
            account("mtskheta-yard", vec![shape("audit", 24, model::Adjacency::Rack, &hall)]),
        ],
        drains: Vec::new(),
    }
}

/// Bounds in seconds, as in the examples of the repository.
fn bounds(reclaim: u64, grace: u64, urgent: u64, ageing: u64, gang: u64) -> model::PolicyBounds {
    model::PolicyBounds {
        reclaim: time::TimeSpan::from_secs(reclaim),
        checkpoint_grace: time::TimeSpan::from_secs(grace),
        urgent_start: time::TimeSpan::from_secs(urgent),
        ageing_step: time::TimeSpan::from_secs(ageing),
        gang_wait: time::TimeSpan::from_secs(gang),
        overrun: 1.5,
        idempotency_window: time::TimeSpan::from_secs(86_400),
        job_retention: time::TimeSpan::from_secs(86_400),
    }
}

fn worker_kind(name: &str, cores: u32, memory_gb: u64) -> model::WorkerKind {
    model::WorkerKind {
        name: name.to_owned(),
        cores,
        memory_mb: memory_gb * 1024,
        accelerators: 8,
        slots: 8,
        connections: 64,
    }
}

fn hall_layout(name: &str, region: &str, kind: &model::WorkerKind) -> model::HallLayout {
    let rack = |(index, workers): (usize, &u32)| model::RackLayout {
        name: format!("r{}", index + 1),
        workers: *workers,
        kind: kind.name.clone(),
    };
    model::HallLayout {
        name: name.to_owned(),
        region: region.to_owned(),
        data_center: format!("{name}-a"),
        racks: RACK_WORKERS.iter().enumerate().map(rack).collect(),
    }
}

/// A class with spans in seconds; callers override what differs.
pub(crate) fn class(
    name: &str,
    kind: model::ClassKind,
    upstream: &str,
    expected_run: u64,
    max_run: u64,
) -> model::JobClass {
    model::JobClass {
        name: name.to_owned(),
        kind,
        priority: 5,
        urgent: false,
        repeatable: true,
        checkpoint: false,
        upstream: upstream.to_owned(),
        accelerators: 1,
        cores: 2,
        memory_mb: 4_096,
        expected_run: time::TimeSpan::from_secs(expected_run),
        max_run: time::TimeSpan::from_secs(max_run),
        deadline: time::TimeSpan::from_secs(86_400),
        max_body_bytes: 1 << 26,
    }
}

pub(crate) fn account(id: &str, guarantees: Vec<model::GuaranteedShape>) -> model::ClientAccount {
    model::ClientAccount {
        id: id.to_owned(),
        name: id.to_owned(),
        keys: Vec::new(),
        guarantees,
        limits: model::AccountLimits {
            queued_jobs: 1_000_000,
            running_requests: 1_000_000,
            queued_requests: 1_000_000,
            accelerators: None,
        },
    }
}

pub(crate) fn shape(
    name: &str,
    accelerators: u32,
    adjacency: model::Adjacency,
    hall: &str,
) -> model::GuaranteedShape {
    model::GuaranteedShape {
        name: name.to_owned(),
        accelerators,
        adjacency,
        hall: Some(hall.to_owned()),
    }
}
