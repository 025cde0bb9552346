//! How often idle workers are polled.

use std::time::Duration;

use crate::support;

/// A pool of idle workers whose entries were read just now.
fn idle_pool(n_workers: usize) -> support::PoolBench {
    let mut bench = support::PoolBench::new(n_workers);
    bench.core.note_list_read(bench.now);
    for index in 0..n_workers {
        bench.core.note_entry_read(&support::worker_id(index));
    }
    bench
}

fn idle_delay(bench: &support::PoolBench) -> Duration {
    bench.core.idle_poll_delay(&support::worker_id(0), bench.now)
}

/// Guards against polls of idle workers that grow with the pool until they take the whole holder.
#[test]
fn idle_workers_of_a_large_pool_are_polled_rarely() {
    for (n_workers, delay_ms) in
        [(48, 0), (500, 0), (1_000, 4_000), (6_000, 24_000), (12_000, 25_000)]
    {
        assert_eq!(
            idle_delay(&idle_pool(n_workers)),
            Duration::from_millis(delay_ms),
            "{n_workers}"
        );
    }
}

/// Guards against a worker that is taken for idle and up although nothing shows that it is.
#[test]
fn a_worker_without_a_fresh_entry_is_polled_at_once() {
    let mut bench = idle_pool(1_000);
    bench.advance(4_000);
    assert!(!idle_delay(&bench).is_zero());
    bench.advance(1_000);
    assert!(idle_delay(&bench).is_zero());
}

/// Guards against a run whose lease lapses as its worker is taken for idle.
#[test]
fn a_worker_with_a_run_is_polled_at_once() {
    let mut bench = idle_pool(1_000);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    assert!(bench.core.idle_poll_delay(&start.worker, bench.now).is_zero());
    let other = (0..2).map(support::worker_id).find(|it| *it != start.worker).expect("another");
    assert!(!bench.core.idle_poll_delay(&other, bench.now).is_zero());
}

/// Guards against idle workers that get no tasks because they were polled long ago.
#[test]
fn a_worker_that_was_polled_long_ago_gets_tasks_by_its_entry() {
    let mut bench = idle_pool(1_000);
    bench.advance(20_000);
    bench.core.note_list_read(bench.now);
    bench.core.note_entry_read(&support::worker_id(7));
    bench.admit(1, support::job(1, support::tasks(1)));
    let starts = support::starts(&bench.run_round());
    assert_eq!(
        starts.iter().map(|it| it.worker.clone()).collect::<Vec<_>>(),
        [support::worker_id(7)]
    );
}
