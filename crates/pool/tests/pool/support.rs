//! A few instances, workers, a store and a network, all in one process.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_graph::{catalog, order, resources, task_key, worker};
use almondpass_pool::{
    cancel, control, document, instance, job_query, peer_handler, settings, state, submit,
    worker_entry,
};
use almondpass_ports::boot_clock;
use almondpass_ports::table::TableService;
use almondpass_schema::{blob, ids, model};
use almondpass_standin::{fault, net, pool_fleet, pool_worker, table};
use tokio::runtime;
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};

/// Whose workers they are.
const UPSTREAM: &str = "analysis";

/// What each worker offers.
const CAPACITY: resources::Resources =
    resources::Resources { cpu_milli: 32_000, memory_mb: 65_536, accelerators: 8 };

/// Classes of jobs, with their priorities.
pub(crate) const CLASSES: [(&str, u32); 3] = [("urgent", 0), ("trend", 1), ("bulk", 2)];

/// Thousandths of a core of an instance.
const STRENGTH_MILLI: u32 = 250;

/// A worker whose entry the store did not take writes it again after this.
const ENTRY_AGAIN: Duration = Duration::from_millis(200);

/// Workers write their entries this often.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// For a write of the operator.
const OPERATOR_DEADLINE: Duration = Duration::from_secs(1);

/// Whether a task has crashed its worker is looked at this often.
const CRASH_TICK: Duration = Duration::from_millis(20);

/// More than the workers of any test; a multiple of the workers of a rack.
const N_IDS: usize = 800;

/// What each task takes.
const TASK: resources::Resources =
    resources::Resources { cpu_milli: 4_000, memory_mb: 8_000, accelerators: 1 };

/// The pieces that an instance is given.
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

/// The workers, with calls at which the caller panics.
#[derive(Clone)]
pub(crate) struct BenchControl {
    fleet: pool_fleet::PoolFleet,
    panics: PanicPlan,
}

/// At which call to a worker an instance panics.
#[derive(Clone, Debug, Default)]
pub(crate) struct PanicPlan {
    step: Arc<Mutex<Option<&'static str>>>,
}

impl PanicPlan {
    /// At the next call of `step`.
    pub(crate) fn panic_at_next(&self, step: &'static str) {
        *self.step.lock().expect("a step") = Some(step);
    }

    /// Whether that call is still to come.
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
        ask: &order::PollRequest,
    ) -> Result<order::PollReply, control::ControlFault> {
        self.panics.panic_if_due(pool_fleet::POLL);
        self.fleet.poll(target, token, ask).await
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

/// A document at which its reader panics.
pub(crate) const PANICKING_DOCUMENT: &[u8] = b"panic";

/// A document is the number of its version, with a `!` behind it if workers refuse nothing. A worker's row
/// is its rack, its incarnation, its address, its accelerators and its number, with a `-` behind them once
/// it leaves.
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
        let staying = text.trim_end_matches('-');
        let (staying, sequence) = staying.split_once('+').unwrap_or((staying, ""));
        let (staying, accelerators) = staying.split_once('~').unwrap_or((staying, "8"));
        let (staying, address) = staying.split_once('#').unwrap_or((staying, "worker"));
        let (rack, incarnation) = staying.split_once('@').unwrap_or((staying, ""));
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

/// How a worker comes back that a task has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RestartMode {
    /// Under another id, at its address.
    SameAddress,
    /// Under another id, at another address.
    NewAddress,
    /// Under its id.
    SameId,
    /// Not at all.
    Never,
    /// In any of these ways, one after the other.
    Rotating,
}

impl RestartMode {
    fn of(self, n_crashes: usize) -> RestartMode {
        let ways = [RestartMode::SameAddress, RestartMode::NewAddress, RestartMode::SameId];
        if self == RestartMode::Rotating { ways[n_crashes % ways.len()] } else { self }
    }
}

/// Everything at once.
pub(crate) struct PoolBench {
    pub(crate) store: table::TableFake,
    pub(crate) fleet: pool_fleet::PoolFleet,
    pub(crate) net: net::FakeNet,
    pub(crate) instances: Vec<BenchInstance>,
    pub(crate) clock: boot_clock::RuntimeClock,
    pub(crate) started: Instant,
    n_started: usize,
}

/// One instance, with the faults on its own ways.
pub(crate) struct BenchInstance {
    pub(crate) state: Arc<state::PoolState<BenchAdapters>>,
    pub(crate) address: String,
    pub(crate) store_faults: fault::FaultPlan,
    pub(crate) worker_faults: fault::FaultPlan,
    pub(crate) panics: PanicPlan,
    running: JoinHandle<()>,
}

impl PoolBench {
    /// `n_instances` instances and `n_workers` workers, settled.
    pub(crate) async fn start(n_instances: usize, n_workers: usize) -> PoolBench {
        let mut bench = PoolBench {
            store: table::TableFake::shared_numbering(),
            fleet: pool_fleet::PoolFleet::new(TASK),
            net: net::FakeNet::new(),
            instances: Vec::new(),
            clock: boot_clock::RuntimeClock::new(),
            started: Instant::now(),
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

    /// Another process at `address`, in place of a former one there.
    pub(crate) fn start_instance(&mut self, address: &str) -> usize {
        self.start_instance_with_strength(address, STRENGTH_MILLI)
    }

    /// The same, on a machine of that strength.
    pub(crate) fn start_instance_with_strength(
        &mut self,
        address: &str,
        strength_milli: u32,
    ) -> usize {
        self.n_started += 1;
        let (store_faults, worker_faults) = (fault::FaultPlan::new(), fault::FaultPlan::new());
        let panics = PanicPlan::default();
        let site = BenchAdapters {
            store: self.store.with_path_faults(store_faults.clone()),
            control: BenchControl {
                fleet: self.fleet.with_path_faults(worker_faults.clone()),
                panics: panics.clone(),
            },
            peers: self.net.link(address),
            clock: self.clock,
        };
        let settings = settings::PoolSettings {
            instance: format!("{address}#{}", self.n_started),
            peer_address: address.to_owned(),
            seeds: Vec::new(),
            strength_milli,
            timing: almondpass_graph::timing::PoolTiming::default(),
            tenure: settings::TenureTiming::default(),
        };
        let state = Arc::new(state::PoolState::new(site, settings));
        self.net.register(address, peer_handler::PeerHandler::new(Arc::clone(&state)));
        let running = tokio::spawn(instance::run(Arc::clone(&state)));
        let address = address.to_owned();
        let fresh = BenchInstance { state, address, store_faults, worker_faults, panics, running };
        self.instances.push(fresh);
        self.instances.len() - 1
    }

    /// Kills the process of an instance; returns its address.
    pub(crate) async fn kill(&mut self, index: usize) -> String {
        let dead = self.instances.remove(index);
        tracing::info!(address = dead.address, "instance is killed");
        self.net.crash(&dead.address);
        // What the dead process had under way does not reach anybody any more.
        dead.store_faults.set(fault::Condition::Dropping);
        dead.worker_faults.set(fault::Condition::Dropping);
        dead.running.abort();
        let _ = dead.running.await;
        dead.address
    }

    /// Nothing passes between an instance and its peers at these addresses, where its own may be among them.
    pub(crate) fn cut_from_peers<'a>(
        &self,
        index: usize,
        addresses: impl Iterator<Item = &'a str>,
    ) {
        let here = self.instances[index].address.as_str();
        let others = addresses.filter(|it| *it != here).collect::<Vec<_>>();
        self.net.partition(&[here], &others, fault::Condition::Dropping);
    }

    /// Whoever holds the tenure, by the latest epoch.
    pub(crate) fn latest_holder(&self) -> Option<usize> {
        let leads = self.instances.iter().enumerate();
        let leads = leads.filter_map(|(index, it)| Some((it.state.leader()?.epoch, index)));
        leads.max().map(|(_, index)| index)
    }

    /// Index of the instance that holds the tenure.
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

    /// A document by which workers start whatever they are told to.
    pub(crate) async fn set_document_unguarded(&self, version: u64) {
        self.write("documents//newest", format!("{version}!").as_bytes()).await;
    }

    pub(crate) async fn add_worker(&self, index: usize) {
        let id = worker_id(index);
        self.fleet.add(&id, CAPACITY);
        self.write_entry(index).await;
    }

    /// The operator evacuates a data centre, as far as the store takes it.
    pub(crate) async fn evacuate(&self, data_center: &str) -> bool {
        self.try_put(&evacuation_key(data_center), Some(blob::Blob::from(b"{}".to_vec()))).await
    }

    /// The operator takes a data centre back, as far as the store takes it.
    pub(crate) async fn end_evacuation(&self, data_center: &str) -> bool {
        self.try_put(&evacuation_key(data_center), None).await
    }

    /// When the store ended an evacuation of a data centre, whoever had asked for it.
    pub(crate) fn evacuation_removals(&self, data_center: &str) -> Vec<Instant> {
        self.store.removal_times(&evacuation_key(data_center))
    }

    /// Somebody else writes over the entry of a worker.
    pub(crate) async fn corrupt_entry(&self, index: usize) {
        self.write(&entry_key(index), b"\xff\xfe").await;
    }

    /// A worker dies, and starts again under the id that it had. Its entry tells of it at its next
    /// heartbeat only, which the test plays by `write_entry`.
    pub(crate) async fn restart_worker(&self, index: usize, down: Duration) {
        let id = worker_id(index);
        let capacity = self.fleet.crash(&id).expect("a worker");
        tracing::info!(worker = id, ?down, "worker dies and starts again");
        time::sleep(down).await;
        self.fleet.add(&id, capacity);
    }

    /// A worker writes its entry anew.
    pub(crate) async fn write_entry(&self, index: usize) {
        self.write(&entry_key(index), entry_of(&self.fleet, index).as_bytes()).await;
    }

    /// The room of a worker changes; its entry tells at its next heartbeat.
    pub(crate) fn set_accelerators(&self, worker: &ids::WorkerId, accelerators: u32) {
        tracing::info!(worker, accelerators, "room changes");
        self.fleet.set_capacity(worker, capacity_for(accelerators));
    }

    /// Each worker that is up writes its entry at each heartbeat from now on, as far as the store takes it.
    pub(crate) fn start_heartbeats(&self) {
        let (store, fleet) = (self.store.clone(), self.fleet.clone());
        tokio::spawn(async move {
            loop {
                for worker in fleet.workers_up() {
                    // What the store does not take is told of by the next one.
                    tokio::spawn(try_write_entry(store.clone(), fleet.clone(), index_of(&worker)));
                }
                time::sleep(HEARTBEAT_INTERVAL).await;
            }
        });
    }

    /// The worker says that it leaves.
    pub(crate) async fn drain_worker(&self, index: usize) {
        let entry = format!("{}-", entry_of(&self.fleet, index));
        self.write(&entry_key(index), entry.as_bytes()).await;
    }

    /// A worker that is up writes its entry within a heartbeat, and again until the store takes it.
    pub(crate) fn write_entry_later(&self, index: usize, delay: Duration) {
        let (store, fleet) = (self.store.clone(), self.fleet.clone());
        tokio::spawn(async move {
            time::sleep(delay).await;
            while fleet.is_up(&worker_id(index)) {
                let value = blob::Blob::from(entry_of(&fleet, index).into_bytes());
                if store.transact(put_of(&entry_key(index), Some(value))).await.is_ok() {
                    return;
                }
                time::sleep(ENTRY_AGAIN).await;
            }
        });
    }

    /// A worker dies, and comes back `down` later that way, if at all.
    pub(crate) fn crash_worker(&self, index: usize, way: RestartMode, down: Duration) {
        let worker = worker_id(index);
        let address = self.fleet.address_of(&worker);
        let Some(capacity) = self.fleet.crash(&worker) else { return };
        tracing::info!(worker, ?way, ?down, "worker dies");
        let dead = pool_fleet::CrashedWorker { worker: worker.clone(), address, capacity };
        tokio::spawn(restart_crashed(self.fleet.clone(), self.store.clone(), dead, way, down));
        if way != RestartMode::SameId {
            tokio::spawn(expire_entry(self.store.clone(), worker));
        }
    }

    /// Workers that tasks crash come back from now on, `down` later, as the platform lets them.
    pub(crate) fn restart_crashed_workers(&self, comeback: RestartMode, down: Duration) {
        let (store, fleet) = (self.store.clone(), self.fleet.clone());
        tokio::spawn(async move {
            let mut n_crashes = 0;
            loop {
                for dead in fleet.take_crashed() {
                    let way = comeback.of(n_crashes);
                    n_crashes += 1;
                    let back =
                        restart_crashed(fleet.clone(), store.clone(), dead.clone(), way, down);
                    tokio::spawn(back);
                    if way != RestartMode::SameId {
                        tokio::spawn(expire_entry(store.clone(), dead.worker));
                    }
                }
                time::sleep(CRASH_TICK).await;
            }
        });
    }

    pub(crate) async fn remove(&self, key: &str) {
        self.put(key, None).await;
    }

    async fn write(&self, key: &str, value: &[u8]) {
        self.put(key, Some(blob::Blob::from(value.to_vec()))).await;
    }

    async fn try_put(&self, key: &str, value: Option<blob::Blob>) -> bool {
        let writing = time::timeout(OPERATOR_DEADLINE, self.store.transact(put_of(key, value)));
        matches!(writing.await, Ok(Ok(model::TableOutcome::Committed { .. })))
    }

    async fn put(&self, key: &str, value: Option<blob::Blob>) {
        self.store.transact(put_of(key, value)).await.expect("a write");
    }

    /// Hands a job in at an instance.
    pub(crate) async fn submit(
        &self,
        index: usize,
        graph: ids::GraphId,
        row: model::GraphRow,
    ) -> model::SubmitOutcome {
        let deadline = Instant::now() + Duration::from_secs(2);
        submit::submit(&self.instances[index].state, graph, row, deadline).await
    }

    pub(crate) async fn cancel(&self, index: usize, graph: ids::GraphId) -> model::CancelOutcome {
        let deadline = Instant::now() + Duration::from_secs(2);
        cancel::cancel(&self.instances[index].state, graph, Some("lab"), deadline).await
    }

    pub(crate) async fn lookup(&self, index: usize, graph: ids::GraphId) -> model::LookOutcome {
        let deadline = Instant::now() + Duration::from_secs(2);
        self.lookup_by(index, graph, deadline).await.outcome
    }

    /// Why a job has failed, as its caller is told.
    pub(crate) async fn failure(
        &self,
        index: usize,
        graph: ids::GraphId,
    ) -> Option<model::FailureCause> {
        let deadline = Instant::now() + Duration::from_secs(2);
        self.lookup_by(index, graph, deadline).await.failure
    }

    async fn lookup_by(
        &self,
        index: usize,
        graph: ids::GraphId,
        deadline: Instant,
    ) -> model::GraphLooked {
        job_query::job_state(&self.instances[index].state, graph, Some("lab"), deadline).await
    }

    /// Waits until a job is shown with `wanted`, for at most `limit`.
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

    /// No task ran twice at a time, and none began again after it had ended well. An end that was
    /// not acknowledged before its worker's lease lapsed does not stand.
    pub(crate) fn assert_nothing_ran_twice(&self) {
        let mut by_task = BTreeMap::<task_key::TaskKey, Vec<pool_worker::RunRecord>>::new();
        for record in self.fleet.records() {
            by_task.entry(record.task).or_default().push(record);
        }
        for (task, mut records) in by_task {
            records.sort_by_key(|it| it.started);
            for pair in records.windows(2) {
                assert!(pair[0].ended <= pair[1].started, "{task} ran twice: {pair:?}");
                let stands = pair[0].end_kind == order::EndKind::Done && pair[0].is_acknowledged;
                assert!(!stands, "{task} ran again: {pair:?}");
            }
        }
    }
}

fn evacuation_key(data_center: &str) -> String {
    format!("documents//evacuate-{data_center}")
}

/// Writes or removes one row, whatever it holds.
fn put_of(key: &str, value: Option<blob::Blob>) -> model::TableTransaction {
    let write = model::TableWrite { key: key.to_owned(), value };
    model::TableTransaction { conditions: Vec::new(), writes: vec![write] }
}

/// A worker writes its entry once. Whether the store has taken it.
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
        let mut put = put_of(&key, Some(value));
        // One that is carried out late must not overwrite what was told since.
        put.conditions.push(model::TableCondition { key, version });
        store.transact(put).await.ok()
    };
    let written = time::timeout(HEARTBEAT_INTERVAL, writing).await;
    matches!(written, Ok(Some(model::TableOutcome::Committed { .. })))
}

/// Lets a worker that was crashed start again, and write its entry once the store takes it.
async fn restart_crashed(
    fleet: pool_fleet::PoolFleet,
    store: table::TableFake,
    dead: pool_fleet::CrashedWorker,
    way: RestartMode,
    down: Duration,
) {
    time::sleep(down).await;
    let fresh = unused_id(&fleet, &dead.worker);
    let worker = match way {
        RestartMode::SameId => dead.worker,
        _ => fresh,
    };
    match way {
        RestartMode::SameAddress => fleet.add_at(&worker, &dead.address, dead.capacity),
        RestartMode::Never => return,
        _ => fleet.add(&worker, dead.capacity),
    }
    while !try_write_entry(store.clone(), fleet.clone(), index_of(&worker)).await {
        time::sleep(ENTRY_AGAIN).await;
    }
}

/// An id that no worker had, of the same rack.
fn unused_id(fleet: &pool_fleet::PoolFleet, worker: &str) -> ids::WorkerId {
    let mut index = index_of(worker) + N_IDS;
    while fleet.was_ever_up(&worker_id(index)) {
        index += N_IDS;
    }
    worker_id(index)
}

/// The entry of a worker that is silent for three heartbeats goes.
async fn expire_entry(store: table::TableFake, worker: ids::WorkerId) {
    time::sleep(3 * HEARTBEAT_INTERVAL).await;
    let key = entry_key(index_of(&worker));
    while store.transact(put_of(&key, None)).await.is_err() {
        time::sleep(ENTRY_AGAIN).await;
    }
}

/// Where the entry of a worker stands in the platform's list.
pub(crate) fn entry_key(index: usize) -> String {
    format!("workers//{}", worker_id(index))
}

/// The next entry of a worker: its rack, its incarnation where it tells it, its address and so on.
fn entry_of(fleet: &pool_fleet::PoolFleet, index: usize) -> String {
    let worker = worker_id(index);
    let incarnation = fleet.incarnation(&worker);
    let incarnation = incarnation.map(|it| it.to_string()).unwrap_or_default();
    let accelerators = fleet.capacity(&worker).map_or(0, |it| it.accelerators);
    let (address, sequence) = (fleet.address_of(&worker), fleet.next_entry_number());
    format!("r{}@{incarnation}#{address}~{accelerators}+{sequence}", index / 8)
}

/// What a worker offers of which that many accelerators are left; the rest shrinks alike.
pub(crate) fn capacity_for(accelerators: u32) -> resources::Resources {
    let share = |all: u32| all * accelerators / CAPACITY.accelerators;
    resources::Resources {
        cpu_milli: share(CAPACITY.cpu_milli),
        memory_mb: share(CAPACITY.memory_mb),
        accelerators,
    }
}

/// Index of a worker by its id.
pub(crate) fn index_of(worker: &str) -> usize {
    worker.trim_start_matches('w').parse().expect("the id of a worker")
}

pub(crate) fn worker_id(index: usize) -> ids::WorkerId {
    format!("w{index:02}")
}

/// A job of `n` tasks that work `millis` each.
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
struct PausedTime;

impl tracing_subscriber::fmt::time::FormatTime for PausedTime {
    fn format_time(&self, w: &mut tracing_subscriber::fmt::format::Writer<'_>) -> std::fmt::Result {
        static BEGAN: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
        write!(w, "{}", BEGAN.get_or_init(Instant::now).elapsed().as_millis())
    }
}

/// The seeds of storms that the environment names, or the first few.
pub(crate) fn storm_seeds() -> Range<u64> {
    let first = number("POOL_STORM_SEED", 0);
    first..first + number("POOL_STORM_CASES", 8)
}

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

/// Shows the logs of a test, if it is set.
const LOG_VARIABLE: &str = "POOL_LOG";

/// What is logged while a test runs, a line each.
#[derive(Clone, Default)]
pub(crate) struct LogLines {
    written: Arc<Mutex<Vec<u8>>>,
}

impl LogLines {
    /// Gathers what the thread logs from now on.
    pub(crate) fn capture() -> (LogLines, tracing::subscriber::DefaultGuard) {
        let lines = LogLines::default();
        let writer = lines.clone();
        let log = tracing_subscriber::fmt().with_ansi(false).with_timer(PausedTime);
        let log = log.with_writer(move || writer.clone()).finish();
        (lines, tracing::subscriber::set_default(log))
    }

    /// The lines with `wanted` in them.
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
        let log = tracing_subscriber::fmt().with_timer(PausedTime).with_ansi(false);
        let _ = log.with_writer(std::io::stderr).try_init();
    }
    // A line that is met first by a thread without a subscriber would be off for all threads.
    let _ = tracing::subscriber::set_global_default(DiscardingSubscriber);
    let runtime = runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(test)
}

/// Writes nothing, and is asked for each line, so that each thread may have lines of its own.
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
