//! HTTP/1.1 exchanges over pooled connections, told apart by what the peer may have done.

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

/// How connections are made and kept.
#[derive(Clone, Debug)]
pub struct HttpConfig {
    /// For a connection to be established, within the deadline of the exchange.
    pub connect_timeout: Duration,
    /// A connection unused for this long is closed. Below the servers' header timeout, or a call
    /// could be written to a connection that is just being closed.
    pub idle_timeout: Duration,
    /// Idle connections kept for each peer.
    pub max_idle_per_peer: usize,
    /// Largest answer.
    pub max_body_bytes: usize,
    /// Under which side its bytes are counted, such as `workers`.
    pub side: &'static str,
}

impl Default for HttpConfig {
    fn default() -> HttpConfig {
        HttpConfig {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(15),
            max_idle_per_peer: 8,
            max_body_bytes: 8 << 20,
            side: "client",
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// An answer that is given up sooner than this tells nothing about the peer.
const TELLING_SILENCE: Duration = Duration::from_millis(200);

/// Sends requests over pooled connections; clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pool: pool::ConnectionPool,
    connect_timeout: Duration,
    max_body_bytes: usize,
    side: &'static str,
}

impl HttpClient {
    /// A client without connections.
    pub fn new(config: HttpConfig) -> HttpClient {
        HttpClient {
            pool: pool::ConnectionPool::new(config.idle_timeout, config.max_idle_per_peer),
            connect_timeout: config.connect_timeout,
            max_body_bytes: config.max_body_bytes,
            side: config.side,
        }
    }

    /// Sends `request` to `peer` and awaits the whole answer for at most `deadline`, whatever its
    /// status.
    pub async fn exchange(
        &self,
        peer: &ids::PeerAddress,
        mut request: Request<Full<Bytes>>,
        deadline: Duration,
    ) -> Result<HttpReply, error::CallFault> {
        let expires = Instant::now() + deadline;
        loop {
            let mut connection = self.connection(peer, expires).await?;
            let reused = connection.reused;
            let ready = time::timeout_at(expires, connection.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                if reused && expires.elapsed().is_zero() {
                    continue;
                }
                return Err(not_sent("one that closed before the call was sent"));
            }
            let sent = connection.sender.try_send_request(request);
            let response = match self.within(peer, expires, deadline, sent).await? {
                Ok(response) => response,
                // A pooled connection that the peer closed meanwhile: the request comes back
                // unsent, and a fresh connection may carry it.
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
            let answer = self.read(response);
            let body = self.within(peer, expires, deadline, answer).await??;
            self.pool.give_back(connection);
            return Ok(HttpReply { status, body });
        }
    }

    async fn connection(
        &self,
        peer: &ids::PeerAddress,
        expires: Instant,
    ) -> Result<pool::PooledConnection, error::CallFault> {
        if let Some(connection) = self.pool.take(peer) {
            return Ok(connection);
        }
        let limit = expires.min(Instant::now() + self.connect_timeout);
        match time::timeout_at(limit, connect(peer, self.side)).await {
            Ok(sender) => Ok(self.pool.adopt(peer, sender?)),
            Err(_) => {
                self.pool.distrust(peer);
                Err(not_sent("none in time"))
            }
        }
    }

    /// Awaits what follows the first byte sent: from here on the peer may have acted.
    async fn within<T>(
        &self,
        peer: &ids::PeerAddress,
        expires: Instant,
        deadline: Duration,
        answer: impl Future<Output = T>,
    ) -> Result<T, error::CallFault> {
        let mut pending = PendingAnswer::new(&self.pool, peer);
        let answer = time::timeout_at(expires, answer).await;
        pending.is_over = true;
        answer.map_err(|_| {
            self.pool.distrust(peer);
            error::CallFault::TimedOut(deadline)
        })
    }

    async fn read(&self, response: Response<Incoming>) -> Result<Bytes, error::CallFault> {
        let limited = Limited::new(response.into_body(), self.max_body_bytes);
        let body = limited.collect().await;
        body.map(|it| it.to_bytes()).map_err(|it| error::CallFault::NoAnswer(it.to_string()))
    }
}

/// An answer that is awaited. A caller whose own timeout comes first drops the exchange, and the
/// deadline that would have told of a silent peer never passes.
struct PendingAnswer<'a> {
    pool: &'a pool::ConnectionPool,
    peer: &'a ids::PeerAddress,
    since: Instant,
    is_over: bool,
}

impl<'a> PendingAnswer<'a> {
    fn new(pool: &'a pool::ConnectionPool, peer: &'a ids::PeerAddress) -> PendingAnswer<'a> {
        PendingAnswer { pool, peer, since: Instant::now(), is_over: false }
    }
}

impl Drop for PendingAnswer<'_> {
    fn drop(&mut self) {
        if !self.is_over && self.since.elapsed() >= TELLING_SILENCE {
            self.pool.distrust(self.peer);
        }
    }
}

async fn connect(
    peer: &ids::PeerAddress,
    side: &'static str,
) -> Result<pool::PeerSender, error::CallFault> {
    let address = peer.parse::<SocketAddr>();
    let address = address.map_err(|_| not_sent(format!("the address {peer:?}")))?;
    let stream = TcpStream::connect(address).await.map_err(not_sent)?;
    stream.set_nodelay(true).map_err(not_sent)?;
    let stream = TokioIo::new(meter::MeteredStream::new(stream, side));
    let (sender, connection) = http1::handshake(stream).await.map_err(not_sent)?;
    // Drives the connection until its sender is dropped or the peer closes it; what goes wrong
    // reaches the call through its sender.
    tokio::spawn(connection);
    Ok(sender)
}

fn not_sent(reason: impl fmt::Display) -> error::CallFault {
    error::CallFault::NotSent(reason.to_string())
}
