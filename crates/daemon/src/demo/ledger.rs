//! What callers did and were told, for the table and for the checks.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use almondpass_schema::{ids, model};
use tokio::time::Instant;

/// Records of all callers; clones share them.
#[derive(Clone, Debug, Default)]
pub struct CallerLedger {
    state: Arc<Mutex<LedgerState>>,
}

/// What is recorded.
#[derive(Clone, Debug, Default)]
pub struct LedgerState {
    /// Requests that ended.
    pub requests: Vec<RequestRecord>,
    /// Attempts of all requests.
    pub attempts: Vec<AttemptRecord>,
    /// Jobs that ended, were refused or were given up on.
    pub jobs: Vec<JobOutcome>,
}

/// One request, over all its attempts.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Who sent it.
    pub account: ids::AccountId,
    /// Its class.
    pub class: ids::ClassName,
    /// Its key, where it must run at most once.
    pub key: Option<ids::IdempotencyKey>,
    /// What the caller was told last.
    pub outcome: model::RequestOutcome,
    /// From the first byte of the first attempt to the end of the last.
    pub elapsed: Duration,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Instance that it went to.
    pub instance: ids::InstanceId,
    /// When it was sent.
    pub sent_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// Its request's id, where the instance told one.
    pub request: Option<ids::RequestId>,
    /// How it ended.
    pub fate: AttemptFate,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptFate {
    /// Nothing was sent: the instance took no connection.
    NotSent,
    /// The connection broke, or the answer did.
    Broken(String),
    /// The whole answer to this very request came back.
    Own,
    /// An answer came back that is not the one to this request, or not whole.
    Foreign,
    /// The instance told an outcome instead.
    Told(model::RequestOutcome),
}

/// One job.
#[derive(Clone, Debug)]
pub struct JobOutcome {
    /// Its id, which is the caller's key.
    pub job: ids::JobId,
    /// Whose it is.
    pub account: ids::AccountId,
    /// Its class.
    pub class: ids::ClassName,
    /// Tasks of the gang.
    pub tasks: u32,
    /// The guarantee that it claimed.
    pub guarantee: Option<ids::GuaranteeName>,
    /// When it was submitted.
    pub submitted_at: Instant,
    /// What the caller was told.
    pub end: JobEnd,
    /// From its submission to its end.
    pub elapsed: Duration,
}

/// How a job ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEnd {
    /// It reached this state.
    State(model::JobState),
    /// It was not accepted.
    Refused(model::RequestOutcome),
    /// The demo ended first.
    Unended,
}

impl CallerLedger {
    /// Adds a request.
    pub fn push_request(&self, record: RequestRecord) {
        self.lock().requests.push(record);
    }

    /// Adds an attempt.
    pub fn push_attempt(&self, record: AttemptRecord) {
        self.lock().attempts.push(record);
    }

    /// Adds a job.
    pub fn push_job(&self, outcome: JobOutcome) {
        self.lock().jobs.push(outcome);
    }

    /// Everything so far.
    pub fn snapshot(&self) -> LedgerState {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
