//! Errors of hall scheduling.

use almondpass_peer::error;
use almondpass_policy::hall_policy;
use almondpass_schema::ids;
use thiserror::Error;

/// Why a step of a hall scheduler failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum HallError {
    /// A call to the store, a worker or a peer failed.
    #[error(transparent)]
    Call(#[from] error::CallError),
    /// A stored row or object can't be decoded.
    #[error("{step}: expected a readable row, found {detail}")]
    Unreadable {
        /// The operation that read it.
        step: &'static str,
        /// Message of the decoder.
        detail: String,
    },
    /// Another tenure holds the hall.
    #[error("{step}: expected tenure {epoch} of hall {hall} to hold it, found a newer one")]
    Fenced {
        /// The operation that found the newer tenure.
        step: &'static str,
        /// The hall whose tenure changed.
        hall: ids::HallName,
        /// Epoch of this instance's tenure, which has ended.
        epoch: ids::Epoch,
    },
    /// The policy rejected the configuration.
    #[error(transparent)]
    Policy(#[from] hall_policy::PolicyFault),
}

impl HallError {
    /// Whether it is certain that the failed step had no effect. `false` says only that this isn't known.
    pub fn had_no_effect(&self) -> bool {
        match self {
            HallError::Call(it) => it.fault.had_no_effect(),
            HallError::Fenced { .. } => true,
            HallError::Unreadable { .. } | HallError::Policy(_) => false,
        }
    }
}
