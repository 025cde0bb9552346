//! The HTTP server that hands calls to a [`link::PeerService`].

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

/// How a server behaves.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Asked of every call; absent in stand-ins of the platform.
    pub cluster_key: Option<key::ClusterKey>,
    /// Largest body of a call.
    pub max_body_bytes: usize,
    /// Largest head of a call; at least 8 KiB.
    pub max_head_bytes: usize,
    /// For a caller to send a head, idle time before it included.
    pub header_timeout: Duration,
    /// For a caller to send a body.
    pub body_timeout: Duration,
    /// Connections at a time.
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

/// The service ends the connection without an answer.
#[derive(Debug, Error)]
#[error("no answer")]
struct SilentEnd;

/// Serves `listener` until `shutdown` resolves; then accepts nothing more, finishes the calls in
/// flight and returns.
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
    type Error = SilentEnd;

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, SilentEnd> {
        handle(request, &self.service, &self.config).await
    }

    fn after_panic(&self) -> Result<Response<Full<Bytes>>, SilentEnd> {
        Err(SilentEnd)
    }
}

async fn handle<S: link::PeerService>(
    request: Request<Incoming>,
    service: &S,
    config: &ServerConfig,
) -> Result<Response<Full<Bytes>>, SilentEnd> {
    if let Some(refusal) = refusal_of_head(&request, config) {
        return Ok(refusal);
    }
    let path = request.uri().path().to_owned();
    let body = match read(request.into_body(), config).await {
        Ok(body) => body,
        Err(refusal) => return Ok(refusal),
    };
    match service.serve(&path, body).await {
        Some(Ok(reply)) => Ok(message(reply)),
        Some(Err(fault @ error::ServeFault::Unreadable(_))) => {
            Ok(refusal(StatusCode::BAD_REQUEST, fault.to_string()))
        }
        Some(Err(fault @ error::ServeFault::Unavailable(_))) => {
            Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, fault.to_string()))
        }
        None => Ok(refusal(StatusCode::NOT_FOUND, "expected a known path".to_owned())),
        Some(Err(error::ServeFault::Silent)) => Err(SilentEnd),
    }
}

fn refusal_of_head(
    request: &Request<Incoming>,
    config: &ServerConfig,
) -> Option<Response<Full<Bytes>>> {
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

async fn read(body: Incoming, config: &ServerConfig) -> Result<Bytes, Response<Full<Bytes>>> {
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

fn message(reply: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(reply));
    response.headers_mut().insert(header::CONTENT_TYPE, wire::MESSAGE_PACK);
    response
}

fn refusal(status: StatusCode, detail: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(detail)));
    *response.status_mut() = status;
    response
}
