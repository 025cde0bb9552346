//! Runs one case of the review: `review-standins CASE ROOT FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cancelled_job;
mod cluster;
mod http;
mod noted_end;
mod record;
mod store;
mod timed_jobs;
mod unreached_worker;
mod waiting_start;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time;

/// Time limit of a case.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Outcome of a case.
#[derive(Clone, Debug)]
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> ExitCode {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    let [case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = record::Record::create(&PathBuf::from(folder).join("record.txt")) else {
        eprintln!("record.txt can't be written");
        return ExitCode::from(2);
    };
    record.line(format!("case {case}, with the disruption: {has_trouble}"));
    let root = PathBuf::from(root);
    let running = async {
        match case.as_str() {
            "waiting-start" => waiting_start::run(&root, &record, has_trouble).await,
            "cancelled-job" => cancelled_job::run(&root, &record, has_trouble).await,
            "noted-end" => noted_end::run(&root, &record, has_trouble).await,
            "unreached-worker" => unreached_worker::run(&root, &record, has_trouble).await,
            "timed-jobs" => timed_jobs::run(&root, &record, has_trouble).await,
            other => Verdict::NotRun(format!("no case {other}")),
        }
    };
    let verdict = tokio::select! {
        ended = time::timeout(TIME_LIMIT, running) => {
            ended.unwrap_or_else(|_| Verdict::NotRun("time limit".to_owned()))
        }
        () = asked_to_end() => Verdict::NotRun("asked to end".to_owned()),
    };
    let (text, code) = match verdict {
        Verdict::Held(text) => (format!("the rule held: {text}"), 0),
        Verdict::Broken(text) => (format!("the rule is broken: {text}"), 1),
        Verdict::NotRun(text) => (format!("the case could not run: {text}"), 2),
    };
    record.line(text);
    ExitCode::from(code)
}

/// Returns on SIGINT or SIGTERM, so that the processes that were started are ended too.
async fn asked_to_end() {
    let (Ok(mut interrupt), Ok(mut terminate)) =
        (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}
