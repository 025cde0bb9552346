//! How the scheduler keeps the rows of jobs.

use std::time::Duration;

use almondpass_policy::event;
use almondpass_schema::model;
use tokio::time::Instant;

use crate::actor::HallActor;
use crate::backend;
use crate::commit::{self, CommitOutcome};
use crate::grants::STORE_RETRY_AFTER;
use crate::jobs;

impl<B: backend::HallBackend> HallActor<B> {
    /// Sends a group of rows on its way, or the one again whose outcome is not known.
    pub(crate) fn commit_jobs(&mut self, now: Instant) {
        if self.jobs.committing || self.fenced || !self.tenure.may_act() {
            return;
        }
        if self.jobs.next_commit_at.is_none_or(|it| now < it) && !self.frozen {
            return;
        }
        if self.jobs.commit.is_none() {
            self.jobs.commit = self.next_group();
        }
        let Some(plan) = self.jobs.commit.clone() else {
            self.jobs.next_commit_at = None;
            return;
        };
        self.jobs.committing = true;
        let (table, tenure, reports) =
            (self.ports.table.clone(), self.tenure.clone(), self.own_address());
        let deadline = self.options.call_deadline();
        tokio::spawn(async move {
            let _ = reports.send(commit::run(table, tenure, plan, deadline).await).await;
        });
    }

    fn next_group(&mut self) -> Option<commit::CommitPlan> {
        let group = self.jobs.dirty.iter().take(COMMIT_GROUP).copied().collect::<Vec<_>>();
        let mut writes = Vec::new();
        for job in group {
            self.jobs.dirty.remove(&job);
            let Some(entry) = self.jobs.entries.get(&job) else { continue };
            if entry.committed.as_ref() == Some(&entry.record) {
                continue;
            }
            let create = entry.committed.is_none();
            writes.push(commit::JobWrite { record: entry.record.clone(), create });
        }
        if writes.is_empty() {
            return None;
        }
        self.jobs.commit_number += 1;
        Some(commit::CommitPlan {
            hall: self.hall.clone(),
            writes,
            at: self.wall_time(),
            number: self.jobs.commit_number,
            after: self.jobs.commit_version,
            unsure: false,
        })
    }

    pub(crate) fn on_committed(&mut self, report: commit::CommitReport) {
        self.jobs.committing = false;
        let now = Instant::now();
        match report.outcome {
            CommitOutcome::Committed { version } => {
                self.jobs.commit = None;
                self.jobs.commit_version = Some(version);
                for write in report.plan.writes {
                    self.job_committed(write);
                }
                self.jobs.next_commit_at =
                    (!self.jobs.dirty.is_empty()).then_some(now + COMMIT_DELAY);
            }
            CommitOutcome::Known(records) => {
                self.jobs.commit = None;
                for record in records {
                    self.job_was_known(record);
                }
                self.write_again(report.plan, false);
                self.jobs.next_commit_at = Some(now);
            }
            CommitOutcome::Fenced => {
                self.fence();
                self.jobs.commit = None;
            }
            CommitOutcome::Unsent => {
                self.jobs.commit = None;
                self.write_again(report.plan, true);
                self.jobs.next_commit_at = Some(now + COMMIT_RETRY);
            }
            CommitOutcome::Unsure => {
                self.jobs.commit = Some(commit::CommitPlan { unsure: true, ..report.plan });
                self.jobs.next_commit_at = Some(now + COMMIT_RETRY);
            }
        }
        self.wake.notify_one();
        self.finish_freeze();
    }

    fn job_committed(&mut self, write: commit::JobWrite) {
        let job = write.record.job;
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        entry.committed = Some(write.record.clone());
        // A cancellation that came while this group was on its way waits for the next one.
        if entry.record == write.record {
            for waiter in entry.waiters.drain(..) {
                let _ = waiter.send(model::JobReply::Record { record: write.record.clone() });
            }
        }
        if write.create {
            let record = write.record.clone();
            let saved_run = entry.saved_run;
            if let Some(class) = self.config.class(&record.submission.class).cloned() {
                let item = self.job_work_item(&record, &class, saved_run);
                self.apply_event(event::HallEvent::Arrived(item));
            }
            if self.jobs.entries.get(&job).is_some_and(|it| it.record.cancel_requested) {
                self.apply_event(event::HallEvent::Cancelled(job));
            }
        }
        self.resume_persisted_start(job);
        self.advance_gang(job);
        let entry = self.jobs.entries.get(&job);
        let over = entry.is_some_and(|it| {
            it.gang.is_none() && it.has_ended() && it.committed.as_ref() == Some(&it.record)
        });
        if over {
            self.jobs.entries.remove(&job);
            self.jobs.dirty.remove(&job);
        }
    }

    /// A submitted job existed before: the submission is a repeat.
    fn job_was_known(&mut self, record: model::JobRecord) {
        let Some(entry) = self.jobs.entries.remove(&record.job) else { return };
        for waiter in entry.waiters {
            let _ = waiter.send(model::JobReply::Record { record: record.clone() });
        }
    }

    /// A group was certainly not written: its changes wait for the next one.
    fn write_again(&mut self, plan: commit::CommitPlan, refuse: bool) {
        for write in plan.writes {
            let job = write.record.job;
            let Some(entry) = self.jobs.entries.get(&job) else { continue };
            if write.create && refuse && entry.committed.is_none() {
                // Proof for "not run": the table did not get the row, no later group of this
                // tenure has it, and the policy has not heard of the job.
                let text = "the job could not be made durable";
                let entry = self.jobs.entries.remove(&job);
                self.jobs.dirty.remove(&job);
                for waiter in entry.into_iter().flat_map(|it| it.waiters) {
                    let code = model::WaitCode::StoreUnavailable;
                    let _ = waiter.send(jobs::refused(code, text, Some(STORE_RETRY_AFTER)));
                }
            } else {
                self.jobs.dirty.insert(job);
            }
        }
    }

    /// Drops jobs that ended long ago.
    pub(crate) fn sweep_jobs(&mut self, now: Instant) {
        if self.jobs.next_sweep_at.is_some_and(|it| now < it) || !self.is_sole_holder() {
            return;
        }
        self.jobs.next_sweep_at = Some(now + SWEEP_INTERVAL);
        let oldest = self.wall_time() - self.config.document.bounds.job_retention.0;
        let (table, tenure, hall) =
            (self.ports.table.clone(), self.tenure.clone(), self.hall.clone());
        tokio::spawn(async move {
            for _ in 0..SWEEP_PAGES {
                let page = commit::sweep(table.clone(), tenure.clone(), hall.clone(), oldest);
                if !page.await {
                    return;
                }
            }
        });
    }
}

/// A group that got no certain answer is tried again after this.
const COMMIT_RETRY: Duration = Duration::from_millis(500);

/// Jobs in one transaction.
const COMMIT_GROUP: usize = 128;

/// Between two looks for ended jobs to drop.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// Pages dropped at one look.
const SWEEP_PAGES: usize = 8;

/// Changes wait this long for others to go with.
pub(crate) const COMMIT_DELAY: Duration = Duration::from_millis(20);
