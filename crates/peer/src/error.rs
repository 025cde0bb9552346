//! Errors of calls, on the side of the caller and of the service.

use std::time::Duration;

use almondpass_schema::ids;
use thiserror::Error;

/// A failed call with its path and peer.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{step} at {peer}: {fault}")]
pub struct CallError {
    /// Path of the call.
    pub step: &'static str,
    /// Address to which the call was sent.
    pub peer: ids::PeerAddress,
    /// Why the call failed, and whether the peer may have acted.
    pub fault: CallFault,
}

/// HTTP statuses of refusals that may not recur on a retry: too many requests, service unavailable.
const TEMPORARY_REFUSALS: [u16; 2] = [429, 503];

/// Why a call failed. The variants differ in whether the peer may have acted on the call.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CallFault {
    /// The call was not sent to the peer and had no effect.
    #[error("expected a connection, found {0}")]
    NotSent(String),
    /// No complete answer arrived, or its status was neither success nor a refusal. The peer may have acted
    /// on the call.
    #[error("expected an answer, found {0}")]
    NoAnswer(String),
    /// The answer did not arrive within the deadline; the peer may have acted on the call.
    #[error("expected an answer within {0:?}, found none")]
    TimedOut(Duration),
    /// The peer refused the call without acting on it.
    #[error("refused with status {status}: {detail}")]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Reason given by the peer, from the start of the response body.
        detail: String,
    },
    /// The answer could not be decoded; the peer may have acted on the call.
    #[error("expected a valid answer, found {0}")]
    Malformed(String),
}

impl CallFault {
    /// Whether it is certain that the peer did not act on the call.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, CallFault::NotSent(_) | CallFault::Refused { .. })
    }

    /// Whether the peer would refuse the same call again, because of the call and not of a temporary state.
    pub fn is_permanent(&self) -> bool {
        matches!(self, CallFault::Refused { status, .. } if !TEMPORARY_REFUSALS.contains(status))
    }
}

/// Why a service did not answer a call that it received.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ServeFault {
    /// The call could not be decoded and had no effect.
    #[error("expected a valid call, found {0}")]
    Unreadable(String),
    /// The service can't answer at present; the call had no effect.
    #[error("expected a ready service, found {0}")]
    Unavailable(String),
    /// The server closes the connection without an answer; the call may have had an effect. Test fakes
    /// use this to simulate a broken connection.
    #[error("expected an answer, found none")]
    Silent,
}
