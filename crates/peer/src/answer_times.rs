//! Estimates how long to wait for an answer, from the answers that came lately.
//!
//! A fixed wait that is shorter than answers take at the moment makes each call go out several times, on a new
//! connection each, which slows the answers further.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Weight of the newest answer in the smoothed mean.
const MEAN_WEIGHT: f64 = 0.125;

/// Weight of the newest answer in the smoothed deviation.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Smoothed deviations by which an answer may exceed the smoothed mean.
const MAX_DEVIATIONS: f64 = 4.0;

/// Times of answers to calls of one kind. Clones share them.
///
/// The mean and the deviation are smoothed as for TCP's retransmission timeout (RFC 6298).
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    estimate: Arc<Mutex<Option<TimeEstimate>>>,
}

#[derive(Clone, Copy, Debug)]
struct TimeEstimate {
    mean: f64,
    deviation: f64,
}

impl AnswerTimes {
    /// Records an answer that took `took`.
    pub fn observe(&self, took: Duration) {
        let took = took.as_secs_f64();
        let mut estimate = self.estimate.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(it) = estimate.as_mut() else {
            *estimate = Some(TimeEstimate { mean: took, deviation: took / 2.0 });
            return;
        };
        it.deviation += DEVIATION_WEIGHT * ((took - it.mean).abs() - it.deviation);
        it.mean += MEAN_WEIGHT * (took - it.mean);
    }

    /// How long to wait for the next answer, between `min` and `max`.
    pub fn timeout(&self, min: Duration, max: Duration) -> Duration {
        let estimate = *self.estimate.lock().unwrap_or_else(PoisonError::into_inner);
        let expected = estimate.map_or(0.0, |it| it.mean + MAX_DEVIATIONS * it.deviation);
        Duration::from_secs_f64(expected).clamp(min, max)
    }
}
