//! What fuzzing found, each as the shortest sequence that showed it.

mod common;

use almondpass_policy::event::{HallEvent, WorkExit};
use almondpass_policy::hall_policy::HallPolicy;
use almondpass_policy::work;
use almondpass_schema::model;
use std::sync::Arc;

use crate::common::{TestHall, config, gang, job, secs};

/// Symptom: new work started on a worker that the configuration no longer had.
/// Sequence: work runs on the last worker of a rack; an operator takes that worker out of the
/// layout; more work arrives.
/// Cause: a removed worker stays behind while work runs on it, and only the adjacency of gangs
/// looked at its rack, so that it took single tasks like any other.
#[test]
fn removed_worker_takes_no_new_work() {
    let mut small = config(1);
    small.accounts[1].guarantees.clear();
    small.halls[0].racks[0].workers = 2;
    let mut hall = TestHall::new(small.clone());
    let first = hall.schedule(job("large", "batch", 1, 8));
    let second = hall.schedule(job("large", "batch", 1, 4));
    assert!(hall.is_running(first) && hall.is_running(second));
    let removed = "vadodara-r1-02".to_owned();
    assert!(
        hall.workers_of(first).contains(&removed) != hall.workers_of(second).contains(&removed)
    );
    small.halls[0].racks[0].workers = 1;
    hall.core.configure(Arc::new(small), hall.now).expect("a fit configuration");
    hall.run_rounds();
    let later = hall.schedule(job("large", "batch", 1, 2));
    let workers = hall.workers_of(later);
    assert!(!workers.contains(&removed), "{workers:?}");
}

/// Two workers: one is busy with the work that is returned, the other was taken out, as three pieces
/// of work have failed there.
fn with_a_worker_taken_out() -> (TestHall, work::WorkId) {
    let mut lone = config(1);
    lone.accounts[1].guarantees.clear();
    lone.halls[0].racks[0].workers = 2;
    let mut hall = TestHall::new(lone);
    let keeper = hall.schedule(job("large", "certificate", 1, 8));
    for _ in 0..3 {
        let work = hall.schedule(job("large", "certificate", 1, 8));
        let worker = hall.workers_of(work)[0].clone();
        hall.apply_event(HallEvent::Ended { work, exit: WorkExit::Failed { worker } });
    }
    (hall, keeper)
}

/// Symptom: a gang that fits the empty hall waited for ever.
/// Sequence: three pieces of work fail on one worker, which is taken out; nothing small arrives
/// again; a gang that needs every worker waits.
/// Cause: a worker came back only through a probe by one small piece of work, and there was none.
#[test]
fn gang_starts_where_nothing_probes() {
    let (mut hall, keeper) = with_a_worker_taken_out();
    hall.succeed(keeper);
    let gang = hall.schedule(gang("large", "batch", 2, 8, model::Adjacency::Rack));
    assert!(!hall.is_running(gang), "the worker is not taken out");
    hall.advance(secs(600));
    assert!(hall.is_running(gang), "{}", hall.wait_text(gang));
}

/// Symptom: work that can't be reclaimed, admitted because it fits beside the home blocks of an
/// empty hall, waited for ever in an empty hall.
/// Sequence: workers under the home blocks are drained, so that the homes move; the workers come
/// back; the work waits past `gang_wait`.
/// Cause: homes stayed where they were moved to, and left no rack with enough room beside them.
#[test]
fn homes_go_back_for_work_that_fits_nowhere_else() {
    let mut small = config(2);
    small.halls[0].racks.iter_mut().for_each(|it| it.workers = 3);
    small.accounts[0].guarantees.push(common::shape("own", 16, model::Adjacency::Rack));
    let mut hall = TestHall::new(small);
    let first = "vadodara-r1-01".to_owned();
    hall.apply_event(HallEvent::WorkerDraining(first.clone()));
    hall.apply_event(HallEvent::WorkerUndrained(first));
    let picture = hall.core.picture(hall.now);
    let homes = |rack: &str| {
        let workers = picture.workers.iter().filter(|it| it.rack == rack);
        workers.flat_map(|it| &it.accelerators).filter(|it| it.home_of.is_some()).count()
    };
    assert!(0 < homes("r1") && 0 < homes("r2"), "the homes leave a rack to the gang");
    let gang = hall.schedule(gang("large", "certificate", 3, 8, model::Adjacency::Rack));
    hall.advance(secs(1_200));
    assert!(hall.is_running(gang), "{}", hall.wait_text(gang));
}

/// Symptom: a gang that needs every worker waited for more than half an hour in a hall where
/// nothing ran.
/// Sequence: a worker is taken out; the only small work about is a job that fails wherever it runs,
/// and nothing but probing is open to it, as the other worker is busy; it probes the worker again
/// and again, and each time the worker is taken out for twice as long.
/// Cause: work that had failed before could probe, although its failure tells nothing of the worker.
#[test]
fn failing_work_does_not_probe() {
    let (mut hall, keeper) = with_a_worker_taken_out();
    let sound = hall.schedule(gang("large", "batch", 2, 8, model::Adjacency::Rack));
    let faulty = hall.schedule(job("small", "batch", 1, 1));
    for step in 0..90 {
        if step == 30 {
            hall.succeed(keeper);
        }
        if hall.is_running(faulty) {
            let worker = hall.workers_of(faulty)[0].clone();
            hall.apply_event(HallEvent::Ended { work: faulty, exit: WorkExit::Failed { worker } });
        }
        if hall.is_running(sound) {
            return;
        }
        hall.advance(secs(10));
    }
    panic!("{}", hall.wait_text(sound));
}
