//! Settings that an instance gets at its start.

use std::time::Duration;

use almondpass_graph::timing;
use almondpass_schema::{ids, model};

/// Settings of an instance; they don't change while the process runs.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Name of this process, unique to each start.
    pub instance: ids::InstanceId,
    /// Address at which the instance answers its peers.
    pub peer_address: ids::PeerAddress,
    /// Thousandths of a core that the instance may use.
    pub strength_milli: u32,
    /// Addresses of peers that are known from the start; these peers may be gone.
    pub seeds: Vec<ids::PeerAddress>,
    /// Leases and time bounds of the platform.
    pub timing: timing::PoolTiming,
    /// Which optional decisions are on.
    pub scheduling: model::SchedulingSettings,
    /// Timing of the tenure.
    pub tenure: TenureTiming,
}

/// Timing of the tenure: how long it lasts without a renewal, and how often it is read and renewed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenureTiming {
    /// A watcher takes over when the tenure's row has not changed for this long.
    pub term: Duration,
    /// The holder's own count of the term is shorter by this.
    pub clock_margin: Duration,
    /// Interval between two renewals if the holder has nothing else to write.
    pub renewal_interval: Duration,
    /// The holder goes on for this long after its term while the store gives no answers.
    pub max_detached: Duration,
    /// Interval between two reads of the tenure's row by a watcher.
    pub watch_interval: Duration,
    /// The same for watchers that take over only if those before them do not.
    pub rare_watch_interval: Duration,
    /// A watcher that knows a stronger instance waits this much longer before it takes over.
    pub weaker_delay: Duration,
    /// A tenure that no instance has held yet is not acquired for this long.
    pub first_start_delay: Duration,
}

impl Default for TenureTiming {
    fn default() -> TenureTiming {
        TenureTiming {
            // Two consecutive renewals may be lost. A write takes up to 0.54 s while the store is 60 times
            // slower, the most that the users' sites report; renewals then follow each other by 1.04 s and
            // are visible 0.54 s later.
            term: Duration::from_millis(2_000),
            // Clocks of two machines differ by far less than this over one term.
            clock_margin: Duration::from_millis(300),
            renewal_interval: Duration::from_millis(500),
            // The store is unavailable for up to 5.5 s on the users' sites.
            max_detached: Duration::from_millis(5_000),
            watch_interval: Duration::from_millis(600),
            // Longer than the term, so that one more read shows whether the tenure has lapsed.
            rare_watch_interval: Duration::from_millis(3_000),
            // One watch interval of the stronger instances, including its spread.
            weaker_delay: Duration::from_millis(900),
            // Instances start within 0.8 s of each other on the users' sites, and read each other's rows a
            // second after their own start.
            first_start_delay: Duration::from_millis(1_500),
        }
    }
}
