//! Access to the state of the fakes, which is kept behind mutexes.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `state`, also after a panic of a lock holder: a second panic, about the poisoned lock, would hide
/// the message of the first.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
