//! Wall-clock time that advances with the tokio runtime's clock, so that tests can pause it.

use std::time::SystemTime;

use almondpass_schema::time;
use tokio::time::Instant;

/// A wall clock that reads the system clock once and then advances with the runtime's monotonic
/// clock. With the system clock alone, terms and ages would jump whenever that clock is stepped.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    origin: time::WallTime,
    started: Instant,
}

impl WallClock {
    /// Creates a clock that starts at the system's current time.
    pub fn from_system() -> WallClock {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        WallClock::starting_at(time::WallTime(now))
    }

    /// Creates a clock that shows `origin` now, for tests.
    pub fn starting_at(origin: time::WallTime) -> WallClock {
        WallClock { origin, started: Instant::now() }
    }

    /// The wall-clock time: the origin plus the monotonic time elapsed since.
    pub fn now(&self) -> time::WallTime {
        self.origin + self.started.elapsed()
    }
}
