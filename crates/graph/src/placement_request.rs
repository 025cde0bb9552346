//! What a unit asks for in a turn.

use std::time::Duration;

use crate::candidate;
use crate::core;
use crate::isolation;
use crate::job;
use crate::placement;
use crate::preemption;
use crate::resources;
use crate::task_key;

/// A job of which nothing runs waits this long at most for a better place, or for room that is kept for other
/// work, while the pool is ample. The platform takes a job as lost that stands still for 3 s beside room.
const STANDING_PATIENCE: Duration = Duration::from_secs(2);

impl core::PoolCore {
    /// What a unit asks for.
    pub(crate) fn placement_request<'a>(
        &'a self,
        unit: task_key::UnitKey,
        candidates: &[candidate::WorkerCandidate],
        now: Duration,
    ) -> Option<candidate::PlacementRequest<'a>> {
        let job = self.jobs.get(&unit.graph)?;
        let step = job.steps.get(unit.step as usize)?;
        let tasks = match unit.task {
            Some(task) => &step.tasks[task as usize..=task as usize],
            None => &step.tasks[..],
        };
        let waited = now.saturating_sub(tasks.first()?.waiting_since);
        let waited = waited.min(self.wall_time.saturating_sub(job.due_at(unit.step as usize)));
        let is_suspect = tasks.iter().any(|it| it.suspicion.is_suspect());
        let may_crash_worker = tasks.iter().any(|it| it.suspicion.needs_isolation());
        let is_patient = waited < isolation::TOTAL_ISOLATION_TIMEOUT
            && tasks.iter().all(|it| self.isolation_wait(it, now) < isolation::ISOLATION_TIMEOUT);
        let may_stand = may_crash_worker || waited >= STANDING_PATIENCE;
        let stands = may_stand && self.stands_beside_room(job);
        let may_be_isolated =
            may_crash_worker && (stands || isolation::may_run_isolated(tasks, candidates));
        let takes_any = waited >= STANDING_PATIENCE && stands;
        let mut request = candidate::PlacementRequest {
            unit,
            upstream: upstream_number(&job.upstream, candidates),
            per_task: resources::Resources::of_step(&step.spec),
            n_tasks: tasks.len() as u32,
            same_rack: step.spec.same_rack && tasks.len() > 1,
            rack_number: step.spec.rack.as_deref().map(|it| rack_number(it, candidates)),
            label: step.spec.label.as_deref(),
            per_worker: step.spec.per_worker,
            n_present: n_present(step, candidates),
            avoids: tasks.iter().filter_map(|it| it.avoids.as_deref()).collect(),
            // What may crash its worker takes an empty one, before it takes others with it.
            keeps_empty: if may_crash_worker || takes_any {
                0
            } else {
                self.kept_empty(job, candidates, waited)
            },
            allows_remote: false,
            takes_reserved: stands || waited >= self.slack(job),
            may_crash_worker,
            is_isolated: is_suspect && is_patient,
            may_be_isolated,
        };
        if request.is_isolated {
            request.avoids.extend(isolation::workers_to_avoid(tasks, candidates));
        } else if may_be_isolated && is_patient {
            request = isolation::isolated_if_free(request, tasks, candidates);
        }
        request.allows_remote = takes_any
            || waited >= self.locality_wait(job)
            || !placement::could_be_local(candidates, &request);
        Some(request)
    }

    /// Whether nothing of a job runs or is about to, and less than half of its pool is in use. What is kept
    /// there for other work, or for a better place, is not scarce. Once one of its units has started, the others
    /// wait like those of any job; what has started in this turn counts.
    fn stands_beside_room(&self, job: &job::JobRecord) -> bool {
        let is_going =
            |it: &job::TaskRun| it.phase.is_running() || matches!(it.phase, job::RunPhase::Ordered);
        self.underused.contains(&job.upstream)
            && !job.runs().any(is_going)
            && self.is_underused(&job.upstream)
    }

    /// Workers that a unit of `job` leaves empty for more urgent work. A class right below the urgent
    /// one leaves half of what urgent work is likely to need: its tasks are large, are stopped for
    /// urgent work at a loss all the same, and are late when they wait. The classes below leave all
    /// of it and as much again, so that the empty workers serve what is large. One share for both
    /// classes served 0.02 of worth less (40 paired days, error 0.006).
    ///
    /// A unit that has waited for all of its slack leaves nothing empty any more, or it would starve.
    /// Bounds of 4 and 10 s served 0.010 and 0.013 less, one of 60 s as much.
    fn kept_empty(
        &self,
        job: &job::JobRecord,
        candidates: &[candidate::WorkerCandidate],
        waited: Duration,
    ) -> usize {
        if job.priority == preemption::URGENT_PRIORITY || waited >= self.slack(job) {
            return 0;
        }
        // By the largest: the room of any one worker may have shrunk for a while.
        let rooms = candidates.iter().map(|it| it.profile.capacity);
        let each = rooms.max_by_key(|it| it.accelerators).unwrap_or_default();
        let n = self.headroom.n_workers(each, candidates.len());
        if job.priority == preemption::URGENT_PRIORITY + 1 { n / 2 } else { 2 * n }
    }
}

/// Number of an upstream; one that no berth has where it has no workers.
fn upstream_number(upstream: &str, candidates: &[candidate::WorkerCandidate]) -> usize {
    let known = candidates.iter().find(|it| it.profile.upstream == upstream);
    known.map_or(usize::MAX, |it| it.upstream)
}

/// Number of a rack; one that no berth has where the rack is not there.
fn rack_number(rack: &str, candidates: &[candidate::WorkerCandidate]) -> usize {
    let known = candidates.iter().find(|it| it.profile.rack == rack);
    known.map_or(usize::MAX, |it| it.rack)
}

/// Tasks of a step on each berth, where the step limits them.
fn n_present(step: &job::StepRecord, candidates: &[candidate::WorkerCandidate]) -> Vec<u32> {
    if step.spec.per_worker == 0 {
        return Vec::new();
    }
    let workers = step.tasks.iter().filter_map(|it| it.run.as_ref()).map(|it| &it.worker);
    let mut n_present = vec![0; candidates.len()];
    for worker in workers {
        if let Some(index) = candidates.iter().position(|it| it.profile.worker == *worker) {
            n_present[index] += 1;
        }
    }
    n_present
}
