//! The workers as placing sees them in one turn, with what is still free.

use std::sync::Arc;

use almondpass_schema::ids;

use crate::resources;
use crate::task_key;

/// What does not change about a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerProfile {
    /// The worker.
    pub worker: ids::WorkerId,
    /// Whose tasks it runs.
    pub upstream: ids::UpstreamName,
    /// Its rack.
    pub rack: ids::RackName,
    /// Its labels.
    pub labels: Vec<String>,
    /// What it offers in all.
    pub capacity: resources::Resources,
}

/// A worker that may get tasks.
#[derive(Clone, Debug)]
pub struct WorkerCandidate {
    /// The worker.
    pub profile: Arc<WorkerProfile>,
    /// Number of its rack, from 0; racks are compared often.
    pub rack: usize,
    /// Number of the upstream whose tasks it runs, for the same reason.
    pub upstream: usize,
    /// What is in use, which may be more than there is.
    pub used: resources::Resources,
    /// What is free now.
    pub free: resources::Resources,
    /// Tasks there, those included that should not be.
    pub n_runs: usize,
    /// Failed lately; used last.
    pub failed_lately: bool,
    /// Whether a task has it for itself, as it may crash it: nothing else starts there.
    pub is_exclusive: bool,
    /// Room that is being cleared for units.
    pub claims: Vec<(task_key::UnitKey, resources::Resources)>,
    /// Room that gathers for units that wait.
    pub reserved: Vec<(task_key::UnitKey, resources::Resources)>,
}

impl WorkerCandidate {
    /// Whether nothing is on it.
    pub fn is_empty(&self) -> bool {
        self.n_runs == 0
    }

    /// Of `free`, what `unit` may take: all that is not being cleared for others.
    pub fn available_to(
        &self,
        unit: task_key::UnitKey,
        free: resources::Resources,
    ) -> resources::Resources {
        left_beside(&self.claims, unit, free)
    }

    /// Of `free`, what is not reserved for others either.
    fn unreserved_for(
        &self,
        unit: task_key::UnitKey,
        free: resources::Resources,
    ) -> resources::Resources {
        left_beside(&self.reserved, unit, self.available_to(unit, free))
    }
}

/// What a unit asks for.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The unit.
    pub unit: task_key::UnitKey,
    /// Number of the upstream whose workers it needs; one that no berth has where it has none.
    pub upstream: usize,
    /// What each task needs.
    pub per_task: resources::Resources,
    /// Tasks to place together.
    pub n_tasks: u32,
    /// Whether they slow each other down across racks.
    pub same_rack: bool,
    /// Number of the rack of the data; one that no berth has where the rack is not there.
    pub rack_number: Option<usize>,
    /// Label that the worker must have.
    pub label: Option<&'a str>,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub per_worker: u32,
    /// Tasks of the step on each berth already; empty where there is no limit.
    pub n_present: Vec<u32>,
    /// Workers to avoid, as tasks of the unit failed there.
    pub avoids: Vec<&'a str>,
    /// Workers that it has to leave empty.
    pub keeps_empty: usize,
    /// Whether it may run where it takes longer: off the rack of its data, or across racks.
    pub allows_remote: bool,
    /// Whether it has waited for so long that it may take what is reserved for others. Without an end
    /// to its patience the least urgent class starves on the heaviest days: jobs lay for 50 s with one
    /// task left to run, and 2 of 40 days earned less than a seventh of its worth.
    pub takes_reserved: bool,
    /// Whether its start is a trial: a task of it may crash its workers.
    pub may_crash_worker: bool,
    /// Whether it needs workers of its own.
    pub is_isolated: bool,
    /// Whether it may have them now.
    pub may_be_isolated: bool,
}

impl PlacementRequest<'_> {
    /// How many of its tasks fit on that berth as it is, as far as the berth may be used at all.
    pub fn count_now(&self, index: usize, candidate: &WorkerCandidate) -> u32 {
        if self.is_isolated && !(self.may_be_isolated && candidate.is_empty()) {
            return 0;
        }
        self.count_on(index, candidate, candidate.free)
    }

    /// What has to be kept on a berth for one of its tasks: all of it where the unit runs apart.
    pub fn kept_resources(&self, candidate: &WorkerCandidate) -> resources::Resources {
        if self.is_isolated { candidate.profile.capacity } else { self.per_task }
    }

    /// How many of its tasks fit in `free` of that berth, as far as the berth may be used at all.
    pub fn count_on(
        &self,
        index: usize,
        candidate: &WorkerCandidate,
        free: resources::Resources,
    ) -> u32 {
        if candidate.is_exclusive || !self.allows(candidate) {
            return 0;
        }
        let left = if self.takes_reserved {
            candidate.available_to(self.unit, free)
        } else {
            candidate.unreserved_for(self.unit, free)
        };
        let fitting = self.per_task.count_in(left).min(self.n_tasks);
        if self.per_worker == 0 {
            return fitting;
        }
        let present = self.n_present.get(index).copied().unwrap_or_default();
        fitting.min(self.per_worker.saturating_sub(present))
    }

    fn allows(&self, candidate: &WorkerCandidate) -> bool {
        candidate.upstream == self.upstream
            && self.label.is_none_or(|it| candidate.profile.labels.iter().any(|label| label == it))
            && !self.avoids.contains(&candidate.profile.worker.as_str())
    }
}

/// What is left of `free` beside the room of units other than `unit`.
fn left_beside(
    others: &[(task_key::UnitKey, resources::Resources)],
    unit: task_key::UnitKey,
    free: resources::Resources,
) -> resources::Resources {
    let others = others.iter().filter(|(it, _)| *it != unit);
    others.fold(free, |left, (_, room)| left.minus(*room))
}
