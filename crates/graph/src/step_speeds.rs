//! Weighted samples of the speeds of workers, from steps of any size.
//!
//! Each worker of a step is compared with the other workers of the step, as far as their speeds are known. The
//! weight of a sample follows the number of its runs, the exactness of their paces and that of the comparison.

use std::collections::BTreeMap;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::pace;
use crate::task_key;
use crate::work_variation;
use crate::worker_speed;

/// Error of a gain, in percent: progress is listed in whole percent at both readings.
const GAIN_ERROR: f64 = 0.41;

/// Gain that is assumed of a pace that is not measured from the beginning, in percent.
const LEAST_GAIN: f64 = 4.0;

/// A later reading replaces the sample of a run if the exactness of its pace rises by this much.
const MIN_EXACTNESS_RISE: f64 = 0.1;

/// Up to this many workers of a step, each is compared anew with each new reading.
const MAX_COMPARED_WORKERS: usize = 16;

/// Exactness of a pace of which only a lower bound is known.
const BOUND_EXACTNESS: f64 = 0.5;

/// Whether the pace of a run is known more exactly than when it was last sampled.
pub(crate) fn has_new_sample(run: &job::TaskRun) -> bool {
    let Some(reading) = SpeedReading::of(run) else { return false };
    run.speed_sample.is_none_or(|it| reading.exactness >= it.exactness + MIN_EXACTNESS_RISE)
}

/// The pace of a run as a logarithm, and its exactness from 0 to 1.
#[derive(Clone, Copy, Debug)]
struct SpeedReading {
    log_pace: f64,
    exactness: f64,
    is_bound: bool,
}

impl SpeedReading {
    /// Variance of the pace by the error of the reading, in units of the usual variance of the work.
    fn error_variance(&self) -> f64 {
        1.0 / self.exactness - 1.0
    }

    fn of(run: &job::TaskRun) -> Option<SpeedReading> {
        let measured = run.pace.measured()?;
        let (pace, exactness, is_bound) = match measured {
            pace::MeasuredPace::AtLeast(pace) => (pace, BOUND_EXACTNESS, true),
            // A run that restores a checkpoint stands still at first.
            pace::MeasuredPace::Exact(latest) => match run.pace.mean() {
                Some(mean) if run.is_from_scratch => (mean.pace, exactness_of(mean.gained), false),
                _ => (latest, exactness_of(LEAST_GAIN), false),
            },
        };
        (pace > 0.0).then(|| SpeedReading { log_pace: pace.ln(), exactness, is_bound })
    }
}

fn exactness_of(gained: f64) -> f64 {
    let error = GAIN_ERROR / gained / work_variation::USUAL_VARIATION;
    1.0 / (1.0 + error * error)
}

/// Runs of a step on one worker.
#[derive(Clone, Debug, Default)]
struct WorkerRuns {
    /// Tasks and the readings of their runs.
    readings: Vec<(usize, SpeedReading)>,
    log_factor: f64,
    variance: f64,
}

impl WorkerRuns {
    /// Mean logarithm of the pace that the runs would have on a worker of the usual speed.
    fn corrected(&self) -> f64 {
        let sum = self.readings.iter().map(|(_, it)| it.log_pace).sum::<f64>();
        sum / self.readings.len() as f64 - self.log_factor
    }

    /// Variance of the mean pace of the runs, whose work varies by `work_variance`.
    fn own_variance(&self, work_variance: f64) -> f64 {
        let precision = |it: &SpeedReading| 1.0 / (work_variance + it.error_variance());
        1.0 / self.readings.iter().map(|(_, it)| precision(it)).sum::<f64>()
    }

    /// Variance of the work that a run shows beside the other runs on the worker, if there are any.
    fn variance_beside_others(&self, task: usize) -> Option<f64> {
        let own = self.readings.iter().find(|(it, _)| *it == task).map(|(_, it)| it)?;
        let others = self.readings.iter().filter(|(it, _)| *it != task).map(|(_, it)| it);
        let others = others.collect::<Vec<_>>();
        if others.is_empty() || own.is_bound || others.iter().any(|it| it.is_bound) {
            return None;
        }
        let n_others = others.len() as f64;
        let mean = others.iter().map(|it| it.log_pace).sum::<f64>() / n_others;
        let limit = worker_speed::MAX_FACTOR.ln();
        let difference = (own.log_pace - mean).clamp(-limit, limit);
        let share = difference / work_variation::USUAL_VARIATION;
        let variance = share * share / (1.0 + 1.0 / n_others);
        Some((variance - own.error_variance()).max(0.0))
    }
}

/// The usual pace by the other workers of a step.
#[derive(Clone, Copy, Debug)]
struct UsualPace {
    log_pace: f64,
    variance: f64,
}

/// Comparison of the runs on a worker with the usual pace.
#[derive(Clone, Copy, Debug)]
struct PaceComparison {
    /// Logarithm of the usual pace.
    usual: f64,
    /// Variance of both paces together, in units of the usual variance of the work.
    variance: f64,
}

impl core::PoolCore {
    /// Samples the runs of a step whose paces have become known, or known more exactly.
    pub(crate) fn sample_step_speeds(&mut self, key: task_key::TaskKey) {
        let by_worker = self.comparable_runs(key);
        let Some(class) = self.jobs.get(&key.graph).map(|it| it.class.clone()) else { return };
        self.observe_work_variation(key, &class, &by_worker);
        if by_worker.len() < 2 {
            return;
        }
        let work_variance = self.speeds.variations.variance(&class);
        // Each comparison goes over all workers of the step, so that in a wide step only that of the run is made.
        let own_worker = self.task_run(key).map(|it| it.worker.clone());
        let is_wide = by_worker.len() > MAX_COMPARED_WORKERS;
        for (worker, runs) in
            by_worker.iter().filter(|(it, _)| !is_wide || own_worker.as_ref() == Some(*it))
        {
            let others = by_worker.iter().filter(|(it, _)| *it != worker).map(|(_, it)| it);
            let others = others.collect::<Vec<_>>();
            let Some(usual) = usual_pace(&others, work_variance) else { continue };
            let variance = runs.own_variance(work_variance) + usual.variance;
            self.sample_worker(
                key,
                worker,
                runs,
                PaceComparison { usual: usual.log_pace, variance },
            );
        }
    }

    /// Compares a run with the other runs of its step on the same worker, once.
    fn observe_work_variation(
        &mut self,
        key: task_key::TaskKey,
        class: &ids::ClassName,
        by_worker: &BTreeMap<ids::WorkerId, WorkerRuns>,
    ) {
        let Some(run) = self.task_run(key) else { return };
        if run.is_speed_sampled {
            return;
        }
        let runs = by_worker.get(&run.worker);
        let Some(variance) = runs.and_then(|it| it.variance_beside_others(key.task as usize))
        else {
            return;
        };
        self.speeds.variations.observe(class, variance);
        if let Some(run) = self.task_record_mut(key).and_then(|it| it.run.as_mut()) {
            run.is_speed_sampled = true;
        }
    }

    fn sample_worker(
        &mut self,
        key: task_key::TaskKey,
        worker: &ids::WorkerId,
        runs: &WorkerRuns,
        comparison: PaceComparison,
    ) {
        let Some(step) = self.jobs.get_mut(&key.graph).and_then(|it| it.step_mut(key)) else {
            return;
        };
        let Some(record) = self.workers.get_mut(worker) else { return };
        // All runs on the worker share the comparison and its weight.
        let weight = 1.0 / (comparison.variance * runs.readings.len() as f64);
        for (task, reading) in &runs.readings {
            let Some(run) = step.tasks.get_mut(*task).and_then(|it| it.run.as_mut()) else {
                continue;
            };
            let limit = worker_speed::MAX_FACTOR.ln();
            let log_factor = (reading.log_pace - comparison.usual).clamp(-limit, limit);
            if reading.is_bound && log_factor <= runs.log_factor {
                continue;
            }
            let exactness = reading.exactness;
            let sample = worker_speed::SpeedSample { log_factor, weight, exactness };
            if run.speed_sample.is_some_and(|it| it.weight >= sample.weight) {
                continue;
            }
            record.speed.replace(run.speed_sample.replace(sample), sample);
        }
    }

    /// The runs of a step with known paces, by worker; none if distance may have slowed them.
    fn comparable_runs(&self, key: task_key::TaskKey) -> BTreeMap<ids::WorkerId, WorkerRuns> {
        let mut by_worker = BTreeMap::<ids::WorkerId, WorkerRuns>::new();
        let Some(step) = self.jobs.get(&key.graph).and_then(|it| it.step(key)) else {
            return by_worker;
        };
        if step.tasks.len() < 2 || self.spans_racks(step) {
            return by_worker;
        }
        for (task, record) in step.tasks.iter().enumerate() {
            let Some(run) = record.run.as_ref().filter(|it| !it.is_remote) else { continue };
            let Some(worker) = self.workers.get(&run.worker) else { continue };
            let is_near = step.spec.rack.as_ref().is_none_or(|it| *it == worker.place.rack);
            let Some(reading) = SpeedReading::of(run).filter(|_| is_near) else { continue };
            let runs = by_worker.entry(run.worker.clone()).or_insert_with(|| WorkerRuns {
                readings: Vec::new(),
                log_factor: worker.speed.log_factor(),
                variance: worker.speed.variance(),
            });
            runs.readings.push((task, reading));
        }
        by_worker
    }

    /// Whether a step is a gang with members in more than one rack.
    fn spans_racks(&self, step: &job::StepRecord) -> bool {
        let runs = step.tasks.iter().filter_map(|it| it.run.as_ref());
        let mut racks = runs.filter_map(|it| self.workers.get(&it.worker)).map(|it| &it.place.rack);
        let Some(first) = racks.next() else { return false };
        step.spec.gang && racks.any(|it| it != first)
    }
}

/// Weighted mean of the corrected paces of workers. Each counts within `MAX_FACTOR` of the median only, as a
/// few runs take several times as long for reasons of their own.
fn usual_pace(others: &[&WorkerRuns], work_variance: f64) -> Option<UsualPace> {
    let exact = others.iter().filter(|it| it.readings.iter().all(|(_, it)| !it.is_bound));
    let precision = |it: &WorkerRuns| 1.0 / (it.own_variance(work_variance) + it.variance);
    let exact = exact.map(|it| (it.corrected(), precision(it)));
    let mut exact = exact.collect::<Vec<_>>();
    exact.sort_by(|one, other| one.0.total_cmp(&other.0));
    let (median, _) = *exact.get(exact.len() / 2)?;
    let limit = worker_speed::MAX_FACTOR.ln();
    let weight = exact.iter().map(|(_, weight)| weight).sum::<f64>();
    let clamped =
        exact.iter().map(|(it, weight)| weight * it.clamp(median - limit, median + limit));
    Some(UsualPace { log_pace: clamped.sum::<f64>() / weight, variance: 1.0 / weight })
}
