//! Places where a late unit would end earlier.

use std::time::Duration;

use almondpass_schema::ids;

use crate::candidate;
use crate::core;
use crate::dispatch;
use crate::lateness;
use crate::pace;
use crate::placement;
use crate::resources;
use crate::task_key;

/// Free places that hold a whole unit.
#[derive(Clone, Debug)]
pub(crate) struct BetterPlaces {
    /// The workers, and what the unit takes on each for one of its tasks.
    pub(crate) workers: Vec<(ids::WorkerId, resources::Resources)>,
    /// When the unit would end there.
    pub(crate) ends_at: Duration,
}

impl core::PoolCore {
    /// Finds the best free places for a whole late unit, with the workers avoided that make members late.
    pub(crate) fn better_places(
        &self,
        late: &lateness::LateUnit,
        candidates: &mut [candidate::WorkerCandidate],
        now: Duration,
    ) -> Option<BetterPlaces> {
        let mut request = self.placement_request(late.unit, candidates, now)?;
        let slow_runs = late.slow_members.iter().filter_map(|it| self.task_run(*it));
        request.avoids.extend(slow_runs.map(|it| it.worker.as_str()));
        request.prefers_fast = true;
        // The unit would begin to wait anew, so that its former wait gives it no right to such places.
        request.takes_reserved = false;
        if !request.may_crash_worker {
            let job = self.jobs.get(&late.unit.graph)?;
            request.keeps_empty = self.kept_empty(job, candidates, Duration::ZERO);
        }
        request.allows_remote = !placement::could_be_local(candidates, &request);
        let chosen = placement::place(candidates, &request)?;
        let workers =
            chosen.iter().map(|it| candidates[*it].profile.worker.clone()).collect::<Vec<_>>();
        let is_remote = dispatch::is_remote(&request, candidates, &chosen);
        let kept = request.per_task;
        let run = self.run_time_on(late, &workers, is_remote);
        Some(BetterPlaces {
            ends_at: now + self.restart_time(late) + run,
            workers: workers.into_iter().map(|it| (it, kept)).collect(),
        })
    }

    /// Time that the rest of a unit's work takes at most on workers of the known speeds.
    fn run_time_on(
        &self,
        late: &lateness::LateUnit,
        workers: &[ids::WorkerId],
        is_remote: bool,
    ) -> Duration {
        let speeds = workers.iter().filter_map(|it| self.workers.get(it));
        let slowest = speeds.map(|it| it.speed.factor()).min_by(f64::total_cmp).unwrap_or(1.0);
        let remote_factor = if is_remote { self.timing.remote_factor } else { 1.0 };
        late.longest.mul_f64((1.0 - late.saved) * remote_factor / slowest)
    }

    /// Time from the decision to move a unit until it works again: its stop, the transit of its starts, and the
    /// restore of its checkpoint.
    fn restart_time(&self, late: &lateness::LateUnit) -> Duration {
        let class = self.jobs.get(&late.unit.graph).map_or("", |it| it.class.as_str());
        let stop = self.moves.stop_times.known_mean(class).unwrap_or(self.timing.stop_timeout);
        let restore = if late.saved > 0.0 { pace::MAX_RESTORE_TIME } else { Duration::ZERO };
        stop + self.start_transit(late.unit) + restore
    }

    /// Longest time in which the present runs of a unit were confirmed after their start was ordered.
    fn start_transit(&self, unit: task_key::UnitKey) -> Duration {
        let keys = self.unit_tasks(unit);
        let runs = keys.iter().filter_map(|it| self.task_run(*it));
        let transits =
            runs.filter_map(|it| Some(it.phase.confirmed_at()?.saturating_sub(it.tracked_since)));
        transits.max().unwrap_or_default()
    }
}
