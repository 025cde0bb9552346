//! A fake of the platform's instance list, in memory. Changes become visible after a configurable lag.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_peer::error;
use almondpass_ports::instances;
use almondpass_schema::{ids, model};
use tokio::time::Instant;

use crate::fault;
use crate::state;

/// A handle to the fake instance list. Clones share the list.
#[derive(Clone, Debug, Default)]
pub struct InstanceFake {
    list: Arc<Mutex<LaggingList>>,
    service_faults: fault::FaultPlan,
    path_faults: fault::FaultPlan,
}

/// Peer name of the instance list in call errors.
const PEER: &str = "instances";

#[derive(Debug, Default)]
struct LaggingList {
    lag: Duration,
    revision: u64,
    visible: BTreeMap<String, model::InstanceEntry>,
    pending: VecDeque<(Instant, ListChange)>,
}

#[derive(Debug)]
enum ListChange {
    Register(model::InstanceEntry),
    Mark(String, model::InstanceState),
    MarkUpstream(String, ids::UpstreamName, model::InstanceState),
    Remove(String),
}

impl InstanceFake {
    /// An empty list whose changes become visible after `lag`.
    pub fn new(lag: Duration) -> InstanceFake {
        let fake = InstanceFake::default();
        fake.set_lag(lag);
        fake
    }

    /// A handle to the same list whose calls also get the faults of `path_faults`, for example of the path
    /// from one instance.
    pub fn with_path_faults(&self, path_faults: fault::FaultPlan) -> InstanceFake {
        InstanceFake { path_faults, ..self.clone() }
    }

    /// Faults of the service itself, for every caller.
    pub fn faults(&self) -> &fault::FaultPlan {
        &self.service_faults
    }

    /// Sets the lag of the changes made from now on.
    pub fn set_lag(&self, lag: Duration) {
        state::lock(&self.list).lag = lag;
    }

    /// Adds a started instance to the list.
    pub fn register(&self, entry: model::InstanceEntry) {
        self.change(ListChange::Register(entry));
    }

    /// Sets the state of an instance: leaving, or live again if it stays.
    pub fn set_state(&self, id: &str, state: model::InstanceState) {
        self.change(ListChange::Mark(id.to_owned(), state));
    }

    /// Sets the state of an upstream on a worker: leaving, or live again if it stays.
    pub fn set_upstream_state(&self, worker: &str, upstream: &str, state: model::InstanceState) {
        let change = ListChange::MarkUpstream(worker.to_owned(), upstream.to_owned(), state);
        self.change(change);
    }

    /// Removes an instance from the list.
    pub fn remove(&self, id: &str) {
        self.change(ListChange::Remove(id.to_owned()));
    }

    fn change(&self, change: ListChange) {
        let mut list = state::lock(&self.list);
        let visible_at = Instant::now() + list.lag;
        list.pending.push_back((visible_at, change));
    }
}

impl instances::InstanceList for InstanceFake {
    async fn list(
        &self,
        query: model::InstanceQuery,
    ) -> Result<model::InstanceListing, error::CallError> {
        let list = Arc::clone(&self.list);
        let effect = move || state::lock(&list).listing(query.known, Instant::now());
        fault::call_through(
            &[&self.path_faults, &self.service_faults],
            PEER,
            model::InstanceQuery::PATH,
            effect,
        )
        .await
    }
}

impl LaggingList {
    fn listing(&mut self, known: Option<u64>, now: Instant) -> model::InstanceListing {
        while self.pending.front().is_some_and(|(visible_at, _)| *visible_at <= now) {
            if let Some((_, change)) = self.pending.pop_front() {
                self.apply(change);
                self.revision += 1;
            }
        }
        let unchanged = known == Some(self.revision);
        let visible = self.visible.values().filter(|_| !unchanged);
        model::InstanceListing {
            instances: visible.cloned().collect(),
            revision: Some(self.revision),
            unchanged,
        }
    }

    fn apply(&mut self, change: ListChange) {
        match change {
            ListChange::Register(entry) => {
                self.visible.insert(entry.id.clone(), entry);
            }
            ListChange::Mark(id, state) => {
                if let Some(entry) = self.visible.get_mut(&id) {
                    entry.state = state;
                }
            }
            ListChange::MarkUpstream(worker, upstream, state) => {
                let upstreams = self.visible.get_mut(&worker).map(|it| it.upstreams.iter_mut());
                for it in upstreams.into_iter().flatten() {
                    if it.upstream == upstream {
                        it.state = state;
                    }
                }
            }
            ListChange::Remove(id) => {
                self.visible.remove(&id);
            }
        }
    }
}
