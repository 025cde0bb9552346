//! One poll of a worker: releases leases, then renews or lists the others in one call.

use std::time::Duration;

use almondpass_ports::worker::WorkerControl;
use almondpass_schema::{ids, model, time};
use tokio::time::Instant;

/// Parameters of one poll of a worker.
#[derive(Clone, Debug)]
pub(crate) struct PollPlan {
    /// The worker to poll.
    pub(crate) worker: ids::WorkerId,
    /// The worker's control address.
    pub(crate) address: ids::PeerAddress,
    /// Leases to release before the query; no release is sent if empty.
    pub(crate) release: Vec<ids::LeaseId>,
    /// The query for the leases that stay.
    pub(crate) query: PollQuery,
    /// Time limit of each of the two calls.
    pub(crate) deadline: Duration,
}

/// Whether a poll renews or lists leases. Both return the state of leases.
#[derive(Clone, Debug)]
pub(crate) enum PollQuery {
    /// Renew the leases that the scheduler holds.
    Renew {
        /// The held leases.
        leases: Vec<ids::LeaseId>,
        /// How long they are valid from the renewal on.
        term: Duration,
    },
    /// List every lease on the worker, also those that the scheduler doesn't know.
    List,
}

/// Result of one poll.
#[derive(Clone, Debug)]
pub(crate) struct PollReport {
    /// The parameters of the poll.
    pub(crate) plan: PollPlan,
    /// When the query was sent; the new term of renewed leases counts from then on.
    pub(crate) sent_at: Instant,
    /// Whether the worker confirmed the release, or there was none.
    pub(crate) released: bool,
    /// The reply to the query; `None` if it failed or timed out.
    pub(crate) listing: Option<model::LeaseListing>,
}

/// Polls the worker. A failed release doesn't prevent the query.
pub(crate) async fn run<W: WorkerControl>(workers: W, plan: PollPlan) -> PollReport {
    let released = release(&workers, &plan).await;
    let sent_at = Instant::now();
    let listing = async {
        match &plan.query {
            PollQuery::Renew { leases, term } => {
                let term = time::TimeSpan(*term);
                let renew = model::LeaseRenew { leases: leases.clone(), term };
                workers.renew(&plan.address, renew).await
            }
            PollQuery::List => workers.leases(&plan.address).await,
        }
    };
    let listing = match tokio::time::timeout(plan.deadline, listing).await {
        Ok(Ok(listing)) => Some(listing),
        Ok(Err(fault)) => {
            tracing::debug!(worker = plan.worker, %fault, "worker did not answer the poll");
            None
        }
        Err(_) => None,
    };
    PollReport { plan, sent_at, released, listing }
}

async fn release<W: WorkerControl>(workers: &W, plan: &PollPlan) -> bool {
    if plan.release.is_empty() {
        return true;
    }
    let release = model::LeaseRelease { leases: plan.release.clone() };
    let released = workers.release(&plan.address, release);
    matches!(tokio::time::timeout(plan.deadline, released).await, Ok(Ok(_)))
}
