//! Instances of different strength: the strongest one should hold the tenure.

use std::time::Duration;

use almondpass_ports::keys;
use almondpass_schema::model;
use tokio::time;

use crate::support;

const WEAK: u32 = 120;
const STRONG: u32 = 500;

/// Upper bound for a lease: tasks of a scheduler that has ended stop within this time.
const LEASE_BOUND: Duration = Duration::from_millis(7_200);
const STRONG_ADDRESS: &str = "10.0.9.1:7000";

/// Guards against a weak instance that holds the tenure for the day; on some days urgent work was late from
/// the beginning, and on one day in 25 nearly all work was. All instances start for the first time, those on
/// weak machines slightly earlier, and one of these acquires the tenure: it checked whether a stronger
/// instance was listed while most had not written their rows yet.
#[test]
fn a_weak_instance_that_starts_first_leaves_the_tenure_to_a_stronger_one() {
    support::run(async {
        let mut bench = support::PoolBench::start(0, 2).await;
        for index in 0..4 {
            bench.start_instance_with_strength(&format!("10.0.0.{}:7000", index + 1), WEAK);
        }
        time::sleep(Duration::from_millis(700)).await;
        let strong = bench.start_instance_with_strength(STRONG_ADDRESS, STRONG);
        time::sleep(Duration::from_secs(4)).await;
        let leader = bench.instances[strong].state.leader().expect("a tenure");
        assert_eq!(leader.epoch, 1);
    });
}

/// A stronger instance that starts later gets the tenure, and running tasks go on.
#[test]
fn a_weak_holder_hands_over_to_a_stronger_instance() {
    support::run(async {
        let mut bench = support::PoolBench::start(0, 2).await;
        bench.start_instance_with_strength("10.0.0.1:7000", WEAK);
        bench.start_instance_with_strength("10.0.0.2:7000", WEAK);
        time::sleep(Duration::from_secs(8)).await;
        bench.submit(0, 1, support::job(8, 20_000)).await;
        let strong = bench.start_instance_with_strength(STRONG_ADDRESS, STRONG);
        time::sleep(Duration::from_secs(9)).await;
        assert_eq!(bench.holder(), strong);
        bench.await_state(0, 1, model::GraphState::Completed, Duration::from_secs(30)).await;
        bench.assert_nothing_ran_twice();
        assert_eq!(bench.fleet.records().len(), 8);
    });
}

/// The row of a machine that is gone stays in the store: the tenure is offered to that machine only once.
#[test]
fn a_weak_holder_offers_the_tenure_once() {
    support::run(async {
        let mut bench = support::PoolBench::start(0, 2).await;
        let strong = bench.start_instance_with_strength(STRONG_ADDRESS, STRONG);
        time::sleep(Duration::from_secs(4)).await;
        bench.kill(strong).await;
        let weak = bench.start_instance_with_strength("10.0.0.1:7000", WEAK);
        time::sleep(Duration::from_secs(30)).await;
        let epoch = bench.instances[weak].state.leader().expect("a tenure").epoch;
        time::sleep(Duration::from_secs(60)).await;
        assert_eq!(bench.instances[weak].state.leader().expect("a tenure").epoch, epoch);
        assert!(epoch <= 3, "{epoch}");
    });
}

/// Guards against instances with 0.12 cores that spend their time on reading: 147 instances read the rows of
/// all 147 every 6 s. The amount read grew with the square of the number of instances, although rows hardly
/// ever change.
#[test]
fn instances_read_each_others_rows_once() {
    support::run(async {
        let bench = support::PoolBench::start(6, 1).await;
        let n_rows_before = bench.store.rows_returned(keys::INSTANCES);
        time::sleep(Duration::from_secs(120)).await;
        assert!(
            bench.store.rows_returned(keys::INSTANCES) - n_rows_before <= 6,
            "nothing has changed"
        );
    });
}

/// Guards against repeated hand-overs while a worker does not answer: after each of them, accepted jobs would
/// again wait for that worker's lease.
#[test]
fn a_tenure_is_not_handed_over_while_a_worker_does_not_answer() {
    support::run(async {
        let mut bench = support::PoolBench::start(0, 16).await;
        bench.start_instance_with_strength(STRONG_ADDRESS, STRONG);
        bench.start_instance_with_strength("10.0.0.1:7000", WEAK);
        time::sleep(Duration::from_secs(8)).await;
        bench.start_heartbeats();
        bench.crash_worker(0, support::RestartMode::Never, Duration::ZERO);
        bench.kill(0).await;
        let accepted = bench.submit(0, 1, support::job(2, 20_000)).await;
        assert_eq!(accepted, model::SubmitOutcome::Accepted);
        time::sleep(Duration::from_secs(3)).await;
        assert_eq!(bench.latest_holder(), Some(0));
        let strong = bench.start_instance_with_strength(STRONG_ADDRESS, STRONG);
        time::sleep(LEASE_BOUND).await;
        assert_eq!(bench.fleet.running().len(), 2);
        time::sleep(Duration::from_secs(9)).await;
        assert_eq!(bench.holder(), strong);
    });
}
