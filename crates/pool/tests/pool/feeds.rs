//! Feeds of the holder that give no answers, and tables that are read in their place.

use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_ports::keys;
use almondpass_schema::model;
use almondpass_standin::{fault, table};
use tokio::time;

use crate::support;

const SOON: Duration = Duration::from_secs(10);

/// More calls than feeds make in any of these tests.
const N_CALLS: u64 = 400;

/// Each call of `step` that an instance makes from now on is struck.
fn strike(instance: &support::BenchInstance, step: &'static str, fault: fault::Fault) {
    (1..=N_CALLS).for_each(|nth| instance.store_faults.inject_nth(step, nth, fault));
}

/// Guards against a feed of jobs that stands still for good although the table can be read.
#[test]
fn a_feed_of_jobs_without_answers_is_replaced_by_the_table() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        strike(&bench.instances[holder], table::FOLLOW_STEP, fault::Fault::AnswerLost);
        let address = |it: usize| bench.instances[it].address.as_str();
        bench.net.partition(&[address(other)], &[address(holder)], fault::Condition::Refusing);
        bench.submit(other, 1, support::job(1, 500)).await;
        // Whoever asks for the job sooner has the holder take it in.
        time::sleep(SOON).await;
        let completed = model::LookOutcome::Known(model::GraphState::Completed);
        assert_eq!(bench.lookup(holder, 1).await, completed);
    });
}

/// Guards against a list of workers that stands still for good although the table can be read.
#[test]
fn a_feed_of_workers_without_answers_is_replaced_by_the_table() {
    support::run(async {
        let bench = support::PoolBench::start(3, 0).await;
        let holder = bench.holder();
        strike(&bench.instances[holder], table::FOLLOW_STEP, fault::Fault::AnswerLost);
        bench.submit(holder, 1, support::job(1, 500)).await;
        bench.add_worker(0).await;
        bench.await_state(holder, 1, model::GraphState::Completed, SOON).await;
    });
}

/// Guards against a job that runs once more because it is forgotten while the table is read.
#[test]
fn a_job_that_is_forgotten_while_the_table_is_read_starts_nothing() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2).await;
        let holder = bench.holder();
        bench.submit(holder, 1, support::job(1, 500)).await;
        bench.await_state(holder, 1, model::GraphState::Completed, SOON).await;
        let slow = fault::Fault::Slow(Duration::from_millis(1_400));
        strike(&bench.instances[holder], table::SNAPSHOT_STEP, slow);
        bench.store.forget_history();
        // Between the reading of the table and its answer.
        time::sleep(Duration::from_secs(1)).await;
        bench.remove(&keys::graph(1)).await;
        bench.instances[holder].state.leader().expect("a tenure").core().forget_job(1);
        time::sleep(SOON).await;
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

/// Guards against a job that nobody schedules because it can't be read when a table shows that it was missed.
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
        time::sleep(SOON).await;
        assert_eq!(bench.fleet.records().len(), 1);
    });
}
