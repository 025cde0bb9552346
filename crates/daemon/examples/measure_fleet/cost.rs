//! What control costs each instance and the table service.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_schema::{ids, model};
use tokio::time::{self, Instant};

use crate::fleet;

/// Costs over a span, a second.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlCost {
    /// Share of a core, of each instance.
    pub(crate) cores: Spread,
    /// Bytes sent and received between instances, of each instance.
    pub(crate) peer_bytes: Spread,
    /// Bytes to and from the platform's services, of each instance.
    pub(crate) platform_bytes: Spread,
    /// Bytes to and from workers, of all instances together, for each worker.
    pub(crate) worker_bytes: f64,
    /// Reads of the table, of all instances together.
    pub(crate) reads: f64,
    /// Writes of the table, of all instances together.
    pub(crate) writes: f64,
}

/// Mean and greatest over the instances.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Spread {
    /// Mean.
    pub(crate) mean: f64,
    /// Greatest.
    pub(crate) max: f64,
}

struct Sample {
    cpu: Duration,
    bytes: BTreeMap<String, f64>,
}

/// Measures over `span`.
pub(crate) async fn measure(fleet: &fleet::BenchFleet, span: Duration) -> ControlCost {
    let before = samples(fleet);
    let table_before = table_calls(fleet);
    let started = Instant::now();
    time::sleep(span).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = samples(fleet);
    let table_after = table_calls(fleet);
    let of_each = |value: &dyn Fn(&Sample, &Sample) -> f64| {
        let values = after.iter().filter_map(|(id, late)| Some(value(before.get(id)?, late)));
        Spread::of(&values.map(|it| it / seconds).collect::<Vec<_>>())
    };
    let bytes = |sides: &'static [&'static str]| {
        move |early: &Sample, late: &Sample| {
            let sum =
                |it: &Sample| sides.iter().filter_map(|side| it.bytes.get(*side)).sum::<f64>();
            sum(late) - sum(early)
        }
    };
    let worker_bytes = of_each(&bytes(&["workers"])).mean * after.len() as f64;
    ControlCost {
        cores: of_each(&|early, late| (late.cpu - early.cpu).as_secs_f64()),
        peer_bytes: of_each(&bytes(&["peers", "server"])),
        platform_bytes: of_each(&bytes(&["platform"])),
        worker_bytes: worker_bytes / fleet.platform.fakes.fleet.workers().len() as f64,
        reads: (table_after.0 - table_before.0) as f64 / seconds,
        writes: (table_after.1 - table_before.1) as f64 / seconds,
    }
}

/// Resident memory of this process in MB, stand-ins included.
pub(crate) fn resident_mb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:")).unwrap_or_default();
    let kilobytes = line.trim().trim_end_matches(" kB").parse::<f64>().unwrap_or_default();
    kilobytes / 1024.0
}

impl Spread {
    fn of(values: &[f64]) -> Spread {
        Spread {
            mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
            max: values.iter().copied().fold(0.0, f64::max),
        }
    }
}

fn samples(fleet: &fleet::BenchFleet) -> BTreeMap<ids::InstanceId, Sample> {
    let sample = |it: &almondpass_daemon::instance::Instance| Sample {
        cpu: it.cpu_time(),
        bytes: bytes(&it.metrics()),
    };
    fleet.instances.iter().map(|(id, it)| (id.clone(), sample(it))).collect()
}

/// Bytes sent and received, by side.
fn bytes(metrics: &str) -> BTreeMap<String, f64> {
    let mut bytes = BTreeMap::new();
    for line in metrics.lines() {
        let names = ["almondpass_peer_sent_bytes_total{", "almondpass_peer_received_bytes_total{"];
        let Some(rest) = names.iter().find_map(|it| line.strip_prefix(it)) else { continue };
        let Some((labels, value)) = rest.split_once("} ") else { continue };
        let side = labels.trim_start_matches("side=\"").trim_end_matches('"');
        let value = value.parse::<f64>().unwrap_or_default();
        *bytes.entry(side.to_owned()).or_default() += value;
    }
    bytes
}

fn table_calls(fleet: &fleet::BenchFleet) -> (u64, u64) {
    let plan = fleet.platform.fakes.table().faults();
    let reads = plan.calls(model::TableGet::PATH) + plan.calls(model::TableScan::PATH);
    (reads, plan.calls(model::TableTransaction::PATH))
}
