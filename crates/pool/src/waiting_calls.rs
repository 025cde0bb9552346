//! Limits the calls that wait for the store.

use std::sync::{Arc, Mutex};

use crate::state;

/// Most calls that wait for the store at a time.
const MAX_CALLS: usize = 256;

/// Most bytes of encoded rows that waiting calls hold. Decoded rows take a few times as much, and an instance
/// may have 120 MB in all.
const MAX_BYTES: usize = 4 << 20;

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
    pub(crate) fn admit(&self, n_bytes: usize) -> Option<WaitingPlace> {
        let mut held = state::lock(&self.held);
        if held.n_calls >= MAX_CALLS || held.n_bytes + n_bytes > MAX_BYTES {
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
