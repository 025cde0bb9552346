//! Builds the placement request of a unit for a scheduling round.

use std::time::Duration;

use crate::candidate;
use crate::core;
use crate::isolation;
use crate::job;
use crate::objective;
use crate::placement;
use crate::preemption;
use crate::resources;
use crate::task_key;

/// Longest time for which an idle job waits for a better place, or leaves capacity that is kept for other
/// work, while the pool is underused. The platform counts a job as lost that is idle for 3 s although
/// capacity is free.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

impl core::PoolCore {
    /// Builds the placement request of a unit, or nothing if the job or step does not exist.
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
        let may_await_isolation = waited < isolation::TOTAL_ISOLATION_TIMEOUT
            && tasks.iter().all(|it| self.isolation_wait(it, now) < isolation::ISOLATION_TIMEOUT);
        let checks_idle = may_crash_worker || waited >= IDLE_TIMEOUT;
        let is_idle = checks_idle && self.is_idle_in_underused_pool(job);
        let may_be_isolated = may_crash_worker
            && ((is_idle && !self.has_planned_start_beside(unit))
                || isolation::may_run_isolated(tasks, candidates, self.n_other_standing(unit)));
        let takes_any_place = waited >= IDLE_TIMEOUT && is_idle;
        let mut request = candidate::PlacementRequest {
            unit,
            upstream: upstream_index(&job.upstream, candidates),
            per_task: resources::Resources::of_step(&step.spec),
            n_tasks: tasks.len() as u32,
            same_rack: step.spec.same_rack && tasks.len() > 1,
            rack_number: step.spec.rack.as_deref().map(|it| rack_number(it, candidates)),
            label: step.spec.label.as_deref(),
            per_worker: step.spec.per_worker,
            n_present: n_present(step, candidates),
            planned: tasks
                .iter()
                .filter_map(|it| it.planned_worker())
                .map(String::as_str)
                .collect(),
            avoids: tasks.iter().filter_map(|it| it.avoids.as_deref()).collect(),
            // A unit that was moved off slow workers must not return to such.
            prefers_fast: job.priority == preemption::URGENT_PRIORITY
                || tasks.iter().any(|it| it.n_moves > 0),
            tells_speed: step.tasks.len() > 1,
            prefers_slow: self.has_time_on_slow_worker(job, now),
            // A task that may crash its worker may take an empty one, rather than endanger other tasks.
            keeps_empty: if may_crash_worker || takes_any_place {
                0
            } else {
                self.kept_empty(job, candidates, waited)
            },
            allows_remote: false,
            takes_reserved: is_idle || waited >= self.slack(job),
            may_crash_worker,
            is_isolated: is_suspect && may_await_isolation,
            may_be_isolated,
        };
        if request.is_isolated {
            request.avoids.extend(isolation::workers_to_avoid(tasks, candidates));
        } else if may_be_isolated && may_await_isolation {
            request = isolation::isolated_if_free(request, tasks, candidates);
        }
        request.allows_remote = takes_any_place
            || waited >= self.locality_wait(job)
            || !placement::could_be_local(candidates, &request);
        Some(request)
    }

    /// Whether nothing of a job runs or has been ordered, and less than half of its pool is in use, so that
    /// capacity kept for other work or for a better place is not scarce. Starts of the current round count:
    /// once one unit of the job has started, its others wait like those of any job.
    fn is_idle_in_underused_pool(&self, job: &job::JobRecord) -> bool {
        let is_running_or_ordered =
            |it: &job::TaskRun| it.phase.is_running() || matches!(it.phase, job::RunPhase::Ordered);
        self.underused.contains(&job.upstream)
            && !job.runs().any(is_running_or_ordered)
            && self.is_underused(&job.upstream)
    }

    /// Whether a job that is not urgent would be in time on slow workers, where workers differ in speed.
    fn has_time_on_slow_worker(&self, job: &job::JobRecord, now: Duration) -> bool {
        let Some(spread) = self.speeds.spread(&job.upstream) else { return false };
        let Some(class) = self.class_with_objective(job) else { return false };
        if job.priority == preemption::URGENT_PRIORITY || job.schedule.is_some() {
            return false;
        }
        let chain = objective::StepChain::of_job(job);
        let step = self.run_times.mean(&job.class);
        let slow_chain = (step * chain.n_unfinished).div_f64(spread.slow_factor());
        let age = now.saturating_sub(job.admitted_at);
        age + slow_chain <= objective::objective(class, chain, step)
    }

    /// Number of workers that a unit of `job` leaves empty for more urgent work. The class directly below the
    /// urgent one leaves half of what urgent work is likely to need: its tasks are large, are stopped for
    /// urgent work at a loss anyway, and are late if they wait. Lower classes leave twice the likely need, so
    /// that the empty workers can serve large tasks. One share for both served 0.02 of worth less (40 paired
    /// days, error 0.006).
    ///
    /// A unit that has waited for all of its slack leaves no workers empty, or it would starve. Bounds of 4
    /// and 10 s instead of the slack served 0.010 and 0.013 less, a bound of 60 s as much.
    pub(crate) fn kept_empty(
        &self,
        job: &job::JobRecord,
        candidates: &[candidate::WorkerCandidate],
        waited: Duration,
    ) -> usize {
        if job.priority == preemption::URGENT_PRIORITY || waited >= self.slack(job) {
            return 0;
        }
        // The largest worker is the measure, since the capacity of any single worker may be reduced for a
        // while.
        let capacities = candidates.iter().map(|it| it.profile.capacity);
        let largest = capacities.max_by_key(|it| it.accelerators).unwrap_or_default();
        let n_likely = self.headroom.n_workers(largest, candidates.len());
        if job.priority == preemption::URGENT_PRIORITY + 1 { n_likely / 2 } else { 2 * n_likely }
    }
}

/// Index of an upstream; `usize::MAX`, which no candidate has, if it has no candidates.
fn upstream_index(upstream: &str, candidates: &[candidate::WorkerCandidate]) -> usize {
    let known = candidates.iter().find(|it| it.profile.upstream == upstream);
    known.map_or(usize::MAX, |it| it.upstream)
}

/// Index of a rack; `usize::MAX`, which no candidate has, if it has no candidates.
fn rack_number(rack: &str, candidates: &[candidate::WorkerCandidate]) -> usize {
    let known = candidates.iter().find(|it| it.profile.rack == rack);
    known.map_or(usize::MAX, |it| it.rack)
}

/// Number of tasks of a step on each candidate; empty if the step does not limit it.
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
