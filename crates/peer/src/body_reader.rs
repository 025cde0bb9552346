//! Reads the bodies of requests whole, within the memory that the listener has for them.

use std::error::Error;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::time::{self, Instant};

use crate::connection_slot;
use crate::connection_table;

/// Why a body was not read whole.
#[derive(Debug, Error)]
pub enum BodyFault {
    /// It is, or says that it is, longer than allowed.
    #[error("expected at most {max_bytes} bytes")]
    TooLong {
        /// The limit, in bytes.
        max_bytes: usize,
    },
    /// It wasn't whole in time.
    #[error("expected the whole body in time")]
    Late,
    /// The memory or the place that it takes was needed for others.
    #[error(transparent)]
    GaveWay(#[from] connection_table::GaveWay),
    /// It was cut off or is malformed.
    #[error("expected a whole body, found {0}")]
    Broken(Box<dyn Error + Send + Sync>),
}

/// A body that was read whole; its memory counts until the request ends.
#[derive(Debug)]
pub struct RequestBody {
    /// The data.
    pub data: Bytes,
    slot: connection_slot::ConnectionSlot,
}

impl RequestBody {
    /// Counts `n_bytes` of memory for the request in place of what its body takes.
    ///
    /// # Errors
    ///
    /// Fails if that much isn't left beside the requests that are handled.
    pub fn hold(&self, n_bytes: usize) -> Result<(), connection_table::GaveWay> {
        self.slot.hold(n_bytes)
    }
}

/// Reads the body of `request`. Its memory counts in the table whose slot
/// [`ConnectionSlot::begin`](connection_slot::ConnectionSlot::begin) has added to the request; without one nothing
/// limits it but `max_bytes`.
///
/// The data is copied together as it arrives. The pieces that the HTTP library returns keep the buffers alive
/// that they were received in, however small they are.
///
/// # Errors
///
/// Fails if the body is longer than `max_bytes`, not whole at `deadline`, or has to give way. The connection
/// can't be used for another request then.
pub async fn read<B>(
    request: Request<B>,
    max_bytes: usize,
    deadline: Instant,
) -> Result<RequestBody, BodyFault>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let slot = request.extensions().get::<connection_slot::ConnectionSlot>().cloned();
    let slot = slot.unwrap_or_else(connection_slot::ConnectionSlot::unlimited);
    let body = request.into_body();
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyFault::TooLong { max_bytes });
    }
    slot.begin_body();
    let data = tokio::select! {
        biased;
        read = time::timeout_at(deadline, collect(body, &slot, max_bytes)) => {
            read.unwrap_or(Err(BodyFault::Late))
        }
        () = slot.refused() => Err(BodyFault::GaveWay(connection_table::GaveWay)),
    };
    Ok(RequestBody { data: data?, slot })
}

async fn collect<B>(
    body: B,
    slot: &connection_slot::ConnectionSlot,
    max_bytes: usize,
) -> Result<Bytes, BodyFault>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut body = std::pin::pin!(body);
    let announced = body.size_hint().exact().map(|it| it as usize);
    let mut n_bytes = 0;
    while let Some(frame) = body.frame().await {
        // Trailers say nothing that is used.
        let frame = frame.map_err(|it| BodyFault::Broken(it.into()))?;
        let Ok(data) = frame.into_data() else { continue };
        n_bytes += data.len();
        if n_bytes > max_bytes {
            return Err(BodyFault::TooLong { max_bytes });
        }
        slot.append(&data, announced.unwrap_or(max_bytes))?;
    }
    Ok(Bytes::from(slot.finish_body()?))
}
