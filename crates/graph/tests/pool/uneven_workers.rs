//! Simulation of urgent gangs on workers of three speeds. The work of a job varies, and a few jobs take several
//! times as long as usual. The simulation is deterministic for a seed.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_graph::{late_runs, order, task_key};
use almondpass_schema::ids;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::late_runs as tests;
use crate::support;

/// Time between two steps of the simulation.
const TICK: Duration = Duration::from_millis(20);

/// Duration of a stop.
const STOP_DURATION: Duration = Duration::from_millis(250);

/// Mean work of a task.
const MEAN_WORK_MS: f64 = 2_100.0;

/// Chance of a job that takes `LONG_FACTOR` times as long as usual.
const LONG_CHANCE: f64 = 0.03;

const LONG_FACTOR: f64 = 7.0;

/// Members of a gang.
const MEMBERS: u32 = 5;

/// Jobs that arrive within this time of the end of the simulation are not counted.
const UNCOUNTED_TAIL: Duration = Duration::from_secs(40);

/// Load and workers of one simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnevenLoad {
    pub(crate) n_workers: usize,
    /// Factors of the usual speed, mixed within each rack.
    pub(crate) speeds: [f64; 3],
    pub(crate) jobs_per_second: f64,
    pub(crate) seconds: u64,
    /// Interval between two polls of a worker.
    pub(crate) poll_interval: Duration,
    pub(crate) moves_late_runs: bool,
    pub(crate) seed: u64,
}

/// Outcome of a simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnevenTally {
    pub(crate) n_counted: u32,
    pub(crate) n_in_time: u32,
    pub(crate) n_early_polls: u64,
    pub(crate) n_moved: u32,
    pub(crate) n_not_moved: BTreeMap<&'static str, u32>,
}

struct UnevenJob {
    submitted_at: Duration,
    /// Work of each member.
    work: Vec<Duration>,
    /// Work of the job, by which its objective is counted.
    nominal: Duration,
    is_counted: bool,
}

struct UnevenRun {
    start: order::StartOrder,
    worker: usize,
    /// Work done, as time on a worker of the usual speed.
    done: Duration,
    stops_at: Option<Duration>,
}

struct UnevenSimulation {
    load: UnevenLoad,
    bench: support::PoolBench,
    rng: ChaCha8Rng,
    jobs: BTreeMap<ids::GraphId, UnevenJob>,
    runs: BTreeMap<task_key::TaskKey, UnevenRun>,
    n_ends: Vec<u64>,
    polled_at: Vec<Duration>,
    tally: UnevenTally,
}

/// Simulates a load and counts the jobs that are in time.
pub(crate) fn simulate(load: UnevenLoad) -> UnevenTally {
    let bench = tests::bench_with(load.n_workers, load.moves_late_runs);
    let mut simulation = UnevenSimulation {
        load,
        bench,
        rng: ChaCha8Rng::seed_from_u64(load.seed),
        jobs: BTreeMap::new(),
        runs: BTreeMap::new(),
        n_ends: vec![0; load.n_workers],
        polled_at: vec![Duration::ZERO; load.n_workers],
        tally: UnevenTally::default(),
    };
    let end = simulation.bench.now + Duration::from_secs(load.seconds);
    while simulation.bench.now < end {
        simulation.step(end);
    }
    simulation.tally
}

impl UnevenSimulation {
    fn step(&mut self, end: Duration) {
        self.bench.now += TICK;
        self.bench.core.set_wall_time(self.bench.now);
        if self.rng.random_bool(self.load.jobs_per_second * TICK.as_secs_f64()) {
            self.submit(self.bench.now + UNCOUNTED_TAIL < end);
        }
        self.work();
        for worker in 0..self.load.n_workers {
            let is_over = |it: &UnevenRun| it.worker == worker && self.end_of(it).is_some();
            let has_ends = self.runs.values().any(is_over);
            if has_ends || self.bench.now >= self.polled_at[worker] + self.load.poll_interval {
                self.answer_poll(worker);
            }
        }
        for order in self.bench.run_round() {
            self.execute(order);
        }
        self.bench.save();
        self.count();
    }

    fn submit(&mut self, is_counted: bool) {
        let factor = if self.rng.random_bool(LONG_CHANCE) { LONG_FACTOR } else { 1.0 };
        let nominal = MEAN_WORK_MS * factor * self.rng.random_range(0.7..1.3) / 1_000.0;
        let nominal = Duration::from_secs_f64(nominal);
        let work = (0..MEMBERS).map(|_| nominal.mul_f64(self.rng.random_range(0.85..1.15)));
        let work = work.collect();
        let graph = self.jobs.len() as ids::GraphId + 1;
        self.bench.admit(graph, tests::urgent_gang(MEMBERS));
        let submitted_at = self.bench.now;
        self.jobs.insert(graph, UnevenJob { submitted_at, work, nominal, is_counted });
        self.tally.n_counted += u32::from(is_counted);
    }

    /// Advances the gangs all of whose members run.
    fn work(&mut self) {
        let speeds = self.load.speeds;
        let mut n_members = BTreeMap::<ids::GraphId, u32>::new();
        self.runs.keys().for_each(|it| *n_members.entry(it.graph).or_default() += 1);
        for (key, run) in &mut self.runs {
            if n_members[&key.graph] == MEMBERS {
                run.done += TICK.mul_f64(speeds[run.worker % speeds.len()]);
            }
        }
    }

    /// How a run has ended, if it has. The members of a gang end together.
    fn end_of(&self, run: &UnevenRun) -> Option<order::EndKind> {
        if let Some(stops_at) = run.stops_at {
            return (self.bench.now >= stops_at).then_some(order::EndKind::Stopped);
        }
        let job = &self.jobs[&run.start.task.graph];
        let members = self.runs.values().filter(|it| it.start.task.graph == run.start.task.graph);
        let is_complete = members.clone().count() == MEMBERS as usize
            && members.clone().all(|it| it.done >= job.work[it.start.task.task as usize]);
        is_complete.then_some(order::EndKind::Done)
    }

    fn answer_poll(&mut self, worker: usize) {
        self.polled_at[worker] = self.bench.now;
        let on_worker = self.runs.values().filter(|it| it.worker == worker);
        let (mut running, mut ended, mut over) = (Vec::new(), Vec::new(), Vec::new());
        for run in on_worker {
            if let Some(how) = self.end_of(run) {
                let number = self.n_ends[worker] + ended.len() as u64 + 1;
                ended.push(support::listed_end(number, &run.start, how));
                over.push(run.start.task);
            } else {
                let work = self.jobs[&run.start.task.graph].work[run.start.task.task as usize];
                let percent = (100.0 * run.done.div_duration_f64(work)).min(100.0) as u32;
                running.push(support::listed_run(&run.start, percent));
            }
        }
        self.n_ends[worker] += ended.len() as u64;
        // The members on other workers have to find the gang complete too.
        let is_complete = |it: &order::ListedEnd| it.how == order::EndKind::Done;
        let complete = ended.iter().filter(|it| is_complete(it)).map(|it| it.task.graph);
        for graph in complete.collect::<Vec<_>>() {
            let members = self.runs.iter().filter(|(key, _)| key.graph == graph);
            let keys = members.map(|(key, _)| *key).collect::<Vec<_>>();
            for key in keys.into_iter().filter(|it| !over.contains(it)) {
                self.end_member(key);
            }
        }
        for key in over {
            self.runs.remove(&key);
        }
        self.bench.answer_poll(worker, &running, &ended);
    }

    /// Ends a member of a gang that is complete, on another worker than the one that is polled.
    fn end_member(&mut self, key: task_key::TaskKey) {
        let Some(run) = self.runs.remove(&key) else { return };
        self.n_ends[run.worker] += 1;
        let number = self.n_ends[run.worker];
        let end = support::listed_end(number, &run.start, order::EndKind::Done);
        self.polled_at[run.worker] = self.bench.now;
        self.bench.answer_poll(run.worker, &[], &[end]);
    }

    fn execute(&mut self, order: order::PoolOrder) {
        match order {
            order::PoolOrder::Start(start) => {
                self.bench.confirm_start(&start);
                let worker = support::index_of(&start.worker);
                let run = UnevenRun { start, worker, done: Duration::ZERO, stops_at: None };
                self.runs.insert(run.start.task, run);
            }
            order::PoolOrder::Stop(stop) => {
                let now = self.bench.now;
                self.bench.core.stop_answered(&stop, true, now);
                if let Some(run) = self.runs.get_mut(&stop.task) {
                    run.stops_at.get_or_insert(now + STOP_DURATION);
                }
            }
            order::PoolOrder::Poll { worker } => self.answer_poll(support::index_of(&worker)),
        }
    }

    fn count(&mut self) {
        let counts = self.bench.core.take_move_counts();
        self.tally.n_early_polls += counts.n_early_polls;
        for decision in counts.decisions {
            if decision == late_runs::MoveDecision::Moved {
                self.tally.n_moved += 1;
            } else {
                *self.tally.n_not_moved.entry(decision.name()).or_default() += 1;
            }
        }
        let now = self.bench.now;
        let core = &self.bench.core;
        let is_done = |it: &ids::GraphId| {
            let status = core.state_of(*it);
            status.is_some_and(|it| it.state == almondpass_schema::model::GraphState::Completed)
        };
        for (_, job) in self.jobs.iter_mut().filter(|(id, it)| it.is_counted && is_done(id)) {
            // Each job is counted once.
            job.is_counted = false;
            let objective = job.nominal.mul_f64(tests::STRETCH) + tests::TARGET;
            self.tally.n_in_time += u32::from(now <= job.submitted_at + objective);
        }
    }
}
