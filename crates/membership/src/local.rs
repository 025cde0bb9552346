//! The halls that this very instance schedules.

use std::future::Future;

use almondpass_peer::{call, error};
use almondpass_schema::ids;

/// Answers calls of halls that this instance schedules, without a socket.
pub trait LocalHalls: Clone + Send + Sync + 'static {
    /// Whether this instance believes that it schedules `hall`.
    fn holds(&self, hall: &ids::HallName) -> bool;

    /// Answers a call.
    fn answer<C: call::HallCall>(
        &self,
        call: C,
    ) -> impl Future<Output = Result<C::Reply, error::CallError>> + Send;
}
