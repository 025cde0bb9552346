//! The sessions with all workers of a tenure, and what becomes of one that ends other than by itself.

use std::collections::HashMap;
use std::sync::Arc;

use almondpass_ports::boot_clock::BootClock;
use almondpass_schema::ids;
use tokio::sync::mpsc;
use tokio::task::{self, JoinSet};

use crate::leader;
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
        leader: &Arc<leader::LeaderState>,
    ) {
        while let Some(ended) = self.tasks.try_join_next_with_id() {
            match ended {
                Ok((id, ())) => drop(self.workers.remove(&id)),
                Err(error) => self.failed(state, leader, &error),
            }
        }
        for worker in leader.workers_without_sender() {
            self.begin(state, leader, worker);
        }
    }

    /// Looks and orders are one task: where either panics, both are begun anew. Tasks would go on being
    /// started on a worker to which nothing is sent any more.
    fn begin<S: state::PoolAdapters>(
        &mut self,
        state: &Arc<state::PoolState<S>>,
        leader: &Arc<leader::LeaderState>,
        worker: ids::WorkerId,
    ) {
        let (sender, orders) = mpsc::unbounded_channel();
        leader.add_sender(&worker, sender);
        let sending = order_sender::run(Arc::clone(state), Arc::clone(leader), orders);
        let looking = session::run(Arc::clone(state), Arc::clone(leader), worker.clone());
        let begun = self.tasks.spawn(async move {
            tokio::join!(looking, sending);
        });
        self.workers.insert(begun.id(), worker);
    }

    fn failed<S: state::PoolAdapters>(
        &mut self,
        state: &state::PoolState<S>,
        leader: &leader::LeaderState,
        error: &task::JoinError,
    ) {
        let Some(worker) = self.workers.remove(&error.id()) else { return };
        tracing::error!(worker, %error, "session with a worker has failed and is begun again");
        metrics::counter!("almondpass_pool_sessions_failed_total").increment(1);
        // Another one may have begun while this one sent its last orders.
        if !self.workers.values().any(|it| *it == worker) {
            leader.remove_sender(&worker);
        }
        leader.core().session_failed(&worker, state.adapters.clock().now());
    }
}
