//! A run: callers and faults at random from a seed, then a calm in which everything must come right.

use std::time::Duration;

use almondpass_schema::{ids, model};
use almondpass_standin::{fault, upstream, worker};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::callers;
use crate::calm;
use crate::document;
use crate::oracle::{self, Condition};
use crate::world;

/// What a run is made of.
#[derive(Clone, Copy, Debug)]
pub struct StormPlan {
    /// Chooses callers and faults.
    pub seed: u64,
    /// Places of instances.
    pub n_nodes: usize,
    /// Length of the storm.
    pub storm: Duration,
    /// Between two faults, on average.
    pub fault_interval: Duration,
}

/// A run under way.
pub struct FleetStorm {
    pub(crate) world: world::FleetWorld,
    pub(crate) oracle: oracle::FleetOracle,
    plan: StormPlan,
    rng: ChaCha8Rng,
    heals: Vec<(Instant, Heal)>,
    number: u64,
    trace: Vec<String>,
}

/// What happened in a run.
#[derive(Debug)]
pub struct StormReport {
    /// What did not hold.
    pub violations: Vec<oracle::Violation>,
    /// What was checked, and how often.
    pub oracle: oracle::FleetOracle,
    /// Operations and faults, in order.
    pub trace: Vec<String>,
    /// Requests that were sent.
    pub n_requests: usize,
    /// Of these, told to be done.
    pub n_done: usize,
    /// Of these, told not to have run.
    pub n_not_run: usize,
    /// Of these, told to be unknown.
    pub n_unknown: usize,
    /// Jobs that were accepted.
    pub n_jobs: usize,
    /// Tasks that ran.
    pub n_runs: usize,
}

/// How a fault ends.
#[derive(Clone, Debug)]
enum Heal {
    Start(usize),
    Resume(ids::InstanceId),
    Table,
    Objects,
    Instances,
    Path(ids::InstanceId),
    Net(ids::PeerAddress, ids::PeerAddress),
    Worker(usize),
    Upstream(usize),
}

/// Between two operations of callers, on average.
const CALL_INTERVAL: Duration = Duration::from_millis(150);

/// A longer step.
const STRIDE: Duration = Duration::from_millis(100);

/// Longest fault.
const LONGEST_FAULT: Duration = Duration::from_secs(15);

/// A graceful shutdown ends within this, since callers' deadlines do.
const LONGEST_SHUTDOWN: Duration = Duration::from_secs(60);

/// Between two proposals of operators, on average.
const PROPOSAL_INTERVAL: Duration = Duration::from_secs(8);

/// Runs a storm and the calm after it.
pub fn run(plan: StormPlan) -> StormReport {
    let mut storm = FleetStorm::new(plan);
    let until = storm.world.now() + plan.storm;
    while storm.world.now() < until {
        storm.step();
    }
    storm.heal_all();
    calm::run(&mut storm);
    storm.report()
}

impl FleetStorm {
    fn new(plan: StormPlan) -> FleetStorm {
        FleetStorm {
            world: world::FleetWorld::start(plan.seed, plan.n_nodes),
            oracle: oracle::FleetOracle::default(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            plan,
            heals: Vec::new(),
            number: 0,
            trace: Vec::new(),
        }
    }

    fn step(&mut self) {
        if self.happens(CALL_INTERVAL) {
            self.call();
        }
        if self.happens(PROPOSAL_INTERVAL) {
            self.propose();
        }
        if self.happens(self.plan.fault_interval) {
            self.fault();
        }
        let now = self.world.now();
        let due = self.heals.extract_if(.., |it| it.0 <= now).map(|it| it.1).collect::<Vec<_>>();
        for heal in due {
            self.heal(heal);
        }
        self.advance();
    }

    /// Moves the clocks by one step.
    pub(crate) fn advance(&mut self) {
        self.world.step();
        self.oracle.watch(&self.world);
    }

    /// Lets time pass.
    pub(crate) fn run_for(&mut self, span: Duration) {
        let until = self.world.now() + span;
        while self.world.now() < until {
            self.advance();
        }
    }

    /// Lets time pass in longer steps, while nobody looks closely.
    pub(crate) fn stride_for(&mut self, span: Duration) {
        let until = self.world.now() + span;
        while self.world.now() < until {
            self.world.stride(STRIDE);
            self.oracle.watch(&self.world);
        }
    }

    /// Lets time pass until `task` is finished; panics where nobody ends it.
    pub(crate) fn finish<R>(&mut self, step: &str, task: JoinHandle<R>) -> R {
        let limit = self.world.now() + Duration::from_secs(60);
        while !task.is_finished() {
            assert!(self.world.now() < limit, "waited in vain until {step}");
            self.advance();
        }
        self.world.result(task)
    }

    /// Notes something for whoever reads a failed run.
    pub(crate) fn note(&mut self, what: String) {
        let at = self.world.elapsed();
        self.trace.push(format!("{:8.2} {what}", at.as_secs_f64()));
    }

    /// A request of a caller.
    pub(crate) fn request_plan(&mut self) -> callers::RequestPlan {
        self.number += 1;
        let keyed = self.rng.random_bool(0.5);
        callers::RequestPlan {
            account: self.account(),
            key: keyed.then(|| self.world.key()),
            run: Duration::from_millis(self.rng.random_range(5..1500)),
            number: self.number,
            retries: self.rng.random_range(0..3),
        }
    }

    fn call(&mut self) {
        match self.rng.random_range(0..10) {
            0..7 => {
                let plan = self.request_plan();
                drop(self.world.call(|desk| callers::request(desk, plan)));
            }
            7..9 => {
                let plan = self.job_plan();
                self.note(format!("submit {plan:?}"));
                drop(self.world.call(|desk| callers::submit(desk, plan)));
            }
            _ => {
                let accepted =
                    self.world.ledger().accepted().into_iter().cloned().collect::<Vec<_>>();
                if accepted.is_empty() {
                    return;
                }
                let sent = &accepted[self.rng.random_range(0..accepted.len())];
                let (account, job) = (sent.account, sent.job);
                self.note(format!("cancel {job}"));
                drop(self.world.call(|desk| callers::cancel(desk, account, job)));
            }
        }
    }

    fn job_plan(&mut self) -> callers::JobPlan {
        callers::JobPlan {
            account: self.account(),
            class: if self.rng.random_bool(0.6) { document::BATCH } else { document::PRINT },
            job: self.world.key(),
            tasks: self.rng.random_range(1..=document::N_WORKERS),
            accelerators: self.rng.random_range(1..=document::N_ACCELERATORS),
            run: Duration::from_millis(self.rng.random_range(500..20_000)),
            fails: self.rng.random_bool(0.1),
            guarantee: None,
            retries: self.rng.random_range(0..3),
        }
    }

    fn account(&mut self) -> &'static str {
        if self.rng.random_bool(0.8) { document::LARGE } else { document::SMALL }
    }

    fn propose(&mut self) {
        let Some(index) = self.any_node(|it| !it.paused) else { return };
        let weight = f64::from(self.rng.random_range(1..10)) / 10.0;
        self.note(format!("propose weight {weight} through {}", self.world.nodes[index].id));
        drop(self.world.propose(index, |document| {
            document.objective =
                model::ObjectiveWeights { completion_time: weight, fragmentation: 1.0 - weight };
        }));
    }

    fn fault(&mut self) {
        match self.rng.random_range(0..13) {
            0 => self.kill(),
            1 => self.pause(),
            2 => self.leave(),
            3 => {
                let condition = self.condition();
                self.note(format!("table {condition:?}"));
                self.world.enter(|it| it.site.fakes.table().faults().set(condition));
                self.schedule(Heal::Table);
            }
            4 => {
                let condition = self.condition();
                self.note(format!("objects {condition:?}"));
                self.world.enter(|it| it.site.fakes.objects().faults().set(condition));
                self.schedule(Heal::Objects);
            }
            5 => {
                let (seed, rates) = (self.rng.random(), self.rates());
                self.note(format!("table and objects {rates:?}"));
                self.world.site.fakes.table().faults().inject_at_random(seed, rates);
                self.world.site.fakes.objects().faults().inject_at_random(seed, rates);
                self.schedule(Heal::Table);
                self.schedule(Heal::Objects);
            }
            6 => {
                let condition = self.condition();
                self.note(format!("instance list {condition:?}"));
                self.world.enter(|it| it.site.fakes.instances().faults().set(condition));
                self.schedule(Heal::Instances);
            }
            7 => self.cut_off(),
            8 => self.partition(),
            9 | 10 => self.hurt_worker(),
            _ => self.misbehave(),
        }
    }

    fn kill(&mut self) {
        let Some(index) = self.any_node(|_| true) else { return };
        let node = &self.world.nodes[index];
        let (id, place) = (node.id.clone(), place_of(&node.address));
        self.note(format!("kill {id}"));
        self.world.kill(index);
        self.schedule(Heal::Start(place));
    }

    fn pause(&mut self) {
        let Some(index) = self.any_node(|it| !it.paused) else { return };
        let id = self.world.nodes[index].id.clone();
        self.note(format!("pause {id}"));
        self.world.nodes[index].paused = true;
        self.world.disturbed.insert(id.clone());
        self.schedule(Heal::Resume(id));
    }

    fn leave(&mut self) {
        let Some(index) = self.any_node(|it| it.is_serving() && !it.paused) else { return };
        let node = &mut self.world.nodes[index];
        node.leave();
        let (id, place) = (node.id.clone(), place_of(&node.address));
        self.note(format!("leave {id}"));
        self.world.enter(|it| {
            it.site.fakes.instances().set_state(&id, model::InstanceState::Leaving);
        });
        self.schedule(Heal::Start(place));
    }

    fn cut_off(&mut self) {
        let Some(index) = self.any_node(|_| true) else { return };
        let condition = self.condition();
        let which = self.rng.random_range(0..3);
        let node = &self.world.nodes[index];
        let paths = node.paths.clone();
        let (name, path) = match which {
            0 => ("store", paths.store),
            1 => ("instance list", paths.instances),
            _ => ("workers", paths.workers),
        };
        let id = node.id.clone();
        self.note(format!("{id} to {name} {condition:?}"));
        self.world.enter(|_| path.set(condition));
        self.schedule(Heal::Path(id));
    }

    fn partition(&mut self) {
        let one_way = self.rng.random_bool(0.4);
        let (Some(a), Some(b)) = (self.any_node(|_| true), self.any_node(|_| true)) else { return };
        let (a, b) = (self.world.nodes[a].address.clone(), self.world.nodes[b].address.clone());
        if a == b {
            return;
        }
        self.note(format!("partition {a} {b}, one way: {one_way}"));
        self.world.enter(|it| {
            it.net.path_faults(&a, &b).set(fault::Condition::Dropping);
            if !one_way {
                it.net.path_faults(&b, &a).set(fault::Condition::Dropping);
            }
        });
        self.schedule(Heal::Net(a, b));
    }

    fn hurt_worker(&mut self) {
        let workers = self.world.workers();
        let index = self.rng.random_range(0..workers.len());
        let worker = &workers[index];
        let name = worker.shape().id;
        match self.rng.random_range(0..5) {
            0 => {
                self.note(format!("{name} dies"));
                self.world.enter(|_| worker.crash());
            }
            1 => {
                self.note(format!("{name} is paused"));
                self.world.enter(|_| worker.pause());
            }
            2 => {
                self.note(format!("{name} refuses starts"));
                worker.set_health(worker::WorkerHealth::RefusesStarts);
            }
            3 => {
                self.note(format!("{name} fails tasks"));
                let after = Duration::from_millis(200);
                worker.set_health(worker::WorkerHealth::FailsTasks(after));
            }
            _ => {
                let (seed, rates) = (self.rng.random(), self.rates());
                self.note(format!("{name} {rates:?}"));
                worker.faults().inject_at_random(seed, rates);
            }
        }
        self.schedule(Heal::Worker(index));
    }

    fn misbehave(&mut self) {
        let upstreams = self.world.upstreams();
        let index = self.rng.random_range(0..upstreams.len());
        let late = Duration::from_millis(self.rng.random_range(100..12_000));
        let misbehaviours = [
            upstream::Misbehaviour::Refuse,
            upstream::Misbehaviour::Disconnect,
            upstream::Misbehaviour::Late(late),
            upstream::Misbehaviour::CrossedId,
            upstream::Misbehaviour::MissingId,
            upstream::Misbehaviour::CutShort,
            upstream::Misbehaviour::ExtraBytes,
            upstream::Misbehaviour::Duplicate,
            upstream::Misbehaviour::Slow(late / 8),
            upstream::Misbehaviour::NoAnswer,
            upstream::Misbehaviour::Error,
        ];
        let misbehaviour = misbehaviours[self.rng.random_range(0..misbehaviours.len())];
        let times = self.rng.random_range(1..4);
        self.note(format!("upstream {index} {misbehaviour:?}, {times} times"));
        for _ in 0..times {
            upstreams[index].misbehave_next(misbehaviour);
        }
        if self.rng.random_bool(0.2) {
            upstreams[index].set_misbehaviour(Some(misbehaviour));
            self.schedule(Heal::Upstream(index));
        }
    }

    fn condition(&mut self) -> fault::Condition {
        let span = Duration::from_millis(self.rng.random_range(100..3000));
        match self.rng.random_range(0..4) {
            0 => fault::Condition::Refusing,
            1 => fault::Condition::Dropping,
            2 => fault::Condition::Slow(span),
            _ => fault::Condition::Flapping { up: span, down: span },
        }
    }

    fn rates(&mut self) -> fault::FaultRates {
        fault::FaultRates {
            refused: 0.03,
            unavailable: 0.03,
            request_lost: 0.03,
            answer_lost: 0.1,
            delayed_effect: 0.1,
            slow: 0.1,
            max_delay: Duration::from_millis(self.rng.random_range(50..4000)),
        }
    }

    fn schedule(&mut self, heal: Heal) {
        let after = LONGEST_FAULT.mul_f64(self.rng.random::<f64>());
        self.heals.push((self.world.now() + after, heal));
    }

    fn heal(&mut self, heal: Heal) {
        match heal {
            Heal::Start(place) if self.world.is_serving(place) => {}
            Heal::Start(place) if self.world.is_taken(place) => {
                // It is still shutting down.
                let later = self.world.now() + Duration::from_secs(1);
                self.heals.push((later, Heal::Start(place)));
            }
            Heal::Start(place) => {
                self.note(format!("start in place {place}"));
                self.world.start_node(place);
            }
            Heal::Resume(id) => {
                self.note(format!("resume {id}"));
                if let Some(node) = self.world.nodes.iter_mut().find(|it| it.id == id) {
                    node.paused = false;
                }
            }
            Heal::Table => self.calm_down(|it| it.site.fakes.table().faults().clone()),
            Heal::Objects => self.calm_down(|it| it.site.fakes.objects().faults().clone()),
            Heal::Instances => self.calm_down(|it| it.site.fakes.instances().faults().clone()),
            Heal::Path(id) => {
                let node = self.world.nodes.iter().find(|it| it.id == id);
                if let Some(paths) = node.map(|it| it.paths.clone()) {
                    self.calm_down(|_| paths.store);
                    self.calm_down(|_| paths.instances);
                    self.calm_down(|_| paths.workers);
                }
            }
            Heal::Net(a, b) => {
                self.calm_down(|it| it.net.path_faults(&a, &b));
                self.calm_down(|it| it.net.path_faults(&b, &a));
            }
            Heal::Worker(index) => self.world.enter(|it| {
                let worker = &it.workers()[index];
                worker.resume();
                worker.set_health(worker::WorkerHealth::Healthy);
                worker.faults().inject_at_random(0, fault::FaultRates::default());
            }),
            Heal::Upstream(index) => self.world.upstreams()[index].set_misbehaviour(None),
        }
    }

    fn calm_down(&mut self, plan: impl FnOnce(&world::FleetWorld) -> fault::FaultPlan) {
        self.world.enter(|it| {
            let plan = plan(it);
            plan.set(fault::Condition::Up);
            plan.inject_at_random(0, fault::FaultRates::default());
        });
    }

    /// Ends every fault, and waits until every place is taken.
    fn heal_all(&mut self) {
        self.note("calm".to_owned());
        let (starts, others) = std::mem::take(&mut self.heals)
            .into_iter()
            .map(|it| it.1)
            .partition::<Vec<_>, _>(|it| matches!(it, Heal::Start(_)));
        for heal in others {
            self.heal(heal);
        }
        let limit = self.world.now() + LONGEST_SHUTDOWN;
        while !self.world.nodes.iter().all(|it| it.is_serving()) && self.world.now() < limit {
            self.advance();
        }
        let stuck = self.world.nodes.iter().find(|it| !it.is_serving()).map(|it| it.id.clone());
        self.oracle.check(Condition::ShutdownCutsNothing, stuck.is_none(), || {
            format!("{stuck:?} does not come to the end of its shutdown in {LONGEST_SHUTDOWN:?}")
        });
        for start in starts {
            self.heal(start);
        }
        for index in 0..self.world.upstreams().len() {
            self.world.upstreams()[index].clear_misbehaviours();
        }
    }

    fn any_node(&mut self, fits: impl Fn(&crate::node::FleetNode) -> bool) -> Option<usize> {
        let nodes = self.world.nodes.iter().enumerate();
        let fitting = nodes.filter(|(_, it)| fits(it)).map(|(index, _)| index);
        let fitting = fitting.collect::<Vec<_>>();
        if fitting.is_empty() {
            return None;
        }
        Some(fitting[self.rng.random_range(0..fitting.len())])
    }

    fn happens(&mut self, interval: Duration) -> bool {
        let chance = world::STEP.as_secs_f64() / interval.as_secs_f64();
        self.rng.random_bool(chance.min(1.0))
    }

    fn report(self) -> StormReport {
        let runs = self.world.enter(|it| it.site.fakes.fleet.runs());
        let ledger = self.world.ledger();
        let says = |outcome| ledger.requests.iter().filter(|it| it.answer.says(outcome)).count();
        StormReport {
            n_requests: ledger.requests.len(),
            n_done: says("done"),
            n_not_run: says("not_run"),
            n_unknown: says("unknown"),
            n_jobs: ledger.accepted().len(),
            n_runs: runs.len(),
            violations: self.oracle.violations.clone(),
            trace: self.trace,
            oracle: self.oracle,
        }
    }
}

/// Place of the instance with a peer address, `peer-<place>`.
fn place_of(address: &str) -> usize {
    let place = address.rsplit_once('-').and_then(|(_, place)| place.parse().ok());
    place.expect("an address of an instance")
}
