//! After the storm: what was accepted comes to its end, and the conditions that need a quiet site.

use std::time::Duration;

use almondpass_schema::model;

use crate::callers;
use crate::document;
use crate::oracle::Condition;
use crate::storm;

/// For lapsed leases, takeovers and quarantines to pass.
const SETTLE: Duration = Duration::from_secs(60);

/// For the jobs of the storm to come to their end; those that fail are tried for long.
const FINISH: Duration = Duration::from_secs(1500);

/// An accepted configuration is in force everywhere within this.
const IN_FORCE: Duration = Duration::from_secs(5);

/// A drained worker gets no new work after this.
const DRAINED: Duration = Duration::from_secs(7);

/// Checks everything that needs a quiet site, then the whole run.
pub(crate) fn run(storm: &mut storm::FleetStorm) {
    storm.stride_for(SETTLE);
    configuration(storm);
    finish_jobs(storm);
    guarantee(storm);
    drain(storm);
    shutdown(storm);
    storm.stride_for(Duration::from_secs(45));
    storm.oracle.close(&storm.world);
}

/// An accepted version is in force on all instances in time.
fn configuration(storm: &mut storm::FleetStorm) {
    let proposed = storm.world.propose(0, |document| {
        let weights = &mut document.objective;
        *weights = model::ObjectiveWeights { completion_time: 0.25, fragmentation: 0.75 };
    });
    let accepted = storm.finish("the proposal is answered", proposed);
    storm.oracle.check(Condition::ConfigurationStays, accepted.is_ok(), || {
        format!("a proposal in the calm was answered by {accepted:?}")
    });
    storm.run_for(IN_FORCE);
    for node in &storm.world.nodes {
        let version = node.keeper.active().version;
        let in_force = accepted.as_ref().is_ok_and(|it| *it <= version);
        storm.oracle.check(Condition::ConfigurationStays, in_force, || {
            format!("{} has version {version} after {IN_FORCE:?}, not {accepted:?}", node.id)
        });
    }
}

/// Every accepted job is known and comes to an end that agrees with what ran.
fn finish_jobs(storm: &mut storm::FleetStorm) {
    let limit = storm.world.now() + FINISH;
    let mut open = storm.world.ledger().accepted().into_iter().cloned().collect::<Vec<_>>();
    while !open.is_empty() {
        let mut waiting = Vec::new();
        let overdue = limit < storm.world.now();
        for sent in open {
            let (account, job) = (sent.account, sent.job);
            let shown = storm.world.call(|desk| callers::show(desk, account, job));
            let shown = storm.finish("a job is shown", shown);
            let body = shown.whole().filter(|it| it.status == 200).map(|it| &it.body);
            let record = body.and_then(|it| serde_json::from_slice::<model::JobRecord>(it).ok());
            let ended = record.as_ref().is_some_and(|it| is_final(it.state));
            if ended || record.is_none() {
                let runs = storm.world.enter(|it| it.site.fakes.fleet.runs());
                storm.oracle.close_job(&sent, record.as_ref(), &runs);
            } else if overdue {
                let runs = storm.world.enter(|it| it.site.fakes.fleet.runs());
                let runs = runs.iter().filter(|it| it.job == job).collect::<Vec<_>>();
                let traces = storm.world.traces_of(job);
                let mut holdings = storm.world.holdings();
                holdings += &format!("\n    {traces}\n    runs {runs:?}");
                holdings += &pictures(storm);
                storm.oracle.check(Condition::GangIsWhole, false, || {
                    format!("{record:?} does not come to an end in the calm:{holdings}")
                });
            } else {
                waiting.push(sent);
            }
        }
        open = waiting;
        storm.stride_for(Duration::from_secs(10));
    }
}

/// What the schedulers of the halls believe, for whoever reads a failed run.
fn pictures(storm: &mut storm::FleetStorm) -> String {
    let mut pictures = String::new();
    for hall in document::HALLS {
        let query = model::HallQuery { hall: hall.to_string() };
        let asked = storm.world.nodes.iter().find(|it| it.halls.held_halls().contains(&query.hall));
        let Some(node) = asked else { continue };
        let halls = node.halls.clone();
        let asked = node.spawn(async move { halls.ask(query).await });
        let answer = storm.finish("a picture is drawn", asked);
        pictures += &format!("\n    picture {answer:?}");
    }
    pictures
}

/// The small account claims its guarantee while the large one fills the halls.
fn guarantee(storm: &mut storm::FleetStorm) {
    for _ in 0..document::HALLS.len() * document::N_WORKERS as usize {
        let plan = job_plan(storm, document::LARGE, Duration::from_secs(300));
        let submitted = storm.world.call(|desk| callers::submit(desk, plan));
        storm.finish("a filling job is submitted", submitted);
    }
    storm.run_for(Duration::from_secs(5));
    let mut plan = job_plan(storm, document::SMALL, Duration::from_secs(10));
    plan.guarantee = Some(document::GUARANTEE);
    let job = plan.job;
    let submitted = storm.world.call(|desk| callers::submit(desk, plan));
    let submitted = storm.finish("the claim is submitted", submitted);
    storm.stride_for(Duration::from_secs(document::RECLAIM_SECONDS));
    let runs = storm.world.enter(|it| it.site.fakes.fleet.runs());
    let run = runs.iter().find(|it| it.job == job);
    let held = run.is_some_and(|it| it.accelerators.len() == document::N_ACCELERATORS as usize);
    storm.oracle.check(Condition::GuaranteeIsReclaimed, held, || {
        format!("the claim {job}, answered by {submitted:?}, ran as {run:?} within the bound")
    });
    let large = storm.world.ledger().accepted().into_iter().cloned().collect::<Vec<_>>();
    for sent in large {
        let cancelled = storm.world.call(|desk| callers::cancel(desk, sent.account, sent.job));
        storm.finish("a filling job is cancelled", cancelled);
    }
    storm.stride_for(Duration::from_secs(15));
}

/// A drained worker gets no new request after a few seconds.
fn drain(storm: &mut storm::FleetStorm) {
    let worker = storm.world.workers()[0].shape().id;
    let since = storm.world.wall();
    let order = model::DrainOrder { since, upstream: None, worker: Some(worker.clone()) };
    let proposed = storm.world.propose(0, |document| document.drains = vec![order]);
    let accepted = storm.finish("the drain is answered", proposed);
    let asked_at = storm.world.now();
    load(storm, Duration::from_secs(15));
    let executions = storm.world.site.fakes.executions.executions();
    let n_after = executions.iter().filter(|it| asked_at + DRAINED < it.started).count();
    let late = executions.iter().filter(|it| it.worker == worker);
    let late = late.filter(|it| asked_at + DRAINED < it.started).collect::<Vec<_>>();
    storm.oracle.check(Condition::LeavingGetsNothing, late.is_empty() && 0 < n_after, || {
        format!("drain {accepted:?}: {n_after} requests ran later, on {worker}: {late:?}")
    });
    let proposed = storm.world.propose(0, |document| document.drains.clear());
    let ended = storm.finish("the end of the drain is answered", proposed);
    storm.oracle.check(Condition::ConfigurationStays, ended.is_ok(), || {
        format!("the end of the drain was answered by {ended:?}")
    });
}

/// An instance that shuts down under load answers everything that it was sent.
fn shutdown(storm: &mut storm::FleetStorm) {
    load(storm, Duration::from_secs(1));
    let first = storm.world.ledger().requests.len();
    load(storm, Duration::from_secs(2));
    storm.world.nodes[0].leave();
    let id = storm.world.nodes[0].id.clone();
    load(storm, Duration::from_secs(6));
    storm.stride_for(Duration::from_secs(20));
    let sent = storm.world.ledger().requests[first..].to_vec();
    for it in sent.iter().filter(|it| it.node == id) {
        storm.oracle.check(Condition::ShutdownCutsNothing, it.answer.whole().is_some(), || {
            format!("{id} shut down and left a caller with {it:?}")
        });
    }
    let left = storm.world.nodes.iter().all(|it| it.id != id);
    storm.oracle.check(Condition::ShutdownCutsNothing, left, || format!("{id} does not leave"));
}

/// Requests for a while.
fn load(storm: &mut storm::FleetStorm, span: Duration) {
    let until = storm.world.now() + span;
    while storm.world.now() < until {
        let plan = storm.request_plan();
        drop(storm.world.call(|desk| callers::request(desk, plan)));
        storm.run_for(Duration::from_millis(100));
    }
}

fn job_plan(storm: &storm::FleetStorm, account: &'static str, run: Duration) -> callers::JobPlan {
    callers::JobPlan {
        account,
        class: document::BATCH,
        job: storm.world.key(),
        tasks: 1,
        accelerators: document::N_ACCELERATORS,
        run,
        fails: false,
        guarantee: None,
        retries: 3,
    }
}

fn is_final(state: model::JobState) -> bool {
    match state {
        model::JobState::Done
        | model::JobState::Failed
        | model::JobState::NotRun
        | model::JobState::Unknown
        | model::JobState::Cancelled => true,
        model::JobState::Queued
        | model::JobState::Starting
        | model::JobState::Running
        | model::JobState::Checkpointing => false,
    }
}
