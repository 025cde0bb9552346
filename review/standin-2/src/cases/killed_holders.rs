//! LOST: after single processes were killed, each time the one that last wrote under a condition, all machines are up
//! and no work starts for 25 s.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::site;

const N_NODES: usize = 3;
const N_WORKERS: usize = 8;
const N_KILLS: usize = 7;

/// From a machine's first calls to the workers until it is killed.
const KILLED_AFTER: Duration = Duration::from_millis(400);

/// A process that was killed is started again after this.
const RESTARTED_AFTER: Duration = Duration::from_millis(300);

/// `finish_s`: so long after the end of the traffic jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

/// How long a job may have nothing running then.
const MAX_IDLE: Duration = Duration::from_secs(3);

const TICKETS: site::Queue = site::Queue { name: "gate-ticket", priority: 0, max_attempts: 3 };

pub fn play(root: &Path, scratch: &Path, with_trouble: bool) -> Verdict {
    let site = site::Site::start(root, scratch, N_NODES, N_WORKERS, &[TICKETS]);
    let step = site::Step { count: 1, work_ms: 1_000, gpu: 1, gang: false, saves: false };
    let submit = |node| site.submit(node, &TICKETS, &step.json(), &step.spec());
    for number in 0..6 {
        submit(number % N_NODES);
        thread::sleep(Duration::from_millis(300));
    }
    thread::sleep(Duration::from_secs(2));
    let mut token = 0;
    for _ in 0..N_KILLS {
        if !with_trouble {
            continue;
        }
        // A process has just begun to call the workers, under a higher fence number.
        let is_called_anew = || site.fleet.highest_token() > token;
        if !site.wait(Duration::from_secs(20), is_called_anew) {
            break;
        }
        token = site.fleet.highest_token();
        let writer = site.store.last_conditional_writer().expect("a machine has written");
        thread::sleep(KILLED_AFTER);
        site.kill_and_restart(writer, RESTARTED_AFTER);
    }
    thread::sleep(Duration::from_secs(1));
    // The last jobs of the traffic.
    let jobs = (0..3).map(submit).collect::<Vec<_>>();
    let ended_at = Instant::now();
    site.record.note("the traffic has ended");
    thread::sleep(FINISH);
    let idle_from = Instant::now();
    let mut broken = Vec::new();
    let is_at_work =
        |job: &String| site.fleet.started().iter().any(|it| it.task.starts_with(job.as_str()));
    while Instant::now() < idle_from + MAX_IDLE {
        thread::sleep(Duration::from_millis(100));
    }
    for job in jobs.iter().filter(|it| !is_at_work(it)) {
        let shown = site.state_of(0, &TICKETS, job);
        broken.push(format!(
            "LOST: from {:.1} s to {:.1} s after the end of the traffic job {job} ({shown}) has nothing running, \
             though its work unit's turn has come and all {N_WORKERS} workers are free; all machines are up",
            (idle_from - ended_at).as_secs_f64(),
            ended_at.elapsed().as_secs_f64()
        ));
    }
    let has_begun = || jobs.iter().all(is_at_work);
    let began = site.wait(Duration::from_secs(20), has_begun);
    site.record.note(format!("the jobs have begun: {began}"));
    Verdict { record: site.record.text(), broken }
}
