//! One worker that runs tasks of job graphs: one lease for everything on it, numbered ends, fencing.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_graph::{order, resources, task_key};
use almondpass_schema::ids;
use tokio::time::Instant;

/// A stop takes this long.
pub const STOP_DURATION: Duration = Duration::from_millis(300);

/// Longest lease that a worker grants; a longer one is shortened.
const LONGEST_LEASE: Duration = Duration::from_secs(10);

/// A room that has shrunk counts this much later: as long as a change may take to be known by all, and a
/// heartbeat.
const SHRUNK_AFTER: Duration = Duration::from_millis(4_500);

/// What a worker does with a task, as its body says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskBehavior {
    /// It works this long.
    pub run_time: Duration,
    /// It fails at the end.
    pub fails: bool,
    /// Its worker crashes this long behind the start, if it is still there.
    pub crashes_after: Option<Duration>,
    /// What each task takes.
    pub resources: resources::Resources,
}

/// A task on a worker.
#[derive(Clone, Debug)]
pub struct PoolRun {
    /// Its attempt.
    pub attempt: u32,
    /// When it began.
    pub started: Instant,
    /// What it does.
    pub behavior: TaskBehavior,
    /// When its stop is done.
    pub stops_at: Option<Instant>,
}

/// A run that is over, for oracles.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// The task.
    pub task: task_key::TaskKey,
    /// Its attempt.
    pub attempt: u32,
    /// The worker.
    pub worker: ids::WorkerId,
    /// When it began.
    pub started: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How.
    pub end_kind: order::EndKind,
    /// Its number among the ends of the worker.
    pub number: u64,
    /// Whether the end was acknowledged, with no lapse of the lease between the two: only then does
    /// it stand for good.
    pub is_acknowledged: bool,
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct PoolWorker {
    id: ids::WorkerId,
    incarnation: ids::Incarnation,
    born: Instant,
    capacity: resources::Resources,
    /// Larger rooms that it had, with the time until which each counts.
    former_rooms: Vec<(Instant, resources::Resources)>,
    /// Whether it refuses what does not fit.
    guards: bool,
    /// Starts that it has taken beyond its room.
    pub oversubscribed_starts: Vec<task_key::TaskKey>,
    token: ids::FencingToken,
    deadline_ms: u64,
    runs: BTreeMap<task_key::TaskKey, PoolRun>,
    /// Highest attempt that was stopped or ended here, by task.
    barred: BTreeMap<task_key::TaskKey, u32>,
    ends: Vec<order::ListedEnd>,
    n_ends: u64,
    /// Ends up to this one were listed before the lease last lapsed.
    n_settled: u64,
    /// Runs that are over.
    pub records: Vec<RunRecord>,
}

impl PoolWorker {
    /// A worker that runs nothing and knows nothing of former lives under its id.
    pub fn new(
        id: &str,
        incarnation: ids::Incarnation,
        capacity: resources::Resources,
    ) -> PoolWorker {
        PoolWorker {
            id: id.to_owned(),
            incarnation,
            born: Instant::now(),
            capacity,
            former_rooms: Vec::new(),
            guards: true,
            oversubscribed_starts: Vec::new(),
            token: 0,
            deadline_ms: 0,
            runs: BTreeMap::new(),
            barred: BTreeMap::new(),
            ends: Vec::new(),
            n_ends: 0,
            n_settled: 0,
            records: Vec::new(),
        }
    }

    /// Which life of the worker this is.
    pub fn incarnation(&self) -> ids::Incarnation {
        self.incarnation
    }

    /// What it offers.
    pub fn capacity(&self) -> resources::Resources {
        self.capacity
    }

    /// From now on it offers that much.
    pub fn set_capacity(&mut self, capacity: resources::Resources) {
        self.former_rooms.push((Instant::now() + SHRUNK_AFTER, self.capacity));
        self.capacity = capacity;
    }

    /// From now on it starts whatever it is told to.
    pub fn disable_capacity_check(&mut self) {
        self.guards = false;
    }

    /// Its clock.
    pub fn clock_ms(&self) -> u64 {
        self.born.elapsed().as_millis() as u64
    }

    /// What runs.
    pub fn runs(&self) -> &BTreeMap<task_key::TaskKey, PoolRun> {
        &self.runs
    }

    /// When a task crashes it, as things stand.
    pub fn crashes_at(&self) -> Option<Instant> {
        let crash = |it: &PoolRun| {
            let at = it.started + it.behavior.crashes_after?;
            (at <= it.end(self.lapses_at()).0).then_some(at)
        };
        self.runs.values().filter_map(crash).min()
    }

    /// Takes a start.
    pub fn start(
        &mut self,
        token: ids::FencingToken,
        start: &order::StartOrder,
        behavior: TaskBehavior,
    ) -> order::StartAnswer {
        self.process_due_ends();
        if !self.accepts(token) {
            return order::StartAnswer::Refused(order::StartRefusal::Fenced);
        }
        let clock_ms = self.clock_ms();
        if start.deadline_ms <= clock_ms {
            return order::StartAnswer::Refused(order::StartRefusal::Late);
        }
        self.note_ends(0);
        self.extend(start.deadline_ms);
        if self.runs.get(&start.task).is_some_and(|it| it.attempt == start.attempt) {
            return order::StartAnswer::Started { clock_ms };
        }
        let barred = self.barred.get(&start.task).copied().unwrap_or_default();
        if start.attempt <= barred {
            return order::StartAnswer::Refused(order::StartRefusal::Old);
        }
        let used = self
            .runs
            .values()
            .fold(resources::Resources::default(), |sum, it| sum.plus(it.behavior.resources));
        if self.guards && !behavior.resources.fits_in(self.capacity.minus(used)) {
            return order::StartAnswer::Refused(order::StartRefusal::Room);
        }
        if !used.plus(behavior.resources).fits_in(self.counted_room()) {
            self.oversubscribed_starts.push(start.task);
        }
        let run =
            PoolRun { attempt: start.attempt, started: Instant::now(), behavior, stops_at: None };
        self.runs.insert(start.task, run);
        order::StartAnswer::Started { clock_ms }
    }

    /// Takes a stop. Whether the token was accepted.
    pub fn stop(&mut self, token: ids::FencingToken, stop: &order::StopOrder) -> bool {
        self.process_due_ends();
        if !self.accepts(token) {
            return false;
        }
        let barred = self.barred.entry(stop.task).or_default();
        *barred = (*barred).max(stop.attempt);
        if let Some(run) = self.runs.get_mut(&stop.task).filter(|it| it.attempt <= stop.attempt) {
            run.stops_at.get_or_insert(Instant::now() + STOP_DURATION);
        }
        true
    }

    /// Takes a look; nothing where the token was not accepted.
    pub fn poll(
        &mut self,
        token: ids::FencingToken,
        ask: &order::PollRequest,
    ) -> Option<order::PollReply> {
        self.process_due_ends();
        if !self.accepts(token) {
            return None;
        }
        self.note_ends(ask.last_seen);
        self.extend(ask.deadline_ms.unwrap_or_default());
        self.ends.retain(|it| it.number > ask.last_seen);
        Some(self.listed())
    }

    /// Whether ends wait to be acknowledged.
    pub fn has_ends(&mut self) -> bool {
        self.process_due_ends();
        !self.ends.is_empty()
    }

    /// Ends what is due: stops, work that is done, a lease that has run out.
    pub fn process_due_ends(&mut self) {
        let now = Instant::now();
        let lapses_at = self.lapses_at();
        let ends = self.runs.iter().map(|(key, run)| (*key, run.end(lapses_at)));
        let due = ends.filter(|(_, (at, _))| *at <= now).collect::<Vec<_>>();
        for (key, (at, how)) in due {
            self.end(key, at, how);
        }
    }

    fn end(&mut self, task: task_key::TaskKey, at: Instant, how: order::EndKind) {
        let Some(run) = self.runs.remove(&task) else { return };
        let barred = self.barred.entry(task).or_default();
        *barred = (*barred).max(run.attempt);
        self.n_ends += 1;
        self.ends.push(order::ListedEnd {
            number: self.n_ends,
            task,
            attempt: run.attempt,
            how,
            checkpoint: None,
        });
        self.records.push(RunRecord {
            task,
            attempt: run.attempt,
            worker: self.id.clone(),
            started: run.started,
            ended: at,
            end_kind: how,
            number: self.n_ends,
            is_acknowledged: false,
        });
    }

    /// Takes note of the acknowledgement of ends.
    fn note_ends(&mut self, last_seen: u64) {
        let lapses_at = self.lapses_at();
        let has_lapsed = lapses_at < Instant::now();
        for record in self.records.iter_mut().filter(|it| it.number > self.n_settled) {
            if has_lapsed {
                continue;
            }
            record.is_acknowledged |= record.number <= last_seen;
        }
        self.n_settled = if has_lapsed { self.n_ends } else { self.n_settled };
    }

    /// Its room, or a larger one that it had a moment ago.
    fn counted_room(&self) -> resources::Resources {
        let now = Instant::now();
        let former = self.former_rooms.iter().filter(|(until, _)| now < *until);
        former.fold(self.capacity, |most, (_, it)| most.max(*it))
    }

    fn lapses_at(&self) -> Instant {
        self.born + Duration::from_millis(self.deadline_ms)
    }

    fn extend(&mut self, deadline_ms: u64) {
        let longest = self.clock_ms() + LONGEST_LEASE.as_millis() as u64;
        self.deadline_ms = self.deadline_ms.max(deadline_ms.min(longest));
    }

    fn accepts(&mut self, token: ids::FencingToken) -> bool {
        let is_accepted = token >= self.token;
        self.token = self.token.max(token);
        is_accepted
    }

    fn listed(&self) -> order::PollReply {
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
    /// When and how it ends, as things stand: the earliest of its work, a stop and the lease.
    fn end(&self, lapses_at: Instant) -> (Instant, order::EndKind) {
        let done = if self.behavior.fails { order::EndKind::Failed } else { order::EndKind::Done };
        let mut end = (self.started + self.behavior.run_time, done);
        for (at, how) in
            [(self.stops_at, order::EndKind::Stopped), (Some(lapses_at), order::EndKind::Lapsed)]
        {
            if let Some(at) = at.filter(|it| *it < end.0) {
                end = (at, how);
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

/// Reads what a task does from its body: `ms=2500`, `fail`, `crash=10`, in any order, separated by
/// spaces. Only the first task of a step crashes its worker.
pub fn parse_behavior(start: &order::StartOrder, room: resources::Resources) -> TaskBehavior {
    let words = || start.body.split(' ');
    let millis = |name| words().find_map(|it| it.strip_prefix(name)?.parse().ok());
    let crashes = millis("crash=").filter(|_| start.task.task == 0);
    TaskBehavior {
        run_time: Duration::from_millis(millis("ms=").unwrap_or(1_000)),
        fails: words().any(|it| it == "fail"),
        crashes_after: crashes.map(Duration::from_millis),
        resources: room,
    }
}
