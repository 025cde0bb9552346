//! Measures the duration of scheduling rounds under a burst of urgent work: `cargo run --release -p
//! almondpass-graph --example measure_turn -- 1100`. With the argument `fair`, the fair order is on; with `full`,
//! the pool is filled before the measurement, which takes minutes with thousands of workers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use almondpass_graph::{core, intake, order, progress, resources, timing, worker};
use almondpass_schema::{ids, model};

/// Workers per rack.
const WORKERS_PER_RACK: usize = 12;

/// Number of measured rounds.
const N_ROUNDS: u32 = 20;

/// Accounts that submit jobs.
const N_ACCOUNTS: u64 = 24;

/// Accelerators of each worker.
const ACCELERATORS: u32 = 8;

fn main() {
    let n_workers = std::env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(1_100);
    let has_argument = |name: &str| std::env::args().any(|it| it == name);
    let fair_share = has_argument("fair");
    let scheduling =
        model::SchedulingSettings { fair_share, ..model::SchedulingSettings::default() };
    let mut core = pool_of(n_workers, scheduling);
    let mut now = Duration::from_secs(1_000);
    // Least urgent work fills nine tenths of the pool, and as much again waits.
    let n_jobs = n_workers as u64 * 2 * 9 / 10 * u64::from(ACCELERATORS) / 40;
    for graph in 0..n_jobs {
        admit(&mut core, graph, 2, step(40, 1), now);
    }
    now += Duration::from_secs(20);
    run_answered_round(&mut core, now);
    while has_argument("full") && core.summary().accelerators_used < core.summary().accelerators {
        now += Duration::from_millis(20);
        run_answered_round(&mut core, now);
    }
    println!("{n_workers} workers, {} tasks run", core.summary().n_running);
    for graph in 0..n_workers as u64 / 18 {
        let accelerators = [1, 2, 4, 8][graph as usize % 4];
        admit(&mut core, 1 << 32 | graph, 0, step(8, accelerators), now);
    }
    let mut longest = Duration::ZERO;
    let mut sum = Duration::ZERO;
    for _ in 0..N_ROUNDS {
        now += Duration::from_millis(20);
        let started_at = Instant::now();
        run_answered_round(&mut core, now);
        let duration = started_at.elapsed();
        longest = longest.max(duration);
        sum += duration;
    }
    println!("turn: mean {:?}, longest {longest:?}", sum / N_ROUNDS);
}

fn pool_of(n_workers: usize, scheduling: model::SchedulingSettings) -> core::PoolCore {
    let mut core = core::PoolCore::new(core::PoolStart {
        epoch: 0,
        timing: timing::PoolTiming::default(),
        scheduling,
        catalog: Arc::default(),
        settles_at: Duration::ZERO,
    });
    let now = Duration::from_secs(1_000);
    for index in 0..n_workers {
        let rack = format!("r{}", index / WORKERS_PER_RACK);
        let listing = worker::WorkerEntry {
            address: format!("127.0.0.1:{index}"),
            upstream: "analysis".to_owned(),
            capacity: resources::Resources {
                cpu_milli: 32_000,
                memory_mb: 65_536,
                accelerators: ACCELERATORS,
            },
            labels: vec!["a".to_owned(), rack.clone()],
            data_center: "dc0".to_owned(),
            rack,
            leaves_in: None,
            incarnation: None,
            sequence: None,
        };
        core.update_worker(format!("w{index:05}"), listing, now);
    }
    while let Some(batch) = core.take_save_batch(now, |_| true) {
        core.batch_saved(batch);
    }
    core
}

/// Lets every worker answer a poll, runs a round, and lets every start succeed.
fn run_answered_round(core: &mut core::PoolCore, now: Duration) {
    let workers = core.worker_ids().cloned().collect::<Vec<_>>();
    for worker in workers {
        let listed = order::PollReply {
            clock_ms: now.as_millis() as u64,
            complete: false,
            ..order::PollReply::default()
        };
        core.poll_answered(&worker, listed, now, now);
    }
    core.run_round(now);
    for order in core.take_orders() {
        if let order::PoolOrder::Start(start) = order {
            let answer = order::StartAnswer::Started { clock_ms: now.as_millis() as u64 };
            core.start_answered(&start, answer, now);
        }
    }
}

fn admit(
    core: &mut core::PoolCore,
    graph: ids::GraphId,
    priority: u32,
    step: model::GraphStep,
    now: Duration,
) {
    let row = model::GraphRow {
        account: Some(format!("lab-{}", graph % N_ACCOUNTS)),
        cancelled: false,
        class: format!("class-{priority}"),
        graph: model::JobGraph { body: "sample".to_owned(), schedule: None, steps: vec![step] },
        max_attempts: 2,
        priority,
        upstream: "analysis".to_owned(),
    };
    let progress = progress::SavedChunks::default();
    core.admit(
        intake::AdmittedJob {
            graph,
            row,
            version: 1,
            origin: intake::JobOrigin::Load,
            progress,
            inherited: false,
        },
        now,
    );
}

fn step(tasks: u32, accelerators: u32) -> model::GraphStep {
    model::GraphStep {
        accelerators,
        after: Vec::new(),
        cpu_milli: 2_000,
        estimate_ms: 2_500,
        gang: accelerators > 1,
        label: None,
        memory_mb: 4_000,
        per_worker: 0,
        rack: None,
        same_rack: accelerators == 2,
        saves: false,
        tasks,
    }
}
