//! Storms of partitions: the instances and workers fall apart into two sides, one of which has the store. The sides,
//! the times of the cuts, and what else goes on are drawn from a seed.
//!
//! A long run: `POOL_STORM_CASES=200 POOL_STORM_SEED=1 cargo test --release -p almondpass-pool --test pool --
//! --nocapture storms_of_partitions`. It plays all seeds and prints each that breaks a rule.

use std::ops::Range;
use std::time::Duration;

use almondpass_schema::{ids, model};
use almondpass_standin::fault;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{self, Instant};

use crate::storm_oracle;
use crate::support;

const N_INSTANCES: usize = 4;
const N_WORKERS: usize = 8;
const N_ROUNDS: usize = 4;

const PARTITION_MS: Range<u64> = 1_000..12_000;

/// Offsets of the cuts of a partition from its beginning.
const OFFSET_MS: Range<u64> = 0..1_500;

/// Time between two rounds in which all parties are connected.
const CALM_MS: Range<u64> = 1_000..5_000;

/// Time after the last partition in which all jobs have to end.
const SETTLING_TIME: Duration = Duration::from_secs(60);

/// Seeds that CI plays.
const FIXED_SEEDS: Range<u64> = 0..6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PartitionSide {
    WithStore,
    WithoutStore,
}

/// What a storm does at a planned time.
#[derive(Clone, Debug)]
enum StormAction {
    Submit,
    Look,
    /// Cuts the instance with this index off from the store.
    CutStore(usize),
    /// Cuts the instance with the first index off from those with the others.
    CutPeers(usize, Vec<usize>),
    /// Cuts a worker off from the instances with these indices.
    CutWorker(ids::WorkerId, Vec<usize>),
    RestartWorker(usize, Duration),
    AddWorker(usize),
    Heal,
}

struct PartitionStorm {
    rng: ChaCha8Rng,
    bench: support::PoolBench,
    /// Actions of the present round, with their times.
    planned: Vec<(Instant, StormAction)>,
    /// Number of workers that were added so far.
    n_workers: usize,
    n_jobs: ids::GraphId,
}

/// Guards against rules that are broken while a holder is without the store and some of the workers, and another
/// instance takes over.
#[test]
fn storms_of_partitions() {
    match std::env::var_os(support::STORM_SEED_VARIABLE) {
        Some(_) => run_storms(support::storm_seeds()),
        None => run_storms(FIXED_SEEDS),
    }
}

/// Plays all storms, and panics if any of them breaks a rule.
fn run_storms(seeds: Range<u64>) {
    let mut failed = Vec::new();
    for seed in seeds {
        println!("storm {seed}, partitions");
        let violations = support::run(storm(seed));
        if !violations.is_empty() {
            println!("storm {seed}:\n{}", storm_oracle::to_lines(&violations));
            let mut rules = violations.iter().map(|it| it.rule).collect::<Vec<_>>();
            rules.dedup();
            failed.push((seed, rules));
        }
    }
    assert!(failed.is_empty(), "storms that break rules: {failed:?}");
}

async fn storm(seed: u64) -> Vec<storm_oracle::RuleViolation> {
    let bench = support::PoolBench::start(N_INSTANCES, N_WORKERS).await;
    bench.start_heartbeats();
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut storm =
        PartitionStorm { rng, bench, planned: Vec::new(), n_workers: N_WORKERS, n_jobs: 0 };
    for _ in 0..N_ROUNDS {
        storm.play_round().await;
    }
    time::sleep(SETTLING_TIME).await;
    let mut violations = storm_oracle::final_violations(&storm.bench).await;
    let oversubscribed = storm.bench.fleet.oversubscribed_starts();
    violations.extend(oversubscribed.into_iter().map(|it| storm_oracle::RuleViolation {
        rule: storm_oracle::BrokenRule::Limit,
        detail: format!("{it} was started without room"),
    }));
    violations
}

impl PartitionStorm {
    async fn play_round(&mut self) {
        let now = Instant::now();
        let begins = now + self.millis(300..2_000);
        let mut until = self.plan_partition(begins);
        if self.rng.random_bool(0.35) {
            let begins = until + self.millis(0..500);
            until = self.plan_partition(begins);
        }
        until += self.millis(CALM_MS);
        self.plan_calls(now, until);
        let mut planned = std::mem::take(&mut self.planned);
        planned.sort_by_key(|it| it.0);
        for (at, action) in planned {
            time::sleep_until(at).await;
            self.perform(action);
        }
        time::sleep_until(until).await;
    }

    /// Plans a partition that begins at `begins`. Returns its end.
    fn plan_partition(&mut self, begins: Instant) -> Instant {
        let ends = begins + self.millis(PARTITION_MS);
        let instances = self.draw_sides();
        let on = |side| (0..N_INSTANCES).filter(|it| instances[*it] == side).collect::<Vec<_>>();
        let (with_store, without_store) =
            (on(PartitionSide::WithStore), on(PartitionSide::WithoutStore));
        let mut cuts = Vec::new();
        for index in without_store.iter().copied() {
            cuts.push(StormAction::CutStore(index));
            cuts.push(StormAction::CutPeers(index, with_store.clone()));
        }
        if self.rng.random_bool(0.3) {
            let at = begins + self.millis(0..4_000);
            self.planned.push((at, StormAction::AddWorker(self.n_workers)));
            self.n_workers += 1;
        }
        for worker in 0..self.n_workers {
            let others = if self.rng.random_bool(0.5) { &with_store } else { &without_store };
            cuts.push(StormAction::CutWorker(support::worker_id(worker), others.clone()));
        }
        for cut in cuts {
            let at = begins + self.millis(OFFSET_MS);
            if at < ends {
                self.planned.push((at, cut));
            }
        }
        if self.rng.random_bool(0.4) {
            let worker = self.rng.random_range(0..N_WORKERS);
            let (at, down) = (begins + self.millis(0..6_000), self.millis(200..2_500));
            self.planned.push((at, StormAction::RestartWorker(worker, down)));
        }
        self.planned.push((ends, StormAction::Heal));
        ends
    }

    /// Draws the sides of the instances. The holder is often without the store, and one instance always has it.
    fn draw_sides(&mut self) -> Vec<PartitionSide> {
        let holder = self.bench.latest_holder();
        let mut draw_side = |index| {
            let probability = if Some(index) == holder { 0.75 } else { 0.3 };
            let has_store = !self.rng.random_bool(probability);
            if has_store { PartitionSide::WithStore } else { PartitionSide::WithoutStore }
        };
        let mut sides = (0..N_INSTANCES).map(&mut draw_side).collect::<Vec<_>>();
        if !sides.contains(&PartitionSide::WithStore) {
            let index = (0..N_INSTANCES).find(|it| Some(*it) != holder).unwrap_or_default();
            sides[index] = PartitionSide::WithStore;
        }
        sides
    }

    /// Plans submissions and queries until `until`.
    fn plan_calls(&mut self, from: Instant, until: Instant) {
        let mut at = from;
        while at < until {
            self.planned.push((at, StormAction::Submit));
            let looks_at = at + self.millis(0..400);
            self.planned.push((looks_at, StormAction::Look));
            at += self.millis(300..1_500);
        }
    }

    fn perform(&mut self, action: StormAction) {
        tracing::info!(?action, "action is performed");
        let instances = &self.bench.instances;
        match action {
            StormAction::Submit => self.submit(),
            StormAction::Look => self.look(),
            StormAction::CutStore(index) => {
                instances[index].store_faults.set(fault::Condition::Dropping);
            }
            StormAction::CutPeers(index, others) => {
                let others = others.iter().map(|it| instances[*it].address.as_str());
                self.bench.cut_from_peers(index, others);
            }
            StormAction::CutWorker(worker, others) => {
                for index in others {
                    instances[index].path_faults(&worker).set(fault::Condition::Dropping);
                }
            }
            StormAction::RestartWorker(worker, down) => {
                self.bench.crash_worker(worker, support::RestartMode::SameId, down);
            }
            StormAction::AddWorker(worker) => {
                let capacity = support::capacity_for(8);
                self.bench.fleet.add(&support::worker_id(worker), capacity);
                self.bench.write_entry_later(worker, Duration::ZERO);
            }
            StormAction::Heal => self.heal(),
        }
    }

    fn heal(&self) {
        let up = fault::Condition::Up;
        for instance in &self.bench.instances {
            instance.store_faults.set(up);
            for worker in 0..self.n_workers {
                instance.path_faults(&support::worker_id(worker)).set(up);
            }
            for other in &self.bench.instances {
                self.bench.net.path_faults(&instance.address, &other.address).set(up);
            }
        }
    }

    fn submit(&mut self) {
        self.n_jobs += 1;
        let (graph, row) = (self.n_jobs, self.draw_job());
        let caller = self.bench.caller(self.rng.random_range(0..N_INSTANCES));
        tokio::spawn(async move { caller.submit(graph, row).await });
    }

    fn look(&mut self) {
        let graph = self.rng.random_range(1..=self.n_jobs.max(1));
        let caller = self.bench.caller(self.rng.random_range(0..N_INSTANCES));
        let deadline = Instant::now() + Duration::from_secs(2);
        tokio::spawn(async move { caller.lookup(graph, deadline).await });
    }

    fn draw_job(&mut self) -> model::GraphRow {
        let rng = &mut self.rng;
        let is_long = rng.random_bool(0.5);
        let run_ms =
            if is_long { rng.random_range(4_000..12_000) } else { rng.random_range(300..3_000) };
        let mut row = support::job(rng.random_range(1..10), run_ms);
        row.graph.body.push_str(&format!(" spread={}", rng.random_range(0..60)));
        let first = &mut row.graph.steps[0];
        if rng.random_bool(0.25) {
            first.gang = true;
            first.tasks = first.tasks.max(2);
            // The largest gang fits on the workers of the start at two members each.
            first.per_worker = rng.random_range(2..5);
        }
        if rng.random_bool(0.3) {
            row.graph.steps.push(support::step(rng.random_range(1..6), &[0]));
        }
        row
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }
}
