//! Detects upstreams whose workers are less than half in use.

use std::collections::{BTreeMap, BTreeSet};

use almondpass_schema::ids;

use crate::core;
use crate::resources;

impl core::PoolCore {
    /// Upstreams with less than half of each resource of their workers in use.
    pub(crate) fn find_underused(&self) -> BTreeSet<ids::UpstreamName> {
        let mut usage = BTreeMap::<&ids::UpstreamName, PoolUsage>::new();
        for worker in self.workers.values().filter(|it| it.listed) {
            usage
                .entry(&worker.entry.upstream)
                .or_default()
                .add(worker.entry.capacity, worker.in_use());
        }
        let underused = usage.into_iter().filter(|(_, it)| it.is_underused());
        underused.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Whether less than half of each resource of an upstream's workers is in use now, counting starts of the
    /// current round.
    pub(crate) fn is_underused(&self, upstream: &str) -> bool {
        let mut usage = PoolUsage::default();
        let of_upstream = self.workers.values().filter(|it| it.entry.upstream == upstream);
        for worker in of_upstream.filter(|it| it.listed) {
            usage.add(worker.entry.capacity, worker.in_use());
        }
        usage.is_underused()
    }
}

/// Resources of an upstream's workers, offered and in use: thousandths of a core, megabytes, accelerators.
#[derive(Clone, Copy, Debug, Default)]
struct PoolUsage {
    offered: [u64; 3],
    used: [u64; 3],
}

impl PoolUsage {
    fn add(&mut self, offered: resources::Resources, used: resources::Resources) {
        for (sum, amount) in self.offered.iter_mut().zip(by_resource(offered)) {
            *sum += amount;
        }
        for (sum, amount) in self.used.iter_mut().zip(by_resource(used)) {
            *sum += amount;
        }
    }

    fn is_underused(&self) -> bool {
        // A resource that no worker offers, such as accelerators, does not count as scarce.
        self.used.iter().zip(self.offered).all(|(used, offered)| 2 * used < offered.max(1))
    }
}

/// Thousandths of a core, megabytes and accelerators.
pub(crate) fn by_resource(resources: resources::Resources) -> [u64; 3] {
    [resources.cpu_milli, resources.memory_mb, resources.accelerators].map(u64::from)
}
