//! The course of the demo: traffic, claims, changes of the configuration, a shutdown and a crash.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use almondpass_schema::{ids, model};
use almondpass_standin::{fault, upstream};
use anyhow::{Context, bail};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::demo::callers;
use crate::demo::clock;
use crate::demo::cluster;
use crate::demo::evidence;
use crate::demo::gangs;
use crate::demo::ledger;
use crate::demo::operators;
use crate::demo::site;
use crate::demo::watcher;

/// Instances at a time.
const INSTANCES: usize = 3;
/// For the first configuration to be in force, and for callers to end.
const STEP_LIMIT: Duration = Duration::from_secs(25);
/// Upstreams that misbehave at a time.
const MISBEHAVING: usize = 4;
/// For how long they do, until it is the turn of others.
const MISBEHAVIOUR_SPAN: Duration = Duration::from_millis(150);
/// How long a claimed guarantee is used.
const CLAIM_RUN: Duration = Duration::from_secs(3);
/// Slow requests before a shutdown.
const SLOW_REQUESTS: u64 = 45;
/// How long a slow request runs, on average.
const SLOW_RUN: Duration = Duration::from_millis(1800);
/// Between the slow requests and the shutdown.
const SLOW_LEAD: Duration = Duration::from_millis(400);
/// For how long the platform's stores are down.
const OUTAGE: Duration = Duration::from_millis(2000);
/// A worker is busy that started something within this.
const BUSY_WITHIN: Duration = Duration::from_secs(5);
/// Tasks of a gang that no rack of the sites could ever hold.
const IMPOSSIBLE_TASKS: u32 = 1000;
/// Between the signal of a shutdown and the start of the instance that replaces it.
const REPLACE_AFTER: Duration = Duration::from_millis(500);

/// What upstreams do wrong in the demo, in turn.
const MISBEHAVIOURS: [upstream::Misbehaviour; 8] = [
    upstream::Misbehaviour::CrossedId,
    upstream::Misbehaviour::Late(Duration::from_millis(400)),
    upstream::Misbehaviour::CutShort,
    upstream::Misbehaviour::Refuse,
    upstream::Misbehaviour::Duplicate,
    upstream::Misbehaviour::Silent,
    upstream::Misbehaviour::ExtraBytes,
    upstream::Misbehaviour::MissingId,
];

/// What the demo is run with.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// The site.
    pub site: site::SiteName,
    /// Seed of the traffic.
    pub seed: u64,
    /// How long callers send new work.
    pub traffic: Duration,
}

/// The run so far.
struct DemoRun {
    options: DemoOptions,
    plan: site::SitePlan,
    cluster: cluster::DemoCluster,
    started: Instant,
    context: callers::CallerContext,
    misbehave: watch::Sender<bool>,
    claims: JoinSet<ids::JobId>,
    claimed: Vec<ids::JobId>,
    others: JoinSet<ids::JobId>,
    slow: JoinSet<()>,
    shutdown: Option<evidence::ShutdownWindow>,
    crashed_at: Option<Instant>,
    departures: Vec<evidence::UpstreamDeparture>,
    accepted: Vec<evidence::AcceptedVersion>,
}

/// Runs the demo and gathers what its checks look at.
pub async fn run(options: DemoOptions) -> anyhow::Result<evidence::DemoEvidence> {
    let plan = site::SitePlan::of(options.site)?;
    let cluster = cluster::DemoCluster::start(&plan.document).await?;
    let (stop, stopped) = watch::channel(false);
    let context = callers::CallerContext {
        balancer: cluster.balancer.clone(),
        ledger: ledger::CallerLedger::default(),
        stop: stopped,
        seed: options.seed,
    };
    let mut background = JoinSet::new();
    background.spawn(cluster.balancer.clone().probe());
    let watcher = watcher::SiteWatcher::default();
    let halls = plan.document.halls.iter().map(|it| it.name.clone()).collect();
    background.spawn(watcher.clone().run(cluster.balancer.clone(), halls));
    let mut run = DemoRun {
        options,
        plan,
        cluster,
        started: Instant::now(),
        context,
        misbehave: watch::Sender::new(true),
        claims: JoinSet::new(),
        claimed: Vec::new(),
        others: JoinSet::new(),
        slow: JoinSet::new(),
        shutdown: None,
        crashed_at: None,
        departures: Vec::new(),
        accepted: Vec::new(),
    };
    run.start_up().await?;
    let mut traffic = run.start_traffic();
    run.course().await?;
    run.say("no new work; waiting for what is under way");
    stop.send_replace(true);
    run.finish(&mut traffic).await?;
    let samples = watcher.samples();
    drop(background);
    run.into_evidence(samples).await
}

impl DemoRun {
    fn say(&self, what: &str) {
        eprintln!("{:6.1} s  {what}", self.started.elapsed().as_secs_f64());
    }

    /// Waits until this part of the traffic's time has passed.
    async fn until(&self, begun: Instant, part: f64) {
        time::sleep_until(begun + self.options.traffic.mul_f64(part)).await;
    }

    async fn start_up(&mut self) -> anyhow::Result<()> {
        let n_workers = self.cluster.platform.fakes.fleet.workers().len();
        self.say(&format!("stand-in platform with {n_workers} workers"));
        for _ in 0..INSTANCES {
            let id = self.cluster.add_instance().await?;
            self.say(&format!("{id} listens"));
        }
        let document = self.plan.document.clone();
        let began = Instant::now();
        while let Err(error) = self.apply(0, "first configuration", &document).await {
            if STEP_LIMIT < began.elapsed() {
                return Err(error).context("first configuration");
            }
            time::sleep(Duration::from_millis(200)).await;
        }
        self.cluster.all_ready().await?;
        self.say("every instance is ready");
        Ok(())
    }

    fn is_repeatable(&self, class: &str) -> bool {
        let classes = &self.plan.document.classes;
        classes.iter().find(|it| it.name == class).is_some_and(|it| it.repeatable)
    }

    fn start_traffic(&self) -> JoinSet<()> {
        let mut traffic = JoinSet::new();
        let mut number = 0;
        for stream in self.plan.requests.clone() {
            number += 1;
            let repeatable = self.is_repeatable(&stream.class);
            traffic.spawn(callers::run(self.context.clone(), stream, repeatable, number));
        }
        for stream in self.plan.gangs.clone() {
            number += 1;
            traffic.spawn(gangs::run(self.context.clone(), stream, number));
        }
        traffic.spawn(misbehave(
            self.cluster.platform.fakes.upstreams.values().cloned().collect(),
            self.misbehave.subscribe(),
            self.context.clone(),
        ));
        traffic
    }

    async fn course(&mut self) -> anyhow::Result<()> {
        let begun = Instant::now();
        self.say("callers send; the large account fills the halls");
        self.submit_impossible();
        self.until(begun, 0.15).await;
        self.race_for_configuration().await?;
        self.until(begun, 0.25).await;
        self.claim(0);
        self.until(begun, 0.35).await;
        self.shut_one_down().await?;
        self.until(begun, 0.46).await;
        self.lose_stores().await;
        self.until(begun, 0.57).await;
        let departed = self.drain_and_leave().await?;
        self.until(begun, 0.62).await;
        self.claim(1);
        self.until(begun, 0.70).await;
        self.crash_one().await?;
        self.until(begun, 0.85).await;
        self.claim(2);
        self.come_back(&departed).await?;
        self.until(begun, 1.0).await;
        Ok(())
    }

    /// Two operators change the same version; one must be told of the other.
    async fn race_for_configuration(&mut self) -> anyhow::Result<()> {
        let base = self.newest();
        let mut document = self.plan.document.clone();
        let mut other = document.clone();
        for (limit, draft) in [(300, &mut document), (301, &mut other)] {
            if let Some(account) = draft.accounts.last_mut() {
                account.limits.queued_jobs = limit;
            }
        }
        let instances = self.cluster.balancer.instances();
        let [first, second, ..] = &instances[..] else { bail!("expected two instances") };
        let (one, two) = tokio::join!(
            operators::propose(first.operators, base, "one operator", &document),
            operators::propose(second.operators, base, "another operator", &other),
        );
        let ends = [(one?, document), (two?, other)];
        let mut accepted = Vec::new();
        let mut conflicts = 0;
        for (end, document) in ends {
            match end {
                operators::DraftEnd::Accepted(version) => accepted.push((version, document)),
                operators::DraftEnd::Conflict(_) => conflicts += 1,
            }
        }
        let Some((version, document)) = accepted.pop().filter(|_| conflicts == 1) else {
            bail!("expected one of two drafts to be accepted and one conflict, found otherwise");
        };
        self.note_accepted(version, &document);
        self.say("two operators raced at the console: one accepted, one told of the conflict");
        Ok(())
    }

    /// A gang that no hall could ever run; it must be refused at once, and must not run.
    fn submit_impossible(&mut self) {
        let Some(stream) = self.plan.gangs.last() else { return };
        let form = gangs::GangForm {
            account: stream.account.clone(),
            class: stream.class.clone(),
            tasks: IMPOSSIBLE_TASKS,
            adjacency: model::Adjacency::Rack,
            guarantee: None,
            run: CLAIM_RUN,
            declared: CLAIM_RUN,
        };
        self.say(&format!("{} asks for {IMPOSSIBLE_TASKS} accelerators of a rack", form.account));
        self.others.spawn(gangs::follow(self.context.clone(), form));
    }

    fn claim(&mut self, number: usize) {
        let Some(claim) = self.plan.claims.get(number) else { return };
        let form = gangs::GangForm {
            account: claim.account.clone(),
            class: claim.class.clone(),
            tasks: claim.accelerators,
            adjacency: claim.adjacency,
            guarantee: Some(claim.guarantee.clone()),
            run: CLAIM_RUN,
            declared: CLAIM_RUN,
        };
        self.say(&format!("{} claims its {}", claim.account, claim.guarantee));
        self.claims.spawn(gangs::follow(self.context.clone(), form));
    }

    async fn shut_one_down(&mut self) -> anyhow::Result<()> {
        // What an upstream cuts must not be taken for a cut of the shutdown.
        self.misbehave.send_replace(false);
        time::sleep(Duration::from_secs(1)).await;
        let Some(instance) = self.cluster.take_oldest() else { bail!("expected an instance") };
        let id = instance.id().clone();
        self.send_slow_requests();
        time::sleep(SLOW_LEAD).await;
        self.say(&format!("{id} is told to end, with slow requests in flight"));
        let told_at = Instant::now();
        instance.ask_to_leave();
        self.cluster.mark_leaving(&id);
        time::sleep(REPLACE_AFTER).await;
        let replacement = self.cluster.add_instance().await?;
        self.say(&format!("{replacement} listens"));
        time::timeout(STEP_LIMIT, instance.left()).await.context("graceful shutdown")??;
        let left_at = Instant::now();
        self.say(&format!("{id} has left after {:.1} s", (left_at - told_at).as_secs_f64()));
        self.cluster.forget(&id);
        self.shutdown = Some(evidence::ShutdownWindow { instance: id, told_at, left_at });
        self.misbehave.send_replace(true);
        Ok(())
    }

    /// Requests that are certain to be in flight when an instance is told to end, and that run
    /// for longer than the instance waits for the balancer.
    fn send_slow_requests(&mut self) {
        let Some(stream) = self.plan.requests.first() else { return };
        let stream = site::RequestStream { run: SLOW_RUN, ..stream.clone() };
        let repeatable = self.is_repeatable(&stream.class);
        for number in 0..SLOW_REQUESTS {
            let context = self.context.clone();
            self.slow.spawn(callers::send_one(context, stream.clone(), repeatable, number));
        }
    }

    /// The platform's table and object store refuse connections for a while.
    async fn lose_stores(&self) {
        let fakes = &self.cluster.platform.fakes;
        let stores = [fakes.table().faults(), fakes.objects().faults()];
        self.say("the platform's table and object store go down");
        stores.iter().for_each(|it| it.set(fault::Condition::Refusing));
        time::sleep(OUTAGE).await;
        stores.iter().for_each(|it| it.set(fault::Condition::Up));
        self.say("both stores are back");
    }

    async fn crash_one(&mut self) -> anyhow::Result<()> {
        let Some(instance) = self.cluster.take_oldest() else { bail!("expected an instance") };
        let id = instance.id().clone();
        self.crashed_at = Some(Instant::now());
        instance.crash();
        self.say(&format!("{id} crashes"));
        self.cluster.forget(&id);
        let replacement = self.cluster.add_instance().await?;
        self.say(&format!("{replacement} listens"));
        Ok(())
    }

    /// An operator drains one worker; the platform says that an upstream leaves another.
    async fn drain_and_leave(&mut self) -> anyhow::Result<Vec<ids::WorkerId>> {
        let busy = self.busiest_workers();
        let [drained, left, ..] = &busy[..] else { bail!("expected two busy workers") };
        let operators = self.operators()?;
        let listing = operators::drain(operators, drained).await.context("drain")?;
        let since = Instant::now();
        self.accepted.push(evidence::AcceptedVersion { version: listing.version, at: since });
        self.mark_upstreams(left, model::InstanceState::Leaving);
        for (worker, cause, with_tasks) in
            [(drained, "drained by an operator", true), (left, "upstream leaving", false)]
        {
            self.departures.push(evidence::UpstreamDeparture {
                worker: worker.clone(),
                cause,
                with_tasks,
                since,
                until: since,
            });
        }
        self.say(&format!("{drained} is drained by an operator; the upstream leaves {left}"));
        Ok(vec![drained.clone(), left.clone()])
    }

    /// Workers whose upstreams started something lately, busiest first: that a worker which would
    /// get nothing anyway gets nothing proves nothing.
    fn busiest_workers(&self) -> Vec<ids::WorkerId> {
        let executions = self.cluster.platform.fakes.executions.executions();
        let recent = executions.iter().filter(|it| it.started.elapsed() < BUSY_WITHIN);
        let mut counts = BTreeMap::<&ids::WorkerId, usize>::new();
        for execution in recent {
            *counts.entry(&execution.worker).or_default() += 1;
        }
        let mut workers = counts.into_iter().collect::<Vec<_>>();
        workers.sort_by_key(|(worker, count)| (Reverse(*count), *worker));
        workers.into_iter().map(|(worker, _)| worker.clone()).collect()
    }

    async fn come_back(&mut self, departed: &[ids::WorkerId]) -> anyhow::Result<()> {
        let [drained, left] = departed else { return Ok(()) };
        for departure in &mut self.departures {
            departure.until = Instant::now();
        }
        self.mark_upstreams(left, model::InstanceState::Live);
        let operators = self.operators()?;
        let listing = operators::undrain(operators, drained).await.context("undrain")?;
        let at = Instant::now();
        self.accepted.push(evidence::AcceptedVersion { version: listing.version, at });
        self.say("both take work again");
        Ok(())
    }

    fn mark_upstreams(&self, worker: &str, state: model::InstanceState) {
        for upstream in &self.plan.document.upstreams {
            let instances = self.cluster.platform.fakes.instances();
            instances.mark_upstream(worker, &upstream.name, state);
        }
    }

    async fn apply(
        &mut self,
        base: ids::ConfigVersion,
        note: &str,
        document: &model::ConfigDocument,
    ) -> anyhow::Result<()> {
        let instances = self.cluster.balancer.instances();
        let Some(instance) = instances.first() else { bail!("expected an instance") };
        match operators::propose(instance.operators, base, note, document).await? {
            operators::DraftEnd::Accepted(version) => {
                self.note_accepted(version, document);
                Ok(())
            }
            operators::DraftEnd::Conflict(conflict) => {
                bail!("expected version {base} to be the newest, found {}", conflict.newest.version)
            }
        }
    }

    fn note_accepted(&mut self, version: ids::ConfigVersion, document: &model::ConfigDocument) {
        self.accepted.push(evidence::AcceptedVersion { version, at: Instant::now() });
        self.plan.document = document.clone();
        self.say(&format!("configuration version {version} is accepted"));
    }

    fn newest(&self) -> ids::ConfigVersion {
        self.accepted.iter().map(|it| it.version).max().unwrap_or_default()
    }

    fn operators(&self) -> anyhow::Result<SocketAddr> {
        let instance = self.cluster.balancer.choose();
        Ok(instance.context("expected a ready instance")?.operators)
    }

    /// Waits for callers and claims; callers cancel the gangs that still run.
    async fn finish(&mut self, traffic: &mut JoinSet<()>) -> anyhow::Result<()> {
        let ended = time::timeout(STEP_LIMIT, async {
            while let Some(job) = self.claims.join_next().await {
                self.claimed.push(job?);
            }
            while let Some(job) = self.others.join_next().await {
                job?;
            }
            for requests in [&mut self.slow, traffic] {
                while let Some(ended) = requests.join_next().await {
                    ended?;
                }
            }
            anyhow::Ok(())
        });
        ended.await.context("expected every caller to end in time")?
    }

    async fn into_evidence(
        self,
        samples: watcher::SeenSamples,
    ) -> anyhow::Result<evidence::DemoEvidence> {
        let fakes = self.cluster.platform.fakes.clone();
        let told = self.context.ledger.snapshot();
        self.cluster.shut_down().await?;
        Ok(evidence::DemoEvidence {
            told,
            executions: fakes.executions.executions(),
            runs: fakes.fleet.runs(),
            claims: self.claimed,
            reclaim_bound: self.plan.document.bounds.reclaim.0,
            shutdown: self.shutdown,
            crashed_at: self.crashed_at,
            scheduler_term: cluster::SCHEDULER_TERM,
            departures: self.departures,
            accepted: self.accepted,
            versions: samples.versions,
            fragmentation: samples.fragmentation,
        })
    }
}

/// Makes a few upstreams at a time misbehave, while that is wanted. A misbehaviour that waited in
/// an upstream's queue for its next request could strike within a shutdown and look like its cut.
async fn misbehave(
    upstreams: Vec<upstream::UpstreamFake>,
    wanted: watch::Receiver<bool>,
    mut context: callers::CallerContext,
) {
    let mut random = clock::TrafficRandom::new(context.seed, 0);
    let mut kinds = MISBEHAVIOURS.iter().cycle().copied();
    let mut goes_on = true;
    while goes_on {
        let kind = kinds.next().filter(|_| *wanted.borrow());
        let chosen = (0..MISBEHAVING).filter_map(|_| upstreams.get(random.below(upstreams.len())));
        let chosen = chosen.collect::<Vec<_>>();
        chosen.iter().for_each(|it| it.always(kind));
        goes_on = context.go_on_after(random.around(MISBEHAVIOUR_SPAN)).await;
        chosen.iter().for_each(|it| it.always(None));
    }
}
