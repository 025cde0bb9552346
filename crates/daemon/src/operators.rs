//! The operators' listener: health, metrics, and whatever the console serves.

use std::convert::Infallible;
use std::future::{self, Future};
use std::time::Duration;

use almondpass_entry::acceptor::StreamAcceptor;
use almondpass_peer::{connection_slot, connection_table, stall_guard};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;
use tracing::{debug, warn};

use crate::health;
use crate::meters;
use crate::tls;
use crate::wiring;

/// Connections of operators and of what scrapes the metrics, at a time, and the memory of their forms: 16 of the
/// largest.
const LIMITS: connection_table::TableLimits =
    connection_table::TableLimits { max_connections: 256, max_body_memory: 32 << 20 };
/// For a client that reads nothing of its answer.
const WRITE_TIME: Duration = Duration::from_secs(20);
/// For a client to finish its handshake, and to send its head.
const HEAD_TIME: Duration = Duration::from_secs(5);
/// Largest head; the library takes no less.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Wait after a failed accept: no file descriptors are left, and trying at once would only burn
/// processor time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// For connections in flight at a shutdown.
const CLOSE_TIME: Duration = Duration::from_secs(5);

/// Answers of the operators' listener.
pub type OperatorResponse = Response<Full<Bytes>>;

/// What the operators' listener serves.
#[derive(Clone)]
pub struct OperatorService {
    /// The console and the operator API.
    pub console: wiring::Console,
    /// Whether callers should come.
    pub health: health::HealthState,
    /// Metrics of this instance.
    pub meters: meters::MeterRegistry,
}

impl OperatorService {
    /// Serves `listener` until `shutdown` resolves and the answers in flight are sent.
    pub async fn serve(
        self,
        listener: TcpListener,
        acceptor: tls::ListenerAcceptor,
        shutdown: impl Future<Output = ()>,
    ) {
        let table = connection_table::ConnectionTable::new(LIMITS, "operators");
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
                    warn!(%error, step = "accept", "an operator's connection was not accepted");
                    time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let connection =
                self.clone().connection(stream, acceptor.clone(), slot.clone(), graceful.watcher());
            tokio::spawn(async move { slot.run(connection).await });
        }
        drop(listener);
        let _ = time::timeout(CLOSE_TIME, graceful.shutdown()).await;
    }

    async fn connection(
        self,
        stream: TcpStream,
        acceptor: tls::ListenerAcceptor,
        slot: connection_slot::ConnectionSlot,
        watcher: Watcher,
    ) {
        let stream = match time::timeout(HEAD_TIME, acceptor.accept(stream)).await {
            Ok(Ok(stream)) => stall_guard::StallGuard::new(stream, WRITE_TIME),
            Ok(Err(error)) => return debug!(%error, step = "operator", "a handshake failed"),
            Err(_) => return debug!(step = "operator", "a handshake took too long"),
        };
        let answer = service_fn(move |mut request| {
            let guard = slot.begin(&mut request);
            let service = self.clone();
            async move {
                let Some(_guard) = guard else {
                    // The connection is being closed; the request hasn't been looked at.
                    return future::pending().await;
                };
                service.route(request).await
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIME)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), answer);
        if let Err(error) = watcher.watch(connection).await {
            debug!(%error, step = "operator", "a connection ended");
        }
    }

    async fn route(self, request: Request<Incoming>) -> Result<OperatorResponse, Infallible> {
        let reads = matches!(*request.method(), Method::GET | Method::HEAD);
        let response = match request.uri().path() {
            "/healthz" if reads => text(StatusCode::OK, "alive\n".to_owned()),
            "/readyz" if reads => self.readiness(),
            "/metrics" if reads => text(StatusCode::OK, self.meters.render()),
            _ => match self.console.route(request).await {
                Some(response) => response,
                None => text(StatusCode::NOT_FOUND, "no such page\n".to_owned()),
            },
        };
        Ok(response)
    }

    fn readiness(&self) -> OperatorResponse {
        match self.health.stage() {
            health::HealthStage::Ready => text(StatusCode::OK, "ready\n".to_owned()),
            health::HealthStage::Starting => {
                text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n".to_owned())
            }
            health::HealthStage::Draining => {
                text(StatusCode::SERVICE_UNAVAILABLE, "shutting down\n".to_owned())
            }
        }
    }
}

/// A plain text answer.
fn text(status: StatusCode, body: String) -> OperatorResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let plain = http::HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}
