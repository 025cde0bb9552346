//! Runs one case: a site, three instances, work, faults, and a quiet end.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_hall::{request::SchedulerCall, service};
use almondpass_peer::link::PeerLink;
use almondpass_ports::keys;
use almondpass_schema::{ids, model, time};
use almondpass_standin::fault::{Condition, FaultPlan, FaultRates};
use almondpass_standin::net;
use proptest::test_runner::TestCaseError;

use crate::oracle::Oracle;
use crate::step::{Step, Way};
use crate::support::{self, TestBackend, TestInstance, TestSite};

/// How entries find schedulers; without the random pauses of the real one.
struct EntryLink {
    service: service::HallService<TestBackend>,
    link: net::FakeLink,
}

impl EntryLink {
    async fn ask<C: SchedulerCall>(&self, call: C, deadline: Duration) -> Option<C::Reply> {
        tokio::time::timeout(deadline, self.search(call)).await.ok()
    }

    async fn search<C: SchedulerCall>(&self, call: C) -> C::Reply {
        loop {
            let Some(reply) = self.service.ask(call.clone()).await else {
                std::future::pending().await
            };
            let Some(holder) = C::redirect(&reply) else { return reply };
            if let Some(holder) = holder.cloned() {
                match self.link.call(&holder, call.clone(), CALL_DEADLINE).await {
                    Ok(reply) if C::redirect(&reply).is_none() => return reply,
                    Err(fault) if !fault.fault.had_no_effect() => std::future::pending().await,
                    _ => {}
                }
            }
            tokio::time::sleep(SEARCH_PAUSE).await;
        }
    }
}

struct World {
    site: TestSite,
    instances: Vec<TestInstance>,
    n_started: usize,
    oracle: Arc<Mutex<Oracle>>,
    keys: Vec<ids::IdempotencyKey>,
    jobs: Vec<(ids::JobId, bool, u32)>,
    calls: tokio::task::JoinSet<()>,
    dead: BTreeSet<usize>,
}

/// Runs the steps on a paused clock of their own.
pub(crate) fn check(steps: &[Step]) -> Result<(), TestCaseError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let faults = runtime.block_on(run(steps));
    match faults.first() {
        None => Ok(()),
        Some(_) => Err(TestCaseError::fail(faults.join("\n"))),
    }
}

async fn run(steps: &[Step]) -> Vec<String> {
    let site = TestSite::new();
    site.change_config(|it| it.bounds.job_retention = time::TimeSpan::from_secs(1_000_000));
    site.fleet.scripts().set_default(support::task_script(Duration::from_secs(7)));
    let keys = (0..5).map(|_| site.key()).collect();
    let mut world = World {
        site,
        instances: Vec::new(),
        n_started: 0,
        oracle: Arc::default(),
        keys,
        jobs: Vec::new(),
        calls: tokio::task::JoinSet::new(),
        dead: BTreeSet::new(),
    };
    for _ in 0..N_INSTANCES {
        world.start();
    }
    support::advance(Duration::from_secs(3)).await;
    for step in steps {
        world.take(step).await;
    }
    world.settle().await
}

impl World {
    fn start(&mut self) {
        self.n_started += 1;
        let instance = self.site.start(&format!("i{}", self.n_started));
        self.instances.push(instance);
    }

    fn instance(&self, number: usize) -> &TestInstance {
        &self.instances[number % self.instances.len()]
    }

    fn link(&self, number: usize) -> EntryLink {
        let instance = self.instance(number);
        let (service, link) = (instance.service.clone(), self.site.net.link(&instance.address));
        EntryLink { service, link }
    }

    async fn take(&mut self, step: &Step) {
        match step {
            Step::Ask { via } => {
                self.ask(*via, support::request(&self.site, support::REPEATABLE_REQUEST))
            }
            Step::AskKeyed { via, key } => {
                let key = self.keys[key % self.keys.len()];
                self.ask(*via, support::request_with_key(&self.site, key));
            }
            Step::Return { grant, via, outcome } => self.return_grant(*grant, *via, *outcome),
            Step::Submit { via, repeatable, tasks } => {
                let job = self.site.key();
                self.jobs.push((job, *repeatable, *tasks));
                self.submit(*via, self.jobs.len() - 1);
            }
            Step::Resubmit { via, job } if !self.jobs.is_empty() => {
                self.submit(*via, job % self.jobs.len());
            }
            Step::Cancel { via, job } if !self.jobs.is_empty() => {
                let job = self.jobs[job % self.jobs.len()].0;
                let account = support::ACCOUNT.to_owned();
                let cancel = model::JobCancel { job, hall: support::HALL.to_owned(), account };
                let link = self.link(*via);
                self.calls.spawn(async move {
                    let _ = link.ask(cancel, CALL_DEADLINE).await;
                });
            }
            Step::Resubmit { .. } | Step::Cancel { .. } => {}
            Step::Crash { instance } => self.crash(*instance),
            Step::Replace { instance } => self.replace(*instance),
            Step::CutOff { instance, way, condition } => {
                self.way(*instance, *way).set(*condition);
            }
            Step::Faults { instance, seed, rate } => self.sample(*instance, *seed, *rate),
            Step::Service { way, condition } => self.service(*way).set(*condition),
            Step::KillWorker { worker } => {
                let workers = self.site.fleet.workers();
                let worker = worker % workers.len();
                workers[worker].1.crash();
                self.dead.insert(worker);
            }
            Step::ReviveWorkers => self.revive(),
            Step::CutOffWorker { worker, condition } => {
                let workers = self.site.fleet.workers();
                workers[worker % workers.len()].1.faults().set(*condition);
            }
            Step::Heal => self.heal(),
            Step::Pass { span } => self.pass(*span).await,
        }
    }

    /// Lets time pass; beats tell of newer tenures.
    async fn pass(&self, span: Duration) {
        support::advance(span).await;
        let beats = self.instances.iter().flat_map(|it| it.service.summaries());
        let beats = beats.collect::<Vec<_>>();
        if span < Duration::from_secs(3) {
            return;
        }
        for instance in &self.instances {
            instance.service.observe_epochs(&beats);
        }
    }

    fn ask(&mut self, via: usize, request: model::GrantRequest) {
        let (link, oracle) = (self.link(via), Arc::clone(&self.oracle));
        self.calls.spawn(async move {
            let key = request.idempotency;
            let reply = link.ask(request, CALL_DEADLINE).await;
            let mut oracle = oracle.lock().expect("an oracle");
            match (reply, key) {
                (Some(model::GrantReply::Granted { grant }), key) => oracle.granted(grant, key),
                (Some(model::GrantReply::Recorded { outcome, .. }), Some(key)) => {
                    oracle.recorded(key, outcome);
                }
                _ => {}
            }
        });
    }

    fn return_grant(&mut self, grant: usize, via: usize, outcome: model::RequestOutcome) {
        let mut oracle = self.oracle.lock().expect("an oracle");
        let n_grants = oracle.grants.len();
        if n_grants == 0 {
            return;
        }
        let grant = &mut oracle.grants[grant % n_grants];
        // What an entry says once it says for good; it may have to say it again.
        let outcome = *grant.returned.get_or_insert(outcome);
        let returns = support::grant_returns(&grant.slot, outcome);
        drop(oracle);
        let link = self.link(via);
        self.calls.spawn(async move {
            let _ = link.ask(returns, CALL_DEADLINE).await;
        });
    }

    fn submit(&mut self, via: usize, index: usize) {
        let (job, repeatable, tasks) = self.jobs[index];
        let class = if repeatable { support::REPEATABLE_JOB } else { support::SINGLE_RUN_JOB };
        let submit = model::JobSubmit {
            job,
            hall: support::HALL.to_owned(),
            account: support::ACCOUNT.to_owned(),
            submission: support::gang_submission(class, tasks),
        };
        let (link, oracle) = (self.link(via), Arc::clone(&self.oracle));
        oracle.lock().expect("an oracle").submissions.entry(job).or_default().sent += 1;
        self.calls.spawn(async move {
            if let Some(reply) = link.ask(submit, CALL_DEADLINE).await {
                oracle.lock().expect("an oracle").submitted(job, repeatable, &reply);
            }
        });
    }

    fn crash(&mut self, number: usize) {
        let instance = self.instances.remove(number % self.instances.len());
        instance.crash(&self.site);
        self.start();
    }

    fn replace(&mut self, number: usize) {
        let instance = self.instances.remove(number % self.instances.len());
        self.site.change_members(|it| {
            if let Some(entry) = it.instances.get_mut(&instance.id) {
                entry.leaving = true;
            }
        });
        self.calls.spawn(async move { instance.service.shutdown().await });
        self.start();
    }

    fn way(&self, instance: usize, way: Way) -> &FaultPlan {
        let instance = self.instance(instance);
        match way {
            Way::Table => &instance.table_faults,
            Way::Objects => &instance.object_faults,
            Way::Workers => &instance.worker_faults,
        }
    }

    fn service(&self, way: Way) -> &FaultPlan {
        match way {
            Way::Objects => self.site.objects.faults(),
            Way::Table | Way::Workers => self.site.table.faults(),
        }
    }

    fn sample(&self, instance: usize, seed: u64, rate: f64) {
        let rate = rate / 6.0;
        let rates = FaultRates {
            refused: rate,
            unavailable: rate,
            request_lost: rate,
            answer_lost: rate,
            delayed_effect: rate,
            slow: rate,
            max_delay: Duration::from_secs(4),
        };
        for way in [Way::Table, Way::Objects, Way::Workers] {
            self.way(instance, way).inject_at_random(seed, rates);
        }
    }

    fn revive(&mut self) {
        let workers = self.site.fleet.workers();
        for worker in std::mem::take(&mut self.dead) {
            workers[worker].1.restart();
        }
    }

    fn heal(&mut self) {
        self.revive();
        for number in 0..self.instances.len() {
            self.sample(number, 0, 0.0);
            for way in [Way::Table, Way::Objects, Way::Workers] {
                self.way(number, way).set(Condition::Up);
            }
        }
        for plan in [self.site.table.faults(), self.site.objects.faults()] {
            plan.set(Condition::Up);
        }
        for (_, worker) in self.site.fleet.workers() {
            worker.faults().set(Condition::Up);
        }
    }

    /// Heals everything and waits until nothing happens any more; then nothing may be left over.
    async fn settle(mut self) -> Vec<String> {
        self.heal();
        for _ in 0..40 {
            self.pass(Duration::from_secs(10)).await;
        }
        while self.calls.join_next().await.is_some() {}
        let oracle = Arc::clone(&self.oracle);
        let mut oracle = oracle.lock().expect("an oracle");
        let records = self.records();
        let runs = self.site.fleet.runs();
        let once = self.jobs.iter().filter(|it| !it.1).map(|it| it.0).collect();
        oracle.check_runs(&runs, &records, &once);
        for job in oracle.accepted.clone().keys() {
            let state = records.get(job).map(|it| it.state);
            let over = state.is_some_and(|it| {
                !matches!(
                    it,
                    model::JobState::Queued
                        | model::JobState::Starting
                        | model::JobState::Running
                        | model::JobState::Checkpointing
                )
            });
            if !over {
                oracle.faults.push(format!("accepted job {job} is {state:?} after it all"));
            }
        }
        let n_holders = self.instances.iter().filter(|it| it.holds()).count();
        if n_holders != 1 {
            oracle.faults.push(format!("{n_holders} instances hold the hall after it all"));
        }
        let workers = self.site.fleet.workers();
        let leases = workers.iter().flat_map(|(_, it)| it.peek());
        let leases = leases.map(|it| it.lease).collect::<Vec<_>>();
        if !leases.is_empty() {
            oracle.faults.push(format!("leases left over: {leases:?}"));
        }
        if !self.site.table.peek(&keys::hall_jobs(support::HALL)).is_empty() {
            oracle.faults.push("ended jobs are still in the index".to_owned());
        }
        std::mem::take(&mut oracle.faults)
    }

    fn records(&self) -> BTreeMap<ids::JobId, model::JobRecord> {
        let rows =
            self.jobs.iter().filter_map(|(job, _, _)| Some((*job, self.site.job_row(*job)?)));
        rows.collect()
    }
}

const N_INSTANCES: usize = 3;
const SEARCH_PAUSE: Duration = Duration::from_millis(100);
const CALL_DEADLINE: Duration = Duration::from_secs(8);
