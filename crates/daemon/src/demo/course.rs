//! What happens to the site while its callers send.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_schema::{ids, model};
use almondpass_standin::fault;
use anyhow::{Context, bail};
use tokio::time::{self, Instant};

use crate::demo::callers;
use crate::demo::evidence;
use crate::demo::gangs;
use crate::demo::operators;
use crate::demo::scenario;
use crate::demo::site;

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

impl scenario::DemoRun {
    /// Carries the course out.
    pub(crate) async fn course(&mut self) -> anyhow::Result<()> {
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
        time::timeout(scenario::STEP_LIMIT, instance.left())
            .await
            .context("graceful shutdown")??;
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
            instances.set_upstream_state(worker, &upstream.name, state);
        }
    }
}
