//! Storms in which workers refuse starts: the count of queued jobs at each instance against what has run.
//!
//! A long run: `POOL_STORM_CASES=200 POOL_STORM_SEED=1 cargo test --release -p almondpass-pool --test pool --
//! --nocapture queue_counts`.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

use almondpass_pool::job_query;
use almondpass_schema::{ids, model};
use almondpass_standin::fault;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{self, Instant};

use crate::storm_oracle;
use crate::support;

const N_INSTANCES: usize = 3;
const N_WORKERS: usize = 8;
const N_STEPS: u64 = 60;

/// Class of all jobs.
const CLASS: &str = "trend";

/// A job that has not begun counts as queued at most this long after it was accepted.
const COUNTED_AFTER: Duration = Duration::from_secs(5);

/// Time without kills and cuts from which on all instances give the count.
const CALM_AFTER: Duration = Duration::from_secs(8);

/// Time after the last fault in which all jobs end.
const SETTLING_TIME: Duration = Duration::from_secs(90);

/// Guards against jobs that are missing from the count of queued jobs although no worker has started anything of
/// them: their starts were refused, or had no answer.
#[test]
fn storms_of_refused_starts() {
    for seed in support::storm_seeds() {
        println!("storm {seed}, refused starts");
        support::run(refuse_starts(seed));
    }
}

async fn refuse_starts(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut bench = support::PoolBench::start(N_INSTANCES, N_WORKERS).await;
    bench.start_heartbeats();
    let mut accepted = BTreeMap::new();
    let mut disrupted_at = Instant::now();
    for step in 0..N_STEPS {
        if rng.random_bool(0.6) {
            let row = support::job(rng.random_range(1..12), rng.random_range(500..6_000));
            let index = rng.random_range(0..bench.instances.len());
            if bench.submit(index, 1 + step, row).await == model::SubmitOutcome::Accepted {
                accepted.insert(1 + step, Instant::now());
            }
        }
        if rng.random_bool(0.3) {
            let refuses = rng.random_bool(0.6);
            for worker in bench.fleet.workers_up() {
                if rng.random_bool(0.7) {
                    bench.fleet.set_refuses_starts(&worker, refuses);
                }
            }
        }
        if rng.random_bool(0.15) {
            let rates = fault::FaultRates {
                answer_lost: rng.random_range(0.0..0.5),
                ..fault::FaultRates::default()
            };
            let seed = rng.random();
            bench.fleet.all_faults().iter().for_each(|it| it.inject_at_random(seed, rates));
        }
        if rng.random_bool(0.05) {
            let address = bench.kill(rng.random_range(0..bench.instances.len())).await;
            bench.start_instance(&address);
            disrupted_at = Instant::now();
        }
        let pause = millis(&mut rng, 50..1_500);
        time::sleep(pause).await;
        if disrupted_at.elapsed() > CALM_AFTER {
            check_counts(&bench, &accepted, seed).await;
        }
    }
    for worker in bench.fleet.workers_up() {
        bench.fleet.set_refuses_starts(&worker, false);
    }
    bench
        .fleet
        .all_faults()
        .iter()
        .for_each(|it| it.inject_at_random(0, fault::FaultRates::default()));
    time::sleep(SETTLING_TIME).await;
    for graph in accepted.keys() {
        let completed = model::LookOutcome::Known(model::GraphState::Completed);
        assert_eq!(bench.lookup(0, *graph).await, completed, "storm {seed}: job {graph}");
    }
    storm_oracle::check(&bench, seed);
}

/// Checks that each instance counts all jobs as queued that were accepted a while ago and have not begun, and shows
/// none of them as running.
async fn check_counts(
    bench: &support::PoolBench,
    accepted: &BTreeMap<ids::GraphId, Instant>,
    seed: u64,
) {
    let due = accepted.iter().filter(|it| it.1.elapsed() > COUNTED_AFTER).map(|it| *it.0);
    let due = due.collect::<BTreeSet<_>>();
    for instance in &bench.instances {
        let counted = job_query::backlog(&instance.state, &CLASS.to_owned()).await;
        let queued = not_begun(bench, &due);
        assert!(counted >= Some(queued.len() as u64), "storm {seed}: {counted:?} of {queued:?}");
    }
    if let Some(graph) = not_begun(bench, &due).first() {
        let shown = bench.lookup(0, *graph).await;
        let is_pending = shown == model::LookOutcome::Known(model::GraphState::Pending);
        let has_begun = !not_begun(bench, &due).contains(graph);
        assert!(is_pending || has_begun, "storm {seed}: job {graph} is shown as {shown:?}");
    }
}

/// The jobs of which no worker has started a task.
fn not_begun(
    bench: &support::PoolBench,
    graphs: &BTreeSet<ids::GraphId>,
) -> BTreeSet<ids::GraphId> {
    let ended = bench.fleet.records().into_iter().map(|it| it.task.graph);
    let running = bench.fleet.running().into_iter().map(|(_, task)| task.graph);
    let begun = ended.chain(running).collect::<BTreeSet<_>>();
    graphs.difference(&begun).copied().collect()
}

fn millis(rng: &mut ChaCha8Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}
