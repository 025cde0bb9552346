//! What is sent again, under which key, and what is not.

mod support;

use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;

use almondpass_cli::exit;
use serde_json::json;
use support::{ServerReply, records};

/// Idempotency keys that the server saw, one for each request.
fn keys(server: &support::ScriptedServer) -> Vec<String> {
    server.seen().iter().map(|it| it.header("idempotency-key").to_owned()).collect()
}

fn body_file(content: &str) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("body");
    fs::write(&path, content).expect("write the body");
    (folder, path)
}

fn not_run(retry_after: &str) -> ServerReply {
    let mut problem = records::problem(503, "not_run");
    problem["retry_after"] = json!(retry_after);
    ServerReply::Json(503, problem)
}

/// Symptom: a job runs twice after one submit. Sequence: the server accepts the job, the answer is
/// lost, the program submits again. Cause: a repeat under another key is another job.
#[test]
fn lost_answer_is_settled_under_the_same_key() {
    let server = support::ScriptedServer::start([
        ServerReply::Hangup,
        ServerReply::Json(200, records::job("queued")),
    ]);
    let output = server.run_caller(&["submit", "ageing-trend"]);
    assert_eq!(output.status, exit::DONE, "{output}");
    let keys = keys(&server);
    assert_eq!(keys.len(), 2);
    assert_eq!(keys.iter().collect::<BTreeSet<_>>().len(), 1, "{keys:?}");
}

/// Symptom: the user is told that nothing ran while the job runs. Sequence: the server accepts the
/// job, its answer is lost, the repeat is turned away for now. Cause: the refusal is proof for the
/// repeat only.
#[test]
fn refusal_after_a_lost_answer_stays_unknown() {
    let server = support::ScriptedServer::start([ServerReply::Hangup, not_run("1s")]);
    let output = server.run_caller(&["submit", "ageing-trend"]);
    assert_eq!(output.status, exit::UNKNOWN, "{output}");
}

/// Symptom: a repeatable request runs twice at a time. Sequence: the answer to a request is lost
/// and the program sends it again. Cause: keys of repeatable classes are not recorded.
#[test]
fn request_with_a_lost_answer_is_not_sent_again() {
    let (_folder, path) = body_file("sample");
    let server = support::ScriptedServer::start([ServerReply::Hangup]);
    let path = path.to_str().expect("a text path");
    let output = server.run_caller(&["submit", "check", "--body", path, "--retry-for", "1m"]);
    assert_eq!(output.status, exit::UNKNOWN, "{output}");
    assert_eq!(server.seen().len(), 1);
}

#[test]
fn request_that_did_not_run_is_sent_again_where_invited() {
    let (_folder, path) = body_file("sample");
    let server = support::ScriptedServer::start([not_run("1ms"), ServerReply::Text(200, "whole")]);
    let path = path.to_str().expect("a text path");
    let output = server.run_caller(&["submit", "check", "--body", path, "--retry-for", "1m"]);
    assert_eq!(output.status, exit::DONE, "{output}");
    assert_eq!(output.out, "whole");
    let seen = server.seen();
    assert_eq!(seen.len(), 2);
    for request in seen {
        assert_eq!(request.method, http::Method::POST);
        assert_eq!(request.path, "/v1/requests");
        assert_eq!(&request.body[..], b"sample");
        assert_eq!(request.header("x-job-class"), "check");
        assert_eq!(request.header("authorization"), "Bearer test-key");
    }
}

#[test]
fn request_that_did_not_run_is_not_sent_again_uninvited() {
    let (_folder, path) = body_file("sample");
    let server = support::ScriptedServer::start([not_run("1ms")]);
    let output = server.run_caller(&["submit", "check", "--body", path.to_str().expect("text")]);
    assert_eq!(output.status, exit::REFUSED, "{output}");
    assert_eq!(server.seen().len(), 1);
}

/// Symptom: a script keeps half a certificate. Sequence: the connection breaks in the middle of an
/// answer. Cause: what arrived was written and the program ended well.
#[test]
fn half_an_answer_is_an_error() {
    let (_folder, path) = body_file("sample");
    let server = support::ScriptedServer::start([ServerReply::CutShort("half")]);
    let output = server.run_caller(&["submit", "check", "--body", path.to_str().expect("text")]);
    assert_eq!(output.status, exit::UNKNOWN, "{output}");
    assert_eq!(output.out, "half");
}

#[test]
fn wait_looks_until_the_job_has_ended() {
    let server = support::ScriptedServer::start([
        ServerReply::Json(200, records::waiting_job()),
        ServerReply::Hangup,
        ServerReply::Json(200, records::job("running")),
        ServerReply::Json(200, records::job("done")),
    ]);
    let output =
        server.run_caller(&["wait", records::JOB, "--pause", "1ms", "--pause-limit", "1ms"]);
    assert_eq!(output.status, exit::DONE, "{output}");
    assert_eq!(server.seen().len(), 4);
    insta::assert_snapshot!(output);
}

/// Symptom: an accepted configuration is reported as a conflict. Sequence: the answer is lost, the
/// repeat meets the version that the first attempt made. Cause: the repeat looks like another draft.
#[test]
fn proposal_keeps_its_id_over_repeats() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/association.config.yaml");
    let server = support::ScriptedServer::start([
        ServerReply::Hangup,
        ServerReply::Json(201, json!({"version": 6})),
    ]);
    let output =
        server.run_operator(&["config", "apply", example, "--base", "5", "--note", "a change"]);
    assert_eq!(output.status, exit::DONE, "{output}");
    let proposals = server
        .seen()
        .iter()
        .map(|it| serde_json::from_slice::<serde_json::Value>(&it.body).expect("JSON"))
        .map(|it| it["proposal"].as_str().expect("an id").to_owned())
        .collect::<Vec<_>>();
    assert_eq!(proposals.len(), 2);
    assert_eq!(proposals[0], proposals[1]);
}

#[test]
fn jobs_are_read_page_by_page() {
    let server = support::ScriptedServer::start([
        ServerReply::Json(200, json!({"jobs": [records::job("done")], "next": records::JOB})),
        ServerReply::Json(200, json!({"jobs": [records::job("done")]})),
    ]);
    let output = server.run_caller(&["jobs"]);
    assert_eq!(output.status, exit::DONE, "{output}");
    let paths = server.seen().into_iter().map(|it| it.path).collect::<Vec<_>>();
    assert_eq!(paths, ["/v1/jobs?limit=100", &format!("/v1/jobs?limit=99&after={}", records::JOB)]);
}
