//! Open connections to peers, kept for reuse.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use almondpass_schema::ids;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use tokio::time::Instant;

/// One connection, ready for a request.
pub(crate) type PeerSender = http1::SendRequest<Full<Bytes>>;

/// Idle connections by peer.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionPool {
    state: Arc<Mutex<PoolState>>,
    idle_timeout: Duration,
    max_idle_per_peer: usize,
}

/// A connection in use, with what is needed to give it back.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub(crate) sender: PeerSender,
    pub(crate) reused: bool,
    peer: ids::PeerAddress,
    generation: u64,
}

#[derive(Debug, Default)]
struct PoolState {
    peers: HashMap<ids::PeerAddress, PeerConnections>,
    returns: u64,
}

#[derive(Debug, Default)]
struct PeerConnections {
    idle: Vec<IdleConnection>,
    generation: u64,
}

#[derive(Debug)]
struct IdleConnection {
    sender: PeerSender,
    since: Instant,
}

/// The connections of peers that are gone are swept out every so many returns.
const SWEEP_INTERVAL: u64 = 1024;

impl ConnectionPool {
    pub(crate) fn new(idle_timeout: Duration, max_idle_per_peer: usize) -> ConnectionPool {
        ConnectionPool { state: Arc::default(), idle_timeout, max_idle_per_peer }
    }

    /// Takes the connection to `peer` that was used last, if one is open.
    pub(crate) fn take(&self, peer: &ids::PeerAddress) -> Option<PooledConnection> {
        let mut state = self.lock();
        let connections = state.peers.get_mut(peer)?;
        let now = Instant::now();
        while let Some(idle) = connections.idle.pop() {
            if idle.is_fresh(now, self.idle_timeout) {
                let generation = connections.generation;
                let peer = peer.clone();
                let sender = idle.sender;
                return Some(PooledConnection { sender, reused: true, peer, generation });
            }
        }
        None
    }

    /// Registers a new connection as in use.
    pub(crate) fn adopt(&self, peer: &ids::PeerAddress, sender: PeerSender) -> PooledConnection {
        let mut state = self.lock();
        let generation = state.peers.entry(peer.clone()).or_default().generation;
        PooledConnection { sender, reused: false, peer: peer.clone(), generation }
    }

    /// Gives a connection back after a whole answer.
    pub(crate) fn give_back(&self, connection: PooledConnection) {
        let mut state = self.lock();
        let now = Instant::now();
        state.returns += 1;
        if state.returns.is_multiple_of(SWEEP_INTERVAL) {
            state.sweep(now, self.idle_timeout);
        }
        let connections = state.peers.entry(connection.peer).or_default();
        let current = connections.generation == connection.generation;
        if current && connections.idle.len() < self.max_idle_per_peer {
            connections.idle.push(IdleConnection { sender: connection.sender, since: now });
        }
    }

    /// Forgets every connection to `peer`, those in use included. A peer that died without
    /// closing its connections would otherwise cost one deadline for each that is pooled; one
    /// deadline missed is the sign, and new calls connect anew.
    pub(crate) fn distrust(&self, peer: &ids::PeerAddress) {
        if let Some(connections) = self.lock().peers.get_mut(peer) {
            connections.generation += 1;
            connections.idle.clear();
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PoolState {
    fn sweep(&mut self, now: Instant, idle_timeout: Duration) {
        for connections in self.peers.values_mut() {
            connections.idle.retain(|it| it.is_fresh(now, idle_timeout));
        }
        self.peers.retain(|_, it| !it.idle.is_empty());
    }
}

impl IdleConnection {
    fn is_fresh(&self, now: Instant, idle_timeout: Duration) -> bool {
        !self.sender.is_closed() && now.duration_since(self.since) < idle_timeout
    }
}
