//! Calls to halls whose scheduler runs in this process.

use std::future::Future;

use almondpass_peer::{call, error};
use almondpass_schema::ids;

/// Answers calls to halls that this instance schedules, in process and without a socket.
pub trait LocalHalls: Clone + Send + Sync + 'static {
    /// Whether this instance schedules `hall`, as far as it knows; its tenure may have expired since.
    fn holds(&self, hall: &ids::HallName) -> bool;

    /// Passes `call` to this instance's scheduler of the hall. Has no deadline: the caller sets one.
    fn answer<C: call::HallCall>(
        &self,
        call: C,
    ) -> impl Future<Output = Result<C::Reply, error::CallError>> + Send;
}
