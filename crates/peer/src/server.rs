//! The HTTP server that hands calls to a [`link::PeerService`].

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulConnection, GracefulShutdown};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time;

use crate::error;
use crate::key;
use crate::link;
use crate::meter;
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
    pub connections: usize,
}

impl Default for ServerConfig {
    fn default() -> ServerConfig {
        ServerConfig {
            cluster_key: None,
            max_body_bytes: 8 << 20,
            max_head_bytes: 8 << 10,
            header_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(10),
            connections: 4096,
        }
    }
}

/// The service ends the connection without an answer.
#[derive(Debug, Error)]
#[error("no answer")]
struct SilentEnd;

/// Wait after a failed accept, which mostly means that no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves `listener` until `shutdown` resolves; then accepts nothing more, finishes the calls in
/// flight and returns.
pub async fn serve<S: link::PeerService>(
    listener: TcpListener,
    service: S,
    config: ServerConfig,
    shutdown: impl Future<Output = ()>,
) {
    let config = Arc::new(config);
    let permits = Arc::new(Semaphore::new(config.connections));
    let graceful = GracefulShutdown::new();
    let mut shutdown = std::pin::pin!(shutdown);
    loop {
        let accept = async {
            let permit = Arc::clone(&permits).acquire_owned().await;
            (listener.accept().await, permit)
        };
        let (accepted, permit) = tokio::select! {
            biased;
            () = &mut shutdown => break,
            accepted = accept => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "cannot accept a peer's connection");
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let connection = graceful.watch(connection(stream, service.clone(), Arc::clone(&config)));
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = connection.await {
                tracing::debug!(%error, "a peer's connection ended");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn connection<S: link::PeerService>(
    stream: TcpStream,
    service: S,
    config: Arc<ServerConfig>,
) -> impl GracefulConnection<Error = hyper::Error> + Send + 'static {
    // Only a delay of small answers is at stake.
    let _ = stream.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    builder.header_read_timeout(config.header_timeout);
    builder.max_buf_size(config.max_head_bytes.max(8 << 10));
    let handler = service::service_fn(move |request| {
        let service = service.clone();
        let config = Arc::clone(&config);
        async move { handle(request, service, &config).await }
    });
    let stream = TokioIo::new(meter::MeteredStream::new(stream, "server"));
    builder.serve_connection(stream, handler)
}

async fn handle<S: link::PeerService>(
    request: Request<Incoming>,
    service: S,
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
    // A task of its own: when the caller gives up, hyper drops what answers it, and a call that
    // had begun to act would stop half-way.
    let served = tokio::spawn(async move { service.serve(&path, body).await });
    match served.await {
        Ok(Some(Ok(reply))) => Ok(message(reply)),
        Ok(Some(Err(fault @ error::ServeFault::Unreadable(_)))) => {
            Ok(refusal(StatusCode::BAD_REQUEST, fault.to_string()))
        }
        Ok(Some(Err(fault @ error::ServeFault::Unavailable(_)))) => {
            Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, fault.to_string()))
        }
        Ok(None) => Ok(refusal(StatusCode::NOT_FOUND, "expected a known path".to_owned())),
        Ok(Some(Err(error::ServeFault::Silent))) | Err(_) => Err(SilentEnd),
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
