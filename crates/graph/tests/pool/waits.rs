//! Work that waits although less than half of the pool is in use.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_graph::{order, resources, wait_timer, waiting, worker};
use almondpass_schema::model;

use crate::support;

/// A job of which nothing runs starts this soon where there is room, in milliseconds.
const STARTS_WITHIN_MS: u64 = 3_000;

/// Time between two turns, in milliseconds.
const TICK_MS: u64 = 100;

/// Workers of the pool.
const N_WORKERS: usize = 48;

/// Workers of a rack.
const N_RACK: usize = 8;

/// A pool on which long tasks go on, and how long a job has waited there.
struct WaitPlay {
    bench: support::PoolBench,
    running: Vec<order::StartOrder>,
    ends: Vec<u64>,
    /// Workers that answer nothing.
    silent: BTreeSet<usize>,
}

impl WaitPlay {
    fn new() -> WaitPlay {
        let mut bench = support::PoolBench::new(N_WORKERS);
        bench.core.set_wall_time(bench.now);
        WaitPlay { bench, running: Vec::new(), ends: vec![0; N_WORKERS], silent: BTreeSet::new() }
    }

    /// The same pool without accelerators.
    fn without_accelerators() -> WaitPlay {
        let mut play = WaitPlay::new();
        let capacity = resources::Resources { accelerators: 0, ..support::CAPACITY };
        for index in 0..N_WORKERS {
            let listing = worker::WorkerEntry { capacity, ..support::worker_entry(index) };
            play.bench.core.update_worker(support::worker_id(index), listing, play.bench.now);
        }
        play
    }

    /// Starts a job at once.
    fn start(&mut self, graph: u64, row: model::GraphRow) {
        let n_tasks = row.graph.steps.iter().map(|it| it.tasks).sum::<u32>();
        self.bench.admit(graph, row);
        let starts = self.bench.run_round_and_start();
        assert_eq!(starts.len(), n_tasks as usize);
        self.running.extend(starts);
    }

    /// The tasks of a job end well.
    fn end(&mut self, graph: u64) {
        let (ended, running) = self.running.drain(..).partition(|it| it.task.graph == graph);
        self.running = running;
        let ended: Vec<order::StartOrder> = ended;
        for start in ended {
            let worker = support::index_of(&start.worker);
            self.ends[worker] += 1;
            let end = support::listed_end(self.ends[worker], &start, order::EndKind::Done);
            self.look(worker, &[end]);
        }
        self.bench.save();
    }

    fn look(&mut self, worker: usize, ended: &[order::ListedEnd]) {
        let on_it = self.running.iter().filter(|it| support::index_of(&it.worker) == worker);
        let running = on_it.map(|it| support::listed_run(it, self.percent(it))).collect::<Vec<_>>();
        self.bench.answer_poll(worker, &running, ended);
    }

    /// How far a task is, one percent a second: one that stands still would be taken to hang.
    fn percent(&self, start: &order::StartOrder) -> u32 {
        let ran = self.bench.now.saturating_sub(start.ordered_at);
        1 + (ran.as_secs() as u32).min(90)
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / TICK_MS {
            self.tick();
            let starts = self.bench.run_round_and_start();
            self.running.extend(starts);
        }
    }

    fn tick(&mut self) {
        self.bench.advance(TICK_MS);
        self.bench.core.set_wall_time(self.bench.now);
        for worker in (0..N_WORKERS).filter(|it| !self.silent.contains(it)).collect::<Vec<_>>() {
            self.look(worker, &[]);
        }
    }

    /// The next start, which is not answered, nor is anything else by its worker from then on.
    fn lose_start(&mut self) {
        let mut starts = Vec::new();
        for _ in 0..STARTS_WITHIN_MS / TICK_MS {
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
        let whole = self.running.iter().map(|it| support::index_of(&it.worker));
        whole.collect::<BTreeSet<_>>().len()
    }
}

/// Less than half of the pool is in use; `row` starts in time all the same.
fn check_starts(mut play: WaitPlay, row: model::GraphRow) {
    const LAST: u64 = 99;
    assert!(2 * play.n_in_use() < N_WORKERS);
    play.bench.admit(LAST, row);
    let starts = play.bench.run_round_and_start();
    play.running.extend(starts);
    play.pass(STARTS_WITHIN_MS);
    assert!(play.runs(LAST), "{} of {N_WORKERS} workers are in use", play.n_in_use());
}

/// The rack of its data is full.
fn near_its_data() -> (WaitPlay, model::GraphRow) {
    let near = |n| model::GraphStep { rack: Some("r0".to_owned()), ..support::whole_workers(n) };
    let mut play = WaitPlay::new();
    play.start(1, support::job(1, near(N_RACK as u32)));
    (play, support::job(1, near(1)))
}

/// The rack of its data is full, in a pool without accelerators.
fn near_its_data_without_accelerators() -> (WaitPlay, model::GraphRow) {
    let near = |n| model::GraphStep {
        accelerators: 0,
        cpu_milli: support::CAPACITY.cpu_milli,
        rack: Some("r0".to_owned()),
        ..support::tasks(n)
    };
    let mut play = WaitPlay::without_accelerators();
    play.start(1, support::job(1, near(N_RACK as u32)));
    (play, support::job(1, near(1)))
}

/// Each rack has one worker in use.
fn gang_of_one_rack() -> (WaitPlay, model::GraphRow) {
    let mut play = WaitPlay::new();
    for (graph, rack) in (0..N_WORKERS / N_RACK).enumerate() {
        let rack = Some(format!("r{rack}"));
        let step = model::GraphStep { rack, ..support::whole_workers(1) };
        play.start(graph as u64, support::job(1, step));
    }
    let step = support::gang(support::whole_workers(N_RACK as u32));
    (play, support::job(1, model::GraphStep { same_rack: true, ..step }))
}

/// Urgent work has used most of the pool, and is over.
fn behind_urgent_work() -> (WaitPlay, model::GraphRow) {
    let mut play = WaitPlay::new();
    play.start(1, support::job(0, support::whole_workers(40)));
    play.pass(20_000);
    play.end(1);
    play.start(2, support::job(2, support::whole_workers(10)));
    (play, support::job(2, support::whole_workers(1)))
}

/// A job takes all of the room that is kept for urgent work, once it has stood still.
#[test]
fn one_task_of_a_standing_job_takes_room_that_is_kept() {
    let (mut play, _) = behind_urgent_work();
    play.bench.admit(3, support::job(2, support::whole_workers(20)));
    play.pass(STARTS_WITHIN_MS);
    assert_eq!(play.running.iter().filter(|it| it.task.graph == 3).count(), 1);
}

/// Jobs that stand still take more than half of the pool at once.
#[test]
fn standing_jobs_leave_half_of_the_pool_to_urgent_work() {
    let (mut play, row) = behind_urgent_work();
    let n_before = play.n_in_use();
    for graph in 0..N_WORKERS as u64 {
        play.bench.admit(100 + graph, row.clone());
    }
    play.pass(STARTS_WITHIN_MS);
    assert!(play.n_in_use() > n_before);
    assert!(2 * play.n_in_use() <= N_WORKERS, "{} of {N_WORKERS} are in use", play.n_in_use());
}

/// A job stands still for as long as the start of one of its tasks is open.
#[test]
fn a_task_takes_room_that_is_kept_although_a_start_of_its_job_is_open() {
    let (mut play, _) = behind_urgent_work();
    // One worker less leaves no other one beside those that are kept.
    play.start(4, support::job(0, support::whole_workers(3)));
    play.bench.admit(3, support::job(2, support::whole_workers(2)));
    play.lose_start();
    play.pass(STARTS_WITHIN_MS);
    assert!(play.runs(3), "{} of {N_WORKERS} workers are in use", play.n_in_use());
}

macro_rules! waits {
    ($($(#[$doc:meta])* $name:ident: $situation:ident;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            let (play, row) = $situation();
            check_starts(play, row);
        })*
    };
}

waits! {
    /// A job of which nothing runs waits for its rack although most of the pool is empty.
    a_job_beside_a_full_rack_starts_elsewhere: near_its_data;
    /// A job of a pool without accelerators waits for its rack although most of the pool is empty.
    a_job_without_accelerators_starts_elsewhere: near_its_data_without_accelerators;
    /// A gang of which nothing runs waits for a whole rack although most of the pool is empty.
    a_gang_without_a_rack_starts_across_racks: gang_of_one_rack;
    /// A job of which nothing runs waits for workers that are kept empty although most of the pool is empty.
    a_job_takes_workers_that_are_kept_empty: behind_urgent_work;
}

/// A pool after a takeover, one worker of which does not answer.
fn unreached() -> support::PoolBench {
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

fn pass_unreached(bench: &mut support::PoolBench, seconds: u64) {
    for _ in 0..seconds * 10 {
        bench.advance(100);
        bench.core.set_wall_time(bench.now);
        for worker in 0..3 {
            bench.answer_poll(worker, &[], &[]);
        }
        bench.run_round_and_start();
    }
}

/// A wait goes on without a line behind the first.
#[test]
fn a_wait_is_told_at_growing_intervals() {
    let mut note = wait_timer::WaitTimer::new(Duration::ZERO);
    let mut told = Vec::new();
    for second in 0..=150 {
        let now = Duration::from_secs(second);
        if note.is_due(now) {
            note.note_reported(now);
            told.push(second);
        }
    }
    assert_eq!(told, [1, 5, 21, 81, 141]);
}

/// A job waits for a worker that an earlier scheduler has used, and nothing says so.
#[test]
fn a_wait_behind_a_takeover_names_the_worker() {
    let mut bench = unreached();
    pass_unreached(&mut bench, 5);
    let reason = bench.core.wait_reason(1, bench.now).unwrap();
    assert_eq!(reason.cause, waiting::WaitCause::Takeover);
    assert_eq!(reason.age, Duration::from_secs(5));
    let detail = "1 workers of an earlier scheduler have not answered, such as w03; 35000 ms more";
    assert_eq!(reason.detail, detail);
}

/// Nobody sees that a job is left standing although there is room.
#[test]
fn jobs_left_standing_beside_room_are_counted() {
    let mut bench = unreached();
    pass_unreached(&mut bench, 2);
    assert_eq!(bench.core.take_wait_counts().n_starved, 0);
    pass_unreached(&mut bench, 10);
    let counts = bench.core.take_wait_counts();
    assert_eq!((counts.n_idle, counts.n_starved, counts.n_newly_starved), (1, 1, 1));
    pass_unreached(&mut bench, 30);
    let counts = bench.core.take_wait_counts();
    assert_eq!((counts.n_starved, counts.n_newly_starved), (0, 0));
}

/// Telling of many jobs that are left standing at once holds the turns up.
#[test]
fn jobs_left_standing_by_the_hundred_are_told_a_few_at_a_time() {
    const N_JOBS: u64 = 300;
    const MOST_LINES: u64 = 16;
    let mut bench = unreached();
    for graph in 2..=N_JOBS {
        bench.inherit(graph, support::job(1, support::tasks(1)), None);
    }
    let mut n_newly_starved = 0;
    for _ in 0..10 {
        pass_unreached(&mut bench, 1);
        let counts = bench.core.take_wait_counts();
        n_newly_starved += counts.n_newly_starved;
        // Two times a second, eight lines that a job waits and as many that one is left.
        assert!(counts.n_lines <= 2 * MOST_LINES, "{} lines in a second", counts.n_lines);
    }
    assert_eq!(n_newly_starved, N_JOBS);
}

/// A job of which nothing runs is never told to wait, as each start that is refused begins its wait anew.
#[test]
fn a_job_whose_starts_are_refused_is_told_to_wait() {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(1, support::tasks(1)));
    for _ in 0..50 {
        bench.advance(TICK_MS);
        bench.core.set_wall_time(bench.now);
        (0..4).for_each(|it| bench.answer_poll(it, &[], &[]));
        for start in support::starts(&bench.run_round()) {
            let refused = order::StartAnswer::Refused(order::StartRefusal::Room);
            bench.core.start_answered(&start, refused, bench.now);
        }
    }
    assert!(bench.core.take_wait_counts().n_lines > 0, "nothing is told in 5 s");
}
