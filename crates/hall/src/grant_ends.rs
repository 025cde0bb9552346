//! Ends requests and grants, and releases the serving leases that they used.

use std::time::Duration;

use almondpass_config::active;
use almondpass_policy::{decision, event, hall_policy::HallPolicy, work};
use almondpass_schema::{ids, model};
use tokio::time::Instant;

use crate::actor::HallActor;
use crate::backend;
use crate::grant_table::{self, GrantStage};
use crate::grants::RETRY_AFTER;
use crate::lease_table;
use crate::metric;
use crate::request;

impl<B: backend::HallBackend> HallActor<B> {
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
        // The grant is of an earlier tenure, or was returned before.
        self.log_outcome(returned.grant, returned.outcome);
        let adopted = self.grants.adopted_slots.iter();
        let mut adopted = adopted.filter(|(_, it)| it.grant == Some(returned.grant));
        if let Some(lease) = adopted.next().map(|(lease, _)| lease.clone()) {
            self.end_adopted_lease(&lease);
        }
    }

    pub(crate) fn on_grant_report(&mut self, pending: request::PendingCall<model::GrantReport>) {
        let report = pending.call;
        for grant in &report.grants {
            if let Some(slot) = self.grants.adopted_slots.get_mut(&grant.lease) {
                slot.grant = Some(grant.grant);
            }
        }
        self.grants.unreported_entries.remove(&report.entry);
        self.release_unused_adopted_slots();
        let _ = pending.reply.send(model::ReturnReply::Noted);
    }

    /// Releases the adopted serving leases that no grant uses, once every entry has reported which
    /// grants of earlier tenures it uses.
    pub(crate) fn release_unused_adopted_slots(&mut self) {
        if !self.grants.unreported_entries.is_empty() {
            return;
        }
        let unused = self.grants.adopted_slots.iter().filter(|(_, it)| it.grant.is_none());
        let unused = unused.map(|(lease, _)| lease.clone()).collect::<Vec<_>>();
        for lease in unused {
            self.end_adopted_lease(&lease);
        }
    }

    /// Releases a serving lease of an earlier tenure that no entry uses any more. The lease is not
    /// reused: the earlier holder may still run, cut off from the table, and grant slots under it.
    fn end_adopted_lease(&mut self, lease: &ids::LeaseId) {
        let Some(slot) = self.grants.adopted_slots.remove(lease) else { return };
        self.release(lease);
        let exit = event::WorkExit::Stopped;
        self.apply_event(event::HallEvent::Ended { work: slot.work, exit });
    }

    /// Ends a request with its outcome, and keeps its serving lease idle for other requests.
    pub(crate) fn end_grant(
        &mut self,
        grant: ids::GrantId,
        outcome: model::RequestOutcome,
        worker_fault: bool,
    ) {
        let Some(entry) = self.grants.remove(&grant) else { return };
        self.log_outcome(grant, outcome);
        metric::outcome(&entry.call.account, &entry.call.class, outcome);
        metric::completion_time(&entry.call.account, &entry.call.class, entry.arrived_at.elapsed());
        let GrantStage::Granted { grant: slot, since } = &entry.stage else { return };
        metric::run_time(&entry.call.account, &entry.call.class, since.elapsed());
        self.keep_idle_lease(&slot.lease);
        let exit = match outcome {
            _ if worker_fault => event::WorkExit::Failed { worker: slot.worker.clone() },
            // A request that failed by itself does not count as a failure of the worker.
            model::RequestOutcome::Done | model::RequestOutcome::Failed => {
                event::WorkExit::Succeeded
            }
            model::RequestOutcome::NotRun | model::RequestOutcome::Unknown => {
                event::WorkExit::Stopped
            }
        };
        // The entry decides whether to retry the request, and does so under a new grant.
        self.apply_event(event::HallEvent::Ended { work: grant, exit });
    }

    /// Removes a request that has no grant, and sends `answer` as its final answer.
    pub(crate) fn abandon_request(&mut self, grant: ids::GrantId, answer: model::GrantReply) {
        let Some(mut entry) = self.grants.remove(&grant) else { return };
        if let Some(lease) = entry.lease().cloned() {
            self.keep_idle_lease(&lease);
        }
        // A request with an idempotency key waits only after its key was looked up, so the answer
        // may say that the key is unrecorded.
        entry.answer(grant_table::mark_unrecorded(answer));
        metric::outcome(&entry.call.account, &entry.call.class, model::RequestOutcome::NotRun);
        self.apply_event(event::HallEvent::Cancelled(grant));
        if !entry.is_waiting() {
            let fault = event::StartFault::Withdrawn;
            self.report_start_failure(grant, fault, None);
        }
    }

    /// Answers a request that the policy has finished without a grant.
    fn finish_request(&mut self, grant: ids::GrantId, reason: model::WaitReason) {
        let is_permanent = matches!(
            reason.code,
            model::WaitCode::NeverFits | model::WaitCode::JobFaulty | model::WaitCode::NotPermitted
        );
        let answer = match is_permanent {
            true => model::GrantReply::Refused { reason, unrecorded: true },
            false => model::GrantReply::Busy { reason, retry_after: RETRY_AFTER, unrecorded: true },
        };
        // Proof of "not run": no entry sends a request that has no grant.
        if self.grants.get(&grant).is_some_and(|it| it.is_waiting()) {
            self.abandon_request(grant, answer);
        }
    }

    /// Ends requests, grants and adopted slots that expired by `now`, and releases expired idle leases.
    pub(crate) fn expire_grants(&mut self, now: Instant) {
        for grant in self.grants.expired(now) {
            let granted = self.grants.get(&grant).map(|it| it.stage.clone());
            match granted {
                Some(GrantStage::Granted { .. }) => {
                    // The entry died or its return was lost, so the outcome is unknown.
                    tracing::warn!(hall = self.hall, grant = %grant,
                        "grant expired without a return; its outcome is unknown");
                    self.end_grant(grant, model::RequestOutcome::Unknown, false);
                }
                _ => {
                    let wall_time = self.wall_time();
                    let reason = self.policy.reason(&grant, wall_time);
                    let text = reason.map_or_else(String::new, |it| format!(": {}", it.text));
                    let text = format!("no slot before the deadline{text}");
                    let code = model::WaitCode::DeadlineMissed;
                    self.abandon_request(grant, grant_table::busy_reply(code, text, RETRY_AFTER));
                }
            }
        }
        let adopted = self.grants.adopted_slots.iter().filter(|(_, it)| it.expires_at <= now);
        for lease in adopted.map(|(lease, _)| lease.clone()).collect::<Vec<_>>() {
            self.end_adopted_lease(&lease);
        }
        let idle = self.grants.idle_leases.iter().filter(|(_, it)| **it <= now);
        for lease in idle.map(|(lease, _)| lease.clone()).collect::<Vec<_>>() {
            self.release(&lease);
        }
    }

    /// Keeps a serving lease for the next request that is placed on the same accelerators.
    pub(crate) fn keep_idle_lease(&mut self, lease: &ids::LeaseId) {
        let held = self.leases.get(lease);
        if held.is_some_and(|it| it.state == lease_table::LeaseState::Held) {
            self.grants.idle_leases.insert(lease.clone(), Instant::now() + IDLE_LEASE_RETENTION);
        }
    }

    /// Whether a work item is a request or stands for an adopted slot.
    pub(crate) fn is_request(&self, work: &work::WorkId) -> bool {
        self.grants.get(work).is_some()
            || self.grants.adopted_slots.values().any(|it| it.work == *work)
    }

    /// Class of requests with as many accelerators as an adopted serving lease. The policy accounts
    /// the lease to this class. Which class is charged does not matter for the few seconds until the
    /// slot is released.
    pub(crate) fn class_for_serving_lease(
        config: &active::ActiveConfig,
        n_accelerators: usize,
    ) -> Option<&model::JobClass> {
        let classes = config.document.classes.iter();
        let mut requests = classes.filter(|it| it.kind == model::ClassKind::Request);
        requests.find(|it| it.accelerators as usize == n_accelerators)
    }

    /// Carries out a decision of the policy about a request.
    pub(crate) fn apply_request_decision(&mut self, decision: decision::Decision) {
        match decision {
            decision::Decision::Start { work, placement, .. } => match placement.first() {
                Some(assignment) if placement.len() == 1 => self.place_request(work, assignment),
                _ => self.report_start_failure(work, event::StartFault::Withdrawn, None),
            },
            decision::Decision::Finish { work, reason, .. } => self.finish_request(work, reason),
            // A request in progress is never stopped: its bytes flow directly between the entry and
            // the upstream, and its deadline limits its run time.
            _ => {}
        }
    }
}

/// How long a serving lease is kept without a request.
const IDLE_LEASE_RETENTION: Duration = Duration::from_secs(5);
