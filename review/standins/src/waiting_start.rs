//! A worker crashes once, its work unit waits for room, and the scheduling instance is killed a few times meanwhile: is
//! the job shown as `failed` although none of its runs has ended `failed`?

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{self, Instant};

use crate::Verdict;
use crate::cluster;
use crate::noted_end;
use crate::record;
use crate::worker;

const SIZE: cluster::Size = cluster::Size { n_machines: 3, n_workers: 24 };

const JOB: &str = "5c0e7a21d94b36f8";

/// Work of each of the work units, which take a whole worker each.
const WORK: Duration = Duration::from_secs(24);

/// Calm time before the job comes.
const CALM: Duration = Duration::from_secs(20);

/// The worker that crashes: how long after the first start, how long it is down, and what its next life offers.
const CRASHING: usize = 7;
const CRASH_AT: Duration = Duration::from_millis(2_000);
const DOWN: Duration = Duration::from_millis(1_000);
const SMALLER_GPUS: u32 = 4;

/// The kills of the scheduling instance: the first after the first start, the interval, and their number.
const FIRST_KILL_AT: Duration = Duration::from_millis(6_000);
const KILL_INTERVAL: Duration = Duration::from_millis(5_000);
const N_KILLS: u32 = 3;

/// Time within which the job has to end.
const END_TIMEOUT: Duration = Duration::from_secs(75);

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
    let Some(began_at) = noted_end::first_start(&cluster).await else {
        return Verdict::NotRun("the job did not start".to_owned());
    };
    if has_trouble {
        time::sleep_until(began_at + CRASH_AT).await;
        let host = Arc::clone(&cluster.workers[CRASHING]);
        host.crash();
        time::sleep(DOWN).await;
        host.set_gpus(SMALLER_GPUS);
        if host.come_back().await.is_err() {
            return Verdict::NotRun("the worker did not come back".to_owned());
        }
        for number in 0..N_KILLS {
            time::sleep_until(began_at + FIRST_KILL_AT + KILL_INTERVAL * number).await;
            let Some(holder) = cluster.store.last_holder() else {
                return Verdict::NotRun("no instance schedules".to_owned());
            };
            cluster.kill_and_restart(holder).await;
        }
    }
    let verdict = await_end(&cluster, began_at + END_TIMEOUT).await;
    for line in cluster.log_lines("given up: workers crash") {
        record.line(format!("log: {line}"));
    }
    verdict
}

async fn await_end(cluster: &cluster::Cluster, deadline: Instant) -> Verdict {
    let mut machine = 0;
    while Instant::now() < deadline {
        time::sleep(Duration::from_millis(500)).await;
        machine += 1;
        let answer = cluster.call(machine, "GET", JOB, "", cluster::CLIENT_PATIENCE).await;
        let Ok((200, text)) = answer else { continue };
        let shown = serde_json::from_str::<Value>(&text).unwrap_or_default();
        let runs = cluster.runs.lock().unwrap();
        let n_ended =
            |how: &str| runs.iter().filter(|it| it.end.is_some_and(|it| it.0 == how)).count();
        let counts = format!(
            "{} runs, of which {} ended `failed` and {} with the crash of their worker",
            runs.len(),
            n_ended("failed"),
            n_ended("crashed")
        );
        match shown["state"].as_str() {
            Some("completed") => return Verdict::Held(format!("the job is completed; {counts}")),
            Some("failed") if n_ended("failed") < cluster::MAX_ATTEMPTS => {
                return Verdict::Broken(format!("the job is shown as {text}; {counts}"));
            }
            Some("cancelled") => return Verdict::Broken(format!("shown as cancelled; {counts}")),
            _ => {}
        }
    }
    Verdict::NotRun("the job has not ended in time".to_owned())
}
