//! Counts the bytes of connections, including HTTP headers, because control traffic has a budget.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use metrics::Counter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection that adds the bytes it sends and receives to metrics.
#[derive(Debug)]
pub(crate) struct MeteredStream<S> {
    stream: S,
    sent: Counter,
    received: Counter,
}

impl<S> MeteredStream<S> {
    /// Counts the bytes of `stream` with the label `side`, such as `server` or `workers`.
    pub(crate) fn new(stream: S, side: &'static str) -> MeteredStream<S> {
        let sent = metrics::counter!("almondpass_peer_sent_bytes_total", "side" => side);
        let received = metrics::counter!("almondpass_peer_received_bytes_total", "side" => side);
        MeteredStream { stream, sent, received }
    }

    fn count_sent(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n_bytes)) = &written {
            self.sent.increment(*n_bytes as u64);
        }
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let n_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let n_bytes = buf.filled().len() - n_before;
        self.received.increment(n_bytes as u64);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_sent(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_sent(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
