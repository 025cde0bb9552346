//! Limits the calls that wait for the store.

use std::sync::{Arc, Mutex};

use crate::state;

/// Most calls that wait for the store at a time.
const MAX_CALLS: usize = 256;

/// Most bytes of encoded rows that waiting calls hold. Decoded rows take a few times as much.
const MAX_BYTES: usize = 4 << 20;

/// Share of both limits that calls which are not urgent may take, so that urgent ones find a place.
const MAX_LESS_URGENT_SHARE: f64 = 0.75;

/// Calls that wait for the store; clones share the counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingCalls {
    held: Arc<Mutex<HeldCalls>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct HeldCalls {
    n_calls: usize,
    n_bytes: usize,
}

impl WaitingCalls {
    /// Admits a call that holds a row of `n_bytes`; `None` while too many calls wait. The call counts until
    /// the place is dropped, also by a panic or a caller that hangs up.
    pub(crate) fn admit(&self, n_bytes: usize, is_urgent: bool) -> Option<WaitingPlace> {
        let mut held = state::lock(&self.held);
        let share = if is_urgent { 1.0 } else { MAX_LESS_URGENT_SHARE };
        let max_calls = (share * MAX_CALLS as f64) as usize;
        let max_bytes = (share * MAX_BYTES as f64) as usize;
        if held.n_calls >= max_calls || held.n_bytes + n_bytes > max_bytes {
            return None;
        }
        held.n_calls += 1;
        held.n_bytes += n_bytes;
        set_gauge(&held);
        Some(WaitingPlace { calls: self.clone(), n_bytes })
    }
}

/// Place of one waiting call.
#[derive(Debug)]
pub(crate) struct WaitingPlace {
    calls: WaitingCalls,
    n_bytes: usize,
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        let mut held = state::lock(&self.calls.held);
        held.n_calls -= 1;
        held.n_bytes -= self.n_bytes;
        set_gauge(&held);
    }
}

fn set_gauge(held: &HeldCalls) {
    metrics::gauge!("almondpass_pool_calls_awaiting_store").set(held.n_calls as f64);
}
