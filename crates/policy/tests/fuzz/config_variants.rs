//! Configuration of a small hall with every kind of class and guarantee that the policy distinguishes,
//! and variants of it.

use std::time::Duration;

use almondpass_schema::{model, time};

pub(crate) const HALL: &str = "rustavi";
pub(crate) const WORKER_ACCELERATORS: u32 = 4;
pub(crate) const WORKER_CORES: u32 = 8;
/// Memory of a worker in MiB.
pub(crate) const WORKER_MEMORY_MB: u64 = 8_192;
/// Names of the job classes. A step refers to a class by its index.
pub(crate) const CLASSES: [&str; 7] =
    ["ticket", "check", "slow-check", "certificate", "batch", "diagnosis", "report"];
/// Ids of the client accounts. A step refers to an account by its index.
pub(crate) const ACCOUNTS: [&str; 4] = ["large", "yard", "lab", "plain"];
/// Number of configurations. A step refers to a configuration by its number.
pub(crate) const N_VARIANTS: u8 = 7;
/// Configurations whose hall layout differs from that of configuration 0.
pub(crate) const LAYOUT_VARIANTS: [u8; 2] = [5, 6];

/// Returns the configuration `variant`. A simulated hall starts with 0.
pub(crate) fn document(variant: u8) -> model::ConfigDocument {
    let mut document = base_document();
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

fn base_document() -> model::ConfigDocument {
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
