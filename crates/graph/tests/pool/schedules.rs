//! Timed jobs: job graphs whose steps run several times.

use std::num::NonZeroU32;
use std::ops::Range;
use std::time::Duration;

use almondpass_graph::{order, progress};
use almondpass_schema::model;

use crate::support;

/// Wall-clock time at which the first run of every test is due, in milliseconds since 1970.
const FIRST_MS: u64 = 1_900_000_000_000;

/// Sets the wall clock to `millis` after `FIRST_MS`.
fn set_wall_after_first(bench: &mut support::PoolBench, millis: i64) {
    bench.core.set_wall_time(Duration::from_millis(FIRST_MS.saturating_add_signed(millis)));
}

/// Interval between two runs, in milliseconds.
const INTERVAL_MS: u64 = 2_000;

/// Number of runs of a job that checks something each ten minutes for 120 days.
const N_MANY_RUNS: u32 = 17_280;

/// A job whose `steps` run three times, two seconds apart.
fn timed_job(steps: Vec<model::GraphStep>) -> model::GraphRow {
    timed_job_with_runs(3, steps)
}

/// A job whose `steps` run `n_runs` times, two seconds apart.
fn timed_job_with_runs(n_runs: u32, steps: Vec<model::GraphStep>) -> model::GraphRow {
    let mut row = support::job(1, support::tasks(1));
    row.graph.steps = steps;
    row.graph.schedule = Some(model::RunSchedule {
        runs: NonZeroU32::new(n_runs).unwrap(),
        first_ms: FIRST_MS,
        interval_ms: INTERVAL_MS,
    });
    row
}

/// Sets the wall clock to the time at which a run is due.
fn set_wall_at_run(bench: &mut support::PoolBench, run: u32) {
    set_wall_after_first(bench, i64::from(run) * INTERVAL_MS as i64);
}

fn n_task_records(bench: &support::PoolBench) -> usize {
    bench.core.summary().n_task_records
}

/// Starts the only task of each of the `runs` when it is due, and lists its successful end.
fn complete_runs(bench: &mut support::PoolBench, runs: Range<u32>) {
    for run in runs {
        set_wall_at_run(bench, run);
        let start = bench.run_round_and_start().remove(0);
        assert_eq!(start.task.occurrence, run);
        complete(bench, u64::from(run) + 1, &start);
    }
}

/// The start that a scheduler would order for the only task of a run.
fn start_of_run(bench: &mut support::PoolBench, run: u32) -> order::StartOrder {
    set_wall_at_run(bench, run);
    let starts = bench.run_round_and_start();
    starts.into_iter().find(|it| it.task.occurrence == run).unwrap()
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

/// Guards against a scheduler that is killed for its memory: jobs with many runs were accepted, and each task of
/// each run had a record from the beginning.
#[test]
fn runs_that_are_not_due_have_no_records() {
    let mut bench = support::PoolBench::new(4);
    set_wall_after_first(&mut bench, -600_000);
    for graph in 1..=24 {
        bench.admit(graph, timed_job_with_runs(N_MANY_RUNS, vec![support::tasks(1)]));
    }
    assert_eq!(bench.run_round_and_start(), []);
    assert_eq!(n_task_records(&bench), 0);
    set_wall_after_first(&mut bench, 0);
    assert_eq!(bench.run_round_and_start().len(), 24);
    assert_eq!(n_task_records(&bench), 24);
    assert!((1..=24).all(|it| bench.core.state_of(it).is_some()));
}

/// Guards against the same in the course of the runs, and after a takeover.
#[test]
fn runs_that_are_done_keep_no_records() {
    const N_DONE: u32 = 200;
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, timed_job_with_runs(N_MANY_RUNS, vec![support::tasks(1)]));
    complete_runs(&mut bench, 0..N_DONE);
    assert_eq!(n_task_records(&bench), 0);
    assert_eq!(bench.core.state_of(1).map(|it| it.state), Some(model::GraphState::Running));

    let progress = bench.saved.remove(&1);
    let mut successor = support::PoolBench::new(1);
    successor.inherit(1, timed_job_with_runs(N_MANY_RUNS, vec![support::tasks(1)]), progress);
    assert_eq!(n_task_records(&successor), 0);
    set_wall_at_run(&mut successor, N_DONE);
    let start = successor.run_round_and_start().remove(0);
    assert_eq!(start.task.occurrence, N_DONE);
    assert_eq!(n_task_records(&successor), 1);
}

/// Starts and completes all tasks of job 1 on eight workers, with at most `max_records` task records at a time.
/// Returns the number of starts.
fn complete_job(bench: &mut support::PoolBench, max_records: usize) -> usize {
    let mut n_started = 0;
    let mut numbers = [0; 8];
    while bench.core.state_of(1).map(|it| it.state) != Some(model::GraphState::Completed) {
        let starts = bench.run_round_and_start();
        assert!(!starts.is_empty(), "stands still after {n_started} starts");
        assert!(n_task_records(bench) <= max_records);
        n_started += starts.len();
        for (worker, number) in numbers.iter_mut().enumerate() {
            let of_worker = starts.iter().filter(|it| it.worker == support::worker_id(worker));
            let ends = of_worker.map(|it| {
                *number += 1;
                support::listed_end(*number, it, order::EndKind::Done)
            });
            let ends = ends.collect::<Vec<_>>();
            bench.answer_poll(worker, &[], &ends);
        }
        bench.save();
    }
    n_started
}

/// Guards against the same where all runs are due at once, as their times have passed.
#[test]
fn overdue_runs_have_a_bounded_number_of_records() {
    const N_RUNS: u32 = 5_000;
    let mut bench = support::PoolBench::new(8);
    set_wall_at_run(&mut bench, N_RUNS);
    bench.admit(1, timed_job_with_runs(N_RUNS, vec![support::tasks(1)]));
    let n_started = complete_job(&mut bench, 4_096);
    assert_eq!(n_started, N_RUNS as usize);
}

/// Guards against a run that is stopped, and its end that is lost, after a takeover by an instance whose clock is
/// behind: the run is not due by that clock, so it has no record yet.
#[test]
fn a_run_that_a_worker_lists_is_adopted_before_it_is_due() {
    let row = || timed_job_with_runs(N_MANY_RUNS, vec![support::tasks(1)]);
    let mut former = support::PoolBench::new(2);
    former.admit(1, row());
    let first = start_of_run(&mut former, 0);
    let second = start_of_run(&mut former, 1);

    let mut successor = support::PoolBench::with_unanswered_workers(1, Duration::ZERO);
    set_wall_after_first(&mut successor, -1_000);
    successor.inherit(1, row(), None);
    let listed_end = support::listed_end(1, &first, order::EndKind::Done);
    successor.answer_poll(0, &[support::listed_run(&second, 50)], &[listed_end]);
    assert_eq!(successor.run_round(), []);
    successor.save();
    set_wall_at_run(&mut successor, 1);
    assert_eq!(successor.run_round_and_start(), []);
    assert_eq!(successor.core.summary().n_running, 1);
}

/// Guards against a task that is given up too early or too late: what a former scheduler could not save of a run
/// is told before the run is due by the clock of its successor.
#[test]
fn losses_of_a_run_are_merged_before_it_is_due() {
    let mut bench = support::PoolBench::new(1);
    set_wall_after_first(&mut bench, -1_000);
    bench.inherit(1, timed_job_with_runs(N_MANY_RUNS, vec![support::tasks(1)]), None);
    let loss = model::WorkerLoss {
        attempt: 1,
        odds_ppm: 10_000,
        surroundings_ppm: 10_000,
        struck_ms: None,
    };
    let losses = vec![model::TaskLosses { task: 0, losses: vec![loss], survived_ms: None }];
    let told = model::UnsavedSuspicions {
        graph: 1,
        first_step: 1,
        steps: vec![model::StepSuspicions { losses, trials: Vec::new(), settled: Vec::new() }],
    };
    bench.core.merge_suspicions(told, bench.now);
    assert_eq!(bench.core.summary().n_suspects, 1);
}

/// Guards against a job that counts as complete as none of its runs has a record.
#[test]
fn a_job_without_due_runs_is_not_complete() {
    let mut bench = support::PoolBench::new(1);
    set_wall_after_first(&mut bench, -1);
    bench.admit(1, timed_job(vec![support::tasks(1)]));
    bench.run_round();
    assert_eq!(bench.core.state_of(1).map(|it| it.state), Some(model::GraphState::Pending));
    complete_runs(&mut bench, 0..1);
    let progress = bench.saved.remove(&1);
    let mut successor = support::PoolBench::new(1);
    successor.inherit(1, timed_job(vec![support::tasks(1)]), progress);
    let state = successor.core.state_of(1).map(|it| it.state);
    assert_eq!(state, Some(model::GraphState::Running));
}

/// Progress of a step of one task.
fn step_progress(is_done: bool) -> model::StepProgress {
    model::StepProgress {
        done: is_done.then_some(0).into_iter().collect(),
        failures: Vec::new(),
        attempts: Vec::new(),
        checkpoints: Vec::new(),
        losses: Vec::new(),
        trials: Vec::new(),
    }
}

fn running_row(first_step: u32, steps: Vec<model::StepProgress>) -> model::ProgressRow {
    let state = model::GraphState::Running;
    model::ProgressRow { state, failure: None, first_step, steps }
}

/// Guards against done runs that a successor starts again: their records were dropped before the row was written
/// for a later run.
#[test]
fn rows_list_done_runs_without_records() {
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, timed_job_with_runs(N_MANY_RUNS, vec![support::tasks(1)]));
    complete_runs(&mut bench, 0..70);
    let mut expected = progress::SavedChunks::default();
    expected.insert(0, running_row(0, vec![step_progress(true); 64]));
    expected.insert(1, running_row(64, vec![step_progress(true); 6]));
    assert_eq!(bench.saved.get(&1), Some(&expected));
}

/// Guards against runs that start again, or never, after a takeover from an earlier release, whose rows list the
/// steps of all runs of a chunk.
#[test]
fn rows_that_list_runs_that_are_not_due_are_read() {
    let mut steps = vec![step_progress(true); 10];
    steps.resize(64, step_progress(false));
    let mut saved = progress::SavedChunks::default();
    saved.insert(0, running_row(0, steps));
    let mut bench = support::PoolBench::new(1);
    bench.inherit(1, timed_job_with_runs(N_MANY_RUNS, vec![support::tasks(1)]), Some(saved));
    assert_eq!(n_task_records(&bench), 0);
    complete_runs(&mut bench, 10..80);
    assert_eq!(n_task_records(&bench), 0);
}

/// Guards against tasks that are missing in the rows, or keep their records: steps lie across two chunks.
#[test]
fn steps_across_chunks_are_saved_and_keep_no_records() {
    let row = || {
        let second = model::GraphStep { after: vec![0], ..support::tasks(30) };
        timed_job(vec![support::tasks(40), second])
    };
    let mut bench = support::PoolBench::new(8);
    set_wall_at_run(&mut bench, 3);
    bench.admit(1, row());
    assert_eq!(complete_job(&mut bench, 210), 210);
    assert_eq!(n_task_records(&bench), 0);
    let progress = bench.saved.remove(&1);
    let mut successor = support::PoolBench::new(1);
    successor.inherit(1, row(), progress);
    assert_eq!(n_task_records(&successor), 0);
    assert_eq!(successor.core.state_of(1).map(|it| it.state), Some(model::GraphState::Completed));
}
