//! Fake workers in memory, reached through one handle that implements the worker control port.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use almondpass_peer::call::PeerCall;
use almondpass_peer::error;
use almondpass_ports::worker as control;
use almondpass_schema::{ids, model};
use tokio::time::Instant;

use crate::fault;
use crate::run;
use crate::script;
use crate::state;
use crate::worker;

/// A handle to all fake workers, by control address. Clones share the workers.
#[derive(Clone, Debug, Default)]
pub struct WorkerFleet {
    workers: Arc<Mutex<BTreeMap<ids::PeerAddress, WorkerFake>>>,
    scripts: script::TaskScripts,
    log: run::RunLog,
    path_faults: fault::FaultPlan,
}

/// A handle to one fake worker. Clones share the worker.
#[derive(Clone, Debug)]
pub struct WorkerFake {
    state: Arc<Mutex<worker::WorkerState>>,
    control_faults: fault::FaultPlan,
}

impl WorkerFleet {
    /// A fleet without workers.
    pub fn new() -> WorkerFleet {
        WorkerFleet::default()
    }

    /// A handle to the same fleet whose calls also get the faults of `path_faults`, for example of the path
    /// from one instance.
    pub fn with_path_faults(&self, path_faults: fault::FaultPlan) -> WorkerFleet {
        WorkerFleet { path_faults, ..self.clone() }
    }

    /// Adds a worker under its control address.
    pub fn add(&self, address: &str, shape: worker::WorkerShape) -> WorkerFake {
        let state = worker::WorkerState::new(shape, self.scripts.clone(), self.log.clone());
        let state = Arc::new(Mutex::new(state));
        let fake = WorkerFake { state, control_faults: fault::FaultPlan::new() };
        state::lock(&self.workers).insert(address.to_owned(), fake.clone());
        fake
    }

    /// The worker at a control address.
    pub fn worker(&self, address: &str) -> Option<WorkerFake> {
        state::lock(&self.workers).get(address).cloned()
    }

    /// All workers, by control address.
    pub fn workers(&self) -> Vec<(ids::PeerAddress, WorkerFake)> {
        let workers = state::lock(&self.workers);
        workers.iter().map(|(address, it)| (address.clone(), it.clone())).collect()
    }

    /// Scripts that decide how the tasks of this fleet run.
    pub fn scripts(&self) -> &script::TaskScripts {
        &self.scripts
    }

    /// All task runs so far, with the ends that are due by now.
    pub fn runs(&self) -> Vec<run::TaskRun> {
        let now = Instant::now();
        for (_, worker) in self.workers() {
            state::lock(&worker.state).process_due(now);
        }
        self.log.runs()
    }

    async fn call_with_faults<T: Send + 'static>(
        &self,
        address: &ids::PeerAddress,
        step: &'static str,
        effect: impl FnOnce(&mut worker::WorkerState, Instant) -> T + Send + 'static,
    ) -> Result<T, error::CallError> {
        let Some(worker) = self.worker(address) else {
            let fault = error::CallFault::NotSent("no worker there".to_owned());
            return Err(fault::call_error(address, step, fault));
        };
        let effect = move || effect(&mut state::lock(&worker.state), Instant::now());
        fault::call_through(&[&self.path_faults, &worker.control_faults], address, step, effect)
            .await
    }
}

impl WorkerFake {
    /// Faults of the worker's control interface, for every caller.
    pub fn faults(&self) -> &fault::FaultPlan {
        &self.control_faults
    }

    /// Identity, place and capacity of the worker.
    pub fn shape(&self) -> worker::WorkerShape {
        state::lock(&self.state).shape().clone()
    }

    /// Sets whether the tasks that the worker starts fail.
    pub fn set_health(&self, health: worker::WorkerHealth) {
        state::lock(&self.state).set_health(health);
    }

    /// Stops the worker's clock and delays calls to the worker until [`WorkerFake::resume`].
    pub fn pause(&self) {
        self.control_faults.set(fault::Condition::Paused);
        state::lock(&self.state).set_paused(true, Instant::now());
    }

    /// Ends a pause. Events that became due during the pause happen first, then the delayed calls continue.
    pub fn resume(&self) {
        state::lock(&self.state).set_paused(false, Instant::now());
        self.control_faults.set(fault::Condition::Up);
    }

    /// Kills the worker: its tasks end, its leases are lost, and connections are refused.
    pub fn crash(&self) {
        self.control_faults.set(fault::Condition::Refusing);
        state::lock(&self.state).crash(Instant::now());
    }

    /// Starts a crashed worker again, without tasks or leases.
    pub fn restart(&self) {
        self.control_faults.set(fault::Condition::Up);
    }

    /// Current leases of the worker. Ignores injected faults; for the checks of oracles.
    pub fn peek(&self) -> Vec<model::LeaseStatus> {
        state::lock(&self.state).list(Instant::now()).leases
    }
}

impl control::WorkerControl for WorkerFleet {
    async fn reserve(
        &self,
        worker: &ids::PeerAddress,
        reserve: model::LeaseReserve,
    ) -> Result<model::LeaseReserved, error::CallError> {
        let step = model::LeaseReserve::PATH;
        self.call_with_faults(worker, step, move |state, now| state.reserve(reserve, now)).await
    }

    async fn start(
        &self,
        worker: &ids::PeerAddress,
        start: model::TaskStart,
    ) -> Result<model::TaskStarted, error::CallError> {
        let step = model::TaskStart::PATH;
        self.call_with_faults(worker, step, move |state, now| state.start(start, now)).await
    }

    async fn renew(
        &self,
        worker: &ids::PeerAddress,
        renew: model::LeaseRenew,
    ) -> Result<model::LeaseListing, error::CallError> {
        let step = model::LeaseRenew::PATH;
        self.call_with_faults(worker, step, move |state, now| state.renew(renew, now)).await
    }

    async fn signal(
        &self,
        worker: &ids::PeerAddress,
        signal: model::TaskSignal,
    ) -> Result<model::Ack, error::CallError> {
        let step = model::TaskSignal::PATH;
        self.call_with_faults(worker, step, move |state, now| state.signal(&signal, now)).await
    }

    async fn release(
        &self,
        worker: &ids::PeerAddress,
        release: model::LeaseRelease,
    ) -> Result<model::Ack, error::CallError> {
        let step = model::LeaseRelease::PATH;
        self.call_with_faults(worker, step, move |state, now| state.release(&release, now)).await
    }

    async fn leases(
        &self,
        worker: &ids::PeerAddress,
    ) -> Result<model::LeaseListing, error::CallError> {
        self.call_with_faults(worker, model::LeaseList::PATH, move |state, now| state.list(now))
            .await
    }
}
