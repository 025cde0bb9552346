//! Stand-in for a worker of the platform: starts, stops, lists, one lease for all that runs, and its entry in the
//! store. Room is checked (`admission-check` is true). After a crash it comes back with a new id and knows nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::{self, Instant};

use crate::http;
use crate::record;
use crate::store;

/// Interval at which a worker writes its entry, as `heartbeat-ms` in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Silence after which the store removes an entry.
const ENTRY_RETENTION: Duration = Duration::from_millis(4_500);

/// Longest lease, as `max-hold-ms` in the settings.
const MAX_HOLD_MS: u64 = 10_000;

/// Time that a stop takes; `stop-timeout-ms` in the settings is 400.
const STOP_TIME: Duration = Duration::from_millis(350);

/// Interval at which a call that waits for an end looks again.
const WAIT_STEP: Duration = Duration::from_millis(10);

pub const GPUS: u32 = 8;

/// What the work units of a job need, how long they work, and which of them fails at its end.
#[derive(Clone, Copy, Debug)]
pub struct UnitSpec {
    pub gpus: u32,
    pub work: Duration,
    /// A work unit that ends `failed`, and after which time.
    pub failing: Option<(u32, Duration)>,
    /// A work unit that is done earlier than the others, and after which time.
    pub early: Option<(u32, Duration)>,
    /// How much longer each work unit works than the one before it.
    pub spread: Duration,
}

impl UnitSpec {
    pub fn new(gpus: u32, work: Duration) -> UnitSpec {
        UnitSpec { gpus, work, failing: None, early: None, spread: Duration::ZERO }
    }

    /// How long a work unit works, and how it ends.
    fn work_of(&self, task: &str) -> (Duration, &'static str) {
        let index = task.rsplit('.').next().and_then(|it| it.parse().ok()).unwrap_or(0);
        match (self.failing, self.early) {
            (Some((failing, after)), _) if failing == index => (after, "failed"),
            (_, Some((early, after))) if early == index => (after, "done"),
            _ => (self.work + self.spread * index, "done"),
        }
    }
}

/// What the work units of each job are, by job id; the platform knows it from the clients.
pub type JobSpecs = Arc<Mutex<BTreeMap<String, UnitSpec>>>;

/// A run that a worker began.
#[derive(Clone, Debug)]
pub struct RunEvent {
    pub task: String,
    pub attempt: u64,
    /// Number of the machine of the worker.
    pub worker: u32,
    pub started_at: Instant,
    /// How and when the run ended; `crashed` if its worker did.
    pub end: Option<(&'static str, Instant)>,
    /// When the end was taken note of: `last-seen` reached it.
    pub noted_at: Option<Instant>,
}

/// All runs that any worker began; clones share them.
pub type RunLog = Arc<Mutex<Vec<RunEvent>>>;

#[derive(Debug)]
struct Run {
    attempt: u64,
    gpus: u32,
    work: Duration,
    end: &'static str,
    ends_at: Instant,
    stops_at: Option<Instant>,
    log_index: usize,
}

/// An end that the worker lists until it is taken note of.
#[derive(Debug)]
struct ListedEnd {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
    log_index: usize,
}

/// One life of a worker.
#[derive(Debug, Default)]
struct Life {
    id: String,
    gpus: u32,
    began: Option<Instant>,
    token: u64,
    deadline_ms: u64,
    runs: BTreeMap<String, Run>,
    closed: BTreeMap<String, u64>,
    ends: Vec<ListedEnd>,
    n_ends: u64,
    sequence: u64,
}

#[derive(Debug, Default)]
struct HostState {
    n_lives: u32,
    life: Option<Life>,
    n_holds: u64,
    /// Whether the worker is cut off from all machines: nothing passes either way, and it runs on.
    is_cut_off: bool,
    /// Accelerators of the lives that begin from now on.
    gpus: u32,
}

/// The machine of a worker, which keeps its address over all lives.
#[derive(Debug)]
pub struct Host {
    pub number: u32,
    rack: u32,
    store: store::Store,
    specs: JobSpecs,
    log: RunLog,
    record: record::Record,
    address: SocketAddr,
    state: Mutex<HostState>,
    server: Mutex<Option<http::Server>>,
}

impl Host {
    /// Starts the first life of a worker.
    pub async fn start(
        number: u32,
        ip: &str,
        store: &store::Store,
        specs: &JobSpecs,
        log: &RunLog,
        record: &record::Record,
    ) -> std::io::Result<Arc<Host>> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let host = Arc::new(Host {
            number,
            rack: number / 4,
            store: store.clone(),
            specs: Arc::clone(specs),
            log: Arc::clone(log),
            record: record.clone(),
            address: listener.local_addr()?,
            state: Mutex::new(HostState { gpus: GPUS, ..HostState::default() }),
            server: Mutex::default(),
        });
        host.begin_life(listener);
        let writer = Arc::clone(&host);
        tokio::spawn(async move {
            loop {
                time::sleep(HEARTBEAT).await;
                writer.write_entry();
            }
        });
        Ok(host)
    }

    fn begin_life(self: &Arc<Host>, listener: TcpListener) {
        let mut state = self.state.lock().unwrap();
        state.n_lives += 1;
        let id = format!("i-{:03}{:02}", self.number, state.n_lives);
        let gpus = state.gpus;
        state.life = Some(Life { id, gpus, began: Some(Instant::now()), ..Life::default() });
        drop(state);
        let host = Arc::clone(self);
        let server = http::serve(listener, move |request| {
            let host = Arc::clone(&host);
            async move { host.handle(request).await }
        });
        *self.server.lock().unwrap() = Some(server);
        self.write_entry();
    }

    /// Crashes the worker: its connections end, what runs there is gone, and it says nothing to the store.
    pub fn crash(self: &Arc<Host>) {
        *self.server.lock().unwrap() = None;
        let Some(life) = self.state.lock().unwrap().life.take() else { return };
        let names = life.runs.iter().map(|(task, run)| format!("{task} attempt {}", run.attempt));
        let names = names.collect::<Vec<_>>().join(", ");
        self.record.line(format!("worker {}: crashes; ran: {names}", life.id));
        for run in life.runs.values() {
            self.log.lock().unwrap()[run.log_index].end = Some(("crashed", Instant::now()));
        }
        let host = Arc::clone(self);
        tokio::spawn(async move {
            time::sleep(ENTRY_RETENTION).await;
            host.store.remove("servers", &life.id);
        });
    }

    /// Starts the next life at the same address.
    pub async fn come_back(self: &Arc<Host>) -> std::io::Result<()> {
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                Err(_) => time::sleep(Duration::from_millis(5)).await,
            }
        };
        self.begin_life(listener);
        let id = self.state.lock().unwrap().life.as_ref().map(|it| it.id.clone());
        self.record
            .line(format!("worker {}: up at the address of its machine", id.unwrap_or_default()));
        Ok(())
    }

    /// Cuts the worker off from all machines and from the store, or ends the cut.
    pub fn set_cut_off(&self, is_cut_off: bool) {
        let mut state = self.state.lock().unwrap();
        state.is_cut_off = is_cut_off;
        let id = state.life.as_ref().map(|it| it.id.clone()).unwrap_or_default();
        drop(state);
        let text = if is_cut_off { "is cut off, and runs on" } else { "is reached again" };
        self.record.line(format!("worker {id}: {text}"));
    }

    /// Sets what the next lives of the worker offer.
    pub fn set_gpus(&self, gpus: u32) {
        self.state.lock().unwrap().gpus = gpus;
    }

    /// Number of `/hold` calls that the worker has answered.
    pub fn n_holds(&self) -> u64 {
        self.state.lock().unwrap().n_holds
    }

    /// Work units that run here now.
    pub fn running(&self) -> Vec<String> {
        let mut state = self.state.lock().unwrap();
        let Some(life) = &mut state.life else { return Vec::new() };
        self.settle(life);
        life.runs.keys().cloned().collect()
    }

    fn write_entry(&self) {
        let mut state = self.state.lock().unwrap();
        if state.is_cut_off {
            return;
        }
        let Some(life) = &mut state.life else { return };
        life.sequence += 1;
        let entry = json!({
            "service": "oil-analysis",
            "address": self.address.to_string(),
            "zone": "hall-1",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": life.sequence,
            "capacity": {"cpu": 32_000, "mem-mb": 65_536, "gpu": life.gpus},
            "labels": ["a", format!("r1-{}", self.rack)],
        });
        self.store.put("servers", &life.id, &entry);
    }

    async fn handle(&self, request: http::Request) -> http::Reply {
        let body = request.json();
        let expected = request.headers.get("x-almondpass-expected-instance").cloned();
        let is_other = |life: &Life| expected.as_ref().is_some_and(|it| *it != life.id);
        let wait = body["wait-ms"].as_u64().unwrap_or(0).min(2_000);
        let deadline = Instant::now() + Duration::from_millis(wait);
        loop {
            let reply = {
                let mut state = self.state.lock().unwrap();
                if state.is_cut_off {
                    return http::Reply::Silence;
                }
                let Some(life) = &mut state.life else { return http::Reply::Silence };
                if is_other(life) {
                    return http::Reply::json(421, &json!({"clock-ms": clock_ms(life)}));
                }
                self.settle(life);
                match request.path.as_str() {
                    "/run-start" => return self.start_run(life, &body),
                    "/run-stop" => return stop_run(life, &body),
                    "/hold" => {
                        let reply = self.hold(life, &body);
                        let is_due = Instant::now() >= deadline || !life.ends.is_empty();
                        state.n_holds += u64::from(is_due);
                        if is_due || !matches!(reply, http::Reply::Answer(200, _)) {
                            return reply;
                        }
                        reply
                    }
                    _ => return http::Reply::empty(404),
                }
            };
            drop(reply);
            time::sleep(WAIT_STEP).await;
        }
    }

    fn start_run(&self, life: &mut Life, body: &Value) -> http::Reply {
        if !accept_token(life, body) {
            return refusal(life, "fence");
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        let deadline_ms = body["deadline-ms"].as_u64().unwrap_or(0);
        if deadline_ms <= clock_ms(life) {
            return refusal(life, "late");
        }
        extend_lease(life, deadline_ms);
        if life.runs.get(&task).is_some_and(|it| it.attempt == attempt) {
            return http::Reply::json(200, &json!({"clock-ms": clock_ms(life)}));
        }
        if attempt <= life.closed.get(&task).copied().unwrap_or(0) || life.runs.contains_key(&task)
        {
            return refusal(life, "old");
        }
        let job = task.split('.').next().unwrap_or_default();
        let Some(unit) = self.specs.lock().unwrap().get(job).copied() else {
            self.record
                .line(format!("worker {}: told to start {task}, which no client sent", life.id));
            return http::Reply::empty(400);
        };
        let used = life.runs.values().map(|it| it.gpus).sum::<u32>();
        if used + unit.gpus > life.gpus {
            return refusal(life, "room");
        }
        let now = Instant::now();
        let mut log = self.log.lock().unwrap();
        log.push(RunEvent {
            task: task.clone(),
            attempt,
            worker: self.number,
            started_at: now,
            end: None,
            noted_at: None,
        });
        let log_index = log.len() - 1;
        drop(log);
        self.record.line(format!("worker {}: starts {task} attempt {attempt}", life.id));
        let (work, end) = unit.work_of(&task);
        let run = Run {
            attempt,
            gpus: unit.gpus,
            work,
            end,
            ends_at: now + work,
            stops_at: None,
            log_index,
        };
        life.runs.insert(task, run);
        http::Reply::json(200, &json!({"clock-ms": clock_ms(life)}))
    }

    fn hold(&self, life: &mut Life, body: &Value) -> http::Reply {
        if !accept_token(life, body) {
            return refusal(life, "fence");
        }
        extend_lease(life, body["deadline-ms"].as_u64().unwrap_or(0));
        self.take_note(life, body["last-seen"].as_u64().unwrap_or(0));
        let now = Instant::now();
        let running = life.runs.iter().map(|(task, run)| {
            let left = run.ends_at.saturating_duration_since(now).as_secs_f64();
            let percent = 100.0 * (1.0 - left / run.work.as_secs_f64());
            json!([task, run.attempt, "", percent as u32, 0])
        });
        let ended = life.ends.iter().take(500);
        let ended = ended.map(|it| json!([it.number, it.task, it.attempt, it.how, ""]));
        let body = json!({
            "clock-ms": clock_ms(life),
            "running": running.collect::<Vec<_>>(),
            "ended": ended.collect::<Vec<_>>(),
        });
        http::Reply::json(200, &body)
    }

    /// Forgets the ends up to `last_seen`.
    fn take_note(&self, life: &mut Life, last_seen: u64) {
        let id = life.id.clone();
        life.ends.retain(|it| {
            if it.number > last_seen {
                return true;
            }
            self.log.lock().unwrap()[it.log_index].noted_at = Some(Instant::now());
            self.record.line(format!(
                "worker {id}: the end {} of {} attempt {} is taken note of",
                it.how, it.task, it.attempt
            ));
            false
        });
    }

    /// Ends what is due: work that is done, stops, and everything when the lease has expired.
    fn settle(&self, life: &mut Life) {
        let now = Instant::now();
        let lapses_at = life.began.unwrap_or(now) + Duration::from_millis(life.deadline_ms);
        let mut due = Vec::new();
        for (task, run) in &life.runs {
            let stops_at = run.stops_at.map(|it| ("stopped", it));
            let ends = [Some((run.end, run.ends_at)), stops_at, Some(("lapsed", lapses_at))];
            let first = ends.into_iter().flatten().min_by_key(|(_, at)| *at);
            due.extend(first.filter(|(_, at)| *at <= now).map(|it| (task.clone(), it)));
        }
        for (task, (how, at)) in due {
            let Some(run) = life.runs.remove(&task) else { continue };
            let closed = life.closed.entry(task.clone()).or_default();
            *closed = (*closed).max(run.attempt);
            life.n_ends += 1;
            self.log.lock().unwrap()[run.log_index].end = Some((how, at));
            self.record
                .line(format!("worker {}: {task} attempt {} ends {how}", life.id, run.attempt));
            life.ends.push(ListedEnd {
                number: life.n_ends,
                task,
                attempt: run.attempt,
                how,
                log_index: run.log_index,
            });
        }
    }
}

fn stop_run(life: &mut Life, body: &Value) -> http::Reply {
    if !accept_token(life, body) {
        return refusal(life, "fence");
    }
    let task = body["task"].as_str().unwrap_or_default().to_owned();
    let attempt = body["attempt"].as_u64().unwrap_or(0);
    if let Some(run) = life.runs.get_mut(&task).filter(|it| it.attempt <= attempt) {
        run.stops_at.get_or_insert(Instant::now() + STOP_TIME);
    }
    let closed = life.closed.entry(task).or_default();
    *closed = (*closed).max(attempt);
    http::Reply::json(200, &json!({"clock-ms": clock_ms(life)}))
}

fn accept_token(life: &mut Life, body: &Value) -> bool {
    let token = body["fencing-token"].as_u64().unwrap_or(0);
    let is_accepted = token >= life.token;
    life.token = life.token.max(token);
    is_accepted
}

fn extend_lease(life: &mut Life, deadline_ms: u64) {
    let longest = clock_ms(life) + MAX_HOLD_MS;
    life.deadline_ms = life.deadline_ms.max(deadline_ms.min(longest));
}

fn refusal(life: &Life, reason: &str) -> http::Reply {
    http::Reply::json(409, &json!({"clock-ms": clock_ms(life), "reason": reason}))
}

fn clock_ms(life: &Life) -> u64 {
    life.began.map_or(0, |it| it.elapsed().as_millis() as u64)
}
