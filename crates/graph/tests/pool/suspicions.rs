//! Tasks under which workers are lost: what is held against them, and what is not.

use std::time::Duration;

use almondpass_graph::{order, task_key, worker};
use almondpass_schema::model;

use crate::support;

/// The only task of a job.
fn first_task(graph: u64) -> task_key::TaskKey {
    task_key::TaskKey { graph, occurrence: 0, step: 0, task: 0 }
}

/// Another worker answers at the address of a worker, and the list has it.
fn replace(bench: &mut support::PoolBench, index: usize) {
    let address = support::worker_entry(index).address;
    bench.core.worker_replaced(&support::worker_id(index), &address, bench.now);
    bench.core.update_worker(support::worker_id(index), support::worker_entry(index), bench.now);
    bench.save();
    bench.answer_poll(index, &[], &[]);
}

fn n_suspects(bench: &support::PoolBench) -> usize {
    bench.core.summary().n_suspects
}

/// Turns, saves and turns again, as a suspect starts once that is on record. All starts succeed.
fn turn_on_record(bench: &mut support::PoolBench) -> Vec<order::StartOrder> {
    let mut starts = bench.run_round_and_start();
    bench.save();
    starts.extend(bench.run_round_and_start());
    starts
}

/// Lets the workers of a pool answer that run what was started, and pass for a while.
fn pass_with(bench: &mut support::PoolBench, starts: &[order::StartOrder], n_workers: usize) {
    bench.advance(100);
    for index in 0..n_workers {
        let here = starts.iter().filter(|it| support::index_of(&it.worker) == index);
        let running = here.map(|it| support::listed_run(it, 1)).collect::<Vec<_>>();
        bench.answer_poll(index, &running, &[]);
    }
}

/// One worker after the other is lost under a task that runs alone there: it is given up once two are,
/// and its caller learns why.
#[test]
fn a_task_that_loses_its_workers_alone_is_given_up() {
    let mut bench = support::PoolBench::new(16);
    bench.admit(1, support::job(1, support::tasks(1)));
    for _ in 0..2 {
        let start = turn_on_record(&mut bench).remove(0);
        bench.advance(3_000);
        replace(&mut bench, support::index_of(&start.worker));
    }
    bench.save();
    let shown = bench.core.state_of(1).map(|it| (it.state, it.failure));
    let cause = Some(model::FailureCause::CrashesWorkers);
    assert_eq!(shown, Some((model::GraphState::Failed, cause)));
    assert_eq!(bench.core.take_loss_counts().n_given_up, 1);
}

/// A task is given up for early losses although a run of it was seen to go on far longer.
#[test]
fn a_task_that_ran_on_before_is_not_given_up_for_early_losses() {
    let mut bench = support::PoolBench::new(16);
    bench.admit(1, support::job(1, support::tasks(1)));
    for ran_ms in [4_000, 300, 500, 200] {
        let starts = turn_on_record(&mut bench);
        pass_with(&mut bench, &starts, 16);
        bench.advance(ran_ms);
        if ran_ms > 1_000 {
            pass_with(&mut bench, &starts, 16);
        }
        replace(&mut bench, support::index_of(&starts[0].worker));
    }
    bench.save();
    assert_eq!(bench.core.state_of(1).map(|it| it.state), Some(model::GraphState::Running));
}

/// Idle workers of a pool of four are lost one after the other, for 21 s.
fn lose_others(bench: &mut support::PoolBench) {
    for other in 0..8 {
        bench.advance(2_600);
        (0..4).for_each(|it| bench.answer_poll(it, &[], &[]));
        replace(bench, other % 4);
    }
    bench.advance(2_600);
    (0..4).for_each(|it| bench.answer_poll(it, &[], &[]));
}

/// Losses right behind each start of a task are put down to the many workers that are lost all the while.
#[test]
fn losses_right_behind_each_start_are_proof_amid_many_others() {
    let mut bench = support::PoolBench::new(4);
    lose_others(&mut bench);
    bench.admit(1, support::job(1, support::tasks(1)));
    for _ in 0..5 {
        let Some(start) = turn_on_record(&mut bench).pop() else { break };
        bench.advance(150);
        replace(&mut bench, support::index_of(&start.worker));
        lose_others(&mut bench);
    }
    bench.save();
    let cause = Some(model::FailureCause::CrashesWorkers);
    assert_eq!(bench.core.state_of(1).map(|it| it.failure), Some(cause));
}

/// What ran beside a task that was given up is not: it was struck once, and ends well apart.
#[test]
fn what_ran_beside_is_not_given_up() {
    let mut bench = support::PoolBench::new(16);
    bench.admit(1, support::job(1, support::tasks(1)));
    bench.admit(2, support::job(1, support::tasks(1)));
    let starts = bench.run_round_and_start();
    assert_eq!(starts[0].worker, starts[1].worker);
    bench.advance(3_000);
    replace(&mut bench, support::index_of(&starts[0].worker));
    assert_eq!(n_suspects(&bench), 2);

    for _ in 0..2 {
        let starts = turn_on_record(&mut bench);
        let of = |graph| starts.iter().find(|it| it.task == first_task(graph)).cloned();
        let first = of(1).expect("a start");
        if let Some(second) = of(2) {
            assert_ne!(first.worker, second.worker);
            pass_with(&mut bench, &starts, 16);
            let end = support::listed_end(1, &second, order::EndKind::Done);
            bench.answer_poll(support::index_of(&second.worker), &[], &[end]);
        }
        bench.advance(3_000);
        replace(&mut bench, support::index_of(&first.worker));
    }
    bench.save();
    let state = |graph| bench.core.state_of(graph).map(|it| it.state);
    assert_eq!(state(1), Some(model::GraphState::Failed));
    assert_eq!(state(2), Some(model::GraphState::Completed));
}

/// A worker that was cut off for longer than its lease lists what ran there, and has not crashed.
#[test]
fn a_worker_that_lives_on_is_held_against_nobody() {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    let index = support::index_of(&start.worker);
    bench.core.poll_missed(&start.worker);
    bench.advance(7_000);
    bench.run_round();
    bench.core.unlist_worker(&start.worker, bench.now);
    assert_eq!(n_suspects(&bench), 1);

    bench.core.update_worker(support::worker_id(index), support::worker_entry(index), bench.now);
    bench.answer_poll(index, &[], &[support::listed_end(1, &start, order::EndKind::Lapsed)]);
    assert_eq!(n_suspects(&bench), 0);
}

/// A worker that is silent, but whose entry is kept up, is cut off from here.
#[test]
fn a_silent_worker_that_is_listed_puts_nobody_under_suspicion() {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    bench.core.poll_missed(&start.worker);
    bench.advance(7_000);
    bench.run_round();
    assert_eq!(n_suspects(&bench), 0);
    assert!(bench.core.summary().n_waiting + bench.core.summary().n_running > 0);
}

/// A worker that leaves may go sooner than it has told.
#[test]
fn a_worker_that_was_leaving_is_held_against_nobody() {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    let index = support::index_of(&start.worker);
    let leaves_in = Some(Duration::from_secs(60));
    let leaving = worker::WorkerEntry { leaves_in, ..support::worker_entry(index) };
    bench.core.update_worker(start.worker.clone(), leaving, bench.now);
    bench.advance(500);
    bench.core.worker_replaced(&start.worker, &start.address, bench.now);
    assert_eq!(n_suspects(&bench), 0);
}

/// Work that was struck by one power loss after the other is not given up: half of the workers each
/// time.
#[test]
fn power_losses_are_held_against_nobody() {
    let mut bench = support::PoolBench::new(16);
    for graph in 1..=16 {
        bench.admit(graph, support::job(0, support::whole_workers(1)));
    }
    let mut starts = bench.run_round_and_start();
    assert_eq!(starts.len(), 16);
    for _ in 0..8 {
        pass_with(&mut bench, &starts, 16);
        let struck = starts.iter().filter(|it| it.task.graph <= 8).cloned().collect::<Vec<_>>();
        for start in &struck {
            bench.core.poll_missed(&start.worker);
        }
        bench.advance(600);
        for start in &struck {
            replace(&mut bench, support::index_of(&start.worker));
        }
        starts.retain(|it| it.task.graph > 8);
        bench.save();
        let again = turn_on_record(&mut bench);
        assert_eq!(again.len(), 8);
        starts.extend(again);
    }
    assert_eq!(n_suspects(&bench), 0);
    let states = (1..=16).map(|it| bench.core.state_of(it).map(|it| it.state));
    assert!(states.into_iter().all(|it| it == Some(model::GraphState::Running)));
}

/// A suspect starts on an empty worker, and nothing starts beside it.
#[test]
fn a_suspect_runs_apart() {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(1, support::tasks(1)));
    let first = bench.run_round_and_start().remove(0);
    bench.admit(2, support::job(1, support::tasks(1)));
    let other = bench.run_round_and_start().remove(0);
    bench.advance(1_000);
    replace(&mut bench, support::index_of(&first.worker));
    let starts = turn_on_record(&mut bench);
    let suspect = starts.iter().find(|it| it.task == first_task(1)).expect("a start").clone();
    let beside = starts.iter().filter(|it| it.worker == suspect.worker);
    assert_eq!(beside.count(), 1);
    assert_eq!(first.worker, other.worker);
    // Eight workers' worth of small tasks finds room on the others only.
    bench.admit(3, support::job(0, support::tasks(64)));
    let starts = bench.run_round_and_start();
    assert!(!starts.is_empty());
    assert!(starts.iter().all(|it| it.worker != suspect.worker));
}

/// Where no worker comes free for it, a suspect starts beside other work within the time that the
/// platform allows a job to stand still.
#[test]
fn a_suspect_does_not_wait_without_end() {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(1, support::tasks(24)));
    let starts = bench.run_round_and_start();
    bench.advance(500);
    let lost = support::index_of(&starts[0].worker);
    replace(&mut bench, lost);
    let running = starts.into_iter().filter(|it| support::index_of(&it.worker) != lost);
    let running = running.collect::<Vec<_>>();
    let mut again = Vec::new();
    for _ in 0..25 {
        let all = running.iter().chain(&again).cloned().collect::<Vec<_>>();
        pass_with(&mut bench, &all, 4);
        bench.core.set_wall_time(bench.now);
        again.extend(turn_on_record(&mut bench));
    }
    assert_eq!(again.len() + running.len(), 24);
}

/// A job stands still for 2 s more on an idle pool, as other suspects have the workers that are kept for them.
#[test]
fn a_suspect_of_a_standing_job_runs_apart_at_once() {
    let mut bench = support::PoolBench::new(8);
    bench.admit(1, support::job(1, support::tasks(7)));
    bench.admit(2, support::job(1, support::tasks(1)));
    let lost = support::index_of(&bench.run_round_and_start()[0].worker);
    bench.advance(1_000);
    replace(&mut bench, lost);
    let mut starts = turn_on_record(&mut bench);
    for _ in 0..10 {
        pass_with(&mut bench, &starts, 8);
        starts.extend(turn_on_record(&mut bench));
    }
    let standing = starts.iter().find(|it| it.task == first_task(2)).expect("a start");
    assert_eq!(starts.iter().filter(|it| it.worker == standing.worker).count(), 1);
}

/// Suspects run beside others right behind an outage, as if they had waited for workers of their own meanwhile.
#[test]
fn suspects_wait_to_run_apart_behind_an_outage() {
    let mut bench = support::PoolBench::new(3);
    bench.admit(1, support::job(1, support::tasks(5)));
    let starts = bench.run_round_and_start();
    let lost = support::index_of(&starts[0].worker);
    bench.admit(2, support::job(1, support::tasks(8)));
    let mut running = bench.run_round_and_start();
    running.retain(|it| support::index_of(&it.worker) != lost);
    replace(&mut bench, lost);
    let mut n_starts = Vec::new();
    for millis in [5_000, 500, 500, 500, 500, 500] {
        bench.advance(millis);
        pass_with(&mut bench, &running, 3);
        let starts = turn_on_record(&mut bench);
        n_starts.push(starts.iter().filter(|it| it.task.graph == 1).count());
        running.extend(starts);
    }
    assert_eq!(n_starts[..4], [1, 0, 0, 0]);
    assert!(n_starts[4..].iter().sum::<usize>() > 0, "{n_starts:?}");
}

/// What is held against a task outlives the scheduler.
#[test]
fn a_successor_goes_on_counting() {
    let mut bench = support::PoolBench::new(16);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    bench.advance(3_000);
    replace(&mut bench, support::index_of(&start.worker));
    bench.save();

    let mut next = support::PoolBench::new(16);
    next.inherit(1, support::job(1, support::tasks(1)), bench.saved.remove(&1));
    assert_eq!(n_suspects(&next), 1);
    let start = turn_on_record(&mut next).remove(0);
    next.advance(3_000);
    replace(&mut next, support::index_of(&start.worker));
    next.save();
    assert_eq!(next.core.state_of(1).map(|it| it.state), Some(model::GraphState::Failed));
}

/// Symptom: a scheduler that goes while a worker is down under a suspect leaves no trace of that loss. A
/// start on record that no worker tells of counts for the successor, and one that a worker lists does
/// not.
#[test]
fn a_start_on_record_that_nobody_lists_is_counted() {
    let mut bench = support::PoolBench::new(16);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    bench.advance(3_000);
    replace(&mut bench, support::index_of(&start.worker));
    let second = turn_on_record(&mut bench).remove(0);
    let saved = bench.saved.remove(&1).expect("a start on record");
    let n_losses = |bench: &mut support::PoolBench| {
        turn_on_record(bench);
        let rows = bench.saved.remove(&1).map(|it| format!("{it:?}")).unwrap_or_default();
        rows.matches("odds_ppm").count()
    };

    let mut next = support::PoolBench::new(16);
    next.inherit(1, support::job(1, support::tasks(1)), Some(saved.clone()));
    next.run_round();
    assert_eq!(n_losses(&mut next), 2);

    let mut next = support::PoolBench::with_unanswered_workers(16, Duration::from_secs(2_000));
    next.inherit(1, support::job(1, support::tasks(1)), Some(saved));
    let index = support::index_of(&second.worker);
    next.answer_poll(index, &[support::listed_run(&second, 5)], &[]);
    for other in (0..16).filter(|it| *it != index) {
        next.answer_poll(other, &[], &[]);
    }
    let end = support::listed_end(1, &second, order::EndKind::Stopped);
    next.answer_poll(index, &[], &[end]);
    assert_eq!(n_losses(&mut next), 1);
}
