//! Bodies of requests, read up to a limit.

use std::error::Error;
use std::time::Duration;

use almondpass_peer::body_reader;
use bytes::Bytes;
use http::Request;
use hyper::body::Body;
use tokio::time::Instant;

use crate::fault;

/// Largest body. A draft as a form is up to three times as long as its text.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// For a client to send the body.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Reads a body whole.
pub(crate) async fn read<B>(request: Request<B>) -> Result<Bytes, fault::ConsoleFault>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let deadline = Instant::now() + BODY_TIME;
    let body = body_reader::read(request, MAX_BODY_BYTES, deadline).await;
    body.map(|it| it.data).map_err(|fault| match fault {
        body_reader::BodyFault::TooLong { max_bytes } => {
            fault::ConsoleFault::TooLarge { limit: max_bytes }
        }
        body_reader::BodyFault::Late => fault::ConsoleFault::SlowBody { limit: BODY_TIME },
        body_reader::BodyFault::GaveWay(_) => fault::ConsoleFault::Full,
        body_reader::BodyFault::Broken(error) => fault::ConsoleFault::Unreadable(error.to_string()),
    })
}

/// Reads a body as text.
pub(crate) async fn read_text<B>(request: Request<B>) -> Result<String, fault::ConsoleFault>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let bytes = read(request).await?;
    let text = String::from_utf8(bytes.into());
    text.map_err(|error| fault::ConsoleFault::Unreadable(error.to_string()))
}
