//! The store is silent while a job is handed in; the client is told that the outcome is unknown, cancels the job, and
//! the cancelling is acknowledged: does the job run?

use std::path::Path;
use std::time::Duration;

use serde_json::json;
use tokio::time::{self, Instant};

use crate::Verdict;
use crate::cluster;
use crate::record;
use crate::store;
use crate::worker;

const SIZE: cluster::Size = cluster::Size { n_machines: 3, n_workers: 6 };

const JOB: &str = "a87d21c45e0b93f6";

const WORK: Duration = Duration::from_secs(8);

/// How long the store is silent, and how much later it performs a call that got no answer.
const SILENCE: Duration = Duration::from_millis(2_400);
const LATE_BY: Duration = Duration::from_millis(5_500);

/// `cancel_ms` and `contact-ms` of the settings.
const CANCEL: Duration = Duration::from_millis(3_000);
const CONTACT: Duration = Duration::from_millis(3_000);

/// Time for which starts are watched after the acknowledgement.
const WATCH: Duration = Duration::from_secs(20);

pub async fn run(root: &Path, record: &record::Record, has_trouble: bool) -> Verdict {
    let cluster = match cluster::Cluster::start(root, SIZE, record).await {
        Ok(cluster) => cluster,
        Err(error) => return Verdict::NotRun(error),
    };
    time::sleep(Duration::from_secs(5)).await;
    let unit = worker::UnitSpec::new(2, WORK);
    cluster.specs.lock().unwrap().insert(JOB.to_owned(), unit);
    let body = json!({
        "spec": "gas diagnosis",
        "steps": [{"count": 2, "cpu": 2_000, "mem-mb": 1_024, "gpu": 2, "estimated-ms": 8_000}],
    });
    let silent_since = Instant::now();
    if has_trouble {
        record.line("store: silent from now on");
        cluster.store.begin_silence(store::Silence { late_table: "graph", late_by: LATE_BY });
    }
    let submitted = cluster.call(0, "POST", JOB, &body.to_string(), cluster::CLIENT_PATIENCE).await;
    if has_trouble {
        time::sleep_until(silent_since + SILENCE).await;
        cluster.store.end_silence();
        record.line("store: answers again");
    }
    let silence_ended_at = Instant::now();
    if has_trouble && matches!(submitted, Ok((200..=299 | 429 | 503, _))) {
        return Verdict::NotRun("the outcome of the submission is not unknown".to_owned());
    }
    // The client does not know whether its job was accepted, and does not want it any more.
    let Some((status, cancelled_at)) = cancel(&cluster).await else {
        return Verdict::NotRun("the cancelling was not acknowledged".to_owned());
    };
    time::sleep(WATCH).await;
    let runs = cluster.runs.lock().unwrap().clone();
    let after = |it: &worker::RunEvent| it.started_at.saturating_duration_since(cancelled_at);
    let late =
        runs.iter().filter(|it| after(it) > CANCEL && it.started_at >= silence_ended_at + CONTACT);
    let late = late.map(|it| {
        let how = it.end.map_or("still runs", |(how, _)| how);
        format!("{} attempt {} ({how}) {:?} after it", it.task, it.attempt, after(it))
    });
    let late = late.collect::<Vec<_>>();
    if late.is_empty() {
        let n_runs = runs.len();
        return Verdict::Held(format!(
            "no start later than cancel_ms after the cancelling was answered {status}; {n_runs} runs in all"
        ));
    }
    Verdict::Broken(format!(
        "the cancelling was answered {status}, and work units started: {}",
        late.join("; ")
    ))
}

/// Cancels the job at another machine, and again until the cancelling is acknowledged.
async fn cancel(cluster: &cluster::Cluster) -> Option<(u16, Instant)> {
    for machine in 1..6 {
        let answer = cluster.call(machine, "DELETE", JOB, "", cluster::CLIENT_PATIENCE).await;
        if let Ok((status @ (200..=299 | 410), _)) = answer {
            return Some((status, Instant::now()));
        }
        time::sleep(Duration::from_millis(200)).await;
    }
    None
}
