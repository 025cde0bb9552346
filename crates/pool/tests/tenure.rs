//! When the tenure may be taken, and when its holder may act.

use std::time::Duration;

use almondpass_pool::{settings, tenure_status, tenure_watch};
use almondpass_schema::model;

const TERM: Duration = Duration::from_secs(2);

fn row(address: &str, released: bool) -> model::PoolTenure {
    model::PoolTenure {
        notes_silence: false,
        settles_in_ms: 0,
        earlier: Vec::new(),
        names_earlier: true,
        holder: "a-1".to_owned(),
        address: address.to_owned(),
        epoch: 7,
        renewal: 3,
        released,
        losses: None,
    }
}

/// A watch that saw `row` at `seen`, and whose read failed at `failed`: whether the tenure is free
/// at `now` for an instance at `10.0.0.2:1`. Times in milliseconds.
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

macro_rules! watches {
    ($($(#[$doc:meta])* $name:ident: $row:expr, failed $failed:expr, at $now:literal => $is_free:literal;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            check_watch(WatchCase { row: $row, failed: $failed, now: $now, is_free: $is_free });
        })*
    };
}

watches! {
    nobody_has_held_it: None, failed None, at 0 => true;
    a_holder_renewed_a_moment_ago: Some(row("10.0.0.1:1", false)), failed None, at 1_999 => false;
    a_holder_has_not_renewed_for_a_term: Some(row("10.0.0.1:1", false)), failed None, at 2_000 => true;
    /// While the store is away nobody can renew.
    a_read_that_failed_starts_the_count_again:
        Some(row("10.0.0.1:1", false)), failed Some(1_000), at 2_900 => false;
    a_holder_has_given_it_up: Some(row("10.0.0.1:1", true)), failed None, at 0 => true;
    /// Symptom: after a restart of all instances nothing ran for 2.6 s more. Sequence: all lose
    /// power; the holder's machine starts again and finds its own row. Cause: it waited for a term
    /// of a process that can't live beside it.
    an_earlier_process_at_the_own_address_is_over:
        Some(row("10.0.0.2:1", false)), failed None, at 0 => true;
}

fn state() -> tenure_status::TenureState {
    let times = settings::TenureTiming { term: TERM, ..settings::TenureTiming::default() };
    tenure_status::TenureState::new(times, Duration::from_secs(100))
}

fn at(millis: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(millis)
}

/// The holder's own count is shorter than that of a watcher.
#[test]
fn a_holder_is_firm_for_less_than_its_term() {
    assert_eq!(state().status(at(1_600)), tenure_status::TenureStatus::Firm);
    assert_eq!(state().status(at(1_800)), tenure_status::TenureStatus::Stale);
}

/// A machine that was frozen wakes up behind its term: another may hold the tenure by now.
#[test]
fn a_holder_that_stood_still_gives_no_orders() {
    let mut state = state();
    state.record_failure(at(500));
    assert!(!state.may_order(at(4_000)));
    state.record_renewal(at(4_000));
    assert!(state.may_order(at(4_001)));
}

/// While the store gives no answers the work that is known goes on, for a bounded time.
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
fn nothing_goes_on_after_the_end() {
    let mut state = state();
    state.end();
    assert!(!state.may_order(at(1)));
}
