//! Circuit breaker that stops calls to a service that is down or slow.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Opens after a number of consecutive failures. While the circuit is open, calls fail at once, except
/// for one probe after each open period. Without the breaker, every caller of a store that is down would
/// wait for its own deadline, holding memory and connections, and all callers would return together.
#[derive(Debug)]
pub struct CircuitBreaker {
    config: CircuitConfig,
    state: Mutex<CircuitState>,
}

/// Thresholds and open periods of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CircuitConfig {
    /// Consecutive failures that open the circuit.
    pub failures: u32,
    /// Time from opening to the first probe; doubles with each failed probe.
    pub first_open: Duration,
    /// Longest time without a probe while the circuit is open, so that recovery is noticed.
    pub longest_open: Duration,
}

/// Permission to make one call. Dropping it without reporting a result abandons a probe.
#[derive(Debug)]
pub struct CircuitPermit<'a> {
    circuit: &'a CircuitBreaker,
    is_reported: bool,
}

/// Error of a call that was not admitted because the circuit is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CircuitOpen {
    /// Time until the next probe.
    pub retry_after: Duration,
}

#[derive(Debug)]
enum CircuitState {
    Closed { failures: u32 },
    Open { until: Instant, open_for: Duration },
    Probing { open_for: Duration },
}

impl Default for CircuitConfig {
    fn default() -> CircuitConfig {
        CircuitConfig {
            failures: 5,
            first_open: Duration::from_millis(250),
            longest_open: Duration::from_secs(1),
        }
    }
}

impl CircuitBreaker {
    /// Creates a breaker with a closed circuit.
    pub fn new(config: CircuitConfig) -> CircuitBreaker {
        CircuitBreaker { config, state: Mutex::new(CircuitState::Closed { failures: 0 }) }
    }

    /// Admits a call, or fails if the circuit is open and no probe is due.
    pub fn admit(&self) -> Result<CircuitPermit<'_>, CircuitOpen> {
        let mut state = self.lock();
        match *state {
            CircuitState::Closed { .. } => {}
            CircuitState::Open { until, open_for } => {
                let left = until.saturating_duration_since(Instant::now());
                if !left.is_zero() {
                    return Err(CircuitOpen { retry_after: left });
                }
                *state = CircuitState::Probing { open_for };
            }
            CircuitState::Probing { open_for } => {
                return Err(CircuitOpen { retry_after: open_for });
            }
        }
        Ok(CircuitPermit { circuit: self, is_reported: false })
    }

    /// Whether the circuit is open, also while a probe is in progress.
    pub fn is_open(&self) -> bool {
        !matches!(*self.lock(), CircuitState::Closed { .. })
    }

    fn succeed(&self) {
        *self.lock() = CircuitState::Closed { failures: 0 };
    }

    fn fail(&self) {
        let mut state = self.lock();
        *state = match *state {
            CircuitState::Closed { failures } if failures + 1 < self.config.failures => {
                CircuitState::Closed { failures: failures + 1 }
            }
            CircuitState::Closed { .. } => opened(self.config.first_open),
            CircuitState::Probing { open_for } => {
                opened((open_for * 2).min(self.config.longest_open))
            }
            // The call was admitted before the circuit opened.
            CircuitState::Open { until, open_for } => CircuitState::Open { until, open_for },
        };
    }

    /// Handles a probe that was dropped before it had a result: the next call becomes the probe.
    fn abandon(&self) {
        let mut state = self.lock();
        if let CircuitState::Probing { open_for } = *state {
            *state = CircuitState::Open { until: Instant::now(), open_for };
        }
    }

    fn lock(&self) -> MutexGuard<'_, CircuitState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CircuitPermit<'_> {
    /// Reports that the service answered; closes the circuit.
    pub fn succeed(mut self) {
        self.is_reported = true;
        self.circuit.succeed();
    }

    /// Reports that the service failed or was too slow.
    pub fn fail(mut self) {
        self.is_reported = true;
        self.circuit.fail();
    }
}

impl Drop for CircuitPermit<'_> {
    fn drop(&mut self) {
        if !self.is_reported {
            self.circuit.abandon();
        }
    }
}

fn opened(open_for: Duration) -> CircuitState {
    CircuitState::Open { until: Instant::now() + open_for, open_for }
}
