//! When a job counts as started: for callers, in the count of queued jobs, and in the rows of its successor.

use std::time::Duration;

use almondpass_graph::order;
use almondpass_schema::model;

use crate::support;

/// What becomes of an ordered start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The worker has confirmed nothing yet.
    Ordered,
    Refused(order::StartRefusal),
    NotSent,
    /// The answer was lost, and the next poll lists nothing.
    LostUnlisted,
    /// The answer was lost, and the next poll lists the run.
    LostListed,
    /// The answer was lost, and the next poll lists the end of the run.
    LostEnded,
    /// The worker confirmed the start; the run was stopped later, for other work.
    Stopped,
}

/// State and number of queued jobs of the class that a scheduler tells of job 1.
fn shown(bench: &support::PoolBench) -> (Option<model::GraphState>, u64) {
    (bench.core.state_of(1).map(|it| it.state), bench.core.backlog("class-1"))
}

fn apply(bench: &mut support::PoolBench, start: &order::StartOrder, outcome: Outcome) {
    let worker = support::index_of(&start.worker);
    let answer = match outcome {
        Outcome::Ordered => return,
        Outcome::Refused(refusal) => order::StartAnswer::Refused(refusal),
        Outcome::NotSent => order::StartAnswer::NotSent,
        Outcome::LostUnlisted | Outcome::LostListed | Outcome::LostEnded => {
            order::StartAnswer::Unknown
        }
        Outcome::Stopped => order::StartAnswer::Started { clock_ms: bench.now.as_millis() as u64 },
    };
    bench.core.start_answered(start, answer, bench.now);
    bench.advance(100);
    let end = |how| support::listed_end(1, start, how);
    match outcome {
        Outcome::LostListed => bench.answer_poll(worker, &[support::listed_run(start, 1)], &[]),
        Outcome::LostEnded => bench.answer_poll(worker, &[], &[end(order::EndKind::Failed)]),
        Outcome::Stopped => bench.answer_poll(worker, &[], &[end(order::EndKind::Stopped)]),
        _ => bench.answer_poll(worker, &[], &[]),
    }
}

fn check(step: model::GraphStep, outcomes: &[Outcome], is_started: bool) {
    let mut bench = support::PoolBench::new(8);
    bench.admit(1, support::job(1, step.clone()));
    let starts = support::starts(&bench.run_round());
    assert_eq!(starts.len(), outcomes.len());
    for (start, outcome) in starts.iter().zip(outcomes) {
        apply(&mut bench, start, *outcome);
    }
    let state = if is_started { model::GraphState::Running } else { model::GraphState::Pending };
    let expected = (Some(state), u64::from(!is_started));
    assert_eq!(shown(&bench), expected);
    bench.save();
    let is_tracked = outcomes.iter().any(|it| matches!(it, Outcome::LostListed | Outcome::Ordered));
    if !is_tracked {
        let mut next = support::PoolBench::with_unanswered_workers(8, Duration::from_secs(2_000));
        next.inherit(1, support::job(1, step), bench.saved.remove(&1));
        assert_eq!(shown(&next), expected, "the successor");
    }
}

macro_rules! start_tests {
    ($($(#[$doc:meta])* $name:ident: $step:expr, $outcomes:expr => $is_started:literal;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            check($step, &$outcomes, $is_started);
        })*
    };
}

start_tests! {
    an_ordered_start_is_none: support::tasks(1), [Outcome::Ordered] => false;
    /// Guards against jobs that are missing from the count of queued jobs, as a worker refuses what it is sent.
    a_start_that_an_unhealthy_worker_refuses_is_none:
        support::tasks(1), [Outcome::Refused(order::StartRefusal::Unwell)] => false;
    a_start_that_finds_no_room_is_none:
        support::tasks(1), [Outcome::Refused(order::StartRefusal::Room)] => false;
    a_start_that_comes_late_is_none:
        support::tasks(1), [Outcome::Refused(order::StartRefusal::Late)] => false;
    a_start_that_was_not_sent_is_none: support::tasks(1), [Outcome::NotSent] => false;
    a_start_whose_answer_was_lost_is_none_if_no_poll_lists_it:
        support::tasks(1), [Outcome::LostUnlisted] => false;
    a_start_whose_answer_was_lost_is_one_if_a_poll_lists_it:
        support::tasks(1), [Outcome::LostListed] => true;
    a_start_whose_answer_was_lost_is_one_if_a_poll_lists_its_end:
        support::tasks(1), [Outcome::LostEnded] => true;
    /// Guards against a job that counts as queued again once its run was stopped for other work.
    a_stopped_run_has_started: support::tasks(1), [Outcome::Stopped] => true;
    one_confirmed_task_starts_the_job:
        support::tasks(2), [Outcome::Refused(order::StartRefusal::Unwell), Outcome::Stopped] => true;
    a_gang_of_which_all_members_are_refused_has_not_started:
        support::gang(support::whole_workers(2)),
        [Outcome::Refused(order::StartRefusal::Unwell), Outcome::Refused(order::StartRefusal::Room)]
        => false;
    a_gang_of_which_a_member_is_confirmed_has_started:
        support::gang(support::whole_workers(2)),
        [Outcome::Refused(order::StartRefusal::Unwell), Outcome::Stopped] => true;
}

/// Guards against a job that has never run and is shown as running by a successor, which read a row that says where
/// a start was to take effect.
#[test]
fn a_job_of_which_only_a_start_is_saved_has_not_started() {
    let mut bench = support::PoolBench::new(1);
    bench.admit(1, support::job(1, support::tasks(1)));
    assert_eq!(support::starts(&bench.run_round()).len(), 1);
    bench.core.poll_missed(&support::worker_id(0));
    bench.save();
    let saved = bench.saved.remove(&1).expect("a saved start");
    let mut next = support::PoolBench::with_unanswered_workers(1, Duration::from_secs(2_000));
    next.inherit(1, support::job(1, support::tasks(1)), Some(saved));
    assert_eq!(shown(&next), (Some(model::GraphState::Pending), 1));
}
