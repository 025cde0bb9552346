//! How calls travel: the traits that the HTTP client and the fakes of tests share.

use std::future::Future;
use std::time::Duration;

use almondpass_schema::{ids, model};
use bytes::Bytes;

use crate::call;
use crate::error;

/// Sends calls to an address.
pub trait PeerLink: Clone + Send + Sync + 'static {
    /// Sends `call` to `peer` and awaits the answer for at most `deadline`.
    fn call<C: call::PeerCall>(
        &self,
        peer: &ids::PeerAddress,
        call: C,
        deadline: Duration,
    ) -> impl Future<Output = Result<C::Reply, error::CallError>> + Send;
}

/// Sends calls to whichever instance schedules their hall.
pub trait HallLink: Clone + Send + Sync + 'static {
    /// Finds the scheduler, follows redirects while `deadline` lasts, and awaits its answer.
    fn ask<C: call::HallCall>(
        &self,
        call: C,
        deadline: Duration,
    ) -> impl Future<Output = Result<C::Reply, error::CallError>> + Send;

    /// What the holders last said of their halls, for choosing one; lags by a beat.
    fn summaries(&self) -> Vec<model::HallBeat>;
}

/// Answers calls; what an HTTP server of ours dispatches to.
pub trait PeerService: Clone + Send + Sync + 'static {
    /// Answers the call of `path` whose MessagePack is `body`; `None` where there is no such path.
    fn serve(&self, path: &str, body: Bytes) -> impl Future<Output = Option<ServedReply>> + Send;
}

/// The MessagePack of an answer, or why there is none.
pub type ServedReply = Result<Bytes, error::ServeFault>;
