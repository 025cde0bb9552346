//! What a table knows of its connections, in the orders in which they give way.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use tokio::sync::Notify;

use crate::log_limit;

/// Number of a connection.
pub(crate) type ConnectionId = u64;

/// Number of a change; later changes have higher ones.
type ChangeNumber = u64;

/// The connections of a table.
#[derive(Debug, Default)]
pub(crate) struct TableState {
    pub(crate) connections: HashMap<ConnectionId, Connection>,
    n_changes: ChangeNumber,
    /// Connections without a request, by the time since when.
    pub(crate) waiting: BTreeMap<ChangeNumber, ConnectionId>,
    /// Connections whose request isn't whole, by the start of the body.
    pub(crate) receiving: BTreeMap<ChangeNumber, ConnectionId>,
    /// The same by the memory that the body takes, of equal ones that with the latest data first.
    pub(crate) by_memory: BTreeMap<(usize, Reverse<ChangeNumber>), ConnectionId>,
    /// Memory of all requests, in bytes.
    pub(crate) n_bytes: usize,
    /// Connections that were closed to give way and haven't freed their places.
    pub(crate) n_closing: usize,
    pub(crate) log: log_limit::LogLimit,
}

/// A connection of a table.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) phase: Phase,
    /// When the phase began.
    phase_change: ChangeNumber,
    /// When the last data of the body arrived.
    data_change: ChangeNumber,
    /// The body as far as it has arrived, while the connection receives it.
    pub(crate) body: Vec<u8>,
    /// Memory that counts for the request, in bytes.
    pub(crate) n_bytes: usize,
    pub(crate) signals: Arc<ConnectionSignals>,
}

/// Tells the tasks of a connection that it gives way.
#[derive(Debug, Default)]
pub(crate) struct ConnectionSignals {
    pub(crate) closed: Notify,
    pub(crate) refused: Notify,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
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

impl TableState {
    fn next_change(&mut self) -> ChangeNumber {
        self.n_changes += 1;
        self.n_changes
    }

    /// Adds a connection without a request. Returns its id and what tells its tasks that it gives way.
    pub(crate) fn insert(&mut self) -> (ConnectionId, Arc<ConnectionSignals>) {
        let id = self.next_change();
        let signals = Arc::<ConnectionSignals>::default();
        let connection = Connection {
            phase: Phase::Waiting,
            phase_change: id,
            data_change: id,
            body: Vec::new(),
            n_bytes: 0,
            signals: Arc::clone(&signals),
        };
        self.connections.insert(id, connection);
        self.waiting.insert(id, id);
        (id, signals)
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&mut self, id: ConnectionId) {
        let was_closed = self.connections.get(&id).is_some_and(|it| it.phase == Phase::Closed);
        self.n_closing -= usize::from(was_closed);
        self.enter(id, Phase::Closed);
        self.set_memory(id, 0);
        self.connections.remove(&id);
    }

    /// Ends the request of a connection and frees its memory.
    pub(crate) fn end_request(&mut self, id: ConnectionId) {
        self.enter(id, Phase::Waiting);
        self.free_body(id);
    }

    /// Moves a connection into another phase.
    pub(crate) fn enter(&mut self, id: ConnectionId, phase: Phase) {
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

    /// Sets the memory that counts for the request of a connection, in bytes.
    pub(crate) fn set_memory(&mut self, id: ConnectionId, n_bytes: usize) {
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
    pub(crate) fn close(&mut self, id: ConnectionId) {
        self.enter(id, Phase::Closed);
        self.n_closing += 1;
        if let Some(connection) = self.connections.get(&id) {
            connection.signals.closed.notify_one();
        }
    }

    /// Frees the memory of a body that isn't whole, and makes its request be refused.
    pub(crate) fn refuse(&mut self, id: ConnectionId) {
        self.enter(id, Phase::Refused);
        self.free_body(id);
        if let Some(connection) = self.connections.get(&id) {
            connection.signals.refused.notify_one();
        }
    }

    fn free_body(&mut self, id: ConnectionId) {
        self.set_memory(id, 0);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.body = Vec::new();
        }
    }
}
