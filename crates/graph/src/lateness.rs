//! Whether a unit is forecast to end too late for its job's objective.

use std::time::Duration;

use crate::core;
use crate::forecast;
use crate::job;
use crate::objective;
use crate::prospect;
use crate::task_key;

/// Share of its value that a late job usually keeps, until it is worth nothing.
const LATE_VALUE: f64 = 0.2;

/// A unit that is forecast to end too late for its job to be in time.
#[derive(Clone, Debug)]
pub(crate) struct LateUnit {
    pub(crate) unit: task_key::UnitKey,
    pub(crate) priority: u32,
    pub(crate) forecast: forecast::RunForecast,
    /// Time by which the unit has to end for its job to be in time.
    pub(crate) due_at: Duration,
    /// Time by which the unit has to end for its job to be worth anything.
    expires_at: Duration,
    /// Steps in the longest chain of the job.
    n_steps: u32,
    pub(crate) n_members: usize,
    /// Work of the longest member.
    pub(crate) longest: Duration,
    /// Members that are late because of their workers. There may be none, if the unit waited for long.
    pub(crate) slow_members: Vec<task_key::TaskKey>,
    /// Age of the oldest reading in the forecast.
    pub(crate) reading_age: Duration,
    /// When the first member began to run.
    pub(crate) began_at: Duration,
    /// Share of the unit's work that a checkpoint contains.
    pub(crate) saved: f64,
    pub(crate) n_moves: u32,
    pub(crate) attempts_left: u32,
    /// When a move of this run was last considered; `None` before the first time.
    pub(crate) tried_at: Option<Duration>,
}

impl LateUnit {
    /// Time that each member has worked in vain if the unit is stopped.
    pub(crate) fn discarded(&self, now: Duration) -> Duration {
        if self.saved > 0.0 { Duration::ZERO } else { now.saturating_sub(self.began_at) }
    }

    /// What the caller gains if the job is in time, as the work of the job that has the same value.
    pub(crate) fn gain(&self, now: Duration) -> Duration {
        let is_worthless = now + self.forecast.ends_in > self.expires_at;
        let kept = if is_worthless { 0.0 } else { LATE_VALUE };
        (self.forecast.work * self.n_steps).mul_f64(1.0 - kept)
    }
}

impl core::PoolCore {
    /// The unit with its lateness, if it is forecast to be late by more than the error of the forecast. The
    /// objective follows from the unit's own work: a long job is not late for being long.
    pub(crate) fn late_unit(
        &self,
        unit: task_key::UnitKey,
        members: &[forecast::MemberForecast],
        now: Duration,
    ) -> Option<LateUnit> {
        let job = self.jobs.get(&unit.graph)?;
        let class = self.class_with_objective(job)?;
        let step = job.steps.get(unit.step as usize)?;
        let forecast = forecast::unit_forecast(members)?;
        let chain = objective::StepChain::of_job(job);
        let objective = objective::objective(class, chain, forecast.work);
        let rest = forecast.work * objective::steps_after(&job.steps, unit.step as usize);
        let due_at = (job.admitted_at + objective).saturating_sub(rest);
        if now + forecast.ends_in <= due_at + forecast.ends_in.mul_f64(forecast.error) {
            return None;
        }
        let keys = members.iter().map(|it| it.key);
        let tasks = keys.filter_map(|it| job.task(it)).collect::<Vec<_>>();
        let first = tasks.first()?;
        let failures = if step.spec.gang { &step.gang_failures } else { &first.failures };
        let is_slow =
            |it: &&forecast::MemberForecast| now + it.ends_in > due_at && it.is_slow(forecast.work);
        let slow_members = members.iter().filter(is_slow);
        // A member on a worker that is slower than known seems to have more work.
        let longest = members.iter().filter(|it| !is_slow(it)).map(|it| it.work).max();
        Some(LateUnit {
            unit,
            priority: job.priority,
            forecast,
            due_at,
            expires_at: (job.admitted_at + objective * prospect::EXPIRED_AFTER)
                .saturating_sub(rest),
            n_steps: chain.n_steps,
            n_members: members.len(),
            longest: longest.unwrap_or_default().max(forecast.work),
            slow_members: slow_members.map(|it| it.key).collect(),
            reading_age: members.iter().map(|it| it.reading_age).max().unwrap_or_default(),
            began_at: tasks.iter().filter_map(|it| confirmed_at(it)).min().unwrap_or(now),
            saved: saved_share(step, &tasks),
            n_moves: tasks.iter().map(|it| it.n_moves).max().unwrap_or_default(),
            attempts_left: job.max_attempts.saturating_sub(failures.count()),
            tried_at: first.run.as_ref().and_then(|it| it.move_tried_at),
        })
    }
}

/// When a worker confirmed the run of a task.
fn confirmed_at(task: &job::TaskRecord) -> Option<Duration> {
    task.run.as_ref()?.phase.confirmed_at()
}

/// Share of the work of the tasks that is certainly saved in a checkpoint. The members of a gang all resume from
/// the checkpoint of one of them.
fn saved_share(step: &job::StepRecord, tasks: &[&job::TaskRecord]) -> f64 {
    if !step.spec.saves || !tasks.iter().any(|it| it.checkpoint.is_some()) {
        return 0.0;
    }
    let percents = tasks.iter().filter_map(|it| it.run.as_ref()).map(|it| it.percent);
    f64::from(percents.min().unwrap_or_default()) / 100.0
}
