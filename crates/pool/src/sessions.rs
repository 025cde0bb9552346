//! The sessions with all workers of a tenure, and how a session that panicked is replaced.

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

/// The sessions of a tenure; dropping this aborts them.
#[derive(Debug, Default)]
pub(crate) struct WorkerSessions {
    tasks: JoinSet<()>,
    workers: HashMap<task::Id, ids::WorkerId>,
}

impl WorkerSessions {
    /// Handles the sessions that have ended and starts one for each worker that has none.
    pub(crate) fn maintain<S: state::PoolAdapters>(
        &mut self,
        state: &Arc<state::PoolState<S>>,
        leader: &Arc<leader::LeaderState>,
    ) {
        while let Some(ended) = self.tasks.try_join_next_with_id() {
            match ended {
                Ok((id, ())) => drop(self.workers.remove(&id)),
                Err(error) => self.replace_failed(state, leader, &error),
            }
        }
        for worker in leader.workers_without_sender() {
            self.start(state, leader, worker);
        }
    }

    /// Polls and orders of a worker run in one task: where either panics, both are restarted. Otherwise tasks
    /// would still be placed on a worker to which nothing is sent any more.
    fn start<S: state::PoolAdapters>(
        &mut self,
        state: &Arc<state::PoolState<S>>,
        leader: &Arc<leader::LeaderState>,
        worker: ids::WorkerId,
    ) {
        let (sender, orders) = mpsc::unbounded_channel();
        leader.add_sender(&worker, sender);
        let sending = order_sender::run(Arc::clone(state), Arc::clone(leader), orders);
        let polling = session::run(Arc::clone(state), Arc::clone(leader), worker.clone());
        let started = self.tasks.spawn(async move {
            tokio::join!(polling, sending);
        });
        self.workers.insert(started.id(), worker);
    }

    fn replace_failed<S: state::PoolAdapters>(
        &mut self,
        state: &state::PoolState<S>,
        leader: &leader::LeaderState,
        error: &task::JoinError,
    ) {
        let Some(worker) = self.workers.remove(&error.id()) else { return };
        tracing::error!(worker, %error, "session with a worker has failed and is begun again");
        metrics::counter!("almondpass_pool_sessions_failed_total").increment(1);
        // Another session may have started while this one sent its last orders.
        if !self.workers.values().any(|it| *it == worker) {
            leader.remove_sender(&worker);
        }
        leader.core().session_failed(&worker, state.adapters.clock().now());
    }
}
