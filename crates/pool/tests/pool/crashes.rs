//! Tasks that crash each worker that starts them.

use std::time::Duration;

use almondpass_graph::task_key;
use almondpass_schema::model;
use almondpass_standin::fault;
use tokio::time;

use crate::support;

/// A crashed worker is back after this.
const DOWN: Duration = Duration::from_secs(3);

/// Once three workers have crashed under a task, it may be started twice more.
const MOST_STARTS: usize = 5;

/// The longest that the scheduler may need: five losses, each found by silence behind a lease.
const GIVEN_UP: Duration = Duration::from_secs(60);

/// How often the first task of a job was started.
fn n_starts(bench: &support::PoolBench, graph: u64) -> usize {
    let first = task_key::TaskKey { graph, occurrence: 0, step: 0, task: 0 };
    bench.fleet.records().iter().filter(|it| it.task == first).count()
}

/// A job whose first task crashes its worker `after` milliseconds behind its start.
fn crashing(n: u32, after: u64) -> model::GraphRow {
    let mut row = support::job(n, 5_000);
    row.graph.body.push_str(&format!(" crash={after}"));
    row
}

/// A job that crashes its workers beside others, which end well.
async fn check(row: model::GraphRow, comeback: support::RestartMode) {
    let bench = support::PoolBench::start(2, 8).await;
    bench.restart_crashed_workers(comeback, DOWN);
    for graph in 2..6 {
        bench.submit(0, graph, support::job(4, 6_000)).await;
    }
    bench.submit(0, 1, row).await;
    bench.await_state(0, 1, model::GraphState::Failed, GIVEN_UP).await;
    assert_eq!(bench.failure(0, 1).await, Some(model::FailureCause::CrashesWorkers));
    time::sleep(Duration::from_secs(20)).await;
    for graph in 2..6 {
        bench.await_state(0, graph, model::GraphState::Completed, GIVEN_UP).await;
    }
    let n_starts = n_starts(&bench, 1);
    assert!(n_starts <= MOST_STARTS, "{n_starts} starts");
    bench.assert_nothing_ran_twice();
}

macro_rules! crashes {
    ($($name:ident: $row:expr, $comeback:ident;)*) => {
        $(#[test]
        fn $name() {
            support::run(check($row, support::RestartMode::$comeback));
        })*
    };
}

// Symptom: two jobs never ended, and a worker was lost every 1.6 s without end, with all that ran there.
// Sequence: a task crashes its worker; once the worker is known to be lost, what ran there starts
// elsewhere, the task with it, and so on. Cause: the loss of a worker counted against nothing that ran
// on it, as only ends that a worker lists do.
//
// Evidence: 13 of 14 workers were lost 11 ms behind a start of one of two tasks on them, whatever their
// racks; nothing was logged, saved or counted of it but that the worker was over.
crashes! {
    a_task_that_crashes_workers_is_given_up: crashing(1, 10), SameAddress;
    a_task_that_crashes_workers_that_come_back_elsewhere: crashing(1, 10), NewAddress;
    a_task_that_crashes_workers_that_come_back_under_their_ids: crashing(1, 10), SameId;
    a_task_that_crashes_workers_for_good: crashing(1, 10), Never;
    a_task_that_crashes_workers_late: crashing(1, 3_000), Rotating;
    a_wide_step_with_a_task_that_crashes_workers: crashing(12, 500), Rotating;
    a_gang_with_a_task_that_crashes_workers: gang(crashing(4, 1_000)), Rotating;
}

fn gang(mut row: model::GraphRow) -> model::GraphRow {
    row.graph.steps[0].gang = true;
    row
}

/// What a holder has learnt of losses without the store goes with it, and a task crashes as many workers again.
#[test]
fn a_successor_is_told_of_losses_that_were_not_saved() {
    support::run(async {
        let bench = support::PoolBench::start(3, 8).await;
        bench.restart_crashed_workers(support::RestartMode::SameAddress, Duration::from_secs(1));
        let (holder, other) = (bench.holder(), bench.non_holder());
        bench.submit(other, 1, crashing(1, 10)).await;
        bench.instances[holder].store_faults.set(fault::Condition::Dropping);
        bench.await_state(other, 1, model::GraphState::Failed, GIVEN_UP).await;
        assert!(bench.instances[holder].state.leader().is_none_or(|it| it.has_ended()));
        assert_eq!(n_starts(&bench, 1), 3);
    });
}
