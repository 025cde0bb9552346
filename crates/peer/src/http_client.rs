//! HTTP/1.1 exchanges over pooled connections. Errors say whether the peer may have acted on the request.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use almondpass_schema::ids;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{self, Instant};

use crate::error;
use crate::meter;
use crate::pool;

/// Timeouts and limits of an [`HttpClient`].
#[derive(Clone, Debug)]
pub struct HttpConfig {
    /// Longest time to establish a connection; the deadline of the exchange applies as well.
    pub connect_timeout: Duration,
    /// A connection that was unused for this long is not reused. Shorter than the header timeout of the
    /// servers; otherwise a call could be written to a connection that the server is closing.
    pub idle_timeout: Duration,
    /// Most idle connections that are kept open for each peer.
    pub max_idle_per_peer: usize,
    /// Largest body of an answer.
    pub max_body_bytes: usize,
    /// Bytes of a connection's read buffer, which has to hold the head of an answer; `None` for a buffer that
    /// grows with what is read.
    pub read_buffer_bytes: Option<usize>,
    /// Label `side` of the byte counters of these connections, such as `workers`.
    pub side: &'static str,
}

impl Default for HttpConfig {
    fn default() -> HttpConfig {
        HttpConfig {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(15),
            max_idle_per_peer: 8,
            max_body_bytes: 8 << 20,
            read_buffer_bytes: None,
            side: "client",
        }
    }
}

/// An answer whose body was read completely.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Any HTTP status; errors of the peer are not errors of the exchange.
    pub status: StatusCode,
    /// The complete body, at most [`HttpConfig::max_body_bytes`] long.
    pub body: Bytes,
}

/// Shortest wait after which a cancelled exchange counts as a sign that the peer is unresponsive.
const MIN_CONCLUSIVE_WAIT: Duration = Duration::from_millis(200);

/// Sends requests over pooled connections; clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pool: pool::ConnectionPool,
    connect_timeout: Duration,
    max_body_bytes: usize,
    read_buffer_bytes: Option<usize>,
    side: &'static str,
}

impl HttpClient {
    /// Creates a client that connects to a peer when it first sends a request to that peer.
    pub fn new(config: HttpConfig) -> HttpClient {
        HttpClient {
            pool: pool::ConnectionPool::new(config.idle_timeout, config.max_idle_per_peer),
            connect_timeout: config.connect_timeout,
            max_body_bytes: config.max_body_bytes,
            read_buffer_bytes: config.read_buffer_bytes,
            side: config.side,
        }
    }

    /// Sends `request` to `peer` and waits at most `deadline` for the whole answer. An answer with an
    /// error status is returned as `Ok`.
    pub async fn exchange(
        &self,
        peer: &ids::PeerAddress,
        mut request: Request<Full<Bytes>>,
        deadline: Duration,
    ) -> Result<HttpReply, error::CallFault> {
        let expires_at = Instant::now() + deadline;
        loop {
            let mut connection = self.connection(peer, expires_at).await?;
            let reused = connection.reused;
            let ready = time::timeout_at(expires_at, connection.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                if reused && expires_at.elapsed().is_zero() {
                    continue;
                }
                return Err(not_sent("one that closed before the call was sent"));
            }
            let sent = connection.sender.try_send_request(request);
            let response = match self.await_answer(peer, expires_at, deadline, sent).await? {
                Ok(response) => response,
                // The peer closed the pooled connection while it was idle. The request was not sent
                // and is tried again on another connection.
                Err(mut error) => match error.take_message() {
                    Some(unsent) if reused => {
                        request = unsent;
                        continue;
                    }
                    Some(_) => return Err(not_sent(error.into_error())),
                    None => return Err(error::CallFault::NoAnswer(error.into_error().to_string())),
                },
            };
            let status = response.status();
            let answer = self.read_body(response);
            let body = self.await_answer(peer, expires_at, deadline, answer).await??;
            self.pool.release(connection);
            return Ok(HttpReply { status, body });
        }
    }

    async fn connection(
        &self,
        peer: &ids::PeerAddress,
        expires_at: Instant,
    ) -> Result<pool::PooledConnection, error::CallFault> {
        if let Some(connection) = self.pool.take_idle(peer) {
            return Ok(connection);
        }
        let limit = expires_at.min(Instant::now() + self.connect_timeout);
        match time::timeout_at(limit, self.connect(peer)).await {
            Ok(sender) => Ok(self.pool.register_in_use(peer, sender?)),
            Err(_) => {
                self.pool.discard_connections(peer);
                Err(not_sent("none in time"))
            }
        }
    }

    async fn connect(&self, peer: &ids::PeerAddress) -> Result<pool::PeerSender, error::CallFault> {
        let address = peer.parse::<SocketAddr>();
        let address = address.map_err(|_| not_sent(format!("the address {peer:?}")))?;
        let stream = TcpStream::connect(address).await.map_err(not_sent)?;
        stream.set_nodelay(true).map_err(not_sent)?;
        let stream = TokioIo::new(meter::MeteredStream::new(stream, self.side));
        let mut builder = http1::Builder::new();
        builder.read_buf_exact_size(self.read_buffer_bytes);
        let (sender, connection) = builder.handshake(stream).await.map_err(not_sent)?;
        // Drives the connection until its sender is dropped or the peer closes it. The sender reports
        // errors of the connection to the call, so the result of this task is ignored.
        tokio::spawn(connection);
        Ok(sender)
    }

    /// Waits for a part of the answer until `expires_at`. The request may have been sent by now, so a
    /// timeout here means that the peer may have acted on the request.
    async fn await_answer<T>(
        &self,
        peer: &ids::PeerAddress,
        expires_at: Instant,
        deadline: Duration,
        answer: impl Future<Output = T>,
    ) -> Result<T, error::CallFault> {
        let mut pending = PendingAnswer::new(&self.pool, peer);
        let answer = time::timeout_at(expires_at, answer).await;
        pending.has_ended = true;
        answer.map_err(|_| {
            self.pool.discard_connections(peer);
            error::CallFault::TimedOut(deadline)
        })
    }

    async fn read_body(&self, response: Response<Incoming>) -> Result<Bytes, error::CallFault> {
        let limited = Limited::new(response.into_body(), self.max_body_bytes);
        let body = limited.collect().await;
        body.map(|it| it.to_bytes()).map_err(|it| error::CallFault::NoAnswer(it.to_string()))
    }
}

/// Guards the wait for an answer. A caller whose own timeout is shorter than the deadline drops the
/// exchange, so the deadline never detects an unresponsive peer. Dropping this guard during the wait
/// discards the peer's connections instead, unless the wait was too short to be conclusive.
struct PendingAnswer<'a> {
    pool: &'a pool::ConnectionPool,
    peer: &'a ids::PeerAddress,
    started_at: Instant,
    has_ended: bool,
}

impl<'a> PendingAnswer<'a> {
    fn new(pool: &'a pool::ConnectionPool, peer: &'a ids::PeerAddress) -> PendingAnswer<'a> {
        PendingAnswer { pool, peer, started_at: Instant::now(), has_ended: false }
    }
}

impl Drop for PendingAnswer<'_> {
    fn drop(&mut self) {
        if !self.has_ended && self.started_at.elapsed() >= MIN_CONCLUSIVE_WAIT {
            self.pool.discard_connections(self.peer);
        }
    }
}

fn not_sent(reason: impl fmt::Display) -> error::CallFault {
    error::CallFault::NotSent(reason.to_string())
}
