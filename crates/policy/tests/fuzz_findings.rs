//! Faults that fuzzing found, each reproduced by the shortest sequence of events that showed it.

mod common;

use almondpass_policy::event::{HallEvent, WorkExit};
use almondpass_policy::hall_policy::HallPolicy;
use almondpass_policy::work;
use almondpass_schema::model;
use std::sync::Arc;

use crate::common::{TestHall, config, gang, job, secs};

/// Fault: new work started on a worker that the configuration no longer had.
/// Sequence: work runs on the last worker of a rack; an operator removes that worker from the layout;
/// more work arrives.
/// Cause: a removed worker stays in the topology, without a rack, while work runs on it. Only the
/// placement of adjacent gangs checked the rack, so the worker still got single tasks.
#[test]
fn removed_worker_takes_no_new_work() {
    let mut document = config(1);
    document.accounts[1].guarantees.clear();
    document.halls[0].racks[0].workers = 2;
    let mut hall = TestHall::new(document.clone());
    let first = hall.schedule(job("large", "batch", 1, 8));
    let second = hall.schedule(job("large", "batch", 1, 4));
    assert!(hall.is_running(first) && hall.is_running(second));
    let removed = "vadodara-r1-02".to_owned();
    assert!(
        hall.workers_of(first).contains(&removed) != hall.workers_of(second).contains(&removed)
    );
    document.halls[0].racks[0].workers = 1;
    hall.core.configure(Arc::new(document), hall.now).expect("a valid configuration");
    hall.run_rounds();
    let later = hall.schedule(job("large", "batch", 1, 2));
    let workers = hall.workers_of(later);
    assert!(!workers.contains(&removed), "{workers:?}");
}

/// A hall of two workers: one runs the work whose id is returned, the other is in quarantine because
/// three jobs failed there.
fn hall_with_quarantined_worker() -> (TestHall, work::WorkId) {
    let mut two_workers = config(1);
    two_workers.accounts[1].guarantees.clear();
    two_workers.halls[0].racks[0].workers = 2;
    let mut hall = TestHall::new(two_workers);
    let running = hall.schedule(job("large", "certificate", 1, 8));
    for _ in 0..3 {
        let work = hall.schedule(job("large", "certificate", 1, 8));
        let worker = hall.workers_of(work)[0].clone();
        hall.apply_event(HallEvent::Ended { work, exit: WorkExit::Failed { worker } });
    }
    (hall, running)
}

/// Fault: a gang that fits the empty hall waited forever.
/// Sequence: three jobs fail on one worker, which is quarantined; no further small work arrives; a gang
/// that needs every worker waits.
/// Cause: a quarantine ended only when a small job had succeeded as a probe, and there was none.
#[test]
fn quarantine_ends_without_a_probe() {
    let (mut hall, running) = hall_with_quarantined_worker();
    hall.succeed(running);
    let gang = hall.schedule(gang("large", "batch", 2, 8, model::Adjacency::Rack));
    assert!(!hall.is_running(gang), "the worker is not in quarantine");
    hall.advance(secs(600));
    assert!(hall.is_running(gang), "{}", hall.wait_text(gang));
}

/// Fault: a non-reclaimable gang that had been admitted because it fits outside the home blocks of an
/// empty hall waited forever in an empty hall.
/// Sequence: a worker with a home block is drained, so that the home is relocated; the drain ends; the
/// gang waits for longer than `gang_wait`.
/// Cause: homes stayed where they had been relocated to, and no rack had enough accelerators outside
/// them.
#[test]
fn homes_are_relocated_for_gang_that_fits_nowhere_else() {
    let mut document = config(2);
    document.halls[0].racks.iter_mut().for_each(|it| it.workers = 3);
    document.accounts[0].guarantees.push(common::shape("own", 16, model::Adjacency::Rack));
    let mut hall = TestHall::new(document);
    let first = "vadodara-r1-01".to_owned();
    hall.apply_event(HallEvent::WorkerDraining(first.clone()));
    hall.apply_event(HallEvent::WorkerUndrained(first));
    let picture = hall.core.picture(hall.now);
    let homes = |rack: &str| {
        let workers = picture.workers.iter().filter(|it| it.rack == rack);
        workers.flat_map(|it| &it.accelerators).filter(|it| it.home_of.is_some()).count()
    };
    assert!(
        0 < homes("r1") && 0 < homes("r2"),
        "a rack has no home block and is left for the gang"
    );
    let gang = hall.schedule(gang("large", "certificate", 3, 8, model::Adjacency::Rack));
    hall.advance(secs(1_200));
    assert!(hall.is_running(gang), "{}", hall.wait_text(gang));
}

/// Fault: a gang that needs every worker waited for more than half an hour in a hall where nothing ran.
/// Sequence: a worker is quarantined. The only small work is a job that fails on every worker; it can run
/// only as a probe, because the other worker is busy. It probes the worker again and again, and each
/// time the quarantine is twice as long.
/// Cause: work that had failed before could be a probe, although its failures say nothing about the
/// worker.
#[test]
fn work_that_has_failed_is_not_used_as_a_probe() {
    let (mut hall, running) = hall_with_quarantined_worker();
    let gang = hall.schedule(gang("large", "batch", 2, 8, model::Adjacency::Rack));
    let faulty = hall.schedule(job("small", "batch", 1, 1));
    for step in 0..90 {
        if step == 30 {
            hall.succeed(running);
        }
        if hall.is_running(faulty) {
            let worker = hall.workers_of(faulty)[0].clone();
            hall.apply_event(HallEvent::Ended { work: faulty, exit: WorkExit::Failed { worker } });
        }
        if hall.is_running(gang) {
            return;
        }
        hall.advance(secs(10));
    }
    panic!("{}", hall.wait_text(gang));
}
