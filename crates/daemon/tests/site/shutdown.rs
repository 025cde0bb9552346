//! What a shutdown must not cut, beside plain requests.

use std::convert::Infallible;
use std::time::Duration;

use almondpass_schema::model;
use almondpass_standin::{fault, upstream};
use bytes::Bytes;
use futures_util::stream;
use http::{Method, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time;

use crate::common;
use crate::jobs;

/// Symptom: an upload breaks off at an upgrade. Sequence: a caller sends its body slowly, the
/// instance is told to leave in the middle. Cause: only answers count as in flight.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_upload_is_finished() {
    let mut site = common::TestSite::start(2).await;
    let to = site.callers("i0");
    common::send_until_done(to, "diagnosis", common::LARGE, "warm").await;
    let (pieces, body) = tokio::sync::mpsc::channel::<Bytes>(1);
    let body = stream::unfold(body, |mut body| async move {
        let piece = body.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(piece)), body))
    });
    let upload = tokio::spawn(async move {
        let stream = TcpStream::connect(to).await.expect("a connection");
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.expect("HTTP");
        tokio::spawn(connection);
        let request = common::request("diagnosis", common::LARGE, "");
        let request = request.map(|_| StreamBody::new(Box::pin(body)));
        let response = sender.send_request(request).await.expect("an answer");
        let status = response.status();
        (status, response.into_body().collect().await.expect("a whole answer").to_bytes())
    });
    pieces.send(Bytes::from_static(b"first,")).await.expect("a reader");
    let leaving = site.take("i0");
    leaving.ask_to_leave();
    let left = tokio::spawn(leaving.left());
    // Past the wait for the balancer, so that the rest arrives while only this request is left.
    time::sleep(Duration::from_millis(600)).await;
    pieces.send(Bytes::from_static(b"last")).await.expect("a reader");
    drop(pieces);
    let (status, body) = upload.await.expect("no panic");
    assert_eq!((status, body.as_ref()), (StatusCode::OK, b"first,last".as_slice()));
    time::timeout(common::LIMIT, left)
        .await
        .expect("an end")
        .expect("no panic")
        .expect("a good end");
}

/// Symptom: an instance never ends, or cuts its requests, while the store is down. Sequence: outage,
/// then SIGTERM with answers on their way. Cause: a hand-over that waits for the table.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_of_the_store_holds_up_no_shutdown() {
    let mut site = common::TestSite::start(2).await;
    let leaver = site.holder("vadodara").await;
    let to = site.callers(&leaver);
    common::send_until_done(to, "diagnosis", common::LARGE, "warm").await;
    for upstream in site.platform.fakes.upstreams.values() {
        upstream.set_misbehaviour(Some(upstream::Misbehaviour::Slow(Duration::from_millis(500))));
    }
    let body = "z".repeat(40);
    let request = common::request("diagnosis", common::LARGE, &body);
    let flight = tokio::spawn(common::send(to, request));
    let executions = site.platform.fakes.executions.clone();
    common::eventually("the request at its upstream", || {
        (2 <= executions.executions().len()).then_some(())
    })
    .await;
    site.platform.fakes.table().faults().set(fault::Condition::Dropping);
    site.platform.fakes.objects().faults().set(fault::Condition::Dropping);
    let leaving = site.take(&leaver);
    let left = time::timeout(common::LIMIT, leaving.shut_down()).await;
    left.expect("an end").expect("a good end");
    let answer = flight.await.expect("no panic").expect("a whole answer");
    assert_eq!((answer.status, answer.body.as_ref()), (StatusCode::OK, body.as_bytes()));
}

/// Symptom: a gang runs in part, or its job is lost. Sequence: a gang is being started, its hall's
/// scheduler leaves. Cause: the start is dropped half-way, and nobody looks at the workers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gang_that_starts_is_whole_after_the_hand_over() {
    let mut site = common::TestSite::start(3).await;
    let leaver = site.holder("rajkot").await;
    let other = site.instances.keys().find(|it| **it != leaver).expect("another").clone();
    let job = jobs::submit(&site, &other, common::LARGE, &jobs::gang("rajkot", "1500ms")).await;
    let leaving = site.take(&leaver);
    time::timeout(common::LIMIT, leaving.shut_down()).await.expect("an end").expect("a good end");
    let done = jobs::await_state(&site, &other, common::LARGE, &job, model::JobState::Done).await;
    let runs = site.platform.fakes.fleet.runs();
    let of_job = runs.iter().filter(|it| it.job.to_string() == job).count();
    let expected = usize::try_from(done.attempt).expect("a small number") * jobs::GANG;
    assert!(of_job <= expected, "expected at most {expected} runs, found {of_job}");
    let cancelled = common::job_call(Method::DELETE, &format!("/v1/jobs/{job}"), common::LARGE, "");
    let again = common::send(site.callers(&other), cancelled).await.expect("an answer");
    assert!(again.status.is_success() || again.status == StatusCode::CONFLICT, "found {again:?}");
}
