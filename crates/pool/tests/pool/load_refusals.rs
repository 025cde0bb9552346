//! Submissions that are refused for load: the summary's way to the instances, and its failures.

use std::time::Duration;

use almondpass_graph::load_summary;
use almondpass_peer::call::PeerCall;
use almondpass_peer::codec;
use almondpass_pool::submit;
use almondpass_schema::{ids, model};
use almondpass_standin::fault;
use tokio::time;

use crate::support;

/// First job of the probes; the jobs of the load have lower ids.
const PROBES: ids::GraphId = 10_000;

fn refusing() -> model::SchedulingSettings {
    model::SchedulingSettings { refuse_hopeless: true, ..model::SchedulingSettings::default() }
}

/// A job of the least urgent class whose tasks take 1 s.
fn bulk_job() -> model::GraphRow {
    model::GraphRow { class: "bulk".to_owned(), priority: 2, ..support::job(8, 1_000) }
}

/// Jobs that keep all workers busy for a long time.
fn long_job() -> model::GraphRow {
    support::job(8, 400)
}

/// A pool of one worker in which more urgent work leaves nothing for the least urgent class, whose jobs wait.
async fn overloaded(scheduling: model::SchedulingSettings) -> support::PoolBench {
    let bench = support::PoolBench::start_with_scheduling(3, 1, scheduling).await;
    let holder = bench.holder();
    // Run times of the class are learned before the load begins.
    for graph in 1..=3 {
        bench.submit(holder, graph, bulk_job()).await;
    }
    time::sleep(Duration::from_secs(10)).await;
    for graph in 100..220 {
        bench.submit(holder, graph, long_job()).await;
    }
    for graph in 300..400 {
        let _ = bench.submit_under_load(holder, graph, bulk_job()).await;
    }
    time::sleep(Duration::from_secs(14)).await;
    // The earlier ones are worth nothing by now, and come after the jobs that are submitted from here on.
    bench.submit(holder, 400, bulk_job()).await;
    time::sleep(Duration::from_millis(1_200)).await;
    bench
}

/// An instance learns the load from the answer to a query.
async fn learn_load(bench: &support::PoolBench, index: usize) {
    bench.lookup(index, 100).await;
}

fn is_refused(answer: submit::SubmitAnswer) -> bool {
    matches!(answer, submit::SubmitAnswer::Overloaded { .. })
}

/// Guards against jobs that are accepted although they can't be of use, and against a refusal without a time to
/// return.
#[test]
fn a_hopeless_job_is_refused_with_a_time_to_return() {
    support::run(async {
        let bench = overloaded(refusing()).await;
        let other = bench.non_holder();
        learn_load(&bench, other).await;
        for index in [other, bench.holder()] {
            let answer = bench.submit_under_load(index, PROBES, bulk_job()).await;
            let submit::SubmitAnswer::Overloaded { retry_after } = answer else {
                panic!("{answer:?}")
            };
            assert!(retry_after >= Duration::from_secs(1), "{retry_after:?}");
        }
        assert_eq!(bench.lookup(other, PROBES).await, model::LookOutcome::Absent);
    });
}

/// Guards against a switch that has an effect while it is off.
#[test]
fn nothing_is_refused_while_the_switch_is_off() {
    support::run(async {
        let bench = overloaded(model::SchedulingSettings::default()).await;
        let other = bench.non_holder();
        learn_load(&bench, other).await;
        let outcome = bench.submit(other, PROBES, bulk_job()).await;
        assert_eq!(outcome, model::SubmitOutcome::Accepted);
    });
}

/// Guards against an instance that refuses jobs although no summary has ever come.
#[test]
fn a_summary_that_never_comes_refuses_nothing() {
    support::run(async {
        let bench = overloaded(refusing()).await;
        let other = bench.non_holder();
        let outcome = bench.submit(other, PROBES, bulk_job()).await;
        assert_eq!(outcome, model::SubmitOutcome::Accepted);
    });
}

/// Guards against a summary that is used when it is no longer true.
#[test]
fn a_stale_summary_refuses_nothing() {
    support::run(async {
        let bench = overloaded(refusing()).await;
        let other = bench.non_holder();
        learn_load(&bench, other).await;
        assert!(is_refused(bench.submit_under_load(other, PROBES, bulk_job()).await));
        time::sleep(Duration::from_millis(2_100)).await;
        let outcome = bench.submit(other, PROBES, bulk_job()).await;
        assert_eq!(outcome, model::SubmitOutcome::Accepted);
    });
}

/// Guards against a summary of a holder that has been replaced between the summary and the submission, and
/// against a new holder that refuses jobs before it has measured its load.
#[test]
fn the_summary_of_a_former_holder_refuses_nothing() {
    support::run(async {
        let mut bench = overloaded(refusing()).await;
        let holder = bench.holder();
        bench.kill(holder).await;
        while bench.latest_holder().is_none() {
            learn_load(&bench, 0).await;
            time::sleep(Duration::from_millis(50)).await;
        }
        for index in 0..bench.instances.len() {
            learn_load(&bench, index).await;
            let graph = PROBES + index as ids::GraphId;
            let outcome = bench.submit(index, graph, bulk_job()).await;
            assert_eq!(outcome, model::SubmitOutcome::Accepted);
        }
    });
}

/// Guards against a caller that is told its job is refused although an earlier try was stored.
#[test]
fn the_repetition_of_a_stored_job_is_not_refused() {
    support::run(async {
        let bench = overloaded(refusing()).await;
        let other = bench.non_holder();
        let first = bench.submit(other, PROBES, bulk_job()).await;
        assert_eq!(first, model::SubmitOutcome::Accepted);
        learn_load(&bench, other).await;
        assert!(is_refused(bench.submit_under_load(other, PROBES + 1, bulk_job()).await));
        let repeated = bench.submit(other, PROBES, bulk_job()).await;
        assert_eq!(repeated, model::SubmitOutcome::Accepted);
    });
}

/// Guards against a refusal while the store can't tell whether an earlier try was stored.
#[test]
fn nothing_is_refused_for_load_while_the_store_does_not_answer() {
    support::run(async {
        let bench = overloaded(refusing()).await;
        let other = bench.non_holder();
        learn_load(&bench, other).await;
        let step = model::TableGet::PATH;
        bench.instances[other].store_faults.inject_next(step, fault::Fault::Refused);
        let outcome = bench.submit(other, PROBES, bulk_job()).await;
        assert_eq!(outcome, model::SubmitOutcome::Accepted);
    });
}

/// Answer to a nudge as the former release reads it.
#[derive(serde::Deserialize)]
struct FormerTaken {
    #[serde(default)]
    known: Option<bool>,
}

/// Guards against an answer of the former release that can't be decoded, and against one of this release that
/// the former one can't decode.
#[test]
fn answers_without_a_load_are_understood() {
    let former = codec::encode(&model::Ack {}).expect("an answer");
    let read = codec::decode::<model::NudgeTaken>(&former).expect("an answer that can be read");
    assert_eq!(read.load, None);
    let load = model::LoadSummary { age_ms: 1, classes: Vec::new(), accounts: Vec::new() };
    let sent = model::NudgeTaken { known: Some(true), load: Some(load) };
    let sent = codec::encode(&sent).expect("an answer");
    assert_eq!(codec::decode::<FormerTaken>(&sent).map(|it| it.known).ok(), Some(Some(true)));
}

/// Guards against a row or message that grows with the number of classes and accounts.
#[test]
fn a_summary_is_bounded() {
    let name = |index: usize| format!("{index:064}");
    let class = |index| model::ClassLoad {
        class: name(index),
        wait_ms: 3_600_000,
        low_wait_ms: 3_600_000,
        late_wait_ms: 3_600_000,
        low_late_wait_ms: 3_600_000,
        run_ms: 3_600_000,
    };
    let account =
        |index| model::AccountLoad { account: name(index), urgent_accelerators: u32::MAX };
    let summary = model::LoadSummary {
        age_ms: 1_000,
        classes: (0..load_summary::MAX_CLASSES).map(class).collect(),
        accounts: (0..load_summary::MAX_ACCOUNTS).map(account).collect(),
    };
    let n_bytes = codec::encode(&summary).expect("a summary").len();
    println!("largest summary: {n_bytes} bytes");
    assert!(n_bytes <= 16 << 10, "{n_bytes} bytes");
}
