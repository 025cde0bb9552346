//! Storms in which the tenure holder is killed again and again: when, how often, and what else goes on is drawn from
//! a seed.
//!
//! A long run: `POOL_STORM_CASES=200 POOL_STORM_SEED=1 cargo test --release -p almondpass-pool --test pool --
//! --nocapture holder_kills`.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use almondpass_graph::task_key;
use almondpass_peer::codec;
use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use almondpass_standin::fault;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{self, Instant};

use crate::storm_oracle;
use crate::support;

const N_WORKERS: usize = 24;

/// Strengths drawn for the machines, in thousandths of a core.
const STRENGTHS: [u32; 3] = [150, 250, 400];

/// Interval between two looks at what is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time after the last kill, with all instances up, within which jobs accepted meanwhile begin.
const BEGINS_WITHIN: Duration = Duration::from_secs(14);

/// Time after the last kill in which all jobs end.
const SETTLING_TIME: Duration = Duration::from_secs(60);

/// Time after the last kill from which all instances are connected to store and workers.
const CONNECTED_AFTER: Duration = Duration::from_secs(3);

/// Number of workers crashed by a task after which its further starts are limited, and most of these.
const N_CRASHES: usize = 3;
const MAX_LATER_STARTS: usize = 2;

/// When the holder is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KillTime {
    /// At drawn intervals, whatever it does.
    Interval,
    /// Right after it has saved a start of the job whose worker has crashed.
    StartSaved,
}

/// What crashes workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashCause {
    /// One worker crashes by chance.
    Chance,
    /// A task crashes each worker that starts it.
    Task,
}

/// The machines of a storm, of which some are down.
struct Machines {
    bench: support::PoolBench,
    strengths: Vec<(String, u32)>,
    /// Addresses of killed instances, with the time of their restart.
    down: Vec<(Instant, String)>,
}

impl Machines {
    async fn start(rng: &mut ChaCha8Rng) -> Machines {
        let mut bench = support::PoolBench::start(0, N_WORKERS).await;
        bench.start_heartbeats();
        let is_uniform = rng.random_bool(0.5);
        let mut strengths = Vec::new();
        for index in 0..rng.random_range(3..8) {
            let drawn = STRENGTHS[rng.random_range(0..STRENGTHS.len())];
            let strength = if is_uniform { STRENGTHS[1] } else { drawn };
            let address = format!("10.0.1.{}:7000", index + 1);
            bench.start_instance_with_strength(&address, strength);
            strengths.push((address, strength));
        }
        time::sleep(Duration::from_secs(12)).await;
        Machines { bench, strengths, down: Vec::new() }
    }

    /// Kills the process that the tenure's row names, if it is up. Returns whether it was.
    async fn kill_holder(&mut self, down: Duration) -> bool {
        let Some(row) = self.tenure_row().filter(|it| !it.released) else { return false };
        let holder =
            self.bench.instances.iter().position(|it| it.state.settings.instance == row.holder);
        let Some(index) = holder else { return false };
        let address = self.bench.kill(index).await;
        self.down.push((Instant::now() + down, address));
        true
    }

    /// Starts the instances whose machines are up again.
    fn start_due(&mut self) {
        let now = Instant::now();
        for (_, address) in self.down.extract_if(.., |it| it.0 <= now) {
            let strength = self.strengths.iter().find(|it| it.0 == address).map_or(250, |it| it.1);
            self.bench.start_instance_with_strength(&address, strength);
        }
    }

    async fn pass(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            time::sleep(CHECK_INTERVAL).await;
            self.start_due();
        }
    }

    fn tenure_row(&self) -> Option<model::PoolTenure> {
        let row = self.bench.store.peek(&keys::pool_tenure()).into_iter().next()?;
        codec::decode(&row.value?).ok()
    }

    /// Submits a job at any instance that is up. Returns whether it was accepted.
    async fn submit(&self, graph: ids::GraphId, row: model::GraphRow) -> bool {
        for index in 0..self.bench.instances.len() {
            let outcome = self.bench.submit(index, graph, row.clone()).await;
            if outcome == model::SubmitOutcome::Accepted {
                return true;
            }
        }
        false
    }

    /// The saved start of a job's only task, if the store has one.
    fn saved_attempt(&self, graph: ids::GraphId) -> Option<u32> {
        let row = self.bench.store.peek(&keys::progress(graph, 0)).into_iter().next()?;
        let row = codec::decode::<model::ProgressRow>(&row.value?).ok()?;
        row.steps.first()?.trials.first().map(|it| it.attempt)
    }
}

/// Guards against a fleet that schedules no more because its holders were killed in quick succession: each instance
/// leaves the tenure to the others.
#[test]
fn storms_of_holder_kills() {
    for seed in support::storm_seeds() {
        println!("storm {seed}, holder kills");
        support::run(kill_holders(seed));
    }
}

/// Guards against work that is given up although one worker was lost under it: its starts were saved by holders that
/// were killed before they sent them.
#[test]
fn storms_of_holder_kills_beside_a_loss() {
    for seed in support::storm_seeds() {
        println!("storm {seed}, holder kills beside a loss");
        support::run(kill_holders_beside(seed, CrashCause::Chance));
    }
}

/// Guards against work that is given up as three holders in a row were killed before they sent a saved start of it.
#[test]
fn storms_with_starts_that_were_never_sent() {
    support::run(kill_holders_beside(532, CrashCause::Chance));
}

/// Guards against a task that crashes its workers and is started too often, as holders are killed between its starts.
#[test]
fn storms_of_holder_kills_beside_a_crashing_task() {
    for seed in support::storm_seeds() {
        println!("storm {seed}, holder kills beside a crashing task");
        support::run(kill_holders_beside(seed, CrashCause::Task));
    }
}

async fn kill_holders(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut machines = Machines::start(&mut rng).await;
    let gap_ms = rng.random_range(300..1_000);
    let longest_down_ms = if rng.random_bool(0.5) { 400 } else { 3_500 };
    let mut accepted = BTreeSet::new();
    let n_kills = rng.random_range(5..26);
    for kill in 0..n_kills {
        let graph = 1 + kill as u64;
        let n_tasks = rng.random_range(1..4);
        if rng.random_bool(0.5) && machines.submit(graph, support::job(n_tasks, 700)).await {
            accepted.insert(graph);
        }
        let down = millis(&mut rng, 200..longest_down_ms);
        machines.kill_holder(down).await;
        let gap = millis(&mut rng, gap_ms / 2..gap_ms * 3 / 2);
        machines.pass(gap).await;
    }
    let last_kill = Instant::now();
    while !machines.down.is_empty() {
        machines.pass(CHECK_INTERVAL).await;
    }
    if machines.submit(1_000, support::job(1, 700)).await {
        accepted.insert(1_000);
    }
    while machines.bench.fleet.records().iter().all(|it| it.task.graph != 1_000) {
        let waited = last_kill.elapsed();
        assert!(waited < BEGINS_WITHIN, "storm {seed}: nothing has begun after {waited:?}");
        machines.pass(CHECK_INTERVAL).await;
    }
    println!("storm {seed}: begun after {} ms", last_kill.elapsed().as_millis());
    time::sleep(SETTLING_TIME).await;
    assert_completed(&machines.bench, &accepted, seed).await;
    storm_oracle::check(&machines.bench, seed);
}

/// Crashes a worker under a job, and kills holders while the job waits to run again.
async fn kill_holders_beside(seed: u64, cause: CrashCause) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut machines = Machines::start(&mut rng).await;
    let modes = [support::RestartMode::NewAddress, support::RestartMode::SameAddress];
    let mode = modes[rng.random_range(0..modes.len())];
    let worker_down = millis(&mut rng, 1_000..4_000);
    machines.bench.restart_crashed_workers(mode, worker_down);
    let mut accepted = BTreeSet::new();
    for graph in 2..8 {
        if machines.submit(graph, support::job(rng.random_range(1..4), 2_500)).await {
            accepted.insert(graph);
        }
    }
    let calm = millis(&mut rng, 5_000..40_000);
    machines.pass(calm).await;
    let mut row = support::job(1, 2_500);
    if rng.random_bool(0.7) {
        row.graph.body.push_str(" size=8");
        let step = &mut row.graph.steps[0];
        (step.accelerators, step.cpu_milli, step.memory_mb) = (8, 32_000, 64_000);
    }
    if cause == CrashCause::Task {
        row.graph.body.push_str(&format!(" crash={}", rng.random_range(5..1_500)));
    }
    assert!(machines.submit(1, row).await, "storm {seed}");
    let task = task_key::TaskKey { graph: 1, occurrence: 0, step: 0, task: 0 };
    if cause == CrashCause::Chance {
        let ran = millis(&mut rng, 800..2_200);
        machines.pass(ran).await;
        let running = machines.bench.fleet.running();
        let (worker, _) = running.iter().find(|it| it.1 == task).expect("the job runs");
        machines.bench.crash_worker(support::index_of(worker), mode, worker_down);
        accepted.insert(1);
    }
    let slowness = millis(&mut rng, 5..240);
    machines.bench.store.faults().set(fault::Condition::Slow(slowness));
    let mut known = None;
    for _ in 0..rng.random_range(2..6) {
        let time = if rng.random_bool(0.8) { KillTime::StartSaved } else { KillTime::Interval };
        let until = Instant::now() + millis(&mut rng, 500..15_000);
        let is_start_saved =
            |it: &Machines| it.saved_attempt(1).is_some_and(|it| Some(it) != known);
        while Instant::now() < until && (time == KillTime::Interval || !is_start_saved(&machines)) {
            machines.pass(CHECK_INTERVAL).await;
        }
        known = machines.saved_attempt(1).or(known);
        let down = millis(&mut rng, 300..5_000);
        machines.kill_holder(down).await;
    }
    machines.bench.store.faults().set(fault::Condition::Up);
    while !machines.down.is_empty() {
        machines.pass(CHECK_INTERVAL).await;
    }
    let connected_from = Instant::now() + CONNECTED_AFTER;
    time::sleep(SETTLING_TIME).await;
    let runs = machines.bench.fleet.records();
    let mut runs = runs.iter().filter(|it| it.task == task).collect::<Vec<_>>();
    runs.sort_by_key(|it| it.started);
    println!("storm {seed}: {} starts", runs.len());
    if cause == CrashCause::Task {
        let later = runs.iter().skip(N_CRASHES).filter(|it| it.started > connected_from);
        assert!(later.count() <= MAX_LATER_STARTS, "storm {seed}: {runs:?}");
        let shown = machines.bench.lookup(0, 1).await;
        let failed = model::LookOutcome::Known(model::GraphState::Failed);
        assert_eq!(shown, failed, "storm {seed}: the task that crashes workers");
    }
    assert_completed(&machines.bench, &accepted, seed).await;
    storm_oracle::check(&machines.bench, seed);
}

async fn assert_completed(
    bench: &support::PoolBench,
    accepted: &BTreeSet<ids::GraphId>,
    seed: u64,
) {
    let completed = model::LookOutcome::Known(model::GraphState::Completed);
    for graph in accepted {
        let shown = bench.lookup(0, *graph).await;
        assert_eq!(shown, completed, "storm {seed}: job {graph}");
    }
}

fn millis(rng: &mut ChaCha8Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}
