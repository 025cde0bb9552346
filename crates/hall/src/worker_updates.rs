//! Updates of the hall's workers after a change of the configuration, the instance list or a drain order.

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
    pub(crate) fn on_config_changed(&mut self, changed: ConfigChanged) {
        let ConfigChanged(config) = changed;
        if config.version <= self.config.version {
            return;
        }
        let wall_now = self.wall_time();
        if let Err(fault) = self.policy.configure(Arc::clone(&config.document), wall_now) {
            // Documents are checked by the configuration rules before they get here. So this hall was
            // removed from the document, or workers that a guarantee needs are gone. The scheduler keeps
            // its previous configuration.
            tracing::error!(hall = self.hall, version = config.version, %fault,
                "policy rejected the configuration; the previous one stays in force for this hall");
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
        // The requests that an instance relayed ended with it, so no report of it is waited for.
        self.grants.unreported_entries.retain(|it| live.contains_key(it));
        self.release_unused_adopted_slots();
        self.update_workers();
    }

    /// Updates the set of workers from the configuration and the instance list.
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
            // The instance list lags. A worker that it no longer names keeps its address, since it may
            // still hold leases; it counts as lost only when it doesn't answer its polls.
            node.member_entry = entry.or_else(|| node.member_entry.take());
        }
        // A worker that was removed from the configuration is polled until its last lease ends.
        let leases = &self.leases;
        self.nodes
            .retain(|name, _| names.contains(name) || leases.on_worker(name).next().is_some());
        for worker in names {
            self.update_draining(&worker);
        }
    }

    /// Notifies the policy when a worker begins or stops draining.
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

    /// Whether a worker takes no new work: it leaves, an operator drains it, or each of its upstreams leaves
    /// or is drained.
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

/// The hall's workers by the configuration and the instance list, before any of them was polled.
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
