//! The row of the learned speeds of workers: read at a takeover, and written by the holder.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_peer::codec;
use almondpass_ports::keys;
use almondpass_schema::model;
use almondpass_standin::{fault, table};
use tokio::time::{self, Instant};

use crate::support;

/// Workers of the bench.
const N_WORKERS: usize = 16;

/// Time in which a successor takes over, and its first check of the row is due.
const TAKEOVER_TIME: Duration = Duration::from_secs(25);

async fn start(n_instances: usize) -> support::PoolBench {
    let scheduling =
        model::SchedulingSettings { remember_speeds: true, ..model::SchedulingSettings::default() };
    support::PoolBench::start_with_scheduling(n_instances, N_WORKERS, scheduling).await
}

/// A row that names the workers of the bench, fast and slow ones in turn, and one that has left.
fn speed_row(bench: &support::PoolBench) -> model::SpeedRow {
    let entry = |index: usize| {
        let worker = support::worker_id(index);
        let incarnation = bench.fleet.incarnation(&worker);
        let percent = if index.is_multiple_of(2) { 160 } else { 60 };
        model::SpeedEntry { worker, incarnation, percent, samples: 8 }
    };
    model::SpeedRow { noise_percent: 15, workers: (0..=N_WORKERS).map(entry).collect() }
}

fn encoded(row: &model::SpeedRow) -> Vec<u8> {
    codec::encode(row).expect("a message").to_vec()
}

/// Workers that the row in the store names; `None` if it can't be decoded.
fn stored_workers(bench: &support::PoolBench) -> Option<usize> {
    let rows = bench.store.peek(&keys::speeds());
    let row = codec::decode::<model::SpeedRow>(rows.first()?.value.as_ref()?).ok()?;
    Some(row.workers.len())
}

/// Stores a row, kills the holder, and lets its successor run a job.
async fn take_over_with(bench: &mut support::PoolBench, row: &[u8]) {
    bench.write(&keys::speeds(), row).await;
    let holder = bench.holder();
    bench.kill(holder).await;
    time::sleep(TAKEOVER_TIME).await;
    bench.submit(0, 1, support::job(8, 1_000)).await;
    bench.await_state(0, 1, model::GraphState::Completed, TAKEOVER_TIME).await;
    time::sleep(TAKEOVER_TIME).await;
    bench.assert_nothing_ran_twice();
}

#[test]
fn a_successor_reads_the_row_and_writes_its_own() {
    support::run(async {
        let mut bench = start(2).await;
        let row = encoded(&speed_row(&bench));
        take_over_with(&mut bench, &row).await;
        assert_eq!(stored_workers(&bench), Some(N_WORKERS));
    });
}

async fn check_useless_row(row: &[u8]) {
    let mut bench = start(2).await;
    take_over_with(&mut bench, row).await;
    assert_eq!(bench.fleet.records().len(), 8);
}

macro_rules! useless_rows {
    ($($(#[$doc:meta])* $name:ident: $row:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { support::run(check_useless_row($row)); })*
    };
}

useless_rows! {
    /// Guards against a takeover that fails because the row can't be decoded.
    a_row_that_cannot_be_decoded_loses_only_the_speeds: b"\xc1\xff";
    /// Guards against a takeover that fails because another release writes the row in another form.
    a_row_of_another_release_loses_only_the_speeds: b"\x81\xa5other\x01";
    an_empty_row_loses_only_the_speeds: b"";
}

/// Guards against a refused row of speeds that costs the holder its tenure or delays other rows.
#[test]
fn a_refused_row_affects_neither_the_tenure_nor_jobs() {
    support::run(async {
        let mut bench = start(2).await;
        let row = encoded(&speed_row(&bench));
        bench.write(&keys::speeds(), &row).await;
        let read_only_rows = BTreeSet::from([keys::speeds()]);
        bench.store.set_limits(table::TableLimits { read_only_rows, ..support::platform_limits() });
        let holder = bench.holder();
        bench.kill(holder).await;
        time::sleep(TAKEOVER_TIME).await;
        let epoch = bench.instances[0].state.leader().expect("a tenure").epoch;
        bench.submit(0, 1, support::job(8, 1_000)).await;
        bench.await_state(0, 1, model::GraphState::Completed, TAKEOVER_TIME).await;
        time::sleep(TAKEOVER_TIME).await;
        let leader = bench.instances[0].state.leader().expect("a tenure");
        assert_eq!(leader.epoch, epoch);
        assert_eq!(leader.core().n_refused_rows(), 1, "the row was written and refused");
        assert_eq!(stored_workers(&bench), Some(N_WORKERS + 1), "the row is as it was");
    });
}

/// Time from the end of the holder to the first start by its successor, while the store is slow.
async fn time_to_first_start(has_row: bool) -> Duration {
    let mut bench = start(2).await;
    if has_row {
        let row = encoded(&speed_row(&bench));
        bench.write(&keys::speeds(), &row).await;
    }
    bench.store.faults().set(fault::Condition::Slow(Duration::from_millis(200)));
    let holder = bench.holder();
    bench.kill(holder).await;
    let killed_at = Instant::now();
    bench.submit(0, 1, support::job(1, 1_000)).await;
    while bench.fleet.records().is_empty() {
        time::sleep(Duration::from_millis(10)).await;
    }
    killed_at.elapsed()
}

/// Guards against a first round that waits for the row of speeds while the store is slow.
#[test]
fn the_row_does_not_delay_a_takeover() {
    let without = support::run(time_to_first_start(false));
    let with = support::run(time_to_first_start(true));
    println!("first start after {without:?} without the row, {with:?} with it");
    assert!(with <= without + Duration::from_millis(20), "{with:?} instead of {without:?}");
}
