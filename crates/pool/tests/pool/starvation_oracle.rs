//! Oracle for accepted jobs: while no fault is active, the tenure holder knows every accepted job, and no job
//! starves, that is, none is idle although one of its tasks could run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use almondpass_graph::{order, task_key};
use almondpass_schema::{ids, model};
use almondpass_standin::pool_worker;
use tokio::time::Instant;

use crate::support;

/// Accelerators of a worker; each task takes one.
const ACCELERATORS_PER_WORKER: usize = 8;

/// Workers of one rack.
const WORKERS_PER_RACK: usize = 8;

/// Time after the last fault within which instances, store and workers are connected again.
const CONNECTED_AFTER: Duration = Duration::from_secs(4);

/// A job that could run is idle for at most this long; after that it counts as starved.
const STARVED_AFTER: Duration = Duration::from_secs(3);

/// Time within which the holder knows an accepted job, counted from the end of the faults, from the beginning
/// of the tenure or from the acceptance, whichever is latest.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// Time within which an instance holds the tenure, counted from the end of the faults or of the last tenure.
const HELD_WITHIN: Duration = Duration::from_secs(6);

/// The accepted jobs, and since when each is idle.
#[derive(Debug)]
pub(crate) struct StarvationOracle {
    accepted: BTreeMap<ids::GraphId, AcceptedJob>,
    /// When the last fault ended; `None` while a fault is active.
    faultless_since: Option<Instant>,
    /// Instance that held the tenure at the last check.
    holder: Option<ids::InstanceId>,
    /// When the holder last changed.
    holder_since: Instant,
}

/// An accepted job that has not ended.
#[derive(Debug)]
struct AcceptedJob {
    row: model::GraphRow,
    accepted_at: Instant,
    /// Since when none of its tasks runs although one could.
    idle_since: Option<Instant>,
}

/// A broken invariant.
#[derive(Debug)]
pub(crate) enum OracleViolation {
    /// No instance holds the tenure.
    NoHolder,
    /// The tenure holder does not know an accepted job.
    UnknownJob(ids::GraphId),
    /// A job has been idle for too long although `step` could run; `n_used` of `n_all` accelerators are in
    /// use.
    Starved { graph: ids::GraphId, class: String, step: usize, n_used: usize, n_all: usize },
}

impl fmt::Display for OracleViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OracleViolation::NoHolder => write!(f, "nobody holds the tenure"),
            OracleViolation::UnknownJob(graph) => write!(f, "job {graph:016x} is not known"),
            OracleViolation::Starved { graph, class, step, n_used, n_all } => write!(
                f,
                "step {step} of job {graph:016x} ({class}) could run; {n_used} of {n_all} in use"
            ),
        }
    }
}

impl OracleViolation {
    /// The job concerned, if the violation is about one.
    pub(crate) fn graph(&self) -> Option<ids::GraphId> {
        match self {
            OracleViolation::NoHolder => None,
            OracleViolation::UnknownJob(graph) | OracleViolation::Starved { graph, .. } => {
                Some(*graph)
            }
        }
    }
}

impl StarvationOracle {
    /// Starts with no accepted job and no active fault.
    pub(crate) fn new() -> StarvationOracle {
        let now = Instant::now();
        StarvationOracle {
            accepted: BTreeMap::new(),
            faultless_since: Some(now),
            holder: None,
            holder_since: now,
        }
    }

    pub(crate) fn record_accepted(&mut self, graph: ids::GraphId, row: model::GraphRow) {
        let new_job = || AcceptedJob { row, accepted_at: Instant::now(), idle_since: None };
        self.accepted.entry(graph).or_insert_with(new_job);
    }

    /// Stops checking a job, because its caller has asked to cancel it.
    pub(crate) fn record_cancelled(&mut self, graph: ids::GraphId) {
        self.accepted.remove(&graph);
    }

    /// Records that a fault is active from now on.
    pub(crate) fn record_fault(&mut self) {
        self.faultless_since = None;
    }

    /// Records that no fault is active any more. A momentary fault is recorded by this call alone.
    pub(crate) fn record_faults_ended(&mut self) {
        self.faultless_since = Some(Instant::now());
    }

    /// Checks all jobs against the state of the bench, and returns the first violation.
    pub(crate) fn check(&mut self, bench: &support::PoolBench) -> Option<OracleViolation> {
        let now = Instant::now();
        self.follow_holder(bench, now);
        let view = FleetView::of(bench);
        self.accepted.retain(|graph, job| !view.has_ended(*graph, &job.row));
        let is_connected = self.faultless_since.filter(|it| now >= *it + CONNECTED_AFTER).is_some();
        let mut starved = None;
        for (graph, job) in &mut self.accepted {
            let Some(step) = view.starved_step(*graph, &job.row).filter(|_| is_connected) else {
                job.idle_since = None;
                continue;
            };
            let since = *job.idle_since.get_or_insert(now.max(job.accepted_at));
            if now > since + STARVED_AFTER && starved.is_none() {
                let class = job.row.class.clone();
                let (n_used, n_all) = (view.n_used, view.n_all);
                starved =
                    Some(OracleViolation::Starved { graph: *graph, class, step, n_used, n_all });
            }
        }
        self.check_holder(bench, now).or(starved)
    }

    fn follow_holder(&mut self, bench: &support::PoolBench, now: Instant) {
        let holder = bench.latest_holder();
        let holder = holder.map(|it| bench.instances[it].state.settings.instance.clone());
        if self.holder != holder {
            self.holder = holder;
            self.holder_since = now;
        }
    }

    /// Checks that a holder exists, and that it knows all jobs that it should know by now.
    fn check_holder(&self, bench: &support::PoolBench, now: Instant) -> Option<OracleViolation> {
        let connected_since = self.faultless_since?.max(self.holder_since);
        if self.holder.is_none() {
            return (now > connected_since + HELD_WITHIN).then_some(OracleViolation::NoHolder);
        }
        let leader = bench.instances[bench.latest_holder()?].state.leader()?;
        let core = leader.core();
        let is_due = |it: &AcceptedJob| now > connected_since.max(it.accepted_at) + KNOWN_WITHIN;
        let mut late = self.accepted.iter().filter(|(_, it)| is_due(it));
        let unknown = late.find(|(graph, _)| core.state_of(**graph).is_none())?;
        Some(OracleViolation::UnknownJob(*unknown.0))
    }
}

/// Runs and free accelerators of all workers at one moment.
struct FleetView {
    running: BTreeSet<ids::GraphId>,
    done: BTreeSet<task_key::TaskKey>,
    /// The tasks of `done` whose end the holder has acknowledged.
    acknowledged: BTreeSet<task_key::TaskKey>,
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
            let rack =
                free_by_rack.entry(support::index_of(worker) / WORKERS_PER_RACK).or_default();
            *rack += ACCELERATORS_PER_WORKER.saturating_sub(n_runs);
        }
        FleetView {
            n_used: running.len(),
            n_all: up.len() * ACCELERATORS_PER_WORKER,
            running: running.into_iter().map(|(_, task)| task.graph).collect(),
            done: done().map(|it| it.task).collect(),
            acknowledged: done().filter(|it| it.is_acknowledged).map(|it| it.task).collect(),
            free_by_rack,
        }
    }

    fn has_ended(&self, graph: ids::GraphId, row: &model::GraphRow) -> bool {
        (0..row.graph.steps.len())
            .all(|step| self.has_all_ends(&self.acknowledged, graph, row, step))
    }

    fn has_all_ends(
        &self,
        tasks: &BTreeSet<task_key::TaskKey>,
        graph: ids::GraphId,
        row: &model::GraphRow,
        step: usize,
    ) -> bool {
        let spec = &row.graph.steps[step];
        let key = |task| task_key::TaskKey { graph, occurrence: 0, step: step as u32, task };
        let is_in = |it| tasks.contains(&key(it));
        // The end of one member ends the whole gang.
        if spec.gang { (0..spec.tasks).any(is_in) } else { (0..spec.tasks).all(is_in) }
    }

    /// Returns a step that could run although no task of the job does. Returns `None` where half of all
    /// accelerators or more are in use, since the job may then wait for capacity.
    fn starved_step(&self, graph: ids::GraphId, row: &model::GraphRow) -> Option<usize> {
        if self.running.contains(&graph) || 2 * self.n_used >= self.n_all {
            return None;
        }
        row.graph.steps.iter().enumerate().position(|(index, step)| {
            let before = &mut step.after.iter().map(|it| *it as usize);
            let is_ready = before.all(|it| self.has_all_ends(&self.acknowledged, graph, row, it));
            is_ready && !self.has_all_ends(&self.done, graph, row, index) && self.fits_twice(step)
        })
    }

    fn fits_twice(&self, step: &model::GraphStep) -> bool {
        let wanted = if step.gang { 2 * step.tasks as usize } else { 2 };
        if step.gang && step.same_rack {
            return self.free_by_rack.values().any(|it| *it >= wanted);
        }
        self.free_by_rack.values().sum::<usize>() >= wanted
    }
}
