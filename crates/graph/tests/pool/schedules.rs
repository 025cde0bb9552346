//! Job graphs whose steps run several times.

use std::num::NonZeroU32;
use std::time::Duration;

use almondpass_graph::order;
use almondpass_schema::model;

use crate::support;

/// Time of day at which the runs of all tests begin, in milliseconds since 1970.
const FIRST_MS: u64 = 1_900_000_000_000;

/// A bench whose clock of the day shows `FIRST_MS` and `millis` more.
fn set_wall(bench: &mut support::PoolBench, millis: i64) {
    bench.core.set_wall_time(Duration::from_millis(FIRST_MS.saturating_add_signed(millis)));
}

/// A job of `steps` that run three times, two seconds apart.
fn timed(steps: Vec<model::GraphStep>) -> model::GraphRow {
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

fn end(bench: &mut support::PoolBench, number: u64, start: &order::StartOrder) {
    bench.answer_poll(0, &[], &[support::listed_end(number, start, order::EndKind::Done)]);
    bench.save();
}

#[test]
fn a_run_starts_when_it_is_due() {
    let mut bench = support::PoolBench::new(1);
    set_wall(&mut bench, -1);
    bench.admit(1, timed(vec![support::tasks(1)]));
    assert_eq!(bench.run_round_and_start(), []);
    set_wall(&mut bench, 0);
    assert_eq!(names(&bench.run_round_and_start()), ["0000000000000001.0.0.0"]);
    set_wall(&mut bench, 1_999);
    assert_eq!(bench.run_round_and_start(), []);
    // The first run goes on, and the second begins all the same.
    set_wall(&mut bench, 2_000);
    assert_eq!(names(&bench.run_round_and_start()), ["0000000000000001.1.0.0"]);
}

/// Runs that were due while nobody scheduled start at once, the earliest first.
#[test]
fn runs_that_were_missed_are_made_up_for() {
    let mut bench = support::PoolBench::new(1);
    set_wall(&mut bench, 10_000);
    bench.admit(1, timed(vec![support::tasks(1)]));
    let expected = ["0000000000000001.0.0.0", "0000000000000001.1.0.0", "0000000000000001.2.0.0"];
    assert_eq!(names(&bench.run_round_and_start()), expected);
}

/// A step waits for the steps of its own run alone.
#[test]
fn the_steps_of_a_run_follow_each_other() {
    let mut bench = support::PoolBench::new(1);
    set_wall(&mut bench, 2_000);
    let second = model::GraphStep { after: vec![0], ..support::tasks(1) };
    bench.admit(1, timed(vec![support::tasks(1), second]));
    let starts = bench.run_round_and_start();
    assert_eq!(names(&starts), ["0000000000000001.0.0.0", "0000000000000001.1.0.0"]);
    let still = [support::listed_run(&starts[0], 50)];
    bench.answer_poll(0, &still, &[support::listed_end(1, &starts[1], order::EndKind::Done)]);
    assert_eq!(names(&bench.run_round_and_start()), ["0000000000000001.1.1.0"]);
}

/// The job is complete with its last run, also where another scheduler has seen the first ones.
#[test]
fn a_job_is_complete_when_all_runs_are() {
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, timed(vec![support::tasks(1)]));
    for run in 0..2 {
        set_wall(&mut bench, run * 2_000);
        let start = bench.run_round_and_start().remove(0);
        end(&mut bench, run as u64 + 1, &start);
        let state = bench.core.state_of(1).map(|it| it.state);
        assert_eq!(state, Some(model::GraphState::Running));
    }
    let progress = bench.saved.remove(&1);
    let mut successor = support::PoolBench::new(1);
    set_wall(&mut successor, 4_000);
    successor.inherit(1, timed(vec![support::tasks(1)]), progress);
    let start = successor.run_round_and_start().remove(0);
    assert_eq!(start.task.to_string(), "0000000000000001.2.0.0");
    end(&mut successor, 1, &start);
    assert_eq!(successor.core.state_of(1).map(|it| it.state), Some(model::GraphState::Completed));
}
