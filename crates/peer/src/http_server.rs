//! Serves HTTP/1.1 on a listener until it is to end, then finishes what was read.

use std::error::Error;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulConnection, GracefulShutdown};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time;

use crate::meter;

/// How connections are served.
#[derive(Clone, Copy, Debug)]
pub struct HttpServerConfig {
    /// For a caller to send a head, idle time before it included.
    pub header_timeout: Duration,
    /// Largest head; at least 8 KiB.
    pub max_head_bytes: usize,
    /// Connections at a time.
    pub max_connections: usize,
    /// Under which side the bytes are counted.
    pub side: &'static str,
}

/// Answers requests.
pub trait RequestHandler: Send + Sync + 'static {
    /// Ends the connection without an answer.
    type Error: Error + Send + Sync + 'static;

    /// Answers one request. It runs to its end though the caller gives up: a call that had begun
    /// to act would otherwise stop half-way.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Full<Bytes>>, Self::Error>> + Send;

    /// Answers a request whose handler failed to the point of panic.
    fn after_panic(&self) -> Result<Response<Full<Bytes>>, Self::Error>;
}

/// Smallest buffer that the HTTP library takes, in bytes.
const LEAST_BUFFER: usize = 8 << 10;

/// Wait after a failed accept, which mostly means that no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves `listener` until `shutdown` resolves; then accepts nothing more, finishes the requests in
/// flight and returns.
pub async fn serve<H: RequestHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    config: HttpServerConfig,
    shutdown: impl Future<Output = ()>,
) {
    let permits = Arc::new(Semaphore::new(config.max_connections));
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
                tracing::warn!(%error, side = config.side, "connection can't be accepted");
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let connection = graceful.watch(connection(stream, Arc::clone(&handler), config));
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = connection.await {
                tracing::debug!(%error, side = config.side, "connection ended");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn connection<H: RequestHandler>(
    stream: TcpStream,
    handler: Arc<H>,
    config: HttpServerConfig,
) -> impl GracefulConnection<Error = hyper::Error> + Send + 'static {
    // Only a delay of small answers is at stake.
    let _ = stream.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    builder.header_read_timeout(config.header_timeout);
    builder.max_buf_size(config.max_head_bytes.max(LEAST_BUFFER));
    let service = service::service_fn(move |request| {
        let handler = Arc::clone(&handler);
        let handled = tokio::spawn(Arc::clone(&handler).handle(request));
        async move {
            handled.await.unwrap_or_else(|error| {
                tracing::error!(%error, side = config.side, "request handler failed");
                handler.after_panic()
            })
        }
    });
    let stream = TokioIo::new(meter::MeteredStream::new(stream, config.side));
    builder.serve_connection(stream, service)
}
