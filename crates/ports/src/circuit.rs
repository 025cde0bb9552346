//! A circuit that stops calls to a service that is down or slow.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Opens after some failures in a row; while it is open calls fail at once, but for one probe each
/// time it has been open for a while. Without it every caller of a store that is down would wait
/// out its own deadline, holding memory and connections, and all would return together.
#[derive(Debug)]
pub struct CircuitBreaker {
    config: CircuitConfig,
    state: Mutex<CircuitState>,
}

/// How a circuit behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CircuitConfig {
    /// Failures in a row that open it.
    pub failures: u32,
    /// Open for this after it opened; doubles with each failed probe.
    pub first_open: Duration,
    /// Never open for longer than this without a probe, so that recovery is noticed.
    pub longest_open: Duration,
}

/// Leave to make one call.
#[derive(Debug)]
pub struct CircuitPass<'a> {
    circuit: &'a CircuitBreaker,
    judged: bool,
}

/// The circuit is open.
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
    /// A closed circuit.
    pub fn new(config: CircuitConfig) -> CircuitBreaker {
        CircuitBreaker { config, state: Mutex::new(CircuitState::Closed { failures: 0 }) }
    }

    /// Asks to make a call.
    pub fn admit(&self) -> Result<CircuitPass<'_>, CircuitOpen> {
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
        Ok(CircuitPass { circuit: self, judged: false })
    }

    /// Whether calls fail at once.
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
            // A call from before it opened.
            CircuitState::Open { until, open_for } => CircuitState::Open { until, open_for },
        };
    }

    /// A probe that nobody waited for tells nothing; the next call probes.
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

impl CircuitPass<'_> {
    /// The service answered.
    pub fn succeed(mut self) {
        self.judged = true;
        self.circuit.succeed();
    }

    /// The service failed or was too slow.
    pub fn fail(mut self) {
        self.judged = true;
        self.circuit.fail();
    }
}

impl Drop for CircuitPass<'_> {
    fn drop(&mut self) {
        if !self.judged {
            self.circuit.abandon();
        }
    }
}

fn opened(open_for: Duration) -> CircuitState {
    CircuitState::Open { until: Instant::now() + open_for, open_for }
}
