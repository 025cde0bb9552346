//! Restarts parts of an instance that have panicked.
//!
//! Nothing else does the work of a part: a worker without a session gets no tasks, an order without an answer
//! counts as in progress, and an instance that does not follow the configuration schedules by an old one.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::time;

/// Wait before a part that has panicked is restarted: repeated panics must not fill the log.
pub(crate) const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Runs a part until it returns. A part that panics is restarted.
pub(crate) async fn restart_on_panic<F: Future<Output = ()>>(
    part: &'static str,
    begin: impl Fn() -> F,
) {
    while catch_panic(part, begin()).await.is_none() {
        time::sleep(RESTART_DELAY).await;
    }
}

/// Runs a future; returns `None` if it panicked.
async fn catch_panic<T>(part: &'static str, work: impl Future<Output = T>) -> Option<T> {
    // The state under the locks is consistent between any two statements, so it can still be used after a
    // panic.
    let output = AssertUnwindSafe(work).catch_unwind().await.ok();
    if output.is_none() {
        tracing::error!(part, "part has panicked and goes on");
        metrics::counter!("almondpass_pool_panics_total", "part" => part).increment(1);
    }
    output
}
