//! The HTTP client that carries calls to peers and to the platform's services.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use almondpass_schema::ids;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{self, Instant};

use crate::call;
use crate::codec;
use crate::error;
use crate::key;
use crate::link;
use crate::meter;
use crate::pool;
use crate::wire;

/// How a client behaves.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Sent with every call; absent towards the platform, which must not learn it.
    pub cluster_key: Option<key::ClusterKey>,
    /// For a connection to be established, within the call's deadline.
    pub connect_timeout: Duration,
    /// A connection unused for this long is closed. Below the servers' header timeout, or a call
    /// could be written to a connection that is just being closed.
    pub idle_timeout: Duration,
    /// Idle connections kept for each peer.
    pub idle_per_peer: usize,
    /// Largest answer.
    pub max_body_bytes: usize,
    /// Under which side its bytes are counted, such as `workers`.
    pub side: &'static str,
}

/// Sends calls over pooled connections; clones share the pool.
#[derive(Clone, Debug)]
pub struct PeerClient {
    pool: pool::ConnectionPool,
    key: Option<HeaderValue>,
    connect_timeout: Duration,
    max_body_bytes: usize,
    side: &'static str,
}

/// Longest refusal that an error quotes, in bytes.
const MAX_DETAIL_BYTES: usize = 512;

impl Default for ClientConfig {
    fn default() -> ClientConfig {
        ClientConfig {
            cluster_key: None,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(15),
            idle_per_peer: 8,
            max_body_bytes: 8 << 20,
            side: "client",
        }
    }
}

impl PeerClient {
    /// A client without connections. A key that no HTTP header can hold is an error.
    pub fn new(config: ClientConfig) -> Result<PeerClient, header::InvalidHeaderValue> {
        let key = config.cluster_key.as_ref().map(|it| HeaderValue::from_bytes(it.as_bytes()));
        let mut key = key.transpose()?;
        if let Some(key) = &mut key {
            key.set_sensitive(true);
        }
        Ok(PeerClient {
            pool: pool::ConnectionPool::new(config.idle_timeout, config.idle_per_peer),
            key,
            connect_timeout: config.connect_timeout,
            max_body_bytes: config.max_body_bytes,
            side: config.side,
        })
    }

    async fn exchange<C: call::PeerCall>(
        &self,
        peer: &ids::PeerAddress,
        call: &C,
        deadline: Duration,
    ) -> Result<C::Reply, error::CallFault> {
        let expires = Instant::now() + deadline;
        let body = codec::encode(call).map_err(not_sent)?;
        let mut request = self.request(peer, C::PATH, body).map_err(not_sent)?;
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
            let answer = self.read(response);
            let reply = self.within(peer, expires, deadline, answer).await??;
            self.pool.give_back(connection);
            return codec::decode(&reply).map_err(malformed);
        }
    }

    fn request(
        &self,
        peer: &ids::PeerAddress,
        path: &'static str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let request = Request::post(path)
            .header(header::HOST, peer)
            .header(header::CONTENT_TYPE, wire::MESSAGE_PACK)
            .header(wire::VERSION, wire::MESSAGE_VERSION);
        let request = match &self.key {
            Some(key) => request.header(wire::CLUSTER_KEY, key),
            None => request,
        };
        request.body(Full::new(body))
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
        let answer = time::timeout_at(expires, answer).await;
        answer.map_err(|_| {
            self.pool.distrust(peer);
            error::CallFault::TimedOut(deadline)
        })
    }

    async fn read(&self, response: Response<Incoming>) -> Result<Bytes, error::CallFault> {
        let status = response.status();
        let limited = Limited::new(response.into_body(), self.max_body_bytes);
        let body = limited.collect().await;
        if status == StatusCode::OK {
            return body.map(|it| it.to_bytes()).map_err(no_answer);
        }
        let detail = body.map(|it| it.to_bytes()).unwrap_or_default();
        let detail = &detail[..detail.len().min(MAX_DETAIL_BYTES)];
        let detail = String::from_utf8_lossy(detail).into_owned();
        if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(error::CallFault::Refused { status: status.as_u16(), detail });
        }
        Err(error::CallFault::NoAnswer(format!("status {status}: {detail}")))
    }
}

impl link::PeerLink for PeerClient {
    async fn call<C: call::PeerCall>(
        &self,
        peer: &ids::PeerAddress,
        call: C,
        deadline: Duration,
    ) -> Result<C::Reply, error::CallError> {
        let reply = self.exchange(peer, &call, deadline).await;
        reply.map_err(|fault| error::CallError { step: C::PATH, peer: peer.clone(), fault })
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

fn no_answer(reason: impl fmt::Display) -> error::CallFault {
    error::CallFault::NoAnswer(reason.to_string())
}

fn malformed(reason: impl fmt::Display) -> error::CallFault {
    error::CallFault::Malformed(reason.to_string())
}
