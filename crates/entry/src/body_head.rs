//! Reads a caller's body up to a bound before a slot is asked for.

use std::future::poll_fn;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::upload_body;

/// Bodies up to this are read whole first: they can be sent again, and a caller that sends slowly
/// holds no slot meanwhile. Larger ones stream.
pub const REPLAY_BYTES: usize = 64 * 1024;

/// A body whose beginning was read.
#[derive(Debug)]
pub struct BodyHead {
    prefix: Bytes,
    rest: Option<Incoming>,
    limits: upload_body::UploadLimits,
}

impl BodyHead {
    /// Reads the beginning of `body` and takes the rest of it out. An error leaves nothing to
    /// undo, for no slot is held yet, and leaves the unread body behind.
    pub async fn read(
        body: &mut Option<Incoming>,
        limits: upload_body::UploadLimits,
    ) -> Result<BodyHead, upload_body::UploadFault> {
        let Some(incoming) = body else {
            return Ok(BodyHead { prefix: Bytes::new(), rest: None, limits });
        };
        let mut first = None;
        let mut joined = BytesMut::new();
        let mut n_bytes = 0;
        while n_bytes < REPLAY_BYTES {
            let frame = poll_fn(|cx| Pin::new(&mut *incoming).poll_frame(cx));
            let Ok(next) = timeout(limits.idle, frame).await else {
                return Err(upload_body::UploadFault::Idle(limits.idle));
            };
            let Some(frame) = next else {
                return Ok(BodyHead { prefix: join(first, joined), rest: None, limits });
            };
            let frame = frame.map_err(|it| upload_body::UploadFault::Cut(it.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            n_bytes += data.len();
            if limits.max_bytes < n_bytes as u64 {
                return Err(upload_body::UploadFault::TooLarge(limits.max_bytes));
            }
            match &first {
                None => first = Some(data),
                Some(_) => joined.extend_from_slice(&data),
            }
        }
        let rest = body.take().filter(|it| !it.is_end_stream());
        Ok(BodyHead { prefix: join(first, joined), rest, limits })
    }

    /// Whether the whole body is at hand, so that it can be sent again.
    pub fn replayable(&self) -> bool {
        self.rest.is_none()
    }

    /// The body as far as it was read.
    pub fn prefix(&self) -> &Bytes {
        &self.prefix
    }

    /// The body for one attempt. What streams can be taken once.
    pub fn upload(&mut self) -> upload_body::UploadBody {
        match self.rest.take() {
            Some(rest) => upload_body::UploadBody::streamed(self.prefix.clone(), rest, self.limits),
            None => upload_body::UploadBody::whole(self.prefix.clone()),
        }
    }
}

/// One frame is passed on as it is; copying starts with the second.
fn join(first: Option<Bytes>, joined: BytesMut) -> Bytes {
    let first = first.unwrap_or_default();
    if joined.is_empty() {
        return first;
    }
    let mut whole = BytesMut::with_capacity(first.len() + joined.len());
    whole.extend_from_slice(&first);
    whole.extend_from_slice(&joined);
    whole.freeze()
}
