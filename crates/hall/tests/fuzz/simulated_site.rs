//! Runs one fuzz case on a site with three instances: applies the steps, removes all faults and checks the
//! result.

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
use crate::step::{PlatformService, Step};
use crate::support::{self, TestBackend, TestInstance, TestSite};

/// Finds the scheduler of the hall as an entry does, but without the random pauses of the real hall
/// directory.
struct EntryLink {
    service: service::HallService<TestBackend>,
    link: net::FakeLink,
}

impl EntryLink {
    async fn call<C: SchedulerCall>(&self, call: C, deadline: Duration) -> Option<C::Reply> {
        tokio::time::timeout(deadline, self.call_until_answered(call)).await.ok()
    }

    async fn call_until_answered<C: SchedulerCall>(&self, call: C) -> C::Reply {
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
            tokio::time::sleep(SEARCH_RETRY_DELAY).await;
        }
    }
}

struct SimulatedSite {
    site: TestSite,
    instances: Vec<TestInstance>,
    n_started: usize,
    oracle: Arc<Mutex<Oracle>>,
    keys: Vec<ids::IdempotencyKey>,
    jobs: Vec<(ids::JobId, bool, u32)>,
    calls: tokio::task::JoinSet<()>,
    crashed_workers: BTreeSet<usize>,
}

/// Runs the steps on a runtime with a paused clock. Fails with all violations that the oracle found.
pub(crate) fn check(steps: &[Step]) -> Result<(), TestCaseError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let violations = runtime.block_on(run(steps));
    match violations.first() {
        None => Ok(()),
        Some(_) => Err(TestCaseError::fail(violations.join("\n"))),
    }
}

async fn run(steps: &[Step]) -> Vec<String> {
    let site = TestSite::new();
    site.change_config(|it| it.bounds.job_retention = time::TimeSpan::from_secs(1_000_000));
    site.fleet.scripts().set_default(support::task_script(Duration::from_secs(7)));
    let keys = (0..5).map(|_| site.key()).collect();
    let mut simulation = SimulatedSite {
        site,
        instances: Vec::new(),
        n_started: 0,
        oracle: Arc::default(),
        keys,
        jobs: Vec::new(),
        calls: tokio::task::JoinSet::new(),
        crashed_workers: BTreeSet::new(),
    };
    for _ in 0..N_INSTANCES {
        simulation.start_instance();
    }
    support::advance(Duration::from_secs(3)).await;
    for step in steps {
        simulation.apply_step(step).await;
    }
    simulation.finish_and_check().await
}

impl SimulatedSite {
    fn start_instance(&mut self) {
        self.n_started += 1;
        let instance = self.site.start(&format!("i{}", self.n_started));
        self.instances.push(instance);
    }

    fn instance(&self, instance_index: usize) -> &TestInstance {
        &self.instances[instance_index % self.instances.len()]
    }

    fn entry_link(&self, instance_index: usize) -> EntryLink {
        let instance = self.instance(instance_index);
        let (service, link) = (instance.service.clone(), self.site.net.link(&instance.address));
        EntryLink { service, link }
    }

    async fn apply_step(&mut self, step: &Step) {
        match step {
            Step::RequestSlot { via } => {
                self.request_slot(*via, support::request(&self.site, support::REPEATABLE_REQUEST))
            }
            Step::RequestSlotWithKey { via, key } => {
                let key = self.keys[key % self.keys.len()];
                self.request_slot(*via, support::request_with_key(&self.site, key));
            }
            Step::ReturnGrant { grant, via, outcome } => self.return_grant(*grant, *via, *outcome),
            Step::SubmitJob { via, repeatable, tasks } => {
                let job = self.site.key();
                self.jobs.push((job, *repeatable, *tasks));
                self.submit_job(*via, self.jobs.len() - 1);
            }
            Step::ResubmitJob { via, job } if !self.jobs.is_empty() => {
                self.submit_job(*via, job % self.jobs.len());
            }
            Step::CancelJob { via, job } if !self.jobs.is_empty() => {
                let job = self.jobs[job % self.jobs.len()].0;
                let account = support::ACCOUNT.to_owned();
                let cancel = model::JobCancel { job, hall: support::HALL.to_owned(), account };
                let link = self.entry_link(*via);
                self.calls.spawn(async move {
                    let _ = link.call(cancel, CALL_DEADLINE).await;
                });
            }
            Step::ResubmitJob { .. } | Step::CancelJob { .. } => {}
            Step::CrashInstance { instance } => self.crash_instance(*instance),
            Step::ReplaceInstance { instance } => self.replace_instance(*instance),
            Step::SetLinkCondition { instance, service, condition } => {
                self.link_faults(*instance, *service).set(*condition);
            }
            Step::InjectLinkFaults { instance, seed, rate } => {
                self.inject_link_faults(*instance, *seed, *rate)
            }
            Step::SetServiceCondition { service, condition } => {
                self.service_faults(*service).set(*condition)
            }
            Step::CrashWorker { worker } => {
                let workers = self.site.fleet.workers();
                let worker = worker % workers.len();
                workers[worker].1.crash();
                self.crashed_workers.insert(worker);
            }
            Step::RestartWorkers => self.restart_workers(),
            Step::SetWorkerCondition { worker, condition } => {
                let workers = self.site.fleet.workers();
                workers[worker % workers.len()].1.faults().set(*condition);
            }
            Step::HealAll => self.heal_all(),
            Step::AdvanceTime { span } => self.advance(*span).await,
        }
    }

    /// Advances the clock. After at least 3 s every instance also receives the beats of all, which report
    /// newer tenures.
    async fn advance(&self, span: Duration) {
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

    fn request_slot(&mut self, via: usize, request: model::GrantRequest) {
        let (link, oracle) = (self.entry_link(via), Arc::clone(&self.oracle));
        self.calls.spawn(async move {
            let key = request.idempotency;
            let reply = link.call(request, CALL_DEADLINE).await;
            let mut oracle = oracle.lock().expect("an oracle");
            match (reply, key) {
                (Some(model::GrantReply::Granted { grant }), key) => {
                    oracle.record_grant(grant, key)
                }
                (Some(model::GrantReply::Recorded { outcome, .. }), Some(key)) => {
                    oracle.check_recorded_outcome(key, outcome);
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
        // An entry never changes the outcome that it reports for a grant, but may report the outcome again.
        let outcome = *grant.returned.get_or_insert(outcome);
        let returns = support::grant_returns(&grant.slot, outcome);
        drop(oracle);
        let link = self.entry_link(via);
        self.calls.spawn(async move {
            let _ = link.call(returns, CALL_DEADLINE).await;
        });
    }

    fn submit_job(&mut self, via: usize, index: usize) {
        let (job, repeatable, tasks) = self.jobs[index];
        let class = if repeatable { support::REPEATABLE_JOB } else { support::SINGLE_RUN_JOB };
        let submit = model::JobSubmit {
            job,
            hall: support::HALL.to_owned(),
            account: support::ACCOUNT.to_owned(),
            submission: support::gang_submission(class, tasks),
        };
        let (link, oracle) = (self.entry_link(via), Arc::clone(&self.oracle));
        oracle.lock().expect("an oracle").submissions.entry(job).or_default().sent += 1;
        self.calls.spawn(async move {
            if let Some(reply) = link.call(submit, CALL_DEADLINE).await {
                oracle.lock().expect("an oracle").record_job_reply(job, repeatable, &reply);
            }
        });
    }

    fn crash_instance(&mut self, instance_index: usize) {
        let instance = self.instances.remove(instance_index % self.instances.len());
        instance.crash(&self.site);
        self.start_instance();
    }

    fn replace_instance(&mut self, instance_index: usize) {
        let instance = self.instances.remove(instance_index % self.instances.len());
        self.site.change_members(|it| {
            if let Some(entry) = it.instances.get_mut(&instance.id) {
                entry.leaving = true;
            }
        });
        self.calls.spawn(async move { instance.service.shutdown().await });
        self.start_instance();
    }

    fn link_faults(&self, instance: usize, service: PlatformService) -> &FaultPlan {
        let instance = self.instance(instance);
        match service {
            PlatformService::Table => &instance.table_faults,
            PlatformService::Objects => &instance.object_faults,
            PlatformService::Workers => &instance.worker_faults,
        }
    }

    fn service_faults(&self, service: PlatformService) -> &FaultPlan {
        match service {
            PlatformService::Objects => self.site.objects.faults(),
            PlatformService::Table | PlatformService::Workers => self.site.table.faults(),
        }
    }

    fn inject_link_faults(&self, instance: usize, seed: u64, rate: f64) {
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
        for service in [PlatformService::Table, PlatformService::Objects, PlatformService::Workers]
        {
            self.link_faults(instance, service).inject_at_random(seed, rates);
        }
    }

    fn restart_workers(&mut self) {
        let workers = self.site.fleet.workers();
        for worker in std::mem::take(&mut self.crashed_workers) {
            workers[worker].1.restart();
        }
    }

    fn heal_all(&mut self) {
        self.restart_workers();
        for instance_index in 0..self.instances.len() {
            self.inject_link_faults(instance_index, 0, 0.0);
            for service in
                [PlatformService::Table, PlatformService::Objects, PlatformService::Workers]
            {
                self.link_faults(instance_index, service).set(Condition::Up);
            }
        }
        for plan in [self.site.table.faults(), self.site.objects.faults()] {
            plan.set(Condition::Up);
        }
        for (_, worker) in self.site.fleet.workers() {
            worker.faults().set(Condition::Up);
        }
    }

    /// Removes all faults, waits until all work has ended, and returns the violations. Accepted jobs must
    /// have ended, one instance must hold the hall, and no lease or index row may be left over.
    async fn finish_and_check(mut self) -> Vec<String> {
        self.heal_all();
        for _ in 0..40 {
            self.advance(Duration::from_secs(10)).await;
        }
        while self.calls.join_next().await.is_some() {}
        let oracle = Arc::clone(&self.oracle);
        let mut oracle = oracle.lock().expect("an oracle");
        let records = self.records();
        let runs = self.site.fleet.runs();
        let single_run_jobs = self.jobs.iter().filter(|it| !it.1).map(|it| it.0).collect();
        oracle.check_runs(&runs, &records, &single_run_jobs);
        for job in oracle.accepted.clone().keys() {
            let state = records.get(job).map(|it| it.state);
            let is_ended = state.is_some_and(|it| {
                !matches!(
                    it,
                    model::JobState::Queued
                        | model::JobState::Starting
                        | model::JobState::Running
                        | model::JobState::Checkpointing
                )
            });
            if !is_ended {
                oracle
                    .violations
                    .push(format!("accepted job {job} is {state:?} after all faults were removed"));
            }
        }
        let n_holders = self.instances.iter().filter(|it| it.holds()).count();
        if n_holders != 1 {
            oracle
                .violations
                .push(format!("{n_holders} instances hold the hall after all faults were removed"));
        }
        let workers = self.site.fleet.workers();
        let leases = workers.iter().flat_map(|(_, it)| it.peek());
        let leases = leases.map(|it| it.lease).collect::<Vec<_>>();
        if !leases.is_empty() {
            oracle.violations.push(format!("leases left over: {leases:?}"));
        }
        if !self.site.table.peek(&keys::hall_jobs(support::HALL)).is_empty() {
            oracle.violations.push("ended jobs are still in the index".to_owned());
        }
        std::mem::take(&mut oracle.violations)
    }

    fn records(&self) -> BTreeMap<ids::JobId, model::JobRecord> {
        let rows =
            self.jobs.iter().filter_map(|(job, _, _)| Some((*job, self.site.job_row(*job)?)));
        rows.collect()
    }
}

const N_INSTANCES: usize = 3;
const SEARCH_RETRY_DELAY: Duration = Duration::from_millis(100);
const CALL_DEADLINE: Duration = Duration::from_secs(8);
