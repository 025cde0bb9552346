//! Starts of inherited jobs after a takeover, while some workers can't be reached.
//!
//! A worker that does not answer may run tasks that are found nowhere else, until its leases have
//! lapsed. Nearly always it was already silent before the earlier scheduler ended; that scheduler
//! had saved all starts on the worker, and ordered no more there. The roster notes this for each
//! silent worker. With the note only tasks with saved starts have to wait. Without it one dead
//! worker would keep all jobs that were accepted before the takeover from starting, for twice as
//! long as the platform lets a job be idle. An earlier scheduler that still answers reports the
//! same, and when nothing runs on the worker any more (see [`crate::silent_workers`]).

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::progress;
use crate::save_queue;
use crate::task_key;
use crate::worker;

/// A worker that has been silent for this long gets a silence note in the roster. Each note costs a
/// write, and another one to withdraw it.
const SILENCE_NOTE_DELAY: Duration = Duration::from_millis(700);

/// The inherited jobs of which it is known where their tasks run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SettledJobs {
    /// No inherited job: any task may run on some worker that has not answered.
    NoneInherited,
    /// All jobs but those with a saved start that no worker has reported on since: only tasks with
    /// such a start may run on the workers that have not answered.
    AllButSavedStarts,
    /// All jobs: every inherited worker has answered, or its lease has lapsed.
    All,
}

impl SettledJobs {
    pub(crate) fn of(core: &core::PoolCore, now: Duration) -> SettledJobs {
        // A later scheduler may extend the leases of runs on workers that have not answered this one.
        let known_until = core.known_until(now);
        if known_until >= core.settles_at {
            return SettledJobs::All;
        }
        if core.has_unreadable_roster {
            return SettledJobs::NoneInherited;
        }
        let may_hide_runs = |id: &ids::WorkerId, it: &worker::WorkerRecord| {
            it.inherited && known_until < core.earlier_runs_end_at(id, it)
        };
        let unanswered = core.workers.iter().filter(|(id, it)| may_hide_runs(id, it));
        let mut unanswered = unanswered.peekable();
        if unanswered.peek().is_none() {
            return SettledJobs::All;
        }
        let has_only_saved_starts = unanswered.all(|(id, _)| {
            core.roster.are_starts_saved(id) || core.silence_reports.are_starts_known(id)
        });
        if has_only_saved_starts {
            SettledJobs::AllButSavedStarts
        } else {
            SettledJobs::NoneInherited
        }
    }

    /// Whether it is known where the tasks of a job run and which are done, so that its other tasks may start.
    pub(crate) fn covers(self, job: &job::JobRecord) -> bool {
        match self {
            _ if job.has_unreadable_rows => false,
            _ if !job.inherited => true,
            SettledJobs::NoneInherited => false,
            SettledJobs::AllButSavedStarts => !has_saved_start(job),
            SettledJobs::All => true,
        }
    }
}

/// Whether an earlier scheduler saved the start of a task of which no worker has reported anything
/// since.
fn has_saved_start(job: &job::JobRecord) -> bool {
    let mut tasks = job.steps.iter().flat_map(|it| &it.tasks);
    tasks.any(|it| it.suspicion.inherited_start.is_some())
}

impl core::PoolCore {
    /// Adds a silence note to the roster for each worker that has been silent for a while and whose
    /// starts are all saved. The note becomes valid once it is durable.
    pub(crate) fn note_silent_workers(&mut self, now: Duration) {
        let silent = self.workers.iter().filter(|(id, it)| {
            it.n_missed_calls > 0
                && now >= it.silent_since + SILENCE_NOTE_DELAY
                && !self.roster.are_starts_saved(id)
        });
        let silent = silent.filter(|(_, it)| self.has_only_saved_starts(it, now));
        let silent = silent.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        for worker in silent {
            self.set_silence_note(&worker, true);
        }
    }

    /// Records whether the earlier scheduler maintained the silence notes in the roster. If it did
    /// not, it may have started tasks on workers with a note all the same, and the notes are
    /// withdrawn.
    pub fn inherit_silence_notes(&mut self, is_kept: bool) {
        self.keeps_silence_notes = is_kept;
        if is_kept {
            return;
        }
        for worker in self.workers.keys().cloned().collect::<Vec<_>>() {
            self.set_silence_note(&worker, false);
        }
    }

    /// Records that a page of the roster can't be decoded: tasks of inherited jobs may run on workers that are not
    /// known.
    pub fn note_unreadable_roster(&mut self) {
        self.has_unreadable_roster = true;
    }

    /// Whether a successor may rely on the silence notes in the roster.
    pub fn keeps_silence_notes(&self) -> bool {
        self.keeps_silence_notes
    }

    /// Called after rows were saved. Once no roster page is unsaved, no note of an earlier
    /// scheduler is left in the store.
    pub(crate) fn note_roster_saved(&mut self) {
        let is_roster =
            |it: save_queue::SaveRowKey| matches!(it, save_queue::SaveRowKey::Roster { .. });
        self.keeps_silence_notes |= !self.unsaved.has_unsaved(is_roster);
    }

    /// Withdraws the silence note of a worker that has answered. It may get tasks once the
    /// withdrawal is durable.
    pub(crate) fn withdraw_silence_note(&mut self, worker: &ids::WorkerId) {
        self.set_silence_note(worker, false);
    }

    fn set_silence_note(&mut self, worker: &ids::WorkerId, are_starts_saved: bool) {
        if let Some(page) = self.roster.set_starts_saved(worker, are_starts_saved) {
            self.unsaved.mark_changed(save_queue::SaveRowKey::Roster { page });
        }
    }

    /// Whether the store has the start of each task that may run on a worker, and each end that the worker
    /// has listed.
    fn has_only_saved_starts(&self, worker: &worker::WorkerRecord, now: Duration) -> bool {
        // Starts from before this tenure are known once the worker has listed all ends; at `settles_at`
        // they have all ended.
        let is_known = worker.has_listed_all || now >= self.settles_at;
        is_known
            && worker.unwanted_runs.is_empty()
            && worker.unsaved_ends.is_empty()
            && worker.runs.iter().all(|it| self.is_start_durable(*it))
    }

    pub(crate) fn is_start_durable(&self, key: task_key::TaskKey) -> bool {
        let Some(job) = self.jobs.get(&key.graph) else { return false };
        let Some(task) = job.task(key) else { return false };
        let Some(chunk) = progress::chunk_of(job, key) else { return false };
        let row = save_queue::SaveRowKey::Progress { graph: key.graph, chunk };
        let attempt = task.run.as_ref().map(|it| it.attempt);
        attempt.is_some() && task.suspicion.saved_attempt() == attempt && self.unsaved.is_saved(row)
    }
}
