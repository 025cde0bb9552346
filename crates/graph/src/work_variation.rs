//! How much the work of tasks of one step differs, by class, learned from runs that share a worker.
//!
//! Runs of a step on the same worker differ in pace only as far as their work does. Where it does not, a single
//! comparison tells the speeds of two workers.

use std::collections::BTreeMap;

use almondpass_schema::ids;

/// Usual relative variation of the work of tasks of one step. Variances in this module and in `step_speeds` are
/// multiples of its square.
pub(crate) const USUAL_VARIATION: f64 = 0.2;

/// Least variance, in units of the usual one.
const MIN_VARIANCE: f64 = 0.02;

/// Number of comparisons at the usual variance that are assumed before the first one.
const N_ASSUMED: f64 = 4.0;

/// Older comparisons count less from this number on.
const MAX_COMPARISONS: f64 = 50.0;

/// Sum of the variances observed, and their number.
#[derive(Clone, Copy, Debug, Default)]
struct VariationSum {
    sum: f64,
    n_comparisons: f64,
}

/// Variance of the work within a step, by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkVariations {
    classes: BTreeMap<ids::ClassName, VariationSum>,
}

impl WorkVariations {
    /// Records the variance that one comparison of two runs on the same worker showed, in units of the usual
    /// one.
    pub(crate) fn observe(&mut self, class: &ids::ClassName, variance: f64) {
        let it = self.classes.entry(class.clone()).or_default();
        if it.n_comparisons >= MAX_COMPARISONS {
            let kept = (MAX_COMPARISONS - 1.0) / it.n_comparisons;
            it.sum *= kept;
            it.n_comparisons *= kept;
        }
        it.sum += variance;
        it.n_comparisons += 1.0;
    }

    /// Variance of the logarithm of the work of a class's tasks, in units of the usual one.
    pub(crate) fn variance(&self, class: &str) -> f64 {
        let it = self.classes.get(class).copied().unwrap_or_default();
        ((N_ASSUMED + it.sum) / (N_ASSUMED + it.n_comparisons)).max(MIN_VARIANCE)
    }
}
