//! Workers of different speeds, with `remember_speeds`.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_graph::order;
use almondpass_schema::model;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::speed_load;
use crate::support;

/// Workers of a pool.
const N_WORKERS: usize = 48;

/// Time that a task takes on a worker of the usual speed.
const RUN_TIME: Duration = Duration::from_millis(2_500);

/// Interval between two polls of all workers.
const POLL_MS: u64 = 500;

/// Pools over which a share is taken.
const SEEDS: std::ops::Range<u64> = 0..8;

/// Workers of a pool and the work of its tasks.
#[derive(Clone, Copy, Debug)]
struct SpeedLoad {
    /// Speeds of the workers, mixed at random.
    speeds: &'static [f64],
    /// Greatest relative difference of a task's work from the usual.
    noise: f64,
    /// Whether `remember_speeds` is on.
    remembers: bool,
}

/// Workers of three speeds, and tasks that differ by a third.
const MIXED: SpeedLoad = SpeedLoad { speeds: &[0.6, 1.0, 1.6], noise: 0.3, remembers: true };

/// Runs steps one after the other on workers of fixed speeds.
struct SpeedPlay {
    bench: support::PoolBench,
    rng: ChaCha8Rng,
    speeds: Vec<f64>,
    n_ends: Vec<u64>,
    noise: f64,
    n_jobs: u64,
}

/// A step that has ended.
#[derive(Clone, Debug, PartialEq)]
struct PlayedStep {
    workers: Vec<usize>,
    took: Duration,
}

/// A run in progress.
struct PlayedRun {
    start: order::StartOrder,
    worker: usize,
    takes: Duration,
}

impl SpeedPlay {
    fn new(load: SpeedLoad, seed: u64) -> SpeedPlay {
        let scheduling = model::SchedulingSettings {
            remember_speeds: load.remembers,
            ..model::SchedulingSettings::default()
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let speed = |_| load.speeds[rng.random_range(0..load.speeds.len())];
        let speeds = (0..N_WORKERS).map(speed).collect();
        let bench = support::PoolBench::with_scheduling(N_WORKERS, scheduling);
        let n_ends = vec![0; N_WORKERS];
        SpeedPlay { bench, rng, speeds, n_ends, noise: load.noise, n_jobs: 0 }
    }

    fn play(&mut self, row: model::GraphRow) -> PlayedStep {
        self.n_jobs += 1;
        self.bench.admit(self.n_jobs, row);
        let starts = self.bench.run_round_and_start();
        let runs = starts.into_iter().map(|it| self.played_run(it)).collect::<Vec<_>>();
        let took = runs.iter().map(|it| it.takes).max().expect("a start");
        let began = self.bench.now;
        while self.bench.now < began + took {
            self.bench.advance(POLL_MS);
            let worked = self.bench.now - began;
            self.answer_polls(&runs, worked);
        }
        self.end(&runs);
        PlayedStep { workers: runs.iter().map(|it| it.worker).collect(), took }
    }

    fn played_run(&mut self, start: order::StartOrder) -> PlayedRun {
        let worker = support::index_of(&start.worker);
        let work = 1.0 + self.noise * self.rng.random_range(-1.0..1.0);
        PlayedRun { start, worker, takes: RUN_TIME.mul_f64(work / self.speeds[worker]) }
    }

    fn answer_polls(&mut self, runs: &[PlayedRun], worked: Duration) {
        let mut by_worker = BTreeMap::<usize, Vec<order::ListedRun>>::new();
        for it in runs {
            let percent = (100.0 * worked.as_secs_f64() / it.takes.as_secs_f64()).min(100.0);
            let listed = support::listed_run(&it.start, percent as u32);
            by_worker.entry(it.worker).or_default().push(listed);
        }
        for (worker, listed) in by_worker {
            self.bench.answer_poll(worker, &listed, &[]);
        }
    }

    fn end(&mut self, runs: &[PlayedRun]) {
        let mut ends = vec![Vec::new(); N_WORKERS];
        for it in runs {
            self.n_ends[it.worker] += 1;
            let number = self.n_ends[it.worker];
            ends[it.worker].push(support::listed_end(number, &it.start, order::EndKind::Done));
        }
        for (worker, ended) in ends.into_iter().enumerate() {
            self.bench.answer_poll(worker, &[], &ended);
        }
        self.bench.save();
    }

    /// Whether a step had a task on a slow worker.
    fn used_slow(&self, step: &PlayedStep) -> bool {
        step.workers.iter().any(|it| self.speeds[*it] < 1.0)
    }
}

/// An urgent gang of whole workers of one rack.
fn urgent_gang(n_tasks: u32) -> model::GraphRow {
    let step = support::gang(support::whole_workers(n_tasks));
    support::job(0, model::GraphStep { same_rack: true, ..step })
}

/// Share of urgent gangs with a slow member, of the last third of 60 in each pool.
fn share_with_slow_member(load: SpeedLoad, n_tasks: u32) -> f64 {
    let mut n_slow = 0;
    for seed in SEEDS {
        let mut play = SpeedPlay::new(load, seed);
        let steps = (0..60).map(|_| play.play(urgent_gang(n_tasks))).collect::<Vec<_>>();
        n_slow += steps[40..].iter().filter(|it| play.used_slow(it)).count();
    }
    n_slow as f64 / (20 * SEEDS.count()) as f64
}

fn check_slow_members(n_tasks: u32, most: f64) {
    let off = share_with_slow_member(SpeedLoad { remembers: false, ..MIXED }, n_tasks);
    let on = share_with_slow_member(MIXED, n_tasks);
    println!("gangs of {n_tasks} with a slow member: {off:.2} off, {on:.2} on");
    assert!(on <= most && on < off, "{on:.2} of the gangs with a slow member, {off:.2} when off");
}

macro_rules! slow_members {
    ($($(#[$doc:meta])* $name:ident: $n_tasks:expr => $most:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { check_slow_members($n_tasks, $most); })*
    };
}

slow_members! {
    /// Guards against small gangs that teach nothing: their workers stay unknown for good.
    gangs_of_two_come_to_avoid_slow_workers: 2 => 0.3;
    gangs_of_three_come_to_avoid_slow_workers: 3 => 0.3;
}

/// Whether workers are found to differ after 30 such steps.
fn is_spread_seen(step: &model::GraphStep) -> bool {
    let mut play = SpeedPlay::new(MIXED, 2);
    (0..30).for_each(|_| drop(play.play(support::job(0, step.clone()))));
    play.bench.core.speed_row().is_some()
}

macro_rules! comparable_steps {
    ($($(#[$doc:meta])* $name:ident: $step:expr => $is_seen:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { assert_eq!(is_spread_seen(&$step), $is_seen); })*
    };
}

/// A gang of whole workers.
fn gang_of(n_tasks: u32, same_rack: bool) -> model::GraphStep {
    model::GraphStep { same_rack, ..support::gang(support::whole_workers(n_tasks)) }
}

/// Single tasks on one worker each, with data in `rack`.
fn tasks_near(rack: &str) -> model::GraphStep {
    model::GraphStep { rack: Some(rack.to_owned()), ..support::whole_workers(8) }
}

comparable_steps! {
    a_gang_in_one_rack_shows_speeds: gang_of(8, true) => true;
    /// Guards against workers that count as slow because their gang was slowed by the distance between racks.
    a_gang_across_racks_shows_no_speeds: gang_of(12, false) => false;
    tasks_near_their_data_show_speeds: tasks_near("r2") => true;
    /// Guards against workers that count as slow because they were remote from the data.
    tasks_remote_from_their_data_show_no_speeds: tasks_near("absent") => false;
}

/// The urgent gangs of several pools that ended from `from` to `to` seconds after the start.
fn gangs_between(load: speed_load::SpeedLoad, from: u64, to: u64) -> Vec<speed_load::PlayedGang> {
    let of_pool = |seed| {
        let mut pool = speed_load::SpeedPool::new(load, seed);
        pool.run(from);
        pool.run(to - from)
    };
    (0..4).flat_map(of_pool).collect()
}

/// Guards against urgent gangs that are late because a member is on a worker of unknown speed, which turns out
/// to be slow, while enough workers are known.
#[test]
fn urgent_gangs_are_in_time_on_mixed_workers() {
    let off = gangs_between(speed_load::MIXED.off(), 20, 40);
    let on = gangs_between(speed_load::MIXED, 20, 40);
    let in_time = |gangs: &[_]| speed_load::share(gangs, |it| it.in_time);
    let has_slow = |gangs: &[_]| speed_load::share(gangs, |it| it.has_slow);
    println!("in time: {:.2} off, {:.2} on", in_time(&off), in_time(&on));
    println!("with a slow member: {:.2} off, {:.2} on", has_slow(&off), has_slow(&on));
    assert!(in_time(&on) >= 0.93, "{:.2} of the gangs in time", in_time(&on));
    assert!(in_time(&on) >= in_time(&off) + 0.05, "{:.2} when off", in_time(&off));
    assert!(has_slow(&on) <= has_slow(&off) / 2.0, "{:.2} with a slow member", has_slow(&on));
}

/// The starts of urgent tasks that were counted by speed, as they are once workers were seen to differ.
fn counted_starts(noise: f64) -> u64 {
    let load = speed_load::SpeedLoad { speeds: &[1.0], noise, ..speed_load::MIXED };
    let of_pool = |seed| {
        let mut pool = speed_load::SpeedPool::new(load, seed);
        pool.run(40);
        let counts = pool.bench.core.take_start_counts();
        counts.n_unknown + counts.n_slow + counts.n_usual
    };
    (0..4).map(of_pool).sum()
}

macro_rules! alike_workers {
    ($($(#[$doc:meta])* $name:ident: $noise:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { assert_eq!(counted_starts($noise), 0); })*
    };
}

alike_workers! {
    /// Guards against alike workers that count as different, as the work of their tasks differs.
    alike_workers_show_no_spread_at_15_percent: 0.15;
    alike_workers_show_no_spread_at_30_percent: 0.3;
}
