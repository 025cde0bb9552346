//! Admits slot requests of entries to the queue, or answers at once why they are not admitted.

use std::time::Duration;

use almondpass_membership::home;
use almondpass_policy::{event, hall_policy::HallPolicy, work};
use almondpass_schema::{ids, model};
use tokio::time::Instant;
use uuid::Uuid;

use crate::actor::HallActor;
use crate::backend;
use crate::grant_table::{self, GrantStage};
use crate::grants::{RETRY_AFTER, STORE_RETRY_AFTER};
use crate::hall_layout;
use crate::intent_index;
use crate::request;
use crate::tenure;

impl<B: backend::HallBackend> HallActor<B> {
    pub(crate) fn on_grant_request(&mut self, pending: request::PendingCall<model::GrantRequest>) {
        if self.frozen || self.fenced || self.tenure.status() == tenure::TenureStatus::Ended {
            pending.decline();
            return;
        }
        let request::PendingCall { call, reply } = pending;
        // Every answer but a grant or a record of the key says "nothing was sent". Proof: an entry sends
        // only under a grant, and no grant of this request was sent to an entry; if one was, the answer
        // is that grant or the record of the key.
        match self.admit(call) {
            Admission::Answer(answer) => {
                let _ = reply.send(answer);
            }
            Admission::TakeOver(grant) => {
                if let Some(entry) = self.grants.get_mut(&grant) {
                    entry.reply = Some(reply);
                }
            }
            Admission::New(grant, mut entry) => {
                let item = self.work_item(grant, &entry);
                if let Err(reason) = self.policy.admits(&item) {
                    let refusal = model::GrantReply::Refused { reason, unrecorded: true };
                    let _ = reply.send(refusal);
                    return;
                }
                entry.reply = Some(reply);
                self.grants.insert(grant, *entry);
                self.apply_event(event::HallEvent::Arrived(item));
            }
        }
    }

    fn admit(&mut self, call: model::GrantRequest) -> Admission {
        if !self.may_act() {
            let text = "the scheduler renews its tenure";
            let code = model::WaitCode::SchedulerStarting;
            return Admission::Answer(grant_table::busy_reply(code, text, RETRY_AFTER));
        }
        if let Some(answer) = self.check_class(&call) {
            return Admission::Answer(answer);
        }
        let Some(class) = self.config.class(&call.class).cloned() else {
            return Admission::Answer(unknown_class_reply(&call));
        };
        if let Some(admission) = self.repeated_request(&call) {
            return admission;
        }
        if !class.repeatable
            && let Some(answer) = self.check_key(&call, &class)
        {
            return Admission::Answer(answer);
        }
        if let Some(answer) = self.check_limits(&call) {
            return Admission::Answer(grant_table::mark_unrecorded(answer));
        }
        let remaining = call.deadline.since(self.wall_time());
        if remaining.is_zero() {
            let text = "the deadline passed before the request arrived";
            let code = model::WaitCode::DeadlineMissed;
            let answer = grant_table::busy_reply(code, text, RETRY_AFTER);
            return Admission::Answer(grant_table::mark_unrecorded(answer));
        }
        let now = Instant::now();
        let entry = grant_table::GrantEntry {
            call,
            reply: None,
            class,
            arrived_at: now,
            stage: GrantStage::Waiting,
            expires_at: now + remaining,
        };
        Admission::New(Uuid::now_v7(), Box::new(entry))
    }

    fn check_class(&self, call: &model::GrantRequest) -> Option<model::GrantReply> {
        let Some(class) = self.config.class(&call.class) else {
            return Some(unknown_class_reply(call));
        };
        if self.config.account(&call.account).is_none() {
            let text = format!("expected a known client account, found {}", call.account);
            return Some(grant_table::refused_reply(model::WaitCode::UnknownAccount, text));
        }
        if class.kind != model::ClassKind::Request {
            let text = format!("expected a class for requests, found {}", call.class);
            return Some(grant_table::refused_reply(model::WaitCode::NotPermitted, text));
        }
        None
    }

    /// Handles a call of an entry that lost the answer and repeats the call with the same request id.
    fn repeated_request(&mut self, call: &model::GrantRequest) -> Option<Admission> {
        let grant = self.grants.find_by_request(&call.request)?;
        let entry = self.grants.get(&grant)?;
        let is_same_attempt = entry.call.attempt == call.attempt && entry.call.entry == call.entry;
        match &entry.stage {
            GrantStage::Granted { grant: granted, .. } if is_same_attempt => {
                let granted = granted.clone();
                let expires_at = Instant::now() + self.options.call_deadline() + granted.term.0;
                self.grants.set_expiry(&grant, expires_at);
                Some(Admission::Answer(model::GrantReply::Granted { grant: granted }))
            }
            GrantStage::Granted { .. } if entry.class.repeatable => {
                // A later attempt means that the entry has finished the granted one.
                self.end_grant(grant, model::RequestOutcome::Unknown, false);
                None
            }
            GrantStage::Granted { .. } => Some(Admission::Answer(in_progress_reply(call.request))),
            _ => Some(Admission::TakeOver(grant)),
        }
    }

    /// Answer to a request that must run at most once and may not be sent because of its idempotency
    /// key; `None` if it may be sent.
    fn check_key(
        &self,
        call: &model::GrantRequest,
        class: &model::JobClass,
    ) -> Option<model::GrantReply> {
        let Some((key, made_at)) = call.idempotency.and_then(|it| Some((it, home::key_time(&it)?)))
        else {
            let text = "expected an idempotency key that is a UUIDv7";
            return Some(grant_table::refused_reply(model::WaitCode::KeyRequired, text));
        };
        let window = self.config.document.bounds.idempotency_window.0;
        let now = self.wall_time();
        // Records of older keys are deleted, so a request with such a key may have been sent before
        // without any record of it. "Not run" holds for this request, as it is not sent.
        if made_at + window < now {
            let text = format!("expected a key younger than {window:?}");
            return Some(grant_table::refused_reply(model::WaitCode::KeyTooOld, text));
        }
        if now + intent_index::CLOCK_SLACK < made_at {
            let text = "expected a key that was made before now";
            return Some(grant_table::refused_reply(model::WaitCode::KeyRequired, text));
        }
        if !self.is_home_hall(class, &key) {
            let text = "another hall keeps the record of this key";
            return Some(grant_table::busy_reply(model::WaitCode::Queued, text, RETRY_AFTER));
        }
        if !self.intents.sealed {
            let text = "the record of keys is being read";
            return Some(grant_table::busy_reply(
                model::WaitCode::StoreUnavailable,
                text,
                STORE_RETRY_AFTER,
            ));
        }
        if let intent_index::KeyStatus::Recorded { request, outcome } =
            self.intents.index.status(&call.account, key)
        {
            return Some(model::GrantReply::Recorded { outcome, request });
        }
        // Another request under this key waits or runs: only one of the two may be sent.
        self.grants
            .find_by_key(&call.account, key)
            .map(|(_, it)| in_progress_reply(it.call.request))
    }

    fn is_home_hall(&self, class: &model::JobClass, key: &ids::IdempotencyKey) -> bool {
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
            return Some(grant_table::busy_reply(model::WaitCode::AccountLimit, text, RETRY_AFTER));
        }
        None
    }

    pub(crate) fn work_item(
        &self,
        grant: ids::GrantId,
        entry: &grant_table::GrantEntry,
    ) -> work::WorkItem {
        let mut exclude = entry.call.exclude.clone();
        exclude.extend(self.workers_without_upstream(&entry.class.upstream));
        work::WorkItem {
            id: grant,
            account: entry.call.account.clone(),
            class: entry.class.name.clone(),
            tasks: 1,
            demand: work::TaskDemand {
                accelerators: entry.class.accelerators,
                cores: entry.class.cores,
                memory_mb: entry.class.memory_mb,
                slots: 1,
            },
            adjacency: model::Adjacency::Worker,
            guarantee: None,
            declared_run: None,
            deadline: Some(entry.call.deadline),
            submitted_at: self.wall_time() - entry.arrived_at.elapsed(),
            attempt: entry.call.attempt,
            saved_run: Duration::ZERO,
            exclude,
            failed_on: Vec::new(),
        }
    }

    /// Live workers on which an upstream is being removed, is drained or does not run.
    pub(crate) fn workers_without_upstream(&self, upstream: &str) -> Vec<ids::WorkerId> {
        let nodes = self.nodes.iter().filter(|(_, it)| it.member_entry.is_some() && !it.draining);
        let without = nodes.filter(|(name, _)| !self.has_upstream(name, upstream));
        without.map(|(name, _)| name.clone()).collect()
    }

    pub(crate) fn has_upstream(&self, worker: &str, upstream: &str) -> bool {
        let node = self.nodes.get(worker);
        node.is_some_and(|it| it.upstream_address(upstream).is_some())
            && !hall_layout::is_upstream_drained(&self.config, upstream, worker)
    }
}

enum Admission {
    Answer(model::GrantReply),
    TakeOver(ids::GrantId),
    New(ids::GrantId, Box<grant_table::GrantEntry>),
}

fn unknown_class_reply(call: &model::GrantRequest) -> model::GrantReply {
    let text = format!("expected a known job class, found {}", call.class);
    grant_table::refused_reply(model::WaitCode::UnknownClass, text)
}

/// Answer for a key whose request is in progress: a second request under the key is never sent, and
/// "not run" would be false.
fn in_progress_reply(request: ids::RequestId) -> model::GrantReply {
    model::GrantReply::Recorded { outcome: model::RequestOutcome::Unknown, request }
}
