//! Delivery of jobs to the tenure holder while its feeds fail.

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

const SETTLING_TIME: Duration = Duration::from_secs(5);

/// More calls than any feed makes in these tests.
const N_FEED_CALLS: u64 = 400;

/// Loses all calls of an instance's feeds from now on; other calls are answered.
fn lose_feed_calls(instance: &support::BenchInstance) {
    for nth in 1..=N_FEED_CALLS {
        instance.store_faults.inject_nth(table::FOLLOW_STEP, nth, fault::Fault::RequestLost);
        instance.store_faults.inject_nth(table::SNAPSHOT_STEP, nth, fault::Fault::RequestLost);
    }
}

/// Rejects the next nudge from one instance to another.
fn reject_next_nudge(bench: &support::PoolBench, from: usize, to: usize) {
    let address = |it: usize| bench.instances[it].address.as_str();
    let path = bench.net.path_faults(address(from), address(to));
    path.inject_next(model::GraphNudge::PATH, fault::Fault::Refused);
}

/// Guards against a job that waits for the feed because its only nudge was lost.
#[test]
fn a_lost_nudge_is_repeated() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        lose_feed_calls(&bench.instances[holder]);
        reject_next_nudge(&bench, other, holder);
        bench.submit(other, 1, support::job(1, 500)).await;
        bench.await_state(other, 1, model::GraphState::Completed, SETTLING_TIME).await;
    });
}

/// Guards against a job that waits for the feed because the answer to its write was lost.
#[test]
fn a_repeated_write_that_finds_its_own_row_is_followed_by_a_nudge() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        lose_feed_calls(&bench.instances[holder]);
        let step = model::TableTransaction::PATH;
        bench.instances[other].store_faults.inject_next(step, fault::Fault::AnswerLost);
        let accepted = bench.submit(other, 1, support::job(1, 500)).await;
        assert_eq!(accepted, model::SubmitOutcome::Accepted);
        bench.await_state(other, 1, model::GraphState::Completed, SETTLING_TIME).await;
    });
}

/// Guards against a task that runs on because the nudge of its job's cancellation was lost.
#[test]
fn a_lost_nudge_of_a_cancellation_is_repeated() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        bench.submit(other, 1, support::job(1, 60_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        lose_feed_calls(&bench.instances[holder]);
        reject_next_nudge(&bench, other, holder);
        assert_eq!(bench.cancel(other, 1).await, model::CancelOutcome::Cancelled);
        time::sleep(Duration::from_secs(2)).await;
        let records = bench.fleet.records();
        assert_eq!(
            records.iter().map(|it| it.end_kind).collect::<Vec<_>>(),
            [order::EndKind::Stopped]
        );
    });
}

/// Guards against a stored job that is never scheduled because the holder does not know it.
#[test]
fn an_unknown_job_is_recovered_when_its_state_is_queried() {
    support::run(async {
        let bench = support::PoolBench::start(3, 0).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        bench.submit(other, 1, support::job(1, 500)).await;
        time::sleep(Duration::from_secs(1)).await;
        bench.instances[holder].state.leader().expect("a tenure").core().forget_job(1);
        bench.add_worker(0).await;
        time::sleep(SETTLING_TIME).await;
        bench.await_state(other, 1, model::GraphState::Completed, SETTLING_TIME).await;
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

/// Guards against a job that runs once more because a nudge arrives after the job was forgotten.
#[test]
fn a_late_nudge_of_a_forgotten_job_starts_nothing() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        bench.submit(other, 1, support::job(1, 500)).await;
        bench.await_state(other, 1, model::GraphState::Completed, SETTLING_TIME).await;
        let version = bench.store.peek(&keys::graph(1)).first().map_or(0, |it| it.version);
        bench.remove(&keys::graph(1)).await;
        bench.instances[holder].state.leader().expect("a tenure").core().forget_job(1);
        time::sleep(Duration::from_secs(1)).await;
        let nudge = model::GraphNudge { graph: 1, version, row: support::job(1, 500) };
        let link = bench.net.link(&bench.instances[other].address);
        let taken = link.call(&bench.instances[holder].address, nudge, SETTLING_TIME).await;
        assert!(taken.is_ok(), "{taken:?}");
        time::sleep(SETTLING_TIME).await;
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

/// Guards against a job about which the holder is never nudged again because a nudge of the job has panicked.
#[test]
fn a_panicking_nudge_does_not_block_later_nudges() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        lose_feed_calls(&bench.instances[holder]);
        let address = |it: usize| bench.instances[it].address.as_str();
        let path = bench.net.path_faults(address(other), address(holder));
        path.inject_next(model::GraphNudge::PATH, fault::Fault::CallerPanics);
        bench.submit(other, 1, support::job(1, 500)).await;
        bench.await_state(other, 1, model::GraphState::Completed, SETTLING_TIME).await;
    });
}

/// Guards against a missed job that is never admitted because one read of its rows has panicked.
#[test]
fn a_panicking_recovery_does_not_block_later_recoveries() {
    support::run(async {
        let bench = support::PoolBench::start(3, 0).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        bench.submit(other, 1, support::job(1, 500)).await;
        time::sleep(Duration::from_secs(1)).await;
        bench.instances[holder].state.leader().expect("a tenure").core().forget_job(1);
        bench.add_worker(0).await;
        time::sleep(SETTLING_TIME).await;
        bench.instances[holder]
            .store_faults
            .inject_next(model::TableGet::PATH, fault::Fault::CallerPanics);
        bench.await_state(other, 1, model::GraphState::Completed, SETTLING_TIME).await;
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

/// Guards against a job that runs once more because the job is forgotten while its rows are read one by one.
#[test]
fn a_job_that_is_forgotten_while_its_rows_are_read_starts_nothing() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        bench.submit(other, 1, support::job(1, 500)).await;
        bench.await_state(other, 1, model::GraphState::Completed, SETTLING_TIME).await;
        let version = bench.store.peek(&keys::graph(1)).first().map_or(0, |it| it.version);
        bench.instances[holder].state.leader().expect("a tenure").core().forget_job(1);
        let slow = fault::Fault::Slow(Duration::from_millis(500));
        let store_faults = &bench.instances[holder].store_faults;
        (1..=N_FEED_CALLS)
            .for_each(|nth| store_faults.inject_nth(model::TableGet::PATH, nth, slow));
        let nudge = model::GraphNudge { graph: 1, version, row: support::job(1, 500) };
        let link = bench.net.link(&bench.instances[other].address);
        let taken = link.call(&bench.instances[holder].address, nudge, SETTLING_TIME).await;
        assert!(taken.is_ok(), "{taken:?}");
        // The row of its acceptance has been read, the rows of its progress have not.
        time::sleep(Duration::from_millis(500)).await;
        bench.remove(&keys::graph(1)).await;
        bench.remove(&keys::progress(1, 0)).await;
        time::sleep(2 * SETTLING_TIME).await;
        assert_eq!(bench.fleet.records().len(), 1);
    });
}

/// Guards against a holder of the former release whose answers to nudges can't be decoded.
#[test]
fn an_answer_of_the_former_release_counts_as_an_acknowledgement() {
    let former = codec::encode(&model::Ack {}).expect("an answer");
    let read = codec::decode::<model::NudgeTaken>(&former).expect("an answer that can be read");
    assert_eq!(read.known, None);
}
