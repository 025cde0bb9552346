//! Tasks that crash each worker that starts them.

use std::time::Duration;

use almondpass_graph::task_key;
use almondpass_schema::model;
use almondpass_standin::fault;
use tokio::time;

use crate::support;

/// Time after which a crashed worker restarts.
const DOWN: Duration = Duration::from_secs(3);

/// Most starts of a task: after it has crashed three workers, it may be started twice more.
const MAX_STARTS: usize = 5;

/// Longest time until the scheduler gives a job up: five losses, each detected by silence after a lease.
const GIVE_UP_TIMEOUT: Duration = Duration::from_secs(60);

/// How often the first task of a job was started.
fn n_starts(bench: &support::PoolBench, graph: u64) -> usize {
    let first = task_key::TaskKey { graph, occurrence: 0, step: 0, task: 0 };
    bench.fleet.records().iter().filter(|it| it.task == first).count()
}

/// A job whose first task crashes its worker `after` milliseconds after its start.
fn crashing_job(n: u32, after: u64) -> model::GraphRow {
    let mut row = support::job(n, 5_000);
    row.graph.body.push_str(&format!(" crash={after}"));
    row
}

/// Checks that a job that crashes its workers fails, while other jobs complete.
async fn check_crashing_job(row: model::GraphRow, mode: support::RestartMode) {
    let bench = support::PoolBench::start(2, 8).await;
    bench.restart_crashed_workers(mode, DOWN);
    for graph in 2..6 {
        bench.submit(0, graph, support::job(4, 6_000)).await;
    }
    bench.submit(0, 1, row).await;
    bench.await_state(0, 1, model::GraphState::Failed, GIVE_UP_TIMEOUT).await;
    assert_eq!(bench.failure(0, 1).await, Some(model::FailureCause::CrashesWorkers));
    time::sleep(Duration::from_secs(20)).await;
    for graph in 2..6 {
        bench.await_state(0, graph, model::GraphState::Completed, GIVE_UP_TIMEOUT).await;
    }
    let n_starts = n_starts(&bench, 1);
    assert!(n_starts <= MAX_STARTS, "{n_starts} starts");
    bench.assert_nothing_ran_twice();
}

macro_rules! crashes {
    ($($name:ident: $row:expr, $mode:ident;)*) => {
        $(#[test]
        fn $name() {
            support::run(check_crashing_job($row, support::RestartMode::$mode));
        })*
    };
}

// Guards against jobs that never end and crash one worker after the other, with everything that runs on it
// (seen with two jobs and a loss every 1.6 s): a task crashes its worker; once the worker is known to be
// lost, its tasks start elsewhere, this task among them, and so on. The loss of a worker counted against none
// of the tasks that ran on it; only ends that a worker lists counted.
//
// Evidence: 13 of 14 workers were lost 11 ms after a start of one of two tasks on them, whatever their racks;
// the only trace in logs, rows and metrics was that the worker had ended.
crashes! {
    a_task_that_crashes_workers_is_given_up: crashing_job(1, 10), SameAddress;
    a_task_that_crashes_workers_that_come_back_elsewhere: crashing_job(1, 10), NewAddress;
    a_task_that_crashes_workers_that_come_back_under_their_ids: crashing_job(1, 10), SameId;
    a_task_that_crashes_workers_for_good: crashing_job(1, 10), Never;
    a_task_that_crashes_workers_late: crashing_job(1, 3_000), Rotating;
    a_wide_step_with_a_task_that_crashes_workers: crashing_job(12, 500), Rotating;
    a_gang_with_a_task_that_crashes_workers: as_gang(crashing_job(4, 1_000)), Rotating;
}

fn as_gang(mut row: model::GraphRow) -> model::GraphRow {
    row.graph.steps[0].gang = true;
    row
}

/// Guards against worker losses that are forgotten when the holder that observed them ends before it could
/// save them: the task would then crash more workers than without the outage.
#[test]
fn a_successor_learns_of_unsaved_losses() {
    support::run(async {
        let n_starts_without_outage = n_starts_until_given_up(fault::Condition::Up).await;
        let n_starts = n_starts_until_given_up(fault::Condition::Dropping).await;
        assert_eq!(n_starts, n_starts_without_outage);
        assert!(n_starts <= MAX_STARTS);
    });
}

/// Starts of a task that crashes each of its workers, while the store of the first holder is in `condition`.
async fn n_starts_until_given_up(condition: fault::Condition) -> usize {
    let bench = support::PoolBench::start(3, 8).await;
    bench.restart_crashed_workers(support::RestartMode::SameAddress, Duration::from_secs(1));
    let (holder, other) = (bench.holder(), bench.non_holder());
    bench.submit(other, 1, crashing_job(1, 10)).await;
    bench.instances[holder].store_faults.set(condition);
    bench.await_state(other, 1, model::GraphState::Failed, GIVE_UP_TIMEOUT).await;
    let has_ended = bench.instances[holder].state.leader().is_none_or(|it| it.has_ended());
    assert_eq!(has_ended, condition != fault::Condition::Up);
    n_starts(&bench, 1)
}

/// Guards against a job that is given up after a single crash of a worker: its task waits for room, and each
/// successor of a killed holder counted the start of the waiting task as a further loss.
#[test]
fn a_task_that_waits_for_room_through_takeovers_is_not_given_up() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 24).await;
        bench.start_heartbeats();
        let mut row = support::job(24, 40_000);
        row.graph.steps[0].accelerators = 8;
        (row.class, row.priority) = ("urgent".to_owned(), 0);
        bench.submit(0, 1, row).await;
        time::sleep(Duration::from_secs(2)).await;
        assert_eq!(bench.fleet.n_running(), 24);
        // The replacement is too small for the task.
        bench.set_accelerators(&support::worker_id(0), 4);
        bench.crash_worker(0, support::RestartMode::SameAddress, Duration::from_secs(1));
        time::sleep(Duration::from_secs(4)).await;
        for _ in 0..3 {
            let holder = bench.holder();
            let address = bench.kill(holder).await;
            time::sleep(Duration::from_secs(1)).await;
            bench.start_instance(&address);
            time::sleep(Duration::from_secs(5)).await;
        }
        assert_eq!(bench.failure(0, 1).await, None);
        assert_eq!(n_starts(&bench, 1), 1);
        bench.await_state(0, 1, model::GraphState::Completed, Duration::from_secs(90)).await;
        bench.assert_nothing_ran_twice();
    });
}
