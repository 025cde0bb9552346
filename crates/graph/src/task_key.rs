//! Names of tasks and of what is placed together.

use std::fmt;
use std::str::FromStr;

use almondpass_schema::ids;
use thiserror::Error;

/// One task of a job graph. Written as `GRAPH.OCCURRENCE.STEP.TASK`, the graph as 16 hexadecimal
/// digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// The job graph.
    pub graph: ids::GraphId,
    /// Which of the timed repetitions; 0 where there is one.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// The task within the step, from 0.
    pub task: u32,
}

/// What is placed at once: a gang, or a task by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitKey {
    /// The job graph.
    pub graph: ids::GraphId,
    /// Index of the step, over all runs of the job graph.
    pub step: u32,
    /// The task; nothing for a gang.
    pub task: Option<u32>,
}

/// A text that names no task.
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

/// Reads the 16 lower-case hexadecimal digits of a job graph's id.
pub fn parse_graph(text: &str) -> Option<ids::GraphId> {
    let is_digit = |it: u8| it.is_ascii_digit() || (b'a'..=b'f').contains(&it);
    if text.len() != 16 || !text.bytes().all(is_digit) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
