//! Stops, and starts that may or may not have taken effect.

use almondpass_graph::order;
use almondpass_schema::model;

use crate::support;

/// Failure: a gang never started again although most workers were free. The start of one member has no
/// answer, the gang is stopped, and the worker answers the stop of that member. The stop is sent again
/// before the answer to a later poll arrives. Sending it again cleared the recorded answer, and a poll
/// of a busy worker takes as long as the wait until the next stop.
#[test]
fn an_answered_stop_settles_a_start_without_an_answer() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::gang(support::whole_workers(2))));
    let starts = support::starts(&bench.run_round());
    bench.confirm_start(&starts[0]);
    bench.core.start_answered(&starts[1], order::StartAnswer::Unknown, bench.now);
    // The core records the time every 40 ms.
    bench.advance(50);
    let stops = support::stops(&bench.run_round());
    assert_eq!(stops.len(), 2);
    for stop in &stops {
        bench.core.stop_answered(stop, true, bench.now);
    }
    let confirmed_worker = support::index_of(&starts[0].worker);
    let unconfirmed_worker = support::index_of(&starts[1].worker);
    bench.answer_poll(
        confirmed_worker,
        &[],
        &[support::listed_end(1, &starts[0], order::EndKind::Stopped)],
    );
    let sent_before_stop = bench.now;
    bench.advance(10);
    bench.answer_poll_sent_at(unconfirmed_worker, &[], &[], sent_before_stop);
    let poll_sent_at = bench.now;

    bench.advance(1_050);
    bench.run_round();
    bench.answer_poll_sent_at(unconfirmed_worker, &[], &[], poll_sent_at);

    let again = support::starts(&bench.run_round());
    assert_eq!(again.iter().map(|it| it.attempt).collect::<Vec<_>>(), [2, 2]);
}

/// Until the worker has answered the stop, a start without an answer may still take effect there, so the
/// task starts on no other worker.
#[test]
fn a_start_without_an_answer_keeps_its_task_until_a_stop_is_answered() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    bench.core.start_answered(&start, order::StartAnswer::Unknown, bench.now);
    let unconfirmed_worker = support::index_of(&start.worker);

    bench.advance(10);
    bench.answer_poll(unconfirmed_worker, &[], &[]);
    let orders = bench.run_round();
    assert_eq!(support::stops(&orders).len(), 1);
    assert_eq!(support::starts(&orders), []);

    bench.advance(10);
    bench.core.stop_answered(&support::stops(&orders)[0], true, bench.now);
    assert_eq!(support::starts(&bench.run_round()), []);
    bench.advance(10);
    bench.answer_poll(unconfirmed_worker, &[], &[]);
    assert_eq!(support::starts(&bench.run_round())[0].attempt, 2);
}

/// A task on a silent worker counts as running until the lease of the worker has lapsed.
#[test]
fn a_task_on_a_silent_worker_waits_for_the_lease_to_lapse() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    let silent = support::index_of(&start.worker);
    bench.core.next_poll(&start.worker, bench.now);
    bench.core.poll_missed(&start.worker);
    // The lease of 6.5 s takes 6.63 s on a clock that is 2% slow.
    for (millis, n_starts) in [(6_500, 0), (100, 0), (100, 1)] {
        bench.advance(millis);
        bench.answer_poll(1 - silent, &[], &[]);
        assert_eq!(support::starts(&bench.run_round()).len(), n_starts);
    }
}

/// Guards against stops that crowd out everything else to a worker that is slow to answer: the stop of
/// each run was ordered again every 400 ms while the one before was still waiting to be sent.
#[test]
fn a_stop_without_an_outcome_is_not_ordered_again() {
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    let row = support::job(1, support::tasks(1));
    bench.admit(1, model::GraphRow { cancelled: true, ..row });
    let stop = support::stops(&bench.run_round()).remove(0);
    assert_eq!(stop.task, start.task);
    for _ in 0..20 {
        bench.advance(200);
        assert_eq!(support::stops(&bench.run_round()), []);
    }

    bench.core.stop_settled(&stop);
    bench.advance(50);
    assert_eq!(support::stops(&bench.run_round()), std::slice::from_ref(&stop));
    bench.core.stop_answered(&stop, false, bench.now);
    bench.answer_poll(0, &[support::listed_run(&start, 10)], &[]);
    bench.advance(500);
    assert_eq!(support::stops(&bench.run_round()), [stop]);
}
