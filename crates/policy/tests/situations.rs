//! Decisions with their reasons in situations that show what the policy is about.

mod common;

use std::fmt::Write;

use almondpass_policy::decision::Decision;
use almondpass_policy::event::{HallEvent, WorkExit};
use almondpass_policy::work;
use almondpass_schema::model;
use common::{START, TestHall, account, config, gang, job, request, secs, shape};

/// One line for each decision, then one for each piece of work that is not over.
fn tell(hall: &TestHall) -> String {
    let mut text = String::new();
    for (at, decision) in &hall.decisions {
        let seconds = at.since(START).as_secs();
        writeln!(text, "{seconds:>5}s {}", line(decision)).expect("a string");
    }
    let picture = almondpass_policy::hall_policy::HallPolicy::picture(&hall.core, hall.now);
    for it in picture.queue {
        let n = it.job.as_u128();
        writeln!(text, "waits  #{n} {} {}: {}", it.account, it.class, it.reason.text)
            .expect("a string");
    }
    text
}

fn line(decision: &Decision) -> String {
    match decision {
        Decision::Start { work, placement, reason } => {
            format!("start #{} on {}: {}", work.as_u128(), places(placement), reason.text)
        }
        Decision::Checkpoint { work, stop_by, reason } => {
            let by = stop_by
                .map_or("and go on".to_owned(), |it| format!("by {}s", it.since(START).as_secs()));
            format!("checkpoint #{} {by}: {}", work.as_u128(), reason.text)
        }
        Decision::Stop { work, after_stop, reason } => {
            format!("stop #{} ({after_stop:?}): {}", work.as_u128(), reason.text)
        }
        Decision::Throttle { work, reason } => {
            format!("throttle #{}: {}", work.as_u128(), reason.text)
        }
        Decision::Requeue { work, reason } => {
            format!("requeue #{}: {}", work.as_u128(), reason.text)
        }
        Decision::Finish { work, outcome, reason } => {
            format!("finish #{} {outcome}: {}", work.as_u128(), reason.text)
        }
        Decision::WorkerChanged { state, reason, .. } => format!("worker {state}: {}", reason.text),
        Decision::GuaranteeChanged { state, reason, .. } => {
            format!("guarantee {state}: {}", reason.text)
        }
    }
}

fn places(placement: &[work::TaskAssignment]) -> String {
    let place = |it: &work::TaskAssignment| {
        let worker = it.worker.trim_start_matches("vadodara-");
        match it.accelerators.as_slice() {
            [] => worker.to_owned(),
            [one] => format!("{worker}[{one}]"),
            [first, .., last] => format!("{worker}[{first}-{last}]"),
        }
    };
    let mut places: Vec<String> = placement.iter().map(place).collect();
    let n = places.len();
    if 4 < n {
        places.splice(2..n - 1, ["..".to_owned()]);
    }
    places.join(" ")
}

/// Names each situation and compares what the hall did in it.
macro_rules! situations {
    ($($name:ident => $build:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let hall: TestHall = $build;
                insta::assert_snapshot!(tell(&hall));
            }
        )*
    };
}

situations! {
    claim_takes_its_free_home_block => {
        let mut hall = TestHall::new(config(1));
        hall.schedule(gang("small", "batch", 1, 8, model::Adjacency::Worker));
        hall
    };
    claim_waits_for_checkpoints => {
        let mut hall = TestHall::new(config(1));
        for _ in 0..16 {
            hall.submit(job("large", "ageing", 1, 4));
        }
        hall.run_rounds();
        hall.schedule(gang("small", "diagnosis", 1, 8, model::Adjacency::Worker));
        hall.advance(secs(10));
        hall
    };
    claim_moves_its_home_rather_than_stop_work => {
        let mut hall = TestHall::new(config(2));
        hall.schedule(gang("large", "ageing", 8, 8, model::Adjacency::Rack));
        let second = hall.schedule(gang("large", "ageing", 8, 8, model::Adjacency::Rack));
        hall.succeed(second);
        let claim = gang("small", "batch", 1, 8, model::Adjacency::Worker);
        hall.schedule(work::WorkItem { guarantee: Some("rig".to_owned()), ..claim });
        hall
    };
    home_block_is_closed_to_what_cannot_be_reclaimed => {
        let mut hall = TestHall::new(config(1));
        for _ in 0..8 {
            hall.submit(job("large", "certificate", 1, 8));
        }
        hall.run_rounds();
        hall
    };
    gang_waits_for_a_block => {
        let mut hall = TestHall::new(config(1));
        for _ in 0..32 {
            hall.submit(job("large", "batch", 1, 2));
        }
        hall.run_rounds();
        let gang = gang("large", "ageing", 3, 8, model::Adjacency::Rack);
        hall.schedule(gang);
        hall.advance(secs(160));
        hall
    };
    small_work_backfills_a_block_that_opens_later => {
        let mut hall = TestHall::new(config(1));
        hall.schedule(gang("large", "batch", 7, 8, model::Adjacency::Rack));
        hall.schedule(gang("large", "batch", 8, 8, model::Adjacency::Rack));
        hall.advance(secs(160));
        hall.schedule(request("large", "check"));
        hall.schedule(job("large", "ageing", 1, 2));
        hall
    };
    urgent_work_reclaims_the_least_lost => {
        let mut hall = TestHall::new(config(1));
        hall.submit(gang("large", "batch", 7, 8, model::Adjacency::Rack));
        hall.submit(job("large", "batch", 1, 8));
        hall.run_rounds();
        hall.advance(secs(60));
        hall.schedule(job("large", "diagnosis", 1, 2));
        hall
    };
    account_stays_within_its_limit => {
        let mut config = config(1);
        config.accounts[0].limits.accelerators = Some(12);
        let mut hall = TestHall::new(config);
        hall.schedule(job("large", "batch", 1, 8));
        hall.schedule(job("large", "batch", 1, 8));
        hall
    };
    impossible_work_is_refused => {
        let mut hall = TestHall::new(config(1));
        hall.schedule(job("large", "batch", 1, 9));
        hall.schedule(gang("large", "batch", 9, 8, model::Adjacency::Rack));
        hall.schedule(gang("large", "certificate", 8, 8, model::Adjacency::Rack));
        hall.schedule(work::WorkItem {
            guarantee: Some("rig".to_owned()),
            ..gang("small", "batch", 2, 8, model::Adjacency::Rack)
        });
        hall.schedule(job("large", "no-such-class", 1, 1));
        hall
    };
    deadline_that_cannot_be_met_is_told_early => {
        let mut hall = TestHall::new(config(1));
        for _ in 0..10 {
            let work = hall.schedule(job("large", "batch", 1, 1));
            hall.advance(secs(100));
            hall.succeed(work);
        }
        hall.decisions.clear();
        hall.schedule(gang("large", "certificate", 7, 8, model::Adjacency::Rack));
        let deadline = Some(hall.now + secs(150));
        hall.schedule(work::WorkItem { deadline, ..job("large", "certificate", 1, 8) });
        hall.schedule(work::WorkItem { deadline, ..gang("large", "batch", 2, 8, model::Adjacency::Rack) });
        hall.advance(secs(150));
        hall
    };
    failing_worker_is_quarantined_and_probed => {
        let mut config = config(1);
        config.halls[0].racks[0].workers = 2;
        let mut hall = TestHall::new(config);
        let mut worker = String::new();
        for _ in 0..3 {
            let work = hall.schedule(job("large", "certificate", 1, 1));
            worker.clone_from(&hall.workers_of(work)[0]);
            hall.apply_event(HallEvent::Ended { work, exit: WorkExit::Failed { worker: worker.clone() } });
        }
        hall.advance(secs(61));
        let probe = hall.schedule(job("large", "batch", 1, 1));
        hall.succeed(probe);
        hall
    };
    failing_job_is_its_own_fault => {
        let mut hall = TestHall::new(config(1));
        let work = hall.schedule(job("large", "batch", 1, 1));
        for _ in 0..3 {
            let worker = hall.workers_of(work)[0].clone();
            hall.apply_event(HallEvent::Ended { work, exit: WorkExit::Failed { worker } });
            hall.advance(secs(10));
        }
        hall
    };
    guarantee_is_lost_and_whole_again => {
        let mut config = config(1);
        config.halls[0].racks[0].workers = 2;
        let mut hall = TestHall::new(config);
        hall.advance(secs(5));
        hall.apply_event(HallEvent::WorkerLost("vadodara-r1-01".to_owned()));
        hall.apply_event(HallEvent::WorkerLost("vadodara-r1-02".to_owned()));
        hall.advance(secs(5));
        hall.apply_event(HallEvent::WorkerBack("vadodara-r1-02".to_owned()));
        hall
    };
    overrun_is_throttled_and_stopped => {
        let mut hall = TestHall::new(config(1));
        hall.schedule(job("large", "batch", 1, 1));
        hall.advance(secs(2 * 3600));
        hall
    };
    long_run_is_saved_now_and_then => {
        let mut hall = TestHall::new(config(1));
        hall.schedule(gang("large", "ageing", 2, 8, model::Adjacency::Rack));
        hall.advance(secs(1300));
        hall
    };
    run_is_saved_more_often_while_urgent_work_is_about => {
        let mut hall = TestHall::new(config(2));
        hall.schedule(job("small", "diagnosis", 1, 8));
        hall.schedule(gang("large", "ageing", 1, 8, model::Adjacency::Rack));
        hall.advance(secs(700));
        hall
    };
    gang_of_a_lost_worker_starts_again_whole => {
        let mut hall = TestHall::new(config(1));
        let work = hall.schedule(gang("large", "ageing", 4, 8, model::Adjacency::Rack));
        let worker = hall.workers_of(work)[1].clone();
        hall.advance(secs(60));
        hall.apply_event(HallEvent::WorkerLost(worker.clone()));
        hall.apply_event(HallEvent::Ended { work, exit: WorkExit::Lost { worker } });
        hall
    };
    two_guarantees_are_claimed_together => {
        let mut config = config(2);
        let mut third = account("third");
        third.guarantees.push(shape("bench", 32, model::Adjacency::Rack));
        config.accounts.push(third);
        let mut hall = TestHall::new(config);
        for _ in 0..16 {
            hall.submit(job("large", "batch", 1, 8));
        }
        hall.run_rounds();
        hall.decisions.clear();
        hall.submit(gang("third", "ageing", 4, 8, model::Adjacency::Rack));
        hall.submit(gang("small", "batch", 1, 8, model::Adjacency::Worker));
        hall.run_rounds();
        hall
    };
}
