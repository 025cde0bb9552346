//! CONFIG: after the open connections to the store went silent, a machine in touch goes by an older version.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::Verdict;
use crate::site;

/// `config-apply-ms`.
const APPLY: Duration = Duration::from_millis(2_000);

/// `contact-ms`: so long after the silence began the machines are in touch again.
const CONTACT: Duration = Duration::from_millis(3_000);

const OLD: site::Queue = site::Queue { name: "gate-ticket", priority: 0, max_attempts: 3 };
const NEW: site::Queue = site::Queue { name: "metal-class", priority: 1, max_attempts: 4 };

pub fn play(root: &Path, scratch: &Path, with_trouble: bool) -> Verdict {
    let site = site::Site::start(root, scratch, 3, 4, &[OLD]);
    let step = site::Step { count: 1, work_ms: 500, gpu: 1, gang: false, saves: false };
    for node in 0..3 {
        site.submit(node, &OLD, &step.json(), &step.spec());
    }
    thread::sleep(Duration::from_secs(2));
    site.put_config(3, &[OLD]);
    thread::sleep(Duration::from_millis(60));
    let silent_at = Instant::now();
    if with_trouble {
        site.nodes.iter().for_each(|it| it.store_door.silence_open_connections());
        site.record.note("the open connections to the store go silent; new ones work");
    }
    thread::sleep(Duration::from_millis(400));
    let acked_at = site.put_config(4, &[NEW]);
    let judged_from = (silent_at + CONTACT).max(acked_at + APPLY) + Duration::from_millis(20);
    thread::sleep(judged_from.saturating_duration_since(Instant::now()));
    let mut broken = Vec::new();
    let mut accepted = Vec::new();
    while Instant::now() < judged_from + Duration::from_millis(1_500) {
        for node in 0..3 {
            let job = site.new_job();
            let body = json!({ "spec": step.spec(), "steps": [step.json()] });
            let answered = site.call(node, "POST", &(OLD.prefix() + &job), &body);
            if answered.status() == 200 {
                accepted.push((job, node, answered.sent_at));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_secs(2));
    let started = site.fleet.started();
    for (job, node, sent_at) in accepted {
        let has_run = started.iter().any(|it| it.task.starts_with(&job));
        broken.push(format!(
            "CONFIG: {} accepts job {job} of the dropped queue, sent {} ms after the ack of the version without it \
             and {} ms after the silence began; it has run: {has_run}",
            site.nodes[node].name,
            sent_at.duration_since(acked_at).as_millis(),
            sent_at.duration_since(silent_at).as_millis()
        ));
    }
    Verdict { record: site.record.text(), broken }
}
