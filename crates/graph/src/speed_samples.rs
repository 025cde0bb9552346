//! Learns the speeds of workers from runs of the same step.

use crate::core;
use crate::job;
use crate::pace;
use crate::task_key;

/// Fewest runs of a step with a known pace by which their workers are compared.
const MIN_RUNS: usize = 4;

impl core::PoolCore {
    /// Compares the runs of a step whose pace is known, each once. The pace of each sibling is corrected by
    /// what is known of its worker: otherwise fast workers that are used together would count as usual.
    pub(crate) fn sample_speeds(&mut self, key: task_key::TaskKey) {
        if self.scheduling.remember_speeds {
            self.sample_step_speeds(key);
            return;
        }
        let Some(step) = self.jobs.get(&key.graph).and_then(|it| it.step(key)) else { return };
        if step.tasks.len() < MIN_RUNS {
            return;
        }
        let runs = step.tasks.iter().filter_map(|it| it.run.as_ref());
        let mut usual = runs.filter_map(|it| self.corrected_pace(it)).collect::<Vec<_>>();
        if usual.len() < MIN_RUNS {
            return;
        }
        usual.sort_by(f64::total_cmp);
        let usual = usual[usual.len() / 2];
        let Some(job) = self.jobs.get_mut(&key.graph) else { return };
        let Some(step) = job.step_mut(key) else { return };
        let runs = step.tasks.iter_mut().filter_map(|it| it.run.as_mut());
        for run in runs.filter(|it| !it.is_speed_sampled) {
            let factor = match run.pace.measured() {
                Some(pace::MeasuredPace::Exact(pace)) => pace / usual,
                Some(pace::MeasuredPace::AtLeast(pace)) => (pace / usual).max(1.0),
                None => continue,
            };
            run.is_speed_sampled = true;
            if let Some(worker) = self.workers.get_mut(&run.worker) {
                worker.speed.observe(factor);
            }
        }
    }

    /// The pace that a run would have on a worker of the usual speed.
    fn corrected_pace(&self, run: &job::TaskRun) -> Option<f64> {
        let pace = match run.pace.measured()? {
            pace::MeasuredPace::Exact(pace) | pace::MeasuredPace::AtLeast(pace) => pace,
        };
        let worker = self.workers.get(&run.worker)?;
        (pace > 0.0).then(|| pace / worker.speed.factor())
    }
}
