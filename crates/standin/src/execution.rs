//! Record of the requests that fake upstreams executed, against which the oracles of tests check the
//! scheduler.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use almondpass_schema::ids;
use bytes::Bytes;
use tokio::time::Instant;

use crate::state;
use crate::upstream;

/// All requests that the upstreams of a site executed, and their peak loads. Clones share the log.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog {
    state: Arc<Mutex<LogState>>,
}

/// One execution of a request; a request that is sent again may have several.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestExecution {
    /// Worker on which the upstream ran.
    pub worker: ids::WorkerId,
    /// Upstream that executed the request.
    pub upstream: ids::UpstreamName,
    /// Value of the header `x-request-id`.
    pub request: Option<String>,
    /// Value of the header `idempotency-key`, if the request had one.
    pub idempotency: Option<String>,
    /// Whether a hall scheduler held a lease for serving on the worker when the execution started.
    pub leased: bool,
    /// Fault that the upstream injected into this execution, if any.
    pub misbehaviour: Option<upstream::Misbehaviour>,
    /// The first bytes of the request body, at most [`HEAD_BYTES`].
    pub body_head: Bytes,
    /// When the upstream started the execution.
    pub started: Instant,
}

/// Length up to which the log keeps a request body, in bytes.
pub const HEAD_BYTES: usize = 64;

/// Numbers of simultaneous connections and requests of the upstreams on a worker; in [`ExecutionLog::peaks`],
/// the highest so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServicePeak {
    /// Open connections at a time.
    pub connections: u32,
    /// Executing requests at a time.
    pub requests: u32,
}

#[derive(Debug, Default)]
struct LogState {
    executions: Vec<RequestExecution>,
    current: BTreeMap<ids::WorkerId, ServicePeak>,
    peaks: BTreeMap<ids::WorkerId, ServicePeak>,
}

/// Counts one connection or request as open until the guard is dropped.
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

    /// Number of executions of the request with this id (header `x-request-id`).
    pub fn count(&self, request: &str) -> usize {
        let state = state::lock(&self.state);
        state.executions.iter().filter(|it| it.request.as_deref() == Some(request)).count()
    }

    /// Number of executions of requests with this idempotency key.
    pub fn count_by_idempotency_key(&self, key: &str) -> usize {
        let state = state::lock(&self.state);
        state.executions.iter().filter(|it| it.idempotency.as_deref() == Some(key)).count()
    }

    /// Peak numbers of connections and requests of each worker; the two may come from different times.
    pub fn peaks(&self) -> BTreeMap<ids::WorkerId, ServicePeak> {
        state::lock(&self.state).peaks.clone()
    }

    pub(crate) fn push(&self, execution: RequestExecution) {
        state::lock(&self.state).executions.push(execution);
    }

    pub(crate) fn track_connection(&self, worker: &ids::WorkerId) -> CountGuard {
        self.track(worker, ServicePeak { connections: 1, requests: 0 })
    }

    pub(crate) fn track_request(&self, worker: &ids::WorkerId) -> CountGuard {
        self.track(worker, ServicePeak { connections: 0, requests: 1 })
    }

    fn track(&self, worker: &ids::WorkerId, count: ServicePeak) -> CountGuard {
        let mut state = state::lock(&self.state);
        let current = state.current.entry(worker.clone()).or_default();
        current.connections += count.connections;
        current.requests += count.requests;
        let current = *current;
        let peak = state.peaks.entry(worker.clone()).or_default();
        peak.connections = peak.connections.max(current.connections);
        peak.requests = peak.requests.max(current.requests);
        CountGuard { log: self.clone(), worker: worker.clone(), count }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let mut state = state::lock(&self.log.state);
        if let Some(current) = state.current.get_mut(&self.worker) {
            current.connections -= self.count.connections;
            current.requests -= self.count.requests;
        }
    }
}
