//! UNASKED: the members of a gang are started again with different checkpoints, after the workers on which they ran have
//! crashed at the same moment.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::site;

const N_WORKERS: usize = 32;

/// How long the workers are down.
const DOWN: Duration = Duration::from_secs(3);

const CHECKS: site::Queue = site::Queue { name: "metal-class", priority: 1, max_attempts: 4 };

pub fn play(root: &Path, scratch: &Path, with_trouble: bool) -> Verdict {
    let site = site::Site::start(root, scratch, 3, N_WORKERS, &[CHECKS]);
    let gang = site::Step { count: 4, work_ms: 11_000, gpu: 6, gang: true, saves: true };
    let job = site.submit(0, &CHECKS, &gang.json(), &gang.spec());
    site.record.note(format!("{job} is the job of this case: a gang of {}", gang.count));
    // Ordinary small jobs beside it, whose ends come at any time.
    for number in 0..12 {
        let work_ms = 500 + 370 * number;
        let small = site::Step { count: 1, work_ms, gpu: 1, gang: false, saves: false };
        site.submit(number as usize % 3, &CHECKS, &small.json(), &small.spec());
    }
    let is_at_work = || site.fleet.percents_of(&job).iter().any(|it| *it >= 40);
    assert!(site.wait(Duration::from_secs(20), is_at_work), "the gang does not work");
    if with_trouble {
        site.fleet.crash(&site.fleet.workers_of(&job), DOWN);
    }
    let mut shown = String::new();
    site.wait(Duration::from_secs(50), || {
        thread::sleep(Duration::from_millis(980));
        shown = site.state_of(1, &CHECKS, &job);
        shown == "completed" || shown == "failed"
    });
    let mut by_attempt = BTreeMap::<u64, BTreeSet<String>>::new();
    for start in site.fleet.started().into_iter().filter(|it| it.task.starts_with(&job)) {
        by_attempt.entry(start.attempt).or_default().insert(start.checkpoint);
    }
    let differing = by_attempt.into_iter().filter(|(_, checkpoints)| checkpoints.len() > 1);
    let broken = differing.map(|(attempt, checkpoints)| {
        format!(
            "UNASKED: the members of the gang {job}.0.0 are told to start attempt {attempt} with the checkpoints \
             {checkpoints:?}; all must carry the same one. The job is then shown as {shown}"
        )
    });
    Verdict { record: site.record.text(), broken: broken.collect() }
}
