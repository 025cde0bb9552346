//! Parts of an instance that go on although they have panicked.
//!
//! What a part cares for has nobody else: a worker without a session gets no tasks, an order without an
//! answer counts as under way, an instance that follows no configuration serves by an old one.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::time;

/// Wait before a part that has panicked goes on: a panic that comes again and again must not fill the log.
pub(crate) const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Runs a part until it ends by itself; one that panics begins anew.
pub(crate) async fn restart_on_panic<F: Future<Output = ()>>(
    part: &'static str,
    begin: impl Fn() -> F,
) {
    while attempt(part, begin()).await.is_none() {
        time::sleep(RESTART_DELAY).await;
    }
}

/// Makes one step of a part; nothing if it has panicked.
async fn attempt<T>(part: &'static str, step: impl Future<Output = T>) -> Option<T> {
    // The state behind locks is whole between any two statements.
    let done = AssertUnwindSafe(step).catch_unwind().await.ok();
    if done.is_none() {
        tracing::error!(part, "part has panicked and goes on");
        metrics::counter!("almondpass_pool_panics_total", "part" => part).increment(1);
    }
    done
}
