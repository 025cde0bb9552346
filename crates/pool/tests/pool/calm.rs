//! Nothing goes wrong.

use std::num::NonZeroU32;
use std::time::Duration;

use almondpass_ports::boot_clock;
use almondpass_schema::model;
use tokio::time;

use crate::support;

/// For the time that the submission itself takes.
const EARLY: Duration = Duration::from_millis(100);

/// Longer than ended jobs are answered for, and until the next look for them.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(320);

const SOON: Duration = Duration::from_secs(6);

#[test]
fn a_job_runs_through_its_steps_in_order() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let mut row = support::job(3, 500);
        row.graph.steps.push(support::step(2, &[0]));
        let other = bench.non_holder();
        assert_eq!(bench.submit(other, 1, row).await, model::SubmitOutcome::Accepted);
        bench.await_state(other, 1, model::GraphState::Completed, SOON).await;
        let records = bench.fleet.records();
        assert_eq!(records.len(), 5);
        let first_ended = records.iter().filter(|it| it.task.step == 0).map(|it| it.ended).max();
        let second_began = records.iter().filter(|it| it.task.step == 1).map(|it| it.started).min();
        assert!(first_ended <= second_began);
        bench.assert_nothing_ran_twice();
    });
}

/// A caller that had no answer sends its job again, at any instance.
#[test]
fn a_repeated_submission_is_the_same_job() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        for index in 0..3 {
            let outcome = bench.submit(index, 1, support::job(1, 300)).await;
            assert_eq!(outcome, model::SubmitOutcome::Accepted);
        }
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        assert_eq!(bench.submit(1, 1, support::job(1, 300)).await, model::SubmitOutcome::Accepted);
        tokio::time::sleep(SOON).await;
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

/// Nobody is told of another account's job.
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

/// Symptom: rows and memory grew with every job that was ever accepted, and with them the time that a
/// takeover takes. Sequence: jobs end; days pass. Cause: nothing was ever removed.
#[test]
fn a_job_that_ended_long_ago_leaves_nothing_behind() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 2).await;
        bench.submit(0, 1, support::job(3, 500)).await;
        let mut long = support::job(1, 600_000);
        long.graph.steps[0].estimate_ms = 600_000;
        bench.submit(0, 2, long).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        time::sleep(Duration::from_secs(240)).await;
        assert_eq!(
            bench.lookup(0, 1).await,
            model::LookOutcome::Known(model::GraphState::Completed)
        );
        time::sleep(FORGOTTEN_AFTER - Duration::from_secs(240)).await;
        for index in 0..2 {
            assert_eq!(bench.lookup(index, 1).await, model::LookOutcome::Absent);
        }
        // The other one has made no progress that would have to be saved.
        assert_eq!(bench.store.peek("graph/").len(), 1);
        assert_eq!(bench.store.peek("progress/").len(), 0);
        bench.kill(bench.holder()).await;
        time::sleep(Duration::from_secs(10)).await;
        assert_eq!(bench.lookup(0, 2).await, model::LookOutcome::Known(model::GraphState::Running));
        assert_eq!(bench.fleet.records().len(), 3);
    });
}

/// A holder that dies between the removal of the two rows of a job leaves the second one to its
/// successor, and the job does not run again.
#[test]
fn a_half_forgotten_job_is_forgotten_by_the_successor() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 2).await;
        bench.submit(0, 1, support::job(1, 500)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        let accepted = bench.store.peek("graph/").remove(0).key;
        bench.remove(&accepted).await;
        bench.kill(bench.holder()).await;
        time::sleep(Duration::from_secs(10)).await;
        assert_eq!(bench.store.peek("progress/").len(), 0);
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

/// The runs of a timed job begin when they are due, through a takeover, and each once.
#[test]
fn a_timed_job_runs_as_often_as_it_is_to() {
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
            assert!(record.started >= submitted + due - EARLY, "{record:?}");
        }
    });
}
