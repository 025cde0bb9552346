//! Polls of workers for the first reading of young urgent runs.

use almondpass_graph::order;

use crate::late_runs;

fn n_polls(orders: &[order::PoolOrder]) -> usize {
    orders.iter().filter(|it| matches!(it, order::PoolOrder::Poll { .. })).count()
}

/// Guards against readings that come when most of a short run is over.
#[test]
fn a_young_urgent_run_is_polled_once() {
    let mut bench = late_runs::bench_with(1, true);
    bench.admit(1, late_runs::urgent_gang(1));
    bench.run_round_and_start();
    // A quarter of the run time of 5 s that is assumed for an unknown class.
    bench.advance(1_200);
    assert_eq!(n_polls(&bench.run_round()), 0);
    bench.advance(50);
    assert_eq!(n_polls(&bench.run_round()), 1);
    bench.advance(50);
    assert_eq!(n_polls(&bench.run_round()), 0);
}

/// Guards against more polls than a small instance carries, if many urgent runs start at once.
#[test]
fn early_polls_are_bounded() {
    let mut bench = late_runs::bench_with(60, true);
    (1..=60).for_each(|it| bench.admit(it, late_runs::urgent_gang(1)));
    let mut n_started = 0;
    while n_started < 60 {
        n_started += bench.run_round_and_start().len();
    }
    bench.advance(1_250);
    assert_eq!(n_polls(&bench.run_round()), 25);
    bench.advance(200);
    assert_eq!(n_polls(&bench.run_round()), 5);
}
