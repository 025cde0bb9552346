//! How fast a worker is, learned from the pace of its runs beside that of their siblings.

/// Factor by which one run at most counts a worker as faster or slower: a few runs take several times as long for
/// reasons of their own.
const MAX_FACTOR: f64 = 2.0;

/// Number of runs at the usual pace that a worker is assumed to have had before the first one. Tasks of one step
/// differ by a third, so that one run alone says little.
const N_ASSUMED_RUNS: f64 = 2.0;

/// Older runs count less from this number of runs on, as a worker may become slow for a while.
const MAX_RUNS: f64 = 8.0;

/// Width of a speed class, as a factor. Within a class workers count as equally fast.
const CLASS_FACTOR: f64 = 1.25;

/// Class of a worker's speed: 0 for the usual or an unknown speed, positive for faster workers. A class is
/// `CLASS_FACTOR` times as fast as the one below.
pub type SpeedClass = i32;

/// Learned speed of one incarnation of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerSpeed {
    sum: f64,
    n_runs: f64,
}

impl WorkerSpeed {
    /// Records a run that progressed at `factor` times the pace of its siblings.
    pub fn observe(&mut self, factor: f64) {
        let sample = factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR).ln();
        if self.n_runs >= MAX_RUNS {
            let kept = (MAX_RUNS - 1.0) / self.n_runs;
            self.sum *= kept;
            self.n_runs *= kept;
        }
        self.sum += sample;
        self.n_runs += 1.0;
    }

    /// Estimated speed, as a factor of the usual one.
    pub fn factor(&self) -> f64 {
        self.log_factor().exp()
    }

    /// Class of the estimated speed.
    pub fn class(&self) -> SpeedClass {
        (self.log_factor() / CLASS_FACTOR.ln()).round() as SpeedClass
    }

    fn log_factor(&self) -> f64 {
        self.sum / (self.n_runs + N_ASSUMED_RUNS)
    }
}
