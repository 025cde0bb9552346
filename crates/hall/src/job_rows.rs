//! The hall actor's part in committing job rows: forms batches, handles their outcomes and sweeps
//! ended jobs.

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
    /// Starts the commit of the next batch, or retries the pending batch if its outcome is not known.
    pub(crate) fn commit_jobs(&mut self, now: Instant) {
        if self.jobs.committing || self.fenced || !self.tenure.may_act() {
            return;
        }
        if self.jobs.next_commit_at.is_none_or(|it| now < it) && !self.frozen {
            return;
        }
        if self.jobs.pending_batch.is_none() {
            self.jobs.pending_batch = self.next_batch();
        }
        let Some(batch) = self.jobs.pending_batch.clone() else {
            self.jobs.next_commit_at = None;
            return;
        };
        self.jobs.committing = true;
        let (table, tenure, reports) =
            (self.ports.table.clone(), self.tenure.clone(), self.own_address());
        let deadline = self.options.call_deadline();
        tokio::spawn(async move {
            let _ = reports.send(commit::try_commit(table, tenure, batch, deadline).await).await;
        });
    }

    fn next_batch(&mut self) -> Option<commit::CommitBatch> {
        let jobs = self.jobs.dirty.iter().take(JOBS_PER_COMMIT).copied().collect::<Vec<_>>();
        let mut writes = Vec::new();
        for job in jobs {
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
        self.jobs.last_batch_number += 1;
        Some(commit::CommitBatch {
            hall: self.hall.clone(),
            writes,
            created_at: self.wall_time(),
            number: self.jobs.last_batch_number,
            expected_version: self.jobs.commit_row_version,
            may_be_committed: false,
        })
    }

    pub(crate) fn on_committed(&mut self, report: commit::CommitReport) {
        self.jobs.committing = false;
        let now = Instant::now();
        match report.outcome {
            CommitOutcome::Committed { version } => {
                self.jobs.pending_batch = None;
                self.jobs.commit_row_version = Some(version);
                for write in report.batch.writes {
                    self.on_job_committed(write);
                }
                self.jobs.next_commit_at =
                    (!self.jobs.dirty.is_empty()).then_some(now + COMMIT_DELAY);
            }
            CommitOutcome::JobsExist(records) => {
                self.jobs.pending_batch = None;
                for record in records {
                    self.answer_repeated_submission(record);
                }
                self.return_batch(report.batch, false);
                self.jobs.next_commit_at = Some(now);
            }
            CommitOutcome::Fenced => {
                self.fence();
                self.jobs.pending_batch = None;
            }
            CommitOutcome::NoEffect => {
                self.jobs.pending_batch = None;
                self.return_batch(report.batch, true);
                self.jobs.next_commit_at = Some(now + COMMIT_RETRY);
            }
            CommitOutcome::Unconfirmed => {
                self.jobs.pending_batch =
                    Some(commit::CommitBatch { may_be_committed: true, ..report.batch });
                self.jobs.next_commit_at = Some(now + COMMIT_RETRY);
            }
        }
        self.wake.notify_one();
        self.finish_freeze();
    }

    fn on_job_committed(&mut self, write: commit::JobWrite) {
        let job = write.record.job;
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        entry.committed = Some(write.record.clone());
        // A cancellation that arrived while this batch was in flight is answered by the next batch.
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
        let is_settled = entry.is_some_and(|it| {
            it.gang.is_none() && it.has_ended() && it.committed.as_ref() == Some(&it.record)
        });
        if is_settled {
            self.jobs.entries.remove(&job);
            self.jobs.dirty.remove(&job);
        }
    }

    /// Answers a submission of a job that exists already, with the existing record.
    fn answer_repeated_submission(&mut self, record: model::JobRecord) {
        let Some(entry) = self.jobs.entries.remove(&record.job) else { return };
        for waiter in entry.waiters {
            let _ = waiter.send(model::JobReply::Record { record: record.clone() });
        }
    }

    /// Moves the changes of a batch that was certainly not written to the next batch. With
    /// `refuse_new`, refuses the jobs that the batch was to create.
    fn return_batch(&mut self, batch: commit::CommitBatch, refuse_new: bool) {
        for write in batch.writes {
            let job = write.record.job;
            let Some(entry) = self.jobs.entries.get(&job) else { continue };
            if write.create && refuse_new && entry.committed.is_none() {
                // Proof of "not run": the row was not written, no later batch of this tenure
                // contains it, and the policy does not have the job.
                let text = "the job could not be made durable";
                let entry = self.jobs.entries.remove(&job);
                self.jobs.dirty.remove(&job);
                for waiter in entry.into_iter().flat_map(|it| it.waiters) {
                    let code = model::WaitCode::StoreUnavailable;
                    let _ = waiter.send(jobs::refused_reply(code, text, Some(STORE_RETRY_AFTER)));
                }
            } else {
                self.jobs.dirty.insert(job);
            }
        }
    }

    /// Deletes the rows of jobs that ended longer ago than the retention time.
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

/// Pause after a commit that had no effect or is unconfirmed.
const COMMIT_RETRY: Duration = Duration::from_millis(500);

/// Largest number of jobs in one commit transaction.
const JOBS_PER_COMMIT: usize = 128;

/// Interval between two sweeps of ended jobs.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// Largest number of pages deleted in one sweep.
const SWEEP_PAGES: usize = 8;

/// Time that a changed job waits for others to be committed with.
pub(crate) const COMMIT_DELAY: Duration = Duration::from_millis(20);
