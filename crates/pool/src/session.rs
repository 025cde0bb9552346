//! The session with one worker: looks at it, again and again.

use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::order;
use almondpass_ports::boot_clock::BootClock;
use almondpass_schema::ids;
use tokio::time;

use crate::control::{self, TaskControl};
use crate::fencing;
use crate::leader;
use crate::state;

/// Longest wait for ends to become durable before the worker is looked at again: while the store
/// is away its lease has to be extended all the same.
const SAVE_PATIENCE: Duration = Duration::from_millis(500);

/// Wait after a look without an answer.
const AGAIN: Duration = Duration::from_millis(250);

/// Wait while the tenure allows no orders.
const PAUSE: Duration = Duration::from_millis(100);

/// Looks until the worker or the tenure is over.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    leader: Arc<leader::LeaderState>,
    worker: ids::WorkerId,
) {
    loop {
        if !leader.permit_order(state.adapters.clock()) {
            time::sleep(PAUSE).await;
            continue;
        }
        match poll(&state, &leader, &worker).await {
            PollOutcome::Answered => await_save(&leader, &worker).await,
            PollOutcome::Failed => time::sleep(AGAIN).await,
            PollOutcome::Unlisted => break,
        }
    }
    leader.remove_sender(&worker);
}

/// What a look at a worker gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollOutcome {
    /// The worker answered.
    Answered,
    /// It did not.
    Failed,
    /// It is no longer known.
    Unlisted,
}

/// Looks at a worker once and takes in what it lists.
pub(crate) async fn poll<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    worker: &ids::WorkerId,
) -> PollOutcome {
    let now = state.adapters.clock().now();
    let Some(ask) = leader.core().next_poll(worker, now) else { return PollOutcome::Unlisted };
    poll_with(state, leader, worker, ask).await
}

/// Looks at a worker without letting it wait.
pub(crate) async fn poll_now<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    worker: &ids::WorkerId,
) -> PollOutcome {
    let now = state.adapters.clock().now();
    let Some(mut ask) = leader.core().next_poll(worker, now) else { return PollOutcome::Unlisted };
    ask.wait = Duration::ZERO;
    poll_with(state, leader, worker, ask).await
}

async fn poll_with<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    worker: &ids::WorkerId,
    ask: order::PollRequest,
) -> PollOutcome {
    let clock = state.adapters.clock();
    let sent_at = clock.now();
    let target = control::WorkerTarget { worker: worker.clone(), address: ask.address.clone() };
    let token = fencing::token(leader.epoch, ask.generation);
    let answer = state.adapters.control().poll(&target, token, &ask).await;
    let now = clock.now();
    let mut core = leader.core();
    match answer {
        Ok(listed) => {
            core.poll_answered(worker, listed, sent_at, now);
            drop(core);
            leader.round_due.notify_one();
            PollOutcome::Answered
        }
        Err(control::ControlFault::Replaced(_)) => {
            core.worker_replaced(worker, &ask.address, now);
            leader.round_due.notify_one();
            PollOutcome::Failed
        }
        Err(control::ControlFault::Fenced) => {
            core.note_fenced_off(worker, ask.generation);
            leader.round_due.notify_one();
            PollOutcome::Failed
        }
        Err(control::ControlFault::Call(error)) => {
            tracing::debug!(worker, %error, "look without answer");
            core.poll_missed(worker);
            PollOutcome::Failed
        }
    }
}

/// Waits until the ends that the worker listed are durable; before that it would list them again.
async fn await_save(leader: &leader::LeaderState, worker: &ids::WorkerId) {
    let saving = async {
        loop {
            let saved = leader.saved.notified();
            if !leader.core().has_unsaved_ends(worker) {
                return;
            }
            leader.save_due.notify_one();
            saved.await;
        }
    };
    // Past it the look is made with the old acknowledgement.
    let _ = time::timeout(SAVE_PATIENCE, saving).await;
}
