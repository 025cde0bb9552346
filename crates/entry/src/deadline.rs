//! When a caller stops waiting.

use std::time::Duration;

use almondpass_ports::clock;
use almondpass_schema::time;
use tokio::time::Instant;

/// Spans beyond this are cut to it, so that no arithmetic on them overflows.
const LONGEST: Duration = Duration::from_secs(30 * 24 * 60 * 60);

/// A deadline by both clocks: the wall clock for peers, the runtime's for waiting.
#[derive(Clone, Copy, Debug)]
pub struct CallerDeadline {
    /// By the wall clock.
    pub wall: time::WallTime,
    /// By the runtime's clock.
    pub instant: Instant,
}

impl CallerDeadline {
    /// `span` from now.
    pub fn after(clock: &clock::WallClock, span: Duration) -> CallerDeadline {
        let span = span.min(LONGEST);
        CallerDeadline { wall: clock.now() + span, instant: Instant::now() + span }
    }

    /// Reads a span such as `30s`, or a time in RFC 3339. A time in the past is a deadline that
    /// passed already.
    pub fn parse(clock: &clock::WallClock, text: &str) -> Option<CallerDeadline> {
        if let Ok(span) = text.parse::<time::TimeSpan>() {
            return Some(CallerDeadline::after(clock, span.0));
        }
        let wall = text.parse::<time::WallTime>().ok()?;
        Some(CallerDeadline::after(clock, wall.since(clock.now())))
    }

    /// What is left of it.
    pub fn left(&self) -> Duration {
        self.instant.saturating_duration_since(Instant::now())
    }

    /// Whether it passed.
    pub fn passed(&self) -> bool {
        self.left().is_zero()
    }
}
