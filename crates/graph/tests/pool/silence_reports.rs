//! Reports of silent workers that an earlier scheduler gives its successor.

use std::time::Duration;

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

/// A successor that the second worker does not answer, with jobs 1 and 2 accepted before and nothing saved.
fn successor() -> support::PoolBench {
    let mut successor = support::PoolBench::with_unanswered_workers(0, SETTLES_AT);
    for index in 0..2 {
        let listing = support::worker_entry(index);
        let entry = model::RosterEntry {
            worker: support::worker_id(index),
            address: listing.address.clone(),
            upstream: listing.upstream.clone(),
            on_record: false,
        };
        successor.core.inherit_worker(entry, 0);
        successor.core.update_worker(support::worker_id(index), listing, successor.now);
    }
    successor.core.inherit_silence_notes(true);
    successor.inherit(1, support::job(1, support::whole_workers(2)), None);
    successor.inherit(2, support::job(1, support::tasks(1)), None);
    successor.core.poll_missed(&support::worker_id(1));
    successor.answer_poll(0, &[], &[]);
    successor.save();
    successor
}

/// Hands over what the earlier scheduler could not save.
fn hand_over(earlier: &support::PoolBench, successor: &mut support::PoolBench) {
    let silent = earlier.core.silent_workers(earlier.now);
    for it in earlier.core.unsaved_suspicions() {
        successor.core.merge_suspicions(it, successor.now);
    }
    successor.core.merge_silent_workers(silent, successor.now);
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
