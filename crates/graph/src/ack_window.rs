//! Time after an answer of a worker during which ends may be acknowledged to it.

use std::time::Duration;

/// A worker that has answered is assumed to be in the same incarnation for this long. The soonest
/// restart that was seen came 0.5 s after a loss of power. For an acknowledgement to do harm, a task
/// must also have started and ended there since.
const WINDOW: Duration = Duration::from_millis(500);

/// The same time after a poll that acknowledged nothing although it could have, so that the next poll
/// may acknowledge even if it comes late. Otherwise a scheduler whose polls are always late would never
/// acknowledge anything. Such a poll times out after 0.5 s, and the ends that it lists take up to as
/// long to become durable; this is twice the sum.
const WINDOW_AFTER_VERIFYING: Duration = Duration::from_secs(2);

/// What a poll acknowledges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndAck {
    /// Nothing: the worker lists no end that may be acknowledged.
    Nothing,
    /// Nothing yet: there are ends to acknowledge, but the worker may have restarted, so its incarnation
    /// has to be verified first.
    VerifyFirst,
    /// All ends up to this number.
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

/// Tracks how long the last answered poll proves the incarnation of a worker. Without this limit an
/// acknowledgement could reach a worker that restarted while no polls were sent, so that none had
/// failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct AckWindow {
    until: Duration,
    /// How long the worker may hold the last poll before it answers.
    wait: Duration,
    /// Whether the last poll acknowledged nothing although there were ends to acknowledge.
    verifies_only: bool,
}

impl AckWindow {
    /// Whether a poll sent at `now` may acknowledge ends.
    pub fn is_open(&self, now: Duration) -> bool {
        now <= self.until
    }

    /// Records that a poll is about to be sent, which the worker may hold for `wait`.
    pub fn poll_sent(&mut self, wait: Duration, ack: EndAck) {
        self.wait = wait;
        self.verifies_only = ack == EndAck::VerifyFirst;
    }

    /// Records the answer to a poll sent at `sent_at`.
    pub fn poll_answered(&mut self, sent_at: Duration, now: Duration) {
        // If this process was suspended, the answer may have been received long before `now`.
        let answered_at = now.min(sent_at + self.wait);
        self.until = answered_at + if self.verifies_only { WINDOW_AFTER_VERIFYING } else { WINDOW };
    }

    /// Records that a call to the worker had no answer: no end is acknowledged before the next answer.
    pub fn close(&mut self) {
        *self = AckWindow::default();
    }
}
