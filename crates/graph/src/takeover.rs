//! What a scheduler may do with what an earlier one has left, while it can't reach some of the workers.
//!
//! On a worker that does not answer anything may run that is found nowhere else, until the leases there have
//! lapsed. Nearly always that worker had been silent before the earlier scheduler went, which had put on
//! record what it had started there, and started nothing more. With that noted beside the worker, only what
//! is on record waits: otherwise one dead worker would keep all that was accepted before the takeover from
//! starting, for twice as long as the platform lets a job stand still.

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::progress;
use crate::save_queue;
use crate::task_key;
use crate::worker;

/// A worker that has been silent for this long is noted. Each note is a write, and one more takes it back.
const NOTED_AFTER: Duration = Duration::from_millis(700);

/// How much has settled of what an earlier tenure has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SettledJobs {
    /// Any task may run on some worker that has not answered.
    NoneInherited,
    /// Only tasks whose starts are on record may.
    AllButSavedStarts,
    /// All workers have answered, or their leases have lapsed.
    All,
}

impl SettledJobs {
    pub(crate) fn of(core: &core::PoolCore, now: Duration) -> SettledJobs {
        if now >= core.settles_at {
            return SettledJobs::All;
        }
        let is_open = |it: &worker::WorkerRecord| it.inherited && !it.fenced;
        let mut open = core.workers.iter().filter(|(_, it)| is_open(it)).peekable();
        if open.peek().is_none() {
            return SettledJobs::All;
        }
        let is_recorded = open.all(|(id, _)| core.roster.are_starts_saved(id));
        if is_recorded { SettledJobs::AllButSavedStarts } else { SettledJobs::NoneInherited }
    }

    /// Whether what of a job runs is known.
    pub(crate) fn covers(self, job: &job::JobRecord) -> bool {
        match self {
            _ if !job.inherited => true,
            SettledJobs::NoneInherited => false,
            SettledJobs::AllButSavedStarts => !has_recorded_start(job),
            SettledJobs::All => true,
        }
    }
}

/// Whether an earlier scheduler has left the start of a task on record of which nothing was heard since.
fn has_recorded_start(job: &job::JobRecord) -> bool {
    let mut tasks = job.steps.iter().flat_map(|it| &it.tasks);
    tasks.any(|it| it.suspicion.inherited_attempt.is_some())
}

impl core::PoolCore {
    /// Notes of each worker that has been silent for a while that all that may run there is on record, once
    /// that is durable.
    pub(crate) fn note_silent_workers(&mut self, now: Duration) {
        let silent = self.workers.iter().filter(|(id, it)| {
            it.n_missed_calls > 0
                && now >= it.silent_since + NOTED_AFTER
                && !self.roster.are_starts_saved(id)
        });
        let silent = silent.filter(|(_, it)| self.is_recorded(it, now));
        let silent = silent.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        for worker in silent {
            self.put_on_roster(&worker, true);
        }
    }

    /// Takes in whether the earlier scheduler has kept what the roster notes of silent workers. Where it
    /// has not, it may have started tasks there all the same, and the notes are taken back.
    pub fn inherit_silence_notes(&mut self, is_kept: bool) {
        self.keeps_silence_notes = is_kept;
        if is_kept {
            return;
        }
        for worker in self.workers.keys().cloned().collect::<Vec<_>>() {
            self.put_on_roster(&worker, false);
        }
    }

    /// Whether a successor may go by what the roster notes of silent workers.
    pub fn keeps_silence_notes(&self) -> bool {
        self.keeps_silence_notes
    }

    /// Takes note that rows were saved: once the roster is, no note of an earlier scheduler is left.
    pub(crate) fn note_roster_saved(&mut self) {
        let is_roster =
            |it: save_queue::SaveRowKey| matches!(it, save_queue::SaveRowKey::Roster { .. });
        self.keeps_silence_notes |= !self.unsaved.has_unsaved(is_roster);
    }

    /// A worker has answered: it may get tasks once the note of its silence is gone.
    pub(crate) fn withdraw_silence_note(&mut self, worker: &ids::WorkerId) {
        self.put_on_roster(worker, false);
    }

    fn put_on_roster(&mut self, worker: &ids::WorkerId, are_starts_saved: bool) {
        if let Some(page) = self.roster.set_starts_saved(worker, are_starts_saved) {
            self.unsaved.mark_changed(save_queue::SaveRowKey::Roster { page });
        }
    }

    /// Whether the store has the start of each task that may run on a worker.
    fn is_recorded(&self, worker: &worker::WorkerRecord, now: Duration) -> bool {
        // What was started there before this tenure is known once it has answered, or is over.
        let is_known = worker.fenced || now >= self.settles_at;
        is_known
            && worker.unwanted_runs.is_empty()
            && worker.runs.iter().all(|it| self.is_durable(*it))
    }

    fn is_durable(&self, key: task_key::TaskKey) -> bool {
        let Some(job) = self.jobs.get(&key.graph) else { return false };
        let Some(task) = job.task(key) else { return false };
        let Some(chunk) = progress::chunk_of(job, key) else { return false };
        let row = save_queue::SaveRowKey::Progress { graph: key.graph, chunk };
        let attempt = task.run.as_ref().map(|it| it.attempt);
        attempt.is_some() && task.suspicion.saved_attempt == attempt && self.unsaved.is_saved(row)
    }
}
