//! A small hall with everything that the policy tells apart, and other configurations of it.

use std::time::Duration;

use almondpass_schema::{model, time};

/// Name of the hall.
pub(crate) const HALL: &str = "rustavi";
/// Accelerators of a worker.
pub(crate) const WORKER_ACCELERATORS: u32 = 4;
/// Cores of a worker.
pub(crate) const WORKER_CORES: u32 = 8;
/// Memory of a worker in MiB.
pub(crate) const WORKER_MEMORY_MB: u64 = 8_192;
/// Classes, by the number that a step names.
pub(crate) const CLASSES: [&str; 7] =
    ["ticket", "check", "slow-check", "certificate", "batch", "diagnosis", "report"];
/// Accounts, by the number that a step names; the first is the large one.
pub(crate) const ACCOUNTS: [&str; 4] = ["large", "yard", "lab", "plain"];
/// Configurations, by the number that a step names.
pub(crate) const N_VARIANTS: u8 = 7;
/// Those of them with another layout.
pub(crate) const LAYOUT_VARIANTS: [u8; 2] = [5, 6];

/// One of the configurations; 0 is the first in force.
pub(crate) fn document(variant: u8) -> model::ConfigDocument {
    let mut document = base();
    match variant {
        1 => document.accounts[1].guarantees[0].accelerators = 2,
        2 => document.accounts[2].guarantees.clear(),
        3 => {
            document.objective =
                model::ObjectiveWeights { completion_time: 0.9, fragmentation: 0.1 };
            document.bounds.reclaim = time::TimeSpan::from_secs(14);
        }
        4 => document.accounts[0].limits.accelerators = Some(6),
        5 => document.halls[0].racks.truncate(1),
        6 => document.halls[0].racks[1].workers = 4,
        _ => {}
    }
    document
}

fn base() -> model::ConfigDocument {
    model::ConfigDocument {
        site: "fuzz".to_owned(),
        objective: model::ObjectiveWeights { completion_time: 0.4, fragmentation: 0.6 },
        bounds: model::PolicyBounds {
            reclaim: time::TimeSpan::from_secs(10),
            checkpoint_grace: time::TimeSpan::from_secs(4),
            urgent_start: time::TimeSpan::from_secs(2),
            ageing_step: time::TimeSpan::from_secs(30),
            gang_wait: time::TimeSpan::from_secs(60),
            overrun: 1.5,
            idempotency_window: time::TimeSpan::from_secs(86_400),
            job_retention: time::TimeSpan::from_secs(86_400),
        },
        worker_kinds: vec![model::WorkerKind {
            name: "gpu4".to_owned(),
            cores: WORKER_CORES,
            memory_mb: WORKER_MEMORY_MB,
            accelerators: WORKER_ACCELERATORS,
            slots: 4,
            connections: 64,
        }],
        halls: vec![model::HallLayout {
            name: HALL.to_owned(),
            region: "kartli".to_owned(),
            data_center: "kartli-a".to_owned(),
            racks: ["r1", "r2"].map(rack).to_vec(),
        }],
        upstreams: vec![model::UpstreamSpec {
            name: "weighdesk".to_owned(),
            halls: vec![HALL.to_owned()],
            former_halls: Vec::new(),
        }],
        classes: classes(),
        accounts: vec![
            account("large", Vec::new()),
            account("yard", vec![shape("gate", 4, model::Adjacency::Worker)]),
            account("lab", vec![shape("rig", 8, model::Adjacency::Rack)]),
            account("plain", Vec::new()),
        ],
        drains: Vec::new(),
    }
}

fn rack(name: &str) -> model::RackLayout {
    model::RackLayout { name: name.to_owned(), workers: 3, kind: "gpu4".to_owned() }
}

fn classes() -> Vec<model::JobClass> {
    let request = model::ClassKind::Request;
    let job = model::ClassKind::Job;
    vec![
        model::JobClass { urgent: true, repeatable: false, ..class("ticket", request, 9, 8) },
        class("check", request, 6, 6),
        class("slow-check", request, 5, 60),
        model::JobClass { repeatable: false, ..class("certificate", job, 5, 40) },
        model::JobClass { checkpoint: true, ..class("batch", job, 2, 120) },
        model::JobClass { urgent: true, ..class("diagnosis", job, 8, 30) },
        class("report", job, 3, 60),
    ]
}

fn class(name: &str, kind: model::ClassKind, priority: u8, max_run: u64) -> model::JobClass {
    model::JobClass {
        name: name.to_owned(),
        kind,
        priority,
        urgent: false,
        repeatable: true,
        checkpoint: false,
        upstream: "weighdesk".to_owned(),
        accelerators: 1,
        cores: 1,
        memory_mb: 256,
        expected_run: time::TimeSpan(Duration::from_secs(max_run) / 3),
        max_run: time::TimeSpan::from_secs(max_run),
        deadline: time::TimeSpan::from_secs(86_400),
        max_body_bytes: 1 << 20,
    }
}

fn account(id: &str, guarantees: Vec<model::GuaranteedShape>) -> model::ClientAccount {
    model::ClientAccount {
        id: id.to_owned(),
        name: id.to_owned(),
        keys: Vec::new(),
        guarantees,
        limits: model::AccountLimits {
            accelerators: None,
            queued_jobs: 10_000,
            queued_requests: 10_000,
            running_requests: 10_000,
        },
    }
}

fn shape(name: &str, accelerators: u32, adjacency: model::Adjacency) -> model::GuaranteedShape {
    let hall = Some(HALL.to_owned());
    model::GuaranteedShape { name: name.to_owned(), accelerators, adjacency, hall }
}
