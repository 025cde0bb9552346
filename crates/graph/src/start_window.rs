//! Bounds the number of starts in transit by how promptly starts were answered lately.
//!
//! What this machine and its link carry is not known, and changes. With more starts in transit than that, each is
//! answered later than its sender waits, so it is sent again and its gang is stopped and started anew: the
//! load stays when its cause is gone. It shows as starts without answer to workers that answer polls.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::task_key;

/// Limit before the first answers.
const INITIAL_LIMIT: f64 = 64.0;

/// Lowest limit, so that answers keep coming in by which the limit can rise again.
const MIN_LIMIT: f64 = 8.0;

/// An answer later than this is a sign of overload; an answer usually takes a few milliseconds.
const LATE_AFTER: Duration = Duration::from_millis(250);

/// Fewest answers by which overload is judged.
const MIN_ANSWERS: u32 = 8;

/// Share of late and missing answers that shows overload. A part of the workers may be down at any time, and
/// these do not answer either.
const OVERLOAD_SHARE: f64 = 0.4;

/// Largest share of the limit that is left on overload.
const DECREASE: f64 = 0.6;

/// By how much a prompt answer raises the limit before the first overload: it doubles with each full window.
const FAST_INCREASE: f64 = 1.0;

/// By how much a prompt answer raises the limit after an overload.
const SLOW_INCREASE: f64 = 0.125;

/// The starts in transit, and the limit of their number.
#[derive(Clone, Debug)]
pub struct StartWindow {
    limit: f64,
    in_transit: BTreeMap<StartId, Duration>,
    /// Time of the last change by which answers are counted; starts ordered before it say nothing new.
    counted_since: Duration,
    n_answers: u32,
    n_late: u32,
    /// Whether a start has had to wait since the last answer that was counted.
    was_full: bool,
    had_overload: bool,
    /// Times of the answers within the last `LATE_AFTER`.
    answered_at: VecDeque<Duration>,
}

/// Task and attempt of a start.
type StartId = (task_key::TaskKey, u32);

impl Default for StartWindow {
    fn default() -> StartWindow {
        StartWindow {
            limit: INITIAL_LIMIT,
            in_transit: BTreeMap::new(),
            counted_since: Duration::ZERO,
            n_answers: 0,
            n_late: 0,
            was_full: false,
            had_overload: false,
            answered_at: VecDeque::new(),
        }
    }
}

impl StartWindow {
    /// Whether `n_starts` that belong together may be sent now. More than the limit may be sent only when
    /// nothing else is in transit.
    pub fn admits(&mut self, n_starts: usize) -> bool {
        let fits = (self.in_transit.len() + n_starts) as f64 <= self.limit;
        self.was_full |= !fits;
        fits || self.in_transit.is_empty()
    }

    /// Records a start that is about to be sent.
    pub fn start_ordered(&mut self, task: task_key::TaskKey, attempt: u32, now: Duration) {
        self.in_transit.insert((task, attempt), now);
    }

    /// Records the outcome of a start. `is_answered` is false if the worker did not answer in time.
    pub fn start_settled(
        &mut self,
        task: task_key::TaskKey,
        attempt: u32,
        is_answered: bool,
        now: Duration,
    ) {
        let Some(ordered_at) = self.in_transit.remove(&(task, attempt)) else { return };
        if is_answered {
            self.answered_at.push_back(now);
        }
        while self.answered_at.pop_front_if(|it| *it + LATE_AFTER < now).is_some() {}
        let is_late = !is_answered || now > ordered_at + LATE_AFTER;
        if !is_late && self.was_full {
            self.limit += if self.had_overload { SLOW_INCREASE } else { FAST_INCREASE };
        }
        if ordered_at >= self.counted_since {
            self.count(is_late, now);
        }
    }

    /// Drops starts that were ordered more than `max_age` ago: they are not sent any more.
    pub fn drop_older(&mut self, max_age: Duration, now: Duration) {
        self.in_transit.retain(|_, ordered_at| now <= *ordered_at + max_age);
    }

    fn count(&mut self, is_late: bool, now: Duration) {
        self.n_answers += 1;
        self.n_late += u32::from(is_late);
        if self.n_answers < MIN_ANSWERS {
            return;
        }
        if f64::from(self.n_late) >= OVERLOAD_SHARE * f64::from(self.n_answers) {
            self.had_overload = true;
            // As many are answered in time as are answered within that time now.
            let n_carried = self.answered_at.len() as f64;
            self.limit = (self.limit * DECREASE).min(n_carried).max(MIN_LIMIT);
            self.counted_since = now;
        }
        (self.n_answers, self.n_late, self.was_full) = (0, 0, false);
    }
}
