//! Validation of submitted job graphs.

use almondpass_schema::model;
use thiserror::Error;

/// Most tasks of one job graph. The target size of the system is 19,000 tasks at a time in total.
const MAX_TASKS: u64 = 19_000;

/// Most steps of one job graph; far above the 3 steps seen in practice.
pub const MAX_STEPS: usize = 1_000;

/// Longest body of a job graph, in bytes.
const MAX_BODY_LEN: usize = 4_000;

/// Why a job graph is rejected.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum GraphFault {
    /// The graph has no steps, or too many.
    #[error("steps: expected 1 to {MAX_STEPS}, found {found}")]
    Steps {
        /// Number of steps.
        found: usize,
    },
    /// A step has no tasks.
    #[error("steps[{step}].count: expected at least 1, found 0")]
    NoTasks {
        /// Index of the step.
        step: usize,
    },
    /// The graph has too many tasks in all runs together.
    #[error("steps: expected at most {MAX_TASKS} tasks, found {found}")]
    Tasks {
        /// Number of tasks.
        found: u64,
    },
    /// A step waits for itself or for a later step.
    #[error("steps[{step}].after: expected an earlier step, found {found}")]
    Order {
        /// Index of the step.
        step: usize,
        /// Index of the step that it waits for.
        found: u32,
    },
    /// The body is too long.
    #[error("spec: expected at most {MAX_BODY_LEN} bytes, found {found}")]
    Body {
        /// Length in bytes.
        found: usize,
    },
}

/// Checks that a job graph is within the limits and that its steps only wait for earlier ones.
pub fn check(graph: &model::JobGraph) -> Result<(), GraphFault> {
    let n_steps = graph.steps.len();
    if n_steps == 0 || n_steps > MAX_STEPS {
        return Err(GraphFault::Steps { found: n_steps });
    }
    if graph.body.len() > MAX_BODY_LEN {
        return Err(GraphFault::Body { found: graph.body.len() });
    }
    let runs = graph.schedule.as_ref().map_or(1, |it| it.runs.get());
    let of_run = graph.steps.iter().map(|it| u64::from(it.tasks)).sum::<u64>();
    let n_tasks = of_run.saturating_mul(u64::from(runs));
    if n_tasks > MAX_TASKS {
        return Err(GraphFault::Tasks { found: n_tasks });
    }
    for (step, it) in graph.steps.iter().enumerate() {
        if it.tasks == 0 {
            return Err(GraphFault::NoTasks { step });
        }
        if let Some(found) = it.after.iter().find(|it| **it as usize >= step) {
            return Err(GraphFault::Order { step, found: *found });
        }
    }
    Ok(())
}
