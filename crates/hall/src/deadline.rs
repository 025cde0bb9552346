//! Bounds calls in time.

use std::future::Future;
use std::time::Duration;

use almondpass_peer::error;

/// Awaits a call of `step` at `peer` for at most `deadline`. Whether a call that is given up had an
/// effect is not known.
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

/// Name of the table service in errors that it did not answer.
pub(crate) const TABLE_SERVICE: &str = "table";
/// Name of the object store in errors that it did not answer.
pub(crate) const OBJECT_STORE: &str = "objects";
