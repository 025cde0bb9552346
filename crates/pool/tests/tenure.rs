//! Tests when the tenure may be acquired, and when its holder may act.

use std::time::Duration;

use almondpass_pool::{settings, tenure_status, tenure_watch, vacancy, version_history};
use almondpass_schema::model;

const TERM: Duration = Duration::from_secs(2);

fn row(address: &str, released: bool) -> model::PoolTenure {
    model::PoolTenure {
        notes_silence: false,
        settles_in_ms: 0,
        earlier: Vec::new(),
        names_earlier: true,
        n_unserved: 0,
        strongest_milli: 0,
        holder: "a-1".to_owned(),
        address: address.to_owned(),
        epoch: 7,
        renewal: 3,
        released,
        losses: None,
    }
}

/// A watch that read `row` at 0 ms, and whose read failed at `failed`: whether the tenure is free at `now`
/// for an instance at `10.0.0.2:1`. Times in milliseconds.
struct WatchCase {
    row: Option<model::PoolTenure>,
    failed: Option<u64>,
    now: u64,
    is_free: bool,
}

fn check_watch(case: WatchCase) {
    let mut watch = tenure_watch::TenureWatch::default();
    let version = if case.row.is_some() { 5 } else { 0 };
    watch.record_read(version, case.row.clone(), Duration::from_secs(100));
    if let Some(failed) = case.failed {
        watch.record_failure(Duration::from_secs(100) + Duration::from_millis(failed));
    }
    let now = Duration::from_secs(100) + Duration::from_millis(case.now);
    watch.record_read(version, case.row, now);
    let free_at = watch.seen().expect("a row").free_at("10.0.0.2:1", TERM);
    assert_eq!(free_at <= now, case.is_free);
}

macro_rules! watch_tests {
    ($($(#[$doc:meta])* $name:ident: $row:expr, failed $failed:expr, at $now:literal => $is_free:literal;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            check_watch(WatchCase { row: $row, failed: $failed, now: $now, is_free: $is_free });
        })*
    };
}

watch_tests! {
    no_instance_has_held_it: None, failed None, at 0 => true;
    a_holder_renewed_a_moment_ago: Some(row("10.0.0.1:1", false)), failed None, at 1_999 => false;
    a_holder_has_not_renewed_for_a_term: Some(row("10.0.0.1:1", false)), failed None, at 2_000 => true;
    /// While the store is unavailable no holder can renew.
    a_failed_read_restarts_the_count:
        Some(row("10.0.0.1:1", false)), failed Some(1_000), at 2_900 => false;
    a_holder_has_released_it: Some(row("10.0.0.1:1", true)), failed None, at 0 => true;
    /// Guards against a restart of all instances after which nothing ran for another 2.6 s: all instances
    /// lose power, and the holder's machine restarts and finds its own row. It waited for the term of the
    /// earlier process, which can't be running any more at the same address.
    an_earlier_process_at_the_own_address_has_ended:
        Some(row("10.0.0.2:1", false)), failed None, at 0 => true;
}

/// Number of tenures that the row at `10.0.0.2:1` tells as unserved, for `instance` at `address`.
fn check_unserved(address: &str, instance: &str, released: bool, n_unserved: u32) {
    let mut watch = tenure_watch::TenureWatch::default();
    let row = model::PoolTenure { n_unserved: 3, ..row("10.0.0.2:1", released) };
    watch.record_read(5, Some(row), Duration::from_secs(100));
    assert_eq!(watch.seen().expect("a row").n_unserved_at(address, instance), n_unserved);
}

macro_rules! unserved_tests {
    ($($(#[$doc:meta])* $name:ident: $address:literal, $instance:literal, $released:literal => $n_unserved:literal;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            check_unserved($address, $instance, $released, $n_unserved);
        })*
    };
}

unserved_tests! {
    an_earlier_process_at_the_address_was_killed: "10.0.0.2:1", "b-1", false => 3;
    the_tenure_of_an_earlier_process_was_released: "10.0.0.2:1", "b-1", true => 3;
    this_process_gave_the_tenure_up: "10.0.0.2:1", "a-1", true => 3;
    /// Guards against an instance that waits for its own tenure, whose acquisition had no answer.
    this_process_may_have_acquired_the_tenure: "10.0.0.2:1", "a-1", false => 0;
    another_instance_was_killed: "10.0.0.1:1", "b-1", false => 0;
}

/// Number of unserved tenures for which an instance at `address` leaves a tenure to others, where the row at
/// `10.0.0.2:1` names the holder of an earlier tenure at `10.0.0.3:1`.
fn check_unserved_beside(address: &str, epoch: u64, n_unserved: u32) {
    let mut watch = tenure_watch::TenureWatch::default();
    let earlier = model::EarlierHolder {
        holder: "a-0".to_owned(),
        address: "10.0.0.3:1".to_owned(),
        epoch,
        settles_in_ms: 5_000,
    };
    let row =
        model::PoolTenure { n_unserved: 2, earlier: vec![earlier], ..row("10.0.0.2:1", true) };
    watch.record_read(5, Some(row), Duration::from_secs(100));
    assert_eq!(watch.seen().expect("a row").n_unserved_beside(address, "b-1"), n_unserved);
}

macro_rules! unserved_beside_tests {
    ($($(#[$doc:meta])* $name:ident: $address:literal, $epoch:literal => $n_unserved:literal;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            check_unserved_beside($address, $epoch, $n_unserved);
        })*
    };
}

unserved_beside_tests! {
    /// Guards against two instances that leave unserved tenures only to each other.
    the_last_tenure_but_one_was_unserved: "10.0.0.3:1", 6 => 2;
    an_earlier_tenure_was_served: "10.0.0.3:1", 5 => 0;
    the_last_tenure_was_unserved: "10.0.0.2:1", 5 => 2;
    none_of_the_tenures_was_held_here: "10.0.0.4:1", 6 => 0;
}

/// Guards against an instance that leaves its own tenure to others, as an earlier one of its address was unserved and
/// the answer to its acquisition was lost.
#[test]
fn an_earlier_tenure_at_the_address_does_not_count_against_the_holder() {
    let earlier = vec![earlier_holder("10.0.0.2:1", 6)];
    let row = model::PoolTenure { n_unserved: 2, earlier, ..row("10.0.0.2:1", false) };
    let mut watch = tenure_watch::TenureWatch::default();
    watch.record_read(5, Some(row), Duration::from_secs(100));
    assert_eq!(watch.seen().expect("a row").n_unserved_beside("10.0.0.2:1", "a-1"), 0);
}

fn earlier_holder(address: &str, epoch: u64) -> model::EarlierHolder {
    let address = address.to_owned();
    model::EarlierHolder { holder: "a-0".to_owned(), address, epoch, settles_in_ms: 5_000 }
}

/// Number of unserved tenures that a row of epoch 7 at `10.0.0.2:1` names at `address`, with `n_unserved` in a row.
fn check_named(earlier: &[(&str, u64)], n_unserved: u32, address: &str, n_named: usize) {
    let earlier = earlier.iter().map(|(address, epoch)| earlier_holder(address, *epoch)).collect();
    let row = model::PoolTenure { n_unserved, earlier, ..row("10.0.0.2:1", true) };
    let mut watch = tenure_watch::TenureWatch::default();
    watch.record_read(5, Some(row), Duration::from_secs(100));
    assert_eq!(watch.seen().expect("a row").n_named_at(address), n_named);
}

macro_rules! named_tests {
    ($($name:ident: $earlier:expr, $n_unserved:literal, $address:literal => $n_named:literal;)*) => {
        $(#[test]
        fn $name() {
            check_named(&$earlier, $n_unserved, $address, $n_named);
        })*
    };
}

named_tests! {
    the_last_holder_is_named: [("10.0.0.3:1", 6)], 2, "10.0.0.2:1" => 1;
    a_holder_of_several_unserved_tenures_is_named_for_each:
        [("10.0.0.3:1", 6), ("10.0.0.2:1", 5)], 3, "10.0.0.2:1" => 2;
    a_holder_of_a_served_tenure_is_not_named: [("10.0.0.3:1", 5)], 2, "10.0.0.3:1" => 0;
    nobody_is_named_once_a_tenure_is_served: [("10.0.0.3:1", 6)], 0, "10.0.0.2:1" => 0;
}

/// Time from the loss of a holder within which accepted work has to go on, by the platform.
const WORK_GOES_ON_WITHIN: Duration = Duration::from_secs(14);

/// Time in which an instance reads the tables of a slow store, and workers answer its first polls.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_500);

/// Guards against waits that are each in bounds and leave the pools without a holder for too long in sum.
#[test]
fn all_waits_together_are_in_time() {
    let timing = settings::TenureTiming::default();
    assert!(vacancy::longest_vacancy(&timing) + TAKEOVER_TIME <= WORK_GOES_ON_WITHIN);
}

/// Guards against a wait that doubles for longer than any other instance needs to acquire the tenure.
#[test]
fn the_wait_after_unserved_tenures_is_bounded_by_the_slowest_takeover() {
    let timing = settings::TenureTiming::default();
    let waits = (0..40).map(|it| vacancy::unserved_delay(&timing, it)).collect::<Vec<_>>();
    assert_eq!(waits[0], Duration::ZERO);
    assert!(waits.is_sorted());
    assert_eq!(waits[39], vacancy::longest_takeover(&timing));
}

fn state() -> tenure_status::TenureState {
    let times = settings::TenureTiming { term: TERM, ..settings::TenureTiming::default() };
    tenure_status::TenureState::new(times, Duration::from_secs(100))
}

fn at(millis: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(millis)
}

/// The holder's own count of the term is shorter than that of a watcher.
#[test]
fn a_holder_is_exclusive_for_less_than_its_term() {
    assert_eq!(state().status(at(1_600)), tenure_status::TenureStatus::Firm);
    assert_eq!(state().status(at(1_800)), tenure_status::TenureStatus::Stale);
}

/// A suspended machine resumes after its term: another instance may hold the tenure by then.
#[test]
fn a_suspended_holder_gives_no_orders() {
    let mut state = state();
    state.record_failure(at(500));
    assert!(!state.may_order(at(4_000)));
    state.record_renewal(at(4_000));
    assert!(state.may_order(at(4_001)));
}

/// While the store gives no answers, scheduling of known jobs goes on for a bounded time.
#[test]
fn a_holder_goes_on_through_an_outage_it_sees() {
    let mut state = state();
    for seen in (1_000..6_000).step_by(500) {
        state.record_failure(at(seen));
        assert!(state.may_order(at(seen + 400)));
    }
    state.record_failure(at(6_800));
    assert!(!state.may_order(at(6_900)));
}

#[test]
fn no_orders_are_given_after_the_end() {
    let mut state = state();
    state.end();
    assert!(!state.may_order(at(1)));
}

/// The first later version that was seen bounds the time of a write; without one nothing is known.
#[test]
fn a_later_version_bounds_the_time_of_a_write() {
    let mut history = version_history::VersionHistory::default();
    for (version, second) in [(10, 1), (20, 2), (20, 3), (30, 4)] {
        history.record(version, Duration::from_secs(second));
    }
    assert_eq!(history.written_before(9), Some(Duration::from_secs(1)));
    assert_eq!(history.written_before(10), Some(Duration::from_secs(2)));
    assert_eq!(history.written_before(30), None);
}
