//! Fake workers for job graphs that implement the control port, with injected faults between caller and
//! worker.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_graph::{order, resources, task_key};
use almondpass_pool::control;
use almondpass_schema::ids;
use tokio::time::{self, Instant};

use crate::fault;
use crate::pool_worker;
use crate::state;

/// Step name of a poll in fault plans.
pub const POLL: &str = "hold";

/// Step name of a start order in fault plans.
pub const START: &str = "start";

/// Step name of a stop order in fault plans.
pub const STOP: &str = "stop";

/// Time limit of a call to a worker; a call without an answer fails after it.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Incarnation of the first worker, in Unix milliseconds; the date is arbitrary. Each further incarnation of
/// any worker is a millisecond later, so that no two are equal.
const FIRST_INCARNATION_MS: u64 = 1_800_000_000_000;

/// Interval at which a poll that waits for a task's end checks for one.
const POLL_TICK: Duration = Duration::from_millis(20);

/// The fake workers of a test. Clones share the workers.
#[derive(Clone, Debug, Default)]
pub struct PoolFleet {
    state: Arc<Mutex<FleetState>>,
    /// Faults of the calls of one instance, to whichever worker.
    caller_faults: fault::FaultPlan,
    /// Faults of the calls of one instance, by worker.
    path_faults: Arc<Mutex<BTreeMap<ids::WorkerId, fault::FaultPlan>>>,
}

#[derive(Debug, Default)]
struct FleetState {
    n_incarnations: u64,
    n_entries: u64,
    /// Ids of all workers that are or were up.
    known_ids: BTreeSet<ids::WorkerId>,
    workers: BTreeMap<ids::WorkerId, pool_worker::PoolWorker>,
    fault_plans: BTreeMap<ids::WorkerId, fault::FaultPlan>,
    task_resources: resources::Resources,
    records_of_crashed: Vec<pool_worker::RunRecord>,
    /// Workers whose address differs from their id, by address.
    addresses: BTreeMap<ids::PeerAddress, ids::WorkerId>,
    /// Workers that a task has crashed and that `take_crashed` has not returned yet.
    crashed: Vec<CrashedWorker>,
    hides_incarnations: bool,
    starts_reach_later_incarnations: bool,
    capacity_check_disabled: bool,
    /// Oversubscribed starts on workers that have crashed since.
    oversubscribed_starts: Vec<task_key::TaskKey>,
    sent_starts: Vec<SentStart>,
    acknowledgements_at_crashed: Vec<pool_worker::EndAcknowledgement>,
}

/// Which worker a call has reached, with the answer of the intended one.
enum ReachedWorker<T> {
    /// The intended worker, with its answer.
    Intended(T),
    /// Another worker that is up at the address of the intended one.
    Other,
    /// No worker: the intended one is down, or has restarted since the call was sent.
    None,
}

/// A start order that an instance has sent, whether or not it reached its worker.
#[derive(Clone, Debug, PartialEq)]
pub struct SentStart {
    /// The task to start.
    pub task: task_key::TaskKey,
    /// Attempt number of the task.
    pub attempt: u32,
    /// The worker that was to run the task.
    pub worker: ids::WorkerId,
    /// When the order was sent; its effect may come later.
    pub sent_at: Instant,
}

/// A worker that was crashed by one of its tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashedWorker {
    /// Id of the worker; a later incarnation may reuse it.
    pub worker: ids::WorkerId,
    /// Address at which the worker was.
    pub address: ids::PeerAddress,
    /// Resources that the worker offered at the crash.
    pub capacity: resources::Resources,
}

impl PoolFleet {
    /// Creates a fleet without workers, in which each task uses `task_resources`.
    pub fn new(task_resources: resources::Resources) -> PoolFleet {
        let fleet = PoolFleet::default();
        state::lock(&fleet.state).task_resources = task_resources;
        fleet
    }

    /// A handle to the same workers whose calls are also subject to `caller_faults`.
    pub fn with_path_faults(&self, caller_faults: fault::FaultPlan) -> PoolFleet {
        PoolFleet { state: Arc::clone(&self.state), caller_faults, path_faults: Arc::default() }
    }

    /// Fault plan of the calls that this handle makes to one worker. Changes to the returned plan apply to later
    /// calls.
    pub fn path_faults(&self, worker: &str) -> fault::FaultPlan {
        state::lock(&self.path_faults).entry(worker.to_owned()).or_default().clone()
    }

    /// Adds a worker, or a new incarnation of a worker that has crashed.
    pub fn add(&self, worker: &str, capacity: resources::Resources) {
        let mut state = state::lock(&self.state);
        let incarnation = FIRST_INCARNATION_MS + state.n_incarnations;
        state.n_incarnations += 1;
        state.known_ids.insert(worker.to_owned());
        let mut new_worker = pool_worker::PoolWorker::new(worker, incarnation, capacity);
        if state.capacity_check_disabled {
            new_worker.disable_capacity_check();
        }
        state.workers.insert(worker.to_owned(), new_worker);
    }

    /// Adds a worker at an address at which another worker may have been before.
    pub fn add_at(&self, worker: &str, address: &str, capacity: resources::Resources) {
        self.add(worker, capacity);
        state::lock(&self.state).addresses.insert(address.to_owned(), worker.to_owned());
    }

    /// Address of a worker: its id, unless it was added at another address.
    pub fn address_of(&self, worker: &str) -> ids::PeerAddress {
        state::lock(&self.state).address_of(worker)
    }

    /// Returns the workers that tasks have crashed since the last call of this function.
    pub fn take_crashed(&self) -> Vec<CrashedWorker> {
        let mut state = state::lock(&self.state);
        state.apply_due_crashes();
        std::mem::take(&mut state.crashed)
    }

    /// Lets all workers, also those added later, accept starts that exceed their capacity.
    pub fn disable_capacity_check(&self) {
        let mut state = state::lock(&self.state);
        state.capacity_check_disabled = true;
        state.workers.values_mut().for_each(pool_worker::PoolWorker::disable_capacity_check);
    }

    /// Resources that a worker offers; `None` if it is down.
    pub fn capacity(&self, worker: &str) -> Option<resources::Resources> {
        state::lock(&self.state).workers.get(worker).map(|it| it.capacity())
    }

    /// Changes the resources that a worker offers; does nothing if the worker is down.
    pub fn set_capacity(&self, worker: &str, capacity: resources::Resources) {
        if let Some(worker) = state::lock(&self.state).workers.get_mut(worker) {
            worker.set_capacity(capacity);
        }
    }

    /// Makes a worker refuse all starts, or accept them again; does nothing if the worker is down.
    pub fn set_refuses_starts(&self, worker: &str, refuses_starts: bool) {
        if let Some(worker) = state::lock(&self.state).workers.get_mut(worker) {
            worker.set_refuses_starts(refuses_starts);
        }
    }

    /// Tasks whose start exceeded the capacity of their worker. A reduced capacity applies only once the time
    /// is over in which all parties learn of the reduction.
    pub fn oversubscribed_starts(&self) -> Vec<task_key::TaskKey> {
        let state = state::lock(&self.state);
        let on_workers_up = state.workers.values().flat_map(|it| &it.oversubscribed_starts);
        state.oversubscribed_starts.iter().chain(on_workers_up).copied().collect()
    }

    /// Ids of the workers that are up, sorted.
    pub fn workers_up(&self) -> Vec<ids::WorkerId> {
        state::lock(&self.state).workers.keys().cloned().collect()
    }

    /// Fault plans of all workers that were called or that a test asked a plan for.
    pub fn all_faults(&self) -> Vec<fault::FaultPlan> {
        state::lock(&self.state).fault_plans.values().cloned().collect()
    }

    /// Makes all workers leave their incarnation out of poll replies.
    pub fn hide_incarnations(&self) {
        state::lock(&self.state).hides_incarnations = true;
    }

    /// Lets a delayed start take effect on a later incarnation of its worker than the one it was sent to.
    pub fn allow_starts_on_later_incarnations(&self) {
        state::lock(&self.state).starts_reach_later_incarnations = true;
    }

    /// Current incarnation of a worker; `None` if the worker is down or incarnations are hidden.
    pub fn incarnation(&self, worker: &str) -> Option<ids::Incarnation> {
        let state = state::lock(&self.state);
        let incarnation = state.workers.get(worker)?.incarnation();
        (!state.hides_incarnations).then_some(incarnation)
    }

    /// Takes the next sequence number for a worker's entry; all workers share one sequence, from 1.
    pub fn next_entry_number(&self) -> u64 {
        let mut state = state::lock(&self.state);
        state.n_entries += 1;
        state.n_entries
    }

    /// Whether a worker with this id is up now.
    pub fn is_up(&self, worker: &str) -> bool {
        state::lock(&self.state).workers.contains_key(worker)
    }

    /// Whether a worker with this id is or ever was up.
    pub fn was_ever_up(&self, worker: &str) -> bool {
        state::lock(&self.state).known_ids.contains(worker)
    }

    /// Crashes a worker and with it all tasks on it. Returns the resources that it offered; `None` if it was
    /// down already.
    pub fn crash(&self, worker: &str) -> Option<resources::Resources> {
        state::lock(&self.state).crash(worker)
    }

    /// Fault plan of the calls to one worker. Changes to the returned plan apply to later calls.
    pub fn faults(&self, worker: &str) -> fault::FaultPlan {
        state::lock(&self.state).fault_plans.entry(worker.to_owned()).or_default().clone()
    }

    /// All ended runs, including those on crashed workers.
    pub fn records(&self) -> Vec<pool_worker::RunRecord> {
        let mut state = state::lock(&self.state);
        state.apply_due_crashes();
        let mut records = state.records_of_crashed.clone();
        for worker in state.workers.values_mut() {
            worker.process_due_ends();
            records.extend(worker.records.iter().cloned());
        }
        records
    }

    /// The acknowledgements of all ends that are final, including those on crashed workers.
    pub fn acknowledgements(&self) -> Vec<pool_worker::EndAcknowledgement> {
        let state = state::lock(&self.state);
        let at_workers_up = state.workers.values().flat_map(|it| &it.acknowledgements);
        state.acknowledgements_at_crashed.iter().chain(at_workers_up).cloned().collect()
    }

    /// All start orders sent so far, in the order in which they were sent.
    pub fn sent_starts(&self) -> Vec<SentStart> {
        state::lock(&self.state).sent_starts.clone()
    }

    /// Running tasks, each with its worker.
    pub fn running(&self) -> Vec<(ids::WorkerId, task_key::TaskKey)> {
        let mut state = state::lock(&self.state);
        state.apply_due_crashes();
        let mut running = Vec::new();
        for (id, worker) in &mut state.workers {
            worker.process_due_ends();
            running.extend(worker.runs().keys().map(|task| (id.clone(), *task)));
        }
        running
    }

    /// Number of running tasks on all workers.
    pub fn n_running(&self) -> usize {
        let mut state = state::lock(&self.state);
        state.apply_due_crashes();
        let workers = state.workers.values_mut();
        workers
            .map(|it| {
                it.process_due_ends();
                it.runs().len()
            })
            .sum()
    }

    async fn call<T: Send + 'static>(
        &self,
        target: &control::WorkerTarget,
        step: &'static str,
        limit: Duration,
        effect: impl FnOnce(&mut pool_worker::PoolWorker, resources::Resources) -> T + Send + 'static,
    ) -> Result<T, control::ControlFault> {
        let worker = &target.worker;
        let (path_faults, worker_faults) = (self.path_faults(worker), self.faults(worker));
        let shared_state = Arc::clone(&self.state);
        let intended = target.clone();
        let incarnation_at_send =
            state::lock(&self.state).workers.get(worker).map(|it| it.incarnation());
        let effect = move || {
            let mut state = state::lock(&shared_state);
            state.apply_due_crashes();
            if state.is_address_reused(&intended) {
                return ReachedWorker::Other;
            }
            let resources = state.task_resources;
            // A call is bound to the incarnation that was up when it was sent: its connection ends with that
            // incarnation.
            let reaches_later = step == START && state.starts_reach_later_incarnations;
            let is_reachable = |it: &&mut pool_worker::PoolWorker| {
                reaches_later || Some(it.incarnation()) == incarnation_at_send
            };
            let reached = state.workers.get_mut(&intended.worker).filter(is_reachable);
            reached.map_or(ReachedWorker::None, |it| ReachedWorker::Intended(effect(it, resources)))
        };
        let fault_plans = [&self.caller_faults, &path_faults, &worker_faults];
        let outcome = fault::call_through(&fault_plans, worker, step, effect);
        let result = time::timeout(limit, outcome).await;
        let result = result.unwrap_or_else(|_| {
            let timed_out = almondpass_peer::error::CallFault::TimedOut(limit);
            Err(fault::call_error(worker, step, timed_out))
        })?;
        match result {
            ReachedWorker::Intended(answer) => Ok(answer),
            ReachedWorker::Other => Err(control::ControlFault::Replaced(worker.clone())),
            // A crashed worker does not answer, which its caller sees as a timeout.
            ReachedWorker::None => {
                let timed_out = almondpass_peer::error::CallFault::TimedOut(limit);
                Err(fault::call_error(worker, step, timed_out).into())
            }
        }
    }
}

impl FleetState {
    /// Crashes the workers on which a task's crash is due.
    fn apply_due_crashes(&mut self) {
        let now = Instant::now();
        let due = self.workers.iter().filter(|(_, it)| it.crashes_at().is_some_and(|at| at <= now));
        for worker in due.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            let address = self.address_of(&worker);
            let Some(capacity) = self.crash(&worker) else { continue };
            self.crashed.push(CrashedWorker { worker, address, capacity });
        }
    }

    fn crash(&mut self, worker: &str) -> Option<resources::Resources> {
        let mut crashed_worker = self.workers.remove(worker)?;
        crashed_worker.process_due_ends();
        let cut_off = crashed_worker.runs().iter().map(|(task, run)| pool_worker::RunRecord {
            task: *task,
            attempt: run.attempt,
            worker: worker.to_owned(),
            started: run.started,
            ended: Instant::now(),
            end_kind: order::EndKind::Lapsed,
            number: 0,
            is_acknowledged: false,
        });
        self.records_of_crashed.extend(cut_off);
        let capacity = crashed_worker.capacity();
        self.oversubscribed_starts.append(&mut crashed_worker.oversubscribed_starts);
        self.acknowledgements_at_crashed.extend(crashed_worker.acknowledgements);
        self.records_of_crashed.extend(crashed_worker.records);
        Some(capacity)
    }

    fn address_of(&self, worker: &str) -> ids::PeerAddress {
        let entry_of_worker = self.addresses.iter().find(|(_, it)| *it == worker);
        entry_of_worker.map_or_else(|| worker.to_owned(), |(address, _)| address.clone())
    }

    /// Whether another worker is up at the target's address. That worker refuses calls that are not meant for
    /// it.
    fn is_address_reused(&self, target: &control::WorkerTarget) -> bool {
        let worker_at_address = self.addresses.get(&target.address);
        worker_at_address.is_some_and(|it| *it != target.worker && self.workers.contains_key(it))
    }
}

impl control::TaskControl for PoolFleet {
    async fn poll(
        &self,
        target: &control::WorkerTarget,
        token: ids::FencingToken,
        request: &order::PollRequest,
    ) -> Result<order::PollReply, control::ControlFault> {
        let expires = Instant::now() + request.wait;
        let hides_incarnations = state::lock(&self.state).hides_incarnations;
        loop {
            let request = request.clone();
            let has_expired = Instant::now() >= expires;
            let poll_worker = move |worker: &mut pool_worker::PoolWorker, _| {
                let mut reply = worker.poll(token, &request)?;
                reply.incarnation = reply.incarnation.filter(|_| !hides_incarnations);
                Some((has_expired || worker.has_ends()).then_some(reply))
            };
            match self.call(target, POLL, CALL_TIMEOUT, poll_worker).await? {
                Some(Some(reply)) => return Ok(reply),
                Some(None) => time::sleep(POLL_TICK).await,
                None => return Err(control::ControlFault::Fenced),
            }
        }
    }

    async fn start(
        &self,
        token: ids::FencingToken,
        start: &order::StartOrder,
    ) -> order::StartAnswer {
        let order = start.clone();
        let target =
            control::WorkerTarget { worker: start.worker.clone(), address: start.address.clone() };
        state::lock(&self.state).sent_starts.push(SentStart {
            task: start.task,
            attempt: start.attempt,
            worker: start.worker.clone(),
            sent_at: Instant::now(),
        });
        let start_task = move |worker: &mut pool_worker::PoolWorker, resources| {
            let behavior = pool_worker::parse_behavior(&order, resources);
            worker.start(token, &order, behavior)
        };
        match self.call(&target, START, CALL_TIMEOUT, start_task).await {
            Ok(answer) => answer,
            Err(control::ControlFault::Call(error)) if error.fault.had_no_effect() => {
                order::StartAnswer::NotSent
            }
            Err(control::ControlFault::Replaced(_)) => order::StartAnswer::Replaced,
            Err(_) => order::StartAnswer::Unknown,
        }
    }

    async fn stop(
        &self,
        token: ids::FencingToken,
        stop: &order::StopOrder,
    ) -> Result<(), control::ControlFault> {
        let order = stop.clone();
        let target =
            control::WorkerTarget { worker: stop.worker.clone(), address: stop.address.clone() };
        let stop_task = move |worker: &mut pool_worker::PoolWorker, _| worker.stop(token, &order);
        let is_accepted = self.call(&target, STOP, CALL_TIMEOUT, stop_task).await?;
        if is_accepted { Ok(()) } else { Err(control::ControlFault::Fenced) }
    }
}
