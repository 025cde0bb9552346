//! Probes a store that fails calls, so that its return is noticed soon and by few calls.

use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::error;
use almondpass_ports::keys;
use almondpass_ports::table::TableService;
use almondpass_schema::model;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::{self, Instant};

use crate::state;

/// Interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Time after which a probe is given up. A slow store still answers within this time, and a store that comes
/// back has lost the probes that were sent before.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);

/// Probes the store from the first failed call until it answers, over and over.
pub(crate) async fn run<S: state::PoolAdapters>(state: Arc<state::PoolState<S>>) {
    let mut failing = state.outages.subscribe();
    while failing.wait_for(|it| *it).await.is_ok() {
        probe_until_answered(&state).await;
    }
}

/// Sends probes until calls are answered: a probe, or any other call.
async fn probe_until_answered<S: state::PoolAdapters>(state: &state::PoolState<S>) {
    let mut failing = state.outages.subscribe();
    let answered = failing.wait_for(|it| !it);
    tokio::pin!(answered);
    let mut probes = FuturesUnordered::new();
    loop {
        let sent_at = Instant::now();
        probes.push(time::timeout(PROBE_TIMEOUT, read_any_row(state)));
        let next = time::sleep_until(sent_at + PROBE_INTERVAL);
        tokio::pin!(next);
        loop {
            tokio::select! {
                biased;
                _ = &mut answered => return,
                Some(probe) = probes.next() => match probe {
                    Ok(Ok(_)) => state.outages.record_answer(),
                    Ok(Err(error)) => state.outages.record_failure(sent_at, &error.fault),
                    Err(_) => {}
                },
                () = &mut next => break,
            }
        }
    }
}

async fn read_any_row<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
) -> Result<model::TableRows, error::CallError> {
    let get = model::TableGet { keys: vec![keys::pool_tenure()] };
    state.adapters.store().get(get).await
}
