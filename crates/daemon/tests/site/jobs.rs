//! Jobs of these tests.

use std::time::Duration;

use almondpass_schema::model;
use http::Method;
use tokio::time::{self, Instant};

use crate::common;

/// Tasks of a gang.
pub(crate) const GANG: usize = 4;

/// A gang whose tasks run for `run` in `hall`.
pub(crate) fn gang(hall: &str, run: &str) -> String {
    serde_json::json!({
        "class": "ageing-trend", "tasks": GANG, "accelerators": 8, "adjacency": "rack",
        "hall": hall, "run_time": "1s", "arguments": format!("{{\"run\":\"{run}\"}}"),
    })
    .to_string()
}

pub(crate) async fn submit(site: &common::TestSite, name: &str, key: &str, body: &str) -> String {
    let started = Instant::now();
    loop {
        let call = common::job_call(Method::POST, "/v1/jobs", key, body);
        let answer = common::send(site.callers(name), call).await.expect("an answer");
        if answer.status.is_success() {
            let record = serde_json::from_slice::<serde_json::Value>(&answer.body).expect("JSON");
            return record["job"].as_str().expect("a job id").to_owned();
        }
        assert!(started.elapsed() < common::LIMIT, "expected a job, found {answer:?}");
        time::sleep(Duration::from_millis(50)).await;
    }
}

pub(crate) async fn await_state(
    site: &common::TestSite,
    name: &str,
    key: &str,
    job: &str,
    state: model::JobState,
) -> model::JobRecord {
    let started = Instant::now();
    loop {
        let call = common::job_call(Method::GET, &format!("/v1/jobs/{job}"), key, "");
        let answer = common::send(site.callers(name), call).await.expect("an answer");
        let record = serde_json::from_slice::<model::JobRecord>(&answer.body);
        if let Ok(record) = &record
            && record.state == state
        {
            return record.clone();
        }
        assert!(started.elapsed() < common::LIMIT, "expected {state:?}, found {answer:?}");
        time::sleep(Duration::from_millis(50)).await;
    }
}
