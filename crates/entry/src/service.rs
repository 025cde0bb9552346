//! Answers the requests of callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use almondpass_config::active;
use almondpass_peer::link::HallLink;
use almondpass_ports::clock;
use almondpass_ports::table::TableService;
use almondpass_schema::{ids, model};
use bytes::Bytes;
use http::header;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::sync::watch;
use uuid::Uuid;

use crate::admission;
use crate::checked_request;
use crate::config_index;
use crate::grant_ledger;
use crate::job_api;
use crate::job_reader;
use crate::problem;
use crate::refused_request;
use crate::relay_body;
use crate::request_api;
use crate::request_head;
use crate::retry_budget;
use crate::settings;
use crate::upstream_pool;

/// Bytes of a refused body that are still read, so that the refusal arrives: a socket closed on
/// unread bytes is reset, and the caller may lose the answer that tells it why.
const LINGER_BYTES: usize = 4 * 1024 * 1024;
/// And for how long.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Calls to the jobs' interface at a time, as a share of the requests.
const JOB_CALLS: u32 = 4;
/// Calls to the jobs' interface at a time of one account.
const ACCOUNT_CALLS: usize = 64;

/// What every request needs.
#[derive(Debug)]
pub struct EntryCore<L, T> {
    /// Settings.
    pub settings: settings::EntrySettings,
    /// Reaches hall schedulers.
    pub link: L,
    /// Time of day.
    pub clock: clock::WallClock,
    /// Configuration in force.
    pub configs: config_index::ConfigWatch,
    /// Places for requests.
    pub requests: admission::AdmissionGate,
    /// Places for calls to the jobs' interface.
    pub calls: admission::AdmissionGate,
    /// Grants in use.
    pub ledger: grant_ledger::GrantLedger,
    /// Connections to upstreams.
    pub pool: upstream_pool::UpstreamPool,
    /// Retries that are left.
    pub retries: retry_budget::RetryBudget,
    /// Reads jobs.
    pub jobs: job_reader::JobReader<T>,
}

/// What an entry is made of.
#[derive(Clone, Debug)]
pub struct EntryParts<L, T> {
    /// Settings.
    pub settings: settings::EntrySettings,
    /// Reaches hall schedulers.
    pub link: L,
    /// Has the jobs' rows.
    pub table: T,
    /// Time of day.
    pub clock: clock::WallClock,
    /// Configuration in force.
    pub configs: watch::Receiver<Arc<active::ActiveConfig>>,
}

/// Answers requests; cheap to clone.
#[derive(Debug)]
pub struct EntryService<L, T> {
    core: Arc<EntryCore<L, T>>,
}

impl<L, T> Clone for EntryService<L, T> {
    fn clone(&self) -> EntryService<L, T> {
        EntryService { core: Arc::clone(&self.core) }
    }
}

impl<L: HallLink, T: TableService> EntryService<L, T> {
    /// An entry over these parts.
    pub fn new(parts: EntryParts<L, T>) -> EntryService<L, T> {
        let places = parts.settings.limits.requests_in_flight;
        let core = EntryCore {
            link: parts.link,
            clock: parts.clock,
            configs: config_index::ConfigWatch::new(parts.configs),
            requests: admission::AdmissionGate::new(places),
            calls: admission::AdmissionGate::new(places.div_ceil(JOB_CALLS)),
            ledger: grant_ledger::GrantLedger::default(),
            pool: upstream_pool::UpstreamPool::default(),
            retries: retry_budget::RetryBudget::default(),
            jobs: job_reader::JobReader::new(parts.table, &parts.settings),
            settings: parts.settings,
        };
        EntryService { core: Arc::new(core) }
    }

    /// What the requests share.
    pub fn core(&self) -> &Arc<EntryCore<L, T>> {
        &self.core
    }

    /// Answers one request. Every answer carries the request's id and the outcome.
    pub async fn answer(
        self,
        request: http::Request<Incoming>,
    ) -> Result<http::Response<EntryBody>, Infallible> {
        let id = Uuid::now_v7();
        let expects = request.headers().contains_key(header::EXPECT);
        let mut response = match self.route(id, request).await {
            Ok(response) => response,
            Err(refused) => {
                // A caller that waits for `100 Continue` has sent nothing, and reading would ask it to.
                if let Some(leftover) = refused.leftover.filter(|_| !expects) {
                    tokio::spawn(linger(leftover));
                }
                refused.problem.of(id).into_response().map(EntryBody::whole)
            }
        };
        response.headers_mut().insert(request_head::REQUEST_HEADER, request_head::id_value(&id));
        Ok(response)
    }

    /// Refuses a request on a connection beyond the limit.
    pub fn refuse(&self, request: &http::Request<Incoming>) -> http::Response<EntryBody> {
        // Proof of `not_run` where there is no key: nobody but this function heard of it.
        let outcome = match request.headers().contains_key(request_head::KEY_HEADER) {
            true => model::RequestOutcome::Unknown,
            false => model::RequestOutcome::NotRun,
        };
        let kind = problem::ProblemKind::Busy;
        let detail = "expected room for a connection, found this instance full";
        let problem = problem::Problem::new(kind, outcome, "connection.admission", detail);
        let problem = problem.retry_after(self.core.settings.retry_after);
        problem.into_response().map(EntryBody::whole)
    }

    async fn route(
        &self,
        id: ids::RequestId,
        request: http::Request<Incoming>,
    ) -> Result<http::Response<EntryBody>, refused_request::RefusedRequest> {
        let (parts, body) = request.into_parts();
        let caller = match self.admit(&parts) {
            Ok(caller) => caller,
            Err(problem) => return Err(refuse(problem, body)),
        };
        if parts.uri.path().trim_end_matches('/') != REQUESTS_PATH {
            return self.route_job(&caller, &parts, body).await;
        }
        if parts.method != http::Method::POST {
            return Err(refuse(wrong_method(&parts.method, "POST"), body));
        }
        match checked_request::check(&self.core, &caller, id, parts.headers) {
            Ok(checked) => request_api::run(Arc::clone(&self.core), checked, body).await,
            Err(problem) => Err(refuse(problem, body)),
        }
    }

    async fn route_job(
        &self,
        caller: &config_index::CallerAccount,
        parts: &http::request::Parts,
        body: Incoming,
    ) -> Result<http::Response<EntryBody>, refused_request::RefusedRequest> {
        let n_accounts = caller.document().accounts.len();
        let entered = self.core.calls.enter(&caller.account().id, n_accounts, ACCOUNT_CALLS);
        let permit = match entered {
            Ok(permit) => permit,
            Err(cause) => {
                let kind = problem::ProblemKind::Busy;
                let outcome = model::RequestOutcome::Unknown;
                let problem =
                    problem::Problem::new(kind, outcome, "request.admission", cause.to_string());
                let problem = problem.retry_after(self.core.settings.retry_after);
                return Err(refuse(problem, body));
            }
        };
        let answer = job_api::route(&self.core, caller, parts, body).await;
        drop(permit);
        answer
    }

    /// Refuses what is not even worth routing.
    fn admit(
        &self,
        parts: &http::request::Parts,
    ) -> Result<config_index::CallerAccount, problem::Problem> {
        // Proof of `not_run` for all three: nobody but this function has heard of the request. The
        // first and the last are refused each time they are sent; while there is no configuration
        // no key is known either, so `unknown` is said.
        let outcome = model::RequestOutcome::NotRun;
        let largest = self.core.settings.limits.header_bytes as usize;
        let n_path = parts.uri.path_and_query().map_or(0, |it| it.as_str().len());
        let n_bytes = request_head::n_bytes(&parts.headers) + n_path;
        if largest < n_bytes {
            let kind = problem::ProblemKind::HeadTooLarge;
            let detail = format!("expected a head of at most {largest} bytes, found {n_bytes}");
            return Err(problem::Problem::new(kind, outcome, "request.head", detail));
        }
        let index = self.core.configs.current();
        if index.version() == 0 {
            let kind = problem::ProblemKind::Unavailable;
            let detail = "expected a configuration in force, found none yet";
            let outcome = model::RequestOutcome::Unknown;
            let problem = problem::Problem::new(kind, outcome, "request.configuration", detail);
            return Err(problem.retry_after(self.core.settings.retry_after));
        }
        let key = request_head::bearer(&parts.headers);
        let caller = key.and_then(|it| config_index::CallerAccount::authenticate(index, it));
        caller.ok_or_else(|| {
            let kind = problem::ProblemKind::Unauthenticated;
            let detail = "expected `Authorization: Bearer` with a known key";
            problem::Problem::new(kind, outcome, "request.authentication", detail)
        })
    }
}

/// Path of requests answered on their connection.
const REQUESTS_PATH: &str = "/v1/requests";

/// A refusal before the body was touched.
pub(crate) fn refuse(problem: problem::Problem, body: Incoming) -> refused_request::RefusedRequest {
    let leftover = Some(body).filter(|it| !it.is_end_stream());
    refused_request::RefusedRequest { problem, leftover, measured: false }
}

/// A method that the path does not know.
pub(crate) fn wrong_method(found: &http::Method, expected: &str) -> problem::Problem {
    let kind = problem::ProblemKind::MethodNotAllowed;
    let detail = format!("expected {expected}, found {found}");
    // Proof of `not_run`: no part of ours acts on such a method.
    problem::Problem::new(kind, model::RequestOutcome::NotRun, "request.head", detail)
}

async fn linger(mut body: Incoming) {
    let reading = async {
        let mut n_bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            n_bytes += frame.data_ref().map_or(0, Bytes::len);
            if LINGER_BYTES < n_bytes {
                return;
            }
        }
    };
    // Either way the connection closes after this.
    let _ = tokio::time::timeout(LINGER_TIME, reading).await;
}

/// Body of an answer: ours, or an upstream's.
#[derive(Debug)]
pub enum EntryBody {
    /// Ours.
    Whole(Full<Bytes>),
    /// An upstream's.
    Relay(relay_body::RelayBody),
}

impl EntryBody {
    /// A body at hand.
    pub fn whole(body: Bytes) -> EntryBody {
        EntryBody::Whole(Full::new(body))
    }
}

impl Body for EntryBody {
    type Data = Bytes;
    type Error = relay_body::RelayFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, relay_body::RelayFault>>> {
        match self.get_mut() {
            EntryBody::Whole(body) => {
                let next = ready!(Pin::new(body).poll_frame(cx));
                Poll::Ready(next.map(|it| it.map_err(|it| match it {})))
            }
            EntryBody::Relay(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            EntryBody::Whole(body) => body.is_end_stream(),
            EntryBody::Relay(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            EntryBody::Whole(body) => body.size_hint(),
            EntryBody::Relay(body) => body.size_hint(),
        }
    }
}
