//! What else happened when a worker was lost: other losses at about the same time, how long its tasks were at risk,
//! and the probability that whatever caused the other losses explains this one.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::loss_history;
use crate::task_key;

/// The core records the time at intervals: the first missed exchange with a worker may have been up to
/// this long after the recorded time.
const MISS_SLACK: Duration = Duration::from_millis(100);

/// Other losses at about the time at which a worker was lost.
pub(crate) struct ConcurrentLosses<'a> {
    /// Last contact with the lost worker.
    last_contact_at: Duration,
    /// Latest time at which the worker can have been lost.
    pub(crate) lost_by: Duration,
    /// Tasks on each of the other workers that fell silent at about the same time.
    silent: Vec<&'a BTreeSet<task_key::TaskKey>>,
}

impl core::PoolCore {
    /// Number of workers on which the unit of a task runs.
    pub(crate) fn n_unit_workers(&self, key: task_key::TaskKey) -> usize {
        let unit = self.jobs.get(&key.graph).and_then(|it| it.unit_of(key));
        let tasks = unit.map(|it| self.unit_tasks(it)).unwrap_or_default();
        let workers = tasks.iter().filter_map(|it| Some(&self.task_run(*it)?.worker));
        workers.collect::<BTreeSet<_>>().len()
    }

    /// Collects the other workers that fell silent at about the same time, except those whose loss is
    /// explained by a suspect.
    pub(crate) fn concurrent_losses(
        &self,
        worker: &ids::WorkerId,
        now: Duration,
    ) -> ConcurrentLosses<'_> {
        let record = self.workers.get(worker);
        let last_contact_at = record.map_or(now, |it| it.last_contact_at);
        let silent_since =
            record.filter(|it| it.n_missed_calls > 0).map(|it| it.silent_since + MISS_SLACK);
        let lost_by = silent_since.map_or(now, |it| it.min(now));
        let silent = self.workers.iter().filter(|(id, it)| {
            *id != worker
                && it.n_missed_calls > 0
                && loss_history::may_share_cause(it.last_contact_at, last_contact_at)
                && !self.has_suspect_alone(it.runs.iter().copied())
        });
        ConcurrentLosses {
            last_contact_at,
            lost_by,
            silent: silent.map(|(_, it)| &it.runs).collect(),
        }
    }

    /// Probability that a task that runs for `exposure` loses its worker to whatever caused the other
    /// losses.
    pub(crate) fn background_probability(
        &self,
        concurrent: &ConcurrentLosses,
        key: task_key::TaskKey,
        exposure: Duration,
        now: Duration,
    ) -> f64 {
        let silent = concurrent.silent.iter().filter(|it| !it.contains(&key));
        let context = loss_history::LossContext {
            now,
            last_contact_at: concurrent.last_contact_at,
            exposure,
            n_workers: self.workers.len(),
            n_silent: silent.count(),
            n_own_losses: self.n_losses_before(key),
        };
        self.loss_history.background_probability(key, context)
    }

    /// Share of the expected run time of a task that had passed at the loss.
    pub(crate) fn run_share_at_loss(
        &self,
        concurrent: &ConcurrentLosses,
        key: task_key::TaskKey,
        now: Duration,
    ) -> f64 {
        let Some(run) = self.task_run(key) else { return 1.0 };
        let ran = concurrent.lost_by.saturating_sub(run.tracked_since).as_secs_f64();
        let exposure = self.exposure(key, now).as_secs_f64();
        if exposure > 0.0 { (ran / exposure).min(1.0) } else { 1.0 }
    }

    /// Probability that other losses explain the loss of a task's worker at an unknown time.
    pub(crate) fn background_probability_untimed(
        &self,
        key: task_key::TaskKey,
        now: Duration,
    ) -> f64 {
        let silent = self.workers.values().filter(|it| it.n_missed_calls > 0);
        let concurrent = ConcurrentLosses {
            last_contact_at: now,
            lost_by: now,
            silent: silent.map(|it| &it.runs).collect(),
        };
        self.background_probability(&concurrent, key, self.exposure(key, now), now)
    }

    /// Number of workers lost under a task before its current attempt.
    fn n_losses_before(&self, key: task_key::TaskKey) -> usize {
        let Some(task) = self.jobs.get(&key.graph).and_then(|it| it.task(key)) else { return 0 };
        let losses = task.suspicion.losses().iter();
        losses.filter(|it| it.attempt != task.attempt).count()
    }

    /// How long a task is at risk of a loss: the longest of its run time as projected from its progress,
    /// the mean run time of its class, and the time that it ran. With the shortest of these, long tasks
    /// would be taken for the cause, as they lose their workers most often.
    pub(crate) fn exposure(&self, key: task_key::TaskKey, now: Duration) -> Duration {
        let class = self.jobs.get(&key.graph).map(|it| it.class.as_str()).unwrap_or_default();
        let usual = self.run_times.mean(class);
        let Some(run) = self.task_run(key) else { return usual };
        let pace = run.pace.latest().filter(|it| *it > 0.0);
        let projected = pace.map_or(Duration::ZERO, |it| Duration::from_secs_f64(100.0 / it));
        projected.max(usual).max(now.saturating_sub(run.tracked_since))
    }

    /// Whether only one unit runs there, and is a suspect.
    pub(crate) fn has_suspect_alone(
        &self,
        mut runs: impl Iterator<Item = task_key::TaskKey>,
    ) -> bool {
        let unit_of = |it: task_key::TaskKey| self.jobs.get(&it.graph)?.unit_of(it);
        let Some(first) = runs.next() else { return false };
        let unit = unit_of(first);
        unit.is_some_and(|it| self.has_suspect(it)) && runs.all(|it| unit_of(it) == unit)
    }
}
