//! A fake worker that runs tasks of job graphs. A single lease covers all its tasks, each task end gets a
//! sequence number, and orders with an outdated fencing token are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_graph::{order, resources, task_key};
use almondpass_schema::ids;
use tokio::time::Instant;

/// Time from a stop order until its task has ended.
pub const STOP_DURATION: Duration = Duration::from_millis(300);

/// Longest lease that a worker grants; a longer requested lease is shortened to it.
const MAX_LEASE: Duration = Duration::from_secs(10);

/// Time after a reduction of the capacity in which a start that exceeds only the reduced capacity does not
/// count as oversubscribed: the longest time until all parties know of the reduction, plus one heartbeat.
const REDUCTION_GRACE: Duration = Duration::from_millis(4_500);

/// What a task does on its worker, as read from the task's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskBehavior {
    /// Time until the task ends by itself.
    pub run_time: Duration,
    /// Whether the task fails at its end.
    pub fails: bool,
    /// Time after its start at which the task crashes its worker, if the task still runs then.
    pub crashes_after: Option<Duration>,
    /// Resources that the task uses.
    pub resources: resources::Resources,
}

/// A task that runs on a worker.
#[derive(Clone, Debug)]
pub struct PoolRun {
    /// Attempt number of the task, counted by the scheduler.
    pub attempt: u32,
    /// When the worker accepted the start.
    pub started: Instant,
    /// What the task does.
    pub behavior: TaskBehavior,
    /// When a stop ends the task; absent until a stop is ordered.
    pub stops_at: Option<Instant>,
}

/// A run that has ended, for the oracles of tests.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// The task that ran.
    pub task: task_key::TaskKey,
    /// Attempt number of the task, counted by the scheduler.
    pub attempt: u32,
    /// The worker that ran the task.
    pub worker: ids::WorkerId,
    /// When the worker accepted the start.
    pub started: Instant,
    /// When the task ended, or its worker crashed.
    pub ended: Instant,
    /// How the run ended; a run that was cut off by a crash of its worker counts as lapsed.
    pub end_kind: order::EndKind,
    /// Sequence number of the end on its worker, from 1; 0 for a run that was cut off by a crash of the
    /// worker.
    pub number: u64,
    /// Whether the scheduler acknowledged the end, and the lease did not lapse between the end and its
    /// acknowledgement. Only such an end is final.
    pub is_acknowledged: bool,
}

/// The first acknowledgement of an end that makes it final.
#[derive(Clone, Debug, PartialEq)]
pub struct EndAcknowledgement {
    /// The task whose end was acknowledged.
    pub task: task_key::TaskKey,
    /// Attempt number of the task.
    pub attempt: u32,
    /// The worker that ran the task.
    pub worker: ids::WorkerId,
    /// When the acknowledgement reached the worker.
    pub at: Instant,
}

/// One incarnation of a fake worker.
#[derive(Clone, Debug)]
pub struct PoolWorker {
    id: ids::WorkerId,
    incarnation: ids::Incarnation,
    created: Instant,
    capacity: resources::Resources,
    /// Earlier capacities, each with the time until which a start within it does not count as oversubscribed.
    earlier_capacities: Vec<(Instant, resources::Resources)>,
    /// Whether the worker refuses a start that does not fit into its capacity.
    checks_capacity: bool,
    /// Whether the worker refuses all starts, as an unhealthy one does.
    refuses_starts: bool,
    /// Tasks whose accepted start exceeded the current capacity and those that were reduced only recently.
    pub oversubscribed_starts: Vec<task_key::TaskKey>,
    token: ids::FencingToken,
    deadline_ms: u64,
    runs: BTreeMap<task_key::TaskKey, PoolRun>,
    /// Highest attempt of each task that was stopped or has ended on this worker; a start of such an attempt,
    /// or of an earlier one, is refused.
    highest_closed_attempt: BTreeMap<task_key::TaskKey, u32>,
    ends: Vec<order::ListedEnd>,
    n_ends: u64,
    /// Sequence number of the last end before the latest detected lapse of the lease. An acknowledgement that
    /// comes after the lapse doesn't count for these ends.
    n_ends_before_lapse: u64,
    /// Ended runs of this incarnation, in order of their ends.
    pub records: Vec<RunRecord>,
    /// Acknowledgements of ends of this incarnation, in order of their arrival.
    pub acknowledgements: Vec<EndAcknowledgement>,
}

impl PoolWorker {
    /// A worker that runs nothing and has no state of earlier incarnations with its id.
    pub fn new(
        id: &str,
        incarnation: ids::Incarnation,
        capacity: resources::Resources,
    ) -> PoolWorker {
        PoolWorker {
            id: id.to_owned(),
            incarnation,
            created: Instant::now(),
            capacity,
            earlier_capacities: Vec::new(),
            checks_capacity: true,
            refuses_starts: false,
            oversubscribed_starts: Vec::new(),
            token: 0,
            deadline_ms: 0,
            runs: BTreeMap::new(),
            highest_closed_attempt: BTreeMap::new(),
            ends: Vec::new(),
            n_ends: 0,
            n_ends_before_lapse: 0,
            records: Vec::new(),
            acknowledgements: Vec::new(),
        }
    }

    /// Start time of this incarnation, in Unix milliseconds, as its creator gave it.
    pub fn incarnation(&self) -> ids::Incarnation {
        self.incarnation
    }

    /// Resources that the worker offers to tasks.
    pub fn capacity(&self) -> resources::Resources {
        self.capacity
    }

    /// Changes the offered resources at once; running tasks are not stopped. For a while, a start within the
    /// previous capacity does not count as oversubscribed.
    pub fn set_capacity(&mut self, capacity: resources::Resources) {
        self.earlier_capacities.push((Instant::now() + REDUCTION_GRACE, self.capacity));
        self.capacity = capacity;
    }

    /// Lets the worker accept starts that exceed its capacity.
    pub fn disable_capacity_check(&mut self) {
        self.checks_capacity = false;
    }

    /// Milliseconds since this incarnation was created: the clock that lease deadlines refer to.
    pub fn clock_ms(&self) -> u64 {
        self.created.elapsed().as_millis() as u64
    }

    /// Running tasks. Ends that are due may not have been processed yet.
    pub fn runs(&self) -> &BTreeMap<task_key::TaskKey, PoolRun> {
        &self.runs
    }

    /// The earliest time at which a running task crashes the worker, unless a stop or the lease ends the task
    /// first.
    pub fn crashes_at(&self) -> Option<Instant> {
        let crash_time = |it: &PoolRun| {
            let at = it.started + it.behavior.crashes_after?;
            (at <= it.expected_end(self.lapses_at()).0).then_some(at)
        };
        self.runs.values().filter_map(crash_time).min()
    }

    /// Makes the worker refuse all starts from now on, or accept them again.
    pub fn set_refuses_starts(&mut self, refuses_starts: bool) {
        self.refuses_starts = refuses_starts;
    }

    /// Handles a start order. Its deadline also extends the lease.
    pub fn start(
        &mut self,
        token: ids::FencingToken,
        start: &order::StartOrder,
        behavior: TaskBehavior,
    ) -> order::StartAnswer {
        self.process_due_ends();
        if !self.accept_token(token) {
            return order::StartAnswer::Refused(order::StartRefusal::Fenced);
        }
        if self.refuses_starts {
            return order::StartAnswer::Refused(order::StartRefusal::Unwell);
        }
        let clock_ms = self.clock_ms();
        if start.deadline_ms <= clock_ms {
            return order::StartAnswer::Refused(order::StartRefusal::Late);
        }
        self.record_acknowledgements(0);
        self.extend_lease(start.deadline_ms);
        if self.runs.get(&start.task).is_some_and(|it| it.attempt == start.attempt) {
            return order::StartAnswer::Started { clock_ms };
        }
        let highest_closed_attempt =
            self.highest_closed_attempt.get(&start.task).copied().unwrap_or_default();
        if start.attempt <= highest_closed_attempt {
            return order::StartAnswer::Refused(order::StartRefusal::Old);
        }
        let used = self
            .runs
            .values()
            .fold(resources::Resources::default(), |sum, it| sum.plus(it.behavior.resources));
        if self.checks_capacity && !behavior.resources.fits_in(self.capacity.minus(used)) {
            return order::StartAnswer::Refused(order::StartRefusal::Room);
        }
        if !used.plus(behavior.resources).fits_in(self.tolerated_capacity()) {
            self.oversubscribed_starts.push(start.task);
        }
        let run =
            PoolRun { attempt: start.attempt, started: Instant::now(), behavior, stops_at: None };
        self.runs.insert(start.task, run);
        order::StartAnswer::Started { clock_ms }
    }

    /// Handles a stop order. Returns whether the fencing token was accepted.
    pub fn stop(&mut self, token: ids::FencingToken, stop: &order::StopOrder) -> bool {
        self.process_due_ends();
        if !self.accept_token(token) {
            return false;
        }
        let highest_closed_attempt = self.highest_closed_attempt.entry(stop.task).or_default();
        *highest_closed_attempt = (*highest_closed_attempt).max(stop.attempt);
        if let Some(run) = self.runs.get_mut(&stop.task).filter(|it| it.attempt <= stop.attempt) {
            run.stops_at.get_or_insert(Instant::now() + STOP_DURATION);
        }
        true
    }

    /// Handles a poll: extends the lease, removes acknowledged ends and lists runs and ends. Returns `None`
    /// if the fencing token was not accepted.
    pub fn poll(
        &mut self,
        token: ids::FencingToken,
        request: &order::PollRequest,
    ) -> Option<order::PollReply> {
        self.process_due_ends();
        if !self.accept_token(token) {
            return None;
        }
        self.record_acknowledgements(request.last_seen);
        self.extend_lease(request.deadline_ms.unwrap_or_default());
        self.ends.retain(|it| it.number > request.last_seen);
        Some(self.poll_reply())
    }

    /// Whether any end has not been acknowledged yet.
    pub fn has_ends(&mut self) -> bool {
        self.process_due_ends();
        !self.ends.is_empty()
    }

    /// Ends the tasks whose end is due, by a completed stop, the end of their work, or a lapsed lease.
    pub fn process_due_ends(&mut self) {
        let now = Instant::now();
        let lapses_at = self.lapses_at();
        let ends = self.runs.iter().map(|(key, run)| (*key, run.expected_end(lapses_at)));
        let due = ends.filter(|(_, (at, _))| *at <= now).collect::<Vec<_>>();
        for (key, (at, end_kind)) in due {
            self.end(key, at, end_kind);
        }
    }

    fn end(&mut self, task: task_key::TaskKey, at: Instant, end_kind: order::EndKind) {
        let Some(run) = self.runs.remove(&task) else { return };
        let highest_closed_attempt = self.highest_closed_attempt.entry(task).or_default();
        *highest_closed_attempt = (*highest_closed_attempt).max(run.attempt);
        self.n_ends += 1;
        self.ends.push(order::ListedEnd {
            number: self.n_ends,
            task,
            attempt: run.attempt,
            how: end_kind,
            checkpoint: None,
        });
        self.records.push(RunRecord {
            task,
            attempt: run.attempt,
            worker: self.id.clone(),
            started: run.started,
            ended: at,
            end_kind,
            number: self.n_ends,
            is_acknowledged: false,
        });
    }

    /// Marks the ends up to number `last_seen` as acknowledged, except those from before a lapse of the
    /// lease.
    fn record_acknowledgements(&mut self, last_seen: u64) {
        let lapses_at = self.lapses_at();
        let has_lapsed = lapses_at < Instant::now();
        for record in self.records.iter_mut().filter(|it| it.number > self.n_ends_before_lapse) {
            if has_lapsed {
                continue;
            }
            if record.is_acknowledged || record.number > last_seen {
                continue;
            }
            record.is_acknowledged = true;
            self.acknowledgements.push(EndAcknowledgement {
                task: record.task,
                attempt: record.attempt,
                worker: self.id.clone(),
                at: Instant::now(),
            });
        }
        self.n_ends_before_lapse = if has_lapsed { self.n_ends } else { self.n_ends_before_lapse };
    }

    /// The capacity beyond which a start counts as oversubscribed: per resource, the largest of the current
    /// capacity and those that were reduced only recently.
    fn tolerated_capacity(&self) -> resources::Resources {
        let now = Instant::now();
        let earlier = self.earlier_capacities.iter().filter(|(until, _)| now < *until);
        earlier.fold(self.capacity, |largest, (_, it)| largest.max(*it))
    }

    fn lapses_at(&self) -> Instant {
        self.created + Duration::from_millis(self.deadline_ms)
    }

    fn extend_lease(&mut self, deadline_ms: u64) {
        let max_deadline_ms = self.clock_ms() + MAX_LEASE.as_millis() as u64;
        self.deadline_ms = self.deadline_ms.max(deadline_ms.min(max_deadline_ms));
    }

    fn accept_token(&mut self, token: ids::FencingToken) -> bool {
        let is_accepted = token >= self.token;
        self.token = self.token.max(token);
        is_accepted
    }

    fn poll_reply(&self) -> order::PollReply {
        let running = self.runs.iter().map(|(task, run)| order::ListedRun {
            task: *task,
            attempt: run.attempt,
            checkpoint: None,
            percent: percent(run),
        });
        order::PollReply {
            incarnation: Some(self.incarnation),
            clock_ms: self.clock_ms(),
            running: running.collect(),
            ended: self.ends.clone(),
            complete: true,
        }
    }
}

impl PoolRun {
    /// When and how the run ends unless a further order changes it: at the earliest of the end of its work,
    /// its stop and the lapse of the lease.
    fn expected_end(&self, lapses_at: Instant) -> (Instant, order::EndKind) {
        let own_end =
            if self.behavior.fails { order::EndKind::Failed } else { order::EndKind::Done };
        let mut end = (self.started + self.behavior.run_time, own_end);
        for (at, end_kind) in
            [(self.stops_at, order::EndKind::Stopped), (Some(lapses_at), order::EndKind::Lapsed)]
        {
            if let Some(at) = at.filter(|it| *it < end.0) {
                end = (at, end_kind);
            }
        }
        end
    }
}

fn percent(run: &PoolRun) -> u32 {
    let share =
        run.started.elapsed().as_secs_f64() / run.behavior.run_time.as_secs_f64().max(0.001);
    (100.0 * share.min(1.0)) as u32
}

/// Reads the behavior of a task from the words of its body, which are separated by spaces and come in any
/// order: `ms=2500` (run time), `spread=20` (milliseconds that each further task of a step runs longer),
/// `fail` (all tasks fail), `fail=3` (only that task of each step fails), `fail-ms=900` (run time of the task
/// that alone fails), `size=8` (multiple of the usual resources), `crash=10` (milliseconds after the start).
/// Only the first task of a step crashes its worker.
pub fn parse_behavior(start: &order::StartOrder, resources: resources::Resources) -> TaskBehavior {
    let words = || start.body.split(' ');
    let value_of = |name| words().find_map(|it| it.strip_prefix(name)?.parse::<u64>().ok());
    let index = u64::from(start.task.task);
    let fails_alone = value_of("fail=") == Some(index);
    let own_run_ms = value_of("fail-ms=").filter(|_| fails_alone);
    let run_ms = value_of("ms=").unwrap_or(1_000) + index * value_of("spread=").unwrap_or(0);
    let crash_after_ms = value_of("crash=").filter(|_| index == 0);
    TaskBehavior {
        run_time: Duration::from_millis(own_run_ms.unwrap_or(run_ms)),
        fails: fails_alone || words().any(|it| it == "fail"),
        crashes_after: crash_after_ms.map(Duration::from_millis),
        resources: multiply(resources, value_of("size=").unwrap_or(1)),
    }
}

fn multiply(resources: resources::Resources, n: u64) -> resources::Resources {
    let n = u32::try_from(n).unwrap_or(u32::MAX);
    resources::Resources {
        cpu_milli: resources.cpu_milli.saturating_mul(n),
        memory_mb: resources.memory_mb.saturating_mul(n),
        accelerators: resources.accelerators.saturating_mul(n),
    }
}
