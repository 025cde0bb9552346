//! Histograms for each client account and job class, kept by this instance for its console.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use almondpass_schema::ids;
use hdrhistogram::Histogram;
use metrics::{Counter, Gauge, HistogramFn, Key, KeyName, Metadata, Recorder, SharedString, Unit};

/// Labels that a histogram needs to be kept.
const ACCOUNT_LABEL: &str = "account";
const CLASS_LABEL: &str = "class";
/// Histograms kept at most; the metrics' labels are bounded already, this bounds a slip.
const MAX_HISTOGRAMS: usize = 4096;
/// Shortest time told apart, in microseconds.
const MIN_MICROS: u64 = 64;
/// Longest time told apart, in microseconds: two days.
const MAX_MICROS: u64 = 2 * 24 * 60 * 60 * 1_000_000;
/// Decimal digits kept of each time.
const DIGITS: u8 = 2;
/// Bars of a picture, each twice as long as the one before.
pub const N_BARS: usize = 28;
/// Upper end of the first bar, in seconds.
const FIRST_BAR_SECONDS: f64 = 0.001;

/// Keeps the histograms that the instance records; a recorder for `metrics`, to stand beside the
/// one that serves the metrics endpoint. Only histograms of seconds with the labels `account`
/// and `class` are kept. Clones share the book.
#[derive(Clone, Default)]
pub struct HistogramBook {
    histograms: Arc<Mutex<BTreeMap<HistogramName, Arc<SecondsHistogram>>>>,
}

/// What a histogram measures, and of whom.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HistogramName {
    /// Name of the metric.
    pub metric: String,
    /// Whose work.
    pub account: ids::AccountId,
    /// Of which class.
    pub class: ids::ClassName,
}

/// A histogram at one moment; times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct HistogramSummary {
    /// What it measures.
    pub name: HistogramName,
    /// Values recorded since the instance started.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest.
    pub max: f64,
    /// Values by length, each bar's upper end twice the one before; the last takes the rest.
    pub bars: [u64; N_BARS],
}

struct SecondsHistogram {
    micros: Mutex<Histogram<u32>>,
}

impl HistogramBook {
    /// An empty book.
    pub fn new() -> HistogramBook {
        HistogramBook::default()
    }

    /// All histograms as they are, by name.
    pub fn summaries(&self) -> Vec<HistogramSummary> {
        let histograms = lock(&self.histograms).clone();
        histograms.into_iter().map(|(name, it)| it.summary(name)).collect()
    }

    /// The upper end of the bar at `index`, in seconds.
    pub fn bar_end(index: usize) -> f64 {
        FIRST_BAR_SECONDS * (1_u64 << index.min(N_BARS)) as f64
    }

    fn histogram(&self, name: HistogramName) -> Option<Arc<SecondsHistogram>> {
        let mut histograms = lock(&self.histograms);
        if !histograms.contains_key(&name) && MAX_HISTOGRAMS <= histograms.len() {
            return None;
        }
        Some(Arc::clone(histograms.entry(name).or_default()))
    }
}

impl SecondsHistogram {
    fn summary(&self, name: HistogramName) -> HistogramSummary {
        let micros = lock(&self.micros);
        let seconds = |it: u64| it as f64 / 1e6;
        let mut bars = [0; N_BARS];
        for recorded in micros.iter_recorded() {
            let length = seconds(recorded.value_iterated_to());
            let bar = (0..N_BARS - 1).find(|it| length <= HistogramBook::bar_end(*it));
            bars[bar.unwrap_or(N_BARS - 1)] += recorded.count_since_last_iteration();
        }
        HistogramSummary {
            name,
            count: micros.len(),
            p50: seconds(micros.value_at_quantile(0.5)),
            p95: seconds(micros.value_at_quantile(0.95)),
            p99: seconds(micros.value_at_quantile(0.99)),
            max: seconds(micros.max()),
            bars,
        }
    }
}

impl Default for SecondsHistogram {
    fn default() -> SecondsHistogram {
        let micros = Histogram::new_with_bounds(MIN_MICROS, MAX_MICROS, DIGITS);
        SecondsHistogram { micros: Mutex::new(micros.expect("the bounds are in order")) }
    }
}

impl HistogramFn for SecondsHistogram {
    fn record(&self, seconds: f64) {
        let micros = (seconds.max(0.0) * 1e6) as u64;
        lock(&self.micros).saturating_record(micros);
    }
}

impl Recorder for HistogramBook {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, _: &Key, _: &Metadata<'_>) -> Counter {
        Counter::noop()
    }

    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> metrics::Histogram {
        let label = |name: &str| {
            let mut labels = key.labels().filter(|it| it.key() == name);
            labels.next().map(|it| it.value().to_owned())
        };
        let (Some(account), Some(class)) = (label(ACCOUNT_LABEL), label(CLASS_LABEL)) else {
            return metrics::Histogram::noop();
        };
        let name = HistogramName { metric: key.name().to_owned(), account, class };
        match self.histogram(name) {
            Some(histogram) => metrics::Histogram::from_arc(histogram),
            None => metrics::Histogram::noop(),
        }
    }
}

impl fmt::Debug for HistogramBook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HistogramBook({} histograms)", lock(&self.histograms).len())
    }
}

/// A thread that panicked while it recorded must not take the page down with it.
fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
