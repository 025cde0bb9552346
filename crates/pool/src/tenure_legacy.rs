//! What an ended tenure leaves to its successor and could not save.

use std::time::Duration;

use almondpass_graph::tenure_report;
use almondpass_schema::{ids, model};

use crate::leader;

/// What an instance knew at the end of a tenure that it held, and the store may lack.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenureLegacy {
    epoch: ids::Epoch,
    /// The report as of `recorded_at`.
    report: tenure_report::TenureReport,
    recorded_at: Duration,
}

impl TenureLegacy {
    /// The legacy of a tenure that has ended: an order given later would not be part of it.
    pub(crate) fn of(leader: &leader::LeaderState, now: Duration) -> TenureLegacy {
        let report = leader.core().tenure_report(now);
        TenureLegacy { epoch: leader.epoch, report, recorded_at: now }
    }

    /// The report to a successor that asks for the tenure of `epoch`. That of another tenure says nothing of
    /// silent workers: others may have given orders between the two.
    pub(crate) fn into_report(
        self,
        epoch: ids::Epoch,
        now: Duration,
    ) -> tenure_report::TenureReport {
        let tenure_report::TenureReport { suspicions, silent } = self.report;
        let passed_ms = now.saturating_sub(self.recorded_at).as_millis() as u64;
        let silent = silent.into_iter().filter(|_| epoch == self.epoch);
        let silent = silent.map(|it| model::SilentWorker {
            clear_in_ms: it.clear_in_ms.saturating_sub(passed_ms),
            ..it
        });
        tenure_report::TenureReport { suspicions, silent: silent.collect() }
    }
}
