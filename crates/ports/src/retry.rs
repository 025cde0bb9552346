//! When a failed call may be made again.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// How failed calls are made again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries allowed for each call on average.
    pub ratio: f64,
    /// Retries allowed in a row after a quiet time.
    pub burst: f64,
    /// Longest wait before the first retry; doubles with each.
    pub first_wait: Duration,
    /// Longest wait before any retry.
    pub longest_wait: Duration,
    /// Seed of the jitter; instances need different ones.
    pub seed: u64,
}

/// Tokens that calls earn and retries spend. A store that fails for everybody would otherwise get
/// several times the usual load just when it recovers.
#[derive(Debug)]
pub struct RetryBudget {
    config: RetryConfig,
    state: Mutex<BudgetState>,
}

/// Waits between the attempts of one call: exponential, with full jitter.
#[derive(Debug)]
pub struct RetryWaits {
    waits: ExponentialBackoff,
}

#[derive(Debug)]
struct BudgetState {
    tokens: f64,
    rng: StdRng,
}

impl Default for RetryConfig {
    fn default() -> RetryConfig {
        RetryConfig {
            ratio: 0.2,
            burst: 20.0,
            first_wait: Duration::from_millis(50),
            longest_wait: Duration::from_secs(1),
            seed: 0,
        }
    }
}

impl RetryBudget {
    /// A full budget.
    pub fn new(config: RetryConfig) -> RetryBudget {
        let rng = StdRng::seed_from_u64(config.seed);
        let state = Mutex::new(BudgetState { tokens: config.burst, rng });
        RetryBudget { config, state }
    }

    /// Counts a first attempt.
    pub fn earn(&self) {
        let mut state = self.lock();
        state.tokens = (state.tokens + self.config.ratio).min(self.config.burst);
    }

    /// Takes what one retry costs, if it is there, and tells how long to wait before it.
    pub fn spend(&self, waits: &mut RetryWaits) -> Option<Duration> {
        let longest = waits.waits.next()?;
        let mut state = self.lock();
        if state.tokens < 1.0 {
            return None;
        }
        state.tokens -= 1.0;
        Some(longest.mul_f64(state.rng.random::<f64>()))
    }

    /// The waits of a new call.
    pub fn waits(&self) -> RetryWaits {
        let builder = ExponentialBuilder::new()
            .with_min_delay(self.config.first_wait)
            .with_max_delay(self.config.longest_wait)
            .without_max_times();
        RetryWaits { waits: builder.build() }
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
