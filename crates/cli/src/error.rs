//! What can go wrong, said to the user: the step, the peer, what was expected and what was found.

use std::fmt::Write;
use std::io;
use std::path::PathBuf;

use almondpass_schema::{ids, model};
use thiserror::Error;

use crate::exit;

/// Why the program did not do what it was asked.
#[derive(Debug, Error)]
pub(crate) enum Error {
    /// The runtime did not start.
    #[error("start the runtime: {source}")]
    Runtime { source: io::Error },
    /// The answer could not be written.
    #[error("write the output: {0}")]
    Output(#[from] io::Error),
    /// A local file could not be read.
    #[error("read {}: expected a readable file, found {source}", path.display())]
    ReadFile { path: PathBuf, source: io::Error },
    /// A configuration document on this machine has faults.
    #[error("{}: expected a valid configuration, found {} in it:{}",
        path.display(), counted(.faults.len(), "fault"), listed_faults(.faults))]
    Document { path: PathBuf, faults: Vec<model::ConfigFault> },
    /// The address of a server makes no sense.
    #[error(
        "expected a server such as `10.0.0.7:7000` or `https://10.0.0.7:7000`, found `{found}`"
    )]
    Address { found: String },
    /// An `https://` server and no certificates to trust.
    #[error("expected a file of certificates for the `https://` server by --ca, found none")]
    CertificatesMissing,
    /// The certificates to trust cannot be used.
    #[error("read certificates {}: expected PEM certificates, found {detail}", path.display())]
    Certificates { path: PathBuf, detail: String },
    /// A value that cannot travel in a header.
    #[error("expected a value of visible characters for {header}, found another")]
    HeaderValue { header: &'static str },
    /// Nothing reached the server.
    #[error("{step} at {peer}: expected a connection, found {detail}; nothing was sent")]
    Unreachable { step: &'static str, peer: String, detail: String },
    /// The answer to a question is missing; asking has no effect.
    #[error("{step} at {peer}: expected an answer, found {detail}")]
    NoAnswer { step: &'static str, peer: String, detail: String },
    /// The answer to something with an effect is missing.
    #[error("{step} at {peer}: expected an answer, found {detail}; it may have taken effect")]
    AnswerLost { step: &'static str, peer: String, detail: String },
    /// The server answered with a problem.
    #[error("{step} at {peer}: {}", problem_text(.problem))]
    Problem { step: &'static str, peer: String, problem: Box<model::ProblemDetails> },
    /// The server answered with an error and no problem details.
    #[error("{step} at {peer}: expected a result, found status {status}{}", detail_text(.detail))]
    Status { step: &'static str, peer: String, status: u16, detail: String },
    /// The server found faults in a configuration document.
    #[error("{step} at {peer}: expected a valid configuration, found {} in it:{}",
        counted(.faults.len(), "fault"), listed_faults(.faults))]
    Faults { step: &'static str, peer: String, faults: Vec<model::ConfigFault> },
    /// Another operator was first.
    #[error("{step} at {peer}: {}", conflict_text(.conflict))]
    Conflict { step: &'static str, peer: String, conflict: Box<model::ConfigConflict> },
    /// A job ended otherwise than well.
    #[error("job {job}: expected it to be done, found {state}{}", reason_text(.reason.as_ref()))]
    JobEnded { job: ids::JobId, state: model::JobState, reason: Option<model::WaitReason> },
    /// A job did not end in the time given.
    #[error("job {job}: expected it to end within {limit}, found {state}; it goes on")]
    JobUnended { job: ids::JobId, state: model::JobState, limit: almondpass_schema::time::TimeSpan },
    /// Something that an operator named is not there.
    #[error("expected {what} `{name}`, found none of this name")]
    NotFound { what: &'static str, name: String },
}

impl Error {
    /// Exit status that tells this apart for scripts.
    pub(crate) fn exit_status(&self) -> exit::ExitStatus {
        match self {
            Error::Runtime { .. } | Error::Output(_) => exit::LOCAL,
            Error::ReadFile { .. }
            | Error::Address { .. }
            | Error::CertificatesMissing
            | Error::Certificates { .. }
            | Error::HeaderValue { .. } => exit::USAGE,
            Error::Document { .. }
            | Error::Faults { .. }
            | Error::Conflict { .. }
            | Error::NotFound { .. } => exit::REFUSED,
            Error::Unreachable { .. } | Error::NoAnswer { .. } => exit::UNREACHABLE,
            Error::AnswerLost { .. } | Error::JobUnended { .. } => exit::UNKNOWN,
            Error::Problem { problem, .. } => outcome_status(problem.outcome),
            Error::Status { status, .. } if *status < 500 => exit::REFUSED,
            Error::Status { .. } => exit::UNKNOWN,
            Error::JobEnded { state, .. } => match state {
                model::JobState::NotRun => exit::REFUSED,
                model::JobState::Unknown => exit::UNKNOWN,
                _ => exit::FAILED,
            },
        }
    }

    /// What a program reads instead of a result, where there is more than the message.
    pub(crate) fn body(&self) -> Option<serde_json::Value> {
        let body = match self {
            Error::Problem { problem, .. } => serde_json::to_value(problem),
            Error::Conflict { conflict, .. } => serde_json::to_value(conflict),
            Error::Document { faults, .. } | Error::Faults { faults, .. } => {
                serde_json::to_value(model::ConfigFaults { faults: faults.clone() })
            }
            _ => return None,
        };
        body.ok()
    }

    /// Whether the server said that nothing ran and that coming back later helps.
    pub(crate) fn retry_after(&self) -> Option<almondpass_schema::time::TimeSpan> {
        match self {
            Error::Problem { problem, .. } if problem.outcome == model::RequestOutcome::NotRun => {
                problem.retry_after
            }
            _ => None,
        }
    }
}

fn outcome_status(outcome: model::RequestOutcome) -> exit::ExitStatus {
    match outcome {
        model::RequestOutcome::Done => exit::DONE,
        model::RequestOutcome::Failed => exit::FAILED,
        model::RequestOutcome::NotRun => exit::REFUSED,
        model::RequestOutcome::Unknown => exit::UNKNOWN,
    }
}

fn counted(n: usize, noun: &str) -> String {
    if n == 1 { format!("1 {noun}") } else { format!("{n} {noun}s") }
}

fn listed_faults(faults: &[model::ConfigFault]) -> String {
    faults.iter().fold(String::new(), |mut text, it| {
        // Writing to a string does not fail.
        let _ = write!(text, "\n  {}: expected {}, found {}", it.path, it.expected, it.found);
        text
    })
}

fn listed_changes(changes: &[model::ConfigChange]) -> String {
    if changes.is_empty() {
        return " nothing".to_owned();
    }
    changes.iter().fold(String::new(), |mut text, it| {
        let before = it.before.as_deref().unwrap_or("nothing");
        let after = it.after.as_deref().unwrap_or("nothing");
        // Writing to a string does not fail.
        let _ = write!(text, "\n    {}: {before} -> {after}", it.path);
        text
    })
}

fn problem_text(problem: &model::ProblemDetails) -> String {
    let mut text = format!("{} ({}): {}", problem.title, problem.outcome, problem.detail);
    if let Some(reason) = &problem.reason
        && reason.text != problem.detail
    {
        text.push_str(&format!("; {}", reason.text));
    }
    let at = problem.peer.as_deref().map(|it| format!(" with {it}")).unwrap_or_default();
    text.push_str(&format!("; it arose at {}{at}", problem.step));
    if let Some(request) = problem.request {
        text.push_str(&format!("; request {request}"));
    }
    if let Some(span) = problem.retry_after {
        text.push_str(&format!("; come back in {span}"));
    }
    text
}

fn detail_text(detail: &str) -> String {
    if detail.is_empty() { String::new() } else { format!(": {detail}") }
}

fn conflict_text(conflict: &model::ConfigConflict) -> String {
    format!(
        "expected version {} to be the newest, found version {} by {} ({})\n  theirs:{}\n  yours:{}{}",
        conflict.base,
        conflict.newest.version,
        conflict.newest.operator,
        conflict.newest.note,
        listed_changes(&conflict.theirs),
        listed_changes(&conflict.yours),
        changed_by_both(&conflict.both),
    )
}

fn changed_by_both(paths: &[String]) -> String {
    if paths.is_empty() {
        return String::new();
    }
    format!("\n  changed by both: {}", paths.join(", "))
}

fn reason_text(reason: Option<&model::WaitReason>) -> String {
    reason.map(|it| format!(": {}", it.text)).unwrap_or_default()
}
