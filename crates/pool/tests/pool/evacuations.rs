//! The operator empties a data centre, and takes it back.

use std::time::Duration;

use almondpass_schema::model;
use almondpass_standin::{fault, pool_worker};
use tokio::time::{self, Instant};

use crate::support;

/// An evacuation is in force this long behind its write, and lifted as fast.
const IN_FORCE: Duration = Duration::from_secs(2);

const SOON: Duration = Duration::from_secs(20);

/// Workers of a data centre.
const WORKERS: usize = 8;

fn runs_in(bench: &support::PoolBench, first_worker: usize) -> Vec<pool_worker::RunRecord> {
    let workers = first_worker..first_worker + WORKERS;
    let records = bench.fleet.records().into_iter();
    records.filter(|it| workers.contains(&support::index_of(&it.worker))).collect()
}

/// Each of `n` jobs fills a worker; all are accepted.
async fn hand_in(bench: &support::PoolBench, graphs: std::ops::Range<u64>, run_ms: u64) {
    for graph in graphs {
        let accepted = bench.submit(0, graph, support::job(8, run_ms)).await;
        assert_eq!(accepted, model::SubmitOutcome::Accepted);
    }
}

/// Tasks start in a data centre that the operator has evacuated, or not where it was taken back.
#[test]
fn an_evacuation_is_in_force_and_lifted_soon() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2 * WORKERS).await;
        assert!(bench.evacuate("dc0").await);
        time::sleep(IN_FORCE).await;
        hand_in(&bench, 1..17, 1_000).await;
        time::sleep(SOON).await;
        assert_eq!(runs_in(&bench, 0), []);
        assert_eq!(bench.fleet.records().len(), 16 * 8);
        assert!(bench.end_evacuation("dc0").await);
        time::sleep(IN_FORCE).await;
        hand_in(&bench, 17..33, 1_000).await;
        time::sleep(SOON).await;
        assert!(!runs_in(&bench, 0).is_empty());
    });
}

/// A successor starts tasks in an evacuated data centre before it has heard of the evacuation.
#[test]
fn a_successor_knows_before_its_first_start() {
    support::run(async {
        let mut bench = support::PoolBench::start(1, 2 * WORKERS).await;
        assert!(bench.evacuate("dc0").await);
        hand_in(&bench, 1..17, 30_000).await;
        let address = bench.kill(0).await;
        let killed_at = Instant::now();
        bench.start_instance(&address);
        time::sleep(SOON).await;
        let late = runs_in(&bench, 0).into_iter().filter(|it| it.started > killed_at);
        assert_eq!(late.count(), 0);
        assert!(bench.fleet.n_running() > 0);
    });
}

/// A scheduler that the store turns away does not hear of an evacuation that its peers know of.
#[test]
fn a_scheduler_without_the_store_hears_of_it_from_peers() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2 * WORKERS).await;
        let holder = bench.holder();
        bench.instances[holder].store_faults.set(fault::Condition::Refusing);
        assert!(bench.evacuate("dc0").await);
        time::sleep(IN_FORCE).await;
        let known = bench.instances[holder].state.evacuations.data_centers();
        assert_eq!(&*known, ["dc0".to_owned()]);
    });
}

/// What was known of an evacuation is forgotten with the history of the store, or a former word undoes it.
#[test]
fn an_evacuation_outlasts_the_history_of_the_store() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2 * WORKERS).await;
        assert!(bench.evacuate("dc0").await);
        time::sleep(IN_FORCE).await;
        bench.store.forget_history();
        assert!(bench.evacuate("dc-of-tomorrow").await);
        time::sleep(IN_FORCE).await;
        let view = model::EvacuationView { version: 1, data_centers: Vec::new() };
        for instance in &bench.instances {
            instance.state.evacuations.replace(view.clone(), "peer");
            let known = instance.state.evacuations.data_centers();
            assert_eq!(&*known, ["dc-of-tomorrow".to_owned(), "dc0".to_owned()]);
        }
    });
}

/// Work is refused, or runs, while all data centres are evacuated.
#[test]
fn accepted_work_keeps_while_everything_is_evacuated() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2 * WORKERS).await;
        assert!(bench.evacuate("dc0").await);
        assert!(bench.evacuate("dc1").await);
        time::sleep(IN_FORCE).await;
        hand_in(&bench, 1..3, 500).await;
        time::sleep(SOON).await;
        assert_eq!(bench.fleet.records(), []);
        assert!(bench.end_evacuation("dc1").await);
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        bench.await_state(0, 2, model::GraphState::Completed, SOON).await;
    });
}
