//! Estimates how much longer an outage of the store lasts, and when a refused caller should come back.

use std::collections::VecDeque;
use std::time::Duration;

use almondpass_graph::preemption;
use almondpass_schema::{ids, model};
use xxhash_rust::xxh3;

/// Most outages whose lengths are kept.
pub const MAX_OUTAGES: usize = 16;

/// Shortest time that a caller is told to stay away: the header counts whole seconds.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time that a caller is told to stay away.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Shortest interval over which callers are spread.
const MIN_SPREAD: Duration = Duration::from_secs(1);

/// Longest interval over which callers are spread: urgent jobs lose their worth within seconds.
const MAX_SPREAD: Duration = Duration::from_secs(3);

/// First part of the spread, in which callers of urgent classes come back.
const URGENT_PART: f64 = 0.25;

/// Lengths of the last outages of the store, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutageHistory {
    lengths: VecDeque<Duration>,
}

impl OutageHistory {
    /// Adds an outage that has ended, and forgets the oldest one beyond `MAX_OUTAGES`.
    pub fn record(&mut self, length: Duration) {
        self.lengths.push_back(length);
        if self.lengths.len() > MAX_OUTAGES {
            self.lengths.pop_front();
        }
    }

    /// Estimates for how long an outage of this age goes on: the median of the times for which earlier
    /// outages of at least this age went on. Without such outages, the present one is expected to go on for
    /// as long as it has lasted.
    pub fn time_left(&self, age: Duration) -> Duration {
        let mut rests =
            self.lengths.iter().filter_map(|it| it.checked_sub(age)).collect::<Vec<_>>();
        rests.sort();
        // The lower of two middle values: a caller that comes back early loses one try, a caller that comes
        // back late loses the time.
        let middle = rests.len().saturating_sub(1) / 2;
        rests.get(middle).copied().unwrap_or(age)
    }
}

/// Caller that is told when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedCaller {
    /// Job of the call, by which callers are spread.
    pub graph: ids::GraphId,
    /// Whether the class of the call is urgent.
    pub is_urgent: bool,
}

impl RefusedCaller {
    /// The caller that submits `row`.
    pub fn of_row(graph: ids::GraphId, row: &model::GraphRow) -> RefusedCaller {
        RefusedCaller { graph, is_urgent: row.priority == preemption::URGENT_PRIORITY }
    }

    /// Value of `Retry-After`, in whole seconds, if the cause of the refusal is expected to end after
    /// `time_left`. Callers are spread over an interval that begins then; urgent ones come first.
    pub fn retry_after(self, time_left: Duration) -> Duration {
        let latest_begin = MAX_RETRY_AFTER - spread_of(time_left);
        self.retry_after_load(time_left.min(latest_begin))
    }

    /// The same for a refusal for load, which may take longer than an outage.
    pub fn retry_after_load(self, time_left: Duration) -> Duration {
        let told = time_left + spread_of(time_left).mul_f64(self.position());
        let whole = Duration::from_secs(told.as_millis().div_ceil(1_000) as u64);
        whole.max(MIN_RETRY_AFTER)
    }

    /// Position of the caller within a spread, from 0 to 1.
    pub fn position(self) -> f64 {
        let hash = xxh3::xxh3_64(&self.graph.to_le_bytes()) % 1_000;
        let share = hash as f64 / 1_000.0;
        if self.is_urgent { URGENT_PART * share } else { URGENT_PART + (1.0 - URGENT_PART) * share }
    }
}

/// Interval over which callers are spread that come back after `time_left`.
fn spread_of(time_left: Duration) -> Duration {
    (time_left / 2).clamp(MIN_SPREAD, MAX_SPREAD)
}
