//! Requests that go well.

use almondpass_schema::model;

use crate::support::entry::{self, EntryBuilder};
use crate::support::halls::FakeHalls;
use crate::support::upstream::{self, FakeUpstream, UpstreamScript};

#[tokio::test]
async fn an_answer_is_relayed_whole_with_its_outcome() {
    let fake = FakeUpstream::start(vec![]).await;
    let halls = FakeHalls::over(vec![fake.address.clone()]);
    let entry = EntryBuilder::over(&halls).start().await;
    let answer = entry.post("check", "content-type: image/png\r\n", "a plate").await;
    assert_eq!((answer.status, answer.whole, answer.body.as_slice()), (200, true, &b"a plate"[..]));
    assert_eq!(answer.header("x-outcome").as_deref(), Some("done"));
    let seen = fake.seen().remove(0);
    assert_eq!(upstream::header(&seen.head, "content-type").as_deref(), Some("image/png"));
    assert_eq!(upstream::header(&seen.head, "authorization"), None);
    assert_eq!(answer.header("x-request-id"), upstream::header(&seen.head, "x-request-id"));
    let returns = halls.returns(1).await;
    assert_eq!(returns[0].outcome, model::RequestOutcome::Done);
    entry.assert_nothing_held().await;
}

#[tokio::test]
async fn connections_to_an_upstream_are_used_again() {
    let fake = FakeUpstream::start(vec![]).await;
    let halls = FakeHalls::over(vec![fake.address.clone()]);
    let entry = EntryBuilder::over(&halls).start().await;
    for _ in 0..5 {
        assert_eq!(entry.post("check", "", "a plate").await.status, 200);
    }
    assert!(fake.seen().iter().all(|it| it.connection == 0));
}

#[tokio::test]
async fn a_failure_of_the_upstream_is_relayed_as_failed() {
    let script = "HTTP/1.1 422 No\r\nx-request-id: {id}\r\ncontent-length: 4\r\n\r\nblur";
    let fake = FakeUpstream::start(vec![UpstreamScript::Raw(script.to_owned())]).await;
    let halls = FakeHalls::over(vec![fake.address.clone()]);
    let entry = EntryBuilder::over(&halls).start().await;
    let answer = entry.post("check", "", "a plate").await;
    assert_eq!((answer.status, answer.body.as_slice()), (422, &b"blur"[..]));
    assert_eq!(answer.header("x-outcome").as_deref(), Some("failed"));
    assert_eq!(halls.returns(1).await[0].outcome, model::RequestOutcome::Failed);
}

#[tokio::test]
async fn a_body_in_chunks_streams_both_ways() {
    let fake = FakeUpstream::start(vec![]).await;
    let halls = FakeHalls::over(vec![fake.address.clone()]);
    let entry = EntryBuilder::over(&halls).start().await;
    let key = entry::KEY;
    let mut bytes = format!(
        "POST /v1/requests HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n\
         x-job-class: check\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let chunk = "x".repeat(0x8000);
    for _ in 0..8 {
        bytes += &format!("8000\r\n{chunk}\r\n");
    }
    bytes += "0\r\n\r\n";
    let answer = entry.send(bytes).await;
    assert_eq!((answer.status, answer.whole, answer.body.len()), (200, true, 0x8000 * 8));
}
