//! The estimate of an outage's end, and what refused callers are told.

use std::time::Duration;

use almondpass_pool::retry_time;

fn check_time_left(lengths_s: &[u64], age_s: u64, left_s: u64) {
    let mut history = retry_time::OutageHistory::default();
    lengths_s.iter().for_each(|it| history.record(Duration::from_secs(*it)));
    assert_eq!(history.time_left(Duration::from_secs(age_s)), Duration::from_secs(left_s));
}

macro_rules! estimates {
    ($($name:ident: $lengths:expr, age $age:expr => $left:expr;)*) => {
        $(#[test]
        fn $name() {
            check_time_left(&$lengths, $age, $left);
        })*
    };
}

estimates! {
    a_first_outage_goes_on_for_as_long_as_it_has_lasted: [], age 4 => 4;
    outages_of_one_length_end_at_that_length: [7, 7, 7], age 5 => 2;
    shorter_outages_say_nothing_about_a_longer_one: [1, 2, 20], age 5 => 15;
    an_outage_longer_than_all_others_is_a_first_one: [3, 3, 3], age 5 => 5;
    the_median_ignores_one_very_long_outage: [3, 3, 600], age 1 => 2;
    // Guards against callers that lose their time because outages alternate between short and long.
    a_short_and_a_long_outage_mean_the_short_one: [3, 20, 3, 20], age 1 => 2;
    // Guards against callers of a long outage that keep coming back as if it were a short one.
    the_short_ones_do_not_count_once_they_are_exceeded: [3, 20, 3, 20], age 4 => 16;
}

/// Guards against a history that grows with each outage.
#[test]
fn the_oldest_outages_are_forgotten() {
    let mut history = retry_time::OutageHistory::default();
    history.record(Duration::from_secs(100));
    (0..retry_time::MAX_OUTAGES).for_each(|_| history.record(Duration::from_secs(1)));
    assert_eq!(history.time_left(Duration::from_secs(5)), Duration::from_secs(5));
}

/// The values for 2,000 callers, in seconds.
fn told(time_left_ms: u64, is_urgent: bool) -> Vec<u64> {
    let callers = (1..=2_000).map(|graph| retry_time::RefusedCaller { graph, is_urgent });
    callers.map(|it| it.retry_after(Duration::from_millis(time_left_ms)).as_secs()).collect()
}

/// Guards against callers that all come back at once, or later than the header may say.
fn check_spread(time_left_ms: u64, earliest_s: u64, latest_s: u64) {
    let (urgent, others) = (told(time_left_ms, true), told(time_left_ms, false));
    let all = || urgent.iter().chain(&others).copied();
    assert_eq!((all().min(), all().max()), (Some(earliest_s), Some(latest_s)));
    assert!(urgent.iter().max() <= others.iter().min(), "urgent callers come back first");
    for second in earliest_s..=latest_s {
        let n_callers = all().filter(|it| *it == second).count();
        let n_seconds = (latest_s - earliest_s + 1) as usize;
        assert!(n_callers <= 4_000 * 3 / n_seconds, "{n_callers} callers in second {second}");
    }
}

macro_rules! spreads {
    ($($name:ident: $left:expr => $earliest:expr, $latest:expr;)*) => {
        $(#[test]
        fn $name() {
            check_spread($left, $earliest, $latest);
        })*
    };
}

spreads! {
    a_store_that_is_about_to_return: 0 => 1, 1;
    an_outage_of_three_seconds: 2_900 => 3, 5;
    an_outage_of_seven_seconds: 7_000 => 7, 10;
    an_outage_of_twenty_seconds: 20_000 => 20, 23;
    an_outage_of_an_hour: 3_600_000 => 27, 30;
}
