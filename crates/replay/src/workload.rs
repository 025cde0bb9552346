//! What arrives at each site: classes with their shares, shapes, run times and owners.

use std::time::Duration;

use almondpass_schema::{ids, model};

/// A shape of a gang and how often it is asked for, relative to the others.
#[derive(Clone, Copy, Debug)]
pub struct ShapeOdds {
    /// Tasks of the gang.
    pub tasks: u32,
    /// Accelerators of each task.
    pub accelerators: u32,
    /// Adjacency of the gang.
    pub adjacency: model::Adjacency,
    /// Relative frequency.
    pub odds: u32,
}

/// An account and how much of a class is its own, relative to the others.
#[derive(Clone, Debug)]
pub struct AccountOdds {
    /// The account.
    pub account: ids::AccountId,
    /// Guaranteed shape that it names, where the gang is no larger.
    pub guarantee: Option<GuaranteeClaim>,
    /// Relative frequency.
    pub odds: u32,
}

/// A guaranteed shape that an account names in its work.
#[derive(Clone, Debug)]
pub struct GuaranteeClaim {
    /// Its name.
    pub name: ids::GuaranteeName,
    /// Accelerators of the shape.
    pub accelerators: u32,
}

/// How a class arrives.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    /// The class.
    pub class: ids::ClassName,
    /// Its share of the offered accelerator time.
    pub share: f64,
    /// Median run time.
    pub median_run: Duration,
    /// Standard deviation of the logarithm of the run time.
    pub run_sigma: f64,
    /// Limit of the run time in the configuration.
    pub max_run: Duration,
    /// Share of arrivals that come in bursts.
    pub burst_share: f64,
    /// Mean distance of an arrival from the start of its burst.
    pub burst_spread: Duration,
    /// Share of arrivals that come in the last third of the trace, when it is night.
    pub night_share: f64,
    /// Shapes.
    pub shapes: Vec<ShapeOdds>,
    /// Owners; the first is larger than all others together.
    pub accounts: Vec<AccountOdds>,
    /// Slots of the upstream that it takes: 1 for requests, 0 for jobs.
    pub slots: u32,
}

/// Diagnosis runs, report checks and ageing batches.
pub fn laboratories() -> Vec<ClassLoad> {
    let accounts = || {
        vec![
            plain("gridco", 60),
            plain("coastal-discom", 15),
            plain("solar-substations", 15),
            plain("asset-planners", 10),
        ]
    };
    vec![
        ClassLoad {
            share: 0.10,
            median_run: Duration::from_secs(6),
            run_sigma: 0.5,
            accounts: accounts(),
            ..requests("diagnosis", Duration::from_secs(20))
        },
        ClassLoad {
            share: 0.15,
            median_run: Duration::from_secs(240),
            run_sigma: 0.5,
            burst_share: 0.2,
            shapes: vec![worker_run(2, 30), worker_run(4, 40), worker_run(8, 25), rack_run(2, 5)],
            accounts: vec![
                plain("gridco", 60),
                claiming("coastal-discom", 20, "diagnosis", 8),
                claiming("solar-substations", 20, "diagnosis", 8),
            ],
            ..jobs("diagnosis-run", Duration::from_secs(3_600))
        },
        ClassLoad {
            share: 0.10,
            median_run: Duration::from_secs(4),
            run_sigma: 0.4,
            accounts: accounts(),
            ..requests("report-check", Duration::from_secs(10))
        },
        ClassLoad {
            share: 0.65,
            median_run: Duration::from_secs(4_500),
            run_sigma: 0.5,
            burst_share: 0.3,
            shapes: vec![
                rack_run(2, 35),
                rack_run(3, 20),
                rack_run(4, 30),
                rack_run(6, 10),
                rack_run(8, 5),
            ],
            accounts: vec![
                plain("gridco", 65),
                claiming("solar-substations", 15, "ageing", 16),
                claiming("asset-planners", 20, "ageing", 32),
            ],
            ..jobs("ageing", Duration::from_secs(28_800))
        },
    ]
}

/// Gate tickets, metal class checks and reweigh audits.
pub fn association() -> Vec<ClassLoad> {
    let accounts = || {
        vec![
            plain("kartli-steel", 60),
            plain("rustavi-yard", 20),
            plain("gori-yard", 10),
            plain("mtskheta-yard", 10),
        ]
    };
    vec![
        ClassLoad {
            share: 0.12,
            median_run: Duration::from_millis(2_500),
            run_sigma: 0.4,
            burst_share: 0.4,
            accounts: accounts(),
            ..requests("gate-ticket", Duration::from_secs(10))
        },
        ClassLoad {
            share: 0.20,
            median_run: Duration::from_secs(5),
            run_sigma: 0.4,
            accounts: accounts(),
            ..requests("metal-class", Duration::from_secs(15))
        },
        ClassLoad {
            share: 0.68,
            median_run: Duration::from_secs(2_000),
            run_sigma: 0.5,
            burst_share: 0.3,
            night_share: 0.5,
            shapes: vec![rack_run(2, 40), rack_run(3, 25), rack_run(4, 20), rack_run(8, 15)],
            accounts: vec![
                plain("kartli-steel", 60),
                claiming("gori-yard", 15, "audit", 16),
                claiming("mtskheta-yard", 25, "audit", 24),
            ],
            ..jobs("audit", Duration::from_secs(14_400))
        },
    ]
}

fn requests(class: &str, max_run: Duration) -> ClassLoad {
    ClassLoad {
        class: class.to_owned(),
        share: 0.0,
        median_run: Duration::ZERO,
        run_sigma: 0.0,
        max_run,
        burst_share: 0.3,
        burst_spread: Duration::from_secs(20),
        night_share: 0.0,
        shapes: vec![worker_run(1, 1)],
        accounts: Vec::new(),
        slots: 1,
    }
}

fn jobs(class: &str, max_run: Duration) -> ClassLoad {
    ClassLoad { slots: 0, ..requests(class, max_run) }
}

fn worker_run(accelerators: u32, odds: u32) -> ShapeOdds {
    ShapeOdds { tasks: 1, accelerators, adjacency: model::Adjacency::Worker, odds }
}

fn rack_run(tasks: u32, odds: u32) -> ShapeOdds {
    ShapeOdds { tasks, accelerators: 8, adjacency: model::Adjacency::Rack, odds }
}

fn plain(account: &str, odds: u32) -> AccountOdds {
    AccountOdds { account: account.to_owned(), guarantee: None, odds }
}

fn claiming(account: &str, odds: u32, guarantee: &str, accelerators: u32) -> AccountOdds {
    let claim = GuaranteeClaim { name: guarantee.to_owned(), accelerators };
    AccountOdds { guarantee: Some(claim), ..plain(account, odds) }
}
