//! Exchange of silence reports: what a scheduler knows of workers that do not answer, for its successor.
//!
//! A successor can't reach such a worker either, and without a report it has to assume that the earlier
//! scheduler gave orders there until it ended. The silence notes in the roster say less, and none is
//! written while the store is unavailable.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::core;
use crate::lease_clock;
use crate::save_queue;
use crate::task_key;
use crate::unsaved_suspicions;
use crate::worker;

/// Limit of the workers that are reported, silent for longest first. Each is about a hundred bytes.
const MAX_REPORTED_WORKERS: usize = 256;

/// Limit of the ends that are reported of all workers together. Each is about a hundred bytes.
const MAX_REPORTED_ENDS: usize = 1_024;

/// What earlier schedulers have reported of workers that do not answer.
#[derive(Clone, Debug, Default)]
pub struct SilenceReports {
    reports: BTreeMap<ids::WorkerId, SilenceReport>,
}

#[derive(Clone, Copy, Debug)]
struct SilenceReport {
    /// From this time on, nothing that earlier schedulers started runs on the worker.
    clear_at: Duration,
    /// Whether every earlier start that may run there is saved, or was reported as unsaved.
    are_starts_known: bool,
}

impl SilenceReports {
    /// Time from which nothing that earlier schedulers started runs on the worker, if it was reported.
    pub(crate) fn clear_at(&self, worker: &ids::WorkerId) -> Option<Duration> {
        self.reports.get(worker).map(|it| it.clear_at)
    }

    /// Whether every earlier start that may run on the worker is known.
    pub(crate) fn are_starts_known(&self, worker: &ids::WorkerId) -> bool {
        self.reports.get(worker).is_some_and(|it| it.are_starts_known)
    }
}

impl core::PoolCore {
    /// Reports the workers that do not answer. The report holds only together with the
    /// [`core::PoolCore::unsaved_suspicions`] of the same moment, and only if nothing is ordered afterwards.
    pub fn silent_workers(&self, now: Duration) -> Vec<model::SilentWorker> {
        let mut silent =
            self.workers.iter().filter(|(_, it)| !it.is_responsive()).collect::<Vec<_>>();
        silent.sort_by_key(|(_, it)| it.last_contact_at);
        let are_all_chunks_reported =
            self.n_unsaved_chunks() <= unsaved_suspicions::MAX_REPORTED_CHUNKS;
        let mut n_ends_left = MAX_REPORTED_ENDS;
        let report = |(id, it): (&ids::WorkerId, &worker::WorkerRecord)| {
            let mut ends = self.ends_to_report(id, it);
            let are_ends_told = ends.len() <= n_ends_left;
            ends.truncate(n_ends_left);
            n_ends_left -= ends.len();
            let earlier_clear_at = self.earlier_runs_end_at(id, it);
            let clear_at = earlier_clear_at.max(self.own_runs_end_at(it));
            let is_known = now >= earlier_clear_at && it.unwanted_runs.is_empty();
            let mut runs = it.runs.iter();
            model::SilentWorker {
                worker: id.clone(),
                clear_in_ms: ceil_millis(clear_at.saturating_sub(now)),
                are_starts_known: is_known
                    && are_all_chunks_reported
                    && runs.all(|key| self.is_start_reported(*key)),
                are_ends_told,
                ends,
            }
        };
        silent.into_iter().take(MAX_REPORTED_WORKERS).map(report).collect()
    }

    /// Merges the report of the scheduler right before this one. Of a worker that may have listed ends
    /// which are neither in the store nor known here, nothing is known.
    pub fn merge_silent_workers(&mut self, mut reported: Vec<model::SilentWorker>, now: Duration) {
        let with_known_ends = self.merge_reported_ends(&reported, now);
        reported.retain(|it| with_known_ends.contains(&it.worker));
        if reported.is_empty() {
            return;
        }
        let n_clear = reported.iter().filter(|it| it.clear_in_ms == 0).count();
        let n_known = reported.iter().filter(|it| it.are_starts_known).count();
        let clear_in_ms = reported.iter().map(|it| it.clear_in_ms).max();
        tracing::info!(
            n_workers = reported.len(),
            n_clear,
            n_known,
            clear_in_ms,
            settles_in_ms = self.settles_in(now).as_millis() as u64,
            "a former scheduler reports workers that did not answer it"
        );
        for it in reported {
            let report = SilenceReport {
                clear_at: now + Duration::from_millis(it.clear_in_ms),
                are_starts_known: it.are_starts_known,
            };
            self.silence_reports.reports.insert(it.worker, report);
        }
    }

    /// Applies the ends that a former scheduler reports of silent workers. Returns the workers of which all
    /// ends are known now.
    pub(crate) fn merge_reported_ends(
        &mut self,
        reported: &[model::SilentWorker],
        now: Duration,
    ) -> BTreeSet<ids::WorkerId> {
        let mut with_known_ends = BTreeSet::new();
        for it in reported {
            if !it.ends.is_empty() || !it.are_ends_told {
                tracing::info!(
                    worker = it.worker,
                    n_ends = it.ends.len(),
                    are_ends_told = it.are_ends_told,
                    clear_in_ms = it.clear_in_ms,
                    "a former scheduler reports unsaved ends of a worker that did not answer it"
                );
            }
            if self.apply_reported_ends(&it.worker, &it.ends, now) && it.are_ends_told {
                with_known_ends.insert(it.worker.clone());
            }
        }
        with_known_ends
    }

    /// Time from which nothing that earlier schedulers started runs unseen on a worker.
    pub(crate) fn earlier_runs_end_at(
        &self,
        id: &ids::WorkerId,
        worker: &worker::WorkerRecord,
    ) -> Duration {
        if worker.has_listed_all {
            return Duration::ZERO;
        }
        let reported = self.silence_reports.clear_at(id);
        reported.map_or(self.settles_at, |it| it.min(self.settles_at))
    }

    /// Time from which nothing that this scheduler knows of runs on a worker that does not answer.
    fn own_runs_end_at(&self, worker: &worker::WorkerRecord) -> Duration {
        if worker.runs.is_empty() && worker.unwanted_runs.is_empty() {
            return Duration::ZERO;
        }
        let of_runs = worker.runs.iter().map(|key| self.unconfirmed_run_ends_at(*key)).max();
        worker.clock.lapses_at().max(of_runs.unwrap_or_default())
    }

    /// Time at which a run has ended at the latest if a later incarnation has accepted its start; zero if
    /// the known incarnation has confirmed the run.
    fn unconfirmed_run_ends_at(&self, key: task_key::TaskKey) -> Duration {
        let run = self.task_run(key).filter(|it| !it.is_confirmed_by_incarnation);
        let longest_lease = lease_clock::max_local_span(self.timing.longest_lease);
        run.map_or(Duration::ZERO, |it| {
            it.tracked_since + self.timing.start_timeout + longest_lease
        })
    }

    /// Whether a successor learns of the start of a task's run, from the store or from the unsaved
    /// suspicions. These leave out ended jobs and tasks that are done.
    fn is_start_reported(&self, key: task_key::TaskKey) -> bool {
        let Some(job) = self.jobs.get(&key.graph) else { return false };
        let Some(task) = job.task(key) else { return false };
        let attempt = task.run.as_ref().map(|it| it.attempt);
        let is_marked = attempt.is_some() && task.suspicion.saved_attempt() == attempt;
        self.is_start_durable(key) || (is_marked && !job.has_ended() && !task.done)
    }

    fn n_unsaved_chunks(&self) -> usize {
        let is_chunk =
            |it: &save_queue::SaveRowKey| matches!(it, save_queue::SaveRowKey::Progress { .. });
        self.unsaved.unsaved_rows().filter(is_chunk).count()
    }
}

/// Whole milliseconds, rounded up: a report must not promise an earlier time.
fn ceil_millis(span: Duration) -> u64 {
    let is_partial = !span.subsec_nanos().is_multiple_of(1_000_000);
    span.as_millis() as u64 + u64::from(is_partial)
}
