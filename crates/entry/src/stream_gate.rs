//! Watches the bytes that go out on a connection to an upstream.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// Counts the bytes of one exchange, and holds back its first byte when it is too late.
///
/// A process may be paused between its check of a grant's `start_by` and the write itself; the
/// upstream may have left, or the slot may have been given away, in between. One would notice it
/// as work on a drained upstream. The check therefore stands in the write. The count is the proof
/// behind `not_run`: where it is 0, the socket took no byte of the exchange.
#[derive(Debug, Default)]
pub struct StreamGate {
    state: Mutex<GateState>,
}

#[derive(Debug, Default)]
struct GateState {
    bytes_out: u64,
    start_by: Option<Instant>,
}

impl StreamGate {
    /// Begins an exchange whose first byte goes out by `start_by` or not at all.
    pub fn arm(&self, start_by: Instant) {
        let mut state = self.lock();
        state.bytes_out = 0;
        state.start_by = Some(start_by);
    }

    /// Bytes of the current exchange that the socket took.
    pub fn bytes_out(&self) -> u64 {
        self.lock().bytes_out
    }

    fn check(&self) -> io::Result<()> {
        let state = self.lock();
        match state.start_by {
            Some(start_by) if start_by < Instant::now() => {
                Err(io::Error::new(io::ErrorKind::TimedOut, "the grant is void"))
            }
            _ => Ok(()),
        }
    }

    fn note(&self, written: &Poll<io::Result<usize>>) {
        let Poll::Ready(Ok(n_bytes)) = written else {
            return;
        };
        let mut state = self.lock();
        state.bytes_out += *n_bytes as u64;
        if 0 < state.bytes_out {
            state.start_by = None;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// A stream whose writes pass a gate.
#[derive(Debug)]
pub struct GatedStream<S> {
    inner: S,
    gate: Arc<StreamGate>,
}

impl<S> GatedStream<S> {
    /// Puts `gate` before the writes of `inner`.
    pub fn new(inner: S, gate: Arc<StreamGate>) -> GatedStream<S> {
        GatedStream { inner, gate }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GatedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GatedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.check()?;
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.gate.note(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.gate.check()?;
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.gate.note(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
