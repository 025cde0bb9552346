//! The fleet without faults.

use std::time::Duration;

use almondpass_fleet_tests::{callers, document, world};
use almondpass_standin::run;

#[test]
fn every_instance_answers_requests() {
    let mut fleet = world::FleetWorld::start(1, 3);
    let mut calls = Vec::new();
    for number in 0..30 {
        let plan = callers::RequestPlan {
            account: document::LARGE,
            key: (number % 2 == 0).then(|| fleet.key()),
            run: Duration::from_millis(100),
            number,
            retries: 0,
        };
        calls.push(fleet.call(|desk| callers::request(desk, plan)));
    }
    fleet.until("all are answered", || calls.iter().all(|it| it.is_finished()));
    let ledger = fleet.ledger();
    assert!(ledger.requests.iter().all(|it| it.answer.says("done")), "{:?}", ledger.requests);
    for node in &fleet.nodes {
        assert!(ledger.requests.iter().any(|it| it.node == node.id), "none through {}", node.id);
    }
}

#[test]
fn a_gang_runs_whole() {
    let mut fleet = world::FleetWorld::start(1, 2);
    let plan = callers::JobPlan {
        account: document::LARGE,
        class: document::BATCH,
        job: fleet.key(),
        tasks: 3,
        accelerators: document::N_ACCELERATORS,
        run: Duration::from_secs(3),
        fails: false,
        guarantee: None,
        retries: 0,
    };
    drop(fleet.call(|desk| callers::submit(desk, plan)));
    fleet.run_for(Duration::from_secs(8));
    let runs = fleet.enter(|it| it.site.fakes.fleet.runs());
    assert_eq!(runs.len(), 3);
    for run in runs {
        let cause = run.ended.map(|it| it.cause);
        let exit = almondpass_schema::model::TaskExit::Succeeded;
        assert_eq!(cause, Some(run::EndCause::Exited(exit)));
    }
}

/// Symptom: a paused process runs on in the simulation, and no storm would mean anything.
/// Sequence: an instance is paused, or killed, and asked. Cause: its tasks run elsewhere.
#[test]
fn a_paused_instance_stands_still_and_a_killed_one_refuses() {
    let mut fleet = world::FleetWorld::start(1, 1);
    let plan = |fleet: &world::FleetWorld, number| callers::RequestPlan {
        account: document::LARGE,
        key: Some(fleet.key()),
        run: Duration::from_millis(100),
        number,
        retries: 0,
    };
    fleet.nodes[0].paused = true;
    let first = plan(&fleet, 1);
    let call = fleet.call(|desk| callers::request(desk, first));
    fleet.run_for(Duration::from_secs(3));
    assert!(!call.is_finished());
    fleet.nodes[0].paused = false;
    fleet.until("the paused instance answers", || call.is_finished());
    fleet.kill(0);
    let second = plan(&fleet, 2);
    let call = fleet.call(|desk| callers::request(desk, second));
    fleet.until("nobody answers", || call.is_finished());
    assert!(fleet.result(call).whole().is_none());
}
