//! An oracle for accepted work: in calm each job is known to the holder in force, and none stands still
//! although a task of it could run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use almondpass_graph::{order, task_key};
use almondpass_schema::{ids, model};
use almondpass_standin::pool_worker;
use tokio::time::Instant;

use crate::support;

/// Accelerators of a worker, and tasks that fit on it.
const WHOLE_ROOM: usize = 8;

/// Workers of a rack.
const RACK: usize = 8;

/// Parties are in touch this long behind the last disruption.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(4);

/// A job that could run has something running again within this.
const STILL_FOR: Duration = Duration::from_secs(3);

/// The holder in force knows an accepted job within this of calm.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// Somebody holds the tenure within this of calm, and of its end.
const HELD_WITHIN: Duration = Duration::from_secs(6);

/// What was accepted, and since when it stands still.
#[derive(Debug)]
pub(crate) struct StillJobs {
    accepted: BTreeMap<ids::GraphId, AcceptedJob>,
    /// Since when nothing stands between the parties; nothing while something does.
    calm_since: Option<Instant>,
    /// The holder in force.
    holder: Option<ids::InstanceId>,
    /// Since when it holds the tenure, or nobody does.
    holds_since: Instant,
}

/// An accepted job that has not ended.
#[derive(Debug)]
struct AcceptedJob {
    row: model::GraphRow,
    accepted_at: Instant,
    /// Since when nothing of it runs although it could.
    still_since: Option<Instant>,
}

/// What breaks the rule.
#[derive(Debug)]
pub(crate) enum StillFault {
    /// Nobody holds the tenure.
    NoHolder,
    /// The holder in force does not know a job.
    Unknown(ids::GraphId),
    /// Nothing of a job runs.
    Still { graph: ids::GraphId, class: String, step: usize, n_used: usize, n_all: usize },
}

impl fmt::Display for StillFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StillFault::NoHolder => write!(f, "nobody holds the tenure"),
            StillFault::Unknown(graph) => write!(f, "job {graph:016x} is not known"),
            StillFault::Still { graph, class, step, n_used, n_all } => write!(
                f,
                "step {step} of job {graph:016x} ({class}) could run; {n_used} of {n_all} in use"
            ),
        }
    }
}

impl StillFault {
    /// The job that is struck.
    pub(crate) fn graph(&self) -> Option<ids::GraphId> {
        match self {
            StillFault::NoHolder => None,
            StillFault::Unknown(graph) | StillFault::Still { graph, .. } => Some(*graph),
        }
    }
}

impl StillJobs {
    /// Nothing was accepted yet, and nothing stands between the parties.
    pub(crate) fn new() -> StillJobs {
        let now = Instant::now();
        StillJobs {
            accepted: BTreeMap::new(),
            calm_since: Some(now),
            holder: None,
            holds_since: now,
        }
    }

    pub(crate) fn accepted(&mut self, graph: ids::GraphId, row: model::GraphRow) {
        let fresh = || AcceptedJob { row, accepted_at: Instant::now(), still_since: None };
        self.accepted.entry(graph).or_insert_with(fresh);
    }

    /// A job of which nothing is owed any more.
    pub(crate) fn cancelled(&mut self, graph: ids::GraphId) {
        self.accepted.remove(&graph);
    }

    /// Something stands between the parties from now on.
    pub(crate) fn disrupted(&mut self) {
        self.calm_since = None;
    }

    /// Nothing does any more; a disruption that lasts for a moment begins and ends with this.
    pub(crate) fn calmed(&mut self) {
        self.calm_since = Some(Instant::now());
    }

    /// Looks at all jobs, and tells the first that has stood still for too long.
    pub(crate) fn look(&mut self, bench: &support::PoolBench) -> Option<StillFault> {
        let now = Instant::now();
        self.follow_holder(bench, now);
        let view = FleetView::of(bench);
        self.accepted.retain(|graph, job| !view.has_ended(*graph, &job.row));
        let in_touch = self.calm_since.filter(|it| now >= *it + IN_TOUCH_AFTER).is_some();
        let mut still = None;
        for (graph, job) in &mut self.accepted {
            let Some(step) = view.stalled_step(*graph, &job.row).filter(|_| in_touch) else {
                job.still_since = None;
                continue;
            };
            let since = *job.still_since.get_or_insert(now.max(job.accepted_at));
            if now > since + STILL_FOR && still.is_none() {
                let class = job.row.class.clone();
                let (n_used, n_all) = (view.n_used, view.n_all);
                still = Some(StillFault::Still { graph: *graph, class, step, n_used, n_all });
            }
        }
        self.unknown(bench, now).or(still)
    }

    fn follow_holder(&mut self, bench: &support::PoolBench, now: Instant) {
        let holder = bench.latest_holder();
        let holder = holder.map(|it| bench.instances[it].state.settings.instance.clone());
        if self.holder != holder {
            self.holder = holder;
            self.holds_since = now;
        }
    }

    /// What the holder in force should have heard of by now.
    fn unknown(&self, bench: &support::PoolBench, now: Instant) -> Option<StillFault> {
        let in_touch_since = self.calm_since?.max(self.holds_since);
        if self.holder.is_none() {
            return (now > in_touch_since + HELD_WITHIN).then_some(StillFault::NoHolder);
        }
        let leader = bench.instances[bench.latest_holder()?].state.leader()?;
        let core = leader.core();
        let due = |it: &AcceptedJob| now > in_touch_since.max(it.accepted_at) + KNOWN_WITHIN;
        let mut late = self.accepted.iter().filter(|(_, it)| due(it));
        let unknown = late.find(|(graph, _)| core.state_of(**graph).is_none())?;
        Some(StillFault::Unknown(*unknown.0))
    }
}

/// The workers as they are.
struct FleetView {
    running: BTreeSet<ids::GraphId>,
    done: BTreeSet<task_key::TaskKey>,
    /// Those of which note was taken.
    noted: BTreeSet<task_key::TaskKey>,
    free_by_rack: BTreeMap<usize, usize>,
    n_used: usize,
    n_all: usize,
}

impl FleetView {
    fn of(bench: &support::PoolBench) -> FleetView {
        let running = bench.fleet.running();
        let records = bench.fleet.records();
        let is_done = |it: &&pool_worker::RunRecord| it.end_kind == order::EndKind::Done;
        let done = || records.iter().filter(is_done);
        let mut free_by_rack = BTreeMap::<usize, usize>::new();
        let up = bench.fleet.workers_up();
        for worker in &up {
            let n_runs = running.iter().filter(|(it, _)| it == worker).count();
            let rack = free_by_rack.entry(support::index_of(worker) / RACK).or_default();
            *rack += WHOLE_ROOM.saturating_sub(n_runs);
        }
        FleetView {
            n_used: running.len(),
            n_all: up.len() * WHOLE_ROOM,
            running: running.into_iter().map(|(_, task)| task.graph).collect(),
            done: done().map(|it| it.task).collect(),
            noted: done().filter(|it| it.is_acknowledged).map(|it| it.task).collect(),
            free_by_rack,
        }
    }

    fn has_ended(&self, graph: ids::GraphId, row: &model::GraphRow) -> bool {
        (0..row.graph.steps.len()).all(|step| self.all_in(&self.noted, graph, row, step))
    }

    fn all_in(
        &self,
        tasks: &BTreeSet<task_key::TaskKey>,
        graph: ids::GraphId,
        row: &model::GraphRow,
        step: usize,
    ) -> bool {
        let spec = &row.graph.steps[step];
        let key = |task| task_key::TaskKey { graph, occurrence: 0, step: step as u32, task };
        let is_in = |it| tasks.contains(&key(it));
        // One end of a gang stands for all.
        if spec.gang { (0..spec.tasks).any(is_in) } else { (0..spec.tasks).all(is_in) }
    }

    /// A step of a job that could run while nothing of the job does.
    fn stalled_step(&self, graph: ids::GraphId, row: &model::GraphRow) -> Option<usize> {
        if self.running.contains(&graph) || 2 * self.n_used >= self.n_all {
            return None;
        }
        row.graph.steps.iter().enumerate().position(|(index, step)| {
            let before = &mut step.after.iter().map(|it| *it as usize);
            let is_ready = before.all(|it| self.all_in(&self.noted, graph, row, it));
            is_ready && !self.all_in(&self.done, graph, row, index) && self.has_room_twice(step)
        })
    }

    fn has_room_twice(&self, step: &model::GraphStep) -> bool {
        let wanted = if step.gang { 2 * step.tasks as usize } else { 2 };
        if step.gang && step.same_rack {
            return self.free_by_rack.values().any(|it| *it >= wanted);
        }
        self.free_by_rack.values().sum::<usize>() >= wanted
    }
}
