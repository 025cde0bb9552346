//! What an instance is told at its start.

use std::time::Duration;

use almondpass_graph::timing;
use almondpass_schema::ids;

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Name of this process, new at each start.
    pub instance: ids::InstanceId,
    /// Where it answers its peers.
    pub peer_address: ids::PeerAddress,
    /// Thousandths of a core that it may use.
    pub strength_milli: u32,
    /// Peers known from the start; they may be gone.
    pub seeds: Vec<ids::PeerAddress>,
    /// Bounds of the platform.
    pub timing: timing::PoolTiming,
    /// Timings of the tenure.
    pub tenure: TenureTiming,
}

/// How long a tenure lasts without a word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenureTiming {
    /// A watcher takes over when the tenure's row has not changed for this long.
    pub term: Duration,
    /// The holder counts its term this much shorter.
    pub clock_margin: Duration,
    /// The holder renews this often, if it has not written anything meanwhile.
    pub renewal_interval: Duration,
    /// The holder goes on for this long behind its term while the store gives no answers.
    pub max_detached: Duration,
    /// A watcher looks this often.
    pub watch_interval: Duration,
    /// A watcher that knows a stronger instance waits this much longer before it takes over.
    pub weaker_delay: Duration,
    /// A tenure that nobody has held yet is left alone for this long.
    pub first_start_delay: Duration,
}

impl Default for TenureTiming {
    fn default() -> TenureTiming {
        TenureTiming {
            // Two renewals in a row may be lost; a write takes up to 0.54 s while the store is 60
            // times slower, the most that the users' sites name, so that renewals follow each
            // other by 1.04 s then and are heard 0.54 s later.
            term: Duration::from_millis(2_000),
            // Clocks of two machines differ by far less over one term.
            clock_margin: Duration::from_millis(300),
            renewal_interval: Duration::from_millis(500),
            // The store is away for up to 5.5 s on the users' sites.
            max_detached: Duration::from_millis(5_000),
            watch_interval: Duration::from_millis(600),
            // One look of the stronger ones, with its spread.
            weaker_delay: Duration::from_millis(900),
            // Instances start within 0.8 s of each other on the users' sites, and read each other's
            // rows a second after their own start.
            first_start_delay: Duration::from_millis(1_500),
        }
    }
}
