//! Serves callers' connections until the instance shuts down.

use std::future::{self, poll_fn};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::Poll;
use std::time::Duration;

use almondpass_peer::connection_slot::ConnectionSlot;
use almondpass_peer::connection_table::{self, ConnectionTable};
use almondpass_peer::link::HallLink;
use almondpass_peer::stall_guard;
use almondpass_ports::table::TableService;
use futures_util::FutureExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, timeout};

use crate::acceptor;
use crate::last_word;
use crate::service;

/// Connections beyond the limit that are still told to come back later.
const REFUSED_CONNECTIONS: usize = 64;
/// Wait after a failed accept: the process is out of file descriptors, and trying again at once
/// would only burn processor time that requests in flight need.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Between looks at idle upstream connections.
const SWEEP: Duration = Duration::from_secs(1);
/// For grants to go back at a shutdown.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// For the last bytes of a connection.
const CLOSE_TIME: Duration = Duration::from_secs(1);
/// Header fields of a request, at most.
const HEADER_FIELDS: usize = 64;
/// The least that the HTTP library takes as its buffer.
const LEAST_BUFFER: usize = 8 * 1024;

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServePhase {
    /// Everything is served.
    Serving,
    /// Everything is served, and connections are closed after their next answer, so that callers
    /// and the balancer move on before the listener goes.
    Draining,
    /// No connection is accepted any more; requests in flight are finished.
    Closing,
}

/// The callers' HTTP server of one instance.
#[derive(Debug)]
pub struct EntryServer<L, T> {
    service: service::EntryService<L, T>,
}

impl<L: HallLink, T: TableService> EntryServer<L, T> {
    /// A server for `service`.
    pub fn new(service: service::EntryService<L, T>) -> EntryServer<L, T> {
        EntryServer { service }
    }

    /// Serves connections of `listener`. Returns once `phase` says `Closing`, or its sender is
    /// gone, and the last request has ended and every grant has gone back.
    pub async fn serve<A: acceptor::StreamAcceptor>(
        self,
        listener: TcpListener,
        acceptor: A,
        mut phase: watch::Receiver<ServePhase>,
    ) {
        let core = Arc::clone(self.service.core());
        let mut background = JoinSet::new();
        let instance = core.settings.instance.clone();
        background.spawn(core.ledger.clone().run(core.link.clone(), instance));
        background.spawn(sweep(core.pool.clone()));

        let mut connections = ConnectionSet::new(self.service, acceptor, phase.clone());
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => connections.add(stream).await,
                    Err(error) => pause(&error).await,
                },
                Some(_) = connections.tasks.join_next() => {}
                () = closing(&mut phase) => break,
            }
        }
        // Connections that the kernel accepted for us would be reset with the listener, though
        // their callers may have sent a request already.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            connections.add(stream).await;
        }
        drop(listener);
        while connections.tasks.join_next().await.is_some() {}
        core.requests.emptied().await;
        core.ledger.drained(RETURN_TIME).await;
        background.shutdown().await;
    }
}

async fn closing(phase: &mut watch::Receiver<ServePhase>) {
    // A sender that is gone can not tell us any more: the instance is going down.
    let _ = phase.wait_for(|it| *it == ServePhase::Closing).await;
}

async fn pause(error: &io::Error) {
    tracing::warn!(%error, "a caller's connection was not accepted");
    sleep(ACCEPT_PAUSE).await;
}

async fn sweep(pool: crate::upstream_pool::UpstreamPool) {
    let mut tick = interval(SWEEP);
    loop {
        tick.tick().await;
        pool.sweep().await;
    }
}

/// Connections that are open, each in a task of its own.
struct ConnectionSet<L, T, A> {
    service: service::EntryService<L, T>,
    acceptor: A,
    phase: watch::Receiver<ServePhase>,
    served: Arc<ConnectionTable>,
    refused: Arc<ConnectionTable>,
    tasks: JoinSet<()>,
}

impl<L, T, A> ConnectionSet<L, T, A>
where
    L: HallLink,
    T: TableService,
    A: acceptor::StreamAcceptor,
{
    fn new(
        service: service::EntryService<L, T>,
        acceptor: A,
        phase: watch::Receiver<ServePhase>,
    ) -> ConnectionSet<L, T, A> {
        let n_connections = service.core().settings.limits.connections as usize;
        ConnectionSet {
            service,
            acceptor,
            phase,
            served: table(n_connections, "callers"),
            refused: table(REFUSED_CONNECTIONS, "refused callers"),
            tasks: JoinSet::new(),
        }
    }

    /// Serves the connection, or refuses its request, or at last drops it, so that a flood of connections fills no
    /// memory. A connection without a request gives way.
    async fn add(&mut self, stream: TcpStream) {
        let (slot, refuse) = match self.served.admit_if_possible().await {
            Some(slot) => (slot, false),
            None => match self.refused.admit_if_possible().await {
                Some(slot) => (slot, true),
                None => return,
            },
        };
        let connection =
            CallerConnection { service: self.service.clone(), phase: self.phase.clone(), refuse };
        let acceptor = self.acceptor.clone();
        self.tasks.spawn(async move {
            slot.run(connection.run(acceptor, stream, slot.clone())).await;
        });
    }
}

/// A table of connections that give way until their first request. Their requests have limits of their own.
fn table(max_connections: usize, side: &'static str) -> Arc<ConnectionTable> {
    let limits = connection_table::TableLimits { max_connections, max_body_memory: usize::MAX };
    ConnectionTable::new(limits, side)
}

struct CallerConnection<L, T> {
    service: service::EntryService<L, T>,
    phase: watch::Receiver<ServePhase>,
    refuse: bool,
}

impl<L: HallLink, T: TableService> CallerConnection<L, T> {
    async fn run<A: acceptor::StreamAcceptor>(
        self,
        acceptor: A,
        stream: TcpStream,
        slot: ConnectionSlot,
    ) {
        // Small answers would otherwise wait for the caller's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let head_time = self.service.core().settings.limits.header_timeout.0;
        match timeout(head_time, acceptor.accept(stream)).await {
            Ok(Ok(stream)) => self.serve(stream, slot).await,
            Ok(Err(error)) => tracing::debug!(%error, "a caller's handshake failed"),
            Err(_) => tracing::debug!("a caller's handshake took too long"),
        }
    }

    async fn serve<S>(mut self, stream: S, slot: ConnectionSlot)
    where
        S: tokio::io::AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let settings = &self.service.core().settings;
        let limits = &settings.limits;
        let stream = stall_guard::StallGuard::new(stream, settings.body_idle);
        // The library's own refusal of a large head has no body; ours comes first.
        let n_buffer = LEAST_BUFFER.max(2 * limits.header_bytes as usize);
        let (service, phase, refuse) = (self.service.clone(), self.phase.clone(), self.refuse);
        // Kept to the end of the connection: an answer streams on behind its request.
        let first_request = OnceLock::new();
        let answer = service_fn(move |request| {
            let (service, phase) = (service.clone(), phase.clone());
            let is_open = first_request.get().is_some()
                || slot.begin_request().is_some_and(|it| first_request.set(it).is_ok());
            Box::pin(async move {
                if !is_open {
                    // The connection is being closed; the request hasn't been looked at.
                    return future::pending().await;
                }
                let mut answer = match refuse {
                    true => Ok(service.refuse(&request)),
                    false => service.answer(request).await,
                };
                if let Ok(response) = &mut answer
                    && (refuse || *phase.borrow() != ServePhase::Serving)
                {
                    last_word::close_after(response);
                }
                answer
            })
        });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout.0)
            .max_buf_size(n_buffer)
            .max_headers(HEADER_FIELDS)
            .serve_connection(TokioIo::new(stream), answer);
        let watch = self.phase.clone();
        let mut closing = std::pin::pin!(closing(&mut self.phase));
        let mut watched = false;
        let ended = poll_fn(|cx| {
            if let Poll::Ready(end) = connection.poll_without_shutdown(cx) {
                return Poll::Ready(Some(end));
            }
            // The task's waker stays the same, so one registration lasts until the phase changes.
            if watched && !watch.has_changed().unwrap_or(true) {
                return Poll::Pending;
            }
            watched = true;
            closing.as_mut().poll(cx).map(|()| None)
        });
        let end = match ended.await {
            Some(end) => end,
            None => {
                Pin::new(&mut connection).graceful_shutdown();
                poll_fn(|cx| connection.poll_without_shutdown(cx)).await
            }
        };
        let parts = connection.into_parts();
        let mut stream = parts.io.into_inner();
        let too_slow = end.is_err_and(|it| it.is_timeout()) && !parts.read_buf.is_empty();
        let ending = async {
            if too_slow {
                stream.write_all(&last_word::slow_head()).await?;
            }
            stream.shutdown().await
        };
        let _ = timeout(CLOSE_TIME, ending).await;
    }
}
