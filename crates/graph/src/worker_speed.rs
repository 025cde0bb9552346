//! How fast a worker is, learned from the pace of its runs beside that of their siblings.

/// Factor by which one run at most counts a worker as faster or slower: a few runs take several times as long for
/// reasons of their own.
pub(crate) const MAX_FACTOR: f64 = 2.0;

/// Number of runs at the usual pace that a worker is assumed to have had before the first one. Tasks of one step
/// differ by a third, so that one run alone says little.
const N_ASSUMED_RUNS: f64 = 2.0;

/// The same for the comparison of workers that may differ widely.
const N_ASSUMED_RUNS_IF_UNKNOWN: f64 = 0.25;

/// Older runs count less from this number of runs on, as a worker may become slow for a while.
const MAX_RUNS: f64 = 8.0;

/// The same where runs are weighted; one run of exactly known work counts as many.
const MAX_WEIGHT: f64 = 100.0;

/// Greatest weight of one sample.
const MAX_SAMPLE_WEIGHT: f64 = 50.0;

/// Width of a speed class, as a factor. Within a class workers count as equally fast.
pub(crate) const CLASS_FACTOR: f64 = 1.25;

/// Class of a worker's speed: 0 for the usual or an unknown speed, positive for faster workers. A class is
/// `CLASS_FACTOR` times as fast as the one below.
pub type SpeedClass = i32;

/// What one run shows about the speed of its worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedSample {
    /// Logarithm of the run's pace as a factor of that of its siblings.
    pub log_factor: f64,
    /// Weight of the sample; 1 for a run whose pace and usual pace are known exactly.
    pub weight: f64,
    /// How exactly the pace of the run was known, from 0 to 1.
    pub exactness: f64,
}

/// Learned speed of one incarnation of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerSpeed {
    sum: f64,
    /// Sum of the squares, for the variation between the runs of the worker.
    squares: f64,
    /// Weight of the runs.
    n_runs: f64,
    /// Number of the runs.
    n_samples: f64,
}

impl WorkerSpeed {
    /// The speed with this mean logarithm of `n_runs` runs that vary by `noise`.
    pub fn inherited(mean: f64, n_runs: f64, noise: f64) -> WorkerSpeed {
        let mean = mean.clamp(-MAX_FACTOR.ln(), MAX_FACTOR.ln());
        let n_runs = n_runs.min(MAX_WEIGHT);
        let n_samples = n_runs.max(1.0);
        let squares = n_runs * mean * mean + noise * noise * (n_samples - 1.0);
        WorkerSpeed { sum: mean * n_runs, squares, n_runs, n_samples }
    }

    /// Records a run that progressed at `factor` times the pace of its siblings.
    pub fn observe(&mut self, factor: f64) {
        let log_factor = factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR).ln();
        self.record(SpeedSample { log_factor, weight: 1.0, exactness: 1.0 }, MAX_RUNS);
    }

    /// Records a sample in place of an earlier and less exact one of the same run.
    pub fn replace(&mut self, earlier: Option<SpeedSample>, sample: SpeedSample) {
        if let Some(earlier) = earlier.filter(|it| it.weight <= self.n_runs) {
            self.add(SpeedSample { weight: -earlier.weight, ..earlier });
            self.n_samples -= 1.0;
        }
        let weight = sample.weight.min(MAX_SAMPLE_WEIGHT);
        self.record(SpeedSample { weight, ..sample }, MAX_WEIGHT);
    }

    /// Weight of the runs that the estimate is from.
    pub fn n_runs(&self) -> f64 {
        self.n_runs
    }

    fn record(&mut self, sample: SpeedSample, max_weight: f64) {
        if self.n_runs + sample.weight > max_weight {
            let kept = (max_weight - sample.weight) / self.n_runs;
            self.sum *= kept;
            self.squares *= kept;
            self.n_runs *= kept;
            self.n_samples *= kept;
        }
        self.add(sample);
        self.n_samples += 1.0;
    }

    fn add(&mut self, sample: SpeedSample) {
        self.sum += sample.weight * sample.log_factor;
        self.squares += sample.weight * sample.log_factor * sample.log_factor;
        self.n_runs += sample.weight;
    }

    /// Number of the runs, those that count less included as far as they count.
    pub fn n_samples(&self) -> f64 {
        self.n_samples
    }

    /// Mean logarithm of the samples; 0 without any.
    pub fn mean(&self) -> f64 {
        let limit = MAX_FACTOR.ln();
        if self.n_runs > 0.0 { (self.sum / self.n_runs).clamp(-limit, limit) } else { 0.0 }
    }

    /// Weighted sum of the squared differences of the samples from their mean.
    pub fn deviation(&self) -> f64 {
        (self.squares - self.mean() * self.sum).max(0.0)
    }

    /// Variance of the estimate, as a multiple of the variance of one run.
    pub(crate) fn variance(&self) -> f64 {
        1.0 / (self.n_runs + N_ASSUMED_RUNS_IF_UNKNOWN)
    }

    /// Estimated speed, as a factor of the usual one.
    pub fn factor(&self) -> f64 {
        self.log_factor().exp()
    }

    /// Class of the estimated speed.
    pub fn class(&self) -> SpeedClass {
        class_of(self.log_factor())
    }

    pub(crate) fn log_factor(&self) -> f64 {
        self.sum / (self.n_runs + N_ASSUMED_RUNS)
    }
}

/// Class of a speed, given as the logarithm of its factor.
pub(crate) fn class_of(log_factor: f64) -> SpeedClass {
    (log_factor / CLASS_FACTOR.ln()).round() as SpeedClass
}
