//! The workers' control interface, as the pool uses it.

use std::future::Future;

use almondpass_graph::order;
use almondpass_peer::error;
use almondpass_schema::ids;
use thiserror::Error;

/// The worker that a call is meant for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerTarget {
    /// Id of the incarnation that is meant; another incarnation at the address refuses the call.
    pub worker: ids::WorkerId,
    /// Address of the worker's control interface.
    pub address: ids::PeerAddress,
}

/// Why an order or a poll failed.
#[derive(Clone, Debug, Error)]
pub enum ControlFault {
    /// Another incarnation of the worker answers at the address: the intended one has ended.
    #[error("expected worker {0}, found another")]
    Replaced(ids::WorkerId),
    /// The worker has seen a higher fencing token.
    #[error("expected the newest fencing token, found that the worker has seen a higher one")]
    Fenced,
    /// The call failed in transport, or the worker rejected it for another reason.
    #[error(transparent)]
    Call(#[from] error::CallError),
}

/// Calls to workers, each with a fencing token (see [`crate::fencing`]).
pub trait TaskControl: Clone + Send + Sync + 'static {
    /// Polls a worker: extends its lease, acknowledges ends, and returns its running and ended tasks.
    fn poll(
        &self,
        target: &WorkerTarget,
        token: ids::FencingToken,
        request: &order::PollRequest,
    ) -> impl Future<Output = Result<order::PollReply, ControlFault>> + Send;

    /// Starts a task attempt.
    fn start(
        &self,
        token: ids::FencingToken,
        start: &order::StartOrder,
    ) -> impl Future<Output = order::StartAnswer> + Send;

    /// Stops a task attempt.
    fn stop(
        &self,
        token: ids::FencingToken,
        stop: &order::StopOrder,
    ) -> impl Future<Output = Result<(), ControlFault>> + Send;
}
