//! Computes when the lease of a worker has certainly lapsed on the worker's own clock.

use std::time::Duration;

/// Lowest rate of a worker's monotonic clock relative to the local one: the platform states up to 2%
/// slow.
const MIN_CLOCK_RATE: f64 = 0.98;

/// Rounding error of a difference of two clock readings, each in whole milliseconds.
const ROUNDING_MS: u64 = 2;

/// Longest time on the local clock that `span` on a worker's clock may take.
pub fn max_local_span(span: Duration) -> Duration {
    span.div_f64(MIN_CLOCK_RATE)
}

/// The latest reading of a worker's clock, and the latest deadline sent to the worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseClock {
    sample: Option<ClockSample>,
    latest_deadline_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct ClockSample {
    received_at: Duration,
    clock_ms: u64,
}

impl LeaseClock {
    /// Records a reading of the worker's clock from an answer received at `now`. A reading lower than
    /// the recorded one is ignored: its answer was overtaken, or comes from another incarnation, which
    /// the next poll could not detect if the reading were recorded.
    pub fn observe(&mut self, now: Duration, clock_ms: u64) {
        if self.sample.is_none_or(|it| it.received_at <= now && it.clock_ms <= clock_ms) {
            self.sample = Some(ClockSample { received_at: now, clock_ms });
        }
    }

    /// Whether a reading, in an answer to a call sent at `sent_at`, is lower than the recorded clock
    /// must have shown by then. If so, it comes from another incarnation, and the recorded clock no
    /// longer exists.
    pub fn shows_reset(&self, clock_ms: u64, sent_at: Duration) -> bool {
        let Some(sample) = self.sample else { return false };
        let min_clock_ms = match sent_at.checked_sub(sample.received_at) {
            Some(since) => sample.clock_ms.saturating_add(millis(since.mul_f64(MIN_CLOCK_RATE))),
            // A later answer overtook this one. The worker's clock runs no faster than the local one.
            None => sample.clock_ms.saturating_sub(millis(sample.received_at - sent_at)),
        };
        clock_ms.saturating_add(ROUNDING_MS) < min_clock_ms
    }

    /// Lower bound of the reading of the worker's clock at `now`, in milliseconds; `None` before the first
    /// reading.
    pub fn min_reading_ms(&self, now: Duration) -> Option<u64> {
        let sample = self.sample?;
        let elapsed = now.saturating_sub(sample.received_at).mul_f64(MIN_CLOCK_RATE);
        Some(sample.clock_ms.saturating_add(millis(elapsed)).saturating_sub(ROUNDING_MS))
    }

    /// The latest reading that the worker has told, in milliseconds; `None` before the first one.
    pub fn latest_reading_ms(&self) -> Option<u64> {
        self.sample.map(|it| it.clock_ms)
    }

    /// Estimated reading of the worker's clock at `now`; `None` before the first reading.
    pub fn reading(&self, now: Duration) -> Option<Duration> {
        let sample = self.sample?;
        let elapsed = now.saturating_sub(sample.received_at);
        Some(Duration::from_millis(sample.clock_ms) + elapsed)
    }

    /// Returns a deadline on the worker's clock for an order that is about to be sent, at most `span`
    /// from now. It counts as sent whether or not an answer comes, as the worker may have received it.
    pub fn deadline_in(&mut self, now: Duration, span: Duration) -> Option<u64> {
        let sample = self.sample?;
        // Lower bound of the clock's reading, as the lapse of the lease is computed elsewhere from the
        // time of sending.
        let elapsed = now.saturating_sub(sample.received_at).mul_f64(MIN_CLOCK_RATE);
        let deadline = sample.clock_ms.saturating_add(millis(elapsed) + millis(span));
        self.latest_deadline_ms = self.latest_deadline_ms.max(deadline);
        Some(deadline)
    }

    /// Assumes that another scheduler sent a deadline `span` after the latest reading.
    pub fn assume_deadline(&mut self, span: Duration) {
        if let Some(sample) = self.sample {
            self.latest_deadline_ms =
                self.latest_deadline_ms.max(sample.clock_ms.saturating_add(millis(span)));
        }
    }

    /// Local time at which every deadline sent has passed on the worker's clock, however slow that runs.
    /// Zero if there is no reading.
    pub fn lapses_at(&self) -> Duration {
        let Some(sample) = self.sample else { return Duration::ZERO };
        let left = self.latest_deadline_ms.saturating_sub(sample.clock_ms);
        sample.received_at + max_local_span(Duration::from_millis(left))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
