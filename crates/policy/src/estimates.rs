//! Run time estimates, learned for each pair of account and class.
//!
//! Declared run times are often far off, so they are only a prior. Once enough runs have been recorded,
//! the ratios of actual to declared run time correct a new declaration, and work without a declaration
//! is estimated from the recorded run times. Each pair keeps two small histograms, so memory is bounded
//! by accounts times classes.

use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Number of recorded runs from which a histogram replaces the prior.
const MIN_RUNS: u64 = 8;
/// When a histogram holds this many runs, all its counts are halved.
const MAX_RUNS: u64 = 512;
/// Longest run time that a histogram distinguishes, in milliseconds: 30 days.
const MAX_RUN_MS: u64 = 30 * 24 * 3600 * 1000;
/// Largest recorded ratio of actual to declared run time, in thousandths.
const MAX_RATIO_PER_MILLE: u64 = 1_000_000;
/// Significant digits of the histograms: estimates are accurate to a tenth at best.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Quantiles of a histogram: 5%, 50% and 95%. Cached because every placement reads them.
#[derive(Clone, Copy, Debug, Default)]
struct Quantiles {
    low: u64,
    median: u64,
    high: u64,
}

#[derive(Clone, Debug)]
struct RunHistogram {
    histogram: Histogram<u32>,
    quantiles: Quantiles,
}

impl RunHistogram {
    fn new(largest: u64) -> RunHistogram {
        let histogram =
            Histogram::new_with_bounds(1, largest, SIGNIFICANT_DIGITS).expect("fixed bounds");
        RunHistogram { histogram, quantiles: Quantiles::default() }
    }

    fn record(&mut self, value: u64) {
        if MAX_RUNS <= self.histogram.len() {
            self.halve_counts();
        }
        self.histogram.saturating_record(value.max(1));
        self.quantiles = Quantiles {
            low: self.histogram.value_at_quantile(0.05),
            median: self.histogram.value_at_quantile(0.5),
            high: self.histogram.value_at_quantile(0.95),
        };
    }

    /// Halves all counts, so that the estimates soon follow a class whose run times change.
    fn halve_counts(&mut self) {
        let old = self.histogram.clone();
        self.histogram.reset();
        for it in old.iter_recorded() {
            let count = it.count_at_value() / 2;
            self.histogram.saturating_record_n(it.value_iterated_to(), count);
        }
    }

    fn has_enough_runs(&self) -> bool {
        MIN_RUNS <= self.histogram.len()
    }
}

/// Estimated duration of a whole run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunEstimate {
    /// About 95% of runs take longer; zero as long as the estimate rests on the prior.
    pub(crate) low: Duration,
    pub(crate) median: Duration,
    /// About 95% of runs have ended by then.
    pub(crate) high: Duration,
}

#[derive(Clone, Debug)]
struct PairHistograms {
    runs: RunHistogram,
    ratios: RunHistogram,
}

/// Histograms of each pair of account and class index. Lives in memory only.
#[derive(Clone, Debug, Default)]
pub(crate) struct EstimateTable {
    pairs: HashMap<(u32, u32), PairHistograms>,
}

impl EstimateTable {
    /// Records the run time of an item that succeeded.
    pub(crate) fn record(
        &mut self,
        account: u32,
        class: u32,
        run: Duration,
        declared: Option<Duration>,
    ) {
        let pair = self.pairs.entry((account, class)).or_insert_with(|| PairHistograms {
            runs: RunHistogram::new(MAX_RUN_MS),
            ratios: RunHistogram::new(MAX_RATIO_PER_MILLE),
        });
        let run_ms = run.as_millis() as u64;
        pair.runs.record(run_ms);
        if let Some(declared) = declared.filter(|it| !it.is_zero()) {
            let ratio = run_ms.saturating_mul(1000) / (declared.as_millis() as u64).max(1);
            pair.ratios.record(ratio);
        }
    }

    /// Estimates a whole run. `expected` and `longest` are the expected and the maximal run time of the
    /// class.
    pub(crate) fn estimate(
        &self,
        account: u32,
        class: u32,
        declared: Option<Duration>,
        expected: Duration,
        longest: Duration,
    ) -> RunEstimate {
        let pair = self.pairs.get(&(account, class));
        let declared = declared.filter(|it| !it.is_zero());
        if let (Some(pair), Some(declared)) = (pair, declared)
            && pair.ratios.has_enough_runs()
        {
            let scale = |ratio: u64| declared.mul_f64(ratio as f64 / 1000.0);
            return RunEstimate::of(pair.ratios.quantiles, scale, longest);
        }
        if let Some(pair) = pair
            && pair.runs.has_enough_runs()
        {
            return RunEstimate::of(pair.runs.quantiles, Duration::from_millis, longest);
        }
        let prior = declared.unwrap_or(expected).clamp(expected / 8, longest.max(expected / 8));
        let high = (prior * 3).min(longest).max(prior);
        RunEstimate { low: Duration::ZERO, median: prior, high }
    }

    /// Number of pairs with at least one recorded run.
    pub(crate) fn len(&self) -> usize {
        self.pairs.len()
    }
}

impl RunEstimate {
    fn of(quantiles: Quantiles, scale: impl Fn(u64) -> Duration, longest: Duration) -> RunEstimate {
        let median = scale(quantiles.median).min(longest);
        RunEstimate {
            low: scale(quantiles.low).min(median),
            median,
            high: scale(quantiles.high).min(longest).max(median),
        }
    }
}
