//! Seeded traces: arrivals with the truth about their run times, cancellations and faults.

use std::time::Duration;

use almondpass_policy::work;
use almondpass_schema::{ids, model, time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use uuid::Uuid;

use crate::site;
use crate::workload;

/// Wall time at which every trace begins.
pub const EPOCH: time::WallTime = time::WallTime(Duration::from_secs(1_800_000_000));

/// What a trace is made from.
#[derive(Clone, Copy, Debug)]
pub struct TraceSpec {
    /// The site.
    pub site: site::SiteName,
    /// Offered accelerator time as a share of the hall's.
    pub load: f64,
    /// How long work arrives.
    pub span: Duration,
    /// Seed of everything random.
    pub seed: u64,
}

/// One piece of work and the truth about it.
#[derive(Clone, Debug)]
pub struct TraceItem {
    /// As it arrives.
    pub item: work::WorkItem,
    /// When, from the start of the trace.
    pub at: Duration,
    /// How long it really runs.
    pub run: Duration,
    /// When its caller stops wanting it.
    pub cancel_at: Option<Duration>,
    /// What is wrong with it.
    pub flaw: Option<WorkFlaw>,
}

/// What is wrong with a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkFlaw {
    /// It fails wherever it runs.
    Faulty,
    /// It runs far past the limit of its class.
    Overrunning,
    /// No hall has room for it.
    Impossible,
}

/// A fault of a worker.
#[derive(Clone, Debug)]
pub struct WorkerFault {
    /// The worker.
    pub worker: ids::WorkerId,
    /// What.
    pub kind: FaultKind,
    /// From when.
    pub at: Duration,
    /// Until when.
    pub until: Duration,
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The worker is dead.
    Dead,
    /// It fails everything that it starts.
    Poisoned,
    /// An operator drains it.
    Drained,
}

/// A trace.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Arrivals in order of time.
    pub items: Vec<TraceItem>,
    /// Faults.
    pub faults: Vec<WorkerFault>,
    /// How long work arrives.
    pub span: Duration,
}

/// Mean distance between bursts of a class.
const BURST_EVERY: Duration = Duration::from_secs(1_800);
/// Mean distance between cancellation waves.
const WAVE_EVERY: Duration = Duration::from_secs(4 * 3_600);
/// A wave cancels work that arrived within this before it.
const WAVE_REACH: Duration = Duration::from_secs(1_200);
/// Chance of work within reach of a wave to be cancelled.
const WAVE_SHARE: f64 = 0.5;
/// Share of work without a declared run time.
const UNDECLARED_SHARE: f64 = 0.2;
/// Share of work whose declared run time is off by up to ten times.
const LYING_SHARE: f64 = 0.2;
/// Mean distance between faults of each kind in the hall: dead, poisoned, drained.
const FAULT_EVERY: [(FaultKind, Duration); 3] = [
    (FaultKind::Dead, Duration::from_secs(6 * 3_600)),
    (FaultKind::Poisoned, Duration::from_secs(18 * 3_600)),
    (FaultKind::Drained, Duration::from_secs(12 * 3_600)),
];
/// How long a fault lasts, at least and at most.
const FAULT_LASTS: (Duration, Duration) = (Duration::from_secs(600), Duration::from_secs(3_600));
/// Share of dead workers that take the rest of their rack with them.
const RACK_FAULT_SHARE: f64 = 0.1;
/// Shares of flawed work.
const FAULTY_SHARE: f64 = 0.003;
const OVERRUNNING_SHARE: f64 = 0.003;
const IMPOSSIBLE_SHARE: f64 = 0.002;
/// Tasks of an impossible gang: more than a hall of today has workers.
const IMPOSSIBLE_TASKS: u32 = 40;

impl Trace {
    /// Makes the trace; the same specification gives the same trace.
    pub fn generate(spec: &TraceSpec) -> Trace {
        let document = spec.site.document();
        let capacity = hall_accelerators(&document);
        let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
        let budget = spec.load * f64::from(capacity) * spec.span.as_secs_f64();
        let mut items = Vec::new();
        for load in spec.site.workload() {
            class_items(&load, budget * load.share, spec.span, &mut rng, &mut items);
        }
        items.sort_by_key(|it| it.at);
        for (index, it) in items.iter_mut().enumerate() {
            it.item.id = Uuid::from_u128(index as u128 + 1);
        }
        cancel_waves(&mut items, spec.span, &mut rng);
        let faults = worker_faults(&document, spec.span, &mut rng);
        Trace { items, faults, span: spec.span }
    }
}

/// Accelerators of the replayed hall.
pub fn hall_accelerators(document: &model::ConfigDocument) -> u32 {
    let kind = |rack: &model::RackLayout| {
        document.worker_kinds.iter().find(|it| it.name == rack.kind).map_or(0, |it| it.accelerators)
    };
    document.halls[0].racks.iter().map(|it| it.workers * kind(it)).sum()
}

fn class_items(
    load: &workload::ClassLoad,
    budget: f64,
    span: Duration,
    rng: &mut ChaCha8Rng,
    items: &mut Vec<TraceItem>,
) {
    let bursts = moments(BURST_EVERY, span, rng);
    let mut offered = 0.0;
    while offered < budget {
        let it = trace_item(load, span, &bursts, rng);
        if it.flaw.is_none() {
            let accelerators = f64::from(it.item.tasks * it.item.demand.accelerators);
            offered += accelerators * it.run.as_secs_f64();
        }
        items.push(it);
    }
}

fn trace_item(
    load: &workload::ClassLoad,
    span: Duration,
    bursts: &[Duration],
    rng: &mut ChaCha8Rng,
) -> TraceItem {
    let shape = *pick(&load.shapes, |it| it.odds, rng);
    let owner = pick(&load.accounts, |it| it.odds, rng).clone();
    let at = arrival(load, span, bursts, rng);
    let spread = LogNormal::new(0.0, load.run_sigma).expect("a finite deviation");
    let run = load.median_run.mul_f64(spread.sample(rng)).min(load.max_run);
    let flaw = work_flaw(load, rng);
    let declared_run = declared(run, rng);
    let run = match flaw {
        Some(WorkFlaw::Overrunning) => load.max_run.mul_f64(3.0),
        Some(WorkFlaw::Faulty | WorkFlaw::Impossible) | None => run,
    };
    let tasks = if flaw == Some(WorkFlaw::Impossible) { IMPOSSIBLE_TASKS } else { shape.tasks };
    let claim = owner.guarantee.filter(|it| tasks * shape.accelerators <= it.accelerators);
    let item = work::WorkItem {
        id: Uuid::nil(),
        account: owner.account,
        class: load.class.clone(),
        tasks,
        demand: work::TaskDemand {
            accelerators: shape.accelerators,
            cores: 2 * shape.accelerators,
            memory_mb: 4_096 * u64::from(shape.accelerators),
            slots: load.slots,
        },
        adjacency: shape.adjacency,
        guarantee: claim.map(|it| it.name),
        declared_run,
        deadline: None,
        submitted_at: EPOCH + at,
        attempt: 0,
        saved_run: Duration::ZERO,
        exclude: Vec::new(),
        failed_on: Vec::new(),
    };
    TraceItem { item, at, run, cancel_at: None, flaw }
}

fn work_flaw(load: &workload::ClassLoad, rng: &mut ChaCha8Rng) -> Option<WorkFlaw> {
    let chance: f64 = rng.random();
    if chance < FAULTY_SHARE {
        return Some(WorkFlaw::Faulty);
    }
    if chance < FAULTY_SHARE + OVERRUNNING_SHARE {
        return Some(WorkFlaw::Overrunning);
    }
    let is_job = load.slots == 0;
    let impossible = is_job && chance < FAULTY_SHARE + OVERRUNNING_SHARE + IMPOSSIBLE_SHARE;
    impossible.then_some(WorkFlaw::Impossible)
}

fn declared(run: Duration, rng: &mut ChaCha8Rng) -> Option<Duration> {
    let chance: f64 = rng.random();
    if chance < UNDECLARED_SHARE {
        return None;
    }
    if chance < UNDECLARED_SHARE + LYING_SHARE {
        let power: f64 = rng.random_range(-1.0..1.0);
        return Some(run.mul_f64(10_f64.powf(power)));
    }
    Some(run.mul_f64(rng.random_range(0.8..1.4)))
}

fn arrival(
    load: &workload::ClassLoad,
    span: Duration,
    bursts: &[Duration],
    rng: &mut ChaCha8Rng,
) -> Duration {
    let chance: f64 = rng.random();
    if chance < load.burst_share && !bursts.is_empty() {
        let burst = bursts[rng.random_range(0..bursts.len())];
        return (burst + exponential(load.burst_spread, rng)).min(span);
    }
    if chance < load.burst_share + load.night_share {
        return span.mul_f64(rng.random_range(0.67..1.0));
    }
    span.mul_f64(rng.random())
}

fn cancel_waves(items: &mut [TraceItem], span: Duration, rng: &mut ChaCha8Rng) {
    for wave in moments(WAVE_EVERY, span, rng) {
        let begin = items.partition_point(|it| it.at + WAVE_REACH < wave);
        let end = items.partition_point(|it| it.at < wave);
        for it in &mut items[begin..end] {
            if rng.random_bool(WAVE_SHARE) {
                it.cancel_at = Some(wave);
            }
        }
    }
}

fn worker_faults(
    document: &model::ConfigDocument,
    span: Duration,
    rng: &mut ChaCha8Rng,
) -> Vec<WorkerFault> {
    let racks = site::worker_names(&document.halls[0]);
    let mut faults: Vec<WorkerFault> = Vec::new();
    for (kind, every) in FAULT_EVERY {
        for at in moments(every, span, rng) {
            let rack = &racks[rng.random_range(0..racks.len())];
            let until = at + rng.random_range(FAULT_LASTS.0..FAULT_LASTS.1);
            let one = rng.random_range(0..rack.len());
            let whole = kind == FaultKind::Dead && rng.random_bool(RACK_FAULT_SHARE);
            for (index, worker) in rack.iter().enumerate() {
                if (whole || index == one) && !overlaps(&faults, worker, at, until) {
                    faults.push(WorkerFault { worker: worker.clone(), kind, at, until });
                }
            }
        }
    }
    faults
}

fn overlaps(faults: &[WorkerFault], worker: &str, at: Duration, until: Duration) -> bool {
    faults.iter().any(|it| it.worker == worker && at <= it.until && it.at <= until)
}

/// Moments of a Poisson process.
fn moments(every: Duration, span: Duration, rng: &mut ChaCha8Rng) -> Vec<Duration> {
    let mut moments = Vec::new();
    let mut at = exponential(every, rng);
    while at < span {
        moments.push(at);
        at += exponential(every, rng);
    }
    moments
}

fn exponential(mean: Duration, rng: &mut ChaCha8Rng) -> Duration {
    let spread = Exp::new(1.0).expect("a positive rate");
    let factor: f64 = spread.sample(rng);
    mean.mul_f64(factor)
}

fn pick<'a, T>(choices: &'a [T], odds: fn(&T) -> u32, rng: &mut ChaCha8Rng) -> &'a T {
    let total: u32 = choices.iter().map(odds).sum();
    let mut left = rng.random_range(0..total);
    for it in choices {
        if left < odds(it) {
            return it;
        }
        left -= odds(it);
    }
    &choices[0]
}
