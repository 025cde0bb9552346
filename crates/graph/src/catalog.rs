//! What the operators' configuration says of classes and accounts, as far as placing needs it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondpass_schema::ids;

/// A job class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Whose workers run it.
    pub upstream: ids::UpstreamName,
    /// 0 is the most urgent, and may stop others.
    pub priority: u32,
    /// Failures of one task or gang after which its job has failed.
    pub max_attempts: u32,
    /// A job is in time within this many times its longest chain of work; 0 where the class promises
    /// nothing...
    pub stretch: f64,
    /// ...and this much more.
    pub target_latency: Duration,
}

/// Classes and accounts of one configuration version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolCatalog {
    /// The classes.
    pub classes: BTreeMap<ids::ClassName, ClassSpec>,
    /// Accelerators that belong to an account's most urgent work at all times.
    pub guaranteed: BTreeMap<ids::AccountId, u32>,
    /// Upstreams whose workers start whatever they are told to, whether it fits or not.
    pub without_admission_check: BTreeSet<ids::UpstreamName>,
}
