//! Which workers a successor would know of, and so may get tasks.

use almondpass_graph::saving;

use crate::support;

/// The second of two workers is silent, unlisted, and forgotten once its lease has lapsed.
fn with_a_forgotten_worker() -> support::PoolBench {
    let mut bench = support::PoolBench::new(2);
    bench.core.unlist_worker(&support::worker_id(1), bench.now);
    bench.core.hold_missed(&support::worker_id(1));
    bench.pass(20_000);
    bench.lists(0, &[], &[]);
    bench.turn();
    assert_eq!(bench.core.worker_ids().count(), 1);
    bench
}

/// The second worker is back.
fn bring_back(bench: &mut support::PoolBench) {
    bench.core.learn_worker(support::worker_id(1), support::listing(1), bench.now);
    bench.lists(1, &[], &[]);
}

fn n_starts(bench: &mut support::PoolBench) -> usize {
    bench.turn_and_start().len()
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
    let batch = bench.take_batch().expect("a roster to write");
    bring_back(&mut bench);
    bench.admit(1, support::job(1, support::tasks(16)));
    assert_eq!(n_starts(&mut bench), 8);
    bench.core.batch_saved(batch);
    assert_eq!(n_starts(&mut bench), 0);
    bench.save();
    assert_eq!(n_starts(&mut bench), 8);
}

/// A successor waits for the lease of a worker that is dead, and listed on, although it has long lapsed.
#[test]
fn a_worker_whose_lease_has_lapsed_holds_up_no_successor() {
    let mut bench = support::PoolBench::new(2);
    bench.save();
    bench.core.hold_missed(&support::worker_id(1));
    bench.pass(20_000);
    bench.lists(0, &[], &[]);
    bench.turn();
    let batch = bench.take_batch().expect("a roster to write");
    let rosters = batch.rows.iter().filter_map(|it| match &it.content {
        saving::SaveContent::Roster(roster) => Some(&roster.workers),
        _ => None,
    });
    let named = rosters.flatten().map(|it| it.worker.clone()).collect::<Vec<_>>();
    assert_eq!(named, [support::worker_id(0)]);
    bench.core.batch_saved(batch);
    // It is back: on record first, then it gets tasks.
    bench.lists(1, &[], &[]);
    bench.admit(1, support::job(1, support::tasks(16)));
    assert_eq!(n_starts(&mut bench), 8);
    bench.save();
    assert_eq!(n_starts(&mut bench), 8);
}
