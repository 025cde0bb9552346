//! Load on workers of different speeds: jobs of three classes arrive at random, tasks of one step differ, and
//! urgent gangs are counted. The simulation is deterministic for a seed.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_graph::{order, save_queue, saving, task_key};
use almondpass_schema::{ids, model};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support;

/// Workers of the pool, in racks of eight.
pub(crate) const N_WORKERS: usize = 96;

/// Time between two steps of the simulation.
const TICK: Duration = Duration::from_millis(50);

/// Longest time between two polls of a worker.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Duration of a stop.
const STOP_DURATION: Duration = Duration::from_millis(200);

/// Accelerators of one member of an urgent gang.
const URGENT_ACCELERATORS: u32 = 4;

/// Workers of a pool, and the jobs that it gets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpeedLoad {
    /// Speeds of the workers, mixed at random.
    pub(crate) speeds: &'static [f64],
    /// Greatest relative difference of a task's work from that of its step.
    pub(crate) noise: f64,
    /// Urgent gangs per second.
    pub(crate) urgent_per_second: f64,
    /// Whether `remember_speeds` is on.
    pub(crate) remembers: bool,
}

/// Workers of three speeds, and tasks that differ by a third.
pub(crate) const MIXED: SpeedLoad =
    SpeedLoad { speeds: &[0.6, 1.0, 1.6], noise: 0.3, urgent_per_second: 1.0, remembers: true };

impl SpeedLoad {
    /// The same load with `remember_speeds` off.
    pub(crate) fn off(self) -> SpeedLoad {
        SpeedLoad { remembers: false, ..self }
    }
}

/// An urgent gang that has ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlayedGang {
    pub(crate) submitted_at: Duration,
    /// Workers of its last attempt.
    pub(crate) workers: Vec<usize>,
    /// Whether a member was on a slow worker.
    pub(crate) has_slow: bool,
    /// Whether it ended within its objective.
    pub(crate) in_time: bool,
}

/// Share of gangs.
pub(crate) fn share(gangs: &[PlayedGang], counts: impl Fn(&PlayedGang) -> bool) -> f64 {
    gangs.iter().filter(|it| counts(it)).count() as f64 / gangs.len().max(1) as f64
}

/// A pool under load.
pub(crate) struct SpeedPool {
    pub(crate) bench: support::PoolBench,
    pub(crate) speeds: Vec<f64>,
    load: SpeedLoad,
    rng: ChaCha8Rng,
    jobs: BTreeMap<ids::GraphId, LoadJob>,
    runs: BTreeMap<(usize, task_key::TaskKey), LoadRun>,
    n_ends: Vec<u64>,
    polled_at: Vec<Duration>,
    /// The urgent gangs that have ended.
    pub(crate) gangs: Vec<PlayedGang>,
    /// Writes of the row of speeds.
    pub(crate) n_speed_rows: usize,
}

struct LoadJob {
    is_urgent: bool,
    is_gang: bool,
    submitted_at: Duration,
    work: Duration,
    workers: Vec<usize>,
}

struct LoadRun {
    start: order::StartOrder,
    since: Duration,
    takes: Duration,
    ends_at: Duration,
    end_kind: order::EndKind,
}

impl SpeedPool {
    pub(crate) fn new(load: SpeedLoad, seed: u64) -> SpeedPool {
        let scheduling = model::SchedulingSettings {
            remember_speeds: load.remembers,
            ..model::SchedulingSettings::default()
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut speed = |_| load.speeds[rng.random_range(0..load.speeds.len())];
        let speeds = (0..N_WORKERS).map(&mut speed).collect();
        SpeedPool {
            bench: support::PoolBench::with_scheduling(N_WORKERS, scheduling),
            speeds,
            load,
            rng,
            jobs: BTreeMap::new(),
            runs: BTreeMap::new(),
            n_ends: vec![0; N_WORKERS],
            polled_at: vec![Duration::ZERO; N_WORKERS],
            gangs: Vec::new(),
            n_speed_rows: 0,
        }
    }

    /// Runs the load for some seconds; returns the urgent gangs that ended in that time.
    pub(crate) fn run(&mut self, seconds: u64) -> Vec<PlayedGang> {
        let end = self.bench.now + Duration::from_secs(seconds);
        let n_before = self.gangs.len();
        while self.bench.now < end {
            self.step();
        }
        self.gangs[n_before..].to_vec()
    }

    fn step(&mut self) {
        self.bench.now += TICK;
        self.bench.core.set_wall_time(self.bench.now);
        self.submit_some();
        for worker in 0..N_WORKERS {
            self.answer_poll_of(worker);
        }
        let orders = self.bench.run_round();
        for stop in support::stops(&orders) {
            self.stop(&stop);
        }
        self.start_all(support::starts(&orders));
        self.save();
        self.count_ended();
    }

    fn save(&mut self) {
        while let Some(batch) = self.bench.take_save_batch() {
            let is_speeds = |it: &&saving::SaveRow| it.key == save_queue::SaveRowKey::Speeds;
            self.n_speed_rows += batch.rows.iter().filter(is_speeds).count();
            self.bench.core.batch_saved(batch);
        }
    }

    fn submit_some(&mut self) {
        if self.arrives(self.load.urgent_per_second) {
            let n_tasks = self.rng.random_range(3..=7);
            let step = support::gang(support::tasks(n_tasks));
            let same_rack = self.rng.random_bool(0.8);
            let accelerators = URGENT_ACCELERATORS;
            self.submit(0, 2_100, model::GraphStep { accelerators, same_rack, ..step });
        }
        if self.arrives(0.4) {
            let step = support::gang(support::tasks(13));
            self.submit(1, 5_800, model::GraphStep { same_rack: true, ..step });
        }
        if self.arrives(0.8) {
            let n_tasks = self.rng.random_range(10..=68);
            self.submit(2, 8_100, support::tasks(n_tasks));
        }
    }

    fn arrives(&mut self, per_second: f64) -> bool {
        self.rng.random_bool(per_second * TICK.as_secs_f64())
    }

    fn submit(&mut self, priority: u32, mean_ms: u64, step: model::GraphStep) {
        let graph = self.jobs.len() as ids::GraphId + 1;
        let work = Duration::from_millis(mean_ms).mul_f64(self.rng.random_range(0.6..1.4));
        let job = LoadJob {
            is_urgent: priority == 0,
            is_gang: step.gang,
            submitted_at: self.bench.now,
            work,
            workers: Vec::new(),
        };
        self.jobs.insert(graph, job);
        self.bench.admit(graph, support::job(priority, step));
    }

    fn start_all(&mut self, starts: Vec<order::StartOrder>) {
        let now = self.bench.now;
        let mut slowest = BTreeMap::<ids::GraphId, Duration>::new();
        let graphs = starts.iter().map(|it| it.task.graph).collect::<Vec<_>>();
        for graph in graphs {
            self.jobs.get_mut(&graph).expect("a job").workers.clear();
        }
        let mut keys = Vec::new();
        for start in starts {
            self.bench.confirm_start(&start);
            let worker = support::index_of(&start.worker);
            let factor = 1.0 + self.load.noise * self.rng.random_range(-1.0..1.0);
            let job = self.jobs.get_mut(&start.task.graph).expect("a job");
            job.workers.push(worker);
            let takes = job.work.mul_f64(factor / self.speeds[worker]);
            let slowest = slowest.entry(start.task.graph).or_default();
            *slowest = takes.max(*slowest);
            keys.push((worker, start.task));
            let end_kind = order::EndKind::Done;
            let run = LoadRun { start, since: now, takes, ends_at: now + takes, end_kind };
            self.runs.insert(*keys.last().expect("a key"), run);
        }
        // A gang ends with its last member.
        for key in keys.iter().filter(|it| self.jobs[&it.1.graph].is_gang) {
            if let Some(run) = self.runs.get_mut(key) {
                run.ends_at = now + slowest[&key.1.graph];
            }
        }
    }

    fn stop(&mut self, stop: &order::StopOrder) {
        let now = self.bench.now;
        self.bench.core.stop_answered(stop, true, now);
        let key = (support::index_of(&stop.worker), stop.task);
        let Some(run) = self.runs.get_mut(&key) else { return };
        if run.ends_at > now + STOP_DURATION && run.end_kind != order::EndKind::Stopped {
            (run.ends_at, run.end_kind) = (now + STOP_DURATION, order::EndKind::Stopped);
        }
    }

    fn answer_poll_of(&mut self, worker: usize) {
        let now = self.bench.now;
        let runs = self.runs.iter().filter(|(it, _)| it.0 == worker);
        let (over, running): (Vec<_>, Vec<_>) = runs.partition(|(_, it)| it.ends_at <= now);
        if over.is_empty() && now < self.polled_at[worker] + POLL_INTERVAL {
            return;
        }
        self.polled_at[worker] = now;
        let percent = |it: &LoadRun| {
            (100.0 * now.saturating_sub(it.since).div_duration_f64(it.takes)).min(100.0) as u32
        };
        let running = running.iter().map(|(_, it)| support::listed_run(&it.start, percent(it)));
        let running = running.collect::<Vec<_>>();
        let first = self.n_ends[worker] + 1;
        let ended = over.iter().zip(first..);
        let ended =
            ended.map(|((_, it), number)| support::listed_end(number, &it.start, it.end_kind));
        let ended = ended.collect::<Vec<_>>();
        let keys = over.iter().map(|(key, _)| **key).collect::<Vec<_>>();
        self.n_ends[worker] += ended.len() as u64;
        for key in keys {
            self.runs.remove(&key);
        }
        self.bench.answer_poll(worker, &running, &ended);
    }

    fn count_ended(&mut self) {
        let now = self.bench.now;
        let _ = self.bench.core.take_finished();
        let core = &self.bench.core;
        let is_done = |it: &ids::GraphId| {
            core.state_of(*it).is_some_and(|it| it.state == model::GraphState::Completed)
        };
        for (_, job) in self.jobs.iter_mut().filter(|(id, it)| it.is_urgent && is_done(id)) {
            job.is_urgent = false;
            let objective = job.work.mul_f64(1.5) + Duration::from_millis(250);
            self.gangs.push(PlayedGang {
                submitted_at: job.submitted_at,
                workers: job.workers.clone(),
                has_slow: job.workers.iter().any(|it| self.speeds[*it] < 0.9),
                in_time: now <= job.submitted_at + objective,
            });
        }
    }
}
