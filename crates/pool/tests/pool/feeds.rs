//! Feeds of the tenure holder that fail, and the reads of whole tables that replace them.

use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_ports::keys;
use almondpass_schema::model;
use almondpass_standin::{fault, table};
use tokio::time;

use crate::support;

const SETTLING_TIME: Duration = Duration::from_secs(10);

/// More calls than any feed makes in these tests.
const N_FEED_CALLS: u64 = 400;

/// Injects a fault into each further call of `step` by an instance.
fn inject_into_all_calls(
    instance: &support::BenchInstance,
    step: &'static str,
    fault: fault::Fault,
) {
    (1..=N_FEED_CALLS).for_each(|nth| instance.store_faults.inject_nth(step, nth, fault));
}

/// Guards against a job feed that fails permanently although the table can be read.
#[test]
fn a_failing_job_feed_is_replaced_by_reads_of_the_table() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        inject_into_all_calls(
            &bench.instances[holder],
            table::FOLLOW_STEP,
            fault::Fault::AnswerLost,
        );
        let address = |it: usize| bench.instances[it].address.as_str();
        bench.net.partition(&[address(other)], &[address(holder)], fault::Condition::Refusing);
        bench.submit(other, 1, support::job(1, 500)).await;
        // A query before that would make the holder recover the job.
        time::sleep(SETTLING_TIME).await;
        let completed = model::LookOutcome::Known(model::GraphState::Completed);
        assert_eq!(bench.lookup(holder, 1).await, completed);
    });
}

/// Guards against a worker feed that fails permanently although the table can be read.
#[test]
fn a_failing_worker_feed_is_replaced_by_reads_of_the_table() {
    support::run(async {
        let bench = support::PoolBench::start(3, 0).await;
        let holder = bench.holder();
        inject_into_all_calls(
            &bench.instances[holder],
            table::FOLLOW_STEP,
            fault::Fault::AnswerLost,
        );
        bench.submit(holder, 1, support::job(1, 500)).await;
        bench.add_worker(0).await;
        bench.await_state(holder, 1, model::GraphState::Completed, SETTLING_TIME).await;
    });
}

/// Guards against a job that runs once more because the job is forgotten while the table is read.
#[test]
fn a_job_that_is_forgotten_while_the_table_is_read_starts_nothing() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2).await;
        let holder = bench.holder();
        bench.submit(holder, 1, support::job(1, 500)).await;
        bench.await_state(holder, 1, model::GraphState::Completed, SETTLING_TIME).await;
        let slow = fault::Fault::Slow(Duration::from_millis(1_400));
        inject_into_all_calls(&bench.instances[holder], table::SNAPSHOT_STEP, slow);
        bench.store.forget_history();
        // The store has read the table, and its answer has not arrived yet.
        time::sleep(Duration::from_secs(1)).await;
        bench.remove(&keys::graph(1)).await;
        bench.instances[holder].state.leader().expect("a tenure").core().forget_job(1);
        time::sleep(SETTLING_TIME).await;
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

/// Guards against a missed job that is never scheduled because its rows could not be read when a read of the
/// table showed it.
#[test]
fn a_missed_job_that_can_not_be_read_is_read_again() {
    support::run(async {
        let bench = support::PoolBench::start(2, 0).await;
        let holder = bench.holder();
        bench.submit(holder, 1, support::job(1, 500)).await;
        time::sleep(Duration::from_secs(1)).await;
        bench.instances[holder].state.leader().expect("a tenure").core().forget_job(1);
        let store_faults = &bench.instances[holder].store_faults;
        store_faults.inject_next(model::TableGet::PATH, fault::Fault::Unavailable);
        bench.store.forget_history();
        bench.add_worker(0).await;
        time::sleep(SETTLING_TIME).await;
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

/// Number of feeds that an instance follows.
fn n_feeds(instance: &support::BenchInstance) -> u64 {
    if instance.state.leader().is_some() { 3 } else { 1 }
}

/// Open reads of all feeds go silent, and the next `n_lost_calls` of each kind with them; a configuration that is
/// written then is in force everywhere within `limit`.
fn check_silent_feeds(n_lost_calls: u64, limit: Duration) {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        // Each instance has just begun a read of the configuration.
        bench.set_document(6).await;
        time::sleep(Duration::from_millis(30)).await;
        for instance in &bench.instances {
            let faults = &instance.store_faults;
            let lost = fault::Fault::RequestLost;
            (1..=n_feeds(instance)).for_each(|it| faults.inject_nth(table::FOLLOW_STEP, it, lost));
            for step in [model::TableGet::PATH, model::TableTransaction::PATH] {
                (1..=n_lost_calls).for_each(|it| faults.inject_nth(step, it, lost));
            }
        }
        time::sleep(Duration::from_millis(20)).await;
        bench.set_document(7).await;
        time::sleep(limit).await;
        let versions = bench.instances.iter().map(|it| it.state.document.version());
        assert_eq!(versions.collect::<Vec<_>>(), [7, 7, 7]);
    });
}

/// Guards against an older configuration that stays in force while the read of the newest hangs on a silent connection,
/// although another call has shown the silence.
#[test]
fn a_call_without_answer_ends_the_wait_of_a_silent_feed() {
    check_silent_feeds(1, Duration::from_millis(2_000));
}

/// Guards against the same where no other call of the instance is open.
#[test]
fn a_silent_feed_is_read_again_within_the_time_of_a_lost_contact() {
    check_silent_feeds(0, Duration::from_millis(2_900));
}
