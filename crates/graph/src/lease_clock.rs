//! When the lease of a worker has surely lapsed on the worker's own clock.

use std::time::Duration;

/// A worker's steady clock runs at least this fast against ours; the platform says up to 2% slow.
const SLOWEST_RATE: f64 = 0.98;

/// A reading is in whole milliseconds, and so is each of the two that are compared.
const ROUNDING_MS: u64 = 2;

/// How long a span on a worker's clock may take by ours.
pub fn max_local_span(span: Duration) -> Duration {
    span.div_f64(SLOWEST_RATE)
}

/// What is known of a worker's clock and of the lease that covers everything on it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseClock {
    sample: Option<ClockSample>,
    deadline_sent: u64,
}

#[derive(Clone, Copy, Debug)]
struct ClockSample {
    received_at: Duration,
    clock_ms: u64,
}

impl LeaseClock {
    /// Takes a reading of the worker's clock from an answer received at `now`. One that is lower than
    /// what is known was overtaken, or comes from another life of the worker: taken in, it would hide
    /// that from the next look.
    pub fn observe(&mut self, now: Duration, clock_ms: u64) {
        if self.sample.is_none_or(|it| it.received_at <= now && it.clock_ms <= clock_ms) {
            self.sample = Some(ClockSample { received_at: now, clock_ms });
        }
    }

    /// Whether a reading, in an answer to a call sent at `sent_at`, is less than this clock must have
    /// shown by then: it is that of another life of the worker, and this clock is gone.
    pub fn shows_reset(&self, clock_ms: u64, sent_at: Duration) -> bool {
        let Some(sample) = self.sample else { return false };
        let least = match sent_at.checked_sub(sample.received_at) {
            Some(since) => sample.clock_ms.saturating_add(millis(since.mul_f64(SLOWEST_RATE))),
            // The answer was overtaken by that of the sample; no clock is fast.
            None => sample.clock_ms.saturating_sub(millis(sample.received_at - sent_at)),
        };
        clock_ms.saturating_add(ROUNDING_MS) < least
    }

    /// What the worker's clock shows at `now`, as far as it is known.
    pub fn reading(&self, now: Duration) -> Option<Duration> {
        let sample = self.sample?;
        let elapsed = now.saturating_sub(sample.received_at);
        Some(Duration::from_millis(sample.clock_ms) + elapsed)
    }

    /// A deadline at most `span` from now on the worker's clock, which an order is about to carry. It is
    /// remembered as sent, whether or not an answer comes: the worker may have taken it.
    pub fn deadline_in(&mut self, now: Duration, span: Duration) -> Option<u64> {
        let sample = self.sample?;
        // What the clock shows at least: others reckon from now on when the lease is over.
        let elapsed = now.saturating_sub(sample.received_at).mul_f64(SLOWEST_RATE);
        let deadline = sample.clock_ms.saturating_add(millis(elapsed) + millis(span));
        self.deadline_sent = self.deadline_sent.max(deadline);
        Some(deadline)
    }

    /// Assumes that somebody else may have sent a deadline `span` behind the newest reading.
    pub fn assume_deadline(&mut self, span: Duration) {
        if let Some(sample) = self.sample {
            self.deadline_sent =
                self.deadline_sent.max(sample.clock_ms.saturating_add(millis(span)));
        }
    }

    /// When every deadline that was sent has passed on the worker's clock, however slow it runs.
    /// Zero where none was sent.
    pub fn lapses_at(&self) -> Duration {
        let Some(sample) = self.sample else { return Duration::ZERO };
        let left = self.deadline_sent.saturating_sub(sample.clock_ms);
        sample.received_at + max_local_span(Duration::from_millis(left))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
