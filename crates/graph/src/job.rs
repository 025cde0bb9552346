//! Job graphs as the scheduler keeps them.

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

/// An accepted job graph and how far it is.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// Class under which it was handed in.
    pub class: ids::ClassName,
    /// Whose it is.
    pub account: Option<ids::AccountId>,
    /// Whose workers run it.
    pub upstream: ids::UpstreamName,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Failures of one task or gang after which the job has failed.
    pub max_attempts: u32,
    /// Handed to each task.
    pub body: Arc<str>,
    /// The steps of the first run, then those of the second, and so on.
    pub steps: Vec<StepRecord>,
    /// Steps of one run.
    pub steps_per_run: u32,
    /// When the runs are due; nothing where there is one, at once.
    pub schedule: Option<model::RunSchedule>,
    /// Accepted before this tenure: tasks may run that this scheduler does not know of yet.
    pub inherited: bool,
    /// When this scheduler learned of it.
    pub admitted_at: Duration,
    /// When this scheduler learned of its end.
    pub ended_at: Option<Duration>,
    /// Since when it waits, behind the beginning or the end of its last run, and what was told of that.
    pub wait: wait_timer::WaitTimer,
    /// Whether any task was ever started.
    pub started: bool,
    /// How far it is.
    pub state: model::GraphState,
    /// Why it has failed, if it has.
    pub failure: Option<model::FailureCause>,
    /// How far it is as far as a successor would read it; the only state that callers are told
    /// when it is an end.
    pub durable_state: model::GraphState,
}

/// A step and how far it is.
#[derive(Clone, Debug)]
pub struct StepRecord {
    /// What was handed in.
    pub spec: model::GraphStep,
    /// The tasks.
    pub tasks: Vec<TaskRecord>,
    /// Failures of the gang.
    pub gang_failures: FailedAttempts,
}

/// A task and how far it is.
#[derive(Clone, Debug, Default)]
pub struct TaskRecord {
    /// Where it runs, or may.
    pub run: Option<TaskRun>,
    /// Whether it has ended well.
    pub done: bool,
    /// Highest attempt that may have been ordered.
    pub attempt: u32,
    /// Highest attempt that is known to be over.
    pub ended_attempt: u32,
    /// Its failures.
    pub failures: FailedAttempts,
    /// Newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// How often it was stopped because it stood still.
    pub n_stalls: u32,
    /// Worker on which it failed last, which it avoids.
    pub avoids: Option<ids::WorkerId>,
    /// Until when it does.
    pub avoids_until: Duration,
    /// Since when it waits.
    pub waiting_since: Duration,
    /// What speaks for it that it crashes the workers that start it.
    pub suspicion: suspicion::TaskSuspicion,
    /// Workers that were lost under it, and may be what is wrong.
    pub lost_workers: BTreeSet<ids::WorkerId>,
    /// It does not start before: whether the worker under it is lost will be surer soon.
    pub held_until: Duration,
    /// Since when it could run apart, as far as its start and its room go; before `waits_since` where it could not yet.
    pub isolatable_since: Duration,
    /// The change that puts its next start on record.
    pub start_change: Option<save_queue::RowChange>,
}

/// The attempts that failed. Each counts once although a worker may list its end to two
/// schedulers, and in whatever order the ends are listed: a worker that was cut off lists an early
/// attempt late.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FailedAttempts {
    attempts: Vec<u32>,
}

/// One attempt of a task on a worker.
#[derive(Clone, Debug)]
pub struct TaskRun {
    /// The worker.
    pub worker: ids::WorkerId,
    /// Number of the attempt.
    pub attempt: u32,
    /// How far the orders for it are.
    pub phase: RunPhase,
    /// What bounds its start, where this scheduler has ordered it.
    pub start_deadline: Option<StartDeadline>,
    /// Whether the worker has said that it has, or had, it.
    pub is_confirmed: bool,
    /// Whether it was told of as unsettled for too long.
    pub is_reported_overdue: bool,
    /// Whether the known life of the worker has said so. Else a later one may have it, under a lease
    /// by another clock.
    pub is_confirmed_by_incarnation: bool,
    /// Whether it takes longer here, away from its data or from its gang.
    pub is_remote: bool,
    /// Whether it was here from its beginning, so that its end tells how long its class takes.
    pub is_from_scratch: bool,
    /// When it was ordered, or found.
    pub tracked_since: Duration,
    /// Progress that the worker reported last, in percent.
    pub percent: u32,
    /// When the progress last changed.
    pub percent_changed_at: Duration,
    /// How fast it progresses.
    pub pace: pace::RunPace,
    /// What the clock of the worker showed when it was first known to have it.
    pub first_confirmed_clock: Option<Duration>,
}

/// Until when a start may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartDeadline {
    /// The life of the worker that it was meant for, as the scheduler counts.
    pub generation: u32,
    /// On the clock of that life: the start is refused behind it.
    pub deadline_ms: u64,
}

/// How far the orders for a run are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The start was sent and is not answered yet.
    Ordered,
    /// The worker has it; confirmed at that time.
    Running {
        /// When the worker first confirmed it.
        confirmed_at: Duration,
    },
    /// The start had no answer: it may run, start later, or never.
    Unclear {
        /// When that became known.
        since: Duration,
    },
    /// It is to stop.
    Stopping {
        /// When the stop was last sent.
        stop_sent_at: Duration,
        /// When the worker answered a stop.
        stop_acked_at: Option<Duration>,
    },
}

impl RunPhase {
    /// Whether the worker has it, as far as is known.
    pub fn is_running(self) -> bool {
        matches!(self, RunPhase::Running { .. })
    }

    /// A short name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RunPhase::Ordered => "ordered",
            RunPhase::Running { .. } => "running",
            RunPhase::Unclear { .. } => "unclear",
            RunPhase::Stopping { .. } => "stopping",
        }
    }

    /// Whether a stop was asked for.
    pub fn is_stopping(self) -> bool {
        matches!(self, RunPhase::Stopping { .. })
    }
}

impl FailedAttempts {
    /// Failures of these attempts.
    pub fn from_attempts(attempts: Vec<u32>) -> FailedAttempts {
        FailedAttempts { attempts }
    }

    /// The attempts that failed.
    pub fn attempts(&self) -> &[u32] {
        &self.attempts
    }

    /// How many failed.
    pub fn count(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Counts the failure of `attempt`, unless it was counted before.
    pub fn record(&mut self, attempt: u32) -> bool {
        if self.attempts.contains(&attempt) {
            return false;
        }
        self.attempts.push(attempt);
        true
    }
}

impl JobRecord {
    /// Whether nothing of it is to run any more.
    pub fn has_ended(&self) -> bool {
        !matches!(self.state, model::GraphState::Pending | model::GraphState::Running)
    }

    /// Whether all steps that `step` waits for are done, in the same run.
    pub fn is_ready(&self, step: usize) -> bool {
        let first = step - step % self.steps_per_run.max(1) as usize;
        let after = &self.steps[step].spec.after;
        let mut before = after.iter().map(|it| self.steps.get(first + *it as usize));
        before.all(|it| it.is_some_and(StepRecord::is_done))
    }

    /// When the run of `step` is due, as time since 1970.
    pub fn due_at(&self, step: usize) -> Duration {
        let Some(schedule) = &self.schedule else { return Duration::ZERO };
        let run = step as u64 / u64::from(self.steps_per_run.max(1));
        let interval_ms = schedule.interval_ms.saturating_mul(run);
        Duration::from_millis(schedule.first_ms.saturating_add(interval_ms))
    }

    /// Index of the step of a task, over all runs.
    pub fn step_index(&self, key: task_key::TaskKey) -> Option<u32> {
        let index = key.occurrence.checked_mul(self.steps_per_run)?.checked_add(key.step)?;
        (key.step < self.steps_per_run && (index as usize) < self.steps.len()).then_some(index)
    }

    /// Name of a task of the step with that index.
    pub fn task_key(&self, graph: ids::GraphId, index: u32, task: u32) -> task_key::TaskKey {
        let per_run = self.steps_per_run.max(1);
        task_key::TaskKey { graph, occurrence: index / per_run, step: index % per_run, task }
    }

    /// What a task is placed with: its gang, or itself.
    pub fn unit_of(&self, key: task_key::TaskKey) -> Option<task_key::UnitKey> {
        let step = self.step_index(key)?;
        let is_gang = self.steps.get(step as usize)?.spec.gang;
        let task = (!is_gang).then_some(key.task);
        Some(task_key::UnitKey { graph: key.graph, step, task })
    }

    /// The step of a task, where there is one.
    pub fn step(&self, key: task_key::TaskKey) -> Option<&StepRecord> {
        self.steps.get(self.step_index(key)? as usize)
    }

    /// The step of a task, where there is one.
    pub fn step_mut(&mut self, key: task_key::TaskKey) -> Option<&mut StepRecord> {
        let index = self.step_index(key)?;
        self.steps.get_mut(index as usize)
    }

    /// The task, where there is one.
    pub fn task_mut(&mut self, key: task_key::TaskKey) -> Option<&mut TaskRecord> {
        self.step_mut(key)?.tasks.get_mut(key.task as usize)
    }

    /// The task, where there is one.
    pub fn task(&self, key: task_key::TaskKey) -> Option<&TaskRecord> {
        self.step(key)?.tasks.get(key.task as usize)
    }

    /// Whether moments of the run of a task compare with those of its other runs: it began anew, by itself and
    /// near its data.
    pub fn has_comparable_run_time(&self, key: task_key::TaskKey) -> bool {
        let Some(step) = self.step(key).filter(|it| !it.spec.gang) else { return false };
        let run = step.tasks.get(key.task as usize).and_then(|it| it.run.as_ref());
        run.is_some_and(|it| it.is_from_scratch && !it.is_remote)
    }

    /// The runs of its tasks.
    pub fn runs(&self) -> impl Iterator<Item = &TaskRun> {
        self.steps.iter().flat_map(|it| &it.tasks).filter_map(|it| it.run.as_ref())
    }

    /// Accelerators that all tasks of one run need together.
    pub fn accelerators(&self) -> u32 {
        let of_run = self.steps.iter().take(self.steps_per_run as usize);
        of_run.map(|it| it.spec.tasks * it.spec.accelerators).sum()
    }
}

impl StepRecord {
    /// A step of which nothing has run.
    pub fn new(spec: model::GraphStep, now: Duration) -> StepRecord {
        let task = TaskRecord { waiting_since: now, ..TaskRecord::default() };
        let tasks = vec![task; spec.tasks as usize];
        StepRecord { spec, tasks, gang_failures: FailedAttempts::default() }
    }

    /// Whether all tasks have ended well.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|it| it.done)
    }

    /// What each task needs.
    pub fn task_resources(&self) -> resources::Resources {
        resources::Resources::of_step(&self.spec)
    }

    /// Highest attempt of any task; the members of a gang share it.
    pub fn highest_attempt(&self) -> u32 {
        self.tasks.iter().map(|it| it.attempt).max().unwrap_or_default()
    }
}
