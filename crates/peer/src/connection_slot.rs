//! The place of one connection in a table, through which its tasks tell what it is doing.

use std::sync::{Arc, MutexGuard};

use http::Request;

use crate::connection_table::{ConnectionTable, GaveWay, TableLimits};
use crate::table_state::{ConnectionId, ConnectionSignals, Phase, TableState};

/// Least memory that a body of unknown length takes, in bytes. Smaller steps would copy it more often.
const MIN_BODY_STEP: usize = 1 << 10;

/// The place of a connection; the last clone frees it when dropped.
#[derive(Clone, Debug)]
pub struct ConnectionSlot {
    place: Arc<ConnectionPlace>,
}

#[derive(Debug)]
struct ConnectionPlace {
    table: Arc<ConnectionTable>,
    id: ConnectionId,
    signals: Arc<ConnectionSignals>,
}

/// Ends a request when dropped, also after a panic of its handler.
#[derive(Debug)]
pub struct RequestGuard {
    slot: ConnectionSlot,
}

impl ConnectionSlot {
    /// Takes a place in `table`, which has one.
    pub(crate) fn new(table: &Arc<ConnectionTable>) -> ConnectionSlot {
        let (id, signals) = table.lock().insert();
        let place = ConnectionPlace { table: Arc::clone(table), id, signals };
        ConnectionSlot { place: Arc::new(place) }
    }

    /// The slot of a request that came over no connection of a listener; nothing limits it.
    pub fn unlimited() -> ConnectionSlot {
        let limits = TableLimits { max_connections: usize::MAX, max_body_memory: usize::MAX };
        ConnectionSlot::new(&ConnectionTable::new(limits, "none"))
    }

    /// Runs `connection` until it ends. Returns `None` if it had to give way while it waited for a request.
    pub async fn run<F: Future>(&self, connection: F) -> Option<F::Output> {
        tokio::select! {
            output = connection => Some(output),
            () = self.closed() => None,
        }
    }

    /// Begins `request`, and adds the slot to it for [`body_reader::read`](crate::body_reader::read). Returns
    /// `None` if the connection was closed in the meantime; the request must not be looked at then.
    pub fn begin<B>(&self, request: &mut Request<B>) -> Option<RequestGuard> {
        request.extensions_mut().insert(self.clone());
        self.begin_request()
    }

    /// Begins a request. Returns `None` if the connection was closed in the meantime.
    pub fn begin_request(&self) -> Option<RequestGuard> {
        let mut state = self.lock();
        let connection = state.connections.get(&self.place.id)?;
        if connection.phase == Phase::Closed {
            return None;
        }
        state.enter(self.place.id, Phase::Handling);
        drop(state);
        Some(RequestGuard { slot: self.clone() })
    }

    /// Returns once the connection has been closed to give way while it waited for a request.
    pub async fn closed(&self) {
        while self.phase() != Some(Phase::Closed) {
            self.place.signals.closed.notified().await;
        }
    }

    /// Begins to receive the body of the request.
    pub fn begin_body(&self) {
        self.lock().enter(self.place.id, Phase::Receiving);
    }

    /// Returns once the request has given way while its body was arriving.
    pub async fn refused(&self) {
        while self.phase() != Some(Phase::Refused) {
            self.place.signals.refused.notified().await;
        }
    }

    /// Appends `data` to the body, which has at most `max_bytes` in all.
    ///
    /// # Errors
    ///
    /// Fails if the request has given way, or has to: no other body is as large, and the memory is taken.
    pub fn append(&self, data: &[u8], max_bytes: usize) -> Result<(), GaveWay> {
        let (table, id) = (&self.place.table, self.place.id);
        let mut state = self.lock();
        let connection = state.connections.get(&id).ok_or(GaveWay)?;
        let n_needed = connection.body.len() + data.len();
        let mut n_bytes = connection.n_bytes;
        if n_needed > n_bytes {
            n_bytes = n_needed.next_power_of_two().max(MIN_BODY_STEP).min(max_bytes).max(n_needed);
        }
        if !table.make_room(&mut state, id, n_bytes) {
            return Err(GaveWay);
        }
        let connection = state.connections.get_mut(&id).ok_or(GaveWay)?;
        let n_more = n_bytes - connection.body.len();
        connection.body.reserve_exact(n_more);
        connection.body.extend_from_slice(data);
        Ok(())
    }

    /// Takes the body, which is whole. Its memory counts until the request ends.
    ///
    /// # Errors
    ///
    /// Fails if the request has given way.
    pub fn finish_body(&self) -> Result<Vec<u8>, GaveWay> {
        let mut state = self.lock();
        let connection = state.connections.get_mut(&self.place.id).ok_or(GaveWay)?;
        if connection.phase != Phase::Receiving {
            return Err(GaveWay);
        }
        let body = std::mem::take(&mut connection.body);
        state.enter(self.place.id, Phase::Handling);
        Ok(body)
    }

    /// Counts `n_bytes` of memory for the request, which was read whole, in place of its body.
    ///
    /// # Errors
    ///
    /// Fails if that much isn't left beside the requests that are handled. Nothing has changed then.
    pub fn hold(&self, n_bytes: usize) -> Result<(), GaveWay> {
        let is_held = self.place.table.make_room(&mut self.lock(), self.place.id, n_bytes);
        is_held.then_some(()).ok_or(GaveWay)
    }

    fn phase(&self) -> Option<Phase> {
        self.lock().connections.get(&self.place.id).map(|it| it.phase)
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.place.table.lock()
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.slot.lock().end_request(self.slot.place.id);
        self.slot.place.table.changed.notify_one();
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.table.lock().remove(self.id);
        self.table.changed.notify_one();
    }
}
