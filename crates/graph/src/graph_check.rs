//! What a job graph must fulfil to be accepted.

use almondpass_schema::model;
use thiserror::Error;

/// Most tasks of one job graph: the size to build towards has 19,000 tasks at a time in all.
const MOST_TASKS: u64 = 19_000;

/// Most steps of one job graph; far above the 3 that were seen.
const MOST_STEPS: usize = 1_000;

/// Longest body of a job graph, in bytes.
const LONGEST_BODY: usize = 4_000;

/// Why a job graph can never run.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum GraphFault {
    /// No steps, or too many.
    #[error("steps: expected 1 to {MOST_STEPS}, found {found}")]
    Steps {
        /// How many.
        found: usize,
    },
    /// A step without tasks.
    #[error("steps[{step}].count: expected at least 1, found 0")]
    NoTasks {
        /// The step.
        step: usize,
    },
    /// Too many tasks in all.
    #[error("steps: expected at most {MOST_TASKS} tasks, found {found}")]
    Tasks {
        /// How many.
        found: u64,
    },
    /// A step that waits for itself or a later one.
    #[error("steps[{step}].after: expected an earlier step, found {found}")]
    Order {
        /// The step.
        step: usize,
        /// What it waits for.
        found: u32,
    },
    /// The body is too long.
    #[error("spec: expected at most {LONGEST_BODY} bytes, found {found}")]
    Body {
        /// Its length.
        found: usize,
    },
}

/// Checks a job graph.
pub fn check(graph: &model::JobGraph) -> Result<(), GraphFault> {
    let n_steps = graph.steps.len();
    if n_steps == 0 || n_steps > MOST_STEPS {
        return Err(GraphFault::Steps { found: n_steps });
    }
    if graph.body.len() > LONGEST_BODY {
        return Err(GraphFault::Body { found: graph.body.len() });
    }
    let runs = graph.schedule.as_ref().map_or(1, |it| it.runs.get());
    let of_run = graph.steps.iter().map(|it| u64::from(it.tasks)).sum::<u64>();
    let n_tasks = of_run.saturating_mul(u64::from(runs));
    if n_tasks > MOST_TASKS {
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
