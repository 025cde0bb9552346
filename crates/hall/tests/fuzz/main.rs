//! Stateful fuzzing of hall schedulers with random work and faults. A simple oracle compares the replies to
//! callers with the tasks that workers ran.
//!
//! The seed is fixed. A long run with a fresh seed:
//! `HALL_FUZZ_CASES=2000 HALL_FUZZ_SEED=$RANDOM cargo test --release -p almondpass-hall --test fuzz`.

#[path = "../hall/support.rs"]
#[expect(dead_code, reason = "shared with the other tests")]
mod support;

mod oracle;
mod simulated_site;
mod step;

use proptest::collection;
use proptest::test_runner::{Config, RngSeed, TestRunner};

#[test]
fn replies_match_what_workers_ran_despite_faults() {
    let config = Config {
        cases: setting("HALL_FUZZ_CASES", 32) as u32,
        rng_seed: RngSeed::Fixed(setting("HALL_FUZZ_SEED", 5)),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let steps = collection::vec(step::any_step(), 10..60);
    if let Err(fault) = runner.run(&steps, |steps| simulated_site::check(&steps)) {
        panic!("{fault}");
    }
}

/// A number from an environment variable, by which a long run is configured.
fn setting(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(usual)
}
