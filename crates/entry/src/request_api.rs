//! `POST /v1/requests`: a request that is answered on the same connection.

use std::sync::Arc;

use almondpass_peer::link::HallLink;
use almondpass_ports::table::TableService;
use almondpass_schema::model;
use hyper::body::Incoming;

use crate::attempt_log;
use crate::body_head;
use crate::checked_request;
use crate::exchange;
use crate::grant_ledger;
use crate::problem;
use crate::refusal;
use crate::refused_request;
use crate::relay_body;
use crate::request_head;
use crate::service;
use crate::slot_search;
use crate::upload_body;

/// Exchanges of one request, at most.
const ATTEMPTS: u32 = 3;

/// Reads the body, finds a slot, and relays the answer.
pub async fn run<L: HallLink, T: TableService>(
    core: Arc<service::EntryCore<L, T>>,
    checked: checked_request::CheckedRequest,
    body: Incoming,
) -> Result<http::Response<service::EntryBody>, refused_request::RefusedRequest> {
    let class = checked.class.clone();
    let arrived = checked.record.arrived;
    let answer = relay(&core, checked, body).await;
    if let Err(refused) = &answer
        && !refused.measured
    {
        class.meter().end(refused.problem.outcome(), arrived.elapsed());
    }
    answer
}

async fn relay<L: HallLink, T: TableService>(
    core: &Arc<service::EntryCore<L, T>>,
    mut checked: checked_request::CheckedRequest,
    body: Incoming,
) -> Result<http::Response<service::EntryBody>, refused_request::RefusedRequest> {
    let mut head = read_body(core, &checked, body).await?;
    core.retries.earn();
    let mut attempts = attempt_log::AttemptLog::default();
    loop {
        let ticket = slot_search::obtain(core, &checked, &attempts).await?;
        let replayable = head.replayable();
        let keyed = checked.key.is_some();
        let attempt = Box::pin(attempt(Arc::clone(core), checked, ticket, head.upload()));
        let result = if keyed { detached(attempt).await } else { Ok(attempt.await) };
        let failed = match result? {
            Ok((parts, body)) => return respond(parts, body).await,
            Err(failed) => *failed,
        };
        checked = failed.checked;
        let error = failed.error;
        tracing::info!(request = %checked.request, %error, sent = error.sent, "exchange failed");
        attempts.note(&error);
        let again = checked.key.is_none()
            && replayable
            && error.fault.may_pass()
            && attempts.n_failed < ATTEMPTS
            && !checked.deadline.passed()
            && core.retries.spend();
        if !again {
            let leftover = error.upload.take_leftover();
            let problem =
                refusal::exchange_problem(&attempts, &error).retry_after(core.settings.retry_after);
            return Err(refused_request::RefusedRequest { problem, leftover, measured: false });
        }
        checked.class.meter().retry();
    }
}

async fn read_body<L, T>(
    core: &service::EntryCore<L, T>,
    checked: &checked_request::CheckedRequest,
    body: Incoming,
) -> Result<body_head::BodyHead, refused_request::RefusedRequest> {
    let limits = upload_body::UploadLimits {
        max_bytes: checked.class.class().max_body_bytes,
        idle: core.settings.body_idle,
    };
    let mut incoming = Some(body);
    let deadline = checked.deadline.instant;
    let read = body_head::BodyHead::read(&mut incoming, limits, deadline).await;
    let read =
        read.map_err(|it| refusal::upload_problem(&it, checked_request::untold(checked.key)));
    read.map_err(|problem| refused_request::RefusedRequest {
        problem,
        leftover: incoming,
        measured: false,
    })
}

/// Runs an attempt to its end even where the caller goes away. Work that must not run twice would
/// otherwise be cut off in the middle and stay `unknown` for ever, though it may be done.
async fn detached<F>(attempt: F) -> Result<AttemptResult, refused_request::RefusedRequest>
where
    F: Future<Output = AttemptResult> + Send + 'static,
{
    tokio::spawn(attempt).await.map_err(|error| {
        let outcome = model::RequestOutcome::Unknown;
        let kind = problem::ProblemKind::Unavailable;
        problem::Problem::new(kind, outcome, "upstream.exchange", error.to_string()).into()
    })
}

/// A failed attempt gives the request back.
struct FailedAttempt {
    checked: checked_request::CheckedRequest,
    error: exchange::ExchangeError,
}

type AttemptResult = Result<(http::response::Parts, relay_body::RelayBody), Box<FailedAttempt>>;

async fn attempt<L: HallLink, T: TableService>(
    core: Arc<service::EntryCore<L, T>>,
    checked: checked_request::CheckedRequest,
    ticket: grant_ledger::GrantTicket,
    upload: upload_body::UploadBody,
) -> AttemptResult {
    let plan = exchange::ExchangePlan {
        request: checked.request,
        headers: &checked.headers,
        repeatable: checked.key.is_none(),
        deadline: checked.deadline.instant,
        connect_timeout: core.settings.connect_timeout,
    };
    match exchange::run(&core.pool, &plan, ticket, upload).await {
        Ok(answer) => {
            let drain = checked.key.is_some();
            let pool = core.pool.clone();
            Ok(relay_body::RelayBody::new(answer, pool, checked.record, drain))
        }
        Err(error) => Err(Box::new(FailedAttempt { checked, error })),
    }
}

async fn respond(
    mut parts: http::response::Parts,
    mut body: relay_body::RelayBody,
) -> Result<http::Response<service::EntryBody>, refused_request::RefusedRequest> {
    if let Err(fault) = body.begin().await {
        let outcome = model::RequestOutcome::Unknown;
        let kind = match fault {
            relay_body::RelayFault::TimedOut => problem::ProblemKind::DeadlinePassed,
            relay_body::RelayFault::Upstream(_) => problem::ProblemKind::UpstreamFailed,
        };
        let problem = problem::Problem::new(kind, outcome, "upstream.answer", fault.to_string());
        return Err(refused_request::RefusedRequest { problem, leftover: None, measured: true });
    }
    let length = parts.headers.remove(http::header::CONTENT_LENGTH);
    parts.headers = request_head::forwarded(&parts.headers);
    if let Some(length) = length {
        parts.headers.insert(http::header::CONTENT_LENGTH, length);
    }
    let outcome = relay_body::outcome_of(parts.status);
    parts.headers.insert(problem::OUTCOME_HEADER, problem::outcome_value(outcome));
    parts.version = http::Version::HTTP_11;
    parts.extensions.clear();
    Ok(http::Response::from_parts(parts, service::EntryBody::Relay(body)))
}
