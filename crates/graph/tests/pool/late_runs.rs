//! Moves of units that are forecast to be late.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{catalog, core, late_runs, order, timing};
use almondpass_schema::model;

use crate::support;
use crate::uneven_workers;

/// Factor of the objective of urgent jobs.
pub(crate) const STRETCH: f64 = 1.5;

/// Factor of the objective of other jobs.
const LONG_STRETCH: f64 = 3.0;

/// Constant part of the objective of all jobs.
pub(crate) const TARGET: Duration = Duration::from_millis(250);

/// A bench whose classes have an objective, with moves of late runs on or off.
pub(crate) fn bench_with(n_workers: usize, moves_late_runs: bool) -> support::PoolBench {
    let mut bench = unanswered_bench(n_workers, moves_late_runs, Duration::ZERO);
    for index in 0..n_workers {
        bench.answer_poll(index, &[], &[]);
    }
    bench
}

/// The same, with workers that have not answered yet. All runs that an earlier scheduler ordered end by
/// `settles_at`.
fn unanswered_bench(
    n_workers: usize,
    move_late_runs: bool,
    settles_at: Duration,
) -> support::PoolBench {
    let class = |priority| catalog::ClassSpec {
        upstream: "analysis".to_owned(),
        priority,
        max_attempts: 3,
        stretch: if priority == 0 { STRETCH } else { LONG_STRETCH },
        target_latency: TARGET,
    };
    let classes = (0..2).map(|it| (format!("class-{it}"), class(it))).collect();
    let start = core::PoolStart {
        epoch: 0,
        timing: timing::PoolTiming::default(),
        scheduling: model::SchedulingSettings {
            move_late_runs,
            ..model::SchedulingSettings::default()
        },
        catalog: Arc::new(catalog::PoolCatalog { classes, ..catalog::PoolCatalog::default() }),
        settles_at,
    };
    let mut bench = support::PoolBench {
        core: core::PoolCore::new(start),
        now: Duration::from_secs(1_000),
        saved: BTreeMap::new(),
    };
    for index in 0..n_workers {
        let entry = support::worker_entry(index);
        bench.core.update_worker(support::worker_id(index), entry, bench.now);
    }
    bench.save();
    bench
}

/// Urgent gang of `n` tasks that need a whole worker each.
pub(crate) fn urgent_gang(n: u32) -> model::GraphRow {
    model::GraphRow { max_attempts: 3, ..support::job(0, support::gang(support::whole_workers(n))) }
}

/// The workers of `starts` list their runs at the given percentages.
pub(crate) fn list(bench: &mut support::PoolBench, starts: &[order::StartOrder], percents: &[u32]) {
    for (start, percent) in starts.iter().zip(percents) {
        let worker = support::index_of(&start.worker);
        bench.answer_poll(worker, &[support::listed_run(start, *percent)], &[]);
    }
}

/// Milliseconds after the start at which `slow_down` has listed the runs for the second time.
const SLOWED_MS: u64 = 1_000;

/// Lists runs that first work at the usual pace of a class of 2.5 s, and then at a tenth of it.
fn slow_down(bench: &mut support::PoolBench, starts: &[order::StartOrder]) {
    for percent in [20, 22] {
        bench.advance(SLOWED_MS / 2);
        list(bench, starts, &vec![percent; starts.len()]);
    }
}

/// Plays a late gang of one on one of two workers up to the order to stop it.
fn moved_run() -> (support::PoolBench, order::StartOrder) {
    let mut bench = bench_with(2, true);
    bench.admit(1, urgent_gang(1));
    let start = bench.run_round_and_start().remove(0);
    slow_down(&mut bench, std::slice::from_ref(&start));
    let stops = support::stops(&bench.run_round());
    assert_eq!(stops.iter().map(|it| it.task).collect::<Vec<_>>(), [start.task]);
    (bench, start)
}

/// Guards against moves back to the worker that is slow now, though it was of the usual speed before.
#[test]
fn a_run_on_a_worker_that_slows_down_starts_again_elsewhere() {
    let (mut bench, start) = moved_run();
    bench.advance(200);
    let end = support::listed_end(1, &start, order::EndKind::Stopped);
    bench.answer_poll(support::index_of(&start.worker), &[], &[end]);
    let restart = bench.run_round_and_start().remove(0);
    assert_ne!(restart.worker, start.worker);
    assert_eq!(restart.attempt, start.attempt + 1);
}

/// Guards against moves off a worker that was slow for a moment only.
#[test]
fn a_run_on_a_worker_that_recovers_stays() {
    let mut bench = bench_with(1, true);
    bench.admit(1, urgent_gang(1));
    let start = bench.run_round_and_start();
    slow_down(&mut bench, &start);
    assert_eq!(support::stops(&bench.run_round()), []);
    bench.advance(500);
    list(&mut bench, &start, &[44]);
    bench.core.update_worker(support::worker_id(1), support::worker_entry(1), bench.now);
    bench.save();
    bench.answer_poll(1, &[], &[]);
    bench.run_round();
    bench.advance(100);
    assert_eq!(support::stops(&bench.run_round()), []);
    assert_eq!(bench.core.take_move_counts().decisions, [late_runs::MoveDecision::NoPlaces]);
}

/// Guards against moves of a run that stands still, which is stopped as stalled 3 s later.
#[test]
fn a_run_that_stands_still_is_not_moved() {
    let mut bench = bench_with(2, true);
    bench.admit(1, urgent_gang(1));
    let starts = bench.run_round_and_start();
    bench.advance(500);
    list(&mut bench, &starts, &[20]);
    for _ in 0..5 {
        bench.advance(500);
        list(&mut bench, &starts, &[20]);
        assert_eq!(support::stops(&bench.run_round()), []);
    }
    bench.advance(500);
    list(&mut bench, &starts, &[20]);
    assert_eq!(support::stops(&bench.run_round()).len(), 1);
    assert_eq!(bench.core.take_move_counts().decisions, []);
}

/// Guards against a second run of a task that has completed before its stop took effect.
#[test]
fn a_run_that_ends_during_its_stop_is_not_repeated() {
    let (mut bench, start) = moved_run();
    bench.advance(200);
    let end = support::listed_end(1, &start, order::EndKind::Done);
    bench.answer_poll(support::index_of(&start.worker), &[], &[end]);
    assert_eq!(support::starts(&bench.run_round()), []);
    bench.save();
    let state = bench.core.state_of(1).map(|it| it.state);
    assert_eq!(state, Some(model::GraphState::Completed));
}

/// Guards against a second run beside the first one, if a successor finds a run whose stop is under way.
#[test]
fn a_takeover_during_a_move_starts_no_second_run() {
    let (former, start) = moved_run();
    let worker = support::index_of(&start.worker);
    let settles_at = former.now + Duration::from_secs(10);
    let mut bench = unanswered_bench(2, true, settles_at);
    bench.now = former.now;
    for index in 0..2 {
        let listing = support::worker_entry(index);
        let (address, upstream) = (listing.address, listing.upstream);
        let worker = support::worker_id(index);
        let entry = model::RosterEntry { worker, address, upstream, on_record: false };
        bench.core.inherit_worker(entry, 0);
    }
    bench.save();
    bench.inherit(1, urgent_gang(1), former.saved.get(&1).cloned());
    bench.answer_poll(1 - worker, &[], &[]);
    assert_eq!(support::starts(&bench.run_round()), []);
    bench.answer_poll(worker, &[support::listed_run(&start, 24)], &[]);
    bench.advance(50);
    assert_eq!(support::starts(&bench.run_round()), []);
    let end = support::listed_end(1, &start, order::EndKind::Stopped);
    bench.answer_poll(worker, &[], &[end]);
    bench.save();
    bench.advance(50);
    let restarts = bench.run_round_and_start();
    assert_eq!(restarts.len(), 1);
    assert!(restarts[0].attempt > start.attempt);
}

/// Guards against moves in a pool all of whose workers turn slow: the work so far would be lost for nothing.
#[test]
fn nothing_moves_in_a_pool_that_turns_slow() {
    let mut bench = bench_with(16, true);
    (1..=8).for_each(|it| bench.admit(it, urgent_gang(1)));
    let starts = bench.run_round_and_start();
    assert_eq!(starts.len(), 8);
    slow_down(&mut bench, &starts);
    for _ in 0..4 {
        assert_eq!(support::stops(&bench.run_round()), []);
        bench.advance(100);
    }
    let decisions = bench.core.take_move_counts().decisions;
    assert_eq!(decisions, [late_runs::MoveDecision::PoolSlow; 8]);
}

/// Guards against a pool that counts as slow because its jobs are late for having waited.
#[test]
fn jobs_that_waited_do_not_make_the_pool_slow() {
    let mut bench = bench_with(16, true);
    (1..=8).for_each(|it| bench.admit(it, urgent_gang(1)));
    bench.advance(2_000);
    let starts = bench.run_round_and_start();
    for percent in [20, 40] {
        bench.advance(500);
        list(&mut bench, &starts, &[percent; 8]);
    }
    assert_eq!(support::stops(&bench.run_round()), []);
    let decisions = bench.core.take_move_counts().decisions;
    assert_eq!(decisions, [late_runs::MoveDecision::StillLate; 4]);
}

/// Guards against many moves at a time, none of which would find the capacity that the others counted on.
#[test]
fn few_units_move_at_a_time() {
    let mut bench = bench_with(24, true);
    (1..=8).for_each(|it| bench.admit(it, urgent_gang(1)));
    let starts = bench.run_round_and_start();
    for percents in [20, 40] {
        bench.advance(500);
        let percents = (0..8).map(|it| if it < 3 { 20 + percents / 20 } else { percents });
        list(&mut bench, &starts, &percents.collect::<Vec<_>>());
    }
    assert_eq!(support::stops(&bench.run_round()).len(), 2);
}

/// Guards against a stop of a late run that then has to wait, or starts on the same worker again.
#[test]
fn nothing_moves_while_no_place_is_free() {
    let mut bench = bench_with(2, true);
    bench.admit(1, urgent_gang(1));
    bench.admit(2, urgent_gang(1));
    let starts = bench.run_round_and_start();
    bench.advance(500);
    list(&mut bench, &starts, &[20, 20]);
    bench.advance(500);
    list(&mut bench, &starts, &[22, 40]);
    assert_eq!(support::stops(&bench.run_round()), []);
    assert_eq!(bench.core.take_move_counts().decisions, [late_runs::MoveDecision::NoPlaces]);
}

/// Guards against moves of a gang by the forecasts of some members, and against a gang that is moved in part.
#[test]
fn a_gang_moves_whole_once_all_its_members_are_known() {
    let mut bench = bench_with(8, true);
    bench.admit(1, urgent_gang(4));
    let starts = bench.run_round_and_start();
    bench.advance(500);
    list(&mut bench, &starts[1..], &[20, 20, 6]);
    assert_eq!(support::stops(&bench.run_round()), []);
    bench.advance(100);
    list(&mut bench, &starts, &[24, 24, 24, 7]);
    assert_eq!(support::stops(&bench.run_round()).len(), 4);
    bench.advance(200);
    for start in &starts {
        let end = support::listed_end(1, start, order::EndKind::Stopped);
        bench.answer_poll(support::index_of(&start.worker), &[], &[end]);
    }
    let restarts = bench.run_round_and_start();
    assert_eq!(restarts.len(), 4);
    assert!(restarts.iter().all(|it| it.attempt == 2 && it.worker != starts[3].worker));
}

/// Whether a task keeps off the worker of a run that takes seven times as long as usual.
fn is_long_run_avoided(moves_late_runs: bool) -> bool {
    let mut bench = bench_with(2, moves_late_runs);
    for graph in 1..=8 {
        bench.admit(graph, support::job(1, support::tasks(1)));
    }
    let starts = bench.run_round_and_start();
    bench.advance(2_500);
    for worker in 0..2 {
        let ends = starts.iter().filter(|it| support::index_of(&it.worker) == worker).zip(1..);
        let ends = ends.map(|(it, number)| support::listed_end(number, it, order::EndKind::Done));
        bench.answer_poll(worker, &[], &ends.collect::<Vec<_>>());
    }
    bench.save();
    bench.admit(9, support::job(1, support::tasks(1)));
    let long = bench.run_round_and_start();
    for percent in [5, 10] {
        bench.advance(900);
        list(&mut bench, &long, &[percent]);
        let other = 1 - support::index_of(&long[0].worker);
        bench.answer_poll(other, &[], &[]);
    }
    bench.admit(10, support::job(1, support::tasks(1)));
    let next = bench.run_round_and_start();
    next[0].worker != long[0].worker
}

/// Guards against workers that count as slow for a run that is long by its own work.
#[test]
fn a_long_run_marks_its_worker_slow_only_without_forecasts() {
    assert!(is_long_run_avoided(false));
    assert!(!is_long_run_avoided(true));
}

/// Jobs of urgent gangs on workers of three speeds, polled as rarely as in a pool of 350 workers.
const UNEVEN_LOAD: uneven_workers::UnevenLoad = uneven_workers::UnevenLoad {
    n_workers: 48,
    speeds: [0.6, 1.0, 1.6],
    jobs_per_second: 1.0,
    seconds: 160,
    poll_interval: Duration::from_millis(1_750),
    moves_late_runs: false,
    seed: 0,
};

/// Tallies of several seeds, added up.
fn play(load: uneven_workers::UnevenLoad) -> uneven_workers::UnevenTally {
    let mut sum = uneven_workers::UnevenTally::default();
    for seed in 0..4 {
        let tally = uneven_workers::simulate(uneven_workers::UnevenLoad { seed, ..load });
        sum.n_counted += tally.n_counted;
        sum.n_in_time += tally.n_in_time;
        sum.n_moved += tally.n_moved;
        sum.n_early_polls += tally.n_early_polls;
    }
    sum
}

/// Guards against urgent gangs that are late beside free faster workers.
#[test]
fn more_gangs_are_in_time_on_uneven_workers_with_moves() {
    let without = play(UNEVEN_LOAD);
    let with = play(uneven_workers::UnevenLoad { moves_late_runs: true, ..UNEVEN_LOAD });
    println!("without moves: {without:?}; with moves: {with:?}");
    assert_eq!(without.n_counted, with.n_counted);
    assert!(100 * with.n_in_time >= 100 * without.n_in_time + 3 * with.n_counted);
}

/// Guards against moves of jobs that are long by their own work.
#[test]
fn hardly_a_gang_moves_on_even_workers() {
    let speeds = [1.0; 3];
    let load = uneven_workers::UnevenLoad { moves_late_runs: true, speeds, ..UNEVEN_LOAD };
    let tally = play(load);
    println!("{tally:?}");
    assert_eq!(tally.n_moved, 0);
}
