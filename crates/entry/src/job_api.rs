//! `/v1/jobs`: jobs that run for long, and how they stand.

use std::sync::Arc;

use almondpass_peer::link::HallLink;
use almondpass_ports::table::TableService;
use almondpass_schema::{ids, model};
use bytes::Bytes;
use http::header::{self, HeaderValue};
use hyper::body::Incoming;
use serde::Serialize;

use crate::config_index;
use crate::job_reader;
use crate::job_submission;
use crate::problem;
use crate::refusal;
use crate::refused_request;
use crate::request_head;
use crate::service;

/// Path of an account's jobs.
pub(crate) const JOBS_PATH: &str = "/v1/jobs";
/// Jobs on a page whose caller names no number.
const PAGE: u32 = 50;
/// Jobs on a page at most.
const LARGEST_PAGE: u32 = 200;

/// An answer to a call.
pub type JobAnswer = Result<http::Response<service::EntryBody>, refused_request::RefusedRequest>;

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
            http::Method::POST => job_submission::submit(core, caller, parts, body).await,
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
            let problem = unknown(refusal::kind_of(reason.code), &reason.text);
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

/// An answer with `value` as its body.
pub(crate) fn json<V: Serialize>(
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
