//! One exchange with a worker: release what is given back, then renew or list in one message.

use std::time::Duration;

use almondpass_ports::worker::WorkerControl;
use almondpass_schema::{ids, model, time};
use tokio::time::Instant;

/// What to tell a worker and ask of it.
#[derive(Clone, Debug)]
pub(crate) struct PollPlan {
    /// The worker.
    pub(crate) worker: ids::WorkerId,
    /// Its control address.
    pub(crate) address: ids::PeerAddress,
    /// Leases to release.
    pub(crate) release: Vec<ids::LeaseId>,
    /// What to ask.
    pub(crate) query: PollQuery,
    /// For each call.
    pub(crate) deadline: Duration,
}

/// What to ask of a worker.
#[derive(Clone, Debug)]
pub(crate) enum PollQuery {
    /// Renew these leases.
    Renew {
        /// The leases.
        leases: Vec<ids::LeaseId>,
        /// Their new term.
        term: Duration,
    },
    /// List every lease.
    List,
}

/// What a worker said.
#[derive(Clone, Debug)]
pub(crate) struct PollReport {
    /// What was asked.
    pub(crate) plan: PollPlan,
    /// When the renewal was sent.
    pub(crate) sent_at: Instant,
    /// Whether the release was confirmed.
    pub(crate) released: bool,
    /// The leases; `None` without an answer.
    pub(crate) listing: Option<model::LeaseListing>,
}

/// Carries the plan out.
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
            tracing::debug!(worker = plan.worker, %fault, "a worker did not answer");
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
