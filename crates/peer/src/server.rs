//! The HTTP server that checks calls and dispatches them to a [`link::PeerService`].

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::time;

use crate::error;
use crate::http_server;
use crate::key;
use crate::link;
use crate::wire;

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
    /// Most connections that are open at the same time; further ones wait to be accepted.
    pub max_connections: usize,
}

impl Default for ServerConfig {
    fn default() -> ServerConfig {
        ServerConfig {
            cluster_key: None,
            max_body_bytes: 8 << 20,
            max_head_bytes: 8 << 10,
            header_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(10),
            max_connections: 4096,
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
        max_connections: config.max_connections,
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
    let body = match read_body(request.into_body(), config).await {
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

async fn read_body(body: Incoming, config: &ServerConfig) -> Result<Bytes, Response<Full<Bytes>>> {
    let limited = Limited::new(body, config.max_body_bytes);
    let Ok(body) = time::timeout(config.body_timeout, limited.collect()).await else {
        let detail = format!("expected the body within {:?}", config.body_timeout);
        return Err(refusal(StatusCode::REQUEST_TIMEOUT, detail));
    };
    body.map(|it| it.to_bytes()).map_err(|error| {
        if error.is::<LengthLimitError>() {
            let detail = format!("expected at most {} bytes", config.max_body_bytes);
            return refusal(StatusCode::PAYLOAD_TOO_LARGE, detail);
        }
        refusal(StatusCode::BAD_REQUEST, format!("expected a whole body, found {error}"))
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
