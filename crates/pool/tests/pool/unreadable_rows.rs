//! Rows of our own that a new holder can't decode: such a row is no proof of anything.

use std::time::Duration;

use almondpass_ports::keys;
use almondpass_schema::{blob, model};
use almondpass_standin::fault;
use tokio::time::{self, Instant};

use crate::support;

/// Time in which a successor has taken over, and would have started what it takes for not done.
const SETTLED_WITHIN: Duration = Duration::from_secs(20);

/// Content that is no message.
const DAMAGED: &[u8] = &[0xc1];

/// Kills the holder of two, writes a damaged row under `key` while none holds the tenure, and waits until the other
/// instance has settled.
async fn take_over_with_damaged_row(bench: &mut support::PoolBench, key: &str) {
    let holder = bench.holder();
    bench.kill(holder).await;
    bench.write(key, DAMAGED).await;
    time::sleep(SETTLED_WITHIN).await;
}

/// Guards against done tasks that run again because the row that tells of them can't be decoded, and was read as
/// absent. Other jobs run.
#[test]
fn tasks_of_a_job_whose_progress_is_unreadable_do_not_run_again() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 1).await;
        bench.submit(0, 1, support::job(40, 1_000)).await;
        time::sleep(Duration::from_millis(2_500)).await;
        take_over_with_damaged_row(&mut bench, &keys::progress(1, 0)).await;
        bench.assert_nothing_ran_twice();
        bench.submit(0, 2, support::job(4, 500)).await;
        bench.await_state(0, 2, model::GraphState::Completed, Duration::from_secs(5)).await;
        let row = bench.store.peek(&keys::progress(1, 0));
        assert_eq!(
            row.into_iter().map(|it| it.value).collect::<Vec<_>>(),
            [Some(blob::Blob::from(DAMAGED.to_vec()))]
        );
    });
}

/// Guards against tasks that run twice at a time: the page of the roster that names a silent worker can't be decoded,
/// and the successor did not wait for the worker's lease.
#[test]
fn a_successor_waits_for_workers_of_an_unreadable_roster_page() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 3).await;
        bench.submit(0, 1, support::job(16, 12_000)).await;
        time::sleep(Duration::from_secs(3)).await;
        let (silent, _) = bench.fleet.running().into_iter().next().expect("a run");
        bench.fleet.faults(&silent).set(fault::Condition::Dropping);
        bench.put(&support::entry_key(support::index_of(&silent)), None).await;
        take_over_with_damaged_row(&mut bench, &keys::roster(0)).await;
        bench.assert_nothing_ran_twice();
    });
}

/// Guards against a second holder with a lower epoch: the tenure's row can't be decoded, and was read as absent.
#[test]
fn an_unreadable_row_of_the_tenure_is_not_taken_for_a_free_one() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 1).await;
        time::sleep(Duration::from_secs(3)).await;
        let holder = bench.holder();
        let epoch = bench.instances[holder].state.leader().expect("a holder").epoch;
        bench.kill(holder).await;
        bench.write(&keys::pool_tenure(), DAMAGED).await;
        let until = Instant::now() + SETTLED_WITHIN;
        while Instant::now() < until {
            let leader = bench.instances[0].state.leader();
            assert!(leader.is_none_or(|it| it.epoch > epoch), "a tenure of a lower epoch");
            time::sleep(Duration::from_millis(100)).await;
        }
    });
}
