//! What equal work of the tasks of a step tells about the speeds of workers.

use std::time::Duration;

use almondpass_graph::order;
use almondpass_schema::model;

use crate::support;

/// Workers of a test, in one rack; each third has the same speed.
const N_WORKERS: usize = 8;

/// Factors of the usual speed.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];

/// Time that a task takes on a worker of the usual speed.
const RUN_TIME: Duration = Duration::from_millis(2_500);

/// Interval between two polls of all workers.
const POLL_MS: u64 = 500;

fn speed_of(start: &order::StartOrder) -> f64 {
    SPEEDS[support::index_of(&start.worker) % SPEEDS.len()]
}

fn bench(scheduling: model::SchedulingSettings) -> support::PoolBench {
    support::PoolBench::with_scheduling(N_WORKERS, scheduling)
}

/// Two tasks of a gang fit on each worker, so that some share one.
fn half_workers(n: u32) -> model::GraphStep {
    model::GraphStep { accelerators: 4, ..support::tasks(n) }
}

/// All workers list what they run after `worked` of work at the usual speed.
fn list_runs(bench: &mut support::PoolBench, starts: &[order::StartOrder], worked: Duration) {
    for worker in 0..N_WORKERS {
        let on_it = starts.iter().filter(|it| support::index_of(&it.worker) == worker);
        let percent = |it: &order::StartOrder| {
            (100.0 * worked.mul_f64(speed_of(it)).div_duration_f64(RUN_TIME)).min(100.0) as u32
        };
        let running = on_it.map(|it| support::listed_run(it, percent(it))).collect::<Vec<_>>();
        bench.answer_poll(worker, &running, &[]);
    }
}

/// Plays gangs one after the other, each of tasks of equal work on all workers.
fn play_gangs(bench: &mut support::PoolBench, n_gangs: u64) {
    for number in 1..=n_gangs {
        let step = support::gang(half_workers(2 * N_WORKERS as u32));
        bench.admit(number, support::job(0, step));
        let starts = bench.run_round_and_start();
        assert_eq!(starts.len(), 2 * N_WORKERS);
        for n_polls in 1..=4 {
            bench.advance(POLL_MS);
            list_runs(bench, &starts, Duration::from_millis(n_polls * POLL_MS));
            bench.run_round();
        }
        for worker in 0..N_WORKERS {
            let on_it = starts.iter().filter(|it| support::index_of(&it.worker) == worker);
            let numbers = 2 * number - 1..;
            let ended = on_it
                .zip(numbers)
                .map(|(it, number)| support::listed_end(number, it, order::EndKind::Done));
            bench.answer_poll(worker, &[], &ended.collect::<Vec<_>>());
        }
        bench.save();
    }
}

/// Guards against speeds that become known only after many runs although the tasks of a step are alike.
#[test]
fn two_gangs_of_equal_work_tell_the_speeds() {
    let scheduling =
        model::SchedulingSettings { remember_speeds: true, ..model::SchedulingSettings::default() };
    let mut bench = bench(scheduling);
    play_gangs(&mut bench, 2);
    bench.advance(1_000);
    bench.admit(9, support::job(2, support::tasks(1)));
    bench.run_round();
    let row = bench.core.speed_row().expect("the workers differ");
    assert_eq!(row.workers.len(), N_WORKERS);
    for entry in &row.workers {
        let speed = SPEEDS[support::index_of(&entry.worker) % SPEEDS.len()];
        // The speeds are relative to the middle of the pool, which is a little above 1.
        let expected = 100.0 * speed / 0.99;
        let error = f64::from(entry.percent) / expected - 1.0;
        assert!(error.abs() < 0.15, "{entry:?}, expected about {expected}");
        // Four runs of unequal work would count as four samples at most.
        assert!(entry.samples > 8, "{entry:?}");
    }
}
