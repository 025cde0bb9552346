//! Entries of the list of workers that others have written.

use std::time::Duration;

use almondpass_schema::model;
use tokio::time;

use crate::support;

/// For the list to be read, and for jobs to end.
const SOON: Duration = Duration::from_secs(3);

/// Symptom: tasks were started on a worker whose entry could not be read any more. Sequence: the
/// worker is listed; somebody writes over its entry. Cause: an entry that could not be read was passed
/// over, and what was known of the worker before held on. The others serve meanwhile, and the
/// worker does again as soon as it has written its entry anew.
#[test]
fn a_spoiled_entry_names_no_worker_and_the_others_hold() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        bench.corrupt_entry(0).await;
        time::sleep(SOON).await;
        bench.submit(0, 1, support::job(4, 500)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        let on_spoiled =
            |it: &&almondpass_standin::pool_worker::RunRecord| it.worker == support::worker_id(0);
        assert_eq!(bench.fleet.records().iter().filter(on_spoiled).count(), 0);
        bench.write_entry(0).await;
        time::sleep(SOON).await;
        bench.submit(0, 2, support::job(16, 500)).await;
        bench.await_state(0, 2, model::GraphState::Completed, 2 * SOON).await;
        assert!(bench.fleet.records().iter().filter(on_spoiled).count() > 0);
    });
}

/// What runs on a worker whose entry is spoiled ends there, once.
#[test]
fn a_task_on_a_worker_whose_entry_is_spoiled_goes_on() {
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

/// A spoiled entry stops neither a takeover nor what the successor reads besides.
#[test]
fn a_takeover_reads_past_a_spoiled_entry() {
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
