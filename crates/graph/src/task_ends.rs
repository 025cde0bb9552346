//! Processing of the ends of tasks that workers list.

use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::core;
use crate::end_record;
use crate::order;
use crate::save_queue;
use crate::stop_reason;
use crate::task_key;

/// Who has told the scheduler of an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndSource {
    /// The worker lists it.
    Worker,
    /// A former scheduler could not save it.
    FormerScheduler,
}

impl EndSource {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            EndSource::Worker => "worker",
            EndSource::FormerScheduler => "former scheduler",
        }
    }
}

/// Counts for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCounts {
    /// Successful ends of tasks that had another run, tracked or started last by this scheduler.
    pub n_done_beside_others: u64,
    /// Ends of jobs that the scheduler does not know.
    pub n_of_unknown_jobs: u64,
}

impl core::PoolCore {
    /// Applies an end to the records of its task and job. Returns the change that has to be durable
    /// before the end may be acknowledged; `None` if a successor does not need to know of the end.
    pub(crate) fn apply_end(
        &mut self,
        worker: &ids::WorkerId,
        end: &order::ListedEnd,
        source: EndSource,
        now: Duration,
    ) -> Option<save_queue::RowChange> {
        let key = end.task;
        if !self.jobs.contains_key(&key.graph) {
            self.report_unknown_job(worker, end, source);
        }
        self.begin_run_of(key);
        let job = self.jobs.get_mut(&key.graph)?;
        let class = job.class.clone();
        job.note_started();
        let task = job.task_mut(key)?;
        let known_run = task.run.as_ref();
        let known_run = known_run.filter(|it| it.worker == *worker && it.attempt == end.attempt);
        let tracked_since = known_run.map(|it| it.tracked_since);
        let stop_sent_at = known_run.and_then(|it| it.phase.stop_sent_at());
        let stop_sent_at = stop_sent_at.filter(|_| end.how != order::EndKind::Lapsed);
        let is_run_time_sample = known_run.is_some_and(|it| it.is_from_scratch && !it.is_remote);
        task.attempt = task.attempt.max(end.attempt);
        task.ended_attempt = task.ended_attempt.max(end.attempt);
        if end.checkpoint.is_some() {
            task.checkpoint = end.checkpoint.clone();
        }
        let is_loss_withdrawn = self.withdraw_loss(key, end.attempt);
        let is_evidence_withdrawn = self.clear_saved_start(key, end.attempt) || is_loss_withdrawn;
        if end.how == order::EndKind::Done {
            self.report_other_run(worker, end);
        }
        if tracked_since.is_some() {
            self.release_run(key, now);
        }
        if source == EndSource::Worker {
            self.note_end_for_health(worker, end, now);
        }
        match end.how {
            order::EndKind::Done => {
                if let Some(tracked_since) = tracked_since.filter(|_| is_run_time_sample) {
                    self.run_times.observe(&class, now.saturating_sub(tracked_since));
                }
                self.task_done(key, now);
            }
            order::EndKind::Failed => self.task_failed(worker, key, end.attempt, now),
            order::EndKind::Stopped
            | order::EndKind::Lapsed
            | order::EndKind::Broken
            | order::EndKind::Alone => {
                if let Some(stop_sent_at) = stop_sent_at {
                    self.moves.stop_times.observe(&class, now.saturating_sub(stop_sent_at));
                }
                self.share_checkpoint(key);
            }
        }
        // The rows of a job whose end is durable stay as they are: they may be what shows its end.
        let is_end_durable = self.jobs.get(&key.graph).is_some_and(|it| it.is_end_durable());
        if is_evidence_withdrawn && !is_end_durable {
            self.mark_task_changed(key);
        }
        let applied = end_record::AppliedEnd { task: key, how: end.how, is_evidence_withdrawn };
        let change = self.change_to_await(applied);
        tracing::info!(
            job = format_args!("{:016x}", key.graph),
            task = %key,
            attempt = end.attempt,
            worker,
            how = ?end.how,
            ran_ms = tracked_since.map(|it| now.saturating_sub(it).as_millis() as u64),
            expected = tracked_since.is_some(),
            awaits_save = change.is_some(),
            source = source.name(),
            "task ended"
        );
        change
    }

    /// Logs and counts the successful end of a run beside another run of the task: one that is tracked,
    /// or that this scheduler started last.
    fn report_other_run(&mut self, worker: &ids::WorkerId, end: &order::ListedEnd) {
        let key = end.task;
        let Some(task) = self.jobs.get(&key.graph).and_then(|it| it.task(key)) else { return };
        let tracked = task.run.as_ref().map(|it| (&it.worker, it.attempt));
        let started = task.last_start.as_deref().map(|it| (&it.worker, it.attempt));
        let Some((other_worker, other_attempt)) = tracked.or(started) else { return };
        if (other_worker, other_attempt) == (worker, end.attempt) {
            return;
        }
        tracing::warn!(
            job = format_args!("{:016x}", key.graph),
            task = %key,
            attempt = end.attempt,
            worker,
            other_attempt,
            other_worker,
            is_other_tracked = tracked.is_some(),
            "task is done beside another run of it"
        );
        self.end_counts.n_done_beside_others += 1;
    }

    /// Logs and counts an end of a job that is not known: one that was forgotten after its end, or whose
    /// row could not be read.
    fn report_unknown_job(
        &mut self,
        worker: &ids::WorkerId,
        end: &order::ListedEnd,
        source: EndSource,
    ) {
        tracing::warn!(
            job = format_args!("{:016x}", end.task.graph),
            task = %end.task,
            attempt = end.attempt,
            worker,
            how = ?end.how,
            source = source.name(),
            "task of an unknown job ended"
        );
        self.end_counts.n_of_unknown_jobs += 1;
    }

    /// Returns the counts since the last call.
    pub fn take_end_counts(&mut self) -> EndCounts {
        std::mem::take(&mut self.end_counts)
    }

    /// Records an end for the health of its worker.
    fn note_end_for_health(
        &mut self,
        worker: &ids::WorkerId,
        end: &order::ListedEnd,
        now: Duration,
    ) {
        match end.how {
            order::EndKind::Done => {
                if let Some(record) = self.workers.get_mut(worker) {
                    record.health.task_succeeded();
                }
            }
            order::EndKind::Failed => {
                let can_be_excluded = self.can_exclude(worker, |it| it.health.is_paused(now));
                if let Some(record) = self.workers.get_mut(worker)
                    && record.health.task_failed(end.task.graph, can_be_excluded, now)
                {
                    tracing::warn!(worker, "worker fails tasks of several jobs and is paused");
                }
            }
            _ => {}
        }
    }

    /// Records the success of a task, also in a job whose failure is not durable: a successor may find the
    /// job running.
    fn task_done(&mut self, key: task_key::TaskKey, now: Duration) {
        // Another attempt can be in progress only because of a wrong record; its result is not
        // needed.
        self.stop_run(key, stop_reason::StopReason::OtherRunDone, now);
        let Some(job) = self.jobs.get_mut(&key.graph).filter(|it| !it.is_end_durable()) else {
            return;
        };
        let Some(step) = job.step_mut(key) else { return };
        if step.tasks.get(key.task as usize).is_none_or(|it| it.done) {
            return;
        }
        if step.spec.gang {
            // The successful end of one member represents all members of its gang.
            for task in &mut step.tasks {
                task.done = true;
            }
        } else if let Some(task) = step.tasks.get_mut(key.task as usize) {
            task.done = true;
        }
        if !job.has_ended() && job.is_complete() {
            job.state = model::GraphState::Completed;
            if self.active.contains(&key.graph) {
                self.finish(key.graph, now);
            }
        }
        self.mark_task_changed(key);
    }

    fn task_failed(
        &mut self,
        worker: &ids::WorkerId,
        key: task_key::TaskKey,
        attempt: u32,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get_mut(&key.graph).filter(|it| !it.is_end_durable()) else {
            return;
        };
        let max_attempts = job.max_attempts;
        let Some(step) = job.step_mut(key) else { return };
        let is_gang = step.spec.gang;
        let Some(task) = step.tasks.get_mut(key.task as usize) else { return };
        if task.done {
            return;
        }
        let failures = if is_gang { &mut step.gang_failures } else { &mut task.failures };
        let is_new = failures.record(attempt);
        let is_last = failures.count() >= max_attempts;
        self.avoid_failed_worker(key, worker, now);
        if !is_new {
            return;
        }
        self.share_checkpoint(key);
        let Some(job) = self.jobs.get_mut(&key.graph) else { return };
        if is_last && !job.has_ended() {
            job.state = model::GraphState::Failed;
            job.failure = Some(model::FailureCause::Attempts);
            self.finish(key.graph, now);
            self.stop_all(key.graph, now);
        }
        let saved_with = if is_gang { task_key::gang_failures_key(key) } else { key };
        self.mark_task_changed(saved_with);
    }

    /// Copies the checkpoint of a gang's member to all members. They all resume from the same
    /// checkpoint; that of any member will do.
    fn share_checkpoint(&mut self, key: task_key::TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.graph) else { return };
        let Some(step) = job.step_mut(key) else { return };
        if !step.spec.gang {
            return;
        }
        let checkpoint = step.tasks.get(key.task as usize).and_then(|it| it.checkpoint.clone());
        if checkpoint.is_none() {
            return;
        }
        for task in &mut step.tasks {
            task.checkpoint = checkpoint.clone();
        }
    }
}
