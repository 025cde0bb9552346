//! Whether a pool has much room left.

use std::collections::{BTreeMap, BTreeSet};

use almondpass_schema::ids;

use crate::core;
use crate::resources;

impl core::PoolCore {
    /// The upstreams of whose workers less than half is in use, of each resource.
    pub(crate) fn find_underused(&self) -> BTreeSet<ids::UpstreamName> {
        let mut amounts = BTreeMap::<&ids::UpstreamName, PoolAmounts>::new();
        for worker in self.workers.values().filter(|it| it.listed) {
            amounts
                .entry(&worker.entry.upstream)
                .or_default()
                .add(worker.entry.capacity, worker.in_use());
        }
        let underused = amounts.into_iter().filter(|(_, it)| it.is_underused());
        underused.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Whether less than half of the workers of an upstream is in use now, within a turn too.
    pub(crate) fn is_underused(&self, upstream: &str) -> bool {
        let mut amounts = PoolAmounts::default();
        let of_upstream = self.workers.values().filter(|it| it.entry.upstream == upstream);
        for worker in of_upstream.filter(|it| it.listed) {
            amounts.add(worker.entry.capacity, worker.in_use());
        }
        amounts.is_underused()
    }
}

/// What the workers of an upstream offer, and what is in use there, by resource: thousandths of a core,
/// megabytes, accelerators.
#[derive(Clone, Copy, Debug, Default)]
struct PoolAmounts {
    offered: [u64; 3],
    used: [u64; 3],
}

impl PoolAmounts {
    fn add(&mut self, offered: resources::Resources, used: resources::Resources) {
        for (sum, amount) in self.offered.iter_mut().zip(by_resource(offered)) {
            *sum += amount;
        }
        for (sum, amount) in self.used.iter_mut().zip(by_resource(used)) {
            *sum += amount;
        }
    }

    fn is_underused(&self) -> bool {
        // What nobody offers, such as accelerators, can't be scarce either.
        self.used.iter().zip(self.offered).all(|(used, offered)| 2 * used < offered.max(1))
    }
}

fn by_resource(room: resources::Resources) -> [u64; 3] {
    [room.cpu_milli, room.memory_mb, room.accelerators].map(u64::from)
}
