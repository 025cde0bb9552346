//! Storms over accepted work: calm and faults in turn, and while it is calm no job stands still.
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

use crate::still_jobs;
use crate::support;

const N_INSTANCES: usize = 4;
const N_WORKERS: usize = 24;

/// Rounds of a storm: faults, then calm.
const N_ROUNDS: usize = 5;

/// Jobs are looked at this often.
const LOOK: Duration = Duration::from_millis(100);

/// Strengths of instances, in thousandths of a core.
const STRENGTHS: [u32; 3] = [150, 250, 400];

/// The end of a storm: the longest tasks, and leases of workers that were lost before.
const SETTLE: Duration = Duration::from_secs(60);

/// What strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WorkKind {
    /// All but losses of workers for good.
    Faults,
    /// Workers are lost as well, by themselves and along with the holder.
    Losses,
}

/// A storm under way.
struct WorkStorm {
    kind: WorkKind,
    bench: support::PoolBench,
    jobs: still_jobs::StillJobs,
    rng: ChaCha8Rng,
    /// Chance that a job is a large one.
    load: f64,
    n_handed_in: u64,
    /// Jobs that were accepted, in this order.
    accepted: Vec<ids::GraphId>,
    /// Where instances are, or were.
    addresses: Vec<String>,
    /// Instances that are to come back, with the time.
    down: Vec<(Instant, String)>,
}

/// An accepted job stands still, or is not known to the holder in force, although all are in touch.
#[test]
fn storms_of_accepted_work() {
    play(WorkKind::Faults, support::storm_seeds());
}

/// The same where workers die for good, also along with the holder.
#[test]
fn storms_of_accepted_work_amid_losses() {
    play(WorkKind::Losses, support::storm_seeds());
}

/// A job stands still behind room that is kept for urgent work, on a pool of which a quarter is in use.
#[test]
fn storms_that_keep_room_for_urgent_work() {
    play(WorkKind::Faults, [314]);
}

/// The same seed plays out otherwise the next time, so that no finding can be repeated.
#[test]
fn a_storm_plays_the_same_each_time() {
    for seed in [2, 42] {
        let first = play_one(WorkKind::Losses, seed);
        assert!(first == play_one(WorkKind::Losses, seed), "storm {seed}");
    }
}

/// What became of a storm.
#[derive(PartialEq)]
struct PlayedStorm {
    /// Writes to the store.
    n_writes: u64,
    /// Which attempt of which task ran, where, from when until when.
    runs: Vec<(task_key::TaskKey, u32, ids::WorkerId, Duration, Duration)>,
}

/// Accepted jobs wait for the lease of a worker that is lost with its holder, or whose start had no answer.
#[test]
fn storms_that_wait_for_a_lost_worker() {
    play(WorkKind::Losses, [14, 52, 53, 139, 172, 194, 3_100_023]);
    play(WorkKind::Losses, [770_372, 41_400_013, 41_400_229, 41_400_243, 45_300_029]);
}

/// Accepted jobs wait for a lease from a holder's last order, although it knew since when the worker was silent.
#[test]
fn storms_that_still_wait_behind_losses() {
    play(WorkKind::Losses, [52_400_104, 52_400_138]);
}

fn play(kind: WorkKind, seeds: impl IntoIterator<Item = u64>) {
    for seed in seeds {
        println!("storm {seed}, accepted work, {kind:?}");
        play_one(kind, seed);
    }
}

fn play_one(kind: WorkKind, seed: u64) -> PlayedStorm {
    support::run(async move {
        let mut storm = WorkStorm::start(kind, seed).await;
        for _ in 0..N_ROUNDS {
            storm.strike_for_a_while(seed).await;
            storm.calm(seed).await;
        }
        storm.watch(seed, SETTLE).await;
        storm.judge(seed).await;
        storm.played()
    })
}

impl WorkStorm {
    async fn start(kind: WorkKind, seed: u64) -> WorkStorm {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let bench = support::PoolBench::start(N_INSTANCES, N_WORKERS).await;
        bench.start_heartbeats();
        let addresses = bench.instances.iter().map(|it| it.address.clone()).collect();
        // From pools that are nearly empty to those that are nearly full.
        let load = rng.random_range(0.0..0.5);
        WorkStorm {
            kind,
            jobs: still_jobs::StillJobs::new(),
            bench,
            rng,
            load,
            n_handed_in: 0,
            accepted: Vec::new(),
            addresses,
            down: Vec::new(),
        }
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    async fn strike_for_a_while(&mut self, seed: u64) {
        for _ in 0..self.rng.random_range(2..6) {
            self.strike().await;
            for _ in 0..self.rng.random_range(0..4) {
                self.hand_in().await;
                let pause = self.millis(20..600);
                self.watch(seed, pause).await;
            }
        }
    }

    /// Ends all faults, and goes on handing jobs in.
    async fn calm(&mut self, seed: u64) {
        tracing::info!("faults end");
        let down = std::mem::take(&mut self.down);
        for (_, address) in down {
            self.bring_back(&address);
        }
        self.end_faults();
        self.jobs.calmed();
        let until = Instant::now() + self.millis(9_000..14_000);
        while Instant::now() < until {
            self.hand_in().await;
            let pause = self.millis(100..1_500);
            self.watch(seed, pause).await;
        }
    }

    /// Lets time pass, and looks at the jobs.
    async fn watch(&mut self, seed: u64, span: Duration) {
        let until = Instant::now() + span;
        loop {
            let due = self.down.iter().position(|(at, _)| *at <= Instant::now());
            if let Some(index) = due {
                let (_, address) = self.down.remove(index);
                self.bring_back(&address);
            }
            if let Some(fault) = self.jobs.look(&self.bench) {
                let beliefs = self.beliefs(&fault);
                panic!("storm {seed} at {:?}: {fault}; {beliefs}", self.bench.started.elapsed());
            }
            if Instant::now() >= until {
                return;
            }
            time::sleep(LOOK).await;
        }
    }

    /// What the holder in force believes.
    fn beliefs(&self, fault: &still_jobs::StillFault) -> String {
        let Some(holder) = self.bench.latest_holder() else { return "no holder".to_owned() };
        let instance = &self.bench.instances[holder];
        let Some(leader) = instance.state.leader() else { return "no holder".to_owned() };
        let core = leader.core();
        let shown = fault.graph().and_then(|it| core.state_of(it));
        format!(
            "{} of epoch {}: {shown:?}, {:?}; {core:?}",
            instance.address,
            leader.epoch,
            core.summary()
        )
    }

    async fn hand_in(&mut self) {
        self.n_handed_in += 1;
        let graph = self.n_handed_in;
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
        // Whether it took effect or not, it may.
        let _ = self.bench.cancel(index, graph).await;
        self.jobs.cancelled(graph);
    }

    async fn submit(&mut self, index: usize, graph: ids::GraphId, row: model::GraphRow) -> bool {
        let outcome = self.bench.submit(index, graph, row.clone()).await;
        let is_accepted = outcome == model::SubmitOutcome::Accepted;
        if is_accepted {
            self.jobs.accepted(graph, row);
            self.accepted.push(graph);
        }
        is_accepted
    }

    fn draw_job(&mut self) -> model::GraphRow {
        let rng = &mut self.rng;
        let is_large = rng.random_bool(self.load);
        let n_tasks = if is_large { rng.random_range(10..50) } else { rng.random_range(1..6) };
        let run_ms = if is_large { 1_000..7_000 } else { 200..3_000 };
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

    async fn strike(&mut self) {
        let n = self.bench.instances.len();
        let index = self.rng.random_range(0..n);
        let n_kinds = if self.kind == WorkKind::Losses { 15 } else { 13 };
        let kind = self.rng.random_range(0..n_kinds);
        if kind != 11 {
            self.jobs.disrupted();
        }
        tracing::info!(kind, address = self.bench.instances[index].address, "strike");
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
            4 => self.strike_follows(index),
            5 => self.lose_nudges(index),
            6 => {
                // While an answer is under way.
                let slow = fault::Condition::Slow(self.millis(200..1_500));
                self.bench.store.faults().set(slow);
                let pause = self.millis(0..1_500);
                time::sleep(pause).await;
                self.bench.store.forget_history();
            }
            7 => self.kill_holder_behind_acceptance().await,
            8 => {
                let down = self.millis(0..3_000);
                self.kill(index, down).await;
            }
            9 => self.stand_still(index),
            10 => self.restart_worker().await,
            11 => self.start_stronger(),
            13 => self.lose_workers(),
            14 => {
                // Power is lost in part of a data centre.
                self.lose_workers();
                self.kill_holder_behind_acceptance().await;
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

    /// Answers to those who follow tables are cut, lost or late; nothing else is.
    fn strike_follows(&mut self, index: usize) {
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

    /// Nothing passes between an instance and its peers.
    fn lose_nudges(&mut self, index: usize) {
        self.bench.cut_from_peers(index, self.addresses.iter().map(String::as_str));
    }

    async fn kill_holder_behind_acceptance(&mut self) {
        let index = self.rng.random_range(0..self.bench.instances.len());
        self.n_handed_in += 1;
        let (graph, row) = (self.n_handed_in, self.draw_job());
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
            self.down.push((Instant::now() + down, address));
        }
    }

    fn bring_back(&mut self, address: &str) {
        let strength = STRENGTHS[self.rng.random_range(0..STRENGTHS.len())];
        self.bench.start_instance_with_strength(address, strength);
    }

    /// Nothing of an instance moves: what it has under way goes on when it wakes up.
    fn stand_still(&mut self, index: usize) {
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

    /// A machine that is stronger than most joins.
    fn start_stronger(&mut self) {
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

    fn played(&self) -> PlayedStorm {
        let since = |it: Instant| it - self.bench.started;
        let records = self.bench.fleet.records().into_iter();
        let run = |it: pool_worker::RunRecord| {
            (it.task, it.attempt, it.worker, since(it.started), since(it.ended))
        };
        let n_writes = self.bench.store.committed_transactions();
        PlayedStorm { n_writes, runs: records.map(run).collect() }
    }

    /// Nothing ran twice, and each accepted job has ended well.
    async fn judge(&self, seed: u64) {
        self.bench.assert_nothing_ran_twice();
        for graph in &self.accepted {
            let shown = self.bench.lookup(0, *graph).await;
            let expected = model::LookOutcome::Known(model::GraphState::Completed);
            assert_eq!(shown, expected, "storm {seed}: job {graph}");
        }
        assert_eq!(self.bench.fleet.n_running(), 0, "storm {seed}");
    }
}
