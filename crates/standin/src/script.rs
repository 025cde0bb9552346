//! Scripts for the tasks of a fake worker: run time, exit, checkpoints and use of cores.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_schema::{ids, model, time};
use serde::{Deserialize, Serialize};

use crate::state;

/// Behavior of one task. Callers may write it as JSON in the arguments of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskScript {
    /// Time from the start until the task ends by itself.
    pub run: time::TimeSpan,
    /// Exit that the task reports when it ends by itself.
    #[serde(default = "succeeded")]
    pub exit: model::TaskExit,
    /// Duration of a checkpoint; absent if the task can't write checkpoints.
    #[serde(default)]
    pub checkpoint: Option<time::TimeSpan>,
    /// Cores that the task uses, as a share of the cores of its lease (1.0 is all).
    #[serde(default = "full_use")]
    pub use_of_cores: f64,
}

/// Chooses the script of a task: the one that the test set for the job, else one written as JSON in the
/// task's arguments, else the default script. Clones share their scripts.
#[derive(Clone, Debug)]
pub struct TaskScripts {
    state: Arc<Mutex<ScriptState>>,
}

#[derive(Debug)]
struct ScriptState {
    default_script: TaskScript,
    job_scripts: BTreeMap<ids::JobId, TaskScript>,
}

/// Run time of a task whose job and arguments give no script.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(10);

/// Duration of a checkpoint in the scripts that this module builds.
const DEFAULT_CHECKPOINT_TIME: Duration = Duration::from_millis(500);

impl TaskScript {
    /// A task that succeeds after `run` and can write checkpoints.
    pub fn lasting(run: Duration) -> TaskScript {
        let run = time::TimeSpan(run);
        let checkpoint = Some(time::TimeSpan(DEFAULT_CHECKPOINT_TIME));
        TaskScript { run, exit: succeeded(), checkpoint, use_of_cores: full_use() }
    }

    /// A task that fails after `run`, on any worker.
    pub fn failing(run: Duration) -> TaskScript {
        let reason = "scripted failure".to_owned();
        TaskScript { exit: model::TaskExit::Failed { reason }, ..TaskScript::lasting(run) }
    }
}

impl Default for TaskScripts {
    fn default() -> TaskScripts {
        let default_script = TaskScript::lasting(DEFAULT_RUN_TIME);
        TaskScripts {
            state: Arc::new(Mutex::new(ScriptState {
                default_script,
                job_scripts: BTreeMap::new(),
            })),
        }
    }
}

impl TaskScripts {
    /// Sets the script of tasks whose job and arguments give none.
    pub fn set_default(&self, script: TaskScript) {
        state::lock(&self.state).default_script = script;
    }

    /// Sets the script of all tasks of one job; it takes precedence over a script in their arguments.
    pub fn set_job_script(&self, job: ids::JobId, script: TaskScript) {
        state::lock(&self.state).job_scripts.insert(job, script);
    }

    pub(crate) fn script(&self, start: &model::TaskStart) -> TaskScript {
        let state = state::lock(&self.state);
        let chosen = state.job_scripts.get(&start.job).cloned();
        let chosen = chosen.or_else(|| serde_json::from_slice(&start.arguments).ok());
        chosen.unwrap_or_else(|| state.default_script.clone())
    }
}

fn succeeded() -> model::TaskExit {
    model::TaskExit::Succeeded
}

fn full_use() -> f64 {
    1.0
}
