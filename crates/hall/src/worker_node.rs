//! One worker as its hall's scheduler sees it.

use almondpass_membership::snapshot;
use almondpass_schema::{ids, model};
use tokio::time::Instant;

/// Whether the policy counts on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeState {
    /// Its leases are to be listed before anything is placed on it.
    LeasesUnknown,
    /// It answers, and nothing unknown is on it.
    Live,
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerNode {
    /// What the instance list says of it; `None` while it is not listed.
    pub(crate) member_entry: Option<snapshot::WorkerEntry>,
    /// Its kind.
    pub(crate) kind: model::WorkerKind,
    /// Whether it is counted on.
    pub(crate) state: NodeState,
    /// Whether the policy was told that it takes no new work.
    pub(crate) draining: bool,
    /// Calls without an answer since the last answer.
    pub(crate) failed_polls: u32,
    /// Whether a call is on its way.
    pub(crate) polling: bool,
    /// When it is to be called next.
    pub(crate) next_poll: Instant,
}

impl WorkerNode {
    /// A worker that was never called.
    pub(crate) fn new(kind: model::WorkerKind, now: Instant) -> WorkerNode {
        WorkerNode {
            member_entry: None,
            kind,
            state: NodeState::LeasesUnknown,
            draining: false,
            failed_polls: 0,
            polling: false,
            next_poll: now,
        }
    }

    /// Its control address.
    pub(crate) fn address(&self) -> Option<&ids::PeerAddress> {
        self.member_entry.as_ref().map(|it| &it.address)
    }

    /// Where an upstream answers on it, unless that leaves.
    pub(crate) fn upstream_address(&self, name: &str) -> Option<&ids::PeerAddress> {
        let upstreams = self.member_entry.as_ref().map_or(&[][..], |it| it.upstreams.as_slice());
        let found = upstreams.iter().find(|it| it.upstream == name && !it.leaving)?;
        Some(&found.address)
    }
}
