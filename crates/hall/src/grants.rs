//! Grants slots to requests: reserves a serving lease, logs the intent if needed, and answers the entry.

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
    pub(crate) fn place_request(&mut self, grant: ids::GrantId, assignment: &work::TaskAssignment) {
        let Some(entry) = self.grants.get(&grant) else { return };
        let upstream = entry.class.upstream.clone();
        if !self.has_upstream(&assignment.worker, &upstream) {
            self.requeue_request(grant);
            return;
        }
        match self.idle_lease(grant, assignment) {
            Some(lease) => {
                self.grants.idle_leases.remove(&lease);
                self.on_lease_held(grant, lease);
            }
            None => self.reserve_slot(grant, assignment),
        }
    }

    /// Lets the policy place a request again, under a new grant, because its upstream has left the
    /// chosen worker since the request arrived.
    fn requeue_request(&mut self, grant: ids::GrantId) {
        self.apply_event(event::HallEvent::Cancelled(grant));
        self.report_start_failure(grant, event::StartFault::Withdrawn, None);
        let Some(entry) = self.grants.remove(&grant) else { return };
        let new_grant = Uuid::now_v7();
        let item = self.work_item(new_grant, &entry);
        self.grants
            .insert(new_grant, grant_table::GrantEntry { stage: GrantStage::Waiting, ..entry });
        self.apply_event(event::HallEvent::Arrived(item));
    }

    /// An idle serving lease on exactly these accelerators that stays valid until the first byte is due.
    fn idle_lease(
        &self,
        grant: ids::GrantId,
        assignment: &work::TaskAssignment,
    ) -> Option<ids::LeaseId> {
        let demand = self.request_demand(grant)?;
        let needed_until = Instant::now() + self.options.timing.grant_start_by.0;
        let leases = self.leases.on_worker(&assignment.worker);
        let matching = leases.filter(|(name, it)| {
            self.grants.idle_leases.contains_key(*name)
                && it.state == lease_table::LeaseState::Held
                && it.accelerators == assignment.accelerators
                && demand.cores <= it.demand.cores
                && demand.memory_mb <= it.demand.memory_mb
                && needed_until < it.valid_until
        });
        matching.map(|(name, _)| name.clone()).next()
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

    fn reserve_slot(&mut self, grant: ids::GrantId, assignment: &work::TaskAssignment) {
        let Some(demand) = self.request_demand(grant) else { return };
        let node = self.nodes.get(&assignment.worker);
        let Some(address) = node.and_then(|it| it.address().cloned()) else {
            let worker = Some(assignment.worker.clone());
            self.report_start_failure(grant, event::StartFault::Unreachable, worker);
            self.mark_waiting(grant);
            return;
        };
        let evict = self.evict_idle_leases(assignment, &demand);
        let purpose = lease::LeasePurpose::Serve { epoch: self.tenure.epoch(), id: Uuid::new_v4() };
        let name = self.insert_reserving_lease(purpose, assignment, demand);
        let reserve = self.reservation(&name, assignment, &demand);
        if let Some(entry) = self.grants.get_mut(&grant) {
            entry.stage = GrantStage::Reserving { lease: name };
        }
        let deadline = self.options.call_deadline();
        let plan = reserve_task::ReservePlan { grant, address, evict, reserve, deadline };
        let (workers, tenure, scheduler) =
            (self.ports.workers.clone(), self.tenure.clone(), self.own_address());
        tokio::spawn(async move {
            let _ = scheduler.send(reserve_task::run(workers, tenure, plan).await).await;
        });
    }

    pub(crate) fn on_reserve_report(&mut self, report: reserve_task::ReserveReport) {
        let still_wanted = self.grants.get(&report.grant).is_some_and(
            |it| matches!(&it.stage, GrantStage::Reserving { lease } if *lease == report.lease),
        );
        let worker = self.leases.get(&report.lease).map(|it| it.worker.clone());
        match report.outcome {
            ReserveOutcome::Granted => {
                self.extend_lease(&report.lease, report.sent_at);
                if still_wanted {
                    self.on_lease_held(report.grant, report.lease);
                } else {
                    self.keep_idle_lease(&report.lease);
                }
            }
            ReserveOutcome::Refused { ref holders } => {
                self.leases.remove(&report.lease);
                if let Some(worker) = &worker {
                    self.release_stray_leases(worker, holders);
                }
                self.return_to_waiting(still_wanted, &report, event::StartFault::Refused, worker);
            }
            ReserveOutcome::Unsent => {
                self.leases.remove(&report.lease);
                self.return_to_waiting(
                    still_wanted,
                    &report,
                    event::StartFault::Unreachable,
                    worker,
                );
            }
            ReserveOutcome::Ambiguous => {
                self.release(&report.lease);
                self.return_to_waiting(
                    still_wanted,
                    &report,
                    event::StartFault::Unreachable,
                    worker,
                );
            }
        }
        self.finish_freeze();
    }

    fn return_to_waiting(
        &mut self,
        still_wanted: bool,
        report: &reserve_task::ReserveReport,
        fault: event::StartFault,
        worker: Option<ids::WorkerId>,
    ) {
        if still_wanted {
            self.report_start_failure(report.grant, fault, worker);
            self.mark_waiting(report.grant);
        }
    }

    fn mark_waiting(&mut self, grant: ids::GrantId) {
        if let Some(entry) = self.grants.get_mut(&grant) {
            entry.stage = GrantStage::Waiting;
        }
    }

    /// Reports to the policy that the start of a request failed; the request keeps waiting.
    pub(crate) fn report_start_failure(
        &mut self,
        grant: ids::GrantId,
        fault: event::StartFault,
        worker: Option<ids::WorkerId>,
    ) {
        self.apply_event(event::HallEvent::StartFailed { work: grant, worker, fault });
    }

    /// Continues a request whose serving lease is held: grants the slot, or first logs the intent of a
    /// request that may run only once.
    fn on_lease_held(&mut self, grant: ids::GrantId, lease: ids::LeaseId) {
        let now = Instant::now();
        let worker = self.leases.get(&lease).map(|it| it.worker.clone()).unwrap_or_default();
        let Some(entry) = self.grants.get_mut(&grant) else {
            self.keep_idle_lease(&lease);
            return;
        };
        let Some(key) = entry.call.idempotency.filter(|_| !entry.class.repeatable) else {
            self.grant_slot(grant, lease);
            return;
        };
        entry.stage = GrantStage::Logging { lease, since: now };
        let (account, request) = (entry.call.account.clone(), entry.call.request);
        self.intents.index.record_intent(&account, key, grant, request);
        self.log_intent(model::IntentEntry::Intent { key, account, request, grant, worker });
    }

    pub(crate) fn on_intent_durable(&mut self, grant: ids::GrantId, place: &'static str) {
        let Some(GrantStage::Logging { lease, since }) =
            self.grants.get(&grant).map(|it| it.stage.clone())
        else {
            // The request has ended in the meantime. Proof of "not run": it was never granted.
            self.log_outcome(grant, model::RequestOutcome::NotRun);
            return;
        };
        metric::intent_write_time(&self.hall, place, since.elapsed());
        self.grant_slot(grant, lease);
    }

    /// Ends a request whose intent is not known to be durable, as it must not be sent.
    pub(crate) fn withdraw_intent(&mut self, grant: ids::GrantId) {
        self.log_outcome(grant, model::RequestOutcome::NotRun);
        let text = "the record of the key cannot be made durable";
        let answer =
            grant_table::busy_reply(model::WaitCode::StoreUnavailable, text, STORE_RETRY_AFTER);
        self.abandon_request(grant, answer);
    }

    /// Answers the entry that it may send the request on the slot.
    fn grant_slot(&mut self, grant: ids::GrantId, lease: ids::LeaseId) {
        let now = Instant::now();
        let start_by = self.options.timing.grant_start_by.0;
        let outlasts_start =
            self.leases.get(&lease).is_some_and(|it| now + start_by < it.valid_until);
        // If this process was paused since the reservation, it may have lost its tenure or the lease.
        if !outlasts_start || !self.may_act() {
            self.log_outcome(grant, model::RequestOutcome::NotRun);
            let text = "the slot lapsed before it could be granted";
            let answer = grant_table::busy_reply(model::WaitCode::Queued, text, RETRY_AFTER);
            self.release(&lease);
            self.abandon_request(grant, answer);
            return;
        }
        let Some(slot) = self.build_slot_grant(grant, &lease) else {
            self.log_outcome(grant, model::RequestOutcome::NotRun);
            self.requeue_request(grant);
            self.keep_idle_lease(&lease);
            return;
        };
        let expires_at = now + self.options.call_deadline() + slot.term.0;
        self.grants.set_expiry(&grant, expires_at);
        let Some(entry) = self.grants.get_mut(&grant) else { return };
        entry.stage = GrantStage::Granted { grant: slot.clone(), since: now };
        let delivered = entry.answer(model::GrantReply::Granted { grant: slot.clone() });
        metric::wait_time(&entry.call.account, &entry.call.class, entry.arrived_at.elapsed());
        tracing::debug!(hall = self.hall, request = %slot.request, grant = %grant,
            worker = slot.worker, "granted a slot");
        self.apply_event(event::HallEvent::Started(grant));
        if !delivered {
            // Proof of "not run": the answer found no receiver in this process, so no entry knows
            // of the grant.
            self.end_grant(grant, model::RequestOutcome::NotRun, false);
        }
    }

    fn build_slot_grant(
        &self,
        grant: ids::GrantId,
        lease: &ids::LeaseId,
    ) -> Option<model::SlotGrant> {
        let entry = self.grants.get(&grant)?;
        let worker = &self.leases.get(lease)?.worker;
        if !self.has_upstream(worker, &entry.class.upstream) {
            return None;
        }
        let node = self.nodes.get(worker)?;
        let remaining = entry.call.deadline.since(self.wall_time());
        let start_by = self.options.timing.grant_start_by.0;
        let term = remaining.min(entry.class.max_run.0) + start_by;
        Some(model::SlotGrant {
            grant,
            request: entry.call.request,
            hall: self.hall.clone(),
            epoch: self.tenure.epoch(),
            worker: worker.clone(),
            address: node.upstream_address(&entry.class.upstream)?.clone(),
            upstream: entry.class.upstream.clone(),
            lease: lease.clone(),
            start_by: time::TimeSpan(start_by),
            term: time::TimeSpan(term),
            connections: self.connection_share(&node.kind),
        })
    }

    /// Number of connections that one entry may hold to a worker: an equal share for each instance, so
    /// that all instances together stay within the worker's limit without any coordination.
    fn connection_share(&self, kind: &model::WorkerKind) -> u32 {
        let n_instances = u32::try_from(self.members.instances.len()).unwrap_or(u32::MAX);
        (kind.connections / n_instances.max(1)).max(1)
    }
}

/// Suggested retry time when a slot may become free at any moment.
pub(crate) const RETRY_AFTER: time::TimeSpan = time::TimeSpan::from_secs(1);
/// Suggested retry time when the store is unavailable.
pub(crate) const STORE_RETRY_AFTER: time::TimeSpan = time::TimeSpan::from_secs(5);
