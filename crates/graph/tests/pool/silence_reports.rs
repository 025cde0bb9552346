//! Reports of silent workers that an earlier scheduler gives its successor.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_graph::{order, save_queue, saving, task_key, worker};
use almondpass_schema::{ids, model};

use crate::support;

/// Later than the end of each test.
const SETTLES_AT: Duration = Duration::from_secs(2_000);

/// A lease and its allowance for a slow clock have passed after this time.
const LEASE_MS: u64 = 6_700;

/// Two workers, the second of which does not answer. Job 1 has a task on each of them if `is_busy`.
fn earlier_scheduler(is_busy: bool) -> support::PoolBench {
    let mut earlier = support::PoolBench::new(2);
    if is_busy {
        earlier.admit(1, support::job(1, support::whole_workers(2)));
        earlier.run_round_and_start();
    }
    earlier.core.poll_missed(&support::worker_id(1));
    earlier.advance(100);
    earlier
}

/// A scheduler in the tenure of `epoch` that has read two workers from the roster, none of which has answered.
fn with_inherited_workers(epoch: ids::Epoch, settles_at: Duration) -> support::PoolBench {
    let scheduling = model::SchedulingSettings::default();
    let mut bench = support::PoolBench::of_tenure(epoch, 0, settles_at, scheduling);
    for index in 0..2 {
        let listing = support::worker_entry(index);
        let entry = model::RosterEntry {
            worker: support::worker_id(index),
            address: listing.address.clone(),
            upstream: listing.upstream.clone(),
            on_record: false,
        };
        bench.core.inherit_worker(entry, 0);
        bench.core.update_worker(support::worker_id(index), listing, bench.now);
    }
    bench.core.inherit_silence_notes(true);
    bench
}

/// A successor that the second worker does not answer, with jobs 1 and 2 accepted before and nothing saved.
fn successor() -> support::PoolBench {
    let mut successor = with_inherited_workers(0, SETTLES_AT);
    successor.inherit(1, support::job(1, support::whole_workers(2)), None);
    successor.inherit(2, support::job(1, support::tasks(1)), None);
    successor.core.poll_missed(&support::worker_id(1));
    successor.answer_poll(0, &[], &[]);
    successor.save();
    successor
}

/// Hands over what the earlier scheduler could not save.
fn hand_over(earlier: &support::PoolBench, successor: &mut support::PoolBench) {
    let report = earlier.core.tenure_report(earlier.now);
    successor.core.merge_last_report(report, successor.now);
}

fn started_jobs(bench: &mut support::PoolBench) -> Vec<ids::GraphId> {
    bench.run_round_and_start().iter().map(|it| it.task.graph).collect()
}

/// Failure: all accepted jobs waited for the lease of a dead worker, although the earlier scheduler knew that
/// nothing ran there.
#[test]
fn nothing_waits_for_a_silent_worker_without_runs() {
    let mut successor = successor();
    assert!(started_jobs(&mut successor).is_empty());
    hand_over(&earlier_scheduler(false), &mut successor);
    assert!(!started_jobs(&mut successor).is_empty());
    assert!(successor.core.is_settled(successor.now));
}

/// Failure: jobs without a task on a silent worker waited for its lease, although the earlier scheduler knew
/// what ran there. A job with a task there has to wait.
#[test]
fn only_jobs_that_ran_on_a_silent_worker_wait_for_it() {
    let mut successor = successor();
    hand_over(&earlier_scheduler(true), &mut successor);
    assert_eq!(started_jobs(&mut successor), [2]);
    successor.advance(5_000);
    successor.answer_poll(0, &[], &[]);
    assert!(!started_jobs(&mut successor).contains(&1));
}

/// Failure: a job waited for the lease counted from the end of the earlier tenure, although the worker had
/// been silent before, and its lease was not extended since.
#[test]
fn a_job_waits_for_the_lease_that_the_earlier_scheduler_knew() {
    let mut earlier = earlier_scheduler(true);
    let mut successor = successor();
    earlier.advance(5_000);
    hand_over(&earlier, &mut successor);
    successor.advance(LEASE_MS - 5_000);
    successor.answer_poll(0, &[], &[]);
    assert!(successor.core.is_settled(successor.now));
}

/// Failure: a task ran twice. A start that the worker had not confirmed may be taken by a later incarnation,
/// which runs it for the longest lease.
#[test]
fn an_unconfirmed_start_is_waited_for_longer() {
    let mut earlier = support::PoolBench::new(2);
    earlier.admit(1, support::job(1, support::whole_workers(2)));
    earlier.run_round();
    earlier.core.poll_missed(&support::worker_id(1));
    let mut successor = successor();
    hand_over(&earlier, &mut successor);
    successor.advance(LEASE_MS);
    assert!(!successor.core.is_settled(successor.now));
    successor.advance(6_100);
    assert!(successor.core.is_settled(successor.now));
}

/// Failure: a task ran twice. A scheduler whose own takeover had not settled does not know what ran on a
/// worker that never answered it.
#[test]
fn a_worker_that_never_answered_is_not_reported_as_clear() {
    let mut earlier = support::PoolBench::with_unanswered_workers(2, SETTLES_AT);
    earlier.answer_poll(0, &[], &[]);
    earlier.core.poll_missed(&support::worker_id(1));
    let mut successor = successor();
    hand_over(&earlier, &mut successor);
    assert!(started_jobs(&mut successor).is_empty());
}

/// A scheduler whose second worker has listed ends of its tasks of job 1, and fell silent before they were
/// saved.
fn scheduler_with_unsaved_ends(step: model::GraphStep, how: order::EndKind) -> support::PoolBench {
    let mut earlier = support::PoolBench::new(2);
    earlier.admit(1, support::job(1, step));
    let starts = earlier.run_round_and_start();
    let on_silent = starts.iter().filter(|it| it.worker == support::worker_id(1));
    let ends = (1..).zip(on_silent).map(|(number, it)| support::listed_end(number, it, how));
    let ends = ends.collect::<Vec<_>>();
    assert!(!ends.is_empty());
    earlier.answer_poll(1, &[], &ends);
    earlier.core.poll_missed(&support::worker_id(1));
    earlier.advance(100);
    earlier
}

/// Tasks of all jobs that have not ended done.
fn n_unfinished(bench: &support::PoolBench) -> usize {
    let summary = bench.core.summary();
    summary.n_waiting + summary.n_running
}

/// Guards against done work that starts again: the report said that nothing ran on a silent worker, but not
/// that a task had ended done there, unsaved.
#[test]
fn a_successor_learns_of_an_unsaved_done_end() {
    let earlier = scheduler_with_unsaved_ends(support::whole_workers(2), order::EndKind::Done);
    let mut successor = successor();
    assert_eq!(n_unfinished(&successor), 3);
    hand_over(&earlier, &mut successor);
    assert_eq!(n_unfinished(&successor), 2);
    assert!(successor.core.is_settled(successor.now));
    successor.save();
    let saved = successor.saved.remove(&1).expect("a row that shows the end");
    let mut next = support::PoolBench::with_unanswered_workers(2, Duration::ZERO);
    next.inherit(1, support::job(1, support::whole_workers(2)), Some(saved));
    assert_eq!(n_unfinished(&next), 1);
}

/// Guards against a second successor that starts done work again: the first one had learned of the end from
/// its predecessor, and could not save it either.
#[test]
fn an_unsaved_end_is_told_on_to_the_next_successor() {
    let earlier = scheduler_with_unsaved_ends(support::whole_workers(2), order::EndKind::Done);
    let mut first = successor();
    hand_over(&earlier, &mut first);
    first.advance(100);
    let mut second = successor();
    hand_over(&first, &mut second);
    assert_eq!(n_unfinished(&second), 2);
}

/// Guards against an end that is told, and forgotten because its teller is not the last former scheduler.
#[test]
fn an_end_told_by_an_earlier_scheduler_counts_but_not_that_its_worker_is_clear() {
    let earlier = scheduler_with_unsaved_ends(support::whole_workers(2), order::EndKind::Done);
    let mut successor = successor();
    let report = earlier.core.tenure_report(earlier.now);
    successor.core.merge_earlier_report(report, successor.now);
    assert_eq!(n_unfinished(&successor), 2);
    assert!(started_jobs(&mut successor).is_empty());
    assert!(!successor.core.is_settled(successor.now));
}

/// Guards against a failure that counts twice or not at all: it is told, and the worker lists it later.
#[test]
fn a_told_failure_counts_once() {
    let earlier = scheduler_with_unsaved_ends(support::whole_workers(2), order::EndKind::Failed);
    let mut successor = successor();
    hand_over(&earlier, &mut successor);
    let batch = successor.take_save_batch().expect("a row that shows the failure");
    let rows = batch.rows.iter().filter_map(|it| match &it.content {
        saving::SaveContent::Progress(row) => Some(row),
        _ => None,
    });
    let failures = rows.flat_map(|it| &it.steps).flat_map(|it| &it.failures).collect::<Vec<_>>();
    let told = model::TaskFailures { task: 1, attempts: vec![1] };
    assert_eq!(failures, [&told]);
    successor.core.batch_saved(batch);
    let listed = order::ListedEnd {
        number: 1,
        task: task_key::TaskKey { graph: 1, occurrence: 0, step: 0, task: 1 },
        attempt: 1,
        how: order::EndKind::Failed,
        checkpoint: None,
    };
    successor.answer_poll(1, &[], &[listed]);
    let poll = successor.core.next_poll(&support::worker_id(1), successor.now);
    assert_eq!(poll.map(|it| it.last_seen), Some(1));
    assert!(!successor.core.has_job(1, true), "the job has ended");
}

/// Guards against work that starts again because an earlier release reports a silent worker without its ends:
/// the worker's lease has to be waited for.
#[test]
fn a_worker_whose_ends_are_not_told_counts_as_not_reported() {
    let earlier = scheduler_with_unsaved_ends(support::whole_workers(2), order::EndKind::Done);
    let mut successor = successor();
    let mut report = earlier.core.tenure_report(earlier.now);
    for it in &mut report.silent {
        it.are_ends_told = false;
        it.ends.clear();
    }
    successor.core.merge_last_report(report, successor.now);
    assert!(started_jobs(&mut successor).is_empty());
    assert!(!successor.core.is_settled(successor.now));
}

/// Guards against ends that are left out of a report for its size without a word.
#[test]
fn a_worker_with_too_many_unsaved_ends_is_not_reported_as_known() {
    let mut earlier = support::PoolBench::new(1);
    earlier.admit(1, support::job(1, support::tasks(1_200)));
    let task = |task| task_key::TaskKey { graph: 1, occurrence: 0, step: 0, task };
    let ends = (0..1_200).map(|it| order::ListedEnd {
        number: u64::from(it) + 1,
        task: task(it),
        attempt: 1,
        how: order::EndKind::Done,
        checkpoint: None,
    });
    earlier.answer_poll(0, &[], &ends.collect::<Vec<_>>());
    earlier.core.poll_missed(&support::worker_id(0));
    let silent = earlier.core.tenure_report(earlier.now).silent;
    assert_eq!(silent.iter().map(|it| it.are_ends_told).collect::<Vec<_>>(), [false]);
    assert!(silent[0].ends.len() < 1_200);
}

/// Guards against done work that starts again: a silence note told that all starts on a worker were saved,
/// while an end that it had listed was not.
#[test]
fn no_silence_note_is_written_beside_an_unsaved_end() {
    let mut bench = scheduler_with_unsaved_ends(support::whole_workers(2), order::EndKind::Done);
    refuse_progress_rows(&mut bench);
    bench.advance(1_000);
    assert!(refuse_progress_rows(&mut bench).iter().all(|it| !it.on_record));
}

/// Guards against done work that starts again: a leaving worker was taken off the roster while the store
/// refused the row that shows its end, and no successor asked it.
#[test]
fn a_leaving_worker_with_an_unsaved_end_stays_in_the_roster() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::whole_workers(2)));
    let starts = bench.run_round_and_start();
    let start = starts.iter().find(|it| it.worker == support::worker_id(1)).expect("a start");
    let leaving = worker::WorkerEntry {
        leaves_in: Some(Duration::from_secs(10)),
        ..support::worker_entry(1)
    };
    bench.core.update_worker(support::worker_id(1), leaving, bench.now);
    bench.answer_poll(1, &[], &[support::listed_end(1, start, order::EndKind::Done)]);
    assert_eq!(refuse_progress_rows(&mut bench), []);
    bench.advance(11_000);
    let retried = bench.take_save_batch().expect("the refused row");
    bench.core.batch_saved(retried);
    let left = refuse_progress_rows(&mut bench);
    assert_eq!(left.iter().map(|it| &it.worker).collect::<Vec<_>>(), [&support::worker_id(0)]);
}

/// The store refuses all progress rows that are due, and accepts the pages of the roster. Returns the entries
/// of these.
fn refuse_progress_rows(bench: &mut support::PoolBench) -> Vec<model::RosterEntry> {
    let mut entries = Vec::new();
    for row in bench.take_save_batch().map(|it| it.rows).unwrap_or_default() {
        if matches!(row.key, save_queue::SaveRowKey::Progress { .. }) {
            bench.core.row_refused(row.key, bench.now);
            continue;
        }
        if let saving::SaveContent::Roster(page) = &row.content {
            entries.extend(page.workers.clone());
        }
        bench.core.batch_saved(saving::SaveBatch { rows: vec![row] });
    }
    entries
}

/// Failure: a task ran twice at the same time. Two schedulers that inherited it gave its runs the same attempt
/// number, so that the end of the first run withdrew the saved start of the second; a third scheduler relied on
/// the note that all starts on the silent worker of the second run were saved.
#[test]
fn the_end_of_an_earlier_run_does_not_hide_a_run_on_a_silent_worker() {
    let job = || support::job(1, support::whole_workers(1));
    let mut first = support::PoolBench::new(1);
    first.inherit(1, job(), None);
    let first_start = first.run_round_and_start().remove(0);
    first.core.poll_missed(&support::worker_id(0));
    let report = first.core.tenure_report(first.now);

    let mut second = inheritor(2, SETTLES_AT);
    second.answer_poll(1, &[], &[]);
    second.core.poll_missed(&support::worker_id(0));
    second.core.merge_last_report(report, second.now);
    let began = second.now;
    let mut starts = Vec::new();
    while starts.is_empty() {
        second.advance(500);
        assert!(second.now < SETTLES_AT);
        second.answer_poll(1, &[], &[]);
        starts = second.run_round_and_start();
        second.save();
    }
    assert!(second.now >= began + Duration::from_millis(LEASE_MS), "the first run has lapsed");
    let second_start = starts.remove(0);
    assert_eq!(second_start.worker, support::worker_id(1));
    second.answer_poll(1, &[support::listed_run(&second_start, 1)], &[]);
    second.run_round();
    second.core.poll_missed(&support::worker_id(1));
    second.advance(1_000);
    let mut roster = save_with_roster(&mut second);
    let lapsed = support::listed_end(1, &first_start, order::EndKind::Lapsed);
    second.answer_poll(0, &[], &[lapsed]);
    roster.extend(save_with_roster(&mut second));

    let mut third = support::PoolBench::with_unanswered_workers(0, SETTLES_AT);
    for (page, entries) in roster {
        entries.into_iter().for_each(|it| third.core.inherit_worker(it, page));
    }
    for index in 0..2 {
        let entry = support::worker_entry(index);
        third.core.update_worker(support::worker_id(index), entry, third.now);
    }
    third.core.inherit_silence_notes(second.core.keeps_silence_notes());
    third.inherit(1, job(), second.saved.remove(&1));
    third.core.poll_missed(&support::worker_id(1));
    third.answer_poll(0, &[], &[]);
    for _ in 0..4 {
        third.save();
        third.advance(100);
        third.answer_poll(0, &[], &[]);
        let started = started_jobs(&mut third);
        assert!(started.is_empty(), "attempt {} may run", second_start.attempt);
    }
}

/// Failure: the same without a note and without a store. A report tells the start on a silent worker, and the
/// successor takes it for the run of the same number whose end another worker has listed.
#[test]
fn the_end_of_an_earlier_run_does_not_hide_a_reported_start() {
    let job = || support::job(1, support::whole_workers(1));
    let mut first = support::PoolBench::new(1);
    first.inherit(1, job(), None);
    let first_start = first.run_round_and_start().remove(0);

    let settled = Duration::from_secs(1_010);
    let mut second = inheritor(2, settled);
    second.answer_poll(1, &[], &[]);
    second.save();
    second.core.poll_missed(&support::worker_id(0));
    while second.now < settled {
        second.answer_poll(1, &[], &[]);
        assert!(second.run_round_and_start().is_empty());
        second.advance(500);
    }
    second.answer_poll(1, &[], &[]);
    let second_start = second.run_round_and_start().remove(0);
    assert_eq!(second_start.worker, support::worker_id(1));
    second.answer_poll(1, &[support::listed_run(&second_start, 1)], &[]);
    second.core.poll_missed(&support::worker_id(1));
    second.advance(100);

    let mut third = inheritor(3, SETTLES_AT);
    third.core.poll_missed(&support::worker_id(1));
    let lapsed = support::listed_end(1, &first_start, order::EndKind::Lapsed);
    third.answer_poll(0, &[], &[lapsed]);
    hand_over(&second, &mut third);
    third.save();
    let started = started_jobs(&mut third);
    assert!(started.is_empty(), "attempt {} may run", second_start.attempt);
}

/// A scheduler that has read a roster of two workers, neither of which has answered yet, and a job of one task
/// of which nothing was saved.
fn inheritor(epoch: ids::Epoch, settles_at: Duration) -> support::PoolBench {
    let mut bench = with_inherited_workers(epoch, settles_at);
    bench.inherit(1, support::job(1, support::whole_workers(1)), None);
    bench
}

/// Saves all changed rows. Returns the entries of the roster pages among them, by page.
fn save_with_roster(bench: &mut support::PoolBench) -> BTreeMap<u32, Vec<model::RosterEntry>> {
    let mut roster = BTreeMap::new();
    while let Some(batch) = bench.take_save_batch() {
        for row in &batch.rows {
            let save_queue::SaveRowKey::Roster { page } = row.key else { continue };
            let saving::SaveContent::Roster(content) = &row.content else { continue };
            roster.insert(page, content.workers.clone());
        }
        bench.record_progress(&batch);
        bench.core.batch_saved(batch);
    }
    roster
}
