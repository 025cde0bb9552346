//! Traits for sending and answering calls, implemented over HTTP and by fakes in tests.

use std::future::Future;
use std::time::Duration;

use almondpass_schema::{ids, model};
use bytes::Bytes;

use crate::call;
use crate::error;

/// Sends calls to the peer at a given address.
pub trait PeerLink: Clone + Send + Sync + 'static {
    /// Sends `call` to `peer` and waits at most `deadline` for the answer.
    fn call<C: call::PeerCall>(
        &self,
        peer: &ids::PeerAddress,
        call: C,
        deadline: Duration,
    ) -> impl Future<Output = Result<C::Reply, error::CallError>> + Send;
}

/// Sends each call to the instance that currently schedules its hall.
pub trait HallLink: Clone + Send + Sync + 'static {
    /// Finds the scheduler of the hall, following redirects, and waits for its answer. `deadline` limits
    /// the whole exchange.
    fn ask<C: call::HallCall>(
        &self,
        call: C,
        deadline: Duration,
    ) -> impl Future<Output = Result<C::Reply, error::CallError>> + Send;

    /// The last reported summary of each hall, for choosing a hall. Lags by one beat, the periodic
    /// message between instances.
    fn summaries(&self) -> Vec<model::HallBeat>;
}

/// Answers the calls that a [`server`](crate::server) receives.
pub trait PeerService: Clone + Send + Sync + 'static {
    /// Answers the call with MessagePack `body` at `path`, or returns `None` if the path is unknown.
    fn serve(&self, path: &str, body: Bytes) -> impl Future<Output = Option<ServedReply>> + Send;
}

/// The answer as MessagePack, or the reason why there is none.
pub type ServedReply = Result<Bytes, error::ServeFault>;
