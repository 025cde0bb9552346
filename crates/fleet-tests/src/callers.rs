//! What callers do: send, and send again where it is theirs to do so.

use std::time::Duration;

use almondpass_entry::request_head;
use http::header;
use serde_json::json;
use tokio::time::{self, Instant};
use uuid::Uuid;

use crate::caller;
use crate::document;
use crate::ledger;
use crate::world;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Whose it is.
    pub account: &'static str,
    /// For what may run only once.
    pub key: Option<Uuid>,
    /// How long the upstream takes.
    pub run: Duration,
    /// Tells it from all others.
    pub number: u64,
    /// Times that the caller sends it again while it does not know what became of it.
    pub retries: u32,
}

/// One job of a caller.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// Whose it is.
    pub account: &'static str,
    /// Its class.
    pub class: &'static str,
    /// Its id.
    pub job: Uuid,
    /// Tasks of the gang.
    pub tasks: u32,
    /// Accelerators of each.
    pub accelerators: u32,
    /// How long each task runs.
    pub run: Duration,
    /// Whether the tasks fail.
    pub fails: bool,
    /// The guarantee that it claims.
    pub guarantee: Option<&'static str>,
    /// Times that the caller sends it again while it does not know what became of it.
    pub retries: u32,
}

/// Between two sendings of the same thing.
const PAUSE: Duration = Duration::from_millis(700);

/// Sends a request until the caller knows what became of it.
pub async fn request(desk: world::CallerDesk, plan: RequestPlan) -> caller::CallerAnswer {
    let run = plan.run.as_millis();
    let body = format!("run {run}ms\nrequest {}", plan.number);
    let mut answer = caller::CallerAnswer::NotSent;
    for attempt in 0..=plan.retries {
        if attempt != 0 {
            time::sleep(PAUSE).await;
        }
        answer = send_request(&desk, &plan, &body).await;
        let settled = answer.is_success() || answer.says("failed") || answer.says("done");
        if settled || plan.key.is_none() {
            break;
        }
    }
    answer
}

async fn send_request(
    desk: &world::CallerDesk,
    plan: &RequestPlan,
    body: &str,
) -> caller::CallerAnswer {
    let class = if plan.key.is_some() { document::TICKET } else { document::CHECK };
    let mut request = http::Request::post("/v1/requests")
        .header(header::AUTHORIZATION, format!("Bearer {}", document::key_of(plan.account)))
        .header(request_head::CLASS_HEADER, class);
    if let Some(key) = plan.key {
        request = request.header(request_head::KEY_HEADER, key.to_string());
    }
    let mut index = None;
    let note = |node: &String| {
        let mut ledger = desk.ledger();
        index = Some(ledger.requests.len());
        ledger.requests.push(ledger::SentRequest {
            key: plan.key,
            body: body.to_owned(),
            node: node.clone(),
            sent_at: Instant::now(),
            answer: caller::CallerAnswer::Waiting,
        });
    };
    let answer = desk.exchange(request, body.to_owned(), note).await;
    if let Some(index) = index {
        desk.ledger().requests[index].answer = answer.clone();
    }
    answer
}

/// Submits a job until the caller knows whether it was accepted.
pub async fn submit(desk: world::CallerDesk, plan: JobPlan) -> caller::CallerAnswer {
    let mut answer = caller::CallerAnswer::NotSent;
    for attempt in 0..=plan.retries {
        if attempt != 0 {
            time::sleep(PAUSE).await;
        }
        answer = send_submission(&desk, &plan).await;
        if answer.is_success() {
            break;
        }
    }
    answer
}

async fn send_submission(desk: &world::CallerDesk, plan: &JobPlan) -> caller::CallerAnswer {
    let exit =
        if plan.fails { json!({"failed": {"reason": "scripted"}}) } else { json!("succeeded") };
    let run = format!("{}ms", plan.run.as_millis());
    let arguments = json!({ "run": run, "exit": exit, "checkpoint": "500ms" }).to_string();
    let mut submission = json!({
        "class": plan.class, "tasks": plan.tasks, "accelerators": plan.accelerators,
        "adjacency": "rack", "arguments": arguments,
    });
    if let Some(guarantee) = plan.guarantee {
        submission["guarantee"] = json!(guarantee);
        submission["adjacency"] = json!("worker");
    }
    let request = http::Request::post("/v1/jobs")
        .header(header::AUTHORIZATION, format!("Bearer {}", document::key_of(plan.account)))
        .header(request_head::KEY_HEADER, plan.job.to_string());
    let mut index = None;
    let note = |node: &String| {
        let mut ledger = desk.ledger();
        index = Some(ledger.submissions.len());
        ledger.submissions.push(ledger::SentSubmission {
            job: plan.job,
            account: plan.account,
            class: plan.class,
            tasks: plan.tasks,
            node: node.clone(),
            sent_at: Instant::now(),
            answer: caller::CallerAnswer::Waiting,
        });
    };
    let answer = desk.exchange(request, submission.to_string(), note).await;
    if let Some(index) = index {
        desk.ledger().submissions[index].answer = answer.clone();
    }
    answer
}

/// Asks how a job stands.
pub async fn show(
    desk: world::CallerDesk,
    account: &'static str,
    job: Uuid,
) -> caller::CallerAnswer {
    desk.exchange(about_job(http::Method::GET, account, job), String::new(), |_| {}).await
}

/// Cancels a job.
pub async fn cancel(
    desk: world::CallerDesk,
    account: &'static str,
    job: Uuid,
) -> caller::CallerAnswer {
    desk.exchange(about_job(http::Method::DELETE, account, job), String::new(), |_| {}).await
}

fn about_job(method: http::Method, account: &str, job: Uuid) -> http::request::Builder {
    let request = http::Request::builder().method(method).uri(format!("/v1/jobs/{job}"));
    request.header(header::AUTHORIZATION, format!("Bearer {}", document::key_of(account)))
}
