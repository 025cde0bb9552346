//! Callers that send requests and keep a record of what they were told.

use std::time::Duration;

use almondpass_schema::{ids, model};
use bytes::Bytes;
use http_body_util::Full;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};
use uuid::Uuid;

use crate::demo::balancer;
use crate::demo::clock;
use crate::demo::http_client;
use crate::demo::ledger;
use crate::demo::site;

/// Deadline that the demo's callers send along.
const DEADLINE: Duration = Duration::from_secs(10);
/// For one attempt; past the deadline the instance has long answered.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(15);
/// Attempts of one request at most.
const MAX_ATTEMPTS: u32 = 8;
/// Pause where no instance is ready, and the longest after a refusal.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Pause after an attempt that did not reach an instance.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest filler of a body, in bytes.
const FILLER_BYTES: usize = 4096;
/// Share of the bodies that are large.
const LARGE_SHARE: f64 = 0.01;
/// Filler of a large body, in bytes.
const LARGE_BYTES: usize = 256 << 10;
/// Random streams of single requests begin here, behind those of the traffic.
const ONE_OFF_STREAMS: u64 = 1 << 32;
/// Names the job class of a request.
const CLASS_HEADER: &str = "x-job-class";
/// Carries the deadline of a request.
const DEADLINE_HEADER: &str = "x-deadline";
/// Marks what must run at most once.
const KEY_HEADER: &str = "idempotency-key";
/// Carries the id of a request.
const REQUEST_HEADER: &str = "x-request-id";

/// What all callers share.
#[derive(Clone)]
pub struct CallerContext {
    /// Where they send to.
    pub balancer: balancer::CallerBalancer,
    /// Where they write down what became of it.
    pub ledger: ledger::CallerLedger,
    /// True once no new work is to be sent.
    pub stop: watch::Receiver<bool>,
    /// Seed of the traffic.
    pub seed: u64,
}

/// One request, the same over its attempts.
struct CallerRequest {
    account: ids::AccountId,
    class: ids::ClassName,
    key: Option<ids::IdempotencyKey>,
    body: Bytes,
}

/// What one attempt leads to.
enum NextStep {
    Final(model::RequestOutcome),
    /// Nothing ran; an attempt later may.
    Later(Duration),
    /// Nobody can tell; a repeat is safe, as it is repeatable or carries its key.
    Repeat,
}

impl CallerContext {
    /// Waits for `span`, or until there is nothing more to send; true where there is.
    pub async fn go_on_after(&mut self, span: Duration) -> bool {
        tokio::select! {
            _ = self.stop.wait_for(|stop| *stop) => false,
            () = time::sleep(span) => true,
        }
    }
}

/// Sends the requests of a stream until the traffic stops, and waits for their answers.
pub async fn run(
    mut context: CallerContext,
    stream: site::RequestStream,
    repeatable: bool,
    number: u64,
) {
    let mut random = clock::TrafficRandom::new(context.seed, number);
    let gap = Duration::from_secs_f64(1.0 / stream.per_second);
    let mut requests = JoinSet::new();
    while context.go_on_after(random.around(gap)).await {
        let request = new_request(&stream, repeatable, &mut random);
        requests.spawn(send(context.clone(), request));
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
}

/// Sends one request of a stream.
pub async fn send_one(
    context: CallerContext,
    stream: site::RequestStream,
    repeatable: bool,
    number: u64,
) {
    let mut random = clock::TrafficRandom::new(context.seed, ONE_OFF_STREAMS + number);
    let request = new_request(&stream, repeatable, &mut random);
    send(context, request).await;
}

fn new_request(
    stream: &site::RequestStream,
    repeatable: bool,
    random: &mut clock::TrafficRandom,
) -> CallerRequest {
    let millis = random.around(stream.run).as_millis();
    let large = random.happens(LARGE_SHARE);
    let filler = if large { LARGE_BYTES } else { random.below(FILLER_BYTES) };
    let (account, class) = (&stream.account, &stream.class);
    // The stand-in upstream runs for the span of the first line and answers with the body.
    let mut body = format!("run {millis}ms\n{account} {class} {}\n", Uuid::new_v4());
    body.extend(std::iter::repeat_n('.', filler));
    CallerRequest {
        account: account.clone(),
        class: class.clone(),
        key: (!repeatable).then(Uuid::now_v7),
        body: body.into(),
    }
}

/// Sends one request, again where that is safe, and records what its caller was told.
async fn send(context: CallerContext, request: CallerRequest) {
    let started = Instant::now();
    let mut lost = false;
    let mut outcome = model::RequestOutcome::NotRun;
    for _ in 0..MAX_ATTEMPTS {
        let Some(instance) = context.balancer.choose() else {
            time::sleep(RETRY_PAUSE).await;
            continue;
        };
        match attempt(&context, &request, &instance).await {
            NextStep::Final(told) => {
                outcome = told;
                break;
            }
            NextStep::Later(pause) => time::sleep(pause.min(LONGEST_PAUSE)).await,
            NextStep::Repeat => {
                lost = true;
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
    // A refusal of the last attempt is no proof for one whose answer was lost before it.
    if lost && outcome == model::RequestOutcome::NotRun {
        outcome = model::RequestOutcome::Unknown;
    }
    context.ledger.push_request(ledger::RequestRecord {
        account: request.account,
        class: request.class,
        key: request.key,
        outcome,
        elapsed: started.elapsed(),
    });
}

async fn attempt(
    context: &CallerContext,
    request: &CallerRequest,
    instance: &balancer::BalancedInstance,
) -> NextStep {
    let sent_at = Instant::now();
    let answer =
        http_client::exchange(instance.callers, http_request(request), ATTEMPT_LIMIT).await;
    let mut id = None;
    let (fate, next) = match answer {
        Err(http_client::ExchangeFault::NotSent) => {
            (ledger::AttemptFate::NotSent, NextStep::Later(RETRY_PAUSE))
        }
        Err(http_client::ExchangeFault::Broken(detail)) => {
            (ledger::AttemptFate::Broken(detail), NextStep::Repeat)
        }
        Ok(response) => {
            id = request_id(&response);
            judge(request, &response, &mut id)
        }
    };
    context.ledger.push_attempt(ledger::AttemptRecord {
        instance: instance.id.clone(),
        sent_at,
        ended_at: Instant::now(),
        request: id,
        fate,
    });
    next
}

fn judge(
    request: &CallerRequest,
    response: &http::Response<Bytes>,
    id: &mut Option<ids::RequestId>,
) -> (ledger::AttemptFate, NextStep) {
    if response.status().is_success() {
        let own = *response.body() == request.body && id.is_some();
        return match own {
            true => (ledger::AttemptFate::Own, NextStep::Final(model::RequestOutcome::Done)),
            false => {
                (ledger::AttemptFate::Foreign, NextStep::Final(model::RequestOutcome::Unknown))
            }
        };
    }
    let Ok(problem) = serde_json::from_slice::<model::ProblemDetails>(response.body()) else {
        return (ledger::AttemptFate::Foreign, NextStep::Final(model::RequestOutcome::Unknown));
    };
    *id = problem.request.or(*id);
    let next = match (problem.outcome, problem.retry_after) {
        (model::RequestOutcome::NotRun, Some(pause)) => NextStep::Later(pause.0),
        (outcome, _) => NextStep::Final(outcome),
    };
    (ledger::AttemptFate::Told(problem.outcome), next)
}

fn http_request(request: &CallerRequest) -> http::Request<Full<Bytes>> {
    let bearer = format!("Bearer {}", site::SitePlan::account_key(&request.account));
    let mut builder = http::Request::builder()
        .method(http::Method::POST)
        .uri("/v1/requests")
        .header(http::header::HOST, "almondpass")
        .header(http::header::AUTHORIZATION, bearer)
        .header(http::header::CONTENT_TYPE, "text/plain")
        .header(CLASS_HEADER, &request.class)
        .header(DEADLINE_HEADER, format!("{}s", DEADLINE.as_secs()));
    if let Some(key) = request.key {
        builder = builder.header(KEY_HEADER, key.to_string());
    }
    // Every part of the head is made of visible characters, so that it is always a valid one.
    builder.body(Full::new(request.body.clone())).unwrap_or_default()
}

fn request_id(response: &http::Response<Bytes>) -> Option<ids::RequestId> {
    response.headers().get(REQUEST_HEADER)?.to_str().ok()?.parse().ok()
}
