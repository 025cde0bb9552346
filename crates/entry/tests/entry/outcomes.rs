//! What callers are told where no answer of an upstream is relayed.

use std::time::Duration;

use almondpass_peer::error;
use almondpass_schema::{model, time};
use uuid::Uuid;

use crate::support::caller::RawCaller;
use crate::support::entry::{self, EntryBuilder};
use crate::support::halls::{FakeHalls, GrantScript};
use crate::support::upstream::{FakeUpstream, UpstreamScript};

pub(crate) fn reason(code: model::WaitCode) -> model::WaitReason {
    model::WaitReason { code, text: "no room in rack r1".to_owned(), until: None }
}

pub(crate) fn busy(code: model::WaitCode) -> model::GrantReply {
    let retry_after = time::TimeSpan::from_millis(1500);
    model::GrantReply::Busy { reason: reason(code), retry_after, unrecorded: true }
}

fn busy_before_the_key_was_looked_up() -> model::GrantReply {
    let reason = reason(model::WaitCode::StoreUnavailable);
    let retry_after = time::TimeSpan::from_millis(1500);
    model::GrantReply::Busy { reason, retry_after, unrecorded: false }
}

fn refused(code: model::WaitCode, unrecorded: bool) -> model::GrantReply {
    model::GrantReply::Refused { reason: reason(code), unrecorded }
}

fn recorded(outcome: model::RequestOutcome) -> model::GrantReply {
    model::GrantReply::Recorded { outcome, request: Uuid::now_v7() }
}

fn unreachable() -> GrantScript {
    GrantScript::Fault(error::CallFault::NotSent("connection refused".to_owned()))
}

fn lost() -> GrantScript {
    GrantScript::Fault(error::CallFault::NoAnswer("connection reset".to_owned()))
}

async fn check(class: &str, script: GrantScript, status: u16, outcome: model::RequestOutcome) {
    let upstream = FakeUpstream::start(vec![]).await;
    let halls = FakeHalls::over(vec![upstream.address.clone()]);
    for _ in 0..2 {
        halls.next_grant(script.clone());
    }
    let entry = EntryBuilder::over(&halls).start().await;
    let headers = format!("idempotency-key: {}\r\n", Uuid::now_v7());
    let answer = entry.post(class, &headers, "a load").await;
    let problem = answer.problem();
    assert_eq!((answer.status, problem.outcome), (status, outcome), "{problem:?}");
    assert_eq!(problem.request.map(|it| it.to_string()), answer.header("x-request-id"));
    assert_eq!(status == 503, answer.header("retry-after").is_some());
    assert!(upstream.seen().is_empty());
    entry.assert_nothing_held().await;
}

macro_rules! cases {
    ($($name:ident: $class:literal, $script:expr => $status:literal, $outcome:ident;)*) => {
        $(#[tokio::test]
        async fn $name() {
            check($class, $script, $status, model::RequestOutcome::$outcome).await;
        })*
    };
}

cases! {
    busy_hall: "check", GrantScript::Reply(busy(model::WaitCode::NoCapacity)) => 503, NotRun;
    busy_hall_for_a_key: "ticket", GrantScript::Reply(busy(model::WaitCode::NoCapacity))
        => 503, NotRun;
    store_down: "ticket", GrantScript::Reply(busy(model::WaitCode::StoreUnavailable))
        => 503, NotRun;
    record_not_read_yet: "check", GrantScript::Reply(busy_before_the_key_was_looked_up())
        => 503, NotRun;
    record_not_read_yet_for_a_key: "ticket",
        GrantScript::Reply(busy_before_the_key_was_looked_up()) => 503, Unknown;
    never_fits: "check", GrantScript::Reply(refused(model::WaitCode::NeverFits, true)) => 422, NotRun;
    deadline_cannot_be_met: "check", GrantScript::Reply(refused(model::WaitCode::DeadlineMissed, true))
        => 504, NotRun;
    key_too_old: "ticket", GrantScript::Reply(refused(model::WaitCode::KeyTooOld, false)) => 400, Unknown;
    key_done_before: "ticket", GrantScript::Reply(recorded(model::RequestOutcome::Done))
        => 409, Done;
    key_unknown_before: "ticket", GrantScript::Reply(recorded(model::RequestOutcome::Unknown))
        => 409, Unknown;
    unreachable_scheduler: "check", unreachable() => 503, NotRun;
    unreachable_scheduler_for_a_key: "ticket", unreachable() => 503, Unknown;
    no_scheduler: "check", GrantScript::Reply(model::GrantReply::NotHolder { holder: None })
        => 503, NotRun;
}

/// Symptom: a slot stays taken until its term ends, and a ticket is refused that had one.
/// Sequence: the scheduler grants, its answer is lost. Cause: the entry gives up, or asks anew
/// under another name.
#[tokio::test]
async fn a_lost_answer_is_asked_for_again() {
    let upstream = FakeUpstream::start(vec![]).await;
    let halls = FakeHalls::over(vec![upstream.address.clone()]);
    halls.next_grant(lost());
    let entry = EntryBuilder::over(&halls).start().await;
    let headers = format!("idempotency-key: {}\r\n", Uuid::now_v7());
    assert_eq!(entry.post("ticket", &headers, "a load").await.status, 200);
    let asked = halls.asked();
    assert_eq!(asked.len(), 2);
    assert_eq!(asked[0], asked[1]);
}

/// Symptom: a caller waits for ever, or is told that a ticket did not run that an earlier request
/// may have printed. Sequence: no answer of the scheduler arrives until the deadline. Cause: asking
/// without end; `not_run` without the word of who knows the key.
async fn check_lost_until_deadline(class: &str, outcome: model::RequestOutcome) {
    let upstream = FakeUpstream::start(vec![]).await;
    let halls = FakeHalls::over(vec![upstream.address.clone()]);
    for _ in 0..100 {
        halls.next_grant(lost());
    }
    let entry = EntryBuilder::over(&halls).start().await;
    let headers = format!("idempotency-key: {}\r\nx-deadline: 100ms\r\n", Uuid::now_v7());
    let answer = entry.post(class, &headers, "a load").await;
    assert_eq!((answer.status, answer.problem().outcome), (504, outcome));
    assert!(halls.asked().len() < 20, "the pauses grow");
    assert!(upstream.seen().is_empty());
    entry.assert_nothing_held().await;
}

#[tokio::test]
async fn answers_lost_until_the_deadline() {
    check_lost_until_deadline("check", model::RequestOutcome::NotRun).await;
}

#[tokio::test]
async fn answers_lost_until_the_deadline_of_a_key() {
    check_lost_until_deadline("ticket", model::RequestOutcome::Unknown).await;
}

#[tokio::test]
async fn repeatable_work_spills_over_to_another_hall() {
    let upstream = FakeUpstream::start(vec![]).await;
    let halls = FakeHalls::over(vec![upstream.address.clone()]);
    halls.next_grant(GrantScript::Reply(busy(model::WaitCode::NoCapacity)));
    let entry = EntryBuilder::over(&halls).start().await;
    assert_eq!(entry.post("check", "", "a plate").await.status, 200);
    let asked = halls.asked();
    assert_ne!(asked[0].hall, asked[1].hall);
}

/// Symptom: a ticket is printed twice. Sequence: a key is used at two entries that ask different
/// halls. Cause: the home of a key depends on the load.
#[tokio::test]
async fn a_key_has_one_hall_whatever_the_load() {
    let upstream = FakeUpstream::start(vec![]).await;
    let key = format!("idempotency-key: {}\r\n", Uuid::now_v7());
    let mut homes = Vec::new();
    for wait in [0, 30] {
        let halls = FakeHalls::over(vec![upstream.address.clone()]);
        let beat = |hall: &str, wait: u64| model::HallBeat {
            epoch: 1,
            free_accelerators: 8,
            hall: hall.to_owned(),
            longest_run: 8,
            queued: 0,
            wait: time::TimeSpan::from_secs(wait),
        };
        halls.beat(vec![beat("rustavi", wait), beat("marneuli", 30 - wait)]);
        let entry = EntryBuilder::over(&halls).start().await;
        assert_eq!(entry.post("ticket", &key, "a load").await.status, 200);
        homes.push(halls.asked().remove(0).hall);
    }
    assert_eq!(homes[0], homes[1]);
}

#[tokio::test]
async fn work_that_cannot_start_by_its_deadline_is_shed_at_once() {
    let upstream = FakeUpstream::start(vec![]).await;
    let halls = FakeHalls::over(vec![upstream.address.clone()]);
    let beat = |hall: &str| model::HallBeat {
        epoch: 1,
        free_accelerators: 0,
        hall: hall.to_owned(),
        longest_run: 0,
        queued: 500,
        wait: time::TimeSpan::from_secs(30),
    };
    halls.beat(vec![beat("rustavi"), beat("marneuli")]);
    let entry = EntryBuilder::over(&halls).start().await;
    let answer = entry.post("check", "x-deadline: 10s\r\n", "a plate").await;
    assert_eq!((answer.status, answer.problem().outcome), (504, model::RequestOutcome::NotRun));
    assert_eq!(answer.header("retry-after").as_deref(), Some("30"));
    assert!(halls.asked().is_empty());
}

/// Symptom: a caller is told `not_run` of a check that ran. Sequence: the upstream runs it and dies
/// before it answers; meanwhile the halls fill up, and the retry is shed. Cause: shedding looks at
/// the attempt at hand only.
#[tokio::test]
async fn a_retry_that_is_shed_does_not_deny_the_attempt_before() {
    let upstream = FakeUpstream::start(vec![UpstreamScript::RawThenClose(String::new())]).await;
    let halls = FakeHalls::over(vec![upstream.address.clone()]);
    let beat = |hall: &str| model::HallBeat {
        epoch: 1,
        free_accelerators: 0,
        hall: hall.to_owned(),
        longest_run: 0,
        queued: 500,
        wait: time::TimeSpan::from_secs(30),
    };
    halls.next_grant(GrantScript::GrantThenBeat(vec![beat("rustavi"), beat("marneuli")]));
    let entry = EntryBuilder::over(&halls).start().await;
    let answer = entry.post("check", "x-deadline: 10s\r\n", "a plate").await;
    assert_eq!((answer.status, answer.problem().outcome), (504, model::RequestOutcome::Unknown));
    assert_eq!(halls.asked().len(), 1);
}

/// Symptom: a ticket that was printed stays `unknown` for ever. Sequence: the caller goes away
/// while the upstream works. Cause: the exchange was cut off with the caller.
#[tokio::test]
async fn work_with_a_key_ends_without_its_caller() {
    let upstream = FakeUpstream::start(vec![UpstreamScript::EchoWhenReleased]).await;
    let halls = FakeHalls::over(vec![upstream.address.clone()]);
    let entry = EntryBuilder::over(&halls).start().await;
    let mut caller = RawCaller::connect(entry.address).await;
    let headers = format!("idempotency-key: {}\r\n", Uuid::now_v7());
    caller.write(entry::post("ticket", &headers, "a load")).await;
    upstream.reached().await;
    drop(caller);
    upstream.released.send_replace(true);
    assert_eq!(halls.returns(1).await[0].outcome, model::RequestOutcome::Done);
    entry.assert_nothing_held().await;
}

/// Symptom: slots are kept by callers that are gone. Sequence: the caller of repeatable work goes
/// away while the upstream works. Cause: nobody watches its connection meanwhile.
#[tokio::test]
async fn repeatable_work_ends_with_its_caller() {
    let upstream = FakeUpstream::start(vec![UpstreamScript::Hang]).await;
    let halls = FakeHalls::over(vec![upstream.address.clone()]);
    let entry = EntryBuilder::over(&halls).start().await;
    let mut caller = RawCaller::connect(entry.address).await;
    caller.write(entry::post("check", "", "a plate")).await;
    upstream.reached().await;
    drop(caller);
    assert_eq!(halls.returns(1).await[0].outcome, model::RequestOutcome::Unknown);
    entry.assert_nothing_held().await;
}

/// Symptom: more requests on a worker than it has slots. Sequence: a hall gets a new scheduler
/// while a request runs. Cause: the new one does not know of the grant.
#[tokio::test]
async fn a_new_scheduler_hears_of_grants_in_use() {
    let upstream = FakeUpstream::start(vec![UpstreamScript::EchoWhenReleased]).await;
    let halls = FakeHalls::over(vec![upstream.address.clone()]);
    let entry = EntryBuilder::over(&halls).start().await;
    let mut caller = RawCaller::connect(entry.address).await;
    caller.write(entry::post("check", "", "a plate")).await;
    upstream.reached().await;
    let hall = halls.asked().remove(0).hall;
    halls.beat(vec![model::HallBeat {
        epoch: 2,
        free_accelerators: 8,
        hall: hall.clone(),
        longest_run: 8,
        queued: 0,
        wait: time::TimeSpan(Duration::ZERO),
    }]);
    let reports = halls.reports().await;
    assert_eq!((&reports[0].hall, reports[0].grants.len()), (&hall, 1));
    upstream.released.send_replace(true);
    assert_eq!(caller.read().await.expect("an answer").status, 200);
}

/// Symptom: slots of an earlier scheduler are kept for long. Sequence: a hall gets a new scheduler
/// while this entry uses none of its grants. Cause: the new one waits for word from every entry.
#[tokio::test]
async fn a_new_scheduler_hears_also_that_none_is_in_use() {
    let halls = FakeHalls::over(vec!["127.0.0.1:1".to_owned()]);
    let _entry = EntryBuilder::over(&halls).start().await;
    halls.beat(vec![model::HallBeat {
        epoch: 7,
        free_accelerators: 8,
        hall: "rustavi".to_owned(),
        longest_run: 8,
        queued: 0,
        wait: time::TimeSpan(Duration::ZERO),
    }]);
    let reports = halls.reports().await;
    assert_eq!((reports[0].hall.as_str(), reports[0].grants.len()), ("rustavi", 0));
}

#[tokio::test]
async fn without_a_configuration_nothing_is_accepted() {
    let halls = FakeHalls::over(vec!["127.0.0.1:1".to_owned()]);
    let mut builder = EntryBuilder::over(&halls);
    builder.version = 0;
    let entry = builder.start().await;
    let answer = entry.post("check", "", "a plate").await;
    assert_eq!((answer.status, answer.header("retry-after").is_some()), (503, true));
}
