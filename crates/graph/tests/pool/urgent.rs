//! Urgent work, and what it may ask of other work.

use std::sync::Arc;

use almondpass_graph::{catalog, order};

use crate::support;

/// Stopping other work takes longer than urgent work may wait: some workers are kept empty.
#[test]
fn workers_are_kept_empty_for_urgent_work() {
    let mut bench = support::PoolBench::new(48);
    bench.admit(1, support::job(1, support::whole_workers(48)));
    let n_started = bench.run_round_and_start().len();
    assert!((30..48).contains(&n_started), "{n_started}");
    bench.admit(2, support::job(0, support::gang(support::whole_workers(3))));
    let orders = bench.run_round();
    assert_eq!(support::starts(&orders).len(), 3);
    assert_eq!(support::stops(&orders), []);
}

/// Symptom: a gang that is not urgent waited for 20 s although workers were free. Sequence: urgent
/// work comes all the time, so that workers are kept empty all the time. Cause: the wait had no
/// bound below the time in which such a job is worth something.
#[test]
fn what_is_kept_empty_does_not_starve_a_gang() {
    let mut bench = support::PoolBench::new(8);
    bench.admit(1, support::job(1, support::gang(support::whole_workers(8))));
    assert_eq!(support::starts(&bench.run_round()), []);
    for _ in 0..11 {
        bench.advance(1_000);
        for worker in 0..8 {
            bench.answer_poll(worker, &[], &[]);
        }
    }
    assert_eq!(support::starts(&bench.run_round()).len(), 8);
}

/// A pool that is full makes room for urgent work, and what was stopped starts again.
#[test]
fn urgent_work_takes_room_from_other_work() {
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, support::job(1, support::tasks(8)));
    let running = bench.run_round_and_start();
    assert_eq!(running.len(), 8);
    bench.advance(200);
    bench.admit(2, support::job(0, support::tasks(2)));
    let stops = support::stops(&bench.run_round());
    assert_eq!(stops.len(), 2);
    let ends = stops.iter().zip(1..).map(|(stop, number)| {
        let start = running.iter().find(|it| it.task == stop.task).unwrap();
        support::listed_end(number, start, order::EndKind::Stopped)
    });
    let goes_on = |it: &&order::StartOrder| stops.iter().all(|stop| stop.task != it.task);
    let going_on = running.iter().filter(goes_on).map(|it| support::listed_run(it, 20));
    bench.advance(300);
    bench.answer_poll(0, &going_on.collect::<Vec<_>>(), &ends.collect::<Vec<_>>());
    let starts = support::starts(&bench.run_round());
    assert!(starts.iter().all(|it| it.task.graph == 2), "{starts:?}");
    assert_eq!(starts.len(), 2);
}

/// The room that is cleared goes to whom it is cleared for.
#[test]
fn cleared_room_is_not_taken_by_others() {
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, support::job(2, support::tasks(8)));
    let running = bench.run_round_and_start();
    bench.advance(200);
    bench.admit(2, support::job(0, support::whole_workers(1)));
    assert_eq!(support::stops(&bench.run_round()).len(), 8);
    bench.admit(3, support::job(1, support::tasks(4)));
    let ended = support::listed_end(1, &running[0], order::EndKind::Stopped);
    bench.advance(200);
    bench.answer_poll(
        0,
        &running[1..].iter().map(|it| support::listed_run(it, 5)).collect::<Vec<_>>(),
        &[ended],
    );
    assert_eq!(support::starts(&bench.run_round()), []);
}

/// Symptom: tasks were started and stopped again in the same turn, up to a hundred times for one
/// job. Sequence: an urgent gang needs two workers, one of which is free; less urgent tasks wait.
/// Cause: room for urgent work was sought after all other units had been placed, so that these took
/// the free worker first.
#[test]
fn less_urgent_work_does_not_start_where_room_is_needed_at_once() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::whole_workers(1)));
    assert_eq!(bench.run_round_and_start().len(), 1);
    bench.advance(200);
    bench.admit(2, support::job(0, support::gang(support::whole_workers(2))));
    bench.admit(3, support::job(2, support::tasks(8)));
    let orders = bench.run_round();
    assert_eq!(support::starts(&orders), []);
    let stopped = support::stops(&orders);
    assert_eq!(stopped.iter().map(|it| it.task.graph).collect::<Vec<_>>(), [1]);
}

/// A pool whose workers all run one gang.
struct CostlyPool {
    bench: support::PoolBench,
    running: Vec<order::StartOrder>,
}

impl CostlyPool {
    /// The account of the urgent work to come has `guaranteed` accelerators.
    fn new(guaranteed: u32) -> CostlyPool {
        let mut bench = support::PoolBench::new(8);
        bench.core.set_catalog(Arc::new(catalog::PoolCatalog {
            guaranteed: [("lab".to_owned(), guaranteed)].into(),
            ..catalog::PoolCatalog::default()
        }));
        let mut pool = CostlyPool { bench, running: Vec::new() };
        pool.bench.admit(1, support::job(1, support::gang(support::whole_workers(8))));
        while pool.running.is_empty() {
            pool.pass(1_000, 0);
            pool.running = pool.bench.run_round_and_start();
        }
        pool
    }

    /// Time passes, and all workers list what they run.
    fn pass(&mut self, millis: u64, percent: u32) {
        self.bench.advance(millis);
        self.bench.core.set_wall_time(self.bench.now);
        for worker in 0..8 {
            let on_it = self.running.iter().filter(|it| support::index_of(&it.worker) == worker);
            let listed = on_it.map(|it| support::listed_run(it, percent)).collect::<Vec<_>>();
            self.bench.answer_poll(worker, &listed, &[]);
        }
    }

    /// An urgent job of one whole worker comes; tasks that are stopped for it.
    fn n_stopped_for_urgent(&mut self) -> usize {
        self.bench.admit(2, support::job(0, support::whole_workers(1)));
        support::stops(&self.bench.run_round()).len()
    }
}

/// Symptom: 47 tasks, 3,192 core-seconds, were stopped for an urgent job of seven tasks. Sequence: all
/// workers run long gangs; an urgent job comes. Cause: the least costly plan was carried out at any
/// cost.
#[test]
fn urgent_work_outside_a_guarantee_does_not_cost_more_than_it_gains() {
    let mut pool = CostlyPool::new(0);
    pool.pass(3_000, 30);
    assert_eq!(pool.n_stopped_for_urgent(), 0);
    pool.pass(2_500, 55);
    assert_eq!(support::stops(&pool.bench.run_round()), []);
}

/// What has just started is stopped all the same.
#[test]
fn urgent_work_takes_room_that_costs_little() {
    let mut pool = CostlyPool::new(0);
    assert_eq!(pool.n_stopped_for_urgent(), 8);
}

/// A guarantee is back within its bound, whatever it costs, but not before the cheaper way was tried.
#[test]
fn a_guarantee_is_owed_its_room_at_any_cost() {
    let mut pool = CostlyPool::new(8);
    pool.pass(3_000, 30);
    assert_eq!(pool.n_stopped_for_urgent(), 0);
    pool.pass(1_800, 48);
    assert_eq!(support::stops(&pool.bench.run_round()).len(), 8);
}
