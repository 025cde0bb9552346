//! Wall-clock time that follows the runtime's clock, so that tests can pause it.

use std::time::SystemTime;

use almondpass_schema::time;
use tokio::time::Instant;

/// Tells the time of day by the runtime's monotonic clock from one reading of the system's.
/// A step of the system clock would otherwise make terms and ages jump.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    origin: time::WallTime,
    started: Instant,
}

impl WallClock {
    /// Reads the system's clock once.
    pub fn from_system() -> WallClock {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        WallClock::starting_at(time::WallTime(now))
    }

    /// Takes `origin` for the present, for tests.
    pub fn starting_at(origin: time::WallTime) -> WallClock {
        WallClock { origin, started: Instant::now() }
    }

    /// The time of day.
    pub fn now(&self) -> time::WallTime {
        self.origin + self.started.elapsed()
    }
}
