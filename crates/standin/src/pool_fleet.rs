//! Workers for job graphs, behind the control port, with faults on the way to each.

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

/// Step of a look, for fault plans.
pub const POLL: &str = "hold";

/// Step of a start, for fault plans.
pub const START: &str = "start";

/// Step of a stop, for fault plans.
pub const STOP: &str = "stop";

/// An order without an answer fails after this.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// When the first life of a worker begins by the calendar, in Unix milliseconds: any day will do. Each
/// life begins a millisecond behind the one before, so that no two can be mixed up.
const FIRST_LIFE_MS: u64 = 1_800_000_000_000;

/// How often a look that waits for an end looks again.
const POLL_TICK: Duration = Duration::from_millis(20);

/// The workers; clones share them.
#[derive(Clone, Debug, Default)]
pub struct PoolFleet {
    state: Arc<Mutex<FleetState>>,
    /// Faults between this instance and all workers.
    path: fault::FaultPlan,
}

#[derive(Debug, Default)]
struct FleetState {
    n_lives: u64,
    n_entries: u64,
    /// Ids that workers have, or had.
    known: BTreeSet<ids::WorkerId>,
    workers: BTreeMap<ids::WorkerId, pool_worker::PoolWorker>,
    plans: BTreeMap<ids::WorkerId, fault::FaultPlan>,
    task_room: resources::Resources,
    lost: Vec<pool_worker::RunRecord>,
    /// Where workers are that are not at the address that is their id.
    addresses: BTreeMap<ids::PeerAddress, ids::WorkerId>,
    /// Crashed by a task, and not handed out yet.
    crashed: Vec<CrashedWorker>,
    hides_lives: bool,
    starts_outlive: bool,
    unguarded: bool,
    /// Starts on dead workers beyond their rooms.
    oversubscribed_starts: Vec<task_key::TaskKey>,
}

/// Whom a call has reached.
enum Reach<T> {
    /// The worker that was meant, which answers that.
    Worker(T),
    /// Another worker, at its address.
    Other,
    /// Nobody.
    Nobody,
}

/// A worker that a task has crashed.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashedWorker {
    /// Its id.
    pub worker: ids::WorkerId,
    /// Where it was.
    pub address: ids::PeerAddress,
    /// What it offered.
    pub capacity: resources::Resources,
}

impl PoolFleet {
    /// No workers; tasks take `task_room` each.
    pub fn new(task_room: resources::Resources) -> PoolFleet {
        let fleet = PoolFleet::default();
        state::lock(&fleet.state).task_room = task_room;
        fleet
    }

    /// The same workers as one instance reaches them.
    pub fn with_path_faults(&self, path: fault::FaultPlan) -> PoolFleet {
        PoolFleet { path, ..self.clone() }
    }

    /// A new worker, or a new life of one that has died.
    pub fn add(&self, worker: &str, capacity: resources::Resources) {
        let mut state = state::lock(&self.state);
        let incarnation = FIRST_LIFE_MS + state.n_lives;
        state.n_lives += 1;
        state.known.insert(worker.to_owned());
        let mut fresh = pool_worker::PoolWorker::new(worker, incarnation, capacity);
        if state.unguarded {
            fresh.disable_capacity_check();
        }
        state.workers.insert(worker.to_owned(), fresh);
    }

    /// A new worker at an address, where another may have been.
    pub fn add_at(&self, worker: &str, address: &str, capacity: resources::Resources) {
        self.add(worker, capacity);
        state::lock(&self.state).addresses.insert(address.to_owned(), worker.to_owned());
    }

    /// Where a worker is.
    pub fn address_of(&self, worker: &str) -> ids::PeerAddress {
        state::lock(&self.state).address_of(worker)
    }

    /// Workers that tasks have crashed since the last call.
    pub fn take_crashed(&self) -> Vec<CrashedWorker> {
        let mut state = state::lock(&self.state);
        state.pass_crashes();
        std::mem::take(&mut state.crashed)
    }

    /// From now on workers start whatever they are told to, whether it fits or not.
    pub fn disable_capacity_check(&self) {
        let mut state = state::lock(&self.state);
        state.unguarded = true;
        state.workers.values_mut().for_each(pool_worker::PoolWorker::disable_capacity_check);
    }

    /// What a worker offers, if it is up.
    pub fn capacity(&self, worker: &str) -> Option<resources::Resources> {
        state::lock(&self.state).workers.get(worker).map(|it| it.capacity())
    }

    /// From now on a worker that is up offers that much.
    pub fn set_capacity(&self, worker: &str, capacity: resources::Resources) {
        if let Some(worker) = state::lock(&self.state).workers.get_mut(worker) {
            worker.set_capacity(capacity);
        }
    }

    /// Starts that brought their workers over their rooms, by the time from which these count.
    pub fn oversubscribed_starts(&self) -> Vec<task_key::TaskKey> {
        let state = state::lock(&self.state);
        let now = state.workers.values().flat_map(|it| &it.oversubscribed_starts);
        state.oversubscribed_starts.iter().chain(now).copied().collect()
    }

    /// The workers that are up.
    pub fn workers_up(&self) -> Vec<ids::WorkerId> {
        state::lock(&self.state).workers.keys().cloned().collect()
    }

    /// Faults on the way to each worker that had any.
    pub fn all_faults(&self) -> Vec<fault::FaultPlan> {
        state::lock(&self.state).plans.values().cloned().collect()
    }

    /// From now on no worker tells in which life it is.
    pub fn hide_incarnations(&self) {
        state::lock(&self.state).hides_lives = true;
    }

    /// From now on a start that is carried out late may be so by a later life of its worker.
    pub fn allow_starts_on_later_incarnations(&self) {
        state::lock(&self.state).starts_outlive = true;
    }

    /// Which life of a worker there is now, if it is up and tells.
    pub fn incarnation(&self, worker: &str) -> Option<ids::Incarnation> {
        let state = state::lock(&self.state);
        let incarnation = state.workers.get(worker)?.incarnation();
        (!state.hides_lives).then_some(incarnation)
    }

    /// The number of the next entry that a worker writes.
    pub fn next_entry_number(&self) -> u64 {
        let mut state = state::lock(&self.state);
        state.n_entries += 1;
        state.n_entries
    }

    /// Whether a worker is up.
    pub fn is_up(&self, worker: &str) -> bool {
        state::lock(&self.state).workers.contains_key(worker)
    }

    /// Whether there ever was a worker of that id.
    pub fn was_ever_up(&self, worker: &str) -> bool {
        state::lock(&self.state).known.contains(worker)
    }

    /// The worker dies, and everything on it. Tells what it offered.
    pub fn crash(&self, worker: &str) -> Option<resources::Resources> {
        state::lock(&self.state).crash(worker)
    }

    /// Faults on the way to one worker.
    pub fn faults(&self, worker: &str) -> fault::FaultPlan {
        state::lock(&self.state).plans.entry(worker.to_owned()).or_default().clone()
    }

    /// All runs that are over, those on dead workers included.
    pub fn records(&self) -> Vec<pool_worker::RunRecord> {
        let mut state = state::lock(&self.state);
        state.pass_crashes();
        let mut records = state.lost.clone();
        for worker in state.workers.values_mut() {
            worker.process_due_ends();
            records.extend(worker.records.iter().cloned());
        }
        records
    }

    /// Which tasks run now, and where.
    pub fn running(&self) -> Vec<(ids::WorkerId, task_key::TaskKey)> {
        let mut state = state::lock(&self.state);
        state.pass_crashes();
        let mut running = Vec::new();
        for (id, worker) in &mut state.workers {
            worker.process_due_ends();
            running.extend(worker.runs().keys().map(|task| (id.clone(), *task)));
        }
        running
    }

    /// Tasks that run now.
    pub fn n_running(&self) -> usize {
        let mut state = state::lock(&self.state);
        state.pass_crashes();
        let workers = state.workers.values_mut();
        workers
            .map(|it| {
                it.process_due_ends();
                it.runs().len()
            })
            .sum()
    }

    async fn pass<T: Send + 'static>(
        &self,
        target: &control::WorkerTarget,
        step: &'static str,
        limit: Duration,
        effect: impl FnOnce(&mut pool_worker::PoolWorker, resources::Resources) -> T + Send + 'static,
    ) -> Result<T, control::ControlFault> {
        let worker = &target.worker;
        let plan = self.faults(worker);
        let shared = Arc::clone(&self.state);
        let target_there = target.clone();
        let life = state::lock(&self.state).workers.get(worker).map(|it| it.incarnation());
        let effect = move || {
            let mut state = state::lock(&shared);
            state.pass_crashes();
            if state.is_taken(&target_there) {
                return Reach::Other;
            }
            let room = state.task_room;
            // A call belongs to the life that it has reached, and ends with its connection.
            let outlives = step == START && state.starts_outlive;
            let is_reached =
                |it: &&mut pool_worker::PoolWorker| outlives || Some(it.incarnation()) == life;
            let reached = state.workers.get_mut(&target_there.worker).filter(is_reached);
            reached.map_or(Reach::Nobody, |it| Reach::Worker(effect(it, room)))
        };
        let plans = [&self.path, &plan];
        let passing = fault::call_through(&plans, worker, step, effect);
        let passed = time::timeout(limit, passing).await;
        let passed = passed.unwrap_or_else(|_| {
            let timed_out = almondpass_peer::error::CallFault::TimedOut(limit);
            Err(fault::call_error(worker, step, timed_out))
        })?;
        match passed {
            Reach::Worker(answer) => Ok(answer),
            Reach::Other => Err(control::ControlFault::Replaced(worker.clone())),
            // A dead worker does not answer; what it would say is a timeout.
            Reach::Nobody => {
                let timed_out = almondpass_peer::error::CallFault::TimedOut(limit);
                Err(fault::call_error(worker, step, timed_out).into())
            }
        }
    }
}

impl FleetState {
    /// Crashes the workers whose tasks do that, as far as it is time.
    fn pass_crashes(&mut self) {
        let now = Instant::now();
        let due = self.workers.iter().filter(|(_, it)| it.crashes_at().is_some_and(|at| at <= now));
        for worker in due.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            let address = self.address_of(&worker);
            let Some(capacity) = self.crash(&worker) else { continue };
            self.crashed.push(CrashedWorker { worker, address, capacity });
        }
    }

    fn crash(&mut self, worker: &str) -> Option<resources::Resources> {
        let mut dead = self.workers.remove(worker)?;
        dead.process_due_ends();
        let running = dead.runs().iter().map(|(task, run)| pool_worker::RunRecord {
            task: *task,
            attempt: run.attempt,
            worker: worker.to_owned(),
            started: run.started,
            ended: Instant::now(),
            end_kind: order::EndKind::Lapsed,
            number: 0,
            is_acknowledged: false,
        });
        self.lost.extend(running);
        let capacity = dead.capacity();
        self.oversubscribed_starts.append(&mut dead.oversubscribed_starts);
        self.lost.extend(dead.records);
        Some(capacity)
    }

    fn address_of(&self, worker: &str) -> ids::PeerAddress {
        let placed = self.addresses.iter().find(|(_, it)| *it == worker);
        placed.map_or_else(|| worker.to_owned(), |(address, _)| address.clone())
    }

    /// Whether another worker is up at the address, which refuses what is not meant for it.
    fn is_taken(&self, target: &control::WorkerTarget) -> bool {
        let there = self.addresses.get(&target.address);
        there.is_some_and(|it| *it != target.worker && self.workers.contains_key(it))
    }
}

impl control::TaskControl for PoolFleet {
    async fn poll(
        &self,
        target: &control::WorkerTarget,
        token: ids::FencingToken,
        ask: &order::PollRequest,
    ) -> Result<order::PollReply, control::ControlFault> {
        let expires = Instant::now() + ask.wait;
        let hides_lives = state::lock(&self.state).hides_lives;
        loop {
            let ask = ask.clone();
            let is_over = Instant::now() >= expires;
            let look = move |worker: &mut pool_worker::PoolWorker, _| {
                let mut listed = worker.poll(token, &ask)?;
                listed.incarnation = listed.incarnation.filter(|_| !hides_lives);
                Some((is_over || worker.has_ends()).then_some(listed))
            };
            match self.pass(target, POLL, ORDER_TIMEOUT, look).await? {
                Some(Some(listed)) => return Ok(listed),
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
        let begin = move |worker: &mut pool_worker::PoolWorker, room| {
            let plan = pool_worker::parse_behavior(&order, room);
            worker.start(token, &order, plan)
        };
        match self.pass(&target, START, ORDER_TIMEOUT, begin).await {
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
        let end = move |worker: &mut pool_worker::PoolWorker, _| worker.stop(token, &order);
        let is_accepted = self.pass(&target, STOP, ORDER_TIMEOUT, end).await?;
        if is_accepted { Ok(()) } else { Err(control::ControlFault::Fenced) }
    }
}
