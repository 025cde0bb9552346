//! One HTTP exchange of a caller, on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time;

/// What a caller learnt.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerAnswer {
    /// Nothing yet.
    Waiting,
    /// There was no connection.
    NotSent,
    /// The connection broke before the head of an answer.
    NoHead,
    /// The answer broke off.
    CutShort,
    /// The caller gave up.
    GaveUp,
    /// A whole answer.
    Whole(WholeAnswer),
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: u16,
    /// `x-outcome`.
    pub outcome: Option<String>,
    /// `x-request-id`.
    pub request: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// Ends the connection's task with the exchange.
struct ConnectionGuard(JoinHandle<()>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends `request` to `address` and reads the answer, waiting for `patience` at most.
pub async fn exchange(
    address: SocketAddr,
    request: http::Request<Full<Bytes>>,
    patience: Duration,
) -> CallerAnswer {
    let answer = time::timeout(patience, send(address, request)).await;
    answer.unwrap_or(CallerAnswer::GaveUp)
}

async fn send(address: SocketAddr, request: http::Request<Full<Bytes>>) -> CallerAnswer {
    let Ok(stream) = TcpStream::connect(address).await else { return CallerAnswer::NotSent };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return CallerAnswer::NotSent;
    };
    let _guard = ConnectionGuard(tokio::spawn(async move {
        // A fault of the connection shows in the exchange.
        let _ = connection.await;
    }));
    let Ok(response) = sender.send_request(request).await else { return CallerAnswer::NoHead };
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else { return CallerAnswer::CutShort };
    let text = |name: &str| head.headers.get(name)?.to_str().ok().map(str::to_owned);
    CallerAnswer::Whole(WholeAnswer {
        status: head.status.as_u16(),
        outcome: text("x-outcome"),
        request: text("x-request-id"),
        body: body.to_bytes(),
    })
}
