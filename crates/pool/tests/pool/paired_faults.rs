//! Storms of paired faults: faults that follow each other within a second and overlap, under load.
//!
//! A long run: `POOL_STORM_CASES=200 POOL_STORM_SEED=1 cargo test --release -p almondpass-pool --test pool
//! -- --nocapture storms_of_paired_faults`. It plays all seeds and prints each that breaks a rule.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use almondpass_graph::{order, task_key};
use almondpass_peer::call::PeerCall;
use almondpass_schema::{ids, model};
use almondpass_standin::fault;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::AbortHandle;
use tokio::time::{self, Instant};

use crate::storm_oracle;
use crate::support;

const N_WORKERS: usize = 8;
const ACCELERATORS_PER_WORKER: u32 = 8;

/// Strengths of the instances, in thousandths of a core.
const STRENGTHS: [u32; 3] = [150, 250, 400];

/// Rounds of a storm; each has one or two pairs of faults.
const N_ROUNDS: usize = 4;

/// Time in which the first tenure settles.
const STARTING_TIME: Duration = Duration::from_secs(8);

/// Time after the last fault in which all jobs have to end.
const SETTLING_TIME: Duration = Duration::from_secs(90);

/// Interval between two checks of something that an action waits for.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Length of a round, and that of one with several takeovers.
const ROUND_MS: Range<u64> = 9_000..14_000;
const TAKEOVERS_MS: u64 = 30_000;

/// Seeds that CI plays.
const FIXED_SEEDS: [u64; 6] = [1_000, 1_003, 1_004, 1_005, 1_006, 1_007];

/// Two faults that come close together, or a fault and the work that it hits.
#[derive(Clone, Copy, Debug)]
enum FaultPair {
    /// The holder is cut off from the store, and a worker is cut off.
    CutHolderAndCutWorker,
    /// The holder is cut off from the store, and a worker crashes.
    CutHolderAndLostWorker,
    /// The holder is cut off from the store while a task fails for the last time and others of its job end;
    /// then the worker of the failed task crashes.
    CutHolderAndFailedJob,
    /// A worker is lost while the pool is full, and several takeovers follow.
    LostWorkerAndTakeovers,
    /// All instances are killed, and start again at once; a worker is cut off.
    KilledInstancesAndCutWorker,
    /// The store is silent while a job is submitted, and writes take effect seconds later; the job is cancelled.
    SilentStoreAndCancelledJob,
    /// Runs are stopped for urgent work, and the holder is cut off from the store; a worker is cut off.
    UrgentWorkAndCutHolder,
}

const PAIRS: [FaultPair; 7] = [
    FaultPair::CutHolderAndCutWorker,
    FaultPair::CutHolderAndLostWorker,
    FaultPair::CutHolderAndFailedJob,
    FaultPair::LostWorkerAndTakeovers,
    FaultPair::KilledInstancesAndCutWorker,
    FaultPair::SilentStoreAndCancelledJob,
    FaultPair::UrgentWorkAndCutHolder,
];

/// What a storm does at a planned time.
#[derive(Clone, Debug)]
enum StormAction {
    Submit(ids::GraphId, Box<model::GraphRow>),
    /// Cancels a job at another instance, once its submission was answered.
    Cancel(ids::GraphId),
    Look(ids::GraphId),
    CutHolder {
        condition: fault::Condition,
        lasts: Duration,
    },
    CutWorker {
        lasts: Duration,
    },
    /// Crashes a worker, which then offers that many accelerators.
    CrashWorker {
        mode: support::RestartMode,
        down: Duration,
        accelerators: u32,
    },
    /// Crashes the worker on which a task has failed for the last time, `delay` after it.
    CrashFailedWorker {
        graph: ids::GraphId,
        delay: Duration,
        expires: Instant,
    },
    KillHolder {
        down: Duration,
    },
    KillInstances {
        down: Vec<Duration>,
    },
    StartInstance(String),
    SilenceStore {
        seed: u64,
        lasts: Duration,
    },
    ReconnectInstance(String),
    ReconnectWorker(ids::WorkerId),
    ReconnectStore,
}

/// A caller's call in progress, with the address of its instance.
struct OpenCall {
    address: String,
    task: AbortHandle,
}

struct PairedStorm {
    bench: support::PoolBench,
    rng: ChaCha8Rng,
    /// Planned actions by their times, and in the order in which they were planned.
    actions: BTreeMap<(Instant, u64), StormAction>,
    n_planned: u64,
    n_submitted: u64,
    /// Number of workers that were added so far.
    n_workers: usize,
    /// Addresses of the instances that took the jobs.
    submitted_at: BTreeMap<ids::GraphId, String>,
    calls: Vec<OpenCall>,
}

/// Guards against rules that are broken where two faults overlap.
#[test]
fn storms_of_paired_faults() {
    match std::env::var_os(support::STORM_SEED_VARIABLE) {
        Some(_) => run_storms(support::storm_seeds()),
        None => run_storms(FIXED_SEEDS),
    }
}

/// Guards against a task that is started again after a run of it had succeeded on a worker that can't be reached
/// now, while the end was neither saved nor acknowledged.
#[test]
fn storms_that_repeat_work_done_out_of_reach() {
    run_storms([1_009, 1_024]);
}

/// Guards against a task that is started again although the end of a successful run was acknowledged: its job had
/// failed, and that was not saved.
#[test]
fn storms_that_repeat_acknowledged_work_of_a_failed_job() {
    run_storms([1_001, 1_012]);
}

/// Guards against a job that fails for the crash of one worker and for starts that were never sent, as several
/// schedulers followed each other while its task waited for room.
#[test]
fn storms_that_fail_a_job_for_starts_that_were_not_sent() {
    run_storms([1_002, 1_027]);
}

/// Guards against a job that runs although the answer to its cancellation was that it does not exist: its row was
/// written later.
#[test]
fn storms_that_run_a_cancelled_job_whose_row_is_written_late() {
    run_storms([1_022, 1_031]);
}

/// Plays all storms, and panics if any of them breaks a rule.
fn run_storms(seeds: impl IntoIterator<Item = u64>) {
    let mut failed = Vec::new();
    for seed in seeds {
        println!("storm {seed}, paired faults");
        let violations = support::run(storm(seed));
        if !violations.is_empty() {
            println!("storm {seed}:\n{}", storm_oracle::to_lines(&violations));
            let mut rules = violations.iter().map(|it| it.rule).collect::<Vec<_>>();
            rules.dedup();
            failed.push((seed, rules));
        }
    }
    assert!(failed.is_empty(), "storms that break rules: {failed:?}");
}

async fn storm(seed: u64) -> Vec<storm_oracle::RuleViolation> {
    let mut storm = PairedStorm::start(seed).await;
    for _ in 0..N_ROUNDS {
        let span = storm.plan_round();
        storm.run_for(span).await;
        storm.replace_lost_workers();
    }
    storm.actions.retain(|_, it| {
        use StormAction::{ReconnectInstance, ReconnectStore, ReconnectWorker, StartInstance};
        matches!(it, ReconnectInstance(_) | ReconnectStore | ReconnectWorker(_) | StartInstance(_))
    });
    storm.run_for(SETTLING_TIME).await;
    storm.final_violations().await
}

impl PairedStorm {
    async fn start(seed: u64) -> PairedStorm {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bench = support::PoolBench::start(0, N_WORKERS).await;
        bench.start_heartbeats();
        for (index, strength) in STRENGTHS.into_iter().enumerate() {
            bench.start_instance_with_strength(&address(index), strength);
        }
        time::sleep(STARTING_TIME).await;
        PairedStorm {
            bench,
            rng,
            actions: BTreeMap::new(),
            n_planned: 0,
            n_submitted: 0,
            n_workers: N_WORKERS,
            submitted_at: BTreeMap::new(),
            calls: Vec::new(),
        }
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn plan(&mut self, at: Instant, action: StormAction) {
        self.n_planned += 1;
        self.actions.insert((at, self.n_planned), action);
    }

    /// Plans a round: work, queries and cancellations, and one or two pairs of faults. Returns its length.
    fn plan_round(&mut self) -> Duration {
        let pair = PAIRS[self.rng.random_range(0..PAIRS.len())];
        let now = Instant::now();
        let begins = now + self.millis(300..2_000);
        let mut span = self.millis(ROUND_MS);
        if matches!(pair, FaultPair::LostWorkerAndTakeovers) {
            span = Duration::from_millis(TAKEOVERS_MS);
            self.plan_pair(pair, now);
        } else {
            self.plan_work(now, begins);
            self.plan_pair(pair, begins);
            if self.rng.random_bool(0.4) {
                let other = PAIRS[self.rng.random_range(0..PAIRS.len())];
                let offset = self.millis(0..1_000);
                self.plan_pair(other, begins + offset);
            }
        }
        self.plan_work(begins, now + span);
        self.plan_queries(now + span);
        span
    }

    fn plan_work(&mut self, from: Instant, until: Instant) {
        let mut at = from;
        while at < until {
            let row = self.draw_job();
            let graph = self.plan_job(at, row);
            if self.rng.random_bool(0.1) {
                let delay = self.millis(0..4_000);
                self.plan(at + delay, StormAction::Cancel(graph));
            }
            at += self.millis(200..2_500);
        }
    }

    fn plan_queries(&mut self, until: Instant) {
        let mut at = Instant::now();
        while at < until {
            at += self.millis(200..1_000);
            let graph = 1 + self.rng.random_range(0..self.n_submitted.max(1));
            self.plan(at, StormAction::Look(graph));
        }
    }

    fn plan_job(&mut self, at: Instant, row: model::GraphRow) -> ids::GraphId {
        self.n_submitted += 1;
        self.plan(at, StormAction::Submit(self.n_submitted, Box::new(row)));
        self.n_submitted
    }

    fn plan_pair(&mut self, pair: FaultPair, at: Instant) {
        tracing::info!(?pair, "pair of faults is planned");
        match pair {
            FaultPair::CutHolderAndCutWorker => {
                let offset = self.plan_holder_cut(at);
                self.plan_worker_cut(at + offset);
            }
            FaultPair::CutHolderAndLostWorker => {
                let offset = self.plan_holder_cut(at);
                self.plan_crash(at + offset);
            }
            FaultPair::CutHolderAndFailedJob => self.plan_failed_job(at),
            FaultPair::LostWorkerAndTakeovers => self.plan_takeovers(at),
            FaultPair::KilledInstancesAndCutWorker => {
                let down = STRENGTHS.map(|_| self.millis(0..1_500)).to_vec();
                self.plan(at, StormAction::KillInstances { down });
                let offset = self.millis(0..1_000);
                self.plan_worker_cut(at + offset);
            }
            FaultPair::SilentStoreAndCancelledJob => self.plan_silent_store(at),
            FaultPair::UrgentWorkAndCutHolder => self.plan_urgent_work(at),
        }
    }

    /// Plans a cut of the holder. Returns the offset of the second fault of the pair.
    fn plan_holder_cut(&mut self, at: Instant) -> Duration {
        let conditions = [fault::Condition::Dropping, fault::Condition::Refusing];
        let condition = conditions[self.rng.random_range(0..conditions.len())];
        let lasts = self.millis(3_000..6_000);
        self.plan(at, StormAction::CutHolder { condition, lasts });
        self.millis(0..1_000)
    }

    fn plan_worker_cut(&mut self, at: Instant) {
        for _ in 0..self.rng.random_range(1..3) {
            let lasts = self.millis(2_500..5_500);
            self.plan(at, StormAction::CutWorker { lasts });
        }
    }

    fn plan_crash(&mut self, at: Instant) {
        let down = self.millis(300..3_000);
        let mode = support::RestartMode::NewAddress;
        let accelerators = ACCELERATORS_PER_WORKER;
        self.plan(at, StormAction::CrashWorker { mode, down, accelerators });
    }

    fn plan_failed_job(&mut self, at: Instant) {
        let fail_ms = self.rng.random_range(1_200..3_000);
        let n_tasks = self.rng.random_range(4..13);
        // The other tasks end while they are stopped because of the second failure.
        let run_ms = 2 * fail_ms + self.rng.random_range(60..400);
        let mut row = support::job(n_tasks, run_ms);
        row.graph.body.push_str(&format!(" spread=20 fail=0 fail-ms={fail_ms}"));
        let graph = self.plan_job(at, row);
        let cut_at = at + Duration::from_millis(2 * fail_ms) - self.millis(200..1_900);
        self.plan_holder_cut(cut_at);
        let delay = self.millis(0..500);
        let expires = at + Duration::from_secs(10);
        self.plan(cut_at, StormAction::CrashFailedWorker { graph, delay, expires });
    }

    fn plan_takeovers(&mut self, at: Instant) {
        let run_ms = self.rng.random_range(22_000..28_000);
        let mut row = support::job(N_WORKERS as u32, run_ms);
        row.graph.body.push_str(&format!(" size={ACCELERATORS_PER_WORKER}"));
        let step = &mut row.graph.steps[0];
        step.accelerators *= ACCELERATORS_PER_WORKER;
        step.cpu_milli *= ACCELERATORS_PER_WORKER;
        step.memory_mb *= ACCELERATORS_PER_WORKER;
        self.plan_job(at, row);
        let mut at = at + self.millis(1_500..3_000);
        let modes = [support::RestartMode::SameAddress, support::RestartMode::SameId];
        let mode = modes[self.rng.random_range(0..modes.len())];
        let down = self.millis(300..1_500);
        // No worker has room for the lost task.
        let accelerators = ACCELERATORS_PER_WORKER / 2;
        self.plan(at, StormAction::CrashWorker { mode, down, accelerators });
        for _ in 0..self.rng.random_range(3..6) {
            at += self.millis(3_000..5_500);
            let down = self.millis(0..1_500);
            self.plan(at, StormAction::KillHolder { down });
        }
    }

    fn plan_silent_store(&mut self, at: Instant) {
        let lasts = self.millis(800..3_500);
        let seed = self.rng.random();
        self.plan(at, StormAction::SilenceStore { seed, lasts });
        let row = self.draw_job();
        let submitted_at = at + self.millis(0..900);
        let graph = self.plan_job(submitted_at, row);
        let cancelled_at = submitted_at + self.millis(500..3_500);
        self.plan(cancelled_at, StormAction::Cancel(graph));
    }

    fn plan_urgent_work(&mut self, at: Instant) {
        let mut bulk = support::job(64, self.rng.random_range(3_000..7_000));
        set_class(&mut bulk, "bulk");
        self.plan_job(at, bulk);
        let mut urgent =
            support::job(self.rng.random_range(8..40), self.rng.random_range(500..3_000));
        set_class(&mut urgent, "urgent");
        let urgent_at = at + self.millis(700..3_500);
        self.plan_job(urgent_at, urgent);
        let cut_at = urgent_at - self.millis(0..600);
        let offset = self.plan_holder_cut(cut_at);
        self.plan_worker_cut(cut_at + offset);
    }

    fn draw_job(&mut self) -> model::GraphRow {
        let rng = &mut self.rng;
        let mut row = support::job(rng.random_range(1..20), rng.random_range(200..3_500));
        let (class, _) = support::CLASSES[rng.random_range(0..support::CLASSES.len())];
        set_class(&mut row, class);
        let spread = rng.random_range(0..60);
        row.graph.body.push_str(&format!(" spread={spread}"));
        if rng.random_bool(0.1) {
            row.graph.body.push_str(&format!(" fail={}", rng.random_range(0..3)));
        }
        if rng.random_bool(0.3) {
            row.graph.steps.push(support::step(rng.random_range(1..6), &[0]));
        }
        row
    }

    /// Does what is planned for the next `span`.
    async fn run_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while let Some(next) = self.actions.first_entry().filter(|it| it.key().0 <= until) {
            let at = next.key().0;
            let action = next.remove();
            time::sleep_until(at).await;
            self.perform(action).await;
        }
        time::sleep_until(until).await;
    }

    async fn perform(&mut self, action: StormAction) {
        tracing::debug!(?action, "action is performed");
        let now = Instant::now();
        match action {
            StormAction::Submit(graph, row) => self.submit(graph, row),
            StormAction::Cancel(graph) => self.cancel(graph),
            StormAction::Look(graph) => self.look(graph),
            StormAction::CutHolder { condition, lasts } => {
                let Some(holder) = self.bench.latest_holder() else { return };
                let instance = &self.bench.instances[holder];
                tracing::info!(address = instance.address, "holder is cut off from the store");
                instance.store_faults.set(condition);
                let address = instance.address.clone();
                self.plan(now + lasts, StormAction::ReconnectInstance(address));
            }
            StormAction::CutWorker { lasts } => {
                let Some(worker) = self.busy_worker() else { return };
                tracing::info!(worker, "worker is cut off");
                self.bench.fleet.faults(&worker).set(fault::Condition::Dropping);
                self.plan(now + lasts, StormAction::ReconnectWorker(worker));
            }
            StormAction::CrashWorker { mode, down, accelerators } => {
                let Some(worker) = self.busy_worker() else { return };
                self.bench.set_accelerators(&worker, accelerators);
                self.bench.crash_worker(support::index_of(&worker), mode, down);
            }
            StormAction::CrashFailedWorker { graph, delay, expires } => {
                self.crash_failed_worker(graph, delay, expires);
            }
            StormAction::KillHolder { down } => {
                if let Some(holder) = self.bench.latest_holder() {
                    self.kill(holder, down).await;
                }
            }
            StormAction::KillInstances { down } => {
                for down in down {
                    if !self.bench.instances.is_empty() {
                        self.kill(0, down).await;
                    }
                }
            }
            StormAction::StartInstance(address) => {
                let index = (0..STRENGTHS.len()).find(|it| self::address(*it) == address);
                let strength = STRENGTHS[index.expect("an address of the storm")];
                self.bench.start_instance_with_strength(&address, strength);
            }
            StormAction::SilenceStore { seed, lasts } => {
                self.silence_store(seed);
                self.plan(now + lasts, StormAction::ReconnectStore);
            }
            StormAction::ReconnectInstance(address) => {
                let instance = self.bench.instances.iter().find(|it| it.address == address);
                if let Some(instance) = instance {
                    instance.store_faults.set(fault::Condition::Up);
                }
            }
            StormAction::ReconnectWorker(worker) => {
                self.bench.fleet.faults(&worker).set(fault::Condition::Up);
            }
            StormAction::ReconnectStore => {
                self.bench.store.faults().set(fault::Condition::Up);
                self.bench.store.faults().inject_at_random(0, fault::FaultRates::default());
            }
        }
    }

    fn submit(&mut self, graph: ids::GraphId, row: Box<model::GraphRow>) {
        let Some(index) = self.random_instance(None) else {
            let later = Instant::now() + CHECK_INTERVAL;
            return self.plan(later, StormAction::Submit(graph, row));
        };
        let caller = self.bench.caller(index);
        self.submitted_at.insert(graph, self.bench.instances[index].address.clone());
        self.call(index, async move {
            caller.submit(graph, *row).await;
        });
    }

    fn cancel(&mut self, graph: ids::GraphId) {
        let calls = self.bench.history.job(graph);
        let is_answered =
            !calls.submissions.is_empty() && calls.are_submissions_over(Instant::now());
        let taken_by = self.submitted_at.get(&graph).cloned();
        let Some(index) = self.random_instance(taken_by.as_deref()).filter(|_| is_answered) else {
            let later = Instant::now() + CHECK_INTERVAL;
            return self.plan(later, StormAction::Cancel(graph));
        };
        let caller = self.bench.caller(index);
        self.call(index, async move {
            caller.cancel(graph).await;
        });
    }

    fn look(&mut self, graph: ids::GraphId) {
        let Some(index) = self.random_instance(None) else { return };
        let caller = self.bench.caller(index);
        self.call(index, async move {
            caller.lookup(graph, Instant::now() + Duration::from_secs(2)).await;
        });
    }

    /// Makes a call beside the storm. It ends without an answer if its instance is killed.
    fn call(&mut self, index: usize, call: impl Future<Output = ()> + Send + 'static) {
        let address = self.bench.instances[index].address.clone();
        let task = tokio::spawn(call).abort_handle();
        self.calls.retain(|it| !it.task.is_finished());
        self.calls.push(OpenCall { address, task });
    }

    /// An instance that is up, another one than that at address `except` if possible.
    fn random_instance(&mut self, except: Option<&str>) -> Option<usize> {
        let instances = self.bench.instances.iter().enumerate();
        let others = instances.filter(|(_, it)| Some(it.address.as_str()) != except);
        let others = others.map(|(index, _)| index).collect::<Vec<_>>();
        if others.is_empty() {
            return (!self.bench.instances.is_empty()).then_some(0);
        }
        Some(others[self.rng.random_range(0..others.len())])
    }

    /// A worker that runs a task, or any worker if none does.
    fn busy_worker(&mut self) -> Option<ids::WorkerId> {
        let mut workers =
            self.bench.fleet.running().into_iter().map(|(it, _)| it).collect::<Vec<_>>();
        workers.dedup();
        let workers = if workers.is_empty() { self.bench.fleet.workers_up() } else { workers };
        (!workers.is_empty()).then(|| workers[self.rng.random_range(0..workers.len())].clone())
    }

    fn crash_failed_worker(&mut self, graph: ids::GraphId, delay: Duration, expires: Instant) {
        let now = Instant::now();
        let task = task_key::TaskKey { graph, occurrence: 0, step: 0, task: 0 };
        let mut failures = self.bench.fleet.records();
        failures.retain(|it| it.task == task && it.end_kind == order::EndKind::Failed);
        failures.sort_by_key(|it| it.ended);
        if let Some(last) = failures.get(1).filter(|it| it.ended + delay <= now) {
            let mode = support::RestartMode::NewAddress;
            let index = support::index_of(&last.worker);
            return self.bench.crash_worker(index, mode, Duration::from_secs(1));
        }
        if now < expires {
            let action = StormAction::CrashFailedWorker { graph, delay, expires };
            self.plan(now + CHECK_INTERVAL, action);
        }
    }

    async fn kill(&mut self, index: usize, down: Duration) {
        let address = self.bench.kill(index).await;
        for call in self.calls.extract_if(.., |it| it.address == address) {
            call.task.abort();
        }
        self.plan(Instant::now() + down, StormAction::StartInstance(address));
    }

    /// No call to the store is answered, and writes take effect seconds later.
    fn silence_store(&mut self, seed: u64) {
        tracing::info!("the store is silent");
        let rates = fault::FaultRates {
            delayed_effect: 0.6,
            max_delay: Duration::from_secs(8),
            ..fault::FaultRates::default()
        };
        let faults = self.bench.store.faults();
        faults.set(fault::Condition::Dropping);
        faults.inject_step_at_random(model::TableTransaction::PATH, seed, rates);
    }

    /// Adds workers in place of those that are lost, and restores the resources of the others.
    fn replace_lost_workers(&mut self) {
        for worker in self.bench.fleet.workers_up() {
            self.bench.set_accelerators(&worker, ACCELERATORS_PER_WORKER);
        }
        for _ in self.bench.fleet.workers_up().len()..N_WORKERS {
            let capacity = support::capacity_for(ACCELERATORS_PER_WORKER);
            self.bench.fleet.add(&support::worker_id(self.n_workers), capacity);
            self.bench.write_entry_later(self.n_workers, Duration::ZERO);
            self.n_workers += 1;
        }
    }

    async fn final_violations(&self) -> Vec<storm_oracle::RuleViolation> {
        let lost =
            |detail| storm_oracle::RuleViolation { rule: storm_oracle::BrokenRule::Lost, detail };
        let mut violations = Vec::new();
        for (graph, calls) in self.bench.history.jobs() {
            let shown = self.bench.lookup(0, graph).await;
            let has_ended = match shown {
                model::LookOutcome::Known(state) => {
                    state != model::GraphState::Pending && state != model::GraphState::Running
                }
                _ => false,
            };
            if calls.accepted_at().is_some() && !has_ended {
                violations.push(lost(format!("accepted job {graph} has not ended: {shown:?}")));
            }
        }
        for (worker, task) in self.bench.fleet.running() {
            violations.push(lost(format!("{task} still runs on {worker}")));
        }
        violations.extend(storm_oracle::violations(&self.bench));
        violations
    }
}

fn set_class(row: &mut model::GraphRow, class: &str) {
    let known = support::CLASSES.iter().find(|(name, _)| *name == class);
    row.class = class.to_owned();
    row.priority = known.expect("a class").1;
}

fn address(index: usize) -> String {
    format!("10.0.0.{}:7000", index + 1)
}
