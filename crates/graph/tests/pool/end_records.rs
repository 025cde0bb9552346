//! What has to be durable before an end is acknowledged to its worker, which then forgets it.

use almondpass_graph::{order, saving};
use almondpass_schema::model;

use crate::support;

/// Whether the next poll of a worker lets it forget its end with that number.
fn acknowledges(bench: &mut support::PoolBench, start: &order::StartOrder, number: u64) -> bool {
    let poll = bench.core.next_poll(&start.worker, bench.now).expect("a known worker");
    poll.last_seen >= number
}

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

/// The tasks of the first step that the rows of a batch show as done.
fn tasks_shown_done(batch: &saving::SaveBatch) -> Vec<u32> {
    let rows = batch.rows.iter().filter_map(|it| match &it.content {
        saving::SaveContent::Progress(row) => row.steps.first(),
        _ => None,
    });
    rows.flat_map(|it| it.done.clone()).collect()
}

/// Saves all rows, and checks that the worker of a start may forget its first end only afterwards.
fn assert_acknowledged_once_saved(bench: &mut support::PoolBench, start: &order::StartOrder) {
    assert!(!acknowledges(bench, start, 1), "acknowledged before it is saved");
    bench.save();
    assert!(acknowledges(bench, start, 1), "not acknowledged although it is saved");
}

/// Runs rounds with a save in between, as a suspect starts only once its start is saved. All starts
/// succeed.
fn start_all(bench: &mut support::PoolBench) -> Vec<order::StartOrder> {
    let mut starts = bench.run_round_and_start();
    bench.save();
    starts.extend(bench.run_round_and_start());
    starts
}

/// Job 1 of two tasks on two workers, with the starts of its tasks. One failure ends it.
fn bench_with_two_runs(step: model::GraphStep) -> (support::PoolBench, Vec<order::StartOrder>) {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, model::GraphRow { max_attempts: 1, ..support::job(1, step) });
    let starts = start_all(&mut bench);
    assert_eq!(starts.len(), 2);
    (bench, starts)
}

/// Another worker answers at the address of a start's worker, which is lost.
fn lose_worker(bench: &mut support::PoolBench, start: &order::StartOrder) {
    let address = support::worker_entry(support::index_of(&start.worker)).address;
    bench.core.worker_replaced(&start.worker, &address, bench.now);
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

/// Guards against ends of unknown jobs that pass without a trace, as their tasks may run again.
#[test]
fn an_end_of_an_unknown_job_is_counted() {
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    bench.core.forget_job(1);
    list_end(&mut bench, &start, 1, order::EndKind::Done);
    assert_eq!(bench.core.take_end_counts().n_of_unknown_jobs, 1);
}

/// Guards against done work that starts again: the job had failed in memory only, the done end of another
/// task was acknowledged unsaved, and a successor found neither.
#[test]
fn a_done_end_of_a_job_that_has_failed_unsaved_is_saved_first() {
    let (mut bench, starts) = bench_with_two_runs(support::whole_workers(2));
    list_end(&mut bench, &starts[0], 1, order::EndKind::Failed);
    list_end(&mut bench, &starts[1], 1, order::EndKind::Done);
    assert_acknowledged_once_saved(&mut bench, &starts[1]);
}

/// Guards against an end that waits for a row which does not show it.
#[test]
fn the_row_of_a_job_that_has_failed_unsaved_shows_its_done_tasks() {
    let (mut bench, starts) = bench_with_two_runs(support::whole_workers(2));
    list_end(&mut bench, &starts[0], 1, order::EndKind::Failed);
    list_end(&mut bench, &starts[1], 1, order::EndKind::Done);
    let batch = bench.take_save_batch().expect("rows to save");
    assert_eq!(tasks_shown_done(&batch), [starts[1].task.task]);
    bench.core.batch_saved(batch);
    let shown = bench.core.state_of(1).map(|it| it.state);
    assert_eq!(shown, Some(model::GraphState::Failed));
}

/// Guards against done work that starts again: the job had been given up in memory only.
#[test]
fn a_done_end_of_a_job_that_was_given_up_unsaved_is_saved_first() {
    let mut bench = support::PoolBench::new(16);
    bench.admit(1, support::job(1, support::whole_workers(2)));
    let starts = start_all(&mut bench);
    let (crashing, other) = (&starts[0], &starts[1]);
    bench.advance(3_000);
    lose_worker(&mut bench, crashing);
    let again = start_all(&mut bench).remove(0);
    assert_eq!(again.task, crashing.task);
    bench.advance(3_000);
    lose_worker(&mut bench, &again);
    assert_eq!(bench.core.take_loss_counts().n_given_up, 1);
    list_end(&mut bench, other, 1, order::EndKind::Done);
    assert_acknowledged_once_saved(&mut bench, other);
}

/// Guards against a failure that is forgotten: the first member's failure waited for the row, that of the
/// second, which counts as the same, was acknowledged at once, and both workers may forget it.
#[test]
fn the_failure_of_a_second_member_waits_for_that_of_its_gang() {
    let (mut bench, starts) = bench_with_two_runs(support::gang(support::whole_workers(2)));
    list_end(&mut bench, &starts[0], 1, order::EndKind::Failed);
    list_end(&mut bench, &starts[1], 1, order::EndKind::Failed);
    assert_acknowledged_once_saved(&mut bench, &starts[1]);
}

/// Guards against a gang that starts again: one member's done end waited for the row, while the failure of
/// another, which the done end makes void, was acknowledged at once.
#[test]
fn a_failure_in_a_gang_that_is_done_waits_for_the_done_end() {
    let (mut bench, starts) = bench_with_two_runs(support::gang(support::whole_workers(2)));
    list_end(&mut bench, &starts[0], 1, order::EndKind::Done);
    list_end(&mut bench, &starts[1], 1, order::EndKind::Failed);
    assert_acknowledged_once_saved(&mut bench, &starts[1]);
}

/// Guards against writes without use: the end of a job is durable, and nothing of its ends matters.
#[test]
fn an_end_of_a_job_whose_end_is_saved_waits_for_nothing() {
    let (mut bench, starts) = bench_with_two_runs(support::whole_workers(2));
    list_end(&mut bench, &starts[0], 1, order::EndKind::Failed);
    bench.save();
    list_end(&mut bench, &starts[1], 1, order::EndKind::Done);
    assert!(acknowledges(&mut bench, &starts[1], 1));
    assert_eq!(bench.take_save_batch(), None);
}
