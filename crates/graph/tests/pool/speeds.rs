//! Workers of different speeds.

use std::time::Duration;

use almondpass_graph::{order, worker_speed};

use crate::support;

/// Workers of a test; each third has the same speed, mixed within each rack.
const N_WORKERS: usize = 48;

/// Factors of the usual speed.
const SPEEDS: [f64; 3] = [0.65, 1.0, 1.6];

/// Time that a task takes on a worker of the usual speed.
const RUN_TIME: Duration = Duration::from_millis(2_500);

/// Tasks of each gang.
const GANG: u32 = 5;

/// Interval between two polls of all workers.
const POLL_MS: u64 = 500;

fn speed_of(start: &order::StartOrder) -> f64 {
    SPEEDS[support::index_of(&start.worker) % SPEEDS.len()]
}

/// Plays gangs of urgent jobs one after the other; returns how long each worked.
fn play_gangs(n_gangs: u64) -> Vec<Duration> {
    let mut bench = support::PoolBench::new(N_WORKERS);
    let mut n_ends = vec![0; N_WORKERS];
    (1..=n_gangs).map(|graph| play_gang(&mut bench, graph, &mut n_ends)).collect()
}

fn play_gang(bench: &mut support::PoolBench, graph: u64, n_ends: &mut [u64]) -> Duration {
    bench.admit(graph, support::job(0, support::gang(support::whole_workers(GANG))));
    let starts = bench.run_round_and_start();
    assert_eq!(starts.len(), GANG as usize);
    let began = bench.now;
    let slowest = starts.iter().map(speed_of).fold(f64::INFINITY, f64::min);
    let took = RUN_TIME.div_f64(slowest);
    while bench.now < began + took {
        bench.advance(POLL_MS);
        for start in &starts {
            let worked = (bench.now - began).as_secs_f64() * speed_of(start);
            let percent = (100.0 * worked / RUN_TIME.as_secs_f64()).min(100.0) as u32;
            let run = support::listed_run(start, percent);
            bench.answer_poll(support::index_of(&start.worker), &[run], &[]);
        }
    }
    for start in &starts {
        let worker = support::index_of(&start.worker);
        n_ends[worker] += 1;
        let end = support::listed_end(n_ends[worker], start, order::EndKind::Done);
        bench.answer_poll(worker, &[], &[end]);
    }
    let busy = starts.iter().map(|it| support::index_of(&it.worker)).collect::<Vec<_>>();
    for idle in (0..N_WORKERS).filter(|it| !busy.contains(it)) {
        bench.answer_poll(idle, &[], &[]);
    }
    bench.save();
    took
}

/// Guards against urgent gangs that are late beside idle fast workers: each ends with its slowest member, and
/// nothing told slow workers from others.
#[test]
fn urgent_gangs_come_to_avoid_slow_workers() {
    let took = play_gangs(60);
    let usual = RUN_TIME.mul_f64(1.05);
    let n_late = took[40..].iter().filter(|it| **it > usual).count();
    assert!(n_late <= 2, "{n_late} of 20 gangs waited for a slow worker");
}

fn check_class(factors: &[f64], expected: worker_speed::SpeedClass) {
    let mut speed = worker_speed::WorkerSpeed::default();
    factors.iter().for_each(|it| speed.observe(*it));
    assert_eq!(speed.class(), expected);
}

macro_rules! classes {
    ($($(#[$doc:meta])* $name:ident: $factors:expr => $class:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { check_class(&$factors, $class); })*
    };
}

classes! {
    an_unknown_worker_counts_as_usual: [] => 0;
    /// Tasks of one step differ by a third.
    one_run_says_little: [0.75] => 0;
    a_few_runs_show_a_slow_worker: [0.65, 0.6, 0.7] => -1;
    a_few_runs_show_a_fast_worker: [1.6, 1.5, 1.7] => 1;
    /// Guards against a worker that counts as slow for a run that was slow by its own fault.
    one_run_of_many_times_the_usual_is_bounded: [1.0, 1.0, 0.1, 1.0] => -1;
    a_worker_that_was_slow_for_a_while_is_forgiven: [vec![0.5; 8], vec![1.0; 24]].concat() => 0;
}
