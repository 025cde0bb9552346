//! Failures of tasks, and how often a task may fail.

use std::time::Duration;

use almondpass_graph::order;
use almondpass_schema::model;

use crate::support;

/// Symptom: a task was started a third time although two failures, the most allowed, were listed.
/// Sequence: attempt 1 fails on a worker that is cut off; its lease lapses, attempt 2 fails
/// elsewhere and is counted; the first worker comes back and lists its failure.
/// Cause: only failures of higher attempts than the last one counted.
#[test]
fn failures_count_in_whatever_order_they_are_listed() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::tasks(1)));
    let first = bench.run_round_and_start().remove(0);
    let cut_off = support::index_of(&first.worker);
    let other = 1 - cut_off;
    bench.core.poll_missed(&first.worker);
    bench.advance(8_000);
    bench.answer_poll(other, &[], &[]);
    let second = bench.run_round_and_start().remove(0);
    bench.answer_poll(other, &[], &[support::listed_end(1, &second, order::EndKind::Failed)]);
    bench.core.take_orders();

    bench.answer_poll(cut_off, &[], &[support::listed_end(1, &first, order::EndKind::Failed)]);

    assert_eq!(support::starts(&bench.run_round()), []);
    bench.save();
    let shown = bench.core.state_of(1).map(|it| (it.state, it.account, it.failure));
    let cause = Some(model::FailureCause::Attempts);
    assert_eq!(shown, Some((model::GraphState::Failed, Some("lab"), cause)));
}

/// Symptom: a job is shown as failed after one failure. Sequence: a scheduler saves the failure
/// and is replaced before it has acknowledged the end; the next one is listed the same end again.
#[test]
fn a_failure_that_is_listed_to_two_schedulers_counts_once() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::tasks(1)));
    let first = bench.run_round_and_start().remove(0);
    let failed = support::listed_end(1, &first, order::EndKind::Failed);
    let worker = support::index_of(&first.worker);
    bench.answer_poll(worker, &[], std::slice::from_ref(&failed));
    bench.save();

    let mut next = support::PoolBench::with_unanswered_workers(2, Duration::ZERO);
    next.core.admit(
        almondpass_graph::intake::AdmittedJob {
            graph: 1,
            row: support::job(1, support::tasks(1)),
            version: 1,
            origin: almondpass_graph::intake::JobOrigin::Load,
            progress: bench.saved.remove(&1).expect("a failure to save"),
            inherited: true,
        },
        next.now,
    );
    next.answer_poll(worker, &[], &[failed]);
    next.answer_poll(1 - worker, &[], &[]);

    assert_eq!(support::starts(&next.run_round()).len(), 1);
}
