//! Processor time of one instance's threads.

use std::fs;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Threads of one instance; clones share it. Several instances may run in one process, so the
/// processor time of the process says nothing about one of them.
#[derive(Clone, Debug, Default)]
pub struct ThreadLedger {
    threads: Arc<Mutex<Vec<ThreadId>>>,
}

/// Number that the kernel knows a thread by.
type ThreadId = u32;

impl ThreadLedger {
    /// Counts the current thread from now on.
    pub fn adopt_thread(&self) {
        let Ok(link) = fs::read_link("/proc/thread-self") else { return };
        let name = link.file_name().and_then(|it| it.to_str());
        let id = name.and_then(|it| it.parse::<ThreadId>().ok());
        self.threads.lock().unwrap_or_else(PoisonError::into_inner).extend(id);
    }

    /// Processor time that the threads used so far; zero where the kernel does not tell.
    pub fn cpu_time(&self) -> Duration {
        let threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        threads.iter().filter_map(|it| cpu_time(*it)).sum()
    }
}

/// First field of the scheduler's statistics: time on a processor in nanoseconds.
fn cpu_time(thread: ThreadId) -> Option<Duration> {
    let stat = fs::read_to_string(format!("/proc/self/task/{thread}/schedstat")).ok()?;
    let nanos = stat.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(nanos))
}
