//! `POST /v1/jobs`: hands a job to the scheduler of a hall.

use std::time::Duration;

use almondpass_membership::home;
use almondpass_peer::link::HallLink;
use almondpass_ports::table::TableService;
use almondpass_schema::{ids, model};
use http::header::{self, HeaderValue};
use hyper::body::Incoming;
use tokio::time::Instant;
use uuid::Uuid;

use crate::body_head;
use crate::config_index;
use crate::hall_choice;
use crate::job_api;
use crate::problem;
use crate::refusal;
use crate::refused_request;
use crate::request_head;
use crate::service;
use crate::shape_check;
use crate::upload_body;

/// Largest submission in bytes.
const SUBMISSION_BYTES: u64 = 32 * 1024;
/// For a submission to arrive.
const SUBMISSION_TIME: Duration = Duration::from_secs(10);
/// Halls asked to take one job, at most.
const HALLS_ASKED: usize = 3;

/// Answers a submission.
pub async fn submit<L: HallLink, T: TableService>(
    core: &service::EntryCore<L, T>,
    caller: &config_index::CallerAccount,
    parts: &http::request::Parts,
    body: Incoming,
) -> job_api::JobAnswer {
    let key = match request_head::key(&parts.headers, &core.clock) {
        Ok(key) => key,
        Err(problem) => return Err(service::refuse(problem, body)),
    };
    let submission = read_submission(core, caller, body).await?;
    check_age(core, caller, key)?;
    let (job, keyed) = (key.unwrap_or_else(Uuid::now_v7), key.is_some());
    let submit = Submission { core, caller, job, keyed, submission };
    Ok(submit.hand_over().await?)
}

async fn read_submission<L, T>(
    core: &service::EntryCore<L, T>,
    caller: &config_index::CallerAccount,
    body: Incoming,
) -> Result<model::JobSubmission, refused_request::RefusedRequest> {
    let limits =
        upload_body::UploadLimits { max_bytes: SUBMISSION_BYTES, idle: core.settings.body_idle };
    let mut body = Some(body);
    let deadline = Instant::now() + SUBMISSION_TIME;
    let read = body_head::BodyHead::read(&mut body, limits, deadline).await;
    let head = read.map_err(|fault| refused_request::RefusedRequest {
        // Proof of `not_run`: a submission that did not arrive whole is handed to nobody.
        problem: refusal::upload_problem(&fault, model::RequestOutcome::NotRun),
        leftover: body,
        measured: false,
    })?;
    let submission = serde_json::from_slice::<model::JobSubmission>(head.prefix())
        .map_err(|it| request_head::invalid(format!("expected a job in JSON, found {it}")))?;
    check_names(caller, &submission)?;
    Ok(submission)
}

fn check_names(
    caller: &config_index::CallerAccount,
    submission: &model::JobSubmission,
) -> Result<(), problem::Problem> {
    let class = caller.class(&submission.class);
    if class.is_none_or(|it| it.class().kind != model::ClassKind::Job) {
        let detail = format!("expected a class of jobs, found `{}`", submission.class);
        return Err(request_head::invalid(detail));
    }
    if submission.tasks == 0 {
        return Err(request_head::invalid("expected at least one task, found 0"));
    }
    let halls = &caller.document().halls;
    if let Some(hall) = submission.hall.as_ref().filter(|it| halls.iter().all(|h| h.name != **it)) {
        return Err(request_head::invalid(format!("expected a known hall, found `{hall}`")));
    }
    let guarantees = &caller.account().guarantees;
    let guarantee = submission.guarantee.as_ref();
    if let Some(name) = guarantee.filter(|it| guarantees.iter().all(|g| g.name != **it)) {
        let detail = format!("expected a guarantee of the account, found `{name}`");
        return Err(request_head::invalid(detail));
    }
    Ok(())
}

/// A job's row is dropped some time after its end; a key from before could be accepted anew and
/// the job would run a second time.
fn check_age<L, T>(
    core: &service::EntryCore<L, T>,
    caller: &config_index::CallerAccount,
    key: Option<ids::IdempotencyKey>,
) -> Result<(), problem::Problem> {
    let window = caller.document().bounds.idempotency_window.0;
    let made_at = key.as_ref().and_then(home::key_time);
    if made_at.is_none_or(|it| core.clock.now() < it + window) {
        return Ok(());
    }
    let kind = problem::ProblemKind::InvalidRequest;
    let detail = format!("expected an idempotency-key made within {window:?}, found an older one");
    Err(problem::Problem::new(kind, model::RequestOutcome::Unknown, "job.submit", detail))
}

struct Submission<'a, L, T> {
    core: &'a service::EntryCore<L, T>,
    caller: &'a config_index::CallerAccount,
    job: ids::JobId,
    /// Whether the caller chose the id, so that it may have been submitted before.
    keyed: bool,
    submission: model::JobSubmission,
}

impl<L: HallLink, T: TableService> Submission<'_, L, T> {
    async fn hand_over(&self) -> Result<http::Response<service::EntryBody>, problem::Problem> {
        let mut looked_up = !self.keyed;
        if self.keyed {
            match self.core.jobs.read(&self.caller.account().id, &self.job).await {
                Ok(Some(record)) => return self.accepted(record),
                // The row itself is conditional, so a repeat cannot be accepted twice.
                Ok(None) => looked_up = true,
                Err(error) => tracing::debug!(%error, "the job's row was not looked up"),
            }
            self.core.jobs.forget(&self.caller.account().id, &self.job);
        }
        self.check_shape(looked_up)?;
        let mut refusal = None;
        for hall in self.halls().into_iter().take(HALLS_ASKED) {
            match self.ask(hall, looked_up).await {
                Asked::Accepted(record) => return self.accepted(*record),
                Asked::Final(problem) => return Err(problem),
                Asked::Next(problem) => refusal = Some(problem),
            }
        }
        Err(refusal.unwrap_or_else(|| {
            let kind = problem::ProblemKind::NeverFits;
            let detail = "expected a hall with the class's upstream, found none";
            problem::Problem::new(kind, refused_outcome(looked_up), "job.submit", detail)
        }))
    }

    fn check_shape(&self, looked_up: bool) -> Result<(), problem::Problem> {
        let Some(class) = self.caller.class(&self.submission.class) else {
            return Ok(());
        };
        let document = self.caller.document();
        let mut halls = hall_choice::candidates(document, &class.class().upstream);
        if let Some(name) = &self.submission.hall {
            halls.retain(|it| it.name == *name);
        }
        let Some(detail) = shape_check::misfit(document, &halls, &self.submission) else {
            return Ok(());
        };
        let kind = problem::ProblemKind::NeverFits;
        Err(problem::Problem::new(kind, refused_outcome(looked_up), "job.submit", detail))
    }

    fn halls(&self) -> Vec<ids::HallName> {
        if let Some(hall) = &self.submission.hall {
            return vec![hall.clone()];
        }
        // Only the hall in which a shape is at home can reclaim it; others refuse a claim.
        let name = self.submission.guarantee.as_ref();
        let home = name.and_then(|name| self.caller.homes().find(|it| it.guarantee == *name));
        if let Some(home) = home {
            return vec![home.hall.clone()];
        }
        let Some(class) = self.caller.class(&self.submission.class) else {
            return Vec::new();
        };
        let summaries = self.core.link.summaries();
        let document = self.caller.document();
        let upstream = &class.class().upstream;
        let homes = self.caller.homes();
        hall_choice::ranked_for_job(document, upstream, &self.submission, &summaries, homes)
    }

    async fn ask(&self, hall: ids::HallName, looked_up: bool) -> Asked {
        let call = model::JobSubmit {
            job: self.job,
            hall: hall.clone(),
            account: self.caller.account().id.clone(),
            submission: self.submission.clone(),
        };
        let reply = self.core.link.ask(call, self.core.settings.ask_timeout).await;
        match reply {
            Ok(model::JobReply::Record { record }) => Asked::Accepted(Box::new(record)),
            Ok(model::JobReply::Refused { reason, retry_after }) => {
                let kind = refusal::kind_of(reason.code);
                let outcome = match kind {
                    problem::ProblemKind::NeverFits | problem::ProblemKind::InvalidRequest => {
                        refused_outcome(looked_up)
                    }
                    _ => self.passing_outcome(),
                };
                let problem = problem::Problem::new(kind, outcome, "job.submit", &reason.text);
                let problem = problem.at(hall).because(reason);
                let problem = match retry_after {
                    Some(span) => problem.retry_after(span.0),
                    None => problem,
                };
                match kind {
                    problem::ProblemKind::NeverFits | problem::ProblemKind::Busy => {
                        Asked::Next(problem)
                    }
                    _ => Asked::Final(problem),
                }
            }
            Ok(model::JobReply::NotFound | model::JobReply::NotHolder { .. }) => {
                let detail = "expected a scheduler for the hall, found none";
                Asked::Next(self.unavailable(self.passing_outcome(), detail).at(hall))
            }
            Err(error) if error.fault.had_no_effect() => {
                let problem = self.unavailable(self.passing_outcome(), &error.to_string());
                Asked::Next(problem.at(hall))
            }
            Err(error) => self.settle(hall, &error.to_string()).await,
        }
    }

    /// What is true where a scheduler refused for a reason that passes, or was not reached.
    ///
    /// An earlier submission under the same key may be on its way to its row through another entry
    /// and another hall, where this refusal says nothing of it; one would see a job run of which
    /// its caller was told `not_run`. Only a job without a key is known to have been sent once.
    fn passing_outcome(&self) -> model::RequestOutcome {
        match self.keyed {
            true => model::RequestOutcome::Unknown,
            // Proof of `not_run`: the job's id was made for this one submission, and no scheduler
            // that was asked wrote it.
            false => model::RequestOutcome::NotRun,
        }
    }

    /// The scheduler's answer was lost: its row tells whether it took the job. No row proves
    /// nothing, for the write may still be under way.
    async fn settle(&self, hall: ids::HallName, detail: &str) -> Asked {
        let account = &self.caller.account().id;
        self.core.jobs.forget(account, &self.job);
        if let Ok(Some(record)) = self.core.jobs.read(account, &self.job).await {
            return Asked::Accepted(Box::new(record));
        }
        self.core.jobs.forget(account, &self.job);
        let detail =
            format!("{detail}; ask for job {} later, or submit it again with this key", self.job);
        Asked::Final(self.unavailable(model::RequestOutcome::Unknown, &detail).at(hall))
    }

    fn unavailable(&self, outcome: model::RequestOutcome, detail: &str) -> problem::Problem {
        let kind = problem::ProblemKind::Unavailable;
        let problem = problem::Problem::new(kind, outcome, "job.submit", detail);
        problem.retry_after(self.core.settings.retry_after)
    }

    fn accepted(
        &self,
        record: model::JobRecord,
    ) -> Result<http::Response<service::EntryBody>, problem::Problem> {
        if record.submission != self.submission {
            let kind = problem::ProblemKind::KeyConflict;
            let detail = format!("expected a new key, found that of job {}", record.job);
            // The outcome is that of the key's work. A row that differs is no proof that this
            // submission never ran: two versions of ours may write the same one differently.
            let outcome = model::RequestOutcome::Unknown;
            return Err(problem::Problem::new(kind, outcome, "job.submit", detail));
        }
        let mut response = job_api::json(http::StatusCode::ACCEPTED, &record)?;
        let location = format!("{}/{}", job_api::JOBS_PATH, record.job);
        if let Ok(location) = HeaderValue::from_str(&location) {
            response.headers_mut().insert(header::LOCATION, location);
        }
        Ok(response)
    }
}

enum Asked {
    Accepted(Box<model::JobRecord>),
    Final(problem::Problem),
    Next(problem::Problem),
}

fn refused_outcome(looked_up: bool) -> model::RequestOutcome {
    if looked_up {
        // Proof of `not_run`: every scheduler refuses such a job before writing it, and no row
        // tells of an earlier submission under this id.
        model::RequestOutcome::NotRun
    } else {
        model::RequestOutcome::Unknown
    }
}
