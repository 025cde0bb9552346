//! What can go wrong while a hall is scheduled.

use almondpass_peer::error;
use almondpass_policy::hall_policy;
use almondpass_schema::ids;
use thiserror::Error;

/// A failed step of a hall scheduler.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum HallError {
    /// A call failed.
    #[error(transparent)]
    Call(#[from] error::CallError),
    /// A stored row or object is not what was expected.
    #[error("{step}: expected a readable row, found {detail}")]
    Unreadable {
        /// What was being done.
        step: &'static str,
        /// What was found.
        detail: String,
    },
    /// Another tenure holds the hall.
    #[error("{step}: expected tenure {epoch} of hall {hall} to hold it, found a newer one")]
    Fenced {
        /// What was being done.
        step: &'static str,
        /// The hall.
        hall: ids::HallName,
        /// Our tenure.
        epoch: ids::Epoch,
    },
    /// The policy cannot work with the configuration.
    #[error(transparent)]
    Policy(#[from] hall_policy::PolicyFault),
}

impl HallError {
    /// Whether the failed call certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        match self {
            HallError::Call(it) => it.fault.had_no_effect(),
            HallError::Fenced { .. } => true,
            HallError::Unreadable { .. } | HallError::Policy(_) => false,
        }
    }
}
