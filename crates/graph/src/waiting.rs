//! Jobs that wait: what is told of them, and which are left standing although there is room.

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

/// Jobs that wait are gone over this often.
const TELL_INTERVAL: Duration = Duration::from_millis(500);

/// Jobs told of at a time, those first that have waited longest: where there is more work than room they wait
/// by the hundred.
const MOST_TOLD: usize = 8;

/// A job is left standing once nothing of it has run for this long although there is room: the platform's
/// bound.
const LEFT_AFTER: Duration = Duration::from_secs(3);

/// There is room for a unit if it would fit so many times.
const TIMES_OVER: u32 = 2;

/// Workers named in a line.
const MOST_NAMED: usize = 3;

/// Jobs of which nothing runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitCounts {
    /// Those with a task whose turn has come, or whose order is open.
    pub n_idle: usize,
    /// Those of them that have stood for long although there is room.
    pub n_starved: usize,
    /// How many began to be left standing since this was last asked for.
    pub n_newly_starved: u64,
    /// Lines that told of waits since this was last asked for.
    pub n_lines: u64,
}

/// What a job waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitCause {
    /// It may run on a worker that an earlier scheduler has used and that has not answered yet.
    Takeover,
    /// A start or a stop of it is open.
    OpenOrder,
    /// Whether the worker under it is lost will be surer soon.
    UncertainLoss,
    /// Its start has to be on record first.
    UnsavedStart,
    /// There is no room for it.
    NoCapacity,
    /// There is room, which is kept for other work, or which is far from its data or its gang.
    KeptCapacity,
}

impl WaitCause {
    /// A short name, for logs.
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

/// What a job waits for, and the belief behind that.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitReason {
    /// What it waits for.
    pub cause: WaitCause,
    /// What is believed, for people.
    pub detail: String,
    /// How old the belief is.
    pub age: Duration,
}

/// A job that waits.
#[derive(Clone, Copy, Debug)]
struct JobWait {
    graph: ids::GraphId,
    /// What of it would start next; nothing where only open orders keep it.
    unit: Option<task_key::UnitKey>,
    since: Duration,
    /// Whether nothing of it runs.
    is_standing: bool,
    is_due: bool,
}

/// What a unit asks for, as far as it tells how much room there is for others alike.
#[derive(Clone, Debug, PartialEq, Eq)]
struct UnitShape {
    upstream: ids::UpstreamName,
    label: Option<String>,
    room: resources::Resources,
    n_tasks: usize,
}

impl UnitShape {
    /// Nothing for a unit that has workers of its own to keep off, or a number of tasks on each.
    fn of(
        unit: task_key::UnitKey,
        job: &job::JobRecord,
        step: &job::StepRecord,
    ) -> Option<UnitShape> {
        let tasks = match unit.task {
            Some(task) => step.tasks.get(task as usize..=task as usize)?,
            None => &step.tasks[..],
        };
        let is_plain =
            |it: &job::TaskRecord| it.avoids.is_none() && !it.suspicion.needs_isolation();
        let tells = step.spec.per_worker == 0 && tasks.iter().all(is_plain);
        tells.then(|| UnitShape {
            upstream: job.upstream.clone(),
            label: step.spec.label.clone(),
            room: step.task_resources(),
            n_tasks: tasks.len(),
        })
    }
}

/// Shapes that were judged in this going over, with whether there is much room for each.
#[derive(Clone, Debug, Default)]
struct JudgedShapes {
    shapes: Vec<(UnitShape, bool)>,
}

/// What there is for a unit.
#[derive(Clone, Copy, Debug, Default)]
struct UnitOutlook {
    n_tasks: u32,
    same_rack: bool,
    accelerators_each: u32,
    /// Tasks of it that fit on the workers that may be used, whatever that room is kept for.
    n_fitting: u32,
    /// Workers with room for one.
    n_with_room: usize,
    keeps_empty: usize,
    is_far_allowed: bool,
}

impl UnitOutlook {
    fn has_room(&self) -> bool {
        self.n_fitting >= self.n_tasks
    }

    fn has_much_room(&self) -> bool {
        self.n_fitting >= TIMES_OVER * self.n_tasks
    }
}

impl core::PoolCore {
    /// Jobs of which nothing runs, as of late. The numbers since the last call begin anew.
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
        let outlook =
            wait.unit.and_then(|it| self.outlook(it, &candidates, now)).unwrap_or_default();
        Some(self.reason(&wait, job, &outlook, now))
    }

    /// Whether the jobs that wait are to be gone over now.
    pub(crate) fn is_wait_report_due(&self, now: Duration) -> bool {
        now >= self.waits_reported_at + TELL_INTERVAL
    }

    /// Tells why jobs wait, and counts those that are left standing.
    pub(crate) fn report_waits(
        &mut self,
        candidates: &[candidate::WorkerCandidate],
        now: Duration,
    ) {
        self.waits_reported_at = now;
        let waits = self.job_waits(now);
        let standing = || waits.iter().filter(|it| it.is_standing);
        let mut judged = JudgedShapes::default();
        let mut left = Vec::new();
        for wait in standing() {
            if self.is_left(wait, candidates, &mut judged, now) {
                left.push(*wait);
            }
        }
        self.wait_counts.n_idle = standing().count();
        self.wait_counts.n_starved = left.len();
        left.sort_by_key(|it| it.since);
        let newly_left = left.into_iter().filter(|it| self.note_left(it)).collect::<Vec<_>>();
        self.wait_counts.n_newly_starved += newly_left.len() as u64;
        for wait in newly_left.iter().take(MOST_TOLD) {
            self.wait_counts.n_lines += 1;
            self.log_wait(wait, candidates, now, true);
        }
        let mut due = waits.into_iter().filter(|it| it.is_due).collect::<Vec<_>>();
        due.sort_by_key(|it| (!it.is_standing, it.since));
        for wait in due.into_iter().take(MOST_TOLD) {
            self.wait_counts.n_lines += 1;
            self.log_wait(&wait, candidates, now, false);
            if let Some(job) = self.jobs.get_mut(&wait.graph) {
                job.wait.note_reported(now);
            }
        }
    }

    /// The jobs of which nothing runs, and the others that wait and are to be told of.
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
        let is_standing = !job.runs().any(|it| it.phase.is_running());
        let is_due = job.wait.is_due(now);
        if job.has_ended() || !(is_standing || is_due) {
            return None;
        }
        let unit = dispatch::waiting_units_of(graph, job, self.wall_time).into_iter().next();
        let has_open_order = is_standing && job.runs().next().is_some();
        if unit.is_none() && !has_open_order {
            return None;
        }
        let due_for = unit.map(|it| self.wall_time.saturating_sub(job.due_at(it.step as usize)));
        let due_at = due_for.map_or(Duration::ZERO, |it| now.saturating_sub(it));
        let since = job.wait.since().max(due_at);
        Some(JobWait { graph, unit, since, is_standing, is_due })
    }

    /// Whether a job has stood for long although there is much room.
    fn is_left(
        &self,
        wait: &JobWait,
        candidates: &[candidate::WorkerCandidate],
        judged: &mut JudgedShapes,
        now: Duration,
    ) -> bool {
        let Some(job) = self.jobs.get(&wait.graph) else { return false };
        if now < wait.since + LEFT_AFTER || !self.underused.contains(&job.upstream) {
            return false;
        }
        wait.unit.is_none_or(|it| self.has_much_room(it, job, candidates, judged, now))
    }

    /// Whether there is much room for a unit. Units of one shape are judged once: behind a takeover thousands
    /// wait beside empty workers, and each judgement goes over all workers.
    fn has_much_room(
        &self,
        unit: task_key::UnitKey,
        job: &job::JobRecord,
        candidates: &[candidate::WorkerCandidate],
        judged: &mut JudgedShapes,
        now: Duration,
    ) -> bool {
        let shape = job.steps.get(unit.step as usize).and_then(|it| UnitShape::of(unit, job, it));
        let known = shape.as_ref().and_then(|it| judged.shapes.iter().find(|(of, _)| of == it));
        if let Some((_, has_much_room)) = known {
            return *has_much_room;
        }
        let has_much_room =
            self.outlook(unit, candidates, now).is_some_and(|it| it.has_much_room());
        judged.shapes.extend(shape.map(|it| (it, has_much_room)));
        has_much_room
    }

    /// Notes that a job is left standing. Tells whether that is new.
    fn note_left(&mut self, wait: &JobWait) -> bool {
        let job = self.jobs.get_mut(&wait.graph);
        job.is_some_and(|it| !std::mem::replace(&mut it.wait.is_counted_starved, true))
    }

    fn log_wait(
        &self,
        wait: &JobWait,
        candidates: &[candidate::WorkerCandidate],
        now: Duration,
        is_left: bool,
    ) {
        let Some(job) = self.jobs.get(&wait.graph) else { return };
        let outlook =
            wait.unit.and_then(|it| self.outlook(it, candidates, now)).unwrap_or_default();
        let reason = self.reason(wait, job, &outlook, now);
        let n_workers = candidates.iter().filter(|it| it.profile.upstream == job.upstream).count();
        let message = if is_left { "job is left standing beside room" } else { "job waits" };
        macro_rules! tell {
            ($level:ident) => {
                tracing::$level!(
                    job = format_args!("{:016x}", wait.graph),
                    step = wait.unit.map(|it| it.step),
                    class = job.class,
                    cause = reason.cause.name(),
                    belief = reason.detail,
                    belief_age_ms = reason.age.as_millis() as u64,
                    waited_ms = now.saturating_sub(wait.since).as_millis() as u64,
                    is_standing = wait.is_standing,
                    n_tasks = outlook.n_tasks,
                    same_rack = outlook.same_rack,
                    accelerators_each = outlook.accelerators_each,
                    n_workers,
                    n_with_room = outlook.n_with_room,
                    keeps_empty = outlook.keeps_empty,
                    is_far_allowed = outlook.is_far_allowed,
                    is_ample = self.underused.contains(&job.upstream),
                    barred = self.barred(&job.upstream, now),
                    evacuated = self.evacuated.join(", "),
                    "{message}"
                )
            };
        }
        if is_left { tell!(warn) } else { tell!(info) }
    }

    fn outlook(
        &self,
        unit: task_key::UnitKey,
        candidates: &[candidate::WorkerCandidate],
        now: Duration,
    ) -> Option<UnitOutlook> {
        let request = self.placement_request(unit, candidates, now)?;
        let any = candidate::PlacementRequest {
            takes_reserved: true,
            is_isolated: false,
            ..request.clone()
        };
        let counts = candidates.iter().enumerate().map(|(index, it)| any.count_now(index, it));
        let (n_fitting, n_with_room) = counts.fold((0, 0), |(sum, n_with_room), count| {
            (sum + count, n_with_room + usize::from(count > 0))
        });
        Some(UnitOutlook {
            n_tasks: request.n_tasks,
            same_rack: request.same_rack,
            accelerators_each: request.per_task.accelerators,
            n_fitting,
            n_with_room,
            keeps_empty: request.keeps_empty,
            is_far_allowed: request.allows_remote,
        })
    }

    fn reason(
        &self,
        wait: &JobWait,
        job: &job::JobRecord,
        outlook: &UnitOutlook,
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
            return reason(WaitCause::UncertainLoss, "a worker under it may live");
        }
        if self.awaits_saved_start(unit) {
            return reason(WaitCause::UnsavedStart, "its start is not on record");
        }
        if outlook.has_room() {
            return reason(WaitCause::KeptCapacity, "room is kept, or far");
        }
        reason(WaitCause::NoCapacity, "no worker that may be used has room")
    }

    fn takeover_reason(&self, job: &job::JobRecord, now: Duration) -> WaitReason {
        let open = self.workers.iter().filter(|(_, it)| it.inherited && !it.fenced);
        let open = open.map(|(id, _)| id.as_str()).collect::<Vec<_>>();
        let named = open.iter().take(MOST_NAMED).copied().collect::<Vec<_>>().join(", ");
        let settles_in = self.settles_at.saturating_sub(now);
        let detail = format!(
            "{} workers of an earlier scheduler have not answered, such as {named}; {} ms more",
            open.len(),
            settles_in.as_millis()
        );
        WaitReason { cause: WaitCause::Takeover, detail, age: now.saturating_sub(job.admitted_at) }
    }

    /// How many workers of an upstream are no place, why, and for how long at most none of them was heard.
    fn barred(&self, upstream: &str, now: Duration) -> String {
        let mut barred = BTreeMap::<exclusion_reason::ExclusionReason, (usize, Duration)>::new();
        let of_upstream = self.workers.iter().filter(|(_, it)| it.entry.upstream == upstream);
        for (id, worker) in of_upstream {
            let Some(bar) = self.exclusion_reason(id, worker, now) else { continue };
            let (n_workers, age) = barred.entry(bar).or_default();
            *n_workers += 1;
            *age = (*age).max(now.saturating_sub(worker.last_contact_at));
        }
        let named = barred.iter().map(|(bar, (n_workers, age))| {
            format!("{n_workers} {} (heard up to {} ms ago)", bar.name(), age.as_millis())
        });
        named.collect::<Vec<_>>().join(", ")
    }
}

/// The order that has been open for longest.
fn open_order_reason(job: &job::JobRecord, now: Duration) -> WaitReason {
    let oldest = job.runs().min_by_key(|it| it.tracked_since);
    let detail = oldest.map_or(String::new(), |it| {
        format!("attempt {} on {}: {:?}", it.attempt, it.worker, it.phase)
    });
    let age = oldest.map_or(Duration::ZERO, |it| now.saturating_sub(it.tracked_since));
    WaitReason { cause: WaitCause::OpenOrder, detail, age }
}
