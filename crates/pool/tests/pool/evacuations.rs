//! The operator evacuates a data centre, and ends the evacuation.

use std::time::Duration;

use almondpass_schema::model;
use almondpass_standin::{fault, pool_worker};
use tokio::time::{self, Instant};

use crate::support;

/// Time after its write within which an evacuation is in force, and after its removal within which it is
/// lifted.
const EFFECTIVE_WITHIN: Duration = Duration::from_secs(2);

const SOON: Duration = Duration::from_secs(20);

/// Workers per data centre.
const WORKERS_PER_DATA_CENTER: usize = 8;

fn runs_in(bench: &support::PoolBench, first_worker: usize) -> Vec<pool_worker::RunRecord> {
    let workers = first_worker..first_worker + WORKERS_PER_DATA_CENTER;
    let records = bench.fleet.records().into_iter();
    records.filter(|it| workers.contains(&support::index_of(&it.worker))).collect()
}

/// Submits jobs that each fill a worker; all have to be accepted.
async fn submit_jobs(bench: &support::PoolBench, graphs: std::ops::Range<u64>, run_ms: u64) {
    for graph in graphs {
        let accepted = bench.submit(0, graph, support::job(8, run_ms)).await;
        assert_eq!(accepted, model::SubmitOutcome::Accepted);
    }
}

/// Guards against tasks that start in an evacuated data centre, and against none starting there after the
/// evacuation has ended.
#[test]
fn an_evacuation_is_in_force_and_lifted_soon() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2 * WORKERS_PER_DATA_CENTER).await;
        assert!(bench.evacuate("dc0").await);
        time::sleep(EFFECTIVE_WITHIN).await;
        submit_jobs(&bench, 1..17, 1_000).await;
        time::sleep(SOON).await;
        assert_eq!(runs_in(&bench, 0), []);
        assert_eq!(bench.fleet.records().len(), 16 * 8);
        assert!(bench.end_evacuation("dc0").await);
        time::sleep(EFFECTIVE_WITHIN).await;
        submit_jobs(&bench, 17..33, 1_000).await;
        time::sleep(SOON).await;
        assert!(!runs_in(&bench, 0).is_empty());
    });
}

/// Guards against a successor that starts tasks in an evacuated data centre before it has read of the
/// evacuation.
#[test]
fn a_successor_reads_evacuations_before_its_first_start() {
    support::run(async {
        let mut bench = support::PoolBench::start(1, 2 * WORKERS_PER_DATA_CENTER).await;
        assert!(bench.evacuate("dc0").await);
        submit_jobs(&bench, 1..17, 30_000).await;
        let address = bench.kill(0).await;
        let killed_at = Instant::now();
        bench.start_instance(&address);
        time::sleep(SOON).await;
        let late = runs_in(&bench, 0).into_iter().filter(|it| it.started > killed_at);
        assert_eq!(late.count(), 0);
        assert!(bench.fleet.n_running() > 0);
    });
}

/// Guards against a scheduler whose calls the store rejects and that does not learn of an evacuation its
/// peers know of.
#[test]
fn a_scheduler_without_the_store_learns_of_an_evacuation_from_peers() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2 * WORKERS_PER_DATA_CENTER).await;
        let holder = bench.holder();
        bench.instances[holder].store_faults.set(fault::Condition::Refusing);
        assert!(bench.evacuate("dc0").await);
        time::sleep(EFFECTIVE_WITHIN).await;
        let known = bench.instances[holder].state.evacuations.data_centers();
        assert_eq!(&*known, ["dc0".to_owned()]);
    });
}

/// Guards against an evacuation that is forgotten with the history of the store, or undone by an older
/// report.
#[test]
fn an_evacuation_outlasts_the_history_of_the_store() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2 * WORKERS_PER_DATA_CENTER).await;
        assert!(bench.evacuate("dc0").await);
        time::sleep(EFFECTIVE_WITHIN).await;
        bench.store.forget_history();
        assert!(bench.evacuate("dc-of-tomorrow").await);
        time::sleep(EFFECTIVE_WITHIN).await;
        let view = model::EvacuationView { version: 1, data_centers: Vec::new() };
        for instance in &bench.instances {
            instance.state.evacuations.replace(view.clone(), "peer");
            let known = instance.state.evacuations.data_centers();
            assert_eq!(&*known, ["dc-of-tomorrow".to_owned(), "dc0".to_owned()]);
        }
    });
}

/// Guards against jobs that are rejected, or run, while all data centres are evacuated.
#[test]
fn accepted_jobs_wait_while_all_data_centers_are_evacuated() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2 * WORKERS_PER_DATA_CENTER).await;
        assert!(bench.evacuate("dc0").await);
        assert!(bench.evacuate("dc1").await);
        time::sleep(EFFECTIVE_WITHIN).await;
        submit_jobs(&bench, 1..3, 500).await;
        time::sleep(SOON).await;
        assert_eq!(bench.fleet.records(), []);
        assert!(bench.end_evacuation("dc1").await);
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        bench.await_state(0, 2, model::GraphState::Completed, SOON).await;
    });
}
