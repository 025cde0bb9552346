//! What an operator's request can meet.

use std::time::Duration;

use almondpass_config::{fault, proposal, store};
use almondpass_peer::error;
use almondpass_schema::{model, time};
use http::StatusCode;
use thiserror::Error;

/// When to come back after a service did not answer.
const RETRY_AFTER: time::TimeSpan = time::TimeSpan::from_secs(2);

/// A request that was not done.
#[derive(Clone, Debug, Error, PartialEq)]
pub(crate) enum ConsoleFault {
    /// No operator's credentials.
    #[error("expected the name and password of an operator, found neither")]
    SignedOut,
    /// There is no such thing.
    #[error("expected {expected}, found none of this name")]
    NotFound {
        /// What was asked for.
        expected: String,
    },
    /// The path takes other methods.
    #[error("expected one of the methods {allowed}")]
    Method {
        /// The methods.
        allowed: &'static str,
    },
    /// The body is too large.
    #[error("expected a body of at most {limit} bytes")]
    TooLarge {
        /// The limit.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[error("expected the whole body within {limit:?}")]
    SlowBody {
        /// The limit.
        limit: Duration,
    },
    /// Other requests have the memory; nothing was done.
    #[error("expected room for the request, found too many others; nothing was done")]
    Full,
    /// The body or the path cannot be read.
    #[error("expected a readable request, found {0}")]
    Unreadable(String),
    /// The form is not of this session.
    #[error("expected a form of this session, found another; load the page again")]
    ForeignForm,
    /// The document is wrong.
    #[error(transparent)]
    Faults(#[from] fault::ConfigFaults),
    /// The draft is not the newest version.
    #[error(transparent)]
    Proposal(#[from] proposal::ProposalError),
    /// The table service did not give a version.
    #[error(transparent)]
    Store(#[from] store::StoreFault),
    /// Another instance did not answer.
    #[error(transparent)]
    Call(#[from] error::CallError),
}

impl ConsoleFault {
    /// HTTP status.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            ConsoleFault::SignedOut => StatusCode::UNAUTHORIZED,
            ConsoleFault::NotFound { .. } => StatusCode::NOT_FOUND,
            ConsoleFault::Method { .. } => StatusCode::METHOD_NOT_ALLOWED,
            ConsoleFault::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            ConsoleFault::SlowBody { .. } => StatusCode::REQUEST_TIMEOUT,
            ConsoleFault::Unreadable(_) => StatusCode::BAD_REQUEST,
            ConsoleFault::ForeignForm => StatusCode::FORBIDDEN,
            ConsoleFault::Faults(_)
            | ConsoleFault::Proposal(proposal::ProposalError::Faults(_)) => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            ConsoleFault::Proposal(proposal::ProposalError::Conflict(_)) => StatusCode::CONFLICT,
            ConsoleFault::Full
            | ConsoleFault::Proposal(_)
            | ConsoleFault::Store(_)
            | ConsoleFault::Call(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The fault as RFC 9457 writes it. `unknown` only where a write may have taken effect.
    pub(crate) fn problem(&self, step: &str) -> model::ProblemDetails {
        let status = self.status();
        let unsettled =
            matches!(self, ConsoleFault::Proposal(proposal::ProposalError::Unsettled { .. }));
        let unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
        let outcome =
            if unsettled { model::RequestOutcome::Unknown } else { model::RequestOutcome::NotRun };
        model::ProblemDetails {
            type_: "about:blank".to_owned(),
            title: status.canonical_reason().unwrap_or_default().to_owned(),
            status: status.as_u16(),
            detail: self.to_string(),
            outcome,
            step: step.to_owned(),
            peer: self.peer(),
            request: None,
            retry_after: unavailable.then_some(RETRY_AFTER),
            reason: None,
        }
    }

    fn peer(&self) -> Option<String> {
        match self {
            ConsoleFault::Call(error)
            | ConsoleFault::Store(store::StoreFault::Call(error))
            | ConsoleFault::Proposal(proposal::ProposalError::NotWritten(
                store::StoreFault::Call(error),
            )) => Some(error.peer.clone()),
            _ => None,
        }
    }
}
