//! How the holder of the tenure learns of jobs while its feeds stand still.

use std::time::Duration;

use almondpass_graph::order;
use almondpass_peer::call::PeerCall;
use almondpass_peer::codec;
use almondpass_peer::link::PeerLink;
use almondpass_ports::keys;
use almondpass_schema::model;
use almondpass_standin::{fault, table};
use tokio::time;

use crate::support;

const SOON: Duration = Duration::from_secs(5);

/// More calls than feeds make in any of these tests.
const N_LOST: u64 = 400;

/// No feed of an instance is answered any more; everything else is.
fn stop_feeds(instance: &support::BenchInstance) {
    for nth in 1..=N_LOST {
        instance.store_faults.inject_nth(table::FOLLOW_STEP, nth, fault::Fault::RequestLost);
        instance.store_faults.inject_nth(table::SNAPSHOT_STEP, nth, fault::Fault::RequestLost);
    }
}

/// The next nudge of one instance to another is lost.
fn lose_nudge(bench: &support::PoolBench, from: usize, to: usize) {
    let address = |it: usize| bench.instances[it].address.as_str();
    let path = bench.net.path_faults(address(from), address(to));
    path.inject_next(model::GraphNudge::PATH, fault::Fault::Refused);
}

/// Guards against a job that waits for the feed because its one nudge was lost.
#[test]
fn a_lost_nudge_is_repeated() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        stop_feeds(&bench.instances[holder]);
        lose_nudge(&bench, other, holder);
        bench.submit(other, 1, support::job(1, 500)).await;
        bench.await_state(other, 1, model::GraphState::Completed, SOON).await;
    });
}

/// Guards against a job that waits for the feed because the answer to its write was lost.
#[test]
fn a_write_that_meets_its_own_row_is_followed_by_a_nudge() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        stop_feeds(&bench.instances[holder]);
        let step = model::TableTransaction::PATH;
        bench.instances[other].store_faults.inject_next(step, fault::Fault::AnswerLost);
        let accepted = bench.submit(other, 1, support::job(1, 500)).await;
        assert_eq!(accepted, model::SubmitOutcome::Accepted);
        bench.await_state(other, 1, model::GraphState::Completed, SOON).await;
    });
}

/// Guards against a task that runs on because the nudge of its job's cancelling was lost.
#[test]
fn a_lost_nudge_of_a_cancelling_is_repeated() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        bench.submit(other, 1, support::job(1, 60_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        stop_feeds(&bench.instances[holder]);
        lose_nudge(&bench, other, holder);
        assert_eq!(bench.cancel(other, 1).await, model::CancelOutcome::Cancelled);
        time::sleep(Duration::from_secs(2)).await;
        let records = bench.fleet.records();
        assert_eq!(
            records.iter().map(|it| it.end_kind).collect::<Vec<_>>(),
            [order::EndKind::Stopped]
        );
    });
}

/// Guards against a job that nobody schedules: one that the holder does not know although it is stored.
#[test]
fn a_job_that_the_holder_does_not_know_is_taken_in_once_asked_for() {
    support::run(async {
        let bench = support::PoolBench::start(3, 0).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        bench.submit(other, 1, support::job(1, 500)).await;
        time::sleep(Duration::from_secs(1)).await;
        bench.instances[holder].state.leader().expect("a tenure").core().forget_job(1);
        bench.add_worker(0).await;
        time::sleep(SOON).await;
        bench.await_state(other, 1, model::GraphState::Completed, SOON).await;
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

/// Guards against a job that runs once more because a nudge arrives after it was forgotten.
#[test]
fn a_late_nudge_of_a_forgotten_job_starts_nothing() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        bench.submit(other, 1, support::job(1, 500)).await;
        bench.await_state(other, 1, model::GraphState::Completed, SOON).await;
        let version = bench.store.peek(&keys::graph(1)).first().map_or(0, |it| it.version);
        bench.remove(&keys::graph(1)).await;
        bench.instances[holder].state.leader().expect("a tenure").core().forget_job(1);
        time::sleep(Duration::from_secs(1)).await;
        let nudge = model::GraphNudge { graph: 1, version, row: support::job(1, 500) };
        let link = bench.net.link(&bench.instances[other].address);
        let taken = link.call(&bench.instances[holder].address, nudge, SOON).await;
        assert!(taken.is_ok(), "{taken:?}");
        time::sleep(SOON).await;
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

/// Guards against a job of which the holder is never told again because a nudge of it has panicked.
#[test]
fn a_nudge_that_panics_is_followed_by_others() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        stop_feeds(&bench.instances[holder]);
        let address = |it: usize| bench.instances[it].address.as_str();
        let path = bench.net.path_faults(address(other), address(holder));
        path.inject_next(model::GraphNudge::PATH, fault::Fault::CallerPanics);
        bench.submit(other, 1, support::job(1, 500)).await;
        bench.await_state(other, 1, model::GraphState::Completed, SOON).await;
    });
}

/// Guards against a job that is never taken in because one reading of its rows has panicked.
#[test]
fn a_reading_of_a_missed_job_that_panics_is_followed_by_others() {
    support::run(async {
        let bench = support::PoolBench::start(3, 0).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        bench.submit(other, 1, support::job(1, 500)).await;
        time::sleep(Duration::from_secs(1)).await;
        bench.instances[holder].state.leader().expect("a tenure").core().forget_job(1);
        bench.add_worker(0).await;
        time::sleep(SOON).await;
        bench.instances[holder]
            .store_faults
            .inject_next(model::TableGet::PATH, fault::Fault::CallerPanics);
        bench.await_state(other, 1, model::GraphState::Completed, SOON).await;
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

/// Guards against a job that runs once more because it is forgotten while its rows are read one by one.
#[test]
fn a_job_that_is_forgotten_while_its_rows_are_read_starts_nothing() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        bench.submit(other, 1, support::job(1, 500)).await;
        bench.await_state(other, 1, model::GraphState::Completed, SOON).await;
        let version = bench.store.peek(&keys::graph(1)).first().map_or(0, |it| it.version);
        bench.instances[holder].state.leader().expect("a tenure").core().forget_job(1);
        let slow = fault::Fault::Slow(Duration::from_millis(500));
        let store_faults = &bench.instances[holder].store_faults;
        (1..=N_LOST).for_each(|nth| store_faults.inject_nth(model::TableGet::PATH, nth, slow));
        let nudge = model::GraphNudge { graph: 1, version, row: support::job(1, 500) };
        let link = bench.net.link(&bench.instances[other].address);
        let taken = link.call(&bench.instances[holder].address, nudge, SOON).await;
        assert!(taken.is_ok(), "{taken:?}");
        // Between the reading of its acceptance and that of its progress.
        time::sleep(Duration::from_millis(500)).await;
        bench.remove(&keys::graph(1)).await;
        bench.remove(&keys::progress(1, 0)).await;
        time::sleep(2 * SOON).await;
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

/// Guards against a holder of the former release whose answers can't be read.
#[test]
fn an_answer_of_the_former_release_counts_as_taken() {
    let former = codec::encode(&model::Ack {}).expect("an answer");
    let read = codec::decode::<model::NudgeTaken>(&former).expect("an answer that can be read");
    assert_eq!(read.known, None);
}
