//! What upstreams really executed, for oracles.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use almondpass_schema::ids;
use bytes::Bytes;
use tokio::time::Instant;

use crate::state;
use crate::upstream;

/// Every request that any upstream of a site executed; clones share it.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog {
    state: Arc<Mutex<LogState>>,
}

/// One execution of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestExecution {
    /// Where it ran.
    pub worker: ids::WorkerId,
    /// Which upstream ran it.
    pub upstream: ids::UpstreamName,
    /// Its `x-request-id`.
    pub request: Option<String>,
    /// Its `idempotency-key`, if one came along.
    pub idempotency: Option<String>,
    /// Whether the worker held a lease of a hall scheduler for serving at that moment.
    pub leased: bool,
    /// What the upstream did wrong with it.
    pub misbehaviour: Option<upstream::Misbehaviour>,
    /// The first bytes of its body, [`HEAD_BYTES`] at most.
    pub body_head: Bytes,
    /// When it started.
    pub started: Instant,
}

/// Bytes of a body that the log keeps.
pub const HEAD_BYTES: usize = 64;

/// How full a worker's service was at most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServicePeak {
    /// Connections at a time.
    pub connections: u32,
    /// Requests at a time.
    pub requests: u32,
}

#[derive(Debug, Default)]
struct LogState {
    executions: Vec<RequestExecution>,
    now: BTreeMap<ids::WorkerId, ServicePeak>,
    peaks: BTreeMap<ids::WorkerId, ServicePeak>,
}

/// Counts one connection or request until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard {
    log: ExecutionLog,
    worker: ids::WorkerId,
    count: ServicePeak,
}

impl ExecutionLog {
    /// All executions so far, in order of their start.
    pub fn executions(&self) -> Vec<RequestExecution> {
        state::lock(&self.state).executions.clone()
    }

    /// How often the request with this id was executed.
    pub fn count(&self, request: &str) -> usize {
        let state = state::lock(&self.state);
        state.executions.iter().filter(|it| it.request.as_deref() == Some(request)).count()
    }

    /// How often a request with this idempotency key was executed.
    pub fn count_by_idempotency_key(&self, key: &str) -> usize {
        let state = state::lock(&self.state);
        state.executions.iter().filter(|it| it.idempotency.as_deref() == Some(key)).count()
    }

    /// How full each worker's services were at most, by worker.
    pub fn peaks(&self) -> BTreeMap<ids::WorkerId, ServicePeak> {
        state::lock(&self.state).peaks.clone()
    }

    pub(crate) fn push(&self, execution: RequestExecution) {
        state::lock(&self.state).executions.push(execution);
    }

    pub(crate) fn track_connection(&self, worker: &ids::WorkerId) -> CountGuard {
        self.count_up(worker, ServicePeak { connections: 1, requests: 0 })
    }

    pub(crate) fn track_request(&self, worker: &ids::WorkerId) -> CountGuard {
        self.count_up(worker, ServicePeak { connections: 0, requests: 1 })
    }

    fn count_up(&self, worker: &ids::WorkerId, count: ServicePeak) -> CountGuard {
        let mut state = state::lock(&self.state);
        let now = state.now.entry(worker.clone()).or_default();
        now.connections += count.connections;
        now.requests += count.requests;
        let now = *now;
        let peak = state.peaks.entry(worker.clone()).or_default();
        peak.connections = peak.connections.max(now.connections);
        peak.requests = peak.requests.max(now.requests);
        CountGuard { log: self.clone(), worker: worker.clone(), count }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let mut state = state::lock(&self.log.state);
        if let Some(now) = state.now.get_mut(&self.worker) {
            now.connections -= self.count.connections;
            now.requests -= self.count.requests;
        }
    }
}
