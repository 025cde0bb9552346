//! The platform's instance list, in memory, with its lag.

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

/// A handle of the instance list; clones share it. Changes show after the lag.
#[derive(Clone, Debug, Default)]
pub struct InstanceFake {
    list: Arc<Mutex<LaggingList>>,
    plan: fault::FaultPlan,
    path: fault::FaultPlan,
}

/// Name of the fake in errors.
const PEER: &str = "instances";

#[derive(Debug, Default)]
struct LaggingList {
    lag: Duration,
    revision: u64,
    shown: BTreeMap<String, model::InstanceEntry>,
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
    /// An empty list that lags by `lag`.
    pub fn new(lag: Duration) -> InstanceFake {
        let fake = InstanceFake::default();
        fake.set_lag(lag);
        fake
    }

    /// The same list behind a path of its own, such as one instance's.
    pub fn with_path_faults(&self, path: fault::FaultPlan) -> InstanceFake {
        InstanceFake { path, ..self.clone() }
    }

    /// Faults of the service itself, for every caller.
    pub fn faults(&self) -> &fault::FaultPlan {
        &self.plan
    }

    /// Changes the lag of later changes.
    pub fn set_lag(&self, lag: Duration) {
        state::lock(&self.list).lag = lag;
    }

    /// An instance starts.
    pub fn register(&self, entry: model::InstanceEntry) {
        self.change(ListChange::Register(entry));
    }

    /// An instance is leaving, or stays after all.
    pub fn set_state(&self, id: &str, state: model::InstanceState) {
        self.change(ListChange::Mark(id.to_owned(), state));
    }

    /// An upstream on a worker is leaving, or stays after all.
    pub fn set_upstream_state(&self, worker: &str, upstream: &str, state: model::InstanceState) {
        let change = ListChange::MarkUpstream(worker.to_owned(), upstream.to_owned(), state);
        self.change(change);
    }

    /// An instance is gone.
    pub fn remove(&self, id: &str) {
        self.change(ListChange::Remove(id.to_owned()));
    }

    fn change(&self, change: ListChange) {
        let mut list = state::lock(&self.list);
        let shows_at = Instant::now() + list.lag;
        list.pending.push_back((shows_at, change));
    }
}

impl instances::InstanceList for InstanceFake {
    async fn list(
        &self,
        query: model::InstanceQuery,
    ) -> Result<model::InstanceListing, error::CallError> {
        let list = Arc::clone(&self.list);
        let effect = move || state::lock(&list).show(query.known, Instant::now());
        fault::call_through(&[&self.path, &self.plan], PEER, model::InstanceQuery::PATH, effect)
            .await
    }
}

impl LaggingList {
    fn show(&mut self, known: Option<u64>, now: Instant) -> model::InstanceListing {
        while self.pending.front().is_some_and(|(shows_at, _)| *shows_at <= now) {
            if let Some((_, change)) = self.pending.pop_front() {
                self.apply(change);
                self.revision += 1;
            }
        }
        let unchanged = known == Some(self.revision);
        let shown = self.shown.values().filter(|_| !unchanged);
        model::InstanceListing {
            instances: shown.cloned().collect(),
            revision: Some(self.revision),
            unchanged,
        }
    }

    fn apply(&mut self, change: ListChange) {
        match change {
            ListChange::Register(entry) => {
                self.shown.insert(entry.id.clone(), entry);
            }
            ListChange::Mark(id, state) => {
                if let Some(entry) = self.shown.get_mut(&id) {
                    entry.state = state;
                }
            }
            ListChange::MarkUpstream(worker, upstream, state) => {
                let upstreams = self.shown.get_mut(&worker).map(|it| it.upstreams.iter_mut());
                for it in upstreams.into_iter().flatten() {
                    if it.upstream == upstream {
                        it.state = state;
                    }
                }
            }
            ListChange::Remove(id) => {
                self.shown.remove(&id);
            }
        }
    }
}
