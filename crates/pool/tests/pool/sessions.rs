//! Sessions with workers that end other than by themselves.

use std::time::Duration;

use almondpass_schema::model;
use almondpass_standin::{fault, pool_fleet};
use tokio::time;

use crate::support;

const SOON: Duration = Duration::from_secs(8);

/// The program panics in a call to the only worker, before a job or while it runs.
async fn check_a_panic_in(step: &'static str, before: Duration) {
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

/// Nothing was sent to a worker any more to which an order had failed, and tasks went on being started there.
#[test]
fn orders_go_on_behind_one_that_panics() {
    support::run(check_a_panic_in(pool_fleet::START, Duration::ZERO));
}

/// A worker was never looked at again behind a look that had failed, and the end of its task never heard of.
#[test]
fn looks_go_on_behind_one_that_panics() {
    support::run(check_a_panic_in(pool_fleet::POLL, Duration::from_millis(500)));
}
