//! The body of an answer on its way from the upstream to the caller.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use almondpass_schema::{ids, model};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::admission;
use crate::config_index;
use crate::exchange;
use crate::grant_ledger;
use crate::upload_body;
use crate::upstream_pool;

/// Why an answer breaks off. The caller sees its connection end before the announced length or
/// the last chunk, so it cannot take the piece for the whole.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RelayFault {
    /// The upstream broke off or sent something wrong.
    #[error("expected the whole answer, found {0}")]
    Upstream(String),
    /// The deadline passed in the middle of it.
    #[error("expected the whole answer in time, found part of it")]
    TimedOut,
}

/// What is told when a request is over.
#[derive(Debug)]
pub struct CompletionRecord {
    /// The request.
    pub request: ids::RequestId,
    /// Measurements of its account and class.
    pub class: config_index::CallerClass,
    /// When its head arrived.
    pub arrived: Instant,
    /// Its place on this instance.
    pub permit: admission::AdmissionPermit,
}

impl CompletionRecord {
    /// The request is over.
    pub fn end(self, outcome: model::RequestOutcome) {
        self.class.meter().end(outcome, self.arrived.elapsed());
    }
}

/// Body of an answer. Frames pass one by one; the last one is held back until the connection has
/// shown that nothing follows it, because an answer of the wrong length is not the whole answer.
#[derive(Debug)]
pub struct RelayBody {
    relay: Option<Box<RelayInner>>,
    /// Taken before the head goes out.
    first: Option<Frame<Bytes>>,
}

#[derive(Debug)]
struct RelayInner {
    incoming: Incoming,
    connection: upstream_pool::UpstreamConnection,
    ticket: grant_ledger::GrantTicket,
    upload: upload_body::UploadState,
    pool: upstream_pool::UpstreamPool,
    until: Instant,
    timer: Option<Pin<Box<Sleep>>>,
    status: http::StatusCode,
    record: CompletionRecord,
    drain: bool,
}

/// Whether the answer says that the work succeeded.
pub fn outcome_of(status: http::StatusCode) -> model::RequestOutcome {
    if status.is_client_error() || status.is_server_error() {
        model::RequestOutcome::Failed
    } else {
        model::RequestOutcome::Done
    }
}

impl RelayBody {
    /// Relays the body of `answer`. With `drain`, a caller that goes away does not end it: the
    /// rest is read all the same, so that the outcome of work that must not run twice is known.
    pub fn new(
        answer: exchange::UpstreamAnswer,
        pool: upstream_pool::UpstreamPool,
        record: CompletionRecord,
        drain: bool,
    ) -> (http::response::Parts, RelayBody) {
        let (parts, incoming) = answer.response.into_parts();
        let relay = RelayInner {
            incoming,
            connection: answer.connection,
            ticket: answer.ticket,
            upload: answer.upload,
            pool,
            until: answer.until,
            timer: None,
            status: parts.status,
            record,
            drain,
        };
        (parts, RelayBody { relay: Some(Box::new(relay)), first: None })
    }

    /// Looks at the body once before the head goes out, without waiting for it. A fault that shows
    /// at the first look would take the head along, since the two are written together, and the
    /// caller would see its connection break instead of an answer that says what is known. An
    /// answer without a body ends here; nothing else would end it.
    pub async fn begin(&mut self) -> Result<(), RelayFault> {
        std::future::poll_fn(|cx| Poll::Ready(self.look(cx))).await
    }

    fn look(&mut self, cx: &mut Context<'_>) -> Result<(), RelayFault> {
        if self.relay.as_ref().is_some_and(|it| it.incoming.is_end_stream()) {
            return self.finish(cx);
        }
        match Pin::new(&mut *self).poll_frame(cx) {
            Poll::Ready(Some(frame)) => self.first = Some(frame?),
            Poll::Ready(None) | Poll::Pending => {}
        }
        Ok(())
    }

    fn finish(&mut self, cx: &mut Context<'_>) -> Result<(), RelayFault> {
        match self.relay.take() {
            Some(relay) => relay.finish(cx),
            None => Ok(()),
        }
    }

    fn fail(&mut self, fault: RelayFault, worker_fault: bool) -> RelayFault {
        if let Some(relay) = self.relay.take() {
            // The caller sees no more than a broken connection, so this line alone tells why.
            tracing::info!(request = %relay.record.request, %fault, worker_fault, "answer breaks off");
            relay.fail(worker_fault);
        }
        fault
    }
}

impl RelayInner {
    /// The upstream moves only when the caller takes frames, so a slow caller fills no memory.
    fn poll_incoming(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(cx) {
            return Poll::Ready(frame);
        }
        self.connection.poll_driver(cx);
        Pin::new(&mut self.incoming).poll_frame(cx)
    }

    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let until = self.until;
        self.timer.get_or_insert_with(|| Box::pin(sleep_until(until))).as_mut().poll(cx)
    }

    fn finish(mut self: Box<Self>, cx: &mut Context<'_>) -> Result<(), RelayFault> {
        let state = if self.upload.finished() {
            self.connection.settle(cx)
        } else {
            upstream_pool::SettledState::Closed
        };
        if let upstream_pool::SettledState::Faulty(detail) = state {
            self.record.class.meter().discard();
            self.fail(true);
            return Err(RelayFault::Upstream(detail));
        }
        if state == upstream_pool::SettledState::Reusable {
            self.pool.put_back(self.connection);
        }
        let outcome = outcome_of(self.status);
        self.ticket.settle(outcome, self.status.is_server_error());
        self.record.end(outcome);
        Ok(())
    }

    /// What was relayed so far is not the whole answer, and nothing proves what became of the work.
    fn fail(self: Box<Self>, worker_fault: bool) {
        self.ticket.settle(model::RequestOutcome::Unknown, worker_fault);
        self.record.end(model::RequestOutcome::Unknown);
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = RelayFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayFault>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        let Some(relay) = &mut self.relay else {
            return Poll::Ready(None);
        };
        let next = match relay.poll_incoming(cx) {
            Poll::Ready(next) if Instant::now() < relay.until => next,
            Poll::Ready(_) => {
                return Poll::Ready(Some(Err(self.fail(RelayFault::TimedOut, false))));
            }
            Poll::Pending => {
                ready!(relay.poll_deadline(cx));
                return Poll::Ready(Some(Err(self.fail(RelayFault::TimedOut, false))));
            }
        };
        match next {
            Some(Ok(frame)) if !relay.incoming.is_end_stream() => Poll::Ready(Some(Ok(frame))),
            Some(Ok(frame)) => Poll::Ready(Some(self.finish(cx).map(|()| frame))),
            None => Poll::Ready(self.finish(cx).err().map(Err)),
            Some(Err(error)) => {
                let worker_fault = relay.upload.fault().is_none();
                let fault = RelayFault::Upstream(error.to_string());
                Poll::Ready(Some(Err(self.fail(fault, worker_fault))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.relay.is_none() && self.first.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().and_then(Frame::data_ref).map_or(0, |it| it.len() as u64);
        let rest = self.relay.as_ref().map(|it| it.incoming.size_hint());
        let rest = rest.unwrap_or_else(|| SizeHint::with_exact(0));
        let mut whole = SizeHint::new();
        whole.set_lower(rest.lower() + first);
        if let Some(upper) = rest.upper() {
            whole.set_upper(upper + first);
        }
        whole
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        let Some(relay) = self.relay.take() else {
            return;
        };
        let runtime = tokio::runtime::Handle::try_current().ok().filter(|_| relay.drain);
        let Some(runtime) = runtime else {
            relay.fail(false);
            return;
        };
        runtime.spawn(async move {
            let mut body = RelayBody { relay: Some(relay), first: None };
            while let Some(Ok(_)) =
                std::future::poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await
            {}
        });
    }
}
