//! How the scheduler grants slots to requests.

use std::time::Duration;

use almondpass_config::active;
use almondpass_membership::home;
use almondpass_policy::{decision, event, scheduler::HallPolicy, work};
use almondpass_schema::{ids, model, time};
use tokio::time::Instant;
use uuid::Uuid;

use crate::actor::HallActor;
use crate::backend;
use crate::grant_table::{self, GrantStage};
use crate::hall_layout;
use crate::intent_book;
use crate::lease;
use crate::lease_table;
use crate::metric;
use crate::request;
use crate::serve_task::{self, ReserveOutcome};
use crate::tenure;

impl<B: backend::HallBackend> HallActor<B> {
    pub(crate) fn on_grant_request(&mut self, pending: request::PendingCall<model::GrantRequest>) {
        if self.frozen || self.fenced || self.tenure.standing() == tenure::TenureStanding::Ended {
            pending.decline();
            return;
        }
        let request::PendingCall { call, reply } = pending;
        // Every answer but a grant says "nothing was sent". Proof: only a grant lets an entry
        // send, and this request has none that was told, or is answered by `recorded`.
        match self.admit(call) {
            Admission::Answer(answer) => {
                let _ = reply.send(answer);
            }
            Admission::Join(grant) => {
                if let Some(work) = self.grants.get_mut(&grant) {
                    work.reply = Some(reply);
                }
            }
            Admission::Arrived(grant, mut work) => {
                let item = self.work_item(grant, &work);
                if let Err(reason) = self.policy.admits(&item) {
                    let refusal = model::GrantReply::Refused { reason, unrecorded: true };
                    let _ = reply.send(refusal);
                    return;
                }
                work.reply = Some(reply);
                self.grants.insert(grant, *work);
                self.tell(event::HallEvent::Arrived(item));
            }
        }
    }

    fn admit(&mut self, call: model::GrantRequest) -> Admission {
        if !self.may_act() {
            let text = "the scheduler renews its tenure";
            let code = model::WaitCode::SchedulerStarting;
            return Admission::Answer(grant_table::busy(code, text, RETRY_SOON));
        }
        if let Some(answer) = self.refuse_class(&call) {
            return Admission::Answer(answer);
        }
        let Some(class) = self.config.class(&call.class).cloned() else {
            return Admission::Answer(unknown_class(&call));
        };
        if let Some(admission) = self.repeated_ask(&call) {
            return admission;
        }
        if !class.repeatable
            && let Some(answer) = self.check_key(&call, &class)
        {
            return Admission::Answer(answer);
        }
        if let Some(answer) = self.check_limits(&call) {
            return Admission::Answer(grant_table::unrecorded(answer));
        }
        let left = call.deadline.since(self.wall());
        if left.is_zero() {
            let text = "the deadline passed before the request arrived";
            let code = model::WaitCode::DeadlineMissed;
            let answer = grant_table::busy(code, text, RETRY_SOON);
            return Admission::Answer(grant_table::unrecorded(answer));
        }
        let now = Instant::now();
        let work = grant_table::GrantWork {
            call,
            reply: None,
            class,
            arrived: now,
            stage: GrantStage::Waiting,
            until: now + left,
        };
        Admission::Arrived(Uuid::now_v7(), Box::new(work))
    }

    fn refuse_class(&self, call: &model::GrantRequest) -> Option<model::GrantReply> {
        let Some(class) = self.config.class(&call.class) else {
            return Some(unknown_class(call));
        };
        if self.config.account(&call.account).is_none() {
            let text = format!("expected a known client account, found {}", call.account);
            return Some(grant_table::refused(model::WaitCode::UnknownAccount, text));
        }
        if class.kind != model::ClassKind::Request {
            let text = format!("expected a class for requests, found {}", call.class);
            return Some(grant_table::refused(model::WaitCode::NotPermitted, text));
        }
        None
    }

    /// An entry that lost the answer asks again under the same request.
    fn repeated_ask(&mut self, call: &model::GrantRequest) -> Option<Admission> {
        let grant = self.grants.grant_of(&call.request)?;
        let work = self.grants.get(&grant)?;
        let same = work.call.attempt == call.attempt && work.call.entry == call.entry;
        match &work.stage {
            GrantStage::Granted { grant: told, .. } if same => {
                let told = told.clone();
                let until = Instant::now() + self.options.call_deadline() + told.term.0;
                self.grants.set_until(&grant, until);
                Some(Admission::Answer(model::GrantReply::Granted { grant: told }))
            }
            GrantStage::Granted { .. } if work.class.repeatable => {
                // A later try means that the entry is done with this one.
                self.end_grant(grant, model::RequestOutcome::Unknown, false);
                None
            }
            GrantStage::Granted { .. } => Some(Admission::Answer(in_progress(call.request))),
            _ => Some(Admission::Join(grant)),
        }
    }

    /// Whether a request that must run at most once may be sent, or what it gets instead.
    fn check_key(
        &self,
        call: &model::GrantRequest,
        class: &model::JobClass,
    ) -> Option<model::GrantReply> {
        let Some((key, made_at)) = call.idempotency.and_then(|it| Some((it, home::key_time(&it)?)))
        else {
            let text = "expected an idempotency key that is a UUIDv7";
            return Some(grant_table::refused(model::WaitCode::KeyRequired, text));
        };
        let window = self.config.document.bounds.idempotency_window.0;
        let now = self.wall();
        // Records of older keys are dropped: such a key may have been sent before, and nobody
        // would know. "Not run" is true of this request: it is not sent.
        if made_at + window < now {
            let text = format!("expected a key younger than {window:?}");
            return Some(grant_table::refused(model::WaitCode::KeyTooOld, text));
        }
        if now + intent_book::CLOCK_SLACK < made_at {
            let text = "expected a key that was made before now";
            return Some(grant_table::refused(model::WaitCode::KeyRequired, text));
        }
        if !self.is_home(class, &key) {
            let text = "another hall keeps the record of this key";
            return Some(grant_table::busy(model::WaitCode::Queued, text, RETRY_SOON));
        }
        if !self.intents.sealed {
            let text = "the record of keys is being read";
            return Some(grant_table::busy(model::WaitCode::StoreUnavailable, text, RETRY_STORE));
        }
        if let intent_book::KeyStanding::Recorded { request, outcome } =
            self.intents.book.standing(&call.account, key)
        {
            return Some(model::GrantReply::Recorded { outcome, request });
        }
        // Another request under this key waits for its slot: of the two only one may be sent.
        self.grants.under_key(&call.account, key).map(|(_, it)| in_progress(it.call.request))
    }

    fn is_home(&self, class: &model::JobClass, key: &ids::IdempotencyKey) -> bool {
        let upstreams = &self.config.document.upstreams;
        let upstream = upstreams.iter().find(|it| it.name == class.upstream);
        let home = upstream.and_then(|it| home::home_hall(it, key));
        home == Some(self.hall.as_str())
    }

    fn check_limits(&self, call: &model::GrantRequest) -> Option<model::GrantReply> {
        let limits = &self.config.account(&call.account)?.limits;
        let n_waiting = self.grants.n_waiting(&call.account);
        if (limits.queued_requests as usize) <= n_waiting {
            let text = format!("{n_waiting} requests of the account wait already");
            return Some(grant_table::busy(model::WaitCode::AccountLimit, text, RETRY_SOON));
        }
        None
    }

    fn work_item(&self, grant: ids::GrantId, work: &grant_table::GrantWork) -> work::WorkItem {
        let mut exclude = work.call.exclude.clone();
        exclude.extend(self.workers_without(&work.class.upstream));
        work::WorkItem {
            work: grant,
            account: work.call.account.clone(),
            class: work.class.name.clone(),
            tasks: 1,
            demand: work::TaskDemand {
                accelerators: work.class.accelerators,
                cores: work.class.cores,
                memory_mb: work.class.memory_mb,
                slots: 1,
            },
            adjacency: model::Adjacency::Worker,
            guarantee: None,
            declared_run: None,
            deadline: Some(work.call.deadline),
            submitted_at: self.wall() - work.arrived.elapsed(),
            attempt: work.call.attempt,
            saved_run: Duration::ZERO,
            exclude,
        }
    }

    /// Live workers on which an upstream leaves, is drained or does not run.
    pub(crate) fn workers_without(&self, upstream: &str) -> Vec<ids::WorkerId> {
        let nodes = self.nodes.iter().filter(|(_, it)| it.entry.is_some() && !it.draining);
        let without = nodes.filter(|(name, _)| !self.has_upstream(name, upstream));
        without.map(|(name, _)| name.clone()).collect()
    }

    pub(crate) fn has_upstream(&self, worker: &str, upstream: &str) -> bool {
        let node = self.nodes.get(worker);
        node.is_some_and(|it| it.upstream(upstream).is_some())
            && !hall_layout::is_upstream_drained(&self.config, upstream, worker)
    }

    /// Carries out the policy's decision to start a request.
    pub(crate) fn place_request(&mut self, grant: ids::GrantId, slot: &work::TaskSlot) {
        let Some(work) = self.grants.get(&grant) else { return };
        let upstream = work.class.upstream.clone();
        if !self.has_upstream(&slot.worker, &upstream) {
            self.place_elsewhere(grant);
            return;
        }
        match self.idle_lease(grant, slot) {
            Some(lease) => {
                self.grants.idle.remove(&lease);
                self.on_slot_held(grant, lease);
            }
            None => self.reserve_slot(grant, slot),
        }
    }

    /// The upstream left the worker since the request arrived: let the policy place it again.
    fn place_elsewhere(&mut self, grant: ids::GrantId) {
        self.tell(event::HallEvent::Cancelled(grant));
        self.withdraw_from_policy(grant, event::StartFault::Withdrawn, None);
        let Some(work) = self.grants.remove(&grant) else { return };
        let again = Uuid::now_v7();
        let item = self.work_item(again, &work);
        self.grants.insert(again, grant_table::GrantWork { stage: GrantStage::Waiting, ..work });
        self.tell(event::HallEvent::Arrived(item));
    }

    /// An idle serving lease of just this place that lasts long enough for the first byte.
    fn idle_lease(&self, grant: ids::GrantId, slot: &work::TaskSlot) -> Option<ids::LeaseId> {
        let demand = self.request_demand(grant)?;
        let needed_until = Instant::now() + self.options.timing.grant_start_by.0;
        let leases = self.leases.on_worker(&slot.worker);
        let fitting = leases.filter(|(name, it)| {
            self.grants.idle.contains_key(*name)
                && it.state == lease_table::LeaseState::Held
                && it.accelerators == slot.accelerators
                && demand.cores <= it.demand.cores
                && demand.memory_mb <= it.demand.memory_mb
                && needed_until < it.firm_until
        });
        fitting.map(|(name, _)| name.clone()).next()
    }

    fn request_demand(&self, grant: ids::GrantId) -> Option<work::TaskDemand> {
        let class = &self.grants.get(&grant)?.class;
        Some(work::TaskDemand {
            accelerators: class.accelerators,
            cores: class.cores,
            memory_mb: class.memory_mb,
            slots: 1,
        })
    }

    fn reserve_slot(&mut self, grant: ids::GrantId, slot: &work::TaskSlot) {
        let Some(demand) = self.request_demand(grant) else { return };
        let node = self.nodes.get(&slot.worker);
        let Some(address) = node.and_then(|it| it.address().cloned()) else {
            let worker = Some(slot.worker.clone());
            self.withdraw_from_policy(grant, event::StartFault::Unreachable, worker);
            self.reset_waiting(grant);
            return;
        };
        let evict = self.make_room(slot, &demand);
        let purpose = lease::LeasePurpose::Serve { epoch: self.tenure.epoch(), id: Uuid::new_v4() };
        let name = self.insert_reserving(purpose, slot, demand);
        let reserve = self.reservation(&name, slot, &demand);
        if let Some(work) = self.grants.get_mut(&grant) {
            work.stage = GrantStage::Reserving { lease: name };
        }
        let deadline = self.options.call_deadline();
        let plan = serve_task::ServePlan { grant, address, evict, reserve, deadline };
        let (workers, tenure, reports) =
            (self.ports.workers.clone(), self.tenure.clone(), self.reports());
        tokio::spawn(async move {
            let _ = reports.send(serve_task::run(workers, tenure, plan).await).await;
        });
    }

    pub(crate) fn on_serve_report(&mut self, report: serve_task::ServeReport) {
        let wanted = self.grants.get(&report.grant).is_some_and(
            |it| matches!(&it.stage, GrantStage::Reserving { lease } if *lease == report.lease),
        );
        let worker = self.leases.get(&report.lease).map(|it| it.worker.clone());
        match report.outcome {
            ReserveOutcome::Granted => {
                self.note_reserved(&report.lease, report.sent_at);
                if wanted {
                    self.on_slot_held(report.grant, report.lease);
                } else {
                    self.keep_idle(&report.lease);
                }
            }
            ReserveOutcome::Refused { ref holders } => {
                self.leases.remove(&report.lease);
                if let Some(worker) = &worker {
                    self.release_strays(worker, holders);
                }
                self.slot_failed(wanted, &report, event::StartFault::Refused, worker);
            }
            ReserveOutcome::Unsent => {
                self.leases.remove(&report.lease);
                self.slot_failed(wanted, &report, event::StartFault::Unreachable, worker);
            }
            ReserveOutcome::Unsure => {
                self.release(&report.lease);
                self.slot_failed(wanted, &report, event::StartFault::Unreachable, worker);
            }
        }
        self.settle_freeze();
    }

    fn slot_failed(
        &mut self,
        wanted: bool,
        report: &serve_task::ServeReport,
        fault: event::StartFault,
        worker: Option<ids::WorkerId>,
    ) {
        if wanted {
            self.withdraw_from_policy(report.grant, fault, worker);
            self.reset_waiting(report.grant);
        }
    }

    fn reset_waiting(&mut self, grant: ids::GrantId) {
        if let Some(work) = self.grants.get_mut(&grant) {
            work.stage = GrantStage::Waiting;
        }
    }

    /// Tells the policy that a start came to nothing; the request waits on.
    fn withdraw_from_policy(
        &mut self,
        grant: ids::GrantId,
        fault: event::StartFault,
        worker: Option<ids::WorkerId>,
    ) {
        self.tell(event::HallEvent::StartFailed { work: grant, worker, fault });
    }

    /// A serving lease is held for the request: grant, or log the intent first.
    fn on_slot_held(&mut self, grant: ids::GrantId, lease: ids::LeaseId) {
        let now = Instant::now();
        let worker = self.leases.get(&lease).map(|it| it.worker.clone()).unwrap_or_default();
        let Some(work) = self.grants.get_mut(&grant) else {
            self.keep_idle(&lease);
            return;
        };
        let Some(key) = work.call.idempotency.filter(|_| !work.class.repeatable) else {
            self.grant_slot(grant, lease);
            return;
        };
        work.stage = GrantStage::Logging { lease, since: now };
        let (account, request) = (work.call.account.clone(), work.call.request);
        self.intents.book.begin(&account, key, grant, request);
        self.log_intent(model::IntentEntry::Intent { key, account, request, grant, worker });
    }

    pub(crate) fn on_intent_durable(&mut self, grant: ids::GrantId, place: &'static str) {
        let Some(GrantStage::Logging { lease, since }) =
            self.grants.get(&grant).map(|it| it.stage.clone())
        else {
            // Given up meanwhile. Proof for "not run": it was never granted.
            self.log_outcome(grant, model::RequestOutcome::NotRun);
            return;
        };
        metric::intent(&self.hall, place, since.elapsed());
        self.grant_slot(grant, lease);
    }

    /// The intent is not known to be durable, so the request must not be sent.
    pub(crate) fn withdraw_intent(&mut self, grant: ids::GrantId) {
        self.log_outcome(grant, model::RequestOutcome::NotRun);
        let text = "the record of the key cannot be made durable";
        let answer = grant_table::busy(model::WaitCode::StoreUnavailable, text, RETRY_STORE);
        self.give_up(grant, answer);
    }

    /// Tells the entry that it may send.
    fn grant_slot(&mut self, grant: ids::GrantId, lease: ids::LeaseId) {
        let now = Instant::now();
        let start_by = self.options.timing.grant_start_by.0;
        let lasts = self.leases.get(&lease).is_some_and(|it| now + start_by < it.firm_until);
        // A holder that was paused here may have lost its tenure or the lease.
        if !lasts || !self.may_act() {
            self.log_outcome(grant, model::RequestOutcome::NotRun);
            let text = "the slot lapsed before it could be granted";
            let answer = grant_table::busy(model::WaitCode::Queued, text, RETRY_SOON);
            self.release(&lease);
            self.give_up(grant, answer);
            return;
        }
        let Some(slot) = self.slot_grant(grant, &lease) else {
            self.log_outcome(grant, model::RequestOutcome::NotRun);
            self.place_elsewhere(grant);
            self.keep_idle(&lease);
            return;
        };
        let until = now + self.options.call_deadline() + slot.term.0;
        self.grants.set_until(&grant, until);
        let Some(work) = self.grants.get_mut(&grant) else { return };
        work.stage = GrantStage::Granted { grant: slot.clone(), since: now };
        let told = work.answer(model::GrantReply::Granted { grant: slot.clone() });
        metric::wait(&work.call.account, &work.call.class, work.arrived.elapsed());
        tracing::debug!(hall = self.hall, request = %slot.request, grant = %grant,
            worker = slot.worker, "granted a slot");
        self.tell(event::HallEvent::Started(grant));
        if !told {
            // Proof for "not run": the answer found no reader in this process, so no entry
            // learnt of the grant.
            self.end_grant(grant, model::RequestOutcome::NotRun, false);
        }
    }

    fn slot_grant(&self, grant: ids::GrantId, lease: &ids::LeaseId) -> Option<model::SlotGrant> {
        let work = self.grants.get(&grant)?;
        let worker = &self.leases.get(lease)?.worker;
        if !self.has_upstream(worker, &work.class.upstream) {
            return None;
        }
        let node = self.nodes.get(worker)?;
        let left = work.call.deadline.since(self.wall());
        let start_by = self.options.timing.grant_start_by.0;
        let term = left.min(work.class.max_run.0) + start_by;
        Some(model::SlotGrant {
            grant,
            request: work.call.request,
            hall: self.hall.clone(),
            epoch: self.tenure.epoch(),
            worker: worker.clone(),
            address: node.upstream(&work.class.upstream)?.clone(),
            upstream: work.class.upstream.clone(),
            lease: lease.clone(),
            start_by: time::TimeSpan(start_by),
            term: time::TimeSpan(term),
            connections: self.connection_share(&node.kind),
        })
    }

    /// Connections that one entry may hold to a worker: equal shares, so that all instances
    /// together stay within the worker's limit without talking about it.
    fn connection_share(&self, kind: &model::WorkerKind) -> u32 {
        let n_instances = u32::try_from(self.members.instances.len()).unwrap_or(u32::MAX);
        (kind.connections / n_instances.max(1)).max(1)
    }

    pub(crate) fn on_grant_returns(&mut self, pending: request::PendingCall<model::GrantReturns>) {
        for returned in &pending.call.returns {
            self.on_grant_return(returned);
        }
        let _ = pending.reply.send(model::ReturnReply::Noted);
    }

    fn on_grant_return(&mut self, returned: &model::GrantReturn) {
        if self.grants.get(&returned.grant).is_some() {
            self.end_grant(returned.grant, returned.outcome, returned.worker_fault);
            return;
        }
        // A grant of an earlier tenure, or one returned twice.
        self.log_outcome(returned.grant, returned.outcome);
        let adopted = self.grants.adopted.iter();
        let mut adopted = adopted.filter(|(_, it)| it.grant == Some(returned.grant));
        if let Some(lease) = adopted.next().map(|(lease, _)| lease.clone()) {
            self.end_adopted(&lease);
        }
    }

    pub(crate) fn on_grant_report(&mut self, pending: request::PendingCall<model::GrantReport>) {
        let report = pending.call;
        for grant in &report.grants {
            if let Some(slot) = self.grants.adopted.get_mut(&grant.lease) {
                slot.grant = Some(grant.grant);
            }
        }
        self.grants.unreported.remove(&report.entry);
        self.settle_adopted();
        let _ = pending.reply.send(model::ReturnReply::Noted);
    }

    /// Once every entry has said which grants of earlier tenures it uses, the other serving
    /// leases of those are free.
    pub(crate) fn settle_adopted(&mut self) {
        if !self.grants.unreported.is_empty() {
            return;
        }
        let unused = self.grants.adopted.iter().filter(|(_, it)| it.grant.is_none());
        let unused = unused.map(|(lease, _)| lease.clone()).collect::<Vec<_>>();
        for lease in unused {
            self.end_adopted(&lease);
        }
    }

    /// Nobody uses a serving lease of an earlier tenure any more. It is released, not used on:
    /// its holder may still run, cut off from the table, and grant from it.
    fn end_adopted(&mut self, lease: &ids::LeaseId) {
        let Some(slot) = self.grants.adopted.remove(lease) else { return };
        self.release(lease);
        let exit = event::WorkExit::Stopped;
        self.tell(event::HallEvent::Ended { work: slot.work, exit });
    }

    /// The request is over: its slot is free.
    pub(crate) fn end_grant(
        &mut self,
        grant: ids::GrantId,
        outcome: model::RequestOutcome,
        worker_fault: bool,
    ) {
        let Some(work) = self.grants.remove(&grant) else { return };
        self.log_outcome(grant, outcome);
        metric::outcome(&work.call.account, &work.call.class, outcome);
        metric::completion(&work.call.account, &work.call.class, work.arrived.elapsed());
        let GrantStage::Granted { grant: slot, since } = &work.stage else { return };
        metric::run(&work.call.account, &work.call.class, since.elapsed());
        self.keep_idle(&slot.lease);
        let exit = match outcome {
            _ if worker_fault => event::WorkExit::Failed { worker: slot.worker.clone() },
            // The request's own failure says nothing against the worker.
            model::RequestOutcome::Done | model::RequestOutcome::Failed => {
                event::WorkExit::Succeeded
            }
            model::RequestOutcome::NotRun | model::RequestOutcome::Unknown => {
                event::WorkExit::Stopped
            }
        };
        // Whether to try again is the entry's decision, under a grant of its own.
        self.tell(event::HallEvent::Ended { work: grant, exit });
    }

    /// A request that has no grant gets its last answer.
    pub(crate) fn give_up(&mut self, grant: ids::GrantId, answer: model::GrantReply) {
        let Some(mut work) = self.grants.remove(&grant) else { return };
        if let Some(lease) = work.lease().cloned() {
            self.keep_idle(&lease);
        }
        // A keyed request waits only after its key was looked up.
        work.answer(grant_table::unrecorded(answer));
        metric::outcome(&work.call.account, &work.call.class, model::RequestOutcome::NotRun);
        self.tell(event::HallEvent::Cancelled(grant));
        if !work.is_waiting() {
            let fault = event::StartFault::Withdrawn;
            self.withdraw_from_policy(grant, fault, None);
        }
    }

    /// The policy gave a request up.
    pub(crate) fn finish_request(&mut self, grant: ids::GrantId, reason: model::WaitReason) {
        let never = matches!(
            reason.code,
            model::WaitCode::NeverFits | model::WaitCode::JobFaulty | model::WaitCode::NotPermitted
        );
        let answer = match never {
            true => model::GrantReply::Refused { reason, unrecorded: true },
            false => model::GrantReply::Busy { reason, retry_after: RETRY_SOON, unrecorded: true },
        };
        // Proof for "not run": a request without a grant was sent by nobody.
        if self.grants.get(&grant).is_some_and(|it| it.is_waiting()) {
            self.give_up(grant, answer);
        }
    }

    /// Gives up requests and grants whose time is over.
    pub(crate) fn expire_grants(&mut self, now: Instant) {
        for grant in self.grants.due(now) {
            let granted = self.grants.get(&grant).map(|it| it.stage.clone());
            match granted {
                Some(GrantStage::Granted { .. }) => {
                    // The entry died or its return was lost: nobody knows what was sent.
                    tracing::warn!(hall = self.hall, grant = %grant, "a grant ran out");
                    self.end_grant(grant, model::RequestOutcome::Unknown, false);
                }
                _ => {
                    let wall = self.wall();
                    let reason = self.policy.reason(&grant, wall);
                    let text = reason.map_or_else(String::new, |it| format!(": {}", it.text));
                    let text = format!("no slot before the deadline{text}");
                    let code = model::WaitCode::DeadlineMissed;
                    self.give_up(grant, grant_table::busy(code, text, RETRY_SOON));
                }
            }
        }
        let adopted = self.grants.adopted.iter().filter(|(_, it)| it.until <= now);
        for lease in adopted.map(|(lease, _)| lease.clone()).collect::<Vec<_>>() {
            self.end_adopted(&lease);
        }
        let idle = self.grants.idle.iter().filter(|(_, it)| **it <= now);
        for lease in idle.map(|(lease, _)| lease.clone()).collect::<Vec<_>>() {
            self.release(&lease);
        }
    }

    /// Keeps a serving lease for the next request of its place.
    fn keep_idle(&mut self, lease: &ids::LeaseId) {
        let held = self.leases.get(lease);
        if held.is_some_and(|it| it.state == lease_table::LeaseState::Held) {
            self.grants.idle.insert(lease.clone(), Instant::now() + LINGER);
        }
    }

    /// Whether a decision is about a request.
    pub(crate) fn is_request(&self, work: &work::WorkId) -> bool {
        self.grants.get(work).is_some() || self.grants.adopted.values().any(|it| it.work == *work)
    }

    /// A class whose requests look like a serving lease, for the policy's books: who is charged
    /// for the seconds until it is settled does not matter.
    pub(crate) fn class_like(
        config: &active::ActiveConfig,
        n_accelerators: usize,
    ) -> Option<&model::JobClass> {
        let classes = config.document.classes.iter();
        let mut requests = classes.filter(|it| it.kind == model::ClassKind::Request);
        requests.find(|it| it.accelerators as usize == n_accelerators)
    }

    /// Decisions about requests.
    pub(crate) fn decide_request(&mut self, decision: decision::Decision) {
        match decision {
            decision::Decision::Start { work, placement, .. } => match placement.first() {
                Some(slot) if placement.len() == 1 => self.place_request(work, slot),
                _ => self.withdraw_from_policy(work, event::StartFault::Withdrawn, None),
            },
            decision::Decision::Finish { work, reason, .. } => self.finish_request(work, reason),
            // A request is never stopped in the middle: its bytes are between entry and
            // upstream, and its deadline bounds it.
            _ => {}
        }
    }
}

enum Admission {
    Answer(model::GrantReply),
    Join(ids::GrantId),
    Arrived(ids::GrantId, Box<grant_table::GrantWork>),
}

fn unknown_class(call: &model::GrantRequest) -> model::GrantReply {
    let text = format!("expected a known job class, found {}", call.class);
    grant_table::refused(model::WaitCode::UnknownClass, text)
}

/// A key in progress is never sent a second time, and "not run" would be a lie.
fn in_progress(request: ids::RequestId) -> model::GrantReply {
    model::GrantReply::Recorded { outcome: model::RequestOutcome::Unknown, request }
}

/// For what may change at any moment.
const RETRY_SOON: time::TimeSpan = time::TimeSpan::from_secs(1);
/// For what waits for the store.
pub(crate) const RETRY_STORE: time::TimeSpan = time::TimeSpan::from_secs(5);
/// A serving lease is kept this long without a request.
const LINGER: Duration = Duration::from_secs(5);
