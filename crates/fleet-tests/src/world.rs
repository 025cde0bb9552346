//! The platform, the callers and the instances, on clocks that move together.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use almondpass_schema::{ids, model, time};
use almondpass_standin::{fleet, net, plan, site, upstream};
use bytes::Bytes;
use http_body_util::Full;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use uuid::Uuid;

use crate::caller;
use crate::document;
use crate::ledger;
use crate::node;
use crate::runtime;

/// Everything in one run.
pub struct FleetWorld {
    /// The instances that run.
    pub nodes: Vec<node::FleetNode>,
    /// The platform.
    pub site: site::SiteServer,
    /// The calls between instances.
    pub net: net::FakeNet,
    /// Ids of instances that were killed or paused.
    pub disturbed: BTreeSet<ids::InstanceId>,
    /// What callers did.
    ledger: Arc<Mutex<ledger::CallerLedger>>,
    balancer: NodeBalancer,
    runtime: runtime::PacedRuntime,
    started: Instant,
    now: Instant,
    n_started: u64,
    seed: u64,
}

/// Where callers are sent; clones share it.
#[derive(Clone, Debug)]
pub struct NodeBalancer {
    state: Arc<Mutex<BalancerState>>,
}

#[derive(Debug)]
struct BalancerState {
    targets: Vec<(ids::InstanceId, SocketAddr)>,
    rng: ChaCha8Rng,
}

/// What callers need to send anything.
#[derive(Clone)]
pub struct CallerDesk {
    /// Chooses an instance.
    pub balancer: NodeBalancer,
    /// Takes notes.
    pub ledger: Arc<Mutex<ledger::CallerLedger>>,
}

/// One step of all clocks.
pub const STEP: Duration = Duration::from_millis(20);

/// Turns of every runtime in one step: a call needs one there and one back.
const TURNS: u32 = 3;

/// Time of day at the start.
const WALL_START: Duration = Duration::from_secs(1_900_000_000);

/// Lag of the instance list.
const LIST_LAG: Duration = Duration::from_secs(5);

/// Callers wait this long, beyond their deadlines.
pub const CALLER_PATIENCE: Duration = Duration::from_secs(30);

impl FleetWorld {
    /// A site with `n_nodes` instances that hold its halls, under the first configuration.
    pub fn start(seed: u64, n_nodes: usize) -> FleetWorld {
        let runtime = runtime::PacedRuntime::first();
        let workers = plan::configured_workers(&document::document());
        let site = runtime.block_on(site::SiteServer::start(&workers, LIST_LAG));
        let now = runtime.now();
        let mut world = FleetWorld {
            nodes: Vec::new(),
            site: site.expect("a site on loopback"),
            net: net::FakeNet::new(),
            disturbed: BTreeSet::new(),
            ledger: Arc::default(),
            balancer: NodeBalancer::new(seed),
            runtime,
            started: now,
            now,
            n_started: 0,
            seed,
        };
        for n in 0..n_nodes {
            world.start_node(n);
        }
        let accepted = world.propose(0, |_| {});
        world.until("the first configuration is accepted", || accepted.is_finished());
        assert_eq!(world.result(accepted), Ok(1));
        world.run_for(Duration::from_secs(8));
        world
    }

    /// What all clocks show.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now - self.started
    }

    /// Time from the start to a moment.
    pub fn since_start(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started)
    }

    /// Time of day.
    pub fn wall(&self) -> time::WallTime {
        time::WallTime(WALL_START + self.elapsed())
    }

    /// Moves all clocks by one step and lets everybody act.
    pub fn step(&mut self) {
        self.stride(STEP);
    }

    /// Moves all clocks by `step` and lets everybody act.
    pub fn stride(&mut self, step: Duration) {
        self.now += step;
        self.runtime.advance_to(self.now);
        for node in &self.nodes {
            node.advance_to(self.now);
        }
        for _ in 0..TURNS {
            self.runtime.turn();
            for node in &self.nodes {
                node.turn();
            }
        }
        let gone = self.nodes.extract_if(.., |it| it.has_left()).collect::<Vec<_>>();
        for node in gone {
            self.net.crash(&node.address);
            self.enter(|it| it.site.fakes.instances().remove(&node.id));
        }
        self.balancer.set(&self.nodes);
    }

    /// Lets time pass.
    pub fn run_for(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// Lets time pass until `check` holds; panics after a while that nothing needs.
    pub fn until(&mut self, step: &str, mut check: impl FnMut() -> bool) {
        let limit = self.now + Duration::from_secs(120);
        while !check() {
            assert!(self.now < limit, "waited in vain until {step}");
            self.step();
        }
    }

    /// What a finished task came to.
    pub fn result<R>(&self, task: JoinHandle<R>) -> R {
        self.runtime.block_on(task).expect("no task of a run panics or is killed")
    }

    /// Acts on the fakes by the world's clock.
    pub fn enter<R>(&self, act: impl FnOnce(&FleetWorld) -> R) -> R {
        self.runtime.enter(|| act(self))
    }

    /// Starts an instance in place `n`.
    pub fn start_node(&mut self, n: usize) {
        self.n_started += 1;
        let id = format!("node-{n}-{}", self.n_started);
        let data_center = document::HALLS[n % document::HALLS.len()];
        let node = node::FleetNode::start(node::NodeParts {
            id: id.clone(),
            address: address_of(n),
            data_center: data_center.to_owned(),
            fakes: &self.site.fakes,
            net: &self.net,
            now: self.now,
            wall: self.wall(),
            seed: self.seed + self.n_started,
        });
        self.enter(|it| it.site.fakes.register_instance(&id, &node.address, data_center));
        self.nodes.push(node);
        self.balancer.set(&self.nodes);
    }

    /// Kills the instance at `index`: nothing of it runs on, and its connections break.
    pub fn kill(&mut self, index: usize) {
        let node = self.nodes.remove(index);
        self.net.crash(&node.address);
        self.enter(|it| it.site.fakes.instances().remove(&node.id));
        self.disturbed.insert(node.id.clone());
        drop(node);
        self.balancer.set(&self.nodes);
    }

    /// Whether an instance runs in place `n`.
    pub fn is_taken(&self, n: usize) -> bool {
        let address = address_of(n);
        self.nodes.iter().any(|it| it.address == address)
    }

    /// Whether the instance in place `n` takes callers.
    pub fn is_serving(&self, n: usize) -> bool {
        let address = address_of(n);
        self.nodes.iter().any(|it| it.address == address && it.is_serving())
    }

    /// Proposes a change of the newest configuration through the instance at `index`.
    pub fn propose(
        &self,
        index: usize,
        change: impl FnOnce(&mut model::ConfigDocument),
    ) -> JoinHandle<Result<ids::ConfigVersion, String>> {
        let keeper = self.nodes[index].keeper.clone();
        let active = keeper.active();
        let mut document = match active.version {
            0 => document::document(),
            _ => model::ConfigDocument::clone(&active.document),
        };
        change(&mut document);
        let proposal = model::ConfigProposal {
            base: active.version,
            document,
            note: "a change".to_owned(),
            operator: "operator".to_owned(),
            proposal: None,
        };
        self.nodes[index].spawn(async move {
            keeper.propose(proposal).await.map(|it| it.version).map_err(|it| it.to_string())
        })
    }

    /// Starts a caller.
    pub fn call<F>(&self, call: impl FnOnce(CallerDesk) -> F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        let desk = CallerDesk { balancer: self.balancer.clone(), ledger: Arc::clone(&self.ledger) };
        self.runtime.spawn(call(desk))
    }

    /// What callers did.
    pub fn ledger(&self) -> MutexGuard<'_, ledger::CallerLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What each worker holds, for whoever reads a failed run.
    pub fn holdings(&self) -> String {
        let mut holdings = String::new();
        for worker in self.workers() {
            let leases = self.enter(|_| worker.peek());
            let leases = leases.iter().map(|it| {
                let left = it.remaining.0.as_secs();
                format!("{} {:?} {:?} {left}s", it.lease, it.accelerators, it.exit)
            });
            let leases = leases.collect::<Vec<_>>().join(", ");
            holdings += &format!("\n    {}: {leases}", worker.shape().id);
        }
        holdings
    }

    /// Rows that name a job, and who holds which hall, for whoever reads a failed run.
    pub fn traces_of(&self, job: Uuid) -> String {
        let job = job.to_string();
        let rows = self.site.fakes.table().peek("").into_iter();
        let rows = rows.filter(|it| it.key.ends_with(&job)).map(|it| (it.key, it.version));
        let rows = rows.collect::<Vec<_>>();
        let held = self.nodes.iter().map(|it| (&it.id, it.halls.held_halls())).collect::<Vec<_>>();
        format!("rows {rows:?}, held {held:?}")
    }

    /// The workers, by name.
    pub fn workers(&self) -> Vec<fleet::WorkerFake> {
        let mut workers = self.site.fakes.fleet.workers();
        workers.sort_by_key(|(_, it)| it.shape().id);
        workers.into_iter().map(|(_, it)| it).collect()
    }

    /// The upstreams' services.
    pub fn upstreams(&self) -> Vec<upstream::UpstreamFake> {
        self.site.fakes.upstreams.values().cloned().collect()
    }

    /// A key that a caller makes now.
    pub fn key(&self) -> Uuid {
        let wall = self.wall().0;
        let stamp =
            uuid::Timestamp::from_unix(uuid::NoContext, wall.as_secs(), wall.subsec_nanos());
        Uuid::new_v7(stamp)
    }
}

impl NodeBalancer {
    fn new(seed: u64) -> NodeBalancer {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        NodeBalancer { state: Arc::new(Mutex::new(BalancerState { targets: Vec::new(), rng })) }
    }

    /// An instance for the next exchange.
    pub fn choose(&self) -> Option<(ids::InstanceId, SocketAddr)> {
        let mut state = self.lock();
        let n_targets = state.targets.len();
        if n_targets == 0 {
            return None;
        }
        let index = state.rng.random_range(0..n_targets);
        Some(state.targets[index].clone())
    }

    fn set(&self, nodes: &[node::FleetNode]) {
        let serving = nodes.iter().filter(|it| it.is_serving());
        self.lock().targets = serving.map(|it| (it.id.clone(), it.callers)).collect();
    }

    fn lock(&self) -> MutexGuard<'_, BalancerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallerDesk {
    /// Sends one HTTP request to some instance; tells which.
    pub async fn exchange(
        &self,
        request: http::request::Builder,
        body: String,
        noted: impl FnOnce(&ids::InstanceId),
    ) -> caller::CallerAnswer {
        let Some((node, address)) = self.balancer.choose() else {
            return caller::CallerAnswer::NotSent;
        };
        noted(&node);
        let request = request.header(http::header::HOST, "entry");
        let request = request.body(Full::new(Bytes::from(body))).expect("a valid request");
        caller::exchange(address, request, CALLER_PATIENCE).await
    }

    /// What callers did.
    pub fn ledger(&self) -> MutexGuard<'_, ledger::CallerLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn address_of(n: usize) -> ids::PeerAddress {
    format!("peer-{n}")
}
