//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};

use tokio::time::Instant;

/// Writes lines into a file and onto standard output; clones share the file.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { file, started_at: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let elapsed_s = self.started_at.elapsed().as_secs_f64();
        let line = format!("{elapsed_s:8.3} s  {}", text.as_ref());
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}
