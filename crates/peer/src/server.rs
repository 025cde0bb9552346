//! The HTTP server that checks calls and dispatches them to a [`link::PeerService`].

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::body_reader;
use crate::connection_table;
use crate::error;
use crate::http_server;
use crate::key;
use crate::link;
use crate::wire;

/// Memory that a call takes while it is handled, in lengths of its body: the decoded message, and copies of it
/// on its way to the platform.
const CALL_COPIES: usize = 4;

/// Key, size limits and timeouts of a server.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Every call must carry this key. `None` in stand-ins of the platform, which check no key.
    pub cluster_key: Option<key::ClusterKey>,
    /// Largest body of a call.
    pub max_body_bytes: usize,
    /// Largest request line and headers of a call; a limit below 8 KiB is raised to 8 KiB.
    pub max_head_bytes: usize,
    /// Longest time for a caller to send the headers, including the idle time before them.
    pub header_timeout: Duration,
    /// Longest time for a caller to send the body.
    pub body_timeout: Duration,
    /// Places and memory of the connections.
    pub limits: connection_table::TableLimits,
}

impl Default for ServerConfig {
    fn default() -> ServerConfig {
        ServerConfig {
            cluster_key: None,
            max_body_bytes: 8 << 20,
            max_head_bytes: 8 << 10,
            header_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(10),
            limits: connection_table::TableLimits {
                max_connections: 4_096,
                max_body_memory: 64 << 20,
            },
        }
    }
}

/// Makes the server close the connection without an answer.
#[derive(Debug, Error)]
#[error("no answer")]
struct ConnectionAborted;

/// Serves calls on `listener` until `shutdown` resolves, then stops accepting connections, finishes the
/// calls in flight and returns.
pub async fn serve<S: link::PeerService>(
    listener: TcpListener,
    service: S,
    config: ServerConfig,
    shutdown: impl Future<Output = ()>,
) {
    let http_config = http_server::HttpServerConfig {
        header_timeout: config.header_timeout,
        max_head_bytes: config.max_head_bytes,
        write_timeout: config.header_timeout,
        limits: config.limits,
        side: "server",
    };
    let handler = Arc::new(CallHandler { service, config });
    http_server::serve(listener, handler, http_config, shutdown).await;
}

struct CallHandler<S> {
    service: S,
    config: ServerConfig,
}

impl<S: link::PeerService> http_server::RequestHandler for CallHandler<S> {
    type Error = ConnectionAborted;

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, ConnectionAborted> {
        handle(request, &self.service, &self.config).await
    }

    fn after_panic(&self) -> Result<Response<Full<Bytes>>, ConnectionAborted> {
        Err(ConnectionAborted)
    }
}

async fn handle<S: link::PeerService>(
    request: Request<Incoming>,
    service: &S,
    config: &ServerConfig,
) -> Result<Response<Full<Bytes>>, ConnectionAborted> {
    if let Some(refusal) = check_head(&request, config) {
        return Ok(refusal);
    }
    let path = request.uri().path().to_owned();
    let body = match read_body(request, config).await {
        Ok(body) => body,
        Err(refusal) => return Ok(refusal),
    };
    match service.serve(&path, body).await {
        Some(Ok(reply)) => Ok(ok_response(reply)),
        Some(Err(fault @ error::ServeFault::Unreadable(_))) => {
            Ok(refusal(StatusCode::BAD_REQUEST, fault.to_string()))
        }
        Some(Err(fault @ error::ServeFault::Unavailable(_))) => {
            Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, fault.to_string()))
        }
        None => Ok(refusal(StatusCode::NOT_FOUND, "expected a known path".to_owned())),
        Some(Err(error::ServeFault::Silent)) => Err(ConnectionAborted),
    }
}

fn check_head(request: &Request<Incoming>, config: &ServerConfig) -> Option<Response<Full<Bytes>>> {
    if let Some(key) = &config.cluster_key {
        let offered = request.headers().get(wire::CLUSTER_KEY);
        if !offered.is_some_and(|it| key.matches(it.as_bytes())) {
            let detail = "expected the cluster key, found none or another".to_owned();
            return Some(refusal(StatusCode::UNAUTHORIZED, detail));
        }
    }
    if request.method() != Method::POST {
        let detail = format!("expected POST, found {}", request.method());
        return Some(refusal(StatusCode::METHOD_NOT_ALLOWED, detail));
    }
    let version = request.headers().get(wire::VERSION);
    if version != Some(&wire::MESSAGE_VERSION) {
        let detail = format!("expected messages of version {:?}", wire::MESSAGE_VERSION);
        return Some(refusal(StatusCode::BAD_REQUEST, detail));
    }
    None
}

async fn read_body(
    request: Request<Incoming>,
    config: &ServerConfig,
) -> Result<Bytes, Response<Full<Bytes>>> {
    let deadline = Instant::now() + config.body_timeout;
    let read = async {
        let body = body_reader::read(request, config.max_body_bytes, deadline).await?;
        body.hold(body.data.len() * CALL_COPIES)?;
        Ok(body.data)
    };
    read.await.map_err(|fault: body_reader::BodyFault| {
        let status = match fault {
            body_reader::BodyFault::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            body_reader::BodyFault::Late => StatusCode::REQUEST_TIMEOUT,
            body_reader::BodyFault::GaveWay(_) => StatusCode::SERVICE_UNAVAILABLE,
            body_reader::BodyFault::Broken(_) => StatusCode::BAD_REQUEST,
        };
        refusal(status, fault.to_string())
    })
}

fn ok_response(reply: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(reply));
    response.headers_mut().insert(header::CONTENT_TYPE, wire::MESSAGE_PACK);
    response
}

fn refusal(status: StatusCode, detail: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(detail)));
    *response.status_mut() = status;
    response
}
