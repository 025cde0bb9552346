//! What has to be durable before an end is acknowledged to its worker, which then forgets it.

use almondpass_graph::order;

use crate::support;

/// The worker of a start lists the end of its run.
fn list_end(
    bench: &mut support::PoolBench,
    start: &order::StartOrder,
    number: u64,
    how: order::EndKind,
) {
    let end = support::listed_end(number, start, how);
    bench.answer_poll(support::index_of(&start.worker), &[], &[end]);
}

/// Guards against ends of which nobody can see that they were reported beside another run.
#[test]
fn a_task_that_is_done_beside_another_run_is_counted() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::tasks(1)));
    let first = bench.run_round_and_start().remove(0);
    bench.core.next_poll(&first.worker, bench.now);
    bench.core.poll_missed(&first.worker);
    bench.advance(8_000);
    bench.answer_poll(1 - support::index_of(&first.worker), &[], &[]);
    let second = bench.run_round_and_start().remove(0);
    assert_ne!(second.worker, first.worker);
    assert_eq!(bench.core.take_end_counts().n_done_beside_others, 0);
    list_end(&mut bench, &first, 1, order::EndKind::Done);
    assert_eq!(bench.core.take_end_counts().n_done_beside_others, 1);
}
