//! Workers as placement candidates in one scheduling round, and the requests to place units on them.

use std::sync::Arc;

use almondpass_schema::ids;

use crate::resources;
use crate::speed_spread;
use crate::task_key;

/// Properties of a worker that do not change within a round.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerProfile {
    /// Worker id.
    pub worker: ids::WorkerId,
    /// Upstream whose tasks the worker runs.
    pub upstream: ids::UpstreamName,
    /// Rack of the worker.
    pub rack: ids::RackName,
    /// Labels that a step can require.
    pub labels: Vec<String>,
    /// Total resources of the worker.
    pub capacity: resources::Resources,
}

/// A worker that may get tasks in this round.
#[derive(Clone, Debug)]
pub struct WorkerCandidate {
    /// Properties that do not change within the round.
    pub profile: Arc<WorkerProfile>,
    /// Index of the rack, from 0, for fast comparison.
    pub rack: usize,
    /// Index of the upstream, from 0, for fast comparison.
    pub upstream: usize,
    /// Resources in use; may exceed the capacity.
    pub used: resources::Resources,
    /// Free resources.
    pub free: resources::Resources,
    /// Number of tasks on the worker, including unwanted ones.
    pub n_runs: usize,
    /// Whether tasks failed on the worker lately; such workers are used last.
    pub failed_lately: bool,
    /// Rank of the worker's speed.
    pub speed: speed_spread::SpeedRank,
    /// Whether a task that may crash the worker runs on it in isolation; nothing else starts there.
    pub is_exclusive: bool,
    /// Resources being freed for units by preemption.
    pub claims: Vec<(task_key::UnitKey, resources::Resources)>,
    /// Resources reserved for waiting units.
    pub reserved: Vec<(task_key::UnitKey, resources::Resources)>,
}

impl WorkerCandidate {
    /// Whether no tasks are on the worker.
    pub fn is_empty(&self) -> bool {
        self.n_runs == 0
    }

    /// The part of `free` that `unit` may take: all that is not being freed for other units.
    pub fn available_to(
        &self,
        unit: task_key::UnitKey,
        free: resources::Resources,
    ) -> resources::Resources {
        without_others(&self.claims, unit, free)
    }

    /// The part of `free` that is neither being freed nor reserved for other units.
    fn unreserved_for(
        &self,
        unit: task_key::UnitKey,
        free: resources::Resources,
    ) -> resources::Resources {
        without_others(&self.reserved, unit, self.available_to(unit, free))
    }
}

/// Resources and constraints for placing one unit.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Unit to place.
    pub unit: task_key::UnitKey,
    /// Index of the upstream whose workers the unit needs; one that no candidate has if there are none.
    pub upstream: usize,
    /// Resources of each task.
    pub per_task: resources::Resources,
    /// Number of tasks to place together.
    pub n_tasks: u32,
    /// Whether the tasks slow each other down across racks.
    pub same_rack: bool,
    /// Index of the rack of the data, if any; one that no candidate has if the rack does not exist.
    pub rack_number: Option<usize>,
    /// Label that the worker must have.
    pub label: Option<&'a str>,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub per_worker: u32,
    /// Tasks of the step on each candidate already; empty if there is no limit.
    pub n_present: Vec<u32>,
    /// Workers for which starts of the unit are planned already; the unit goes there first.
    pub planned: Vec<&'a str>,
    /// Workers to avoid, because tasks of the unit failed or were lost there.
    pub avoids: Vec<&'a str>,
    /// Whether the unit goes to fast workers first, as it has little time. Others leave these free.
    pub prefers_fast: bool,
    /// Whether the unit goes to slow workers before a tight fit, as it would be in time there. Fast workers then
    /// stay free for units that have little time.
    pub prefers_slow: bool,
    /// Whether a run of the unit would tell the speed of its worker.
    pub tells_speed: bool,
    /// Number of workers that the unit has to leave empty.
    pub keeps_empty: usize,
    /// Whether the unit may run where it takes longer: off the rack of its data, or across racks.
    pub allows_remote: bool,
    /// Whether the unit may take capacity reserved for others, after a long wait. Without a limit to its
    /// wait, the least urgent class starves on the busiest days: jobs idled for 50 s with one task left to
    /// run, and 2 of 40 days earned less than a seventh of the worth of that class.
    pub takes_reserved: bool,
    /// Whether a task of the unit may crash its workers, so that it should run in isolation.
    pub may_crash_worker: bool,
    /// Whether the unit requires workers without other tasks.
    pub is_isolated: bool,
    /// Whether isolated runs are available to the unit now.
    pub may_be_isolated: bool,
}

impl PlacementRequest<'_> {
    /// Number of tasks of the unit that fit on the candidate now; 0 if the unit may not use it.
    pub fn count_now(&self, index: usize, candidate: &WorkerCandidate) -> u32 {
        if self.awaits_isolation() || (self.is_isolated && !candidate.is_empty()) {
            return 0;
        }
        self.count_on(index, candidate, candidate.free)
    }

    /// Whether the unit needs workers of its own and may not have them now. Capacity kept for it would be
    /// used by nobody.
    pub fn awaits_isolation(&self) -> bool {
        self.is_isolated && !self.may_be_isolated
    }

    /// Resources to keep on a candidate for one task of the unit: the whole worker for an isolated run.
    pub fn kept_resources(&self, candidate: &WorkerCandidate) -> resources::Resources {
        if self.is_isolated { candidate.profile.capacity } else { self.per_task }
    }

    /// Number of tasks of the unit that fit into `free` on the candidate; 0 if the unit may not use it.
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

    /// Whether starts of the unit are planned, and none of them on the candidate.
    pub fn is_planned_elsewhere(&self, candidate: &WorkerCandidate) -> bool {
        !self.planned.is_empty() && !self.planned.contains(&candidate.profile.worker.as_str())
    }

    fn allows(&self, candidate: &WorkerCandidate) -> bool {
        candidate.upstream == self.upstream
            && self.label.is_none_or(|it| candidate.profile.labels.iter().any(|label| label == it))
            && !self.avoids.contains(&candidate.profile.worker.as_str())
    }
}

/// Subtracts from `free` the resources of units other than `unit`.
fn without_others(
    others: &[(task_key::UnitKey, resources::Resources)],
    unit: task_key::UnitKey,
    free: resources::Resources,
) -> resources::Resources {
    let others = others.iter().filter(|(it, _)| *it != unit);
    others.fold(free, |left, (_, resources)| left.minus(*resources))
}
