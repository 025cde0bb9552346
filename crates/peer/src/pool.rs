//! A pool of open connections to peers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use almondpass_schema::ids;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use tokio::time::Instant;

/// Sends requests over one HTTP/1.1 connection, one at a time.
pub(crate) type PeerSender = http1::SendRequest<Full<Bytes>>;

/// Keeps the idle connections to each peer for reuse; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionPool {
    state: Arc<Mutex<PoolState>>,
    idle_timeout: Duration,
    max_idle_per_peer: usize,
}

/// A connection in use, with the peer and the generation under which it returns to the pool.
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
    n_releases: u64,
}

#[derive(Debug, Default)]
struct PeerConnections {
    idle: Vec<IdleConnection>,
    /// Incremented when the connections are discarded; older ones then no longer return to the pool.
    generation: u64,
}

#[derive(Debug)]
struct IdleConnection {
    sender: PeerSender,
    idle_since: Instant,
}

/// After this many releases, the pool removes closed and expired connections and peers without any.
const SWEEP_INTERVAL: u64 = 1024;

impl ConnectionPool {
    pub(crate) fn new(idle_timeout: Duration, max_idle_per_peer: usize) -> ConnectionPool {
        ConnectionPool { state: Arc::default(), idle_timeout, max_idle_per_peer }
    }

    /// Takes the most recently used idle connection to `peer`, if there is a usable one.
    pub(crate) fn take_idle(&self, peer: &ids::PeerAddress) -> Option<PooledConnection> {
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

    /// Wraps a new connection to `peer`, which is in use until [`release`](Self::release).
    pub(crate) fn register_in_use(
        &self,
        peer: &ids::PeerAddress,
        sender: PeerSender,
    ) -> PooledConnection {
        let mut state = self.lock();
        let generation = state.peers.entry(peer.clone()).or_default().generation;
        PooledConnection { sender, reused: false, peer: peer.clone(), generation }
    }

    /// Returns a connection to the pool after its answer was read completely.
    pub(crate) fn release(&self, connection: PooledConnection) {
        let mut state = self.lock();
        let now = Instant::now();
        state.n_releases += 1;
        if state.n_releases.is_multiple_of(SWEEP_INTERVAL) {
            state.sweep(now, self.idle_timeout);
        }
        let connections = state.peers.entry(connection.peer).or_default();
        let is_current = connections.generation == connection.generation;
        if is_current && connections.idle.len() < self.max_idle_per_peer {
            connections.idle.push(IdleConnection { sender: connection.sender, idle_since: now });
        }
    }

    /// Discards every connection to `peer` after a missed deadline; those in use are not pooled again,
    /// and new calls open new connections. If a peer died without closing its connections, each pooled
    /// connection would otherwise cost one deadline.
    pub(crate) fn discard_connections(&self, peer: &ids::PeerAddress) {
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
        !self.sender.is_closed() && now.duration_since(self.idle_since) < idle_timeout
    }
}
