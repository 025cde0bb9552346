//! Jobs over the callers' interface.

use almondpass_peer::error;
use almondpass_schema::{ids, model, time};
use uuid::Uuid;

use crate::outcomes::reason;
use crate::support::caller::RawAnswer;
use crate::support::entry::{self, EntryBuilder, TestEntry};
use crate::support::halls::FakeHalls;

const SUBMISSION: &str = r#"{"class":"audit","tasks":2,"accelerators":4}"#;

async fn start() -> TestEntry {
    EntryBuilder::over(&FakeHalls::over(vec!["127.0.0.1:1".to_owned()])).start().await
}

fn record(job: ids::JobId, state: model::JobState) -> model::JobRecord {
    model::JobRecord {
        account: "rustavi".to_owned(),
        attempt: 0,
        cancel_requested: false,
        checkpoint: None,
        failed_on: Vec::new(),
        hall: "rustavi".to_owned(),
        job,
        placement: Vec::new(),
        reason: None,
        state,
        state_since: time::WallTime::default(),
        submission: serde_json::from_str(SUBMISSION).expect("a submission"),
        submitted_at: time::WallTime::default(),
    }
}

fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    let (key, n_body) = (entry::KEY, body.len());
    format!(
        "{method} {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n\
         content-length: {n_body}\r\n{headers}\r\n{body}"
    )
}

async fn submit(entry: &TestEntry, key: Option<ids::JobId>) -> RawAnswer {
    let headers = key.map_or(String::new(), |it| format!("idempotency-key: {it}\r\n"));
    entry.send(request("POST", "/v1/jobs", &headers, SUBMISSION)).await
}

fn parse(answer: &RawAnswer) -> model::JobRecord {
    serde_json::from_slice(&answer.body).unwrap_or_else(|it| panic!("{answer:?}: {it}"))
}

fn lost() -> Result<model::JobReply, error::CallFault> {
    Err(error::CallFault::NoAnswer("connection reset".to_owned()))
}

#[tokio::test]
async fn an_accepted_job_has_a_place_to_ask() {
    let entry = start().await;
    let queued = record(Uuid::now_v7(), model::JobState::Queued);
    entry.halls.answer_jobs(Ok(model::JobReply::Record { record: queued.clone() }));
    let answer = submit(&entry, None).await;
    assert_eq!((answer.status, parse(&answer)), (202, queued.clone()));
    assert_eq!(answer.header("location"), Some(format!("/v1/jobs/{}", queued.job)));
    let submitted = entry.halls.submitted().remove(0);
    assert_eq!((submitted.account.as_str(), submitted.job.get_version_num()), ("rustavi", 7));
    entry.assert_nothing_held().await;
}

#[tokio::test]
async fn a_key_becomes_the_id_of_its_job() {
    let entry = start().await;
    let key = Uuid::now_v7();
    let queued = record(key, model::JobState::Queued);
    entry.halls.answer_jobs(Ok(model::JobReply::Record { record: queued.clone() }));
    assert_eq!(submit(&entry, Some(key)).await.status, 202);
    assert_eq!(entry.halls.submitted()[0].job, key);

    // Sent again after the row is there, it is answered from the row.
    entry.rows.insert(&queued);
    assert_eq!(parse(&submit(&entry, Some(key)).await), queued);
    assert_eq!(entry.halls.submitted().len(), 1);
}

/// Symptom: jobs are told `not_run` and run. Sequence: a job is accepted and offered again under its
/// key; the row reads differently from the body, as times finer than a microsecond once did.
/// Cause: a difference was taken for proof that the caller's own job never ran.
#[tokio::test]
async fn a_key_of_another_job_is_a_conflict() {
    let entry = start().await;
    let key = Uuid::now_v7();
    let mut other = record(key, model::JobState::Queued);
    other.submission.tasks = 9;
    entry.rows.insert(&other);
    let answer = submit(&entry, Some(key)).await;
    assert_eq!((answer.status, answer.problem().outcome), (409, model::RequestOutcome::Unknown));
}

#[tokio::test]
async fn a_key_older_than_the_window_is_refused() {
    let entry = start().await;
    let old = uuid::Builder::from_unix_timestamp_millis(1_600_000_000_000, &[7; 10]).into_uuid();
    let answer = submit(&entry, Some(old)).await;
    assert_eq!((answer.status, answer.problem().outcome), (400, model::RequestOutcome::Unknown));
    assert!(entry.halls.submitted().is_empty());
}

/// Symptom: a caller is told nothing of a job that was accepted. Sequence: the scheduler writes
/// the row, its answer is lost. Cause: nobody reads the row back.
#[tokio::test]
async fn a_lost_answer_is_settled_by_the_row() {
    let entry = start().await;
    let key = Uuid::now_v7();
    let queued = record(key, model::JobState::Queued);
    entry.halls.answer_jobs(lost());
    entry.halls.write_submitted(&entry.rows, &queued);
    let answer = submit(&entry, Some(key)).await;
    assert_eq!((answer.status, parse(&answer)), (202, queued));
}

#[tokio::test]
async fn a_lost_answer_without_a_row_is_unknown() {
    let entry = start().await;
    entry.halls.answer_jobs(lost());
    let answer = submit(&entry, None).await;
    let problem = answer.problem();
    assert_eq!((answer.status, problem.outcome), (503, model::RequestOutcome::Unknown));
    assert!(problem.detail.contains(&entry.halls.submitted()[0].job.to_string()));
    assert_eq!(entry.halls.submitted().len(), 1, "another hall could run it a second time");
}

fn shape(name: &str, hall: Option<&str>) -> model::GuaranteedShape {
    let hall = hall.map(str::to_owned);
    let adjacency = model::Adjacency::Hall;
    model::GuaranteedShape { accelerators: 16, adjacency, hall, name: name.to_owned() }
}

/// Symptom: a claim is refused although its shape is guaranteed. Sequence: the shape names no
/// hall; the job that names it goes to the hall with most room. Cause: only the hall to which the
/// assignment of homes gave the shape can reclaim it.
#[tokio::test]
async fn a_claim_goes_where_its_shape_is_at_home() {
    let entry = EntryBuilder::over(&FakeHalls::over(vec!["127.0.0.1:1".to_owned()]))
        .document(|it| {
            it.accounts[0].guarantees = vec![shape("nightly", None)];
            it.accounts[1].guarantees = vec![shape("audits", Some("rustavi"))];
        })
        .start()
        .await;
    let body = r#"{"class":"audit","tasks":2,"accelerators":8,"guarantee":"nightly"}"#;
    let mut queued = record(Uuid::now_v7(), model::JobState::Queued);
    queued.submission = serde_json::from_str(body).expect("a submission");
    entry.halls.answer_jobs(Ok(model::JobReply::Record { record: queued }));
    assert_eq!(entry.send(request("POST", "/v1/jobs", "", body)).await.status, 202);
    assert_eq!(entry.halls.submitted()[0].hall, "marneuli");
}

async fn check_refused(code: model::WaitCode, status: u16, n_halls: usize) {
    let entry = start().await;
    let reply = model::JobReply::Refused { reason: reason(code), retry_after: None };
    entry.halls.answer_jobs(Ok(reply));
    let answer = submit(&entry, None).await;
    let problem = answer.problem();
    assert_eq!((answer.status, problem.outcome), (status, model::RequestOutcome::NotRun));
    assert_eq!(problem.reason.map(|it| it.code), Some(code));
    assert_eq!(entry.halls.submitted().len(), n_halls);
}

/// Symptom: a caller is told `not_run` of a job that runs. Sequence: it submits with a key and hears
/// nothing, since the answer of a first hall is lost with the entry; submitted again, another hall
/// refuses for a while, before the row is there. Cause: one hall's refusal taken for all of them.
async fn check_refused_again(code: model::WaitCode, outcome: model::RequestOutcome) {
    let entry = start().await;
    let reply = model::JobReply::Refused { reason: reason(code), retry_after: None };
    entry.halls.answer_jobs(Ok(reply));
    let answer = submit(&entry, Some(Uuid::now_v7())).await;
    assert_eq!(answer.problem().outcome, outcome);
}

macro_rules! refused_again {
    ($($name:ident: $code:ident => $outcome:ident;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let outcome = model::RequestOutcome::$outcome;
            check_refused_again(model::WaitCode::$code, outcome).await;
        })*
    };
}

refused_again! {
    a_key_refused_for_the_store_may_run_elsewhere: StoreUnavailable => Unknown;
    a_key_refused_for_the_accounts_limit_may_run_elsewhere: AccountLimit => Unknown;
    a_key_refused_by_a_starting_scheduler_may_run_elsewhere: SchedulerStarting => Unknown;
    a_key_of_what_never_fits_runs_nowhere: NeverFits => NotRun;
    a_key_of_an_unknown_class_runs_nowhere: UnknownClass => NotRun;
}

macro_rules! refused {
    ($($name:ident: $code:ident => $status:literal, $n_halls:literal;)*) => {
        $(#[tokio::test]
        async fn $name() {
            check_refused(model::WaitCode::$code, $status, $n_halls).await;
        })*
    };
}

refused! {
    shape_that_no_hall_has: NeverFits => 422, 2;
    account_with_too_many_jobs: AccountLimit => 429, 1;
    store_that_is_down: StoreUnavailable => 503, 1;
}

#[tokio::test]
async fn a_waiting_job_is_asked_of_its_scheduler() {
    let entry = start().await;
    let queued = record(Uuid::now_v7(), model::JobState::Queued);
    let running = record(queued.job, model::JobState::Running);
    entry.rows.insert(&queued);
    entry.halls.answer_jobs(Ok(model::JobReply::Record { record: running.clone() }));
    let path = format!("/v1/jobs/{}", queued.job);
    assert_eq!(parse(&entry.send(request("GET", &path, "", "")).await), running);
    entry.halls.answer_jobs(lost());
    assert_eq!(parse(&entry.send(request("GET", &path, "", "")).await), queued);
    assert_eq!(entry.rows.n_reads(), 1, "a row is served again within its term");
}

/// Symptom: no job can be looked at while the table is down. Sequence: the table goes, a caller
/// polls. Cause: only rows are read, though the schedulers know the jobs.
#[tokio::test]
async fn while_the_table_is_down_schedulers_are_asked() {
    let entry = start().await;
    let running = record(Uuid::now_v7(), model::JobState::Running);
    entry.rows.set_down(true);
    entry.halls.answer_jobs(Ok(model::JobReply::Record { record: running.clone() }));
    let path = format!("/v1/jobs/{}", running.job);
    assert_eq!(parse(&entry.send(request("GET", &path, "", "")).await), running);
    entry.halls.answer_jobs(Ok(model::JobReply::NotFound));
    let answer = entry.send(request("GET", &path, "", "")).await;
    assert_eq!((answer.status, answer.problem().outcome), (503, model::RequestOutcome::Unknown));
}

/// Symptom: an account sees another's job. Sequence: it asks with an id that it guessed or heard.
/// Cause: jobs looked up by their id alone.
#[tokio::test]
async fn jobs_of_other_accounts_are_not_there() {
    let entry = start().await;
    let queued = record(Uuid::now_v7(), model::JobState::Queued);
    entry.rows.insert(&queued);
    entry.halls.answer_jobs(Ok(model::JobReply::Record { record: queued.clone() }));
    let path = format!("/v1/jobs/{}", queued.job);
    for method in ["GET", "DELETE"] {
        let bytes = request(method, &path, "", "").replace(entry::KEY, entry::OTHER_KEY);
        assert_eq!(entry.send(bytes).await.status, 404);
    }
    let bytes = request("GET", "/v1/jobs", "", "").replace(entry::KEY, entry::OTHER_KEY);
    let answer = entry.send(bytes).await;
    let page = serde_json::from_slice::<model::JobPage>(&answer.body).expect("a page");
    assert!(page.jobs.is_empty());
    // A scheduler that answers with another account's job is not believed either.
    entry.rows.set_down(true);
    let bytes = request("GET", &path, "", "").replace(entry::KEY, entry::OTHER_KEY);
    assert_eq!(entry.send(bytes).await.status, 503);
}

#[tokio::test]
async fn a_job_is_cancelled_by_its_scheduler() {
    let entry = start().await;
    let running = record(Uuid::now_v7(), model::JobState::Running);
    entry.rows.insert(&running);
    let path = format!("/v1/jobs/{}", running.job);
    entry.halls.answer_jobs(Ok(model::JobReply::Record { record: running.clone() }));
    assert_eq!(entry.send(request("DELETE", &path, "", "")).await.status, 202);
    let cancelled = record(running.job, model::JobState::Cancelled);
    entry.rows.insert(&cancelled);
    let answer = entry.send(request("DELETE", &path, "", "")).await;
    assert_eq!((answer.status, parse(&answer).state), (200, model::JobState::Cancelled));
}

#[tokio::test]
async fn an_ended_job_is_not_cancelled_again() {
    let entry = start().await;
    let done = record(Uuid::now_v7(), model::JobState::Done);
    entry.rows.insert(&done);
    entry.halls.answer_jobs(lost());
    let answer = entry.send(request("DELETE", &format!("/v1/jobs/{}", done.job), "", "")).await;
    assert_eq!((answer.status, parse(&answer)), (200, done));
}

#[tokio::test]
async fn jobs_are_listed_in_pages() {
    let entry = start().await;
    let mut ids = (0..5).map(|_| Uuid::now_v7()).collect::<Vec<_>>();
    ids.sort();
    for it in &ids {
        entry.rows.insert(&record(*it, model::JobState::Queued));
    }
    let mut seen = Vec::new();
    let mut path = "/v1/jobs?limit=2".to_owned();
    loop {
        let answer = entry.send(request("GET", &path, "", "")).await;
        let page = serde_json::from_slice::<model::JobPage>(&answer.body).expect("a page");
        seen.extend(page.jobs.iter().map(|it| it.job));
        let Some(next) = page.next else { break };
        path = format!("/v1/jobs?limit=2&after={next}");
    }
    assert_eq!(seen, ids);
}
