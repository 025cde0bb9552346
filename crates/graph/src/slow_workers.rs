//! Detection of slow workers, and moves of urgent tasks off them.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::pace;
use crate::preemption;
use crate::stop_reason;
use crate::task_key;

/// A slow worker gets no new tasks for this long after the last slow reading; the next tasks then show
/// whether it is still slow.
const SLOW_PAUSE: Duration = Duration::from_millis(2_500);

/// An urgent unit moves off a slow worker only within this time after its start. A later move would not
/// end sooner, as workers are slow for a limited time.
const MAX_AGE_TO_MOVE: Duration = Duration::from_millis(1_800);

/// Number of attempts after which an urgent unit is not moved any more.
const MAX_ATTEMPTS_TO_MOVE: u32 = 3;

/// Minimum number of siblings with a known pace for their median to be used.
const MIN_SIBLINGS: usize = 2;

impl core::PoolCore {
    /// Marks a worker as slow if the pace of the tasks on it shows so and the pool can do without it.
    pub(crate) fn detect_slow_worker(&mut self, worker: &ids::WorkerId, now: Duration) {
        let Some(record) = self.workers.get(worker) else { return };
        let verdicts = record.runs.iter().map(|it| self.pace_of(*it)).collect::<Vec<_>>();
        // One task at its usual pace is proof that the worker is not slow. A slow task alone
        // does not prove the opposite: a gang is as slow as its slowest member, on whichever worker that
        // runs.
        let is_slow = verdicts.contains(&pace::PaceVerdict::Slow)
            && !verdicts.contains(&pace::PaceVerdict::Normal);
        let can_mark_slow = is_slow && self.can_exclude(worker, |it| now < it.slow_until);
        let Some(record) = self.workers.get_mut(worker) else { return };
        if can_mark_slow {
            if now >= record.slow_until {
                tracing::info!(worker, n_runs = verdicts.len(), "worker is slow");
            }
            record.slow_until = now + SLOW_PAUSE;
        }
    }

    /// Stops urgent tasks whose pace is far too low, so that they start on other workers.
    pub(crate) fn move_urgent_off_slow_workers(&mut self, now: Duration) {
        let keys = self.workers.values().flat_map(|it| it.runs.iter().copied());
        let moving = keys.filter(|it| self.should_move(*it, now)).collect::<BTreeSet<_>>();
        for key in moving {
            tracing::info!(
                job = format_args!("{:016x}", key.graph),
                task = %key,
                "urgent task is moved off a slow worker"
            );
            let worker = self.task_run(key).map(|it| it.worker.clone());
            if let Some(record) = worker.and_then(|it| self.workers.get_mut(&it)) {
                record.slow_until = record.slow_until.max(now + SLOW_PAUSE);
            }
            self.stop_run(key, stop_reason::StopReason::Moved, now);
        }
    }

    fn should_move(&self, key: task_key::TaskKey, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&key.graph) else { return false };
        let Some(run) = self.task_run(key) else { return false };
        let is_running = matches!(run.phase, job::RunPhase::Running { .. });
        if job.priority != preemption::URGENT_PRIORITY
            || !is_running
            || run.attempt >= MAX_ATTEMPTS_TO_MOVE
        {
            return false;
        }
        let is_recent = now <= run.tracked_since + MAX_AGE_TO_MOVE;
        let is_slow = self.pace_of(key) == pace::PaceVerdict::Slow;
        let mean = self.run_times.mean(&job.class);
        let restart_time = self.timing.stop_timeout + mean + mean / 4;
        is_recent && is_slow && run.pace.time_left().is_some_and(|it| it > restart_time)
    }

    fn pace_of(&self, key: task_key::TaskKey) -> pace::PaceVerdict {
        let Some(run) = self.task_run(key) else { return pace::PaceVerdict::Unknown };
        if !matches!(run.phase, job::RunPhase::Running { .. }) {
            return pace::PaceVerdict::Unknown;
        }
        let by_class = pace::UsualPace { siblings: None, class: self.class_pace(key) };
        match run.pace.verdict(by_class) {
            pace::PaceVerdict::Normal => pace::PaceVerdict::Normal,
            // The pace of siblings is the better measure, but costs more to compute.
            verdict => match self.sibling_pace(key) {
                Some(siblings) => {
                    run.pace.verdict(pace::UsualPace { siblings: Some(siblings), ..by_class })
                }
                // A run may be long by its own work, which says nothing about its worker.
                None if self.scheduling.move_late_runs => {
                    run.pace.verdict(pace::UsualPace::default())
                }
                None => verdict,
            },
        }
    }

    /// Mean pace of the class of a run, in percent per second.
    pub(crate) fn class_pace(&self, key: task_key::TaskKey) -> Option<f64> {
        let job = self.jobs.get(&key.graph)?;
        let mean = self.run_times.known_mean(&job.class)?.mul_f64(self.remote_run_time_factor(key));
        Some(100.0 / mean.as_secs_f64().max(0.001))
    }

    /// Factor by which a run takes longer on its worker: above 1 if the worker is remote from the
    /// task's data.
    pub(crate) fn remote_run_time_factor(&self, key: task_key::TaskKey) -> f64 {
        let is_remote = self.task_run(key).is_some_and(|it| it.is_remote);
        if is_remote { self.timing.remote_factor } else { 1.0 }
    }

    /// Median pace of the other tasks of the step, in percent per second.
    pub(crate) fn sibling_pace(&self, key: task_key::TaskKey) -> Option<f64> {
        let step = self.jobs.get(&key.graph)?.step(key)?;
        let others = step.tasks.iter().enumerate().filter(|(it, _)| *it != key.task as usize);
        let runs = others.filter_map(|(_, it)| it.run.as_ref());
        let mut paces = runs.filter_map(|it| it.pace.latest()).collect::<Vec<_>>();
        paces.sort_by(f64::total_cmp);
        (paces.len() >= MIN_SIBLINGS).then(|| paces[paces.len() / 2])
    }
}
