//! Recorded states that keep a task or a worker out of use. Each of them has to end even if the
//! event that usually ends it never comes.

use almondpass_graph::{order, timing, worker};
use almondpass_schema::model;

use crate::support;

/// Longest time that a job may wait although a worker has free capacity for it.
const MAX_WAIT_MS: u64 = 3_000;

/// Interval between two polls.
const POLL_INTERVAL_MS: u64 = 100;

/// Lets `millis` pass, during which all workers answer polls with empty lists. Returns the starts
/// that were ordered.
fn advance_with_idle_workers(
    bench: &mut support::PoolBench,
    millis: u64,
    answers_stops: bool,
) -> Vec<order::StartOrder> {
    let mut started = Vec::new();
    for _ in 0..millis / POLL_INTERVAL_MS {
        bench.advance(POLL_INTERVAL_MS);
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

/// Failure: a start order that was lost within the scheduler kept its task from running for ever.
#[test]
fn task_restarts_after_its_start_is_never_answered() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::tasks(1)));
    assert_eq!(support::starts(&bench.run_round()).len(), 1);
    let restarted = advance_with_idle_workers(&mut bench, MAX_WAIT_MS, true);
    assert_eq!(restarted.iter().map(|it| it.attempt).collect::<Vec<_>>(), [2]);
}

/// Failure: a task never ran after its start had been refused by another worker, which had taken
/// over the address of the intended one.
#[test]
fn task_restarts_after_another_worker_refused_its_start() {
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    let moved_entry =
        worker::WorkerEntry { address: "127.0.0.1:9000".to_owned(), ..support::worker_entry(0) };
    bench.core.update_worker(start.worker.clone(), moved_entry, bench.now);
    bench.core.start_answered(&start, order::StartAnswer::Replaced, bench.now);
    let restarted = advance_with_idle_workers(&mut bench, 1_000, true);
    assert_eq!(restarted.iter().map(|it| it.attempt).collect::<Vec<_>>(), [2]);
}

/// Failure: a worker that answers polls but no stops kept a task, whose start it never received,
/// for as long as it did so.
#[test]
fn unanswered_start_expires_after_its_deadline() {
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    bench.core.start_answered(&start, order::StartAnswer::Unknown, bench.now);
    let early = advance_with_idle_workers(&mut bench, 2_500, false);
    assert_eq!(early, []);
    let late = advance_with_idle_workers(&mut bench, 1_000, false);
    assert_eq!(late.iter().map(|it| it.attempt).collect::<Vec<_>>(), [2]);
}

/// Failure: a task that failed on the only suitable worker was never started again.
#[test]
fn task_restarts_on_the_only_worker_after_failing_there() {
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    bench.answer_poll(0, &[], &[support::listed_end(1, &start, order::EndKind::Failed)]);
    let restarted = advance_with_idle_workers(&mut bench, MAX_WAIT_MS, true);
    assert_eq!(restarted.iter().map(|it| it.attempt).collect::<Vec<_>>(), [2]);
}

/// Failure: jobs that fail wherever they run paused all workers, in the end for half a minute.
#[test]
fn jobs_that_fail_everywhere_do_not_pause_all_workers() {
    let mut bench = support::PoolBench::new(4);
    let mut n_ends = [0; 4];
    for graph in 1..=130 {
        bench.admit(graph, support::job(1, support::tasks(1)));
        bench.advance(POLL_INTERVAL_MS);
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
    let started = advance_with_idle_workers(&mut bench, MAX_WAIT_MS, true);
    assert!(started.iter().any(|it| it.task.graph == 1_000), "found only {started:?}");
}

/// Failure: tasks that run far longer than usual for their class made all their workers count as
/// slow.
#[test]
fn long_tasks_of_a_class_do_not_make_all_workers_slow() {
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
    let five_accelerators = model::GraphStep { accelerators: 5, ..support::tasks(1) };
    for graph in 51..=54 {
        bench.admit(graph, support::job(1, five_accelerators.clone()));
    }
    let mut long_runs = Vec::new();
    for _ in 0..20 {
        bench.advance(POLL_INTERVAL_MS);
        for worker in 0..4 {
            bench.answer_poll(worker, &runs_on(&long_runs, worker, 0), &[]);
        }
        long_runs.extend(bench.run_round_and_start());
    }
    assert_eq!(long_runs.len(), 4);
    let mut started = Vec::new();
    for tick in 0..80 {
        if tick == 40 {
            bench.admit(100, support::job(1, support::tasks(1)));
        }
        bench.advance(POLL_INTERVAL_MS);
        for worker in 0..4 {
            bench.answer_poll(worker, &runs_on(&long_runs, worker, tick / 2), &[]);
        }
        started.extend(bench.run_round_and_start());
    }
    assert!(started.iter().any(|it| it.task.graph == 100), "found only {started:?}");
}

fn runs_on(starts: &[order::StartOrder], worker: usize, percent: u32) -> Vec<order::ListedRun> {
    let on_worker = starts.iter().filter(|it| support::index_of(&it.worker) == worker);
    on_worker.map(|it| support::listed_run(it, percent)).collect()
}

/// Implausible clock readings and progress reports must not stop the scheduler.
#[test]
fn implausible_clocks_and_progress_do_not_panic() {
    let clocks = [0, 1, u64::MAX / 2, u64::MAX - 1, u64::MAX];
    for (first_clock_ms, later_clock_ms) in
        clocks.iter().flat_map(|one| clocks.map(|other| (*one, other)))
    {
        let mut bench = support::PoolBench::new(1);
        bench.admit(1, support::job(0, support::tasks(2)));
        let starts = bench.run_round_and_start();
        for (clock_ms, percent) in [
            (first_clock_ms, 0),
            (later_clock_ms, 1),
            (later_clock_ms, u32::MAX),
            (first_clock_ms, 99),
        ] {
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

/// One of two workers runs a task that fills it; on the other one a task has just failed. Returns
/// the index of the worker of the failed task, and the start on the busy worker.
fn failed_task_and_busy_worker() -> (support::PoolBench, usize, order::StartOrder) {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::whole_workers(1)));
    let busy_start = bench.run_round_and_start().remove(0);
    bench.admit(2, support::job(1, support::whole_workers(1)));
    let start = bench.run_round_and_start().remove(0);
    let worker = support::index_of(&start.worker);
    bench.answer_poll(worker, &[], &[support::listed_end(1, &start, order::EndKind::Failed)]);
    bench.save();
    (bench, worker, busy_start)
}

/// Lets `seconds` pass, during which the run on the busy worker makes progress.
fn advance_with_busy_worker(
    bench: &mut support::PoolBench,
    worker: usize,
    busy_start: &order::StartOrder,
    seconds: u32,
) -> Vec<order::StartOrder> {
    let mut started = Vec::new();
    for _ in 0..seconds {
        bench.advance(1_000);
        bench.answer_poll(worker, &[], &[]);
        let percent = bench.now.saturating_sub(busy_start.ordered_at).as_secs() as u32;
        bench.answer_poll(1 - worker, &[support::listed_run(busy_start, percent)], &[]);
        started.extend(bench.run_round_and_start());
    }
    started
}

/// Failure: a task was started on the worker on which it had failed, until its attempts were used
/// up, although another worker was about to become free.
#[test]
fn failed_task_waits_for_another_worker() {
    let (mut bench, worker, busy_start) = failed_task_and_busy_worker();
    assert_eq!(advance_with_busy_worker(&mut bench, worker, &busy_start, 4), []);
    bench.answer_poll(
        1 - worker,
        &[],
        &[support::listed_end(1, &busy_start, order::EndKind::Done)],
    );
    let restarted = bench.run_round_and_start();
    assert_eq!(restarted.iter().map(|it| &it.worker).collect::<Vec<_>>(), [&busy_start.worker]);
}

/// Failure: a task avoided the worker on which it had failed for ever, because another suitable
/// worker existed that never became free.
#[test]
fn failed_task_restarts_on_its_worker_if_no_other_becomes_free() {
    let (mut bench, worker, busy_start) = failed_task_and_busy_worker();
    assert_eq!(advance_with_busy_worker(&mut bench, worker, &busy_start, 9), []);
    let restarted = advance_with_busy_worker(&mut bench, worker, &busy_start, 1);
    assert_eq!(
        restarted.iter().map(|it| support::index_of(&it.worker)).collect::<Vec<_>>(),
        [worker]
    );
}

/// Failure: a worker that had restarted and answered polls but no stops kept a task whose start its
/// earlier incarnation never received.
#[test]
fn start_to_an_earlier_incarnation_expires_after_the_longest_lease() {
    const MAX_EXPIRY_MS: u64 = 20_000;
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = support::starts(&bench.run_round()).remove(0);
    bench.core.start_answered(&start, order::StartAnswer::Unknown, bench.now);
    bench.advance(1_000);
    let incarnation_began_at = bench.now;
    let listing = worker::WorkerEntry { incarnation: Some(7), ..support::worker_entry(0) };
    bench.core.update_worker(start.worker.clone(), listing, bench.now);
    let mut restarted = Vec::new();
    for _ in 0..MAX_EXPIRY_MS / POLL_INTERVAL_MS {
        bench.advance(POLL_INTERVAL_MS);
        let listed = order::PollReply {
            incarnation: Some(7),
            clock_ms: (bench.now - incarnation_began_at).as_millis() as u64,
            running: Vec::new(),
            ended: Vec::new(),
            complete: true,
        };
        bench.core.poll_answered(&start.worker, listed, bench.now, bench.now);
        let orders = bench.run_round();
        for stop in support::stops(&orders) {
            bench.core.stop_answered(&stop, false, bench.now);
        }
        restarted = support::starts(&orders);
        if !restarted.is_empty() {
            break;
        }
        bench.save();
    }
    assert_eq!(restarted.iter().map(|it| it.attempt).collect::<Vec<_>>(), [2]);
    let timing = timing::PoolTiming::default();
    assert!(bench.now - start.ordered_at > timing.start_timeout + timing.longest_lease);
}
