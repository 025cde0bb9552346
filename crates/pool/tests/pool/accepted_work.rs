//! Storms over accepted jobs: periods with and without faults in turn, where no job may starve in a period
//! without faults. A storm is a test run whose faults are drawn at random from a seed.
//!
//! A long run: `POOL_STORM_CASES=400 POOL_STORM_SEED=1 cargo test --release -p almondpass-pool --test
//! pool -- --nocapture storms_of_accepted_work`.

use std::time::Duration;

use almondpass_graph::task_key;
use almondpass_schema::{ids, model};
use almondpass_standin::{fault, pool_worker, table};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{self, Instant};

use crate::starvation_oracle;
use crate::storm_oracle;
use crate::support;

const N_INSTANCES: usize = 4;
const N_WORKERS: usize = 24;

/// Rounds of a storm; each is a period of faults and a period without.
const N_ROUNDS: usize = 5;

/// Interval between two checks of the accepted jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Strengths drawn for restarted instances, in thousandths of a core.
const STRENGTHS: [u32; 3] = [150, 250, 400];

/// Time after the last fault in which all jobs have to end: it covers the longest tasks, and the leases of
/// workers that were lost before.
const SETTLING_TIME: Duration = Duration::from_secs(60);

/// Kinds of faults that a storm injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultSet {
    /// All faults except permanent losses of workers.
    Faults,
    /// Workers are lost for good as well, alone and together with the tenure holder.
    Losses,
}

/// State of a running storm.
struct AcceptedWorkStorm {
    kind: FaultSet,
    bench: support::PoolBench,
    oracle: starvation_oracle::StarvationOracle,
    rng: ChaCha8Rng,
    /// Probability that a job is large.
    large_job_rate: f64,
    n_submitted: u64,
    /// Accepted jobs that were not cancelled, in the order of their acceptance.
    accepted: Vec<ids::GraphId>,
    /// Addresses of all instances, including those that are down.
    addresses: Vec<String>,
    /// Addresses of killed instances, with the time of their restart.
    killed: Vec<(Instant, String)>,
}

/// Guards against accepted jobs that starve, or that the tenure holder does not know, although all parties
/// are connected.
#[test]
fn storms_of_accepted_work() {
    run_storms(FaultSet::Faults, support::storm_seeds());
}

/// Guards against starved or unknown jobs where workers are lost for good, also together with the holder.
#[test]
fn storms_of_accepted_work_amid_losses() {
    run_storms(FaultSet::Losses, support::storm_seeds());
}

/// Guards against a job that starves because of capacity reserved for urgent jobs, on a pool of which only a
/// quarter is in use.
#[test]
fn storms_with_capacity_reserved_for_urgent_jobs() {
    run_storms(FaultSet::Faults, [314]);
}

/// Guards against a gang that is given up as crashing its workers after it has lost two of them by chance.
#[test]
fn storms_with_a_gang_that_loses_two_workers() {
    run_storms(FaultSet::Faults, [883_028]);
}

/// Guards against a storm that differs from run to run with the same seed, so that no failure can be
/// reproduced.
#[test]
fn a_storm_repeats_with_its_seed() {
    for seed in [2, 42] {
        let first = run_storm(FaultSet::Losses, seed);
        assert!(first == run_storm(FaultSet::Losses, seed), "storm {seed}");
    }
}

/// Everything that a storm did, to compare two runs.
#[derive(PartialEq)]
struct StormTrace {
    /// Number of transactions committed by the store.
    n_writes: u64,
    /// Task, attempt, worker, beginning and end of each run; times since the start of the storm.
    runs: Vec<(task_key::TaskKey, u32, ids::WorkerId, Duration, Duration)>,
}

/// Guards against accepted jobs that wait for the lease of a worker that was lost together with the tenure
/// holder, or whose answer to a start was lost.
#[test]
fn storms_that_wait_for_a_lost_worker() {
    run_storms(FaultSet::Losses, [14, 52, 53, 139, 172, 194, 3_100_023, 52_400_104]);
    run_storms(FaultSet::Losses, [770_372, 41_400_013, 41_400_229, 41_400_243, 45_300_029]);
}

/// Guards against accepted jobs that wait for a worker's lease counted from the former holder's last order,
/// although that holder knew since when the worker had been silent.
#[test]
fn storms_that_still_wait_behind_losses() {
    run_storms(FaultSet::Losses, [52_400_104, 52_400_138]);
}

/// Guards against an accepted job that stands still although one of its tasks could run and most of the
/// pool is free.
#[test]
fn storms_with_jobs_beside_free_capacity() {
    run_storms(FaultSet::Losses, [882_037, 882_071, 882_168]);
}

/// Guards against an accepted job that waits for an empty worker or a better place, and begins that wait anew because
/// the tenure is handed over to a stronger instance.
#[test]
fn storms_with_a_hand_over_while_a_job_stands() {
    run_storms(FaultSet::Losses, [96_000_038, 98_100_161]);
}

fn run_storms(kind: FaultSet, seeds: impl IntoIterator<Item = u64>) {
    for seed in seeds {
        println!("storm {seed}, accepted work, {kind:?}");
        run_storm(kind, seed);
    }
}

fn run_storm(kind: FaultSet, seed: u64) -> StormTrace {
    support::run(async move {
        let mut storm = AcceptedWorkStorm::start(kind, seed).await;
        for _ in 0..N_ROUNDS {
            storm.inject_faults(seed).await;
            storm.run_without_faults(seed).await;
        }
        storm.wait_and_check(seed, SETTLING_TIME).await;
        storm.check_results(seed).await;
        storm.trace()
    })
}

impl AcceptedWorkStorm {
    async fn start(kind: FaultSet, seed: u64) -> AcceptedWorkStorm {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let bench = support::PoolBench::start(N_INSTANCES, N_WORKERS).await;
        bench.start_heartbeats();
        let addresses = bench.instances.iter().map(|it| it.address.clone()).collect();
        // The range covers pools from nearly empty to nearly full.
        let large_job_rate = rng.random_range(0.0..0.5);
        AcceptedWorkStorm {
            kind,
            oracle: starvation_oracle::StarvationOracle::new(),
            bench,
            rng,
            large_job_rate,
            n_submitted: 0,
            accepted: Vec::new(),
            addresses,
            killed: Vec::new(),
        }
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    async fn inject_faults(&mut self, seed: u64) {
        for _ in 0..self.rng.random_range(2..6) {
            self.inject_fault().await;
            for _ in 0..self.rng.random_range(0..4) {
                self.submit_random_job().await;
                let pause = self.millis(20..600);
                self.wait_and_check(seed, pause).await;
            }
        }
    }

    /// Ends all faults, and submits further jobs for a while.
    async fn run_without_faults(&mut self, seed: u64) {
        tracing::info!("all faults are ended");
        let down = std::mem::take(&mut self.killed);
        for (_, address) in down {
            self.restart(&address);
        }
        self.end_faults();
        self.oracle.record_faults_ended();
        let until = Instant::now() + self.millis(9_000..14_000);
        while Instant::now() < until {
            self.submit_random_job().await;
            let pause = self.millis(100..1_500);
            self.wait_and_check(seed, pause).await;
        }
    }

    /// Waits for `span`, restarts instances that are due, and checks the accepted jobs at each interval.
    async fn wait_and_check(&mut self, seed: u64, span: Duration) {
        let until = Instant::now() + span;
        loop {
            let due = self.killed.iter().position(|(at, _)| *at <= Instant::now());
            if let Some(index) = due {
                let (_, address) = self.killed.remove(index);
                self.restart(&address);
            }
            if let Some(violation) = self.oracle.check(&self.bench) {
                let holder_state = self.holder_state(&violation);
                panic!(
                    "storm {seed} at {:?}: {violation}; {holder_state}",
                    self.bench.started.elapsed()
                );
            }
            if Instant::now() >= until {
                return;
            }
            time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Describes the holder's recorded state of the job of a violation, for the panic message.
    fn holder_state(&self, violation: &starvation_oracle::OracleViolation) -> String {
        let Some(holder) = self.bench.latest_holder() else { return "no holder".to_owned() };
        let instance = &self.bench.instances[holder];
        let Some(leader) = instance.state.leader() else { return "no holder".to_owned() };
        let core = leader.core();
        let shown = violation.graph().and_then(|it| core.state_of(it));
        format!(
            "{} of epoch {}: {shown:?}, {:?}; {core:?}",
            instance.address,
            leader.epoch,
            core.summary()
        )
    }

    async fn submit_random_job(&mut self) {
        self.n_submitted += 1;
        let graph = self.n_submitted;
        let row = self.draw_job();
        let index = self.rng.random_range(0..self.bench.instances.len());
        let is_accepted = self.submit(index, graph, row).await;
        if is_accepted && self.rng.random_bool(0.04) {
            self.cancel(index).await;
        }
    }

    async fn cancel(&mut self, index: usize) {
        let chosen = self.rng.random_range(0..self.accepted.len());
        let graph = self.accepted.remove(chosen);
        // The cancellation may have taken effect whatever the outcome is.
        let _ = self.bench.cancel(index, graph).await;
        self.oracle.record_cancelled(graph);
    }

    async fn submit(&mut self, index: usize, graph: ids::GraphId, row: model::GraphRow) -> bool {
        let outcome = self.bench.submit(index, graph, row.clone()).await;
        let is_accepted = outcome == model::SubmitOutcome::Accepted;
        if is_accepted {
            self.oracle.record_accepted(graph, row);
            self.accepted.push(graph);
        }
        is_accepted
    }

    fn draw_job(&mut self) -> model::GraphRow {
        let rng = &mut self.rng;
        let is_large_job = rng.random_bool(self.large_job_rate);
        let n_tasks = if is_large_job { rng.random_range(10..50) } else { rng.random_range(1..6) };
        let run_ms = if is_large_job { 1_000..7_000 } else { 200..3_000 };
        let mut row = support::job(n_tasks, rng.random_range(run_ms));
        let (class, priority) = support::CLASSES[rng.random_range(0..support::CLASSES.len())];
        row.class = class.to_owned();
        row.priority = priority;
        let first = &mut row.graph.steps[0];
        match rng.random_range(0..8) {
            0 => first.gang = true,
            1 => {
                first.gang = true;
                first.same_rack = true;
                first.tasks = first.tasks.min(16);
            }
            2 => first.rack = Some(format!("r{}", rng.random_range(0..N_WORKERS / 8))),
            _ => {}
        }
        if rng.random_bool(0.3) {
            row.graph.steps.push(support::step(rng.random_range(1..4), &[0]));
        }
        if row.graph.steps.len() == 2 && rng.random_bool(0.5) {
            row.graph.steps.push(support::step(rng.random_range(1..4), &[1]));
        }
        row
    }

    async fn inject_fault(&mut self) {
        let n = self.bench.instances.len();
        let index = self.rng.random_range(0..n);
        let n_kinds = if self.kind == FaultSet::Losses { 15 } else { 13 };
        let kind = self.rng.random_range(0..n_kinds);
        if kind != 11 {
            self.oracle.record_fault();
        }
        tracing::info!(kind, address = self.bench.instances[index].address, "fault is injected");
        match kind {
            0 => self.bench.instances[index].store_faults.set(fault::Condition::Refusing),
            1 => {
                let condition = self.draw_condition();
                self.bench.instances[index].store_faults.set(condition);
            }
            2 => {
                let condition = self.draw_condition();
                self.bench.instances[index].worker_faults.set(condition);
            }
            3 => {
                let condition = self.draw_condition();
                self.bench.store.faults().set(condition);
            }
            4 => self.disturb_feeds(index),
            5 => self.cut_instance_from_peers(index),
            6 => {
                // The history is removed while an answer of the store is in transit.
                let slow = fault::Condition::Slow(self.millis(200..1_500));
                self.bench.store.faults().set(slow);
                let pause = self.millis(0..1_500);
                time::sleep(pause).await;
                self.bench.store.forget_history();
            }
            7 => self.kill_holder_after_acceptance().await,
            8 => {
                let down = self.millis(0..3_000);
                self.kill(index, down).await;
            }
            9 => self.freeze(index),
            10 => self.restart_worker().await,
            11 => self.start_stronger_instance(),
            13 => self.lose_workers(),
            14 => {
                // Models a power failure in a part of a data centre.
                self.lose_workers();
                self.kill_holder_after_acceptance().await;
            }
            _ => {
                let worker = self.rng.random_range(0..N_WORKERS);
                let condition = self.draw_condition();
                self.bench.fleet.faults(&support::worker_id(worker)).set(condition);
            }
        }
    }

    fn draw_condition(&mut self) -> fault::Condition {
        match self.rng.random_range(0..4) {
            0 => fault::Condition::Refusing,
            1 => fault::Condition::Dropping,
            2 => fault::Condition::Slow(self.millis(50..1_200)),
            _ => {
                fault::Condition::Flapping { up: self.millis(50..600), down: self.millis(50..600) }
            }
        }
    }

    /// Rejects, loses or delays the store's answers to feeds of one instance, and nothing else.
    fn disturb_feeds(&mut self, index: usize) {
        let rates = fault::FaultRates {
            unavailable: 0.2,
            request_lost: 0.1,
            answer_lost: 0.2,
            slow: 0.3,
            max_delay: Duration::from_secs(4),
            ..fault::FaultRates::default()
        };
        let seed = self.rng.random();
        let plan = &self.bench.instances[index].store_faults;
        plan.inject_step_at_random(table::FOLLOW_STEP, seed, rates);
    }

    /// Cuts all connections between an instance and its peers, so that nudges are lost.
    fn cut_instance_from_peers(&mut self, index: usize) {
        self.bench.cut_from_peers(index, self.addresses.iter().map(String::as_str));
    }

    async fn kill_holder_after_acceptance(&mut self) {
        let index = self.rng.random_range(0..self.bench.instances.len());
        self.n_submitted += 1;
        let (graph, row) = (self.n_submitted, self.draw_job());
        self.submit(index, graph, row).await;
        let pause = self.millis(0..30);
        time::sleep(pause).await;
        let down = self.millis(0..4_000);
        if let Some(holder) = self.bench.latest_holder() {
            self.kill(holder, down).await;
        }
    }

    async fn kill(&mut self, index: usize, down: Duration) {
        if self.bench.instances.len() > 1 {
            let address = self.bench.kill(index).await;
            self.killed.push((Instant::now() + down, address));
        }
    }

    fn restart(&mut self, address: &str) {
        let strength = STRENGTHS[self.rng.random_range(0..STRENGTHS.len())];
        self.bench.start_instance_with_strength(address, strength);
    }

    /// Holds all calls from and to an instance; they go on once the condition ends.
    fn freeze(&mut self, index: usize) {
        let instance = &self.bench.instances[index];
        instance.store_faults.set(fault::Condition::Paused);
        instance.worker_faults.set(fault::Condition::Paused);
        self.bench.net.process_faults(&instance.address).set(fault::Condition::Paused);
    }

    async fn restart_worker(&mut self) {
        let up = self.bench.fleet.workers_up();
        let worker = support::index_of(&up[self.rng.random_range(0..up.len())]);
        let down = self.millis(50..3_000);
        self.bench.restart_worker(worker, down).await;
        let delay = self.millis(0..1_500);
        self.bench.write_entry_later(worker, delay);
    }

    fn lose_workers(&mut self) {
        for _ in 0..self.rng.random_range(1..5) {
            let ways = [
                support::RestartMode::SameAddress,
                support::RestartMode::NewAddress,
                support::RestartMode::SameId,
                support::RestartMode::Never,
            ];
            let worker = self.rng.random_range(0..N_WORKERS);
            let way = ways[self.rng.random_range(0..ways.len())];
            let down = self.millis(500..4_000);
            self.bench.crash_worker(worker, way, down);
        }
    }

    /// Starts an instance that is stronger than all others so far.
    fn start_stronger_instance(&mut self) {
        let address = format!("10.0.1.{}:7000", self.addresses.len());
        self.bench
            .start_instance_with_strength(&address, STRENGTHS[2] + self.addresses.len() as u32);
        self.addresses.push(address);
    }

    fn end_faults(&self) {
        let none = fault::FaultRates::default();
        let bench = &self.bench;
        bench.store.faults().set(fault::Condition::Up);
        for instance in &bench.instances {
            instance.store_faults.set(fault::Condition::Up);
            instance.store_faults.inject_at_random(0, none);
            instance.worker_faults.set(fault::Condition::Up);
        }
        for faults in bench.fleet.all_faults() {
            faults.set(fault::Condition::Up);
        }
        let addresses = self.addresses.iter().map(String::as_str).collect::<Vec<_>>();
        bench.net.partition(&addresses, &addresses, fault::Condition::Up);
        for address in addresses {
            bench.net.process_faults(address).set(fault::Condition::Up);
        }
    }

    fn trace(&self) -> StormTrace {
        let since = |it: Instant| it - self.bench.started;
        let records = self.bench.fleet.records().into_iter();
        let run = |it: pool_worker::RunRecord| {
            (it.task, it.attempt, it.worker, since(it.started), since(it.ended))
        };
        let n_writes = self.bench.store.committed_transactions();
        StormTrace { n_writes, runs: records.map(run).collect() }
    }

    /// Checks that no rule is broken, and that each accepted job has completed.
    async fn check_results(&self, seed: u64) {
        for graph in &self.accepted {
            let shown = self.bench.lookup(0, *graph).await;
            let expected = model::LookOutcome::Known(model::GraphState::Completed);
            assert_eq!(shown, expected, "storm {seed}: job {graph}");
        }
        assert_eq!(self.bench.fleet.n_running(), 0, "storm {seed}");
        storm_oracle::check(&self.bench, seed);
    }
}
