//! When jobs are in time.

use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{catalog, job, objective, prospect};
use almondpass_schema::model;

use crate::support;

fn class() -> catalog::ClassSpec {
    catalog::ClassSpec {
        upstream: "analysis".to_owned(),
        priority: 1,
        max_attempts: 2,
        stretch: 3.0,
        target_latency: Duration::from_secs(1),
    }
}

fn steps(afters: &[&[u32]]) -> Vec<job::StepRecord> {
    let steps = afters.iter().map(|after| {
        let spec = model::GraphStep { after: after.to_vec(), ..support::tasks(1) };
        job::StepRecord::new(spec, Duration::ZERO)
    });
    steps.collect()
}

fn check_chain(afters: &[&[u32]], n_steps: u32) {
    let chain = objective::StepChain { n_steps, n_left: n_steps };
    assert_eq!(objective::StepChain::of(&steps(afters)), chain);
}

macro_rules! chains {
    ($($name:ident: $afters:expr => $n_steps:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check_chain($afters, $n_steps);
            }
        )*
    };
}

chains! {
    one_step_is_a_chain_of_one: &[&[]] => 1;
    steps_side_by_side_are_no_chain: &[&[], &[], &[]] => 1;
    steps_one_after_the_other_add_up: &[&[], &[0], &[1]] => 3;
    the_longest_chain_counts: &[&[], &[], &[0], &[1, 2]] => 3;
    a_step_that_names_a_later_one_counts_by_itself: &[&[1], &[]] => 1;
}

/// Three steps of 2 s at three times their time and a second: 19 s, of which the work takes 6.
#[test]
fn slack_is_what_the_objective_leaves() {
    let chain = objective::StepChain { n_steps: 3, n_left: 3 };
    let step = Duration::from_secs(2);
    assert_eq!(objective::objective(&class(), chain, step), Duration::from_secs(19));
    assert_eq!(objective::slack(&class(), chain, step), Duration::from_secs(13));
}

/// A class may promise less than its work takes; then nothing may wait.
#[test]
fn slack_is_never_negative() {
    let class = catalog::ClassSpec { stretch: 0.1, target_latency: Duration::ZERO, ..class() };
    let chain = objective::StepChain { n_steps: 1, n_left: 1 };
    assert_eq!(objective::slack(&class, chain, Duration::from_secs(2)), Duration::ZERO);
}

fn check_prospect(age_seconds: u64, n_left: u32, expected: prospect::JobProspect) {
    let chain = objective::StepChain { n_steps: 3, n_left };
    let age = Duration::from_secs(age_seconds);
    assert_eq!(prospect::prospect_of(&class(), chain, Duration::from_secs(2), age), expected);
}

macro_rules! prospects {
    ($($name:ident: $age:expr, $n_left:expr => $expected:ident;)*) => {
        $(
            #[test]
            fn $name() {
                check_prospect($age, $n_left, prospect::JobProspect::$expected);
            }
        )*
    };
}

// The objective is 19 s.
prospects! {
    a_job_may_wait_for_its_slack: 13, 3 => InTime;
    a_job_that_has_waited_longer_is_late: 14, 3 => Late;
    what_is_left_of_its_work_counts: 14, 2 => InTime;
    three_times_the_objective_is_late: 51, 3 => Late;
    behind_that_it_is_over: 52, 3 => Expired;
}

/// A job that has waited for 30 s and one that has just come, of a class like `class`; which of them
/// gets the only worker.
fn first_of_two(class: catalog::ClassSpec) -> u64 {
    let mut bench = support::PoolBench::new(1);
    bench.core.set_catalog(Arc::new(catalog::PoolCatalog {
        classes: [("class-1".to_owned(), class)].into(),
        ..catalog::PoolCatalog::default()
    }));
    bench.admit(1, support::job(1, support::whole_workers(1)));
    bench.advance(30_000);
    bench.answer_poll(0, &[], &[]);
    bench.admit(2, support::job(1, support::whole_workers(1)));
    let starts = support::starts(&bench.run_round());
    assert_eq!(starts.len(), 1);
    starts[0].task.graph
}

/// Symptom: under four times the load of a quiet day hardly a job was in time. Sequence: jobs queue
/// for longer than their objective; each that starts is late, and makes the one behind it late. Cause:
/// work was in order of age.
#[test]
fn what_can_be_in_time_comes_before_what_is_late() {
    assert_eq!(first_of_two(class()), 2);
}

/// A class that promises nothing has no late jobs: they start in the order of age.
#[test]
fn a_class_that_promises_nothing_keeps_the_order_of_age() {
    assert_eq!(first_of_two(catalog::ClassSpec { stretch: 0.0, ..class() }), 1);
}
