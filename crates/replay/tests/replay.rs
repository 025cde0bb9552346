//! Traces are repeatable, fragmentation is counted as defined, and short replays run to their end.

use std::sync::Arc;
use std::time::Duration;

use almondpass_policy::{baseline_best_fit, baseline_first_fit, core, hall_policy, work};
use almondpass_replay::{engine, floor, site, trace};
use uuid::Uuid;

const SPAN: Duration = Duration::from_secs(600);
const SEED: u64 = 7;

fn short_trace(site: site::SiteName) -> trace::Trace {
    trace::Trace::generate(&trace::TraceSpec { site, load: 0.5, span: SPAN, seed: SEED })
}

/// Replays ten minutes and expects that all work that can end does.
fn check<P: hall_policy::HallPolicy>(site: site::SiteName) {
    let document = Arc::new(site.document());
    let trace = short_trace(site);
    let tally = engine::replay::<P>(&document, &trace, SEED).expect("a site that fits");
    let summary = tally.summary();
    let done: u64 = summary.classes.iter().map(|it| it.done).sum();
    let open: u64 = summary.classes.iter().map(|it| it.unfinished).sum();
    assert!(0 < done && open * 20 < done, "{done} done, {open} open");
    assert!(summary.utilisation <= 1.0 && summary.fragmentation <= 1.0);
    assert_eq!(summary.impossible_accepted, 0);
}

macro_rules! replays {
    ($($name:ident: $policy:ty, $site:ident,)*) => {
        $(
            #[test]
            fn $name() {
                check::<$policy>(site::SiteName::$site);
            }
        )*
    };
}

replays! {
    core_serves_laboratories: core::HallCore, Laboratories,
    core_serves_association: core::HallCore, Association,
    first_fit_serves_laboratories: baseline_first_fit::FirstFit, Laboratories,
    best_fit_serves_association: baseline_best_fit::BestFit, Association,
}

#[test]
fn same_seed_gives_same_trace() {
    let first = short_trace(site::SiteName::Association);
    let second = short_trace(site::SiteName::Association);
    let runs = |trace: &trace::Trace| -> Vec<(Duration, Duration)> {
        trace.items.iter().map(|it| (it.at, it.run)).collect()
    };
    assert_eq!(runs(&first), runs(&second));
}

/// The largest guaranteed shape of the Laboratories is 32 in a rack. One held accelerator in the
/// middle of each worker of the first rack leaves its 56 others in no such run, and the last rack
/// of one worker has 8: 64 of the 128 free are fragmented.
#[test]
fn fragmentation_counts_what_no_run_holds() {
    let document = site::SiteName::Laboratories.document();
    let mut hall = floor::HallFloor::new(&document);
    for (index, worker) in site::worker_names(&document.halls[0])[0].iter().enumerate() {
        let slot = work::TaskAssignment { rank: 0, worker: worker.clone(), accelerators: vec![4] };
        hall.hold(Uuid::from_u128(index as u128 + 1), &[slot]);
    }
    let count = hall.count();
    assert_eq!((count.free, count.fragmented, count.held), (128, 64, 8));
}
