//! Reserves one serving lease for a request, and defines reservations with retries.

use std::time::Duration;

use almondpass_ports::worker::WorkerControl;
use almondpass_schema::{ids, model};
use tokio::time::Instant;

use crate::tenure;

/// Everything that the task needs to reserve a serving lease.
#[derive(Clone, Debug)]
pub(crate) struct ReservePlan {
    /// Grant of the request that the lease is for.
    pub(crate) grant: ids::GrantId,
    /// Control address of the worker.
    pub(crate) address: ids::PeerAddress,
    /// Idle serving leases on the worker to release before the reservation.
    pub(crate) evict: Vec<ids::LeaseId>,
    /// Reservation to send.
    pub(crate) reserve: model::LeaseReserve,
    /// Time limit of each call to the worker.
    pub(crate) deadline: Duration,
}

/// Message to the scheduler: the outcome of a reservation.
#[derive(Clone, Debug)]
pub(crate) struct ReserveReport {
    /// Grant of the request that the lease is for.
    pub(crate) grant: ids::GrantId,
    /// Name of the lease.
    pub(crate) lease: ids::LeaseId,
    /// When the last reservation call was sent, if any was.
    pub(crate) sent_at: Instant,
    /// Answer of the worker, or the reason why there is none.
    pub(crate) outcome: ReserveOutcome,
}

/// Answer of a worker to a reservation, after retries.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ReserveOutcome {
    /// The worker granted the lease.
    Granted,
    /// Other leases hold the resources; the lease does not exist.
    Refused {
        /// Leases on the worker that conflict with the reservation.
        holders: Vec<ids::LeaseId>,
    },
    /// No reservation reached the worker; the lease does not exist.
    Unsent,
    /// A call was sent and its answer was lost; the lease may exist.
    Ambiguous,
}

/// Releases the idle leases that conflict with the reservation, then reserves the lease.
pub(crate) async fn run<W: WorkerControl>(
    workers: W,
    tenure: tenure::TenureWatch,
    plan: ReservePlan,
) -> ReserveReport {
    if !plan.evict.is_empty() {
        let release = model::LeaseRelease { leases: plan.evict };
        let released = workers.release(&plan.address, release);
        let _ = tokio::time::timeout(plan.deadline, released).await;
    }
    let (sent_at, outcome) =
        reserve(&workers, &tenure, &plan.address, &plan.reserve, plan.deadline).await;
    ReserveReport { grant: plan.grant, lease: plan.reserve.lease, sent_at, outcome }
}

/// Reserves a lease, and repeats the call if its answer is lost: a worker that already granted the
/// lease grants it again, so the second answer also decides the first call. Returns when the last
/// call was sent.
pub(crate) async fn reserve<W: WorkerControl>(
    workers: &W,
    tenure: &tenure::TenureWatch,
    address: &ids::PeerAddress,
    reserve: &model::LeaseReserve,
    deadline: Duration,
) -> (Instant, ReserveOutcome) {
    let mut ambiguous = false;
    let mut sent_at = Instant::now();
    for _ in 0..MAX_RESERVE_CALLS {
        if !tenure.may_act() {
            break;
        }
        sent_at = Instant::now();
        let call = workers.reserve(address, reserve.clone());
        match tokio::time::timeout(deadline, call).await {
            Ok(Ok(model::LeaseReserved::Granted)) => return (sent_at, ReserveOutcome::Granted),
            Ok(Ok(model::LeaseReserved::Refused { holders, reason })) => {
                tracing::info!(lease = reserve.lease, reason, "worker refused a reservation");
                return (sent_at, ReserveOutcome::Refused { holders });
            }
            Ok(Err(fault)) if fault.fault.had_no_effect() => {}
            Ok(Err(_)) | Err(_) => ambiguous = true,
        }
    }
    let outcome = if ambiguous { ReserveOutcome::Ambiguous } else { ReserveOutcome::Unsent };
    (sent_at, outcome)
}

const MAX_RESERVE_CALLS: usize = 2;
