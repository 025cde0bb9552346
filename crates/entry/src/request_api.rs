//! `POST /v1/requests`: a request that is answered on the same connection.

use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::link::HallLink;
use almondpass_platform::table::TableService;
use almondpass_schema::{ids, model};
use http::HeaderMap;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::admission;
use crate::body_head;
use crate::config_index;
use crate::deadline;
use crate::exchange;
use crate::grant_ledger;
use crate::hall_choice;
use crate::problem;
use crate::relay_body;
use crate::request_head;
use crate::service;
use crate::upload_body;

/// Exchanges of one request, at most.
const ATTEMPTS: u32 = 3;
/// Halls asked for one slot, at most.
const HALLS_ASKED: usize = 3;

/// A request whose head is in order.
#[derive(Debug)]
pub struct CheckedRequest {
    request: ids::RequestId,
    class: config_index::CallerClass,
    key: Option<ids::IdempotencyKey>,
    deadline: deadline::CallerDeadline,
    headers: HeaderMap,
    record: relay_body::CompletionRecord,
}

/// An answer of our own, with what is left of the caller's body.
#[derive(Debug)]
pub struct RefusedRequest {
    /// The answer.
    pub problem: problem::Problem,
    /// Body that nobody reads any more.
    pub leftover: Option<Incoming>,
    /// Whether its outcome was measured already.
    pub measured: bool,
}

impl From<problem::Problem> for RefusedRequest {
    fn from(problem: problem::Problem) -> RefusedRequest {
        RefusedRequest { problem, leftover: None, measured: false }
    }
}

/// What a refusal before any scheduler was asked says. The work of a key may have run when the
/// key was used before, through another entry perhaps, and only its home hall knows; `not_run`
/// would make the caller send it again under a new key, and it would run twice.
fn untold(key: Option<ids::IdempotencyKey>) -> model::RequestOutcome {
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
        return Err(too_late(untold(key), "request.head"));
    }
    let record = admit(core, &class, key)?;
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
    class: &config_index::CallerClass,
    key: Option<ids::IdempotencyKey>,
) -> Result<relay_body::CompletionRecord, problem::Problem> {
    let arrived = Instant::now();
    let account = class.caller().account();
    let n_accounts = class.caller().document().accounts.len();
    let limits = &account.limits;
    let own = limits.running_requests.saturating_add(limits.queued_requests) as usize;
    match core.requests.enter(&account.id, n_accounts, own) {
        Ok(permit) => Ok(relay_body::CompletionRecord { class: class.clone(), arrived, permit }),
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

/// Reads the body, finds a slot, and relays the answer.
pub async fn run<L: HallLink, T: TableService>(
    core: Arc<service::EntryCore<L, T>>,
    checked: CheckedRequest,
    body: Incoming,
) -> Result<http::Response<service::EntryBody>, RefusedRequest> {
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
    mut checked: CheckedRequest,
    body: Incoming,
) -> Result<http::Response<service::EntryBody>, RefusedRequest> {
    let mut head = read_body(core, &checked, body).await?;
    core.retries.earn();
    let mut attempts = AttemptLog::default();
    loop {
        let ticket = obtain(core, &checked, &attempts).await?;
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
            let problem = exchange_problem(core, &attempts, &error);
            return Err(RefusedRequest { problem, leftover, measured: false });
        }
        checked.class.meter().retry();
    }
}

async fn read_body<L, T>(
    core: &service::EntryCore<L, T>,
    checked: &CheckedRequest,
    body: Incoming,
) -> Result<body_head::BodyHead, RefusedRequest> {
    let limits = upload_body::UploadLimits {
        max_bytes: checked.class.class().max_body_bytes,
        idle: core.settings.body_idle,
    };
    let mut incoming = Some(body);
    let deadline = checked.deadline.instant;
    let read = body_head::BodyHead::read(&mut incoming, limits, deadline).await;
    let read = read.map_err(|it| upload_problem(&it, untold(checked.key)));
    read.map_err(|problem| RefusedRequest { problem, leftover: incoming, measured: false })
}

/// Runs an attempt to its end even where the caller goes away. Work that must not run twice would
/// otherwise be cut off in the middle and stay `unknown` for ever, though it may be done.
async fn detached<F>(attempt: F) -> Result<AttemptResult, RefusedRequest>
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
    checked: CheckedRequest,
    error: exchange::ExchangeError,
}

type AttemptResult = Result<(http::response::Parts, relay_body::RelayBody), Box<FailedAttempt>>;

async fn attempt<L: HallLink, T: TableService>(
    core: Arc<service::EntryCore<L, T>>,
    checked: CheckedRequest,
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

/// Earlier attempts of a request.
#[derive(Debug, Default)]
struct AttemptLog {
    n_failed: u32,
    sent: bool,
    exclude: Vec<ids::WorkerId>,
}

impl AttemptLog {
    fn note(&mut self, error: &exchange::ExchangeError) {
        self.n_failed += 1;
        self.sent |= error.sent;
        if !self.exclude.contains(&error.worker) {
            self.exclude.push(error.worker.clone());
        }
    }

    /// What can be said where the attempt at hand sent nothing.
    fn outcome(&self) -> model::RequestOutcome {
        // Proof of `not_run`: each attempt's gate counted no byte, and each connection is closed.
        if self.sent { model::RequestOutcome::Unknown } else { model::RequestOutcome::NotRun }
    }
}

async fn respond(
    mut parts: http::response::Parts,
    mut body: relay_body::RelayBody,
) -> Result<http::Response<service::EntryBody>, RefusedRequest> {
    if let Err(fault) = body.settle_empty().await {
        let outcome = model::RequestOutcome::Unknown;
        let kind = problem::ProblemKind::UpstreamFailed;
        let problem = problem::Problem::new(kind, outcome, "upstream.answer", fault.to_string());
        return Err(RefusedRequest { problem, leftover: None, measured: true });
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

/// Asks hall schedulers for a slot.
async fn obtain<L: HallLink, T>(
    core: &service::EntryCore<L, T>,
    checked: &CheckedRequest,
    attempts: &AttemptLog,
) -> Result<grant_ledger::GrantTicket, problem::Problem> {
    let asked_at = Instant::now();
    let halls = choose(core, checked)?;
    let mut refusal = None;
    for hall in halls {
        let left = checked.deadline.left();
        if left.is_zero() {
            break;
        }
        let call = grant_request(core, checked, attempts, hall);
        let asked = Asked { checked, attempts, hall: call.hall.clone() };
        let reply = core.link.ask(call, left.min(core.settings.ask_timeout)).await;
        match asked.read(core, reply) {
            Reply::Granted(grant) => {
                checked.class.meter().granted(asked_at.elapsed());
                return Ok(core.ledger.open(*grant));
            }
            Reply::Final(problem) => return Err(problem),
            Reply::Next(problem) => refusal = sooner(refusal, problem),
        }
    }
    Err(refusal.unwrap_or_else(|| too_late(asked_outcome(checked, attempts), "hall.grant")))
}

/// Of two refusals, the one that lets the caller come back sooner.
fn sooner(known: Option<problem::Problem>, new: problem::Problem) -> Option<problem::Problem> {
    let span = |it: &problem::Problem| it.details().retry_after.map_or(Duration::MAX, |it| it.0);
    // An `unknown` must not be hidden by a later hall's `not_run`.
    match known {
        Some(known) if known.outcome() == model::RequestOutcome::Unknown => Some(known),
        Some(known)
            if new.outcome() != model::RequestOutcome::Unknown && span(&known) <= span(&new) =>
        {
            Some(known)
        }
        _ => Some(new),
    }
}

fn choose<L: HallLink, T>(
    core: &service::EntryCore<L, T>,
    checked: &CheckedRequest,
) -> Result<Vec<ids::HallName>, problem::Problem> {
    let document = checked.class.caller().document();
    let upstream = &checked.class.class().upstream;
    if let Some(key) = checked.key {
        let home = hall_choice::home(document, upstream, &key);
        return home.map(|it| vec![it]).ok_or_else(|| no_hall(untold(checked.key), upstream));
    }
    let summaries = core.link.summaries();
    let options = hall_choice::ranked(document, upstream, &summaries, &core.settings.data_center);
    let Some(best) = options.first() else {
        return Err(no_hall(untold(checked.key), upstream));
    };
    let wait = best.wait.unwrap_or_default();
    if checked.deadline.left() < wait {
        checked.class.meter().shed();
        let outcome = untold(checked.key);
        return Err(too_late(outcome, "request.shed").retry_after(wait));
    }
    Ok(options.into_iter().take(HALLS_ASKED).map(|it| it.hall).collect())
}

fn grant_request<L, T>(
    core: &service::EntryCore<L, T>,
    checked: &CheckedRequest,
    attempts: &AttemptLog,
    hall: ids::HallName,
) -> model::GrantRequest {
    model::GrantRequest {
        request: checked.request,
        hall,
        account: checked.class.caller().account().id.clone(),
        class: checked.class.class().name.clone(),
        deadline: checked.deadline.wall,
        attempt: attempts.n_failed,
        exclude: attempts.exclude.clone(),
        idempotency: checked.key,
        entry: core.settings.instance.clone(),
    }
}

/// What a scheduler's answer means for a request.
enum Reply {
    Granted(Box<model::SlotGrant>),
    Final(problem::Problem),
    Next(problem::Problem),
}

struct Asked<'a> {
    checked: &'a CheckedRequest,
    attempts: &'a AttemptLog,
    hall: ids::HallName,
}

impl Asked<'_> {
    fn read<L, T>(
        &self,
        core: &service::EntryCore<L, T>,
        reply: Result<model::GrantReply, almondpass_peer::error::CallError>,
    ) -> Reply {
        match reply {
            Ok(model::GrantReply::Granted { grant }) => Reply::Granted(Box::new(grant)),
            Ok(model::GrantReply::Busy { reason, retry_after, unrecorded }) => {
                let kind = kind_of(reason.code);
                let problem = self.problem(kind, self.outcome(unrecorded), &reason.text);
                Reply::Next(problem.because(reason).retry_after(retry_after.0))
            }
            Ok(model::GrantReply::Refused { reason, unrecorded }) => {
                self.refused(reason, unrecorded)
            }
            Ok(model::GrantReply::Recorded { outcome, request }) => {
                let detail = format!("expected a new key, found one that request {request} used");
                Reply::Final(self.problem(problem::ProblemKind::Recorded, outcome, &detail))
            }
            Ok(model::GrantReply::NotHolder { .. }) => {
                let detail = "expected a scheduler for the hall, found none";
                self.unavailable(core, detail)
            }
            Err(error) if error.fault.had_no_effect() => self.unavailable(core, &error.to_string()),
            Err(error) => {
                core.ledger.forgo(self.checked.request, &self.hall);
                self.unavailable(core, &error.to_string())
            }
        }
    }

    /// What a refusal by a scheduler says. `busy` or `refused` mean that this request was not sent;
    /// a key may have been used before all the same.
    fn outcome(&self, unrecorded: bool) -> model::RequestOutcome {
        if unrecorded {
            // Proof of `not_run`: the home hall looked the key up and has no record of it, so no
            // earlier request was sent under it; and this one was not sent either.
            self.attempts.outcome()
        } else {
            asked_outcome(self.checked, self.attempts)
        }
    }

    fn refused(&self, reason: model::WaitReason, unrecorded: bool) -> Reply {
        let kind = kind_of(reason.code);
        let problem = self.problem(kind, self.outcome(unrecorded), &reason.text).because(reason);
        match kind {
            problem::ProblemKind::NeverFits
            | problem::ProblemKind::Busy
            | problem::ProblemKind::Unavailable => Reply::Next(problem),
            _ => Reply::Final(problem),
        }
    }

    /// The hall's scheduler was not reached, or its answer was lost. Whether it knows the key was
    /// not learnt; see `untold`.
    fn unavailable<L, T>(&self, core: &service::EntryCore<L, T>, detail: &str) -> Reply {
        let outcome = asked_outcome(self.checked, self.attempts);
        let problem = self.problem(problem::ProblemKind::Unavailable, outcome, detail);
        Reply::Next(problem.retry_after(core.settings.retry_after))
    }

    fn problem(
        &self,
        kind: problem::ProblemKind,
        outcome: model::RequestOutcome,
        detail: &str,
    ) -> problem::Problem {
        problem::Problem::new(kind, outcome, "hall.grant", detail).at(self.hall.clone())
    }
}

fn asked_outcome(checked: &CheckedRequest, attempts: &AttemptLog) -> model::RequestOutcome {
    if attempts.sent { model::RequestOutcome::Unknown } else { untold(checked.key) }
}

pub(crate) fn kind_of(code: model::WaitCode) -> problem::ProblemKind {
    match code {
        model::WaitCode::NeverFits => problem::ProblemKind::NeverFits,
        model::WaitCode::AccountLimit => problem::ProblemKind::AccountLimit,
        model::WaitCode::DeadlineMissed => problem::ProblemKind::DeadlinePassed,
        model::WaitCode::UnknownClass
        | model::WaitCode::UnknownAccount
        | model::WaitCode::KeyTooOld
        | model::WaitCode::KeyRequired
        | model::WaitCode::NotPermitted
        | model::WaitCode::JobFaulty => problem::ProblemKind::InvalidRequest,
        model::WaitCode::UpstreamUnavailable
        | model::WaitCode::StoreUnavailable
        | model::WaitCode::SchedulerStarting
        | model::WaitCode::ShuttingDown => problem::ProblemKind::Unavailable,
        _ => problem::ProblemKind::Busy,
    }
}

fn no_hall(outcome: model::RequestOutcome, upstream: &str) -> problem::Problem {
    let detail = format!("expected a hall with upstream `{upstream}`, found none");
    problem::Problem::new(problem::ProblemKind::Unavailable, outcome, "hall.choice", detail)
}

fn too_late(outcome: model::RequestOutcome, step: &str) -> problem::Problem {
    let kind = problem::ProblemKind::DeadlinePassed;
    problem::Problem::new(kind, outcome, step, "expected an answer by the deadline, found none")
}

pub(crate) fn upload_problem(
    fault: &upload_body::UploadFault,
    outcome: model::RequestOutcome,
) -> problem::Problem {
    let kind = match fault {
        upload_body::UploadFault::TooLarge(_) => problem::ProblemKind::BodyTooLarge,
        upload_body::UploadFault::Late => problem::ProblemKind::DeadlinePassed,
        upload_body::UploadFault::Idle(_) => problem::ProblemKind::RequestTimeout,
        upload_body::UploadFault::Cut(_) => problem::ProblemKind::InvalidRequest,
    };
    problem::Problem::new(kind, outcome, "request.body", fault.to_string())
}

fn exchange_problem<L, T>(
    core: &service::EntryCore<L, T>,
    attempts: &AttemptLog,
    error: &exchange::ExchangeError,
) -> problem::Problem {
    let outcome = attempts.outcome();
    let problem = match &error.fault {
        exchange::ExchangeFault::Upload(fault) => return upload_problem(fault, outcome),
        exchange::ExchangeFault::TimedOut => too_late(outcome, "upstream.exchange"),
        fault => {
            let kind = problem::ProblemKind::UpstreamFailed;
            problem::Problem::new(kind, outcome, "upstream.exchange", fault.to_string())
        }
    };
    problem.at(error.peer.clone()).retry_after(core.settings.retry_after)
}
