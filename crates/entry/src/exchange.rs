//! One exchange with an upstream: from a granted slot to the head of a valid answer.

use std::time::Duration;

use almondpass_schema::{ids, model};
use http::header::{self, HeaderMap, HeaderValue};
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use crate::grant_ledger;
use crate::request_head;
use crate::upload_body;
use crate::upstream_pool;

/// Path at which upstreams take work.
pub const UPSTREAM_PATH: &str = "/";
/// A connection that was idle for longer may be closed by the upstream just as a request goes
/// out. Repeatable work is then sent again; the rest would end as `unknown`, so it takes fresh
/// connections only.
const FRESH_IDLE: Duration = Duration::from_millis(500);
/// What repeatable work makes do with.
const LONG_IDLE: Duration = Duration::from_secs(10);

/// What is the same for every attempt of a request.
#[derive(Clone, Debug)]
pub struct ExchangePlan<'a> {
    /// The request.
    pub request: ids::RequestId,
    /// Headers of the caller.
    pub headers: &'a HeaderMap,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// For a connection to open.
    pub connect_timeout: Duration,
}

/// A valid head of an answer, with everything that its body still needs.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// Head and body.
    pub response: http::Response<Incoming>,
    /// The connection it comes on.
    pub connection: upstream_pool::UpstreamConnection,
    /// The slot.
    pub ticket: grant_ledger::GrantTicket,
    /// What became of the request's body.
    pub upload: upload_body::UploadState,
    /// When the rest of the answer must be there.
    pub until: Instant,
}

/// Why an exchange gave no valid answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ExchangeFault {
    /// No connection.
    #[error(transparent)]
    Connect(#[from] upstream_pool::ConnectFault),
    /// The connection broke.
    #[error("expected an answer, found {0}")]
    Broken(String),
    /// The caller's body did not arrive whole.
    #[error(transparent)]
    Upload(#[from] upload_body::UploadFault),
    /// Nothing came in time.
    #[error("expected an answer in time, found none")]
    TimedOut,
    /// The answer is that of another request, or of none.
    #[error("expected the answer to request {expected}, found that to {found}")]
    WrongRequest {
        /// Ours.
        expected: ids::RequestId,
        /// What it carried.
        found: String,
    },
    /// The answer's end cannot be told from a broken connection.
    #[error("expected an answer with a length or in chunks, found neither")]
    Endless,
    /// The upstream sent more than its answer.
    #[error("expected nothing after the answer, found {0}")]
    Excess(String),
}

/// A failed exchange.
#[derive(Debug, Error)]
#[error("upstream.exchange at {peer}: {fault}")]
pub struct ExchangeError {
    /// What went wrong.
    pub fault: ExchangeFault,
    /// Address of the upstream.
    pub peer: ids::PeerAddress,
    /// Its worker.
    pub worker: ids::WorkerId,
    /// Whether the upstream may have received any byte of it.
    pub sent: bool,
    /// What became of the request's body.
    pub upload: upload_body::UploadState,
}

/// Sends the request under `ticket` and awaits the head of its answer. Whatever goes wrong, the
/// connection is closed and the slot given back.
pub async fn run(
    pool: &upstream_pool::UpstreamPool,
    plan: &ExchangePlan<'_>,
    mut ticket: grant_ledger::GrantTicket,
    body: upload_body::UploadBody,
) -> Result<UpstreamAnswer, ExchangeError> {
    let upload = body.state();
    let until = plan.deadline.min(ticket.lapses());
    let mut connection = match connect(pool, plan, &ticket).await {
        Ok(connection) => connection,
        Err(fault) => return Err(fail(ticket, fault.into(), false, upload)),
    };
    let request = build(plan, ticket.grant(), body);
    ticket.sending();
    let sending = connection.send(request, ticket.start_by().min(until));
    let sent = timeout_at(until, sending).await;
    let fault = match sent {
        Err(_) => ExchangeFault::TimedOut,
        Ok(Err(fault)) => match upload.fault() {
            Some(upload) => upload.into(),
            None => ExchangeFault::Broken(fault.detail),
        },
        Ok(Ok(response)) => match check(plan, &response) {
            Ok(()) => return Ok(UpstreamAnswer { response, connection, ticket, upload, until }),
            Err(fault) => fault,
        },
    };
    let bytes_went_out = 0 < connection.bytes_out();
    // From here on nothing can follow: the connection has no task of its own and is gone.
    drop(connection);
    Err(fail(ticket, fault, bytes_went_out, upload))
}

async fn connect(
    pool: &upstream_pool::UpstreamPool,
    plan: &ExchangePlan<'_>,
    ticket: &grant_ledger::GrantTicket,
) -> Result<upstream_pool::UpstreamConnection, upstream_pool::ConnectFault> {
    let grant = ticket.grant();
    let until = ticket.start_by().min(plan.deadline).min(Instant::now() + plan.connect_timeout);
    let max_idle = if plan.repeatable { LONG_IDLE } else { FRESH_IDLE };
    let (address, share) = (&grant.address, grant.connections);
    pool.connect(&upstream_pool::ConnectionWish { address, share, max_idle, until }).await
}

fn build(
    plan: &ExchangePlan<'_>,
    grant: &model::SlotGrant,
    body: upload_body::UploadBody,
) -> http::Request<upload_body::UploadBody> {
    let mut request = http::Request::new(body);
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static(UPSTREAM_PATH);
    *request.headers_mut() = request_head::forwarded(plan.headers);
    let headers = request.headers_mut();
    headers.insert(request_head::REQUEST_HEADER, request_head::id_value(&plan.request));
    if let Ok(host) = HeaderValue::from_str(&grant.address) {
        headers.insert(header::HOST, host);
    }
    request
}

/// An upstream that mixes up its connections, or answers an earlier request late, would otherwise
/// have its answer relayed to the wrong caller: a yard would get another yard's ticket.
fn check(
    plan: &ExchangePlan<'_>,
    response: &http::Response<Incoming>,
) -> Result<(), ExchangeFault> {
    let mut ids = response.headers().get_all(request_head::REQUEST_HEADER).iter();
    let found = ids.next();
    let expected = request_head::id_value(&plan.request);
    if found != Some(&expected) || ids.next().is_some() {
        let found =
            found.map_or("none".to_owned(), |it| String::from_utf8_lossy(it.as_bytes()).into());
        return Err(ExchangeFault::WrongRequest { expected: plan.request, found });
    }
    if ends_visibly(response) { Ok(()) } else { Err(ExchangeFault::Endless) }
}

/// An answer that ends with its connection looks the same whole or cut short.
fn ends_visibly(response: &http::Response<Incoming>) -> bool {
    let headers = response.headers();
    let empty =
        matches!(response.status(), http::StatusCode::NO_CONTENT | http::StatusCode::NOT_MODIFIED);
    let chunked = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let chunked = chunked.is_some_and(|it| it.as_bytes().ends_with(b"chunked"));
    empty || chunked || headers.contains_key(header::CONTENT_LENGTH)
}

fn fail(
    ticket: grant_ledger::GrantTicket,
    fault: ExchangeFault,
    sent: bool,
    upload: upload_body::UploadState,
) -> ExchangeError {
    // Proof of `not_run`: the gate in front of the socket counted no byte of this exchange, and
    // the connection is closed, so no byte can follow.
    let outcome = if sent { model::RequestOutcome::Unknown } else { model::RequestOutcome::NotRun };
    let (peer, worker) = (ticket.grant().address.clone(), ticket.grant().worker.clone());
    ticket.settle(outcome, fault.blames_worker());
    ExchangeError { fault, peer, worker, sent, upload }
}

impl ExchangeFault {
    /// Whether the worker failed, rather than the caller or ourselves.
    pub fn blames_worker(&self) -> bool {
        match self {
            ExchangeFault::Connect(upstream_pool::ConnectFault::NoPlace(_))
            | ExchangeFault::Upload(_)
            | ExchangeFault::TimedOut => false,
            ExchangeFault::Connect(_)
            | ExchangeFault::Broken(_)
            | ExchangeFault::WrongRequest { .. }
            | ExchangeFault::Endless
            | ExchangeFault::Excess(_) => true,
        }
    }

    /// Whether another attempt could help.
    pub fn may_pass(&self) -> bool {
        !matches!(self, ExchangeFault::Upload(_) | ExchangeFault::TimedOut)
    }
}
