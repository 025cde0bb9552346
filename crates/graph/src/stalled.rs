//! Tasks that stand still.

use std::time::Duration;

use crate::core;
use crate::job;
use crate::task_key;

/// A task whose progress stands still for this long hangs. One percent of the longest task seen
/// (11 s) takes 0.7 s on a worker that is 6.5 times slower, 2.2 s away from its data as well.
const HANGS_AFTER: Duration = Duration::from_millis(3_000);

/// A task that would lose more work than it has stood still is given this long: workers on which
/// tasks stand still recover after about six seconds on the users' sites.
const HANGS_LONG_AFTER: Duration = Duration::from_millis(8_000);

/// A task stands still only if it has not progressed for as long as this many percent should take.
/// One that works for hours shows its progress every few minutes.
const HANGS_PERCENT: f64 = 4.0;

/// Patience doubles with each time that a task was stopped for standing still, up to this often: the
/// declared run times are far off, and a task may be slower than all that is known.
const MOST_DOUBLINGS: u32 = 12;

impl core::PoolCore {
    /// Stops tasks whose progress stands still, so that they start elsewhere.
    pub(crate) fn stop_stalled(&mut self, now: Duration) {
        let mut hanging = Vec::new();
        for (id, worker) in &self.workers {
            for key in &worker.runs {
                let Some(run) = self.task_run(*key) else { continue };
                // A member of a gang that has done its work waits for the others.
                let is_running =
                    matches!(run.phase, job::RunPhase::Running { .. }) && run.percent < 100;
                // Counted up to the last answer: without answers no progress is seen either.
                let stood = worker.last_contact_at.saturating_sub(run.percent_changed_at);
                if is_running && stood >= HANGS_AFTER && stood >= self.hang_patience(*key, run) {
                    hanging.push((id.clone(), *key));
                }
            }
        }
        for (worker, key) in hanging {
            tracing::warn!(
                job = format_args!("{:016x}", key.graph),
                task = %key,
                worker,
                "task stands still and is stopped"
            );
            let is_spare = self.can_exclude(&worker, |it| it.health.is_paused(now));
            if let Some(record) = self.workers.get_mut(&worker)
                && !record.health.is_paused(now)
            {
                record.health.task_stalled(is_spare, now);
            }
            if let Some(task) = self.jobs.get_mut(&key.graph).and_then(|it| it.task_mut(key)) {
                task.n_stalls += 1;
            }
            self.stop_run(key, now);
        }
    }

    /// How long a run may show no progress.
    fn hang_patience(&self, key: task_key::TaskKey, run: &job::TaskRun) -> Duration {
        let worked = run.percent_changed_at.saturating_sub(run.tracked_since);
        let is_cheap = self.saves_checkpoints(key) || worked <= HANGS_AFTER;
        let least = if is_cheap { HANGS_AFTER } else { HANGS_LONG_AFTER };
        let seen = run.pace.latest().filter(|it| *it > 0.0);
        let pace = seen.or_else(|| self.class_pace(key)).unwrap_or_else(|| self.declared_pace(key));
        let expected = Duration::from_secs_f64(HANGS_PERCENT / pace);
        let task = self.jobs.get(&key.graph).and_then(|it| it.task(key));
        let n_stalls = task.map_or(0, |it| it.n_stalls.min(MOST_DOUBLINGS));
        least.max(expected) * (1 << n_stalls)
    }

    /// The pace that the caller has declared, in percent per second.
    fn declared_pace(&self, key: task_key::TaskKey) -> f64 {
        let step = self.jobs.get(&key.graph).and_then(|it| it.step(key));
        let estimate_ms = step.map_or(0, |it| it.spec.estimate_ms).max(1);
        100_000.0 / (f64::from(estimate_ms) * self.remote_run_time_factor(key))
    }
}
