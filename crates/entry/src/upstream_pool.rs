//! Connections to upstreams, within the share of each worker's connections that grants allow.

use std::collections::HashMap;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use almondpass_schema::ids;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::stream_gate;
use crate::upload_body;

/// Connections that were not used for this long are closed.
const IDLE_LIMIT: Duration = Duration::from_secs(15);
/// Silence after which the kernel asks a peer whether it still exists.
const KEEPALIVE: Duration = Duration::from_secs(10);

type UpstreamIo = TokioIo<stream_gate::GatedStream<TcpStream>>;
type UpstreamDriver = http1::Connection<UpstreamIo, upload_body::UploadBody>;

/// Why there is no connection. No byte of the request went out.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ConnectFault {
    /// The share is in use.
    #[error("expected one of {0} connections free, found all in use")]
    NoPlace(usize),
    /// The upstream does not take connections.
    #[error("expected a connection, found {0}")]
    Failed(String),
    /// The upstream does not answer.
    #[error("expected a connection in time, found none")]
    TimedOut,
}

/// Why there is no answer.
#[derive(Debug, Error)]
#[error("expected an answer, found {detail}")]
pub struct SendFault {
    /// What was found instead.
    pub detail: String,
    /// The request, where nobody touched its body yet.
    pub returned: Option<Box<http::Request<upload_body::UploadBody>>>,
}

/// What a connection is once an answer was read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettledState {
    /// It can take the next request.
    Reusable,
    /// It is of no more use, but the answer was whole.
    Closed,
    /// The upstream sent something beyond the answer, or broke off; the answer cannot be trusted.
    Faulty(String),
}

/// A connection to an upstream, driven by whoever uses it: there is no task of its own, so that
/// dropping it closes the socket at once and no byte follows.
pub struct UpstreamConnection {
    sender: http1::SendRequest<upload_body::UploadBody>,
    driver: Pin<Box<UpstreamDriver>>,
    ended: Option<Result<(), String>>,
    gate: Arc<stream_gate::StreamGate>,
    used_at: Instant,
    place: LanePlace,
}

impl std::fmt::Debug for UpstreamConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("UpstreamConnection").field("address", &self.place.address).finish()
    }
}

impl UpstreamConnection {
    /// Sends `request`, whose first byte goes out by `start_by` or not at all, and awaits the head
    /// of the answer.
    pub async fn send(
        &mut self,
        request: http::Request<upload_body::UploadBody>,
        start_by: Instant,
    ) -> Result<http::Response<Incoming>, SendFault> {
        self.gate.arm(start_by);
        let mut answer = pin!(self.sender.try_send_request(request));
        poll_fn(|cx| {
            self.poll_driver(cx);
            let answer = std::task::ready!(answer.as_mut().poll(cx));
            Poll::Ready(answer.map_err(|mut it| SendFault {
                returned: it.take_message().map(Box::new),
                detail: describe(&it.into_error()),
            }))
        })
        .await
    }

    /// Moves bytes either way.
    pub fn poll_driver(&mut self, cx: &mut Context<'_>) {
        if self.ended.is_some() {
            return;
        }
        if let Poll::Ready(end) = self.driver.as_mut().poll(cx) {
            self.ended = Some(end.map_err(|it| describe(&it)));
        }
    }

    /// What the connection is after the last byte of an answer. An upstream that sends more than
    /// it announced, or the same answer twice, shows here: the connection then ends in an error
    /// instead of becoming ready.
    pub fn settle(&mut self, cx: &mut Context<'_>) -> SettledState {
        self.poll_driver(cx);
        match &self.ended {
            Some(Err(detail)) => SettledState::Faulty(detail.clone()),
            Some(Ok(())) => SettledState::Closed,
            None if self.sender.is_ready() => SettledState::Reusable,
            // The upstream answered before it read the whole body; the rest is not sent.
            None => SettledState::Closed,
        }
    }

    /// Bytes of the current exchange that the socket took.
    pub fn bytes_out(&self) -> u64 {
        self.gate.bytes_out()
    }

    fn alive(&mut self, cx: &mut Context<'_>) -> bool {
        self.poll_driver(cx);
        self.ended.is_none() && self.sender.is_ready()
    }
}

/// Open connections by address.
#[derive(Clone, Debug, Default)]
pub struct UpstreamPool {
    state: Arc<PoolState>,
}

#[derive(Debug, Default)]
struct PoolState {
    lanes: Mutex<HashMap<ids::PeerAddress, Lane>>,
    freed: Notify,
}

#[derive(Debug, Default)]
struct Lane {
    idle: Vec<UpstreamConnection>,
    n_open: usize,
    share: usize,
}

/// A place among the connections to one address; dropping it frees the place.
struct LanePlace {
    state: Arc<PoolState>,
    address: ids::PeerAddress,
}

/// What is asked of the pool.
#[derive(Clone, Debug)]
pub struct ConnectionWish<'a> {
    /// Where the upstream answers.
    pub address: &'a ids::PeerAddress,
    /// Connections that may be open to it.
    pub share: u32,
    /// Connections idle for longer are not used again.
    pub max_idle: Duration,
    /// By when a connection is of use.
    pub until: Instant,
}

impl UpstreamPool {
    /// Takes an idle connection or opens one.
    pub async fn connect(
        &self,
        wish: &ConnectionWish<'_>,
    ) -> Result<UpstreamConnection, ConnectFault> {
        let share = wish.share.max(1) as usize;
        if let Some(connection) = self.reuse(wish).await {
            return Ok(connection);
        }
        loop {
            // Made before the look, so that a place freed after it is not missed.
            let freed = self.state.freed.notified();
            if let Some(connection) = self.reuse(wish).await {
                return Ok(connection);
            }
            if let Some(place) = self.reserve(wish.address, share) {
                return open(place, wish.until).await;
            }
            timeout_at(wish.until, freed).await.map_err(|_| ConnectFault::NoPlace(share))?;
        }
    }

    /// Takes back a connection that can be used again.
    pub fn put_back(&self, mut connection: UpstreamConnection) {
        connection.used_at = Instant::now();
        let mut lanes = self.state.lock();
        let Some(lane) = lanes.get_mut(&connection.place.address) else {
            return;
        };
        // A smaller share leaves more connections open than are allowed; they go as they end.
        if lane.share < lane.n_open {
            drop(lanes);
            return;
        }
        lane.idle.push(connection);
        drop(lanes);
        self.state.freed.notify_one();
    }

    /// Closes connections that idle for long or whose peer went away.
    pub async fn sweep(&self) {
        let mut idle = Vec::new();
        for lane in self.state.lock().values_mut() {
            idle.append(&mut lane.idle);
        }
        for mut connection in idle {
            let fresh = connection.used_at.elapsed() < IDLE_LIMIT;
            let alive = poll_fn(|cx| Poll::Ready(connection.alive(cx))).await;
            if fresh && alive {
                self.restore(connection);
            }
        }
    }

    /// Connections open to `address`.
    pub fn n_open(&self, address: &str) -> usize {
        self.state.lock().get(address).map_or(0, |it| it.n_open)
    }

    fn restore(&self, connection: UpstreamConnection) {
        if let Some(lane) = self.state.lock().get_mut(&connection.place.address) {
            lane.idle.push(connection);
        }
    }

    async fn reuse(&self, wish: &ConnectionWish<'_>) -> Option<UpstreamConnection> {
        loop {
            let mut connection = self.state.lock().get_mut(wish.address)?.idle.pop()?;
            let fresh = connection.used_at.elapsed() <= wish.max_idle;
            if fresh && poll_fn(|cx| Poll::Ready(connection.alive(cx))).await {
                return Some(connection);
            }
        }
    }

    fn reserve(&self, address: &ids::PeerAddress, share: usize) -> Option<LanePlace> {
        let mut lanes = self.state.lock();
        if !lanes.contains_key(address) {
            lanes.insert(address.clone(), Lane::default());
        }
        let lane = lanes.get_mut(address)?;
        lane.share = share;
        if share <= lane.n_open {
            return None;
        }
        lane.n_open += 1;
        Some(LanePlace { state: Arc::clone(&self.state), address: address.clone() })
    }
}

impl PoolState {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ids::PeerAddress, Lane>> {
        self.lanes.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl Drop for LanePlace {
    fn drop(&mut self) {
        let mut lanes = self.state.lock();
        if let Some(lane) = lanes.get_mut(&self.address) {
            lane.n_open -= 1;
            if lane.n_open == 0 {
                lanes.remove(&self.address);
            }
        }
        drop(lanes);
        self.state.freed.notify_one();
    }
}

async fn open(place: LanePlace, until: Instant) -> Result<UpstreamConnection, ConnectFault> {
    let Ok(connected) = timeout_at(until, TcpStream::connect(&place.address)).await else {
        return Err(ConnectFault::TimedOut);
    };
    let stream = connected.map_err(|it| ConnectFault::Failed(it.to_string()))?;
    tune(&stream).map_err(|it| ConnectFault::Failed(it.to_string()))?;
    let gate = Arc::new(stream_gate::StreamGate::default());
    let gated = stream_gate::GatedStream::new(stream, Arc::clone(&gate));
    let (sender, driver) = http1::handshake(TokioIo::new(gated))
        .await
        .map_err(|it| ConnectFault::Failed(describe(&it)))?;
    let used_at = Instant::now();
    Ok(UpstreamConnection { sender, driver: Box::pin(driver), ended: None, gate, used_at, place })
}

/// A worker that loses power closes nothing; without probes its idle connections look alive
/// forever and use up the share.
fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = socket2::TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE / 4);
    socket2::SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
