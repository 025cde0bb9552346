//! The session with one worker: polls it for as long as it is listed.

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

/// Longest wait for ends to become durable before the worker is polled again: its lease has to be extended
/// also while the store is unavailable.
const SAVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Wait after a poll that got no answer.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Wait while the tenure allows no orders.
const NO_ORDER_DELAY: Duration = Duration::from_millis(100);

/// Polls until the worker is no longer listed or the tenure ends.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    leader: Arc<leader::LeaderState>,
    worker: ids::WorkerId,
) {
    loop {
        if !leader.permit_order(state.adapters.clock()) {
            time::sleep(NO_ORDER_DELAY).await;
            continue;
        }
        match poll(&state, &leader, &worker).await {
            PollOutcome::Answered => await_save(&leader, &worker).await,
            PollOutcome::Failed => time::sleep(POLL_RETRY_DELAY).await,
            PollOutcome::Unlisted => break,
        }
    }
    leader.remove_sender(&worker);
}

/// Outcome of a poll of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollOutcome {
    /// The worker answered.
    Answered,
    /// The worker did not answer, or rejected the poll.
    Failed,
    /// The core no longer knows the worker.
    Unlisted,
}

/// Polls a worker once and applies the runs and ends that it lists. The worker may hold the call until a task
/// ends.
pub(crate) async fn poll<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    worker: &ids::WorkerId,
) -> PollOutcome {
    match next_poll(state, leader, worker) {
        Ok(request) => poll_with(state, leader, worker, request).await,
        Err(outcome) => outcome,
    }
}

/// Polls a worker that has to answer at once.
pub(crate) async fn poll_now<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    worker: &ids::WorkerId,
) -> PollOutcome {
    match next_poll(state, leader, worker) {
        Ok(request) => {
            let request = order::PollRequest { wait: Duration::ZERO, ..request };
            poll_with(state, leader, worker, request).await
        }
        Err(outcome) => outcome,
    }
}

/// The next poll of a worker. Permission is checked under the lock of the core: a successor may be told in between
/// which workers are silent and until when their leases last, and a later poll would extend these leases.
fn next_poll<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    worker: &ids::WorkerId,
) -> Result<order::PollRequest, PollOutcome> {
    let mut core = leader.core();
    if !leader.permit_order(state.adapters.clock()) {
        return Err(PollOutcome::Failed);
    }
    core.next_poll(worker, state.adapters.clock().now()).ok_or(PollOutcome::Unlisted)
}

async fn poll_with<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    worker: &ids::WorkerId,
    request: order::PollRequest,
) -> PollOutcome {
    let clock = state.adapters.clock();
    let sent_at = clock.now();
    let target = control::WorkerTarget { worker: worker.clone(), address: request.address.clone() };
    let token = fencing::token(leader.epoch, request.generation);
    let answer = state.adapters.control().poll(&target, token, &request).await;
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
            core.worker_replaced(worker, &request.address, now);
            leader.round_due.notify_one();
            PollOutcome::Failed
        }
        Err(control::ControlFault::Fenced) => {
            core.note_fenced_off(worker, request.generation);
            leader.round_due.notify_one();
            PollOutcome::Failed
        }
        Err(control::ControlFault::Call(error)) => {
            tracing::debug!(worker, %error, "worker did not answer a poll");
            core.poll_missed(worker);
            PollOutcome::Failed
        }
    }
}

/// Waits until the ends that the worker listed are durable; before that the worker would list them again.
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
    // After the timeout the next poll carries the old acknowledgement.
    let _ = time::timeout(SAVE_TIMEOUT, saving).await;
}
