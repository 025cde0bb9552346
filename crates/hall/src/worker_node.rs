//! State that the hall scheduler keeps for each worker.

use almondpass_membership::snapshot;
use almondpass_schema::{ids, model};
use tokio::time::Instant;

/// Whether a worker is known to the policy as live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeState {
    /// The worker's leases have to be listed before the policy may place work on it.
    LeasesUnknown,
    /// The worker answers polls and has no lease that the scheduler doesn't know.
    Live,
}

/// A worker of the hall, with its poll schedule.
#[derive(Clone, Debug)]
pub(crate) struct WorkerNode {
    /// Latest entry of the worker on the instance list; `None` until it was listed once.
    pub(crate) member_entry: Option<snapshot::WorkerEntry>,
    /// Hardware of the worker, by the configuration.
    pub(crate) kind: model::WorkerKind,
    /// Whether the policy may place work on the worker.
    pub(crate) state: NodeState,
    /// Whether the policy was notified that the worker drains.
    pub(crate) draining: bool,
    /// Unanswered polls since the last answered one.
    pub(crate) failed_polls: u32,
    /// Whether a poll is in progress; a worker has at most one.
    pub(crate) polling: bool,
    /// When the next poll is due.
    pub(crate) next_poll: Instant,
}

impl WorkerNode {
    /// A worker that was never polled; its first poll is due at `now`.
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

    /// Control address of the worker; `None` if it was never listed.
    pub(crate) fn address(&self) -> Option<&ids::PeerAddress> {
        self.member_entry.as_ref().map(|it| &it.address)
    }

    /// Address of an upstream on this worker; `None` if the worker doesn't run it or it is leaving.
    pub(crate) fn upstream_address(&self, name: &str) -> Option<&ids::PeerAddress> {
        let upstreams = self.member_entry.as_ref().map_or(&[][..], |it| it.upstreams.as_slice());
        let found = upstreams.iter().find(|it| it.upstream == name && !it.leaving)?;
        Some(&found.address)
    }
}
