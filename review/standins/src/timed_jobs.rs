//! Timed jobs with many occurrences are handed in: do the processes stay within their memory, and does other accepted
//! work still run?

use std::path::Path;
use std::time::{Duration, SystemTime};

use serde_json::{Value, json};
use tokio::time::{self, Instant};

use crate::Verdict;
use crate::cluster;
use crate::record;
use crate::worker;

const SIZE: cluster::Size = cluster::Size { n_machines: 3, n_workers: 12 };

/// The timed jobs: one check each ten minutes, for 120 days; without the disruption, for half an hour.
const N_TIMED: u64 = 24;
const MAX_RUNS: u32 = 17_280;
const MAX_RUNS_CALM: u32 = 3;
const INTERVAL_MS: u64 = 600_000;

/// Time from one timed job to the next.
const GAP: Duration = Duration::from_millis(250);

/// The job that comes last: one work unit of a second.
const LAST_JOB: &str = "5c0e7a21d94b36f8";
const WORK: Duration = Duration::from_secs(1);

/// `finish_s` of the settings, and the time for which nothing of the job may run then.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

/// Time for which the processes are watched after that.
const WATCH: Duration = Duration::from_secs(20);

pub async fn run(root: &Path, record: &record::Record, has_trouble: bool) -> Verdict {
    let mut cluster = match cluster::Cluster::start(root, SIZE, record).await {
        Ok(cluster) => cluster,
        Err(error) => return Verdict::NotRun(error),
    };
    cluster.watch_memory();
    time::sleep(Duration::from_secs(5)).await;
    let max_runs = if has_trouble { MAX_RUNS } else { MAX_RUNS_CALM };
    let mut n_accepted = 0;
    for number in 0..N_TIMED {
        let job = format!("{:016x}", (number + 1) * 0x0a01_1b02_2c03_3d05);
        let answer = submit(&cluster, number as usize, &job, Some(max_runs)).await;
        n_accepted += u32::from(matches!(answer, Ok((200..=299, _))));
        time::sleep(GAP).await;
    }
    record.line(format!(
        "{n_accepted} timed jobs accepted; MiB by process: {:?}",
        cluster.resident_mib()
    ));
    let Some(accepted_at) = submit_last(&cluster).await else {
        return Verdict::NotRun("the last job was not accepted".to_owned());
    };
    time::sleep_until(accepted_at + FINISH + IDLE).await;
    let n_starts = cluster.n_starts(LAST_JOB);
    let shown = cluster.call(1, "GET", LAST_JOB, "", cluster::CLIENT_PATIENCE).await;
    time::sleep(WATCH).await;
    let n_exceeded = cluster.n_exceeded();
    let kills = format!("processes killed for their memory, by machine: {n_exceeded:?}");
    let is_done = matches!(&shown, Ok((200, text)) if state_of(text) == "completed");
    let n_repeated = n_exceeded.iter().filter(|it| **it >= 3).count();
    if !is_done && n_starts == 0 {
        return Verdict::Broken(format!(
            "{:?} after its acceptance nothing of the last job has run, on empty workers (LOST); {kills}",
            FINISH + IDLE
        ));
    }
    if n_repeated >= 2 {
        return Verdict::Broken(format!("processes end by themselves (Fault); {kills}"));
    }
    if !is_done {
        return Verdict::NotRun(format!("the last job has begun and not ended; {kills}"));
    }
    Verdict::Held(format!("the last job is completed; {kills}"))
}

/// Hands the last job in, as often as it takes while the processes are killed.
async fn submit_last(cluster: &cluster::Cluster) -> Option<Instant> {
    for machine in 0..20 {
        if matches!(submit(cluster, machine, LAST_JOB, None).await, Ok((200..=299, _))) {
            return Some(Instant::now());
        }
        time::sleep(Duration::from_millis(500)).await;
    }
    None
}

async fn submit(
    cluster: &cluster::Cluster,
    machine: usize,
    job: &str,
    max_runs: Option<u32>,
) -> Result<(u16, String), String> {
    let unit = worker::UnitSpec::new(1, WORK);
    cluster.specs.lock().unwrap().insert(job.to_owned(), unit);
    let mut body = json!({
        "spec": "breakdown voltage report check",
        "steps": [{"count": 1, "cpu": 500, "mem-mb": 256, "gpu": 1, "estimated-ms": 1_000}],
    });
    if let Some(max_runs) = max_runs {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        body["max-runs"] = json!(max_runs);
        body["first-run-ms"] =
            json!(since_epoch.unwrap_or_default().as_millis() as u64 + INTERVAL_MS);
        body["interval-ms"] = json!(INTERVAL_MS);
    }
    cluster.call(machine, "POST", job, &body.to_string(), cluster::CLIENT_PATIENCE).await
}

fn state_of(text: &str) -> String {
    let shown = serde_json::from_str::<Value>(text).unwrap_or_default();
    shown["state"].as_str().unwrap_or_default().to_owned()
}
