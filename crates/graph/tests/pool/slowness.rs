//! Tasks that progress slowly, or not at all.

use std::time::Duration;

use almondpass_graph::{order, pace};
use almondpass_schema::model;

use crate::support;

/// Symptom: gangs were stopped as hanging and started again from nothing. Sequence: one member is
/// on a slow worker; the others have done their share and wait at 100 percent.
/// Cause: progress that can't go on was taken for progress that stands still.
#[test]
fn a_member_that_waits_for_its_gang_does_not_hang() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::gang(support::whole_workers(2))));
    let starts = bench.run_round_and_start();
    for step in 0..8 {
        bench.advance(1_000);
        let slow = support::listed_run(&starts[1], 5 * step + 5);
        bench.answer_poll(
            support::index_of(&starts[0].worker),
            &[support::listed_run(&starts[0], 100)],
            &[],
        );
        bench.answer_poll(support::index_of(&starts[1].worker), &[slow], &[]);
        assert_eq!(support::stops(&bench.run_round()), []);
    }
}

#[test]
fn a_task_that_stands_still_is_stopped() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::tasks(1)));
    let start = bench.run_round_and_start().remove(0);
    let worker = support::index_of(&start.worker);
    let mut n_stops = 0;
    for _ in 0..4 {
        bench.advance(1_000);
        bench.answer_poll(worker, &[support::listed_run(&start, 7)], &[]);
        n_stops += support::stops(&bench.run_round()).len();
    }
    assert_eq!(n_stops, 1);
}

/// Symptom: a task that works for ten minutes was stopped as hanging every three seconds, and never
/// ended. Sequence: it takes six seconds for one percent, and its worker lists whole percent. Cause:
/// progress was expected as often as of tasks that take seconds.
#[test]
fn a_long_task_is_not_stopped() {
    check_long_task(600_000);
}

/// The estimates of callers are far off.
#[test]
fn a_long_task_with_a_short_estimate_ends() {
    check_long_task(1_000);
}

/// A task of ten minutes, listed every second, with an estimate in milliseconds.
fn check_long_task(estimate_ms: u32) {
    let mut bench = support::PoolBench::new(1);
    let step = model::GraphStep { estimate_ms, ..support::tasks(1) };
    bench.admit(1, support::job(1, step));
    let mut run = bench.run_round_and_start().remove(0);
    let mut began = bench.now;
    let mut n_ends = 0;
    for _ in 0..900 {
        bench.advance(1_000);
        let percent = (bench.now - began).as_millis() as u32 / 6_000;
        if percent >= 100 {
            return;
        }
        bench.answer_poll(0, &[support::listed_run(&run, percent)], &[]);
        let orders = bench.run_round();
        if support::stops(&orders).is_empty() {
            continue;
        }
        assert!(estimate_ms < 100_000, "stopped at {percent} percent");
        n_ends += 1;
        bench.answer_poll(0, &[], &[support::listed_end(n_ends, &run, order::EndKind::Stopped)]);
        for _ in 0..30 {
            bench.advance(1_000);
            bench.answer_poll(0, &[], &[]);
            if let Some(start) = bench.run_round_and_start().into_iter().next() {
                (run, began) = (start, bench.now);
                break;
            }
        }
    }
    panic!("stopped {n_ends} times");
}

/// Symptom: after a takeover sound workers were taken for slow ones, and urgent work stopped far
/// more than it was worth. Sequence: a scheduler takes over; tasks that it finds end a moment
/// later. Cause: their run times were counted from when they were found, so that the usual run
/// time of their class seemed a tenth of what it is.
#[test]
fn runs_found_at_a_takeover_do_not_tell_how_long_their_class_takes() {
    let mut bench = support::PoolBench::with_unanswered_workers(2, Duration::ZERO);
    bench.inherit(1, support::job(1, support::tasks(8)), None);
    let found = |task| order::StartOrder {
        worker: support::worker_id(0),
        address: String::new(),
        generation: 0,
        ordered_at: Duration::ZERO,
        task: almondpass_graph::task_key::TaskKey { graph: 1, occurrence: 0, step: 0, task },
        attempt: 1,
        body: "".into(),
        deadline_ms: 0,
        checkpoint: None,
    };
    let runs = (0..8).map(|it| support::listed_run(&found(it), 90)).collect::<Vec<_>>();
    bench.answer_poll(0, &runs, &[]);
    bench.advance(100);
    let ends = (1..=8).zip(0..8);
    let ends = ends.map(|(it, task)| support::listed_end(it, &found(task), order::EndKind::Done));
    bench.answer_poll(0, &[], &ends.collect::<Vec<_>>());
    assert_eq!(bench.core.usual_run_time("class-1"), None);
}

/// Symptom: urgent gangs were stopped on sound workers. Sequence: a busy scheduler takes an answer
/// in a second after the worker gave it. Cause: the pace was reckoned by the scheduler's clock.
#[test]
fn an_answer_that_is_taken_in_late_makes_no_worker_slow() {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(0, support::whole_workers(4)));
    let starts = bench.run_round_and_start();
    let asked = bench.now;
    for millis in [500, 1_000] {
        bench.now = asked + Duration::from_millis(millis);
        for start in &starts[1..] {
            let percent = millis as u32 / 25;
            let run = support::listed_run(start, percent);
            bench.answer_poll(support::index_of(&start.worker), &[run], &[]);
        }
    }
    // What the first worker said half a second after the start comes with what the others say now.
    let listed = order::PollReply {
        incarnation: None,
        clock_ms: (asked + Duration::from_millis(500)).as_millis() as u64,
        running: vec![support::listed_run(&starts[0], 20)],
        ended: Vec::new(),
        complete: true,
    };
    bench.now = asked + Duration::from_millis(1_700);
    bench.core.poll_answered(&starts[0].worker, listed, asked, bench.now);
    assert_eq!(support::stops(&bench.run_round()), []);
}

/// Symptom: urgent gangs were stopped on sound workers. Sequence: the last member of a gang starts
/// late; a worker is looked at just after that, the others later. Cause: the time in which the gang
/// could not work yet was counted as work, for one member more than for the others.
#[test]
fn a_gang_that_began_late_makes_no_worker_slow() {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(0, support::gang(support::whole_workers(4))));
    let starts = support::starts(&bench.run_round());
    let asked = bench.now;
    for start in &starts[1..] {
        bench.confirm_start(start);
    }
    bench.advance(800);
    bench.confirm_start(&starts[0]);
    // It works from then on, for 2.5 s in all.
    let looks = [(0, 1_300, 20), (1, 1_400, 24), (2, 1_400, 24), (3, 1_400, 24)];
    for (member, millis, percent) in looks {
        bench.now = asked + Duration::from_millis(millis);
        let start = &starts[member];
        let run = support::listed_run(start, percent);
        bench.answer_poll(support::index_of(&start.worker), &[run], &[]);
    }
    assert_eq!(support::stops(&bench.run_round()), []);
}

/// Readings of a run in milliseconds and percent, and what they say of its worker.
fn check_pace(readings: &[(u64, u32)], usual: pace::UsualPace, expected: pace::PaceVerdict) {
    let mut run = pace::RunPace::new(Duration::ZERO, 0);
    for (millis, percent) in readings {
        run.observe(Duration::from_millis(*millis), *percent, usual.class);
    }
    assert_eq!(run.verdict(usual), expected);
}

macro_rules! paces {
    ($($(#[$doc:meta])* $name:ident: $readings:expr, $usual:expr => $verdict:ident;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            check_pace(&$readings, $usual, pace::PaceVerdict::$verdict);
        })*
    };
}

const NOTHING: pace::UsualPace = pace::UsualPace { siblings: None, class: None };
/// Of tasks that take 2.5 s.
const CLASS: pace::UsualPace = pace::UsualPace { siblings: None, class: Some(40.0) };
/// Of tasks that take ten minutes.
const LONG_CLASS: pace::UsualPace = pace::UsualPace { siblings: None, class: Some(1.0 / 6.0) };
const SIBLINGS: pace::UsualPace = pace::UsualPace { siblings: Some(40.0), class: Some(40.0) };

paces! {
    nothing_is_said_before_a_reading: [(100, 4)], CLASS => Unknown;
    a_run_at_the_pace_of_its_class: [(500, 20)], CLASS => Normal;
    the_longest_urgent_task_is_not_slow: [(500, 6), (1_000, 12)], CLASS => Unknown;
    a_run_at_a_fifth_of_the_pace: [(500, 4), (1_000, 8)], CLASS => Slow;
    a_run_that_has_lost_its_own_pace: [(1_000, 40), (2_000, 48)], NOTHING => Slow;
    a_member_that_falls_behind_its_gang: [(500, 7)], SIBLINGS => Slow;
    a_member_on_the_slower_kind_of_worker: [(500, 15)], SIBLINGS => Normal;
    /// A task that resumes stands still until its checkpoint is restored.
    a_run_that_restores_its_checkpoint: [(500, 0), (800, 0)], CLASS => Unknown;
    /// Whole percent come every six seconds, and a look every second.
    a_run_of_ten_minutes_between_two_percent:
        [(1_000, 0), (7_000, 1), (8_000, 1), (9_000, 1)], LONG_CLASS => Unknown;
    a_run_of_ten_minutes: [(6_000, 1), (60_000, 10)], LONG_CLASS => Normal;
    nothing_is_said_before_the_first_percent_of_an_unknown_class: [(1_000, 0), (2_000, 0)], NOTHING => Unknown;
    /// A member that has done its share waits at 100 percent.
    a_member_that_waits: [(500, 30), (1_000, 100), (1_500, 100)], CLASS => Normal;
}
