//! Forecasts of when runs end, from their pace and what is known of their workers.

use std::time::Duration;

use crate::core;
use crate::pace;
use crate::task_key;

/// Paces that have to be measured of a run that did not begin under this scheduler from the start of its work.
/// The first one counts what the checkpoint already contained.
const MIN_RESUMED_PACES: u32 = 2;

/// Relative error of the work of a run that had completed at its first reading.
const COMPLETED_ERROR: f64 = 0.5;

/// When a run is expected to end, and how much work it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunForecast {
    /// Time from now to the end; of a gang's member, to the end of the whole gang.
    pub ends_in: Duration,
    /// Time that the whole task takes on a worker of the usual speed, near its data.
    pub work: Duration,
    /// Relative error of both.
    pub error: f64,
}

/// Forecast of one member of a unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct MemberForecast {
    /// Task of the member.
    pub(crate) key: task_key::TaskKey,
    /// Time from now to the end of its own work.
    pub(crate) ends_in: Duration,
    /// Age of the reading on which the forecast is based.
    pub(crate) reading_age: Duration,
    /// Share of its work that was left at that reading.
    left: f64,
    /// Time that its whole work takes on a worker of the usual speed.
    pub(crate) work: Duration,
    error: f64,
}

impl MemberForecast {
    /// Whether the member takes far longer for the rest than it would on a worker of the usual speed, if its
    /// whole work is `work`.
    pub(crate) fn is_slow(&self, work: Duration) -> bool {
        (self.ends_in + self.reading_age).mul_f64(pace::NORMAL_SHARE) > work.mul_f64(self.left)
    }
}

impl core::PoolCore {
    /// Forecasts the end of a run; of a gang's member, the end of the whole gang. `None` while the pace of the
    /// run, or of any member, is unknown or zero, or the run is being stopped.
    pub fn forecast(&self, key: task_key::TaskKey, now: Duration) -> Option<RunForecast> {
        let unit = self.jobs.get(&key.graph)?.unit_of(key)?;
        unit_forecast(&self.member_forecasts(unit, now)?)
    }

    /// Forecasts of all members of a unit; `None` if one of them has none.
    pub(crate) fn member_forecasts(
        &self,
        unit: task_key::UnitKey,
        now: Duration,
    ) -> Option<Vec<MemberForecast>> {
        let keys = self.unit_tasks(unit);
        keys.into_iter().map(|it| self.member_forecast(it, now)).collect()
    }

    fn member_forecast(&self, key: task_key::TaskKey, now: Duration) -> Option<MemberForecast> {
        let run = self.task_run(key)?;
        let confirmed_at = run.phase.confirmed_at()?;
        let worker = self.workers.get(&run.worker).filter(|it| it.is_responsive())?;
        let factor = worker.speed.factor() / self.remote_run_time_factor(key);
        let reading_age = now.saturating_sub(run.percent_changed_at);
        if run.percent >= 100 {
            let worked = run.percent_changed_at.saturating_sub(confirmed_at);
            let (work, error) = completed_work(&run.pace, worked);
            let work = work.mul_f64(factor);
            let ends_in = Duration::ZERO;
            return Some(MemberForecast { key, ends_in, reading_age, left: 0.0, work, error });
        }
        let gauge = run.pace.gauge()?;
        if !run.is_from_scratch && gauge.n_paces < MIN_RESUMED_PACES {
            return None;
        }
        let left = f64::from(100 - run.percent) / gauge.latest;
        // The first pace of a resumed run is not its own, and may be the best one.
        let own = if run.is_from_scratch { gauge.undisturbed } else { gauge.latest };
        Some(MemberForecast {
            key,
            ends_in: Duration::from_secs_f64(left).saturating_sub(reading_age),
            reading_age,
            left: f64::from(100 - run.percent) / 100.0,
            work: Duration::from_secs_f64(100.0 / own).mul_f64(factor),
            error: gauge.error,
        })
    }
}

/// Forecast of a unit from those of its members: it ends with the last of them. Its work is the median of
/// theirs, as a member on a worker that is slower than known seems to have more work.
pub(crate) fn unit_forecast(members: &[MemberForecast]) -> Option<RunForecast> {
    let last = members.iter().max_by_key(|it| it.ends_in)?;
    let work = lower_median(members.iter().map(|it| it.work).collect());
    let spread = lower_median(members.iter().map(|it| it.work.abs_diff(work)).collect());
    let spread = spread.as_secs_f64() / work.as_secs_f64().max(0.001);
    let spread = spread / (members.len() as f64).sqrt();
    Some(RunForecast { ends_in: last.ends_in, work, error: last.error.max(spread).min(1.0) })
}

/// Work of a run that has completed, and the relative error: by its pace if that was measured, or else at most
/// all of the time that it `worked`.
fn completed_work(pace: &pace::RunPace, worked: Duration) -> (Duration, f64) {
    if let Some(gauge) = pace.gauge() {
        return (Duration::from_secs_f64(100.0 / gauge.undisturbed), gauge.error);
    }
    let at_least = match pace.measured() {
        Some(pace::MeasuredPace::AtLeast(pace)) if pace > 0.0 => {
            Duration::from_secs_f64(100.0 / pace)
        }
        _ => worked,
    };
    (at_least, COMPLETED_ERROR)
}

/// The median; of an even number of times, the lower of the two in the middle.
fn lower_median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times.get(times.len().saturating_sub(1) / 2).copied().unwrap_or_default()
}
