//! Simulated hall: executes the policy's decisions, injects faults, and has the oracle check each decision.

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

const START_TIME: time::WallTime = time::WallTime(Duration::from_secs(1_800_000_000));
/// From a start decision until the gang runs.
const START_DELAY: Duration = Duration::from_millis(10);
/// From a stop decision until the gang has ended.
const STOP_DELAY: Duration = Duration::from_millis(100);
const CHECKPOINT_DURATION: Duration = Duration::from_secs(2);
/// From the death of a worker until its loss is reported.
const LOSS_DETECTION_DELAY: Duration = Duration::from_millis(500);
/// From the death of a worker until the work on it is reported as lost.
const LEASE_DURATION: Duration = Duration::from_secs(6);
/// From the start of a gang until it fails, if the work or one of its workers is faulty.
const FAILURE_DELAY: Duration = Duration::from_millis(200);
/// Guarantees may lack a home block for this long after a policy starts or is reconfigured, because its
/// workers have only just been reported.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Rounds at one point in time after which the policy counts as looping endlessly.
const MAX_ROUNDS: usize = 1_000;
/// Time within which all work must finish after the last step of a case.
const COMPLETION_TIME: Duration = Duration::from_secs(3 * 3_600);

/// A policy under test.
pub(crate) trait FuzzedPolicy: hall_policy::HallPolicy {
    /// Whether the policy keeps guarantees and the reclaim bound and supports changes of the hall layout.
    const HAS_GUARANTEES: bool;

    /// Panics if the policy's own invariants do not hold.
    fn assert_invariants(&self, now: time::WallTime);
}

/// An event due later in simulated time. It is ignored if work `id` has since been started again or ended.
#[derive(Clone, Debug, PartialEq)]
enum PendingEvent {
    Start { id: work::WorkId, start_number: u32 },
    Checkpoint { id: work::WorkId, start_number: u32 },
    Stop { id: work::WorkId, start_number: u32 },
    End { id: work::WorkId, start_number: u32 },
    Fail { id: work::WorkId, start_number: u32, worker: ids::WorkerId },
    LeaseExpired { id: work::WorkId, start_number: u32, worker: ids::WorkerId },
    ReportLoss { worker: ids::WorkerId },
}

/// A policy under test, the oracle, and the events due in simulated time.
pub(crate) struct SimulatedHall<P> {
    policy: P,
    oracle: HallOracle,
    now: time::WallTime,
    /// By due time and number.
    pending: BTreeMap<(time::WallTime, u64), PendingEvent>,
    /// Number last given to a pending event or a work item.
    last_number: u64,
    /// Failure injected into the next start.
    next_start_failure: Option<step::StartFailure>,
    /// Guarantees are checked from this time on.
    guarantees_checked_from: time::WallTime,
    /// All events reported to the policy, for `FuzzStep::RepeatEvent`.
    reported_events: Vec<HallEvent>,
}

impl<P: FuzzedPolicy> SimulatedHall<P> {
    pub(crate) fn new() -> SimulatedHall<P> {
        let document = Arc::new(config_variants::document(0));
        let policy = new_policy::<P>(&document, START_TIME);
        let mut hall = SimulatedHall {
            policy,
            oracle: HallOracle {
                document,
                work_by_id: BTreeMap::new(),
                workers: BTreeMap::new(),
                holders: BTreeMap::new(),
                lost_guarantees: Default::default(),
                claim_checks_from: START_TIME,
            },
            now: START_TIME,
            pending: BTreeMap::new(),
            last_number: 1,
            next_start_failure: None,
            guarantees_checked_from: START_TIME + SETTLE_TIME,
            reported_events: Vec::new(),
        };
        hall.report_live_workers();
        hall.pass_time(SETTLE_TIME);
        hall
    }

    pub(crate) fn apply_step(&mut self, step: &step::FuzzStep) {
        match step {
            step::FuzzStep::Arrive(it) => self.submit_arrival(it),
            step::FuzzStep::Claim { account, class, tasks, run } => {
                self.submit_claim(*account, *class, *tasks, *run);
            }
            step::FuzzStep::Burst { account, class, count, run } => {
                (0..*count).for_each(|_| self.submit_request(*account, *class, *run));
            }
            step::FuzzStep::PassTime { millis } => {
                self.pass_time(Duration::from_millis(u64::from(*millis)))
            }
            step::FuzzStep::Cancel { pick } => {
                if let Some(id) = self.pick(*pick, |it| it.phase != Phase::Finished) {
                    self.cancel(id);
                }
            }
            step::FuzzStep::CancelAccount { account } => self.cancel_account(*account),
            step::FuzzStep::FailNextStart(it) => {
                self.next_start_failure = Some(*it);
                self.suspend_claim_checks();
            }
            step::FuzzStep::FailRun { pick } => self.fail_run(*pick),
            step::FuzzStep::Kill { worker } => self.kill_worker(*worker),
            step::FuzzStep::Return { worker } => self.return_worker(*worker),
            step::FuzzStep::Drain { worker } => self.set_drained(*worker, true),
            step::FuzzStep::Undrain { worker } => self.set_drained(*worker, false),
            step::FuzzStep::MakeFaulty { worker } => self.set_faulty(*worker, true),
            step::FuzzStep::Repair { worker } => self.set_faulty(*worker, false),
            step::FuzzStep::Configure { variant } => self.configure(*variant),
            step::FuzzStep::TakeOver => self.take_over(),
            step::FuzzStep::RepeatEvent { pick } => self.repeat_event(*pick),
        }
        self.run_rounds();
        self.check_state();
    }

    /// Removes all faults, advances time by `COMPLETION_TIME` and checks that all work has finished.
    pub(crate) fn finish_all_work(&mut self) {
        self.next_start_failure = None;
        self.pass_time(LEASE_DURATION);
        for worker in 0..self.oracle.workers.len() as u8 {
            self.return_worker(worker);
            self.set_drained(worker, false);
            self.set_faulty(worker, false);
        }
        self.configure(0);
        self.run_rounds();
        self.pass_time(COMPLETION_TIME);
        for (id, tracked) in &self.oracle.work_by_id {
            // Work admitted under another configuration may not fit in this one.
            if tracked.phase == Phase::Waiting && self.policy.admits(&tracked.item).is_err() {
                continue;
            }
            let reason = self.policy.reason(id, self.now);
            assert_eq!(
                tracked.phase,
                Phase::Finished,
                "{id} has not finished: {reason:?} {tracked:?}"
            );
        }
        assert!(
            self.oracle.holders.is_empty(),
            "accelerators held after all work finished: {:?}",
            self.oracle.holders
        );
    }

    fn report(&mut self, event: HallEvent) {
        self.reported_events.push(event.clone());
        self.policy.apply(event, self.now);
    }

    fn schedule(&mut self, delay: Duration, event: PendingEvent) {
        self.last_number += 1;
        self.pending.insert((self.now + delay, self.last_number), event);
    }

    /// Exempts waiting claims from the reclaim bound, and those submitted soon after, because a fault
    /// delays them.
    fn suspend_claim_checks(&mut self) {
        self.oracle.claim_checks_from =
            self.now + self.oracle.document.bounds.reclaim.0 + LEASE_DURATION;
        for tracked in self.oracle.work_by_id.values_mut() {
            tracked.start_by = None;
        }
    }

    fn pick(&self, pick: u16, filter: impl Fn(&TrackedWork) -> bool) -> Option<work::WorkId> {
        let all: Vec<&work::WorkId> =
            self.oracle.work_by_id.iter().filter(|(_, it)| filter(it)).map(|(id, _)| id).collect();
        all.get(usize::from(pick) % all.len().max(1)).map(|it| **it)
    }

    fn worker_id(&self, number: u8) -> ids::WorkerId {
        let all: Vec<&ids::WorkerId> = self.oracle.workers.keys().collect();
        all[usize::from(number) % all.len()].clone()
    }

    fn report_live_workers(&mut self) {
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
            self.oracle.workers.get_mut(&worker).expect("known").reported_lost = false;
            self.report(HallEvent::WorkerBack(worker));
        }
    }

    fn submit_arrival(&mut self, it: &step::ArriveStep) {
        let class = self.oracle.class(config_variants::CLASSES[usize::from(it.class)]).clone();
        let is_request = class.kind == model::ClassKind::Request;
        let run = Duration::from_secs(u64::from(it.run));
        let item = work::WorkItem {
            tasks: if is_request { 1 } else { u32::from(it.tasks) },
            demand: demand(if is_request { 1 } else { it.accelerators.into() }, is_request),
            adjacency: if is_request { model::Adjacency::Worker } else { it.adjacency },
            declared_run: it.declared.map(|it| Duration::from_secs(it.into())),
            deadline: it.deadline.map(|it| self.now + Duration::from_secs(it.into())),
            ..self.new_item(it.account, &class.name)
        };
        // The process that relays a request ends it at its run time limit.
        let run = if is_request { run.min(class.max_run.0) } else { run };
        self.submit(item, run, it.faulty, false);
    }

    fn submit_request(&mut self, account: u8, class: u8, run: u16) {
        let class = self.oracle.class(config_variants::CLASSES[usize::from(class)]).clone();
        let item = work::WorkItem {
            demand: demand(1, true),
            adjacency: model::Adjacency::Worker,
            ..self.new_item(account, &class.name)
        };
        let run = Duration::from_secs(run.into()).min(class.max_run.0);
        self.submit(item, run, false, false);
    }

    fn submit_claim(&mut self, account: u8, class: u8, tasks: u8, run: u16) {
        let id = config_variants::ACCOUNTS[usize::from(account)];
        let account_spec = self.oracle.document.accounts.iter().find(|it| it.id == id);
        let Some(shape) = account_spec.and_then(|it| it.guarantees.first()).cloned() else {
            return;
        };
        let max_per_task = shape.accelerators.min(config_variants::WORKER_ACCELERATORS);
        let per_task = (1..=max_per_task)
            .rev()
            .find(|it| shape.accelerators % it == 0 && u32::from(tasks) <= shape.accelerators / it)
            .unwrap_or(1);
        let is_only_work = !self
            .oracle
            .work_by_id
            .values()
            .any(|it| it.item.account == id && it.phase != Phase::Finished);
        let item = work::WorkItem {
            tasks: shape.accelerators / per_task,
            demand: demand(per_task, false),
            adjacency: shape.adjacency,
            guarantee: Some(shape.name),
            ..self.new_item(account, config_variants::CLASSES[usize::from(class)])
        };
        let must_start_in_time = is_only_work
            && self.oracle.all_workers_healthy()
            && self.oracle.claim_checks_from <= self.now;
        let must_start_in_time = must_start_in_time && self.oracle.lost_guarantees.is_empty();
        self.submit(item, Duration::from_secs(run.into()), false, must_start_in_time);
    }

    fn new_item(&mut self, account: u8, class: &str) -> work::WorkItem {
        self.last_number += 1;
        work::WorkItem {
            id: Uuid::from_u128(self.last_number.into()),
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

    fn submit(
        &mut self,
        item: work::WorkItem,
        run: Duration,
        faulty: bool,
        must_start_in_time: bool,
    ) {
        if self.policy.admits(&item).is_err() {
            return;
        }
        let start_by = must_start_in_time.then(|| self.now + self.oracle.document.bounds.reclaim.0);
        let tracked = TrackedWork {
            item: item.clone(),
            run,
            faulty,
            phase: Phase::Waiting,
            placement: Vec::new(),
            start_number: 0,
            ever_ran: false,
            cancelled: false,
            stopping: false,
            start_by,
        };
        self.oracle.work_by_id.insert(item.id, tracked);
        self.report(HallEvent::Arrived(item));
    }

    fn cancel(&mut self, id: work::WorkId) {
        self.oracle.work_by_id.get_mut(&id).expect("picked").cancelled = true;
        self.report(HallEvent::Cancelled(id));
    }

    fn cancel_account(&mut self, account: u8) {
        let account = config_variants::ACCOUNTS[usize::from(account)];
        let is_affected =
            |it: &&TrackedWork| it.item.account == account && it.phase != Phase::Finished;
        let affected: Vec<work::WorkId> =
            self.oracle.work_by_id.values().filter(is_affected).map(|it| it.item.id).collect();
        affected.into_iter().for_each(|it| self.cancel(it));
    }

    fn fail_run(&mut self, pick: u16) {
        let is_running = |it: &TrackedWork| matches!(it.phase, Phase::Running(_));
        let Some(id) = self.pick(pick, is_running) else { return };
        let tracked = &self.oracle.work_by_id[&id];
        let worker = tracked.placement[0].worker.clone();
        let start_number = tracked.start_number;
        self.suspend_claim_checks();
        self.schedule(Duration::ZERO, PendingEvent::Fail { id, start_number, worker });
    }

    fn kill_worker(&mut self, number: u8) {
        let worker = self.worker_id(number);
        let tracked = self.oracle.workers.get_mut(&worker).expect("named");
        if tracked.dead {
            return;
        }
        tracked.dead = true;
        self.suspend_claim_checks();
        let is_affected = |it: &&TrackedWork| {
            oracle::holds_accelerators(it)
                && it.placement.iter().any(|assignment| assignment.worker == worker)
        };
        let gangs: Vec<(work::WorkId, u32)> = self
            .oracle
            .work_by_id
            .values()
            .filter(is_affected)
            .map(|it| (it.item.id, it.start_number))
            .collect();
        for (id, start_number) in gangs {
            // The gang ends when the lease of the dead worker expires; its other pending events are void.
            self.pending.retain(|_, event| !event.belongs_to(id, start_number));
            self.schedule(
                LEASE_DURATION,
                PendingEvent::LeaseExpired { id, start_number, worker: worker.clone() },
            );
        }
        self.schedule(LOSS_DETECTION_DELAY, PendingEvent::ReportLoss { worker });
    }

    fn return_worker(&mut self, number: u8) {
        let worker = self.worker_id(number);
        let tracked = self.oracle.workers.get_mut(&worker).expect("named");
        if !tracked.dead || !tracked.reported_lost {
            return;
        }
        tracked.dead = false;
        tracked.reported_lost = false;
        self.suspend_claim_checks();
        self.report(HallEvent::WorkerBack(worker));
    }

    fn set_drained(&mut self, number: u8, drained: bool) {
        let worker = self.worker_id(number);
        let tracked = self.oracle.workers.get_mut(&worker).expect("named");
        if tracked.drained == drained {
            return;
        }
        tracked.drained = drained;
        self.suspend_claim_checks();
        let event = if drained {
            HallEvent::WorkerDraining(worker)
        } else {
            HallEvent::WorkerUndrained(worker)
        };
        self.report(event);
    }

    fn set_faulty(&mut self, number: u8, faulty: bool) {
        let worker = self.worker_id(number);
        self.oracle.workers.get_mut(&worker).expect("named").faulty = faulty;
        self.suspend_claim_checks();
    }

    fn configure(&mut self, variant: u8) {
        // Baselines support a single layout.
        if !P::HAS_GUARANTEES && config_variants::LAYOUT_VARIANTS.contains(&variant) {
            return;
        }
        let document = Arc::new(config_variants::document(variant));
        if self.policy.configure(document.clone(), self.now).is_err() {
            return;
        }
        self.oracle.set_document(document);
        self.guarantees_checked_from = self.now + SETTLE_TIME;
        self.suspend_claim_checks();
        self.report_live_workers();
        self.report_drains();
    }

    /// Reports all drains. A worker that is back in the configuration must be reported again, including
    /// its drain.
    fn report_drains(&mut self) {
        let drained = self.oracle.workers.iter().filter(|(_, it)| it.drained);
        let drained: Vec<ids::WorkerId> = drained.map(|(id, _)| id.clone()).collect();
        drained.into_iter().for_each(|it| self.report(HallEvent::WorkerDraining(it)));
    }

    /// Replaces the policy by a new one and reports the state of the hall to it, as to a new hall
    /// scheduler.
    fn take_over(&mut self) {
        self.suspend_claim_checks();
        self.policy = new_policy::<P>(&self.oracle.document, self.now);
        self.oracle.lost_guarantees.clear();
        self.guarantees_checked_from = self.now + SETTLE_TIME;
        for tracked in self.oracle.workers.values_mut() {
            tracked.excluded_by_policy = false;
            tracked.reported_lost = tracked.dead;
        }
        self.report_live_workers();
        self.report_drains();
        let ids: Vec<work::WorkId> = self.oracle.work_by_id.keys().copied().collect();
        ids.into_iter().for_each(|it| self.report_work(it));
    }

    fn report_work(&mut self, id: work::WorkId) {
        let tracked = self.oracle.work_by_id.get_mut(&id).expect("known work");
        let cancelled = tracked.cancelled;
        let start_number = tracked.start_number;
        let item = tracked.item.clone();
        match tracked.phase {
            Phase::Finished => return,
            Phase::Running(started_at) => {
                let placement = tracked.placement.clone();
                self.report(HallEvent::Adopted { item, placement, started_at });
            }
            Phase::Waiting | Phase::Starting | Phase::Ended { .. } => {
                tracked.phase = Phase::Waiting;
                self.oracle.release_accelerators(id);
                self.pending.retain(|_, event| !event.belongs_to(id, start_number));
                self.report(HallEvent::Arrived(item));
            }
        }
        if cancelled {
            self.report(HallEvent::Cancelled(id));
        }
    }

    /// Reports an earlier event again if it is idempotent: an arrival of unfinished work, or a
    /// cancellation.
    fn repeat_event(&mut self, pick: u16) {
        let Some(event) =
            self.reported_events.get(usize::from(pick) % self.reported_events.len().max(1))
        else {
            return;
        };
        let can_repeat = match event {
            HallEvent::Arrived(item) => self.oracle.work_by_id[&item.id].phase != Phase::Finished,
            HallEvent::Cancelled(_) => true,
            _ => false,
        };
        if can_repeat {
            self.policy.apply(event.clone(), self.now);
        }
    }

    /// Advances time by `span`, stopping at each pending event and each wake-up time of the policy.
    fn pass_time(&mut self, span: Duration) {
        let until = self.now + span;
        loop {
            let wake = self.policy.next_wake(self.now);
            let next_pending = self.pending.keys().next().map(|(at, _)| *at);
            let next_time = [wake, next_pending].into_iter().flatten().min().unwrap_or(until);
            if until <= next_time {
                break;
            }
            self.now = next_time.max(self.now);
            let mut event_handled = false;
            while let Some(entry) = self.pending.first_entry() {
                if self.now < entry.key().0 {
                    break;
                }
                let event = entry.remove();
                self.handle_pending(event);
                event_handled = true;
            }
            if self.run_rounds() || event_handled {
                self.check_state();
            }
        }
        self.now = until;
    }

    /// Runs rounds until the policy has nothing left to do at this time. Returns whether it decided
    /// anything.
    fn run_rounds(&mut self) -> bool {
        let mut decided = false;
        let mut decisions = Vec::new();
        for _ in 0..MAX_ROUNDS {
            decisions = self.policy.run_round(self.now);
            decided |= !decisions.is_empty();
            for decision in decisions.clone() {
                self.execute(decision);
            }
            if self.policy.next_wake(self.now).is_none_or(|it| self.now < it) {
                return decided;
            }
        }
        panic!(
            "the policy still wants to run after {MAX_ROUNDS} rounds at {}: {decisions:?}",
            self.now
        );
    }

    fn check_state(&mut self) {
        self.policy.assert_invariants(self.now);
        for (id, tracked) in &self.oracle.work_by_id {
            let is_finished = tracked.phase == Phase::Finished;
            assert!(
                is_finished || self.policy.reason(id, self.now).is_some(),
                "no reason for unfinished work {id}: {tracked:?}"
            );
            let is_undecided = matches!(tracked.phase, Phase::Ended { .. });
            assert!(!is_undecided, "{id} ended and was neither requeued nor finished: {tracked:?}");
        }
        if P::HAS_GUARANTEES {
            self.oracle.check_claims(self.now);
            if self.guarantees_checked_from <= self.now {
                self.oracle.check_guarantees(self.now);
            }
        }
    }

    fn handle_pending(&mut self, event: PendingEvent) {
        match event {
            PendingEvent::Start { id, start_number } if self.is_current_start(id, start_number) => {
                self.complete_start(id, start_number)
            }
            PendingEvent::Checkpoint { id, start_number }
                if self.is_current_start(id, start_number) =>
            {
                let tracked = self.oracle.work_by_id.get_mut(&id).expect("current");
                if let Phase::Running(since) = tracked.phase {
                    let progress = self.now.since(since).saturating_sub(CHECKPOINT_DURATION);
                    tracked.item.saved_run = tracked.item.saved_run.max(progress);
                    self.report(HallEvent::Checkpointed(id));
                }
            }
            PendingEvent::Stop { id, start_number } if self.is_current_start(id, start_number) => {
                self.end_work(id, WorkExit::Stopped)
            }
            PendingEvent::End { id, start_number } if self.is_current_start(id, start_number) => {
                self.end_work(id, WorkExit::Succeeded);
            }
            PendingEvent::Fail { id, start_number, worker }
                if self.is_current_start(id, start_number) =>
            {
                self.suspend_claim_checks();
                self.end_work(id, WorkExit::Failed { worker });
            }
            PendingEvent::LeaseExpired { id, start_number, worker }
                if self.is_current_start(id, start_number) =>
            {
                self.end_work(id, WorkExit::Lost { worker });
            }
            PendingEvent::ReportLoss { worker } => {
                self.oracle.workers.get_mut(&worker).expect("named").reported_lost = true;
                self.report(HallEvent::WorkerLost(worker));
            }
            _ => {}
        }
    }

    fn is_current_start(&self, id: work::WorkId, start_number: u32) -> bool {
        let tracked = &self.oracle.work_by_id[&id];
        tracked.start_number == start_number && oracle::holds_accelerators(tracked)
    }

    fn complete_start(&mut self, id: work::WorkId, start_number: u32) {
        let placement = self.oracle.work_by_id[&id].placement.clone();
        let dead = placement.iter().find(|it| self.oracle.workers[&it.worker].dead);
        let dead = dead.map(|it| it.worker.clone());
        let failure = dead.as_ref().map(|_| step::StartFailure::Unreachable);
        if let Some(failure) = failure.or(self.next_start_failure.take()) {
            let fault = match failure {
                step::StartFailure::Refused => StartFault::Refused,
                step::StartFailure::Unreachable => StartFault::Unreachable,
                step::StartFailure::Failed => StartFault::Failed,
            };
            self.suspend_claim_checks();
            self.oracle.release_accelerators(id);
            self.oracle.work_by_id.get_mut(&id).expect("current").phase = Phase::Waiting;
            let worker = dead.or_else(|| placement.first().map(|it| it.worker.clone()));
            self.report(HallEvent::StartFailed { work: id, worker, fault });
            return;
        }
        let tracked = self.oracle.work_by_id.get_mut(&id).expect("current");
        tracked.phase = Phase::Running(self.now);
        tracked.ever_ran = true;
        tracked.item.attempt += 1;
        let remaining = tracked.run.saturating_sub(tracked.item.saved_run);
        let faulty = tracked.faulty;
        let fails_on = placement.iter().find(|it| self.oracle.workers[&it.worker].faulty);
        let fails_on =
            fails_on.or(placement.first().filter(|_| faulty)).map(|it| it.worker.clone());
        match fails_on {
            Some(worker) => {
                self.schedule(FAILURE_DELAY, PendingEvent::Fail { id, start_number, worker })
            }
            None => self.schedule(remaining, PendingEvent::End { id, start_number }),
        }
        self.report(HallEvent::Started(id));
    }

    fn end_work(&mut self, id: work::WorkId, exit: WorkExit) {
        self.oracle.release_accelerators(id);
        let tracked = self.oracle.work_by_id.get_mut(&id).expect("current");
        // A stop may take effect before the start is reported; the work counts as having run.
        tracked.item.attempt += u32::from(tracked.phase == Phase::Starting);
        tracked.ever_ran = true;
        tracked.phase = Phase::Ended { succeeded: exit == WorkExit::Succeeded };
        self.report(HallEvent::Ended { work: id, exit });
    }

    fn execute(&mut self, decision: Decision) {
        match decision {
            Decision::Start { work, placement, .. } => {
                self.oracle.record_start(work, &placement);
                let start_number = self.oracle.work_by_id[&work].start_number;
                self.schedule(START_DELAY, PendingEvent::Start { id: work, start_number });
            }
            Decision::Checkpoint { work, stop_by, .. } => {
                let tracked = &self.oracle.work_by_id[&work];
                assert!(
                    oracle::holds_accelerators(tracked),
                    "checkpoint of {work}, which holds no accelerators"
                );
                let grace = stop_by.map_or(Duration::ZERO, |it| it.since(self.now));
                let max_grace = self.oracle.document.bounds.reclaim.0;
                assert!(
                    grace <= max_grace,
                    "{work} gets {grace:?} for its checkpoint, more than {max_grace:?}"
                );
                let start_number = tracked.start_number;
                if self.oracle.class(&tracked.item.class).checkpoint {
                    self.schedule(
                        CHECKPOINT_DURATION,
                        PendingEvent::Checkpoint { id: work, start_number },
                    );
                }
            }
            Decision::Stop { work, after_stop, .. } => {
                let start_number = self.oracle.work_by_id[&work].start_number;
                assert!(
                    oracle::holds_accelerators(&self.oracle.work_by_id[&work]),
                    "stop of {work}, which holds no accelerators"
                );
                self.oracle.record_stop(work, after_stop);
                // On a dead worker the stop has no effect; the work ends when the lease expires.
                self.schedule(STOP_DELAY, PendingEvent::Stop { id: work, start_number });
            }
            Decision::Requeue { work, .. } => self.oracle.record_requeue(work),
            Decision::Finish { work, outcome, .. } => self.oracle.record_finish(work, outcome),
            Decision::WorkerChanged { worker, state, .. } => {
                let excluded_by_policy =
                    matches!(state, model::WorkerState::Quarantined | model::WorkerState::Probing);
                if let Some(tracked) = self.oracle.workers.get_mut(&worker) {
                    tracked.excluded_by_policy = excluded_by_policy;
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
    fn belongs_to(&self, work: work::WorkId, number: u32) -> bool {
        match self {
            PendingEvent::Start { id, start_number }
            | PendingEvent::Checkpoint { id, start_number }
            | PendingEvent::Stop { id, start_number }
            | PendingEvent::End { id, start_number }
            | PendingEvent::Fail { id, start_number, .. }
            | PendingEvent::LeaseExpired { id, start_number, .. } => {
                *id == work && *start_number == number
            }
            PendingEvent::ReportLoss { .. } => false,
        }
    }
}

fn new_policy<P: hall_policy::HallPolicy>(
    document: &Arc<model::ConfigDocument>,
    now: time::WallTime,
) -> P {
    P::new(&config_variants::HALL.to_owned(), document.clone(), now).expect("a valid configuration")
}

fn demand(accelerators: u32, is_request: bool) -> work::TaskDemand {
    work::TaskDemand {
        accelerators,
        cores: 2 * accelerators.max(1),
        memory_mb: 1_024,
        slots: u32::from(is_request),
    }
}
