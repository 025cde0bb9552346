//! Job classes and accounts of the operators' configuration, as far as scheduling needs them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondpass_schema::ids;

/// A job class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Upstream whose workers run the class.
    pub upstream: ids::UpstreamName,
    /// 0 is the most urgent class and may preempt others.
    pub priority: u32,
    /// Number of failures of one task or gang after which the job has failed.
    pub max_attempts: u32,
    /// Factor of a job's objective: the job is in time if it ends within `stretch` times the length of its
    /// longest chain of steps plus `target_latency`. 0 if the class has no objective.
    pub stretch: f64,
    /// Constant part of a job's objective.
    pub target_latency: Duration,
}

/// Classes and accounts of one configuration version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolCatalog {
    /// Job classes by name.
    pub classes: BTreeMap<ids::ClassName, ClassSpec>,
    /// Accelerators guaranteed to the most urgent work of an account at all times.
    pub guaranteed: BTreeMap<ids::AccountId, u32>,
    /// Upstreams whose workers start every task they are ordered to, whether or not it fits.
    pub without_admission_check: BTreeSet<ids::UpstreamName>,
}
