//! Workers that restart under the same id: no state of one incarnation is used for the next.

use std::time::Duration;

use almondpass_graph::{order, worker};
use almondpass_schema::ids;

use crate::support;

/// Two incarnations of a worker. The second has the lower number: the wall clock was set back.
const FIRST_INCARNATION: ids::Incarnation = 1_800_000_000_500;
const SECOND_INCARNATION: ids::Incarnation = 1_800_000_000_000;

/// The answer to a poll of an incarnation that began at `began`.
fn poll_answer(
    bench: &support::PoolBench,
    incarnation: Option<ids::Incarnation>,
    began: Duration,
    running: &[order::ListedRun],
    ended: &[order::ListedEnd],
) -> order::PollReply {
    order::PollReply {
        incarnation,
        clock_ms: (bench.now - began).as_millis() as u64,
        running: running.to_vec(),
        ended: ended.to_vec(),
        complete: true,
    }
}

fn entry_of(index: usize, incarnation: ids::Incarnation) -> worker::WorkerEntry {
    worker::WorkerEntry { incarnation: Some(incarnation), ..support::worker_entry(index) }
}

/// The entry of a worker that leaves in `seconds`.
fn leaving_entry(incarnation: ids::Incarnation, seconds: u64) -> worker::WorkerEntry {
    let leaves_in = Some(Duration::from_secs(seconds));
    worker::WorkerEntry { leaves_in, ..entry_of(0, incarnation) }
}

/// A pool of one worker in its first incarnation, whose clock shows 1,000 s.
fn bench_with_one_worker() -> support::PoolBench {
    let mut bench = support::PoolBench::with_unanswered_workers(1, Duration::ZERO);
    bench.core.update_worker(support::worker_id(0), entry_of(0, FIRST_INCARNATION), bench.now);
    answer_poll(&mut bench, Some(FIRST_INCARNATION), Duration::ZERO, &[], &[]);
    bench.save();
    bench
}

/// A pool whose worker has listed the end of a task, which is durable and not acknowledged yet.
fn bench_with_unacknowledged_end() -> (support::PoolBench, order::ListedEnd) {
    let mut bench = bench_with_one_worker();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    let end = support::listed_end(1, &start, order::EndKind::Done);
    assert_eq!(last_seen(&mut bench), 0);
    answer_poll(
        &mut bench,
        Some(FIRST_INCARNATION),
        Duration::ZERO,
        &[],
        std::slice::from_ref(&end),
    );
    bench.save();
    (bench, end)
}

fn answer_poll(
    bench: &mut support::PoolBench,
    incarnation: Option<ids::Incarnation>,
    began: Duration,
    running: &[order::ListedRun],
    ended: &[order::ListedEnd],
) {
    let listed = poll_answer(bench, incarnation, began, running, ended);
    bench.core.poll_answered(&support::worker_id(0), listed, bench.now, bench.now);
}

/// The worker answers in a second incarnation that has just begun.
fn answer_after_restart(bench: &mut support::PoolBench) {
    let now = bench.now;
    answer_poll(bench, Some(SECOND_INCARNATION), now, &[], &[]);
}

fn last_seen(bench: &mut support::PoolBench) -> u64 {
    bench.core.next_poll(&support::worker_id(0), bench.now).unwrap().last_seen
}

/// A pool whose worker has ended the task of job 1 in its first incarnation. The end is acknowledged,
/// and the worker restarted a moment ago.
fn bench_after_restart(second: Option<ids::Incarnation>) -> support::PoolBench {
    let (mut bench, _) = bench_with_unacknowledged_end();
    assert_eq!(last_seen(&mut bench), 1);
    bench.advance(600);
    bench.core.poll_missed(&support::worker_id(0));
    bench.advance(250);
    let began = bench.now;
    bench.advance(100);
    answer_poll(&mut bench, second, began, &[], &[]);
    bench
}

/// An acknowledgement that reached a new incarnation before any of its ends were read would make it
/// forget them.
#[test]
fn no_end_is_acknowledged_while_the_incarnation_is_uncertain() {
    let (mut bench, end) = bench_with_unacknowledged_end();
    bench.core.poll_missed(&support::worker_id(0));
    assert_eq!(last_seen(&mut bench), 0);
    answer_poll(
        &mut bench,
        Some(FIRST_INCARNATION),
        Duration::ZERO,
        &[],
        std::slice::from_ref(&end),
    );
    assert_eq!(last_seen(&mut bench), 1);
}

/// An end that the worker no longer lists needs no acknowledgement, and one that is sent again could
/// reach a later incarnation.
#[test]
fn an_answered_acknowledgement_is_not_sent_again() {
    let (mut bench, _) = bench_with_unacknowledged_end();
    assert_eq!(last_seen(&mut bench), 1);
    answer_poll(&mut bench, Some(FIRST_INCARNATION), Duration::ZERO, &[], &[]);
    assert_eq!(last_seen(&mut bench), 0);
}

/// Failure: a completed task ran again. A scheduler may send no orders for a while, as the store is
/// unavailable; meanwhile a worker restarts, and the scheduler goes on from its recorded state. No poll
/// had failed, as none was sent, and the first poll acknowledged ends of the earlier incarnation, which
/// the later one took for its own ends.
#[test]
fn no_end_is_acknowledged_long_after_the_last_poll() {
    let (mut bench, end) = bench_with_unacknowledged_end();
    bench.advance(40_000);
    assert_eq!(last_seen(&mut bench), 0);
    answer_poll(&mut bench, Some(FIRST_INCARNATION), Duration::ZERO, &[], &[end]);
    assert_eq!(last_seen(&mut bench), 1);
}

/// A busy scheduler, whose polls are far apart, acknowledges with every second poll. Otherwise it never
/// would.
#[test]
fn a_busy_scheduler_acknowledges_too() {
    let (mut bench, end) = bench_with_unacknowledged_end();
    assert_eq!(last_seen(&mut bench), 1);
    let mut seen = Vec::new();
    for _ in 0..4 {
        // The worker has not received the acknowledgement, and lists the end again.
        answer_poll(
            &mut bench,
            Some(FIRST_INCARNATION),
            Duration::ZERO,
            &[],
            std::slice::from_ref(&end),
        );
        bench.advance(700);
        seen.push(last_seen(&mut bench));
    }
    assert_eq!(seen, [0, 1, 0, 1]);
}

/// Ends of the new incarnation are numbered from 1, whether the platform reports incarnations or not.
fn check_first_end_of_a_later_incarnation(second: Option<ids::Incarnation>) {
    let mut bench = bench_after_restart(second);
    if let Some(second) = second {
        bench.core.update_worker(support::worker_id(0), entry_of(0, second), bench.now);
    }
    assert_eq!(last_seen(&mut bench), 0);
    bench.admit(2, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    assert!(start.deadline_ms < 10_000, "a deadline by the earlier clock: {}", start.deadline_ms);
    bench.advance(500);
    let end = support::listed_end(1, &start, order::EndKind::Done);
    let began = bench.now - Duration::from_millis(600);
    answer_poll(&mut bench, second, began, &[], &[end]);
    bench.save();
    assert_eq!(bench.core.backlog("class-1"), 0);
    assert!(!bench.core.is_busy());
    assert_eq!(last_seen(&mut bench), 1);
}

#[test]
fn the_first_end_of_a_later_incarnation_is_recorded() {
    check_first_end_of_a_later_incarnation(Some(SECOND_INCARNATION));
}

#[test]
fn the_first_end_after_a_restart_is_recorded_without_incarnations() {
    check_first_end_of_a_later_incarnation(None);
}

/// Failure: a completed task ran again, where incarnations are not reported. A start waits in a queue
/// while a poll is answered; the worker restarts, and its new incarnation answers the start. The new
/// incarnation's clock replaced the recorded one, so the next poll did not detect the restart.
#[test]
fn a_start_answered_by_a_later_incarnation_does_not_hide_the_restart() {
    let mut bench = bench_with_one_worker();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    bench.advance(10);
    answer_poll(&mut bench, None, Duration::ZERO, &[], &[]);
    bench.advance(600);
    let began = bench.now;
    bench.advance(200);
    let answer = order::StartAnswer::Started { clock_ms: 200 };
    bench.core.start_answered(&start, answer, bench.now);
    bench.advance(200);
    answer_poll(&mut bench, None, began, &[support::listed_run(&start, 10)], &[]);
    assert_eq!(bench.core.take_n_restarts(), 1);
}

/// A later incarnation may be of another type and size: until its entry is read, no task is known to
/// fit.
#[test]
fn a_later_incarnation_gets_no_tasks_before_its_entry_is_read() {
    let mut bench = bench_after_restart(Some(SECOND_INCARNATION));
    bench.admit(2, support::job(1, support::whole_workers(1)));
    assert_eq!(support::starts(&bench.run_round()), []);
    bench.core.update_worker(support::worker_id(0), entry_of(0, SECOND_INCARNATION), bench.now);
    assert_eq!(support::starts(&bench.run_round()).len(), 1);
}

/// An entry without an incarnation, for a worker that reports one, was written by another process.
#[test]
fn an_entry_without_an_incarnation_is_ignored_for_a_worker_that_reports_one() {
    let mut bench = bench_with_one_worker();
    bench.core.update_worker(support::worker_id(0), support::worker_entry(0), bench.now);
    answer_poll(&mut bench, Some(FIRST_INCARNATION), Duration::ZERO, &[], &[]);
    bench.admit(1, support::job(1, support::tasks(1)));
    assert_eq!(support::starts(&bench.run_round()), []);
    bench.core.update_worker(support::worker_id(0), entry_of(0, FIRST_INCARNATION), bench.now);
    answer_poll(&mut bench, Some(FIRST_INCARNATION), Duration::ZERO, &[], &[]);
    assert_eq!(support::starts(&bench.run_round()).len(), 1);
}

/// If the worker list has a later incarnation first, the worker has to answer before it gets tasks.
#[test]
fn an_entry_of_a_later_incarnation_requires_a_new_answer() {
    let mut bench = bench_with_one_worker();
    bench.core.update_worker(support::worker_id(0), entry_of(0, SECOND_INCARNATION), bench.now);
    bench.admit(1, support::job(1, support::tasks(1)));
    let orders = bench.run_round();
    assert_eq!(support::starts(&orders), []);
    assert!(orders.iter().any(|it| matches!(it, order::PoolOrder::Poll { .. })));
    answer_after_restart(&mut bench);
    assert_eq!(support::starts(&bench.run_round()).len(), 1);
}

/// Each start without an answer orders a poll of its own, as each has to be settled. Other calls without
/// an answer order one poll in all: with one each, the orders queued after them would wait for polls
/// that are not answered either.
#[test]
fn calls_without_an_answer_order_one_poll() {
    let mut bench = bench_with_one_worker();
    bench.admit(1, support::job(1, support::tasks(4)));
    let starts = bench.run_round_and_start();
    for _ in 0..3 {
        for start in &starts {
            let stop = order::StopOrder {
                worker: start.worker.clone(),
                address: start.address.clone(),
                generation: start.generation,
                task: start.task,
                attempt: start.attempt,
            };
            bench.core.stop_answered(&stop, false, bench.now);
        }
    }
    let is_look = |it: &&order::PoolOrder| matches!(it, order::PoolOrder::Poll { .. });
    assert_eq!(bench.core.take_orders().iter().filter(is_look).count(), 1);
}

/// The departure announced by an earlier incarnation does not keep tasks off the later one.
#[test]
fn a_leaving_worker_gets_tasks_again_after_a_restart() {
    let mut bench = bench_with_one_worker();
    bench.core.update_worker(support::worker_id(0), leaving_entry(FIRST_INCARNATION, 2), bench.now);
    bench.save();
    bench.advance(3_000);
    answer_after_restart(&mut bench);
    bench.core.update_worker(support::worker_id(0), entry_of(0, SECOND_INCARNATION), bench.now);
    bench.save();
    bench.admit(1, support::job(1, support::tasks(1)));
    assert_eq!(support::starts(&bench.run_round()).len(), 1);
}

/// Answers overtake each other: a late answer of the earlier incarnation does not apply to the later
/// one.
#[test]
fn a_late_answer_of_the_earlier_incarnation_is_ignored() {
    let mut bench = bench_after_restart(Some(SECOND_INCARNATION));
    bench.core.update_worker(support::worker_id(0), entry_of(0, SECOND_INCARNATION), bench.now);
    bench.admit(2, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    bench.advance(10);
    let late = poll_answer(&bench, Some(FIRST_INCARNATION), Duration::ZERO, &[], &[]);
    let sent_at = bench.now - Duration::from_secs(1);
    bench.core.poll_answered(&support::worker_id(0), late, sent_at, bench.now);
    assert_eq!(support::starts(&bench.run_round()), []);
    bench.advance(10);
    let began = bench.now - Duration::from_millis(120);
    answer_poll(
        &mut bench,
        Some(SECOND_INCARNATION),
        began,
        &[support::listed_run(&start, 1)],
        &[],
    );
    assert!(bench.core.is_busy());
    assert_eq!(bench.core.take_n_restarts(), 1);
}

/// A later incarnation that leaves stays for the time that it announced itself. By the time of the
/// earlier one, its tasks would be moved at once.
#[test]
fn a_later_incarnation_stays_for_the_time_it_announced_itself() {
    let mut bench = bench_with_one_worker();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    let began = bench.now;
    bench.core.update_worker(support::worker_id(0), leaving_entry(FIRST_INCARNATION, 1), bench.now);
    bench.advance(900);
    bench.confirm_start(&start);
    bench.core.update_worker(
        support::worker_id(0),
        leaving_entry(SECOND_INCARNATION, 60),
        bench.now,
    );
    answer_poll(
        &mut bench,
        Some(SECOND_INCARNATION),
        began,
        &[support::listed_run(&start, 10)],
        &[],
    );
    bench.advance(50);
    assert_eq!(support::stops(&bench.run_round()), []);
}

/// A newly detected incarnation may have received a deadline by the earlier one's clock, far ahead of
/// its own. So its lease may be the longest that it grants.
#[test]
fn a_run_found_in_a_later_incarnation_may_go_on_for_the_longest_lease() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    let index = support::index_of(&start.worker);
    bench.advance(1_000);
    let mut listed =
        poll_answer(&bench, None, Duration::ZERO, &[support::listed_run(&start, 1)], &[]);
    listed.clock_ms = 100;
    bench.core.poll_answered(&start.worker, listed, bench.now, bench.now);
    bench.core.poll_missed(&start.worker);
    // The longest lease of 10 s, on a clock that is 2% slow.
    for (millis, n_starts) in [(6_700, 0), (3_400, 0), (200, 1)] {
        bench.advance(millis);
        bench.answer_poll(1 - index, &[], &[]);
        assert_eq!(support::starts(&bench.run_round()).len(), n_starts, "at {:?}", bench.now);
    }
}

/// A start may reach a worker that has just restarted before any poll does. The run goes on, and its
/// progress is measured by the clock of its own incarnation. Failure: by the earlier clock, which showed
/// far more, no pace was computed, and a task far from its end was left on a worker that was about to
/// leave.
#[test]
fn a_run_found_in_a_later_incarnation_has_a_pace() {
    let mut bench = bench_with_one_worker();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    let began = bench.now;
    bench.confirm_start(&start);
    for second in 1..=20 {
        bench.advance(1_000);
        let run = support::listed_run(&start, second);
        answer_poll(&mut bench, Some(SECOND_INCARNATION), began, &[run], &[]);
        assert_eq!(support::stops(&bench.run_round()), []);
    }
    // Four fifths of the work are left, at one percent a second.
    bench.core.update_worker(
        support::worker_id(0),
        leaving_entry(SECOND_INCARNATION, 8),
        bench.now,
    );
    bench.advance(50);
    assert_eq!(support::stops(&bench.run_round()).len(), 1);
}

/// Failure: a task ran on two workers at the same time. A start waits in a queue; its worker restarts,
/// takes the start in its new incarnation, and can't be reached any more. The task was kept for the
/// worker until the deadline by the earlier clock. That deadline is far ahead on the new clock, and the
/// new incarnation shortened it to the longest lease that it grants.
#[test]
fn an_unconfirmed_start_may_run_for_the_longest_lease() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    bench.core.start_answered(&start, order::StartAnswer::Unknown, bench.now);
    bench.core.poll_missed(&start.worker);
    let other = 1 - support::index_of(&start.worker);
    // The start may be sent for up to 2.5 s; then the lease is 10 s, on a clock that is 2% slow.
    for (millis, n_starts) in [(6_700, 0), (5_900, 0), (200, 1)] {
        bench.advance(millis);
        bench.answer_poll(other, &[], &[]);
        assert_eq!(support::starts(&bench.run_round()).len(), n_starts, "at {:?}", bench.now);
    }
}

/// A worker that reports its incarnations takes a start without an answer and can't be reached any more,
/// while a second worker answers. Returns the milliseconds from that start until the task starts
/// elsewhere.
fn restart_delay(reported: ids::Incarnation, is_list_read: bool) -> Option<u128> {
    restart_delay_with_entry(Some(reported), is_list_read)
}

/// As above, with an entry that has the given incarnation or none.
fn restart_delay_with_entry(
    reported: Option<ids::Incarnation>,
    is_list_read: bool,
) -> Option<u128> {
    let mut bench = support::PoolBench::with_unanswered_workers(2, Duration::ZERO);
    for index in 0..2 {
        bench.core.update_worker(
            support::worker_id(index),
            entry_of(index, FIRST_INCARNATION),
            bench.now,
        );
        let listed = poll_answer(&bench, Some(FIRST_INCARNATION), Duration::ZERO, &[], &[]);
        bench.core.poll_answered(&support::worker_id(index), listed, bench.now, bench.now);
    }
    bench.save();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    let silent = support::index_of(&start.worker);
    bench.core.start_answered(&start, order::StartAnswer::Unknown, bench.now);
    let reported =
        worker::WorkerEntry { incarnation: reported, ..entry_of(silent, FIRST_INCARNATION) };
    bench.core.update_worker(start.worker.clone(), reported, bench.now);
    let other = support::worker_id(1 - silent);
    for millis in [2_500, 4_500, 5_500, 500] {
        bench.advance(millis);
        if is_list_read {
            bench.core.note_list_read(bench.now);
        }
        let listed = poll_answer(&bench, Some(FIRST_INCARNATION), Duration::ZERO, &[], &[]);
        bench.core.poll_answered(&other, listed, bench.now, bench.now);
        if !support::starts(&bench.run_round()).is_empty() {
            return Some((bench.now - start.ordered_at).as_millis());
        }
    }
    None
}

/// Failure: a task was idle for 12.7 s because a worker crashed before it received the start.
#[test]
fn a_start_that_no_later_incarnation_can_have_ends_with_the_lease() {
    assert_eq!(restart_delay(FIRST_INCARNATION, true), Some(7_000));
}

/// A later incarnation in the worker list may have received the start, and runs it for the longest
/// lease.
#[test]
fn a_start_that_a_later_incarnation_may_have_lasts_for_the_longest_lease() {
    assert_eq!(restart_delay(SECOND_INCARNATION, true), Some(13_000));
}

/// An entry without an incarnation, for a worker that reports one, was not written by that worker, so it
/// is no sign of a later incarnation.
#[test]
fn an_entry_without_an_incarnation_does_not_prolong_a_start() {
    let entries =
        [None, Some(FIRST_INCARNATION)].map(|it| (it, restart_delay_with_entry(it, true)));
    assert_eq!(entries, [(None, Some(7_000)), (Some(FIRST_INCARNATION), Some(7_000))]);
}

/// While the worker list can't be read, there may be an entry of a later incarnation that is not known.
#[test]
fn a_start_lasts_for_the_longest_lease_while_the_worker_list_is_not_read() {
    assert_eq!(restart_delay(FIRST_INCARNATION, false), Some(13_000));
}

/// A start that has waited for longer than half of the start timeout is not sent any more: there is no bound on
/// the time at which a later incarnation would receive it.
#[test]
fn a_start_that_has_waited_for_too_long_is_outdated() {
    let mut bench = bench_with_one_worker();
    bench.admit(1, support::job(1, support::tasks(1)));
    let order = order::PoolOrder::Start(support::starts(&bench.run_round()).remove(0));
    bench.advance(1_200);
    assert!(!bench.core.is_outdated(&order, bench.now));
    bench.advance(100);
    assert!(bench.core.is_outdated(&order, bench.now));
}

/// Answers overtake each other: a clock slightly behind the recorded one is no sign of a restart.
#[test]
fn a_start_whose_answer_was_overtaken_is_confirmed() {
    let mut bench = bench_with_one_worker();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    bench.advance(20);
    answer_poll(
        &mut bench,
        Some(FIRST_INCARNATION),
        Duration::ZERO,
        &[support::listed_run(&start, 0)],
        &[],
    );
    bench.core.take_orders();
    let clock_ms = bench.now.as_millis() as u64 - 10;
    bench.core.start_answered(&start, order::StartAnswer::Started { clock_ms }, bench.now);
    assert_eq!(bench.core.take_orders(), []);
}

/// A queued order was given to an incarnation that has ended. A later one would carry out the start
/// while its task may run elsewhere.
#[test]
fn orders_for_the_earlier_incarnation_are_outdated() {
    let mut bench = bench_with_one_worker();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    let order = order::PoolOrder::Start(start);
    assert!(!bench.core.is_outdated(&order, bench.now));
    bench.advance(100);
    answer_after_restart(&mut bench);
    assert!(bench.core.is_outdated(&order, bench.now));
}

/// An answered stop settles a start without an answer in the incarnation that answered, and in no other:
/// the task starts on no other worker before the later incarnation has answered a stop as well.
#[test]
fn a_stop_answered_by_the_earlier_incarnation_settles_nothing() {
    let mut bench = bench_with_one_worker();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    bench.core.start_answered(&start, order::StartAnswer::Unknown, bench.now);
    bench.advance(10);
    answer_poll(&mut bench, Some(FIRST_INCARNATION), Duration::ZERO, &[], &[]);
    let stop = support::stops(&bench.run_round()).remove(0);
    bench.advance(10);
    answer_after_restart(&mut bench);
    let again = support::stops(&bench.run_round());
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].generation, stop.generation);
    bench.core.update_worker(support::worker_id(0), entry_of(0, SECOND_INCARNATION), bench.now);

    bench.core.stop_answered(&stop, true, bench.now);
    bench.advance(10);
    let began = bench.now - Duration::from_millis(10);
    answer_poll(&mut bench, Some(SECOND_INCARNATION), began, &[], &[]);
    assert_eq!(support::starts(&bench.run_round()), []);

    bench.core.stop_answered(&again[0], true, bench.now);
    bench.advance(10);
    let began = bench.now - Duration::from_millis(20);
    answer_poll(&mut bench, Some(SECOND_INCARNATION), began, &[], &[]);
    // The task has lost its worker, so its next start has to be saved first.
    assert_eq!(support::starts(&bench.run_round()), []);
    bench.save();
    assert_eq!(support::starts(&bench.run_round())[0].attempt, 2);
}

/// A successor contacts a worker at the address in the roster. A worker that restarted at another
/// address gets no tasks before the roster has that address.
#[test]
fn a_worker_that_has_moved_is_saved_in_the_roster_first() {
    let mut bench = bench_after_restart(Some(SECOND_INCARNATION));
    let moved = worker::WorkerEntry {
        address: "127.0.0.1:9999".to_owned(),
        ..entry_of(0, SECOND_INCARNATION)
    };
    bench.core.update_worker(support::worker_id(0), moved, bench.now);
    bench.admit(2, support::job(1, support::tasks(1)));
    assert_eq!(support::starts(&bench.run_round()), []);
    bench.save();
    assert_eq!(support::starts(&bench.run_round())[0].address, "127.0.0.1:9999");
    // An answer of any other worker at the earlier address does not apply to this one.
    let earlier_address = support::worker_entry(0).address;
    bench.core.worker_replaced(&support::worker_id(0), &earlier_address, bench.now);
    assert!(bench.core.worker_ids().any(|it| *it == support::worker_id(0)));
}

/// Failure: a task ran twice. A later incarnation had taken its start and refused the repetition of it, by the
/// token of the poll between the two; the run was taken not to exist.
#[test]
fn a_run_of_a_later_incarnation_outlives_the_refusal_of_its_repeated_start() {
    let mut bench = bench_with_one_worker();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    let began = bench.now;
    bench.advance(100);
    bench.core.update_worker(support::worker_id(0), entry_of(0, SECOND_INCARNATION), bench.now);
    let run = support::listed_run(&start, 0);
    answer_poll(&mut bench, Some(SECOND_INCARNATION), began, &[run], &[]);
    let refused = order::StartAnswer::Refused(order::StartRefusal::Fenced);
    bench.core.start_answered(&start, refused, bench.now);
    bench.save();
    assert_eq!(bench.run_round_and_start(), []);
}
