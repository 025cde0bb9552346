//! Numbers that peers say they have.

use std::collections::BTreeMap;

use almondpass_schema::ids;

/// The newest number heard from each peer, while it is above the one in force here.
#[derive(Debug, Default)]
pub(crate) struct HeardVersions {
    by_peer: BTreeMap<ids::PeerAddress, ids::ConfigVersion>,
}

impl HeardVersions {
    pub(crate) fn insert(&mut self, peer: &ids::PeerAddress, version: ids::ConfigVersion) {
        let heard = self.by_peer.entry(peer.clone()).or_default();
        *heard = version.max(*heard);
    }

    /// Forgets numbers up to `version`, which is in force; so only peers that are ahead, or were
    /// a moment ago, take memory.
    pub(crate) fn forget_until(&mut self, version: ids::ConfigVersion) {
        self.by_peer.retain(|_, it| version < *it);
    }

    pub(crate) fn forget_peer(&mut self, peer: &ids::PeerAddress) {
        self.by_peer.remove(peer);
    }

    pub(crate) fn newest(&self) -> Option<ids::ConfigVersion> {
        self.by_peer.values().copied().max()
    }

    /// Peers, those that are furthest ahead first.
    pub(crate) fn ahead(&self, limit: usize) -> Vec<ids::PeerAddress> {
        let mut peers = self.by_peer.iter().collect::<Vec<_>>();
        peers.sort_by_key(|(_, version)| std::cmp::Reverse(**version));
        peers.into_iter().take(limit).map(|(peer, _)| peer.clone()).collect()
    }
}
