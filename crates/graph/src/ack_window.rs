//! How long a worker is taken to be in the life in which it was found.

use std::time::Duration;

/// A worker that has answered is in the same life for this long. Workers were seen to start again 0.5 s
/// after they had lost power, at the soonest; before a look to them does harm, a task must have been
/// started there and have ended, too.
const TRUSTED_FOR: Duration = Duration::from_millis(500);

/// The same behind a look that asked only, so that the next one may acknowledge, though it comes late: a
/// scheduler whose looks are always late would never acknowledge anything. Such a look is given up after
/// 0.5 s, and the ends that it lists are waited for as long to become durable; this is twice the two.
const TRUSTED_ONCE_FOR: Duration = Duration::from_secs(2);

/// What a look acknowledges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndAck {
    /// No end is listed that could be.
    Nothing,
    /// There is one, but nobody knows in which life the worker is.
    VerifyFirst,
    /// All ends up to that number.
    UpTo(u64),
}

impl EndAck {
    /// The highest end that the worker may forget; 0 for none.
    pub fn last_acknowledged(self) -> u64 {
        match self {
            EndAck::UpTo(number) => number,
            EndAck::Nothing | EndAck::VerifyFirst => 0,
        }
    }
}

/// What the last answered look at a worker tells of its life. Without it an acknowledgement reaches a
/// worker that has started again while nobody looked: no look has failed then.
#[derive(Clone, Copy, Debug, Default)]
pub struct AckWindow {
    until: Duration,
    /// How long the last look may wait at the worker.
    wait: Duration,
    /// Whether the last look asks only, although it had ends to acknowledge.
    asks_only: bool,
}

impl AckWindow {
    /// Whether a look at `now` may acknowledge ends.
    pub fn is_open(&self, now: Duration) -> bool {
        now <= self.until
    }

    /// A look is about to be sent.
    pub fn poll_sent(&mut self, wait: Duration, ack: EndAck) {
        self.wait = wait;
        self.asks_only = ack == EndAck::VerifyFirst;
    }

    /// The worker has answered a look sent at `sent_at`.
    pub fn poll_answered(&mut self, sent_at: Duration, now: Duration) {
        // The answer may have lain here for as long as this process stood still.
        let given_at = now.min(sent_at + self.wait);
        self.until = given_at + if self.asks_only { TRUSTED_ONCE_FOR } else { TRUSTED_FOR };
    }

    /// A call had no answer.
    pub fn close(&mut self) {
        *self = AckWindow::default();
    }
}
