//! Learned speeds that outlive the holder of the tenure, with `remember_speeds`.

use almondpass_graph::{order, worker};
use almondpass_schema::model;

use crate::speed_load;
use crate::support;

/// Workers of the bench.
const N_WORKERS: usize = 16;

fn entry(index: usize, incarnation: u64) -> worker::WorkerEntry {
    worker::WorkerEntry { incarnation: Some(incarnation), ..support::worker_entry(index) }
}

/// A row that names each worker in its first incarnation, fast and slow ones in turn.
fn speed_row() -> model::SpeedRow {
    let entry = |index: usize| model::SpeedEntry {
        worker: support::worker_id(index),
        incarnation: Some(1),
        percent: if index.is_multiple_of(2) { 160 } else { 60 },
        samples: 8,
    };
    model::SpeedRow { noise_percent: 15, workers: (0..N_WORKERS).map(entry).collect() }
}

/// A successor that has read the list of workers, each with that incarnation.
fn successor(incarnations: impl Fn(usize) -> u64) -> support::PoolBench {
    let scheduling =
        model::SchedulingSettings { remember_speeds: true, ..model::SchedulingSettings::default() };
    let mut bench = support::PoolBench::with_scheduling(0, scheduling);
    for index in 0..N_WORKERS {
        let entry = entry(index, incarnations(index));
        bench.core.update_worker(support::worker_id(index), entry, bench.now);
    }
    bench.save();
    bench
}

fn answer(bench: &mut support::PoolBench, worker: usize, incarnation: u64) {
    let reply = order::PollReply {
        incarnation: Some(incarnation),
        clock_ms: bench.now.as_millis() as u64,
        running: Vec::new(),
        ended: Vec::new(),
        complete: true,
    };
    bench.core.poll_answered(&support::worker_id(worker), reply, bench.now, bench.now);
}

/// Workers whose speeds are known, after a round for an urgent gang.
fn known_workers(bench: &mut support::PoolBench) -> Vec<String> {
    bench.admit(1, support::job(0, support::gang(support::whole_workers(2))));
    bench.advance(1_000);
    bench.run_round();
    let mut row = bench.core.speed_row().map(|it| it.workers).unwrap_or_default();
    row.sort_by(|one, other| one.worker.cmp(&other.worker));
    row.into_iter().map(|it| it.worker).collect()
}

fn ids(workers: impl Iterator<Item = usize>) -> Vec<String> {
    workers.map(support::worker_id).collect()
}

/// Guards against a worker that counts as fast or slow for what its earlier incarnation was.
#[test]
fn an_entry_of_an_earlier_incarnation_does_not_count() {
    let mut bench = successor(|it| if it < 4 { 2 } else { 1 });
    bench.core.inherit_speeds(speed_row(), bench.now);
    assert_eq!(known_workers(&mut bench), ids(4..N_WORKERS));
}

/// Guards against an inherited speed of a worker whose restart the list does not show yet.
#[test]
fn the_first_answer_of_another_incarnation_drops_the_speed() {
    let mut bench = successor(|_| 1);
    bench.core.inherit_speeds(speed_row(), bench.now);
    (0..N_WORKERS).for_each(|it| answer(&mut bench, it, if it < 4 { 2 } else { 1 }));
    assert_eq!(known_workers(&mut bench), ids(4..N_WORKERS));
}

/// Guards against an inherited speed of a worker that lists a new incarnation before its first answer.
#[test]
fn a_new_entry_before_the_first_answer_drops_the_speed() {
    let mut bench = successor(|_| 1);
    bench.core.inherit_speeds(speed_row(), bench.now);
    for index in 0..4 {
        bench.core.update_worker(support::worker_id(index), entry(index, 2), bench.now);
    }
    (0..N_WORKERS).for_each(|it| answer(&mut bench, it, if it < 4 { 2 } else { 1 }));
    assert_eq!(known_workers(&mut bench), ids(4..N_WORKERS));
}

/// Guards against a worker that keeps its learned speed when it restarts under its id at another speed.
#[test]
fn a_restarted_worker_is_of_unknown_speed() {
    let mut bench = successor(|_| 1);
    bench.core.inherit_speeds(speed_row(), bench.now);
    (0..N_WORKERS).for_each(|it| answer(&mut bench, it, 1));
    bench.advance(500);
    (0..4).for_each(|it| answer(&mut bench, it, 2));
    for index in 0..4 {
        bench.core.update_worker(support::worker_id(index), entry(index, 2), bench.now);
    }
    assert_eq!(known_workers(&mut bench), ids(4..N_WORKERS));
}

/// Guards against a row that is written with each sample, which is more than the platform allows a node.
#[test]
fn the_row_is_written_at_most_every_10_s() {
    let mut pool = speed_load::SpeedPool::new(speed_load::MIXED, 1);
    pool.run(60);
    let n_writes = pool.n_speed_rows;
    println!("{n_writes} rows of speeds in 60 s");
    assert!((1..=6).contains(&n_writes), "{n_writes} rows");
}

/// Guards against a switch that is off and still writes a row.
#[test]
fn no_row_is_written_while_speeds_are_not_remembered() {
    let mut pool = speed_load::SpeedPool::new(speed_load::MIXED.off(), 1);
    pool.run(30);
    assert_eq!((pool.n_speed_rows, pool.bench.core.speed_row()), (0, None));
}

/// Guards against a row of alike workers, which would be written for their noise alone.
#[test]
fn no_row_is_written_of_alike_workers() {
    let load = speed_load::SpeedLoad { speeds: &[1.0], ..speed_load::MIXED };
    let mut pool = speed_load::SpeedPool::new(load, 1);
    pool.run(30);
    assert_eq!(pool.n_speed_rows, 0);
}

/// Urgent gangs that ended within 15 s of a takeover, with and without the row of speeds.
fn gangs_after_takeover(has_row: bool) -> Vec<speed_load::PlayedGang> {
    let of_pool = |seed| {
        let mut former = speed_load::SpeedPool::new(speed_load::MIXED, seed);
        former.run(40);
        let mut pool = speed_load::SpeedPool::new(speed_load::MIXED, seed);
        if has_row {
            let row = former.bench.core.speed_row().expect("a row");
            pool.bench.core.inherit_speeds(row, pool.bench.now);
        }
        pool.run(15)
    };
    (0..4).flat_map(of_pool).collect()
}

/// Guards against urgent gangs that are late after each takeover, until the new holder knows the workers.
#[test]
fn urgent_gangs_are_in_time_after_a_takeover() {
    let (without, with) = (gangs_after_takeover(false), gangs_after_takeover(true));
    let in_time = |gangs: &[_]| speed_load::share(gangs, |it| it.in_time);
    let has_slow = |gangs: &[_]| speed_load::share(gangs, |it| it.has_slow);
    println!("in time: {:.2} without the row, {:.2} with it", in_time(&without), in_time(&with));
    println!("with a slow member: {:.2}, {:.2}", has_slow(&without), has_slow(&with));
    assert!(in_time(&with) >= 0.9, "{:.2} in time", in_time(&with));
    assert!(in_time(&with) >= in_time(&without) + 0.1, "{:.2} without", in_time(&without));
}
