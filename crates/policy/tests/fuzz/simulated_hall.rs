//! Carries the policy's decisions out, with troubles, and has the oracle judge each of them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondpass_policy::decision::Decision;
use almondpass_policy::event::{HallEvent, StartFault, WorkExit};
use almondpass_policy::{hall_policy, work};
use almondpass_schema::{ids, model, time};
use uuid::Uuid;

use crate::config_variants;
use crate::oracle::{self, HallOracle, Phase, TrackedWork};
use crate::step;

const BEGIN: time::WallTime = time::WallTime(Duration::from_secs(1_800_000_000));
const START_TAKES: Duration = Duration::from_millis(10);
const STOP_TAKES: Duration = Duration::from_millis(100);
const CHECKPOINT_TAKES: Duration = Duration::from_secs(2);
const LOSS_NOTICED: Duration = Duration::from_millis(500);
const LEASE_TERM: Duration = Duration::from_secs(6);
const POISON_TAKES: Duration = Duration::from_millis(200);
/// A guarantee may be homeless for this long after a new start, when workers come back.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Turns without any time passing before the policy counts as spinning.
const MOST_TURNS: usize = 1_000;
/// Time for everything to end once nothing more arrives.
const QUIET_TIME: Duration = Duration::from_secs(3 * 3_600);

/// What a policy under test promises.
pub(crate) trait FuzzedPolicy: hall_policy::HallPolicy {
    /// Guarantees, bounds, limits and truth about work that never ran.
    const FULL: bool;

    /// The policy's own checks.
    fn check(&self, now: time::WallTime);
}

#[derive(Clone, Debug, PartialEq)]
enum PendingEvent {
    Start { id: work::WorkId, start: u32 },
    Checkpoint { id: work::WorkId, start: u32 },
    Stop { id: work::WorkId, start: u32 },
    End { id: work::WorkId, start: u32 },
    Fail { id: work::WorkId, start: u32, worker: ids::WorkerId },
    Lapse { id: work::WorkId, start: u32, worker: ids::WorkerId },
    NoticeLoss { worker: ids::WorkerId },
}

/// A hall under test.
pub(crate) struct SimulatedHall<P> {
    policy: P,
    oracle: HallOracle,
    now: time::WallTime,
    due: BTreeMap<(time::WallTime, u64), PendingEvent>,
    next: u64,
    trouble: Option<step::StartFailure>,
    settled_at: time::WallTime,
    told: Vec<HallEvent>,
}

impl<P: FuzzedPolicy> SimulatedHall<P> {
    pub(crate) fn new() -> SimulatedHall<P> {
        let document = Arc::new(config_variants::document(0));
        let policy = new_policy::<P>(&document, BEGIN);
        let mut world = SimulatedHall {
            policy,
            oracle: HallOracle {
                document,
                works: BTreeMap::new(),
                workers: BTreeMap::new(),
                holders: BTreeMap::new(),
                lost_guarantees: Default::default(),
                calm_since: BEGIN,
            },
            now: BEGIN,
            due: BTreeMap::new(),
            next: 1,
            trouble: None,
            settled_at: BEGIN + SETTLE_TIME,
            told: Vec::new(),
        };
        world.meet_workers();
        world.pass(SETTLE_TIME);
        world
    }

    pub(crate) fn step(&mut self, step: &step::FuzzStep) {
        match step {
            step::FuzzStep::Arrive(it) => self.arrive(it),
            step::FuzzStep::Claim { account, class, tasks, run } => {
                self.claim(*account, *class, *tasks, *run);
            }
            step::FuzzStep::Burst { account, class, count, run } => {
                (0..*count).for_each(|_| self.request(*account, *class, *run));
            }
            step::FuzzStep::Pass { millis } => self.pass(Duration::from_millis(u64::from(*millis))),
            step::FuzzStep::Cancel { pick } => {
                if let Some(id) = self.pick(*pick, |it| it.phase != Phase::Over) {
                    self.cancel(id);
                }
            }
            step::FuzzStep::CancelWave { account } => self.cancel_wave(*account),
            step::FuzzStep::TroubleStart(it) => {
                self.trouble = Some(*it);
                self.disturb();
            }
            step::FuzzStep::FailRun { pick } => self.fail_run(*pick),
            step::FuzzStep::Kill { worker } => self.kill(*worker),
            step::FuzzStep::Return { worker } => self.bring_back(*worker),
            step::FuzzStep::Drain { worker } => self.drain(*worker, true),
            step::FuzzStep::Undrain { worker } => self.drain(*worker, false),
            step::FuzzStep::Poison { worker } => self.poison(*worker, true),
            step::FuzzStep::Heal { worker } => self.poison(*worker, false),
            step::FuzzStep::Configure { variant } => self.configure(*variant),
            step::FuzzStep::TakeOver => self.take_over(),
            step::FuzzStep::Repeat { pick } => self.repeat(*pick),
        }
        self.turn();
        self.check();
    }

    /// Mends everything, lets time pass, and expects all work to be over.
    pub(crate) fn settle(&mut self) {
        self.trouble = None;
        self.pass(LEASE_TERM);
        for worker in 0..self.oracle.workers.len() as u8 {
            self.bring_back(worker);
            self.drain(worker, false);
            self.poison(worker, false);
        }
        self.configure(0);
        self.turn();
        self.pass(QUIET_TIME);
        for (id, case) in &self.oracle.works {
            // What was accepted by another configuration may have no place in this one.
            if case.phase == Phase::Waiting && self.policy.admits(&case.item).is_err() {
                continue;
            }
            let reason = self.policy.reason(id, self.now);
            assert_eq!(case.phase, Phase::Over, "{id} never ends: {reason:?} {case:?}");
        }
        assert!(self.oracle.holders.is_empty(), "held by nobody: {:?}", self.oracle.holders);
    }

    fn tell(&mut self, event: HallEvent) {
        self.told.push(event.clone());
        self.policy.apply(event, self.now);
    }

    fn plan(&mut self, after: Duration, due: PendingEvent) {
        self.next += 1;
        self.due.insert((self.now + after, self.next), due);
    }

    /// Claims that wait are judged no more, and none that arrive soon.
    fn disturb(&mut self) {
        self.oracle.calm_since = self.now + self.oracle.document.bounds.reclaim.0 + LEASE_TERM;
        for case in self.oracle.works.values_mut() {
            case.due = None;
        }
    }

    fn pick(&self, pick: u16, filter: impl Fn(&TrackedWork) -> bool) -> Option<work::WorkId> {
        let all: Vec<&work::WorkId> =
            self.oracle.works.iter().filter(|(_, it)| filter(it)).map(|(id, _)| id).collect();
        all.get(usize::from(pick) % all.len().max(1)).map(|it| **it)
    }

    fn worker(&self, number: u8) -> ids::WorkerId {
        let all: Vec<&ids::WorkerId> = self.oracle.workers.keys().collect();
        all[usize::from(number) % all.len()].clone()
    }

    fn meet_workers(&mut self) {
        for worker in self.oracle.racks().concat() {
            self.oracle.workers.entry(worker).or_default();
        }
        let live: Vec<ids::WorkerId> = self
            .oracle
            .workers
            .iter()
            .filter(|(_, it)| !it.dead)
            .map(|(id, _)| id.clone())
            .collect();
        for worker in live {
            self.oracle.workers.get_mut(&worker).expect("known").told_lost = false;
            self.tell(HallEvent::WorkerBack(worker));
        }
    }

    fn arrive(&mut self, it: &step::ArriveStep) {
        let class = self.oracle.class(config_variants::CLASSES[usize::from(it.class)]).clone();
        let is_request = class.kind == model::ClassKind::Request;
        let run = Duration::from_secs(u64::from(it.run));
        let item = work::WorkItem {
            tasks: if is_request { 1 } else { u32::from(it.tasks) },
            demand: demand(if is_request { 1 } else { it.accelerators.into() }, is_request),
            adjacency: if is_request { model::Adjacency::Worker } else { it.adjacency },
            declared_run: it.declared.map(|it| Duration::from_secs(it.into())),
            deadline: it.deadline.map(|it| self.now + Duration::from_secs(it.into())),
            ..self.item(it.account, &class.name)
        };
        // A request is cut off at its limit by whoever relays it.
        let run = if is_request { run.min(class.max_run.0) } else { run };
        self.submit(item, run, it.faulty, false);
    }

    fn request(&mut self, account: u8, class: u8, run: u16) {
        let class = self.oracle.class(config_variants::CLASSES[usize::from(class)]).clone();
        let item = work::WorkItem {
            demand: demand(1, true),
            adjacency: model::Adjacency::Worker,
            ..self.item(account, &class.name)
        };
        let run = Duration::from_secs(run.into()).min(class.max_run.0);
        self.submit(item, run, false, false);
    }

    fn claim(&mut self, account: u8, class: u8, tasks: u8, run: u16) {
        let id = config_variants::ACCOUNTS[usize::from(account)];
        let owner = self.oracle.document.accounts.iter().find(|it| it.id == id);
        let Some(shape) = owner.and_then(|it| it.guarantees.first()).cloned() else { return };
        let most = shape.accelerators.min(config_variants::WORKER_ACCELERATORS);
        let each = (1..=most)
            .rev()
            .find(|it| shape.accelerators % it == 0 && u32::from(tasks) <= shape.accelerators / it)
            .unwrap_or(1);
        let alone =
            !self.oracle.works.values().any(|it| it.item.account == id && it.phase != Phase::Over);
        let item = work::WorkItem {
            tasks: shape.accelerators / each,
            demand: demand(each, false),
            adjacency: shape.adjacency,
            guarantee: Some(shape.name),
            ..self.item(account, config_variants::CLASSES[usize::from(class)])
        };
        let judged = alone && self.oracle.is_calm() && self.oracle.calm_since <= self.now;
        let judged = judged && self.oracle.lost_guarantees.is_empty();
        self.submit(item, Duration::from_secs(run.into()), false, judged);
    }

    fn item(&mut self, account: u8, class: &str) -> work::WorkItem {
        self.next += 1;
        work::WorkItem {
            id: Uuid::from_u128(self.next.into()),
            account: config_variants::ACCOUNTS[usize::from(account)].to_owned(),
            class: class.to_owned(),
            tasks: 1,
            demand: demand(1, false),
            adjacency: model::Adjacency::Any,
            guarantee: None,
            declared_run: None,
            deadline: None,
            submitted_at: self.now,
            attempt: 0,
            saved_run: Duration::ZERO,
            exclude: Vec::new(),
            failed_on: Vec::new(),
        }
    }

    fn submit(&mut self, item: work::WorkItem, run: Duration, faulty: bool, judged: bool) {
        if self.policy.admits(&item).is_err() {
            return;
        }
        let due = judged.then(|| self.now + self.oracle.document.bounds.reclaim.0);
        let case = TrackedWork {
            item: item.clone(),
            run,
            faulty,
            phase: Phase::Waiting,
            placement: Vec::new(),
            start: 0,
            ever_ran: false,
            cancelled: false,
            stopping: false,
            due,
        };
        self.oracle.works.insert(item.id, case);
        self.tell(HallEvent::Arrived(item));
    }

    fn cancel(&mut self, id: work::WorkId) {
        self.oracle.works.get_mut(&id).expect("picked").cancelled = true;
        self.tell(HallEvent::Cancelled(id));
    }

    fn cancel_wave(&mut self, account: u8) {
        let account = config_variants::ACCOUNTS[usize::from(account)];
        let hit = |it: &&TrackedWork| it.item.account == account && it.phase != Phase::Over;
        let wave: Vec<work::WorkId> =
            self.oracle.works.values().filter(hit).map(|it| it.item.id).collect();
        wave.into_iter().for_each(|it| self.cancel(it));
    }

    fn fail_run(&mut self, pick: u16) {
        let runs = |it: &TrackedWork| matches!(it.phase, Phase::Running(_));
        let Some(id) = self.pick(pick, runs) else { return };
        let case = &self.oracle.works[&id];
        let worker = case.placement[0].worker.clone();
        let start = case.start;
        self.disturb();
        self.plan(Duration::ZERO, PendingEvent::Fail { id, start, worker });
    }

    fn kill(&mut self, number: u8) {
        let worker = self.worker(number);
        let case = self.oracle.workers.get_mut(&worker).expect("named");
        if case.dead {
            return;
        }
        case.dead = true;
        self.disturb();
        let hit = |it: &&TrackedWork| {
            oracle::holds(it) && it.placement.iter().any(|slot| slot.worker == worker)
        };
        let gangs: Vec<(work::WorkId, u32)> =
            self.oracle.works.values().filter(hit).map(|it| (it.item.id, it.start)).collect();
        for (id, start) in gangs {
            // Whatever else was to come of this start is moot.
            self.due.retain(|_, due| !due.is_of(id, start));
            self.plan(LEASE_TERM, PendingEvent::Lapse { id, start, worker: worker.clone() });
        }
        self.plan(LOSS_NOTICED, PendingEvent::NoticeLoss { worker });
    }

    fn bring_back(&mut self, number: u8) {
        let worker = self.worker(number);
        let case = self.oracle.workers.get_mut(&worker).expect("named");
        if !case.dead || !case.told_lost {
            return;
        }
        case.dead = false;
        case.told_lost = false;
        self.disturb();
        self.tell(HallEvent::WorkerBack(worker));
    }

    fn drain(&mut self, number: u8, drained: bool) {
        let worker = self.worker(number);
        let case = self.oracle.workers.get_mut(&worker).expect("named");
        if case.drained == drained {
            return;
        }
        case.drained = drained;
        self.disturb();
        let event = if drained {
            HallEvent::WorkerDraining(worker)
        } else {
            HallEvent::WorkerUndrained(worker)
        };
        self.tell(event);
    }

    fn poison(&mut self, number: u8, poisoned: bool) {
        let worker = self.worker(number);
        self.oracle.workers.get_mut(&worker).expect("named").poisoned = poisoned;
        self.disturb();
    }

    fn configure(&mut self, variant: u8) {
        // Baselines know one layout.
        if !P::FULL && config_variants::LAYOUT_VARIANTS.contains(&variant) {
            return;
        }
        let document = Arc::new(config_variants::document(variant));
        if self.policy.configure(document.clone(), self.now).is_err() {
            return;
        }
        self.oracle.adopt(document);
        self.settled_at = self.now + SETTLE_TIME;
        self.disturb();
        self.meet_workers();
        self.tell_drains();
    }

    /// A worker that is in the configuration again has to be told of anew, drains included.
    fn tell_drains(&mut self) {
        let drained = self.oracle.workers.iter().filter(|(_, it)| it.drained);
        let drained: Vec<ids::WorkerId> = drained.map(|(id, _)| id.clone()).collect();
        drained.into_iter().for_each(|it| self.tell(HallEvent::WorkerDraining(it)));
    }

    /// A new policy learns of everything as a new holder would.
    fn take_over(&mut self) {
        self.disturb();
        self.policy = new_policy::<P>(&self.oracle.document, self.now);
        self.oracle.lost_guarantees.clear();
        self.settled_at = self.now + SETTLE_TIME;
        for case in self.oracle.workers.values_mut() {
            case.shunned = false;
            case.told_lost = case.dead;
        }
        self.meet_workers();
        self.tell_drains();
        let ids: Vec<work::WorkId> = self.oracle.works.keys().copied().collect();
        ids.into_iter().for_each(|it| self.adopt(it));
    }

    fn adopt(&mut self, id: work::WorkId) {
        let case = self.oracle.works.get_mut(&id).expect("known work");
        let cancelled = case.cancelled;
        let start = case.start;
        let item = case.item.clone();
        match case.phase {
            Phase::Over => return,
            Phase::Running(started_at) => {
                let placement = case.placement.clone();
                self.tell(HallEvent::Adopted { item, placement, started_at });
            }
            Phase::Waiting | Phase::Starting | Phase::Ended { .. } => {
                case.phase = Phase::Waiting;
                self.oracle.free(id);
                self.due.retain(|_, due| !due.is_of(id, start));
                self.tell(HallEvent::Arrived(item));
            }
        }
        if cancelled {
            self.tell(HallEvent::Cancelled(id));
        }
    }

    /// Tells something again that is idempotent by its meaning.
    fn repeat(&mut self, pick: u16) {
        let Some(event) = self.told.get(usize::from(pick) % self.told.len().max(1)) else { return };
        let again = match event {
            HallEvent::Arrived(item) => self.oracle.works[&item.id].phase != Phase::Over,
            HallEvent::Cancelled(_) => true,
            _ => false,
        };
        if again {
            self.policy.apply(event.clone(), self.now);
        }
    }

    /// Lets time pass, moment by moment.
    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        loop {
            let wake = self.policy.next_wake(self.now);
            let due = self.due.keys().next().map(|(at, _)| *at);
            let next = [wake, due].into_iter().flatten().min().unwrap_or(until);
            if until <= next {
                break;
            }
            self.now = next.max(self.now);
            let mut stirred = false;
            while let Some(entry) = self.due.first_entry() {
                if self.now < entry.key().0 {
                    break;
                }
                let due = entry.remove();
                self.happen(due);
                stirred = true;
            }
            if self.turn() || stirred {
                self.check();
            }
        }
        self.now = until;
    }

    /// Turns until the policy has nothing left to do now; true where it decided something.
    fn turn(&mut self) -> bool {
        let mut decided = false;
        let mut latest = Vec::new();
        for _ in 0..MOST_TURNS {
            latest = self.policy.run_round(self.now);
            decided |= !latest.is_empty();
            for decision in latest.clone() {
                self.carry_out(decision);
            }
            if self.policy.next_wake(self.now).is_none_or(|it| self.now < it) {
                return decided;
            }
        }
        panic!("the policy wants turn after turn at {}: {latest:?}", self.now);
    }

    fn check(&mut self) {
        self.policy.check(self.now);
        for (id, case) in &self.oracle.works {
            let over = case.phase == Phase::Over;
            assert!(
                over || self.policy.reason(id, self.now).is_some(),
                "{id} is forgotten: {case:?}"
            );
            let left = matches!(case.phase, Phase::Ended { .. });
            assert!(!left, "{id} ended and nothing was decided: {case:?}");
        }
        if P::FULL {
            self.oracle.check_claims(self.now);
            if self.settled_at <= self.now {
                self.oracle.check_guarantees(self.now);
            }
        }
    }

    fn happen(&mut self, due: PendingEvent) {
        match due {
            PendingEvent::Start { id, start } if self.is_at(id, start) => self.started(id, start),
            PendingEvent::Checkpoint { id, start } if self.is_at(id, start) => {
                let case = self.oracle.works.get_mut(&id).expect("current");
                if let Phase::Running(since) = case.phase {
                    let progress = self.now.since(since).saturating_sub(CHECKPOINT_TAKES);
                    case.item.saved_run = case.item.saved_run.max(progress);
                    self.tell(HallEvent::Checkpointed(id));
                }
            }
            PendingEvent::Stop { id, start } if self.is_at(id, start) => {
                self.ended(id, WorkExit::Stopped)
            }
            PendingEvent::End { id, start } if self.is_at(id, start) => {
                self.ended(id, WorkExit::Succeeded);
            }
            PendingEvent::Fail { id, start, worker } if self.is_at(id, start) => {
                self.disturb();
                self.ended(id, WorkExit::Failed { worker });
            }
            PendingEvent::Lapse { id, start, worker } if self.is_at(id, start) => {
                self.ended(id, WorkExit::Lost { worker });
            }
            PendingEvent::NoticeLoss { worker } => {
                self.oracle.workers.get_mut(&worker).expect("named").told_lost = true;
                self.tell(HallEvent::WorkerLost(worker));
            }
            _ => {}
        }
    }

    fn is_at(&self, id: work::WorkId, start: u32) -> bool {
        let case = &self.oracle.works[&id];
        case.start == start && oracle::holds(case)
    }

    fn started(&mut self, id: work::WorkId, start: u32) {
        let placement = self.oracle.works[&id].placement.clone();
        let dead = placement.iter().find(|it| self.oracle.workers[&it.worker].dead);
        let dead = dead.map(|it| it.worker.clone());
        let trouble = dead.as_ref().map(|_| step::StartFailure::Unreachable);
        if let Some(trouble) = trouble.or(self.trouble.take()) {
            let fault = match trouble {
                step::StartFailure::Refused => StartFault::Refused,
                step::StartFailure::Unreachable => StartFault::Unreachable,
                step::StartFailure::Failed => StartFault::Failed,
            };
            self.disturb();
            self.oracle.free(id);
            self.oracle.works.get_mut(&id).expect("current").phase = Phase::Waiting;
            let worker = dead.or_else(|| placement.first().map(|it| it.worker.clone()));
            self.tell(HallEvent::StartFailed { work: id, worker, fault });
            return;
        }
        let case = self.oracle.works.get_mut(&id).expect("current");
        case.phase = Phase::Running(self.now);
        case.ever_ran = true;
        case.item.attempt += 1;
        let left = case.run.saturating_sub(case.item.saved_run);
        let faulty = case.faulty;
        let bad = placement.iter().find(|it| self.oracle.workers[&it.worker].poisoned);
        let bad = bad.or(placement.first().filter(|_| faulty)).map(|it| it.worker.clone());
        match bad {
            Some(worker) => self.plan(POISON_TAKES, PendingEvent::Fail { id, start, worker }),
            None => self.plan(left, PendingEvent::End { id, start }),
        }
        self.tell(HallEvent::Started(id));
    }

    fn ended(&mut self, id: work::WorkId, exit: WorkExit) {
        self.oracle.free(id);
        let case = self.oracle.works.get_mut(&id).expect("current");
        // A stop that overtakes the start ends work that may have run.
        case.item.attempt += u32::from(case.phase == Phase::Starting);
        case.ever_ran = true;
        case.phase = Phase::Ended { succeeded: exit == WorkExit::Succeeded };
        self.tell(HallEvent::Ended { work: id, exit });
    }

    fn carry_out(&mut self, decision: Decision) {
        match decision {
            Decision::Start { work, placement, .. } => {
                self.oracle.start(work, &placement);
                let start = self.oracle.works[&work].start;
                self.plan(START_TAKES, PendingEvent::Start { id: work, start });
            }
            Decision::Checkpoint { work, stop_by, .. } => {
                let case = &self.oracle.works[&work];
                assert!(oracle::holds(case), "checkpoint of {work} which does not run");
                let grace = stop_by.map_or(Duration::ZERO, |it| it.since(self.now));
                let most = self.oracle.document.bounds.reclaim.0;
                assert!(grace <= most, "{work} has {grace:?} for its checkpoint");
                let start = case.start;
                if self.oracle.class(&case.item.class).checkpoint {
                    self.plan(CHECKPOINT_TAKES, PendingEvent::Checkpoint { id: work, start });
                }
            }
            Decision::Stop { work, after_stop, .. } => {
                let start = self.oracle.works[&work].start;
                assert!(oracle::holds(&self.oracle.works[&work]), "stop of idle {work}");
                self.oracle.stop(work, after_stop);
                // A worker that died stops nothing; its lease lapses.
                self.plan(STOP_TAKES, PendingEvent::Stop { id: work, start });
            }
            Decision::Requeue { work, .. } => self.oracle.requeue(work),
            Decision::Finish { work, outcome, .. } => self.oracle.finish(work, outcome),
            Decision::WorkerChanged { worker, state, .. } => {
                let shunned =
                    matches!(state, model::WorkerState::Quarantined | model::WorkerState::Probing);
                if let Some(case) = self.oracle.workers.get_mut(&worker) {
                    case.shunned = shunned;
                }
            }
            Decision::GuaranteeChanged { account, guarantee, state, .. } => {
                let key = (account, guarantee);
                if state == model::GuaranteeState::Lost {
                    self.oracle.lost_guarantees.insert(key);
                } else {
                    self.oracle.lost_guarantees.remove(&key);
                }
            }
            Decision::Throttle { .. } => {}
        }
    }
}

impl PendingEvent {
    fn is_of(&self, work: work::WorkId, number: u32) -> bool {
        match self {
            PendingEvent::Start { id, start }
            | PendingEvent::Checkpoint { id, start }
            | PendingEvent::Stop { id, start }
            | PendingEvent::End { id, start }
            | PendingEvent::Fail { id, start, .. }
            | PendingEvent::Lapse { id, start, .. } => *id == work && *start == number,
            PendingEvent::NoticeLoss { .. } => false,
        }
    }
}

fn new_policy<P: hall_policy::HallPolicy>(
    document: &Arc<model::ConfigDocument>,
    now: time::WallTime,
) -> P {
    P::new(&config_variants::HALL.to_owned(), document.clone(), now).expect("a site that fits")
}

fn demand(accelerators: u32, is_request: bool) -> work::TaskDemand {
    work::TaskDemand {
        accelerators,
        cores: 2 * accelerators.max(1),
        memory_mb: 1_024,
        slots: u32::from(is_request),
    }
}
