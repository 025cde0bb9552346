//! Outages of the store, for all instances or for some.

use std::time::Duration;

use almondpass_ports::table::TableService;
use almondpass_schema::model;
use almondpass_standin::fault;
use tokio::time;

use crate::support;

const SETTLING_TIME: Duration = Duration::from_secs(30);

/// The 100 ms until the store is back, and a tolerance.
const SILENT_STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// Guards against an instance that rejects its callers for as long as the store rejects the instance, because
/// it relays nothing through its peers.
#[test]
fn an_instance_rejected_by_the_store_relays_through_a_peer() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let other = bench.non_holder();
        bench.instances[other].store_faults.set(fault::Condition::Refusing);
        time::sleep(Duration::from_secs(2)).await;
        let accepted = bench.submit(other, 1, support::job(1, 500)).await;
        assert_eq!(accepted, model::SubmitOutcome::Accepted);
        bench.await_state(other, 1, model::GraphState::Completed, SETTLING_TIME).await;
        bench.submit(other, 2, support::job(1, 60_000)).await;
        assert_eq!(bench.cancel(other, 2).await, model::CancelOutcome::Cancelled);
    });
}

/// `NotRun` is returned at once, and only where no write may still take effect.
#[test]
fn a_store_that_rejects_all_instances_means_not_run() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        bench.store.faults().set(fault::Condition::Refusing);
        time::sleep(Duration::from_secs(2)).await;
        let began = time::Instant::now();
        let outcome = bench.submit(0, 1, support::job(1, 500)).await;
        assert_eq!(outcome, model::SubmitOutcome::NotRun);
        assert!(began.elapsed() < Duration::from_millis(800), "{:?}", began.elapsed());
        bench.store.faults().set(fault::Condition::Up);
        time::sleep(SETTLING_TIME).await;
        assert_eq!(bench.fleet.records(), []);
        assert_eq!(bench.lookup(0, 1).await, model::LookOutcome::Absent);
    });
}

/// A caller does not get `NotRun` where its write took effect and the store's answer was lost.
#[test]
fn a_write_whose_answer_was_lost_is_found_again() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2).await;
        let other = bench.non_holder();
        let step = <model::TableTransaction as almondpass_peer::call::PeerCall>::PATH;
        bench.instances[other].store_faults.inject_next(step, fault::Fault::AnswerLost);
        let outcome = bench.submit(other, 1, support::job(1, 500)).await;
        assert_eq!(outcome, model::SubmitOutcome::Accepted);
        bench.await_state(other, 1, model::GraphState::Completed, SETTLING_TIME).await;
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

/// Tasks run on while the store is unavailable, and their ends during the outage are saved after it.
#[test]
fn tasks_run_on_while_the_store_is_unavailable() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        bench.submit(0, 1, support::job(6, 3_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        bench.store.faults().set(fault::Condition::Refusing);
        time::sleep(Duration::from_millis(4_500)).await;
        bench.store.faults().set(fault::Condition::Up);
        bench.await_state(0, 1, model::GraphState::Completed, SETTLING_TIME).await;
        let records = bench.fleet.records();
        assert!(records.iter().all(|it| it.end_kind == almondpass_graph::order::EndKind::Done));
        bench.assert_nothing_ran_twice();
    });
}

/// A new configuration reaches an instance without access to the store through a peer, and an older one never
/// replaces it.
#[test]
fn a_configuration_reaches_a_cut_off_instance_through_a_peer() {
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

/// A worker keeps its tasks although its row has expired, as happens during an outage of the store.
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
        bench.await_state(0, 1, model::GraphState::Completed, SETTLING_TIME).await;
        assert_eq!(bench.fleet.records().len(), 2);
    });
}

/// Guards against jobs that are rejected, and ends that are shown late, for up to a second after the store is
/// back. A call sent to the silent store just before its return waits until its deadline for an answer that
/// never comes, unless the call is sent again.
#[test]
fn a_silent_store_is_used_as_soon_as_it_is_back() {
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
        let (submitted, shown) = tokio::join!(time::timeout(SILENT_STORE_TIMEOUT, submitted), back);
        assert_eq!(submitted, Ok(model::SubmitOutcome::Accepted));
        assert_eq!(shown, model::LookOutcome::Known(model::GraphState::Completed));
    });
}
