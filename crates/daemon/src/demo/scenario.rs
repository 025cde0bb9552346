//! A run of the demo from the start of the platform to the evidence.

use std::net::SocketAddr;
use std::time::Duration;

use almondpass_schema::{ids, model};
use almondpass_standin::upstream;
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
pub(crate) const STEP_LIMIT: Duration = Duration::from_secs(25);
/// Upstreams that misbehave at a time.
const MISBEHAVING: usize = 4;
/// For how long they do, until it is the turn of others.
const MISBEHAVIOUR_SPAN: Duration = Duration::from_millis(150);

/// What upstreams do wrong in the demo, in turn.
const MISBEHAVIOURS: [upstream::Misbehaviour; 8] = [
    upstream::Misbehaviour::CrossedId,
    upstream::Misbehaviour::Late(Duration::from_millis(400)),
    upstream::Misbehaviour::CutShort,
    upstream::Misbehaviour::Refuse,
    upstream::Misbehaviour::Duplicate,
    upstream::Misbehaviour::NoAnswer,
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
pub(crate) struct DemoRun {
    pub(crate) options: DemoOptions,
    pub(crate) plan: site::SitePlan,
    pub(crate) cluster: cluster::DemoCluster,
    pub(crate) started: Instant,
    pub(crate) context: callers::CallerContext,
    pub(crate) misbehave: watch::Sender<bool>,
    pub(crate) claims: JoinSet<ids::JobId>,
    pub(crate) claimed: Vec<ids::JobId>,
    pub(crate) others: JoinSet<ids::JobId>,
    pub(crate) slow: JoinSet<()>,
    pub(crate) shutdown: Option<evidence::ShutdownWindow>,
    pub(crate) crashed_at: Option<Instant>,
    pub(crate) departures: Vec<evidence::UpstreamDeparture>,
    pub(crate) accepted: Vec<evidence::AcceptedVersion>,
    _probes: JoinSet<()>,
}

/// Runs the demo and gathers what its checks look at.
pub async fn run(options: DemoOptions) -> anyhow::Result<evidence::DemoEvidence> {
    let (stop, stopped) = watch::channel(false);
    let mut run = DemoRun::start(options, stopped).await?;
    let mut background = JoinSet::new();
    let watcher = watcher::SiteWatcher::default();
    let halls = run.plan.document.halls.iter().map(|it| it.name.clone()).collect();
    background.spawn(watcher.clone().run(run.cluster.balancer.clone(), halls));
    let mut traffic = run.start_traffic();
    run.course().await?;
    run.say("no new work; waiting for what is under way");
    stop.send_replace(true);
    run.finish(&mut traffic).await?;
    let samples = watcher.samples();
    drop(background);
    run.into_evidence(samples).await
}

/// Keeps the site up under calm traffic, without faults, until an interrupt or the end of
/// `options.traffic`.
pub async fn stay(options: DemoOptions) -> anyhow::Result<()> {
    let (stop, stopped) = watch::channel(false);
    let mut run = DemoRun::start(options, stopped).await?;
    run.misbehave.send_replace(false);
    run.plan.gangs.iter_mut().for_each(|it| it.burst = 0);
    let mut traffic = run.start_traffic();
    println!("{}", run.invitation());
    tokio::select! {
        interrupted = tokio::signal::ctrl_c() => interrupted.context("wait for an interrupt")?,
        () = time::sleep(options.traffic) => {}
    }
    run.say("no new work; waiting for what is under way");
    stop.send_replace(true);
    run.finish(&mut traffic).await?;
    run.cluster.shut_down().await
}

impl DemoRun {
    /// Starts the platform and the instances, with the site's configuration in force.
    async fn start(
        options: DemoOptions,
        stopped: watch::Receiver<bool>,
    ) -> anyhow::Result<DemoRun> {
        let plan = site::SitePlan::of(options.site)?;
        let cluster = cluster::DemoCluster::start(&plan.document).await?;
        let context = callers::CallerContext {
            balancer: cluster.balancer.clone(),
            ledger: ledger::CallerLedger::default(),
            stop: stopped,
            seed: options.seed,
        };
        let mut probes = JoinSet::new();
        probes.spawn(cluster.balancer.clone().probe());
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
            _probes: probes,
        };
        run.start_up().await?;
        Ok(run)
    }

    /// How to speak to the site from another shell.
    fn invitation(&self) -> String {
        let mut lines = vec![String::new()];
        for instance in self.cluster.balancer.instances() {
            lines.push(format!(
                "# {}: callers {}, console http://{}/",
                instance.id, instance.callers, instance.operators
            ));
        }
        if let Some(instance) = self.cluster.balancer.instances().first() {
            lines.push(format!("export ALMONDPASS_SERVER={}", instance.callers));
            lines.push(format!("export ALMONDPASS_CONSOLE={}", instance.operators));
        }
        if let Some(account) = self.plan.document.accounts.first() {
            let key = site::SitePlan::account_key(&account.id);
            lines.push(format!("export ALMONDPASS_KEY={key}"));
        }
        lines.push(format!("export ALMONDPASS_OPERATOR={}", operators::NAME));
        lines.push(format!("export ALMONDPASS_PASSWORD={}", operators::PASSWORD));
        lines.join("\n")
    }

    pub(crate) fn say(&self, what: &str) {
        eprintln!("{:6.1} s  {what}", self.started.elapsed().as_secs_f64());
    }

    /// Waits until this part of the traffic's time has passed.
    pub(crate) async fn until(&self, begun: Instant, part: f64) {
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

    pub(crate) fn is_repeatable(&self, class: &str) -> bool {
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

    pub(crate) fn note_accepted(
        &mut self,
        version: ids::ConfigVersion,
        document: &model::ConfigDocument,
    ) {
        self.accepted.push(evidence::AcceptedVersion { version, at: Instant::now() });
        self.plan.document = document.clone();
        self.say(&format!("configuration version {version} is accepted"));
    }

    pub(crate) fn newest(&self) -> ids::ConfigVersion {
        self.accepted.iter().map(|it| it.version).max().unwrap_or_default()
    }

    pub(crate) fn operators(&self) -> anyhow::Result<SocketAddr> {
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
        chosen.iter().for_each(|it| it.set_misbehaviour(kind));
        goes_on = context.go_on_after(random.around(MISBEHAVIOUR_SPAN)).await;
        chosen.iter().for_each(|it| it.set_misbehaviour(None));
    }
}
