//! The spreads of worker speeds by upstream, as of the last check, and counts of where urgent tasks start.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::preemption;
use crate::speed_row;
use crate::speed_spread;
use crate::work_variation;
use crate::worker;
use crate::worker_speed;

/// Interval between two checks of the spreads, which go over all workers.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// What is known of the speeds of a pool's workers together.
#[derive(Clone, Debug, Default)]
pub struct PoolSpeeds {
    spreads: BTreeMap<ids::UpstreamName, speed_spread::SpeedSpread>,
    checked_at: Option<Duration>,
    counts: StartCounts,
    pub(crate) row: speed_row::SpeedRowState,
    /// How much the work of tasks of one step differs.
    pub(crate) variations: work_variation::WorkVariations,
}

/// Starts of urgent tasks in pools whose workers differ in speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartCounts {
    /// Starts on workers of unknown speed.
    pub n_unknown: u64,
    /// Starts on workers known to be slow.
    pub n_slow: u64,
    /// Starts on workers known to be of the usual speed or faster.
    pub n_usual: u64,
}

impl PoolSpeeds {
    /// Spread of the speeds of an upstream's workers, if these differ.
    pub(crate) fn spread(&self, upstream: &str) -> Option<&speed_spread::SpeedSpread> {
        self.spreads.get(upstream)
    }

    /// Greatest variance of the samples of one worker, of all upstreams whose workers differ.
    pub(crate) fn noise(&self) -> Option<f64> {
        self.spreads.values().map(|it| it.within).max_by(f64::total_cmp)
    }

    /// Rank of a worker for placement.
    pub(crate) fn rank(&self, worker: &worker::WorkerRecord) -> speed_spread::SpeedRank {
        let spread = self.spreads.get(&worker.place.upstream);
        speed_spread::SpeedRank::of(&worker.speed, spread)
    }

    /// Counts the start of an urgent task on a worker.
    fn count_start(&mut self, graph: ids::GraphId, worker: &worker::WorkerRecord) {
        if !self.spreads.contains_key(&worker.place.upstream) {
            return;
        }
        let rank = self.rank(worker);
        if rank.is_unknown || rank.usual < 0 {
            tracing::debug!(
                job = format_args!("{graph:016x}"),
                worker = worker.place.worker,
                speed_percent = (100.0 * worker.speed.factor()).round(),
                sample_weight = worker.speed.n_runs(),
                "urgent task goes to a worker of slow or unknown speed"
            );
        }
        let count = match rank.usual {
            _ if rank.is_unknown => &mut self.counts.n_unknown,
            worker_speed::SpeedClass::MIN..0 => &mut self.counts.n_slow,
            _ => &mut self.counts.n_usual,
        };
        *count += 1;
    }
}

impl core::PoolCore {
    /// Checks whether the workers of each upstream differ in speed, if the last check is long enough ago.
    pub(crate) fn update_pool_speeds(&mut self, now: Duration) {
        let is_due = self.speeds.checked_at.is_none_or(|it| now >= it + CHECK_INTERVAL);
        if !self.scheduling.remember_speeds || !is_due {
            return;
        }
        self.speeds.checked_at = Some(now);
        let mut by_upstream = BTreeMap::<&str, Vec<&worker_speed::WorkerSpeed>>::new();
        for it in self.workers.values().filter(|it| it.speed.n_runs() > 0.0) {
            by_upstream.entry(&it.place.upstream).or_default().push(&it.speed);
        }
        let spreads = by_upstream.into_iter().filter_map(|(upstream, speeds)| {
            let earlier = self.speeds.spreads.get(upstream).copied();
            let spread = speed_spread::SpeedSpread::of(speeds.into_iter(), earlier);
            log_change(upstream, earlier.as_ref(), spread.as_ref());
            Some((upstream.to_owned(), spread?))
        });
        self.speeds.spreads = spreads.collect();
    }

    /// Returns the counts of urgent starts since the last call.
    pub fn take_start_counts(&mut self) -> StartCounts {
        std::mem::take(&mut self.speeds.counts)
    }

    /// Counts the start of a task by the speed of its worker, if the task is urgent.
    pub(crate) fn count_urgent_start(&mut self, graph: ids::GraphId, worker: &ids::WorkerId) {
        let is_urgent =
            self.jobs.get(&graph).is_some_and(|it| it.priority == preemption::URGENT_PRIORITY);
        if let Some(record) = self.workers.get(worker).filter(|_| is_urgent) {
            self.speeds.count_start(graph, record);
        }
    }
}

fn log_change(
    upstream: &str,
    earlier: Option<&speed_spread::SpeedSpread>,
    spread: Option<&speed_spread::SpeedSpread>,
) {
    match (earlier, spread) {
        (None, Some(spread)) => tracing::info!(
            upstream,
            n_sampled = spread.n_sampled,
            spread_percent = (100.0 * spread.between.sqrt()).round(),
            noise_percent = (100.0 * spread.within.sqrt()).round(),
            "workers differ in speed"
        ),
        (Some(_), None) => tracing::info!(upstream, "workers no longer differ in speed"),
        _ => {}
    }
}
