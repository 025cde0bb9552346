//! Limits of the moves of late units.

use almondpass_graph::{late_runs, order};
use almondpass_schema::model;

use crate::late_runs as tests;
use crate::support;

/// Number of moves of a job that is slow on each worker.
fn n_moves(max_attempts: u32) -> usize {
    let mut bench = tests::bench_with(12, true);
    bench.admit(1, model::GraphRow { max_attempts, ..tests::urgent_gang(1) });
    let mut n_moves = 0;
    // Each attempt seems to have more work than the one before, so that the next one would be in time.
    for attempt in 0..5 {
        let start = bench.run_round_and_start();
        for percent in [20 >> attempt, (20 >> attempt) + 2] {
            bench.advance(500);
            tests::list(&mut bench, &start, &[percent]);
        }
        if support::stops(&bench.run_round()).is_empty() {
            break;
        }
        n_moves += 1;
        bench.advance(100);
        let end = support::listed_end(attempt + 1, &start[0], order::EndKind::Stopped);
        bench.answer_poll(support::index_of(&start[0].worker), &[], &[end]);
    }
    let decisions = bench.core.take_move_counts().decisions;
    assert_eq!(decisions.last(), Some(&late_runs::MoveDecision::NoMovesLeft));
    n_moves
}

macro_rules! move_limits {
    ($($name:ident: $max_attempts:expr => $n_moves:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(n_moves($max_attempts), $n_moves);
        })*
    };
}

move_limits! {
    a_unit_with_one_attempt_stays: 1 => 0;
    a_unit_keeps_an_attempt_in_reserve: 2 => 1;
    a_unit_moves_at_most_twice: 9 => 2;
}

/// Number of stops of a late gang that has run for longer than its work takes, whose step saves checkpoints or does not.
fn n_stops_of_old_run(checkpoint: Option<&str>) -> usize {
    let mut bench = tests::bench_with(2, true);
    let whole = support::whole_workers(1);
    let step = support::gang(model::GraphStep { saves: checkpoint.is_some(), ..whole });
    bench.admit(1, model::GraphRow { max_attempts: 3, ..support::job(1, step) });
    let start = bench.run_round_and_start().remove(0);
    for (millis, percent) in [(500, 20), (1_000, 40), (1_300, 52), (400, 53)] {
        bench.advance(millis);
        let mut run = support::listed_run(&start, percent);
        run.checkpoint = checkpoint.map(|it| it.into());
        bench.answer_poll(support::index_of(&start.worker), &[run], &[]);
    }
    support::stops(&bench.run_round()).len()
}

/// Guards against moves that throw away more work than the caller gains.
#[test]
fn an_old_run_moves_only_if_its_work_is_saved() {
    assert_eq!(n_stops_of_old_run(None), 0);
    assert_eq!(n_stops_of_old_run(Some("checkpoint")), 1);
}
