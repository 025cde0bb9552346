//! How long tasks of a class take, learned from those that ended well.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_schema::ids;

/// Run time assumed before any task of a class has ended.
const UNKNOWN_RUN: Duration = Duration::from_secs(5);

/// Weight of the newest run in the moving mean.
const NEWEST_SHARE: f64 = 0.1;

/// Mean run times by class.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    means: BTreeMap<ids::ClassName, Duration>,
}

impl RunTimes {
    /// Takes in a run that ended well.
    pub fn observe(&mut self, class: &ids::ClassName, took: Duration) {
        match self.means.get_mut(class) {
            Some(mean) => {
                *mean = mean.mul_f64(1.0 - NEWEST_SHARE) + took.mul_f64(NEWEST_SHARE);
            }
            None => {
                self.means.insert(class.clone(), took);
            }
        }
    }

    /// Mean run time of a class.
    pub fn mean(&self, class: &str) -> Duration {
        self.means.get(class).copied().unwrap_or(UNKNOWN_RUN)
    }
}
