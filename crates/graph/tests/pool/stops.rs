//! Stops, and starts of which nobody knows whether they took effect.

use almondpass_graph::order;

use crate::support;

/// Symptom: a gang never started again, with most workers free. Sequence: the start of one member
/// has no answer, the gang is stopped, and so is that member; the worker answers the stop. Before a
/// look that was sent later comes back, the stop is sent again.
/// Cause: sending it again forgot the answer, and a look at a busy worker takes as long as the wait
/// before the next stop.
#[test]
fn a_stop_that_was_answered_once_settles_a_start_without_answer() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::gang(support::whole_workers(2))));
    let starts = support::starts(&bench.run_round());
    bench.confirm_start(&starts[0]);
    bench.core.start_answered(&starts[1], order::StartAnswer::Unknown, bench.now);
    // Time is taken note of every 40 ms.
    bench.advance(50);
    let stops = support::stops(&bench.run_round());
    assert_eq!(stops.len(), 2);
    for stop in &stops {
        bench.core.stop_answered(stop, true, bench.now);
    }
    let sound = support::index_of(&starts[0].worker);
    let odd = support::index_of(&starts[1].worker);
    bench.answer_poll(sound, &[], &[support::listed_end(1, &starts[0], order::EndKind::Stopped)]);
    let before_the_stop = bench.now;
    bench.advance(10);
    bench.answer_poll_sent_at(odd, &[], &[], before_the_stop);
    let look_sent = bench.now;

    bench.advance(1_050);
    bench.run_round();
    bench.answer_poll_sent_at(odd, &[], &[], look_sent);

    let again = support::starts(&bench.run_round());
    assert_eq!(again.iter().map(|it| it.attempt).collect::<Vec<_>>(), [2, 2]);
}

/// Until a worker has answered the stop, a start without answer may still take effect there: the
/// task starts nowhere else.
#[test]
fn a_start_without_answer_holds_its_task_until_it_is_settled() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    bench.core.start_answered(&start, order::StartAnswer::Unknown, bench.now);
    let odd = support::index_of(&start.worker);

    bench.advance(10);
    bench.answer_poll(odd, &[], &[]);
    let orders = bench.run_round();
    assert_eq!(support::stops(&orders).len(), 1);
    assert_eq!(support::starts(&orders), []);

    bench.advance(10);
    bench.core.stop_answered(&support::stops(&orders)[0], true, bench.now);
    assert_eq!(support::starts(&bench.run_round()), []);
    bench.advance(10);
    bench.answer_poll(odd, &[], &[]);
    assert_eq!(support::starts(&bench.run_round())[0].attempt, 2);
}

/// A worker whose lease may still run is as good as running its task.
#[test]
fn a_task_on_a_silent_worker_waits_for_the_lease_to_lapse() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    let silent = support::index_of(&start.worker);
    bench.core.next_poll(&start.worker, bench.now);
    bench.core.poll_missed(&start.worker);
    // The lease is 6.5 s, and a clock that is 2% slow makes 6.63 s of it.
    for (millis, n_starts) in [(6_500, 0), (100, 0), (100, 1)] {
        bench.advance(millis);
        bench.answer_poll(1 - silent, &[], &[]);
        assert_eq!(support::starts(&bench.run_round()).len(), n_starts);
    }
}
