//! Hands a policy one trace and carries out its decisions with plausible latencies.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use almondpass_policy::{decision, event, hall_policy, work};
use almondpass_schema::{ids, model, time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::floor;
use crate::tally;
use crate::trace;

/// Between two turns of the policy.
const TURN_STEP: Duration = Duration::from_millis(5);
/// Reserving and starting a gang.
const START_TAKES: Duration = Duration::from_millis(10);
/// Giving up on a member that does not answer.
const START_TIMEOUT: Duration = Duration::from_secs(1);
/// Stopping a gang.
const STOP_TAKES: Duration = Duration::from_millis(100);
/// Writing a checkpoint, at least and at most.
const CHECKPOINT_TAKES: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(8));
/// Until a dead worker is noticed.
const LOSS_NOTICED: Duration = Duration::from_secs(3);
/// Until the lease of a dead worker has lapsed, so that its gang is surely over.
const LEASE_TERM: Duration = Duration::from_secs(30);
/// Until a poisoned worker fails what it started.
const POISON_TAKES: Duration = Duration::from_millis(200);
/// Until faulty work fails by itself.
const FAULTY_TAKES: Duration = Duration::from_secs(1);
/// After the last arrival the replay goes on for at most this many spans of the trace.
const DRAIN_SPANS: u32 = 2;

/// Something that happens at a moment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Occurrence {
    Arrival(usize),
    Cancellation(usize),
    FaultBegins(usize),
    FaultNoticed(usize),
    FaultEnds(usize),
    StartDone { index: usize, attempt: u32 },
    StartTimedOut { index: usize, attempt: u32 },
    CheckpointDone { index: usize, attempt: u32, progress: Duration },
    RunEnds { index: usize, attempt: u32 },
    RunFails { index: usize, attempt: u32, worker: ids::WorkerId },
    StopDone { index: usize, attempt: u32 },
    LeaseLapsed { index: usize, attempt: u32, worker: ids::WorkerId },
    Wake,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Unborn,
    Waiting,
    Starting,
    Running,
    /// It runs on a worker that died; only the lapse of its lease ends it.
    Doomed,
    Over,
}

#[derive(Clone, Debug)]
struct LiveWork {
    stage: Stage,
    attempt: u32,
    placement: Vec<work::TaskAssignment>,
    since: Duration,
    saved: Duration,
    saved_at_start: Duration,
    first_start: Option<Duration>,
    claim: bool,
    claim_upset: bool,
}

/// Replays a trace against a policy.
pub struct ReplayEngine<'a, P> {
    policy: P,
    trace: &'a trace::Trace,
    document: Arc<model::ConfigDocument>,
    works: Vec<LiveWork>,
    index: HashMap<work::WorkId, usize>,
    floor: floor::HallFloor,
    poisoned: HashSet<ids::WorkerId>,
    n_faults: usize,
    agenda: BinaryHeap<Reverse<(Duration, u64, Occurrence)>>,
    next_number: u64,
    next_wake: Option<Duration>,
    rng: ChaCha8Rng,
    unfinished: usize,
    claimed: HashMap<(ids::AccountId, ids::GuaranteeName), u32>,
    tally: tally::ReplayTally,
}

/// Replays `trace` against a new `P` and returns what was measured.
pub fn replay<P: hall_policy::HallPolicy>(
    document: &Arc<model::ConfigDocument>,
    trace: &trace::Trace,
    seed: u64,
) -> anyhow::Result<tally::ReplayTally> {
    let hall = document.halls[0].name.clone();
    let policy = P::new(&hall, document.clone(), trace::EPOCH)?;
    let mut engine = ReplayEngine::new(policy, document.clone(), trace, seed);
    engine.run();
    Ok(engine.tally)
}

impl<'a, P: hall_policy::HallPolicy> ReplayEngine<'a, P> {
    fn new(
        mut policy: P,
        document: Arc<model::ConfigDocument>,
        trace: &'a trace::Trace,
        seed: u64,
    ) -> ReplayEngine<'a, P> {
        for worker in crate::site::worker_names(&document.halls[0]).concat() {
            policy.apply(event::HallEvent::WorkerBack(worker), trace::EPOCH);
        }
        let unborn = LiveWork {
            stage: Stage::Unborn,
            attempt: 0,
            placement: Vec::new(),
            since: Duration::ZERO,
            saved: Duration::ZERO,
            saved_at_start: Duration::ZERO,
            first_start: None,
            claim: false,
            claim_upset: false,
        };
        let mut engine = ReplayEngine {
            policy,
            trace,
            floor: floor::HallFloor::new(&document),
            document,
            works: vec![unborn; trace.items.len()],
            index: trace.items.iter().enumerate().map(|(at, it)| (it.item.id, at)).collect(),
            poisoned: HashSet::new(),
            n_faults: 0,
            agenda: BinaryHeap::new(),
            next_number: 0,
            next_wake: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            unfinished: trace.items.len(),
            claimed: HashMap::new(),
            tally: tally::ReplayTally::default(),
        };
        engine.fill_agenda();
        engine
    }

    fn fill_agenda(&mut self) {
        for (index, it) in self.trace.items.iter().enumerate() {
            self.plan(it.at, Occurrence::Arrival(index));
            if let Some(at) = it.cancel_at {
                self.plan(at, Occurrence::Cancellation(index));
            }
        }
        for (index, it) in self.trace.faults.iter().enumerate() {
            self.plan(it.at, Occurrence::FaultBegins(index));
            self.plan(it.at + LOSS_NOTICED, Occurrence::FaultNoticed(index));
            self.plan(it.until, Occurrence::FaultEnds(index));
        }
    }

    fn plan(&mut self, at: Duration, occurrence: Occurrence) {
        let number = self.next_number;
        self.next_number += 1;
        self.agenda.push(Reverse((at, number, occurrence)));
    }

    fn run(&mut self) {
        let horizon = self.trace.span * (1 + DRAIN_SPANS);
        let mut now = Duration::ZERO;
        while let Some(Reverse((at, _, _))) = self.agenda.peek() {
            let next = at.max(&(now + TURN_STEP)).to_owned();
            if horizon < next || self.unfinished == 0 {
                break;
            }
            self.account(next.min(self.trace.span).saturating_sub(now));
            now = next;
            self.take_due(now);
            self.take_turn(now);
        }
        self.close(now);
    }

    fn take_due(&mut self, now: Duration) {
        while let Some(Reverse((at, _, _))) = self.agenda.peek() {
            if now < *at {
                return;
            }
            let Some(Reverse((_, _, occurrence))) = self.agenda.pop() else { return };
            self.take(occurrence, now);
        }
    }

    fn take_turn(&mut self, now: Duration) {
        let clock = Instant::now();
        let decisions = self.policy.run_round(wall(now));
        self.tally.turn_cost.record_number(clock.elapsed().as_nanos() as u64);
        for decision in decisions {
            self.carry_out(decision, now);
        }
        let Some(wake) = self.policy.next_wake(wall(now)) else { return };
        let wake = wake.since(trace::EPOCH).max(now + TURN_STEP);
        if self.next_wake.is_none_or(|it| it <= now || wake < it) {
            self.next_wake = Some(wake);
            self.plan(wake, Occurrence::Wake);
        }
    }

    /// Adds accelerator time up to the next moment, while work still arrives.
    fn account(&mut self, span: Duration) {
        let seconds = span.as_secs_f64();
        if seconds == 0.0 {
            return;
        }
        let count = self.floor.count();
        self.tally.time.live += f64::from(count.live) * seconds;
        self.tally.time.held += f64::from(count.held) * seconds;
        self.tally.time.free += f64::from(count.free) * seconds;
        self.tally.time.fragmented += f64::from(count.fragmented) * seconds;
    }

    fn tell(&mut self, event: event::HallEvent, now: Duration) {
        self.policy.apply(event, wall(now));
    }

    fn take(&mut self, occurrence: Occurrence, now: Duration) {
        match occurrence {
            Occurrence::Arrival(index) => self.arrival(index, now),
            Occurrence::Cancellation(index) => {
                if !matches!(self.works[index].stage, Stage::Unborn | Stage::Over) {
                    self.tell(event::HallEvent::Cancelled(self.id(index)), now);
                }
            }
            Occurrence::FaultBegins(index) => self.fault_begins(index, now),
            Occurrence::FaultNoticed(index) => {
                let fault = &self.trace.faults[index];
                if fault.kind == trace::FaultKind::Dead {
                    self.tell(event::HallEvent::WorkerLost(fault.worker.clone()), now);
                }
            }
            Occurrence::FaultEnds(index) => self.fault_ends(index, now),
            Occurrence::StartDone { index, attempt } => self.start_done(index, attempt, now),
            Occurrence::StartTimedOut { index, attempt } => {
                self.start_timed_out(index, attempt, now);
            }
            Occurrence::CheckpointDone { index, attempt, progress } => {
                if self.is_current(index, attempt, Stage::Running) {
                    self.works[index].saved = progress;
                    self.tell(event::HallEvent::Checkpointed(self.id(index)), now);
                }
            }
            Occurrence::RunEnds { index, attempt } => {
                if self.is_current(index, attempt, Stage::Running) {
                    self.ended(index, event::WorkExit::Succeeded, now);
                }
            }
            Occurrence::RunFails { index, attempt, worker } => {
                if self.is_current(index, attempt, Stage::Running) {
                    self.ended(index, event::WorkExit::Failed { worker }, now);
                }
            }
            Occurrence::StopDone { index, attempt } => {
                if self.is_current(index, attempt, Stage::Running)
                    || self.is_current(index, attempt, Stage::Starting)
                {
                    self.ended(index, event::WorkExit::Stopped, now);
                }
            }
            Occurrence::LeaseLapsed { index, attempt, worker } => {
                if self.is_current(index, attempt, Stage::Doomed) {
                    self.ended(index, event::WorkExit::Lost { worker }, now);
                }
            }
            Occurrence::Wake => {}
        }
    }

    fn id(&self, index: usize) -> work::WorkId {
        self.trace.items[index].item.id
    }

    fn is_current(&self, index: usize, attempt: u32, stage: Stage) -> bool {
        self.works[index].attempt == attempt && self.works[index].stage == stage
    }

    fn arrival(&mut self, index: usize, now: Duration) {
        let it = &self.trace.items[index];
        if self.policy.admits(&it.item).is_err() {
            self.tally.refused += 1;
            self.works[index].stage = Stage::Over;
            self.unfinished -= 1;
            return;
        }
        if it.flaw == Some(trace::WorkFlaw::Impossible) {
            self.tally.impossible_accepted += 1;
        }
        self.works[index].stage = Stage::Waiting;
        self.works[index].claim = self.is_claim(index);
        self.works[index].claim_upset = 0 < self.n_faults;
        if let Some(key) = claim_key(&it.item) {
            *self.claimed.entry(key).or_insert(0) += it.item.tasks * it.item.demand.accelerators;
        }
        self.floor.want(floor::WantedShape::of_work(&it.item));
        self.tell(event::HallEvent::Arrived(it.item.clone()), now);
    }

    /// Whether the account names a guaranteed shape of which enough is not yet named by other
    /// unfinished work of its own.
    fn is_claim(&self, index: usize) -> bool {
        let item = &self.trace.items[index].item;
        let Some(key) = claim_key(item) else { return false };
        let account = self.document.accounts.iter().find(|it| it.id == item.account);
        let shape = account.and_then(|it| it.guarantees.iter().find(|it| it.name == key.1));
        let claimed = self.claimed.get(&key).copied().unwrap_or(0);
        let wanted = item.tasks * item.demand.accelerators;
        shape.is_some_and(|it| claimed + wanted <= it.accelerators)
    }

    fn fault_begins(&mut self, index: usize, now: Duration) {
        let fault = self.trace.faults[index].clone();
        self.n_faults += 1;
        for it in &mut self.works {
            it.claim_upset |= it.stage == Stage::Waiting;
        }
        match fault.kind {
            trace::FaultKind::Dead => {
                self.floor.set_dead(&fault.worker, true);
                self.doom(&fault.worker, now);
            }
            trace::FaultKind::Poisoned => {
                self.poisoned.insert(fault.worker);
            }
            trace::FaultKind::Drained => {
                self.floor.set_drained(&fault.worker, true);
                self.tell(event::HallEvent::WorkerDraining(fault.worker), now);
            }
        }
    }

    /// Dooms the gangs that run on a worker which just died.
    fn doom(&mut self, worker: &ids::WorkerId, now: Duration) {
        for index in 0..self.works.len() {
            let it = &mut self.works[index];
            if it.stage != Stage::Running || !it.placement.iter().any(|it| it.worker == *worker) {
                continue;
            }
            it.stage = Stage::Doomed;
            let lapsed =
                Occurrence::LeaseLapsed { index, attempt: it.attempt, worker: worker.clone() };
            self.plan(now + LEASE_TERM, lapsed);
        }
    }

    fn fault_ends(&mut self, index: usize, now: Duration) {
        let fault = self.trace.faults[index].clone();
        self.n_faults -= 1;
        match fault.kind {
            trace::FaultKind::Dead => {
                self.floor.set_dead(&fault.worker, false);
                self.tell(event::HallEvent::WorkerBack(fault.worker), now);
            }
            trace::FaultKind::Poisoned => {
                self.poisoned.remove(&fault.worker);
            }
            trace::FaultKind::Drained => {
                self.floor.set_drained(&fault.worker, false);
                self.tell(event::HallEvent::WorkerUndrained(fault.worker), now);
            }
        }
    }

    fn start_done(&mut self, index: usize, attempt: u32, now: Duration) {
        if !self.is_current(index, attempt, Stage::Starting) {
            return;
        }
        let placement = self.works[index].placement.clone();
        if placement.iter().any(|it| self.floor.is_dead(&it.worker)) {
            self.plan(now + START_TIMEOUT, Occurrence::StartTimedOut { index, attempt });
            return;
        }
        self.note_start(index, now);
        let truth = &self.trace.items[index];
        let it = &mut self.works[index];
        it.stage = Stage::Running;
        it.since = now;
        it.saved_at_start = it.saved;
        let left = truth.run.saturating_sub(it.saved);
        let poisoned = placement.iter().find(|it| self.poisoned.contains(&it.worker));
        if let Some(slot) = poisoned {
            let worker = slot.worker.clone();
            self.plan(now + POISON_TAKES, Occurrence::RunFails { index, attempt, worker });
        } else if truth.flaw == Some(trace::WorkFlaw::Faulty) {
            let worker = placement[0].worker.clone();
            self.plan(now + FAULTY_TAKES, Occurrence::RunFails { index, attempt, worker });
        } else {
            self.plan(now + left, Occurrence::RunEnds { index, attempt });
        }
        self.tell(event::HallEvent::Started(self.id(index)), now);
    }

    fn note_start(&mut self, index: usize, now: Duration) {
        if self.works[index].first_start.is_some() {
            return;
        }
        self.works[index].first_start = Some(now);
        let wait = now.saturating_sub(self.trace.items[index].at);
        self.tally_start(index, wait);
    }

    fn tally_start(&mut self, index: usize, wait: Duration) {
        let truth = &self.trace.items[index];
        if truth.flaw.is_some() || truth.cancel_at.is_some() {
            return;
        }
        self.tally.class(&truth.item.class).started(wait);
        if 1 < truth.item.tasks {
            self.tally.gang_wait.record(wait);
        }
        let bounds = &self.document.bounds;
        let class = self.document.classes.iter().find(|it| it.name == truth.item.class);
        if class.is_some_and(|it| it.urgent) {
            self.tally.urgent += 1;
            self.tally.urgent_met += u64::from(wait <= bounds.urgent_start.0);
        }
        if self.works[index].claim {
            let met = wait <= bounds.reclaim.0;
            self.tally.reclaim.record(wait);
            self.tally.reclaims += 1;
            self.tally.reclaims_met += u64::from(met);
            let healthy = !self.works[index].claim_upset;
            self.tally.reclaims_missed_healthy += u64::from(!met && healthy);
        }
    }

    fn start_timed_out(&mut self, index: usize, attempt: u32, now: Duration) {
        if !self.is_current(index, attempt, Stage::Starting) {
            return;
        }
        let placement = std::mem::take(&mut self.works[index].placement);
        let dead = placement.iter().find(|it| self.floor.is_dead(&it.worker));
        let worker = dead.map(|it| it.worker.clone());
        self.floor.free(&placement);
        self.works[index].stage = Stage::Waiting;
        self.floor.want(floor::WantedShape::of_work(&self.trace.items[index].item));
        let fault = event::StartFault::Unreachable;
        self.tell(event::HallEvent::StartFailed { work: self.id(index), worker, fault }, now);
    }

    fn ended(&mut self, index: usize, exit: event::WorkExit, now: Duration) {
        let truth = &self.trace.items[index];
        let it = &mut self.works[index];
        let placement = std::mem::take(&mut it.placement);
        let ran = now.saturating_sub(it.since);
        let kept = it.saved.saturating_sub(it.saved_at_start);
        let was_running = it.stage != Stage::Starting;
        it.stage = Stage::Waiting;
        self.floor.free(&placement);
        if exit == event::WorkExit::Succeeded {
            self.succeeded(index, now);
        } else if was_running {
            let accelerators = f64::from(truth.item.tasks * truth.item.demand.accelerators);
            self.tally.time.lost += ran.saturating_sub(kept).as_secs_f64() * accelerators;
        }
        self.floor.want(floor::WantedShape::of_work(&truth.item));
        self.tell(event::HallEvent::Ended { work: self.id(index), exit }, now);
    }

    fn succeeded(&mut self, index: usize, now: Duration) {
        let truth = &self.trace.items[index];
        if truth.flaw.is_some() || truth.cancel_at.is_some() {
            return;
        }
        let completion = now.saturating_sub(truth.at);
        self.tally.class(&truth.item.class).done(completion, truth.run);
        if 1 < truth.item.tasks {
            self.tally.gang_delay.record(completion.saturating_sub(truth.run));
        }
    }

    fn carry_out(&mut self, decision: decision::Decision, now: Duration) {
        match decision {
            decision::Decision::Start { work, placement, .. } => self.start(work, placement, now),
            decision::Decision::Checkpoint { work, .. } => self.checkpoint(work, now),
            decision::Decision::Stop { work, .. } => {
                let index = self.index[&work];
                let attempt = self.works[index].attempt;
                self.plan(now + STOP_TAKES, Occurrence::StopDone { index, attempt });
            }
            decision::Decision::Requeue { .. } => self.tally.preemptions += 1,
            decision::Decision::Finish { work, outcome, .. } => self.finish(work, outcome),
            decision::Decision::Throttle { .. }
            | decision::Decision::WorkerChanged { .. }
            | decision::Decision::GuaranteeChanged { .. } => {}
        }
    }

    fn start(&mut self, work: work::WorkId, placement: Vec<work::TaskAssignment>, now: Duration) {
        let index = self.index[&work];
        assert_eq!(self.works[index].stage, Stage::Waiting, "{work} started twice");
        self.floor.hold(work, &placement);
        self.floor.unwant(floor::WantedShape::of_work(&self.trace.items[index].item));
        let it = &mut self.works[index];
        it.stage = Stage::Starting;
        it.attempt += 1;
        it.placement = placement;
        let attempt = it.attempt;
        self.plan(now + START_TAKES, Occurrence::StartDone { index, attempt });
    }

    fn checkpoint(&mut self, work: work::WorkId, now: Duration) {
        let index = self.index[&work];
        let it = &self.works[index];
        if it.stage != Stage::Running {
            return;
        }
        let attempt = it.attempt;
        let progress = it.saved_at_start + now.saturating_sub(it.since);
        let takes = self.rng.random_range(CHECKPOINT_TAKES.0..CHECKPOINT_TAKES.1);
        let done = Occurrence::CheckpointDone { index, attempt, progress };
        self.plan(now + takes, done);
    }

    fn finish(&mut self, work: work::WorkId, outcome: model::RequestOutcome) {
        let index = self.index[&work];
        assert_eq!(self.works[index].stage, Stage::Waiting, "{work} finished while it runs");
        self.works[index].stage = Stage::Over;
        self.unfinished -= 1;
        let truth = &self.trace.items[index];
        self.floor.unwant(floor::WantedShape::of_work(&truth.item));
        if let Some(key) = claim_key(&truth.item)
            && let Some(claimed) = self.claimed.get_mut(&key)
        {
            *claimed -= truth.item.tasks * truth.item.demand.accelerators;
        }
        let counted = truth.flaw.is_none() && truth.cancel_at.is_none();
        if counted && outcome != model::RequestOutcome::Done {
            self.tally.class(&truth.item.class).failed();
        }
    }

    /// Counts what never ended with its age, which is a lower bound.
    fn close(&mut self, now: Duration) {
        for index in 0..self.works.len() {
            let truth = &self.trace.items[index];
            let live = matches!(self.works[index].stage, Stage::Unborn | Stage::Over);
            if live || truth.flaw.is_some() || truth.cancel_at.is_some() {
                continue;
            }
            let age = now.saturating_sub(truth.at);
            self.tally.class(&truth.item.class).unfinished(age, truth.run);
            if 1 < truth.item.tasks {
                self.tally.gang_delay.record(age.saturating_sub(truth.run));
            }
            if self.works[index].first_start.is_none() {
                self.tally_start(index, age);
            }
        }
    }
}

fn claim_key(item: &work::WorkItem) -> Option<(ids::AccountId, ids::GuaranteeName)> {
    item.guarantee.as_ref().map(|it| (item.account.clone(), it.clone()))
}

fn wall(now: Duration) -> time::WallTime {
    trace::EPOCH + now
}
