//! Texts of the reasons that operators and callers see.

use std::time::Duration;

use almondpass_schema::{model, time};

use crate::catalog::ClassRule;
use crate::event;
use crate::work;

/// A reason without an expected end.
pub(crate) fn plain(code: model::WaitCode, text: impl Into<String>) -> model::WaitReason {
    model::WaitReason { code, text: text.into(), until: None }
}

/// A reason with the time at which it is expected to no longer apply.
pub(crate) fn until(
    code: model::WaitCode,
    text: impl Into<String>,
    until: time::WallTime,
) -> model::WaitReason {
    model::WaitReason { code, text: text.into(), until: Some(until) }
}

/// The time of day in UTC, as `HH:MM`.
pub(crate) fn clock(at: time::WallTime) -> String {
    let minutes = at.0.as_secs() / 60;
    format!("{:02}:{:02}", minutes / 60 % 24, minutes % 60)
}

/// A duration in whole seconds, or in milliseconds if shorter than one second.
pub(crate) fn span(span: Duration) -> String {
    if span < Duration::from_secs(1) {
        return format!("{} ms", span.as_millis());
    }
    time::TimeSpan::from_secs(span.as_secs()).to_string()
}

/// A number with its noun, which gets an `s` in the plural: `1 worker`, `2 workers`.
pub(crate) fn count(n: usize, noun: &str) -> String {
    if n == 1 { format!("1 {noun}") } else { format!("{n} {noun}s") }
}

/// The resources that a task needs, without upstream slots.
pub(crate) fn demand(demand: &work::TaskDemand) -> String {
    let accelerators = count(demand.accelerators as usize, "accelerator");
    let cores = count(demand.cores as usize, "core");
    format!("{accelerators}, {cores} and {} MiB", demand.memory_mb)
}

pub(crate) fn cancelled() -> model::WaitReason {
    plain(model::WaitCode::Queued, "cancelled by its caller")
}

pub(crate) fn done() -> model::WaitReason {
    plain(model::WaitCode::Queued, "ended well")
}

pub(crate) fn failed() -> model::WaitReason {
    plain(model::WaitCode::JobFaulty, "failed, and is not retried here")
}

pub(crate) fn failed_retry() -> model::WaitReason {
    plain(model::WaitCode::Queued, "failed; tried again on another worker")
}

pub(crate) fn faulty(n_workers: usize, n_failures: u32) -> model::WaitReason {
    let workers = count(n_workers, "healthy worker");
    plain(
        model::WaitCode::JobFaulty,
        format!("failed {n_failures} times, on {workers}: the job is at fault, not the workers"),
    )
}

pub(crate) fn stopped() -> model::WaitReason {
    plain(model::WaitCode::Queued, "stopped; queued again with its age and checkpoint")
}

pub(crate) fn worker_lost(worker: &str) -> model::WaitReason {
    plain(model::WaitCode::Queued, format!("lost with worker {worker}"))
}

pub(crate) fn saved() -> model::WaitReason {
    plain(model::WaitCode::Queued, "saves its run, and goes on")
}

pub(crate) fn checkpoint_kept() -> model::WaitReason {
    plain(model::WaitCode::Reclaiming, "its checkpoint is kept; stopped")
}

pub(crate) fn grace_over() -> model::WaitReason {
    plain(model::WaitCode::Reclaiming, "the grace for its checkpoint is over; stopped")
}

pub(crate) fn start_failed(fault: event::StartFault) -> model::WaitReason {
    let why = match fault {
        event::StartFault::Refused => "a worker refused the reservation",
        event::StartFault::Unreachable => "a worker did not answer",
        event::StartFault::Failed => "a worker could not start its task",
        event::StartFault::Withdrawn => "the start was withdrawn",
    };
    plain(model::WaitCode::Queued, format!("{why}; the start was rolled back whole"))
}

pub(crate) fn throttled(rule: &ClassRule) -> model::WaitReason {
    let text = format!("runs longer than {} of class {}", span(rule.max_run), rule.name);
    plain(model::WaitCode::Queued, text)
}

pub(crate) fn overran(rule: &ClassRule) -> model::WaitReason {
    let limit = span(rule.max_run);
    let text = format!("ran far beyond the limit of {limit} of class {}", rule.name);
    plain(model::WaitCode::JobFaulty, text)
}

pub(crate) fn deadline(deadline: time::WallTime, least_run: Duration) -> model::WaitReason {
    let text = if least_run.is_zero() {
        format!("its deadline of {} has passed", clock(deadline))
    } else {
        let least = span(least_run);
        format!("can't end by its deadline of {}: runs take {least} or more", clock(deadline))
    };
    plain(model::WaitCode::DeadlineMissed, text)
}
