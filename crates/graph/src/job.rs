//! The scheduler's records of job graphs, their steps, tasks and runs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::pace;
use crate::resources;
use crate::save_queue;
use crate::suspicion;
use crate::task_key;
use crate::wait_timer;
use crate::worker_speed;

/// An accepted job graph and its progress.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// Class under which the job was submitted.
    pub class: ids::ClassName,
    /// Client account that submitted the job.
    pub account: Option<ids::AccountId>,
    /// Upstream whose workers run the job.
    pub upstream: ids::UpstreamName,
    /// Priority of the job; 0 is the most urgent.
    pub priority: u32,
    /// Number of failures of one task or gang at which the job has failed.
    pub max_attempts: u32,
    /// Body that is sent with the start of each task.
    pub body: Arc<str>,
    /// Steps of one run of the schedule, as submitted.
    pub graph_steps: Vec<Arc<model::GraphStep>>,
    /// Number of runs of the schedule; 1 for a job that runs once.
    pub n_runs: u32,
    /// Steps of the runs that have begun: those of the first run, then those of the second, and so on. The
    /// other runs follow from `graph_steps` and the schedule.
    pub steps: Vec<StepRecord>,
    /// Attempt number after which the tasks of a run that begins are counted.
    pub skipped_attempts: u32,
    /// When the runs are due; `None` for a job that runs once, at once.
    pub schedule: Option<model::RunSchedule>,
    /// Whether the job was accepted before this tenure: some of its tasks may run without this
    /// scheduler knowing of them yet.
    pub inherited: bool,
    /// Whether the store has a progress row of the job that can't be decoded. Nothing starts, as any task may be
    /// done.
    pub has_unreadable_rows: bool,
    /// When this scheduler admitted the job.
    pub admitted_at: Duration,
    /// When this scheduler found that the job has ended.
    pub ended_at: Option<Duration>,
    /// Time for which the job has waited since a run of it last began or ended, and when this wait
    /// is logged next.
    pub wait: wait_timer::WaitTimer,
    /// Whether a worker has confirmed a run of any task of the job, or its end.
    pub started: bool,
    /// Current state of the job; a change of it may not be saved yet.
    pub state: model::GraphState,
    /// Why the job has failed; `None` unless `state` is failed.
    pub failure: Option<model::FailureCause>,
    /// State of the job in the store, as a successor would read it. A job is reported to callers as
    /// ended only once this state says so.
    pub durable_state: model::GraphState,
}

/// A step of a job graph and its progress.
#[derive(Clone, Debug)]
pub struct StepRecord {
    /// The step as submitted.
    pub spec: Arc<model::GraphStep>,
    /// The tasks of the step, by task number; none once their records were dropped because all of them are
    /// done.
    pub tasks: Vec<TaskRecord>,
    /// Failed attempts of the gang as a whole; unused for a step that is no gang.
    pub gang_failures: FailedAttempts,
}

/// A task and its progress.
#[derive(Clone, Debug, Default)]
pub struct TaskRecord {
    /// The run of the task that is in progress or may be; it occupies resources of its worker.
    pub run: Option<TaskRun>,
    /// Whether the task has ended successfully.
    pub done: bool,
    /// Highest attempt that may have been ordered.
    pub attempt: u32,
    /// The last start that this scheduler ordered. Boxed, as most tasks of a large job have none yet.
    pub last_start: Option<Box<TaskStart>>,
    /// Highest attempt that is known to have ended.
    pub ended_attempt: u32,
    /// Failed attempts of the task; unused for a member of a gang.
    pub failures: FailedAttempts,
    /// Newest checkpoint, from which the next attempt resumes.
    pub checkpoint: Option<Arc<str>>,
    /// How often the task was stopped because it was forecast to be late.
    pub n_moves: u32,
    /// Until then the task counts as being moved, unless it runs again.
    pub move_ends_at: Duration,
    /// How often the task was stopped because its progress stalled.
    pub n_stalls: u32,
    /// Worker on which the task failed last and which it avoids until `avoids_until`.
    pub avoids: Option<ids::WorkerId>,
    /// End of the avoidance of that worker.
    pub avoids_until: Duration,
    /// When the task last began to wait for a start.
    pub waiting_since: Duration,
    /// Evidence that the task crashes the workers that start it.
    pub suspicion: suspicion::TaskSuspicion,
    /// Workers that were lost while they ran this task. Its next runs avoid them, as the worker may
    /// be at fault rather than the task.
    pub lost_workers: BTreeSet<ids::WorkerId>,
    /// The task does not start before this time: by then it is clearer whether the worker of its
    /// last run is lost.
    pub held_until: Duration,
    /// When a run was last released without a listed end, on a worker that a later scheduler may have reached before:
    /// the end may be known to that scheduler alone.
    pub end_uncertain_at: Duration,
    /// When the task last became ready for an isolated run, with nothing missing but free
    /// resources. Earlier than `waiting_since` if it has not become ready during the current wait.
    pub isolatable_since: Duration,
    /// The next start of the task, while it has a place and waits until it is saved.
    pub planned_start: Option<PlannedStart>,
}

/// A start that has a place and is sent once it is saved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStart {
    /// The row change that saves the start.
    pub change: save_queue::RowChange,
    /// When the start was planned.
    pub planned_at: Duration,
}

/// The attempts that failed. Each attempt counts once, although a worker may list its end to two
/// schedulers. The ends may be listed in any order: a worker that was cut off lists an early
/// attempt late.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FailedAttempts {
    attempts: Vec<u32>,
}

/// A start that was ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStart {
    /// Worker that was to run the attempt.
    pub worker: ids::WorkerId,
    /// Number of the attempt.
    pub attempt: u32,
}

/// One attempt of a task on a worker.
#[derive(Clone, Debug)]
pub struct TaskRun {
    /// Worker that runs the attempt.
    pub worker: ids::WorkerId,
    /// Number of the attempt; unique within the task.
    pub attempt: u32,
    /// State of the start and stop orders for this run.
    pub phase: RunPhase,
    /// Latest time at which the start may take effect; `None` if an earlier scheduler ordered the
    /// run.
    pub start_deadline: Option<StartDeadline>,
    /// Whether the worker has confirmed that it has, or had, this run.
    pub is_confirmed: bool,
    /// Whether the run was already reported as unconfirmed for too long; each run is reported once.
    pub is_reported_overdue: bool,
    /// Whether the known incarnation of the worker has confirmed the run. Otherwise a later
    /// incarnation may have it, under a lease by another clock.
    pub is_confirmed_by_incarnation: bool,
    /// Whether the run takes longer because it is away from its data or from the rest of its gang.
    pub is_remote: bool,
    /// Whether the attempt began without a checkpoint, under this scheduler, so that its duration
    /// is a sample of its class's run time.
    pub is_from_scratch: bool,
    /// When this scheduler ordered the run, or found it on the worker.
    pub tracked_since: Duration,
    /// Progress that the worker reported last, in percent.
    pub percent: u32,
    /// When the reported progress last changed.
    pub percent_changed_at: Duration,
    /// Rate of progress, from the progress reports.
    pub pace: pace::RunPace,
    /// Whether the worker was polled for the first reading of this run.
    pub is_polled_early: bool,
    /// When a move of the run, or of its gang, was last considered.
    pub move_tried_at: Option<Duration>,
    /// Whether the run has counted for the speed of its worker; if speeds are remembered, whether it has counted
    /// for the variation of the work of its class.
    pub is_speed_sampled: bool,
    /// What the run has contributed to the speed of its worker so far, if speeds are remembered.
    pub speed_sample: Option<worker_speed::SpeedSample>,
    /// Reading of the worker's clock when the worker was first known to have the run.
    pub first_confirmed_clock: Option<Duration>,
}

/// Latest time at which a start may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartDeadline {
    /// Generation of the worker's incarnation for which the start was meant.
    pub generation: u32,
    /// Time on the clock of that incarnation after which it refuses the start, in milliseconds.
    pub deadline_ms: u64,
}

/// State of the start and stop orders for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The start was sent and is not answered yet.
    Ordered,
    /// The worker has confirmed the run.
    Running {
        /// When the worker first confirmed it.
        confirmed_at: Duration,
    },
    /// The start had no answer: the run may be in progress, start later, or never start.
    Unclear {
        /// When the scheduler stopped expecting an answer.
        since: Duration,
    },
    /// A stop of the run was ordered.
    Stopping {
        /// When the stop was last sent.
        stop_sent_at: Duration,
        /// When the worker first answered a stop.
        stop_acked_at: Option<Duration>,
    },
}

impl RunPhase {
    /// Whether the worker has confirmed the run and no stop was ordered.
    pub fn is_running(self) -> bool {
        matches!(self, RunPhase::Running { .. })
    }

    /// Name of the phase in log fields and metric labels.
    pub fn name(self) -> &'static str {
        match self {
            RunPhase::Ordered => "ordered",
            RunPhase::Running { .. } => "running",
            RunPhase::Unclear { .. } => "unclear",
            RunPhase::Stopping { .. } => "stopping",
        }
    }

    /// When the worker first confirmed the run; `None` unless it is running.
    pub fn confirmed_at(self) -> Option<Duration> {
        match self {
            RunPhase::Running { confirmed_at } => Some(confirmed_at),
            _ => None,
        }
    }

    /// When a stop of the run was last sent; `None` if none was ordered.
    pub fn stop_sent_at(self) -> Option<Duration> {
        match self {
            RunPhase::Stopping { stop_sent_at, .. } => Some(stop_sent_at),
            _ => None,
        }
    }

    /// Whether a stop of the run was ordered.
    pub fn is_stopping(self) -> bool {
        matches!(self, RunPhase::Stopping { .. })
    }
}

impl FailedAttempts {
    /// Restores the count from the saved attempt numbers.
    pub fn from_attempts(attempts: Vec<u32>) -> FailedAttempts {
        FailedAttempts { attempts }
    }

    /// Numbers of the failed attempts, in the order in which their ends were listed.
    pub fn attempts(&self) -> &[u32] {
        &self.attempts
    }

    /// Number of failed attempts, to be compared with the job's `max_attempts`.
    pub fn count(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Adds a failed attempt. Returns false if the attempt was already recorded.
    pub fn record(&mut self, attempt: u32) -> bool {
        if self.attempts.contains(&attempt) {
            return false;
        }
        self.attempts.push(attempt);
        true
    }
}

impl JobRecord {
    /// Records that a task of the job has started, as its worker has confirmed. A start that was only ordered may
    /// have no effect.
    pub fn note_started(&mut self) {
        self.started = true;
        if self.state == model::GraphState::Pending {
            self.state = model::GraphState::Running;
        }
    }

    /// Whether the job is completed, failed or cancelled, so that none of its tasks starts any
    /// more.
    pub fn has_ended(&self) -> bool {
        !matches!(self.state, model::GraphState::Pending | model::GraphState::Running)
    }

    /// Whether the store shows that the job has ended.
    pub fn is_end_durable(&self) -> bool {
        !matches!(self.durable_state, model::GraphState::Pending | model::GraphState::Running)
    }

    /// Whether this is no job, but marks an id that was cancelled before its job was stored.
    pub fn is_cancel_marker(&self) -> bool {
        self.graph_steps.is_empty()
    }

    /// Whether all steps that `step` depends on are done, within the same run of the schedule.
    pub fn is_ready(&self, step: usize) -> bool {
        let first = step - step % self.graph_steps.len().max(1);
        let after = &self.steps[step].spec.after;
        let mut dependencies = after.iter().map(|it| self.steps.get(first + *it as usize));
        dependencies.all(|it| it.is_some_and(StepRecord::is_done))
    }

    /// When the schedule's run that contains `step` is due, as time since 1970; zero without a
    /// schedule.
    pub fn due_at(&self, step: usize) -> Duration {
        let Some(schedule) = &self.schedule else { return Duration::ZERO };
        let run = (step / self.graph_steps.len().max(1)) as u64;
        let interval_ms = schedule.interval_ms.saturating_mul(run);
        Duration::from_millis(schedule.first_ms.saturating_add(interval_ms))
    }

    /// Index of a task's step in `steps`, over all runs of the schedule; `None` if the job has no
    /// such step, or its run has not begun.
    pub fn step_index(&self, key: task_key::TaskKey) -> Option<u32> {
        let per_run = self.graph_steps.len() as u32;
        let index = key.occurrence.checked_mul(per_run)?.checked_add(key.step)?;
        (key.step < per_run && (index as usize) < self.steps.len()).then_some(index)
    }

    /// Key of a task in the step with that index in `steps`.
    pub fn task_key(&self, graph: ids::GraphId, index: u32, task: u32) -> task_key::TaskKey {
        let per_run = (self.graph_steps.len() as u32).max(1);
        task_key::TaskKey { graph, occurrence: index / per_run, step: index % per_run, task }
    }

    /// The unit with which a task is placed: its whole gang, or the task alone.
    pub fn unit_of(&self, key: task_key::TaskKey) -> Option<task_key::UnitKey> {
        let step = self.step_index(key)?;
        let is_gang = self.steps.get(step as usize)?.spec.gang;
        let task = (!is_gang).then_some(key.task);
        Some(task_key::UnitKey { graph: key.graph, step, task })
    }

    /// The step that contains a task; `None` if the job has no such step.
    pub fn step(&self, key: task_key::TaskKey) -> Option<&StepRecord> {
        self.steps.get(self.step_index(key)? as usize)
    }

    /// Mutable access to the step that contains a task; `None` if the job has no such step.
    pub fn step_mut(&mut self, key: task_key::TaskKey) -> Option<&mut StepRecord> {
        let index = self.step_index(key)?;
        self.steps.get_mut(index as usize)
    }

    /// Mutable access to a task; `None` if the job has no such task.
    pub fn task_mut(&mut self, key: task_key::TaskKey) -> Option<&mut TaskRecord> {
        self.step_mut(key)?.tasks.get_mut(key.task as usize)
    }

    /// The record of a task; `None` if the job has no such task.
    pub fn task(&self, key: task_key::TaskKey) -> Option<&TaskRecord> {
        self.step(key)?.tasks.get(key.task as usize)
    }

    /// Whether the run time of a task's current run can be compared with that of its other runs:
    /// the run began without a checkpoint, outside a gang, and near its data.
    pub fn has_comparable_run_time(&self, key: task_key::TaskKey) -> bool {
        let Some(step) = self.step(key).filter(|it| !it.spec.gang) else { return false };
        let run = step.tasks.get(key.task as usize).and_then(|it| it.run.as_ref());
        run.is_some_and(|it| it.is_from_scratch && !it.is_remote)
    }

    /// All runs of the job's tasks that are in progress or may be.
    pub fn runs(&self) -> impl Iterator<Item = &TaskRun> {
        self.steps.iter().flat_map(|it| &it.tasks).filter_map(|it| it.run.as_ref())
    }

    /// Accelerators needed to run all tasks of one run of the schedule at the same time.
    pub fn accelerators(&self) -> u32 {
        self.graph_steps.iter().map(|it| it.tasks * it.accelerators).sum()
    }
}

impl TaskRecord {
    /// The worker for which a start is planned, if one is.
    pub fn planned_worker(&self) -> Option<&ids::WorkerId> {
        self.planned_start?;
        let place = self.suspicion.saved_start.as_ref()?.place.as_ref()?;
        Some(&place.worker)
    }

    /// Drops a start that was planned and not sent. Returns whether there was one, so that its row
    /// has to be written again.
    pub fn withdraw_planned_start(&mut self, now: Duration) -> bool {
        let Some(planned) = self.planned_start.take() else { return false };
        self.suspicion.drop_saved_start();
        self.isolatable_since += now.saturating_sub(planned.planned_at);
        true
    }
}

impl StepRecord {
    /// A step none of whose tasks has started; they wait from `now` on.
    pub fn new(spec: impl Into<Arc<model::GraphStep>>, now: Duration) -> StepRecord {
        let spec = spec.into();
        let task = TaskRecord { waiting_since: now, ..TaskRecord::default() };
        let tasks = vec![task; spec.tasks as usize];
        StepRecord { spec, tasks, gang_failures: FailedAttempts::default() }
    }

    /// Whether all tasks of the step have ended successfully.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|it| it.done)
    }

    /// Resources that each task of the step needs.
    pub fn task_resources(&self) -> resources::Resources {
        resources::Resources::of_step(&self.spec)
    }

    /// Highest attempt of any task of the step; all members of a gang have the same attempt number.
    pub fn highest_attempt(&self) -> u32 {
        self.tasks.iter().map(|it| it.attempt).max().unwrap_or_default()
    }
}
