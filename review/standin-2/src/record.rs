//! The record of a case: what was sent, answered and run.

use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone, Debug)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { began: Instant::now(), lines: Arc::default() }
    }

    pub fn note(&self, line: impl Into<String>) {
        self.lines.lock().unwrap().push((Instant::now(), line.into()));
    }

    /// Seconds since the beginning of the case.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    pub fn text(&self) -> String {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|it| it.0);
        let lines = lines.into_iter().map(|(at, it)| format!("{:8.3} s  {it}\n", self.seconds(at)));
        lines.collect()
    }
}
