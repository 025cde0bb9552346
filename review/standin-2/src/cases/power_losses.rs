//! LOST: an accepted job that is struck by several power losses is shown as `failed`, though no run of it has ended
//! `failed`.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::site;

const N_WORKERS: usize = 24;

/// Workers that lose power at the same moment.
const N_STRUCK: usize = 3;

/// How often that comes.
const N_LOSSES: usize = 3;

/// How long these are down.
const DOWN: Duration = Duration::from_secs(2);

const TICKETS: site::Queue = site::Queue { name: "gate-ticket", priority: 0, max_attempts: 3 };

pub fn play(root: &Path, scratch: &Path, with_trouble: bool) -> Verdict {
    let site = site::Site::start(root, scratch, 3, N_WORKERS, &[TICKETS]);
    let step = site::Step { count: 1, work_ms: 2_500, gpu: 8, gang: false, saves: false };
    let submit = |node| site.submit(node, &TICKETS, &step.json(), &step.spec());
    // Some ordinary traffic: a job each second, all of which complete.
    let mut others = Vec::new();
    for number in 0..20 {
        others.push(submit(number % 3));
        thread::sleep(Duration::from_millis(1_000));
    }
    let job = submit(0);
    site.record.note(format!("{job} is the job of this case"));
    for _ in 0..N_LOSSES {
        let is_at_work = || site.fleet.percents_of(&job).iter().any(|it| *it >= 30);
        if !with_trouble || !site.wait(Duration::from_secs(20), is_at_work) {
            continue;
        }
        // Its worker and two idle ones of the same rack lose power at the same moment.
        let mut struck = site.fleet.workers_of(&job);
        let Some(worker) = struck.first().copied() else { continue };
        let busy = site.fleet.busy_workers();
        let is_beside = |it: &usize| it / site::RACK == worker / site::RACK && !busy.contains(it);
        struck.extend((0..N_WORKERS).filter(is_beside).take(N_STRUCK - 1));
        site.fleet.crash(&struck, DOWN);
        let is_released = || site.fleet.workers_of(&job).is_empty();
        site.wait(Duration::from_secs(1), is_released);
    }
    let mut shown = String::new();
    site.wait(Duration::from_secs(30), || {
        thread::sleep(Duration::from_millis(480));
        shown = site.state_of(1, &TICKETS, &job);
        shown == "completed" || shown == "failed" || shown == "cancelled"
    });
    let runs = site.fleet.started().into_iter().filter(|it| it.task.starts_with(&job));
    let runs = runs.collect::<Vec<_>>();
    let n_failed =
        runs.iter().filter(|it| it.ended.is_some_and(|(_, how)| how == "failed")).count();
    let mut broken = Vec::new();
    if shown == "failed" && n_failed < TICKETS.max_attempts as usize {
        broken.push(format!(
            "LOST: job {job} was accepted and nobody cancelled it; it is shown as failed, with {} runs of which \
             {n_failed} have ended failed, and {} attempts allowed",
            runs.len(),
            TICKETS.max_attempts
        ));
    }
    Verdict { record: site.record.text(), broken }
}
