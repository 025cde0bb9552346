//! Refusing submissions for load: the decision, the summary behind it, and its effect in an overloaded pool.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use almondpass_graph::{admission, catalog, resources};
use almondpass_schema::model;

use crate::admission_gate;
use crate::load_simulation;
use crate::support;

/// Classes with an objective of two run times and a second, and one without an objective.
fn test_catalog() -> catalog::PoolCatalog {
    let class = |priority, stretch| catalog::ClassSpec {
        upstream: "analysis".to_owned(),
        priority,
        max_attempts: 2,
        stretch,
        target_latency: Duration::from_secs(1),
    };
    catalog::PoolCatalog {
        classes: [("class-0", 0, 2.0), ("class-1", 1, 2.0), ("class-2", 2, 0.0)]
            .map(|(name, priority, stretch)| (name.to_owned(), class(priority, stretch)))
            .into(),
        guaranteed: [("lab".to_owned(), 16)].into(),
        ..catalog::PoolCatalog::default()
    }
}

/// A load with run times of 2 s, so that a job of one step is worth nothing after 15 s, and with a wait of
/// `wait_ms` or, for late jobs, of `late_wait_ms`.
fn load(wait_ms: u64, late_wait_ms: u64) -> model::LoadSummary {
    let class = |name: &str| model::ClassLoad {
        class: name.to_owned(),
        wait_ms,
        low_wait_ms: wait_ms,
        late_wait_ms,
        low_late_wait_ms: late_wait_ms,
        run_ms: 2_000,
    };
    model::LoadSummary {
        age_ms: 0,
        classes: ["class-0", "class-1", "class-2"].map(class).into(),
        accounts: vec![model::AccountLoad { account: "lab".to_owned(), urgent_accelerators: 10 }],
    }
}

fn check(row: model::GraphRow, load: model::LoadSummary, returns_in_s: Option<u64>) {
    let catalog = test_catalog();
    let request = admission::AdmissionRequest { row: &row, catalog: &catalog, load: &load };
    let returns_in = admission::refusal(request).map(|it| it.returns_in);
    assert_eq!(returns_in, returns_in_s.map(Duration::from_secs));
}

macro_rules! decisions {
    ($($name:ident: $row:expr, $load:expr => $returns_in:expr;)*) => {
        $(#[test]
        fn $name() {
            check($row, $load, $returns_in);
        })*
    };
}

fn timed(row: model::GraphRow) -> model::GraphRow {
    let runs = 2.try_into().expect("a number of runs");
    let schedule = Some(model::RunSchedule { runs, first_ms: 0, interval_ms: 1_000 });
    model::GraphRow { graph: model::JobGraph { schedule, ..row.graph }, ..row }
}

fn of_account(account: Option<&str>, row: model::GraphRow) -> model::GraphRow {
    model::GraphRow { account: account.map(str::to_owned), ..row }
}

fn two_steps() -> model::GraphRow {
    let mut row = support::job(1, support::tasks(1));
    row.graph.steps.push(model::GraphStep { after: vec![0], ..support::tasks(1) });
    row
}

decisions! {
    a_job_that_is_in_time: support::job(1, support::tasks(1)), load(3_000, 90_000) => None;
    a_late_job_that_is_of_use: support::job(1, support::tasks(1)), load(4_000, 13_000) => None;
    a_job_that_is_of_no_use: support::job(1, support::tasks(1)), load(20_000, 24_000) => Some(5);
    // Its slack is 3 s, in which a sixth of the jobs in time start.
    a_job_that_may_start_before_it_is_late:
        support::job(1, support::tasks(1)), load(18_000, 60_000) => None;
    // Its objective is longer by the second step.
    a_longer_job_may_wait_longer: two_steps(), load(6_000, 20_000) => None;
    a_job_without_an_objective: support::job(2, support::tasks(1)), load(60_000, 90_000) => None;
    a_timed_job: timed(support::job(1, support::tasks(1))), load(60_000, 90_000) => None;
    a_class_that_is_not_in_the_summary:
        support::job(1, support::tasks(1)),
        model::LoadSummary { classes: Vec::new(), ..load(60_000, 90_000) } => None;
    urgent_work_within_a_guarantee: support::job(0, support::tasks(6)), load(60_000, 90_000) => None;
    urgent_work_beside_work_that_may_have_ended:
        support::job(0, support::tasks(16)), load(60_000, 90_000) => None;
    urgent_work_above_a_guarantee:
        support::job(0, support::tasks(17)), load(60_000, 90_000) => Some(45);
    less_urgent_work_of_an_account_with_a_guarantee:
        support::job(1, support::tasks(1)), load(60_000, 90_000) => Some(45);
    urgent_work_of_an_account_of_unknown_need: support::job(0, support::tasks(99)),
        model::LoadSummary { accounts: Vec::new(), ..load(60_000, 90_000) } => None;
    urgent_work_without_an_account:
        of_account(None, support::job(0, support::tasks(1))), load(60_000, 90_000) => Some(45);
}

/// Guards against a new holder that refuses jobs before it has measured anything, and against a summary while
/// nothing waits.
#[test]
fn a_summary_exists_only_once_a_class_has_waited() {
    let mut bench = support::PoolBench::with_scheduling(2, refusing());
    bench.core.set_catalog(Arc::new(test_catalog()));
    assert_eq!(bench.core.load_summary(bench.now), None);
    (1..=40).for_each(|graph| bench.admit(graph, support::job(1, support::whole_workers(1))));
    bench.run_round_and_start();
    assert_eq!(bench.core.load_summary(bench.now), None);
}

fn refusing() -> model::SchedulingSettings {
    model::SchedulingSettings { refuse_hopeless: true, ..model::SchedulingSettings::default() }
}

/// Urgent gangs, gangs, and many small tasks: as much work as 48 workers can do.
fn full_load() -> Vec<load_simulation::LoadClass> {
    let urgent = load_simulation::LoadClass {
        priority: 0,
        per_second: 2.2,
        tasks: (1, 6),
        accelerators: &[1, 2, 4, 8, 8],
        other_resources: resources::Resources {
            cpu_milli: 3_700,
            memory_mb: 7_000,
            accelerators: 0,
        },
        gang: true,
        same_rack: true,
        run: Duration::from_millis(2_500),
        stretch: 1.5,
        target: Duration::from_millis(250),
    };
    let gangs = load_simulation::LoadClass {
        priority: 1,
        per_second: 0.72,
        tasks: (1, 7),
        accelerators: &[4, 8],
        run: Duration::from_millis(6_800),
        stretch: 3.0,
        target: Duration::from_secs(1),
        ..urgent.clone()
    };
    let small = load_simulation::LoadClass {
        priority: 2,
        per_second: 0.48,
        tasks: (4, 28),
        accelerators: &[1],
        gang: false,
        same_rack: false,
        run: Duration::from_millis(9_500),
        stretch: 3.0,
        target: Duration::from_secs(3),
        ..urgent.clone()
    };
    vec![urgent, gangs, small]
}

/// Simulates a burst of load and prints what each class got.
fn run_burst(factor: f64, seed: u64, refuses: bool) -> admission_gate::RefusalTally {
    let mut classes = full_load();
    classes.iter_mut().for_each(|it| it.per_second /= 2.0);
    let burst = load_simulation::LoadBurst {
        n_workers: 24,
        classes: &classes,
        factor,
        seconds: (90, 60),
        seed,
        refuses,
    };
    let (tallies, refused) = load_simulation::simulate_burst(burst);
    let shares = tallies
        .iter()
        .map(|it| format!("{} in time, {} of use of {}", it.in_time, it.n_useful, it.n_counted));
    let shares = shares.collect::<Vec<_>>().join("; ");
    println!("factor {factor}, seed {seed}, refuses {refuses}: {shares}; {refused:?}");
    refused
}

/// Guards against refusals of jobs that could have been of use, and against callers that come back as told and
/// are refused again.
#[test]
fn refusals_at_two_and_four_times_the_load_of_a_full_pool() {
    let runs = [(2.0, 1), (2.0, 2), (2.0, 3), (4.0, 1), (4.0, 2), (4.0, 3)];
    let sum = thread::scope(|scope| {
        let without = [2.0, 4.0].map(|factor| scope.spawn(move || run_burst(factor, 1, false)));
        let with = runs.map(|(factor, seed)| scope.spawn(move || run_burst(factor, seed, true)));
        for run in without {
            assert_eq!(run.join().expect("a simulation").n_refused, 0);
        }
        let mut sum = admission_gate::RefusalTally::default();
        with.into_iter().for_each(|it| sum.add(it.join().expect("a simulation")));
        sum
    });
    println!("{sum:?}");
    assert!(sum.n_probes > 0 && sum.n_returned > 0, "{sum:?}");
    assert!(10 * sum.n_useful_probes <= sum.n_probes, "{sum:?}");
    assert!(10 * sum.n_returned_admitted >= 9 * sum.n_returned, "{sum:?}");
}
