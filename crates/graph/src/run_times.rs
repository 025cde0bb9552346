//! Run times of job classes, learned from tasks that completed.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_schema::ids;

/// Run time assumed before any task of a class has completed.
const UNKNOWN_RUN_TIME: Duration = Duration::from_secs(5);

/// Weight of the newest run in the moving mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// Number of runs after which a mean counts as known; run times spread by up to half of their mean.
const MIN_KNOWN_RUNS: u32 = 8;

#[derive(Clone, Copy, Debug, Default)]
struct RunMean {
    mean: Duration,
    n_runs: u32,
}

/// Mean run times by class.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    means: BTreeMap<ids::ClassName, RunMean>,
}

impl RunTimes {
    /// Adds the run time of a completed task.
    pub fn observe(&mut self, class: &ids::ClassName, took: Duration) {
        let mean = self.means.entry(class.clone()).or_default();
        mean.n_runs += 1;
        // The first runs are averaged with equal weights, since the moving mean would approach their level
        // slowly.
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(mean.n_runs));
        mean.mean = mean.mean.mul_f64(1.0 - weight) + took.mul_f64(weight);
    }

    /// Mean run time of a class; 5 s if no task of it has completed.
    pub fn mean(&self, class: &str) -> Duration {
        self.means.get(class).map_or(UNKNOWN_RUN_TIME, |it| it.mean)
    }

    /// Mean run time of a class, once enough of its runs were observed.
    pub fn known_mean(&self, class: &str) -> Option<Duration> {
        self.means.get(class).filter(|it| it.n_runs >= MIN_KNOWN_RUNS).map(|it| it.mean)
    }
}
