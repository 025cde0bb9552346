//! Bodies of requests, read up to a limit.

use std::error::Error;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;

use crate::fault;

/// Largest body. A draft as a form is up to three times as long as its text; so many bytes of
/// each connection may be in memory at a time.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Reads a body whole.
pub(crate) async fn read<B>(body: B) -> Result<Bytes, fault::ConsoleFault>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(fault::ConsoleFault::TooLarge { limit: MAX_BODY_BYTES })
        }
        Err(error) => Err(fault::ConsoleFault::Unreadable(error.to_string())),
    }
}

/// Reads a body as text.
pub(crate) async fn read_text<B>(body: B) -> Result<String, fault::ConsoleFault>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let bytes = read(body).await?;
    let text = String::from_utf8(bytes.into());
    text.map_err(|error| fault::ConsoleFault::Unreadable(error.to_string()))
}
