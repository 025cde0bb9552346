//! Detection of tasks that make no progress.

use std::time::Duration;

use crate::core;
use crate::job;
use crate::stop_reason;
use crate::task_key;

/// A task without progress for this long is stalled. One percent of the longest task seen (11 s) takes 0.7 s
/// on a worker that is 6.5 times slower, and 2.2 s if it is away from its data as well.
const STALLED_AFTER: Duration = Duration::from_millis(3_000);

/// Limit for a task that would lose more work than the time it has been stalled: on the users' sites, workers
/// with stalled tasks recover after about six seconds.
const STALLED_AFTER_IF_COSTLY: Duration = Duration::from_millis(8_000);

/// A task is stalled only if it has made no progress for the time that this many percent should take. A task
/// that runs for hours reports progress only every few minutes.
const STALLED_PERCENT: f64 = 4.0;

/// The limit doubles with each time that a task was stopped as stalled, up to this many times: the declared
/// run times are far off, and the task may be slower than every known one.
const MAX_DOUBLINGS: u32 = 12;

impl core::PoolCore {
    /// Stops stalled tasks, so that they start on other workers.
    pub(crate) fn stop_stalled(&mut self, now: Duration) {
        let mut stalled = Vec::new();
        for (id, worker) in &self.workers {
            for key in &worker.runs {
                let Some(run) = self.task_run(*key) else { continue };
                // A gang member that has finished its work waits for the others.
                let is_running =
                    matches!(run.phase, job::RunPhase::Running { .. }) && run.percent < 100;
                // Measured up to the last contact, because no progress is seen without answers.
                let stalled_for = worker.last_contact_at.saturating_sub(run.percent_changed_at);
                if is_running
                    && stalled_for >= STALLED_AFTER
                    && stalled_for >= self.stall_limit(*key, run)
                {
                    stalled.push((id.clone(), *key));
                }
            }
        }
        for (worker, key) in stalled {
            tracing::warn!(
                job = format_args!("{:016x}", key.graph),
                task = %key,
                worker,
                "task stands still and is stopped"
            );
            let is_excludable = self.can_exclude(&worker, |it| it.health.is_paused(now));
            if let Some(record) = self.workers.get_mut(&worker)
                && !record.health.is_paused(now)
            {
                record.health.task_stalled(is_excludable, now);
            }
            if let Some(task) = self.jobs.get_mut(&key.graph).and_then(|it| it.task_mut(key)) {
                task.n_stalls += 1;
            }
            self.stop_run(key, stop_reason::StopReason::Stalled, now);
        }
    }

    /// How long a run may go without progress before it counts as stalled.
    fn stall_limit(&self, key: task_key::TaskKey, run: &job::TaskRun) -> Duration {
        let worked = run.percent_changed_at.saturating_sub(run.tracked_since);
        let is_cheap = self.saves_checkpoints(key) || worked <= STALLED_AFTER;
        let least = if is_cheap { STALLED_AFTER } else { STALLED_AFTER_IF_COSTLY };
        let seen = run.pace.latest().filter(|it| *it > 0.0);
        let pace = seen.or_else(|| self.class_pace(key)).unwrap_or_else(|| self.declared_pace(key));
        let expected = Duration::from_secs_f64(STALLED_PERCENT / pace);
        let task = self.jobs.get(&key.graph).and_then(|it| it.task(key));
        let n_stalls = task.map_or(0, |it| it.n_stalls.min(MAX_DOUBLINGS));
        least.max(expected) * (1 << n_stalls)
    }

    /// Pace from the caller's estimate, in percent per second.
    fn declared_pace(&self, key: task_key::TaskKey) -> f64 {
        let step = self.jobs.get(&key.graph).and_then(|it| it.step(key));
        let estimate_ms = step.map_or(0, |it| it.spec.estimate_ms).max(1);
        100_000.0 / (f64::from(estimate_ms) * self.remote_run_time_factor(key))
    }
}
