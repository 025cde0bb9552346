//! Sessions with workers that end by a panic.

use std::time::Duration;

use almondpass_schema::model;
use almondpass_standin::{fault, pool_fleet};
use tokio::time;

use crate::support;

const SOON: Duration = Duration::from_secs(8);

/// The instance panics in a call to its only worker, either before a job is submitted or after the job has
/// run for `before`.
async fn check_panic_at(step: &'static str, before: Duration) {
    let bench = support::PoolBench::start(1, 1).await;
    if before.is_zero() {
        bench.instances[0].worker_faults.inject_next(step, fault::Fault::CallerPanics);
    }
    bench.submit(0, 1, support::job(1, 2_000)).await;
    if !before.is_zero() {
        time::sleep(before).await;
        bench.instances[0].worker_faults.inject_next(step, fault::Fault::CallerPanics);
    }
    bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
    bench.assert_nothing_ran_twice();
}

/// Guards against a worker to which no order is sent after one that panicked, while tasks are still placed on
/// it.
#[test]
fn orders_continue_after_one_that_panics() {
    support::run(check_panic_at(pool_fleet::START, Duration::ZERO));
}

/// Guards against a worker that is never polled after a poll that panicked, so that the end of its task is
/// not noticed.
#[test]
fn polls_continue_after_one_that_panics() {
    support::run(check_panic_at(pool_fleet::POLL, Duration::from_millis(500)));
}
