//! Errors as callers see them: problem details (RFC 9457) with the outcome of the work.

use std::fmt;
use std::time::Duration;

use almondpass_schema::{ids, model, time};
use bytes::Bytes;
use http::header;
use thiserror::Error;

/// Media type of problem details.
pub const MEDIA_TYPE: &str = "application/problem+json";
/// Header that tells the outcome of every answer.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// Kind of a problem; each has a status and a URI reference of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProblemKind {
    /// The request cannot be understood.
    InvalidRequest,
    /// The key is missing or unknown.
    Unauthenticated,
    /// There is no such resource of this account.
    NotFound,
    /// The resource does not know the method.
    MethodNotAllowed,
    /// The caller stopped sending.
    RequestTimeout,
    /// The idempotency key belongs to something else.
    KeyConflict,
    /// The body is larger than its class allows.
    BodyTooLarge,
    /// The head is larger than the instance allows.
    HeadTooLarge,
    /// No hall could ever run it.
    NeverFits,
    /// The account is at a limit of its own.
    AccountLimit,
    /// There is no room now.
    Busy,
    /// Something that is needed does not answer.
    Unavailable,
    /// The upstream failed or answered wrongly.
    UpstreamFailed,
    /// The deadline passed.
    DeadlinePassed,
    /// The key was used before; this is what became of it.
    Recorded,
}

impl ProblemKind {
    /// HTTP status.
    pub fn status(self) -> http::StatusCode {
        match self {
            ProblemKind::InvalidRequest => http::StatusCode::BAD_REQUEST,
            ProblemKind::Unauthenticated => http::StatusCode::UNAUTHORIZED,
            ProblemKind::NotFound => http::StatusCode::NOT_FOUND,
            ProblemKind::MethodNotAllowed => http::StatusCode::METHOD_NOT_ALLOWED,
            ProblemKind::RequestTimeout => http::StatusCode::REQUEST_TIMEOUT,
            ProblemKind::KeyConflict | ProblemKind::Recorded => http::StatusCode::CONFLICT,
            ProblemKind::BodyTooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
            ProblemKind::HeadTooLarge => http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ProblemKind::NeverFits => http::StatusCode::UNPROCESSABLE_ENTITY,
            ProblemKind::AccountLimit => http::StatusCode::TOO_MANY_REQUESTS,
            ProblemKind::Busy | ProblemKind::Unavailable => http::StatusCode::SERVICE_UNAVAILABLE,
            ProblemKind::UpstreamFailed => http::StatusCode::BAD_GATEWAY,
            ProblemKind::DeadlinePassed => http::StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// URI reference that names the kind.
    pub fn uri(self) -> &'static str {
        match self {
            ProblemKind::InvalidRequest => "/problems/invalid-request",
            ProblemKind::Unauthenticated => "/problems/unauthenticated",
            ProblemKind::NotFound => "/problems/not-found",
            ProblemKind::MethodNotAllowed => "/problems/method-not-allowed",
            ProblemKind::RequestTimeout => "/problems/request-timeout",
            ProblemKind::KeyConflict => "/problems/key-conflict",
            ProblemKind::BodyTooLarge => "/problems/body-too-large",
            ProblemKind::HeadTooLarge => "/problems/head-too-large",
            ProblemKind::NeverFits => "/problems/never-fits",
            ProblemKind::AccountLimit => "/problems/account-limit",
            ProblemKind::Busy => "/problems/busy",
            ProblemKind::Unavailable => "/problems/unavailable",
            ProblemKind::UpstreamFailed => "/problems/upstream-failed",
            ProblemKind::DeadlinePassed => "/problems/deadline-passed",
            ProblemKind::Recorded => "/problems/recorded",
        }
    }
}

impl fmt::Display for ProblemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ProblemKind::InvalidRequest => "The request cannot be understood",
            ProblemKind::Unauthenticated => "The account key is missing or unknown",
            ProblemKind::NotFound => "There is no such resource",
            ProblemKind::MethodNotAllowed => "The resource does not know the method",
            ProblemKind::RequestTimeout => "The request was not sent in time",
            ProblemKind::KeyConflict => "The idempotency key belongs to something else",
            ProblemKind::BodyTooLarge => "The body is too large",
            ProblemKind::HeadTooLarge => "The head is too large",
            ProblemKind::NeverFits => "No hall can ever run this",
            ProblemKind::AccountLimit => "The account is at its limit",
            ProblemKind::Busy => "There is no room now",
            ProblemKind::Unavailable => "A part that is needed does not answer",
            ProblemKind::UpstreamFailed => "The upstream gave no valid answer",
            ProblemKind::DeadlinePassed => "The deadline passed",
            ProblemKind::Recorded => "The idempotency key was used before",
        })
    }
}

/// A final answer that is not the upstream's.
#[derive(Clone, Debug, Error)]
#[error("{}: {}", .details.step, .details.detail)]
pub struct Problem {
    details: Box<model::ProblemDetails>,
}

impl Problem {
    /// A problem found at `step`. Whoever passes `NotRun` states the proof there.
    pub fn new(
        kind: ProblemKind,
        outcome: model::RequestOutcome,
        step: &str,
        detail: impl Into<String>,
    ) -> Problem {
        let details = model::ProblemDetails {
            type_: kind.uri().to_owned(),
            title: kind.to_string(),
            status: kind.status().as_u16(),
            detail: detail.into(),
            outcome,
            step: step.to_owned(),
            peer: None,
            request: None,
            retry_after: None,
            reason: None,
        };
        Problem { details: Box::new(details) }
    }

    /// Names the peer with which it arose.
    pub fn at(mut self, peer: impl Into<String>) -> Problem {
        self.details.peer = Some(peer.into());
        self
    }

    /// Names the request.
    pub fn of(mut self, request: ids::RequestId) -> Problem {
        self.details.request = Some(request);
        self
    }

    /// Says when to come back.
    pub fn retry_after(mut self, span: Duration) -> Problem {
        self.details.retry_after = Some(time::TimeSpan(span));
        self
    }

    /// Says why it waited or was refused.
    pub fn because(mut self, reason: model::WaitReason) -> Problem {
        self.details.reason = Some(reason);
        self
    }

    /// What became of the work.
    pub fn outcome(&self) -> model::RequestOutcome {
        self.details.outcome
    }

    /// The details as they are sent.
    pub fn details(&self) -> &model::ProblemDetails {
        &self.details
    }

    /// The answer.
    pub fn into_response(self) -> http::Response<Bytes> {
        let body = serde_json::to_vec(&self.details).unwrap_or_default();
        let mut response = http::Response::new(Bytes::from(body));
        *response.status_mut() =
            http::StatusCode::from_u16(self.details.status).unwrap_or_default();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static(MEDIA_TYPE));
        headers.insert(OUTCOME_HEADER, outcome_value(self.details.outcome));
        if let Some(span) = self.details.retry_after {
            headers.insert(header::RETRY_AFTER, header::HeaderValue::from(whole_seconds(span.0)));
        }
        if self.details.status == http::StatusCode::UNAUTHORIZED.as_u16() {
            let scheme = header::HeaderValue::from_static("Bearer");
            headers.insert(header::WWW_AUTHENTICATE, scheme);
        }
        response
    }
}

/// The outcome as a header.
pub fn outcome_value(outcome: model::RequestOutcome) -> header::HeaderValue {
    header::HeaderValue::from_static(match outcome {
        model::RequestOutcome::Done => "done",
        model::RequestOutcome::Failed => "failed",
        model::RequestOutcome::NotRun => "not_run",
        model::RequestOutcome::Unknown => "unknown",
    })
}

/// `Retry-After` counts whole seconds; rounding down would send callers back too early.
fn whole_seconds(span: Duration) -> u64 {
    span.as_millis().div_ceil(1000).try_into().unwrap_or(u64::MAX)
}
