//! Workers that start again under the id that they had: nothing kept of one life is used for the next.

use std::time::Duration;

use almondpass_graph::{order, worker};
use almondpass_schema::ids;

use crate::support;

/// Two lives of a worker. The second has the lower number: its clock of the day was set back.
const FIRST: ids::Incarnation = 1_800_000_000_500;
const SECOND: ids::Incarnation = 1_800_000_000_000;

/// What a worker says in a life that began at `began`.
fn says(
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

fn entry(index: usize, incarnation: ids::Incarnation) -> worker::WorkerEntry {
    worker::WorkerEntry { incarnation: Some(incarnation), ..support::worker_entry(index) }
}

/// The same of a worker that leaves.
fn leaving(incarnation: ids::Incarnation, seconds: u64) -> worker::WorkerEntry {
    let leaves_in = Some(Duration::from_secs(seconds));
    worker::WorkerEntry { leaves_in, ..entry(0, incarnation) }
}

/// One worker in its first life, whose clock shows 1,000 s.
fn bench_of_one() -> support::PoolBench {
    let mut bench = support::PoolBench::with_unanswered_workers(1, Duration::ZERO);
    bench.core.update_worker(support::worker_id(0), entry(0, FIRST), bench.now);
    answers(&mut bench, Some(FIRST), Duration::ZERO, &[], &[]);
    bench.save();
    bench
}

/// The worker has listed the end of a task, which is durable and not acknowledged yet.
fn bench_with_end() -> (support::PoolBench, order::ListedEnd) {
    let mut bench = bench_of_one();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    let end = support::listed_end(1, &start, order::EndKind::Done);
    assert_eq!(last_seen(&mut bench), 0);
    answers(&mut bench, Some(FIRST), Duration::ZERO, &[], std::slice::from_ref(&end));
    bench.save();
    (bench, end)
}

fn answers(
    bench: &mut support::PoolBench,
    incarnation: Option<ids::Incarnation>,
    began: Duration,
    running: &[order::ListedRun],
    ended: &[order::ListedEnd],
) {
    let listed = says(bench, incarnation, began, running, ended);
    bench.core.poll_answered(&support::worker_id(0), listed, bench.now, bench.now);
}

/// The worker answers in a second life that has just begun.
fn answers_fresh(bench: &mut support::PoolBench) {
    let now = bench.now;
    answers(bench, Some(SECOND), now, &[], &[]);
}

fn last_seen(bench: &mut support::PoolBench) -> u64 {
    bench.core.next_poll(&support::worker_id(0), bench.now).unwrap().last_seen
}

/// The worker ends the task of job 1 in its first life, and that is acknowledged; then it starts
/// again, a moment ago.
fn bench_after_restart(second: Option<ids::Incarnation>) -> support::PoolBench {
    let (mut bench, _) = bench_with_end();
    assert_eq!(last_seen(&mut bench), 1);
    bench.advance(600);
    bench.core.poll_missed(&support::worker_id(0));
    bench.advance(250);
    let began = bench.now;
    bench.advance(100);
    answers(&mut bench, second, began, &[], &[]);
    bench
}

/// An acknowledgement that reaches a new life before any of its ends were seen makes it forget them.
#[test]
fn no_end_is_acknowledged_while_the_life_is_in_doubt() {
    let (mut bench, end) = bench_with_end();
    bench.core.poll_missed(&support::worker_id(0));
    assert_eq!(last_seen(&mut bench), 0);
    answers(&mut bench, Some(FIRST), Duration::ZERO, &[], std::slice::from_ref(&end));
    assert_eq!(last_seen(&mut bench), 1);
}

/// What the worker does not list any more needs no acknowledgement: sent again and again, one could
/// reach a later life.
#[test]
fn an_acknowledgement_that_was_answered_is_not_sent_again() {
    let (mut bench, _) = bench_with_end();
    assert_eq!(last_seen(&mut bench), 1);
    answers(&mut bench, Some(FIRST), Duration::ZERO, &[], &[]);
    assert_eq!(last_seen(&mut bench), 0);
}

/// Symptom: a task that had ended well ran again. Sequence: a scheduler may give no orders for a while,
/// as the store is away; a worker starts again meanwhile; the scheduler goes on where it stood. Cause:
/// no look had failed, since none was sent, and the first one acknowledged ends of the former life,
/// which the later one took for its own.
#[test]
fn no_end_is_acknowledged_long_after_the_last_look() {
    let (mut bench, end) = bench_with_end();
    bench.advance(40_000);
    assert_eq!(last_seen(&mut bench), 0);
    answers(&mut bench, Some(FIRST), Duration::ZERO, &[], &[end]);
    assert_eq!(last_seen(&mut bench), 1);
}

/// A scheduler that is busy, so that each of its looks comes long after the one before, acknowledges
/// every other time; else it never would.
#[test]
fn a_busy_scheduler_acknowledges_too() {
    let (mut bench, end) = bench_with_end();
    assert_eq!(last_seen(&mut bench), 1);
    let mut seen = Vec::new();
    for _ in 0..4 {
        // The worker has not had the acknowledgement, and lists the end again.
        answers(&mut bench, Some(FIRST), Duration::ZERO, &[], std::slice::from_ref(&end));
        bench.advance(700);
        seen.push(last_seen(&mut bench));
    }
    assert_eq!(seen, [0, 1, 0, 1]);
}

/// Ends of the new life count from 1, whether the platform tells lives apart or not.
fn check_first_end_of_a_later_life(second: Option<ids::Incarnation>) {
    let mut bench = bench_after_restart(second);
    if let Some(second) = second {
        bench.core.update_worker(support::worker_id(0), entry(0, second), bench.now);
    }
    assert_eq!(last_seen(&mut bench), 0);
    bench.admit(2, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    assert!(start.deadline_ms < 10_000, "a deadline by the former clock: {}", start.deadline_ms);
    bench.advance(500);
    let end = support::listed_end(1, &start, order::EndKind::Done);
    let began = bench.now - Duration::from_millis(600);
    answers(&mut bench, second, began, &[], &[end]);
    bench.save();
    assert_eq!(bench.core.backlog("class-1"), 0);
    assert!(!bench.core.is_busy());
    assert_eq!(last_seen(&mut bench), 1);
}

#[test]
fn the_first_end_of_a_later_life_is_taken_in() {
    check_first_end_of_a_later_life(Some(SECOND));
}

#[test]
fn the_first_end_of_a_later_life_is_taken_in_where_lives_are_not_told() {
    check_first_end_of_a_later_life(None);
}

/// Symptom: a task that had ended well ran again, where lives are not told. Sequence: a start waits for
/// its turn to be sent, a look is answered meanwhile, the worker starts again, and its new life answers
/// the start. Cause: the clock of the new life replaced the one that was known, and the next look found
/// nothing odd in it.
#[test]
fn a_start_answered_by_a_later_life_does_not_hide_it() {
    let mut bench = bench_of_one();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    bench.advance(10);
    answers(&mut bench, None, Duration::ZERO, &[], &[]);
    bench.advance(600);
    let began = bench.now;
    bench.advance(200);
    let answer = order::StartAnswer::Started { clock_ms: 200 };
    bench.core.start_answered(&start, answer, bench.now);
    bench.advance(200);
    answers(&mut bench, None, began, &[support::listed_run(&start, 10)], &[]);
    assert_eq!(bench.core.take_n_restarts(), 1);
}

/// A later life may be of another kind and size: until its entry is read, nothing is known to fit.
#[test]
fn a_later_life_gets_no_tasks_before_its_entry_is_read() {
    let mut bench = bench_after_restart(Some(SECOND));
    bench.admit(2, support::job(1, support::whole_workers(1)));
    assert_eq!(support::starts(&bench.run_round()), []);
    bench.core.update_worker(support::worker_id(0), entry(0, SECOND), bench.now);
    assert_eq!(support::starts(&bench.run_round()).len(), 1);
}

/// An entry that does not say of which life it is, of a worker that does, was written by another.
#[test]
fn an_entry_that_tells_no_life_names_no_worker_that_tells_its() {
    let mut bench = bench_of_one();
    bench.core.update_worker(support::worker_id(0), support::worker_entry(0), bench.now);
    answers(&mut bench, Some(FIRST), Duration::ZERO, &[], &[]);
    bench.admit(1, support::job(1, support::tasks(1)));
    assert_eq!(support::starts(&bench.run_round()), []);
    bench.core.update_worker(support::worker_id(0), entry(0, FIRST), bench.now);
    answers(&mut bench, Some(FIRST), Duration::ZERO, &[], &[]);
    assert_eq!(support::starts(&bench.run_round()).len(), 1);
}

/// Where the list tells first of a later life, the worker has to answer before it gets tasks.
#[test]
fn an_entry_of_a_later_life_puts_the_known_one_in_doubt() {
    let mut bench = bench_of_one();
    bench.core.update_worker(support::worker_id(0), entry(0, SECOND), bench.now);
    bench.admit(1, support::job(1, support::tasks(1)));
    let orders = bench.run_round();
    assert_eq!(support::starts(&orders), []);
    assert!(orders.iter().any(|it| matches!(it, order::PoolOrder::Poll { .. })));
    answers_fresh(&mut bench);
    assert_eq!(support::starts(&bench.run_round()).len(), 1);
}

/// Many starts without answer ask for a look each, as each has to be settled; what else has no answer
/// asks for one in all, or the orders behind would wait for looks that have no answer either.
#[test]
fn calls_without_answer_ask_for_one_look() {
    let mut bench = bench_of_one();
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

/// What a former life has said of leaving does not keep tasks off the later one.
#[test]
fn a_worker_that_was_leaving_gets_tasks_when_it_has_started_again() {
    let mut bench = bench_of_one();
    bench.core.update_worker(support::worker_id(0), leaving(FIRST, 2), bench.now);
    bench.save();
    bench.advance(3_000);
    answers_fresh(&mut bench);
    bench.core.update_worker(support::worker_id(0), entry(0, SECOND), bench.now);
    bench.save();
    bench.admit(1, support::job(1, support::tasks(1)));
    assert_eq!(support::starts(&bench.run_round()).len(), 1);
}

/// Answers overtake each other: one of the former life says nothing about the later one.
#[test]
fn an_answer_of_the_former_life_that_comes_late_is_passed_over() {
    let mut bench = bench_after_restart(Some(SECOND));
    bench.core.update_worker(support::worker_id(0), entry(0, SECOND), bench.now);
    bench.admit(2, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    bench.advance(10);
    let late = says(&bench, Some(FIRST), Duration::ZERO, &[], &[]);
    let sent_at = bench.now - Duration::from_secs(1);
    bench.core.poll_answered(&support::worker_id(0), late, sent_at, bench.now);
    assert_eq!(support::starts(&bench.run_round()), []);
    bench.advance(10);
    let began = bench.now - Duration::from_millis(120);
    answers(&mut bench, Some(SECOND), began, &[support::listed_run(&start, 1)], &[]);
    assert!(bench.core.is_busy());
    assert_eq!(bench.core.take_n_restarts(), 1);
}

/// A later life that leaves stays for as long as it says itself, and not until the former one would have
/// left: its tasks would be moved at once.
#[test]
fn a_later_life_that_leaves_stays_for_its_own_time() {
    let mut bench = bench_of_one();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    let began = bench.now;
    bench.core.update_worker(support::worker_id(0), leaving(FIRST, 1), bench.now);
    bench.advance(900);
    bench.confirm_start(&start);
    bench.core.update_worker(support::worker_id(0), leaving(SECOND, 60), bench.now);
    answers(&mut bench, Some(SECOND), began, &[support::listed_run(&start, 10)], &[]);
    bench.advance(50);
    assert_eq!(support::stops(&bench.run_round()), []);
}

/// A life that was not known yet may have been given a deadline by the clock of the former one, which
/// lies far ahead of its own: its lease may be the longest that it grants.
#[test]
fn a_run_found_in_a_later_life_may_go_on_for_the_longest_lease() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    let index = support::index_of(&start.worker);
    bench.advance(1_000);
    let mut listed = says(&bench, None, Duration::ZERO, &[support::listed_run(&start, 1)], &[]);
    listed.clock_ms = 100;
    bench.core.poll_answered(&start.worker, listed, bench.now, bench.now);
    bench.core.poll_missed(&start.worker);
    // 10 s on a clock that is 2% slow.
    for (millis, n_starts) in [(6_700, 0), (3_400, 0), (200, 1)] {
        bench.advance(millis);
        bench.answer_poll(1 - index, &[], &[]);
        assert_eq!(support::starts(&bench.run_round()).len(), n_starts, "at {:?}", bench.now);
    }
}

/// A start may reach a worker that has just started again, before any look has. The run goes on, and its
/// progress counts by the clock of its own life: by the former one, which showed far more, no pace was
/// ever seen, and a task far from its end was left on a worker that was about to leave.
#[test]
fn a_run_found_in_a_later_life_shows_its_pace() {
    let mut bench = bench_of_one();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    let began = bench.now;
    bench.confirm_start(&start);
    for second in 1..=20 {
        bench.advance(1_000);
        let run = support::listed_run(&start, second);
        answers(&mut bench, Some(SECOND), began, &[run], &[]);
        assert_eq!(support::stops(&bench.run_round()), []);
    }
    // Four fifths are left, at a hundredth a second.
    bench.core.update_worker(support::worker_id(0), leaving(SECOND, 8), bench.now);
    bench.advance(50);
    assert_eq!(support::stops(&bench.run_round()).len(), 1);
}

/// Symptom: a task ran on two workers at a time. Sequence: a start waits for its turn to be sent; its
/// worker starts again and takes the start in its new life; then it can't be reached any more. Cause:
/// the task was tied to the worker for as long as its former clock gave. By that clock the deadline lay
/// far ahead in the new life, which shortened it to the longest lease that it grants.
#[test]
fn a_start_that_the_known_life_has_not_confirmed_may_run_for_the_longest_lease() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    bench.core.start_answered(&start, order::StartAnswer::Unknown, bench.now);
    bench.core.poll_missed(&start.worker);
    let other = 1 - support::index_of(&start.worker);
    // It may leave for 2.5 s; the lease is 10 s then, on a clock that is 2% slow.
    for (millis, n_starts) in [(6_700, 0), (5_900, 0), (200, 1)] {
        bench.advance(millis);
        bench.answer_poll(other, &[], &[]);
        assert_eq!(support::starts(&bench.run_round()).len(), n_starts, "at {:?}", bench.now);
    }
}

/// A worker that tells its lives takes a start without an answer and can't be reached any more; a second one
/// answers. How many milliseconds behind the start the task starts elsewhere.
fn starts_again_behind(told: ids::Incarnation, is_list_read: bool) -> Option<u128> {
    starts_again_behind_entry(Some(told), is_list_read)
}

/// The same where the entry tells no life, or that one.
fn starts_again_behind_entry(told: Option<ids::Incarnation>, is_list_read: bool) -> Option<u128> {
    let mut bench = support::PoolBench::with_unanswered_workers(2, Duration::ZERO);
    for index in 0..2 {
        bench.core.update_worker(support::worker_id(index), entry(index, FIRST), bench.now);
        let listed = says(&bench, Some(FIRST), Duration::ZERO, &[], &[]);
        bench.core.poll_answered(&support::worker_id(index), listed, bench.now, bench.now);
    }
    bench.save();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    let silent = support::index_of(&start.worker);
    bench.core.start_answered(&start, order::StartAnswer::Unknown, bench.now);
    let told = worker::WorkerEntry { incarnation: told, ..entry(silent, FIRST) };
    bench.core.update_worker(start.worker.clone(), told, bench.now);
    let other = support::worker_id(1 - silent);
    for millis in [2_500, 4_500, 5_500, 500] {
        bench.advance(millis);
        if is_list_read {
            bench.core.note_list_read(bench.now);
        }
        let listed = says(&bench, Some(FIRST), Duration::ZERO, &[], &[]);
        bench.core.poll_answered(&other, listed, bench.now, bench.now);
        if !support::starts(&bench.run_round()).is_empty() {
            return Some((bench.now - start.ordered_at).as_millis());
        }
    }
    None
}

/// A task stands still for 12.7 s because a worker died before it took the start.
#[test]
fn a_start_that_no_later_life_can_have_is_over_with_the_lease() {
    assert_eq!(starts_again_behind(FIRST, true), Some(7_000));
}

/// A later life that has told of itself may have taken the start, and runs it for the longest lease.
#[test]
fn a_start_that_a_later_life_may_have_waits_for_the_longest_lease() {
    assert_eq!(starts_again_behind(SECOND, true), Some(13_000));
}

/// An entry that tells no life, of a worker that does, is not the worker's own, and tells of no later life.
#[test]
fn an_entry_that_tells_no_life_keeps_no_start() {
    let entries = [None, Some(FIRST)].map(|it| (it, starts_again_behind_entry(it, true)));
    assert_eq!(entries, [(None, Some(7_000)), (Some(FIRST), Some(7_000))]);
}

/// While the list can't be read a later life may have told of itself unheard.
#[test]
fn a_start_waits_for_the_longest_lease_while_the_list_is_not_read() {
    assert_eq!(starts_again_behind(FIRST, false), Some(13_000));
}

/// What has waited for longer than a start may is not sent any more: nothing bounds when a later life
/// would take it.
#[test]
fn a_start_that_has_waited_for_too_long_is_outdated() {
    let mut bench = bench_of_one();
    bench.admit(1, support::job(1, support::tasks(1)));
    let order = order::PoolOrder::Start(support::starts(&bench.run_round()).remove(0));
    bench.advance(1_200);
    assert!(!bench.core.is_outdated(&order, bench.now));
    bench.advance(100);
    assert!(bench.core.is_outdated(&order, bench.now));
}

/// Answers overtake each other: a clock that is a little lower than what is known puts no life in doubt.
#[test]
fn a_start_whose_answer_was_overtaken_is_seen() {
    let mut bench = bench_of_one();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    bench.advance(20);
    answers(&mut bench, Some(FIRST), Duration::ZERO, &[support::listed_run(&start, 0)], &[]);
    bench.core.take_orders();
    let clock_ms = bench.now.as_millis() as u64 - 10;
    bench.core.start_answered(&start, order::StartAnswer::Started { clock_ms }, bench.now);
    assert_eq!(bench.core.take_orders(), []);
}

/// An order that waits to be sent was meant for the life that is over. A start would be carried out
/// by the later one while its task may run elsewhere.
#[test]
fn orders_for_the_former_life_are_outdated() {
    let mut bench = bench_of_one();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    let order = order::PoolOrder::Start(start);
    assert!(!bench.core.is_outdated(&order, bench.now));
    bench.advance(100);
    answers_fresh(&mut bench);
    assert!(bench.core.is_outdated(&order, bench.now));
}

/// A stop bars a start without answer in the life that has answered it, and in no other: the task
/// starts nowhere else before the later life has answered one too.
#[test]
fn a_stop_answered_by_the_former_life_settles_nothing() {
    let mut bench = bench_of_one();
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    bench.core.start_answered(&start, order::StartAnswer::Unknown, bench.now);
    bench.advance(10);
    answers(&mut bench, Some(FIRST), Duration::ZERO, &[], &[]);
    let stop = support::stops(&bench.run_round()).remove(0);
    bench.advance(10);
    answers_fresh(&mut bench);
    let again = support::stops(&bench.run_round());
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].generation, stop.generation);
    bench.core.update_worker(support::worker_id(0), entry(0, SECOND), bench.now);

    bench.core.stop_answered(&stop, true, bench.now);
    bench.advance(10);
    let began = bench.now - Duration::from_millis(10);
    answers(&mut bench, Some(SECOND), began, &[], &[]);
    assert_eq!(support::starts(&bench.run_round()), []);

    bench.core.stop_answered(&again[0], true, bench.now);
    bench.advance(10);
    let began = bench.now - Duration::from_millis(20);
    answers(&mut bench, Some(SECOND), began, &[], &[]);
    // The worker was lost under the task, so that its next start is on record first.
    assert_eq!(support::starts(&bench.run_round()), []);
    bench.save();
    assert_eq!(support::starts(&bench.run_round())[0].attempt, 2);
}

/// A successor looks for a worker where the roster says. One that has started again at another address
/// gets no tasks before the roster tells of it.
#[test]
fn a_worker_that_has_moved_is_named_in_the_roster_first() {
    let mut bench = bench_after_restart(Some(SECOND));
    let moved = worker::WorkerEntry { address: "127.0.0.1:9999".to_owned(), ..entry(0, SECOND) };
    bench.core.update_worker(support::worker_id(0), moved, bench.now);
    bench.admit(2, support::job(1, support::tasks(1)));
    assert_eq!(support::starts(&bench.run_round()), []);
    bench.save();
    assert_eq!(support::starts(&bench.run_round())[0].address, "127.0.0.1:9999");
    // Whoever answers at the former address says nothing about it.
    let former = support::worker_entry(0).address;
    bench.core.worker_replaced(&support::worker_id(0), &former, bench.now);
    assert!(bench.core.worker_ids().any(|it| *it == support::worker_id(0)));
}
