//! Early polls of workers with young urgent runs: a forecast that comes in time for a move needs a reading soon
//! after the start.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::pace;
use crate::preemption;
use crate::task_key;

/// Number of early polls in a second, on average and at once. A small instance carries about four times as many
/// polls in all.
const POLLS_PER_SECOND: f64 = 25.0;

/// The early poll is due after this part of the class's mean run time.
const MEAN_PARTS: u32 = 4;

/// Limits the rate of early polls, whatever the size of the pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollBudget {
    n_left: f64,
    refilled_at: Duration,
}

impl Default for PollBudget {
    fn default() -> PollBudget {
        PollBudget { n_left: POLLS_PER_SECOND, refilled_at: Duration::ZERO }
    }
}

impl PollBudget {
    /// Takes one poll from the budget, if there is one.
    fn take(&mut self, now: Duration) -> bool {
        let refill = now.saturating_sub(self.refilled_at).as_secs_f64() * POLLS_PER_SECOND;
        self.n_left = (self.n_left + refill).min(POLLS_PER_SECOND);
        self.refilled_at = now;
        let has_left = self.n_left >= 1.0;
        if has_left {
            self.n_left -= 1.0;
        }
        has_left
    }
}

impl core::PoolCore {
    /// Polls the workers of young urgent runs without a known pace, once for each run.
    pub(crate) fn poll_young_runs(&mut self, now: Duration) {
        for worker in self.workers_due_early(now) {
            if !self.poll_budget.take(now) {
                return;
            }
            self.order_poll(&worker);
            self.moves.counts.n_early_polls += 1;
            let keys = self.workers.get(&worker).map(|it| it.runs.clone()).unwrap_or_default();
            for key in keys {
                let is_due = self.needs_early_poll(key, now);
                let run = self.task_record_mut(key).and_then(|it| it.run.as_mut());
                if let Some(run) = run.filter(|_| is_due) {
                    run.is_polled_early = true;
                }
            }
        }
    }

    fn workers_due_early(&self, now: Duration) -> BTreeSet<ids::WorkerId> {
        let mut due = BTreeSet::new();
        let urgent = self.active_jobs();
        for (graph, job) in urgent.filter(|(_, it)| it.priority == preemption::URGENT_PRIORITY) {
            for (index, step) in job.steps.iter().enumerate() {
                let keys =
                    (0..step.tasks.len()).map(|it| job.task_key(graph, index as u32, it as u32));
                let keys = keys.filter(|it| self.needs_early_poll(*it, now));
                due.extend(keys.filter_map(|it| self.task_run(it)).map(|it| it.worker.clone()));
            }
        }
        due
    }

    fn needs_early_poll(&self, key: task_key::TaskKey, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&key.graph) else { return false };
        let (Some(step), Some(run)) = (job.step(key), self.task_run(key)) else { return false };
        let is_known = run.pace.measured().is_some() || run.percent >= 100;
        if run.is_polled_early || is_known || job.priority != preemption::URGENT_PRIORITY {
            return false;
        }
        let is_responsive = self.workers.get(&run.worker).is_some_and(|it| it.is_responsive());
        let age = self.run_times.mean(&job.class) / MEAN_PARTS;
        let due_at = work_began_at(step, run).map(|it| it + age.max(pace::MIN_READING_INTERVAL));
        is_responsive && due_at.is_some_and(|it| now >= it)
    }
}

/// When a run began to work: a gang works once all its members run. `None` before that.
fn work_began_at(step: &job::StepRecord, run: &job::TaskRun) -> Option<Duration> {
    if !step.spec.gang {
        return run.phase.confirmed_at();
    }
    let members = step.tasks.iter().map(|it| it.run.as_ref()?.phase.confirmed_at());
    members.collect::<Option<Vec<_>>>()?.into_iter().max()
}
