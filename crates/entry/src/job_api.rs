//! `/v1/jobs`: jobs that run for long, and how they stand.

use std::sync::Arc;
use std::time::Duration;

use almondpass_membership::home;
use almondpass_peer::link::HallLink;
use almondpass_platform::table::TableService;
use almondpass_schema::{ids, model};
use bytes::Bytes;
use http::header::{self, HeaderValue};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time::Instant;
use uuid::Uuid;

use crate::body_head;
use crate::config_index;
use crate::hall_choice;
use crate::job_reader;
use crate::problem;
use crate::request_api;
use crate::request_head;
use crate::service;
use crate::shape_check;
use crate::upload_body;

/// Path of an account's jobs.
const JOBS_PATH: &str = "/v1/jobs";
/// Largest submission in bytes.
const SUBMISSION_BYTES: u64 = 32 * 1024;
/// For a submission to arrive.
const SUBMISSION_TIME: Duration = Duration::from_secs(10);
/// Jobs on a page whose caller names no number.
const PAGE: u32 = 50;
/// Jobs on a page at most.
const LARGEST_PAGE: u32 = 200;
/// Halls asked to take one job, at most.
const HALLS_ASKED: usize = 3;

type JobAnswer = Result<http::Response<service::EntryBody>, request_api::RefusedRequest>;

/// Answers a call to the jobs' interface.
pub async fn route<L: HallLink, T: TableService>(
    core: &Arc<service::EntryCore<L, T>>,
    caller: &config_index::CallerAccount,
    parts: &http::request::Parts,
    body: Incoming,
) -> JobAnswer {
    let path = parts.uri.path().trim_end_matches('/');
    let Some(rest) = path.strip_prefix(JOBS_PATH) else {
        return Err(service::refuse(no_such_path(path), body));
    };
    if rest.is_empty() {
        return match parts.method {
            http::Method::POST => submit(core, caller, parts, body).await,
            http::Method::GET => Ok(list(core, caller, parts.uri.query()).await?),
            _ => Err(service::refuse(service::wrong_method(&parts.method, "GET or POST"), body)),
        };
    }
    let job = rest.strip_prefix('/').and_then(|it| it.parse::<ids::JobId>().ok());
    let Some(job) = job else {
        return Err(service::refuse(no_such_path(path), body));
    };
    match parts.method {
        http::Method::GET => Ok(show(core, caller, job).await?),
        http::Method::DELETE => Ok(cancel(core, caller, job).await?),
        _ => Err(service::refuse(service::wrong_method(&parts.method, "GET or DELETE"), body)),
    }
}

async fn submit<L: HallLink, T: TableService>(
    core: &service::EntryCore<L, T>,
    caller: &config_index::CallerAccount,
    parts: &http::request::Parts,
    body: Incoming,
) -> JobAnswer {
    let key = match request_head::key(&parts.headers, &core.clock) {
        Ok(key) => key,
        Err(problem) => return Err(service::refuse(problem, body)),
    };
    let submission = read_submission(core, caller, body).await?;
    check_age(core, caller, key)?;
    let submit = Submission { core, caller, job: key.unwrap_or_else(Uuid::now_v7), submission };
    Ok(submit.hand_over(key.is_some()).await?)
}

async fn read_submission<L, T>(
    core: &service::EntryCore<L, T>,
    caller: &config_index::CallerAccount,
    body: Incoming,
) -> Result<model::JobSubmission, request_api::RefusedRequest> {
    let limits =
        upload_body::UploadLimits { max_bytes: SUBMISSION_BYTES, idle: core.settings.body_idle };
    let mut body = Some(body);
    let deadline = Instant::now() + SUBMISSION_TIME;
    let read = body_head::BodyHead::read(&mut body, limits, deadline).await;
    let head = read.map_err(|fault| request_api::RefusedRequest {
        // Proof of `not_run`: a submission that did not arrive whole is handed to nobody.
        problem: request_api::upload_problem(&fault, model::RequestOutcome::NotRun),
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
    submission: model::JobSubmission,
}

impl<L: HallLink, T: TableService> Submission<'_, L, T> {
    async fn hand_over(
        &self,
        keyed: bool,
    ) -> Result<http::Response<service::EntryBody>, problem::Problem> {
        let mut looked_up = !keyed;
        if keyed {
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
        let name = self.submission.guarantee.as_ref();
        let guarantees = &self.caller.account().guarantees;
        let guarantee = name.and_then(|name| guarantees.iter().find(|it| it.name == *name));
        if let Some(hall) = guarantee.and_then(|it| it.hall.as_ref()) {
            return vec![hall.clone()];
        }
        let Some(class) = self.caller.class(&self.submission.class) else {
            return Vec::new();
        };
        let summaries = self.core.link.summaries();
        let document = self.caller.document();
        let upstream = &class.class().upstream;
        hall_choice::ranked_for_job(document, upstream, &self.submission, &summaries)
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
                let kind = request_api::kind_of(reason.code);
                let outcome = refused_outcome(looked_up);
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
                Asked::Next(self.unavailable(refused_outcome(looked_up), detail).at(hall))
            }
            Err(error) if error.fault.had_no_effect() => {
                let problem = self.unavailable(refused_outcome(looked_up), &error.to_string());
                Asked::Next(problem.at(hall))
            }
            Err(error) => self.settle(hall, &error.to_string()).await,
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
            // Proof of `not_run`: a row keyed by this id holds another submission, and the row is
            // written once.
            let outcome = model::RequestOutcome::NotRun;
            return Err(problem::Problem::new(kind, outcome, "job.submit", detail));
        }
        let mut response = json(http::StatusCode::ACCEPTED, &record)?;
        let location = format!("{JOBS_PATH}/{}", record.job);
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
        // Proof of `not_run`: the schedulers that were asked refused the job before writing it,
        // or were not reached; and no row tells of an earlier submission under this id.
        model::RequestOutcome::NotRun
    } else {
        model::RequestOutcome::Unknown
    }
}

async fn show<L: HallLink, T: TableService>(
    core: &service::EntryCore<L, T>,
    caller: &config_index::CallerAccount,
    job: ids::JobId,
) -> Result<http::Response<service::EntryBody>, problem::Problem> {
    let account = &caller.account().id;
    let row = match core.jobs.read(account, &job).await {
        Ok(Some(row)) => row,
        Ok(None) => return Err(no_such_job(job)),
        Err(error) => {
            let found = find_anywhere(core, caller, job).await;
            let record = found.ok_or_else(|| unreadable(core, &error))?;
            return json(http::StatusCode::OK, &record);
        }
    };
    if ended(row.state) {
        return json(http::StatusCode::OK, &row);
    }
    let call = model::JobQuery { job, hall: row.hall.clone(), account: account.clone() };
    match core.link.ask(call, core.settings.read_timeout).await {
        Ok(model::JobReply::Record { record }) if record.account == *account => {
            json(http::StatusCode::OK, &record)
        }
        _ => json(http::StatusCode::OK, &row),
    }
}

/// While the table is down the schedulers still know the jobs that have not ended.
async fn find_anywhere<L: HallLink, T>(
    core: &service::EntryCore<L, T>,
    caller: &config_index::CallerAccount,
    job: ids::JobId,
) -> Option<model::JobRecord> {
    let account = &caller.account().id;
    let halls = caller.document().halls.iter().map(|it| it.name.clone());
    let asked = halls.map(|hall| {
        let call = model::JobQuery { job, hall, account: account.clone() };
        core.link.ask(call, core.settings.read_timeout)
    });
    let replies = futures_util::future::join_all(asked).await;
    replies.into_iter().find_map(|it| match it {
        Ok(model::JobReply::Record { record }) if record.account == *account => Some(record),
        _ => None,
    })
}

async fn cancel<L: HallLink, T: TableService>(
    core: &service::EntryCore<L, T>,
    caller: &config_index::CallerAccount,
    job: ids::JobId,
) -> Result<http::Response<service::EntryBody>, problem::Problem> {
    let account = &caller.account().id;
    core.jobs.forget(account, &job);
    let row = core.jobs.read(account, &job).await;
    let row = row.map_err(|it| unreadable(core, &it))?.ok_or_else(|| no_such_job(job))?;
    if ended(row.state) {
        return json(http::StatusCode::OK, &row);
    }
    let call = model::JobCancel { job, hall: row.hall.clone(), account: account.clone() };
    let reply = core.link.ask(call, core.settings.ask_timeout).await;
    core.jobs.forget(account, &job);
    let unknown = |kind, detail: &str| {
        let outcome = model::RequestOutcome::Unknown;
        problem::Problem::new(kind, outcome, "job.cancel", detail).at(row.hall.clone())
    };
    let unavailable = |detail: &str| {
        let problem = unknown(problem::ProblemKind::Unavailable, detail);
        problem.retry_after(core.settings.retry_after)
    };
    match reply {
        Ok(model::JobReply::Record { record }) => {
            let status = match ended(record.state) {
                true => http::StatusCode::OK,
                false => http::StatusCode::ACCEPTED,
            };
            json(status, &record)
        }
        Ok(model::JobReply::NotFound) => Err(no_such_job(job)),
        Ok(model::JobReply::Refused { reason, retry_after }) => {
            let problem = unknown(request_api::kind_of(reason.code), &reason.text);
            let span = retry_after.map_or(core.settings.retry_after, |it| it.0);
            Err(problem.because(reason).retry_after(span))
        }
        Ok(model::JobReply::NotHolder { .. }) => {
            Err(unavailable("expected a scheduler for the hall, found none"))
        }
        Err(error) => Err(unavailable(&error.to_string())),
    }
}

async fn list<L, T: TableService>(
    core: &service::EntryCore<L, T>,
    caller: &config_index::CallerAccount,
    query: Option<&str>,
) -> Result<http::Response<service::EntryBody>, problem::Problem> {
    let mut after = None;
    let mut limit = PAGE;
    for (name, value) in form_urlencoded::parse(query.unwrap_or_default().as_bytes()) {
        match name.as_ref() {
            "after" => after = Some(parse_query::<ids::JobId>("after", &value)?),
            "limit" => limit = parse_query::<u32>("limit", &value)?.clamp(1, LARGEST_PAGE),
            _ => {
                let detail = format!("expected `after` or `limit`, found `{name}`");
                return Err(request_head::invalid(detail));
            }
        }
    }
    let page = core.jobs.page(&caller.account().id, after.as_ref(), limit).await;
    json(http::StatusCode::OK, &page.map_err(|it| unreadable(core, &it))?)
}

fn parse_query<V: std::str::FromStr>(name: &str, value: &str) -> Result<V, problem::Problem> {
    value
        .parse()
        .map_err(|_| request_head::invalid(format!("expected a valid `{name}`, found `{value}`")))
}

fn ended(state: model::JobState) -> bool {
    matches!(
        state,
        model::JobState::Done
            | model::JobState::Failed
            | model::JobState::NotRun
            | model::JobState::Unknown
            | model::JobState::Cancelled
    )
}

fn json<V: Serialize>(
    status: http::StatusCode,
    value: &V,
) -> Result<http::Response<service::EntryBody>, problem::Problem> {
    let body = serde_json::to_vec(value).map_err(|it| {
        let kind = problem::ProblemKind::Unavailable;
        let outcome = model::RequestOutcome::Unknown;
        problem::Problem::new(kind, outcome, "job.answer", it.to_string())
    })?;
    let mut response = http::Response::new(service::EntryBody::whole(Bytes::from(body)));
    *response.status_mut() = status;
    let media_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, media_type);
    Ok(response)
}

fn no_such_job(job: ids::JobId) -> problem::Problem {
    let kind = problem::ProblemKind::NotFound;
    let detail = format!("expected a job of this account, found none with id {job}");
    problem::Problem::new(kind, model::RequestOutcome::Unknown, "job.read", detail)
}

fn no_such_path(path: &str) -> problem::Problem {
    let kind = problem::ProblemKind::NotFound;
    let detail = format!("expected /v1/requests or /v1/jobs, found `{path}`");
    // Proof of `not_run`: nothing of ours acts on such a path.
    problem::Problem::new(kind, model::RequestOutcome::NotRun, "request.head", detail)
}

fn unreadable<L, T>(
    core: &service::EntryCore<L, T>,
    error: &job_reader::ReadFault,
) -> problem::Problem {
    let kind = problem::ProblemKind::Unavailable;
    let outcome = model::RequestOutcome::Unknown;
    let problem = problem::Problem::new(kind, outcome, "job.read", error.to_string());
    problem.retry_after(core.settings.retry_after)
}
