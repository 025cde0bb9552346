//! Time limits of calls to other services.

use std::future::Future;
use std::time::Duration;

use almondpass_peer::error;

/// Awaits `call` for at most `deadline`; `step` and `peer` name the operation and the service in the error.
/// A call that timed out may have had its effect.
pub(crate) async fn within<T>(
    deadline: Duration,
    step: &'static str,
    peer: &str,
    call: impl Future<Output = Result<T, error::CallError>>,
) -> Result<T, error::CallError> {
    match tokio::time::timeout(deadline, call).await {
        Ok(answer) => answer,
        Err(_) => {
            let fault = error::CallFault::TimedOut(deadline);
            Err(error::CallError { step, peer: peer.to_owned(), fault })
        }
    }
}

/// Name of the table service in error messages.
pub(crate) const TABLE_SERVICE: &str = "table";
/// Name of the object store in error messages.
pub(crate) const OBJECT_STORE: &str = "objects";
