//! How far the entries of workers without an admission check can be relied on.

use std::sync::Arc;

use almondpass_graph::{catalog, resources, worker};

use crate::support;

/// Interval at which workers write their entries, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;

/// A worker without an admission check, whose entry has been read.
fn bench_without_admission_check() -> support::PoolBench {
    let mut bench = support::PoolBench::new(1);
    bench.core.set_catalog(Arc::new(catalog::PoolCatalog {
        without_admission_check: [support::worker_entry(0).upstream].into(),
        ..catalog::PoolCatalog::default()
    }));
    bench.core.note_list_read(bench.now);
    write_entry_after_heartbeats(&mut bench, 1);
    bench
}

/// `n_heartbeats` heartbeats pass, in which the list is read and the worker answers polls. Then the
/// list has a new write of the worker's entry.
fn write_entry_after_heartbeats(bench: &mut support::PoolBench, n_heartbeats: u64) {
    for _ in 0..n_heartbeats {
        bench.advance(HEARTBEAT_MS);
        bench.core.note_list_read(bench.now);
        bench.answer_poll(0, &[], &[]);
    }
    bench.core.note_entry_read(&support::worker_id(0));
}

/// Admits a job with one task and returns how many tasks start in the next round.
fn admit_and_count_starts(bench: &mut support::PoolBench) -> usize {
    bench.admit(1, support::job(1, support::tasks(1)));
    support::starts(&bench.run_round()).len()
}

/// Failure: tasks were started beyond the capacity of a worker that had shrunk meanwhile, because
/// the store had carried out a write of its entry late.
#[test]
fn late_entry_allows_no_start() {
    let mut bench = bench_without_admission_check();
    write_entry_after_heartbeats(&mut bench, 3);
    assert_eq!(admit_and_count_starts(&mut bench), 0);
    write_entry_after_heartbeats(&mut bench, 1);
    assert_eq!(admit_and_count_starts(&mut bench), 1);
}

/// Failure: tasks were started beyond the capacity of a worker that had shrunk before a takeover. The new holder counted the
/// time without a write of its entry from its own first read.
#[test]
fn late_entry_after_a_takeover_allows_no_start() {
    let mut bench = bench_without_admission_check();
    let written_before = bench.now;
    for _ in 0..3 {
        bench.advance(HEARTBEAT_MS);
    }
    bench.core.note_list_read(bench.now);
    bench.core.worker_replaced(
        &support::worker_id(0),
        &support::worker_entry(0).address,
        bench.now,
    );
    bench.core.update_worker(support::worker_id(0), support::worker_entry(0), bench.now);
    bench.core.note_entry_written_before(&support::worker_id(0), written_before);
    bench.answer_poll(0, &[], &[]);
    bench.save();
    bench.core.note_entry_read(&support::worker_id(0));
    assert_eq!(admit_and_count_starts(&mut bench), 0);
    write_entry_after_heartbeats(&mut bench, 1);
    assert_eq!(admit_and_count_starts(&mut bench), 1);
}

/// The store may carry out a write of an entry after a later write by the same worker.
#[test]
fn superseded_entry_is_ignored() {
    let mut bench = bench_without_admission_check();
    let entry = |sequence, accelerators| worker::WorkerEntry {
        incarnation: Some(1),
        sequence: Some(sequence),
        capacity: resources::Resources { accelerators, ..support::CAPACITY },
        ..support::worker_entry(0)
    };
    let id = support::worker_id(0);
    assert!(bench.core.update_worker(id.clone(), entry(7, 0), bench.now));
    assert!(!bench.core.update_worker(id.clone(), entry(6, 8), bench.now));
    assert_eq!(bench.core.summary().accelerators, 0);
    let next_incarnation = worker::WorkerEntry { incarnation: Some(2), ..entry(1, 4) };
    assert!(bench.core.update_worker(id, next_incarnation, bench.now));
    assert_eq!(bench.core.summary().accelerators, 4);
}

/// The loss of one write of an entry does not stop starts on its worker yet.
#[test]
fn entry_allows_starts_for_one_missed_heartbeat() {
    let mut bench = bench_without_admission_check();
    write_entry_after_heartbeats(&mut bench, 1);
    bench.advance(HEARTBEAT_MS);
    bench.answer_poll(0, &[], &[]);
    assert_eq!(admit_and_count_starts(&mut bench), 1);
}
