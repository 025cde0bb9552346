//! Time since the machine booted, which also advances while the process or the machine is suspended.

use std::time::{Duration, SystemTime};

use tokio::time::Instant;

/// A clock that counts suspended time. The validity of a tenure is checked against it: the monotonic
/// clock stops while a machine is suspended, so a holder that resumes would take an expired term for
/// valid.
pub trait BootClock: Clone + Send + Sync + 'static {
    /// Time since a fixed but unspecified moment; never decreases.
    fn now(&self) -> Duration;

    /// Time since the Unix epoch by the wall clock, which may be set forward and back.
    fn wall(&self) -> Duration;
}

/// The system's `CLOCK_BOOTTIME`.
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

/// Wall-clock time at the creation of a [`RuntimeClock`]; a moment in 2030.
const RUNTIME_CLOCK_WALL_ORIGIN: Duration = Duration::from_secs(1_900_000_000);

/// The clock of the tokio runtime, which tests pause and advance.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock {
    origin: Instant,
}

impl RuntimeClock {
    /// Creates a clock that starts at zero now.
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
        RUNTIME_CLOCK_WALL_ORIGIN + self.now()
    }
}
