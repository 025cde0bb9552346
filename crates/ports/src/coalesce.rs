//! Reads that several callers want at the same time, made once.

use std::collections::HashMap;
use std::future::Future;
use std::hash::Hash;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// Shares reads by key. A reader never joins a read that was under way before it asked: that one
/// may have looked before a write which the reader knows of.
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
    /// Reads `key` by `read`, together with whoever else waits for it. `None` where the read
    /// panicked.
    pub(crate) async fn read<F, N>(&self, key: K, read: N) -> Option<R>
    where
        F: Future<Output = R> + Send + 'static,
        N: Fn() -> F + Send + 'static,
    {
        let (sender, answer) = oneshot::channel();
        if self.enqueue(&key, sender) {
            tokio::spawn(self.clone().run(key, read));
        }
        answer.await.ok()
    }

    /// Adds a reader; tells whether it is the first, so that nobody reads the key yet.
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

    async fn run<F, N>(self, key: K, read: N)
    where
        F: Future<Output = R> + Send + 'static,
        N: Fn() -> F + Send + 'static,
    {
        let mut entry = KeyEntry { coalescer: self.clone(), key: key.clone(), stands: true };
        while let Some(readers) = self.take(&key) {
            let answer = read().await;
            for reader in readers {
                // A reader may have given up.
                let _ = reader.send(answer.clone());
            }
        }
        entry.stands = false;
    }

    /// The readers that wait now; ends the key's reading where there are none.
    fn take(&self, key: &K) -> Option<Vec<oneshot::Sender<R>>> {
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

/// Removes the key when its reading ends. A read that panicked would otherwise leave it behind,
/// and every later reader of the key would wait for ever.
struct KeyEntry<K: Eq + Hash, R> {
    coalescer: ReadCoalescer<K, R>,
    key: K,
    stands: bool,
}

impl<K: Eq + Hash, R> Drop for KeyEntry<K, R> {
    fn drop(&mut self) {
        if self.stands {
            let waiting = self.coalescer.waiting.lock();
            waiting.unwrap_or_else(PoisonError::into_inner).remove(&self.key);
        }
    }
}
