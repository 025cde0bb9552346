//! Moves of units that are forecast to be late: they are stopped, and start again on faster workers.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_schema::ids;

use crate::better_places;
use crate::candidate;
use crate::core;
use crate::job;
use crate::lateness;
use crate::preemption;
use crate::run_times;
use crate::stop_reason;
use crate::task_key;
use crate::worker;

/// Minimum interval between two checks for late units, as a check goes over all runs of urgent jobs and gangs.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of late units in one check for which places are searched, as each search goes over all workers.
const MAX_SEARCHES_PER_CHECK: usize = 4;

/// Maximum number of moves of one unit.
const MAX_MOVES: u32 = 2;

/// Of this many units with a forecast, one may be moved at a time.
const UNITS_PER_MOVE: usize = 4;

/// Number of slow workers from which on the whole pool may be slow.
const MIN_SLOW_WORKERS: usize = 4;

/// What was decided on a late unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MoveDecision {
    /// The unit is stopped, to start on faster workers.
    Moved,
    /// Members are late because of more than half of the workers considered, so that no move would help.
    PoolSlow,
    /// As many units are being moved as may be at a time.
    TooManyMoves,
    /// The unit has few attempts left, or was moved before.
    NoMovesLeft,
    /// No places with free capacity hold the whole unit.
    NoPlaces,
    /// The unit would be late on the best free places too.
    StillLate,
    /// More work would be thrown away than the caller would gain.
    NotWorthIt,
}

impl MoveDecision {
    /// A short name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            MoveDecision::Moved => "moved",
            MoveDecision::PoolSlow => "pool slow",
            MoveDecision::TooManyMoves => "too many moves",
            MoveDecision::NoMovesLeft => "no moves left",
            MoveDecision::NoPlaces => "no places",
            MoveDecision::StillLate => "still late",
            MoveDecision::NotWorthIt => "not worth it",
        }
    }
}

/// Counts of decisions since they were last taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MoveCounts {
    /// Each decision to move a late unit, and the first decision of each of its runs not to.
    pub decisions: Vec<MoveDecision>,
    /// Polls of workers whose urgent runs had no known pace yet.
    pub n_early_polls: u64,
}

/// What the moves of late units need to remember between rounds.
#[derive(Clone, Debug, Default)]
pub(crate) struct MoveState {
    pub(crate) counts: MoveCounts,
    /// Durations of stops, by class.
    pub(crate) stop_times: run_times::RunTimes,
    checked_at: Duration,
}

/// The units that may be moved, as of one check.
#[derive(Clone, Debug, Default)]
struct UnitSurvey {
    late: Vec<lateness::LateUnit>,
    /// Units that have a forecast or are being moved.
    n_units: usize,
    /// Units that were stopped for a move and do not run again yet.
    n_moving: usize,
    /// Workers with a member of a unit that has a forecast.
    workers: BTreeSet<ids::WorkerId>,
    /// Those because of which a member is late.
    slow_workers: BTreeSet<ids::WorkerId>,
}

impl UnitSurvey {
    /// Whether most workers are slow. If the same is inferred of most workers, there are no better places.
    fn is_pool_slow(&self) -> bool {
        let n_slow = self.slow_workers.len();
        n_slow >= MIN_SLOW_WORKERS && 2 * n_slow > self.workers.len()
    }

    fn max_moving(&self) -> usize {
        (self.n_units / UNITS_PER_MOVE).max(1)
    }
}

impl core::PoolCore {
    /// Returns the counts since the last call.
    pub fn take_move_counts(&mut self) -> MoveCounts {
        std::mem::take(&mut self.moves.counts)
    }

    /// Stops the units that are forecast to be late and would be in time elsewhere. It comes at the end of a
    /// round and takes the `candidates` that the round has left: what waits goes first.
    pub(crate) fn move_late_runs(
        &mut self,
        candidates: Option<Vec<candidate::WorkerCandidate>>,
        now: Duration,
    ) {
        if !self.scheduling.move_late_runs || now < self.moves.checked_at + CHECK_INTERVAL {
            return;
        }
        self.moves.checked_at = now;
        let mut survey = self.survey_units(now);
        if survey.late.is_empty() {
            return;
        }
        // Those come first that were not tried yet, or not for the longest time.
        survey.late.sort_by_key(|it| (it.priority, it.tried_at, it.due_at));
        let mut candidates = candidates.unwrap_or_else(|| self.candidates(now));
        for late in survey.late.iter().take(MAX_SEARCHES_PER_CHECK) {
            let places = self.places_for(late, &survey, &mut candidates, now);
            let decision = places.as_ref().map_or_else(|it| *it, |_| MoveDecision::Moved);
            self.report_decision(late, decision, places.as_ref().ok(), now);
            if let Ok(places) = places {
                survey.n_moving += 1;
                self.move_unit(late, &places, now);
            }
        }
    }

    fn survey_units(&self, now: Duration) -> UnitSurvey {
        let mut survey = UnitSurvey::default();
        for (graph, job) in self.active_jobs() {
            for unit in movable_units(graph, job) {
                self.add_to_survey(&mut survey, unit, now);
            }
        }
        survey
    }

    fn add_to_survey(&self, survey: &mut UnitSurvey, unit: task_key::UnitKey, now: Duration) {
        if self.is_moving(unit, now) {
            survey.n_units += 1;
            survey.n_moving += 1;
            return;
        }
        let Some(members) = self.member_forecasts(unit, now) else { return };
        survey.n_units += 1;
        let worker_of = |key| self.task_run(key).map(|it| it.worker.clone());
        survey.workers.extend(members.iter().filter_map(|it| worker_of(it.key)));
        let Some(late) = self.late_unit(unit, &members, now) else { return };
        survey.slow_workers.extend(late.slow_members.iter().filter_map(|it| worker_of(*it)));
        survey.late.push(late);
    }

    /// Whether a unit was stopped for a move and does not run again yet.
    fn is_moving(&self, unit: task_key::UnitKey, now: Duration) -> bool {
        let is_moving = |it: &job::TaskRecord| {
            let is_running = it.run.as_ref().is_some_and(|it| it.phase.is_running());
            now < it.move_ends_at && !it.done && !is_running
        };
        let keys = self.unit_tasks(unit);
        let Some(job) = self.jobs.get(&unit.graph) else { return false };
        keys.into_iter().filter_map(|it| job.task(it)).any(is_moving)
    }

    /// Finds places for a late unit on the candidates, or the reason not to move it.
    fn places_for(
        &self,
        late: &lateness::LateUnit,
        survey: &UnitSurvey,
        candidates: &mut Vec<candidate::WorkerCandidate>,
        now: Duration,
    ) -> Result<better_places::BetterPlaces, MoveDecision> {
        if survey.is_pool_slow() {
            return Err(MoveDecision::PoolSlow);
        }
        if survey.n_moving >= survey.max_moving() {
            return Err(MoveDecision::TooManyMoves);
        }
        if late.n_moves >= MAX_MOVES.min(late.attempts_left.saturating_sub(1)) {
            return Err(MoveDecision::NoMovesLeft);
        }
        if late.discarded(now) >= late.gain(now) {
            return Err(MoveDecision::NotWorthIt);
        }
        let mut left = candidates.clone();
        let places = self.better_places(late, &mut left, now).ok_or(MoveDecision::NoPlaces)?;
        if places.ends_at > late.due_at {
            return Err(MoveDecision::StillLate);
        }
        *candidates = left;
        Ok(places)
    }

    /// Stops all members of a unit and keeps the places for it. Members that are late because of
    /// their workers avoid these.
    fn move_unit(
        &mut self,
        late: &lateness::LateUnit,
        places: &better_places::BetterPlaces,
        now: Duration,
    ) {
        let until = self.claim_end(now);
        for (worker, resources) in &places.workers {
            let claim = worker::ResourceClaim { unit: late.unit, resources: *resources, until };
            self.add_claim(worker, claim);
        }
        for key in &late.slow_members {
            if let Some(worker) = self.task_run(*key).map(|it| it.worker.clone()) {
                self.avoid_failed_worker(*key, &worker, now);
            }
        }
        for key in self.unit_tasks(late.unit) {
            if let Some(task) = self.task_record_mut(key) {
                task.n_moves += 1;
                task.move_ends_at = until;
            }
            self.stop_run(key, stop_reason::StopReason::Moved, now);
        }
    }

    /// Logs and counts a decision. A unit that stays where it is, is reported once in each run.
    fn report_decision(
        &mut self,
        late: &lateness::LateUnit,
        decision: MoveDecision,
        places: Option<&better_places::BetterPlaces>,
        now: Duration,
    ) {
        let first = self.unit_tasks(late.unit).first().copied();
        let run = first.and_then(|it| self.task_record_mut(it)).and_then(|it| it.run.as_mut());
        let is_first = run.is_some_and(|it| it.move_tried_at.replace(now).is_none());
        if decision != MoveDecision::Moved && !is_first {
            return;
        }
        self.moves.counts.decisions.push(decision);
        let millis_to = |at: Duration| at.as_millis() as i64 - now.as_millis() as i64;
        tracing::info!(
            job = format_args!("{:016x}", late.unit.graph),
            step = late.unit.step,
            n_members = late.n_members,
            n_slow_members = late.slow_members.len(),
            ends_in_ms = late.forecast.ends_in.as_millis() as u64,
            due_in_ms = millis_to(late.due_at),
            work_ms = late.forecast.work.as_millis() as u64,
            error_percent = (late.forecast.error * 100.0) as u64,
            reading_age_ms = late.reading_age.as_millis() as u64,
            worked_ms = now.saturating_sub(late.began_at).as_millis() as u64,
            new_end_in_ms = places.map(|it| millis_to(it.ends_at)),
            decision = decision.name(),
            "unit is forecast to be late"
        );
    }
}

/// Units of a job that may be moved: those of urgent jobs, and gangs. The age of an inherited job is unknown, and a
/// timed job spreads its runs over time, so that neither can be forecast to be late.
fn movable_units(graph: ids::GraphId, job: &job::JobRecord) -> Vec<task_key::UnitKey> {
    if job.inherited || job.schedule.is_some() {
        return Vec::new();
    }
    let is_urgent = job.priority == preemption::URGENT_PRIORITY;
    let mut units = Vec::new();
    for (index, step) in job.steps.iter().enumerate() {
        let unit = |task| task_key::UnitKey { graph, step: index as u32, task };
        if step.spec.gang {
            let has_begun = step.tasks.iter().any(|it| it.run.is_some() || it.n_moves > 0);
            units.extend((has_begun && !step.is_done()).then(|| unit(None)));
        } else if is_urgent {
            let has_begun = |it: &job::TaskRecord| !it.done && (it.run.is_some() || it.n_moves > 0);
            let begun = step.tasks.iter().enumerate().filter(|(_, it)| has_begun(it));
            units.extend(begun.map(|(task, _)| unit(Some(task as u32))));
        }
    }
    units
}
