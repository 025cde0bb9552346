//! Problems that more than one step can run into.

use almondpass_schema::model;

use crate::attempt_log;
use crate::exchange;
use crate::problem;
use crate::upload_body;

/// Kind of problem that a scheduler's refusal is.
pub fn kind_of(code: model::WaitCode) -> problem::ProblemKind {
    match code {
        model::WaitCode::NeverFits => problem::ProblemKind::NeverFits,
        model::WaitCode::AccountLimit => problem::ProblemKind::AccountLimit,
        model::WaitCode::DeadlineMissed => problem::ProblemKind::DeadlinePassed,
        model::WaitCode::UnknownClass
        | model::WaitCode::UnknownAccount
        | model::WaitCode::KeyTooOld
        | model::WaitCode::KeyRequired
        | model::WaitCode::NotPermitted
        | model::WaitCode::JobFaulty => problem::ProblemKind::InvalidRequest,
        model::WaitCode::UpstreamUnavailable
        | model::WaitCode::StoreUnavailable
        | model::WaitCode::SchedulerStarting
        | model::WaitCode::ShuttingDown => problem::ProblemKind::Unavailable,
        _ => problem::ProblemKind::Busy,
    }
}

/// No hall has the upstream.
pub fn no_hall(outcome: model::RequestOutcome, upstream: &str) -> problem::Problem {
    let detail = format!("expected a hall with upstream `{upstream}`, found none");
    problem::Problem::new(problem::ProblemKind::Unavailable, outcome, "hall.choice", detail)
}

/// The deadline passed, or will.
pub fn too_late(outcome: model::RequestOutcome, step: &str) -> problem::Problem {
    let kind = problem::ProblemKind::DeadlinePassed;
    problem::Problem::new(kind, outcome, step, "expected an answer by the deadline, found none")
}

/// The caller's body did not arrive whole.
pub fn upload_problem(
    fault: &upload_body::UploadFault,
    outcome: model::RequestOutcome,
) -> problem::Problem {
    let kind = match fault {
        upload_body::UploadFault::TooLarge(_) => problem::ProblemKind::BodyTooLarge,
        upload_body::UploadFault::Late => problem::ProblemKind::DeadlinePassed,
        upload_body::UploadFault::Idle(_) => problem::ProblemKind::RequestTimeout,
        upload_body::UploadFault::Cut(_) => problem::ProblemKind::InvalidRequest,
    };
    problem::Problem::new(kind, outcome, "request.body", fault.to_string())
}

/// The last attempt came to nothing.
pub fn exchange_problem(
    attempts: &attempt_log::AttemptLog,
    error: &exchange::ExchangeError,
) -> problem::Problem {
    let outcome = attempts.outcome();
    let problem = match &error.fault {
        exchange::ExchangeFault::Upload(fault) => return upload_problem(fault, outcome),
        exchange::ExchangeFault::TimedOut => too_late(outcome, "upstream.exchange"),
        fault => {
            let kind = problem::ProblemKind::UpstreamFailed;
            problem::Problem::new(kind, outcome, "upstream.exchange", fault.to_string())
        }
    };
    problem.at(error.peer.clone())
}
