//! Cancellations of jobs that the store does not have, or does not have yet.

use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_schema::model;
use almondpass_standin::fault;
use tokio::time::{self, Instant};

use crate::support;

/// Later than a submission's write may take effect in these tests.
const LATE_WRITE_DELAY: Duration = Duration::from_secs(6);

/// Longer than the retention of ended jobs plus the interval between two searches for expired jobs.
const REMOVED_AFTER: Duration = Duration::from_secs(320);

/// Submits job 1 at an instance that reaches no peers, and whose first write takes effect late, until the
/// caller gives up.
async fn submit_with_late_write(bench: &support::PoolBench, index: usize) {
    bench.cut_from_peers(index, bench.instances.iter().map(|it| it.address.as_str()));
    let faults = &bench.instances[index].store_faults;
    let step = model::TableTransaction::PATH;
    faults.inject_next(step, fault::Fault::DelayedEffect(LATE_WRITE_DELAY));
    for nth in 2..40 {
        faults.inject_nth(step, nth, fault::Fault::Unavailable);
    }
    let outcome = bench.submit(index, 1, support::job(1, 500)).await;
    assert_eq!(outcome, model::SubmitOutcome::Unknown);
}

/// Guards against a job that runs although its cancellation was answered with "no such job": a write of the
/// submission was still in progress in the store, and nothing barred it.
#[test]
fn a_job_cancelled_before_a_late_write_never_runs() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        submit_with_late_write(&bench, other).await;
        assert_eq!(bench.cancel(holder, 1).await, model::CancelOutcome::Absent);
        time::sleep(2 * LATE_WRITE_DELAY).await;
        bench.kill(bench.holder()).await;
        time::sleep(2 * LATE_WRITE_DELAY).await;
        assert_eq!(bench.lookup(0, 1).await, model::LookOutcome::Absent);
        assert_eq!(bench.fleet.records().len(), 0);
        assert_eq!(bench.fleet.n_running(), 0);
    });
}

/// Guards against a job that is stored after its caller was told that its cancellation is final, and against a
/// marker of such a cancellation that is shown as a job or never removed.
#[test]
fn an_id_that_was_cancelled_before_its_job_takes_no_job() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        for index in 0..3 {
            assert_eq!(bench.cancel(index, 1).await, model::CancelOutcome::Absent);
            time::sleep(Duration::from_secs(1)).await;
            assert_eq!(bench.lookup(index, 1).await, model::LookOutcome::Absent);
            let submitted = bench.submit(index, 1, support::job(1, 500)).await;
            assert_eq!(submitted, model::SubmitOutcome::Taken);
        }
        assert_eq!(bench.store.peek("graph/").len(), 1);
        time::sleep(REMOVED_AFTER).await;
        assert_eq!(bench.store.peek("graph/").len(), 0);
        assert_eq!(bench.fleet.records().len(), 0);
    });
}

/// Guards against a cancellation that is answered as final although the store has not confirmed the row that
/// bars a late write.
#[test]
fn a_cancellation_that_the_store_does_not_confirm_is_of_unknown_outcome() {
    support::run(async {
        for fault in [fault::Fault::Unavailable, fault::Fault::RequestLost] {
            let bench = support::PoolBench::start(1, 2).await;
            let step = model::TableTransaction::PATH;
            for nth in 1..60 {
                bench.instances[0].store_faults.inject_nth(step, nth, fault);
            }
            assert_eq!(bench.cancel(0, 1).await, model::CancelOutcome::Unknown, "{fault:?}");
        }
    });
}

/// Guards against a cancellation whose write was confirmed by no answer and that is then taken for a job's.
#[test]
fn a_cancellation_whose_answer_was_lost_is_repeated() {
    support::run(async {
        let bench = support::PoolBench::start(1, 2).await;
        let step = model::TableTransaction::PATH;
        bench.instances[0].store_faults.inject_next(step, fault::Fault::AnswerLost);
        let began = Instant::now();
        assert_eq!(bench.cancel(0, 1).await, model::CancelOutcome::Absent);
        assert!(began.elapsed() < Duration::from_secs(2));
        assert_eq!(bench.lookup(0, 1).await, model::LookOutcome::Absent);
    });
}
