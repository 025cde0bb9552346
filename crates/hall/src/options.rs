//! Settings of the instance that a contender runs on.

use std::time::Duration;

use almondpass_ports::clock;
use almondpass_schema::{ids, model};

/// Identity, timing and clock of this instance.
#[derive(Clone, Debug)]
pub struct HallOptions {
    /// Id of this instance, newly generated at each start of the process.
    pub instance: ids::InstanceId,
    /// Address at which the other instances call this one.
    pub address: ids::PeerAddress,
    /// Lease terms, margins and intervals.
    pub timing: model::TimingSettings,
    /// Clock for times of day, which are compared between instances.
    pub clock: clock::WallClock,
}

impl HallOptions {
    /// How long a tenure is valid after each renewal.
    pub fn tenure_term(&self) -> Duration {
        self.timing.scheduler_term.0
    }

    /// How long a worker lease is valid after each renewal.
    pub fn lease_term(&self) -> Duration {
        self.timing.lease_term.0
    }

    /// Safety margin at the end of a worker lease.
    pub fn lease_margin(&self) -> Duration {
        self.timing.lease_margin.0
    }

    /// Safety margin at the end of a tenure. At most a quarter of the term, so that the tenure stays usable
    /// between two renewals.
    pub fn tenure_margin(&self) -> Duration {
        self.timing.lease_margin.0.min(self.tenure_term() / TENURE_MARGIN_DIVISOR)
    }

    /// Time limit of one call to the store or to a worker.
    pub fn call_deadline(&self) -> Duration {
        self.timing.store_deadline.0
    }

    /// Time between two renewals of a tenure.
    pub fn renewal_interval(&self) -> Duration {
        self.tenure_term() / RENEWALS_PER_TERM
    }
}

/// A tenure is renewed this often within its term.
const RENEWALS_PER_TERM: u32 = 3;
/// The margin of a tenure is at most its term divided by this.
const TENURE_MARGIN_DIVISOR: u32 = 4;
