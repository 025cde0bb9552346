//! Starts one gang: reserves leases for all members, then starts all tasks, and reports the outcome.

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

/// Everything that the task needs to start a gang.
#[derive(Clone, Debug)]
pub(crate) struct GangPlan {
    /// Job that the gang runs.
    pub(crate) job: ids::JobId,
    /// Number of this start, part of the lease names.
    pub(crate) start: lease::StartNumber,
    /// One plan for each task of the job.
    pub(crate) members: Vec<MemberPlan>,
    /// Service on the workers that runs the tasks.
    pub(crate) upstream: ids::UpstreamName,
    /// Arguments that the caller submitted, passed on as they are.
    pub(crate) arguments: blob::Blob,
    /// Checkpoint from which the tasks resume; `None` starts from the beginning.
    pub(crate) checkpoint: Option<ids::CheckpointId>,
    /// Time limit of each call to a worker.
    pub(crate) deadline: Duration,
}

/// Where and how one member of a gang is reserved and started.
#[derive(Clone, Debug)]
pub(crate) struct MemberPlan {
    /// Number of the task within the job, from 0.
    pub(crate) rank: u32,
    /// Worker that runs the task.
    pub(crate) worker: ids::WorkerId,
    /// Control address of the worker; empty if unknown.
    pub(crate) address: ids::PeerAddress,
    /// Idle serving leases on the worker to release before the reservation.
    pub(crate) evict: Vec<ids::LeaseId>,
    /// Reservation to send.
    pub(crate) reserve: model::LeaseReserve,
}

/// Message to the scheduler: every member is reserved. The answer says whether to send the starts.
pub(crate) struct GangReserved {
    /// Job that the gang runs.
    pub(crate) job: ids::JobId,
    /// Number of the start whose members are reserved.
    pub(crate) start: lease::StartNumber,
    /// Rank of each member, and when its granted reservation was sent.
    pub(crate) sent_at: Vec<(u32, Instant)>,
}

/// Message to the scheduler: the outcome of a gang start.
pub(crate) struct GangStartReport {
    /// Job that the gang runs.
    pub(crate) job: ids::JobId,
    /// Number of the start that this outcome belongs to.
    pub(crate) start: lease::StartNumber,
    /// Whether the gang runs, and otherwise why not.
    pub(crate) outcome: GangStartOutcome,
}

/// Outcome of a gang start.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum GangStartOutcome {
    /// Every member runs.
    Started,
    /// A member could not be reserved. No start was sent to any worker, so nothing ran.
    NotReserved {
        /// Worker on which the reservation failed.
        worker: ids::WorkerId,
        /// Whether the worker refused the reservation or could not be reached.
        fault: event::StartFault,
        /// Leases on the worker that conflict with the reservation.
        holders: Vec<ids::LeaseId>,
    },
    /// The start was cancelled, or the tenure ended, before any start was sent, so nothing ran.
    Withdrawn,
    /// Starts were sent and not every member runs: some members may have run for a short time.
    NotStarted {
        /// Worker whose task did not start.
        worker: ids::WorkerId,
        /// Why the task did not start.
        fault: event::StartFault,
    },
}

/// Starts the gang and reports the outcome to the scheduler, which releases the leases if the start failed.
pub(crate) async fn run<B: backend::HallBackend>(
    workers: B::Workers,
    tenure: tenure::TenureWatch,
    plan: GangPlan,
    scheduler: xtra::WeakAddress<actor::HallActor<B>>,
) {
    let outcome = reserve_and_start::<B>(&workers, &tenure, &plan, &scheduler).await;
    let report = GangStartReport { job: plan.job, start: plan.start, outcome };
    let _ = scheduler.send(report).await;
}

async fn reserve_and_start<B: backend::HallBackend>(
    workers: &B::Workers,
    tenure: &tenure::TenureWatch,
    plan: &GangPlan,
    scheduler: &xtra::WeakAddress<actor::HallActor<B>>,
) -> GangStartOutcome {
    let sent_at = match reserve_all(workers, tenure, plan).await {
        Ok(sent_at) => sent_at,
        Err(outcome) => return outcome,
    };
    let reserved = GangReserved { job: plan.job, start: plan.start, sent_at };
    // The scheduler answers after it has checked whether the job was cancelled in the meantime and,
    // for a job that is not repeatable, after the job's row says that a start may have been sent.
    let Ok(go_ahead) = scheduler.send(reserved).await else { return GangStartOutcome::Withdrawn };
    let go_ahead = go_ahead.await.unwrap_or(false);
    // If this process was paused while it waited, it may have lost its tenure and the reservations.
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
            release_evicted(&workers, &member, deadline).await;
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
    let mut granted = Vec::new();
    let mut failure = None;
    while let Some(Ok((member, sent_at, outcome))) = tasks.join_next().await {
        match outcome {
            ReserveOutcome::Granted => granted.push((member.rank, sent_at)),
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
        None if granted.len() < plan.members.len() => Err(GangStartOutcome::Withdrawn),
        None => Ok(granted),
    }
}

async fn release_evicted<W: WorkerControl>(workers: &W, member: &MemberPlan, deadline: Duration) {
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
    while let Some(Ok((worker, fault))) = tasks.join_next().await {
        if let Some(fault) = fault {
            failure = Some(GangStartOutcome::NotStarted { worker, fault });
        }
    }
    failure.unwrap_or(GangStartOutcome::Started)
}

/// Starts one task, and returns the fault if it did not start. A call whose answer is lost is
/// repeated: a worker does not start a task twice under one lease.
async fn start_one<W: WorkerControl>(
    workers: &W,
    address: &ids::PeerAddress,
    start: model::TaskStart,
    deadline: Duration,
) -> Option<event::StartFault> {
    for _ in 0..MAX_START_CALLS {
        match tokio::time::timeout(deadline, workers.start(address, start.clone())).await {
            Ok(Ok(model::TaskStarted::Started)) => return None,
            Ok(Ok(model::TaskStarted::NoLease)) => return Some(event::StartFault::Refused),
            Ok(Ok(model::TaskStarted::Failed { reason })) => {
                tracing::info!(job = %start.job, lease = start.lease, reason, "worker did not start a task");
                return Some(event::StartFault::Failed);
            }
            Ok(Err(_)) | Err(_) => {}
        }
    }
    Some(event::StartFault::Unreachable)
}

const MAX_START_CALLS: usize = 3;
