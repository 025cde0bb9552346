//! A part of an instance panics: what it cared for goes on.

use std::time::Duration;

use almondpass_schema::model;
use almondpass_standin::pool_fleet;
use tokio::time;

use crate::support;

const SOON: Duration = Duration::from_secs(30);

/// Longer than a lease, in milliseconds.
const LONG_WORK: u64 = 15_000;

/// A job runs although the holder panics at the next call of `step` to its only worker.
fn check_call(step: &'static str) {
    support::run(async move {
        let bench = support::PoolBench::start(2, 1).await;
        let holder = bench.holder();
        bench.instances[holder].panics.panic_at_next(step);
        bench.submit(holder, 1, support::job(1, LONG_WORK)).await;
        bench.await_state(holder, 1, model::GraphState::Completed, SOON).await;
        assert!(!bench.instances[holder].panics.is_pending());
        bench.assert_nothing_ran_twice();
    });
}

/// Guards against a worker that nobody looks at any more.
#[test]
fn a_panic_at_a_look_does_not_end_the_session() {
    check_call(pool_fleet::POLL);
}

/// Guards against a task that counts as started for good, and a worker that gets no orders any more.
#[test]
fn a_panic_at_a_start_settles_the_start() {
    check_call(pool_fleet::START);
}

/// Guards against an instance that never again learns of configurations.
#[test]
fn a_panic_at_a_document_does_not_end_its_following() {
    support::run(async {
        let bench = support::PoolBench::start(2, 1).await;
        bench.write_document(support::PANICKING_DOCUMENT).await;
        time::sleep(Duration::from_secs(3)).await;
        bench.set_document(7).await;
        time::sleep(Duration::from_secs(3)).await;
        assert!(bench.instances.iter().all(|it| it.state.document.version() == 7));
    });
}
