//! The sessions with all workers of a tenure, and what becomes of one that ends other than by itself.

use std::collections::HashMap;
use std::sync::Arc;

use almondpass_ports::boot_clock::BootClock;
use almondpass_schema::ids;
use tokio::sync::mpsc;
use tokio::task::{self, JoinSet};

use crate::lead;
use crate::order_sender;
use crate::session;
use crate::state;

/// The sessions of a tenure; they end with it.
#[derive(Debug, Default)]
pub(crate) struct WorkerSessions {
    tasks: JoinSet<()>,
    workers: HashMap<task::Id, ids::WorkerId>,
}

impl WorkerSessions {
    /// Keeps a session with each worker that the core knows.
    pub(crate) fn keep<S: state::PoolAdapters>(
        &mut self,
        state: &Arc<state::PoolState<S>>,
        lead: &Arc<lead::LeadState>,
    ) {
        while let Some(ended) = self.tasks.try_join_next_with_id() {
            match ended {
                Ok((id, ())) => drop(self.workers.remove(&id)),
                Err(error) => self.failed(state, lead, &error),
            }
        }
        for worker in lead.without_sender() {
            self.begin(state, lead, worker);
        }
    }

    /// Looks and orders are one task: where either panics, both are begun anew. Tasks would go on being
    /// started on a worker to which nothing is sent any more.
    fn begin<S: state::PoolAdapters>(
        &mut self,
        state: &Arc<state::PoolState<S>>,
        lead: &Arc<lead::LeadState>,
        worker: ids::WorkerId,
    ) {
        let (sender, orders) = mpsc::unbounded_channel();
        lead.add_sender(&worker, sender);
        let sending = order_sender::run(Arc::clone(state), Arc::clone(lead), orders);
        let looking = session::run(Arc::clone(state), Arc::clone(lead), worker.clone());
        let begun = self.tasks.spawn(async move {
            tokio::join!(looking, sending);
        });
        self.workers.insert(begun.id(), worker);
    }

    fn failed<S: state::PoolAdapters>(
        &mut self,
        state: &state::PoolState<S>,
        lead: &lead::LeadState,
        error: &task::JoinError,
    ) {
        let Some(worker) = self.workers.remove(&error.id()) else { return };
        tracing::error!(worker, %error, "session with a worker has failed and is begun again");
        metrics::counter!("almondpass_pool_sessions_failed_total").increment(1);
        // Another one may have begun while this one sent its last orders.
        if !self.workers.values().any(|it| *it == worker) {
            lead.drop_sender(&worker);
        }
        lead.core().session_failed(&worker, state.adapters.clock().now());
    }
}
