//! Limits on what callers may hold, and who is served when they are reached.

use almondpass_schema::model;

use crate::support::caller::RawCaller;
use crate::support::entry::{self, EntryBuilder, TestEntry};
use crate::support::halls::FakeHalls;
use crate::support::upstream::{FakeUpstream, UpstreamScript};

/// An entry with `places` whose upstream answers nobody until released.
async fn start(places: u32) -> (FakeUpstream, TestEntry) {
    let upstream = FakeUpstream::start(vec![UpstreamScript::EchoWhenReleased; 64]).await;
    let halls = FakeHalls::over(vec![upstream.address.clone()]);
    let entry = EntryBuilder::over(&halls)
        .settings(|it| it.limits.requests_in_flight = places)
        .document(|it| it.accounts[0].limits.running_requests = 6)
        .document(|it| it.accounts[0].limits.queued_requests = 0)
        .start()
        .await;
    (upstream, entry)
}

async fn hold(entry: &TestEntry, n_requests: usize) -> Vec<RawCaller> {
    let mut callers = Vec::new();
    for n_held in 1..=n_requests {
        let mut caller = RawCaller::connect(entry.address).await;
        caller.write(entry::post("check", "", "a plate")).await;
        while entry.service.core().requests.in_flight() < n_held {
            tokio::task::yield_now().await;
        }
        callers.push(caller);
    }
    callers
}

#[tokio::test]
async fn an_account_at_its_limit_is_told_so_at_once() {
    let (upstream, entry) = start(100).await;
    let held = hold(&entry, 6).await;
    let answer = entry.post("check", "", "a plate").await;
    assert_eq!((answer.status, answer.problem().outcome), (429, model::RequestOutcome::NotRun));
    assert!(answer.header("retry-after").is_some());
    upstream.released.send_replace(true);
    for mut it in held {
        assert_eq!(it.read().await.expect("an answer").status, 200);
    }
    assert_eq!(entry.post("check", "", "a plate").await.status, 200);
}

/// Symptom: small accounts are shed while the large one is served. Sequence: the large account
/// sends until the instance is full, then a small one comes. Cause: places go to whoever is first.
#[tokio::test]
async fn a_large_account_leaves_room_for_the_others() {
    let (upstream, entry) = start(8).await;
    let held = hold(&entry, 6).await;
    let answer = entry.post("check", "", "a plate").await;
    assert_eq!(answer.status, 429);
    let mut small = RawCaller::connect(entry.address).await;
    small.write(entry::post("check", "", "a scale").replace(entry::KEY, entry::OTHER_KEY)).await;
    while entry.service.core().requests.in_flight() < 7 {
        tokio::task::yield_now().await;
    }
    upstream.released.send_replace(true);
    assert_eq!(small.read().await.expect("an answer").status, 200);
    drop(held);
}

#[tokio::test]
async fn a_full_instance_sheds_with_a_hint() {
    let (_upstream, entry) = start(4).await;
    // Two places of its own half and two of the shared one... the rest is another account's.
    let _held = hold(&entry, 3).await;
    let answer = entry.post("check", "", "a plate").await;
    assert_eq!((answer.status, answer.problem().outcome), (503, model::RequestOutcome::NotRun));
    assert!(answer.header("retry-after").is_some());
}

/// Symptom: an entry runs out of memory or descriptors. Sequence: callers open connections
/// without end. Cause: each is served alike.
#[tokio::test]
async fn connections_beyond_the_limit_are_told_to_come_back() {
    let upstream = FakeUpstream::start(vec![]).await;
    let halls = FakeHalls::over(vec![upstream.address.clone()]);
    let entry = EntryBuilder::over(&halls).settings(|it| it.limits.connections = 1).start().await;
    let mut first = RawCaller::connect(entry.address).await;
    first.write(entry::post("check", "", "a plate")).await;
    assert_eq!(first.read().await.expect("an answer").status, 200);
    let mut second = RawCaller::connect(entry.address).await;
    second.write(entry::post("check", "", "a plate")).await;
    let answer = second.read().await.expect("an answer");
    assert_eq!((answer.status, answer.problem().outcome), (503, model::RequestOutcome::NotRun));
    assert!(second.closed().await);
    first.write(entry::post("check", "", "a plate")).await;
    assert_eq!(first.read().await.expect("an answer").status, 200);
}

/// Symptom: a worker has more connections than it takes. Sequence: more grants than connections
/// reach the entry at once. Cause: each exchange opens its own.
#[tokio::test]
async fn connections_stay_within_their_share() {
    const SHARE: usize = 8;
    let upstream = FakeUpstream::start(vec![UpstreamScript::EchoWhenReleased; SHARE]).await;
    let halls = FakeHalls::over(vec![upstream.address.clone()]);
    let entry = EntryBuilder::over(&halls)
        .document(|it| it.accounts[0].limits.running_requests = 100)
        .start()
        .await;
    let held = hold(&entry, SHARE + 4).await;
    while upstream.seen().len() < SHARE {
        tokio::task::yield_now().await;
    }
    assert_eq!(entry.service.core().pool.n_open(&upstream.address), SHARE);
    upstream.released.send_replace(true);
    for mut it in held {
        assert_eq!(it.read().await.expect("an answer").status, 200);
    }
    assert!(upstream.seen().iter().all(|it| it.connection < SHARE));
}
