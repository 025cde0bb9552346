//! Load simulation on a pool core: jobs arrive at random, workers execute orders, and the outcome of the jobs
//! is counted by class. The simulation is deterministic for a seed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{catalog, order, resources, task_key};
use almondpass_schema::{ids, model};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::admission_gate;
use crate::support;

/// Time between two steps of the simulation.
const TICK: Duration = Duration::from_millis(20);

/// Duration of a stop.
const STOP_DURATION: Duration = Duration::from_millis(200);

/// Longest time between two polls of a worker.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Jobs that arrive within this time of the end of the simulation are not counted.
const UNCOUNTED_TAIL: Duration = Duration::from_secs(40);

/// Arrivals and properties of the jobs of a class.
#[derive(Clone, Debug)]
pub(crate) struct LoadClass {
    /// 0 is the most urgent.
    pub(crate) priority: u32,
    /// Mean number of jobs per second.
    pub(crate) per_second: f64,
    /// Fewest and most tasks of a job.
    pub(crate) tasks: (u32, u32),
    /// Choices for the accelerators of a task.
    pub(crate) accelerators: &'static [u32],
    /// Resources of a task other than accelerators.
    pub(crate) other_resources: resources::Resources,
    /// Whether the tasks of a job form a gang.
    pub(crate) gang: bool,
    /// Whether the tasks have to run in one rack.
    pub(crate) same_rack: bool,
    /// Mean run time; the run time of a job is 0.6 to 1.4 times the mean.
    pub(crate) run: Duration,
    /// Factor of the objective: a job is in time if it ends within `stretch` times its run time plus
    /// `target`.
    pub(crate) stretch: f64,
    /// Constant part of the objective.
    pub(crate) target: Duration,
}

/// An account that submits jobs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadAccount {
    pub(crate) name: &'static str,
    /// Weight of the account among those that submit jobs of the class.
    pub(crate) weight: f64,
}

/// Accounts of a load, and the optional decisions of the scheduler.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountLoad {
    /// Accounts that submit the jobs of each class. All jobs are of the same account if it is empty.
    pub(crate) accounts: Vec<Vec<LoadAccount>>,
    /// Accelerators guaranteed to the urgent work of accounts.
    pub(crate) guaranteed: BTreeMap<ids::AccountId, u32>,
    pub(crate) scheduling: model::SchedulingSettings,
}

/// Tallies by class and account.
pub(crate) type AccountTallies = BTreeMap<(usize, &'static str), ClassTally>;

/// Outcome of the jobs of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ClassTally {
    /// Jobs that count.
    pub(crate) n_counted: u32,
    /// Counted jobs that were in time.
    pub(crate) in_time: u32,
    /// Counted jobs that ended within three times their objective.
    pub(crate) n_useful: u32,
    /// Core-seconds of work thrown away by stops; an accelerator counts as 8 cores.
    pub(crate) discarded: u64,
    /// Core-seconds of counted jobs that were not in time.
    pub(crate) late: u64,
    /// Longest time from the submission of a counted job to the start of its last task, over the jobs of which
    /// all tasks started.
    pub(crate) longest_wait: Duration,
}

impl ClassTally {
    /// Percentage of counted jobs that were in time.
    pub(crate) fn percent(&self) -> u32 {
        100 * self.in_time / self.n_counted.max(1)
    }
}

/// Simulates the load of `classes` for `seconds` on `n_workers` workers. Returns a tally for each class.
pub(crate) fn simulate(
    n_workers: usize,
    classes: &[LoadClass],
    seconds: u64,
    seed: u64,
) -> Vec<ClassTally> {
    let mut simulation = LoadSimulation::new(n_workers, classes, AccountLoad::default(), seed);
    simulation.run_for(seconds);
    simulation.tallies
}

/// A burst of load, with the submissions that are refused for load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadBurst<'a> {
    pub(crate) n_workers: usize,
    /// Classes at the load before and after the burst.
    pub(crate) classes: &'a [LoadClass],
    /// Factor of the load during the burst.
    pub(crate) factor: f64,
    /// Length of the burst, and of the time after it.
    pub(crate) seconds: (u64, u64),
    pub(crate) seed: u64,
    /// Whether submissions are refused.
    pub(crate) refuses: bool,
}

/// Simulates a burst of load after a time at the usual load. Returns a tally for each class, and what became of
/// the refused submissions.
pub(crate) fn simulate_burst(
    burst: LoadBurst<'_>,
) -> (Vec<ClassTally>, admission_gate::RefusalTally) {
    const CALM: Duration = Duration::from_secs(20);
    let scheduling = model::SchedulingSettings {
        refuse_hopeless: burst.refuses,
        ..model::SchedulingSettings::default()
    };
    let load = AccountLoad { scheduling, ..AccountLoad::default() };
    let mut simulation = LoadSimulation::new(burst.n_workers, burst.classes, load, burst.seed);
    let begin = simulation.bench.now + CALM;
    let burst_end = begin + Duration::from_secs(burst.seconds.0);
    let end = burst_end + Duration::from_secs(burst.seconds.1);
    while simulation.bench.now < end {
        let now = simulation.bench.now;
        let is_burst = now >= begin && now < burst_end;
        simulation.factor = if is_burst { burst.factor } else { 1.0 };
        simulation.step(end);
    }
    (simulation.tallies, simulation.gate.tally)
}

/// Simulates the load of `classes`, whose jobs are submitted by several accounts, for `seconds` on `n_workers`
/// workers. Returns a tally for each class and account.
pub(crate) fn simulate_accounts(
    n_workers: usize,
    classes: &[LoadClass],
    load: AccountLoad,
    seconds: u64,
    seed: u64,
) -> AccountTallies {
    let mut simulation = LoadSimulation::new(n_workers, classes, load, seed);
    simulation.run_for(seconds);
    simulation.account_tallies
}

struct LoadSimulation<'a> {
    bench: support::PoolBench,
    classes: &'a [LoadClass],
    rng: ChaCha8Rng,
    jobs: BTreeMap<ids::GraphId, LoadJob>,
    runs: BTreeMap<(usize, task_key::TaskKey), LoadRun>,
    n_ends: Vec<u64>,
    polled_at: Vec<Duration>,
    tallies: Vec<ClassTally>,
    catalog: Arc<catalog::PoolCatalog>,
    gate: admission_gate::AdmissionGate,
    /// Factor of the load at present.
    factor: f64,
    accounts: Vec<Vec<LoadAccount>>,
    account_tallies: AccountTallies,
}

#[derive(Clone, Debug)]
pub(crate) struct LoadJob {
    class: usize,
    account: &'static str,
    /// Tasks that have not started yet.
    n_unstarted: u64,
    submitted_at: Duration,
    run_time: Duration,
    /// Weight of one task, in cores.
    weight: u64,
    n_tasks: u64,
    is_counted: bool,
    /// Whether the job was admitted only to see whether its refusal would have been right.
    pub(crate) is_probe: bool,
}

impl LoadJob {
    fn work(&self) -> u64 {
        self.n_tasks * self.weight * self.run_time.as_millis() as u64 / 1_000
    }
}

struct LoadRun {
    start: order::StartOrder,
    since: Duration,
    ends_at: Duration,
    end_kind: order::EndKind,
}

impl<'a> LoadSimulation<'a> {
    fn new(
        n_workers: usize,
        classes: &'a [LoadClass],
        load: AccountLoad,
        seed: u64,
    ) -> LoadSimulation<'a> {
        let mut bench = support::PoolBench::with_scheduling(n_workers, load.scheduling);
        let catalog = catalog::PoolCatalog { guaranteed: load.guaranteed, ..catalog_of(classes) };
        let catalog = Arc::new(catalog);
        bench.core.set_catalog(Arc::clone(&catalog));
        LoadSimulation {
            bench,
            catalog,
            gate: admission_gate::AdmissionGate::default(),
            factor: 1.0,
            classes,
            rng: ChaCha8Rng::seed_from_u64(seed),
            jobs: BTreeMap::new(),
            runs: BTreeMap::new(),
            n_ends: vec![0; n_workers],
            polled_at: vec![Duration::ZERO; n_workers],
            tallies: vec![ClassTally::default(); classes.len()],
            accounts: load.accounts,
            account_tallies: AccountTallies::new(),
        }
    }

    fn run_for(&mut self, seconds: u64) {
        let end = self.bench.now + Duration::from_secs(seconds);
        while self.bench.now < end {
            self.step(end);
        }
    }

    /// Draws the account of a new job; nothing is drawn if the class has none or one.
    fn draw_account(&mut self, class: usize) -> &'static str {
        let accounts = self.accounts.get(class).map(Vec::as_slice).unwrap_or_default();
        let (last, others) = match accounts {
            [] => return "lab",
            [only] => return only.name,
            [others @ .., last] => (last, others),
        };
        let sum = accounts.iter().map(|it| it.weight).sum::<f64>();
        let mut drawn = self.rng.random_range(0.0..sum);
        for account in others {
            if drawn < account.weight {
                return account.name;
            }
            drawn -= account.weight;
        }
        last.name
    }

    /// Changes the tallies of the job's class and account.
    fn tally(&mut self, graph: ids::GraphId, change: impl Fn(&mut ClassTally, &LoadJob)) {
        let job = self.jobs[&graph].clone();
        self.tally_job(&job, change);
    }

    fn tally_job(&mut self, job: &LoadJob, change: impl Fn(&mut ClassTally, &LoadJob)) {
        change(&mut self.tallies[job.class], job);
        change(self.account_tallies.entry((job.class, job.account)).or_default(), job);
    }

    fn step(&mut self, end: Duration) {
        self.bench.now += TICK;
        self.bench.core.set_wall_time(self.bench.now);
        for class in 0..self.classes.len() {
            let chance = self.factor * self.classes[class].per_second * TICK.as_secs_f64();
            if self.rng.random_bool(chance) {
                self.submit(class, self.bench.now + UNCOUNTED_TAIL < end);
            }
        }
        for worker in 0..self.n_ends.len() {
            self.answer_poll_of(worker);
        }
        for returned in self.gate.take_returning(self.bench.now) {
            self.offer(returned);
        }
        let orders = self.bench.run_round();
        for stop in support::stops(&orders) {
            self.stop(&stop);
        }
        for start in support::starts(&orders) {
            self.start(start);
        }
        self.bench.save();
        self.count_completed();
    }

    fn submit(&mut self, class: usize, is_counted: bool) {
        let spec = &self.classes[class];
        let n_tasks = self.rng.random_range(spec.tasks.0..=spec.tasks.1);
        let accelerators = spec.accelerators[self.rng.random_range(0..spec.accelerators.len())];
        let run_time = spec.run.mul_f64(self.rng.random_range(0.6..1.4));
        let step = model::GraphStep {
            accelerators,
            cpu_milli: spec.other_resources.cpu_milli,
            memory_mb: spec.other_resources.memory_mb,
            gang: spec.gang,
            same_rack: spec.same_rack,
            estimate_ms: spec.run.as_millis() as u32,
            ..support::tasks(n_tasks)
        };
        let weight = resources::Resources::of_step(&step).weight() / 1_000;
        let account = self.draw_account(class);
        let n_tasks = u64::from(n_tasks);
        let job = LoadJob {
            class,
            account,
            n_unstarted: n_tasks,
            submitted_at: self.bench.now,
            run_time,
            weight,
            n_tasks,
            is_counted,
            is_probe: false,
        };
        if is_counted {
            self.tally_job(&job, |tally, job| {
                tally.n_counted += 1;
                tally.late += job.work();
            });
        }
        let row = support::job(self.classes[class].priority, step);
        let row = model::GraphRow { account: Some(account.to_owned()), ..row };
        self.offer(admission_gate::LoadOffer { job, row, is_return: false });
    }

    /// Submits a job, which may be refused for load.
    fn offer(&mut self, offer: admission_gate::LoadOffer) {
        let load = self.bench.core.load_summary(self.bench.now);
        let admitted = self.gate.decide(offer, &self.catalog, load.as_ref(), self.bench.now);
        let Some(admission_gate::LoadOffer { mut job, row, .. }) = admitted else { return };
        let graph = self.jobs.len() as ids::GraphId + 1;
        job.submitted_at = self.bench.now;
        self.bench.admit(graph, row);
        self.jobs.insert(graph, job);
    }

    fn start(&mut self, start: order::StartOrder) {
        self.bench.confirm_start(&start);
        let now = self.bench.now;
        let ends_at = now + self.jobs[&start.task.graph].run_time;
        self.count_start(start.task.graph);
        let key = (support::index_of(&start.worker), start.task);
        self.runs
            .insert(key, LoadRun { start, since: now, ends_at, end_kind: order::EndKind::Done });
    }

    fn count_start(&mut self, graph: ids::GraphId) {
        let now = self.bench.now;
        let Some(job) = self.jobs.get_mut(&graph).filter(|it| it.n_unstarted > 0) else { return };
        job.n_unstarted -= 1;
        if job.n_unstarted == 0 && job.is_counted {
            let waited = now.saturating_sub(job.submitted_at);
            self.tally(graph, |tally, _| tally.longest_wait = tally.longest_wait.max(waited));
        }
    }

    fn stop(&mut self, stop: &order::StopOrder) {
        let now = self.bench.now;
        self.bench.core.stop_answered(stop, true, now);
        let key = (support::index_of(&stop.worker), stop.task);
        let Some(run) = self.runs.get_mut(&key) else { return };
        if run.ends_at <= now + STOP_DURATION || run.end_kind == order::EndKind::Stopped {
            return;
        }
        (run.ends_at, run.end_kind) = (now + STOP_DURATION, order::EndKind::Stopped);
        let ran = now.saturating_sub(run.since).as_secs();
        self.tally(stop.task.graph, |tally, job| tally.discarded += ran * job.weight);
    }

    fn answer_poll_of(&mut self, worker: usize) {
        let now = self.bench.now;
        let first_task = task_key::TaskKey { graph: 0, occurrence: 0, step: 0, task: 0 };
        let first_key = |worker| (worker, first_task);
        let runs = self.runs.range(first_key(worker)..first_key(worker + 1));
        let (over_runs, running_runs): (Vec<_>, Vec<_>) =
            runs.partition(|(_, it)| it.ends_at <= now);
        if over_runs.is_empty() && now < self.polled_at[worker] + POLL_INTERVAL {
            return;
        }
        self.polled_at[worker] = now;
        let percent = |it: &LoadRun| {
            let run_time = self.jobs[&it.start.task.graph].run_time;
            (100.0 * now.saturating_sub(it.since).div_duration_f64(run_time)) as u32
        };
        let running =
            running_runs.iter().map(|(_, it)| support::listed_run(&it.start, percent(it)));
        let running = running.collect::<Vec<_>>();
        let first = self.n_ends[worker] + 1;
        let ended = over_runs.iter().zip(first..);
        let ended =
            ended.map(|((_, it), number)| support::listed_end(number, &it.start, it.end_kind));
        let ended = ended.collect::<Vec<_>>();
        self.n_ends[worker] += ended.len() as u64;
        for key in over_runs.iter().map(|(key, _)| **key).collect::<Vec<_>>() {
            self.runs.remove(&key);
        }
        self.bench.answer_poll(worker, &running, &ended);
    }

    fn count_completed(&mut self) {
        for finished in self.bench.core.take_finished() {
            assert_eq!(finished.state, model::GraphState::Completed);
        }
        let now = self.bench.now;
        let core = &self.bench.core;
        let is_done = |it: &ids::GraphId| {
            core.state_of(*it).is_some_and(|it| it.state == model::GraphState::Completed)
        };
        let done = self.jobs.iter().filter(|(id, it)| it.is_counted && is_done(id));
        for graph in done.map(|(id, _)| *id).collect::<Vec<_>>() {
            let Some(job) = self.jobs.get_mut(&graph) else { continue };
            // Each job is counted once.
            job.is_counted = false;
            let class = &self.classes[job.class];
            let objective = job.run_time.mul_f64(class.stretch) + class.target;
            if now <= job.submitted_at + 3 * objective {
                self.tallies[job.class].n_useful += 1;
                self.gate.tally.n_useful_probes += u32::from(job.is_probe);
            }
            if now <= job.submitted_at + objective {
                self.tally(graph, |tally, job| {
                    tally.in_time += 1;
                    tally.late -= job.work();
                });
            }
        }
    }
}

fn catalog_of(classes: &[LoadClass]) -> catalog::PoolCatalog {
    let named = classes.iter().map(|it| {
        let spec = catalog::ClassSpec {
            upstream: "analysis".to_owned(),
            priority: it.priority,
            max_attempts: 2,
            stretch: it.stretch,
            target_latency: it.target,
        };
        (format!("class-{}", it.priority), spec)
    });
    catalog::PoolCatalog { classes: named.collect(), ..catalog::PoolCatalog::default() }
}
