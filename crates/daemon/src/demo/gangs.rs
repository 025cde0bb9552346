//! Callers that submit gangs and wait for them.

use std::time::Duration;

use almondpass_schema::{ids, model, time as span};
use almondpass_standin::script;
use bytes::Bytes;
use http_body_util::Full;
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};
use uuid::Uuid;

use crate::demo::callers;
use crate::demo::clock;
use crate::demo::http_client;
use crate::demo::ledger;
use crate::demo::site;

/// For one call of the jobs' interface.
const CALL_LIMIT: Duration = Duration::from_secs(5);
/// Between two looks at a job.
const POLL: Duration = Duration::from_millis(400);
/// Pause before a call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Attempts of one call at most.
const MAX_ATTEMPTS: u32 = 30;
/// For a cancelled job to end.
const CANCEL_LIMIT: Duration = Duration::from_secs(8);
/// Cores of a task.
const TASK_CORES: u32 = 2;
/// Memory of a task in MiB.
const TASK_MEMORY_MB: u64 = 2048;
/// How long a checkpoint of a task takes.
const CHECKPOINT: Duration = Duration::from_millis(300);

/// A gang to submit.
#[derive(Clone, Debug)]
pub struct GangForm {
    /// Who submits it.
    pub account: ids::AccountId,
    /// Its class.
    pub class: ids::ClassName,
    /// Tasks with one accelerator each.
    pub tasks: u32,
    /// How close they must lie.
    pub adjacency: model::Adjacency,
    /// Guarantee that it claims.
    pub guarantee: Option<ids::GuaranteeName>,
    /// How long it really runs.
    pub run: Duration,
    /// How long its caller says that it runs.
    pub declared: Duration,
}

/// What a call of the jobs' interface came to.
enum CallAnswer<T> {
    Found(T),
    Refused(Box<model::ProblemDetails>),
    /// No attempt got an answer.
    Lost,
}

/// Submits the gangs of a stream until the traffic stops, and waits for them.
pub async fn run(mut context: callers::CallerContext, stream: site::GangStream, number: u64) {
    let mut random = clock::TrafficRandom::new(context.seed, number);
    let mut gangs = JoinSet::new();
    for _ in 0..stream.burst {
        gangs.spawn(follow(context.clone(), new_gang(&stream, &mut random)));
    }
    let gap = Duration::from_secs_f64(1.0 / stream.per_second);
    while context.go_on_after(random.around(gap)).await {
        gangs.spawn(follow(context.clone(), new_gang(&stream, &mut random)));
    }
    while gangs.join_next().await.is_some() {}
}

/// Submits one gang, waits for its end, and cancels it when the traffic stops.
pub async fn follow(mut context: callers::CallerContext, form: GangForm) -> ids::JobId {
    let job = Uuid::now_v7();
    let submitted_at = Instant::now();
    let end = match submit(&context, &form, job).await {
        CallAnswer::Found(record) => wait(&mut context, &form, record).await,
        CallAnswer::Refused(problem) => ledger::JobEnd::Refused(problem.outcome),
        CallAnswer::Lost => ledger::JobEnd::Refused(model::RequestOutcome::Unknown),
    };
    context.ledger.push_job(ledger::JobOutcome {
        job,
        account: form.account,
        class: form.class,
        tasks: form.tasks,
        guarantee: form.guarantee,
        submitted_at,
        end,
        elapsed: submitted_at.elapsed(),
    });
    job
}

/// The declared run times are off by up to half, as callers' are.
fn new_gang(stream: &site::GangStream, random: &mut clock::TrafficRandom) -> GangForm {
    let run = random.around(stream.run);
    GangForm {
        account: stream.account.clone(),
        class: stream.class.clone(),
        tasks: stream.tasks,
        adjacency: model::Adjacency::Rack,
        guarantee: None,
        run,
        declared: random.around(run),
    }
}

async fn submit(
    context: &callers::CallerContext,
    form: &GangForm,
    job: ids::JobId,
) -> CallAnswer<model::JobRecord> {
    let script = script::TaskScript {
        checkpoint: Some(span::TimeSpan(CHECKPOINT)),
        ..script::TaskScript::lasting(form.run)
    };
    let submission = model::JobSubmission {
        class: form.class.clone(),
        tasks: form.tasks,
        accelerators: 1,
        cores: TASK_CORES,
        memory_mb: TASK_MEMORY_MB,
        adjacency: form.adjacency,
        hall: None,
        guarantee: form.guarantee.clone(),
        run_time: Some(span::TimeSpan(form.declared)),
        deadline: None,
        arguments: serde_json::to_string(&script).ok(),
    };
    let body = serde_json::to_vec(&submission).unwrap_or_default();
    let path = "/v1/jobs".to_owned();
    let call = JobCall { method: http::Method::POST, path, key: Some(job), body: body.into() };
    call.send(context, &form.account).await
}

async fn wait(
    context: &mut callers::CallerContext,
    form: &GangForm,
    mut record: model::JobRecord,
) -> ledger::JobEnd {
    let path = format!("/v1/jobs/{}", record.job);
    let mut cancelled_at = None;
    while !has_ended(record.state) {
        let stopped = *context.stop.borrow();
        if stopped && cancelled_at.is_none() {
            cancelled_at = Some(Instant::now());
            let call = JobCall::without_body(http::Method::DELETE, path.clone());
            let _ = call.send::<model::JobRecord>(context, &form.account).await;
        }
        if cancelled_at.is_some_and(|it| CANCEL_LIMIT < it.elapsed()) {
            return ledger::JobEnd::Unended;
        }
        if cancelled_at.is_some() {
            time::sleep(POLL).await;
        } else {
            context.go_on_after(POLL).await;
        }
        let call = JobCall::without_body(http::Method::GET, path.clone());
        if let CallAnswer::Found(found) = call.send(context, &form.account).await {
            record = found;
        }
    }
    ledger::JobEnd::State(record.state)
}

fn has_ended(state: model::JobState) -> bool {
    match state {
        model::JobState::Queued
        | model::JobState::Starting
        | model::JobState::Running
        | model::JobState::Checkpointing => false,
        model::JobState::Done
        | model::JobState::Failed
        | model::JobState::NotRun
        | model::JobState::Unknown
        | model::JobState::Cancelled => true,
    }
}

/// One call of the jobs' interface; repeats are safe, for a submission carries its key.
struct JobCall {
    method: http::Method,
    path: String,
    key: Option<ids::IdempotencyKey>,
    body: Bytes,
}

impl JobCall {
    fn without_body(method: http::Method, path: String) -> JobCall {
        JobCall { method, path, key: None, body: Bytes::new() }
    }

    async fn send<T: DeserializeOwned>(
        &self,
        context: &callers::CallerContext,
        account: &str,
    ) -> CallAnswer<T> {
        let mut refusal = None;
        let mut lost = false;
        for _ in 0..MAX_ATTEMPTS {
            let Some(instance) = context.balancer.choose() else {
                time::sleep(RETRY_PAUSE).await;
                continue;
            };
            let answer =
                http_client::exchange(instance.callers, self.request(account), CALL_LIMIT).await;
            let pause = match answer {
                Err(http_client::ExchangeFault::NotSent) => RETRY_PAUSE,
                Err(http_client::ExchangeFault::Broken(_)) => {
                    lost = true;
                    RETRY_PAUSE
                }
                Ok(response) => match read(&response) {
                    Ok(found) => return CallAnswer::Found(found),
                    Err(None) => return CallAnswer::Lost,
                    Err(Some(problem)) => {
                        lost |= problem.outcome == model::RequestOutcome::Unknown;
                        let Some(pause) = problem.retry_after else {
                            return CallAnswer::Refused(problem);
                        };
                        refusal = Some(problem);
                        pause.0.max(RETRY_PAUSE)
                    }
                },
            };
            time::sleep(pause.min(Duration::from_secs(1))).await;
        }
        match refusal {
            Some(problem) if !lost => CallAnswer::Refused(problem),
            _ => CallAnswer::Lost,
        }
    }

    fn request(&self, account: &str) -> http::Request<Full<Bytes>> {
        let bearer = format!("Bearer {}", site::SitePlan::account_key(account));
        let mut builder = http::Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(http::header::HOST, "almondpass")
            .header(http::header::AUTHORIZATION, bearer)
            .header(http::header::CONTENT_TYPE, "application/json");
        if let Some(key) = self.key {
            builder = builder.header("idempotency-key", key.to_string());
        }
        // Every part of the head is made of visible characters, so that it is always a valid one.
        builder.body(Full::new(self.body.clone())).unwrap_or_default()
    }
}

fn read<T: DeserializeOwned>(
    response: &http::Response<Bytes>,
) -> Result<T, Option<Box<model::ProblemDetails>>> {
    if response.status().is_success() {
        return serde_json::from_slice(response.body()).map_err(|_| None);
    }
    Err(serde_json::from_slice(response.body()).ok())
}
