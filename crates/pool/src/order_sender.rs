//! Sends the orders for one worker, one at a time over one connection.

use std::sync::Arc;

use almondpass_graph::order;
use almondpass_ports::boot_clock::BootClock;
use tokio::sync::mpsc;

use crate::control::{self, TaskControl};
use crate::fencing;
use crate::leader;
use crate::session;
use crate::state;

/// Sends orders until the session with the worker ends.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    leader: Arc<leader::LeaderState>,
    mut orders: mpsc::UnboundedReceiver<order::PoolOrder>,
) {
    while let Some(order) = orders.recv().await {
        // Checked right before the order is sent: since the decision this process may have been suspended,
        // another instance may have taken over, and the worker may have restarted.
        let is_outdated = leader.core().is_outdated(&order, state.adapters.clock().now());
        if leader.permit_order(state.adapters.clock()) && !is_outdated {
            send(&state, &leader, order).await;
            leader.round_due.notify_one();
        } else {
            report_unsent(&state, &leader, &order);
        }
    }
}

async fn send<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    order: order::PoolOrder,
) {
    let control = state.adapters.control();
    let kind = match &order {
        order::PoolOrder::Start(_) => "start",
        order::PoolOrder::Stop(_) => "stop",
        order::PoolOrder::Poll { .. } => "look",
    };
    metrics::counter!("almondpass_pool_orders_total", "kind" => kind).increment(1);
    match order {
        order::PoolOrder::Start(start) => {
            let token = fencing::token(leader.epoch, start.generation);
            let answer = control.start(token, &start).await;
            leader.core().start_answered(&start, answer, state.adapters.clock().now());
        }
        order::PoolOrder::Stop(stop) => {
            let token = fencing::token(leader.epoch, stop.generation);
            let answer = control.stop(token, &stop).await;
            let now = state.adapters.clock().now();
            let mut core = leader.core();
            match answer {
                Ok(()) => core.stop_answered(&stop, true, now),
                Err(control::ControlFault::Replaced(_)) => {
                    core.stop_settled(&stop);
                    core.worker_replaced(&stop.worker, &stop.address, now);
                }
                Err(control::ControlFault::Fenced) => {
                    core.stop_settled(&stop);
                    core.note_fenced_off(&stop.worker, stop.generation);
                }
                Err(control::ControlFault::Call(error)) => {
                    tracing::debug!(worker = stop.worker, %error, "worker did not answer a stop order");
                    core.stop_answered(&stop, false, now);
                }
            }
        }
        order::PoolOrder::Poll { worker } => {
            session::poll_now(state, leader, &worker).await;
        }
    }
}

/// Notifies the core of an order that was not sent. A start that was not sent has no effect; any other order is
/// decided again.
pub(crate) fn report_unsent<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    order: &order::PoolOrder,
) {
    match order {
        order::PoolOrder::Start(start) => {
            let now = state.adapters.clock().now();
            leader.core().start_answered(start, order::StartAnswer::NotSent, now);
        }
        order::PoolOrder::Stop(stop) => leader.core().stop_settled(stop),
        order::PoolOrder::Poll { .. } => {}
    }
}
