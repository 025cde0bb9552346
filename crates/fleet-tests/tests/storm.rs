//! Storms of faults from fixed seeds.
//!
//! `ALMONDPASS_FUZZ_SECONDS=900 cargo test --release -p almondpass-fleet-tests --test storm -- --nocapture`
//! goes on with other seeds for that long.

use std::time::{Duration, Instant};

use almondpass_fleet_tests::storm;

fn plan(seed: u64) -> storm::StormPlan {
    storm::StormPlan {
        seed,
        n_nodes: 3 + (seed % 3) as usize,
        storm: Duration::from_secs(45),
        fault_interval: Duration::from_millis(1500),
    }
}

/// Runs one seed; prints and returns the number of violations.
fn check(seed: u64) -> usize {
    // Set `RUST_LOG` to see what the instances say.
    let filter = tracing_subscriber::EnvFilter::from_default_env();
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false);
    let _ = subscriber.try_init();
    let started = Instant::now();
    let report = storm::run(plan(seed));
    println!(
        "seed {seed}: {:.1} s, {} requests ({} done, {} not run, {} unknown), {} jobs, {} task runs, \
         partial at most {:?}, checks {:?}",
        started.elapsed().as_secs_f64(),
        report.n_requests,
        report.n_done,
        report.n_not_run,
        report.n_unknown,
        report.n_jobs,
        report.n_runs,
        report.oracle.longest_partial,
        report.oracle.checks,
    );
    if !report.violations.is_empty() {
        for line in &report.trace {
            println!("  {line}");
        }
    }
    for violation in &report.violations {
        println!("  VIOLATION {violation}");
    }
    report.violations.len()
}

macro_rules! seeds {
    ($($name:ident: $seed:literal;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(check($seed), 0);
        })*
    };
}

seeds! {
    storm_1: 1;
    storm_2: 2;
    storm_3: 3;
}

#[test]
fn storms_for_as_long_as_asked() {
    let seconds = std::env::var("ALMONDPASS_FUZZ_SECONDS").ok();
    let seconds = seconds.map_or(0, |it| it.parse().expect("a number of seconds"));
    let first = std::env::var("ALMONDPASS_FUZZ_SEED").ok();
    let first = first.map_or(1000, |it| it.parse::<u64>().expect("a seed"));
    let started = Instant::now();
    let mut n_violations = 0;
    for seed in first.. {
        if Duration::from_secs(seconds) <= started.elapsed() {
            break;
        }
        n_violations += check(seed);
    }
    assert_eq!(n_violations, 0);
}
