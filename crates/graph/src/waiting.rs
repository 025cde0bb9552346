//! Waiting jobs: why they wait, and which are starved, that is, idle although capacity is free.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_schema::ids;

use crate::candidate;
use crate::core;
use crate::dispatch;
use crate::exclusion_reason;
use crate::job;
use crate::resources;
use crate::task_key;

/// Interval between checks of waiting jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Most jobs logged per check, longest wait first. Hundreds of jobs wait when there is more work than
/// capacity.
const MAX_LOGGED: usize = 8;

/// Time after which an idle job counts as starved if capacity is free; the platform's bound.
const STARVED_AFTER: Duration = Duration::from_secs(3);

/// Capacity counts as ample for a unit if the unit would fit this many times.
const AMPLE_FACTOR: u32 = 2;

/// Most workers named in a log line.
const MAX_NAMED: usize = 3;

/// Counts of idle jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitCounts {
    /// Jobs that are idle although a task is ready or an order is pending.
    pub n_idle: usize,
    /// Idle jobs that are starved.
    pub n_starved: usize,
    /// Jobs that became starved since the last call of [`core::PoolCore::take_wait_counts`].
    pub n_newly_starved: u64,
    /// Log lines about waits since the last call.
    pub n_lines: u64,
}

/// Why a job waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitCause {
    /// The job may be running on a worker that an earlier scheduler used and that has not answered yet.
    Takeover,
    /// A start or a stop of the job is pending.
    OpenOrder,
    /// The worker of a task may be lost; the task is held back until that is more certain.
    UncertainLoss,
    /// The start of a task has to be saved before it is sent.
    UnsavedStart,
    /// No usable worker has enough free capacity.
    NoCapacity,
    /// The free capacity is kept for other work, or is far from the job's data or gang.
    KeptCapacity,
}

impl WaitCause {
    /// Short name for logs.
    pub fn name(self) -> &'static str {
        match self {
            WaitCause::Takeover => "takeover",
            WaitCause::OpenOrder => "open order",
            WaitCause::UncertainLoss => "loss",
            WaitCause::UnsavedStart => "record",
            WaitCause::NoCapacity => "room",
            WaitCause::KeptCapacity => "choice",
        }
    }
}

/// Why a job waits, with the recorded state that this is derived from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitReason {
    /// Cause of the wait.
    pub cause: WaitCause,
    /// Recorded state behind the cause, as text for operators.
    pub detail: String,
    /// Age of that recorded state.
    pub age: Duration,
}

/// A waiting job.
#[derive(Clone, Copy, Debug)]
struct JobWait {
    graph: ids::GraphId,
    /// Unit that would start next; none if only pending orders hold the job up.
    unit: Option<task_key::UnitKey>,
    since: Duration,
    /// Whether nothing of the job runs.
    is_idle: bool,
    is_due: bool,
}

/// Properties of a unit that determine whether capacity is ample for it; equal for units that need the same.
#[derive(Clone, Debug, PartialEq, Eq)]
struct UnitShape {
    upstream: ids::UpstreamName,
    label: Option<String>,
    per_task: resources::Resources,
    n_tasks: usize,
}

impl UnitShape {
    /// Returns nothing for a unit that avoids workers, needs isolation, or limits its tasks per worker, since
    /// its outcome says nothing about other units.
    fn of(
        unit: task_key::UnitKey,
        job: &job::JobRecord,
        step: &job::StepRecord,
    ) -> Option<UnitShape> {
        let tasks = match unit.task {
            Some(task) => step.tasks.get(task as usize..=task as usize)?,
            None => &step.tasks[..],
        };
        let is_unrestricted =
            |it: &job::TaskRecord| it.avoids.is_none() && !it.suspicion.needs_isolation();
        let is_shareable = step.spec.per_worker == 0 && tasks.iter().all(is_unrestricted);
        is_shareable.then(|| UnitShape {
            upstream: job.upstream.clone(),
            label: step.spec.label.clone(),
            per_task: step.task_resources(),
            n_tasks: tasks.len(),
        })
    }
}

/// Shapes evaluated in the current check, each with whether capacity is ample for it.
#[derive(Clone, Debug, Default)]
struct EvaluatedShapes {
    shapes: Vec<(UnitShape, bool)>,
}

/// Capacity available to a unit.
#[derive(Clone, Copy, Debug, Default)]
struct UnitCapacity {
    n_tasks: u32,
    same_rack: bool,
    accelerators_each: u32,
    /// Tasks of the unit that fit on usable workers, including capacity kept for other work.
    n_fitting: u32,
    /// Workers with capacity for at least one task.
    n_with_capacity: usize,
    keeps_empty: usize,
    allows_remote: bool,
}

impl UnitCapacity {
    fn fits(&self) -> bool {
        self.n_fitting >= self.n_tasks
    }

    fn fits_amply(&self) -> bool {
        self.n_fitting >= AMPLE_FACTOR * self.n_tasks
    }
}

impl core::PoolCore {
    /// Returns the counts of the last check, and resets those that accumulate between calls.
    pub fn take_wait_counts(&mut self) -> WaitCounts {
        let counts = self.wait_counts;
        self.wait_counts.n_newly_starved = 0;
        self.wait_counts.n_lines = 0;
        counts
    }

    /// Why a job waits, if it does.
    pub fn wait_reason(&self, graph: ids::GraphId, now: Duration) -> Option<WaitReason> {
        let job = self.jobs.get(&graph)?;
        let wait = self.job_wait(graph, job, now)?;
        let candidates = self.candidates(now);
        let capacity =
            wait.unit.and_then(|it| self.capacity(it, &candidates, now)).unwrap_or_default();
        Some(self.reason(&wait, job, &capacity, now))
    }

    /// Whether the next check of waiting jobs is due.
    pub(crate) fn is_wait_report_due(&self, now: Duration) -> bool {
        now >= self.waits_reported_at + CHECK_INTERVAL
    }

    /// Whether a job with nothing running could start a task, in a pool of which less than half was in use at the
    /// last check. It waits for a better place, or for an empty worker; with a successor that wait begins anew.
    pub fn has_standing_job(&self) -> bool {
        self.standing_jobs()
            .any(|(graph, it)| !dispatch::waiting_units_of(graph, it, self.wall_time).is_empty())
    }

    /// Jobs with nothing running in the pools of which less than half was in use at the last check, but those that
    /// may not start.
    pub(crate) fn standing_jobs(&self) -> impl Iterator<Item = (ids::GraphId, &job::JobRecord)> {
        let jobs = self.active_jobs().filter(|(_, it)| self.underused.contains(&it.upstream));
        jobs.filter(|(_, it)| !it.has_unreadable_rows && it.runs().next().is_none())
    }

    /// Logs why jobs wait, and counts starved jobs.
    pub(crate) fn report_waits(
        &mut self,
        candidates: &[candidate::WorkerCandidate],
        now: Duration,
    ) {
        self.waits_reported_at = now;
        let waits = self.job_waits(now);
        let idle = || waits.iter().filter(|it| it.is_idle);
        let mut evaluated = EvaluatedShapes::default();
        let mut starved = Vec::new();
        for wait in idle() {
            if self.is_starved(wait, candidates, &mut evaluated, now) {
                starved.push(*wait);
            }
        }
        self.wait_counts.n_idle = idle().count();
        self.wait_counts.n_starved = starved.len();
        starved.sort_by_key(|it| it.since);
        let newly_starved =
            starved.into_iter().filter(|it| self.mark_starved(it)).collect::<Vec<_>>();
        self.wait_counts.n_newly_starved += newly_starved.len() as u64;
        for wait in newly_starved.iter().take(MAX_LOGGED) {
            self.wait_counts.n_lines += 1;
            self.log_wait(wait, candidates, now, true);
        }
        let mut due = waits.into_iter().filter(|it| it.is_due).collect::<Vec<_>>();
        due.sort_by_key(|it| (!it.is_idle, it.since));
        for wait in due.into_iter().take(MAX_LOGGED) {
            self.wait_counts.n_lines += 1;
            self.log_wait(&wait, candidates, now, false);
            if let Some(job) = self.jobs.get_mut(&wait.graph) {
                job.wait.note_reported(now);
            }
        }
    }

    /// The idle jobs, and other waiting jobs whose wait is due to be logged.
    fn job_waits(&self, now: Duration) -> Vec<JobWait> {
        let waits = self.active_jobs().filter_map(|(graph, job)| self.job_wait(graph, job, now));
        waits.collect()
    }

    fn job_wait(
        &self,
        graph: ids::GraphId,
        job: &job::JobRecord,
        now: Duration,
    ) -> Option<JobWait> {
        let is_idle = !job.runs().any(|it| it.phase.is_running());
        let is_due = job.wait.is_due(now);
        if job.has_ended() || !(is_idle || is_due) {
            return None;
        }
        let unit = dispatch::waiting_units_of(graph, job, self.wall_time).into_iter().next();
        let has_open_order = is_idle && job.runs().next().is_some();
        if unit.is_none() && !has_open_order {
            return None;
        }
        let due_for = unit.map(|it| self.wall_time.saturating_sub(job.due_at(it.step as usize)));
        let due_at = due_for.map_or(Duration::ZERO, |it| now.saturating_sub(it));
        let since = job.wait.since().max(due_at);
        Some(JobWait { graph, unit, since, is_idle, is_due })
    }

    /// Whether a job has been idle for long although capacity is ample.
    fn is_starved(
        &self,
        wait: &JobWait,
        candidates: &[candidate::WorkerCandidate],
        evaluated: &mut EvaluatedShapes,
        now: Duration,
    ) -> bool {
        let Some(job) = self.jobs.get(&wait.graph) else { return false };
        if now < wait.since + STARVED_AFTER || !self.underused.contains(&job.upstream) {
            return false;
        }
        wait.unit.is_none_or(|it| self.has_ample_capacity(it, job, candidates, evaluated, now))
    }

    /// Whether capacity is ample for a unit. Each shape is evaluated only once per check: after a takeover,
    /// thousands of units wait next to empty workers, and each evaluation covers all workers.
    fn has_ample_capacity(
        &self,
        unit: task_key::UnitKey,
        job: &job::JobRecord,
        candidates: &[candidate::WorkerCandidate],
        evaluated: &mut EvaluatedShapes,
        now: Duration,
    ) -> bool {
        let shape = job.steps.get(unit.step as usize).and_then(|it| UnitShape::of(unit, job, it));
        let known = shape.as_ref().and_then(|it| evaluated.shapes.iter().find(|(of, _)| of == it));
        if let Some((_, has_ample_capacity)) = known {
            return *has_ample_capacity;
        }
        let has_ample_capacity =
            self.capacity(unit, candidates, now).is_some_and(|it| it.fits_amply());
        evaluated.shapes.extend(shape.map(|it| (it, has_ample_capacity)));
        has_ample_capacity
    }

    /// Marks a job as starved. Returns whether it was not marked before.
    fn mark_starved(&mut self, wait: &JobWait) -> bool {
        let job = self.jobs.get_mut(&wait.graph);
        job.is_some_and(|it| !std::mem::replace(&mut it.wait.is_counted_starved, true))
    }

    fn log_wait(
        &self,
        wait: &JobWait,
        candidates: &[candidate::WorkerCandidate],
        now: Duration,
        is_starved: bool,
    ) {
        let Some(job) = self.jobs.get(&wait.graph) else { return };
        let capacity =
            wait.unit.and_then(|it| self.capacity(it, candidates, now)).unwrap_or_default();
        let reason = self.reason(wait, job, &capacity, now);
        let n_workers = candidates.iter().filter(|it| it.profile.upstream == job.upstream).count();
        let message = if is_starved { "job is left standing beside room" } else { "job waits" };
        macro_rules! log_at {
            ($level:ident) => {
                tracing::$level!(
                    job = format_args!("{:016x}", wait.graph),
                    step = wait.unit.map(|it| it.step),
                    class = job.class,
                    cause = reason.cause.name(),
                    belief = reason.detail,
                    belief_age_ms = reason.age.as_millis() as u64,
                    waited_ms = now.saturating_sub(wait.since).as_millis() as u64,
                    is_standing = wait.is_idle,
                    n_tasks = capacity.n_tasks,
                    same_rack = capacity.same_rack,
                    accelerators_each = capacity.accelerators_each,
                    n_workers,
                    n_with_room = capacity.n_with_capacity,
                    keeps_empty = capacity.keeps_empty,
                    is_far_allowed = capacity.allows_remote,
                    is_ample = self.underused.contains(&job.upstream),
                    barred = self.excluded_summary(&job.upstream, now),
                    evacuated = self.evacuated.join(", "),
                    "{message}"
                )
            };
        }
        if is_starved { log_at!(warn) } else { log_at!(info) }
    }

    fn capacity(
        &self,
        unit: task_key::UnitKey,
        candidates: &[candidate::WorkerCandidate],
        now: Duration,
    ) -> Option<UnitCapacity> {
        let request = self.placement_request(unit, candidates, now)?;
        let relaxed = candidate::PlacementRequest {
            takes_reserved: true,
            is_isolated: false,
            ..request.clone()
        };
        let counts = candidates.iter().enumerate().map(|(index, it)| relaxed.count_now(index, it));
        let (n_fitting, n_with_capacity) = counts.fold((0, 0), |(sum, n_with_capacity), count| {
            (sum + count, n_with_capacity + usize::from(count > 0))
        });
        Some(UnitCapacity {
            n_tasks: request.n_tasks,
            same_rack: request.same_rack,
            accelerators_each: request.per_task.accelerators,
            n_fitting,
            n_with_capacity,
            keeps_empty: request.keeps_empty,
            allows_remote: request.allows_remote,
        })
    }

    fn reason(
        &self,
        wait: &JobWait,
        job: &job::JobRecord,
        capacity: &UnitCapacity,
        now: Duration,
    ) -> WaitReason {
        let waited = now.saturating_sub(wait.since);
        if !self.settled(now).covers(job) {
            return self.takeover_reason(job, now);
        }
        let Some(unit) = wait.unit else { return open_order_reason(job, now) };
        let reason =
            |cause, detail: &str| WaitReason { cause, detail: detail.to_owned(), age: waited };
        if self.is_held_back(unit, now) {
            return reason(
                WaitCause::UncertainLoss,
                "whether the worker of a task is lost is uncertain",
            );
        }
        if self.awaits_saved_start(unit) {
            return reason(WaitCause::UnsavedStart, "the start of a task is not saved yet");
        }
        if capacity.fits() {
            return reason(
                WaitCause::KeptCapacity,
                "free capacity is kept for other work, or is remote",
            );
        }
        reason(WaitCause::NoCapacity, "no worker that may be used has room")
    }

    fn takeover_reason(&self, job: &job::JobRecord, now: Duration) -> WaitReason {
        let unanswered = self
            .workers
            .iter()
            .filter(|(id, it)| it.inherited && now < self.earlier_runs_end_at(id, it));
        let unanswered = unanswered.map(|(id, _)| id.as_str()).collect::<Vec<_>>();
        let named = unanswered.iter().take(MAX_NAMED).copied().collect::<Vec<_>>().join(", ");
        let settles_in = self.settles_at.saturating_sub(now);
        let detail = format!(
            "{} workers of an earlier scheduler have not answered, such as {named}; {} ms more",
            unanswered.len(),
            settles_in.as_millis()
        );
        WaitReason { cause: WaitCause::Takeover, detail, age: now.saturating_sub(job.admitted_at) }
    }

    /// Number of excluded workers of an upstream by reason, with the longest time without contact among them.
    fn excluded_summary(&self, upstream: &str, now: Duration) -> String {
        let mut excluded = BTreeMap::<exclusion_reason::ExclusionReason, (usize, Duration)>::new();
        let of_upstream = self.workers.iter().filter(|(_, it)| it.entry.upstream == upstream);
        for (id, worker) in of_upstream {
            let Some(reason) = self.exclusion_reason(id, worker, now) else { continue };
            let (n_workers, age) = excluded.entry(reason).or_default();
            *n_workers += 1;
            *age = (*age).max(now.saturating_sub(worker.last_contact_at));
        }
        let named = excluded.iter().map(|(reason, (n_workers, age))| {
            format!("{n_workers} {} (last contact up to {} ms ago)", reason.name(), age.as_millis())
        });
        named.collect::<Vec<_>>().join(", ")
    }
}

/// The longest pending order of the job.
fn open_order_reason(job: &job::JobRecord, now: Duration) -> WaitReason {
    let oldest = job.runs().min_by_key(|it| it.tracked_since);
    let detail = oldest.map_or(String::new(), |it| {
        format!("attempt {} on {}: {:?}", it.attempt, it.worker, it.phase)
    });
    let age = oldest.map_or(Duration::ZERO, |it| now.saturating_sub(it.tracked_since));
    WaitReason { cause: WaitCause::OpenOrder, detail, age }
}
