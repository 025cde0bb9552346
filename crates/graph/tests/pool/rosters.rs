//! Which workers a successor would know of, and so may get tasks.

use std::time::Duration;

use almondpass_graph::saving;
use almondpass_schema::{ids, model};

use crate::support;

/// Behind all that happens in a test.
const SETTLES_AT: Duration = Duration::from_secs(2_000);

/// The second of two workers is silent, unlisted, and forgotten once its lease has lapsed.
fn with_a_forgotten_worker() -> support::PoolBench {
    let mut bench = support::PoolBench::new(2);
    bench.core.unlist_worker(&support::worker_id(1), bench.now);
    bench.core.poll_missed(&support::worker_id(1));
    bench.advance(20_000);
    bench.answer_poll(0, &[], &[]);
    bench.run_round();
    assert_eq!(bench.core.worker_ids().count(), 1);
    bench
}

/// The second worker is back.
fn bring_back(bench: &mut support::PoolBench) {
    bench.core.update_worker(support::worker_id(1), support::worker_entry(1), bench.now);
    bench.answer_poll(1, &[], &[]);
}

fn n_starts(bench: &mut support::PoolBench) -> usize {
    bench.run_round_and_start().len()
}

/// Symptom: a worker got no tasks any more. Sequence: it is cut off and forgotten, and back before
/// the roster was written without it. Cause: it counted as not in the roster, and the roster that
/// names it as not to be written.
#[test]
fn a_worker_that_is_back_before_the_roster_is_written_gets_tasks() {
    let mut bench = with_a_forgotten_worker();
    bring_back(&mut bench);
    bench.save();
    bench.admit(1, support::job(1, support::tasks(16)));
    assert_eq!(n_starts(&mut bench), 16);
}

/// A roster without it is on its way to the store: a successor may not find it there.
#[test]
fn a_worker_that_is_back_while_the_roster_is_written_waits_for_the_next_one() {
    let mut bench = with_a_forgotten_worker();
    let batch = bench.take_save_batch().expect("a roster to write");
    bring_back(&mut bench);
    bench.admit(1, support::job(1, support::tasks(16)));
    assert_eq!(n_starts(&mut bench), 8);
    bench.core.batch_saved(batch);
    assert_eq!(n_starts(&mut bench), 0);
    bench.save();
    assert_eq!(n_starts(&mut bench), 8);
}

/// A worker that a successor takes to have nothing new got tasks that the successor would start once more.
#[test]
fn a_worker_noted_as_silent_gets_tasks_once_the_note_is_gone() {
    let mut bench = support::PoolBench::new(1);
    bench.core.poll_missed(&support::worker_id(0));
    bench.advance(800);
    bench.run_round();
    bench.advance(800);
    let noting = bench.take_save_batch().expect("a note");
    bench.answer_poll(0, &[], &[]);
    bench.admit(1, support::job(1, support::tasks(1)));
    assert_eq!(n_starts(&mut bench), 0);
    bench.core.batch_saved(noting);
    assert_eq!(n_starts(&mut bench), 0);
    bench.save();
    assert_eq!(n_starts(&mut bench), 1);
}

/// Worker 1 went silent with the task of job 1; a successor takes over that has reached worker 0 alone.
fn successor_of(notes_silence: bool) -> support::PoolBench {
    let mut first = support::PoolBench::new(2);
    first.admit(1, support::job(1, support::tasks(1)));
    let start = first.run_round_and_start().remove(0);
    first.core.poll_missed(&start.worker);
    first.save();
    let (silent, other) = (support::index_of(&start.worker), 1 - support::index_of(&start.worker));

    let mut next = support::PoolBench::with_unanswered_workers(0, SETTLES_AT);
    for (index, on_record) in [(silent, true), (other, false)] {
        let listing = support::worker_entry(index);
        let (address, upstream) = (listing.address, listing.upstream);
        let worker = support::worker_id(index);
        let entry = model::RosterEntry { worker, address, upstream, on_record };
        next.core.inherit_worker(entry, 0);
        next.core.update_worker(support::worker_id(index), support::worker_entry(index), next.now);
    }
    next.core.inherit_silence_notes(notes_silence);
    next.inherit(1, support::job(1, support::tasks(1)), first.saved.remove(&1));
    next.inherit(2, support::job(1, support::tasks(1)), None);
    next.answer_poll(other, &[], &[]);
    next.save();
    next
}

fn started(bench: &mut support::PoolBench) -> Vec<ids::GraphId> {
    bench.run_round_and_start().iter().map(|it| it.task.graph).collect()
}

/// What may run on a silent worker started elsewhere, or nothing did until its lease had lapsed.
#[test]
fn only_what_is_on_record_waits_for_a_silent_worker() {
    let mut next = successor_of(true);
    assert_eq!(started(&mut next), [2]);
    next.advance(5_000);
    assert!(started(&mut next).is_empty());
}

/// An earlier release keeps no notes, and may have started tasks on a worker that one names.
#[test]
fn notes_that_an_earlier_release_has_left_tell_nothing() {
    let mut next = successor_of(false);
    assert!(started(&mut next).is_empty());
    assert!(next.core.keeps_silence_notes());
}

/// A successor waits for the lease of a worker that is dead, and listed on, although it has long lapsed.
#[test]
fn a_worker_whose_lease_has_lapsed_holds_up_no_successor() {
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
    // It is back: on record first, then it gets tasks.
    bench.answer_poll(1, &[], &[]);
    bench.admit(1, support::job(1, support::tasks(16)));
    assert_eq!(n_starts(&mut bench), 8);
    bench.save();
    assert_eq!(n_starts(&mut bench), 8);
}
