//! What is known of instances and workers at one moment.

use std::collections::BTreeMap;

use almondpass_schema::{ids, model};

/// Instances and workers as this instance believes them to be; published on a watch channel.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberSnapshot {
    /// Instances of ours that are not known to be gone, by id; this instance included.
    pub instances: BTreeMap<ids::InstanceId, MemberEntry>,
    /// Workers of the list, by name.
    pub workers: BTreeMap<ids::WorkerId, WorkerEntry>,
}

/// One instance of ours.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Its peer address.
    pub address: ids::PeerAddress,
    /// Where it is.
    pub data_center: ids::DataCenter,
    /// Whether it shuts down.
    pub leaving: bool,
    /// Configuration in force there when it last said so; 0 where it never did.
    pub config_version: ids::ConfigVersion,
}

/// One worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Its control address.
    pub address: ids::PeerAddress,
    /// Whether it leaves.
    pub leaving: bool,
    /// Services on it.
    pub upstreams: Vec<UpstreamEntry>,
}

/// One upstream's service on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Which upstream.
    pub upstream: ids::UpstreamName,
    /// Where it answers.
    pub address: ids::PeerAddress,
    /// Whether it leaves.
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
