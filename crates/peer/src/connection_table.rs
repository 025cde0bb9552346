//! Places and memory of the connections to a listener, and which connection gives way when they run out.
//!
//! A connection waits for a request, receives the body of one, or has one handled. When all places are taken,
//! the connection that has waited longest is closed, or else the request whose body has been arriving for
//! longest is refused. When the memory for bodies is taken, the largest body that isn't whole gives way, of
//! equal ones that which has stood still for longest. A request that was read whole never gives way: it may
//! have taken effect.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use thiserror::Error;
use tokio::sync::Notify;

use crate::connection_slot;
use crate::table_state::{ConnectionId, Phase, TableState};

/// Limits for the connections to a listener.
#[derive(Clone, Copy, Debug)]
pub struct TableLimits {
    /// Most connections at the same time.
    pub max_connections: usize,
    /// Most memory for the bodies of requests, in bytes. A single body may take more.
    pub max_body_memory: usize,
}

/// The memory for bodies is taken, or the place of the connection is needed; the request has had no effect.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("expected room for the request, found too many others")]
pub struct GaveWay;

/// The connections to a listener.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: TableLimits,
    /// Label `side` of the metrics and log lines.
    side: &'static str,
    state: Mutex<TableState>,
    /// Notified when a place becomes free, or a connection one that can give way.
    pub(crate) changed: Notify,
}

impl ConnectionTable {
    /// Creates a table without connections; `side` is the label of its metrics and log lines.
    pub fn new(limits: TableLimits, side: &'static str) -> Arc<ConnectionTable> {
        let table =
            ConnectionTable { limits, side, state: Mutex::default(), changed: Notify::new() };
        Arc::new(table)
    }

    /// Takes a place for a new connection. If all are taken, a connection gives way; where none can, this
    /// waits for one to end.
    pub async fn admit(self: &Arc<ConnectionTable>) -> connection_slot::ConnectionSlot {
        loop {
            if let Some(slot) = self.admit_if_possible().await {
                return slot;
            }
            self.changed.notified().await;
        }
    }

    /// The same, but returns `None` at once where no connection can give way.
    pub async fn admit_if_possible(
        self: &Arc<ConnectionTable>,
    ) -> Option<connection_slot::ConnectionSlot> {
        loop {
            if let Some(slot) = self.try_admit() {
                return Some(slot);
            }
            if !self.free_place() {
                return None;
            }
            self.changed.notified().await;
        }
    }

    /// Memory that counts for all requests at present, in bytes.
    pub fn n_bytes(&self) -> usize {
        self.lock().n_bytes
    }

    /// Number of requests that memory counts for at present.
    pub fn n_requests_with_memory(&self) -> usize {
        self.lock().connections.values().filter(|it| it.n_bytes > 0).count()
    }

    fn try_admit(self: &Arc<ConnectionTable>) -> Option<connection_slot::ConnectionSlot> {
        // The task that admits connections is the only one that adds any.
        let has_place = self.lock().connections.len() < self.limits.max_connections;
        has_place.then(|| connection_slot::ConnectionSlot::new(self))
    }

    /// Makes a connection give way to a new one, unless one is being closed already. Returns false if none can.
    fn free_place(&self) -> bool {
        let mut state = self.lock();
        if state.n_closing > 0 {
            return true;
        }
        if let Some((_, id)) = state.waiting.first_key_value() {
            let id = *id;
            self.count(&mut state, "almondpass_connections_closed_total", "places");
            state.close(id);
            return true;
        }
        let Some((_, id)) = state.receiving.first_key_value() else { return false };
        let id = *id;
        self.count(&mut state, "almondpass_requests_given_way_total", "places");
        state.refuse(id);
        true
    }

    /// Counts `n_bytes` of memory for the request of a connection. While that doesn't fit, bodies that aren't whole
    /// give way: those that are at least as large, or all if the request is whole. Returns false if none is left,
    /// or if the request has given way itself.
    pub(crate) fn make_room(
        &self,
        state: &mut TableState,
        id: ConnectionId,
        n_bytes: usize,
    ) -> bool {
        loop {
            let Some(connection) = state.connections.get(&id) else { return false };
            if connection.phase == Phase::Refused {
                return false;
            }
            let n_others = state.n_bytes - connection.n_bytes;
            let is_whole = connection.phase == Phase::Handling;
            if n_others == 0 || n_others + n_bytes <= self.limits.max_body_memory {
                state.set_memory(id, n_bytes);
                return true;
            }
            let largest = state.by_memory.iter().next_back();
            let victim = largest
                .filter(|((largest, _), it)| **it != id && (is_whole || *largest >= n_bytes));
            let victim = victim.map_or(id, |(_, it)| *it);
            self.count(state, "almondpass_requests_given_way_total", "memory");
            if !(is_whole && victim == id) {
                state.refuse(victim);
            }
            if victim == id {
                return false;
            }
        }
    }

    /// Counts a connection that gives way; logs it unless such a line was written a moment ago.
    fn count(&self, state: &mut TableState, counter: &'static str, reason: &'static str) {
        let side = self.side;
        metrics::counter!(counter, "side" => side, "reason" => reason).increment(1);
        if let Some(n_connections) = state.log.count() {
            let (n_open, n_bytes) = (state.connections.len(), state.n_bytes);
            tracing::warn!(side, reason, n_connections, n_open, n_bytes, "connections give way");
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
