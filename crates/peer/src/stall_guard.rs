//! Ends connections of callers that do not read.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// A stream whose writes fail once the peer has taken nothing for a while.
///
/// A caller that stops reading in the middle of an answer stops everything behind it: the relay is
/// not asked for the next frame, so not even its deadline is looked at, and the worker's slot and
/// the connection stay taken. One would notice it as slots that never come back.
#[derive(Debug)]
pub struct StallGuard<S> {
    inner: S,
    limit: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> StallGuard<S> {
    /// Fails writes of `inner` that make no progress for `limit`.
    pub fn new(inner: S, limit: Duration) -> StallGuard<S> {
        StallGuard { inner, limit, timer: None }
    }

    fn watch<T>(
        &mut self,
        cx: &mut Context<'_>,
        progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.timer = None;
            return progress;
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        timer.as_mut().poll(cx).map(|()| {
            let text = format!("expected the caller to read within {limit:?}");
            Err(io::Error::new(io::ErrorKind::TimedOut, text))
        })
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for StallGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StallGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.watch(cx, progress)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.watch(cx, progress)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.inner).poll_flush(cx);
        self.watch(cx, progress)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
