//! Guaranteed shapes: at home, claimed, reclaimed, lost.

mod common;

use almondpass_policy::decision::Decision;
use almondpass_policy::event::HallEvent;
use almondpass_schema::model;
use common::{TestHall, config, gang, job, secs};

/// Fills a hall of one rack with jobs of the large account.
fn full_hall(class: &str) -> TestHall {
    let mut hall = TestHall::new(config(1));
    for _ in 0..64 {
        hall.submit(job("large", class, 1, 1));
    }
    hall.run_rounds();
    assert_eq!(hall.running.len(), 64);
    hall
}

#[test]
fn claim_is_met_while_the_large_account_fills_the_hall() {
    let mut hall = full_hall("batch");
    let claim = hall.schedule(gang("small", "batch", 1, 8, model::Adjacency::Worker));
    assert!(hall.is_running(claim));
    assert_eq!(hall.running.len(), 64 - 8 + 1);
}

#[test]
fn claim_waits_for_the_checkpoints_within_the_bound() {
    let mut hall = full_hall("ageing");
    let claim = hall.schedule(gang("small", "batch", 1, 8, model::Adjacency::Worker));
    assert!(!hall.is_running(claim));
    let n_asked =
        hall.decisions.iter().filter(|(_, it)| matches!(it, Decision::Checkpoint { .. })).count();
    assert_eq!(n_asked, 8);
    hall.advance(secs(10));
    assert!(hall.is_running(claim));
}

#[test]
fn work_that_cannot_be_reclaimed_stays_out_of_the_home_block() {
    let mut hall = TestHall::new(config(1));
    let all: Vec<_> = (0..64).map(|_| hall.submit(job("large", "certificate", 1, 1))).collect();
    hall.run_rounds();
    assert_eq!(hall.running.len(), 56);
    let waiting = all.iter().find(|it| !hall.is_running(**it)).expect("some wait");
    assert_eq!(
        hall.wait_text(*waiting),
        "what is free belongs to guarantees of others, and class certificate can't be reclaimed \
         in time"
    );
    let claim = hall.schedule(gang("small", "certificate", 1, 8, model::Adjacency::Worker));
    assert!(hall.is_running(claim));
}

#[test]
fn lost_home_moves_to_another_worker() {
    let mut hall = TestHall::new(config(1));
    let homes = |hall: &TestHall| -> Vec<String> {
        let picture = almondpass_policy::hall_policy::HallPolicy::picture(&hall.core, hall.now);
        let at_home = |it: &model::WorkerView| it.accelerators[0].home_of.is_some();
        picture.workers.into_iter().filter(at_home).map(|it| it.worker).collect()
    };
    let before = homes(&hall);
    hall.apply_event(HallEvent::WorkerLost(before[0].clone()));
    let after = homes(&hall);
    assert_eq!(after.len(), 1);
    assert_ne!(before, after);
}
