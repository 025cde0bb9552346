//! The records of a timed job's runs: made when a run begins, and dropped once it is done and saved.
//!
//! A timed job may have as many runs as the system has tasks. With a record for each task of each run, two dozen
//! accepted jobs took more memory than an instance has.

use std::ops::Range;
use std::time::Duration;

use almondpass_schema::model;

use crate::core;
use crate::job;
use crate::progress;
use crate::save_queue;
use crate::task_key;

/// While as many tasks of a timed job have records and are not done, none of its later runs begins. Runs that
/// became due without a scheduler are all due at once.
const MAX_OPEN_TASKS: usize = 4_000;

impl job::JobRecord {
    /// Adds the records of the next run. Returns false if all runs have begun.
    pub(crate) fn begin_run(&mut self) -> bool {
        if self.have_all_runs_begun() {
            return false;
        }
        for spec in &self.graph_steps {
            let mut step = job::StepRecord::new(spec.clone(), self.admitted_at);
            step.tasks.iter_mut().for_each(|it| it.attempt = self.skipped_attempts);
            self.steps.push(step);
        }
        true
    }

    /// Adds the records of all runs with saved progress in a row.
    pub(crate) fn begin_runs_of(&mut self, row: &model::ProgressRow) {
        let Some(last) = row.steps.iter().rposition(has_progress) else { return };
        self.begin_until(row.first_step as usize + last);
    }

    /// Adds the records of the runs up to the one with a step.
    fn begin_until(&mut self, step: usize) {
        while self.steps.len() <= step && self.begin_run() {}
    }

    /// Adds the records of the runs that are due at the wall-clock time `wall_time`, as far as the number of
    /// open tasks permits.
    fn begin_due_runs(&mut self, wall_time: Duration) {
        if !self.is_run_due(wall_time) {
            return;
        }
        let n_tasks_of_run = self.graph_steps.iter().map(|it| it.tasks as usize).sum::<usize>();
        let mut n_open = self.steps.iter().flat_map(|it| &it.tasks).filter(|it| !it.done).count();
        while n_open < MAX_OPEN_TASKS && self.is_run_due(wall_time) {
            self.begin_run();
            n_open += n_tasks_of_run;
        }
    }

    /// Whether a run that has not begun is due.
    fn is_run_due(&self, wall_time: Duration) -> bool {
        !self.have_all_runs_begun() && self.due_at(self.steps.len()) <= wall_time
    }

    fn have_all_runs_begun(&self) -> bool {
        self.steps.len() >= self.graph_steps.len() * self.n_runs as usize
    }

    /// Whether all steps of all runs are done.
    pub(crate) fn is_complete(&self) -> bool {
        self.have_all_runs_begun() && self.steps.iter().all(job::StepRecord::is_done)
    }

    /// Drops the records of the tasks of done steps of a timed job, unless a run of them is still tracked.
    pub(crate) fn drop_ended_records(&mut self, steps: Range<usize>) {
        if self.schedule.is_none() {
            return;
        }
        for step in self.steps.iter_mut().take(steps.end).skip(steps.start) {
            if step.is_done() && step.tasks.iter().all(|it| it.run.is_none()) {
                step.tasks = Vec::new();
            }
        }
    }
}

impl core::PoolCore {
    /// Adds the records of the runs that are due.
    pub(crate) fn begin_due_runs(&mut self) {
        let wall_time = self.wall_time;
        for graph in &self.active {
            let timed = self.jobs.get_mut(graph).filter(|it| it.schedule.is_some());
            if let Some(job) = timed {
                job.begin_due_runs(wall_time);
            }
        }
    }

    /// Adds the records of a task's run, which an earlier scheduler may have begun. The run may not be due yet by
    /// the clock of this instance.
    pub(crate) fn begin_run_of(&mut self, key: task_key::TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.graph) else { return };
        if key.occurrence < job.n_runs {
            job.begin_until(key.occurrence as usize * job.graph_steps.len());
        }
    }

    /// Drops the records of done steps of a timed job with tasks in a row that was saved. An end of a task without
    /// a record is acknowledged at once, so the records are kept until the end of each task is saved.
    pub(crate) fn drop_saved_records(&mut self, saved: save_queue::SaveRowKey) {
        let save_queue::SaveRowKey::Progress { graph, chunk } = saved else { return };
        let Some(job) = self.jobs.get_mut(&graph).filter(|it| it.schedule.is_some()) else {
            return;
        };
        for step in progress::steps_of_chunk(job, chunk) {
            let chunks = progress::chunks_of_index(job, step).into_iter().flatten();
            let mut rows = chunks.map(|chunk| save_queue::SaveRowKey::Progress { graph, chunk });
            if rows.all(|it| self.unsaved.is_saved(it)) {
                job.drop_ended_records(step..step + 1);
            }
        }
    }
}

fn has_progress(step: &model::StepProgress) -> bool {
    let model::StepProgress { done, failures, attempts, checkpoints, losses, trials } = step;
    let is_empty = done.is_empty()
        && failures.is_empty()
        && attempts.is_empty()
        && checkpoints.is_empty()
        && losses.is_empty()
        && trials.is_empty();
    !is_empty
}
