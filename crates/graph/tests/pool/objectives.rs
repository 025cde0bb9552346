//! Time objectives, slack and prospects of jobs.

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
    let chain = objective::StepChain { n_steps, n_unfinished: n_steps };
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
    independent_steps_are_no_chain: &[&[], &[], &[]] => 1;
    dependent_steps_add_up: &[&[], &[0], &[1]] => 3;
    the_longest_chain_counts: &[&[], &[], &[0], &[1, 2]] => 3;
    a_step_that_names_a_later_one_counts_by_itself: &[&[1], &[]] => 1;
}

/// Three steps of 2 s with stretch 3 and a target latency of 1 s: the objective is 19 s, of which the work
/// takes 6 s.
#[test]
fn slack_is_what_the_objective_leaves() {
    let chain = objective::StepChain { n_steps: 3, n_unfinished: 3 };
    let step = Duration::from_secs(2);
    assert_eq!(objective::objective(&class(), chain, step), Duration::from_secs(19));
    assert_eq!(objective::slack(&class(), chain, step), Duration::from_secs(13));
}

/// A class may have an objective shorter than its work. Then its jobs may not wait at all.
#[test]
fn slack_is_never_negative() {
    let class = catalog::ClassSpec { stretch: 0.1, target_latency: Duration::ZERO, ..class() };
    let chain = objective::StepChain { n_steps: 1, n_unfinished: 1 };
    assert_eq!(objective::slack(&class, chain, Duration::from_secs(2)), Duration::ZERO);
}

fn check_prospect(age_seconds: u64, n_unfinished: u32, expected: prospect::JobProspect) {
    let chain = objective::StepChain { n_steps: 3, n_unfinished };
    let age = Duration::from_secs(age_seconds);
    assert_eq!(prospect::prospect_of(&class(), chain, Duration::from_secs(2), age), expected);
}

macro_rules! prospects {
    ($($name:ident: $age:expr, $n_unfinished:expr => $expected:ident;)*) => {
        $(
            #[test]
            fn $name() {
                check_prospect($age, $n_unfinished, prospect::JobProspect::$expected);
            }
        )*
    };
}

// The objective is 19 s.
prospects! {
    a_job_may_wait_for_its_slack: 13, 3 => InTime;
    a_job_that_has_waited_longer_is_late: 14, 3 => Late;
    only_unfinished_steps_count: 14, 2 => InTime;
    three_times_the_objective_is_late: 51, 3 => Late;
    more_than_three_times_the_objective_is_expired: 52, 3 => Expired;
}

/// Admits a job, a second one 30 s later, both of the given class, and returns which of them gets the only
/// worker.
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

/// Under overload, jobs that can be in time start before jobs that are late. In order of age, hardly a job
/// was in time at four times the load of a quiet day: jobs queued for longer than their objective, and each
/// late job that started made the next one late.
#[test]
fn jobs_that_can_be_in_time_start_before_late_ones() {
    assert_eq!(first_of_two(class()), 2);
}

/// Jobs of a class without objective are never late and start in order of age.
#[test]
fn a_class_without_objective_keeps_the_order_of_age() {
    assert_eq!(first_of_two(catalog::ClassSpec { stretch: 0.0, ..class() }), 1);
}
