//! Beliefs that keep a task or a worker out of use: each has an end, though what usually ends it never comes.

use almondpass_graph::{order, timing, worker};
use almondpass_schema::model;

use crate::support;

/// A job waits for at most this long although there is room for it.
const PATIENCE_MS: u64 = 3_000;

/// Time between two looks.
const LOOK_MS: u64 = 100;

/// Lets `millis` pass, in which the workers list nothing. Returns the starts that were ordered.
fn pass_idle(
    bench: &mut support::PoolBench,
    millis: u64,
    answers_stops: bool,
) -> Vec<order::StartOrder> {
    let mut started = Vec::new();
    for _ in 0..millis / LOOK_MS {
        bench.advance(LOOK_MS);
        for worker in 0..bench.core.summary().n_workers {
            bench.answer_poll(worker, &[], &[]);
        }
        let orders = bench.run_round();
        for stop in support::stops(&orders) {
            bench.core.stop_answered(&stop, answers_stops, bench.now);
        }
        started.extend(support::starts(&orders));
        bench.save();
    }
    started
}

/// A start that is lost inside the scheduler keeps its task from running without end.
#[test]
fn a_start_that_is_never_answered_is_settled() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::tasks(1)));
    assert_eq!(support::starts(&bench.run_round()).len(), 1);
    let again = pass_idle(&mut bench, PATIENCE_MS, true);
    assert_eq!(again.iter().map(|it| it.attempt).collect::<Vec<_>>(), [2]);
}

/// A start that another worker refused, where the one that was meant had been, keeps its task from running.
#[test]
fn a_start_refused_at_a_former_address_is_settled() {
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    let moved =
        worker::WorkerEntry { address: "127.0.0.1:9000".to_owned(), ..support::worker_entry(0) };
    bench.core.update_worker(start.worker.clone(), moved, bench.now);
    bench.core.start_answered(&start, order::StartAnswer::Replaced, bench.now);
    let again = pass_idle(&mut bench, 1_000, true);
    assert_eq!(again.iter().map(|it| it.attempt).collect::<Vec<_>>(), [2]);
}

/// A worker that answers looks and no stops keeps a task that it never got for as long as it does so.
#[test]
fn a_start_without_answer_is_over_behind_its_deadline() {
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    bench.core.start_answered(&start, order::StartAnswer::Unknown, bench.now);
    let early = pass_idle(&mut bench, 2_500, false);
    assert_eq!(early, []);
    let late = pass_idle(&mut bench, 1_000, false);
    assert_eq!(late.iter().map(|it| it.attempt).collect::<Vec<_>>(), [2]);
}

/// A task that failed on the only worker that has what it needs never started again.
#[test]
fn a_task_starts_again_where_it_failed_if_there_is_no_other_place() {
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    bench.answer_poll(0, &[], &[support::listed_end(1, &start, order::EndKind::Failed)]);
    let again = pass_idle(&mut bench, PATIENCE_MS, true);
    assert_eq!(again.iter().map(|it| it.attempt).collect::<Vec<_>>(), [2]);
}

/// Jobs that fail wherever they run paused all workers, for half a minute at last.
#[test]
fn jobs_that_fail_everywhere_leave_workers_for_others() {
    let mut bench = support::PoolBench::new(4);
    let mut n_ends = [0; 4];
    for graph in 1..=130 {
        bench.admit(graph, support::job(1, support::tasks(1)));
        bench.advance(LOOK_MS);
        for worker in 0..4 {
            bench.answer_poll(worker, &[], &[]);
        }
        for start in bench.run_round_and_start() {
            let worker = support::index_of(&start.worker);
            n_ends[worker] += 1;
            let end = support::listed_end(n_ends[worker], &start, order::EndKind::Failed);
            bench.answer_poll(worker, &[], &[end]);
        }
        bench.save();
    }
    bench.admit(1_000, support::job(0, support::tasks(1)));
    let started = pass_idle(&mut bench, PATIENCE_MS, true);
    assert!(started.iter().any(|it| it.task.graph == 1_000), "found only {started:?}");
}

/// Tasks that take far longer than their class usually does made all workers count as slow while they ran.
#[test]
fn long_tasks_of_a_class_leave_workers_for_others() {
    let mut bench = support::PoolBench::new(4);
    let mut n_ends = [0; 4];
    for graph in 1..=10 {
        bench.admit(graph, support::job(1, support::tasks(1)));
        let start = bench.run_round_and_start().remove(0);
        bench.advance(500);
        let worker = support::index_of(&start.worker);
        n_ends[worker] += 1;
        bench.answer_poll(
            worker,
            &[],
            &[support::listed_end(n_ends[worker], &start, order::EndKind::Done)],
        );
        bench.save();
    }
    let most = model::GraphStep { accelerators: 5, ..support::tasks(1) };
    for graph in 51..=54 {
        bench.admit(graph, support::job(1, most.clone()));
    }
    let mut long = Vec::new();
    for _ in 0..20 {
        bench.advance(LOOK_MS);
        for worker in 0..4 {
            bench.answer_poll(worker, &runs_on(&long, worker, 0), &[]);
        }
        long.extend(bench.run_round_and_start());
    }
    assert_eq!(long.len(), 4);
    let mut started = Vec::new();
    for tick in 0..80 {
        if tick == 40 {
            bench.admit(100, support::job(1, support::tasks(1)));
        }
        bench.advance(LOOK_MS);
        for worker in 0..4 {
            bench.answer_poll(worker, &runs_on(&long, worker, tick / 2), &[]);
        }
        started.extend(bench.run_round_and_start());
    }
    assert!(started.iter().any(|it| it.task.graph == 100), "found only {started:?}");
}

fn runs_on(starts: &[order::StartOrder], worker: usize, percent: u32) -> Vec<order::ListedRun> {
    let there = starts.iter().filter(|it| support::index_of(&it.worker) == worker);
    there.map(|it| support::listed_run(it, percent)).collect()
}

/// Whatever workers answer, the scheduler goes on.
#[test]
fn odd_clocks_and_progress_end_no_turn() {
    let clocks = [0, 1, u64::MAX / 2, u64::MAX - 1, u64::MAX];
    for (first, then) in clocks.iter().flat_map(|one| clocks.map(|other| (*one, other))) {
        let mut bench = support::PoolBench::new(1);
        bench.admit(1, support::job(0, support::tasks(2)));
        let starts = bench.run_round_and_start();
        for (clock_ms, percent) in [(first, 0), (then, 1), (then, u32::MAX), (first, 99)] {
            bench.advance(1_500);
            let running = starts.iter().map(|it| support::listed_run(it, percent));
            let listed = order::PollReply {
                clock_ms,
                running: running.collect(),
                complete: true,
                ..order::PollReply::default()
            };
            bench.core.next_poll(&support::worker_id(0), bench.now);
            bench.core.poll_answered(&support::worker_id(0), listed, bench.now, bench.now);
            bench.run_round();
            bench.advance(40_000);
            bench.run_round();
        }
    }
}

/// A task has just failed on one of two workers, and the other one is full: the number of the former, and the
/// run on the latter.
fn beside_a_busy_worker() -> (support::PoolBench, usize, order::StartOrder) {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::whole_workers(1)));
    let other = bench.run_round_and_start().remove(0);
    bench.admit(2, support::job(1, support::whole_workers(1)));
    let start = bench.run_round_and_start().remove(0);
    let worker = support::index_of(&start.worker);
    bench.answer_poll(worker, &[], &[support::listed_end(1, &start, order::EndKind::Failed)]);
    bench.save();
    (bench, worker, other)
}

/// Lets seconds pass, in which the busy worker goes on.
fn pass_beside(
    bench: &mut support::PoolBench,
    worker: usize,
    other: &order::StartOrder,
    seconds: u32,
) -> Vec<order::StartOrder> {
    let mut started = Vec::new();
    for _ in 0..seconds {
        bench.advance(1_000);
        bench.answer_poll(worker, &[], &[]);
        let percent = bench.now.saturating_sub(other.ordered_at).as_secs() as u32;
        bench.answer_poll(1 - worker, &[support::listed_run(other, percent)], &[]);
        started.extend(bench.run_round_and_start());
    }
    started
}

/// A task goes back to the worker on which it failed, until its attempts are used up, beside one that is soon free.
#[test]
fn a_task_waits_for_another_worker_than_the_one_on_which_it_failed() {
    let (mut bench, worker, other) = beside_a_busy_worker();
    assert_eq!(pass_beside(&mut bench, worker, &other, 4), []);
    bench.answer_poll(1 - worker, &[], &[support::listed_end(1, &other, order::EndKind::Done)]);
    let again = bench.run_round_and_start();
    assert_eq!(again.iter().map(|it| &it.worker).collect::<Vec<_>>(), [&other.worker]);
}

/// A task keeps off the worker on which it failed without end, as another one has what it needs and is never free.
#[test]
fn a_task_goes_back_where_it_failed_if_no_other_worker_comes_free() {
    let (mut bench, worker, other) = beside_a_busy_worker();
    assert_eq!(pass_beside(&mut bench, worker, &other, 9), []);
    let again = pass_beside(&mut bench, worker, &other, 1);
    assert_eq!(again.iter().map(|it| support::index_of(&it.worker)).collect::<Vec<_>>(), [worker]);
}

/// A worker that has started again, and answers looks and no stops, keeps a task that its former life never got.
#[test]
fn a_start_to_a_former_life_is_over_behind_the_longest_lease() {
    const SURELY_OVER_MS: u64 = 20_000;
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    bench.core.start_answered(&start, order::StartAnswer::Unknown, bench.now);
    bench.advance(1_000);
    let born = bench.now;
    let listing = worker::WorkerEntry { incarnation: Some(7), ..support::worker_entry(0) };
    bench.core.update_worker(start.worker.clone(), listing, bench.now);
    let mut again = Vec::new();
    for _ in 0..SURELY_OVER_MS / LOOK_MS {
        bench.advance(LOOK_MS);
        let listed = order::PollReply {
            incarnation: Some(7),
            clock_ms: (bench.now - born).as_millis() as u64,
            running: Vec::new(),
            ended: Vec::new(),
            complete: true,
        };
        bench.core.poll_answered(&start.worker, listed, bench.now, bench.now);
        let orders = bench.run_round();
        for stop in support::stops(&orders) {
            bench.core.stop_answered(&stop, false, bench.now);
        }
        again = support::starts(&orders);
        if !again.is_empty() {
            break;
        }
        bench.save();
    }
    assert_eq!(again.iter().map(|it| it.attempt).collect::<Vec<_>>(), [2]);
    let timing = timing::PoolTiming::default();
    assert!(bench.now - start.ordered_at > timing.start_timeout + timing.longest_lease);
}
