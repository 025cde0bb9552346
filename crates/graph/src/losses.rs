//! Workers that are lost, and what ran there.

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::task_key;

/// Tasks of a lost worker that are named in the log; a worker of the users' runs up to 24.
const MOST_NAMED: usize = 32;

/// How a worker was found to be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossSign {
    /// Another worker answers at its address.
    Replaced,
    /// It answers in a later life.
    Restarted,
    /// It has been silent for longer than everything there may run: it may be cut off, and live.
    Silent,
}

impl LossSign {
    /// A short name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            LossSign::Replaced => "replaced",
            LossSign::Restarted => "restarted",
            LossSign::Silent => "silent",
        }
    }
}

impl core::PoolCore {
    /// Takes note that a worker is lost with `runs` on it.
    pub(crate) fn worker_lost(
        &mut self,
        worker: &ids::WorkerId,
        sign: LossSign,
        runs: &[task_key::TaskKey],
        now: Duration,
    ) {
        self.log_loss(worker, sign, runs, now);
    }

    /// Tells what ran there, and for how long: whether workers are lost by what they run shows only by
    /// comparing.
    fn log_loss(
        &self,
        worker: &ids::WorkerId,
        sign: LossSign,
        runs: &[task_key::TaskKey],
        now: Duration,
    ) {
        let named = runs.iter().take(MOST_NAMED).filter_map(|key| {
            let run = self.run(*key)?;
            let ran_ms = now.saturating_sub(run.since).as_millis();
            Some(format!("{key}#{} {ran_ms} ms", run.attempt))
        });
        let tasks = named.collect::<Vec<_>>().join(", ");
        let record = self.workers.get(worker);
        let silent_ms = record.map(|it| now.saturating_sub(it.answered_at).as_millis() as u64);
        tracing::info!(
            worker,
            sign = sign.name(),
            n_runs = runs.len(),
            silent_ms,
            leaves = record.is_some_and(|it| it.leaves_at.is_some()),
            tasks,
            "worker is lost"
        );
    }
}
