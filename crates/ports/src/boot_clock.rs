//! Time since the machine started, which goes on while the process or the machine stands still.

use std::time::{Duration, SystemTime};

use tokio::time::Instant;

/// Reads the time. A tenure is judged by it: the monotonic clock stands still while a machine is
/// suspended, so that a holder that wakes up would believe in a term that has long run out.
pub trait BootClock: Clone + Send + Sync + 'static {
    /// Time since some fixed moment.
    fn now(&self) -> Duration;

    /// Time since 1970 by the clock of the day, which may be set forth and back.
    fn wall(&self) -> Duration;
}

/// The system's clock that counts suspended time.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemBootClock;

impl BootClock for SystemBootClock {
    fn now(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let secs = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Duration::new(secs, nanos)
    }

    fn wall(&self) -> Duration {
        SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
    }
}

/// What the clock of the day shows when a runtime's clock begins; some moment in 2030.
const START_OF_TESTS: Duration = Duration::from_secs(1_900_000_000);

/// The runtime's clock, which tests pause and advance.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock {
    origin: Instant,
}

impl RuntimeClock {
    /// Counts from now.
    pub fn new() -> RuntimeClock {
        RuntimeClock { origin: Instant::now() }
    }
}

impl Default for RuntimeClock {
    fn default() -> RuntimeClock {
        RuntimeClock::new()
    }
}

impl BootClock for RuntimeClock {
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn wall(&self) -> Duration {
        START_OF_TESTS + self.now()
    }
}
