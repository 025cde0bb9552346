//! The holder of the tenure goes, and another takes over.

use std::time::Duration;

use almondpass_graph::order;
use almondpass_schema::model;
use almondpass_standin::{fault, pool_fleet, pool_worker, table};
use tokio::time;

use crate::support;

const SOON: Duration = Duration::from_secs(30);

/// Tables that a successor reads at once.
const N_TABLES: u64 = 4;

/// Tasks run on through the takeover, and none starts twice.
#[test]
fn tasks_outlive_the_scheduler_that_started_them() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 2).await;
        bench.submit(0, 1, support::job(8, 5_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        let holder = bench.holder();
        bench.kill(holder).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        bench.assert_nothing_ran_twice();
        assert_eq!(bench.fleet.records().len(), 8);
    });
}

/// An accepted job is never lost, though everything that knew of it is gone.
#[test]
fn a_job_outlives_all_instances() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 2).await;
        let accepted = bench.submit(0, 1, support::job(3, 2_000)).await;
        assert_eq!(accepted, model::SubmitOutcome::Accepted);
        let mut addresses = Vec::new();
        while !bench.instances.is_empty() {
            addresses.push(bench.kill(0).await);
        }
        time::sleep(Duration::from_secs(1)).await;
        for address in addresses {
            bench.start_instance(&address);
        }
        time::sleep(Duration::from_secs(1)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        bench.assert_nothing_ran_twice();
    });
}

/// Symptom: after a power loss of all instances nobody scheduled for 0.8 s more than it took to start.
/// Sequence: the former holder's machine starts; it reads the tenure's row before it has read the
/// configuration. Cause: without a configuration it waited for its next look at the row.
#[test]
fn a_holder_that_starts_again_schedules_at_once() {
    support::run(async {
        let mut bench = support::PoolBench::start(1, 2).await;
        let address = bench.kill(0).await;
        time::sleep(Duration::from_secs(1)).await;
        bench.store.faults().set(fault::Condition::Slow(Duration::from_millis(5)));
        bench.start_instance(&address);
        time::sleep(Duration::from_millis(100)).await;
        assert!(bench.instances[0].state.lead().is_some());
    });
}

/// Symptom: after a power loss of all instances, jobs that had not started yet waited for 13 s.
/// Sequence: a worker has left; all instances go and come back. Cause: the successor waited for
/// everything that might run on the worker, although the earlier holder knew that nothing did.
#[test]
fn a_worker_that_has_left_holds_up_no_successor() {
    support::run(async {
        let mut bench = support::PoolBench::start(1, 2).await;
        bench.drain_worker(1).await;
        bench.submit(0, 1, support::job(8, 60_000)).await;
        bench.submit(0, 2, support::job(1, 500)).await;
        time::sleep(Duration::from_secs(3)).await;
        bench.fleet.faults(&support::worker_id(1)).set(fault::Condition::Silent);
        bench.remove(&support::entry_key(1)).await;
        time::sleep(Duration::from_secs(1)).await;
        assert_waiting_job_starts(&mut bench, Duration::from_secs(2)).await;
    });
}

/// The earlier process at the own address is over, and so are its orders.
#[test]
fn an_unreachable_worker_holds_up_a_restarted_holder_for_its_lease() {
    support::run(async {
        let mut bench = support::PoolBench::start(1, 2).await;
        bench.submit(0, 1, support::job(16, 60_000)).await;
        bench.submit(0, 2, support::job(1, 500)).await;
        time::sleep(Duration::from_secs(3)).await;
        bench.fleet.faults(&support::worker_id(1)).set(fault::Condition::Silent);
        assert_waiting_job_starts(&mut bench, Duration::from_secs(8)).await;
    });
}

/// The only instance is killed and starts again. Job 1 is cancelled, and job 2, which waits for its
/// room, has to end within `limit`.
async fn assert_waiting_job_starts(bench: &mut support::PoolBench, limit: Duration) {
    let address = bench.kill(0).await;
    time::sleep(Duration::from_secs(1)).await;
    bench.start_instance(&address);
    time::sleep(Duration::from_millis(200)).await;
    bench.cancel(0, 1).await;
    bench.await_state(0, 2, model::GraphState::Completed, limit).await;
    bench.assert_nothing_ran_twice();
}

/// A worker that the new scheduler can't reach may run anything that is not found elsewhere: it
/// waits for the lease there.
#[test]
fn nothing_starts_elsewhere_while_an_unreachable_worker_may_run_it() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 2).await;
        bench.submit(0, 1, support::job(12, 30_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        let holder = bench.holder();
        bench.fleet.faults(&support::worker_id(0)).set(fault::Condition::Silent);
        bench.kill(holder).await;
        time::sleep(Duration::from_secs(45)).await;
        bench.fleet.faults(&support::worker_id(0)).set(fault::Condition::Up);
        time::sleep(Duration::from_secs(45)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        bench.assert_nothing_ran_twice();
    });
}

/// A holder that is cut off from the store alone goes on until another shows up at the workers;
/// from then on its orders have no effect.
#[test]
fn a_holder_without_the_store_is_fenced_at_the_workers() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        bench.submit(0, 1, support::job(8, 4_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        let old = bench.holder();
        bench.instances[old].to_store.set(fault::Condition::Silent);
        time::sleep(Duration::from_secs(6)).await;
        let holders = bench.instances.iter().filter(|it| it.state.lead().is_some()).count();
        assert_eq!(holders, 1);
        assert!(bench.instances[old].state.lead().is_none());
        let other = (old + 1) % 3;
        bench.await_state(other, 1, model::GraphState::Completed, SOON).await;
        bench.assert_nothing_ran_twice();
    });
}

/// A process that is asked to leave hands the tenure on within a look of the next one.
#[test]
fn a_leaving_holder_hands_over_at_once() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let old = bench.holder();
        bench.instances[old].state.leaving.cancel();
        time::sleep(Duration::from_millis(1_000)).await;
        assert_ne!(bench.holder(), old);
    });
}

/// Symptom: one instance after the other took the tenure, and none got as far as to schedule.
/// Sequence: the holder is gone; its successor's reads of the tables take longer than the term.
/// Cause: it did not renew the tenure before it had read them.
#[test]
fn a_successor_keeps_the_tenure_while_it_reads() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 2).await;
        bench.submit(0, 1, support::job(8, 5_000)).await;
        let holder = bench.holder();
        let epoch = bench.instances[holder].state.lead().expect("a tenure").epoch;
        bench.kill(holder).await;
        for instance in &bench.instances {
            for nth in 1..=2 * N_TABLES {
                instance.to_store.nth(table::SNAPSHOT, nth, fault::Fault::RequestLost);
            }
        }
        time::sleep(Duration::from_secs(9)).await;
        let lead = bench.instances[bench.holder()].state.lead().expect("a tenure");
        assert_eq!(lead.epoch, epoch + 1);
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        bench.assert_nothing_ran_twice();
    });
}

/// A start whose answer is lost, with the task running: it is found, not started again.
#[test]
fn a_start_without_answer_is_settled_by_a_look() {
    support::run(async {
        let bench = support::PoolBench::start(1, 1).await;
        let faults = bench.fleet.faults(&support::worker_id(0));
        faults.next(pool_fleet::START, fault::Fault::AnswerLost);
        bench.submit(0, 1, support::job(1, 2_000)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        let records = bench.fleet.records();
        assert_eq!(records.iter().map(|it| it.how).collect::<Vec<_>>(), [order::EndKind::Done]);
    });
}

/// A start that is carried out seconds later, when its task has long run elsewhere.
#[test]
fn a_late_start_finds_itself_refused() {
    support::run(async {
        let bench = support::PoolBench::start(1, 2).await;
        for worker in 0..2 {
            let late = fault::Fault::DelayedEffect(Duration::from_secs(4));
            bench.fleet.faults(&support::worker_id(worker)).next(pool_fleet::START, late);
        }
        bench.submit(0, 1, support::job(1, 1_000)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        time::sleep(Duration::from_secs(8)).await;
        bench.assert_nothing_ran_twice();
    });
}

/// The store has forgotten its history just when a job was accepted and the nudge was lost.
#[test]
fn a_job_is_found_although_the_history_is_gone() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let (holder, other) = (bench.holder(), bench.other());
        let from = bench.instances[other].address.clone();
        let to = bench.instances[holder].address.clone();
        bench.net.partition(&[&from], &[&to], fault::Condition::Refusing);
        bench.submit(other, 1, support::job(1, 500)).await;
        bench.store.forget_history();
        bench.await_state(other, 1, model::GraphState::Completed, SOON).await;
    });
}

/// A worker that had long been found silent held up each job that the next holder had not accepted itself.
#[test]
fn a_worker_that_was_found_silent_holds_up_no_successor() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 3).await;
        bench.submit(0, 1, support::job(6, 60_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        assert_eq!(bench.fleet.n_running(), 6);
        bench.fleet.faults(&support::worker_id(0)).set(fault::Condition::Silent);
        time::sleep(Duration::from_secs(4)).await;
        let holder = bench.holder();
        bench.kill(holder).await;
        bench.submit(0, 2, support::job(1, 500)).await;
        bench.await_state(0, 2, model::GraphState::Completed, Duration::from_secs(6)).await;
        time::sleep(Duration::from_secs(20)).await;
        bench.fleet.faults(&support::worker_id(0)).set(fault::Condition::Up);
        bench.await_state(0, 1, model::GraphState::Completed, 4 * SOON).await;
        bench.assert_nothing_ran_twice();
        let was_there = |it: &pool_worker::RunRecord| it.worker == support::worker_id(0);
        assert_eq!(bench.fleet.records().iter().filter(|it| was_there(it)).count(), 6);
    });
}
