//! What the entries of workers are worth that refuse nothing.

use std::sync::Arc;

use almondpass_graph::{catalog, resources, worker};

use crate::support;

/// Workers write their entries this often, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;

/// One worker that refuses nothing, whose entry has been read.
fn unguarded_bench() -> support::PoolBench {
    let mut bench = support::PoolBench::new(1);
    bench.core.set_catalog(Arc::new(catalog::PoolCatalog {
        without_admission_check: [support::worker_entry(0).upstream].into(),
        ..catalog::PoolCatalog::default()
    }));
    bench.core.note_list_read(bench.now);
    tells(&mut bench, 1);
    bench
}

/// The list tells of the entry anew, behind as many heartbeats, and the worker answers.
fn tells(bench: &mut support::PoolBench, n_heartbeats: u64) {
    for _ in 0..n_heartbeats {
        bench.advance(HEARTBEAT_MS);
        bench.core.note_list_read(bench.now);
        bench.answer_poll(0, &[], &[]);
    }
    bench.core.note_entry_read(&support::worker_id(0));
}

/// How many of the tasks of a job start now.
fn n_starts(bench: &mut support::PoolBench) -> usize {
    bench.admit(1, support::job(1, support::tasks(1)));
    support::starts(&bench.run_round()).len()
}

/// Tasks start beyond a room that has shrunk meanwhile: the store has carried the write of an entry out late.
#[test]
fn an_entry_that_comes_late_tells_of_no_room() {
    let mut bench = unguarded_bench();
    tells(&mut bench, 3);
    assert_eq!(n_starts(&mut bench), 0);
    tells(&mut bench, 1);
    assert_eq!(n_starts(&mut bench), 1);
}

/// The store carries the write of an entry out behind one that its worker has made later.
#[test]
fn an_entry_that_was_overtaken_is_no_news() {
    let mut bench = unguarded_bench();
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
    let reborn = worker::WorkerEntry { incarnation: Some(2), ..entry(1, 4) };
    assert!(bench.core.update_worker(id, reborn, bench.now));
    assert_eq!(bench.core.summary().accelerators, 4);
}

/// One write of an entry that is lost costs nothing yet.
#[test]
fn an_entry_that_comes_in_time_tells_of_room() {
    let mut bench = unguarded_bench();
    tells(&mut bench, 1);
    bench.advance(HEARTBEAT_MS);
    bench.answer_poll(0, &[], &[]);
    assert_eq!(n_starts(&mut bench), 1);
}
