//! Workers may get tasks only once the saved roster names them, so that a successor would know of
//! them.

use std::time::Duration;

use almondpass_graph::{order, saving, task_key, worker};
use almondpass_schema::{ids, model};

use crate::support;

/// A time after the end of each test.
const SETTLES_AT: Duration = Duration::from_secs(2_000);

/// Two workers. The second one was silent and unlisted, and its record was removed after its lease
/// had lapsed.
fn bench_with_a_removed_worker() -> support::PoolBench {
    let mut bench = support::PoolBench::new(2);
    bench.core.unlist_worker(&support::worker_id(1), bench.now);
    bench.core.poll_missed(&support::worker_id(1));
    bench.advance(20_000);
    bench.answer_poll(0, &[], &[]);
    bench.run_round();
    assert_eq!(bench.core.worker_ids().count(), 1);
    bench
}

/// The second worker is listed and answers again.
fn return_worker(bench: &mut support::PoolBench) {
    bench.core.update_worker(support::worker_id(1), support::worker_entry(1), bench.now);
    bench.answer_poll(1, &[], &[]);
}

fn run_round_and_count_starts(bench: &mut support::PoolBench) -> usize {
    bench.run_round_and_start().len()
}

/// Failure: a worker got no tasks any more. It was cut off and its record removed, and it came back
/// before the roster was written without it. It counted as missing from the roster, while the
/// roster that names it counted as unchanged.
#[test]
fn worker_that_returns_before_a_roster_write_gets_tasks() {
    let mut bench = bench_with_a_removed_worker();
    return_worker(&mut bench);
    bench.save();
    bench.admit(1, support::job(1, support::tasks(16)));
    assert_eq!(run_round_and_count_starts(&mut bench), 16);
}

/// While a roster page without the worker is being written, a successor may not find the worker in
/// the store.
#[test]
fn worker_that_returns_during_a_roster_write_waits_for_the_next_one() {
    let mut bench = bench_with_a_removed_worker();
    let batch = bench.take_save_batch().expect("a roster to write");
    return_worker(&mut bench);
    bench.admit(1, support::job(1, support::tasks(16)));
    assert_eq!(run_round_and_count_starts(&mut bench), 8);
    bench.core.batch_saved(batch);
    assert_eq!(run_round_and_count_starts(&mut bench), 0);
    bench.save();
    assert_eq!(run_round_and_count_starts(&mut bench), 8);
}

/// Failure: a worker with a silence note got tasks. A successor assumes from the note that nothing
/// was started there unsaved, and would start the tasks once more.
#[test]
fn worker_gets_tasks_after_its_silence_note_is_withdrawn() {
    let mut bench = support::PoolBench::new(1);
    bench.core.poll_missed(&support::worker_id(0));
    bench.advance(800);
    bench.run_round();
    bench.advance(800);
    let batch_with_note = bench.take_save_batch().expect("a note");
    bench.answer_poll(0, &[], &[]);
    bench.admit(1, support::job(1, support::tasks(1)));
    assert_eq!(run_round_and_count_starts(&mut bench), 0);
    bench.core.batch_saved(batch_with_note);
    assert_eq!(run_round_and_count_starts(&mut bench), 0);
    bench.save();
    assert_eq!(run_round_and_count_starts(&mut bench), 1);
}

/// A successor that has reached only one of two workers. The other one went silent while it ran the
/// task of job 1.
fn successor_of_silent_worker(keeps_notes: bool) -> support::PoolBench {
    let mut earlier = support::PoolBench::new(2);
    earlier.admit(1, support::job(1, support::tasks(1)));
    let start = earlier.run_round_and_start().remove(0);
    earlier.core.poll_missed(&start.worker);
    earlier.save();
    let (silent, other) = (support::index_of(&start.worker), 1 - support::index_of(&start.worker));

    let mut successor = support::PoolBench::with_unanswered_workers(0, SETTLES_AT);
    for (index, on_record) in [(silent, true), (other, false)] {
        let listing = support::worker_entry(index);
        let (address, upstream) = (listing.address, listing.upstream);
        let worker = support::worker_id(index);
        let entry = model::RosterEntry { worker, address, upstream, on_record };
        successor.core.inherit_worker(entry, 0);
        successor.core.update_worker(
            support::worker_id(index),
            support::worker_entry(index),
            successor.now,
        );
    }
    successor.core.inherit_silence_notes(keeps_notes);
    successor.inherit(1, support::job(1, support::tasks(1)), earlier.saved.remove(&1));
    successor.inherit(2, support::job(1, support::tasks(1)), None);
    successor.answer_poll(other, &[], &[]);
    successor.save();
    successor
}

fn started_jobs(bench: &mut support::PoolBench) -> Vec<ids::GraphId> {
    bench.run_round_and_start().iter().map(|it| it.task.graph).collect()
}

/// Failure: a task that may run on a silent worker was started elsewhere; or no task was started
/// until that worker's lease had lapsed.
#[test]
fn only_tasks_with_saved_starts_wait_for_a_silent_worker() {
    let mut successor = successor_of_silent_worker(true);
    assert_eq!(started_jobs(&mut successor), [2]);
    successor.advance(5_000);
    assert!(started_jobs(&mut successor).is_empty());
}

/// An earlier release does not maintain silence notes, and may have started tasks on a worker that
/// has one.
#[test]
fn silence_notes_left_by_an_earlier_release_are_ignored() {
    let mut successor = successor_of_silent_worker(false);
    assert!(started_jobs(&mut successor).is_empty());
    assert!(successor.core.keeps_silence_notes());
}

/// Failure: a successor waited for the lease of a dead worker that is still listed, although the
/// lease had lapsed long before.
#[test]
fn worker_with_lapsed_lease_delays_no_successor() {
    let mut bench = support::PoolBench::new(2);
    bench.save();
    bench.core.poll_missed(&support::worker_id(1));
    bench.advance(20_000);
    bench.answer_poll(0, &[], &[]);
    bench.run_round();
    let batch = bench.take_save_batch().expect("a roster to write");
    let rosters = batch.rows.iter().filter_map(|it| match &it.content {
        saving::SaveContent::Roster(roster) => Some(&roster.workers),
        _ => None,
    });
    let named = rosters.flatten().map(|it| it.worker.clone()).collect::<Vec<_>>();
    assert_eq!(named, [support::worker_id(0)]);
    bench.core.batch_saved(batch);
    // The worker is back: it gets tasks once the saved roster names it again.
    bench.answer_poll(1, &[], &[]);
    bench.admit(1, support::job(1, support::tasks(16)));
    assert_eq!(run_round_and_count_starts(&mut bench), 8);
    bench.save();
    assert_eq!(run_round_and_count_starts(&mut bench), 8);
}

/// Failure: a task ran twice. Its end was not among the first ends that a worker lists in one answer, and
/// the successor took the worker for fully known.
#[test]
fn a_successor_waits_for_the_rest_of_a_worker_s_ends() {
    let mut bench = support::PoolBench::with_unanswered_workers(2, SETTLES_AT);
    for index in 0..2 {
        bench.core.inherit_worker(roster_entry(index), 0);
    }
    bench.core.inherit_silence_notes(true);
    bench.inherit(1, support::job(1, support::tasks(1)), None);
    bench.answer_poll(0, &[], &[]);
    bench.answer_poll_incompletely(1, &[]);
    bench.save();
    assert_eq!(run_round_and_count_starts(&mut bench), 0);
    let task = task_key::TaskKey { graph: 1, occurrence: 0, step: 0, task: 0 };
    let end = order::ListedEnd {
        number: 501,
        task,
        attempt: 1,
        how: order::EndKind::Done,
        checkpoint: None,
    };
    bench.answer_poll(1, &[], &[end]);
    bench.save();
    assert_eq!(run_round_and_count_starts(&mut bench), 0);
}

fn roster_entry(index: usize) -> model::RosterEntry {
    let listing = support::worker_entry(index);
    model::RosterEntry {
        worker: support::worker_id(index),
        address: listing.address,
        upstream: listing.upstream,
        on_record: false,
    }
}

/// Failure: a worker that leaves dropped off the roster with its first answer, which did not hold all its ends, and
/// a successor did not wait for the rest.
#[test]
fn leaving_worker_stays_on_the_roster_until_it_has_listed_all_its_ends() {
    let mut bench = support::PoolBench::with_unanswered_workers(2, SETTLES_AT);
    let leaves_in = Some(Duration::from_millis(4_500));
    let leaving = worker::WorkerEntry { leaves_in, ..support::worker_entry(1) };
    bench.core.update_worker(support::worker_id(1), leaving, bench.now);
    bench.answer_poll(0, &[], &[]);
    bench.answer_poll_incompletely(1, &[]);
    assert_eq!(bench.take_save_batch(), None, "the roster that names both");
    bench.answer_poll(1, &[], &[]);
    let batch = bench.take_save_batch().expect("a roster without the worker");
    let content = batch.rows.into_iter().map(|it| it.content).next();
    let Some(saving::SaveContent::Roster(row)) = content else { panic!("{content:?}") };
    let workers = row.workers.into_iter().map(|it| it.worker);
    assert_eq!(workers.collect::<Vec<_>>(), [support::worker_id(0)]);
}
