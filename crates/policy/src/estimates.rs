//! Run times learned for each account and class.
//!
//! Declared run times are often far off, so they are only a prior: once enough runs were seen, the
//! ratio of actual to declared corrects the next declaration, and without one the seen run times
//! count. Each pair keeps two small histograms, so memory is bounded by accounts times classes.

use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Runs seen before what was learned counts more than the prior.
const ENOUGH_RUNS: u64 = 8;
/// Runs after which old ones count half.
const MEMORY_RUNS: u64 = 512;
/// Longest run time that is told apart, in milliseconds: 30 days.
const LONGEST_MS: u64 = 30 * 24 * 3600 * 1000;
/// Ratios of actual to declared run time are kept in thousandths, up to this.
const LARGEST_RATIO: u64 = 1_000_000;
/// One significant digit: estimates are good to a tenth at best.
const DIGITS: u8 = 1;

/// Quantiles in use, cached since every placement asks for them.
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
        let histogram = Histogram::new_with_bounds(1, largest, DIGITS).expect("fixed bounds");
        RunHistogram { histogram, quantiles: Quantiles::default() }
    }

    fn record(&mut self, value: u64) {
        if MEMORY_RUNS <= self.histogram.len() {
            self.halve();
        }
        self.histogram.saturating_record(value.max(1));
        self.quantiles = Quantiles {
            low: self.histogram.value_at_quantile(0.05),
            median: self.histogram.value_at_quantile(0.5),
            high: self.histogram.value_at_quantile(0.95),
        };
    }

    /// Forgets half of the past, so that a class whose runs change is believed soon.
    fn halve(&mut self) {
        let old = self.histogram.clone();
        self.histogram.reset();
        for it in old.iter_recorded() {
            let count = it.count_at_value() / 2;
            self.histogram.saturating_record_n(it.value_iterated_to(), count);
        }
    }

    fn enough(&self) -> bool {
        ENOUGH_RUNS <= self.histogram.len()
    }
}

/// How long a run is expected to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunEstimate {
    /// Nearly every run takes longer; zero while nothing was learned.
    pub(crate) low: Duration,
    pub(crate) median: Duration,
    /// Nearly every run is over by then.
    pub(crate) high: Duration,
}

#[derive(Clone, Debug)]
struct PairEstimate {
    runs: RunHistogram,
    ratios: RunHistogram,
}

/// What was learned so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct EstimateTable {
    pairs: HashMap<(u32, u32), PairEstimate>,
}

impl EstimateTable {
    /// Learns from a run that ended well.
    pub(crate) fn record(
        &mut self,
        account: u32,
        class: u32,
        run: Duration,
        declared: Option<Duration>,
    ) {
        let pair = self.pairs.entry((account, class)).or_insert_with(|| PairEstimate {
            runs: RunHistogram::new(LONGEST_MS),
            ratios: RunHistogram::new(LARGEST_RATIO),
        });
        let run_ms = run.as_millis() as u64;
        pair.runs.record(run_ms);
        if let Some(declared) = declared.filter(|it| !it.is_zero()) {
            let ratio = run_ms.saturating_mul(1000) / (declared.as_millis() as u64).max(1);
            pair.ratios.record(ratio);
        }
    }

    /// Estimates a whole run. `expected` and `longest` are the class's.
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
            && pair.ratios.enough()
        {
            let scale = |ratio: u64| declared.mul_f64(ratio as f64 / 1000.0);
            return RunEstimate::of(pair.ratios.quantiles, scale, longest);
        }
        if let Some(pair) = pair
            && pair.runs.enough()
        {
            return RunEstimate::of(pair.runs.quantiles, Duration::from_millis, longest);
        }
        let prior = declared.unwrap_or(expected).clamp(expected / 8, longest.max(expected / 8));
        let high = (prior * 3).min(longest).max(prior);
        RunEstimate { low: Duration::ZERO, median: prior, high }
    }

    /// Pairs with something learned.
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
