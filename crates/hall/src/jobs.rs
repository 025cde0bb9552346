//! How the hall actor accepts, queries, cancels, requeues and ends jobs.

use std::time::Duration;

use almondpass_policy::{event, hall_policy::HallPolicy, work};
use almondpass_ports::{keys, table::TableService};
use almondpass_schema::{ids, model, time};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::actor::HallActor;
use crate::backend;
use crate::codec;
use crate::deadline;
use crate::grants::STORE_RETRY_AFTER;
use crate::job_rows::COMMIT_DELAY;
use crate::job_table::{self, JobEntry};
use crate::metric;
use crate::request;
use crate::tenure;

impl<B: backend::HallBackend> HallActor<B> {
    pub(crate) fn on_job_submit(&mut self, pending: request::PendingCall<model::JobSubmit>) {
        if self.frozen || self.fenced || self.tenure.status() == tenure::TenureStatus::Ended {
            pending.decline();
            return;
        }
        let request::PendingCall { call, reply } = pending;
        if let Some(entry) = self.jobs.entries.get_mut(&call.job) {
            if entry.record.account != call.account {
                let _ = reply.send(model::JobReply::NotFound);
                return;
            }
            match &entry.committed {
                Some(record) => {
                    let _ = reply.send(model::JobReply::Record { record: record.clone() });
                }
                None => entry.waiters.push(reply),
            }
            return;
        }
        // Proof of "not run" for every refusal here: the job is in no row and in no queue.
        if let Some(refusal) = self.refusal_for(&call) {
            let _ = reply.send(refusal);
            return;
        }
        let record = self.new_record(&call);
        let repeatable = self.config.class(&call.submission.class).is_none_or(|it| it.repeatable);
        let entry = JobEntry {
            record,
            committed: None,
            repeatable,
            waiters: vec![reply],
            gang: None,
            n_starts: 0,
            saved_run: Duration::ZERO,
            arrived_at: Instant::now(),
        };
        self.jobs.entries.insert(call.job, entry);
        self.mark_dirty(call.job);
    }

    fn refusal_for(&self, call: &model::JobSubmit) -> Option<model::JobReply> {
        let class = self.config.class(&call.submission.class);
        let Some(class) = class.filter(|it| it.kind == model::ClassKind::Job) else {
            let text = format!("expected a class for jobs, found {}", call.submission.class);
            return Some(refused_reply(model::WaitCode::UnknownClass, text, None));
        };
        let Some(account) = self.config.account(&call.account) else {
            let text = format!("expected a known client account, found {}", call.account);
            return Some(refused_reply(model::WaitCode::UnknownAccount, text, None));
        };
        if !self.is_sole_holder() {
            let text = "a job is accepted only once it is durable, and the table does not answer";
            return Some(refused_reply(
                model::WaitCode::StoreUnavailable,
                text,
                Some(STORE_RETRY_AFTER),
            ));
        }
        let n_queued = self.jobs.n_queued(&call.account);
        if (account.limits.queued_jobs as usize) <= n_queued {
            let text = format!("{n_queued} jobs of the account wait already");
            return Some(refused_reply(
                model::WaitCode::AccountLimit,
                text,
                Some(STORE_RETRY_AFTER),
            ));
        }
        let record = self.new_record(call);
        let item = self.job_work_item(&record, class, Duration::ZERO);
        let reason = self.policy.admits(&item).err()?;
        Some(model::JobReply::Refused { reason, retry_after: None })
    }

    fn new_record(&self, call: &model::JobSubmit) -> model::JobRecord {
        let now = self.wall_time();
        model::JobRecord {
            job: call.job,
            account: call.account.clone(),
            hall: self.hall.clone(),
            submission: call.submission.clone(),
            submitted_at: now,
            state: model::JobState::Queued,
            state_since: now,
            attempt: 0,
            reason: None,
            checkpoint: None,
            placement: Vec::new(),
            failed_on: Vec::new(),
            cancel_requested: false,
        }
    }

    /// Builds the work item that represents a job in the policy.
    pub(crate) fn job_work_item(
        &self,
        record: &model::JobRecord,
        class: &model::JobClass,
        saved_run: Duration,
    ) -> work::WorkItem {
        let submission = &record.submission;
        work::WorkItem {
            id: record.job,
            account: record.account.clone(),
            class: submission.class.clone(),
            tasks: submission.tasks,
            demand: work::TaskDemand {
                accelerators: submission.accelerators,
                cores: submission.cores,
                memory_mb: submission.memory_mb,
                slots: 0,
            },
            adjacency: submission.adjacency,
            guarantee: submission.guarantee.clone(),
            declared_run: submission.run_time.map(|it| it.0),
            deadline: submission.deadline,
            submitted_at: record.submitted_at,
            attempt: record.attempt,
            saved_run,
            exclude: self.workers_without_upstream(&class.upstream),
            failed_on: record.failed_on.clone(),
        }
    }

    pub(crate) fn on_job_query(&mut self, pending: request::PendingCall<model::JobQuery>) {
        let request::PendingCall { call, reply } = pending;
        let entry = self.jobs.entries.get(&call.job);
        let entry = entry.filter(|it| it.record.account == call.account);
        match entry.and_then(|it| it.committed.clone()) {
            Some(record) => {
                let record = self.with_wait_reason(record);
                let _ = reply.send(model::JobReply::Record { record });
            }
            None => self.reply_from_row(call.account, call.job, reply),
        }
    }

    /// Answers from the table, for a job that has ended or belongs to another hall.
    fn reply_from_row(
        &self,
        account: ids::AccountId,
        job: ids::JobId,
        reply: oneshot::Sender<model::JobReply>,
    ) {
        let table = self.ports.table.clone();
        let deadline = self.options.call_deadline();
        tokio::spawn(async move {
            let get = model::TableGet { keys: vec![keys::job(&account, &job)] };
            // If the table does not answer, the reply channel is dropped: "not found" could be wrong.
            let rows =
                deadline::within(deadline, "read a job", deadline::TABLE_SERVICE, table.get(get));
            let Ok(rows) = rows.await else { return };
            let row = rows.rows.first();
            let record = row.and_then(|it| codec::decode_row("read a job", it).ok().flatten());
            let found = record.map(|record| model::JobReply::Record { record });
            let _ = reply.send(found.unwrap_or(model::JobReply::NotFound));
        });
    }

    /// Sets the reason for which an unfinished job waits at present, if the policy has one.
    fn with_wait_reason(&self, mut record: model::JobRecord) -> model::JobRecord {
        if !job_table::is_terminal(record.state)
            && let Some(reason) = self.policy.reason(&record.job, self.wall_time())
        {
            record.reason = Some(reason);
        }
        record
    }

    pub(crate) fn on_job_cancel(&mut self, pending: request::PendingCall<model::JobCancel>) {
        if self.frozen || self.fenced {
            pending.decline();
            return;
        }
        let request::PendingCall { call, reply } = pending;
        let entry = self.jobs.entries.get_mut(&call.job);
        let Some(entry) = entry.filter(|it| it.record.account == call.account) else {
            self.reply_from_row(call.account, call.job, reply);
            return;
        };
        if entry.record.cancel_requested || entry.has_ended() {
            match &entry.committed {
                Some(record) if record.cancel_requested || job_table::is_terminal(record.state) => {
                    let record = record.clone();
                    let _ = reply.send(model::JobReply::Record { record });
                }
                _ => entry.waiters.push(reply),
            }
            return;
        }
        entry.record.cancel_requested = true;
        // Answered once the request is durable, so that a successor also carries it out.
        entry.waiters.push(reply);
        self.mark_dirty(call.job);
        self.apply_event(event::HallEvent::Cancelled(call.job));
    }

    /// Queues a job whose record differs from its row for the next commit.
    pub(crate) fn mark_dirty(&mut self, job: ids::JobId) {
        self.jobs.dirty.insert(job);
        let due = Instant::now() + COMMIT_DELAY;
        self.jobs.next_commit_at.get_or_insert(due);
        self.wake.notify_one();
    }

    pub(crate) fn set_wait_reason(&mut self, job: ids::JobId, reason: model::WaitReason) {
        if let Some(entry) = self.jobs.entries.get_mut(&job) {
            entry.record.reason = Some(reason);
        }
    }

    /// Returns a job that the policy requeued to the queued state, with the reason.
    pub(crate) fn requeue_job(&mut self, job: ids::JobId, reason: model::WaitReason) {
        self.set_wait_reason(job, reason);
        self.set_queued(job);
    }

    pub(crate) fn set_queued(&mut self, job: ids::JobId) {
        let wall = self.wall_time();
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        if entry.has_ended() || entry.gang.is_some() {
            return;
        }
        entry.record.placement = Vec::new();
        if entry.record.state != model::JobState::Queued {
            entry.record.state = model::JobState::Queued;
            entry.record.state_since = wall;
            self.mark_dirty(job);
        }
    }

    /// Ends a non-repeatable job as `unknown` because no worker can tell whether it ran. It is never
    /// started again.
    pub(crate) fn end_job_unknown(&mut self, job: ids::JobId) {
        self.apply_event(event::HallEvent::Cancelled(job));
        self.apply_event(event::HallEvent::Ended { work: job, exit: event::WorkExit::Stopped });
        let reason = model::WaitReason {
            code: model::WaitCode::JobFaulty,
            text: "it may have run, and no worker can tell".to_owned(),
            until: None,
        };
        self.end_job(job, model::JobState::Unknown, reason);
    }

    /// Ends a job that the policy reports as finished.
    pub(crate) fn finish_job(
        &mut self,
        job: ids::JobId,
        outcome: model::RequestOutcome,
        reason: model::WaitReason,
    ) {
        let Some(entry) = self.jobs.entries.get(&job) else { return };
        let record = &entry.record;
        let state = match outcome {
            model::RequestOutcome::Done => model::JobState::Done,
            model::RequestOutcome::Unknown => model::JobState::Unknown,
            _ if record.cancel_requested => model::JobState::Cancelled,
            // Proof of "not run": `attempt` counts the starts that may have been sent, and there was
            // none. A victim that ran before its preemption and is not restarted did run.
            model::RequestOutcome::NotRun if record.attempt == 0 => model::JobState::NotRun,
            model::RequestOutcome::NotRun | model::RequestOutcome::Failed => {
                model::JobState::Failed
            }
        };
        self.end_job(job, state, reason);
    }

    fn end_job(&mut self, job: ids::JobId, state: model::JobState, reason: model::WaitReason) {
        let wall = self.wall_time();
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        if entry.has_ended() {
            return;
        }
        entry.record.state = state;
        entry.record.state_since = wall;
        entry.record.reason = Some(reason);
        entry.record.placement = Vec::new();
        let (account, class) =
            (entry.record.account.clone(), entry.record.submission.class.clone());
        metric::completion_time(&account, &class, wall.since(entry.record.submitted_at));
        metric::outcome(&account, &class, request_outcome(state));
        tracing::info!(hall = self.hall, job = %job, state = %state, "job ended");
        self.mark_dirty(job);
    }
}

fn request_outcome(state: model::JobState) -> model::RequestOutcome {
    match state {
        model::JobState::Done => model::RequestOutcome::Done,
        model::JobState::Failed => model::RequestOutcome::Failed,
        model::JobState::Unknown => model::RequestOutcome::Unknown,
        _ => model::RequestOutcome::NotRun,
    }
}

pub(crate) fn refused_reply(
    code: model::WaitCode,
    text: impl Into<String>,
    retry_after: Option<time::TimeSpan>,
) -> model::JobReply {
    let reason = model::WaitReason { code, text: text.into(), until: None };
    model::JobReply::Refused { reason, retry_after }
}
