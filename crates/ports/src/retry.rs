//! Retry budget and backoff of failed calls.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Limits and delays of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries allowed for each call on average.
    pub tokens_per_call: f64,
    /// Most retries that can be saved up, and so be made in a row after a time without retries.
    pub burst: f64,
    /// Longest wait before the first retry; doubles with each further retry.
    pub first_wait: Duration,
    /// Upper bound of the wait before any retry.
    pub longest_wait: Duration,
    /// Seed of the jitter; instances need different seeds, or their retries coincide.
    pub seed: u64,
}

/// Token bucket that calls fill and retries drain. Without it, a store that fails for all clients would
/// get several times the usual load just when it recovers.
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
            tokens_per_call: 0.2,
            burst: 20.0,
            first_wait: Duration::from_millis(50),
            longest_wait: Duration::from_secs(1),
            seed: 0,
        }
    }
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(config: RetryConfig) -> RetryBudget {
        let rng = StdRng::seed_from_u64(config.seed);
        let state = Mutex::new(BudgetState { tokens: config.burst, rng });
        RetryBudget { config, state }
    }

    /// Adds the tokens that the first attempt of a call earns.
    pub fn earn(&self) {
        let mut state = self.lock();
        state.tokens = (state.tokens + self.config.tokens_per_call).min(self.config.burst);
    }

    /// Takes the token for one retry and returns how long to wait before it; `None` if the budget is empty.
    pub fn spend(&self, waits: &mut RetryWaits) -> Option<Duration> {
        let longest = waits.waits.next()?;
        let mut state = self.lock();
        if state.tokens < 1.0 {
            return None;
        }
        state.tokens -= 1.0;
        Some(longest.mul_f64(state.rng.random::<f64>()))
    }

    /// Creates the sequence of waits for the retries of a new call.
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
