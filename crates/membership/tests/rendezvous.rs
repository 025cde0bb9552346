//! Shares of halls.

use std::collections::BTreeMap;

use almondpass_membership::rendezvous;

const HALLS: [&str; 8] =
    ["bharuch", "gardabani", "gori", "marneuli", "rajkot", "rustavi", "surat", "vadodara"];

fn check(n_instances: usize, most: usize) {
    let instances = (0..n_instances).map(|it| format!("instance-{it}")).collect::<Vec<_>>();
    let candidates = instances.iter().map(String::as_str).collect::<Vec<_>>();
    let mut shares = BTreeMap::new();
    for hall in HALLS {
        let holder = rendezvous::balanced_candidate(hall, HALLS, &candidates).expect("a candidate");
        *shares.entry(holder).or_insert(0) += 1;
    }
    assert_eq!(shares.values().max(), Some(&most), "{shares:?}");
}

macro_rules! cases {
    ($($name:ident: $n_instances:expr => $most:expr;)*) => {
        $(#[test]
        fn $name() {
            check($n_instances, $most);
        })*
    };
}

cases! {
    one_instance_has_all: 1 => 8;
    three_instances_have_three_at_most: 3 => 3;
    eight_instances_have_one_each: 8 => 1;
    thirty_instances_have_one_at_most: 30 => 1;
}

#[test]
fn nobody_has_a_share_without_candidates() {
    assert_eq!(rendezvous::balanced_candidate("rajkot", HALLS, &[]), None);
}
