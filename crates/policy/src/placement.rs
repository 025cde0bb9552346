//! Finds accelerators and workers for the tasks of a job or request: contiguous runs, scattered
//! tasks, and tasks without accelerators.
//!
//! A run is filled in the order of the hall: each task takes the next accelerators of one worker.
//! Accelerators at the end of a worker that cannot hold one more task are skipped; apart from these
//! gaps the run must be contiguous.

use almondpass_schema::model;

use crate::ledger::{PlacedTask, Usage};
use crate::topology::{HallTopology, NONE, WorkerSpec};
use crate::work;

/// Number, size and adjacency of the tasks to place together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PlacementRequest {
    pub(crate) tasks: u32,
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

    pub(crate) fn total_accelerators(&self) -> u32 {
        self.tasks * self.accelerators_per_task
    }

    /// Whether the accelerators of all tasks must form one run.
    fn is_contiguous(&self) -> bool {
        self.accelerators_per_task > 0
            && (self.tasks == 1 || self.adjacency != model::Adjacency::Any)
    }

    /// How many of the tasks the cores, memory and slots of an empty worker suffice for.
    fn tasks_per_empty_worker(&self, spec: &WorkerSpec) -> u32 {
        Usage::capacity(spec).max_tasks(self.usage)
    }
}

/// Accelerators and workers that a placement search may use, and which of them it prefers.
pub(crate) trait PlacementRule {
    /// Whether any accelerator of the worker may be allowed. False lets the search skip the worker
    /// without checking each of its accelerators.
    fn allows_worker(&self, _worker: u32) -> bool {
        true
    }
    fn allows_accelerator(&self, accelerator: u32) -> bool;
    /// How many tasks of the placement request the worker's cores, memory and slots allow now; 0 if
    /// the worker may not be used.
    fn task_capacity(&self, worker: u32) -> u32;
    /// Cost of using the accelerator; a search prefers places with a lower sum.
    fn penalty(&self, accelerator: u32) -> u32;
    /// Rank of the worker for tasks without accelerators; workers of lower rank are used first.
    fn cpu_only_rank(&self, worker: u32) -> i64;
}

/// A maximal sequence of allowed accelerators that are contiguous in the order of the hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FreeRun {
    pub(crate) start: u32,
    /// Index after the last accelerator.
    pub(crate) end: u32,
}

impl FreeRun {
    pub(crate) fn len(self) -> u32 {
        self.end - self.start
    }
}

/// Every maximal run of allowed accelerators, in the order of the hall.
pub(crate) fn free_runs(
    topology: &HallTopology,
    adjacency: model::Adjacency,
    allows_accelerator: impl Fn(u32) -> bool,
) -> Vec<FreeRun> {
    free_runs_in(topology, adjacency, |_| true, allows_accelerator)
}

/// Like `free_runs`, but skips the workers that `allows_worker` rejects.
fn free_runs_in(
    topology: &HallTopology,
    adjacency: model::Adjacency,
    allows_worker: impl Fn(u32) -> bool,
    allows_accelerator: impl Fn(u32) -> bool,
) -> Vec<FreeRun> {
    let mut runs: Vec<FreeRun> = Vec::new();
    let mut current: Option<(FreeRun, u32)> = None;
    for (worker, spec) in topology.workers.iter().enumerate() {
        let worker = worker as u32;
        if 0 < spec.accelerators && !allows_worker(worker) {
            runs.extend(current.take().map(|(run, _)| run));
            continue;
        }
        for accelerator in spec.first_accelerator..spec.accelerators_end() {
            if !allows_accelerator(accelerator) {
                runs.extend(current.take().map(|(run, _)| run));
                continue;
            }
            current = match current {
                Some((run, last))
                    if last == worker || topology.run_may_span(last, worker, adjacency) =>
                {
                    Some((FreeRun { end: accelerator + 1, ..run }, worker))
                }
                other => {
                    runs.extend(other.map(|(run, _)| run));
                    Some((FreeRun { start: accelerator, end: accelerator + 1 }, worker))
                }
            };
        }
    }
    runs.extend(current.map(|(run, _)| run));
    runs
}

/// Places all tasks of the request in one run that begins at `start`. Returns the index after the
/// last accelerator used, or `None` if the run does not hold every task. `tasks` receives the first
/// accelerator of each task.
pub(crate) fn place_run_at(
    topology: &HallTopology,
    request: &PlacementRequest,
    rule: &impl PlacementRule,
    start: u32,
    tasks: &mut Vec<u32>,
) -> Option<u32> {
    tasks.clear();
    let n_accelerators = topology.n_accelerators();
    if n_accelerators <= start || request.accelerators_per_task == 0 {
        return None;
    }
    let mut accelerator = start;
    let mut worker = topology.worker_of[start as usize];
    let mut n_placed = 0;
    while (tasks.len() as u32) < request.tasks {
        let spec = &topology.workers[worker as usize];
        let worker_full = spec.accelerators_end() < accelerator + request.accelerators_per_task
            || request.tasks_per_empty_worker(spec) <= n_placed;
        if worker_full {
            if n_placed == 0 {
                return None;
            }
            accelerator = spec.accelerators_end();
            if n_accelerators <= accelerator {
                return None;
            }
            let next_worker = topology.worker_of[accelerator as usize];
            if !topology.run_may_span(worker, next_worker, request.adjacency) {
                return None;
            }
            worker = next_worker;
            n_placed = 0;
            continue;
        }
        if rule.task_capacity(worker) <= n_placed
            || (accelerator..accelerator + request.accelerators_per_task)
                .any(|it| !rule.allows_accelerator(it))
        {
            return None;
        }
        tasks.push(accelerator);
        accelerator += request.accelerators_per_task;
        n_placed += 1;
    }
    Some(accelerator)
}

/// The tasks whose first accelerators are `starts`.
pub(crate) fn placed_tasks(
    topology: &HallTopology,
    accelerators_per_task: u32,
    starts: &[u32],
) -> Vec<PlacedTask> {
    let task = |start: &u32| PlacedTask {
        worker: topology.worker_of[*start as usize],
        accelerators: (*start..start + accelerators_per_task).collect(),
    };
    starts.iter().map(task).collect()
}

/// The best free place for a request, or `None` if the rule allows none.
pub(crate) fn best(
    topology: &HallTopology,
    request: &PlacementRequest,
    rule: &impl PlacementRule,
) -> Option<Vec<PlacedTask>> {
    if request.accelerators_per_task == 0 {
        best_cpu_only(topology, request, rule)
    } else if request.is_contiguous() {
        best_run(topology, request, rule)
    } else {
        best_scattered(topology, request, rule)
    }
}

/// The adjacency by which free runs are measured. `place_run_at` keeps a single task inside one
/// worker anyway; measuring runs over the rack makes it split the shortest run of its rack.
fn run_adjacency(request: &PlacementRequest) -> model::Adjacency {
    if request.tasks == 1 { model::Adjacency::Rack } else { request.adjacency }
}

/// Best fit over maximal runs: the lowest penalty, then the shortest run that holds the request,
/// preferably aligned and at one end of the run.
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
        run_adjacency(request),
        |it| rule.allows_worker(it),
        |it| rule.allows_accelerator(it),
    ) {
        if run.len() < total {
            continue;
        }
        let cannot_improve =
            best.is_some_and(|(score, _)| score.penalty == 0 && score.run_length <= run.len());
        if cannot_improve {
            continue;
        }
        for start in candidate_starts(topology, request, run) {
            let Some(end) = place_run_at(topology, request, rule, start, &mut starts) else {
                continue;
            };
            let score = RunScore {
                penalty: (start..end).map(|it| rule.penalty(it)).sum(),
                run_length: run.len(),
                misaligned: misaligned(topology, request, start),
                splits_run: start != run.start && end != run.end,
                start,
            };
            if best.is_none_or(|(it, _)| score < it) {
                best = Some((score, start));
            }
            if score.penalty == 0 && !score.misaligned && !score.splits_run {
                break;
            }
        }
    }
    let (_, start) = best?;
    place_run_at(topology, request, rule, start, &mut starts)?;
    Some(placed_tasks(topology, request.accelerators_per_task, &starts))
}

/// Order of candidate places; the lowest is best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunScore {
    penalty: u32,
    run_length: u32,
    misaligned: bool,
    splits_run: bool,
    start: u32,
}

/// Whether `start` is not at a multiple of the gang's size, rounded up to a power of two, from the
/// start of its rack. With the alignment of a buddy allocator, gangs of different sizes leave whole
/// cells free for each other; a gang of two workers in the middle of a rack of eight would leave no
/// run of four workers.
fn misaligned(topology: &HallTopology, request: &PlacementRequest, start: u32) -> bool {
    let worker = topology.worker_of[start as usize];
    let rack = topology.workers[worker as usize].rack;
    let earlier_in_rack = topology.workers[..worker as usize].iter().rev();
    let n_before: u32 =
        earlier_in_rack.take_while(|it| it.rack == rack).map(|it| it.accelerators).sum();
    let spec = &topology.workers[worker as usize];
    let offset = n_before + start - spec.first_accelerator;
    !offset.is_multiple_of(request.total_accelerators().next_power_of_two())
}

/// Starts to try in a free run: its beginning, the latest start that fits, and the first accelerator
/// of each worker.
fn candidate_starts(
    topology: &HallTopology,
    request: &PlacementRequest,
    run: FreeRun,
) -> impl Iterator<Item = u32> + use<> {
    let first = topology.worker_of[run.start as usize];
    let last = topology.worker_of[run.end as usize - 1];
    let worker_starts: Vec<u32> =
        (first + 1..=last).map(|it| topology.workers[it as usize].first_accelerator).collect();
    let last_start = run.end - request.total_accelerators().min(run.len());
    [run.start, last_start].into_iter().chain(worker_starts)
}

/// Places tasks one by one, in the free runs of the lowest penalty and among these in the shortest.
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
    let mut n_placed = vec![0; topology.workers.len()];
    let mut starts = Vec::new();
    for run in runs {
        let mut accelerator = run.start;
        while accelerator + request.accelerators_per_task <= run.end
            && (starts.len() as u32) < request.tasks
        {
            let worker = topology.worker_of[accelerator as usize];
            let end = topology.workers[worker as usize].accelerators_end();
            if end < accelerator + request.accelerators_per_task
                || rule.task_capacity(worker) <= n_placed[worker as usize]
            {
                accelerator = end;
                continue;
            }
            starts.push(accelerator);
            n_placed[worker as usize] += 1;
            accelerator += request.accelerators_per_task;
        }
    }
    (starts.len() as u32 == request.tasks)
        .then(|| placed_tasks(topology, request.accelerators_per_task, &starts))
}

/// Places tasks without accelerators, which need only cores, memory and slots.
fn best_cpu_only(
    topology: &HallTopology,
    request: &PlacementRequest,
    rule: &impl PlacementRule,
) -> Option<Vec<PlacedTask>> {
    let n_workers = topology.workers.len() as u32;
    let mut capacities: Vec<(i64, u32, u32)> = (0..n_workers)
        .map(|it| (rule.cpu_only_rank(it), it, rule.task_capacity(it).min(request.tasks)))
        .filter(|(_, _, capacity)| 0 < *capacity)
        .collect();
    match request.adjacency {
        model::Adjacency::Worker => {
            capacities.retain(|(_, _, capacity)| *capacity == request.tasks)
        }
        model::Adjacency::Rack => {
            let rack = best_rack(topology, request, &capacities)?;
            capacities.retain(|(_, worker, _)| topology.workers[*worker as usize].rack == rack);
        }
        model::Adjacency::Hall | model::Adjacency::Any => {}
    }
    if request.tasks == 1 {
        let (_, worker, _) = capacities.into_iter().min()?;
        return Some(vec![PlacedTask { worker, accelerators: Vec::new() }]);
    }
    capacities.sort_unstable();
    let mut tasks = Vec::new();
    for (_, worker, capacity) in capacities {
        let n_missing = request.tasks - tasks.len() as u32;
        let task = PlacedTask { worker, accelerators: Vec::new() };
        tasks.extend(std::iter::repeat_n(task, capacity.min(n_missing) as usize));
    }
    (tasks.len() as u32 == request.tasks).then_some(tasks)
}

/// The rack with the least capacity that suffices for all tasks.
fn best_rack(
    topology: &HallTopology,
    request: &PlacementRequest,
    capacities: &[(i64, u32, u32)],
) -> Option<u32> {
    let mut totals = vec![0_u64; topology.racks.len()];
    for (_, worker, capacity) in capacities {
        let rack = topology.workers[*worker as usize].rack;
        if rack != NONE {
            totals[rack as usize] += u64::from(*capacity);
        }
    }
    let if_sufficient = |(rack, total): (usize, u64)| {
        (u64::from(request.tasks) <= total).then_some((total, rack as u32))
    };
    totals.into_iter().enumerate().filter_map(if_sufficient).min().map(|(_, rack)| rack)
}

/// Allows every worker of the configuration as if nothing ran there, to check whether a request
/// could ever fit.
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
