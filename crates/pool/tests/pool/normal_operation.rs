//! Normal operation without faults, and the expiry of ended jobs.

use std::num::NonZeroU32;
use std::time::Duration;

use almondpass_ports::boot_clock;
use almondpass_schema::model;
use tokio::time;

use crate::support;

/// Tolerance for the time that the submission itself takes.
const START_TOLERANCE: Duration = Duration::from_millis(100);

/// Longer than the retention of ended jobs plus the interval between two searches for expired jobs.
const REMOVED_AFTER: Duration = Duration::from_secs(320);

const SETTLING_TIME: Duration = Duration::from_secs(6);

#[test]
fn a_job_runs_through_its_steps_in_order() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let mut row = support::job(3, 500);
        row.graph.steps.push(support::step(2, &[0]));
        let other = bench.non_holder();
        assert_eq!(bench.submit(other, 1, row).await, model::SubmitOutcome::Accepted);
        bench.await_state(other, 1, model::GraphState::Completed, SETTLING_TIME).await;
        let records = bench.fleet.records();
        assert_eq!(records.len(), 5);
        let first_ended = records.iter().filter(|it| it.task.step == 0).map(|it| it.ended).max();
        let second_began = records.iter().filter(|it| it.task.step == 1).map(|it| it.started).min();
        assert!(first_ended <= second_began);
        bench.assert_nothing_ran_twice();
    });
}

/// A caller whose call had no answer may submit its job again at any instance.
#[test]
fn a_repeated_submission_is_the_same_job() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        for index in 0..3 {
            let outcome = bench.submit(index, 1, support::job(1, 300)).await;
            assert_eq!(outcome, model::SubmitOutcome::Accepted);
        }
        bench.await_state(0, 1, model::GraphState::Completed, SETTLING_TIME).await;
        assert_eq!(bench.submit(1, 1, support::job(1, 300)).await, model::SubmitOutcome::Accepted);
        tokio::time::sleep(SETTLING_TIME).await;
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

#[test]
fn a_cancelled_job_stops_and_stays_cancelled() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2).await;
        bench.submit(0, 1, support::job(4, 60_000)).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(bench.fleet.n_running(), 4);
        assert_eq!(bench.cancel(1, 1).await, model::CancelOutcome::Cancelled);
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(bench.fleet.n_running(), 0);
        let shown = bench.lookup(1, 1).await;
        assert_eq!(shown, model::LookOutcome::Known(model::GraphState::Cancelled));
    });
}

#[test]
fn a_job_whose_task_fails_too_often_has_failed() {
    support::run(async {
        let bench = support::PoolBench::start(2, 4).await;
        let mut row = support::job(1, 300);
        row.graph.body = "ms=300 fail".to_owned();
        bench.submit(0, 1, row).await;
        bench.await_state(1, 1, model::GraphState::Failed, Duration::from_secs(20)).await;
        assert_eq!(bench.fleet.records().len(), 2);
    });
}

/// Jobs of another account are answered like jobs that do not exist.
#[test]
fn a_job_is_shown_to_its_own_account_alone() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2).await;
        let mut row = support::job(1, 300);
        row.account = Some("grid".to_owned());
        bench.submit(0, 1, row).await;
        for index in 0..2 {
            assert_eq!(bench.lookup(index, 1).await, model::LookOutcome::Absent);
            assert_eq!(bench.cancel(index, 1).await, model::CancelOutcome::Absent);
        }
    });
}

/// Guards against rows, memory and takeover time that grow with every job that was ever accepted, because
/// nothing of ended jobs is removed.
#[test]
fn an_expired_job_leaves_no_rows() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 2).await;
        bench.submit(0, 1, support::job(3, 500)).await;
        let mut long = support::job(1, 600_000);
        long.graph.steps[0].estimate_ms = 600_000;
        bench.submit(0, 2, long).await;
        bench.await_state(0, 1, model::GraphState::Completed, SETTLING_TIME).await;
        time::sleep(Duration::from_secs(240)).await;
        assert_eq!(
            bench.lookup(0, 1).await,
            model::LookOutcome::Known(model::GraphState::Completed)
        );
        time::sleep(REMOVED_AFTER - Duration::from_secs(240)).await;
        for index in 0..2 {
            assert_eq!(bench.lookup(index, 1).await, model::LookOutcome::Absent);
        }
        // Job 2 still runs, and has made no progress that would have to be saved.
        assert_eq!(bench.store.peek("graph/").len(), 1);
        assert_eq!(bench.store.peek("progress/").len(), 0);
        bench.kill(bench.holder()).await;
        time::sleep(Duration::from_secs(10)).await;
        assert_eq!(bench.lookup(0, 2).await, model::LookOutcome::Known(model::GraphState::Running));
        assert_eq!(bench.fleet.records().len(), 3);
    });
}

/// A holder that dies between the removals of a job's two rows leaves the second row behind. Its successor
/// removes that row, and the job does not run again.
#[test]
fn a_partly_removed_job_is_removed_by_the_successor() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 2).await;
        bench.submit(0, 1, support::job(1, 500)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SETTLING_TIME).await;
        let accepted = bench.store.peek("graph/").remove(0).key;
        bench.remove(&accepted).await;
        bench.kill(bench.holder()).await;
        time::sleep(Duration::from_secs(10)).await;
        assert_eq!(bench.store.peek("progress/").len(), 0);
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

/// The runs of a scheduled job begin when they are due, each once, also across a takeover.
#[test]
fn a_scheduled_job_runs_once_at_each_due_time() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 2).await;
        let mut row = support::job(2, 500);
        let first = boot_clock::BootClock::wall(&bench.clock) + Duration::from_secs(3);
        row.graph.schedule = Some(model::RunSchedule {
            runs: NonZeroU32::new(3).unwrap(),
            first_ms: first.as_millis() as u64,
            interval_ms: 4_000,
        });
        bench.submit(0, 1, row).await;
        let submitted = time::Instant::now();
        time::sleep(Duration::from_secs(5)).await;
        bench.kill(bench.holder()).await;
        bench.await_state(0, 1, model::GraphState::Completed, Duration::from_secs(30)).await;
        bench.assert_nothing_ran_twice();
        let records = bench.fleet.records();
        assert_eq!(records.len(), 6);
        for record in records {
            let due = Duration::from_secs(3 + 4 * u64::from(record.task.occurrence));
            assert!(record.started >= submitted + due - START_TOLERANCE, "{record:?}");
        }
    });
}
