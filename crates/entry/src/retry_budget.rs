//! How many retries are allowed for how many first attempts.

use std::sync::Mutex;

/// Retries allowed per first attempt, in thousandths.
const EARNED_MILLIS: u64 = 100;
/// Cost of one retry, in thousandths.
const RETRY_MILLIS: u64 = 1_000;
/// Most that can be saved up, in thousandths.
const SAVED_MILLIS: u64 = 20_000;

/// Budget that first attempts fill and retries use up.
///
/// When every worker of a hall fails, each request would otherwise be sent several times and
/// multiply the load exactly when there is least room for it. One sees that as more exchanges
/// than requests; with the budget at most a tenth are retries, whatever fails.
#[derive(Debug)]
pub struct RetryBudget {
    saved: Mutex<u64>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: Mutex::new(SAVED_MILLIS) }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn earn(&self) {
        let mut saved = self.saved.lock().unwrap_or_else(|it| it.into_inner());
        *saved = SAVED_MILLIS.min(*saved + EARNED_MILLIS);
    }

    /// Takes one retry, if there is one left.
    pub fn spend(&self) -> bool {
        let mut saved = self.saved.lock().unwrap_or_else(|it| it.into_inner());
        let Some(left) = saved.checked_sub(RETRY_MILLIS) else {
            return false;
        };
        *saved = left;
        true
    }
}
