//! The order in which waiting work starts, and that no work waits for ever.

mod common;

use almondpass_policy::event::{HallEvent, WorkExit};
use almondpass_policy::hall_policy::HallPolicy;
use almondpass_policy::work;
use almondpass_schema::model;
use common::{TestHall, account, config, gang, job, request, secs};

/// A hall of one worker without home blocks, which one job of eight accelerators fills.
fn hall_of_one_worker() -> TestHall {
    let mut config = config(1);
    config.halls[0].racks[0].workers = 1;
    config.accounts[1].guarantees.clear();
    config.accounts.push(account("third"));
    TestHall::new(config)
}

#[test]
fn higher_priority_starts_first() {
    let mut hall = hall_of_one_worker();
    let first = hall.schedule(job("large", "certificate", 1, 8));
    let batch = hall.schedule(job("large", "batch", 1, 8));
    let certificate = hall.schedule(job("large", "certificate", 1, 8));
    hall.succeed(first);
    assert!(hall.is_running(certificate) && !hall.is_running(batch));
}

#[test]
fn ageing_lifts_work_over_newer_work_of_higher_priority() {
    let mut hall = hall_of_one_worker();
    let first = hall.schedule(job("large", "certificate", 1, 8));
    let batch = hall.schedule(job("large", "batch", 1, 8));
    hall.advance(secs(1900));
    let certificate = hall.schedule(job("large", "certificate", 1, 8));
    hall.succeed(first);
    assert!(hall.is_running(batch) && !hall.is_running(certificate));
}

#[test]
fn account_with_the_smaller_share_goes_first() {
    let mut hall = hall_of_one_worker();
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
    let mut hall = hall_of_one_worker();
    let batch = hall.schedule(gang("large", "ageing", 1, 8, model::Adjacency::Worker));
    hall.advance(secs(100));
    let urgent = hall.schedule(job("third", "diagnosis", 1, 1));
    hall.advance(secs(3));
    assert!(hall.is_running(urgent));
    assert!(hall.was_reclaimed(batch));
}

#[test]
fn non_repeatable_work_is_never_a_victim() {
    let mut hall = hall_of_one_worker();
    let certificate = hall.schedule(job("large", "certificate", 1, 8));
    let urgent = hall.schedule(job("third", "diagnosis", 1, 1));
    hall.advance(secs(60));
    assert!(hall.is_running(certificate) && !hall.is_running(urgent));
}

/// Guards against a gang that never starts: small jobs keep arriving, and each accelerator that
/// becomes free is taken by the next small job at once. Without a block reserved for it, the gang
/// needs all accelerators to be free at the same time by coincidence.
#[test]
fn gang_starts_within_its_bound_under_a_stream_of_small_jobs() {
    let mut hall = hall_of_one_worker();
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

/// Guards against a gang without accelerators that never starts, because each core that becomes free
/// is taken by the next small job at once.
#[test]
fn gang_without_accelerators_starts_under_a_stream_of_small_jobs() {
    let mut hall = hall_of_one_worker();
    let cpu_job = |cores| {
        let item = job("third", "batch", 1, 0);
        work::WorkItem { demand: work::TaskDemand { cores, ..item.demand }, ..item }
    };
    let mut running: Vec<work::WorkId> = (0..8).map(|_| hall.schedule(cpu_job(4))).collect();
    let gang = hall.schedule(cpu_job(32));
    let mut waited = 0;
    while !hall.is_running(gang) {
        assert!(waited < 600 + 5400 + 12, "waits beyond gang_wait and the longest run");
        hall.advance(secs(60));
        waited += 60;
        let ended = running.remove(0);
        if hall.is_running(ended) {
            hall.succeed(ended);
        }
        running.push(hall.schedule(cpu_job(4)));
    }
}

#[test]
fn cancelled_start_is_stopped_whole_and_reported_as_not_run() {
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

/// Guards against a claim that misses its bound because the scheduler is busy for seconds after a
/// burst: 10,000 cancellations, 5,000 small requests and 50 large gangs come at once, then a claim.
/// Happens when a round examines all waiting work.
#[test]
fn burst_of_work_does_not_delay_a_claim() {
    let mut hall = TestHall::new(config(4));
    let to_cancel: Vec<work::WorkId> =
        (0..10_000).map(|_| hall.submit(job("large", "batch", 1, 8))).collect();
    hall.run_rounds();
    for it in to_cancel {
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

/// Guards against a new scheduler that reports a guarantee as reclaimable although it is not: the
/// scheduler adopts non-reclaimable work that runs on the canonical block of the guarantee. Happens
/// when home blocks are assigned before the adoption.
#[test]
fn home_block_avoids_adopted_non_reclaimable_work() {
    let mut hall = TestHall::without_workers(config(1));
    let assignment = work::TaskAssignment {
        rank: 0,
        worker: "vadodara-r1-01".to_owned(),
        accelerators: vec![0, 1],
    };
    let item = work::WorkItem { id: common::work_id(77), ..job("large", "certificate", 1, 2) };
    let placement = vec![assignment.clone()];
    hall.running.insert(item.id, placement.clone());
    let started_at = hall.now;
    hall.core.apply(HallEvent::Adopted { item, placement, started_at }, hall.now);
    for it in 1..=8 {
        hall.core.apply(HallEvent::WorkerBack(format!("vadodara-r1-{it:02}")), hall.now);
    }
    hall.run_rounds();
    let claim = hall.schedule(gang("small", "batch", 1, 8, model::Adjacency::Worker));
    assert!(hall.is_running(claim) && hall.workers_of(claim)[0] != assignment.worker);
}
