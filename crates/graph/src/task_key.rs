//! Keys of tasks, and of the units that are placed together.

use std::fmt;
use std::str::FromStr;

use almondpass_schema::ids;
use thiserror::Error;

/// Key of one task of a job graph. Written as `GRAPH.OCCURRENCE.STEP.TASK`, with the graph as 16
/// hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Id of the job graph.
    pub graph: ids::GraphId,
    /// Number of the scheduled run, from 0; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Number of the step within the run, from 0.
    pub step: u32,
    /// Number of the task within the step, from 0.
    pub task: u32,
}

/// Key of a unit of placement: a gang, or a single task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitKey {
    /// Id of the job graph.
    pub graph: ids::GraphId,
    /// Index of the step, over all runs of the job graph.
    pub step: u32,
    /// Number of the task within the step; `None` for a gang.
    pub task: Option<u32>,
}

/// Error for a text that is not the key of a task.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("expected GRAPH.OCCURRENCE.STEP.TASK")]
pub struct TaskKeyFault;

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}.{}", self.graph, self.occurrence, self.step, self.task)
    }
}

impl FromStr for TaskKey {
    type Err = TaskKeyFault;

    fn from_str(text: &str) -> Result<TaskKey, TaskKeyFault> {
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or(TaskKeyFault);
        let graph = parse_graph(part()?).ok_or(TaskKeyFault)?;
        let mut number = || part()?.parse::<u32>().map_err(|_| TaskKeyFault);
        let key = TaskKey { graph, occurrence: number()?, step: number()?, task: number()? };
        if parts.next().is_some() { Err(TaskKeyFault) } else { Ok(key) }
    }
}

/// The task with whose row the failures of a gang are saved: its first one.
pub fn gang_failures_key(member: TaskKey) -> TaskKey {
    TaskKey { task: 0, ..member }
}

/// Parses a job graph's id, written as 16 lower-case hexadecimal digits; `None` for any other text.
pub fn parse_graph(text: &str) -> Option<ids::GraphId> {
    let is_digit = |it: u8| it.is_ascii_digit() || (b'a'..=b'f').contains(&it);
    if text.len() != 16 || !text.bytes().all(is_digit) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
