//! Locks of the fakes.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `state`; a test that panicked while it held the lock must not hide its own message
/// behind a second panic.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
