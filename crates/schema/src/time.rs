//! Spans and points of time as they travel: readable in YAML and JSON, microseconds in MessagePack.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A span of time, written like `1m 30s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeSpan(pub Duration);

/// A point of time since the Unix epoch, written in RFC 3339.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime(pub Duration);

impl TimeSpan {
    /// Span of whole milliseconds.
    pub const fn from_millis(millis: u64) -> TimeSpan {
        TimeSpan(Duration::from_millis(millis))
    }

    /// Span of whole seconds.
    pub const fn from_secs(secs: u64) -> TimeSpan {
        TimeSpan(Duration::from_secs(secs))
    }
}

impl WallTime {
    /// Time that passed from `earlier` to this, zero where `earlier` is later.
    pub fn since(self, earlier: WallTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for WallTime {
    type Output = WallTime;

    fn add(self, span: Duration) -> WallTime {
        WallTime(self.0.saturating_add(span))
    }
}

impl Sub<Duration> for WallTime {
    type Output = WallTime;

    fn sub(self, span: Duration) -> WallTime {
        WallTime(self.0.saturating_sub(span))
    }
}

impl From<Duration> for TimeSpan {
    fn from(span: Duration) -> TimeSpan {
        TimeSpan(span)
    }
}

impl From<TimeSpan> for Duration {
    fn from(span: TimeSpan) -> Duration {
        span.0
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(f)
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_rfc3339_millis(SystemTime::UNIX_EPOCH + self.0).fmt(f)
    }
}

impl FromStr for TimeSpan {
    type Err = humantime::DurationError;

    fn from_str(text: &str) -> Result<TimeSpan, Self::Err> {
        humantime::parse_duration(text).map(whole_micros).map(TimeSpan)
    }
}

impl FromStr for WallTime {
    type Err = humantime::TimestampError;

    fn from_str(text: &str) -> Result<WallTime, Self::Err> {
        let time = humantime::parse_rfc3339(text)?;
        Ok(WallTime(whole_micros(time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default())))
    }
}

/// What MessagePack carries. With finer parts a message read from text would differ from the same
/// message after a call: a job's first submission was taken for another one under its key.
fn whole_micros(span: Duration) -> Duration {
    Duration::new(span.as_secs(), span.subsec_micros() * 1_000)
}

impl Serialize for TimeSpan {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serialize(self, self.0, serializer)
    }
}

impl Serialize for WallTime {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serialize(self, self.0, serializer)
    }
}

impl<'de> Deserialize<'de> for TimeSpan {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<TimeSpan, D::Error> {
        deserialize(deserializer, TimeSpan)
    }
}

impl<'de> Deserialize<'de> for WallTime {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<WallTime, D::Error> {
        deserialize(deserializer, WallTime)
    }
}

fn serialize<T: fmt::Display, S: Serializer>(
    text: &T,
    span: Duration,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    if serializer.is_human_readable() {
        serializer.collect_str(text)
    } else {
        serializer.serialize_u64(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
    }
}

fn deserialize<'de, T, D>(deserializer: D, wrap: fn(Duration) -> T) -> Result<T, D::Error>
where
    T: FromStr<Err: fmt::Display>,
    D: Deserializer<'de>,
{
    if deserializer.is_human_readable() {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    } else {
        u64::deserialize(deserializer).map(Duration::from_micros).map(wrap)
    }
}
