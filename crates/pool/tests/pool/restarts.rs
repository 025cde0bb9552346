//! Workers that restart under the same id.

use std::time::Duration;

use almondpass_graph::order;
use almondpass_schema::model;
use almondpass_standin::{fault, pool_fleet};
use tokio::time;

use crate::support;

/// Time that a worker is down when it restarts.
const DOWN: Duration = Duration::from_millis(600);

/// Guards against tasks that had succeeded and were started again: a worker has listed some ends, loses
/// power, and restarts under its id; the tasks that it is then given end. State kept for the worker outlived
/// its incarnation: ends are numbered from 1 in each incarnation, and those up to the highest number of the
/// earlier incarnation were skipped as known and even acknowledged, so that the worker forgot them. The next
/// poll showed neither run nor end, and the task was started again.
///
/// Evidence: of the restarted workers, those that had listed no end before lost no run afterwards. Those that
/// had listed two or more lost their first runs, each within a poll of the time at which the worker itself
/// reported the run as done.
#[test]
fn tasks_on_a_restarted_worker_run_once() {
    support::run(async {
        let bench = support::PoolBench::start(2, 1).await;
        bench.submit(0, 1, support::job(8, 500)).await;
        bench.await_state(0, 1, model::GraphState::Completed, Duration::from_secs(5)).await;
        bench.restart_worker(0, DOWN).await;
        bench.write_entry(0).await;
        time::sleep(support::HEARTBEAT_INTERVAL).await;

        bench.submit(0, 2, support::job(4, 2_000)).await;
        bench.await_state(0, 2, model::GraphState::Completed, Duration::from_secs(20)).await;
        bench.assert_nothing_ran_twice();
        let n_done =
            bench.fleet.records().iter().filter(|it| it.end_kind == order::EndKind::Done).count();
        assert_eq!(n_done, 12);
    });
}

/// Guards against accepted jobs that never begin their second step although most workers are empty: workers
/// restart repeatedly, each under its id, while a wide step runs. As in
/// `tasks_on_a_restarted_worker_run_once`, each end of the step from a later incarnation was skipped, its
/// task ran again, and for the scheduler the step never ended.
///
/// Evidence: half a minute after the last restart one run in eight still vanished without an end, from
/// workers that answered all the time, and the jobs' first steps had one task left that ran for the fourth
/// time.
#[test]
fn a_second_step_begins_although_workers_restart() {
    support::run(async {
        let bench = support::PoolBench::start(2, 4).await;
        // Each worker lists more ends than it runs tasks of the wide step.
        bench.submit(0, 1, support::job(200, 500)).await;
        bench.await_state(0, 1, model::GraphState::Completed, Duration::from_secs(10)).await;
        let mut wide = support::job(48, 3_000);
        wide.graph.steps.push(support::step(4, &[0]));
        bench.submit(0, 2, wide).await;
        for index in [0, 1, 2, 0, 1] {
            bench.restart_worker(index, DOWN).await;
            time::sleep(support::HEARTBEAT_INTERVAL).await;
            bench.write_entry(index).await;
        }
        // After the last restart each task of the wide step runs at most once: two rounds of 3 s on 32 slots.
        // The second step and a second for polls and saves follow.
        bench.await_state(0, 2, model::GraphState::Completed, Duration::from_secs(10)).await;
        bench.assert_nothing_ran_twice();
    });
}

/// Guards against a task that runs on two workers at a time (found by review and in storms): a start gets no
/// answer and is executed seconds later; meanwhile its worker has restarted, and the task runs elsewhere.
/// Nothing in the start showed the later incarnation that the call was not meant for it, since the start's
/// deadline is by the earlier incarnation's clock. Calls to a later incarnation now carry a higher fencing
/// token, which bars the start.
#[test]
fn a_late_start_is_refused_by_a_later_incarnation() {
    support::run(async {
        let bench = support::PoolBench::start(1, 2).await;
        bench.fleet.allow_starts_on_later_incarnations();
        // The workers' clocks show far more than the term of a start. The first worker is full.
        bench.submit(0, 1, support::job(8, 120_000)).await;
        time::sleep(Duration::from_secs(60)).await;
        let late = fault::Fault::DelayedEffect(Duration::from_secs(4));
        bench.fleet.faults(&support::worker_id(1)).inject_next(pool_fleet::START, late);
        bench.submit(0, 2, support::job(1, 8_000)).await;
        // The task goes to the first worker, because the second one is drained; then the second one restarts.
        bench.drain_worker(1).await;
        bench.cancel(0, 1).await;
        time::sleep(Duration::from_millis(1_500)).await;
        bench.restart_worker(1, Duration::from_millis(100)).await;
        bench.write_entry(1).await;
        bench.await_state(0, 2, model::GraphState::Completed, Duration::from_secs(20)).await;
        bench.assert_nothing_ran_twice();
    });
}

/// Guards against tasks on an unreachable worker that are started elsewhere only minutes later (found by
/// review): a worker that has been up for long restarts, gets a task, and is cut off for good. Deadlines by
/// the earlier incarnation's clock, which showed far more, counted as the worker's lease.
#[test]
fn a_lease_by_an_earlier_clock_ends_with_its_incarnation() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2).await;
        bench.submit(0, 1, support::job(12, 500)).await;
        time::sleep(Duration::from_secs(300)).await;
        bench.restart_worker(0, DOWN).await;
        bench.write_entry(0).await;
        time::sleep(support::HEARTBEAT_INTERVAL).await;
        bench.submit(0, 2, support::job(12, 3_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        bench.fleet.crash(&support::worker_id(0));

        bench.await_state(0, 2, model::GraphState::Completed, Duration::from_secs(20)).await;
        bench.assert_nothing_ran_twice();
    });
}
