//! Which work goes first, and that none waits for ever.

mod common;

use almondpass_policy::event::{HallEvent, WorkExit};
use almondpass_policy::hall_policy::HallPolicy;
use almondpass_policy::work;
use almondpass_schema::model;
use common::{TestHall, account, config, gang, job, request, secs};

/// A hall of one worker, so that one job of eight accelerators fills what is no home.
fn narrow_hall() -> TestHall {
    let mut config = config(1);
    config.halls[0].racks[0].workers = 1;
    config.accounts[1].guarantees.clear();
    config.accounts.push(account("third"));
    TestHall::new(config)
}

#[test]
fn higher_priority_starts_first() {
    let mut hall = narrow_hall();
    let first = hall.schedule(job("large", "certificate", 1, 8));
    let batch = hall.schedule(job("large", "batch", 1, 8));
    let certificate = hall.schedule(job("large", "certificate", 1, 8));
    hall.succeed(first);
    assert!(hall.is_running(certificate) && !hall.is_running(batch));
}

#[test]
fn ageing_lifts_work_over_newer_work_of_higher_priority() {
    let mut hall = narrow_hall();
    let first = hall.schedule(job("large", "certificate", 1, 8));
    let batch = hall.schedule(job("large", "batch", 1, 8));
    hall.advance(secs(1900));
    let certificate = hall.schedule(job("large", "certificate", 1, 8));
    hall.succeed(first);
    assert!(hall.is_running(batch) && !hall.is_running(certificate));
}

#[test]
fn account_with_the_smaller_share_goes_first() {
    let mut hall = narrow_hall();
    let first = hall.schedule(job("large", "batch", 1, 4));
    let second = hall.schedule(job("large", "batch", 1, 4));
    let of_large = hall.schedule(job("large", "batch", 1, 4));
    let of_third = hall.schedule(job("third", "batch", 1, 4));
    hall.succeed(first);
    assert!(hall.is_running(of_third) && !hall.is_running(of_large));
    hall.succeed(second);
    assert!(hall.is_running(of_large));
}

#[test]
fn urgent_work_starts_within_its_bound_in_a_full_hall() {
    let mut hall = narrow_hall();
    let batch = hall.schedule(gang("large", "ageing", 1, 8, model::Adjacency::Worker));
    hall.advance(secs(100));
    let urgent = hall.schedule(job("third", "diagnosis", 1, 1));
    hall.advance(secs(3));
    assert!(hall.is_running(urgent));
    assert!(hall.was_reclaimed(batch));
}

#[test]
fn what_is_not_repeatable_is_never_a_victim() {
    let mut hall = narrow_hall();
    let certificate = hall.schedule(job("large", "certificate", 1, 8));
    let urgent = hall.schedule(job("third", "diagnosis", 1, 1));
    hall.advance(secs(60));
    assert!(hall.is_running(certificate) && !hall.is_running(urgent));
}

/// Symptom: a gang of a whole rack never starts. Sequence: small jobs arrive all the time, one
/// after the other ends, and each freed accelerator is taken at once. Cause: without a block that
/// is kept for it, the gang needs all of them to be free by coincidence.
#[test]
fn gang_starts_within_its_bound_under_a_stream_of_small_work() {
    let mut hall = narrow_hall();
    let mut running: Vec<work::WorkId> =
        (0..8).map(|_| hall.schedule(job("third", "batch", 1, 1))).collect();
    let gang = hall.schedule(gang("large", "batch", 1, 8, model::Adjacency::Worker));
    let mut waited = 0;
    while !hall.is_running(gang) {
        assert!(waited < 600 + 5400 + 12, "waits beyond gang_wait and the longest run");
        hall.advance(secs(60));
        waited += 60;
        let ended = running.remove(0);
        if hall.is_running(ended) {
            hall.succeed(ended);
        }
        running.push(hall.schedule(job("third", "batch", 1, 1)));
    }
}

/// The same for a gang that needs cores only.
#[test]
fn gang_without_accelerators_starts_under_a_stream_of_small_work() {
    let mut hall = narrow_hall();
    let bare = |cores| {
        let item = job("third", "batch", 1, 0);
        work::WorkItem { demand: work::TaskDemand { cores, ..item.demand }, ..item }
    };
    let mut running: Vec<work::WorkId> = (0..8).map(|_| hall.schedule(bare(4))).collect();
    let gang = hall.schedule(bare(32));
    let mut waited = 0;
    while !hall.is_running(gang) {
        assert!(waited < 600 + 5400 + 12, "waits beyond gang_wait and the longest run");
        hall.advance(secs(60));
        waited += 60;
        let ended = running.remove(0);
        if hall.is_running(ended) {
            hall.succeed(ended);
        }
        running.push(hall.schedule(bare(4)));
    }
}

#[test]
fn cancelled_start_is_stopped_whole_and_told_as_not_run() {
    let mut hall = TestHall::new(config(1));
    hall.executes_decisions = false;
    let work = hall.schedule(gang("large", "batch", 4, 8, model::Adjacency::Rack));
    hall.apply_event(HallEvent::Cancelled(work));
    assert_eq!(hall.outcome(work), None);
    hall.apply_event(HallEvent::StartFailed {
        work,
        worker: None,
        fault: almondpass_policy::event::StartFault::Withdrawn,
    });
    assert_eq!(hall.outcome(work), Some(model::RequestOutcome::NotRun));
}

#[test]
fn lost_work_that_is_not_repeatable_ends_unknown() {
    let mut hall = TestHall::new(config(1));
    let work = hall.schedule(job("large", "certificate", 1, 1));
    let worker = hall.workers_of(work)[0].clone();
    hall.apply_event(HallEvent::Ended { work, exit: WorkExit::Lost { worker } });
    assert_eq!(hall.outcome(work), Some(model::RequestOutcome::Unknown));
}

/// Symptom: after a wave the scheduler is busy for seconds, and a claim misses its bound.
/// Sequence: 10,000 cancellations, 5,000 small arrivals and 50 large gangs at once, then a claim.
/// Cause: a turn that looks at everything that waits.
#[test]
fn wave_does_not_hold_up_a_claim() {
    let mut hall = TestHall::new(config(4));
    let old: Vec<work::WorkId> =
        (0..10_000).map(|_| hall.submit(job("large", "batch", 1, 8))).collect();
    hall.run_rounds();
    for it in old {
        hall.core.apply(HallEvent::Cancelled(it), hall.now);
    }
    for _ in 0..5_000 {
        hall.submit(request("large", "check"));
    }
    for _ in 0..50 {
        hall.submit(gang("large", "ageing", 8, 8, model::Adjacency::Rack));
    }
    let claim = gang("small", "batch", 1, 8, model::Adjacency::Worker);
    let claim = hall.schedule(work::WorkItem { guarantee: Some("rig".to_owned()), ..claim });
    hall.advance(secs(30));
    assert!(hall.is_running(claim));
    assert_eq!(hall.core.sizes().items, 5_000 + 50 + 1);
}

/// Symptom: a new scheduler reports a guarantee as reclaimable that is not. Sequence: it adopts
/// work that can't be reclaimed on the block where the guarantee is at home in an empty hall.
/// Cause: homes chosen before the adoption.
#[test]
fn home_goes_where_adopted_work_leaves_it_room() {
    let mut hall = TestHall::without_workers(config(1));
    let slot = work::TaskAssignment {
        rank: 0,
        worker: "vadodara-r1-01".to_owned(),
        accelerators: vec![0, 1],
    };
    let item = work::WorkItem { id: common::work_id(77), ..job("large", "certificate", 1, 2) };
    let placement = vec![slot.clone()];
    hall.running.insert(item.id, placement.clone());
    let started_at = hall.now;
    hall.core.apply(HallEvent::Adopted { item, placement, started_at }, hall.now);
    for it in 1..=8 {
        hall.core.apply(HallEvent::WorkerBack(format!("vadodara-r1-{it:02}")), hall.now);
    }
    hall.run_rounds();
    let claim = hall.schedule(gang("small", "batch", 1, 8, model::Adjacency::Worker));
    assert!(hall.is_running(claim) && hall.workers_of(claim)[0] != slot.worker);
}
