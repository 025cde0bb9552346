//! What the log tells of a job, a nudge and a feed.

use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_schema::model;
use almondpass_standin::{fault, table};
use tokio::time;

use crate::support;

/// Longer than a feed and a takeover take.
const SOON: Duration = Duration::from_secs(8);

fn addresses(bench: &support::PoolBench, from: usize, to: usize) -> (&str, &str) {
    (&bench.instances[from].address, &bench.instances[to].address)
}

/// Guards against a log that leaves open how the holder learned of a job, and by which row.
#[test]
fn an_admitted_job_tells_how_it_became_known() {
    support::run(async {
        let (lines, _guard) = support::LogLines::capture();
        let mut bench = support::PoolBench::start(3, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        for nth in 1..=20 {
            bench.instances[holder].store_faults.inject_nth(
                table::FOLLOW_STEP,
                nth,
                fault::Fault::Refused,
            );
        }
        time::sleep(Duration::from_millis(100)).await;
        bench.submit(other, 1, support::job(1, 60_000)).await;
        time::sleep(SOON).await;
        let (from, to) = addresses(&bench, other, holder);
        bench.net.partition(&[from], &[to], fault::Condition::Refusing);
        bench.submit(other, 2, support::job(1, 60_000)).await;
        time::sleep(SOON).await;
        bench.kill(holder).await;
        time::sleep(SOON).await;
        let admitted = lines.containing("job admitted");
        let origins = admitted.iter().map(|line| {
            assert!(line.contains("version="), "{line}");
            ["nudge", "feed", "load"]
                .into_iter()
                .find(|it| line.contains(&format!("origin=\"{it}\"")))
        });
        let origins = origins.collect::<Vec<_>>();
        assert_eq!(origins, [Some("nudge"), Some("feed"), Some("load"), Some("load")]);
    });
}

/// Guards against a lost nudge that leaves no line, and against one that leaves many.
#[test]
fn a_nudge_that_is_not_acknowledged_is_told_once() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        let (lines, _guard) = support::LogLines::capture();
        let (from, to) = addresses(&bench, other, holder);
        let path = bench.net.path_faults(from, to);
        for nth in 1..=3 {
            path.inject_nth(model::GraphNudge::PATH, nth, fault::Fault::Refused);
        }
        bench.submit(other, 1, support::job(1, 500)).await;
        time::sleep(SOON).await;
        let told = lines.containing("nudge is not acknowledged");
        assert_eq!(told.len(), 1, "{told:?}");
        assert!(told[0].contains("0000000000000001"), "{told:?}");
        assert!(lines.containing("nudge is acknowledged")[0].contains("n_tries=4"));
    });
}

/// Guards against a feed that stands still without a line, and against one that fills the log.
#[test]
fn a_feed_that_stands_still_is_told_once() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2).await;
        let holder = bench.holder();
        let (lines, _guard) = support::LogLines::capture();
        for nth in 1..=60 {
            bench.instances[holder].store_faults.inject_nth(
                table::FOLLOW_STEP,
                nth,
                fault::Fault::Refused,
            );
        }
        time::sleep(3 * SOON).await;
        for feed in ["jobs", "workers"] {
            let of_feed = |line: &String| line.contains(&format!("feed=\"{feed}\""));
            let began = lines.containing("feed can't be followed");
            let ended = lines.containing("feed answers again");
            assert_eq!(began.iter().filter(|it| of_feed(it)).count(), 1, "{began:?}");
            assert_eq!(ended.iter().filter(|it| of_feed(it)).count(), 1, "{ended:?}");
            assert!(ended.iter().all(|it| it.contains("stood_ms=") && it.contains("after=")));
        }
    });
}
