//! What can go wrong with a call.

use std::time::Duration;

use almondpass_schema::ids;
use thiserror::Error;

/// A failed call, with the step and the peer at which it failed.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{step} at {peer}: {fault}")]
pub struct CallError {
    /// What was being done; the path of the call.
    pub step: &'static str,
    /// Whom it was asked of.
    pub peer: ids::PeerAddress,
    /// What went wrong.
    pub fault: CallFault,
}

/// Statuses of a refusal that may be over a moment later: too many calls, and unavailable.
const REFUSED_FOR_NOW: [u16; 2] = [429, 503];

/// What went wrong, told apart by what the peer may have done.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CallFault {
    /// Nothing reached the peer; the call had no effect.
    #[error("expected a connection, found {0}")]
    NotSent(String),
    /// The peer may or may not have acted: the answer is missing.
    #[error("expected an answer, found {0}")]
    NoAnswer(String),
    /// No answer within the deadline; the peer may or may not have acted.
    #[error("expected an answer within {0:?}, found none")]
    TimedOut(Duration),
    /// The peer refused before acting.
    #[error("refused with status {status}: {detail}")]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Its reason.
        detail: String,
    },
    /// The answer could not be understood; the peer may have acted.
    #[error("expected a valid answer, found {0}")]
    Malformed(String),
}

impl CallFault {
    /// Whether the peer certainly did not act.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, CallFault::NotSent(_) | CallFault::Refused { .. })
    }

    /// Whether the peer refused what it would refuse again: the call is at fault, and not the moment.
    pub fn is_permanent(&self) -> bool {
        matches!(self, CallFault::Refused { status, .. } if !REFUSED_FOR_NOW.contains(status))
    }
}

/// Why a service gave no answer to a call that reached it.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ServeFault {
    /// The call could not be read; it had no effect.
    #[error("expected a valid call, found {0}")]
    Unreadable(String),
    /// The service refuses for now; the call had no effect.
    #[error("expected a ready service, found {0}")]
    Unavailable(String),
    /// The connection ends without an answer; the call may have had an effect. Fakes use it.
    #[error("expected an answer, found none")]
    Silent,
}
