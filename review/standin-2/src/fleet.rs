//! Stand-ins for the platform's workers, by its published protocol, and a record of what they ran.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;
use crate::record;
use crate::store;

/// Interval at which a worker writes its entry (`heartbeat-ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// An entry is removed after three intervals of silence.
const ENTRY_LIFE: Duration = Duration::from_millis(4_500);

/// Longest lease (`max-hold-ms`).
const MAX_HOLD_MS: u64 = 10_000;

/// How long a stop takes; `stop-timeout-ms` is 900.
const STOP_TIME: Duration = Duration::from_millis(100);

/// How long a member of a gang waits for the others (`gang-timeout-ms`).
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);

/// How long a run that resumes from a checkpoint takes until it works again (`restore-ms`).
const RESTORE_TIME: Duration = Duration::from_millis(100);

/// Interval of new checkpoints (`checkpoint-s`).
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(500);

/// What a worker offers.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
}

/// What the `spec` of a case's job tells the workers: its work and what it needs, as its client asked for it.
#[derive(Clone, Debug)]
struct TaskPlan {
    work: Duration,
    cpu: u64,
    mem_mb: u64,
    gpu: u64,
    gang: usize,
    saves: bool,
}

impl TaskPlan {
    fn parse(spec: &str) -> TaskPlan {
        let number = |name: &str| {
            let word = spec.split(' ').find_map(|it| it.strip_prefix(name));
            word.and_then(|it| it.parse::<u64>().ok()).unwrap_or(0)
        };
        TaskPlan {
            work: Duration::from_millis(number("work-ms=")),
            cpu: number("cpu="),
            mem_mb: number("mem-mb="),
            gpu: number("gpu="),
            gang: number("gang=") as usize,
            saves: number("saves=") > 0,
        }
    }
}

#[derive(Clone, Debug)]
struct Run {
    attempt: u64,
    plan: TaskPlan,
    begun: Instant,
    /// When the work began: at the start, or once the whole gang was present.
    working_since: Option<Instant>,
    /// Work that was done before this run, by its checkpoint.
    resumed: Duration,
    saved: String,
    stops_at: Option<Instant>,
}

impl Run {
    fn worked(&self, now: Instant) -> Duration {
        let own = self.working_since.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        (self.resumed + own).min(self.plan.work)
    }

    fn percent(&self, now: Instant) -> u64 {
        let work = self.plan.work.as_millis().max(1);
        (100 * self.worked(now).as_millis() / work) as u64
    }
}

#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
    saved: String,
}

/// One worker at an address; after a crash, its next life.
#[derive(Debug)]
struct Worker {
    id: String,
    n_lives: u32,
    born: Instant,
    is_up: bool,
    rack: String,
    zone: String,
    capacity: Capacity,
    sequence: u64,
    token: u64,
    deadline_ms: u64,
    runs: BTreeMap<String, Run>,
    barred: BTreeMap<String, u64>,
    ended: Vec<End>,
    n_ends: u64,
    /// Whether it answers each start with 503, having done nothing.
    refuses_starts: bool,
}

impl Worker {
    fn clock_ms(&self, now: Instant) -> u64 {
        // A clock of its own, which does not begin at 0.
        100_000 + now.duration_since(self.born).as_millis() as u64
    }

    fn fits(&self, plan: &TaskPlan) -> bool {
        let used =
            |of: fn(&TaskPlan) -> u64| self.runs.values().map(|it| of(&it.plan)).sum::<u64>();
        used(|it| it.cpu) + plan.cpu <= self.capacity.cpu
            && used(|it| it.mem_mb) + plan.mem_mb <= self.capacity.mem_mb
            && used(|it| it.gpu) + plan.gpu <= self.capacity.gpu
    }
}

/// A start that a worker began, and how it ended.
#[derive(Clone, Debug)]
pub struct Started {
    pub worker: usize,
    pub id: String,
    pub task: String,
    pub attempt: u64,
    pub checkpoint: String,
    pub ended: Option<(Instant, &'static str)>,
}

#[derive(Debug, Default)]
struct FleetState {
    workers: Vec<Worker>,
    started: Vec<Started>,
}

/// The workers of one service; clones refer to the same ones.
#[derive(Clone, Debug)]
pub struct Fleet {
    state: Arc<(Mutex<FleetState>, Condvar)>,
    doors: Arc<Mutex<Vec<http::Door>>>,
    store: store::Store,
    record: record::Record,
    service: String,
}

impl Fleet {
    pub fn new(store: &store::Store, record: &record::Record, service: &str) -> Fleet {
        Fleet {
            state: Arc::default(),
            doors: Arc::default(),
            store: store.clone(),
            record: record.clone(),
            service: service.to_owned(),
        }
    }

    /// Starts a worker, which registers itself in the store.
    pub fn add(&self, rack: &str, zone: &str, capacity: Capacity) -> usize {
        let number = {
            let mut state = self.lock();
            state.workers.push(Worker {
                id: String::new(),
                n_lives: 0,
                born: Instant::now(),
                is_up: false,
                rack: rack.to_owned(),
                zone: zone.to_owned(),
                capacity,
                sequence: 0,
                token: 0,
                deadline_ms: 0,
                runs: BTreeMap::new(),
                barred: BTreeMap::new(),
                ended: Vec::new(),
                n_ends: 0,
                refuses_starts: false,
            });
            state.workers.len() - 1
        };
        let own = self.clone();
        let door = http::Door::open("127.0.0.1", move |it| own.handle(number, &it));
        self.doors.lock().unwrap().push(door);
        self.begin_life(number);
        let own = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                own.write_entry(number);
            }
        });
        number
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.state.0.lock().unwrap()
    }

    fn begin_life(&self, number: usize) {
        let mut state = self.lock();
        let worker = &mut state.workers[number];
        worker.n_lives += 1;
        worker.id = format!("i-{:04x}{:04x}", number + 1, worker.n_lives);
        worker.born = Instant::now();
        worker.is_up = true;
        worker.sequence = 0;
        worker.token = 0;
        worker.deadline_ms = 0;
        worker.runs.clear();
        worker.barred.clear();
        worker.ended.clear();
        worker.n_ends = 0;
        let line = format!("worker {number} begins its life {}", worker.id);
        drop(state);
        self.doors.lock().unwrap()[number].rise();
        self.record.note(line);
        self.write_entry(number);
    }

    /// Crashes workers, all at the same moment. New lives begin at the same addresses after `down`, under new ids.
    pub fn crash(&self, numbers: &[usize], down: Duration) {
        let mut state = self.lock();
        let now = Instant::now();
        state.advance(now, &self.record);
        for number in numbers {
            self.doors.lock().unwrap()[*number].fall();
            let worker = &mut state.workers[*number];
            worker.is_up = false;
            let id = worker.id.clone();
            let lost = std::mem::take(&mut worker.runs);
            let names = lost.iter().map(|(task, run)| format!("{task}#{}", run.attempt));
            let names = names.collect::<Vec<_>>();
            self.record.note(format!("worker {number} ({id}) crashes with {names:?} on it"));
            for (task, run) in &lost {
                state.note_end(&id, task, run.attempt, "lost", now);
            }
            let (own, number) = (self.clone(), *number);
            thread::spawn(move || {
                thread::sleep(down);
                own.begin_life(number);
                thread::sleep(ENTRY_LIFE.saturating_sub(down));
                own.store.remove("servers", &id);
            });
        }
        self.state.1.notify_all();
    }

    pub fn set_refuses_starts(&self, number: usize, refuses: bool) {
        self.lock().workers[number].refuses_starts = refuses;
        let what =
            if refuses { "answers starts with 503 from now on" } else { "takes starts again" };
        self.record.note(format!("worker {number} {what}"));
    }

    /// All starts so far.
    pub fn started(&self) -> Vec<Started> {
        let mut state = self.lock();
        state.advance(Instant::now(), &self.record);
        state.started.clone()
    }

    /// The highest fence number that any worker has seen.
    pub fn highest_token(&self) -> u64 {
        self.lock().workers.iter().map(|it| it.token).max().unwrap_or(0)
    }

    /// The workers that run a task of a job now.
    pub fn workers_of(&self, job: &str) -> Vec<usize> {
        let mut state = self.lock();
        state.advance(Instant::now(), &self.record);
        let has_run = |it: &Worker| it.runs.keys().any(|task| task.starts_with(job));
        let with_run = state.workers.iter().enumerate().filter(|(_, it)| it.is_up && has_run(it));
        with_run.map(|(number, _)| number).collect()
    }

    /// The workers that run any task now.
    pub fn busy_workers(&self) -> Vec<usize> {
        self.workers_of("")
    }

    /// How much of their work the tasks of a job have done on the workers that run them, in percent.
    pub fn percents_of(&self, job: &str) -> Vec<u64> {
        let now = Instant::now();
        let state = self.lock();
        let runs = state.workers.iter().flat_map(|it| &it.runs);
        runs.filter(|(task, _)| task.starts_with(job)).map(|(_, it)| it.percent(now)).collect()
    }

    fn write_entry(&self, number: usize) {
        let address = self.doors.lock().unwrap()[number].address;
        let mut state = self.lock();
        let worker = &mut state.workers[number];
        if !worker.is_up {
            return;
        }
        worker.sequence += 1;
        let entry = json!({
            "service": self.service,
            "address": address.to_string(),
            "zone": worker.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": {
                "cpu": worker.capacity.cpu,
                "mem-mb": worker.capacity.mem_mb,
                "gpu": worker.capacity.gpu,
            },
            "labels": ["a", worker.rack],
            "clock-ms": worker.clock_ms(Instant::now()),
            "sequence": worker.sequence,
        });
        let id = worker.id.clone();
        drop(state);
        self.store.put("servers", &id, &entry);
    }

    fn handle(&self, number: usize, request: &http::Request) -> http::Answer {
        let body = request.json();
        let expected = request.headers.get("x-almondpass-expected-instance").cloned();
        {
            let state = self.lock();
            if expected.is_some_and(|it| it != state.workers[number].id) {
                return http::Answer::empty(421);
            }
        }
        match request.path.as_str() {
            "/run-start" => self.start(number, &body),
            "/run-stop" => self.stop(number, &body),
            "/hold" => self.hold(number, &body),
            "/health" => http::Answer::empty(200),
            _ => http::Answer::empty(404),
        }
    }

    fn start(&self, number: usize, body: &Value) -> http::Answer {
        let now = Instant::now();
        let mut state = self.lock();
        state.advance(now, &self.record);
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["attempt"].as_u64().unwrap_or_default();
        let checkpoint = body["checkpoint"].as_str().unwrap_or_default().to_owned();
        let plan = TaskPlan::parse(body["spec"].as_str().unwrap_or_default());
        let worker = &mut state.workers[number];
        let clock_ms = worker.clock_ms(now);
        if worker.refuses_starts {
            self.record.note(format!("worker {number} answers 503 to a start of {task}#{attempt}"));
            return http::Answer::empty(503);
        }
        let refuse = |reason: &str| {
            http::Answer::new(409, json!({ "clock-ms": clock_ms, "reason": reason }))
        };
        let token = body["fencing-token"].as_u64().unwrap_or(0);
        if token < worker.token {
            return refuse("fence");
        }
        worker.token = token;
        let deadline_ms = body["deadline-ms"].as_u64().unwrap_or(0);
        if deadline_ms < clock_ms {
            return refuse("late");
        }
        worker.deadline_ms = worker.deadline_ms.max(deadline_ms.min(clock_ms + MAX_HOLD_MS));
        if worker.runs.get(&task).is_some_and(|it| it.attempt == attempt) {
            return http::Answer::new(200, json!({ "clock-ms": clock_ms }));
        }
        let is_old = worker.barred.get(&task).is_some_and(|it| attempt <= *it);
        if is_old || worker.runs.contains_key(&task) {
            return refuse("old");
        }
        if !worker.fits(&plan) {
            return refuse("room");
        }
        let id = worker.id.clone();
        let resumed = saved_work(&checkpoint).min(plan.work);
        let is_gang = plan.gang > 1;
        worker.runs.insert(
            task.clone(),
            Run {
                attempt,
                plan,
                begun: now,
                working_since: (!is_gang).then_some(works_from(now, resumed)),
                resumed,
                saved: checkpoint.clone(),
                stops_at: None,
            },
        );
        self.record.note(format!(
            "worker {number} ({id}) starts {task}#{attempt} with the checkpoint {checkpoint:?}"
        ));
        state.started.push(Started { worker: number, id, task, attempt, checkpoint, ended: None });
        state.advance(now, &self.record);
        self.state.1.notify_all();
        http::Answer::new(200, json!({ "clock-ms": clock_ms }))
    }

    fn stop(&self, number: usize, body: &Value) -> http::Answer {
        let now = Instant::now();
        let mut state = self.lock();
        state.advance(now, &self.record);
        let worker = &mut state.workers[number];
        let clock_ms = worker.clock_ms(now);
        let token = body["fencing-token"].as_u64().unwrap_or(0);
        if token < worker.token {
            return http::Answer::new(409, json!({ "clock-ms": clock_ms, "reason": "fence" }));
        }
        worker.token = token;
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["attempt"].as_u64().unwrap_or_default();
        let barred = worker.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(attempt);
        if let Some(run) = worker.runs.get_mut(&task).filter(|it| it.attempt <= attempt) {
            run.stops_at.get_or_insert(now + STOP_TIME);
            self.record.note(format!("worker {number} is told to stop {task}#{attempt}"));
        }
        http::Answer::new(200, json!({ "clock-ms": clock_ms }))
    }

    fn hold(&self, number: usize, body: &Value) -> http::Answer {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let now = Instant::now();
        state.advance(now, &self.record);
        let life = state.workers[number].n_lives;
        let worker = &mut state.workers[number];
        let clock_ms = worker.clock_ms(now);
        let token = body["fencing-token"].as_u64().unwrap_or(0);
        if token < worker.token {
            return http::Answer::new(409, json!({ "clock-ms": clock_ms, "reason": "fence" }));
        }
        worker.token = token;
        if let Some(deadline_ms) = body["deadline-ms"].as_u64() {
            worker.deadline_ms = worker.deadline_ms.max(deadline_ms.min(clock_ms + MAX_HOLD_MS));
        }
        let last_seen = body["last-seen"].as_u64().unwrap_or(0);
        worker.ended.retain(|it| it.number > last_seen);
        let wait = Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0).min(2_000));
        let until = now + wait;
        loop {
            let now = Instant::now();
            state.advance(now, &self.record);
            let worker = &state.workers[number];
            if worker.n_lives != life || !worker.is_up {
                return http::Answer::empty(421);
            }
            if !worker.ended.is_empty() || now >= until {
                return http::Answer::new(200, listing(worker, now));
            }
            // Ends come by the passing of time too.
            let nap = (until - now).min(Duration::from_millis(20));
            state = changed.wait_timeout(state, nap).unwrap().0;
        }
    }
}

fn listing(worker: &Worker, now: Instant) -> Value {
    let running = worker.runs.iter();
    let running = running.map(|(task, it)| json!([task, it.attempt, it.saved, it.percent(now), 0]));
    let ended = worker.ended.iter();
    let ended = ended.map(|it| json!([it.number, it.task, it.attempt, it.how, it.saved]));
    json!({
        "clock-ms": worker.clock_ms(now),
        "running": running.collect::<Vec<_>>(),
        "ended": ended.take(500).collect::<Vec<_>>(),
    })
}

/// When a run that begins at `now` works.
fn works_from(now: Instant, resumed: Duration) -> Instant {
    if resumed.is_zero() { now } else { now + RESTORE_TIME }
}

/// A checkpoint: the work that it contains, in milliseconds, and the step to which it belongs.
fn checkpoint_text(step: &str, work: Duration) -> String {
    format!("{:08x}{}", work.as_millis(), &step.get(8..16).unwrap_or_default())
}

fn saved_work(checkpoint: &str) -> Duration {
    let digits = checkpoint.get(..8).unwrap_or_default();
    Duration::from_millis(u64::from_str_radix(digits, 16).unwrap_or(0))
}

impl FleetState {
    /// Applies all that has happened on the workers by `now`.
    fn advance(&mut self, now: Instant, record: &record::Record) {
        self.begin_gangs(now);
        let mut ends = Vec::new();
        for (number, worker) in self.workers.iter_mut().enumerate().filter(|(_, it)| it.is_up) {
            let has_lapsed = worker.clock_ms(now) > worker.deadline_ms;
            for (task, run) in &mut worker.runs {
                if run.plan.saves && run.working_since.is_some() {
                    let interval = CHECKPOINT_INTERVAL.as_millis();
                    let whole = run.worked(now).as_millis() / interval * interval;
                    let work = Duration::from_millis(whole as u64);
                    if !work.is_zero() && work > saved_work(&run.saved) {
                        run.saved = checkpoint_text(task, work);
                    }
                }
                let is_done = run.working_since.is_some() && run.worked(now) >= run.plan.work;
                let is_alone = run.working_since.is_none() && now >= run.begun + GANG_TIMEOUT;
                let how = if is_done {
                    "done"
                } else if has_lapsed {
                    "lapsed"
                } else if run.stops_at.is_some_and(|it| it <= now) {
                    "stopped"
                } else if is_alone {
                    "alone"
                } else {
                    continue;
                };
                ends.push((number, task.clone(), how));
            }
        }
        for (number, task, how) in ends {
            self.end(number, &task, how, now, record);
        }
        self.break_gangs(now, record);
    }

    fn end(
        &mut self,
        number: usize,
        task: &str,
        how: &'static str,
        now: Instant,
        record: &record::Record,
    ) {
        let worker = &mut self.workers[number];
        let Some(mut run) = worker.runs.remove(task) else { return };
        if how == "stopped" && run.plan.saves && run.working_since.is_some() {
            run.saved = checkpoint_text(task, run.worked(now));
        }
        let barred = worker.barred.entry(task.to_owned()).or_default();
        *barred = (*barred).max(run.attempt);
        worker.n_ends += 1;
        let end = End {
            number: worker.n_ends,
            task: task.to_owned(),
            attempt: run.attempt,
            how,
            saved: run.saved,
        };
        worker.ended.push(end);
        let id = worker.id.clone();
        record.note(format!("worker {number} ({id}) lists {task}#{} as {how}", run.attempt));
        self.note_end(&id, task, run.attempt, how, now);
    }

    fn note_end(&mut self, id: &str, task: &str, attempt: u64, how: &'static str, now: Instant) {
        let is_it = |it: &&mut Started| it.id == id && it.task == task && it.attempt == attempt;
        if let Some(started) = self.started.iter_mut().find(is_it) {
            started.ended = Some((now, how));
        }
    }

    /// Members of a gang that are present, by gang and attempt.
    fn gangs(&self) -> BTreeMap<(String, u64), Vec<(usize, String)>> {
        let mut gangs = BTreeMap::<(String, u64), Vec<(usize, String)>>::new();
        for (number, worker) in self.workers.iter().enumerate().filter(|(_, it)| it.is_up) {
            for (task, run) in worker.runs.iter().filter(|(_, it)| it.plan.gang > 1) {
                let gang = task.rsplit_once('.').map_or(task.as_str(), |it| it.0).to_owned();
                gangs.entry((gang, run.attempt)).or_default().push((number, task.clone()));
            }
        }
        gangs
    }

    fn begin_gangs(&mut self, now: Instant) {
        for members in self.gangs().into_values() {
            let size = self.workers[members[0].0].runs[&members[0].1].plan.gang;
            if members.len() < size {
                continue;
            }
            for (number, task) in members {
                if let Some(run) = self.workers[number].runs.get_mut(&task) {
                    run.working_since.get_or_insert(works_from(now, run.resumed));
                }
            }
        }
    }

    /// Ends the members of gangs that have worked and are not whole any more.
    fn break_gangs(&mut self, now: Instant, record: &record::Record) {
        for members in self.gangs().into_values() {
            let first = &self.workers[members[0].0].runs[&members[0].1];
            if members.len() < first.plan.gang && first.working_since.is_some() {
                for (number, task) in members {
                    self.end(number, &task, "broken", now, record);
                }
            }
        }
    }
}
