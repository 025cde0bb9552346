//! Forecasts of when runs end.

use std::time::Duration;

use crate::late_runs;

/// Checks the forecast of the first member of a gang, in milliseconds of time left and of work, after
/// readings of all members at the given times.
fn check_forecast(readings: &[(u64, &[u32])], expected: Option<(u64, u64)>) {
    let n_members = readings.first().map_or(1, |it| it.1.len());
    let mut bench = late_runs::bench_with(n_members, true);
    bench.admit(1, late_runs::urgent_gang(n_members as u32));
    let starts = bench.run_round_and_start();
    let began = bench.now;
    for (millis, percents) in readings {
        bench.now = began + Duration::from_millis(*millis);
        late_runs::list(&mut bench, &starts, percents);
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
