//! What an ended tenure leaves to its successor and could not save.

use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::leader;

/// What an instance knew at the end of a tenure that it held, and the store may lack.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenureLegacy {
    /// Suspicions against tasks that were not saved.
    pub(crate) unsaved: Vec<model::UnsavedSuspicions>,
    epoch: ids::Epoch,
    /// Workers that did not answer, as of `recorded_at`.
    silent: Vec<model::SilentWorker>,
    recorded_at: Duration,
}

impl TenureLegacy {
    /// The legacy of a tenure that has ended: an order given later would not be part of it.
    pub(crate) fn of(leader: &leader::LeaderState, now: Duration) -> TenureLegacy {
        let core = leader.core();
        TenureLegacy {
            unsaved: core.unsaved_suspicions(),
            epoch: leader.epoch,
            silent: core.silent_workers(now),
            recorded_at: now,
        }
    }

    /// The workers that did not answer when the tenure of `epoch` ended; none for another tenure, after which
    /// others may have given orders.
    pub(crate) fn silent_workers(
        &self,
        epoch: ids::Epoch,
        now: Duration,
    ) -> Vec<model::SilentWorker> {
        if epoch != self.epoch {
            return Vec::new();
        }
        let passed_ms = now.saturating_sub(self.recorded_at).as_millis() as u64;
        let silent = self.silent.iter().cloned().map(|it| model::SilentWorker {
            clear_in_ms: it.clear_in_ms.saturating_sub(passed_ms),
            ..it
        });
        silent.collect()
    }
}
