//! HTTP exchanges of the demo's callers and operators, one connection each, so that what was sent
//! before a fault and what was not are told apart.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time;

/// How an exchange failed.
#[derive(Clone, Debug)]
pub enum ExchangeFault {
    /// Nothing was sent.
    NotSent,
    /// The answer is missing or broke off.
    Broken(String),
}

/// Ends the connection's task with the exchange, also when a timeout drops it.
struct ConnectionGuard(JoinHandle<()>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends `request` to `address` and reads the whole answer within `limit`.
pub async fn exchange(
    address: SocketAddr,
    request: http::Request<Full<Bytes>>,
    limit: Duration,
) -> Result<http::Response<Bytes>, ExchangeFault> {
    let stream = match time::timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => return Err(ExchangeFault::NotSent),
    };
    // Only a delay is at stake.
    let _ = stream.set_nodelay(true);
    match time::timeout(limit, send(stream, request)).await {
        Ok(answer) => answer,
        Err(_) => Err(ExchangeFault::Broken(format!("no whole answer within {limit:?}"))),
    }
}

async fn send(
    stream: TcpStream,
    request: http::Request<Full<Bytes>>,
) -> Result<http::Response<Bytes>, ExchangeFault> {
    let (mut sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
        Ok(parts) => parts,
        Err(_) => return Err(ExchangeFault::NotSent),
    };
    let _guard = ConnectionGuard(tokio::spawn(async move {
        // A fault of the connection shows in the exchange.
        let _ = connection.await;
    }));
    let broken = |fault: hyper::Error| ExchangeFault::Broken(fault.to_string());
    let (head, body) = sender.send_request(request).await.map_err(broken)?.into_parts();
    let body = body.collect().await.map_err(broken)?.to_bytes();
    Ok(http::Response::from_parts(head, body))
}
