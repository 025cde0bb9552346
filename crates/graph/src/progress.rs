//! The rows in which a job's progress is saved, and how a job is restored from them.
//!
//! The tasks of all steps, in the order of the steps, are cut into chunks of equal size, each with
//! a row of its own. So neither the size of a row nor the amount written for the end of one task
//! grows with the job.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Range, RangeInclusive};
use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::model;

use crate::job;
use crate::saved_start;
use crate::suspicion;
use crate::task_key;

/// Tasks per chunk. A task takes about 90 bytes, and 420 with the longest checkpoint name and 19
/// failures, so that a row stays below 27 KB; the platform accepts 64 KB. A task that lost seven
/// workers takes 370 bytes more, and one with a saved start 200; a row of 64 such tasks takes less than
/// 64 KB.
pub const TASKS_PER_CHUNK: u32 = 64;

/// Longest checkpoint name that is saved, in bytes; the platform's names take 16. A successor
/// restarts a task with a longer name from the beginning; otherwise the store would refuse the
/// whole row for its length.
const MAX_CHECKPOINT_BYTES: usize = 256;

/// Longest id of a worker that is saved with a start, in bytes. Of a start on another worker a successor
/// knows only the attempt; otherwise the store would refuse the whole row for its length.
const MAX_WORKER_BYTES: usize = 36;

/// Probabilities are saved in parts per million.
const PARTS_PER_MILLION: f64 = 1_000_000.0;

/// The chunk whose row holds the state and the failure of the whole job.
pub const HEAD_CHUNK: u32 = 0;

/// Whether a checkpoint's name is short enough to be handed to a successor.
pub(crate) fn is_checkpoint_saved(checkpoint: &str) -> bool {
    checkpoint.len() <= MAX_CHECKPOINT_BYTES
}

/// Number of chunks of a job; at least 1.
pub fn n_chunks(job: &job::JobRecord) -> u32 {
    n_chunks_of_runs(job.graph_steps.iter().map(|it| it.tasks), job.n_runs)
}

/// Number of chunks of a job, computed from its acceptance row; at least 1.
pub fn n_chunks_of_row(row: &model::GraphRow) -> u32 {
    let n_runs = row.graph.schedule.as_ref().map_or(1, |it| it.runs.get());
    n_chunks_of_runs(row.graph.steps.iter().map(|it| it.tasks), n_runs)
}

fn n_chunks_of_runs(tasks_of_steps: impl Iterator<Item = u32>, n_runs: u32) -> u32 {
    let n_tasks = tasks_of_steps.sum::<u32>();
    n_tasks.saturating_mul(n_runs).div_ceil(TASKS_PER_CHUNK).max(1)
}

/// Chunk that contains a task; `None` if the job has no step with that number.
pub fn chunk_of(job: &job::JobRecord, key: task_key::TaskKey) -> Option<u32> {
    let step = job.step_index(key)? as usize;
    Some((first_task_of(job, step) + key.task) / TASKS_PER_CHUNK)
}

/// Chunks that contain the tasks of a task's step.
pub fn chunks_of_step(job: &job::JobRecord, key: task_key::TaskKey) -> Option<RangeInclusive<u32>> {
    chunks_of_index(job, job.step_index(key)? as usize)
}

/// Chunks that contain the tasks of the step with that index over all runs.
pub fn chunks_of_index(job: &job::JobRecord, index: usize) -> Option<RangeInclusive<u32>> {
    let first = first_task_of(job, index);
    let n_tasks = job.steps.get(index)?.spec.tasks;
    let last = first + n_tasks.saturating_sub(1);
    Some(first / TASKS_PER_CHUNK..=last / TASKS_PER_CHUNK)
}

/// Steps with records that have tasks in a chunk, by their index over all runs.
pub fn steps_of_chunk(job: &job::JobRecord, chunk: u32) -> Range<usize> {
    let tasks = chunk_tasks(chunk);
    let n_steps = job.steps.len();
    let last = step_of_task(job, tasks.end - 1);
    step_of_task(job, tasks.start).min(n_steps)..(last + 1).min(n_steps)
}

/// Content of the row for a chunk of a job, as it should be in the store; `None` if the job has no
/// such chunk. Runs that have not begun have nothing to save.
pub fn chunk_row(job: &job::JobRecord, chunk: u32) -> Option<model::ProgressRow> {
    if chunk >= n_chunks(job) {
        return None;
    }
    let mut row = model::ProgressRow {
        state: job.state,
        failure: job.failure,
        first_step: 0,
        steps: Vec::new(),
    };
    for (index, within) in parts_of_chunk(job, chunk) {
        let Some(step) = job.steps.get(index) else { continue };
        if row.steps.is_empty() {
            row.first_step = index as u32;
        }
        row.steps.push(step_progress(step, within));
    }
    Some(row)
}

/// The steps with records that have tasks in a chunk, by their index over all runs, each with the numbers of
/// these tasks within the step.
pub(crate) fn parts_of_chunk(
    job: &job::JobRecord,
    chunk: u32,
) -> impl Iterator<Item = (usize, Range<u32>)> {
    let chunk_tasks = chunk_tasks(chunk);
    let parts = steps_of_chunk(job, chunk).filter_map(move |index| {
        let step = job.steps.get(index)?;
        let first = first_task_of(job, index);
        let start = first.max(chunk_tasks.start);
        let end = (first + step.spec.tasks).min(chunk_tasks.end);
        Some((index, start.checked_sub(first)?..end.checked_sub(first)?))
    });
    parts.filter(|(_, it)| !it.is_empty())
}

/// The progress rows of one job as read from the store, by chunk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SavedChunks {
    chunks: BTreeMap<u32, model::ProgressRow>,
    unreadable: BTreeSet<u32>,
}

impl SavedChunks {
    /// Adds the row of a chunk, in place of an earlier one.
    pub fn insert(&mut self, chunk: u32, row: model::ProgressRow) {
        self.chunks.insert(chunk, row);
    }

    /// Records that a chunk has a row that can't be decoded.
    pub fn insert_unreadable(&mut self, chunk: u32) {
        self.unreadable.insert(chunk);
    }

    /// Numbers of the chunks with a row.
    pub fn numbers(&self) -> impl Iterator<Item = u32> {
        self.chunks.keys().chain(&self.unreadable).copied()
    }

    /// The rows that could be decoded, by chunk.
    pub fn rows(&self) -> impl Iterator<Item = (u32, &model::ProgressRow)> {
        self.chunks.iter().map(|(chunk, row)| (*chunk, row))
    }

    /// Numbers of the chunks with a row that can't be decoded.
    pub(crate) fn unreadable(&self) -> impl Iterator<Item = u32> {
        self.unreadable.iter().copied()
    }

    /// Whether the store has no progress row of the job.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty() && self.unreadable.is_empty()
    }

    /// Whether the head row contains tasks of other chunks too, as written by a release without
    /// chunks. All chunks of such a job have to be written again.
    pub fn is_unchunked(&self) -> bool {
        let Some(head) = self.chunks.get(&HEAD_CHUNK) else { return false };
        let mut n_tasks = 0;
        for step in &head.steps {
            let tasks = step.done.iter().chain(step.attempts.iter().map(|it| &it.task));
            n_tasks += tasks.max().map_or(0, |it| it + 1);
        }
        n_tasks > TASKS_PER_CHUNK
    }

    /// Restores the job's state, its failure and its tasks' progress from the saved rows.
    pub fn restore_into(self, job: &mut job::JobRecord) {
        if self.is_empty() {
            return;
        }
        let head = self.chunks.get(&HEAD_CHUNK);
        let saved_state = head.map_or(model::GraphState::Pending, |it| it.state);
        // Each row tells the state of the job as of its write; the head row may not have been written since.
        let has_started = !self.unreadable.is_empty()
            || self.chunks.values().any(|it| it.state != model::GraphState::Pending);
        job.failure = head.and_then(|it| it.failure);
        for row in self.chunks.into_values() {
            job.begin_runs_of(&row);
            let first = row.first_step as usize;
            let n_saved = row.steps.len();
            for (step, saved) in job.steps.iter_mut().skip(first).zip(row.steps) {
                restore_step(step, saved);
            }
            job.drop_ended_records(first..first + n_saved);
        }
        job.state = saved_state;
        job.durable_state = saved_state;
        if has_started {
            job.note_started();
        }
    }
}

/// Ends a job whose tasks show that it has ended, as the earlier scheduler may have ended before it
/// wrote the head row. Not called for a cancelled job, whose tasks may end in any way after the
/// cancellation.
pub fn infer_end(job: &mut job::JobRecord) {
    if job.has_ended() {
        return;
    }
    let is_complete = job.is_complete();
    let failure = if is_complete { None } else { inferred_failure(job) };
    if is_complete || failure.is_some() {
        let end_state =
            if is_complete { model::GraphState::Completed } else { model::GraphState::Failed };
        job.state = end_state;
        job.failure = failure;
        job.durable_state = end_state;
        job.started = true;
    }
}

/// Cause of a job's failure according to its tasks; `None` if they don't show a failure.
fn inferred_failure(job: &job::JobRecord) -> Option<model::FailureCause> {
    let max_attempts = job.max_attempts;
    let has_failed = |it: &job::StepRecord| {
        it.gang_failures.count() >= max_attempts
            || it.tasks.iter().any(|it| it.failures.count() >= max_attempts)
    };
    let crashes_workers = |it: &job::TaskRecord| !it.done && it.suspicion.is_proven_to_crash();
    if job.steps.iter().any(has_failed) {
        return Some(model::FailureCause::Attempts);
    }
    let mut tasks = job.steps.iter().flat_map(|it| &it.tasks);
    tasks.any(crashes_workers).then_some(model::FailureCause::CrashesWorkers)
}

fn chunk_tasks(chunk: u32) -> Range<u32> {
    chunk * TASKS_PER_CHUNK..(chunk + 1) * TASKS_PER_CHUNK
}

fn tasks_per_run(job: &job::JobRecord) -> u32 {
    job.graph_steps.iter().map(|it| it.tasks).sum()
}

/// Index over all runs of the step that contains a task, which is numbered over all runs.
fn step_of_task(job: &job::JobRecord, task: u32) -> usize {
    let per_run = tasks_per_run(job).max(1);
    let mut rest = task % per_run;
    let mut step = (task / per_run) as usize * job.graph_steps.len();
    for spec in &job.graph_steps {
        if rest < spec.tasks {
            break;
        }
        rest -= spec.tasks;
        step += 1;
    }
    step
}

/// Number of the first task of a step, over all runs.
fn first_task_of(job: &job::JobRecord, step: usize) -> u32 {
    let per_run = job.graph_steps.len().max(1);
    let before = job.graph_steps.iter().take(step % per_run).map(|it| it.tasks).sum::<u32>();
    (step / per_run) as u32 * tasks_per_run(job) + before
}

fn step_progress(step: &job::StepRecord, within: Range<u32>) -> model::StepProgress {
    if step.tasks.is_empty() {
        return model::StepProgress { done: within.collect(), ..empty_progress() };
    }
    let tasks =
        || within.clone().filter_map(|index| Some((index, step.tasks.get(index as usize)?)));
    let failures = |task: u32, it: &job::FailedAttempts| model::TaskFailures {
        task,
        attempts: it.attempts().to_vec(),
    };
    let failed = tasks().filter(|(_, it)| it.failures.count() > 0);
    let mut failed = failed.map(|(task, it)| failures(task, &it.failures)).collect::<Vec<_>>();
    if step.spec.gang && step.gang_failures.count() > 0 && within.start == 0 {
        failed = vec![failures(0, &step.gang_failures)];
    }
    let started = tasks().filter(|(_, it)| it.attempt > 0 && !it.done);
    let saved = tasks().filter(|(_, it)| !it.done);
    let with_losses = tasks().filter(|(_, it)| !it.done && !it.suspicion.losses().is_empty());
    model::StepProgress {
        losses: with_losses.map(|(task, it)| task_losses(task, &it.suspicion)).collect(),
        trials: tasks().filter_map(|(task, it)| saved_start_of(task, it)).collect(),
        done: tasks().filter(|(_, it)| it.done).map(|(task, _)| task).collect(),
        failures: failed,
        attempts: started
            .map(|(task, it)| model::TaskAttempt { task, attempt: it.attempt })
            .collect(),
        checkpoints: saved
            .filter_map(|(task, it)| {
                let checkpoint = it.checkpoint.as_deref()?;
                is_checkpoint_saved(checkpoint)
                    .then(|| model::TaskCheckpoint { task, checkpoint: checkpoint.to_owned() })
            })
            .collect(),
    }
}

fn empty_progress() -> model::StepProgress {
    model::StepProgress {
        done: Vec::new(),
        failures: Vec::new(),
        attempts: Vec::new(),
        checkpoints: Vec::new(),
        losses: Vec::new(),
        trials: Vec::new(),
    }
}

/// The losses that are recorded against a task, with probabilities in parts per million.
fn task_losses(task: u32, suspicion: &suspicion::TaskSuspicion) -> model::TaskLosses {
    let losses = suspicion.losses().iter().map(|it| model::WorkerLoss {
        attempt: it.attempt,
        odds_ppm: (it.early_probability * PARTS_PER_MILLION).round() as u32,
        surroundings_ppm: (it.anytime_probability * PARTS_PER_MILLION).round() as u32,
        struck_ms: it.latest_loss_offset.map(whole_millis),
    });
    let survived_ms =
        Some(suspicion.longest_survived_run()).filter(|it| !it.is_zero()).map(whole_millis);
    model::TaskLosses { task, losses: losses.collect(), survived_ms }
}

/// The saved start of a task that is not done, by this scheduler or an earlier one.
fn saved_start_of(task: u32, record: &job::TaskRecord) -> Option<model::SavedStart> {
    let suspicion = &record.suspicion;
    let start = suspicion.saved_start.as_ref().or(suspicion.inherited_start.as_ref())?;
    if record.done {
        return None;
    }
    let mut row = start.to_row(task);
    row.place = row.place.filter(|it| it.worker.len() <= MAX_WORKER_BYTES);
    Some(row)
}

fn whole_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// Restores the losses that were saved against a task.
pub(crate) fn restore_suspicion(saved: &model::TaskLosses) -> suspicion::TaskSuspicion {
    let span = |ms: u32| Duration::from_millis(u64::from(ms));
    let losses = saved.losses.iter().map(|it| suspicion::TaskLoss {
        attempt: it.attempt,
        early_probability: f64::from(it.odds_ppm) / PARTS_PER_MILLION,
        anytime_probability: f64::from(it.surroundings_ppm) / PARTS_PER_MILLION,
        latest_loss_offset: it.struck_ms.map(span),
    });
    let survived = saved.survived_ms.map(span).unwrap_or_default();
    suspicion::TaskSuspicion::restored(losses.collect(), survived)
}

fn restore_step(step: &mut job::StepRecord, saved: model::StepProgress) {
    // The end of one member is the end of its gang; the rows of the other members may not have been
    // written.
    if step.spec.gang && !saved.done.is_empty() {
        step.tasks.iter_mut().for_each(|it| it.done = true);
    }
    for task in saved.done {
        if let Some(task) = step.tasks.get_mut(task as usize) {
            task.done = true;
        }
    }
    for it in saved.failures {
        let failures = job::FailedAttempts::from_attempts(it.attempts);
        if step.spec.gang {
            step.gang_failures = failures;
        } else if let Some(task) = step.tasks.get_mut(it.task as usize) {
            task.failures = failures;
        }
    }
    for it in saved.losses {
        if let Some(task) = step.tasks.get_mut(it.task as usize) {
            task.suspicion = restore_suspicion(&it);
        }
    }
    for it in saved.trials {
        if let Some(task) = step.tasks.get_mut(it.task as usize) {
            let start = saved_start::SavedStart::from_row(it);
            task.suspicion.inherited_start = Some(Box::new(start));
        }
    }
    for it in saved.attempts {
        if let Some(task) = step.tasks.get_mut(it.task as usize) {
            task.attempt = it.attempt;
        }
    }
    for it in saved.checkpoints {
        if let Some(task) = step.tasks.get_mut(it.task as usize) {
            task.checkpoint = Some(Arc::from(it.checkpoint));
        }
    }
}
