//! Control interface of the workers.

use std::future::Future;

use almondpass_peer::error;
use almondpass_schema::{ids, model};

/// Manages leases and tasks on the worker whose control address is `worker`. Workers don't know about
/// the tenures of schedulers: a worker guarantees only that the resources of a lease are exclusive.
pub trait WorkerControl: Clone + Send + Sync + 'static {
    /// Reserves resources exclusively for a lease, all or none of them; idempotent by lease.
    fn reserve(
        &self,
        worker: &ids::PeerAddress,
        reserve: model::LeaseReserve,
    ) -> impl Future<Output = Result<model::LeaseReserved, error::CallError>> + Send;

    /// Starts the task of a lease; idempotent by lease.
    fn start(
        &self,
        worker: &ids::PeerAddress,
        start: model::TaskStart,
    ) -> impl Future<Output = Result<model::TaskStarted, error::CallError>> + Send;

    /// Renews leases and reads their state, in one message.
    fn renew(
        &self,
        worker: &ids::PeerAddress,
        renew: model::LeaseRenew,
    ) -> impl Future<Output = Result<model::LeaseListing, error::CallError>> + Send;

    /// Asks a task to checkpoint, to throttle itself, or to stop.
    fn signal(
        &self,
        worker: &ids::PeerAddress,
        signal: model::TaskSignal,
    ) -> impl Future<Output = Result<model::Ack, error::CallError>> + Send;

    /// Releases leases and stops their tasks.
    fn release(
        &self,
        worker: &ids::PeerAddress,
        release: model::LeaseRelease,
    ) -> impl Future<Output = Result<model::Ack, error::CallError>> + Send;

    /// Lists all leases of a worker: the authoritative list of what it runs.
    fn leases(
        &self,
        worker: &ids::PeerAddress,
    ) -> impl Future<Output = Result<model::LeaseListing, error::CallError>> + Send;
}
