//! A request that gets an answer of our own.

use hyper::body::Incoming;

use crate::problem;

/// An answer of our own, with what is left of the caller's body.
#[derive(Debug)]
pub struct RefusedRequest {
    /// The answer.
    pub problem: problem::Problem,
    /// Body that nobody reads any more.
    pub leftover: Option<Incoming>,
    /// Whether its outcome was measured already.
    pub measured: bool,
}

impl From<problem::Problem> for RefusedRequest {
    fn from(problem: problem::Problem) -> RefusedRequest {
        RefusedRequest { problem, leftover: None, measured: false }
    }
}
