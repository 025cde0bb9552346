//! The store is away, for all or for some.

use std::time::Duration;

use almondpass_ports::table::TableService;
use almondpass_schema::model;
use almondpass_standin::fault;
use tokio::time;

use crate::support;

const SOON: Duration = Duration::from_secs(30);

/// Until the store is back, and a little more.
const SILENT_PATIENCE: Duration = Duration::from_millis(400);

/// Symptom: callers of an instance that the store turns away were refused for as long as that
/// lasted. Sequence: the store refuses one instance; jobs come in there. Cause: it knew no other
/// way than its own.
#[test]
fn an_instance_that_the_store_turns_away_goes_by_a_peer() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let other = bench.non_holder();
        bench.instances[other].store_faults.set(fault::Condition::Refusing);
        time::sleep(Duration::from_secs(2)).await;
        let accepted = bench.submit(other, 1, support::job(1, 500)).await;
        assert_eq!(accepted, model::SubmitOutcome::Accepted);
        bench.await_state(other, 1, model::GraphState::Completed, SOON).await;
        bench.submit(other, 2, support::job(1, 60_000)).await;
        assert_eq!(bench.cancel(other, 2).await, model::CancelOutcome::Cancelled);
    });
}

/// "Not run" is said at once, and only while no write is under way.
#[test]
fn a_store_that_refuses_everybody_means_not_run() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        bench.store.faults().set(fault::Condition::Refusing);
        time::sleep(Duration::from_secs(2)).await;
        let began = time::Instant::now();
        let outcome = bench.submit(0, 1, support::job(1, 500)).await;
        assert_eq!(outcome, model::SubmitOutcome::NotRun);
        assert!(began.elapsed() < Duration::from_millis(800), "{:?}", began.elapsed());
        bench.store.faults().set(fault::Condition::Up);
        time::sleep(SOON).await;
        assert_eq!(bench.fleet.records(), []);
        assert_eq!(bench.lookup(0, 1).await, model::LookOutcome::Absent);
    });
}

/// An answer of the store is lost and the write lands: the caller is not told that it did not run.
#[test]
fn a_write_whose_answer_was_lost_is_found_again() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2).await;
        let other = bench.non_holder();
        let step = <model::TableTransaction as almondpass_peer::call::PeerCall>::PATH;
        bench.instances[other].store_faults.inject_next(step, fault::Fault::AnswerLost);
        let outcome = bench.submit(other, 1, support::job(1, 500)).await;
        assert_eq!(outcome, model::SubmitOutcome::Accepted);
        bench.await_state(other, 1, model::GraphState::Completed, SOON).await;
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

/// What runs goes on while the store is away, and what ends meanwhile is durable afterwards.
#[test]
fn work_goes_on_while_the_store_is_away() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        bench.submit(0, 1, support::job(6, 3_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        bench.store.faults().set(fault::Condition::Refusing);
        time::sleep(Duration::from_millis(4_500)).await;
        bench.store.faults().set(fault::Condition::Up);
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        let records = bench.fleet.records();
        assert!(records.iter().all(|it| it.end_kind == almondpass_graph::order::EndKind::Done));
        bench.assert_nothing_ran_twice();
    });
}

/// A configuration reaches an instance that the store turns away, by a peer, and never goes back.
#[test]
fn a_configuration_travels_between_instances() {
    support::run(async {
        let bench = support::PoolBench::start(3, 1).await;
        let away = bench.non_holder();
        bench.instances[away].store_faults.set(fault::Condition::Dropping);
        bench.set_document(7).await;
        time::sleep(Duration::from_secs(4)).await;
        assert_eq!(bench.instances[away].state.document.version(), 7);
        bench.instances[away].store_faults.set(fault::Condition::Up);
        bench.set_document(3).await;
        time::sleep(Duration::from_secs(4)).await;
        assert!(bench.instances.iter().all(|it| it.state.document.version() == 7));
    });
}

/// A worker whose row lapsed while the store was away keeps its tasks.
#[test]
fn a_worker_that_is_missing_from_the_list_for_a_moment_keeps_its_tasks() {
    support::run(async {
        let bench = support::PoolBench::start(2, 1).await;
        bench.submit(0, 1, support::job(2, 6_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        let gone = model::TableWrite { key: "workers//w00".to_owned(), value: None };
        let transaction = model::TableTransaction { conditions: Vec::new(), writes: vec![gone] };
        bench.store.transact(transaction).await.expect("a write");
        time::sleep(Duration::from_secs(2)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        assert_eq!(bench.fleet.records().len(), 2);
    });
}

/// Symptom: jobs were turned away, and ends shown late, for up to a second after the store was back.
/// Sequence: the store says nothing for seconds; a call is sent just before it is back. Cause: the
/// call waited for its own answer, which never came, until its deadline.
#[test]
fn a_store_that_was_silent_is_found_at_once() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2).await;
        bench.submit(0, 1, support::job(1, 3_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        bench.store.faults().set(fault::Condition::Dropping);
        time::sleep(Duration::from_secs(4)).await;
        let submitted = bench.submit(1, 2, support::job(1, 100));
        let back = async {
            time::sleep(Duration::from_millis(100)).await;
            bench.store.faults().set(fault::Condition::Up);
            time::sleep(Duration::from_millis(300)).await;
            bench.lookup(0, 1).await
        };
        let (submitted, shown) = tokio::join!(time::timeout(SILENT_PATIENCE, submitted), back);
        assert_eq!(submitted, Ok(model::SubmitOutcome::Accepted));
        assert_eq!(shown, model::LookOutcome::Known(model::GraphState::Completed));
    });
}
