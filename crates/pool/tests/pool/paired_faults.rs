//! Storms of paired faults: faults that follow each other within a second and overlap, under load.
//!
//! A long run: `POOL_STORM_CASES=200 POOL_STORM_SEED=1 cargo test --release -p almondpass-pool --test pool
//! -- --nocapture storms_of_paired_faults`. It plays all seeds and prints each that breaks a rule.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_graph::{order, task_key};
use almondpass_peer::call::PeerCall;
use almondpass_schema::{ids, model};
use almondpass_standin::fault;
use tokio::task::AbortHandle;
use tokio::time::{self, Instant};

use crate::storm_oracle;
use crate::storm_plan;
use crate::support;

/// Rounds of a storm; each has one or two pairs of faults.
const N_ROUNDS: usize = 4;

/// Time in which the first tenure settles.
const STARTING_TIME: Duration = Duration::from_secs(8);

/// Time after the last fault in which all jobs have to end.
const SETTLING_TIME: Duration = Duration::from_secs(90);

/// Interval between two checks of something that an action waits for.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Seeds that CI plays.
const FIXED_SEEDS: [u64; 6] = [1_000, 1_003, 1_004, 1_005, 1_006, 1_007];

/// A caller's call in progress, with the address of its instance.
struct OpenCall {
    address: String,
    task: AbortHandle,
}

struct PairedStorm {
    bench: support::PoolBench,
    plan: storm_plan::StormPlan,
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
        let span = storm.plan.plan_round();
        storm.run_for(span).await;
        storm.replace_lost_workers();
    }
    storm.plan.keep_recoveries();
    storm.run_for(SETTLING_TIME).await;
    storm_oracle::final_violations(&storm.bench).await
}

impl PairedStorm {
    async fn start(seed: u64) -> PairedStorm {
        let mut bench = support::PoolBench::start(0, storm_plan::N_WORKERS).await;
        bench.start_heartbeats();
        for (index, strength) in storm_plan::STRENGTHS.into_iter().enumerate() {
            bench.start_instance_with_strength(&address(index), strength);
        }
        time::sleep(STARTING_TIME).await;
        PairedStorm {
            bench,
            plan: storm_plan::StormPlan::new(seed),
            n_workers: storm_plan::N_WORKERS,
            submitted_at: BTreeMap::new(),
            calls: Vec::new(),
        }
    }

    /// Does what is planned for the next `span`.
    async fn run_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while let Some((at, action)) = self.plan.take_next(until) {
            time::sleep_until(at).await;
            self.perform(action).await;
        }
        time::sleep_until(until).await;
    }

    async fn perform(&mut self, action: storm_plan::StormAction) {
        tracing::debug!(?action, "action is performed");
        let now = Instant::now();
        match action {
            storm_plan::StormAction::Submit(graph, row) => self.submit(graph, row),
            storm_plan::StormAction::Cancel(graph) => self.cancel(graph),
            storm_plan::StormAction::Look(graph) => self.look(graph),
            storm_plan::StormAction::CutHolder { condition, lasts } => {
                let Some(holder) = self.bench.latest_holder() else { return };
                let instance = &self.bench.instances[holder];
                tracing::info!(address = instance.address, "holder is cut off from the store");
                instance.store_faults.set(condition);
                let address = instance.address.clone();
                self.plan.add(now + lasts, storm_plan::StormAction::ReconnectInstance(address));
            }
            storm_plan::StormAction::CutWorker { lasts } => {
                let Some(worker) = self.busy_worker() else { return };
                tracing::info!(worker, "worker is cut off");
                self.bench.fleet.faults(&worker).set(fault::Condition::Dropping);
                self.plan.add(now + lasts, storm_plan::StormAction::ReconnectWorker(worker));
            }
            storm_plan::StormAction::CrashWorker { mode, down, accelerators } => {
                let Some(worker) = self.busy_worker() else { return };
                self.bench.set_accelerators(&worker, accelerators);
                self.bench.crash_worker(support::index_of(&worker), mode, down);
            }
            storm_plan::StormAction::CrashFailedWorker { graph, delay, expires } => {
                self.crash_failed_worker(graph, delay, expires);
            }
            storm_plan::StormAction::KillHolder { down } => {
                if let Some(holder) = self.bench.latest_holder() {
                    self.kill(holder, down).await;
                }
            }
            storm_plan::StormAction::KillInstances { down } => {
                for down in down {
                    if !self.bench.instances.is_empty() {
                        self.kill(0, down).await;
                    }
                }
            }
            storm_plan::StormAction::StartInstance(address) => {
                let index =
                    (0..storm_plan::STRENGTHS.len()).find(|it| self::address(*it) == address);
                let strength = storm_plan::STRENGTHS[index.expect("an address of the storm")];
                self.bench.start_instance_with_strength(&address, strength);
            }
            storm_plan::StormAction::SilenceStore { seed, lasts } => {
                self.silence_store(seed);
                self.plan.add(now + lasts, storm_plan::StormAction::ReconnectStore);
            }
            storm_plan::StormAction::ReconnectInstance(address) => {
                let instance = self.bench.instances.iter().find(|it| it.address == address);
                if let Some(instance) = instance {
                    instance.store_faults.set(fault::Condition::Up);
                }
            }
            storm_plan::StormAction::ReconnectWorker(worker) => {
                self.bench.fleet.faults(&worker).set(fault::Condition::Up);
            }
            storm_plan::StormAction::ReconnectStore => {
                self.bench.store.faults().set(fault::Condition::Up);
                self.bench.store.faults().inject_at_random(0, fault::FaultRates::default());
            }
        }
    }

    fn submit(&mut self, graph: ids::GraphId, row: Box<model::GraphRow>) {
        let Some(index) = self.random_instance(None) else {
            let later = Instant::now() + CHECK_INTERVAL;
            return self.plan.add(later, storm_plan::StormAction::Submit(graph, row));
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
            return self.plan.add(later, storm_plan::StormAction::Cancel(graph));
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
        Some(*self.plan.draw(&others))
    }

    /// A worker that runs a task, or any worker if none does.
    fn busy_worker(&mut self) -> Option<ids::WorkerId> {
        let mut workers =
            self.bench.fleet.running().into_iter().map(|(it, _)| it).collect::<Vec<_>>();
        workers.dedup();
        let workers = if workers.is_empty() { self.bench.fleet.workers_up() } else { workers };
        (!workers.is_empty()).then(|| self.plan.draw(&workers).clone())
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
            let action = storm_plan::StormAction::CrashFailedWorker { graph, delay, expires };
            self.plan.add(now + CHECK_INTERVAL, action);
        }
    }

    async fn kill(&mut self, index: usize, down: Duration) {
        let address = self.bench.kill(index).await;
        for call in self.calls.extract_if(.., |it| it.address == address) {
            call.task.abort();
        }
        self.plan.add(Instant::now() + down, storm_plan::StormAction::StartInstance(address));
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
            self.bench.set_accelerators(&worker, storm_plan::ACCELERATORS_PER_WORKER);
        }
        for _ in self.bench.fleet.workers_up().len()..storm_plan::N_WORKERS {
            let capacity = support::capacity_for(storm_plan::ACCELERATORS_PER_WORKER);
            self.bench.fleet.add(&support::worker_id(self.n_workers), capacity);
            self.bench.write_entry_later(self.n_workers, Duration::ZERO);
            self.n_workers += 1;
        }
    }
}

fn address(index: usize) -> String {
    format!("10.0.0.{}:7000", index + 1)
}
