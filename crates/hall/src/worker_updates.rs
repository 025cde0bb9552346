//! What changes around a hall: configuration, instances, workers, drains.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use almondpass_config::active;
use almondpass_policy::{event, hall_policy::HallPolicy};
use almondpass_schema::ids;
use tokio::time::Instant;

use crate::actor::{ConfigChanged, HallActor, MembersChanged};
use crate::backend;
use crate::hall_layout;
use crate::worker_node;

impl<B: backend::HallBackend> HallActor<B> {
    pub(crate) fn on_config_changed(&mut self, configured: ConfigChanged) {
        let ConfigChanged(config) = configured;
        if config.version <= self.config.version {
            return;
        }
        let wall = self.wall_time();
        if let Err(fault) = self.policy.configure(Arc::clone(&config.document), wall) {
            // The rules let only documents in that fit, so this hall was taken out of it, or
            // workers are gone that a guarantee needs. The old one goes on here.
            tracing::error!(hall = self.hall, version = config.version, %fault,
                "the policy cannot work with the configuration");
            return;
        }
        self.config = config;
        self.update_workers();
        self.wake.notify_one();
    }

    pub(crate) fn on_members_changed(&mut self, changed: MembersChanged) {
        let MembersChanged(members) = changed;
        self.members = members;
        let live = &self.members.instances;
        // The exchanges of an instance that is gone were cut with it.
        self.grants.unreported_entries.retain(|it| live.contains_key(it));
        self.release_unused_adopted_slots();
        self.update_workers();
    }

    /// Brings the workers in line with the configuration and the instance list.
    pub(crate) fn update_workers(&mut self) {
        let now = Instant::now();
        let layout = hall_layout::workers(&self.config, &self.hall);
        let names = layout.iter().map(|(name, _)| name.clone()).collect::<BTreeSet<_>>();
        for (name, kind) in layout {
            let entry = self.members.workers.get(&name).cloned();
            let node = self
                .nodes
                .entry(name)
                .or_insert_with(|| worker_node::WorkerNode::new(kind.clone(), now));
            node.kind = kind;
            // A worker that dropped off the lagging list keeps its address: it may still hold
            // leases, and only its silence says that it is gone.
            node.member_entry = entry.or_else(|| node.member_entry.take());
        }
        // A worker taken out of the configuration is looked after until its work is over.
        let leases = &self.leases;
        self.nodes
            .retain(|name, _| names.contains(name) || leases.on_worker(name).next().is_some());
        for worker in names {
            self.update_draining(&worker);
        }
    }

    /// Tells the policy whether a worker takes new work.
    pub(crate) fn update_draining(&mut self, worker: &ids::WorkerId) {
        let draining = self.is_draining(worker);
        let Some(node) = self.nodes.get_mut(worker) else { return };
        let live = node.state == worker_node::NodeState::Live;
        let changed = node.draining != draining;
        node.draining = draining;
        if draining && (changed || live) {
            self.apply_event(event::HallEvent::WorkerDraining(worker.clone()));
        } else if changed {
            self.apply_event(event::HallEvent::WorkerUndrained(worker.clone()));
        }
    }

    /// A worker drains when it leaves, when an operator says so, or when none of its upstreams
    /// stays.
    fn is_draining(&self, worker: &str) -> bool {
        if hall_layout::is_worker_drained(&self.config, worker) {
            return true;
        }
        let Some(entry) = self.nodes.get(worker).and_then(|it| it.member_entry.as_ref()) else {
            return false;
        };
        let stays = |it: &almondpass_membership::snapshot::UpstreamEntry| {
            !it.leaving && !hall_layout::is_upstream_drained(&self.config, &it.upstream, worker)
        };
        entry.leaving || !entry.upstreams.is_empty() && !entry.upstreams.iter().any(stays)
    }
}

/// Workers as the configuration and the instance list have them, before anything is known.
pub(crate) fn initial_nodes(
    config: &active::ActiveConfig,
    members: &almondpass_membership::snapshot::MemberSnapshot,
    hall: &str,
) -> BTreeMap<ids::WorkerId, worker_node::WorkerNode> {
    let now = Instant::now();
    let layout = hall_layout::workers(config, hall);
    let nodes = layout.into_iter().map(|(name, kind)| {
        let mut node = worker_node::WorkerNode::new(kind, now);
        node.member_entry = members.workers.get(&name).cloned();
        (name, node)
    });
    nodes.collect()
}
