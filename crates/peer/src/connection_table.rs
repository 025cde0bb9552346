//! Places and memory of the connections to a listener, and which connection gives way when they run out.
//!
//! A connection waits for a request, receives the body of one, or has one handled. When all places are taken,
//! the connection that has waited longest is closed, or else the request whose body has been arriving for
//! longest is refused. When the memory for bodies is taken, the largest body that isn't whole gives way, of
//! equal ones that which has stood still for longest. A request that was read whole never gives way: it may
//! have taken effect.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::Request;
use thiserror::Error;
use tokio::sync::Notify;

use crate::log_limit;

/// Least memory that a body of unknown length takes, in bytes. Smaller steps would copy it more often.
const MIN_BODY_STEP: usize = 1 << 10;

/// Number of a connection.
type ConnectionId = u64;

/// Number of a change; later changes have higher ones.
type ChangeNumber = u64;

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
    changed: Notify,
}

#[derive(Debug, Default)]
struct TableState {
    connections: HashMap<ConnectionId, Connection>,
    n_changes: ChangeNumber,
    /// Connections without a request, by the time since when.
    waiting: BTreeMap<ChangeNumber, ConnectionId>,
    /// Connections whose request isn't whole, by the start of the body.
    receiving: BTreeMap<ChangeNumber, ConnectionId>,
    /// The same by the memory that the body takes, of equal ones that with the latest data first.
    by_memory: BTreeMap<(usize, Reverse<ChangeNumber>), ConnectionId>,
    /// Memory of all requests, in bytes.
    n_bytes: usize,
    /// Connections that were closed to give way and haven't freed their places.
    n_closing: usize,
    log: log_limit::LogLimit,
}

#[derive(Debug)]
struct Connection {
    phase: Phase,
    /// When the phase began.
    phase_change: ChangeNumber,
    /// When the last data of the body arrived.
    data_change: ChangeNumber,
    /// The body as far as it has arrived, while the connection receives it.
    body: Vec<u8>,
    /// Memory that counts for the request, in bytes.
    n_bytes: usize,
    signals: Arc<ConnectionSignals>,
}

/// Tells the tasks of a connection that it gives way.
#[derive(Debug, Default)]
struct ConnectionSignals {
    closed: Notify,
    refused: Notify,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Without a request.
    Waiting,
    /// The body of a request is arriving.
    Receiving,
    /// A request is handled.
    Handling,
    /// Closed while it waited.
    Closed,
    /// Gave way while it received; the request is about to be refused.
    Refused,
}

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

impl ConnectionTable {
    /// Creates a table without connections; `side` is the label of its metrics and log lines.
    pub fn new(limits: TableLimits, side: &'static str) -> Arc<ConnectionTable> {
        let table =
            ConnectionTable { limits, side, state: Mutex::default(), changed: Notify::new() };
        Arc::new(table)
    }

    /// Takes a place for a new connection. If all are taken, a connection gives way; where none can, this
    /// waits for one to end.
    pub async fn admit(self: &Arc<ConnectionTable>) -> ConnectionSlot {
        loop {
            if let Some(slot) = self.admit_if_possible().await {
                return slot;
            }
            self.changed.notified().await;
        }
    }

    /// The same, but returns `None` at once where no connection can give way.
    pub async fn admit_if_possible(self: &Arc<ConnectionTable>) -> Option<ConnectionSlot> {
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

    fn try_admit(self: &Arc<ConnectionTable>) -> Option<ConnectionSlot> {
        // The task that admits connections is the only one that adds any.
        let has_place = self.lock().connections.len() < self.limits.max_connections;
        has_place.then(|| self.insert_connection())
    }

    fn insert_connection(self: &Arc<ConnectionTable>) -> ConnectionSlot {
        let mut state = self.lock();
        let id = state.next_change();
        let signals = Arc::<ConnectionSignals>::default();
        let connection = Connection {
            phase: Phase::Waiting,
            phase_change: id,
            data_change: id,
            body: Vec::new(),
            n_bytes: 0,
            signals: Arc::clone(&signals),
        };
        state.connections.insert(id, connection);
        state.waiting.insert(id, id);
        let place = ConnectionPlace { table: Arc::clone(self), id, signals };
        ConnectionSlot { place: Arc::new(place) }
    }

    /// Number of requests that memory counts for at present.
    pub fn n_requests_with_memory(&self) -> usize {
        self.lock().connections.values().filter(|it| it.n_bytes > 0).count()
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

    /// Sets the memory that counts for the request of a connection. Makes bodies that aren't whole give way
    /// while it doesn't fit: those that are at least as large, or all if the request is whole.
    fn set_memory(&self, state: &mut TableState, id: ConnectionId, n_bytes: usize) -> bool {
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

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableState {
    fn next_change(&mut self) -> ChangeNumber {
        self.n_changes += 1;
        self.n_changes
    }

    /// Moves a connection into another phase.
    fn enter(&mut self, id: ConnectionId, phase: Phase) {
        let change = self.next_change();
        let Some(connection) = self.connections.get_mut(&id) else { return };
        self.waiting.remove(&connection.phase_change);
        self.receiving.remove(&connection.phase_change);
        self.by_memory.remove(&(connection.n_bytes, Reverse(connection.data_change)));
        (connection.phase, connection.phase_change) = (phase, change);
        connection.data_change = change;
        match phase {
            Phase::Waiting => _ = self.waiting.insert(change, id),
            Phase::Receiving => {
                self.receiving.insert(change, id);
                self.by_memory.insert((connection.n_bytes, Reverse(change)), id);
            }
            Phase::Handling | Phase::Closed | Phase::Refused => {}
        }
    }

    fn set_memory(&mut self, id: ConnectionId, n_bytes: usize) {
        let change = self.next_change();
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let former = (connection.n_bytes, Reverse(connection.data_change));
        self.n_bytes = self.n_bytes - connection.n_bytes + n_bytes;
        (connection.n_bytes, connection.data_change) = (n_bytes, change);
        if self.by_memory.remove(&former).is_some() {
            self.by_memory.insert((n_bytes, Reverse(change)), id);
        }
    }

    /// Closes a connection that waits for a request.
    fn close(&mut self, id: ConnectionId) {
        self.enter(id, Phase::Closed);
        self.n_closing += 1;
        if let Some(connection) = self.connections.get(&id) {
            connection.signals.closed.notify_one();
        }
    }

    /// Frees the memory of a body that isn't whole, and makes its request be refused.
    fn refuse(&mut self, id: ConnectionId) {
        self.enter(id, Phase::Refused);
        self.set_memory(id, 0);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.body = Vec::new();
            connection.signals.refused.notify_one();
        }
    }
}

impl ConnectionSlot {
    /// The slot of a request that came over no connection of a listener; nothing limits it.
    pub fn unlimited() -> ConnectionSlot {
        let limits = TableLimits { max_connections: usize::MAX, max_body_memory: usize::MAX };
        ConnectionTable::new(limits, "none").insert_connection()
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
        if !table.set_memory(&mut state, id, n_bytes) {
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
        let is_held = self.place.table.set_memory(&mut self.lock(), self.place.id, n_bytes);
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
        let id = self.slot.place.id;
        let mut state = self.slot.lock();
        state.enter(id, Phase::Waiting);
        state.set_memory(id, 0);
        if let Some(connection) = state.connections.get_mut(&id) {
            connection.body = Vec::new();
        }
        drop(state);
        self.slot.place.table.changed.notify_one();
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        let mut state = self.table.lock();
        let was_closed =
            state.connections.get(&self.id).is_some_and(|it| it.phase == Phase::Closed);
        state.n_closing -= usize::from(was_closed);
        state.enter(self.id, Phase::Closed);
        state.set_memory(self.id, 0);
        state.connections.remove(&self.id);
        drop(state);
        self.table.changed.notify_one();
    }
}
