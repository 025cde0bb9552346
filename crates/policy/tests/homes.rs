//! Assignment of home halls and home blocks to the guarantees of a configuration.

mod common;

use almondpass_policy::hall_policy::PolicyFault;
use almondpass_policy::homes;
use almondpass_schema::model;
use common::{config, shape};

/// Assigns homes to guarantees of one account, in a hall of one rack with eight workers of eight accelerators
/// each. Checks whether all of them fit, and that their blocks don't overlap.
fn check_assignment(shapes: &[(u32, model::Adjacency)], fits: bool) {
    let mut config = config(1);
    config.accounts[1].guarantees = shapes
        .iter()
        .enumerate()
        .map(|(number, (size, adjacency))| shape(&format!("g{number}"), *size, *adjacency))
        .collect();
    match homes::assign(&config) {
        Ok(homes) => {
            assert!(fits, "expected a refusal, found {homes:?}");
            let mut accelerators: Vec<u32> = homes.iter().flat_map(|it| it.block.clone()).collect();
            let n_accelerators = accelerators.len();
            accelerators.sort_unstable();
            accelerators.dedup();
            assert_eq!(accelerators.len(), n_accelerators, "blocks overlap");
        }
        Err(fault) => assert!(!fits, "expected homes, found {fault}"),
    }
}

/// Defines a test for each case: its guaranteed shapes, and whether they fit together.
macro_rules! cases {
    ($($name:ident: [$(($size:expr, $adjacency:ident)),*] => $fits:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check_assignment(&[$(($size, model::Adjacency::$adjacency)),*], $fits);
            }
        )*
    };
}

cases! {
    whole_rack: [(64, Rack)] => true;
    more_than_the_rack: [(65, Hall)] => false;
    rack_and_one_more: [(64, Rack), (1, Any)] => false;
    larger_than_a_worker: [(9, Worker)] => false;
    mixed_sizes: [(8, Worker), (4, Worker), (4, Worker), (16, Rack), (32, Rack)] => true;
    odd_sizes: [(3, Worker), (5, Worker), (7, Worker), (24, Rack)] => true;
    scattered_shape_takes_the_remaining_accelerators: [(3, Worker), (3, Worker), (58, Any)] => true;
    shape_of_no_accelerators: [(0, Any)] => false;
}

#[test]
fn fault_names_account_guarantee_and_hall() {
    let mut config = config(1);
    config.accounts[1].guarantees = vec![shape("rig", 72, model::Adjacency::Hall)];
    let fault = homes::assign(&config).expect_err("a shape that does not fit");
    let PolicyFault::GuaranteeUnfit { account, guarantee, hall, .. } = fault else {
        panic!("expected an unfit guarantee, found {fault}");
    };
    assert_eq!((account.as_str(), guarantee.as_str(), hall.as_str()), ("small", "rig", "vadodara"));
}

#[test]
fn shape_of_128_fits_on_workers_of_one_accelerator() {
    let mut config = config(1);
    config.worker_kinds[0].accelerators = 1;
    config.halls[0].racks[0].workers = 163;
    config.accounts[1].guarantees = vec![shape("big", 128, model::Adjacency::Rack)];
    assert_eq!(homes::assign(&config).expect("a home")[0].block.len(), 128);
}
