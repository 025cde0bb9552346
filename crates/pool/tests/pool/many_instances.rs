//! What each instance costs the store and its peers, by the number of instances.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_ports::keys;
use almondpass_standin::table;
use tokio::time;

use crate::support;

/// Rows of other instances that an instance may read at its start, however many instances there are.
const MAX_ROWS_READ: usize = 75;

/// Calls that an idle instance may make to the store in a second.
const MAX_CALLS_A_SECOND: f64 = 1.0;

/// Time within which another instance holds the tenure after those that are to take it over are gone.
const TAKEN_WITHIN: Duration = Duration::from_secs(5);

/// Time within which all instances that start together have their rows in the store.
const LISTED_WITHIN: Duration = Duration::from_secs(6);

/// Instances that are the first to take the tenure over.
const N_EARLY_CONTENDERS: usize = 8;

/// Guards against reads that grow with the square of the number of instances: each start of an instance
/// read the rows of all.
fn check_rows_read(n_instances: usize) {
    support::run(async move {
        let bench = support::PoolBench::start(n_instances, 1).await;
        let n_rows = bench.store.rows_returned(keys::INSTANCES);
        assert!(n_rows <= n_instances * MAX_ROWS_READ, "{n_rows} rows read");
    });
}

/// Guards against an idle fleet that takes the calls that the store serves.
fn check_idle_calls(n_instances: usize) {
    support::run(async move {
        let bench = support::PoolBench::start(n_instances, 1).await;
        let n_calls_before = bench.store.n_calls();
        time::sleep(Duration::from_secs(60)).await;
        let n_calls = (bench.store.n_calls() - n_calls_before) as f64;
        let per_second = n_calls / 60.0 / n_instances as f64;
        assert!(per_second <= MAX_CALLS_A_SECOND, "{per_second:.2} calls a second");
    });
}

macro_rules! sizes {
    ($($name:ident: $check:ident($n_instances:expr);)*) => {
        $(#[test] fn $name() { $check($n_instances); })*
    };
}

sizes! {
    nine_instances_read_bounded_rows: check_rows_read(9);
    many_instances_read_bounded_rows: check_rows_read(120);
    many_idle_instances_call_the_store_rarely: check_idle_calls(60);
}

/// Guards against instances that start at the same time, are all refused by a store that takes fewer writes,
/// and are refused again each time, as they all try again at the same interval.
#[test]
fn instances_that_start_together_are_all_listed() {
    support::run(async {
        let mut bench = support::PoolBench::start(0, 1).await;
        let limits = table::TableLimits::default();
        let limits = table::TableLimits { transactions_per_second: 40, ..limits };
        bench.store.set_limits(limits);
        for index in 0..120 {
            bench.start_instance(&format!("10.0.0.{}:7000", index + 1));
        }
        time::sleep(LISTED_WITHIN).await;
        assert_eq!(bench.store.peek(&keys::instances()).len(), 120);
    });
}

/// Guards against a tenure that stays free because the instances that watch it most often are all gone.
#[test]
fn the_tenure_is_taken_when_all_early_contenders_are_gone() {
    support::run(async {
        let mut bench = support::PoolBench::start(40, 1).await;
        let mut by_rank = bench.store.peek(&keys::instances());
        by_rank.truncate(N_EARLY_CONTENDERS);
        let contenders = by_rank.iter().map(support::address_of_member).collect::<BTreeSet<_>>();
        assert_eq!(contenders.len(), N_EARLY_CONTENDERS);
        for address in contenders {
            let index = bench.instances.iter().position(|it| it.address == address);
            bench.kill(index.expect("an instance")).await;
        }
        time::sleep(TAKEN_WITHIN).await;
        assert!(bench.latest_holder().is_some(), "no instance holds the tenure");
    });
}
