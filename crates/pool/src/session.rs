//! The session with one worker: looks at it, again and again.

use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::order;
use almondpass_ports::boot_clock::BootClock;
use almondpass_schema::ids;
use tokio::time;

use crate::control::{self, TaskControl};
use crate::fencing;
use crate::lead;
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
    lead: Arc<lead::LeadState>,
    worker: ids::WorkerId,
) {
    loop {
        if !lead.may_order(state.adapters.clock()) {
            time::sleep(PAUSE).await;
            continue;
        }
        match look(&state, &lead, &worker).await {
            LookOutcome::Answered => await_save(&lead, &worker).await,
            LookOutcome::Missed => time::sleep(AGAIN).await,
            LookOutcome::Over => break,
        }
    }
    lead.drop_sender(&worker);
}

/// What a look at a worker gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookOutcome {
    /// The worker answered.
    Answered,
    /// It did not.
    Missed,
    /// It is no longer known.
    Over,
}

/// Looks at a worker once and takes in what it lists.
pub(crate) async fn look<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    lead: &lead::LeadState,
    worker: &ids::WorkerId,
) -> LookOutcome {
    let now = state.adapters.clock().now();
    let Some(ask) = lead.core().next_poll(worker, now) else { return LookOutcome::Over };
    look_as(state, lead, worker, ask).await
}

/// Looks at a worker without letting it wait.
pub(crate) async fn look_now<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    lead: &lead::LeadState,
    worker: &ids::WorkerId,
) -> LookOutcome {
    let now = state.adapters.clock().now();
    let Some(mut ask) = lead.core().next_poll(worker, now) else { return LookOutcome::Over };
    ask.wait = Duration::ZERO;
    look_as(state, lead, worker, ask).await
}

async fn look_as<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    lead: &lead::LeadState,
    worker: &ids::WorkerId,
    ask: order::PollRequest,
) -> LookOutcome {
    let clock = state.adapters.clock();
    let sent_at = clock.now();
    let target = control::WorkerTarget { worker: worker.clone(), address: ask.address.clone() };
    let token = fencing::token(lead.epoch, ask.generation);
    let answer = state.adapters.control().hold(&target, token, &ask).await;
    let now = clock.now();
    let mut core = lead.core();
    match answer {
        Ok(listed) => {
            core.poll_answered(worker, listed, sent_at, now);
            drop(core);
            lead.turn_due.notify_one();
            LookOutcome::Answered
        }
        Err(control::ControlFault::Replaced(_)) => {
            core.worker_replaced(worker, &ask.address, now);
            lead.turn_due.notify_one();
            LookOutcome::Missed
        }
        Err(control::ControlFault::Fenced) => {
            core.fenced_off(worker, ask.generation);
            lead.turn_due.notify_one();
            LookOutcome::Missed
        }
        Err(control::ControlFault::Call(error)) => {
            tracing::debug!(worker, %error, "look without answer");
            core.poll_missed(worker);
            LookOutcome::Missed
        }
    }
}

/// Waits until the ends that the worker listed are durable; before that it would list them again.
async fn await_save(lead: &lead::LeadState, worker: &ids::WorkerId) {
    let saving = async {
        loop {
            let saved = lead.saved.notified();
            if !lead.core().has_unsaved_ends(worker) {
                return;
            }
            lead.save_due.notify_one();
            saved.await;
        }
    };
    // Past it the look is made with the old acknowledgement.
    let _ = time::timeout(SAVE_PATIENCE, saving).await;
}
