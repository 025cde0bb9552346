//! Leases and time bounds of the platform, and values derived from them.

use std::time::Duration;

/// Longest lease requested. It lets tasks survive the network interruptions of 5.5 s reported from users'
/// sites; each additional second delays the restart of tasks after a permanent loss of their worker.
const LONGEST_LEASE: Duration = Duration::from_millis(6_500);

/// Longest lease that workers grant where the platform does not state it: the maximum of the users' platform.
const LONGEST_GRANTED: Duration = Duration::from_secs(10);

/// The platform's bound for a change to become visible, plus one heartbeat.
const MAX_ENTRY_AGE: Duration = Duration::from_millis(4_500);

/// Interval at which workers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Margin below the longest lease that workers grant, since they shorten a longer one without notice.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// Callers are promised two minutes after the end on the users' sites. More than twice that allows for a
/// scheduler that learned of the end late.
const RETENTION: Duration = Duration::from_secs(300);

/// Time bounds of a pool's workers and scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolTiming {
    /// How long tasks run on without contact from the scheduler.
    pub lease: Duration,
    /// Longest lease that a worker grants, whatever deadline it is given: a deadline computed from the clock
    /// of an earlier incarnation may be far in the future.
    pub longest_lease: Duration,
    /// A start that reaches its worker later than this is refused there. This bounds how long an unanswered
    /// order can still take effect.
    pub start_timeout: Duration,
    /// Longest duration of a stop.
    pub stop_timeout: Duration,
    /// Age at which an entry is too old to rule out that its worker's capacity has shrunk. Applies to workers
    /// without admission check.
    pub max_entry_age: Duration,
    /// Interval at which workers write their entries, beginning when they start.
    pub heartbeat: Duration,
    /// Urgent work within a guarantee runs within this time of its acceptance.
    pub reclaim: Duration,
    /// How long the state of an ended job can be queried.
    pub retention: Duration,
    /// Factor by which work takes longer away from its data, or in a gang across racks.
    pub remote_factor: f64,
}

impl PoolTiming {
    /// Lease to request from workers that grant at most `longest`.
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
            max_entry_age: MAX_ENTRY_AGE,
            heartbeat: HEARTBEAT,
            reclaim: Duration::from_millis(2_900),
            retention: RETENTION,
            remote_factor: 3.0,
        }
    }
}
