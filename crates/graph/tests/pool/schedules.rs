//! Timed jobs: job graphs whose steps run several times.

use std::num::NonZeroU32;
use std::time::Duration;

use almondpass_graph::order;
use almondpass_schema::model;

use crate::support;

/// Wall-clock time at which the first run of every test is due, in milliseconds since 1970.
const FIRST_MS: u64 = 1_900_000_000_000;

/// Sets the wall clock to `millis` after `FIRST_MS`.
fn set_wall_after_first(bench: &mut support::PoolBench, millis: i64) {
    bench.core.set_wall_time(Duration::from_millis(FIRST_MS.saturating_add_signed(millis)));
}

/// A job whose `steps` run three times, two seconds apart.
fn timed_job(steps: Vec<model::GraphStep>) -> model::GraphRow {
    let mut row = support::job(1, support::tasks(1));
    row.graph.steps = steps;
    row.graph.schedule = Some(model::RunSchedule {
        runs: NonZeroU32::new(3).unwrap(),
        first_ms: FIRST_MS,
        interval_ms: 2_000,
    });
    row
}

fn names(starts: &[order::StartOrder]) -> Vec<String> {
    starts.iter().map(|it| it.task.to_string()).collect()
}

fn complete(bench: &mut support::PoolBench, number: u64, start: &order::StartOrder) {
    bench.answer_poll(0, &[], &[support::listed_end(number, start, order::EndKind::Done)]);
    bench.save();
}

#[test]
fn a_run_starts_when_it_is_due() {
    let mut bench = support::PoolBench::new(1);
    set_wall_after_first(&mut bench, -1);
    bench.admit(1, timed_job(vec![support::tasks(1)]));
    assert_eq!(bench.run_round_and_start(), []);
    set_wall_after_first(&mut bench, 0);
    assert_eq!(names(&bench.run_round_and_start()), ["0000000000000001.0.0.0"]);
    set_wall_after_first(&mut bench, 1_999);
    assert_eq!(bench.run_round_and_start(), []);
    // The first run is still in progress; the second starts all the same.
    set_wall_after_first(&mut bench, 2_000);
    assert_eq!(names(&bench.run_round_and_start()), ["0000000000000001.1.0.0"]);
}

/// Runs that became due without a scheduler start at once, the earliest first.
#[test]
fn missed_runs_start_at_once() {
    let mut bench = support::PoolBench::new(1);
    set_wall_after_first(&mut bench, 10_000);
    bench.admit(1, timed_job(vec![support::tasks(1)]));
    let expected = ["0000000000000001.0.0.0", "0000000000000001.1.0.0", "0000000000000001.2.0.0"];
    assert_eq!(names(&bench.run_round_and_start()), expected);
}

/// A step waits only for steps of its own run.
#[test]
fn steps_wait_only_for_steps_of_their_run() {
    let mut bench = support::PoolBench::new(1);
    set_wall_after_first(&mut bench, 2_000);
    let second = model::GraphStep { after: vec![0], ..support::tasks(1) };
    bench.admit(1, timed_job(vec![support::tasks(1), second]));
    let starts = bench.run_round_and_start();
    assert_eq!(names(&starts), ["0000000000000001.0.0.0", "0000000000000001.1.0.0"]);
    let still = [support::listed_run(&starts[0], 50)];
    bench.answer_poll(0, &still, &[support::listed_end(1, &starts[1], order::EndKind::Done)]);
    assert_eq!(names(&bench.run_round_and_start()), ["0000000000000001.1.1.0"]);
}

/// A job is complete after its last run, also if an earlier scheduler completed the first runs.
#[test]
fn a_job_is_complete_when_all_runs_are() {
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, timed_job(vec![support::tasks(1)]));
    for run in 0..2 {
        set_wall_after_first(&mut bench, run * 2_000);
        let start = bench.run_round_and_start().remove(0);
        complete(&mut bench, run as u64 + 1, &start);
        let state = bench.core.state_of(1).map(|it| it.state);
        assert_eq!(state, Some(model::GraphState::Running));
    }
    let progress = bench.saved.remove(&1);
    let mut successor = support::PoolBench::new(1);
    set_wall_after_first(&mut successor, 4_000);
    successor.inherit(1, timed_job(vec![support::tasks(1)]), progress);
    let start = successor.run_round_and_start().remove(0);
    assert_eq!(start.task.to_string(), "0000000000000001.2.0.0");
    complete(&mut successor, 1, &start);
    assert_eq!(successor.core.state_of(1).map(|it| it.state), Some(model::GraphState::Completed));
}
