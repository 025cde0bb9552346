//! Whether a pool has much room left.

use std::collections::{BTreeMap, BTreeSet};

use almondpass_schema::ids;

use crate::core;

impl core::PoolCore {
    /// The upstreams of whose workers less than half is in use, by what is counted for their resources.
    pub(crate) fn ample_upstreams(&self) -> BTreeSet<ids::UpstreamName> {
        let mut amounts = BTreeMap::<&ids::UpstreamName, PoolAmounts>::new();
        for worker in self.workers.values().filter(|it| it.listed) {
            let amount = amounts.entry(&worker.listing.upstream).or_default();
            amount.offered += worker.listing.capacity.weight();
            amount.used += worker.in_use().weight();
        }
        let ample = amounts.into_iter().filter(|(_, it)| 2 * it.used < it.offered);
        ample.map(|(upstream, _)| upstream.clone()).collect()
    }
}

/// Weights of what the workers of an upstream offer, and of what is in use there.
#[derive(Clone, Copy, Debug, Default)]
struct PoolAmounts {
    offered: u64,
    used: u64,
}
