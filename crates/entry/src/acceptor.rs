//! What turns an accepted TCP connection into the stream that is served.

use std::future::Future;
use std::io;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Prepares accepted connections; a TLS acceptor does its handshake here.
pub trait StreamAcceptor: Clone + Send + Sync + 'static {
    /// The stream to serve.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;

    /// Prepares one connection. Runs in the connection's own task under the header timeout, so
    /// that a caller that stalls in a handshake holds up nobody else.
    fn accept(&self, stream: TcpStream) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Serves TCP as it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainAcceptor;

impl StreamAcceptor for PlainAcceptor {
    type Stream = TcpStream;

    async fn accept(&self, stream: TcpStream) -> io::Result<TcpStream> {
        Ok(stream)
    }
}
