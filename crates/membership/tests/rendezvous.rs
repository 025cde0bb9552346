//! Even distribution of halls over instances.

use std::collections::BTreeMap;

use almondpass_membership::rendezvous;

const HALLS: [&str; 8] =
    ["bharuch", "gardabani", "gori", "marneuli", "rajkot", "rustavi", "surat", "vadodara"];

fn check_largest_share(n_instances: usize, largest_share: usize) {
    let instances = (0..n_instances).map(|it| format!("instance-{it}")).collect::<Vec<_>>();
    let candidates = instances.iter().map(String::as_str).collect::<Vec<_>>();
    let mut shares = BTreeMap::new();
    for hall in HALLS {
        let holder = rendezvous::balanced_candidate(hall, HALLS, &candidates).expect("a candidate");
        *shares.entry(holder).or_insert(0) += 1;
    }
    assert_eq!(shares.values().max(), Some(&largest_share), "{shares:?}");
}

macro_rules! cases {
    ($($name:ident: $n_instances:expr => $largest_share:expr;)*) => {
        $(#[test]
        fn $name() {
            check_largest_share($n_instances, $largest_share);
        })*
    };
}

cases! {
    one_instance_has_all_halls: 1 => 8;
    three_instances_have_at_most_three_halls: 3 => 3;
    eight_instances_have_one_hall_each: 8 => 1;
    thirty_instances_have_at_most_one_hall: 30 => 1;
}

#[test]
fn no_candidate_is_returned_without_candidates() {
    assert_eq!(rendezvous::balanced_candidate("rajkot", HALLS, &[]), None);
}
