//! Test bench: instances, workers, a store and a network in one process.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_graph::{catalog, order, resources, worker};
use almondpass_peer::codec;
use almondpass_pool::{
    call_times, cancel, control, document, instance, job_query, peer_handler, settings, state,
    submit, worker_entry,
};
use almondpass_ports::boot_clock;
use almondpass_ports::table::TableService;
use almondpass_schema::{blob, ids, model};
use almondpass_standin::{fault, net, pool_fleet, table};
use tokio::runtime;
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};

use crate::call_history;
use crate::storm_oracle;

/// Upstream of all workers.
const UPSTREAM: &str = "analysis";

/// Resources of each worker.
const CAPACITY: resources::Resources =
    resources::Resources { cpu_milli: 32_000, memory_mb: 65_536, accelerators: 8 };

/// Job classes with their priorities.
pub(crate) const CLASSES: [(&str, u32); 3] = [("urgent", 0), ("trend", 1), ("bulk", 2)];

/// Share of a core that an instance has by default, in thousandths.
const STRENGTH_MILLI: u32 = 250;

/// Time limit of a caller's submissions and cancellations.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait before a worker writes its entry again after the store rejected it.
const ENTRY_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Interval between two writes of a worker's entry.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Timeout of a write by the operator.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between two checks for workers that a task has crashed.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Distance between the ids of a worker's incarnations: more than the workers of any test, and a multiple of
/// the workers of a rack.
const ID_STRIDE: usize = 800;

/// Resources of each task.
const TASK: resources::Resources =
    resources::Resources { cpu_milli: 4_000, memory_mb: 8_000, accelerators: 1 };

/// The store, workers, reader, peers and clock of an instance.
#[derive(Clone)]
pub(crate) struct BenchAdapters {
    store: table::TableFake,
    control: BenchControl,
    peers: net::FakeLink,
    clock: boot_clock::RuntimeClock,
}

impl state::PoolAdapters for BenchAdapters {
    type Store = table::TableFake;
    type Control = BenchControl;
    type Reader = BenchReader;
    type Peers = net::FakeLink;
    type Clock = boot_clock::RuntimeClock;

    fn store(&self) -> &table::TableFake {
        &self.store
    }

    fn control(&self) -> &BenchControl {
        &self.control
    }

    fn reader(&self) -> &BenchReader {
        &BenchReader
    }

    fn peers(&self) -> &net::FakeLink {
        &self.peers
    }

    fn clock(&self) -> &boot_clock::RuntimeClock {
        &self.clock
    }
}

/// The workers' control interface, which panics when the test asks for it.
#[derive(Clone)]
pub(crate) struct BenchControl {
    fleet: pool_fleet::PoolFleet,
    panics: PanicPlan,
}

/// The call to a worker at which an instance panics.
#[derive(Clone, Debug, Default)]
pub(crate) struct PanicPlan {
    step: Arc<Mutex<Option<&'static str>>>,
}

impl PanicPlan {
    /// Panics at the next call of `step`.
    pub(crate) fn panic_at_next(&self, step: &'static str) {
        *self.step.lock().expect("a step") = Some(step);
    }

    /// Whether the panic is still to come.
    pub(crate) fn is_pending(&self) -> bool {
        self.step.lock().expect("a step").is_some()
    }

    fn panic_if_due(&self, step: &'static str) {
        let due = self.step.lock().expect("a step").take_if(|it| *it == step);
        assert_eq!(due, None, "a panic that the test asked for");
    }
}

impl control::TaskControl for BenchControl {
    async fn poll(
        &self,
        target: &control::WorkerTarget,
        token: ids::FencingToken,
        request: &order::PollRequest,
    ) -> Result<order::PollReply, control::ControlFault> {
        self.panics.panic_if_due(pool_fleet::POLL);
        self.fleet.poll(target, token, request).await
    }

    async fn start(
        &self,
        token: ids::FencingToken,
        start: &order::StartOrder,
    ) -> order::StartAnswer {
        self.panics.panic_if_due(pool_fleet::START);
        self.fleet.start(token, start).await
    }

    async fn stop(
        &self,
        token: ids::FencingToken,
        stop: &order::StopOrder,
    ) -> Result<(), control::ControlFault> {
        self.panics.panic_if_due(pool_fleet::STOP);
        self.fleet.stop(token, stop).await
    }
}

/// A document at which the reader panics.
pub(crate) const PANICKING_DOCUMENT: &[u8] = b"panic";

/// Reads the documents and worker rows of the bench. A document is the number of its version, followed by `!`
/// if workers refuse nothing. A worker's row is its rack, incarnation, address, accelerators and sequence
/// number, followed by `-` once the worker leaves.
#[derive(Clone, Debug)]
pub(crate) struct BenchReader;

impl document::PlatformReader for BenchReader {
    const DOCUMENT_TABLE: &'static str = "documents";
    const DOCUMENT_KEY: &'static str = "newest";
    const WORKER_TABLE: &'static str = "workers";

    fn evacuated_data_center(key: &str) -> Option<&str> {
        key.strip_prefix("evacuate-")
    }

    fn document(&self, source: &[u8]) -> anyhow::Result<document::PoolDocument> {
        assert_ne!(source, PANICKING_DOCUMENT, "a panic that the test asked for");
        let class = |priority| catalog::ClassSpec {
            upstream: UPSTREAM.to_owned(),
            priority,
            max_attempts: 2,
            stretch: 2.0,
            target_latency: Duration::from_secs(1),
        };
        let unguarded = source.ends_with(b"!").then(|| UPSTREAM.to_owned());
        Ok(document::PoolDocument {
            version: std::str::from_utf8(source)?.trim_end_matches('!').parse()?,
            catalog: Arc::new(catalog::PoolCatalog {
                classes: CLASSES.map(|(name, priority)| (name.to_owned(), class(priority))).into(),
                guaranteed: BTreeMap::new(),
                without_admission_check: unguarded.into_iter().collect(),
            }),
            upstreams: [UPSTREAM.to_owned()].into(),
            source: blob::Blob::from(source.to_vec()),
            ..document::PoolDocument::default()
        })
    }

    fn worker(&self, value: &[u8]) -> Result<worker::WorkerEntry, worker_entry::EntryFault> {
        let form = |fault: std::str::Utf8Error| worker_entry::EntryFault::Form(fault.to_string());
        let text = std::str::from_utf8(value).map_err(form)?;
        let rest = text.trim_end_matches('-');
        let (rest, sequence) = rest.split_once('+').unwrap_or((rest, ""));
        let (rest, accelerators) = rest.split_once('~').unwrap_or((rest, "8"));
        let (rest, address) = rest.split_once('#').unwrap_or((rest, "worker"));
        let (rack, incarnation) = rest.split_once('@').unwrap_or((rest, ""));
        let rack = rack.to_owned();
        Ok(worker::WorkerEntry {
            address: address.to_owned(),
            upstream: UPSTREAM.to_owned(),
            capacity: capacity_for(accelerators.parse().unwrap_or_default()),
            labels: vec!["a".to_owned(), rack.clone()],
            data_center: rack.replacen('r', "dc", 1),
            rack,
            leaves_in: text.ends_with('-').then_some(Duration::from_secs(2)),
            incarnation: incarnation.parse().ok(),
            sequence: sequence.parse().ok(),
        })
    }
}

/// How a worker restarts after a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RestartMode {
    /// Under another id, at the same address.
    SameAddress,
    /// Under another id, at another address.
    NewAddress,
    /// Under the same id.
    SameId,
    /// Not at all.
    Never,
    /// In each of the first three ways in turn.
    Rotating,
}

impl RestartMode {
    fn for_crash(self, n_crashes: usize) -> RestartMode {
        let modes = [RestartMode::SameAddress, RestartMode::NewAddress, RestartMode::SameId];
        if self == RestartMode::Rotating { modes[n_crashes % modes.len()] } else { self }
    }
}

/// A whole deployment: store, workers, network and instances.
pub(crate) struct PoolBench {
    pub(crate) store: table::TableFake,
    pub(crate) fleet: pool_fleet::PoolFleet,
    pub(crate) net: net::FakeNet,
    pub(crate) instances: Vec<BenchInstance>,
    pub(crate) clock: boot_clock::RuntimeClock,
    pub(crate) started: Instant,
    pub(crate) history: call_history::CallHistory,
    scheduling: model::SchedulingSettings,
    n_started: usize,
}

/// An instance, with the faults that are injected into its calls.
pub(crate) struct BenchInstance {
    pub(crate) state: Arc<state::PoolState<BenchAdapters>>,
    pub(crate) address: String,
    pub(crate) store_faults: fault::FaultPlan,
    pub(crate) worker_faults: fault::FaultPlan,
    /// The workers as this instance reaches them.
    fleet: pool_fleet::PoolFleet,
    pub(crate) panics: PanicPlan,
    running: JoinHandle<()>,
}

impl BenchInstance {
    /// Fault plan of the calls from this instance to one worker.
    pub(crate) fn path_faults(&self, worker: &str) -> fault::FaultPlan {
        self.fleet.path_faults(worker)
    }
}

impl PoolBench {
    /// Starts `n_instances` instances and `n_workers` workers, and waits until the tenure has settled.
    pub(crate) async fn start(n_instances: usize, n_workers: usize) -> PoolBench {
        let scheduling = model::SchedulingSettings::default();
        PoolBench::start_with_scheduling(n_instances, n_workers, scheduling).await
    }

    /// The same with optional decisions.
    pub(crate) async fn start_with_scheduling(
        n_instances: usize,
        n_workers: usize,
        scheduling: model::SchedulingSettings,
    ) -> PoolBench {
        let mut bench = PoolBench {
            store: table::TableFake::shared_numbering(),
            fleet: pool_fleet::PoolFleet::new(TASK),
            net: net::FakeNet::new(),
            instances: Vec::new(),
            clock: boot_clock::RuntimeClock::new(),
            started: Instant::now(),
            history: call_history::CallHistory::default(),
            scheduling,
            n_started: 0,
        };
        bench.net.set_latency(Duration::from_millis(1));
        bench.set_document(1).await;
        for index in 0..n_workers {
            bench.add_worker(index).await;
        }
        for index in 0..n_instances {
            bench.start_instance(&format!("10.0.0.{}:7000", index + 1));
        }
        time::sleep(Duration::from_secs(8)).await;
        bench
    }

    /// Starts a process at `address`, in place of an earlier one there. Returns the index of the instance.
    pub(crate) fn start_instance(&mut self, address: &str) -> usize {
        self.start_instance_with_strength(address, STRENGTH_MILLI)
    }

    /// Starts a process at `address` on a machine with that share of a core, in thousandths. Returns the
    /// index of the instance.
    pub(crate) fn start_instance_with_strength(
        &mut self,
        address: &str,
        strength_milli: u32,
    ) -> usize {
        self.n_started += 1;
        let (store_faults, worker_faults) = (fault::FaultPlan::new(), fault::FaultPlan::new());
        let fleet = self.fleet.with_path_faults(worker_faults.clone());
        let panics = PanicPlan::default();
        let site = BenchAdapters {
            store: self.store.with_path_faults(store_faults.clone()),
            control: BenchControl { fleet: fleet.clone(), panics: panics.clone() },
            peers: self.net.link(address),
            clock: self.clock,
        };
        let settings = settings::PoolSettings {
            instance: format!("{address}#{}", self.n_started),
            peer_address: address.to_owned(),
            seeds: Vec::new(),
            strength_milli,
            timing: almondpass_graph::timing::PoolTiming::default(),
            scheduling: self.scheduling.clone(),
            tenure: settings::TenureTiming::default(),
        };
        let state = Arc::new(state::PoolState::new(site, settings));
        self.net.register(address, peer_handler::PeerHandler::new(Arc::clone(&state)));
        let running = tokio::spawn(instance::run(Arc::clone(&state)));
        let address = address.to_owned();
        let instance =
            BenchInstance { state, address, store_faults, worker_faults, fleet, panics, running };
        self.instances.push(instance);
        self.instances.len() - 1
    }

    /// Kills the process of an instance; returns its address.
    pub(crate) async fn kill(&mut self, index: usize) -> String {
        let crashed = self.instances.remove(index);
        tracing::info!(address = crashed.address, "instance is killed");
        self.net.crash(&crashed.address);
        // Calls that the dead process had in progress reach nobody any more.
        crashed.store_faults.set(fault::Condition::Dropping);
        crashed.worker_faults.set(fault::Condition::Dropping);
        crashed.running.abort();
        let _ = crashed.running.await;
        crashed.address
    }

    /// Cuts an instance off from the peers at `addresses`; its own address among them is ignored.
    pub(crate) fn cut_from_peers<'a>(
        &self,
        index: usize,
        addresses: impl Iterator<Item = &'a str>,
    ) {
        let own_address = self.instances[index].address.as_str();
        let others = addresses.filter(|it| *it != own_address).collect::<Vec<_>>();
        self.net.partition(&[own_address], &others, fault::Condition::Dropping);
    }

    /// Index of the instance that holds the tenure with the highest epoch.
    pub(crate) fn latest_holder(&self) -> Option<usize> {
        let leaders = self.instances.iter().enumerate();
        let leaders = leaders.filter_map(|(index, it)| Some((it.state.leader()?.epoch, index)));
        leaders.max().map(|(_, index)| index)
    }

    /// Index of the first instance that holds the tenure.
    pub(crate) fn holder(&self) -> usize {
        self.instances.iter().position(|it| it.state.leader().is_some()).expect("a holder")
    }

    pub(crate) fn non_holder(&self) -> usize {
        self.instances.iter().position(|it| it.state.leader().is_none()).expect("another instance")
    }

    pub(crate) async fn set_document(&self, version: u64) {
        self.write("documents//newest", version.to_string().as_bytes()).await;
    }

    pub(crate) async fn write_document(&self, source: &[u8]) {
        self.write("documents//newest", source).await;
    }

    /// Writes a document by which workers start whatever is ordered.
    pub(crate) async fn set_document_unguarded(&self, version: u64) {
        self.write("documents//newest", format!("{version}!").as_bytes()).await;
    }

    pub(crate) async fn add_worker(&self, index: usize) {
        let id = worker_id(index);
        self.fleet.add(&id, CAPACITY);
        self.write_entry(index).await;
    }

    /// The operator evacuates a data centre. Returns whether the store committed the write in time.
    pub(crate) async fn evacuate(&self, data_center: &str) -> bool {
        self.try_put(&evacuation_key(data_center), Some(blob::Blob::from(b"{}".to_vec()))).await
    }

    /// The operator ends the evacuation of a data centre. Returns whether the store committed the write in
    /// time.
    pub(crate) async fn end_evacuation(&self, data_center: &str) -> bool {
        self.try_put(&evacuation_key(data_center), None).await
    }

    /// Times at which the store removed the row of a data centre's evacuation, whichever call asked for it.
    pub(crate) fn evacuation_removals(&self, data_center: &str) -> Vec<Instant> {
        self.store.removal_times(&evacuation_key(data_center))
    }

    /// Overwrites the entry of a worker with one that can't be read.
    pub(crate) async fn corrupt_entry(&self, index: usize) {
        self.write(&entry_key(index), b"\xff\xfe").await;
    }

    /// Crashes a worker and restarts it under the same id. Its entry shows this only at its next heartbeat,
    /// which the test sends by `write_entry`.
    pub(crate) async fn restart_worker(&self, index: usize, down: Duration) {
        let id = worker_id(index);
        let capacity = self.fleet.crash(&id).expect("a worker");
        tracing::info!(worker = id, ?down, "worker crashes and restarts");
        time::sleep(down).await;
        self.fleet.add(&id, capacity);
    }

    /// A worker rewrites its entry.
    pub(crate) async fn write_entry(&self, index: usize) {
        self.write(&entry_key(index), entry_of(&self.fleet, index).as_bytes()).await;
    }

    /// Changes the resources of a worker; its entry shows this at its next heartbeat.
    pub(crate) fn set_accelerators(&self, worker: &ids::WorkerId, accelerators: u32) {
        tracing::info!(worker, accelerators, "resources change");
        self.fleet.set_capacity(worker, capacity_for(accelerators));
    }

    /// From now on each worker that is up writes its entry at each heartbeat if the store accepts it.
    pub(crate) fn start_heartbeats(&self) {
        let (store, fleet) = (self.store.clone(), self.fleet.clone());
        tokio::spawn(async move {
            loop {
                for worker in fleet.workers_up() {
                    // An entry that the store rejects is replaced by the next one.
                    tokio::spawn(try_write_entry(store.clone(), fleet.clone(), index_of(&worker)));
                }
                time::sleep(HEARTBEAT_INTERVAL).await;
            }
        });
    }

    /// The worker announces that it leaves.
    pub(crate) async fn drain_worker(&self, index: usize) {
        let entry = format!("{}-", entry_of(&self.fleet, index));
        self.write(&entry_key(index), entry.as_bytes()).await;
    }

    /// A worker that is up writes its entry after `delay`, and again until the store accepts it.
    pub(crate) fn write_entry_later(&self, index: usize, delay: Duration) {
        let (store, fleet) = (self.store.clone(), self.fleet.clone());
        tokio::spawn(async move {
            time::sleep(delay).await;
            while fleet.is_up(&worker_id(index)) {
                let value = blob::Blob::from(entry_of(&fleet, index).into_bytes());
                if store.transact(put_transaction(&entry_key(index), Some(value))).await.is_ok() {
                    return;
                }
                time::sleep(ENTRY_RETRY_DELAY).await;
            }
        });
    }

    /// Crashes a worker, which restarts after `down` in the given way, if at all.
    pub(crate) fn crash_worker(&self, index: usize, mode: RestartMode, down: Duration) {
        let worker = worker_id(index);
        let address = self.fleet.address_of(&worker);
        let Some(capacity) = self.fleet.crash(&worker) else { return };
        tracing::info!(worker, way = ?mode, ?down, "worker dies");
        let crashed = pool_fleet::CrashedWorker { worker: worker.clone(), address, capacity };
        tokio::spawn(restart_crashed(self.fleet.clone(), self.store.clone(), crashed, mode, down));
        if mode != RestartMode::SameId {
            tokio::spawn(expire_entry(self.store.clone(), worker));
        }
    }

    /// From now on workers that tasks crash restart after `down` in the given way.
    pub(crate) fn restart_crashed_workers(&self, restart_mode: RestartMode, down: Duration) {
        let (store, fleet) = (self.store.clone(), self.fleet.clone());
        tokio::spawn(async move {
            let mut n_crashes = 0;
            loop {
                for crashed in fleet.take_crashed() {
                    let mode = restart_mode.for_crash(n_crashes);
                    n_crashes += 1;
                    let back =
                        restart_crashed(fleet.clone(), store.clone(), crashed.clone(), mode, down);
                    tokio::spawn(back);
                    if mode != RestartMode::SameId {
                        tokio::spawn(expire_entry(store.clone(), crashed.worker));
                    }
                }
                time::sleep(CRASH_CHECK_INTERVAL).await;
            }
        });
    }

    pub(crate) async fn remove(&self, key: &str) {
        self.put(key, None).await;
    }

    pub(crate) async fn write(&self, key: &str, value: &[u8]) {
        self.put(key, Some(blob::Blob::from(value.to_vec()))).await;
    }

    async fn try_put(&self, key: &str, value: Option<blob::Blob>) -> bool {
        let writing =
            time::timeout(OPERATOR_TIMEOUT, self.store.transact(put_transaction(key, value)));
        matches!(writing.await, Ok(Ok(model::TableOutcome::Committed { .. })))
    }

    /// Writes a row unconditionally, or removes it.
    pub(crate) async fn put(&self, key: &str, value: Option<blob::Blob>) {
        self.store.transact(put_transaction(key, value)).await.expect("a write");
    }

    /// Submits a job at an instance.
    pub(crate) async fn submit(
        &self,
        index: usize,
        graph: ids::GraphId,
        row: model::GraphRow,
    ) -> model::SubmitOutcome {
        match self.submit_under_load(index, graph, row).await {
            submit::SubmitAnswer::Outcome(outcome) => outcome,
            overloaded => panic!("job {graph} is refused for load: {overloaded:?}"),
        }
    }

    /// Submits a job at an instance that may refuse it for load.
    pub(crate) async fn submit_under_load(
        &self,
        index: usize,
        graph: ids::GraphId,
        row: model::GraphRow,
    ) -> submit::SubmitAnswer {
        self.caller(index).submit(graph, row).await
    }

    pub(crate) async fn cancel(&self, index: usize, graph: ids::GraphId) -> model::CancelOutcome {
        self.caller(index).cancel(graph).await
    }

    /// A caller of an instance, for calls that go on beside the test.
    pub(crate) fn caller(&self, index: usize) -> BenchCaller {
        let state = Arc::clone(&self.instances[index].state);
        BenchCaller { state, history: self.history.clone() }
    }

    pub(crate) async fn lookup(&self, index: usize, graph: ids::GraphId) -> model::LookOutcome {
        let deadline = Instant::now() + Duration::from_secs(2);
        self.lookup_before(index, graph, deadline).await.outcome
    }

    /// Why a job has failed, as reported to its caller.
    pub(crate) async fn failure(
        &self,
        index: usize,
        graph: ids::GraphId,
    ) -> Option<model::FailureCause> {
        let deadline = Instant::now() + Duration::from_secs(2);
        self.lookup_before(index, graph, deadline).await.failure
    }

    async fn lookup_before(
        &self,
        index: usize,
        graph: ids::GraphId,
        deadline: Instant,
    ) -> model::GraphLooked {
        self.caller(index).lookup(graph, deadline).await
    }

    /// Waits until a job is shown in state `wanted`, for at most `limit`.
    pub(crate) async fn await_state(
        &self,
        index: usize,
        graph: ids::GraphId,
        wanted: model::GraphState,
        limit: Duration,
    ) {
        let expires = Instant::now() + limit;
        loop {
            let shown = self.lookup(index, graph).await;
            if shown == model::LookOutcome::Known(wanted) {
                return;
            }
            assert!(Instant::now() < expires, "expected {wanted}, found {shown:?}");
            time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Checks that no task ran twice at a time, and that none was started again after it had succeeded. A
    /// success that was not acknowledged before the worker's lease lapsed does not count.
    pub(crate) fn assert_nothing_ran_twice(&self) {
        storm_oracle::check_single_runs(self);
    }
}

/// A caller of one instance, whose calls are recorded.
#[derive(Clone)]
pub(crate) struct BenchCaller {
    state: Arc<state::PoolState<BenchAdapters>>,
    history: call_history::CallHistory,
}

impl BenchCaller {
    pub(crate) async fn submit(
        &self,
        graph: ids::GraphId,
        row: model::GraphRow,
    ) -> submit::SubmitAnswer {
        let times = call_times::CallTimes::until(Instant::now() + CALL_TIMEOUT);
        let call = submit::submit(&self.state, graph, row.clone(), times);
        self.history.record_submission(graph, &row, call).await
    }

    pub(crate) async fn cancel(&self, graph: ids::GraphId) -> model::CancelOutcome {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let call = cancel::cancel(&self.state, graph, Some("lab"), deadline);
        self.history.record_cancel(graph, call).await
    }

    pub(crate) async fn lookup(
        &self,
        graph: ids::GraphId,
        deadline: Instant,
    ) -> model::GraphLooked {
        let times = call_times::CallTimes::until(deadline);
        let call = job_query::job_state(&self.state, graph, Some("lab"), times);
        self.history.record_lookup(graph, call).await
    }
}

fn evacuation_key(data_center: &str) -> String {
    format!("documents//evacuate-{data_center}")
}

/// A transaction that writes one row unconditionally, or removes it.
fn put_transaction(key: &str, value: Option<blob::Blob>) -> model::TableTransaction {
    let write = model::TableWrite { key: key.to_owned(), value };
    model::TableTransaction { conditions: Vec::new(), writes: vec![write] }
}

/// A worker writes its entry once. Returns whether the store committed the write within a heartbeat.
async fn try_write_entry(
    store: table::TableFake,
    fleet: pool_fleet::PoolFleet,
    index: usize,
) -> bool {
    let key = entry_key(index);
    let writing = async {
        let read = store.get(model::TableGet { keys: vec![key.clone()] }).await.ok()?;
        let version = read.rows.first().map_or(0, |it| it.version);
        let entry = entry_of(&fleet, index);
        tracing::info!(entry, version, "entry is written");
        let value = blob::Blob::from(entry.into_bytes());
        let mut put = put_transaction(&key, Some(value));
        // A write that is executed late must not overwrite a newer entry.
        put.conditions.push(model::TableCondition { key, version });
        store.transact(put).await.ok()
    };
    let written = time::timeout(HEARTBEAT_INTERVAL, writing).await;
    matches!(written, Ok(Some(model::TableOutcome::Committed { .. })))
}

/// Restarts a crashed worker, and lets it write its entry until the store accepts it.
async fn restart_crashed(
    fleet: pool_fleet::PoolFleet,
    store: table::TableFake,
    crashed: pool_fleet::CrashedWorker,
    mode: RestartMode,
    down: Duration,
) {
    time::sleep(down).await;
    let replacement = unused_id(&fleet, &crashed.worker);
    let worker = match mode {
        RestartMode::SameId => crashed.worker,
        _ => replacement,
    };
    match mode {
        RestartMode::SameAddress => fleet.add_at(&worker, &crashed.address, crashed.capacity),
        RestartMode::Never => return,
        _ => fleet.add(&worker, crashed.capacity),
    }
    while !try_write_entry(store.clone(), fleet.clone(), index_of(&worker)).await {
        time::sleep(ENTRY_RETRY_DELAY).await;
    }
}

/// An id of the same rack that no worker has had.
fn unused_id(fleet: &pool_fleet::PoolFleet, worker: &str) -> ids::WorkerId {
    let mut index = index_of(worker) + ID_STRIDE;
    while fleet.was_ever_up(&worker_id(index)) {
        index += ID_STRIDE;
    }
    worker_id(index)
}

/// Removes the entry of a worker that has been silent for three heartbeats.
async fn expire_entry(store: table::TableFake, worker: ids::WorkerId) {
    time::sleep(3 * HEARTBEAT_INTERVAL).await;
    let key = entry_key(index_of(&worker));
    while store.transact(put_transaction(&key, None)).await.is_err() {
        time::sleep(ENTRY_RETRY_DELAY).await;
    }
}

/// Key of a worker's entry in the platform's list.
pub(crate) fn entry_key(index: usize) -> String {
    format!("workers//{}", worker_id(index))
}

/// The next entry of a worker: its rack, its incarnation if the worker reports it, its address, accelerators
/// and sequence number.
fn entry_of(fleet: &pool_fleet::PoolFleet, index: usize) -> String {
    let worker = worker_id(index);
    let incarnation = fleet.incarnation(&worker);
    let incarnation = incarnation.map(|it| it.to_string()).unwrap_or_default();
    let accelerators = fleet.capacity(&worker).map_or(0, |it| it.accelerators);
    let (address, sequence) = (fleet.address_of(&worker), fleet.next_entry_number());
    format!("r{}@{incarnation}#{address}~{accelerators}+{sequence}", index / 8)
}

/// Resources of a worker with that many accelerators left; the other resources shrink in proportion.
pub(crate) fn capacity_for(accelerators: u32) -> resources::Resources {
    let share = |all: u32| all * accelerators / CAPACITY.accelerators;
    resources::Resources {
        cpu_milli: share(CAPACITY.cpu_milli),
        memory_mb: share(CAPACITY.memory_mb),
        accelerators,
    }
}

/// Index of the worker with this id.
pub(crate) fn index_of(worker: &str) -> usize {
    worker.trim_start_matches('w').parse().expect("the id of a worker")
}

pub(crate) fn worker_id(index: usize) -> ids::WorkerId {
    format!("w{index:02}")
}

/// Limits of the platform's store.
pub(crate) fn platform_limits() -> table::TableLimits {
    table::TableLimits {
        row_bytes: 65_536,
        transaction_bytes: 700_000,
        entries: 100,
        page_rows: 500,
        transactions_per_second: usize::MAX,
        feed_rows: 500,
        read_only_rows: BTreeSet::new(),
    }
}

/// A job of one step with `n` tasks that each run for `millis` ms.
pub(crate) fn job(n: u32, millis: u64) -> model::GraphRow {
    model::GraphRow {
        account: Some("lab".to_owned()),
        cancelled: false,
        class: "trend".to_owned(),
        graph: model::JobGraph {
            body: format!("ms={millis}"),
            schedule: None,
            steps: vec![step(n, &[])],
        },
        max_attempts: 2,
        priority: 1,
        upstream: UPSTREAM.to_owned(),
    }
}

pub(crate) fn step(n: u32, after: &[u32]) -> model::GraphStep {
    model::GraphStep {
        accelerators: TASK.accelerators,
        after: after.to_vec(),
        cpu_milli: TASK.cpu_milli,
        estimate_ms: 1_000,
        gang: false,
        label: None,
        memory_mb: TASK.memory_mb,
        per_worker: 0,
        rack: None,
        same_rack: false,
        saves: false,
        tasks: n,
    }
}

/// Log lines carry the time by the test's clock, in milliseconds.
struct TestClockTime;

impl tracing_subscriber::fmt::time::FormatTime for TestClockTime {
    fn format_time(&self, w: &mut tracing_subscriber::fmt::format::Writer<'_>) -> std::fmt::Result {
        static BEGAN: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
        write!(w, "{}", BEGAN.get_or_init(Instant::now).elapsed().as_millis())
    }
}

/// Environment variable that selects the first seed of the storms.
pub(crate) const STORM_SEED_VARIABLE: &str = "POOL_STORM_SEED";

/// Seeds of the storms: those that the environment selects, or the first few.
pub(crate) fn storm_seeds() -> Range<u64> {
    let first = env_number(STORM_SEED_VARIABLE, 0);
    first..first + env_number("POOL_STORM_CASES", 8)
}

fn env_number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

/// Environment variable that shows the logs of a test if it is set.
const LOG_VARIABLE: &str = "POOL_LOG";

/// The log lines of a test.
#[derive(Clone, Default)]
pub(crate) struct LogLines {
    written: Arc<Mutex<Vec<u8>>>,
}

impl LogLines {
    /// Captures what the thread logs from now on, until the guard is dropped.
    pub(crate) fn capture() -> (LogLines, tracing::subscriber::DefaultGuard) {
        let lines = LogLines::default();
        let writer = lines.clone();
        let log = tracing_subscriber::fmt().with_ansi(false).with_timer(TestClockTime);
        let log = log.with_writer(move || writer.clone()).finish();
        (lines, tracing::subscriber::set_default(log))
    }

    /// The lines that contain `wanted`.
    pub(crate) fn containing(&self, wanted: &str) -> Vec<String> {
        let written = self.written.lock().expect("lines");
        let text = String::from_utf8_lossy(&written);
        text.lines().filter(|it| it.contains(wanted)).map(str::to_owned).collect()
    }
}

impl std::io::Write for LogLines {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        self.written.lock().expect("lines").extend_from_slice(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Runs a test on the paused clock, on one thread like the deployed program.
pub(crate) fn run<F: Future>(test: F) -> F::Output {
    if std::env::var_os(LOG_VARIABLE).is_some() {
        let log = tracing_subscriber::fmt().with_timer(TestClockTime).with_ansi(false);
        let _ = log.with_writer(std::io::stderr).try_init();
    }
    // A log call site that is first reached by a thread without a subscriber would be disabled for all
    // threads.
    let _ = tracing::subscriber::set_global_default(DiscardingSubscriber);
    let runtime = runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(test)
}

/// Writes nothing, but keeps each log call site enabled, so that each thread may have a subscriber of its
/// own.
struct DiscardingSubscriber;

impl tracing::Subscriber for DiscardingSubscriber {
    fn register_callsite(
        &self,
        _: &'static tracing::Metadata<'static>,
    ) -> tracing::subscriber::Interest {
        tracing::subscriber::Interest::sometimes()
    }

    fn enabled(&self, _: &tracing::Metadata<'_>) -> bool {
        false
    }

    fn max_level_hint(&self) -> Option<tracing_subscriber::filter::LevelFilter> {
        Some(tracing_subscriber::filter::LevelFilter::INFO)
    }

    fn new_span(&self, _: &tracing::span::Attributes<'_>) -> tracing::span::Id {
        tracing::span::Id::from_u64(1)
    }

    fn record(&self, _: &tracing::span::Id, _: &tracing::span::Record<'_>) {}

    fn record_follows_from(&self, _: &tracing::span::Id, _: &tracing::span::Id) {}

    fn event(&self, _: &tracing::Event<'_>) {}

    fn enter(&self, _: &tracing::span::Id) {}

    fn exit(&self, _: &tracing::span::Id) {}
}

/// Address in the row of an instance.
pub(crate) fn address_of_member(row: &model::TableRow) -> ids::PeerAddress {
    let value = row.value.as_ref().expect("a row of an instance");
    let member: model::InstanceRow = codec::decode(value).expect("a readable row");
    member.address
}
