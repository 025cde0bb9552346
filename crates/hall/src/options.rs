//! What a seat needs to know of the instance it is on.

use std::time::Duration;

use almondpass_ports::clock;
use almondpass_schema::{ids, model};

/// Identity, timing and clock of this instance.
#[derive(Clone, Debug)]
pub struct HallOptions {
    /// Id of this instance, new at each start.
    pub instance: ids::InstanceId,
    /// Where the other instances reach it.
    pub address: ids::PeerAddress,
    /// Terms and intervals.
    pub timing: model::TimingSettings,
    /// Time of day.
    pub clock: clock::WallClock,
}

impl HallOptions {
    /// Term of a tenure.
    pub fn tenure_term(&self) -> Duration {
        self.timing.scheduler_term.0
    }

    /// Term of a worker lease.
    pub fn lease_term(&self) -> Duration {
        self.timing.lease_term.0
    }

    /// What is kept back of a lease.
    pub fn lease_margin(&self) -> Duration {
        self.timing.lease_margin.0
    }

    /// What is kept back of a tenure; never so much that nothing is left between two renewals.
    pub fn tenure_margin(&self) -> Duration {
        self.timing.lease_margin.0.min(self.tenure_term() / TENURE_MARGIN_SHARE)
    }

    /// Deadline of one call to the store or to a worker.
    pub fn call_deadline(&self) -> Duration {
        self.timing.store_deadline.0
    }

    /// Between two renewals of a tenure.
    pub fn renewal_interval(&self) -> Duration {
        self.tenure_term() / RENEWALS_PER_TERM
    }
}

/// A tenure is renewed this often within its term.
const RENEWALS_PER_TERM: u32 = 3;
/// At most this part of a tenure's term is its margin.
const TENURE_MARGIN_SHARE: u32 = 4;
