//! Several instances over real sockets: the whole path, hand-over, crash, shutdown.

use std::time::Duration;

use almondpass_daemon::health;
use almondpass_schema::model;
use almondpass_standin::{fault, upstream};
use http::{Method, StatusCode};
use tokio::time::{self, Instant};

use crate::common;
use crate::jobs;

/// A request, a job of one task and a gang, each through another instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_instance_serves_requests_and_jobs() {
    let site = common::TestSite::start(3).await;
    for name in ["i0", "i1", "i2"] {
        let to = site.callers(name);
        let answer = common::send_until_done(to, "diagnosis", common::SMALL, name).await;
        assert_eq!(answer.body, name.as_bytes(), "each caller gets its own answer");
        let id = answer.request.expect("a request id");
        assert_eq!(site.platform.fakes.executions.count(&id), 1);
    }
    let gang = jobs::gang("bharuch", "300ms");
    let job = jobs::submit(&site, "i0", common::LARGE, &gang).await;
    let done = jobs::await_state(&site, "i1", common::LARGE, &job, model::JobState::Done).await;
    assert_eq!(done.attempt, 1, "found {done:?}");
}

/// Symptom: requests of a hall fail for longer than a term after its scheduler's instance died.
/// Sequence: crash of the holder. Cause: nobody takes the hall, or callers are still sent to the dead.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hall_has_a_scheduler_again_after_a_crash() {
    let mut site = common::TestSite::start(3).await;
    let holder = site.holder("rajkot").await;
    common::send_until_done(site.callers(&holder), "diagnosis", common::SMALL, "before").await;
    site.take(&holder).crash();
    let crashed = Instant::now();
    let successor = site.holder("rajkot").await;
    let took = crashed.elapsed();
    assert_ne!(successor, holder);
    assert!(took < common::TERM + Duration::from_secs(2), "expected term plus 2 s, found {took:?}");
    let survivor = site.instances.keys().next().expect("a survivor").clone();
    common::send_until_done(site.callers(&survivor), "diagnosis", common::SMALL, "after").await;
}

/// Symptom: a caller's answer breaks off when its instance is replaced. Sequence: a slow answer is
/// on its way, the instance is told to leave, its halls go elsewhere. Cause: connections closed
/// with the listener, or grants lost with the hand-over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shutdown_cuts_no_request_in_flight() {
    let mut site = common::TestSite::start(3).await;
    let leaver = site.holder("vadodara").await;
    let to = site.callers(&leaver);
    common::send_until_done(to, "diagnosis", common::LARGE, "warm").await;
    for upstream in site.platform.fakes.upstreams.values() {
        upstream.set_misbehaviour(Some(upstream::Misbehaviour::Slow(Duration::from_millis(700))));
    }
    let body = "x".repeat(40);
    let flights = (0..8).map(|_| {
        let request = common::request("diagnosis", common::LARGE, &body);
        tokio::spawn(common::send(to, request))
    });
    let flights = flights.collect::<Vec<_>>();
    let started = site.platform.fakes.executions.clone();
    common::eventually("requests at the upstreams", || {
        (9 <= started.executions().len()).then_some(())
    })
    .await;
    let leaving = site.take(&leaver);
    leaving.ask_to_leave();
    time::timeout(common::LIMIT, leaving.health().reached(health::HealthStage::Draining))
        .await
        .expect("a draining instance");
    time::timeout(common::LIMIT, leaving.left()).await.expect("an end").expect("a good end");
    for flight in flights {
        let answer = flight.await.expect("no panic").expect("a whole answer");
        assert_eq!((answer.status, answer.body.len()), (StatusCode::OK, body.len()));
    }
    let successor = site.holder("vadodara").await;
    assert_ne!(successor, leaver);
}

/// Symptom: callers are refused while halls are handed over. Sequence: requests all the time, one
/// instance after the other is replaced. Cause: a hall without a scheduler during a hand-over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_request_is_refused_while_instances_are_replaced() {
    let mut site = common::TestSite::start(3).await;
    let to = site.callers("i2");
    common::send_until_done(to, "diagnosis", common::LARGE, "warm").await;
    let load = tokio::spawn(async move {
        let mut refused = Vec::new();
        for n in 0..120 {
            let request = common::request("diagnosis", common::LARGE, &n.to_string());
            match common::send(to, request).await {
                Ok(answer) if answer.status == StatusCode::OK => {}
                other => refused.push(format!("{n}: {other:?}")),
            }
            time::sleep(Duration::from_millis(25)).await;
        }
        refused
    });
    for (old, new) in [("i0", "i3"), ("i1", "i4")] {
        site.add(new).await;
        site.ready().await;
        let left = site.take(old).shut_down();
        time::timeout(common::LIMIT, left).await.expect("an end").expect("a good end");
    }
    let refused = load.await.expect("no panic");
    assert!(refused.is_empty(), "expected no refusal, found {refused:?}");
}

/// Symptom: instances decide by different configurations for long. Sequence: a version is accepted.
/// Cause: nobody polls, or nobody passes it on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_configuration_is_in_force_everywhere() {
    let site = common::TestSite::start(3).await;
    let mut document = common::laboratories();
    document.accounts[0].name = "renamed".to_owned();
    site.accept(1, document).await;
    common::eventually("version 2 on every instance", || {
        let all = site.instances.values().all(|it| it.config_version() == 2);
        all.then_some(())
    })
    .await;
}

/// Symptom: a replaced instance takes no callers for as long as the table is down. Sequence: outage of
/// the table, a new instance starts. Cause: only the table is asked for the configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_instance_gets_the_configuration_from_its_peers() {
    let mut site = common::TestSite::start(2).await;
    common::send_until_done(site.callers("i0"), "diagnosis", common::SMALL, "warm").await;
    site.platform.fakes.table().faults().set(fault::Condition::Refusing);
    site.add("i2").await;
    site.ready().await;
    assert_eq!(site.instances["i2"].config_version(), 1);
    // Whoever holds a hall works on, so repeatable requests run through the new instance as well.
    common::send_until_done(site.callers("i2"), "diagnosis", common::SMALL, "outage").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn health_and_metrics_are_served_to_operators() {
    let site = common::TestSite::start(1).await;
    let to = site.instances["i0"].addresses().operators;
    let get = |path: &str| common::job_call(Method::GET, path, "", "");
    for (path, text) in [("/healthz", "alive"), ("/readyz", "ready"), ("/metrics", "almondpass_")] {
        let answer = common::send(to, get(path)).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
        assert!(String::from_utf8_lossy(&answer.body).contains(text), "{path}");
    }
}
