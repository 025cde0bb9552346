//! The metrics of one instance.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use almondpass_console::histogram;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use metrics_util::layers::{Fanout, FanoutBuilder};
use tokio::time;

/// Upper bounds of histograms of times, in seconds: from a grant within a machine to a batch job.
const SECONDS_BUCKETS: [f64; 22] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    5.0, 10.0, 30.0, 60.0, 300.0, 1_800.0, 7_200.0, 28_800.0,
];
/// Upper bounds of histograms of sizes, in bytes.
const BYTES_BUCKETS: [f64; 8] =
    [256.0, 1_024.0, 4_096.0, 16_384.0, 65_536.0, 1_048_576.0, 16_777_216.0, 67_108_864.0];
/// Upper bounds of histograms of counts.
const COUNT_BUCKETS: [f64; 10] = [1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0];
/// Between two folds of recorded values into the histograms.
const UPKEEP: Duration = Duration::from_secs(5);

/// Records what the instance's own threads measure. Several instances may run in one process and
/// a global recorder can be set only once, so each of an instance's threads gets its recorder.
#[derive(Clone)]
pub struct MeterRegistry {
    recorder: &'static Fanout,
    handle: Arc<PrometheusHandle>,
    histograms: histogram::HistogramBook,
}

impl fmt::Debug for MeterRegistry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MeterRegistry").finish_non_exhaustive()
    }
}

impl MeterRegistry {
    /// An empty registry. It lives until the process ends, as the threads refer to it.
    pub fn new() -> anyhow::Result<MeterRegistry> {
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &SECONDS_BUCKETS)?
            .set_buckets_for_metric(Matcher::Suffix("_bytes".to_owned()), &BYTES_BUCKETS)?
            .set_buckets(&COUNT_BUCKETS)?
            .build_recorder();
        let handle = Arc::new(recorder.handle());
        let histograms = histogram::HistogramBook::default();
        let recorder = FanoutBuilder::default()
            .add_recorder(recorder)
            .add_recorder(histograms.clone())
            .build();
        Ok(MeterRegistry { recorder: Box::leak(Box::new(recorder)), handle, histograms })
    }

    /// Makes the current thread record here until it ends.
    pub fn adopt_thread(&self) {
        std::mem::forget(metrics::set_default_local_recorder(self.recorder));
    }

    /// Histograms for the console.
    pub fn histograms(&self) -> histogram::HistogramBook {
        self.histograms.clone()
    }

    /// All metrics in Prometheus' text format.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Folds recorded values now and then, so that memory stays flat when nobody reads them.
    pub async fn keep_up(self) {
        let mut interval = time::interval(UPKEEP);
        loop {
            interval.tick().await;
            self.handle.run_upkeep();
        }
    }
}
