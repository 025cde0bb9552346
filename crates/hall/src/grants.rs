//! How the scheduler grants slots to requests.

use almondpass_policy::{event, work};
use almondpass_schema::{ids, model, time};
use tokio::time::Instant;
use uuid::Uuid;

use crate::actor::HallActor;
use crate::backend;
use crate::grant_table::{self, GrantStage};
use crate::lease;
use crate::lease_table;
use crate::metric;
use crate::reserve_task::{self, ReserveOutcome};

impl<B: backend::HallBackend> HallActor<B> {
    /// Carries out the policy's decision to start a request.
    pub(crate) fn place_request(&mut self, grant: ids::GrantId, slot: &work::TaskAssignment) {
        let Some(work) = self.grants.get(&grant) else { return };
        let upstream = work.class.upstream.clone();
        if !self.has_upstream(&slot.worker, &upstream) {
            self.place_elsewhere(grant);
            return;
        }
        match self.idle_lease(grant, slot) {
            Some(lease) => {
                self.grants.idle_leases.remove(&lease);
                self.on_slot_held(grant, lease);
            }
            None => self.reserve_slot(grant, slot),
        }
    }

    /// The upstream left the worker since the request arrived: let the policy place it again.
    fn place_elsewhere(&mut self, grant: ids::GrantId) {
        self.apply_event(event::HallEvent::Cancelled(grant));
        self.report_start_failure(grant, event::StartFault::Withdrawn, None);
        let Some(work) = self.grants.remove(&grant) else { return };
        let again = Uuid::now_v7();
        let item = self.work_item(again, &work);
        self.grants.insert(again, grant_table::GrantEntry { stage: GrantStage::Waiting, ..work });
        self.apply_event(event::HallEvent::Arrived(item));
    }

    /// An idle serving lease of just this place that lasts long enough for the first byte.
    fn idle_lease(&self, grant: ids::GrantId, slot: &work::TaskAssignment) -> Option<ids::LeaseId> {
        let demand = self.request_demand(grant)?;
        let needed_until = Instant::now() + self.options.timing.grant_start_by.0;
        let leases = self.leases.on_worker(&slot.worker);
        let fitting = leases.filter(|(name, it)| {
            self.grants.idle_leases.contains_key(*name)
                && it.state == lease_table::LeaseState::Held
                && it.accelerators == slot.accelerators
                && demand.cores <= it.demand.cores
                && demand.memory_mb <= it.demand.memory_mb
                && needed_until < it.valid_until
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

    fn reserve_slot(&mut self, grant: ids::GrantId, slot: &work::TaskAssignment) {
        let Some(demand) = self.request_demand(grant) else { return };
        let node = self.nodes.get(&slot.worker);
        let Some(address) = node.and_then(|it| it.address().cloned()) else {
            let worker = Some(slot.worker.clone());
            self.report_start_failure(grant, event::StartFault::Unreachable, worker);
            self.reset_waiting(grant);
            return;
        };
        let evict = self.evict_idle_leases(slot, &demand);
        let purpose = lease::LeasePurpose::Serve { epoch: self.tenure.epoch(), id: Uuid::new_v4() };
        let name = self.insert_reserving_lease(purpose, slot, demand);
        let reserve = self.reservation(&name, slot, &demand);
        if let Some(work) = self.grants.get_mut(&grant) {
            work.stage = GrantStage::Reserving { lease: name };
        }
        let deadline = self.options.call_deadline();
        let plan = reserve_task::ReservePlan { grant, address, evict, reserve, deadline };
        let (workers, tenure, reports) =
            (self.ports.workers.clone(), self.tenure.clone(), self.own_address());
        tokio::spawn(async move {
            let _ = reports.send(reserve_task::run(workers, tenure, plan).await).await;
        });
    }

    pub(crate) fn on_reserve_report(&mut self, report: reserve_task::ReserveReport) {
        let wanted = self.grants.get(&report.grant).is_some_and(
            |it| matches!(&it.stage, GrantStage::Reserving { lease } if *lease == report.lease),
        );
        let worker = self.leases.get(&report.lease).map(|it| it.worker.clone());
        match report.outcome {
            ReserveOutcome::Granted => {
                self.extend_lease(&report.lease, report.sent_at);
                if wanted {
                    self.on_slot_held(report.grant, report.lease);
                } else {
                    self.keep_idle_lease(&report.lease);
                }
            }
            ReserveOutcome::Refused { ref holders } => {
                self.leases.remove(&report.lease);
                if let Some(worker) = &worker {
                    self.release_stray_leases(worker, holders);
                }
                self.slot_failed(wanted, &report, event::StartFault::Refused, worker);
            }
            ReserveOutcome::Unsent => {
                self.leases.remove(&report.lease);
                self.slot_failed(wanted, &report, event::StartFault::Unreachable, worker);
            }
            ReserveOutcome::Ambiguous => {
                self.release(&report.lease);
                self.slot_failed(wanted, &report, event::StartFault::Unreachable, worker);
            }
        }
        self.finish_freeze();
    }

    fn slot_failed(
        &mut self,
        wanted: bool,
        report: &reserve_task::ReserveReport,
        fault: event::StartFault,
        worker: Option<ids::WorkerId>,
    ) {
        if wanted {
            self.report_start_failure(report.grant, fault, worker);
            self.reset_waiting(report.grant);
        }
    }

    fn reset_waiting(&mut self, grant: ids::GrantId) {
        if let Some(work) = self.grants.get_mut(&grant) {
            work.stage = GrantStage::Waiting;
        }
    }

    /// Tells the policy that a start came to nothing; the request waits on.
    pub(crate) fn report_start_failure(
        &mut self,
        grant: ids::GrantId,
        fault: event::StartFault,
        worker: Option<ids::WorkerId>,
    ) {
        self.apply_event(event::HallEvent::StartFailed { work: grant, worker, fault });
    }

    /// A serving lease is held for the request: grant, or log the intent first.
    fn on_slot_held(&mut self, grant: ids::GrantId, lease: ids::LeaseId) {
        let now = Instant::now();
        let worker = self.leases.get(&lease).map(|it| it.worker.clone()).unwrap_or_default();
        let Some(work) = self.grants.get_mut(&grant) else {
            self.keep_idle_lease(&lease);
            return;
        };
        let Some(key) = work.call.idempotency.filter(|_| !work.class.repeatable) else {
            self.grant_slot(grant, lease);
            return;
        };
        work.stage = GrantStage::Logging { lease, since: now };
        let (account, request) = (work.call.account.clone(), work.call.request);
        self.intents.index.record_intent(&account, key, grant, request);
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
        metric::intent_write_time(&self.hall, place, since.elapsed());
        self.grant_slot(grant, lease);
    }

    /// The intent is not known to be durable, so the request must not be sent.
    pub(crate) fn withdraw_intent(&mut self, grant: ids::GrantId) {
        self.log_outcome(grant, model::RequestOutcome::NotRun);
        let text = "the record of the key cannot be made durable";
        let answer =
            grant_table::busy_reply(model::WaitCode::StoreUnavailable, text, STORE_RETRY_AFTER);
        self.abandon_request(grant, answer);
    }

    /// Tells the entry that it may send.
    fn grant_slot(&mut self, grant: ids::GrantId, lease: ids::LeaseId) {
        let now = Instant::now();
        let start_by = self.options.timing.grant_start_by.0;
        let lasts = self.leases.get(&lease).is_some_and(|it| now + start_by < it.valid_until);
        // A holder that was paused here may have lost its tenure or the lease.
        if !lasts || !self.may_act() {
            self.log_outcome(grant, model::RequestOutcome::NotRun);
            let text = "the slot lapsed before it could be granted";
            let answer = grant_table::busy_reply(model::WaitCode::Queued, text, RETRY_AFTER);
            self.release(&lease);
            self.abandon_request(grant, answer);
            return;
        }
        let Some(slot) = self.slot_grant(grant, &lease) else {
            self.log_outcome(grant, model::RequestOutcome::NotRun);
            self.place_elsewhere(grant);
            self.keep_idle_lease(&lease);
            return;
        };
        let expires_at = now + self.options.call_deadline() + slot.term.0;
        self.grants.set_expiry(&grant, expires_at);
        let Some(work) = self.grants.get_mut(&grant) else { return };
        work.stage = GrantStage::Granted { grant: slot.clone(), since: now };
        let told = work.answer(model::GrantReply::Granted { grant: slot.clone() });
        metric::wait_time(&work.call.account, &work.call.class, work.arrived_at.elapsed());
        tracing::debug!(hall = self.hall, request = %slot.request, grant = %grant,
            worker = slot.worker, "granted a slot");
        self.apply_event(event::HallEvent::Started(grant));
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
        let left = work.call.deadline.since(self.wall_time());
        let start_by = self.options.timing.grant_start_by.0;
        let term = left.min(work.class.max_run.0) + start_by;
        Some(model::SlotGrant {
            grant,
            request: work.call.request,
            hall: self.hall.clone(),
            epoch: self.tenure.epoch(),
            worker: worker.clone(),
            address: node.upstream_address(&work.class.upstream)?.clone(),
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
}

/// For what may change at any moment.
pub(crate) const RETRY_AFTER: time::TimeSpan = time::TimeSpan::from_secs(1);
/// For what waits for the store.
pub(crate) const STORE_RETRY_AFTER: time::TimeSpan = time::TimeSpan::from_secs(5);
