//! Losses of workers, and which tasks are suspected of crashing them.

use std::time::Duration;

use almondpass_graph::{order, progress, task_key, worker};
use almondpass_schema::model;

use crate::support;

/// The key of the only task of a job.
fn first_task(graph: u64) -> task_key::TaskKey {
    task_key::TaskKey { graph, occurrence: 0, step: 0, task: 0 }
}

fn n_suspects(bench: &support::PoolBench) -> usize {
    bench.core.summary().n_suspects
}

/// A job fails once two workers were lost under its task, which ran alone on each, and its state names
/// the cause.
#[test]
fn a_job_fails_once_two_workers_are_lost_under_its_isolated_task() {
    let mut bench = support::PoolBench::new(16);
    bench.admit(1, support::job(1, support::tasks(1)));
    for _ in 0..2 {
        let start = support::run_rounds_with_save(&mut bench).remove(0);
        bench.advance(3_000);
        support::replace_worker(&mut bench, support::index_of(&start.worker));
    }
    bench.save();
    let shown = bench.core.state_of(1).map(|it| (it.state, it.failure));
    let cause = Some(model::FailureCause::CrashesWorkers);
    assert_eq!(shown, Some((model::GraphState::Failed, cause)));
    assert_eq!(bench.core.take_loss_counts().n_given_up, 1);
}

/// Loses the worker of the last task of job 1, a gang on two workers, up to `n_losses` times, and returns the
/// state of the job.
fn state_after_losses_of_a_gang(n_losses: usize) -> Option<model::GraphState> {
    let mut bench = support::PoolBench::new(24);
    bench.admit(1, support::job(1, support::gang(support::tasks(16))));
    for n_lost in 0..n_losses as u64 {
        let starts = support::run_rounds_with_save(&mut bench);
        support::answer_with_runs(&mut bench, &starts, 24);
        bench.advance(1_300);
        let last = starts.last().expect("a start of the gang");
        let lost = support::index_of(&last.worker);
        support::replace_worker(&mut bench, lost);
        bench.run_round();
        let others = starts.iter().filter(|it| it.worker != last.worker);
        let other = support::index_of(&others.clone().next().expect("a second worker").worker);
        let how = order::EndKind::Stopped;
        let first_number = 100 * n_lost + 1;
        let ended = (first_number..).zip(others);
        let ended = ended.map(|(number, it)| support::listed_end(number, it, how));
        bench.answer_poll(other, &[], &ended.collect::<Vec<_>>());
        bench.save();
    }
    bench.core.state_of(1).map(|it| it.state)
}

/// Failure: a gang on two workers was given up after two losses of one of them by chance, as if it had run on
/// one worker.
#[test]
fn a_gang_on_several_workers_is_not_given_up_after_two_losses() {
    assert_eq!(state_after_losses_of_a_gang(2), Some(model::GraphState::Running));
}

/// Failure: urgent suspects beyond the number that may have workers of their own held all empty workers, and
/// other work waited beside them.
#[test]
fn suspects_that_may_not_run_apart_hold_no_workers() {
    let mut bench = support::PoolBench::new(8);
    bench.admit(1, support::job(0, support::tasks(8)));
    let starts = support::run_rounds_with_save(&mut bench);
    bench.advance(1_000);
    support::replace_worker(&mut bench, support::index_of(&starts[0].worker));
    assert_eq!(n_suspects(&bench), 8);
    let n_isolated = support::run_rounds_with_save(&mut bench).len();
    assert!(n_isolated < 4, "{n_isolated}");
    // The suspects avoid the worker that replaced the lost one, so one task could start in any case.
    bench.admit(2, support::job(0, support::whole_workers(2)));
    let started = bench.run_round_and_start();
    assert_eq!(started.iter().filter(|it| it.task.graph == 2).count(), 2);
}

/// Failure: a gang that crashes its workers is started without end.
#[test]
fn a_gang_on_several_workers_is_given_up_after_three_losses() {
    assert_eq!(state_after_losses_of_a_gang(3), Some(model::GraphState::Failed));
}

/// Failure: a job was given up for early losses of its task, although a run of the task was seen to last
/// far longer.
#[test]
fn early_losses_do_not_count_after_a_longer_run() {
    let mut bench = support::PoolBench::new(16);
    bench.admit(1, support::job(1, support::tasks(1)));
    for ran_ms in [4_000, 300, 500, 200] {
        let starts = support::run_rounds_with_save(&mut bench);
        support::answer_with_runs(&mut bench, &starts, 16);
        bench.advance(ran_ms);
        if ran_ms > 1_000 {
            support::answer_with_runs(&mut bench, &starts, 16);
        }
        support::replace_worker(&mut bench, support::index_of(&starts[0].worker));
    }
    bench.save();
    assert_eq!(bench.core.state_of(1).map(|it| it.state), Some(model::GraphState::Running));
}

/// Replaces idle workers of a pool of four, one after the other for 21 s.
fn replace_idle_workers(bench: &mut support::PoolBench) {
    for other in 0..8 {
        bench.advance(2_600);
        (0..4).for_each(|it| bench.answer_poll(it, &[], &[]));
        support::replace_worker(bench, other % 4);
    }
    bench.advance(2_600);
    (0..4).for_each(|it| bench.answer_poll(it, &[], &[]));
}

/// Failure: losses right after each start of a task were attributed to the high rate of other losses at
/// the time.
#[test]
fn losses_right_after_each_start_are_proof_despite_many_others() {
    let mut bench = support::PoolBench::new(4);
    replace_idle_workers(&mut bench);
    bench.admit(1, support::job(1, support::tasks(1)));
    for _ in 0..5 {
        let Some(start) = support::run_rounds_with_save(&mut bench).pop() else { break };
        bench.advance(150);
        support::replace_worker(&mut bench, support::index_of(&start.worker));
        replace_idle_workers(&mut bench);
    }
    bench.save();
    let cause = Some(model::FailureCause::CrashesWorkers);
    assert_eq!(bench.core.state_of(1).map(|it| it.failure), Some(cause));
}

/// A task that ran next to one that crashes its workers is not given up: it lost one worker, and
/// completes in an isolated run.
#[test]
fn a_task_next_to_a_crashing_one_is_not_given_up() {
    let mut bench = support::PoolBench::new(16);
    bench.admit(1, support::job(1, support::tasks(1)));
    bench.admit(2, support::job(1, support::tasks(1)));
    let starts = bench.run_round_and_start();
    assert_eq!(starts[0].worker, starts[1].worker);
    bench.advance(3_000);
    support::replace_worker(&mut bench, support::index_of(&starts[0].worker));
    assert_eq!(n_suspects(&bench), 2);

    for _ in 0..2 {
        let starts = support::run_rounds_with_save(&mut bench);
        let of = |graph| starts.iter().find(|it| it.task == first_task(graph)).cloned();
        let first = of(1).expect("a start");
        if let Some(second) = of(2) {
            assert_ne!(first.worker, second.worker);
            support::answer_with_runs(&mut bench, &starts, 16);
            let end = support::listed_end(1, &second, order::EndKind::Done);
            bench.answer_poll(support::index_of(&second.worker), &[], &[end]);
        }
        bench.advance(3_000);
        support::replace_worker(&mut bench, support::index_of(&first.worker));
    }
    bench.save();
    let state = |graph| bench.core.state_of(graph).map(|it| it.state);
    assert_eq!(state(1), Some(model::GraphState::Failed));
    assert_eq!(state(2), Some(model::GraphState::Completed));
}

/// A worker that was cut off for longer than its lease still lists the end of its task, so it has not
/// crashed.
#[test]
fn a_loss_is_withdrawn_when_the_worker_answers_again() {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    let index = support::index_of(&start.worker);
    bench.core.poll_missed(&start.worker);
    bench.advance(7_000);
    bench.run_round();
    bench.core.unlist_worker(&start.worker, bench.now);
    assert_eq!(n_suspects(&bench), 1);

    bench.core.update_worker(support::worker_id(index), support::worker_entry(index), bench.now);
    bench.answer_poll(index, &[], &[support::listed_end(1, &start, order::EndKind::Lapsed)]);
    assert_eq!(n_suspects(&bench), 0);
}

/// A silent worker whose entry is still updated is more likely cut off from this scheduler than crashed.
#[test]
fn a_silent_worker_in_the_worker_list_makes_no_suspect() {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    bench.core.poll_missed(&start.worker);
    bench.advance(7_000);
    bench.run_round();
    assert_eq!(n_suspects(&bench), 0);
    assert!(bench.core.summary().n_waiting + bench.core.summary().n_running > 0);
}

/// A worker that leaves may stop before the time that it announced.
#[test]
fn the_loss_of_a_leaving_worker_makes_no_suspect() {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    let index = support::index_of(&start.worker);
    let leaves_in = Some(Duration::from_secs(60));
    let leaving = worker::WorkerEntry { leaves_in, ..support::worker_entry(index) };
    bench.core.update_worker(start.worker.clone(), leaving, bench.now);
    bench.advance(500);
    bench.core.worker_replaced(&start.worker, &start.address, bench.now);
    assert_eq!(n_suspects(&bench), 0);
}

/// Jobs that lose their workers in eight power losses in a row, each of half of the pool, are not given
/// up.
#[test]
fn power_losses_make_no_suspects() {
    let mut bench = support::PoolBench::new(16);
    for graph in 1..=16 {
        bench.admit(graph, support::job(0, support::whole_workers(1)));
    }
    let mut starts = bench.run_round_and_start();
    assert_eq!(starts.len(), 16);
    for _ in 0..8 {
        support::answer_with_runs(&mut bench, &starts, 16);
        let lost_starts =
            starts.iter().filter(|it| it.task.graph <= 8).cloned().collect::<Vec<_>>();
        for start in &lost_starts {
            bench.core.poll_missed(&start.worker);
        }
        bench.advance(600);
        for start in &lost_starts {
            support::replace_worker(&mut bench, support::index_of(&start.worker));
        }
        starts.retain(|it| it.task.graph > 8);
        bench.save();
        let restarts = support::run_rounds_with_save(&mut bench);
        assert_eq!(restarts.len(), 8);
        starts.extend(restarts);
    }
    assert_eq!(n_suspects(&bench), 0);
    let states = (1..=16).map(|it| bench.core.state_of(it).map(|it| it.state));
    assert!(states.into_iter().all(|it| it == Some(model::GraphState::Running)));
}

/// A suspect starts on an empty worker, and nothing starts next to it.
#[test]
fn a_suspect_runs_isolated() {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(1, support::tasks(1)));
    let first = bench.run_round_and_start().remove(0);
    bench.admit(2, support::job(1, support::tasks(1)));
    let other = bench.run_round_and_start().remove(0);
    bench.advance(1_000);
    support::replace_worker(&mut bench, support::index_of(&first.worker));
    let starts = support::run_rounds_with_save(&mut bench);
    let suspect = starts.iter().find(|it| it.task == first_task(1)).expect("a start").clone();
    let on_same_worker = starts.iter().filter(|it| it.worker == suspect.worker);
    assert_eq!(on_same_worker.count(), 1);
    assert_eq!(first.worker, other.worker);
    // Tasks that would fill eight workers fit only on the other workers.
    bench.admit(3, support::job(0, support::tasks(64)));
    let starts = bench.run_round_and_start();
    assert!(!starts.is_empty());
    assert!(starts.iter().all(|it| it.worker != suspect.worker));
}

/// If no worker becomes empty, a suspect starts next to other work before the platform counts its job as
/// lost for being idle.
#[test]
fn a_suspect_starts_next_to_other_work_after_a_timeout() {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(1, support::tasks(24)));
    let starts = bench.run_round_and_start();
    bench.advance(500);
    let lost = support::index_of(&starts[0].worker);
    support::replace_worker(&mut bench, lost);
    let running = starts.into_iter().filter(|it| support::index_of(&it.worker) != lost);
    let running = running.collect::<Vec<_>>();
    let mut restarts = Vec::new();
    for _ in 0..25 {
        let all = running.iter().chain(&restarts).cloned().collect::<Vec<_>>();
        support::answer_with_runs(&mut bench, &all, 4);
        bench.core.set_wall_time(bench.now);
        restarts.extend(support::run_rounds_with_save(&mut bench));
    }
    assert_eq!(restarts.len() + running.len(), 24);
}

/// Failure: a job was idle for 2 s longer on an idle pool, as other suspects had the workers that are
/// kept for suspects.
#[test]
fn a_suspect_of_an_idle_job_runs_isolated_at_once() {
    let mut bench = support::PoolBench::new(8);
    bench.admit(1, support::job(1, support::tasks(7)));
    bench.admit(2, support::job(1, support::tasks(1)));
    let lost = support::index_of(&bench.run_round_and_start()[0].worker);
    bench.advance(1_000);
    support::replace_worker(&mut bench, lost);
    let mut starts = support::run_rounds_with_save(&mut bench);
    for _ in 0..10 {
        support::answer_with_runs(&mut bench, &starts, 8);
        starts.extend(support::run_rounds_with_save(&mut bench));
    }
    let of_idle_job = starts.iter().find(|it| it.task == first_task(2)).expect("a start");
    assert_eq!(starts.iter().filter(|it| it.worker == of_idle_job.worker).count(), 1);
}

/// Failure: suspects ran next to other tasks right after an outage, as the outage counted as waiting for
/// an empty worker.
#[test]
fn suspects_wait_for_isolated_runs_after_an_outage() {
    let mut bench = support::PoolBench::new(3);
    bench.admit(1, support::job(1, support::tasks(5)));
    let starts = bench.run_round_and_start();
    let lost = support::index_of(&starts[0].worker);
    bench.admit(2, support::job(1, support::tasks(8)));
    let mut running = bench.run_round_and_start();
    running.retain(|it| support::index_of(&it.worker) != lost);
    support::replace_worker(&mut bench, lost);
    let mut n_starts = Vec::new();
    for millis in [5_000, 500, 500, 500, 500, 500] {
        bench.advance(millis);
        support::answer_with_runs(&mut bench, &running, 3);
        let starts = support::run_rounds_with_save(&mut bench);
        n_starts.push(starts.iter().filter(|it| it.task.graph == 1).count());
        running.extend(starts);
    }
    assert_eq!(n_starts[..4], [1, 0, 0, 0]);
    assert!(n_starts[4..].iter().sum::<usize>() > 0, "{n_starts:?}");
}

/// Recorded losses are saved, and a successor adds to them.
#[test]
fn a_successor_adds_to_the_recorded_losses() {
    let mut bench = support::PoolBench::new(16);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    bench.advance(3_000);
    support::replace_worker(&mut bench, support::index_of(&start.worker));
    bench.save();

    let mut next = support::PoolBench::new(16);
    next.inherit(1, support::job(1, support::tasks(1)), bench.saved.remove(&1));
    assert_eq!(n_suspects(&next), 1);
    let start = support::run_rounds_with_save(&mut next).remove(0);
    next.advance(3_000);
    support::replace_worker(&mut next, support::index_of(&start.worker));
    next.save();
    assert_eq!(next.core.state_of(1).map(|it| it.state), Some(model::GraphState::Failed));
}

/// A suspect whose second start is saved and sent: the saved rows of its job, and that start.
fn saved_second_start() -> (progress::SavedChunks, order::StartOrder) {
    let mut bench = support::PoolBench::new(16);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    bench.advance(3_000);
    support::replace_worker(&mut bench, support::index_of(&start.worker));
    let second = support::run_rounds_with_save(&mut bench).remove(0);
    (bench.saved.remove(&1).expect("a saved start"), second)
}

/// A successor that reads these rows, and has had no answer yet; `elapsed_ms` later by the workers' clocks.
fn successor_with(saved: progress::SavedChunks, elapsed_ms: u64) -> support::PoolBench {
    let mut next = support::PoolBench::with_unanswered_workers(16, Duration::from_secs(2_000));
    next.advance(elapsed_ms);
    next.inherit(1, support::job(1, support::tasks(1)), Some(saved));
    next
}

/// Number of losses that a scheduler has on record after its next rounds.
fn n_losses_on_record(bench: &mut support::PoolBench) -> usize {
    support::run_rounds_with_save(bench);
    bench.save();
    let rows = bench.saved.remove(&1).map(|it| format!("{it:?}")).unwrap_or_default();
    rows.matches("odds_ppm").count()
}

/// Rows of a release that saved no places of starts.
fn without_places(saved: &progress::SavedChunks) -> progress::SavedChunks {
    let mut chunks = progress::SavedChunks::default();
    for (chunk, row) in saved.rows() {
        let mut row = row.clone();
        for start in row.steps.iter_mut().flat_map(|it| &mut it.trials) {
            start.place = None;
        }
        chunks.insert(chunk, row);
    }
    chunks
}

/// Time after which the second start of [`saved_second_start`] was sent.
const SECOND_START_MS: u64 = 3_000;

/// Failure: if the scheduler failed while a worker was down under a suspect, the loss left no trace. The
/// successor counts a saved start as a loss if no worker lists it, and does not if one does.
#[test]
fn a_saved_start_that_no_worker_lists_counts_as_a_loss() {
    let (saved, second) = saved_second_start();
    let mut next = support::PoolBench::new(16);
    next.inherit(1, support::job(1, support::tasks(1)), Some(without_places(&saved)));
    next.run_round();
    assert_eq!(n_losses_on_record(&mut next), 2);

    let mut next = successor_with(saved, SECOND_START_MS);
    let index = support::index_of(&second.worker);
    next.answer_poll(index, &[support::listed_run(&second, 5)], &[]);
    for other in (0..16).filter(|it| *it != index) {
        next.answer_poll(other, &[], &[]);
    }
    let end = support::listed_end(1, &second, order::EndKind::Stopped);
    next.answer_poll(index, &[], &[end]);
    assert_eq!(n_losses_on_record(&mut next), 1);
}

/// What the worker of a saved start shows its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShownWorker {
    /// It is in the incarnation of the start.
    Same,
    /// It has started again: its clock begins anew.
    Restarted,
    /// It does not answer, and its lease has lapsed.
    Silent,
    /// It was cut off, and answers in the incarnation of the start once its lease has lapsed.
    BackAgain,
}

fn check_saved_start(shown: ShownWorker, n_losses: usize) {
    let (saved, second) = saved_second_start();
    let elapsed_ms = if shown == ShownWorker::Restarted { 0 } else { SECOND_START_MS };
    let mut next = successor_with(saved, elapsed_ms);
    let index = support::index_of(&second.worker);
    let answers = matches!(shown, ShownWorker::Same | ShownWorker::Restarted);
    for worker in (0..16).filter(|it| answers || *it != index) {
        next.answer_poll(worker, &[], &[]);
    }
    if !answers {
        next.core.bound_settling(next.now);
    }
    next.run_round();
    if shown == ShownWorker::BackAgain {
        next.save();
        next.answer_poll(index, &[], &[]);
    }
    assert_eq!(n_losses_on_record(&mut next), n_losses);
    assert_eq!(next.core.state_of(1).map(|it| it.state), Some(model::GraphState::Running));
}

macro_rules! saved_start_tests {
    ($($(#[$doc:meta])* $name:ident: $shown:ident => $n_losses:literal;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            check_saved_start(ShownWorker::$shown, $n_losses);
        })*
    };
}

saved_start_tests! {
    /// Guards against work that is given up for starts that were saved and never sent, as their holders died.
    a_saved_start_is_no_loss_if_its_worker_lives: Same => 1;
    a_saved_start_is_a_loss_if_its_worker_has_started_again: Restarted => 2;
    a_saved_start_is_a_loss_if_its_worker_is_gone: Silent => 2;
    a_saved_start_is_no_loss_any_more_if_its_worker_comes_back: BackAgain => 1;
}
