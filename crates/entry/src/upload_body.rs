//! The body of a request on its way from the caller to the upstream.

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::{Instant, Sleep};

/// Why a body from a caller did not arrive whole.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum UploadFault {
    /// It is larger than its class allows.
    #[error("expected a body of at most {0} bytes, found more")]
    TooLarge(u64),
    /// It stood still.
    #[error("expected more of the body within {0:?}, found none")]
    Idle(Duration),
    /// The deadline passed first.
    #[error("expected the whole body by the deadline, found part of it")]
    Late,
    /// It was cut off or garbled.
    #[error("expected the whole body, found {0}")]
    Cut(String),
}

/// Limits on a body while it streams.
#[derive(Clone, Copy, Debug)]
pub struct UploadLimits {
    /// Most bytes.
    pub max_bytes: u64,
    /// Longest standstill.
    pub idle: Duration,
}

/// What has become of an upload, for whoever reads the answer.
#[derive(Clone, Debug, Default)]
pub struct UploadState {
    inner: Arc<Mutex<StateInner>>,
}

#[derive(Debug, Default)]
struct StateInner {
    fault: Option<UploadFault>,
    finished: bool,
    leftover: Option<Incoming>,
}

impl UploadState {
    /// Why the body did not arrive whole, if so.
    pub fn fault(&self) -> Option<UploadFault> {
        self.lock().fault.clone()
    }

    /// Whether the whole body was handed on.
    pub fn finished(&self) -> bool {
        self.lock().finished
    }

    /// The part that nobody read, of a body that was refused.
    pub fn take_leftover(&self) -> Option<Incoming> {
        self.lock().leftover.take()
    }

    fn fail(&self, fault: UploadFault, leftover: Option<Incoming>) {
        let mut state = self.lock();
        state.fault = Some(fault);
        state.leftover = leftover;
    }

    fn finish(&self) {
        self.lock().finished = true;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StateInner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// A body that is either at hand whole, or streams on from the caller.
#[derive(Debug)]
pub struct UploadBody {
    prefix: Option<Bytes>,
    rest: Option<UploadRest>,
    state: UploadState,
}

#[derive(Debug)]
struct UploadRest {
    incoming: Incoming,
    limits: UploadLimits,
    n_bytes: u64,
    idle: Option<Pin<Box<Sleep>>>,
}

impl UploadBody {
    /// A body at hand.
    pub fn whole(body: Bytes) -> UploadBody {
        let state = UploadState::default();
        state.finish();
        UploadBody { prefix: Some(body).filter(|it| !it.is_empty()), rest: None, state }
    }

    /// `prefix`, then what still comes.
    pub fn streamed(prefix: Bytes, incoming: Incoming, limits: UploadLimits) -> UploadBody {
        let n_bytes = prefix.len() as u64;
        let rest = UploadRest { incoming, limits, n_bytes, idle: None };
        UploadBody { prefix: Some(prefix), rest: Some(rest), state: UploadState::default() }
    }

    /// What becomes of it.
    pub fn state(&self) -> UploadState {
        self.state.clone()
    }
}

impl UploadRest {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadFault>>> {
        loop {
            let Poll::Ready(next) = Pin::new(&mut self.incoming).poll_frame(cx) else {
                return self.poll_idle(cx);
            };
            self.idle = None;
            let Some(frame) = next else {
                return Poll::Ready(None);
            };
            let frame = frame.map_err(|it| UploadFault::Cut(it.to_string()))?;
            // Trailers of a caller's body are not passed on.
            let Ok(data) = frame.into_data() else { continue };
            self.n_bytes += data.len() as u64;
            if self.limits.max_bytes < self.n_bytes {
                return Poll::Ready(Some(Err(UploadFault::TooLarge(self.limits.max_bytes))));
            }
            return Poll::Ready(Some(Ok(data)));
        }
    }

    /// A caller that stops in the middle would otherwise hold a slot of a worker until its
    /// deadline; one would notice it as full workers that do nothing.
    fn poll_idle(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadFault>>> {
        let span = self.limits.idle;
        let idle = self
            .idle
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(Instant::now() + span)));
        ready!(idle.as_mut().poll(cx));
        Poll::Ready(Some(Err(UploadFault::Idle(span))))
    }
}

impl Body for UploadBody {
    type Data = Bytes;
    type Error = UploadFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, UploadFault>>> {
        let body = &mut *self;
        if let Some(prefix) = body.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let Some(rest) = &mut body.rest else {
            return Poll::Ready(None);
        };
        match ready!(rest.poll_next(cx)) {
            Some(Ok(data)) => {
                if rest.incoming.is_end_stream() {
                    body.state.finish();
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Err(fault)) => {
                let leftover = body.rest.take().map(|it| it.incoming);
                body.state.fail(fault.clone(), leftover);
                Poll::Ready(Some(Err(fault)))
            }
            None => {
                body.state.finish();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.rest.as_ref().is_none_or(|it| it.incoming.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let n_prefix = self.prefix.as_ref().map_or(0, |it| it.len() as u64);
        let Some(rest) = &self.rest else {
            return SizeHint::with_exact(n_prefix);
        };
        match rest.incoming.size_hint().exact() {
            Some(n_rest) => SizeHint::with_exact(n_prefix + n_rest),
            None => SizeHint::default(),
        }
    }
}
