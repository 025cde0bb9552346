//! What callers asked and what they were told.

use almondpass_schema::ids;
use tokio::time::Instant;
use uuid::Uuid;

use crate::caller;

/// Everything that callers did in one run.
#[derive(Debug, Default)]
pub struct CallerLedger {
    /// Requests, one entry for each time one was sent.
    pub requests: Vec<SentRequest>,
    /// Submissions of jobs, one entry for each time one was sent.
    pub submissions: Vec<SentSubmission>,
}

/// One sending of a request.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The caller's key, for what may run only once.
    pub key: Option<Uuid>,
    /// What was sent, different for each request.
    pub body: String,
    /// The instance it was sent to.
    pub node: ids::InstanceId,
    /// When.
    pub sent_at: Instant,
    /// What came back.
    pub answer: caller::CallerAnswer,
}

/// One sending of a job.
#[derive(Clone, Debug)]
pub struct SentSubmission {
    /// The caller's key, which is the job's id.
    pub job: Uuid,
    /// Whose it is.
    pub account: &'static str,
    /// Its class.
    pub class: &'static str,
    /// Tasks of the gang.
    pub tasks: u32,
    /// The instance it was sent to.
    pub node: ids::InstanceId,
    /// When.
    pub sent_at: Instant,
    /// What came back.
    pub answer: caller::CallerAnswer,
}

/// Status of an accepted submission, new or repeated.
const ACCEPTED: std::ops::Range<u16> = 200..300;

impl caller::CallerAnswer {
    /// Whether the caller was told that the work did not run.
    pub fn says_not_run(&self) -> bool {
        self.says("not_run")
    }

    /// Whether the caller was told this outcome.
    pub fn says(&self, outcome: &str) -> bool {
        self.whole().is_some_and(|it| it.outcome.as_deref() == Some(outcome))
    }

    /// The answer, if it was whole.
    pub fn whole(&self) -> Option<&caller::WholeAnswer> {
        match self {
            caller::CallerAnswer::Whole(whole) => Some(whole),
            _ => None,
        }
    }

    /// Whether it was whole and of status 2xx.
    pub fn is_success(&self) -> bool {
        self.whole().is_some_and(|it| ACCEPTED.contains(&it.status))
    }
}

impl CallerLedger {
    /// When the next sending of the same request began.
    pub fn next_sending(&self, index: usize) -> Option<Instant> {
        let key = self.requests[index].key?;
        let later = self.requests[index + 1..].iter();
        later.filter(|it| it.key == Some(key)).map(|it| it.sent_at).min()
    }

    /// When the next sending of the same job began.
    pub fn next_submission(&self, index: usize) -> Option<Instant> {
        let job = self.submissions[index].job;
        let later = self.submissions[index + 1..].iter();
        later.filter(|it| it.job == job).map(|it| it.sent_at).min()
    }

    /// Jobs of which a caller knows that they were accepted.
    pub fn accepted(&self) -> Vec<&SentSubmission> {
        let mut accepted =
            self.submissions.iter().filter(|it| it.answer.is_success()).collect::<Vec<_>>();
        accepted.sort_by_key(|it| it.job);
        accepted.dedup_by_key(|it| it.job);
        accepted
    }
}
