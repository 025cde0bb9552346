//! What a scheduler that has ended reports to its successors.

use std::time::Duration;

use almondpass_schema::model;

use crate::core;

/// What the store may lack at the end of a scheduler. The parts belong to one moment: that a start on a silent
/// worker is known may mean that it is among the suspicions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenureReport {
    /// Suspicions against tasks that were not saved.
    pub suspicions: Vec<model::UnsavedSuspicions>,
    /// Workers that did not answer, with their ends that were not saved.
    pub silent: Vec<model::SilentWorker>,
}

impl core::PoolCore {
    /// The report to the successors. It holds only if nothing is ordered afterwards.
    pub fn tenure_report(&self, now: Duration) -> TenureReport {
        TenureReport { suspicions: self.unsaved_suspicions(), silent: self.silent_workers(now) }
    }

    /// Merges the report of the scheduler right before this one.
    pub fn merge_last_report(&mut self, report: TenureReport, now: Duration) {
        self.merge_silent_workers(report.silent, now);
        report.suspicions.into_iter().for_each(|it| self.merge_suspicions(it, now));
    }

    /// Merges the report of a scheduler that others have followed since. They may have given orders to
    /// workers that did not answer it, so that only its facts about tasks hold.
    pub fn merge_earlier_report(&mut self, report: TenureReport, now: Duration) {
        self.merge_reported_ends(&report.silent, now);
        report.suspicions.into_iter().for_each(|it| self.merge_suspicions(it, now));
    }
}
