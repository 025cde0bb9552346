//! The workers' control interface, as the pool needs it.

use std::future::Future;

use almondpass_graph::order;
use almondpass_peer::error;
use almondpass_schema::ids;
use thiserror::Error;

/// Whom an order is meant for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerTarget {
    /// The life of the worker that is meant; another one at the address refuses.
    pub worker: ids::WorkerId,
    /// Its control address.
    pub address: ids::PeerAddress,
}

/// Why an order or a look gave nothing.
#[derive(Clone, Debug, Error)]
pub enum ControlFault {
    /// Another life of the worker answers at the address: the one that was meant is over.
    #[error("expected worker {0}, found another")]
    Replaced(ids::WorkerId),
    /// The worker has seen a higher fencing token.
    #[error("expected the newest fencing token, found that a later one was seen")]
    Fenced,
    /// The call failed.
    #[error(transparent)]
    Call(#[from] error::CallError),
}

/// Orders to workers, each with a fencing token (see [`crate::fencing`]).
pub trait TaskControl: Clone + Send + Sync + 'static {
    /// Lists what is on a worker, extends its lease and acknowledges ends.
    fn poll(
        &self,
        target: &WorkerTarget,
        token: ids::FencingToken,
        ask: &order::PollRequest,
    ) -> impl Future<Output = Result<order::PollReply, ControlFault>> + Send;

    /// Starts a task.
    fn start(
        &self,
        token: ids::FencingToken,
        start: &order::StartOrder,
    ) -> impl Future<Output = order::StartAnswer> + Send;

    /// Stops an attempt of a task.
    fn stop(
        &self,
        token: ids::FencingToken,
        stop: &order::StopOrder,
    ) -> impl Future<Output = Result<(), ControlFault>> + Send;
}
