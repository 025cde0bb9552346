//! Data centres in which nothing may start.

use std::sync::Arc;

use crate::support;

/// Workers of a data centre.
const WORKERS: usize = 8;

fn evacuate(bench: &mut support::PoolBench, first_workers: &[usize]) {
    let names = first_workers.iter().map(|it| support::data_center(*it)).collect::<Arc<[_]>>();
    bench.core.set_evacuated(names);
}

/// Work starts in a data centre that is being emptied.
#[test]
fn nothing_starts_in_an_evacuated_data_center() {
    let mut bench = support::PoolBench::new(2 * WORKERS);
    evacuate(&mut bench, &[0]);
    bench.admit(1, support::job(0, support::whole_workers(16)));
    let starts = bench.run_round_and_start();
    assert_eq!(starts.len(), WORKERS);
    assert!(starts.iter().all(|it| support::index_of(&it.worker) >= WORKERS), "{starts:?}");
}

/// Work waits for ever, or is refused, although its data centre was taken back.
#[test]
fn work_waits_for_the_end_of_an_evacuation() {
    let mut bench = support::PoolBench::new(WORKERS);
    evacuate(&mut bench, &[0]);
    bench.admit(1, support::job(0, support::gang(support::whole_workers(8))));
    assert_eq!(bench.run_round(), []);
    bench.advance(500);
    evacuate(&mut bench, &[]);
    assert_eq!(support::starts(&bench.run_round()).len(), WORKERS);
}

/// Work is stopped for room that nobody may use.
#[test]
fn nobody_is_stopped_in_an_evacuated_data_center() {
    let mut bench = support::PoolBench::new(WORKERS);
    bench.admit(1, support::job(2, support::tasks(64)));
    assert!(!bench.run_round_and_start().is_empty());
    evacuate(&mut bench, &[0]);
    bench.advance(200);
    bench.admit(2, support::job(0, support::whole_workers(2)));
    assert_eq!(bench.run_round(), []);
}

/// Work waits for a place near its data where nothing may start.
#[test]
fn work_tied_to_an_evacuated_rack_runs_elsewhere() {
    let mut bench = support::PoolBench::new(2 * WORKERS);
    evacuate(&mut bench, &[0]);
    let mut step = support::tasks(1);
    step.rack = Some("r0".to_owned());
    bench.admit(1, support::job(1, step));
    let starts = support::starts(&bench.run_round());
    assert_eq!(starts.len(), 1);
    assert!(support::index_of(&starts[0].worker) >= WORKERS, "{starts:?}");
}

/// A gang is placed in part on workers that get nothing.
#[test]
fn a_gang_lies_outside_an_evacuated_data_center() {
    let mut bench = support::PoolBench::new(2 * WORKERS);
    evacuate(&mut bench, &[WORKERS]);
    bench.admit(1, support::job(0, support::gang(support::whole_workers(9))));
    assert_eq!(bench.run_round(), []);
    bench.admit(2, support::job(0, support::gang(support::whole_workers(8))));
    let starts = support::starts(&bench.run_round());
    assert_eq!(starts.len(), WORKERS);
    assert!(starts.iter().all(|it| it.task.graph == 2), "{starts:?}");
}
