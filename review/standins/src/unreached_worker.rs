//! The scheduling instance is cut off from the store, a work unit ends `done`, and its worker is cut off too: does the
//! work unit run again, although the worker tells its end later?

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::time;

use crate::Verdict;
use crate::cluster;
use crate::noted_end;
use crate::record;
use crate::worker;

const SIZE: cluster::Size = cluster::Size { n_machines: 3, n_workers: 8 };

const JOB: &str = "7d1e7a21d94b36f8";

/// Work units of the job. The first one works for `EARLY`, the others for `WORK`.
const N_UNITS: u32 = 4;
const EARLY: Duration = Duration::from_millis(4_000);
const WORK: Duration = Duration::from_millis(14_000);

/// The cut of the scheduling instance from the store: how long after the first start it begins, and its length.
const STORE_CUT_AT: Duration = Duration::from_millis(3_500);
const STORE_CUT: Duration = Duration::from_millis(4_000);

/// The cut of the worker: how long after the first start it begins, and its length.
const WORKER_CUT_AT: Duration = Duration::from_millis(4_300);
const WORKER_CUT: Duration = Duration::from_millis(4_000);

/// Time for which runs are watched after the cuts.
const WATCH: Duration = Duration::from_secs(20);

pub async fn run(root: &Path, record: &record::Record, has_trouble: bool) -> Verdict {
    let cluster = match cluster::Cluster::start(root, SIZE, record).await {
        Ok(cluster) => cluster,
        Err(error) => return Verdict::NotRun(error),
    };
    time::sleep(Duration::from_secs(5)).await;
    let unit =
        worker::UnitSpec { early: Some((0, EARLY)), ..worker::UnitSpec::new(worker::GPUS, WORK) };
    cluster.specs.lock().unwrap().insert(JOB.to_owned(), unit);
    let body = json!({
        "spec": "ageing trend",
        "steps": [{
            "count": N_UNITS,
            "cpu": 2_000,
            "mem-mb": 1_024,
            "gpu": worker::GPUS,
            "estimated-ms": 8_000,
        }],
    });
    let answer = cluster.call(0, "POST", JOB, &body.to_string(), cluster::CLIENT_PATIENCE).await;
    if !matches!(answer, Ok((200..=299, _))) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let Some(began_at) = noted_end::first_start(&cluster).await else {
        return Verdict::NotRun("the job did not start".to_owned());
    };
    time::sleep_until(began_at + STORE_CUT_AT).await;
    let Some(first_worker) = worker_of_first_unit(&cluster) else {
        return Verdict::NotRun("the first work unit did not start".to_owned());
    };
    let Some(holder) = cluster.store.last_holder() else {
        return Verdict::NotRun("no instance schedules".to_owned());
    };
    if has_trouble {
        cluster.store.set_cut_off(holder, true);
        record.line(format!("machine {} is cut off from the store", holder + 1));
        time::sleep_until(began_at + WORKER_CUT_AT).await;
        first_worker.set_cut_off(true);
        time::sleep_until(began_at + STORE_CUT_AT + STORE_CUT).await;
        cluster.store.set_cut_off(holder, false);
        record.line(format!("machine {} reaches the store again", holder + 1));
        time::sleep_until(began_at + WORKER_CUT_AT + WORKER_CUT).await;
        first_worker.set_cut_off(false);
    }
    time::sleep(WATCH).await;
    let _ = cluster.call(1, "GET", JOB, "", cluster::CLIENT_PATIENCE).await;
    noted_end::verdict(&cluster)
}

fn worker_of_first_unit(cluster: &cluster::Cluster) -> Option<Arc<worker::Host>> {
    let runs = cluster.runs.lock().unwrap();
    let first = runs.iter().find(|it| it.task == format!("{JOB}.0.0.0"))?;
    cluster.workers.get(first.worker as usize).cloned()
}
