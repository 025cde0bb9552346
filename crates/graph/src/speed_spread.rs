//! How much the speeds of the workers of an upstream differ, and the cautious estimate that follows from it.
//!
//! The samples of alike workers differ too, as the work of tasks does. Workers differ if the means of their
//! samples are further apart than the samples of each worker explain (one-way analysis of variance).

use crate::worker_speed;

/// Fewest workers with samples by which the spread is judged.
const MIN_WORKERS: f64 = 6.0;

/// Fewest samples beyond the first ones of their workers.
const MIN_REPEATED: f64 = 8.0;

/// Workers differ if the ratio of the variances is this many standard deviations above that of alike workers.
/// The ratio is checked again with each sample, so that a chance excess has to be rare.
const SEEN_DEVIATIONS: f64 = 6.0;

/// Workers that were seen to differ do so until the ratio falls below this many standard deviations.
const FORGOTTEN_DEVIATIONS: f64 = 3.0;

/// Slow workers are this many standard deviations below the usual speed.
const SLOW_DEVIATIONS: f64 = 2.0;

/// Weight of samples from which a worker's speed counts as known.
const MIN_KNOWN_RUNS: f64 = 0.5;

/// Spread of the speeds of workers that differ.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedSpread {
    /// Variance of the logarithms of the speeds.
    pub between: f64,
    /// Variance of the samples of one worker.
    pub within: f64,
    /// Workers with samples.
    pub n_sampled: usize,
}

/// Sums over the workers with samples.
#[derive(Clone, Copy, Debug, Default)]
struct SpeedSums {
    n_workers: f64,
    n_samples: f64,
    n_runs: f64,
    n_runs_squared: f64,
    sum: f64,
    squares: f64,
    deviation: f64,
}

impl SpeedSums {
    fn of<'a>(speeds: impl Iterator<Item = &'a worker_speed::WorkerSpeed>) -> SpeedSums {
        speeds.filter(|it| it.n_runs() > 0.0).fold(SpeedSums::default(), |sums, it| SpeedSums {
            n_workers: sums.n_workers + 1.0,
            n_samples: sums.n_samples + it.n_samples(),
            n_runs: sums.n_runs + it.n_runs(),
            n_runs_squared: sums.n_runs_squared + it.n_runs() * it.n_runs(),
            sum: sums.sum + it.n_runs() * it.mean(),
            squares: sums.squares + it.n_runs() * it.mean() * it.mean(),
            deviation: sums.deviation + it.deviation(),
        })
    }

    fn n_repeated(&self) -> f64 {
        self.n_samples - self.n_workers
    }

    /// Variance of the samples of one worker.
    fn within(&self) -> f64 {
        (self.deviation / self.n_repeated()).max(f64::EPSILON)
    }
}

impl SpeedSpread {
    /// The spread of the workers of an upstream; `None` if they were not seen to differ. `earlier` is the result
    /// of the last check.
    pub fn of<'a>(
        speeds: impl Iterator<Item = &'a worker_speed::WorkerSpeed>,
        earlier: Option<SpeedSpread>,
    ) -> Option<SpeedSpread> {
        let sums = SpeedSums::of(speeds);
        if sums.n_workers < MIN_WORKERS || sums.n_repeated() < MIN_REPEATED {
            return None;
        }
        let (n_others, within) = (sums.n_workers - 1.0, sums.within());
        let of_means = (sums.squares - sums.sum * sums.sum / sums.n_runs) / n_others;
        let deviation = (2.0 / n_others + 2.0 / sums.n_repeated()).sqrt();
        let n_deviations = if earlier.is_some() { FORGOTTEN_DEVIATIONS } else { SEEN_DEVIATIONS };
        let runs_per_worker = (sums.n_runs - sums.n_runs_squared / sums.n_runs) / n_others;
        let between = (of_means - within) / runs_per_worker;
        // A spread within a class of speeds changes no class.
        let is_wide = between.max(0.0).sqrt() >= worker_speed::CLASS_FACTOR.ln() / 2.0;
        let is_seen = of_means / within >= 1.0 + n_deviations * deviation;
        let n_sampled = sums.n_workers as usize;
        (is_wide && is_seen).then_some(SpeedSpread { between, within, n_sampled })
    }

    /// Speed of slow workers, as a factor of the usual one.
    pub fn slow_factor(&self) -> f64 {
        (-SLOW_DEVIATIONS * self.between.sqrt()).exp()
    }

    /// Class of a worker by the lower bound of its speed: the mean less its standard error, both by the
    /// spread of the pool.
    pub fn cautious_class(&self, speed: &worker_speed::WorkerSpeed) -> worker_speed::SpeedClass {
        let precision = 1.0 / self.between + speed.n_runs() / self.within;
        let mean = speed.mean() * speed.n_runs() / self.within / precision;
        worker_speed::class_of(mean - precision.sqrt().recip())
    }
}

/// What placement needs of a worker's speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpeedRank {
    /// Class of the estimated speed.
    pub usual: worker_speed::SpeedClass,
    /// Class by the cautious estimate; that of `usual` where workers do not differ.
    pub cautious: worker_speed::SpeedClass,
    /// Whether the worker's speed is unknown where workers differ.
    pub is_unknown: bool,
}

impl SpeedRank {
    /// The rank of a worker among workers with that spread, if they differ.
    pub fn of(speed: &worker_speed::WorkerSpeed, spread: Option<&SpeedSpread>) -> SpeedRank {
        let usual = speed.class();
        let Some(spread) = spread else {
            return SpeedRank { usual, cautious: usual, is_unknown: false };
        };
        let is_unknown = speed.n_runs() < MIN_KNOWN_RUNS;
        SpeedRank { usual, cautious: spread.cautious_class(speed), is_unknown }
    }
}
