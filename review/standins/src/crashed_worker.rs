//! A job fills the pool, and one worker crashes twice: is the job shown as `failed` although none of its runs has
//! ended `failed`?

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{self, Instant};

use crate::Verdict;
use crate::cluster;
use crate::record;
use crate::worker;

const SIZE: cluster::Size = cluster::Size { n_machines: 3, n_workers: 48 };

const JOB: &str = "5c0e7a21d94b36f8";

/// Work of each of the work units, which take a whole worker each.
const WORK: Duration = Duration::from_secs(6);

/// Calm time before the job comes.
const CALM: Duration = Duration::from_secs(35);

/// The worker that crashes, how often, how long it is down, and the time from one crash to the next.
const CRASHING: usize = 7;
const N_CRASHES: u32 = 2;
const DOWN: Duration = Duration::from_millis(1_000);
const INTERVAL: Duration = Duration::from_millis(3_000);

/// Time from the first start to the first crash.
const FIRST_CRASH: Duration = Duration::from_secs(1);

/// Time within which the job has to end.
const END_TIMEOUT: Duration = Duration::from_secs(60);

pub async fn run(root: &Path, record: &record::Record, has_trouble: bool) -> Verdict {
    let cluster = match cluster::Cluster::start(root, SIZE, record).await {
        Ok(cluster) => cluster,
        Err(error) => return Verdict::NotRun(error),
    };
    time::sleep(CALM).await;
    let unit = worker::UnitSpec::new(worker::GPUS, WORK);
    cluster.specs.lock().unwrap().insert(JOB.to_owned(), unit);
    let body = json!({
        "spec": "ageing trend",
        "steps": [{
            "count": SIZE.n_workers,
            "cpu": 2_000,
            "mem-mb": 1_024,
            "gpu": worker::GPUS,
            "estimated-ms": WORK.as_millis() as u64,
        }],
    });
    let answer = cluster.call(0, "POST", JOB, &body.to_string(), cluster::CLIENT_PATIENCE).await;
    if !matches!(answer, Ok((200..=299, _))) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let deadline = Instant::now() + Duration::from_secs(10);
    while cluster.running().len() < SIZE.n_workers as usize {
        if Instant::now() >= deadline {
            return Verdict::NotRun("the work units did not start".to_owned());
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    record.line("all work units run");
    if has_trouble {
        let host = Arc::clone(&cluster.workers[CRASHING]);
        tokio::spawn(async move {
            time::sleep(FIRST_CRASH).await;
            for _ in 0..N_CRASHES {
                host.crash();
                time::sleep(DOWN).await;
                let _ = host.come_back().await;
                time::sleep(INTERVAL - DOWN).await;
            }
        });
    }
    let verdict = await_end(&cluster).await;
    for line in cluster.log_lines("given up: workers crash") {
        record.line(format!("log: {line}"));
    }
    verdict
}

async fn await_end(cluster: &cluster::Cluster) -> Verdict {
    let deadline = Instant::now() + END_TIMEOUT;
    let mut machine = 0;
    while Instant::now() < deadline {
        time::sleep(Duration::from_millis(500)).await;
        machine += 1;
        let answer = cluster.call(machine, "GET", JOB, "", cluster::CLIENT_PATIENCE).await;
        let Ok((200, text)) = answer else { continue };
        let shown = serde_json::from_str::<Value>(&text).unwrap_or_default();
        let runs = cluster.runs.lock().unwrap();
        let n_failed = runs.iter().filter(|it| matches!(it.end, Some(("failed", _)))).count();
        let n_crashed = runs.iter().filter(|it| matches!(it.end, Some(("crashed", _)))).count();
        let counts = format!(
            "{} runs, of which {n_failed} ended `failed` and {n_crashed} with the crash of their worker",
            runs.len()
        );
        match shown["state"].as_str() {
            Some("completed") => return Verdict::Held(format!("the job is completed; {counts}")),
            Some("failed") if n_failed < cluster::MAX_ATTEMPTS => {
                return Verdict::Broken(format!("the job is shown as {text}; {counts}"));
            }
            Some("cancelled") => return Verdict::Broken(format!("shown as cancelled; {counts}")),
            _ => {}
        }
    }
    Verdict::NotRun("the job has not ended in time".to_owned())
}
