//! What people see.

mod support;

use serde_json::{Value, json};
use support::{ServerReply, records};

/// Runs the program against a server that answers `body` and compares everything it wrote.
fn check(name: &str, is_operator: bool, arguments: &[&str], body: Value) {
    let server = support::ScriptedServer::start([ServerReply::Json(200, body)]);
    let output = match is_operator {
        true => server.run_operator(arguments),
        false => server.run_caller(arguments),
    };
    insta::assert_snapshot!(name, output);
}

macro_rules! tables {
    ($($name:ident: $operator:literal, $arguments:expr => $body:expr;)*) => {
        $(#[test]
        fn $name() {
            check(stringify!($name), $operator, &$arguments, $body);
        })*
    };
}

tables! {
    status_of_a_waiting_job: false, ["status", records::JOB] => records::waiting_job();
    status_of_a_running_job: false, ["status", records::JOB] => {
        let mut job = records::job("running");
        job["placement"] = json!([
            {"rank": 0, "worker": "rajkot-r1-01", "accelerators": [0, 1], "lease": "job/x/1/0"},
        ]);
        job["checkpoint"] = json!("ckpt-3");
        job["failed_on"] = json!(["rajkot-r1-07"]);
        job
    };
    status_as_json: false, ["status", records::JOB, "--json"] => records::job("running");
    cancelled_job: false, ["cancel", records::JOB] => records::job("cancelled");
    jobs_of_an_account: false, ["jobs", "--limit", "2"] => json!({
        "jobs": [records::waiting_job(), records::job("done")],
        "next": records::JOB,
    });
    submitted_job: false, ["submit", "ageing-trend", "--tasks", "4", "--accelerators", "8"]
        => records::job("queued");
    halls_with_and_without_a_holder: true, ["halls"] => json!({"halls": [
        {"hall": "rajkot", "data_center": "gj-2", "workers": 16, "accelerators": 128, "beat": {
            "hall": "rajkot", "epoch": 7, "free_accelerators": 12, "longest_run": 8, "queued": 3,
            "wait": "1s 500ms",
        }},
        {"hall": "bharuch", "data_center": "gj-3", "workers": 16, "accelerators": 128},
    ]});
    one_hall: true, ["halls", "rajkot"] => records::picture();
    workers_of_two_halls: true, ["workers"] => json!({"halls": [
        {"hall": "rajkot", "workers": [records::worker("rajkot-r1-01", "quarantined")]},
        {"hall": "bharuch", "workers": [], "unavailable": "no scheduler"},
    ]});
    workers_of_no_such_hall: true, ["workers", "--hall", "surat"] => json!({"halls": []});
    upstreams: true, ["upstreams"] => json!({"upstreams": [
        {"upstream": "oil-analysis", "halls": ["rajkot", "bharuch"], "live": 30, "leaving": 2, "drained": false},
    ]});
    drains: true, ["drain", "--worker", "rajkot-r1-01"] => json!({"version": 5, "drains": [
        {"worker": "rajkot-r1-01", "since": "2026-03-01T06:00:00.000Z"},
    ]});
    history: true, ["config", "history"] => json!({"versions": [
        {"version": 5, "accepted_at": "2026-03-01T06:00:00.000Z", "operator": "asha", "note": "drain"},
        {"version": 4, "accepted_at": "2026-02-01T06:00:00.000Z", "operator": "ravi", "note": "start"},
    ], "before": 4});
    instances_in_force: true, ["config", "get", "--instances"] => json!({"version": 5, "instances": [
        {"instance": "instance-a", "version": 5, "leaving": false},
        {"instance": "instance-b", "version": 4, "leaving": true},
    ]});
}

#[test]
fn help() {
    insta::assert_snapshot!(support::run(&["--help"]));
}

#[test]
fn help_of_submit() {
    insta::assert_snapshot!(support::run(&["submit", "--help"]));
}

#[test]
fn help_of_config_apply() {
    insta::assert_snapshot!(support::run(&["config", "apply", "--help"]));
}
