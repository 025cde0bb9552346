//! Coalesces identical reads: concurrent callers of one key share a single call.

use std::collections::HashMap;
use std::future::Future;
use std::hash::Hash;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// Shares reads by key. A caller never joins a read that had started before the caller asked: that
/// read may have seen the state before a write that the caller knows to be committed.
#[derive(Debug)]
pub(crate) struct ReadCoalescer<K, R> {
    waiting: Arc<Mutex<HashMap<K, Vec<oneshot::Sender<R>>>>>,
}

impl<K, R> Clone for ReadCoalescer<K, R> {
    fn clone(&self) -> Self {
        ReadCoalescer { waiting: Arc::clone(&self.waiting) }
    }
}

impl<K, R> Default for ReadCoalescer<K, R> {
    fn default() -> Self {
        ReadCoalescer { waiting: Arc::default() }
    }
}

impl<K, R> ReadCoalescer<K, R>
where
    K: Clone + Eq + Hash + Send + 'static,
    R: Clone + Send + 'static,
{
    /// Returns the result of `read` for `key`, shared with all callers that wait for the key. `None` if
    /// the read panicked.
    pub(crate) async fn read<F, N>(&self, key: K, read: N) -> Option<R>
    where
        F: Future<Output = R> + Send + 'static,
        N: Fn() -> F + Send + 'static,
    {
        let (sender, answer) = oneshot::channel();
        if self.enqueue(&key, sender) {
            tokio::spawn(self.clone().serve_readers(key, read));
        }
        answer.await.ok()
    }

    /// Adds a waiting reader. Returns whether the key had no entry, so that the caller has to start the
    /// task that reads it.
    fn enqueue(&self, key: &K, sender: oneshot::Sender<R>) -> bool {
        let mut waiting = self.lock();
        let readers = waiting.get_mut(key);
        let first = readers.is_none();
        match readers {
            Some(readers) => readers.push(sender),
            None => {
                waiting.insert(key.clone(), vec![sender]);
            }
        }
        first
    }

    async fn serve_readers<F, N>(self, key: K, read: N)
    where
        F: Future<Output = R> + Send + 'static,
        N: Fn() -> F + Send + 'static,
    {
        let mut key_guard =
            KeyGuard { coalescer: self.clone(), key: key.clone(), is_registered: true };
        while let Some(readers) = self.take_readers(&key) {
            let answer = read().await;
            for reader in readers {
                // Sending fails if the reader was dropped, which is not an error.
                let _ = reader.send(answer.clone());
            }
        }
        key_guard.is_registered = false;
    }

    /// Takes the readers that wait now. Removes the entry of the key if there are none.
    fn take_readers(&self, key: &K) -> Option<Vec<oneshot::Sender<R>>> {
        let mut waiting = self.lock();
        let readers = waiting.get_mut(key)?;
        if readers.is_empty() {
            waiting.remove(key);
            return None;
        }
        Some(std::mem::take(readers))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<K, Vec<oneshot::Sender<R>>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes the entry of a key if the task that reads it panics. Otherwise the entry would remain, and
/// every later reader of the key would wait forever.
struct KeyGuard<K: Eq + Hash, R> {
    coalescer: ReadCoalescer<K, R>,
    key: K,
    is_registered: bool,
}

impl<K: Eq + Hash, R> Drop for KeyGuard<K, R> {
    fn drop(&mut self) {
        if self.is_registered {
            let waiting = self.coalescer.waiting.lock();
            waiting.unwrap_or_else(PoisonError::into_inner).remove(&self.key);
        }
    }
}
