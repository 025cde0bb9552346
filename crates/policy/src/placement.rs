//! Where work fits: adjacent runs, scattered tasks, and tasks without accelerators.
//!
//! A run is walked in the order of the hall: each task takes the next accelerators of one worker;
//! what is left of a worker that cannot hold one more task is skipped, everything else must be
//! contiguous.

use almondpass_schema::model;

use crate::ledger::{PlacedTask, Usage};
use crate::topology::{HallTopology, NONE, WorkerSpec};
use crate::work;

/// What is looked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PlacementRequest {
    pub(crate) tasks: u32,
    /// Accelerators of a task.
    pub(crate) accelerators_per_task: u32,
    pub(crate) usage: Usage,
    pub(crate) adjacency: model::Adjacency,
}

impl PlacementRequest {
    pub(crate) fn of(item: &work::WorkItem) -> PlacementRequest {
        PlacementRequest {
            tasks: item.tasks,
            accelerators_per_task: item.demand.accelerators,
            usage: Usage::of(&item.demand),
            adjacency: item.adjacency,
        }
    }

    /// Accelerators of all tasks.
    pub(crate) fn total_accelerators(&self) -> u32 {
        self.tasks * self.accelerators_per_task
    }

    /// Whether the tasks must form one run.
    fn contiguous(&self) -> bool {
        self.accelerators_per_task > 0
            && (self.tasks == 1 || self.adjacency != model::Adjacency::Any)
    }

    /// How many of the tasks an empty worker holds by its cores, memory and slots.
    fn tasks_per_empty_worker(&self, spec: &WorkerSpec) -> u32 {
        Usage::capacity(spec).max_tasks(self.usage)
    }
}

/// What a search may use.
pub(crate) trait PlacementRule {
    /// Whether any accelerator of the worker may be allowed; spares a look at each.
    fn allows_worker(&self, _worker: u32) -> bool {
        true
    }
    /// Whether the accelerator may be used.
    fn allows_accelerator(&self, accelerator: u32) -> bool;
    /// How many tasks of the ask the worker's cores, memory and slots allow now; 0 where the
    /// worker may not be used.
    fn task_capacity(&self, worker: u32) -> u32;
    /// How unwelcome the accelerator is.
    fn penalty(&self, accelerator: u32) -> u32;
    /// How unwelcome a task without accelerators is on this worker; lower first.
    fn cpu_only_rank(&self, worker: u32) -> i64;
}

/// A maximal stretch of allowed accelerators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FreeRun {
    pub(crate) start: u32,
    /// Index behind the last.
    pub(crate) end: u32,
}

impl FreeRun {
    pub(crate) fn len(self) -> u32 {
        self.end - self.start
    }
}

/// Every maximal run of allowed accelerators, in order.
pub(crate) fn free_runs(
    topology: &HallTopology,
    adjacency: model::Adjacency,
    allows_accelerator: impl Fn(u32) -> bool,
) -> Vec<FreeRun> {
    free_runs_in(topology, adjacency, |_| true, allows_accelerator)
}

/// The same, passing over workers that do not open.
fn free_runs_in(
    topology: &HallTopology,
    adjacency: model::Adjacency,
    allows_worker: impl Fn(u32) -> bool,
    allows_accelerator: impl Fn(u32) -> bool,
) -> Vec<FreeRun> {
    let mut runs: Vec<FreeRun> = Vec::new();
    let mut open: Option<(FreeRun, u32)> = None;
    for (worker, spec) in topology.workers.iter().enumerate() {
        let worker = worker as u32;
        if 0 < spec.accelerators && !allows_worker(worker) {
            runs.extend(open.take().map(|(run, _)| run));
            continue;
        }
        for at in spec.first_accelerator..spec.accelerators_end() {
            if !allows_accelerator(at) {
                runs.extend(open.take().map(|(run, _)| run));
                continue;
            }
            open = match open {
                Some((run, last))
                    if last == worker || topology.run_may_span(last, worker, adjacency) =>
                {
                    Some((FreeRun { end: at + 1, ..run }, worker))
                }
                other => {
                    runs.extend(other.map(|(run, _)| run));
                    Some((FreeRun { start: at, end: at + 1 }, worker))
                }
            };
        }
    }
    runs.extend(open.map(|(run, _)| run));
    runs
}

/// Walks a run from `start`. Returns the accelerator behind it, or nothing where it does not hold
/// the whole ask; `tasks` receives the first accelerator of each task.
pub(crate) fn place_run_at(
    topology: &HallTopology,
    request: &PlacementRequest,
    rule: &impl PlacementRule,
    start: u32,
    tasks: &mut Vec<u32>,
) -> Option<u32> {
    tasks.clear();
    let n = topology.n_accelerators();
    if n <= start || request.accelerators_per_task == 0 {
        return None;
    }
    let mut at = start;
    let mut worker = topology.worker_of[start as usize];
    let mut used = 0;
    while (tasks.len() as u32) < request.tasks {
        let spec = &topology.workers[worker as usize];
        let full = spec.accelerators_end() < at + request.accelerators_per_task
            || request.tasks_per_empty_worker(spec) <= used;
        if full {
            if used == 0 {
                return None;
            }
            at = spec.accelerators_end();
            if n <= at {
                return None;
            }
            let next = topology.worker_of[at as usize];
            if !topology.run_may_span(worker, next, request.adjacency) {
                return None;
            }
            worker = next;
            used = 0;
            continue;
        }
        if rule.task_capacity(worker) <= used
            || (at..at + request.accelerators_per_task).any(|it| !rule.allows_accelerator(it))
        {
            return None;
        }
        tasks.push(at);
        at += request.accelerators_per_task;
        used += 1;
    }
    Some(at)
}

/// Tasks that begin at these accelerators.
pub(crate) fn placed_tasks(topology: &HallTopology, width: u32, starts: &[u32]) -> Vec<PlacedTask> {
    let task = |at: &u32| PlacedTask {
        worker: topology.worker_of[*at as usize],
        accelerators: (*at..at + width).collect(),
    };
    starts.iter().map(task).collect()
}

/// The best free place for an ask.
pub(crate) fn best(
    topology: &HallTopology,
    request: &PlacementRequest,
    rule: &impl PlacementRule,
) -> Option<Vec<PlacedTask>> {
    if request.accelerators_per_task == 0 {
        best_bare(topology, request, rule)
    } else if request.contiguous() {
        best_run(topology, request, rule)
    } else {
        best_scattered(topology, request, rule)
    }
}

/// The adjacency by which runs are measured: a single task is kept inside its worker by the walk,
/// yet it should break up the shortest run of its rack.
fn measure(request: &PlacementRequest) -> model::Adjacency {
    if request.tasks == 1 { model::Adjacency::Rack } else { request.adjacency }
}

/// Best fit over maximal runs: the least unwelcome accelerators, then the shortest run that holds
/// the ask, at one of its ends.
fn best_run(
    topology: &HallTopology,
    request: &PlacementRequest,
    rule: &impl PlacementRule,
) -> Option<Vec<PlacedTask>> {
    let total = request.total_accelerators();
    let mut best: Option<(RunScore, u32)> = None;
    let mut starts = Vec::new();
    for run in free_runs_in(
        topology,
        measure(request),
        |it| rule.allows_worker(it),
        |it| rule.allows_accelerator(it),
    ) {
        if run.len() < total {
            continue;
        }
        let shortest = best.is_some_and(|(score, _)| score.penalty == 0 && score.run <= run.len());
        if shortest {
            continue;
        }
        for start in candidates(topology, request, run) {
            let Some(end) = place_run_at(topology, request, rule, start, &mut starts) else {
                continue;
            };
            let score = RunScore {
                penalty: (start..end).map(|it| rule.penalty(it)).sum(),
                run: run.len(),
                misaligned: misaligned(topology, request, start),
                split: start != run.start && end != run.end,
                start,
            };
            if best.is_none_or(|(it, _)| score < it) {
                best = Some((score, start));
            }
            if score.penalty == 0 && !score.misaligned && !score.split {
                break;
            }
        }
    }
    let (_, start) = best?;
    place_run_at(topology, request, rule, start, &mut starts)?;
    Some(placed_tasks(topology, request.accelerators_per_task, &starts))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunScore {
    penalty: u32,
    run: u32,
    misaligned: bool,
    split: bool,
    start: u32,
}

/// Whether a gang does not begin at a multiple of its size, rounded up to a power of two, in its
/// rack. Aligned as the cells of a buddy system are, gangs of different sizes leave each other whole
/// cells; a gang of two workers in the middle of a rack of eight would leave no run of four.
fn misaligned(topology: &HallTopology, request: &PlacementRequest, start: u32) -> bool {
    let worker = topology.worker_of[start as usize];
    let rack = topology.workers[worker as usize].rack;
    let mates = topology.workers[..worker as usize].iter().rev();
    let n_before: u32 = mates.take_while(|it| it.rack == rack).map(|it| it.accelerators).sum();
    let spec = &topology.workers[worker as usize];
    let offset = n_before + start - spec.first_accelerator;
    !offset.is_multiple_of(request.total_accelerators().next_power_of_two())
}

/// Where in a run a walk may begin: at its ends and at each worker.
fn candidates(
    topology: &HallTopology,
    request: &PlacementRequest,
    run: FreeRun,
) -> impl Iterator<Item = u32> + use<> {
    let first = topology.worker_of[run.start as usize];
    let last = topology.worker_of[run.end as usize - 1];
    let heads: Vec<u32> =
        (first + 1..=last).map(|it| topology.workers[it as usize].first_accelerator).collect();
    let tail = run.end - request.total_accelerators().min(run.len());
    [run.start, tail].into_iter().chain(heads)
}

/// Task by task into the shortest runs.
fn best_scattered(
    topology: &HallTopology,
    request: &PlacementRequest,
    rule: &impl PlacementRule,
) -> Option<Vec<PlacedTask>> {
    let mut runs = free_runs_in(
        topology,
        model::Adjacency::Rack,
        |it| rule.allows_worker(it),
        |it| rule.allows_accelerator(it),
    );
    runs.sort_by_key(|run| {
        let penalty = (run.start..run.end).map(|it| rule.penalty(it)).max().unwrap_or(0);
        (penalty, run.len(), run.start)
    });
    let mut used = vec![0; topology.workers.len()];
    let mut starts = Vec::new();
    for run in runs {
        let mut at = run.start;
        while at + request.accelerators_per_task <= run.end && (starts.len() as u32) < request.tasks
        {
            let worker = topology.worker_of[at as usize];
            let end = topology.workers[worker as usize].accelerators_end();
            if end < at + request.accelerators_per_task
                || rule.task_capacity(worker) <= used[worker as usize]
            {
                at = end;
                continue;
            }
            starts.push(at);
            used[worker as usize] += 1;
            at += request.accelerators_per_task;
        }
    }
    (starts.len() as u32 == request.tasks)
        .then(|| placed_tasks(topology, request.accelerators_per_task, &starts))
}

/// Tasks without accelerators, which only need room.
fn best_bare(
    topology: &HallTopology,
    request: &PlacementRequest,
    rule: &impl PlacementRule,
) -> Option<Vec<PlacedTask>> {
    let n = topology.workers.len() as u32;
    let mut rooms: Vec<(i64, u32, u32)> = (0..n)
        .map(|it| (rule.cpu_only_rank(it), it, rule.task_capacity(it).min(request.tasks)))
        .filter(|(_, _, room)| 0 < *room)
        .collect();
    match request.adjacency {
        model::Adjacency::Worker => rooms.retain(|(_, _, room)| *room == request.tasks),
        model::Adjacency::Rack => {
            let rack = best_rack(topology, request, &rooms)?;
            rooms.retain(|(_, worker, _)| topology.workers[*worker as usize].rack == rack);
        }
        model::Adjacency::Hall | model::Adjacency::Any => {}
    }
    if request.tasks == 1 {
        let (_, worker, _) = rooms.into_iter().min()?;
        return Some(vec![PlacedTask { worker, accelerators: Vec::new() }]);
    }
    rooms.sort_unstable();
    let mut tasks = Vec::new();
    for (_, worker, room) in rooms {
        let missing = request.tasks - tasks.len() as u32;
        let task = PlacedTask { worker, accelerators: Vec::new() };
        tasks.extend(std::iter::repeat_n(task, room.min(missing) as usize));
    }
    (tasks.len() as u32 == request.tasks).then_some(tasks)
}

/// The rack with the least room that is enough.
fn best_rack(
    topology: &HallTopology,
    request: &PlacementRequest,
    rooms: &[(i64, u32, u32)],
) -> Option<u32> {
    let mut totals = vec![0_u64; topology.racks.len()];
    for (_, worker, room) in rooms {
        let rack = topology.workers[*worker as usize].rack;
        if rack != NONE {
            totals[rack as usize] += u64::from(*room);
        }
    }
    let enough = |(rack, total): (usize, u64)| {
        (u64::from(request.tasks) <= total).then_some((total, rack as u32))
    };
    totals.into_iter().enumerate().filter_map(enough).min().map(|(_, rack)| rack)
}

/// An empty hall: what could ever fit.
pub(crate) struct EmptyHallRule<'a> {
    pub(crate) topology: &'a HallTopology,
    pub(crate) usage: Usage,
}

impl PlacementRule for EmptyHallRule<'_> {
    fn allows_accelerator(&self, accelerator: u32) -> bool {
        self.topology.host(accelerator).rack != NONE
    }

    fn task_capacity(&self, worker: u32) -> u32 {
        let spec = &self.topology.workers[worker as usize];
        if spec.rack == NONE { 0 } else { Usage::capacity(spec).max_tasks(self.usage) }
    }

    fn penalty(&self, _accelerator: u32) -> u32 {
        0
    }

    fn cpu_only_rank(&self, _worker: u32) -> i64 {
        0
    }
}
