//! Rows that the store does not take, and rows that an earlier release has left.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use almondpass_standin::{fault, table};
use tokio::time;

use crate::support;

const SOON: Duration = Duration::from_secs(30);

/// What the platform takes.
fn platform_limits() -> table::TableLimits {
    table::TableLimits {
        row_bytes: 65_536,
        transaction_bytes: 700_000,
        entries: 100,
        page_rows: 500,
        feed_rows: 500,
        read_only_rows: BTreeSet::new(),
    }
}

fn lead_epoch(bench: &support::PoolBench) -> ids::Epoch {
    let leader = bench.instances[bench.holder()].state.leader();
    leader.expect("a tenure").epoch
}

/// Symptom: with 1,100 workers nearly no job ran. Sequence: the scheduler writes the list of workers
/// on which tasks may be as one row; the store refuses it as too long; the same write is sent again
/// until the tenure lapses, and by each successor. Cause: the row grew with the number of workers.
#[test]
fn more_workers_than_fit_in_a_row_get_tasks() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 0).await;
        bench.store.set_limits(table::TableLimits { row_bytes: 4_096, ..platform_limits() });
        for index in 0..200 {
            bench.add_worker(index).await;
        }
        time::sleep(Duration::from_secs(5)).await;
        let epoch = lead_epoch(&bench);
        bench.submit(0, 1, support::job(1_600, 2_000)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        assert_eq!(lead_epoch(&bench), epoch);
        let holder = bench.holder();
        bench.kill(holder).await;
        bench.submit(0, 2, support::job(1_600, 2_000)).await;
        bench.await_state(0, 2, model::GraphState::Completed, SOON).await;
        bench.assert_nothing_ran_twice();
    });
}

/// Symptom: one row that the store does not take, and no scheduler keeps its tenure. Sequence: the row
/// goes out with all others and the renewal in one write; the store refuses the write, each time.
/// Cause: a refusal for good was taken for an outage.
#[test]
fn a_refused_row_costs_neither_the_tenure_nor_other_jobs() {
    support::run(async {
        let bench = support::PoolBench::start(2, 4).await;
        let epoch = lead_epoch(&bench);
        let read_only_rows = BTreeSet::from([keys::progress(1, 0)]);
        bench.store.set_limits(table::TableLimits { read_only_rows, ..platform_limits() });
        for graph in 1..=6 {
            bench.submit(0, graph, support::job(4, 1_000)).await;
        }
        for graph in 2..=6 {
            bench.await_state(0, graph, model::GraphState::Completed, SOON).await;
        }
        // Long enough for the row to be offered again.
        time::sleep(Duration::from_secs(25)).await;
        assert_eq!(
            bench.lookup(0, 1).await,
            model::LookOutcome::Known(model::GraphState::Running),
            "an end is shown only once it is durable"
        );
        assert_eq!(lead_epoch(&bench), epoch);
        bench.store.set_limits(platform_limits());
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        assert_eq!(lead_epoch(&bench), epoch);
        bench.assert_nothing_ran_twice();
    });
}

/// The end of a task whose row is refused stays with its worker, where a successor finds it.
#[test]
fn what_a_refused_row_tells_of_outlives_the_scheduler() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 2).await;
        let read_only_rows = BTreeSet::from([keys::progress(1, 0)]);
        bench.store.set_limits(table::TableLimits { read_only_rows, ..platform_limits() });
        bench.submit(0, 1, support::job(4, 1_000)).await;
        time::sleep(Duration::from_secs(4)).await;
        let holder = bench.holder();
        bench.kill(holder).await;
        bench.store.set_limits(platform_limits());
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        assert_eq!(bench.fleet.records().len(), 4);
    });
}

/// A job whose own row is too long is turned away at once: it can never be stored.
#[test]
fn a_job_that_can_never_be_stored_is_refused_at_once() {
    support::run(async {
        let bench = support::PoolBench::start(1, 1).await;
        bench.store.set_limits(platform_limits());
        let mut row = support::job(1, 100);
        row.graph.body = "x".repeat(70_000);
        let sent_at = time::Instant::now();
        assert_eq!(bench.submit(0, 1, row).await, model::SubmitOutcome::Refused);
        assert!(sent_at.elapsed() < Duration::from_millis(100));
        assert_eq!(bench.lookup(0, 1).await, model::LookOutcome::Absent);
    });
}

/// Symptom: tasks start on a worker seconds after it has said that it leaves. Sequence: 3,000 workers
/// write their entries every 1.5 s; the scheduler reads 500 changes each 0.6 s and falls behind by
/// more each second. Cause: it paused although there was more to read.
#[test]
fn a_list_that_changes_faster_than_one_answer_tells_is_followed() {
    support::run(async {
        let bench = support::PoolBench::start(1, 40).await;
        bench.store.set_limits(table::TableLimits { feed_rows: 5, ..platform_limits() });
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
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        let leaving = support::worker_id(0);
        assert!(bench.fleet.records().iter().all(|it| it.worker != leaving));
    });
}

/// Symptom: nobody can take over while the store is slow, on a large deployment alone. Sequence: the holder
/// ends; each successor reads pages one behind the other, gives up after 1.5 s, and after three tries
/// gives up the tenure. Cause: the bound on reading a table was one for a few pages.
#[test]
fn a_long_table_is_read_from_a_slow_store() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 60).await;
        bench.store.set_limits(table::TableLimits { page_rows: 3, ..platform_limits() });
        bench.submit(0, 1, support::job(4, 20_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        let (holder, epoch) = (bench.holder(), lead_epoch(&bench));
        bench.store.faults().set(fault::Condition::Slow(Duration::from_millis(120)));
        bench.kill(holder).await;
        time::sleep(Duration::from_secs(9)).await;
        assert_eq!(lead_epoch(&bench), epoch + 1);
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        bench.assert_nothing_ran_twice();
    });
}
