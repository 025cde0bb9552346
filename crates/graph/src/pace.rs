//! How fast a run progresses, by what its worker lists, and what that says of the worker.
//!
//! Workers that turn slow answer like sound ones. What shows is the progress of what runs there:
//! against its own earlier pace, or against what its class usually takes.

use std::time::Duration;

/// Least gain between two readings that make a pace, seen or to be expected, in percent: progress
/// comes in whole percent, and of a task of hours one percent takes minutes.
const LEAST_GAIN: f64 = 4.0;

/// Shortest time between two readings that make a pace.
const SHORTEST_READING: Duration = Duration::from_millis(400);

/// A task that resumes from a checkpoint stands still for up to 0.6 s first on the users' sites.
const LONGEST_RESTORE: Duration = Duration::from_millis(900);

/// Below this share of its own best pace, or of the pace of its siblings, a run is slow. Workers
/// that turn slow take 4.5 to 6.5 times as long on the users' sites; tasks of one step differ by
/// 30%, and the slower ones of two kinds of sound workers take 1.3 times as long.
const SLOW_SHARE: f64 = 0.4;

/// From this share on, a run shows that its worker is sound.
const SOUND_SHARE: f64 = 0.7;

/// Below this share of the usual pace of its class a run is slow, where nothing better is known.
/// The longest urgent task takes 3.2 times the mean.
const SLOW_OF_CLASS: f64 = 0.24;

/// From this share of the usual pace of its class on, a run shows that its worker is sound.
const SOUND_OF_CLASS: f64 = 0.5;

/// Readings of one run, in percent per second. Their times are by the worker's clock: answers of
/// workers wait while the scheduler is busy, and by its own clock what they show would seem slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunPace {
    mark: Option<PaceMark>,
    best: f64,
    latest: Option<f64>,
}

/// Where the next reading counts from.
#[derive(Clone, Copy, Debug)]
struct PaceMark {
    at: Duration,
    percent: u32,
}

/// What the pace of a run says of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceVerdict {
    /// Nothing yet.
    Unknown,
    /// As fast as it should be.
    Normal,
    /// Far slower than it should be.
    Slow,
}

impl RunPace {
    /// A run that was at `percent` at that time.
    pub fn new(at: Duration, percent: u32) -> RunPace {
        RunPace { mark: Some(PaceMark { at, percent }), ..RunPace::default() }
    }

    /// A run that has not begun yet. A gang works only once its last member is there.
    pub fn not_started() -> RunPace {
        RunPace::default()
    }

    /// Takes in a reading. `usual` is the pace of such runs in percent per second, where it is known.
    pub fn observe(&mut self, at: Duration, percent: u32, usual: Option<f64>) {
        let fresh = PaceMark { at, percent };
        let Some(mark) = self.mark else {
            // It has begun after all, unnoticed.
            self.mark = (percent > 0).then_some(fresh);
            return;
        };
        let elapsed = at.saturating_sub(mark.at);
        // A member of a gang that has done its work waits for the others at 100 percent.
        if elapsed < SHORTEST_READING || percent >= 100 {
            return;
        }
        let gained = f64::from(percent.saturating_sub(mark.percent));
        let expected = usual.unwrap_or_default().max(self.best) * elapsed.as_secs_f64();
        if gained.max(expected) < LEAST_GAIN {
            return;
        }
        // A task that restores its checkpoint does not progress at first.
        if gained == 0.0 && self.latest.is_none() && elapsed < LONGEST_RESTORE {
            return;
        }
        let pace = gained / elapsed.as_secs_f64();
        self.best = self.best.max(pace);
        self.latest = Some(pace);
        self.mark = Some(fresh);
    }

    /// The newest pace, in percent per second.
    pub fn latest(&self) -> Option<f64> {
        self.latest
    }

    /// What the newest reading says, against what is known of such runs.
    pub fn verdict(&self, usual: UsualPace) -> PaceVerdict {
        let Some(latest) = self.latest else { return PaceVerdict::Unknown };
        let of_own = latest / self.best.max(f64::EPSILON);
        if let Some(siblings) = usual.siblings {
            return judge(latest / siblings.max(f64::EPSILON), SLOW_SHARE, SOUND_SHARE);
        }
        if of_own < SLOW_SHARE {
            return PaceVerdict::Slow;
        }
        let Some(of_class) = usual.class.map(|it| latest / it.max(f64::EPSILON)) else {
            return PaceVerdict::Unknown;
        };
        judge(of_class, SLOW_OF_CLASS, SOUND_OF_CLASS)
    }

    /// Time that the rest takes at the newest pace; nothing where it is not known.
    pub fn time_left(&self) -> Option<Duration> {
        let latest = self.latest?;
        let left = f64::from(100_u32.saturating_sub(self.mark?.percent));
        Some(Duration::from_secs_f64(left / latest.max(0.01)))
    }
}

/// What is known of runs like one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsualPace {
    /// Median pace of the other tasks of its step that run now, in percent per second.
    pub siblings: Option<f64>,
    /// Mean pace of its class, in percent per second.
    pub class: Option<f64>,
}

fn judge(share: f64, slow: f64, sound: f64) -> PaceVerdict {
    if share < slow {
        PaceVerdict::Slow
    } else if share >= sound {
        PaceVerdict::Normal
    } else {
        PaceVerdict::Unknown
    }
}
