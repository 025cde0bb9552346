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

/// The instance that holds the tenure once another than `former` does.
async fn await_successor(bench: &support::PoolBench, former: usize) -> usize {
    loop {
        if let Some(holder) = bench.latest_holder().filter(|it| *it != former) {
            return holder;
        }
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// A pool of four workers on which job 1 runs two tasks for 4 s. Both end done while their holder is cut off
/// from the store, and then the worker of the first one is cut off from all instances.
struct CutOffEnd {
    bench: support::PoolBench,
    holder: usize,
    worker: ids::WorkerId,
}

impl CutOffEnd {
    async fn start(n_instances: usize) -> CutOffEnd {
        let bench = support::PoolBench::start(n_instances, 4).await;
        bench.start_heartbeats();
        bench.submit(0, 1, job_of_whole_workers(2, "ms=4000")).await;
        await_runs(&bench, 2).await;
        let worker = worker_of(&bench, 0);
        time::sleep(Duration::from_millis(3_500)).await;
        let holder = bench.holder();
        bench.instances[holder].store_faults.set(fault::Condition::Dropping);
        time::sleep(Duration::from_millis(800)).await;
        bench.fleet.faults(&worker).set(fault::Condition::Dropping);
        assert_eq!(bench.fleet.n_running(), 0);
        CutOffEnd { bench, holder, worker }
    }

    /// Checks that job 1 is completed by `index` within `limit`, without a further run.
    async fn assert_completed(&self, index: usize, limit: Duration) {
        self.bench.await_state(index, 1, model::GraphState::Completed, limit).await;
        time::sleep(Duration::from_secs(10)).await;
        self.bench.assert_nothing_ran_twice();
        assert_eq!(self.bench.fleet.records().len(), 2);
    }
}

/// Guards against done work that starts again on the strength of a former holder's report: nothing runs on the
/// silent worker, but it alone has the end that the store lacks, and lists it when it is reached again.
#[test]
fn an_end_that_a_former_holder_could_not_save_is_not_run_again() {
    support::run(async {
        let case = CutOffEnd::start(2).await;
        let successor = await_successor(&case.bench, case.holder).await;
        time::sleep(Duration::from_millis(1_500)).await;
        case.bench.fleet.faults(&case.worker).set(fault::Condition::Up);
        case.assert_completed(successor, Duration::from_secs(2)).await;
    });
}

/// Guards against a job that waits for the lease of a silent worker, although the former holder knows that its
/// task is done.
#[test]
fn an_end_that_a_former_holder_reports_completes_its_job() {
    support::run(async {
        let case = CutOffEnd::start(2).await;
        let successor = await_successor(&case.bench, case.holder).await;
        case.assert_completed(successor, Duration::from_secs(1)).await;
    });
}

/// Guards against done work that starts again after two takeovers: the first successor learns of the end from
/// the former holder, can't save it, and is followed by another.
#[test]
fn an_end_that_two_holders_could_not_save_is_not_run_again() {
    support::run(async {
        let mut case = CutOffEnd::start(3).await;
        let former = case.bench.instances[case.holder].address.clone();
        let addresses = case.bench.instances.iter().map(|it| it.address.clone());
        let addresses = addresses.collect::<Vec<_>>();
        case.bench.cut_from_peers(case.holder, addresses.iter().map(String::as_str));
        let first = await_successor(&case.bench, case.holder).await;
        case.bench.instances[first].store_faults.set(fault::Condition::Dropping);
        let others = addresses.iter().map(String::as_str).filter(|it| *it != former);
        let others = others.collect::<Vec<_>>();
        case.bench.net.partition(&[&former], &others, fault::Condition::Up);
        time::sleep(Duration::from_secs(1)).await;
        let second = await_second_successor(&mut case, first).await;
        case.assert_completed(second, Duration::from_secs(3)).await;
    });
}

/// Kills the holder before the first successor, and waits until another instance follows that.
async fn await_second_successor(case: &mut CutOffEnd, first: usize) -> usize {
    let first = case.bench.instances[first].address.clone();
    case.bench.kill(case.holder).await;
    let first = case.bench.instances.iter().position(|it| it.address == first);
    await_successor(&case.bench, first.expect("the first successor")).await
}

/// Guards against done work that starts again: a job fails while its holder is cut off from the store, the
/// ends of its other tasks are acknowledged unsaved, the worker that has listed the failure is lost, and a
/// successor finds neither the failure nor the done ends.
#[test]
fn work_that_ends_done_after_its_job_failed_unsaved_does_not_run_again() {
    support::run(async {
        let bench = support::PoolBench::start(2, 8).await;
        bench.start_heartbeats();
        bench.submit(0, 1, job_of_whole_workers(6, "ms=6250 fail=0 fail-ms=3000")).await;
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
