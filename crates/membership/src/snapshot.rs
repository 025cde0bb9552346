//! Snapshot of the known instances and workers.

use std::collections::BTreeMap;

use almondpass_schema::{ids, model};

/// Instances and workers as known to this instance; `MemberService` publishes each change on a watch channel.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberSnapshot {
    /// Scheduler instances that are not marked lost, by id, including this instance.
    pub instances: BTreeMap<ids::InstanceId, MemberEntry>,
    /// Workers in the latest instance list, by id.
    pub workers: BTreeMap<ids::WorkerId, WorkerEntry>,
}

/// One scheduler instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Address at which the instance answers its peers.
    pub address: ids::PeerAddress,
    /// Data centre in which the instance runs.
    pub data_center: ids::DataCenter,
    /// Whether the instance is shutting down.
    pub leaving: bool,
    /// Newest configuration version that the instance reported; 0 before its first beat.
    pub config_version: ids::ConfigVersion,
}

/// One worker of the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Control address of the worker (not that of its services).
    pub address: ids::PeerAddress,
    /// Whether the worker is shutting down.
    pub leaving: bool,
    /// Upstream services that run on the worker.
    pub upstreams: Vec<UpstreamEntry>,
}

/// One upstream's service on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Upstream that the service belongs to.
    pub upstream: ids::UpstreamName,
    /// Address at which the service answers requests.
    pub address: ids::PeerAddress,
    /// Whether the service is shutting down.
    pub leaving: bool,
}

impl From<&model::UpstreamEndpoint> for UpstreamEntry {
    fn from(endpoint: &model::UpstreamEndpoint) -> UpstreamEntry {
        UpstreamEntry {
            upstream: endpoint.upstream.clone(),
            address: endpoint.address.clone(),
            leaving: endpoint.state == model::InstanceState::Leaving,
        }
    }
}
