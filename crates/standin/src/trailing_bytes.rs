//! A connection that can send bytes after those that the HTTP server wrote.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::state;

/// Bytes to send after the answer that is being written, which an HTTP server doesn't do by itself.
/// Clones share the bytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrailingBytes {
    extra: Arc<Mutex<Bytes>>,
}

/// A connection that sends the trailing bytes on the next flush, before it flushes the stream.
#[derive(Debug)]
pub(crate) struct TrailingBytesStream<S> {
    stream: S,
    trailing: TrailingBytes,
}

impl TrailingBytes {
    pub(crate) fn append(&self, extra: Bytes) {
        *state::lock(&self.extra) = extra;
    }
}

impl<S> TrailingBytesStream<S> {
    pub(crate) fn new(stream: S, trailing: TrailingBytes) -> TrailingBytesStream<S> {
        TrailingBytesStream { stream, trailing }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrailingBytesStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrailingBytesStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let mut extra = state::lock(&this.trailing.extra);
        while !extra.is_empty() {
            let written = ready!(Pin::new(&mut this.stream).poll_write(cx, &extra))?;
            extra.advance(written);
        }
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
