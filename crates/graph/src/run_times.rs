//! How long tasks of a class take, learned from those that ended well.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_schema::ids;

/// Run time assumed before any task of a class has ended.
const UNKNOWN_RUN: Duration = Duration::from_secs(5);

/// Weight of the newest run in the moving mean.
const NEWEST_SHARE: f64 = 0.1;

/// Runs from which on a mean is believed: their spread is up to half of it.
const N_KNOWN: u32 = 8;

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
    /// Takes in a run that ended well.
    pub fn observe(&mut self, class: &ids::ClassName, took: Duration) {
        let mean = self.means.entry(class.clone()).or_default();
        mean.n_runs += 1;
        // The plain mean at first, which a moving one would take long to come up to.
        let share = NEWEST_SHARE.max(1.0 / f64::from(mean.n_runs));
        mean.mean = mean.mean.mul_f64(1.0 - share) + took.mul_f64(share);
    }

    /// Mean run time of a class.
    pub fn mean(&self, class: &str) -> Duration {
        self.means.get(class).map_or(UNKNOWN_RUN, |it| it.mean)
    }

    /// Mean run time of a class of which enough runs were seen.
    pub fn known_mean(&self, class: &str) -> Option<Duration> {
        self.means.get(class).filter(|it| it.n_runs >= N_KNOWN).map(|it| it.mean)
    }
}
