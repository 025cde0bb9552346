//! Plan of a storm of paired faults: what happens at which time, drawn from a seed.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use almondpass_schema::{ids, model};
use almondpass_standin::fault;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::support;

pub(crate) const N_WORKERS: usize = 8;
pub(crate) const ACCELERATORS_PER_WORKER: u32 = 8;

/// Strengths of the instances, in thousandths of a core.
pub(crate) const STRENGTHS: [u32; 3] = [150, 250, 400];

/// Length of a round, and that of one with several takeovers.
const ROUND_MS: Range<u64> = 9_000..14_000;
const TAKEOVERS_MS: u64 = 30_000;

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
pub(crate) enum StormAction {
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

/// The planned actions of a storm.
pub(crate) struct StormPlan {
    rng: ChaCha8Rng,
    /// Planned actions by their times, and in the order in which they were planned.
    actions: BTreeMap<(Instant, u64), StormAction>,
    n_planned: u64,
    n_submitted: u64,
}

impl StormPlan {
    pub(crate) fn new(seed: u64) -> StormPlan {
        StormPlan {
            rng: ChaCha8Rng::seed_from_u64(seed),
            actions: BTreeMap::new(),
            n_planned: 0,
            n_submitted: 0,
        }
    }

    /// Removes the next action if it is due by `until`.
    pub(crate) fn take_next(&mut self, until: Instant) -> Option<(Instant, StormAction)> {
        let next = self.actions.first_entry().filter(|it| it.key().0 <= until)?;
        let at = next.key().0;
        Some((at, next.remove()))
    }

    /// Drops all actions but those that end a fault.
    pub(crate) fn keep_recoveries(&mut self) {
        self.actions.retain(|_, it| it.is_recovery());
    }

    /// Draws one of `choices`, which are not empty.
    pub(crate) fn draw<'a, T>(&mut self, choices: &'a [T]) -> &'a T {
        &choices[self.rng.random_range(0..choices.len())]
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Plans an action.
    pub(crate) fn add(&mut self, at: Instant, action: StormAction) {
        self.n_planned += 1;
        self.actions.insert((at, self.n_planned), action);
    }

    /// Plans a round: work, queries and cancellations, and one or two pairs of faults. Returns its length.
    pub(crate) fn plan_round(&mut self) -> Duration {
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
                self.add(at + delay, StormAction::Cancel(graph));
            }
            at += self.millis(200..2_500);
        }
    }

    fn plan_queries(&mut self, until: Instant) {
        let mut at = Instant::now();
        while at < until {
            at += self.millis(200..1_000);
            let graph = 1 + self.rng.random_range(0..self.n_submitted.max(1));
            self.add(at, StormAction::Look(graph));
        }
    }

    fn plan_job(&mut self, at: Instant, row: model::GraphRow) -> ids::GraphId {
        self.n_submitted += 1;
        self.add(at, StormAction::Submit(self.n_submitted, Box::new(row)));
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
                self.add(at, StormAction::KillInstances { down });
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
        self.add(at, StormAction::CutHolder { condition, lasts });
        self.millis(0..1_000)
    }

    fn plan_worker_cut(&mut self, at: Instant) {
        for _ in 0..self.rng.random_range(1..3) {
            let lasts = self.millis(2_500..5_500);
            self.add(at, StormAction::CutWorker { lasts });
        }
    }

    fn plan_crash(&mut self, at: Instant) {
        let down = self.millis(300..3_000);
        let mode = support::RestartMode::NewAddress;
        let accelerators = ACCELERATORS_PER_WORKER;
        self.add(at, StormAction::CrashWorker { mode, down, accelerators });
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
        self.add(cut_at, StormAction::CrashFailedWorker { graph, delay, expires });
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
        self.add(at, StormAction::CrashWorker { mode, down, accelerators });
        for _ in 0..self.rng.random_range(3..6) {
            at += self.millis(3_000..5_500);
            let down = self.millis(0..1_500);
            self.add(at, StormAction::KillHolder { down });
        }
    }

    fn plan_silent_store(&mut self, at: Instant) {
        let lasts = self.millis(800..3_500);
        let seed = self.rng.random();
        self.add(at, StormAction::SilenceStore { seed, lasts });
        let row = self.draw_job();
        let submitted_at = at + self.millis(0..900);
        let graph = self.plan_job(submitted_at, row);
        let cancelled_at = submitted_at + self.millis(500..3_500);
        self.add(cancelled_at, StormAction::Cancel(graph));
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
}

impl StormAction {
    fn is_recovery(&self) -> bool {
        matches!(
            self,
            StormAction::ReconnectInstance(_)
                | StormAction::ReconnectStore
                | StormAction::ReconnectWorker(_)
                | StormAction::StartInstance(_)
        )
    }
}

fn set_class(row: &mut model::GraphRow, class: &str) {
    let known = support::CLASSES.iter().find(|(name, _)| *name == class);
    row.class = class.to_owned();
    row.priority = known.expect("a class").1;
}
