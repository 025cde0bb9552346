//! A small deployment: the store, the workers, the project's processes and one client.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fleet;
use crate::nodes;
use crate::record;
use crate::store;

pub const SERVICE: &str = "weighdesk";
pub const HOST: &str = "calls.example";
pub const KEY: &str = "key-of-the-tenant";

/// A worker of the site.
pub const WORKER: fleet::Capacity = fleet::Capacity { cpu: 64_000, mem_mb: 131_072, gpu: 8 };

/// Workers of a rack.
pub const RACK: usize = 8;

/// Traffic begins this long after the machines do.
const LEAD: Duration = Duration::from_secs(10);

/// A queue of the desired state.
#[derive(Clone, Copy, Debug)]
pub struct Queue {
    pub name: &'static str,
    pub priority: u64,
    pub max_attempts: u64,
}

impl Queue {
    pub fn prefix(&self) -> String {
        format!("/{}/", self.name)
    }
}

pub struct Site {
    pub store: store::Store,
    pub fleet: fleet::Fleet,
    pub nodes: Vec<nodes::Node>,
    pub record: record::Record,
    root: PathBuf,
    next_job: std::cell::Cell<u64>,
}

impl Site {
    /// Starts `n_nodes` processes and `n_workers` workers, 8 a rack, and waits until traffic may begin.
    pub fn start(
        root: &Path,
        scratch: &Path,
        n_nodes: usize,
        n_workers: usize,
        queues: &[Queue],
    ) -> Site {
        let record = record::Record::new();
        let store = store::Store::new();
        let fleet = fleet::Fleet::new(&store, &record, SERVICE);
        for number in 0..n_workers {
            fleet.add(&format!("r1-{}", number / RACK + 1), "rustavi-hall", WORKER);
        }
        fs::create_dir_all(scratch).expect("create the scratch folder");
        let nodes = nodes::create(n_nodes, &store, scratch);
        let next_job = std::cell::Cell::new(u64::from(std::process::id()) << 32);
        let site = Site { store, fleet, nodes, record, root: root.to_owned(), next_job };
        site.put_config(1, queues);
        let began = Instant::now();
        for node in &site.nodes {
            node.start(root, &site.record);
        }
        while Instant::now() < began + LEAD {
            std::thread::sleep(Duration::from_millis(50));
        }
        assert!(site.nodes.iter().all(nodes::Node::is_ready), "a process is not ready after 10 s");
        site.record.note("traffic begins");
        site
    }

    /// Starts the process of a machine again.
    pub fn start_node(&self, node: usize) {
        self.nodes[node].start(&self.root, &self.record);
    }

    /// Kills the process of a machine and starts it again after a short delay.
    pub fn kill_and_restart(&self, node: usize, delay: Duration) {
        self.nodes[node].kill();
        self.record.note(format!("{} is killed", self.nodes[node].name));
        std::thread::sleep(delay);
        self.nodes[node].start(&self.root, &self.record);
    }

    /// Writes a desired state. Returns when the store has acknowledged it.
    pub fn put_config(&self, version: u64, queues: &[Queue]) -> Instant {
        let routes = queues.iter().map(|it| {
            json!({
                "name": it.name, "host": HOST, "path-prefix": it.prefix(), "type": "unsafe",
                "timeout-ms": 3000, "target-latency-ms": 1000, "priority": it.priority,
                "service": SERVICE, "max-attempts": it.max_attempts, "stretch": 3.0,
                "public": false,
            })
        });
        let config = json!({
            "version": version,
            "routes": routes.collect::<Vec<_>>(),
            "services": [{
                "name": SERVICE, "health-path": "/health", "max-connections": 64,
                "protocol": "h1", "tls": false, "admission-check": true, "standby": false,
            }],
            "limits": {
                "max-header-bytes": 16384, "max-body-bytes": 262144,
                "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
            },
            "tenants": [{
                "name": "lab", "api-keys": [KEY], "priority": 1, "guaranteed": { "gpu": 8 },
            }],
        });
        let acked = self.store.put("op", "config", &config);
        let names = queues.iter().map(|it| it.name).collect::<Vec<_>>().join(", ");
        self.record
            .note(format!("the operator's version {version} is acknowledged: queues {names}"));
        acked
    }

    pub fn new_job(&self) -> String {
        let number = self.next_job.get().wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.next_job.set(number);
        format!("{number:016x}")
    }

    /// Sends a call of the client and records it.
    pub fn call(&self, node: usize, method: &str, path: &str, body: &Value) -> nodes::Answered {
        let body = if body.is_null() { String::new() } else { body.to_string() };
        let node = &self.nodes[node];
        let answered = node.call(HOST, KEY, method, path, &body);
        let text = answered
            .answer
            .as_ref()
            .map_or("nothing".to_owned(), |(status, body)| format!("{status} {}", body.trim()));
        self.record.note(format!(
            "{method} {path} sent to {} at {:.3} s is answered: {text}",
            node.name,
            self.record.seconds(answered.sent_at)
        ));
        answered
    }

    /// Submits a job of one step until it is accepted.
    pub fn submit(&self, node: usize, queue: &Queue, step: &Value, spec: &str) -> String {
        let job = self.new_job();
        let path = queue.prefix() + &job;
        let body = json!({ "spec": spec, "steps": [step] });
        for _ in 0..20 {
            if self.call(node, "POST", &path, &body).status() == 200 {
                return job;
            }
            std::thread::sleep(Duration::from_millis(250));
        }
        panic!("a job is not accepted");
    }

    /// What a GET of a job shows.
    pub fn state_of(&self, node: usize, queue: &Queue, job: &str) -> String {
        let answered = self.call(node, "GET", &(queue.prefix() + job), &Value::Null);
        let body = answered.answer.map(|it| it.1).unwrap_or_default();
        let body = serde_json::from_str::<Value>(&body).unwrap_or(Value::Null);
        body["state"].as_str().unwrap_or("no state").to_owned()
    }

    /// Waits for `condition`; returns whether it came true in time.
    pub fn wait(&self, timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if condition() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

/// A step of `count` tasks and the `spec` that tells the workers what its tasks do.
pub struct Step {
    pub count: u64,
    pub work_ms: u64,
    pub gpu: u64,
    pub gang: bool,
    pub saves: bool,
}

impl Step {
    pub fn json(&self) -> Value {
        let mut step = json!({
            "count": self.count, "cpu": 1000 * self.gpu, "mem-mb": 2000 * self.gpu, "gpu": self.gpu,
            "estimated-ms": self.work_ms,
        });
        // Fields that are false are omitted.
        if self.gang {
            step["gang"] = json!(true);
        }
        if self.saves {
            step["checkpointing"] = json!(true);
        }
        step
    }

    pub fn spec(&self) -> String {
        let gang = if self.gang { self.count } else { 0 };
        format!(
            "work-ms={} cpu={} mem-mb={} gpu={} gang={gang} saves={}",
            self.work_ms,
            1000 * self.gpu,
            2000 * self.gpu,
            self.gpu,
            u8::from(self.saves)
        )
    }
}
