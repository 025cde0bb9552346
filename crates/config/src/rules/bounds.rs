//! The objective's weights and the policy's bounds.

use std::time::Duration;

use almondpass_schema::{model, time};

use crate::fault;
use crate::path;

/// How far the weights' sum may be from 1: thirds are written with a few digits.
const WEIGHT_SLACK: f64 = 1e-3;
/// Longest wait that still deserves to be called urgent.
const MAX_URGENT_START: Duration = Duration::from_secs(60);
/// Longest bound of any kind; a longer one is a slip of the pen.
const MAX_BOUND: Duration = Duration::from_secs(400 * 24 * 60 * 60);
/// Largest factor by which a task may overrun.
const MAX_OVERRUN: f64 = 100.0;

pub(super) fn check(document: &model::ConfigDocument, faults: &mut fault::FaultList<'_>) {
    let root = path::FieldPath::root();
    let site = root.member("site");
    faults.require(!document.site.trim().is_empty(), &site, "a name of the deployment", "none");
    check_objective(&document.objective, &root.member("objective"), faults);
    check_bounds(&document.bounds, &root.member("bounds"), faults);
    check_window(document, &root.member("bounds").member("idempotency_window"), faults);
    check_retention(&document.bounds, &root.member("bounds").member("job_retention"), faults);
}

fn check_objective(
    objective: &model::ObjectiveWeights,
    path: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    let weights = [
        ("completion_time", objective.completion_time),
        ("fragmentation", objective.fragmentation),
    ];
    for (name, weight) in weights {
        let in_range = (0.0..=1.0).contains(&weight);
        faults.require(in_range, &path.member(name), "a weight from 0 to 1", weight);
    }
    let sum = objective.completion_time + objective.fragmentation;
    faults.require(
        (sum - 1.0).abs() <= WEIGHT_SLACK,
        path,
        "weights that sum to 1",
        format_args!("a sum of {sum}"),
    );
}

fn check_bounds(
    bounds: &model::PolicyBounds,
    path: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    let spans = [
        ("reclaim", bounds.reclaim),
        ("urgent_start", bounds.urgent_start),
        ("ageing_step", bounds.ageing_step),
        ("gang_wait", bounds.gang_wait),
        ("idempotency_window", bounds.idempotency_window),
        ("job_retention", bounds.job_retention),
    ];
    for (name, span) in spans {
        let in_range = Duration::ZERO < span.0 && span.0 <= MAX_BOUND;
        let expected = format!("more than 0s and at most {}", time::TimeSpan(MAX_BOUND));
        faults.require(in_range, &path.member(name), expected, span);
    }
    // The grace is a part of the reclaim; what remains is for stopping the task and for the
    // worker's answer. A grace as long as the bound would miss it every time.
    faults.require(
        bounds.checkpoint_grace < bounds.reclaim,
        &path.member("checkpoint_grace"),
        format!("less than bounds.reclaim, {}", bounds.reclaim),
        bounds.checkpoint_grace,
    );
    faults.require(
        bounds.urgent_start.0 <= MAX_URGENT_START,
        &path.member("urgent_start"),
        format!("at most {}", time::TimeSpan(MAX_URGENT_START)),
        bounds.urgent_start,
    );
    faults.require(
        (1.0..=MAX_OVERRUN).contains(&bounds.overrun),
        &path.member("overrun"),
        format!("a factor from 1 to {MAX_OVERRUN}"),
        bounds.overrun,
    );
}

/// A caller that retries within its deadline must find its key still known: a window shorter
/// than the deadline would let one request run twice.
fn check_window(
    document: &model::ConfigDocument,
    path: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    let once = document.classes.iter().filter(|it| !it.repeatable);
    let Some(longest) = once.max_by_key(|it| it.deadline) else {
        return;
    };
    let window = document.bounds.idempotency_window;
    let expected =
        format!("at least the deadline of the class {}, {}", longest.name, longest.deadline);
    faults.require(longest.deadline <= window, path, expected, window);
}

/// A job's row is the record of its key. Were it dropped while the key is still accepted, the job
/// submitted again would be taken for a new one and run a second time; its caller would find two
/// outcomes under one key.
fn check_retention(
    bounds: &model::PolicyBounds,
    path: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    let (window, retention) = (bounds.idempotency_window, bounds.job_retention);
    let expected = format!("at least bounds.idempotency_window, {window}");
    faults.require(window <= retention, path, expected, retention);
}
