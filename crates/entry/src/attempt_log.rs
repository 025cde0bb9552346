//! What earlier attempts of a request came to.

use almondpass_schema::{ids, model};

use crate::exchange;

/// Earlier attempts of a request.
#[derive(Debug, Default)]
pub struct AttemptLog {
    /// Failed attempts.
    pub n_failed: u32,
    /// Whether an upstream may have received any byte.
    pub sent: bool,
    /// Their workers.
    pub exclude: Vec<ids::WorkerId>,
}

impl AttemptLog {
    /// Adds a failed attempt.
    pub fn note(&mut self, error: &exchange::ExchangeError) {
        self.n_failed += 1;
        self.sent |= error.sent;
        if !self.exclude.contains(&error.worker) {
            self.exclude.push(error.worker.clone());
        }
    }

    /// What can be said where the attempt at hand sent nothing.
    pub fn outcome(&self) -> model::RequestOutcome {
        // Proof of `not_run`: each attempt's gate counted no byte, and each connection is closed.
        if self.sent { model::RequestOutcome::Unknown } else { model::RequestOutcome::NotRun }
    }
}
