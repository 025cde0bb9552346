//! A runtime on a paused clock that moves only when it is told to.

use std::time::Duration;

use tokio::runtime::{Builder, Runtime};
use tokio::task;
use tokio::time::{self, Instant};

/// One process of the simulation. Dropping it ends all its tasks where they stand.
#[derive(Debug)]
pub struct PacedRuntime {
    runtime: Runtime,
}

/// The first clock is put this far ahead of the real one, since a new runtime's clock starts at the
/// real time and can only be moved forward.
const HEAD_START: Duration = Duration::from_secs(365 * 24 * 3600);

/// Looks at tasks and sockets in one turn.
const LOOKS: u32 = 8;

impl PacedRuntime {
    /// A runtime whose clock is ahead of the real one.
    pub fn first() -> PacedRuntime {
        let runtime = PacedRuntime::build();
        runtime.runtime.block_on(time::advance(HEAD_START));
        runtime
    }

    /// A runtime whose clock shows `now`.
    pub fn starting_at(now: Instant) -> PacedRuntime {
        let runtime = PacedRuntime::build();
        runtime.advance_to(now);
        runtime
    }

    /// What its clock shows.
    pub fn now(&self) -> Instant {
        self.runtime.block_on(async { Instant::now() })
    }

    /// Moves its clock to `now` at once, so that a process that was paused sees what it missed as
    /// one jump.
    pub fn advance_to(&self, now: Instant) {
        self.runtime.block_on(async {
            let missed = now.saturating_duration_since(Instant::now());
            if !missed.is_zero() {
                time::advance(missed).await;
            }
        });
    }

    /// Lets its tasks run for one turn. The clock stands still, since somebody is always busy.
    pub fn turn(&self) {
        self.runtime.block_on(async {
            for _ in 0..LOOKS {
                task::yield_now().await;
            }
        });
    }

    /// Runs something that does not wait for the clock or for other runtimes.
    pub fn enter<R>(&self, act: impl FnOnce() -> R) -> R {
        let _guard = self.runtime.enter();
        act()
    }

    /// Awaits something that does not wait for the clock or for other runtimes.
    pub fn block_on<F: Future>(&self, future: F) -> F::Output {
        self.runtime.block_on(future)
    }

    /// Starts a task.
    pub fn spawn<F>(&self, future: F) -> task::JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        self.runtime.spawn(future)
    }

    fn build() -> PacedRuntime {
        let mut builder = Builder::new_current_thread();
        let runtime = builder.enable_all().start_paused(true).build().expect("a runtime");
        PacedRuntime { runtime }
    }
}
