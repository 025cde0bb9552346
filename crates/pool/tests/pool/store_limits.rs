//! Limits of the store: rows that it rejects, and tables that take many reads.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use almondpass_standin::{fault, table};
use tokio::time;

use crate::support;

const SETTLING_TIME: Duration = Duration::from_secs(30);

fn tenure_epoch(bench: &support::PoolBench) -> ids::Epoch {
    let leader = bench.instances[bench.holder()].state.leader();
    leader.expect("a tenure").epoch
}

/// Guards against a roster (the list of workers that may run tasks) in a single row, which grows with the
/// number of workers. With 1,100 workers the store rejected the row as too long, the holder sent the same
/// write again until its tenure lapsed, as did each successor, and nearly no job ran.
#[test]
fn more_workers_than_fit_in_a_row_get_tasks() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 0).await;
        bench
            .store
            .set_limits(table::TableLimits { row_bytes: 4_096, ..support::platform_limits() });
        for index in 0..200 {
            bench.add_worker(index).await;
        }
        time::sleep(Duration::from_secs(5)).await;
        let epoch = tenure_epoch(&bench);
        bench.submit(0, 1, support::job(1_600, 2_000)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SETTLING_TIME).await;
        assert_eq!(tenure_epoch(&bench), epoch);
        let holder = bench.holder();
        bench.kill(holder).await;
        bench.submit(0, 2, support::job(1_600, 2_000)).await;
        bench.await_state(0, 2, model::GraphState::Completed, SETTLING_TIME).await;
        bench.assert_nothing_ran_twice();
    });
}

/// Guards against a single rejected row that costs every holder its tenure. The row is in one write with all
/// other rows and the renewal; if a permanent rejection is treated as an outage, the same write is sent, and
/// rejected, again and again.
#[test]
fn a_rejected_row_affects_neither_the_tenure_nor_other_jobs() {
    support::run(async {
        let bench = support::PoolBench::start(2, 4).await;
        let epoch = tenure_epoch(&bench);
        let read_only_rows = BTreeSet::from([keys::progress(1, 0)]);
        bench.store.set_limits(table::TableLimits { read_only_rows, ..support::platform_limits() });
        for graph in 1..=6 {
            bench.submit(0, graph, support::job(4, 1_000)).await;
        }
        for graph in 2..=6 {
            bench.await_state(0, graph, model::GraphState::Completed, SETTLING_TIME).await;
        }
        // Long enough for the holder to write the row again.
        time::sleep(Duration::from_secs(25)).await;
        assert_eq!(
            bench.lookup(0, 1).await,
            model::LookOutcome::Known(model::GraphState::Running),
            "an end is shown only once it is durable"
        );
        assert_eq!(tenure_epoch(&bench), epoch);
        bench.store.set_limits(support::platform_limits());
        bench.await_state(0, 1, model::GraphState::Completed, SETTLING_TIME).await;
        assert_eq!(tenure_epoch(&bench), epoch);
        bench.assert_nothing_ran_twice();
    });
}

/// The end of a task whose row is rejected is kept by its worker, where a successor finds it.
#[test]
fn an_end_in_a_rejected_row_survives_a_takeover() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 2).await;
        let read_only_rows = BTreeSet::from([keys::progress(1, 0)]);
        bench.store.set_limits(table::TableLimits { read_only_rows, ..support::platform_limits() });
        bench.submit(0, 1, support::job(4, 1_000)).await;
        time::sleep(Duration::from_secs(4)).await;
        let holder = bench.holder();
        bench.kill(holder).await;
        bench.store.set_limits(support::platform_limits());
        bench.await_state(0, 1, model::GraphState::Completed, SETTLING_TIME).await;
        assert_eq!(bench.fleet.records().len(), 4);
    });
}

/// A job whose own row is too long is refused at once, because it can never be stored.
#[test]
fn a_job_that_can_never_be_stored_is_refused_at_once() {
    support::run(async {
        let bench = support::PoolBench::start(1, 1).await;
        bench.store.set_limits(support::platform_limits());
        let mut row = support::job(1, 100);
        row.graph.body = "x".repeat(70_000);
        let sent_at = time::Instant::now();
        assert_eq!(bench.submit(0, 1, row).await, model::SubmitOutcome::Refused);
        assert!(sent_at.elapsed() < Duration::from_millis(100));
        assert_eq!(bench.lookup(0, 1).await, model::LookOutcome::Absent);
    });
}

/// Guards against tasks that start on a worker seconds after its entry has announced that it leaves. With
/// 3,000 workers that write their entries every 1.5 s, a holder that pauses although there are more changes
/// to read reads 500 changes per 0.6 s, and its delay grows every second.
#[test]
fn a_list_that_changes_faster_than_one_read_returns_is_followed() {
    support::run(async {
        let bench = support::PoolBench::start(1, 40).await;
        bench.store.set_limits(table::TableLimits { feed_rows: 5, ..support::platform_limits() });
        for _ in 0..10 {
            for index in 0..40 {
                bench.write_entry(index).await;
            }
            time::sleep(Duration::from_millis(500)).await;
        }
        // Workers are filled in the order of their names.
        bench.drain_worker(0).await;
        time::sleep(Duration::from_secs(1)).await;
        bench.submit(0, 1, support::job(8, 500)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SETTLING_TIME).await;
        let leaving = support::worker_id(0);
        assert!(bench.fleet.records().iter().all(|it| it.worker != leaving));
    });
}

/// Guards against a large deployment on which nobody can take over while the store is slow. Each successor
/// reads the pages one after another; with a time limit of 1.5 s, enough for a few pages only, it fails
/// three times and gives up the tenure.
#[test]
fn a_long_table_is_read_from_a_slow_store() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 60).await;
        bench.store.set_limits(table::TableLimits { page_rows: 3, ..support::platform_limits() });
        bench.submit(0, 1, support::job(4, 20_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        let (holder, epoch) = (bench.holder(), tenure_epoch(&bench));
        bench.store.faults().set(fault::Condition::Slow(Duration::from_millis(120)));
        bench.kill(holder).await;
        time::sleep(Duration::from_secs(9)).await;
        assert_eq!(tenure_epoch(&bench), epoch + 1);
        bench.await_state(0, 1, model::GraphState::Completed, SETTLING_TIME).await;
        bench.assert_nothing_ran_twice();
    });
}
