//! Capacity for urgent work: workers kept empty, and preemption of other work.

use std::sync::Arc;

use almondpass_graph::{catalog, order};

use crate::support;

/// Some workers are kept empty, as stopping other work takes longer than urgent work may wait.
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

/// Failure: a gang that is not urgent waited for 20 s although workers were free. Urgent work arrives
/// all the time, so some workers are always kept empty. The time limit of the wait was longer than the
/// time in which such a job has any worth.
#[test]
fn workers_kept_empty_do_not_starve_a_gang() {
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

/// Urgent work in a full pool preempts other work, and starts on the freed resources before the stopped
/// tasks start again.
#[test]
fn urgent_work_preempts_other_work() {
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

/// Freed resources are kept for the unit that other work was stopped for.
#[test]
fn freed_resources_go_to_the_preempting_unit() {
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

/// Failure: tasks were started and stopped again in the same round, up to a hundred times for one job.
/// An urgent gang needs two workers, one of which is free, while less urgent tasks wait. Preemption was
/// tried after all other units had been placed, so these took the free worker first.
#[test]
fn less_urgent_work_does_not_take_a_worker_that_an_urgent_gang_needs() {
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

/// A pool of eight workers that all run members of one gang.
struct GangPool {
    bench: support::PoolBench,
    running: Vec<order::StartOrder>,
}

impl GangPool {
    /// Starts the gang; the account of the later urgent work is guaranteed `guaranteed` accelerators.
    fn new(guaranteed: u32) -> GangPool {
        let mut bench = support::PoolBench::new(8);
        bench.core.set_catalog(Arc::new(catalog::PoolCatalog {
            guaranteed: [("lab".to_owned(), guaranteed)].into(),
            ..catalog::PoolCatalog::default()
        }));
        let mut pool = GangPool { bench, running: Vec::new() };
        pool.bench.admit(1, support::job(1, support::gang(support::whole_workers(8))));
        while pool.running.is_empty() {
            pool.pass(1_000, 0);
            pool.running = pool.bench.run_round_and_start();
        }
        pool
    }

    /// Advances the time, and lets all workers list what they run.
    fn pass(&mut self, millis: u64, percent: u32) {
        self.bench.advance(millis);
        self.bench.core.set_wall_time(self.bench.now);
        for worker in 0..8 {
            let on_it = self.running.iter().filter(|it| support::index_of(&it.worker) == worker);
            let listed = on_it.map(|it| support::listed_run(it, percent)).collect::<Vec<_>>();
            self.bench.answer_poll(worker, &listed, &[]);
        }
    }

    /// Admits an urgent job that needs one whole worker, and returns the number of tasks stopped for it.
    fn n_stopped_for_urgent(&mut self) -> usize {
        self.bench.admit(2, support::job(0, support::whole_workers(1)));
        support::stops(&self.bench.run_round()).len()
    }
}

/// Failure: 47 tasks, 3,192 core-seconds, were stopped for an urgent job of seven tasks. All workers run
/// long gangs when the urgent job arrives. The cheapest plan was carried out whatever its cost.
#[test]
fn preemption_outside_a_guarantee_is_limited_by_its_cost() {
    let mut pool = GangPool::new(0);
    pool.pass(3_000, 30);
    assert_eq!(pool.n_stopped_for_urgent(), 0);
    pool.pass(2_500, 55);
    assert_eq!(support::stops(&pool.bench.run_round()), []);
}

/// Work that has just started is cheap to stop.
#[test]
fn urgent_work_preempts_work_that_has_just_started() {
    let mut pool = GangPool::new(0);
    assert_eq!(pool.n_stopped_for_urgent(), 8);
}

/// A guarantee is met within its bound whatever the cost, but first the unit waits for a cheaper way.
#[test]
fn a_guarantee_is_met_at_any_cost_before_its_bound() {
    let mut pool = GangPool::new(8);
    pool.pass(3_000, 30);
    assert_eq!(pool.n_stopped_for_urgent(), 0);
    pool.pass(1_800, 48);
    assert_eq!(support::stops(&pool.bench.run_round()).len(), 8);
}
