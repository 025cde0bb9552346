//! Bounds that the platform gives, and what follows from them.

use std::time::Duration;

/// Longest lease asked for. Long enough that tasks outlive the cuts of 5.5 s that the users' sites
/// name; every second more delays what ran on a worker that is lost for good.
const LONGEST_LEASE: Duration = Duration::from_millis(6_500);

/// What workers grant where the platform does not say it: the most that the users' platform does.
const LONGEST_GRANTED: Duration = Duration::from_secs(10);

/// The platform's bound for what has changed to be known, and a heartbeat.
const NEWS_TERM: Duration = Duration::from_millis(4_500);

/// Workers write their entries this often.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Kept below the longest lease that workers grant, since a longer one is shortened unheard.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// Callers are promised two minutes after the end on the users' sites; twice that and more leaves
/// room for a scheduler that learned of the end late.
const RETENTION: Duration = Duration::from_secs(300);

/// How the pool's workers behave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolTiming {
    /// How long tasks go on without a word from the scheduler.
    pub lease: Duration,
    /// Longest lease that a worker grants, whatever deadline it is given: by the clock of a former
    /// life one may lie far off.
    pub longest_lease: Duration,
    /// A start that reaches its worker later than this is refused there as late. Bounds how long
    /// an unanswered order can still take effect.
    pub start_timeout: Duration,
    /// A stop takes at most this long.
    pub stop_timeout: Duration,
    /// A room that has shrunk counts this much later, on workers that refuse nothing.
    pub max_entry_age: Duration,
    /// Workers write their entries this often, the first time when they begin.
    pub heartbeat: Duration,
    /// Urgent work within a guarantee runs this long after it was accepted.
    pub reclaim: Duration,
    /// An ended job is answered for this long.
    pub retention: Duration,
    /// Work away from its data, or of a gang across racks, takes so many times as long.
    pub remote_factor: f64,
}

impl PoolTiming {
    /// Lease for workers that grant at most `longest`.
    pub fn lease_within(longest: Duration) -> Duration {
        LONGEST_LEASE.min(longest.saturating_sub(LEASE_MARGIN))
    }
}

impl Default for PoolTiming {
    fn default() -> PoolTiming {
        PoolTiming {
            lease: LONGEST_LEASE,
            longest_lease: LONGEST_GRANTED,
            start_timeout: Duration::from_millis(2_500),
            stop_timeout: Duration::from_millis(400),
            max_entry_age: NEWS_TERM,
            heartbeat: HEARTBEAT,
            reclaim: Duration::from_millis(2_900),
            retention: RETENTION,
            remote_factor: 3.0,
        }
    }
}
