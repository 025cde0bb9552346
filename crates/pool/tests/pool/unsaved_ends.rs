//! Ends that only the holder of the tenure has learned, while it is cut off from the store.

use std::time::Duration;

use almondpass_graph::task_key;
use almondpass_schema::{ids, model};
use almondpass_standin::fault;
use tokio::time;

use crate::support;

/// A job of `n` tasks that take a whole worker each.
fn job_of_whole_workers(n: u32, body: &str) -> model::GraphRow {
    let step = model::GraphStep { accelerators: 8, cpu_milli: 32_000, ..support::step(n, &[]) };
    let row = support::job(n, 1_000);
    let graph = model::JobGraph { body: body.to_owned(), steps: vec![step], ..row.graph.clone() };
    model::GraphRow { graph, ..row }
}

/// The worker on which a task of job 1 runs.
fn worker_of(bench: &support::PoolBench, task: u32) -> ids::WorkerId {
    let key = task_key::TaskKey { graph: 1, occurrence: 0, step: 0, task };
    let running = bench.fleet.running();
    let run = running.into_iter().find(|(_, it)| *it == key);
    run.map(|(worker, _)| worker).expect("a run of the task")
}

/// Waits until the last start of job 1 has happened: `n` tasks run.
async fn await_runs(bench: &support::PoolBench, n: usize) {
    while bench.fleet.n_running() < n {
        time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against done work that starts again: a job fails while its holder is cut off from the store, the
/// ends of its other tasks are acknowledged unsaved, the worker that has listed the failure is lost, and a
/// successor finds neither the failure nor the done ends.
#[test]
fn work_that_ends_done_after_its_job_failed_unsaved_does_not_run_again() {
    support::run(async {
        let bench = support::PoolBench::start(2, 8).await;
        bench.start_heartbeats();
        bench.submit(0, 1, job_of_whole_workers(6, "ms=6250 fail=3000")).await;
        await_runs(&bench, 6).await;
        time::sleep(Duration::from_millis(4_500)).await;
        let holder = bench.holder();
        bench.instances[holder].store_faults.set(fault::Condition::Dropping);
        let failing = worker_of(&bench, 0);
        time::sleep(Duration::from_millis(1_900)).await;
        assert!(bench.instances[holder].state.leader().is_some());
        let lost = support::index_of(&failing);
        bench.crash_worker(lost, support::RestartMode::Never, Duration::ZERO);
        time::sleep(Duration::from_secs(4)).await;
        bench.instances[holder].store_faults.set(fault::Condition::Up);
        time::sleep(Duration::from_secs(20)).await;
        bench.assert_nothing_ran_twice();
    });
}
