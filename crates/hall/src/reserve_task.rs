//! Reserves one serving lease.

use std::time::Duration;

use almondpass_ports::worker::WorkerControl;
use almondpass_schema::{ids, model};
use tokio::time::Instant;

use crate::tenure;

/// What to reserve.
#[derive(Clone, Debug)]
pub(crate) struct ReservePlan {
    /// The request's grant.
    pub(crate) grant: ids::GrantId,
    /// Control address of the worker.
    pub(crate) address: ids::PeerAddress,
    /// Idle leases in the way.
    pub(crate) evict: Vec<ids::LeaseId>,
    /// The reservation.
    pub(crate) reserve: model::LeaseReserve,
    /// For each call.
    pub(crate) deadline: Duration,
}

/// What became of it.
#[derive(Clone, Debug)]
pub(crate) struct ReserveReport {
    /// The request's grant.
    pub(crate) grant: ids::GrantId,
    /// The lease.
    pub(crate) lease: ids::LeaseId,
    /// When the reservation that was answered was sent.
    pub(crate) sent_at: Instant,
    /// The answer.
    pub(crate) outcome: ReserveOutcome,
}

/// Answer of a worker to a reservation, after retries.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ReserveOutcome {
    /// The lease stands.
    Granted,
    /// Something else holds what it needs; the lease does not exist.
    Refused {
        /// Leases in the way.
        holders: Vec<ids::LeaseId>,
    },
    /// Nothing was sent; the lease does not exist.
    Unsent,
    /// The lease may exist.
    Ambiguous,
}

/// Releases what is in the way, then reserves.
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

/// Reserves, and asks again where the answer is lost: a worker grants a lease again that it has,
/// so the second answer settles the first.
pub(crate) async fn reserve<W: WorkerControl>(
    workers: &W,
    tenure: &tenure::TenureWatch,
    address: &ids::PeerAddress,
    reserve: &model::LeaseReserve,
    deadline: Duration,
) -> (Instant, ReserveOutcome) {
    let mut unsure = false;
    let mut sent_at = Instant::now();
    for _ in 0..RESERVE_TRIES {
        if !tenure.may_act() {
            break;
        }
        sent_at = Instant::now();
        let call = workers.reserve(address, reserve.clone());
        match tokio::time::timeout(deadline, call).await {
            Ok(Ok(model::LeaseReserved::Granted)) => return (sent_at, ReserveOutcome::Granted),
            Ok(Ok(model::LeaseReserved::Refused { holders, reason })) => {
                tracing::info!(lease = reserve.lease, reason, "a worker refused a reservation");
                return (sent_at, ReserveOutcome::Refused { holders });
            }
            Ok(Err(fault)) if fault.fault.had_no_effect() => {}
            Ok(Err(_)) | Err(_) => unsure = true,
        }
    }
    let outcome = if unsure { ReserveOutcome::Ambiguous } else { ReserveOutcome::Unsent };
    (sent_at, outcome)
}

const RESERVE_TRIES: usize = 2;
