//! Measures how fast a run progresses from what its worker lists, and judges the worker by it.
//!
//! Slow workers answer calls as fast as others. Only the progress of their tasks shows that they are
//! slow, compared with the earlier pace of the same run, with its siblings, or with the mean of its
//! class.

use std::time::Duration;

/// Minimum gain between two readings for a pace, actual or expected, in percent. Progress is listed in
/// whole percent, and one percent of a task of hours takes minutes.
const MIN_GAIN: f64 = 4.0;

/// Minimum time between two readings for a pace.
pub(crate) const MIN_READING_INTERVAL: Duration = Duration::from_millis(400);

/// A task that resumes from a checkpoint makes no progress at first; within this time no progress is not
/// counted as a pace of zero.
pub(crate) const MAX_RESTORE_TIME: Duration = Duration::from_millis(900);

/// A run is slow below this share of its own best pace, or of the pace of its siblings. The tasks
/// of one step and the types of healthy workers differ by less.
const SLOW_SHARE: f64 = 0.4;

/// From this share of the pace of its siblings on, a run shows that its worker is not slow.
pub(crate) const NORMAL_SHARE: f64 = 0.7;

/// A run is slow below this share of the mean pace of its class, if no better measure is known. The
/// longest urgent task takes 3.2 times the mean.
const SLOW_CLASS_SHARE: f64 = 0.24;

/// From this share of the mean pace of its class on, a run shows that its worker is not slow.
const NORMAL_CLASS_SHARE: f64 = 0.5;

/// Usual error of a gain, in percent, as both readings are rounded down to whole percent.
const READING_ERROR: f64 = 0.5;

/// Progress readings of one run, timed by the worker's clock. Answers wait in a queue while the
/// scheduler is busy, so by the scheduler's clock a run would seem slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunPace {
    first: Option<PaceReading>,
    base: Option<PaceReading>,
    best: f64,
    latest: Option<f64>,
    /// Percent gained between the readings of `latest`.
    latest_gain: f64,
    /// Number of paces measured so far.
    n_paces: u32,
    /// Lower bound of the pace of a run that had completed its work at the first reading.
    completed: Option<f64>,
}

/// What is known of the pace of a run, in percent per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MeasuredPace {
    /// The latest pace.
    Exact(f64),
    /// The run completed its work at least this fast.
    AtLeast(f64),
}

/// Mean pace of a run over all its readings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeanPace {
    /// The pace, in percent per second.
    pub pace: f64,
    /// Progress between the first reading and the last one, in percent.
    pub gained: f64,
}

/// Measured pace of a run, in percent per second, and how exact it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceGauge {
    /// The latest pace.
    pub latest: f64,
    /// The pace of the run on its worker before the worker slowed down, if it has.
    pub undisturbed: f64,
    /// Relative error of the latest pace.
    pub error: f64,
    /// Number of paces measured so far.
    pub n_paces: u32,
}

/// The reading from which the next gain is counted.
#[derive(Clone, Copy, Debug)]
struct PaceReading {
    at: Duration,
    percent: u32,
}

/// What the pace of a run shows about its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceVerdict {
    /// The pace is unknown, or between slow and normal.
    Unknown,
    /// The worker is not slow.
    Normal,
    /// The run is far slower than expected.
    Slow,
}

impl RunPace {
    /// A run that was at `percent` at time `at` of the worker's clock.
    pub fn new(at: Duration, percent: u32) -> RunPace {
        let first = Some(PaceReading { at, percent });
        RunPace { first, base: first, ..RunPace::default() }
    }

    /// A run that has not started to work yet: the members of a gang work only once all have started.
    pub fn not_started() -> RunPace {
        RunPace::default()
    }

    /// Records a reading. `usual` is the pace of such runs in percent per second, if known.
    pub fn observe(&mut self, at: Duration, percent: u32, usual: Option<f64>) {
        let reading = PaceReading { at, percent };
        let Some(base) = self.base else {
            // The run has started to work since the last reading.
            self.base = (percent > 0).then_some(reading);
            self.first = self.base;
            return;
        };
        let elapsed = at.saturating_sub(base.at);
        if elapsed < MIN_READING_INTERVAL {
            return;
        }
        let gained = f64::from(percent.saturating_sub(base.percent));
        // A member of a gang that has completed its work waits for the others at 100 percent.
        if percent >= 100 {
            self.completed.get_or_insert(gained / elapsed.as_secs_f64());
            return;
        }
        let expected = usual.unwrap_or_default().max(self.best) * elapsed.as_secs_f64();
        if gained.max(expected) < MIN_GAIN {
            return;
        }
        // A task that restores its checkpoint makes no progress at first.
        if gained == 0.0 && self.latest.is_none() && elapsed < MAX_RESTORE_TIME {
            return;
        }
        let pace = gained / elapsed.as_secs_f64();
        self.best = self.best.max(pace);
        self.latest = Some(pace);
        self.latest_gain = gained;
        self.n_paces += 1;
        self.base = Some(reading);
    }

    /// Latest pace, in percent per second.
    pub fn latest(&self) -> Option<f64> {
        self.latest
    }

    /// What is known of the pace; `None` before the first gain.
    pub fn measured(&self) -> Option<MeasuredPace> {
        let exact = self.latest.map(MeasuredPace::Exact);
        exact.or(self.completed.map(MeasuredPace::AtLeast))
    }

    /// Mean pace over all readings; `None` before the first gain.
    pub fn mean(&self) -> Option<MeanPace> {
        let (first, base) = (self.first?, self.base?);
        let gained = f64::from(base.percent.saturating_sub(first.percent));
        let elapsed = base.at.saturating_sub(first.at).as_secs_f64();
        (gained > 0.0 && elapsed > 0.0).then(|| MeanPace { pace: gained / elapsed, gained })
    }

    /// What the readings say about the rest of the run; `None` before the first pace, and while the run
    /// stands still.
    pub fn gauge(&self) -> Option<PaceGauge> {
        let latest = self.latest.filter(|it| *it > 0.0)?;
        let has_slowed = latest < NORMAL_SHARE * self.best;
        Some(PaceGauge {
            latest,
            undisturbed: if has_slowed { self.best } else { latest },
            error: READING_ERROR / self.latest_gain.max(READING_ERROR),
            n_paces: self.n_paces,
        })
    }

    /// Compares the latest reading with the usual pace of such runs.
    pub fn verdict(&self, usual: UsualPace) -> PaceVerdict {
        let Some(latest) = self.latest else { return PaceVerdict::Unknown };
        let own_share = latest / self.best.max(f64::EPSILON);
        if let Some(siblings) = usual.siblings {
            return verdict_of_share(latest / siblings.max(f64::EPSILON), SLOW_SHARE, NORMAL_SHARE);
        }
        if own_share < SLOW_SHARE {
            return PaceVerdict::Slow;
        }
        let Some(class_share) = usual.class.map(|it| latest / it.max(f64::EPSILON)) else {
            return PaceVerdict::Unknown;
        };
        verdict_of_share(class_share, SLOW_CLASS_SHARE, NORMAL_CLASS_SHARE)
    }

    /// Time that the rest of the run takes at the latest pace; `None` if the pace is unknown.
    pub fn time_left(&self) -> Option<Duration> {
        let latest = self.latest?;
        let left = f64::from(100_u32.saturating_sub(self.base?.percent));
        Some(Duration::from_secs_f64(left / latest.max(0.01)))
    }
}

/// Usual pace of runs like this one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsualPace {
    /// Median pace of the other running tasks of its step, in percent per second.
    pub siblings: Option<f64>,
    /// Mean pace of its class, in percent per second.
    pub class: Option<f64>,
}

fn verdict_of_share(share: f64, slow: f64, normal: f64) -> PaceVerdict {
    if share < slow {
        PaceVerdict::Slow
    } else if share >= normal {
        PaceVerdict::Normal
    } else {
        PaceVerdict::Unknown
    }
}
