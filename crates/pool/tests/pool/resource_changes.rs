//! Workers whose resources shrink and grow while tasks run. These workers start every task they are sent, so
//! that only the scheduler keeps them from being overcommitted.

use std::time::Duration;

use almondpass_schema::model;
use almondpass_standin::fault;
use tokio::time;

use crate::support;

const SETTLING_TIME: Duration = Duration::from_secs(60);

/// Starts two instances, and two workers that reject no task for lack of resources.
async fn start_unguarded_bench() -> support::PoolBench {
    let bench = support::PoolBench::start(2, 2).await;
    bench.fleet.disable_capacity_check();
    bench.start_heartbeats();
    bench.set_document_unguarded(2).await;
    time::sleep(Duration::from_secs(2)).await;
    bench
}

fn assert_none_overcommitted(bench: &support::PoolBench) {
    assert_eq!(bench.fleet.oversubscribed_starts(), []);
}

/// Tasks are placed by the current resources of each worker, also after these have grown again.
#[test]
fn tasks_are_placed_by_current_resources() {
    support::run(async {
        let bench = start_unguarded_bench().await;
        bench.set_accelerators(&support::worker_id(0), 2);
        time::sleep(Duration::from_secs(6)).await;
        bench.submit(0, 1, support::job(30, 2_000)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SETTLING_TIME).await;
        assert_none_overcommitted(&bench);
        bench.set_accelerators(&support::worker_id(0), 8);
        time::sleep(Duration::from_secs(6)).await;
        bench.submit(0, 2, support::job(16, 2_000)).await;
        time::sleep(Duration::from_millis(500)).await;
        assert_eq!(bench.fleet.n_running(), 16);
    });
}

/// Tasks that exceed a worker's reduced resources run on, and no further task starts on that worker.
#[test]
fn nothing_starts_on_a_worker_above_its_reduced_resources() {
    support::run(async {
        let bench = start_unguarded_bench().await;
        bench.submit(0, 1, support::job(14, 12_000)).await;
        time::sleep(Duration::from_millis(500)).await;
        bench.set_accelerators(&support::worker_id(0), 4);
        bench.set_accelerators(&support::worker_id(1), 4);
        for graph in 2..12 {
            time::sleep(Duration::from_secs(1)).await;
            bench.submit(0, graph, support::job(2, 1_000)).await;
        }
        bench.await_state(0, 1, model::GraphState::Completed, SETTLING_TIME).await;
        bench.await_state(0, 11, model::GraphState::Completed, SETTLING_TIME).await;
        assert_none_overcommitted(&bench);
    });
}

/// Guards against an overcommitted worker: its resources shrink while the store is unavailable, and the
/// scheduler goes on with the resources that it read before, however old these are. The fault was found by
/// reading the code.
#[test]
fn unreadable_resource_changes_stop_starts() {
    support::run(async {
        let bench = start_unguarded_bench().await;
        bench.submit(0, 1, support::job(160, 1_000)).await;
        time::sleep(Duration::from_millis(100)).await;
        bench.store.faults().set(fault::Condition::Dropping);
        bench.set_accelerators(&support::worker_id(0), 2);
        bench.set_accelerators(&support::worker_id(1), 2);
        time::sleep(Duration::from_secs(8)).await;
        bench.store.faults().set(fault::Condition::Up);
        bench.await_state(0, 1, model::GraphState::Completed, SETTLING_TIME).await;
        assert_none_overcommitted(&bench);
    });
}

/// Guards against an overcommitted worker: a job is cancelled while nobody holds the tenure. The next holder
/// finds the job's tasks on the workers, stops them, and starts others before they have ended, because only
/// the resources of wanted tasks count as used. The fault was found by reading the code.
#[test]
fn tasks_being_stopped_still_count_as_used_resources() {
    support::run(async {
        let mut bench = start_unguarded_bench().await;
        bench.submit(0, 1, support::job(16, 30_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        let holder = bench.holder();
        bench.kill(holder).await;
        bench.submit(0, 2, support::job(16, 1_500)).await;
        assert_eq!(bench.cancel(0, 1).await, model::CancelOutcome::Cancelled);
        bench.await_state(0, 2, model::GraphState::Completed, SETTLING_TIME).await;
        assert_none_overcommitted(&bench);
    });
}
