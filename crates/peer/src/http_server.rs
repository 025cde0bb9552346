//! Serves HTTP/1.1 on a listener until shutdown, then finishes the requests in flight.
//!
//! Clients that misbehave take no more than the limits of the listener's table of connections.

use std::error::Error;
use std::future::{self, Future};
use std::io;
use std::net::SocketAddr;
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
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time;

use crate::connection_slot;
use crate::connection_table;
use crate::meter;
use crate::stall_guard;

/// Limits and timeouts of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct HttpServerConfig {
    /// Longest time for a client to send the headers, including the idle time before them.
    pub header_timeout: Duration,
    /// Largest request line and headers; a limit below 8 KiB is raised to 8 KiB.
    pub max_head_bytes: usize,
    /// Longest time for which a client may read nothing of its answers.
    pub write_timeout: Duration,
    /// Places and memory of the connections.
    pub limits: connection_table::TableLimits,
    /// Label `side` of the byte counters and log lines of these connections.
    pub side: &'static str,
}

/// Answers the HTTP requests of a server.
pub trait RequestHandler: Send + Sync + 'static {
    /// An error that makes the server close the connection without an answer.
    type Error: Error + Send + Sync + 'static;

    /// Answers one request; [`body_reader::read`](crate::body_reader::read) reads its body. The future runs to
    /// completion even if the client disconnects; otherwise a request that has begun to take effect would stop
    /// half-way.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Full<Bytes>>, Self::Error>> + Send;

    /// Answers a request whose handler panicked.
    fn after_panic(&self) -> Result<Response<Full<Bytes>>, Self::Error>;
}

/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Delay after a failed accept, which usually means that the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Receive buffer of a connection, in bytes; the kernel takes twice as much. What was received and not read
/// counts as the process's memory, and a client that isn't read would fill megabytes by default.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// Connections that the kernel keeps until they are accepted; what they have sent counts as the process's memory.
const BACKLOG: u32 = 256;

/// Opens a listener at `address` whose connections have small receive buffers.
///
/// # Errors
///
/// Fails if the address is malformed or in use.
pub fn bind(address: &str) -> io::Result<TcpListener> {
    let address = address.parse::<SocketAddr>().map_err(io::Error::other)?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Connections inherit the size. A failure only leaves the default in force.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves requests on `listener` until `shutdown` resolves, then stops accepting connections, finishes
/// the requests in flight and returns.
pub async fn serve<H: RequestHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    config: HttpServerConfig,
    shutdown: impl Future<Output = ()>,
) {
    let table = connection_table::ConnectionTable::new(config.limits, config.side);
    let graceful = GracefulShutdown::new();
    let mut shutdown = std::pin::pin!(shutdown);
    loop {
        let accept = async {
            let accepted = listener.accept().await;
            (accepted, table.admit().await)
        };
        let (accepted, slot) = tokio::select! {
            biased;
            () = &mut shutdown => break,
            accepted = accept => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, side = config.side, "connection can't be accepted");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let connection = connection(stream, Arc::clone(&handler), slot.clone(), config);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Some(Err(error)) = slot.run(connection).await {
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
    slot: connection_slot::ConnectionSlot,
    config: HttpServerConfig,
) -> impl GracefulConnection<Error = hyper::Error> + Send + 'static {
    // A failure only delays small answers, so it is ignored.
    let _ = stream.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    builder.header_read_timeout(config.header_timeout);
    builder.max_buf_size(config.max_head_bytes.max(MIN_BUFFER_BYTES));
    let service = service::service_fn(move |mut request: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        let guard = slot.begin(&mut request);
        async move {
            let Some(guard) = guard else {
                // The connection is being closed; the request hasn't been looked at.
                return future::pending().await;
            };
            let handled = tokio::spawn({
                let handler = Arc::clone(&handler);
                async move {
                    let _guard = guard;
                    handler.handle(request).await
                }
            });
            handled.await.unwrap_or_else(|error| {
                tracing::error!(%error, side = config.side, "request handler failed");
                handler.after_panic()
            })
        }
    });
    let stream = stall_guard::StallGuard::new(stream, config.write_timeout);
    let stream = TokioIo::new(meter::MeteredStream::new(stream, config.side));
    builder.serve_connection(stream, service)
}
