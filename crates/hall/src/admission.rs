//! Which requests the scheduler takes in, and what the others are told.

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
            return Admission::Answer(grant_table::mark_unrecorded(answer));
        }
        let left = call.deadline.since(self.wall_time());
        if left.is_zero() {
            let text = "the deadline passed before the request arrived";
            let code = model::WaitCode::DeadlineMissed;
            let answer = grant_table::busy_reply(code, text, RETRY_AFTER);
            return Admission::Answer(grant_table::mark_unrecorded(answer));
        }
        let now = Instant::now();
        let work = grant_table::GrantEntry {
            call,
            reply: None,
            class,
            arrived_at: now,
            stage: GrantStage::Waiting,
            expires_at: now + left,
        };
        Admission::Arrived(Uuid::now_v7(), Box::new(work))
    }

    fn refuse_class(&self, call: &model::GrantRequest) -> Option<model::GrantReply> {
        let Some(class) = self.config.class(&call.class) else {
            return Some(unknown_class(call));
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

    /// An entry that lost the answer asks again under the same request.
    fn repeated_ask(&mut self, call: &model::GrantRequest) -> Option<Admission> {
        let grant = self.grants.find_by_request(&call.request)?;
        let work = self.grants.get(&grant)?;
        let same = work.call.attempt == call.attempt && work.call.entry == call.entry;
        match &work.stage {
            GrantStage::Granted { grant: told, .. } if same => {
                let told = told.clone();
                let expires_at = Instant::now() + self.options.call_deadline() + told.term.0;
                self.grants.set_expiry(&grant, expires_at);
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
            return Some(grant_table::refused_reply(model::WaitCode::KeyRequired, text));
        };
        let window = self.config.document.bounds.idempotency_window.0;
        let now = self.wall_time();
        // Records of older keys are dropped: such a key may have been sent before, and nobody
        // would know. "Not run" is true of this request: it is not sent.
        if made_at + window < now {
            let text = format!("expected a key younger than {window:?}");
            return Some(grant_table::refused_reply(model::WaitCode::KeyTooOld, text));
        }
        if now + intent_index::CLOCK_SLACK < made_at {
            let text = "expected a key that was made before now";
            return Some(grant_table::refused_reply(model::WaitCode::KeyRequired, text));
        }
        if !self.is_home(class, &key) {
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
        // Another request under this key waits for its slot: of the two only one may be sent.
        self.grants.find_by_key(&call.account, key).map(|(_, it)| in_progress(it.call.request))
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
            return Some(grant_table::busy_reply(model::WaitCode::AccountLimit, text, RETRY_AFTER));
        }
        None
    }

    pub(crate) fn work_item(
        &self,
        grant: ids::GrantId,
        work: &grant_table::GrantEntry,
    ) -> work::WorkItem {
        let mut exclude = work.call.exclude.clone();
        exclude.extend(self.workers_without_upstream(&work.class.upstream));
        work::WorkItem {
            id: grant,
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
            submitted_at: self.wall_time() - work.arrived_at.elapsed(),
            attempt: work.call.attempt,
            saved_run: Duration::ZERO,
            exclude,
            failed_on: Vec::new(),
        }
    }

    /// Live workers on which an upstream leaves, is drained or does not run.
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
    Join(ids::GrantId),
    Arrived(ids::GrantId, Box<grant_table::GrantEntry>),
}

fn unknown_class(call: &model::GrantRequest) -> model::GrantReply {
    let text = format!("expected a known job class, found {}", call.class);
    grant_table::refused_reply(model::WaitCode::UnknownClass, text)
}

/// A key in progress is never sent a second time, and "not run" would be a lie.
fn in_progress(request: ids::RequestId) -> model::GrantReply {
    model::GrantReply::Recorded { outcome: model::RequestOutcome::Unknown, request }
}
