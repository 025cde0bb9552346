//! Forecasts of ends.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{catalog, core, order, timing};
use almondpass_schema::model;

use crate::support;

/// A bench whose class of urgent jobs has an objective, with moves of late runs on.
fn bench(n_workers: usize) -> support::PoolBench {
    let class = |priority| catalog::ClassSpec {
        upstream: "analysis".to_owned(),
        priority,
        max_attempts: 3,
        stretch: 1.5,
        target_latency: Duration::from_millis(250),
    };
    let classes = (0..2).map(|it| (format!("class-{it}"), class(it)));
    let start = core::PoolStart {
        timing: timing::PoolTiming::default(),
        scheduling: model::SchedulingSettings {
            move_late_runs: true,
            ..model::SchedulingSettings::default()
        },
        catalog: Arc::new(catalog::PoolCatalog {
            classes: classes.collect(),
            ..catalog::PoolCatalog::default()
        }),
        settles_at: Duration::ZERO,
    };
    let mut bench = support::PoolBench {
        core: core::PoolCore::new(start),
        now: Duration::from_secs(1_000),
        saved: BTreeMap::new(),
    };
    for index in 0..n_workers {
        bench.core.update_worker(
            support::worker_id(index),
            support::worker_entry(index),
            bench.now,
        );
    }
    bench.save();
    for index in 0..n_workers {
        bench.answer_poll(index, &[], &[]);
    }
    bench
}

/// Urgent gang of `n` tasks that need a whole worker each.
fn urgent_gang(n: u32) -> model::GraphRow {
    model::GraphRow { max_attempts: 3, ..support::job(0, support::gang(support::whole_workers(n))) }
}

/// The workers of `starts` list their runs at the given percentages.
fn list(bench: &mut support::PoolBench, starts: &[order::StartOrder], percents: &[u32]) {
    for (start, percent) in starts.iter().zip(percents) {
        let worker = support::index_of(&start.worker);
        bench.answer_poll(worker, &[support::listed_run(start, *percent)], &[]);
    }
}

/// Checks the forecast of the first member of a gang, in milliseconds of time left and of work, after
/// readings of all members at the given times.
fn check_forecast(readings: &[(u64, &[u32])], expected: Option<(u64, u64)>) {
    let n_members = readings.first().map_or(1, |it| it.1.len());
    let mut bench = bench(n_members);
    bench.admit(1, urgent_gang(n_members as u32));
    let starts = bench.run_round_and_start();
    let began = bench.now;
    for (millis, percents) in readings {
        bench.now = began + Duration::from_millis(*millis);
        list(&mut bench, &starts, percents);
    }
    let forecast = bench.core.forecast(starts[0].task, bench.now);
    let forecast = forecast.map(|it| (it.ends_in.as_millis() as u64, it.work.as_millis() as u64));
    assert_eq!(forecast, expected);
}

macro_rules! forecasts {
    ($($(#[$doc:meta])* $name:ident: $readings:expr => $expected:expr;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            check_forecast(&$readings, $expected);
        })*
    };
}

forecasts! {
    nothing_is_known_before_the_first_gain: [] => None;
    a_run_goes_on_at_its_pace: [(500, &[20])] => Some((2_000, 2_500));
    a_run_that_slows_down_keeps_its_work: [(500, &[20]), (1_500, &[30])] => Some((7_000, 2_500));
    a_run_that_recovers: [(500, &[20]), (1_500, &[30]), (2_000, &[50])] => Some((1_250, 2_500));
    /// Guards against moves of runs that stand still, which are left to the check for stalls.
    a_run_that_stands_still_has_no_forecast: [(500, &[20]), (1_500, &[20])] => None;
    a_gang_ends_with_its_last_member: [(500, &[20, 20, 10])] => Some((4_500, 2_500));
    a_completed_member_waits_for_the_others: [(500, &[50, 20, 20]), (1_000, &[100, 40, 40])] => Some((1_500, 2_500));
    /// Guards against forecasts of a gang by those members alone that happened to be listed early.
    a_gang_with_an_unknown_member_has_no_forecast: [(500, &[20, 20, 0])] => None;
}
