//! Starts one gang: reserves all members, then starts all, or else says what to release.

use std::time::Duration;

use almondpass_policy::event;
use almondpass_ports::worker::WorkerControl;
use almondpass_schema::{blob, ids, model};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::actor;
use crate::backend;
use crate::lease;
use crate::reserve_task::{self, ReserveOutcome};
use crate::tenure;

/// A gang to start.
#[derive(Clone, Debug)]
pub(crate) struct GangPlan {
    /// The job.
    pub(crate) job: ids::JobId,
    /// This start of it.
    pub(crate) start: lease::StartNumber,
    /// Its members.
    pub(crate) members: Vec<MemberPlan>,
    /// Service that runs it.
    pub(crate) upstream: ids::UpstreamName,
    /// Arguments of the caller.
    pub(crate) arguments: blob::Blob,
    /// Where to resume.
    pub(crate) checkpoint: Option<ids::CheckpointId>,
    /// For each call.
    pub(crate) deadline: Duration,
}

/// One member of a gang to start.
#[derive(Clone, Debug)]
pub(crate) struct MemberPlan {
    /// Number of the task.
    pub(crate) rank: u32,
    /// The worker.
    pub(crate) worker: ids::WorkerId,
    /// Its control address.
    pub(crate) address: ids::PeerAddress,
    /// Idle leases in the way.
    pub(crate) evict: Vec<ids::LeaseId>,
    /// The reservation.
    pub(crate) reserve: model::LeaseReserve,
}

/// Every member is reserved; asks whether to start.
pub(crate) struct GangReserved {
    /// The job.
    pub(crate) job: ids::JobId,
    /// This start of it.
    pub(crate) start: lease::StartNumber,
    /// When each member's reservation was sent, by rank.
    pub(crate) sent_at: Vec<(u32, Instant)>,
}

/// What became of a start.
pub(crate) struct GangStartReport {
    /// The job.
    pub(crate) job: ids::JobId,
    /// This start of it.
    pub(crate) start: lease::StartNumber,
    /// How it went.
    pub(crate) outcome: GangStartOutcome,
}

/// How a start went.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum GangStartOutcome {
    /// Every member runs.
    Started,
    /// A member could not be reserved. No start was sent to anybody, so nothing ran.
    NotReserved {
        /// The worker in the way.
        worker: ids::WorkerId,
        /// Why.
        fault: event::StartFault,
        /// Leases there that were in the way.
        holders: Vec<ids::LeaseId>,
    },
    /// The scheduler called it off before any start was sent, so nothing ran.
    Withdrawn,
    /// A start was sent and not every member runs: some may have run for a moment.
    NotStarted {
        /// The worker at fault.
        worker: ids::WorkerId,
        /// Why.
        fault: event::StartFault,
    },
}

/// Starts the gang and reports to its scheduler, which releases what is left over.
pub(crate) async fn run<B: backend::HallBackend>(
    workers: B::Workers,
    tenure: tenure::TenureWatch,
    plan: GangPlan,
    reports: xtra::WeakAddress<actor::HallActor<B>>,
) {
    let outcome = start::<B>(&workers, &tenure, &plan, &reports).await;
    let report = GangStartReport { job: plan.job, start: plan.start, outcome };
    let _ = reports.send(report).await;
}

async fn start<B: backend::HallBackend>(
    workers: &B::Workers,
    tenure: &tenure::TenureWatch,
    plan: &GangPlan,
    reports: &xtra::WeakAddress<actor::HallActor<B>>,
) -> GangStartOutcome {
    let sent_at = match reserve_all(workers, tenure, plan).await {
        Ok(sent_at) => sent_at,
        Err(outcome) => return outcome,
    };
    let reserved = GangReserved { job: plan.job, start: plan.start, sent_at };
    // The scheduler answers after it has looked whether the job was cancelled meanwhile and,
    // for work that is not repeatable, after the row says that a start may have been sent.
    let Ok(go_ahead) = reports.send(reserved).await else { return GangStartOutcome::Withdrawn };
    let go_ahead = go_ahead.await.unwrap_or(false);
    // A holder that was paused here may have lost its tenure, and its reservations.
    if !go_ahead || !tenure.may_act() {
        return GangStartOutcome::Withdrawn;
    }
    start_all(workers, plan).await
}

async fn reserve_all<W: WorkerControl>(
    workers: &W,
    tenure: &tenure::TenureWatch,
    plan: &GangPlan,
) -> Result<Vec<(u32, Instant)>, GangStartOutcome> {
    let mut tasks = JoinSet::new();
    for member in plan.members.clone() {
        let workers = workers.clone();
        let tenure = tenure.clone();
        let deadline = plan.deadline;
        tasks.spawn(async move {
            evict(&workers, &member, deadline).await;
            let (sent_at, outcome) = reserve_task::reserve(
                &workers,
                &tenure,
                &member.address,
                &member.reserve,
                deadline,
            )
            .await;
            (member, sent_at, outcome)
        });
    }
    let mut sent = Vec::new();
    let mut failure = None;
    while let Some(Ok((member, sent_at, outcome))) = tasks.join_next().await {
        match outcome {
            ReserveOutcome::Granted => sent.push((member.rank, sent_at)),
            ReserveOutcome::Refused { holders } => {
                let fault = event::StartFault::Refused;
                failure =
                    Some(GangStartOutcome::NotReserved { worker: member.worker, fault, holders });
            }
            ReserveOutcome::Unsent | ReserveOutcome::Ambiguous => {
                let fault = event::StartFault::Unreachable;
                let holders = Vec::new();
                let worker = member.worker;
                failure.get_or_insert(GangStartOutcome::NotReserved { worker, fault, holders });
            }
        }
    }
    match failure {
        Some(_) if !tenure.may_act() => Err(GangStartOutcome::Withdrawn),
        Some(failure) => Err(failure),
        None if sent.len() < plan.members.len() => Err(GangStartOutcome::Withdrawn),
        None => Ok(sent),
    }
}

async fn evict<W: WorkerControl>(workers: &W, member: &MemberPlan, deadline: Duration) {
    if member.evict.is_empty() {
        return;
    }
    let release = model::LeaseRelease { leases: member.evict.clone() };
    let _ = tokio::time::timeout(deadline, workers.release(&member.address, release)).await;
}

async fn start_all<W: WorkerControl>(workers: &W, plan: &GangPlan) -> GangStartOutcome {
    let mut tasks = JoinSet::new();
    for member in &plan.members {
        let workers = workers.clone();
        let deadline = plan.deadline;
        let address = member.address.clone();
        let worker = member.worker.clone();
        let start = model::TaskStart {
            lease: member.reserve.lease.clone(),
            job: plan.job,
            rank: member.rank,
            upstream: plan.upstream.clone(),
            arguments: plan.arguments.clone(),
            checkpoint: plan.checkpoint.clone(),
        };
        tasks.spawn(async move { (worker, start_one(&workers, &address, start, deadline).await) });
    }
    let mut failure = None;
    while let Some(Ok((worker, outcome))) = tasks.join_next().await {
        if let Some(fault) = outcome {
            failure = Some(GangStartOutcome::NotStarted { worker, fault });
        }
    }
    failure.unwrap_or(GangStartOutcome::Started)
}

/// Starts one task; asks again where the answer is lost, for a worker starts nothing twice.
async fn start_one<W: WorkerControl>(
    workers: &W,
    address: &ids::PeerAddress,
    start: model::TaskStart,
    deadline: Duration,
) -> Option<event::StartFault> {
    for _ in 0..START_TRIES {
        match tokio::time::timeout(deadline, workers.start(address, start.clone())).await {
            Ok(Ok(model::TaskStarted::Started)) => return None,
            Ok(Ok(model::TaskStarted::NoLease)) => return Some(event::StartFault::Refused),
            Ok(Ok(model::TaskStarted::Failed { reason })) => {
                tracing::info!(job = %start.job, lease = start.lease, reason, "a task did not start");
                return Some(event::StartFault::Failed);
            }
            Ok(Err(_)) | Err(_) => {}
        }
    }
    Some(event::StartFault::Unreachable)
}

const START_TRIES: usize = 3;
