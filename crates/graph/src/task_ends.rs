//! Ends of tasks, as workers list them.

use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::core;
use crate::order;
use crate::save_queue;
use crate::task_key;

impl core::PoolCore {
    /// Takes in an end. Returns the change that has to be durable before the end may be
    /// acknowledged; nothing where a successor need not know of it.
    pub(crate) fn take_end(
        &mut self,
        worker: &ids::WorkerId,
        end: order::ListedEnd,
        now: Duration,
    ) -> Option<save_queue::RowChange> {
        let key = end.task;
        let job = self.jobs.get_mut(&key.graph)?;
        let class = job.class.clone();
        let task = job.task_mut(key)?;
        let known = task.run.as_ref();
        let known = known.filter(|it| it.worker == *worker && it.attempt == end.attempt);
        let since = known.map(|it| it.tracked_since);
        let tells = known.is_some_and(|it| it.is_from_scratch && !it.is_remote);
        task.attempt = task.attempt.max(end.attempt);
        task.ended_attempt = task.ended_attempt.max(end.attempt);
        if end.checkpoint.is_some() {
            task.checkpoint = end.checkpoint.clone();
        }
        let is_acquitted = self.withdraw_loss(key, end.attempt);
        let is_settled = self.clear_saved_start(key, end.attempt) || is_acquitted;
        tracing::info!(
            job = format_args!("{:016x}", key.graph),
            task = %key,
            attempt = end.attempt,
            worker,
            how = ?end.how,
            ran_ms = since.map(|it| now.saturating_sub(it).as_millis() as u64),
            expected = since.is_some(),
            "task ended"
        );
        if since.is_some() {
            self.release_run(key, now);
        }
        match end.how {
            order::EndKind::Done => {
                if let Some(since) = since.filter(|_| tells) {
                    self.run_times.observe(&class, now.saturating_sub(since));
                }
                self.task_done(worker, key, now)
            }
            order::EndKind::Failed => self.task_failed(worker, key, end.attempt, now),
            order::EndKind::Stopped
            | order::EndKind::Lapsed
            | order::EndKind::Broken
            | order::EndKind::Alone => {
                self.spread_checkpoint(key);
                // Acknowledged before, the end would be missing to a successor, which would take the
                // start that is on record for lost.
                if is_settled { self.mark_task_changed(key) } else { None }
            }
        }
    }

    fn task_done(
        &mut self,
        worker: &ids::WorkerId,
        key: task_key::TaskKey,
        now: Duration,
    ) -> Option<save_queue::RowChange> {
        if let Some(record) = self.workers.get_mut(worker) {
            record.health.task_succeeded();
        }
        let job = self.jobs.get_mut(&key.graph)?;
        if job.has_ended() && job.state != model::GraphState::Completed {
            return None;
        }
        let step = job.step_mut(key)?;
        if step.spec.gang {
            // One such end represents all members.
            for task in &mut step.tasks {
                task.done = true;
            }
        } else if let Some(task) = step.tasks.get_mut(key.task as usize) {
            task.done = true;
        }
        job.started = true;
        let is_complete = job.steps.iter().all(|it| it.is_done());
        job.state =
            if is_complete { model::GraphState::Completed } else { model::GraphState::Running };
        if is_complete && self.active.contains(&key.graph) {
            self.finish(key.graph, now);
        }
        // Where another attempt runs, which only a wrong belief can have started, it is in vain.
        let twin = self.jobs.get(&key.graph).and_then(|it| it.task(key));
        if twin.is_some_and(|it| it.run.is_some()) {
            self.stop_run(key, now);
        }
        self.mark_task_changed(key)
    }

    fn task_failed(
        &mut self,
        worker: &ids::WorkerId,
        key: task_key::TaskKey,
        attempt: u32,
        now: Duration,
    ) -> Option<save_queue::RowChange> {
        let is_spare = self.can_exclude(worker, |it| it.health.is_paused(now));
        if let Some(record) = self.workers.get_mut(worker)
            && record.health.task_failed(key.graph, is_spare, now)
        {
            tracing::warn!(worker, "worker fails tasks of several jobs and is paused");
        }
        let job = self.jobs.get_mut(&key.graph)?;
        let most = job.max_attempts;
        let step = job.step_mut(key)?;
        let is_gang = step.spec.gang;
        let task = step.tasks.get_mut(key.task as usize)?;
        if task.done {
            return None;
        }
        let failures = if is_gang { &mut step.gang_failures } else { &mut task.failures };
        let is_new = failures.record(attempt);
        let is_last = failures.count() >= most;
        self.avoid_failed_worker(key, worker, now);
        if !is_new {
            return None;
        }
        self.spread_checkpoint(key);
        let job = self.jobs.get_mut(&key.graph)?;
        if is_last && !job.has_ended() {
            job.state = model::GraphState::Failed;
            job.failure = Some(model::FailureCause::Attempts);
            self.finish(key.graph, now);
            self.stop_all(key.graph, now);
        }
        // The failures of a gang are told of with its first task.
        let told_with = if is_gang { task_key::TaskKey { task: 0, ..key } } else { key };
        self.mark_task_changed(told_with)
    }

    /// All members of a gang resume from the same checkpoint; that of any member will do.
    fn spread_checkpoint(&mut self, key: task_key::TaskKey) {
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
