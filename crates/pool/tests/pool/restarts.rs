//! Workers that start again under the id that they had.

use std::time::Duration;

use almondpass_graph::order;
use almondpass_schema::model;
use almondpass_standin::{fault, pool_fleet};
use tokio::time;

use crate::support;

/// A worker is away this long when it starts again.
const DOWN: Duration = Duration::from_millis(600);

/// Symptom: tasks that had ended well were started again. Sequence: a worker has listed some ends,
/// loses power, and starts again under its id; the tasks that it gets then end. Cause: what was kept
/// of the worker outlived its life. Ends are numbered from 1 in each life; those up to the highest
/// number of the former life were passed over as known and, worse, acknowledged, so that the worker
/// forgot them. The next look showed neither run nor end, and the task was started again.
///
/// Evidence: of the workers that had started again, those that had listed no end before lost no
/// run afterwards, and those that had listed two or more lost their first runs, each within a look of
/// the moment at which the worker itself said that it was done.
#[test]
fn tasks_on_a_worker_that_started_again_run_once() {
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

/// Symptom: accepted jobs never began their second step, with most workers empty. Sequence: workers
/// start again and again, each under its id, while a wide step runs. Cause: the same. Each of the
/// step's ends that came from a later life was passed over, its task ran again, and the step was
/// never over in the eyes of the scheduler.
///
/// Evidence: half a minute behind the last restart one run in eight still vanished without an end,
/// from workers that answered all the while, and the jobs' first steps had one task left that ran
/// for the fourth time.
#[test]
fn a_second_step_begins_although_workers_start_again() {
    support::run(async {
        let bench = support::PoolBench::start(2, 4).await;
        // Each worker lists more ends than the wide step has tasks for it.
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
        // Behind the last restart each task of the wide step runs once at most: two rounds of 3 s on
        // 32 places. Then the second step, and a second for looks and saves.
        bench.await_state(0, 2, model::GraphState::Completed, Duration::from_secs(10)).await;
        bench.assert_nothing_ran_twice();
    });
}

/// Symptom, by reading and in storms: a task ran on two workers at a time. Sequence: a start has no
/// answer and is carried out seconds later; meanwhile its worker has started again, and the task runs
/// elsewhere. Cause: nothing in the start told the later life that it was not meant; its deadline is by
/// the former clock. What is sent to a later life carries a higher fencing token, which bars it.
#[test]
fn a_start_carried_out_late_is_barred_in_a_later_life() {
    support::run(async {
        let bench = support::PoolBench::start(1, 2).await;
        bench.fleet.allow_starts_on_later_incarnations();
        // The workers' clocks show far more than the term of a start. The first worker is full.
        bench.submit(0, 1, support::job(8, 120_000)).await;
        time::sleep(Duration::from_secs(60)).await;
        let late = fault::Fault::DelayedEffect(Duration::from_secs(4));
        bench.fleet.faults(&support::worker_id(1)).inject_next(pool_fleet::START, late);
        bench.submit(0, 2, support::job(1, 8_000)).await;
        // The task goes to the first worker, as the second one leaves; then that starts again.
        bench.drain_worker(1).await;
        bench.cancel(0, 1).await;
        time::sleep(Duration::from_millis(1_500)).await;
        bench.restart_worker(1, Duration::from_millis(100)).await;
        bench.write_entry(1).await;
        bench.await_state(0, 2, model::GraphState::Completed, Duration::from_secs(20)).await;
        bench.assert_nothing_ran_twice();
    });
}

/// Symptom, by reading: what ran on a worker that could no longer be reached was started elsewhere
/// only minutes later. Sequence: a worker that has been up for long starts again, gets a task, and is
/// cut off for good. Cause: deadlines by its former clock, which showed far more, counted as its
/// lease.
#[test]
fn a_lease_by_a_former_clock_does_not_outlast_its_life() {
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
