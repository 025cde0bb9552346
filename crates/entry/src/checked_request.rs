//! What is checked of a request before its body is read.

use almondpass_schema::{ids, model};
use http::HeaderMap;
use tokio::time::Instant;

use crate::admission;
use crate::config_index;
use crate::deadline;
use crate::problem;
use crate::refusal;
use crate::relay_body;
use crate::request_head;
use crate::service;

/// A request whose head is in order.
#[derive(Debug)]
pub struct CheckedRequest {
    /// Its id.
    pub request: ids::RequestId,
    /// Its class and caller.
    pub class: config_index::CallerClass,
    /// Its key, where it is not repeatable.
    pub key: Option<ids::IdempotencyKey>,
    /// When the caller stops waiting.
    pub deadline: deadline::CallerDeadline,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// What is told when it is over.
    pub record: relay_body::CompletionRecord,
}

/// What a refusal before any scheduler was asked says. The work of a key may have run when the
/// key was used before, through another entry perhaps, and only its home hall knows; `not_run`
/// would make the caller send it again under a new key, and it would run twice.
pub fn untold(key: Option<ids::IdempotencyKey>) -> model::RequestOutcome {
    match key {
        Some(_) => model::RequestOutcome::Unknown,
        // Proof of `not_run`: without a key this request is all there is of the work, and neither
        // a scheduler nor an upstream has heard of it.
        None => model::RequestOutcome::NotRun,
    }
}

/// Checks the head and takes a place on this instance.
pub fn check<L, T>(
    core: &service::EntryCore<L, T>,
    caller: &config_index::CallerAccount,
    request: ids::RequestId,
    headers: HeaderMap,
) -> Result<CheckedRequest, problem::Problem> {
    let Some(name) = request_head::text(&headers, &request_head::CLASS_HEADER)? else {
        return Err(request_head::invalid("expected a header x-job-class, found none"));
    };
    let class = caller.class(name).filter(|it| it.class().kind == model::ClassKind::Request);
    let Some(class) = class else {
        let detail = format!("expected a class of requests in x-job-class, found `{name}`");
        return Err(request_head::invalid(detail));
    };
    let deadline = request_head::deadline(&headers, &core.clock, class.class())?;
    let key = match request_head::key(&headers, &core.clock)? {
        _ if class.class().repeatable => None,
        Some(key) => Some(key),
        None => {
            let detail = format!("expected an idempotency-key for class `{name}`, found none");
            return Err(request_head::invalid(detail));
        }
    };
    check_length(class.class(), &headers)?;
    if deadline.passed() {
        return Err(refusal::too_late(untold(key), "request.head"));
    }
    let record = admit(core, request, &class, key)?;
    Ok(CheckedRequest { request, class, key, deadline, headers, record })
}

fn check_length(class: &model::JobClass, headers: &HeaderMap) -> Result<(), problem::Problem> {
    let announced = request_head::content_length(headers).unwrap_or(0);
    if announced <= class.max_body_bytes {
        return Ok(());
    }
    // Proof of `not_run`: a body of this length is refused each time, before anyone hears of it.
    Err(problem::Problem::new(
        problem::ProblemKind::BodyTooLarge,
        model::RequestOutcome::NotRun,
        "request.head",
        format!("expected a body of at most {} bytes, found {announced}", class.max_body_bytes),
    ))
}

fn admit<L, T>(
    core: &service::EntryCore<L, T>,
    request: ids::RequestId,
    class: &config_index::CallerClass,
    key: Option<ids::IdempotencyKey>,
) -> Result<relay_body::CompletionRecord, problem::Problem> {
    let arrived = Instant::now();
    let account = class.caller().account();
    let n_accounts = class.caller().document().accounts.len();
    let limits = &account.limits;
    let own = limits.running_requests.saturating_add(limits.queued_requests) as usize;
    match core.requests.enter(&account.id, n_accounts, own) {
        Ok(permit) => {
            Ok(relay_body::CompletionRecord { request, class: class.clone(), arrived, permit })
        }
        Err(cause) => {
            class.meter().shed();
            let kind = match cause {
                admission::ShedCause::AccountFull => problem::ProblemKind::AccountLimit,
                admission::ShedCause::InstanceFull => problem::ProblemKind::Busy,
            };
            let detail = cause.to_string();
            let problem = problem::Problem::new(kind, untold(key), "request.admission", detail);
            Err(problem.retry_after(core.settings.retry_after))
        }
    }
}
