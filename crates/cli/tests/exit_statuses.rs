//! Each way of not being done has an exit status and a message of its own.

mod support;

use almondpass_cli::exit;
use serde_json::json;
use support::{ServerReply, records};

/// Runs the program as a caller and compares everything it wrote.
fn check(
    name: &str,
    arguments: &[&str],
    replies: impl IntoIterator<Item = ServerReply>,
    expected: exit::ExitStatus,
) {
    let server = support::ScriptedServer::start(replies);
    let output = server.run_caller(arguments);
    insta::assert_snapshot!(name, output);
    assert_eq!(output.status, expected, "{output}");
}

macro_rules! statuses {
    ($($name:ident: $arguments:expr, $replies:expr => $status:ident;)*) => {
        $(#[test]
        fn $name() {
            check(stringify!($name), &$arguments, $replies, exit::$status);
        })*
    };
}

const WAIT: [&str; 6] = ["wait", records::JOB, "--pause", "1ms", "--pause-limit", "1ms"];

statuses! {
    refused: ["submit", "ageing-trend"],
        [ServerReply::Json(503, records::problem(503, "not_run"))] => REFUSED;
    refused_as_json: ["submit", "ageing-trend", "--json"],
        [ServerReply::Json(503, records::problem(503, "not_run"))] => REFUSED;
    failed: ["submit", "ageing-trend"],
        [ServerReply::Json(502, records::problem(502, "failed"))] => FAILED;
    unknown: ["submit", "ageing-trend"],
        [ServerReply::Json(504, records::problem(504, "unknown"))] => UNKNOWN;
    answer_lost: ["submit", "ageing-trend"], [ServerReply::Hangup] => UNKNOWN;
    answer_to_a_question_lost: ["status", records::JOB], [ServerReply::Hangup] => UNREACHABLE;
    answer_is_no_json: ["status", records::JOB], [ServerReply::Text(200, "hello")] => UNREACHABLE;
    error_without_details: ["status", records::JOB],
        [ServerReply::Text(404, "not here")] => REFUSED;
    job_failed: WAIT, [ServerReply::Json(200, records::job("failed"))] => FAILED;
    job_not_run: WAIT, [ServerReply::Json(200, records::job("not_run"))] => REFUSED;
    job_unknown: WAIT, [ServerReply::Json(200, records::job("unknown"))] => UNKNOWN;
    job_cancelled: WAIT, [ServerReply::Json(200, records::job("cancelled"))] => FAILED;
    job_unended: ["wait", records::JOB, "--pause", "1ms", "--within", "0s"],
        [ServerReply::Json(200, records::waiting_job())] => UNKNOWN;
    body_for_a_job: ["submit", "check", "--body", "x", "--tasks", "2"],
        [ServerReply::Hangup] => USAGE;
    no_body_file: ["submit", "check", "--body", "no-such-file"], [ServerReply::Hangup] => USAGE;
}

#[test]
fn no_server() {
    let output = support::run(&["status", records::JOB, "--server", "127.0.0.1:1", "--key", "k"]);
    assert_eq!(output.status, exit::UNREACHABLE, "{output}");
    insta::assert_snapshot!(output);
}

#[test]
fn no_port() {
    let output = support::run(&["status", records::JOB, "--server", "almond", "--key", "k"]);
    assert_eq!(output.status, exit::USAGE, "{output}");
    insta::assert_snapshot!(output);
}

#[test]
fn no_certificates_for_https() {
    let output =
        support::run(&["status", records::JOB, "--server", "https://127.0.0.1:1", "--key", "k"]);
    assert_eq!(output.status, exit::USAGE, "{output}");
    insta::assert_snapshot!(output);
}

#[test]
fn conflict_of_two_operators() {
    let summary = json!({
        "version": 6,
        "accepted_at": "2026-03-01T06:00:00.000Z",
        "operator": "ravi",
        "note": "more for kutch",
    });
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/laboratories.config.yaml");
    let text = std::fs::read_to_string(example).expect("the example");
    let document: serde_json::Value = serde_yaml_ng::from_str(&text).expect("YAML");
    let change =
        json!({"path": "accounts[kutch].limits.queued_jobs", "before": "10", "after": "20"});
    let server = support::ScriptedServer::start([ServerReply::Json(
        409,
        json!({"base": 5, "newest": summary, "document": document, "theirs": [change], "yours": [change],
            "both": [change["path"]], "merged": document}),
    )]);
    let output =
        server.run_operator(&["config", "apply", example, "--base", "5", "--note", "a change"]);
    assert_eq!(output.status, exit::REFUSED, "{output}");
    insta::assert_snapshot!(output);
}

#[test]
fn faulty_document() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.yaml");
    std::fs::write(&path, "site: test\n").expect("write the file");
    let path = path.to_str().expect("a text path");
    let output = support::run(&["config", "check", path]);
    assert_eq!(output.status, exit::REFUSED, "{output}");
    insta::assert_snapshot!(output.err.replace(path, "FILE"));
}
