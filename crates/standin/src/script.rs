//! How the tasks of a fake worker run.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_schema::{ids, model, time};
use serde::{Deserialize, Serialize};

use crate::state;

/// How one task runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskScript {
    /// Time until it ends by itself.
    pub run: time::TimeSpan,
    /// How it ends.
    #[serde(default = "succeeded")]
    pub exit: model::TaskExit,
    /// Time that a checkpoint takes; absent where the task cannot.
    #[serde(default)]
    pub checkpoint: Option<time::TimeSpan>,
    /// Cores that it uses, as a share of those it asked for.
    #[serde(default = "full_use")]
    pub use_of_cores: f64,
}

/// Chooses the script of a task: one set for its job, else one written as JSON in the task's
/// arguments, else the usual one. Clones share it.
#[derive(Clone, Debug)]
pub struct TaskScripts {
    state: Arc<Mutex<BookState>>,
}

#[derive(Debug)]
struct BookState {
    usual: TaskScript,
    jobs: BTreeMap<ids::JobId, TaskScript>,
}

/// Run time of the usual script.
const USUAL_RUN: Duration = Duration::from_secs(10);

/// Time that a checkpoint takes in the usual script.
const USUAL_CHECKPOINT: Duration = Duration::from_millis(500);

impl TaskScript {
    /// Succeeds after `run`.
    pub fn lasting(run: Duration) -> TaskScript {
        let run = time::TimeSpan(run);
        let checkpoint = Some(time::TimeSpan(USUAL_CHECKPOINT));
        TaskScript { run, exit: succeeded(), checkpoint, use_of_cores: full_use() }
    }

    /// Fails after `run`, wherever it runs.
    pub fn failing(run: Duration) -> TaskScript {
        let reason = "scripted failure".to_owned();
        TaskScript { exit: model::TaskExit::Failed { reason }, ..TaskScript::lasting(run) }
    }
}

impl Default for TaskScripts {
    fn default() -> TaskScripts {
        let usual = TaskScript::lasting(USUAL_RUN);
        TaskScripts { state: Arc::new(Mutex::new(BookState { usual, jobs: BTreeMap::new() })) }
    }
}

impl TaskScripts {
    /// Changes the usual script.
    pub fn set_default(&self, script: TaskScript) {
        state::lock(&self.state).usual = script;
    }

    /// Sets the script of one job's tasks.
    pub fn set_job_script(&self, job: ids::JobId, script: TaskScript) {
        state::lock(&self.state).jobs.insert(job, script);
    }

    pub(crate) fn script(&self, start: &model::TaskStart) -> TaskScript {
        let state = state::lock(&self.state);
        let set = state.jobs.get(&start.job).cloned();
        let set = set.or_else(|| serde_json::from_slice(&start.arguments).ok());
        set.unwrap_or_else(|| state.usual.clone())
    }
}

fn succeeded() -> model::TaskExit {
    model::TaskExit::Succeeded
}

fn full_use() -> f64 {
    1.0
}
