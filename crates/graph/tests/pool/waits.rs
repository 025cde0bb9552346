//! Waiting jobs on a pool of which less than half is in use.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_graph::{order, resources, wait_timer, waiting, worker};
use almondpass_schema::model;

use crate::support;

/// An idle job starts within this time if capacity is free, in milliseconds.
const STARTS_WITHIN_MS: u64 = 3_000;

/// Time between two rounds, in milliseconds.
const ROUND_MS: u64 = 100;

/// Workers of the pool.
const N_WORKERS: usize = 48;

/// Workers per rack.
const WORKERS_PER_RACK: usize = 8;

/// Simulation of a pool with long-running tasks.
struct WaitSimulation {
    bench: support::PoolBench,
    running: Vec<order::StartOrder>,
    n_ends: Vec<u64>,
    /// Workers that answer nothing.
    silent: BTreeSet<usize>,
}

impl WaitSimulation {
    fn new() -> WaitSimulation {
        let mut bench = support::PoolBench::new(N_WORKERS);
        bench.core.set_wall_time(bench.now);
        WaitSimulation {
            bench,
            running: Vec::new(),
            n_ends: vec![0; N_WORKERS],
            silent: BTreeSet::new(),
        }
    }

    /// Creates the pool with workers that have no accelerators.
    fn without_accelerators() -> WaitSimulation {
        let mut simulation = WaitSimulation::new();
        let capacity = resources::Resources { accelerators: 0, ..support::CAPACITY };
        for index in 0..N_WORKERS {
            let listing = worker::WorkerEntry { capacity, ..support::worker_entry(index) };
            simulation.bench.core.update_worker(
                support::worker_id(index),
                listing,
                simulation.bench.now,
            );
        }
        simulation
    }

    /// Admits a job whose tasks all start in the next round.
    fn start(&mut self, graph: u64, row: model::GraphRow) {
        let n_tasks = row.graph.steps.iter().map(|it| it.tasks).sum::<u32>();
        self.bench.admit(graph, row);
        let starts = self.bench.run_round_and_start();
        assert_eq!(starts.len(), n_tasks as usize);
        self.running.extend(starts);
    }

    /// Completes all tasks of a job.
    fn complete(&mut self, graph: u64) {
        let (ended, running) = self.running.drain(..).partition(|it| it.task.graph == graph);
        self.running = running;
        let ended: Vec<order::StartOrder> = ended;
        for start in ended {
            let worker = support::index_of(&start.worker);
            self.n_ends[worker] += 1;
            let end = support::listed_end(self.n_ends[worker], &start, order::EndKind::Done);
            self.answer_poll_of(worker, &[end]);
        }
        self.bench.save();
    }

    fn answer_poll_of(&mut self, worker: usize, ended: &[order::ListedEnd]) {
        let worker_runs = self.running.iter().filter(|it| support::index_of(&it.worker) == worker);
        let running =
            worker_runs.map(|it| support::listed_run(it, self.percent(it))).collect::<Vec<_>>();
        self.bench.answer_poll(worker, &running, ended);
    }

    /// Progress of a task, one percent per second; a task without progress would be stopped as stalled.
    fn percent(&self, start: &order::StartOrder) -> u32 {
        let ran = self.bench.now.saturating_sub(start.ordered_at);
        1 + (ran.as_secs() as u32).min(90)
    }

    fn run_for(&mut self, millis: u64) {
        for _ in 0..millis / ROUND_MS {
            self.tick();
            let starts = self.bench.run_round_and_start();
            self.running.extend(starts);
        }
    }

    fn tick(&mut self) {
        self.bench.advance(ROUND_MS);
        self.bench.core.set_wall_time(self.bench.now);
        for worker in (0..N_WORKERS).filter(|it| !self.silent.contains(it)).collect::<Vec<_>>() {
            self.answer_poll_of(worker, &[]);
        }
    }

    /// Takes the next start without answering it; its worker answers nothing from then on.
    fn lose_start(&mut self) {
        let mut starts = Vec::new();
        for _ in 0..STARTS_WITHIN_MS / ROUND_MS {
            self.tick();
            starts = support::starts(&self.bench.run_round());
            if !starts.is_empty() {
                break;
            }
        }
        let start = starts.first().expect("a start");
        self.silent.insert(support::index_of(&start.worker));
        self.bench.core.start_answered(start, order::StartAnswer::Unknown, self.bench.now);
    }

    fn runs(&self, graph: u64) -> bool {
        self.running.iter().any(|it| it.task.graph == graph)
    }

    fn n_in_use(&self) -> usize {
        let workers = self.running.iter().map(|it| support::index_of(&it.worker));
        workers.collect::<BTreeSet<_>>().len()
    }
}

/// Checks that `row` starts in time on a pool of which less than half is in use.
fn check_starts(mut simulation: WaitSimulation, row: model::GraphRow) {
    const JOB: u64 = 99;
    assert!(2 * simulation.n_in_use() < N_WORKERS);
    simulation.bench.admit(JOB, row);
    let starts = simulation.bench.run_round_and_start();
    simulation.running.extend(starts);
    simulation.run_for(STARTS_WITHIN_MS);
    assert!(simulation.runs(JOB), "{} of {N_WORKERS} workers are in use", simulation.n_in_use());
}

/// The rack of the job's data is full.
fn full_data_rack() -> (WaitSimulation, model::GraphRow) {
    let near = |n| model::GraphStep { rack: Some("r0".to_owned()), ..support::whole_workers(n) };
    let mut simulation = WaitSimulation::new();
    simulation.start(1, support::job(1, near(WORKERS_PER_RACK as u32)));
    (simulation, support::job(1, near(1)))
}

/// The rack of the job's data is full, in a pool without accelerators.
fn full_data_rack_without_accelerators() -> (WaitSimulation, model::GraphRow) {
    let near = |n| model::GraphStep {
        accelerators: 0,
        cpu_milli: support::CAPACITY.cpu_milli,
        rack: Some("r0".to_owned()),
        ..support::tasks(n)
    };
    let mut simulation = WaitSimulation::without_accelerators();
    simulation.start(1, support::job(1, near(WORKERS_PER_RACK as u32)));
    (simulation, support::job(1, near(1)))
}

/// One worker of each rack is in use, and the job needs a whole rack.
fn no_empty_rack() -> (WaitSimulation, model::GraphRow) {
    let mut simulation = WaitSimulation::new();
    for (graph, rack) in (0..N_WORKERS / WORKERS_PER_RACK).enumerate() {
        let rack = Some(format!("r{rack}"));
        let step = model::GraphStep { rack, ..support::whole_workers(1) };
        simulation.start(graph as u64, support::job(1, step));
    }
    let step = support::gang(support::whole_workers(WORKERS_PER_RACK as u32));
    (simulation, support::job(1, model::GraphStep { same_rack: true, ..step }))
}

/// Urgent work used most of the pool and has ended, so that workers are kept empty for more of it.
fn after_urgent_work() -> (WaitSimulation, model::GraphRow) {
    let mut simulation = WaitSimulation::new();
    simulation.start(1, support::job(0, support::whole_workers(40)));
    simulation.run_for(20_000);
    simulation.complete(1);
    simulation.start(2, support::job(2, support::whole_workers(10)));
    (simulation, support::job(2, support::whole_workers(1)))
}

/// An idle job must not take all of the capacity kept for urgent work; it takes enough for one task.
#[test]
fn one_task_of_an_idle_job_takes_kept_capacity() {
    let (mut simulation, _) = after_urgent_work();
    simulation.bench.admit(3, support::job(2, support::whole_workers(20)));
    simulation.run_for(STARTS_WITHIN_MS);
    assert_eq!(simulation.running.iter().filter(|it| it.task.graph == 3).count(), 1);
}

/// Many idle jobs at once must not take more than half of the pool.
#[test]
fn idle_jobs_leave_half_of_the_pool_to_urgent_work() {
    let (mut simulation, row) = after_urgent_work();
    let n_before = simulation.n_in_use();
    for graph in 0..N_WORKERS as u64 {
        simulation.bench.admit(100 + graph, row.clone());
    }
    simulation.run_for(STARTS_WITHIN_MS);
    assert!(simulation.n_in_use() > n_before);
    assert!(
        2 * simulation.n_in_use() <= N_WORKERS,
        "{} of {N_WORKERS} are in use",
        simulation.n_in_use()
    );
}

/// A job whose only start is unanswered is still idle, and must get capacity kept for other work.
#[test]
fn a_job_with_an_unanswered_start_takes_kept_capacity() {
    let (mut simulation, _) = after_urgent_work();
    // One more worker in use leaves none but the workers kept empty.
    simulation.start(4, support::job(0, support::whole_workers(3)));
    simulation.bench.admit(3, support::job(2, support::whole_workers(2)));
    simulation.lose_start();
    simulation.run_for(STARTS_WITHIN_MS);
    assert!(simulation.runs(3), "{} of {N_WORKERS} workers are in use", simulation.n_in_use());
}

macro_rules! waits {
    ($($(#[$doc:meta])* $name:ident: $situation:ident;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            let (simulation, row) = $situation();
            check_starts(simulation, row);
        })*
    };
}

waits! {
    /// An idle job must not wait for its data's rack while most of the pool is empty.
    a_job_whose_rack_is_full_starts_elsewhere: full_data_rack;
    /// An idle job must not wait for its data's rack while most of a pool without accelerators is empty.
    a_job_without_accelerators_starts_elsewhere: full_data_rack_without_accelerators;
    /// An idle gang must not wait for a whole rack while most of the pool is empty.
    a_gang_without_a_rack_starts_across_racks: no_empty_rack;
    /// An idle job must not wait for workers that are kept empty while most of the pool is empty.
    a_job_takes_workers_that_are_kept_empty: after_urgent_work;
}

/// A pool of four workers after a takeover, with an inherited job. The last worker never answers.
fn takeover_with_silent_worker() -> support::PoolBench {
    let settles_at = Duration::from_secs(1_040);
    let mut bench = support::PoolBench::with_unanswered_workers(4, settles_at);
    for index in 0..4 {
        let listing = support::worker_entry(index);
        let entry = model::RosterEntry {
            worker: support::worker_id(index),
            address: listing.address,
            upstream: listing.upstream,
            on_record: false,
        };
        bench.core.inherit_worker(entry, 0);
    }
    bench.save();
    bench.inherit(1, support::job(1, support::tasks(1)), None);
    bench
}

fn run_takeover_for(bench: &mut support::PoolBench, seconds: u64) {
    for _ in 0..seconds * 10 {
        bench.advance(100);
        bench.core.set_wall_time(bench.now);
        for worker in 0..3 {
            bench.answer_poll(worker, &[], &[]);
        }
        bench.run_round_and_start();
    }
}

/// A long wait is logged again and again, at growing intervals.
#[test]
fn a_wait_is_logged_at_growing_intervals() {
    let mut timer = wait_timer::WaitTimer::new(Duration::ZERO);
    let mut logged_at = Vec::new();
    for second in 0..=150 {
        let now = Duration::from_secs(second);
        if timer.is_due(now) {
            timer.note_reported(now);
            logged_at.push(second);
        }
    }
    assert_eq!(logged_at, [1, 5, 21, 81, 141]);
}

/// The reason of a wait after a takeover names the worker that has not answered.
#[test]
fn a_wait_after_a_takeover_names_the_worker() {
    let mut bench = takeover_with_silent_worker();
    run_takeover_for(&mut bench, 5);
    let reason = bench.core.wait_reason(1, bench.now).unwrap();
    assert_eq!(reason.cause, waiting::WaitCause::Takeover);
    assert_eq!(reason.age, Duration::from_secs(5));
    let detail = "1 workers of an earlier scheduler have not answered, such as w03; 35000 ms more";
    assert_eq!(reason.detail, detail);
}

/// A job that is idle although capacity is free is counted as starved.
#[test]
fn starved_jobs_are_counted() {
    let mut bench = takeover_with_silent_worker();
    run_takeover_for(&mut bench, 2);
    assert_eq!(bench.core.take_wait_counts().n_starved, 0);
    run_takeover_for(&mut bench, 10);
    let counts = bench.core.take_wait_counts();
    assert_eq!((counts.n_idle, counts.n_starved, counts.n_newly_starved), (1, 1, 1));
    run_takeover_for(&mut bench, 30);
    let counts = bench.core.take_wait_counts();
    assert_eq!((counts.n_starved, counts.n_newly_starved), (0, 0));
}

/// The number of log lines is limited when many jobs starve at once, because logging them all would delay the
/// rounds.
#[test]
fn log_lines_about_starved_jobs_are_limited() {
    const N_JOBS: u64 = 300;
    const MAX_LINES: u64 = 16;
    let mut bench = takeover_with_silent_worker();
    for graph in 2..=N_JOBS {
        bench.inherit(graph, support::job(1, support::tasks(1)), None);
    }
    let mut n_newly_starved = 0;
    for _ in 0..10 {
        run_takeover_for(&mut bench, 1);
        let counts = bench.core.take_wait_counts();
        n_newly_starved += counts.n_newly_starved;
        // Twice per second, eight lines for waiting jobs and eight for starved ones.
        assert!(counts.n_lines <= 2 * MAX_LINES, "{} lines in a second", counts.n_lines);
    }
    assert_eq!(n_newly_starved, N_JOBS);
}

/// Each refused start restarts the wait of its job, but an idle job must still be logged as waiting.
#[test]
fn a_job_whose_starts_are_refused_is_logged_as_waiting() {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(1, support::tasks(1)));
    for _ in 0..50 {
        bench.advance(ROUND_MS);
        bench.core.set_wall_time(bench.now);
        (0..4).for_each(|it| bench.answer_poll(it, &[], &[]));
        for start in support::starts(&bench.run_round()) {
            let refused = order::StartAnswer::Refused(order::StartRefusal::Room);
            bench.core.start_answered(&start, refused, bench.now);
        }
    }
    assert!(bench.core.take_wait_counts().n_lines > 0, "no wait is logged in 5 s");
}

/// Failure: the tenure was handed over to a stronger instance while a suspect waited for an empty worker, and its job
/// stood still for that wait a second time.
#[test]
fn a_job_that_stands_in_an_underused_pool_is_told_until_it_starts() {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(1, support::tasks(1)));
    let lost = support::index_of(&bench.run_round_and_start()[0].worker);
    assert!(!bench.core.has_standing_job());
    bench.advance(3_000);
    let address = support::worker_entry(lost).address;
    bench.core.worker_replaced(&support::worker_id(lost), &address, bench.now);
    let spread = model::GraphStep { per_worker: 1, ..support::tasks(3) };
    bench.admit(2, support::job(0, spread));
    let others = bench.run_round_and_start();
    assert_eq!(others.len(), 3);
    assert!(bench.core.has_standing_job());
    let end = support::listed_end(1, &others[0], order::EndKind::Done);
    bench.answer_poll(support::index_of(&others[0].worker), &[], &[end]);
    bench.run_round();
    bench.save();
    assert_eq!(bench.run_round_and_start().len(), 1);
    assert!(!bench.core.has_standing_job());
}

/// Failure: the suspects of one job with nothing running took all empty workers, and another such job stood still
/// beside free capacity.
#[test]
fn each_standing_job_gets_an_empty_worker_for_one_of_its_suspects() {
    let mut bench = support::PoolBench::new(8);
    bench.admit(1, support::job(1, support::tasks(4)));
    bench.admit(2, support::job(1, support::tasks(1)));
    let starts = bench.run_round_and_start();
    let lost = support::index_of(&starts[0].worker);
    assert!(starts.iter().all(|it| it.worker == starts[0].worker));
    bench.advance(3_000);
    let address = support::worker_entry(lost).address;
    bench.core.worker_replaced(&support::worker_id(lost), &address, bench.now);
    let spread = model::GraphStep { per_worker: 1, ..support::tasks(4) };
    bench.admit(3, support::job(0, spread));
    assert_eq!(bench.run_round_and_start().len(), 4);
    bench.save();
    let started = bench.run_round_and_start().into_iter().map(|it| it.task.graph);
    assert_eq!(started.collect::<BTreeSet<_>>(), BTreeSet::from([1, 2]));
}
