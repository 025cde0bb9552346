//! Measurements of the callers' interface, by client account and job class.

use std::time::Duration;

use almondpass_schema::model;
use metrics::{Counter, Histogram, counter, histogram};

/// Requests by outcome.
pub const REQUESTS: &str = "almondpass_entry_requests_total";
/// Seconds from the head of a request to the end of its answer.
pub const COMPLETION: &str = "almondpass_entry_completion_seconds";
/// Seconds from asking for a slot to having it.
pub const GRANT_WAIT: &str = "almondpass_entry_grant_wait_seconds";
/// Requests shed here before a scheduler was asked.
pub const SHEDS: &str = "almondpass_entry_sheds_total";
/// Exchanges beyond the first of their request.
pub const RETRIES: &str = "almondpass_entry_retries_total";
/// Answers discarded because they were another request's, cut, or of the wrong length.
pub const DISCARDED: &str = "almondpass_entry_answers_discarded_total";

/// Handles for one account and class, looked up once.
#[derive(Clone)]
pub struct ClassMeter {
    outcomes: [Counter; 4],
    completion: Histogram,
    grant_wait: Histogram,
    sheds: Counter,
    retries: Counter,
    discarded: Counter,
}

impl std::fmt::Debug for ClassMeter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ClassMeter").finish_non_exhaustive()
    }
}

impl ClassMeter {
    /// The labels come from the configuration only, never from a caller, so their number is
    /// bounded by it.
    pub fn new(account: &str, class: &str) -> ClassMeter {
        let labels = [("account", account.to_owned()), ("class", class.to_owned())];
        let outcome = |it: &'static str| counter!(REQUESTS, "account" => account.to_owned(), "class" => class.to_owned(), "outcome" => it);
        ClassMeter {
            outcomes: ["done", "failed", "not_run", "unknown"].map(outcome),
            completion: histogram!(COMPLETION, &labels),
            grant_wait: histogram!(GRANT_WAIT, &labels),
            sheds: counter!(SHEDS, &labels),
            retries: counter!(RETRIES, &labels),
            discarded: counter!(DISCARDED, &labels),
        }
    }

    /// A request ended.
    pub fn end(&self, outcome: model::RequestOutcome, elapsed: Duration) {
        let position = match outcome {
            model::RequestOutcome::Done => 0,
            model::RequestOutcome::Failed => 1,
            model::RequestOutcome::NotRun => 2,
            model::RequestOutcome::Unknown => 3,
        };
        self.outcomes[position].increment(1);
        self.completion.record(elapsed.as_secs_f64());
    }

    /// A slot was granted after this.
    pub fn granted(&self, waited: Duration) {
        self.grant_wait.record(waited.as_secs_f64());
    }

    /// A request was shed.
    pub fn shed(&self) {
        self.sheds.increment(1);
    }

    /// A request is sent again.
    pub fn retry(&self) {
        self.retries.increment(1);
    }

    /// An answer was discarded.
    pub fn discard(&self) {
        self.discarded.increment(1);
    }
}
