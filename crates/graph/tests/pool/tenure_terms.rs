//! What a scheduler may conclude once its tenure is no longer exclusive.

use std::time::Duration;

use almondpass_graph::order;
use almondpass_schema::model;

use crate::support;

/// A task runs on a worker that stops answering right after the start. Returns the bench and the start.
fn bench_with_silent_worker() -> (support::PoolBench, order::StartOrder) {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    bench.core.poll_missed(&start.worker);
    (bench, start)
}

/// Starts of the next round, in which the other worker answers.
fn next_starts(
    bench: &mut support::PoolBench,
    start: &order::StartOrder,
) -> Vec<order::StartOrder> {
    bench.answer_poll(1 - support::index_of(&start.worker), &[], &[]);
    support::starts(&bench.run_round())
}

/// Guards against two runs at once: a successor has extended a lease that lapsed by the count of its predecessor,
/// who reaches neither the store nor the worker.
#[test]
fn a_lease_that_a_successor_may_have_extended_is_not_over() {
    let (mut bench, start) = bench_with_silent_worker();
    bench.core.set_exclusive_until(bench.now + Duration::from_secs(2));
    bench.advance(60_000);

    assert_eq!(next_starts(&mut bench, &start), []);
    assert_eq!(bench.core.take_loss_counts().evidence, []);
}

/// Guards against a task that never starts again: the tenure was renewed, so nobody has extended the lease.
#[test]
fn a_lapsed_lease_is_over_once_the_tenure_is_renewed() {
    let (mut bench, start) = bench_with_silent_worker();
    bench.core.set_exclusive_until(bench.now + Duration::from_secs(2));
    bench.advance(60_000);
    assert_eq!(next_starts(&mut bench, &start), []);

    bench.core.set_exclusive_until(bench.now + Duration::from_secs(2));
    bench.advance(100);

    assert_eq!(next_starts(&mut bench, &start).len(), 1);
}

/// Guards against work that stands still through an outage of the store, although its lease had lapsed before any
/// successor could have extended it.
#[test]
fn a_lease_that_lapsed_within_the_term_is_over_after_the_term() {
    let (mut bench, start) = bench_with_silent_worker();
    bench.core.set_exclusive_until(bench.now + Duration::from_secs(8));
    bench.advance(9_000);

    assert_eq!(next_starts(&mut bench, &start).len(), 1);
}

/// Guards against two runs at once: a successor continues the run of an earlier scheduler on a worker that this one has
/// never reached.
#[test]
fn an_inherited_job_does_not_settle_by_time_beside_a_successor() {
    let mut bench = support::PoolBench::with_unanswered_workers(1, Duration::from_secs(1_010));
    let unreached = support::worker_entry(1);
    let saved = model::RosterEntry {
        worker: support::worker_id(1),
        address: unreached.address.clone(),
        upstream: unreached.upstream.clone(),
        on_record: false,
    };
    bench.core.inherit_worker(saved, 0);
    bench.core.update_worker(support::worker_id(1), unreached, bench.now);
    bench.save();
    bench.inherit(1, support::job(1, support::tasks(1)), None);
    bench.answer_poll(0, &[], &[]);
    bench.core.set_exclusive_until(bench.now + Duration::from_secs(2));
    bench.advance(20_000);
    bench.answer_poll(0, &[], &[]);
    assert_eq!(support::starts(&bench.run_round()), []);

    bench.core.set_exclusive_until(bench.now + Duration::from_secs(2));

    assert_eq!(support::starts(&bench.run_round()).len(), 1);
}

/// Guards against two runs at once: a worker that has restarted has not seen the fencing token of the successor, which
/// has started the task elsewhere.
#[test]
fn nothing_starts_on_a_worker_that_has_restarted_beside_a_successor() {
    let mut bench = support::PoolBench::new(1);
    bench.core.set_exclusive_until(bench.now + Duration::from_secs(2));
    bench.advance(3_000);
    let restarted = order::PollReply { clock_ms: 1, complete: true, ..order::PollReply::default() };
    bench.core.poll_answered(&support::worker_id(0), restarted, bench.now, bench.now);
    bench.admit(1, support::job(1, support::tasks(1)));
    assert_eq!(support::starts(&bench.run_round()), []);

    bench.core.set_exclusive_until(bench.now + Duration::from_secs(2));

    assert_eq!(support::starts(&bench.run_round()).len(), 1);
}

/// Guards against a start after a noted success: the run has ended under a successor before its worker restarted, and
/// only the later incarnation answers this scheduler.
#[test]
fn a_run_that_a_restarted_worker_does_not_list_may_be_done_under_a_successor() {
    let (mut bench, start) = bench_with_silent_worker();
    bench.core.set_exclusive_until(bench.now + Duration::from_secs(2));
    bench.advance(4_000);
    let restarted = order::PollReply { clock_ms: 1, complete: true, ..order::PollReply::default() };
    bench.core.poll_answered(&start.worker, restarted.clone(), bench.now, bench.now);
    bench.advance(100);
    let later = order::PollReply { clock_ms: 101, ..restarted };
    bench.core.poll_answered(&start.worker, later, bench.now, bench.now);
    bench.save();

    assert_eq!(next_starts_saved(&mut bench, &start), []);
}

/// Guards against a start after a noted success: the run has ended under a successor before another worker took the
/// address of its worker.
#[test]
fn a_run_on_a_replaced_worker_may_be_done_under_a_successor() {
    let (mut bench, start) = bench_with_silent_worker();
    bench.core.set_exclusive_until(bench.now + Duration::from_secs(2));
    bench.advance(4_000);
    support::replace_worker(&mut bench, support::index_of(&start.worker));

    assert_eq!(next_starts_saved(&mut bench, &start), []);
}

/// Starts of the next rounds, in which the other worker answers and all rows are saved.
fn next_starts_saved(
    bench: &mut support::PoolBench,
    start: &order::StartOrder,
) -> Vec<order::StartOrder> {
    let first = next_starts(bench, start);
    bench.save();
    first.into_iter().chain(next_starts(bench, start)).collect()
}
