//! Entries of the worker list that were overwritten by others than their worker.

use std::time::Duration;

use almondpass_schema::model;
use tokio::time;

use crate::support;

/// Time for the list to be read, and for jobs to end.
const SOON: Duration = Duration::from_secs(3);

/// Guards against tasks that are started on a worker whose entry can no longer be read: the worker is listed,
/// and its entry is overwritten. An entry that could not be read was ignored, and the worker's earlier entry
/// stayed in force. The other workers serve meanwhile, and the worker serves again as soon as it has
/// rewritten its entry.
#[test]
fn a_corrupted_entry_excludes_only_its_worker() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        bench.corrupt_entry(0).await;
        time::sleep(SOON).await;
        bench.submit(0, 1, support::job(4, 500)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        let is_on_corrupted =
            |it: &&almondpass_standin::pool_worker::RunRecord| it.worker == support::worker_id(0);
        assert_eq!(bench.fleet.records().iter().filter(is_on_corrupted).count(), 0);
        bench.write_entry(0).await;
        time::sleep(SOON).await;
        bench.submit(0, 2, support::job(16, 500)).await;
        bench.await_state(0, 2, model::GraphState::Completed, 2 * SOON).await;
        assert!(bench.fleet.records().iter().filter(is_on_corrupted).count() > 0);
    });
}

/// Tasks on a worker whose entry is corrupted end there, once.
#[test]
fn a_task_continues_on_a_worker_whose_entry_is_corrupted() {
    support::run(async {
        let bench = support::PoolBench::start(3, 1).await;
        bench.submit(0, 1, support::job(2, 4_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        bench.corrupt_entry(0).await;
        bench.await_state(0, 1, model::GraphState::Completed, 2 * SOON).await;
        assert_eq!(bench.fleet.records().len(), 2);
        bench.assert_nothing_ran_twice();
    });
}

/// A corrupted entry prevents neither a takeover nor the successor's other reads.
#[test]
fn a_takeover_succeeds_despite_a_corrupted_entry() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 2).await;
        bench.corrupt_entry(1).await;
        time::sleep(SOON).await;
        let holder = bench.holder();
        bench.kill(holder).await;
        time::sleep(2 * SOON).await;
        let other = bench.non_holder();
        bench.submit(other, 1, support::job(2, 500)).await;
        bench.await_state(other, 1, model::GraphState::Completed, 2 * SOON).await;
    });
}
