//! Record of callers' calls and their answers, for the checks of the storms.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use almondpass_pool::submit;
use almondpass_schema::{ids, model};
use tokio::time::Instant;

/// The calls of all callers of a test. Clones share the record.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallHistory {
    jobs: Arc<Mutex<BTreeMap<ids::GraphId, JobCalls>>>,
}

/// All calls about one job.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobCalls {
    /// The job as submitted; `None` for a job that no caller has submitted.
    pub(crate) row: Option<model::GraphRow>,
    pub(crate) submissions: Vec<CallRecord<submit::SubmitAnswer>>,
    pub(crate) cancels: Vec<CallRecord<model::CancelOutcome>>,
    pub(crate) lookups: Vec<CallRecord<model::GraphLooked>>,
}

/// One call.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord<T> {
    pub(crate) sent_at: Instant,
    /// `None` while the call is in progress, and for good if its instance was killed.
    pub(crate) answer: Option<CallAnswer<T>>,
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub(crate) struct CallAnswer<T> {
    pub(crate) at: Instant,
    pub(crate) outcome: T,
}

impl JobCalls {
    /// When the job was first accepted.
    pub(crate) fn accepted_at(&self) -> Option<Instant> {
        let accepted = submit::SubmitAnswer::Outcome(model::SubmitOutcome::Accepted);
        let answers = self.submissions.iter().filter_map(|it| it.answer.as_ref());
        answers.filter(|it| it.outcome == accepted).map(|it| it.at).min()
    }

    /// Whether each submission was answered before `at`, and none was sent after it.
    pub(crate) fn are_submissions_over(&self, at: Instant) -> bool {
        self.submissions.iter().all(|it| it.answer.as_ref().is_some_and(|it| it.at <= at))
    }

    /// Whether a cancellation was sent before `at`, whatever its outcome.
    pub(crate) fn is_cancel_sent(&self, at: Instant) -> bool {
        self.cancels.iter().any(|it| it.sent_at <= at)
    }
}

impl CallHistory {
    /// All jobs with their calls.
    pub(crate) fn jobs(&self) -> BTreeMap<ids::GraphId, JobCalls> {
        self.lock().clone()
    }

    /// The calls about one job.
    pub(crate) fn job(&self, graph: ids::GraphId) -> JobCalls {
        self.lock().get(&graph).cloned().unwrap_or_default()
    }

    /// Records a submission and waits for its answer.
    pub(crate) async fn record_submission(
        &self,
        graph: ids::GraphId,
        row: &model::GraphRow,
        call: impl Future<Output = submit::SubmitAnswer>,
    ) -> submit::SubmitAnswer {
        self.lock().entry(graph).or_default().row.get_or_insert_with(|| row.clone());
        self.record(graph, |it| &mut it.submissions, call).await
    }

    /// Records a cancellation and waits for its answer.
    pub(crate) async fn record_cancel(
        &self,
        graph: ids::GraphId,
        call: impl Future<Output = model::CancelOutcome>,
    ) -> model::CancelOutcome {
        self.record(graph, |it| &mut it.cancels, call).await
    }

    /// Records a query of a job's state and waits for its answer.
    pub(crate) async fn record_lookup(
        &self,
        graph: ids::GraphId,
        call: impl Future<Output = model::GraphLooked>,
    ) -> model::GraphLooked {
        self.record(graph, |it| &mut it.lookups, call).await
    }

    async fn record<T: Clone>(
        &self,
        graph: ids::GraphId,
        records: fn(&mut JobCalls) -> &mut Vec<CallRecord<T>>,
        call: impl Future<Output = T>,
    ) -> T {
        let index = {
            let mut jobs = self.lock();
            let records = records(jobs.entry(graph).or_default());
            records.push(CallRecord { sent_at: Instant::now(), answer: None });
            records.len() - 1
        };
        let outcome = call.await;
        let answer = CallAnswer { at: Instant::now(), outcome: outcome.clone() };
        let mut jobs = self.lock();
        records(jobs.entry(graph).or_default())[index].answer = Some(answer);
        outcome
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ids::GraphId, JobCalls>> {
        self.jobs.lock().expect("calls")
    }
}
