//! How requests and their slots end.

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
        // A grant of an earlier tenure, or one returned twice.
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

    /// Once every entry has said which grants of earlier tenures it uses, the other serving
    /// leases of those are free.
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

    /// Nobody uses a serving lease of an earlier tenure any more. It is released, not used on:
    /// its holder may still run, cut off from the table, and grant from it.
    fn end_adopted_lease(&mut self, lease: &ids::LeaseId) {
        let Some(slot) = self.grants.adopted_slots.remove(lease) else { return };
        self.release(lease);
        let exit = event::WorkExit::Stopped;
        self.apply_event(event::HallEvent::Ended { work: slot.work, exit });
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
        metric::completion_time(&work.call.account, &work.call.class, work.arrived_at.elapsed());
        let GrantStage::Granted { grant: slot, since } = &work.stage else { return };
        metric::run_time(&work.call.account, &work.call.class, since.elapsed());
        self.keep_idle_lease(&slot.lease);
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
        self.apply_event(event::HallEvent::Ended { work: grant, exit });
    }

    /// A request that has no grant gets its last answer.
    pub(crate) fn abandon_request(&mut self, grant: ids::GrantId, answer: model::GrantReply) {
        let Some(mut work) = self.grants.remove(&grant) else { return };
        if let Some(lease) = work.lease().cloned() {
            self.keep_idle_lease(&lease);
        }
        // A keyed request waits only after its key was looked up.
        work.answer(grant_table::mark_unrecorded(answer));
        metric::outcome(&work.call.account, &work.call.class, model::RequestOutcome::NotRun);
        self.apply_event(event::HallEvent::Cancelled(grant));
        if !work.is_waiting() {
            let fault = event::StartFault::Withdrawn;
            self.report_start_failure(grant, fault, None);
        }
    }

    /// The policy gave a request up.
    fn finish_request(&mut self, grant: ids::GrantId, reason: model::WaitReason) {
        let never = matches!(
            reason.code,
            model::WaitCode::NeverFits | model::WaitCode::JobFaulty | model::WaitCode::NotPermitted
        );
        let answer = match never {
            true => model::GrantReply::Refused { reason, unrecorded: true },
            false => model::GrantReply::Busy { reason, retry_after: RETRY_AFTER, unrecorded: true },
        };
        // Proof for "not run": a request without a grant was sent by nobody.
        if self.grants.get(&grant).is_some_and(|it| it.is_waiting()) {
            self.abandon_request(grant, answer);
        }
    }

    /// Gives up requests and grants whose time is over.
    pub(crate) fn expire_grants(&mut self, now: Instant) {
        for grant in self.grants.expired(now) {
            let granted = self.grants.get(&grant).map(|it| it.stage.clone());
            match granted {
                Some(GrantStage::Granted { .. }) => {
                    // The entry died or its return was lost: nobody knows what was sent.
                    tracing::warn!(hall = self.hall, grant = %grant, "a grant ran out");
                    self.end_grant(grant, model::RequestOutcome::Unknown, false);
                }
                _ => {
                    let wall = self.wall_time();
                    let reason = self.policy.reason(&grant, wall);
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

    /// Keeps a serving lease for the next request of its place.
    pub(crate) fn keep_idle_lease(&mut self, lease: &ids::LeaseId) {
        let held = self.leases.get(lease);
        if held.is_some_and(|it| it.state == lease_table::LeaseState::Held) {
            self.grants.idle_leases.insert(lease.clone(), Instant::now() + LINGER);
        }
    }

    /// Whether a decision is about a request.
    pub(crate) fn is_request(&self, work: &work::WorkId) -> bool {
        self.grants.get(work).is_some()
            || self.grants.adopted_slots.values().any(|it| it.work == *work)
    }

    /// A class whose requests look like a serving lease, for the policy's books: who is charged
    /// for the seconds until it is settled does not matter.
    pub(crate) fn class_for_serving_lease(
        config: &active::ActiveConfig,
        n_accelerators: usize,
    ) -> Option<&model::JobClass> {
        let classes = config.document.classes.iter();
        let mut requests = classes.filter(|it| it.kind == model::ClassKind::Request);
        requests.find(|it| it.accelerators as usize == n_accelerators)
    }

    /// Decisions about requests.
    pub(crate) fn apply_request_decision(&mut self, decision: decision::Decision) {
        match decision {
            decision::Decision::Start { work, placement, .. } => match placement.first() {
                Some(slot) if placement.len() == 1 => self.place_request(work, slot),
                _ => self.report_start_failure(work, event::StartFault::Withdrawn, None),
            },
            decision::Decision::Finish { work, reason, .. } => self.finish_request(work, reason),
            // A request is never stopped in the middle: its bytes are between entry and
            // upstream, and its deadline bounds it.
            _ => {}
        }
    }
}

/// A serving lease is kept this long without a request.
const LINGER: Duration = Duration::from_secs(5);
