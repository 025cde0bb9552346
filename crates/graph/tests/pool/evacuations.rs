//! Data centres under evacuation, in which no task may start.

use std::sync::Arc;

use crate::support;

/// Number of workers in one data centre.
const WORKERS_PER_DATA_CENTER: usize = 8;

fn evacuate(bench: &mut support::PoolBench, first_workers: &[usize]) {
    let names = first_workers.iter().map(|it| support::data_center(*it)).collect::<Arc<[_]>>();
    bench.core.set_evacuated(names);
}

/// Failure: tasks were started in a data centre under evacuation.
#[test]
fn no_task_starts_in_an_evacuated_data_center() {
    let mut bench = support::PoolBench::new(2 * WORKERS_PER_DATA_CENTER);
    evacuate(&mut bench, &[0]);
    bench.admit(1, support::job(0, support::whole_workers(16)));
    let starts = bench.run_round_and_start();
    assert_eq!(starts.len(), WORKERS_PER_DATA_CENTER);
    assert!(
        starts.iter().all(|it| support::index_of(&it.worker) >= WORKERS_PER_DATA_CENTER),
        "{starts:?}"
    );
}

/// Failure: jobs waited for ever, or were refused, although the evacuation of their data centre had
/// ended.
#[test]
fn job_starts_after_the_end_of_an_evacuation() {
    let mut bench = support::PoolBench::new(WORKERS_PER_DATA_CENTER);
    evacuate(&mut bench, &[0]);
    bench.admit(1, support::job(0, support::gang(support::whole_workers(8))));
    assert_eq!(bench.run_round(), []);
    bench.advance(500);
    evacuate(&mut bench, &[]);
    assert_eq!(support::starts(&bench.run_round()).len(), WORKERS_PER_DATA_CENTER);
}

/// Failure: tasks were preempted to free resources that no task may use.
#[test]
fn no_task_is_preempted_in_an_evacuated_data_center() {
    let mut bench = support::PoolBench::new(WORKERS_PER_DATA_CENTER);
    bench.admit(1, support::job(2, support::tasks(64)));
    assert!(!bench.run_round_and_start().is_empty());
    evacuate(&mut bench, &[0]);
    bench.advance(200);
    bench.admit(2, support::job(0, support::whole_workers(2)));
    assert_eq!(bench.run_round(), []);
}

/// Failure: a task waited for a worker near its data, where no task may start.
#[test]
fn task_bound_to_an_evacuated_rack_runs_elsewhere() {
    let mut bench = support::PoolBench::new(2 * WORKERS_PER_DATA_CENTER);
    evacuate(&mut bench, &[0]);
    let mut step = support::tasks(1);
    step.rack = Some("r0".to_owned());
    bench.admit(1, support::job(1, step));
    let starts = support::starts(&bench.run_round());
    assert_eq!(starts.len(), 1);
    assert!(support::index_of(&starts[0].worker) >= WORKERS_PER_DATA_CENTER, "{starts:?}");
}

/// Failure: a gang was placed in part on workers on which no task may start.
#[test]
fn gang_is_placed_outside_an_evacuated_data_center() {
    let mut bench = support::PoolBench::new(2 * WORKERS_PER_DATA_CENTER);
    evacuate(&mut bench, &[WORKERS_PER_DATA_CENTER]);
    bench.admit(1, support::job(0, support::gang(support::whole_workers(9))));
    assert_eq!(bench.run_round(), []);
    bench.admit(2, support::job(0, support::gang(support::whole_workers(8))));
    let starts = support::starts(&bench.run_round());
    assert_eq!(starts.len(), WORKERS_PER_DATA_CENTER);
    assert!(starts.iter().all(|it| it.task.graph == 2), "{starts:?}");
}
