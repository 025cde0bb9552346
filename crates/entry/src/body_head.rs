//! Reads a caller's body up to a bound before a slot is asked for.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame};
use hyper::body::Incoming;
use tokio::time::{Instant, sleep_until};

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
        deadline: Instant,
    ) -> Result<BodyHead, upload_body::UploadFault> {
        let Some(incoming) = body else {
            return Ok(BodyHead { prefix: Bytes::new(), rest: None, limits });
        };
        let mut first = None;
        let mut joined = BytesMut::new();
        let mut n_bytes = 0;
        while n_bytes < REPLAY_BYTES {
            let Some(frame) = next_frame(incoming, limits, deadline).await? else {
                return Ok(BodyHead { prefix: join(first, joined), rest: None, limits });
            };
            let Ok(data) = frame.into_data() else { continue };
            n_bytes += data.len();
            if limits.max_bytes < n_bytes as u64 {
                return Err(upload_body::UploadFault::TooLarge(limits.max_bytes));
            }
            match &first {
                None => first = Some(data),
                Some(_) => joined.extend_from_slice(&data),
            }
            if incoming.is_end_stream() {
                break;
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

/// The next frame, `None` at the end. The timer is made only where the frame is not there yet.
async fn next_frame(
    incoming: &mut Incoming,
    limits: upload_body::UploadLimits,
    deadline: Instant,
) -> Result<Option<Frame<Bytes>>, upload_body::UploadFault> {
    let mut timer = None;
    let next = poll_fn(|cx| {
        if let Poll::Ready(next) = Pin::new(&mut *incoming).poll_frame(cx) {
            return Poll::Ready(Some(next));
        }
        let until = || Box::pin(sleep_until(deadline.min(Instant::now() + limits.idle)));
        timer.get_or_insert_with(until).as_mut().poll(cx).map(|()| None)
    });
    match next.await {
        Some(frame) => {
            frame.transpose().map_err(|it| upload_body::UploadFault::Cut(it.to_string()))
        }
        None if deadline <= Instant::now() => Err(upload_body::UploadFault::Late),
        None => Err(upload_body::UploadFault::Idle(limits.idle)),
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
