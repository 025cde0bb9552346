//! Starts of tasks that are under suspicion: apart from other work, and on record before they are sent.
//!
//! A task that crashes its worker takes down what runs beside it; one notices by tasks that are struck
//! again and again by different ones. And a scheduler that goes while the worker is down would leave no
//! trace of the loss, so that the next one counts anew. A start on record is counted by the successor,
//! unless a worker lists its end.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_schema::ids;

use crate::candidate;
use crate::core;
use crate::job;
use crate::suspicion;
use crate::task_key;

/// A suspect waits this long for a worker of its own; then it starts beside other work. The platform
/// takes a job as lost that stands still for 3 s although there is room.
pub(crate) const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The same whatever keeps it from starting meanwhile: outages of the store and of ways to workers take seconds, and
/// a takeover up to 14.
pub(crate) const TOTAL_ISOLATION_TIMEOUT: Duration = Duration::from_secs(20);

/// Of so many workers one at most is kept for suspects of which little is known: after one loss there may
/// be as many as ran there.
const WORKERS_A_SUSPECT: usize = 4;

/// The entry of a worker that is down goes this soon behind the lapse of its lease.
const UNLISTED_WITHIN: Duration = Duration::from_millis(1_500);

/// Chance that a start which an earlier scheduler has left on record never left, or goes on unseen.
const INHERITED_ODDS: f64 = 0.2;

/// Whether these tasks of a unit may have workers of their own now. What is all but proved may at any
/// time.
pub(crate) fn may_run_isolated(
    tasks: &[job::TaskRecord],
    candidates: &[candidate::WorkerCandidate],
) -> bool {
    let n_closed = candidates.iter().filter(|it| it.is_exclusive).count();
    let has_room = n_closed < (candidates.len() / WORKERS_A_SUSPECT).max(1);
    has_room || tasks.iter().any(|it| it.suspicion.is_strong_suspect())
}

/// Asks for workers of its own, where there are some now. Rather an accident has struck a unit that is no
/// suspect than the unit its workers: it runs alone only where that costs no wait.
pub(crate) fn isolated_if_free<'a>(
    request: candidate::PlacementRequest<'a>,
    tasks: &'a [job::TaskRecord],
    candidates: &[candidate::WorkerCandidate],
) -> candidate::PlacementRequest<'a> {
    let mut apart = candidate::PlacementRequest { is_isolated: true, ..request.clone() };
    apart.avoids.extend(workers_to_avoid(tasks, candidates));
    let places = candidates.iter().enumerate().map(|(index, it)| apart.count_now(index, it));
    if places.sum::<u32>() >= apart.n_tasks { apart } else { request }
}

/// Workers that these tasks of a unit avoid, as they were lost under them; none where there are no others.
pub(crate) fn workers_to_avoid<'a>(
    tasks: &'a [job::TaskRecord],
    candidates: &[candidate::WorkerCandidate],
) -> BTreeSet<&'a str> {
    let lost_workers = tasks.iter().flat_map(|it| &it.lost_workers).map(String::as_str);
    let lost_workers = lost_workers.collect::<BTreeSet<_>>();
    let has_others = candidates.iter().any(|it| !lost_workers.contains(it.profile.worker.as_str()));
    if has_others { lost_workers } else { BTreeSet::new() }
}

impl core::PoolCore {
    /// Whether a unit may be started, as far as its tasks are under suspicion: their starts have to be on
    /// record.
    pub(crate) fn ensure_start_saved(&mut self, unit: task_key::UnitKey, now: Duration) -> bool {
        // Nearly always nothing is held against any of the many units that wait.
        let concerns = |it: &job::TaskRecord| {
            it.suspicion.needs_isolation() || it.suspicion.inherited_attempt.is_some()
        };
        if !self.unit_records(unit).iter().any(concerns) {
            return true;
        }
        if self.is_held_back(unit, now) {
            return false;
        }
        let tasks = self.unit_tasks(unit);
        if self.record_inherited_losses(&tasks, now) {
            return false;
        }
        let Some(attempt) = self.next_attempt(unit) else { return false };
        let mut is_durable = true;
        for key in tasks.into_iter().filter(|it| self.needs_isolation(*it)).collect::<Vec<_>>() {
            // What is no suspect waits for no record: work that two accidents have struck would stand still
            // while the store is away.
            is_durable &= self.save_start(key, attempt) || !self.is_suspect(key);
        }
        is_durable
    }

    /// Takes note that a unit could run apart from now on: nothing but room is missing.
    pub(crate) fn start_isolation_wait(&mut self, unit: task_key::UnitKey, now: Duration) {
        if !self.unit_needs_isolation(unit) {
            return;
        }
        for key in self.unit_tasks(unit) {
            if let Some(task) =
                self.task_record_mut(key).filter(|it| it.isolatable_since < it.waiting_since)
            {
                task.isolatable_since = now;
            }
        }
    }

    /// How long a task has waited for a worker of its own: not while nothing could be started, as before a takeover
    /// has settled. Else it would run beside others right behind an outage, where what is lost says least.
    pub(crate) fn isolation_wait(&self, task: &job::TaskRecord, now: Duration) -> Duration {
        if task.isolatable_since < task.waiting_since {
            return Duration::ZERO;
        }
        now.saturating_sub(task.isolatable_since.max(self.uninterrupted_since))
    }

    /// Whether a task of a unit is held back until the loss of its worker is surer.
    pub(crate) fn is_held_back(&self, unit: task_key::UnitKey, now: Duration) -> bool {
        self.unit_records(unit).iter().any(|it| now < it.held_until)
    }

    /// Whether a unit can't start because a start of it is not on record yet.
    pub(crate) fn awaits_saved_start(&self, unit: task_key::UnitKey) -> bool {
        self.unit_records(unit).iter().any(|it| {
            let is_durable = it.start_change.is_some_and(|mark| self.unsaved.is_durable(mark));
            it.suspicion.inherited_attempt.is_some() || (it.suspicion.is_suspect() && !is_durable)
        })
    }

    /// The end of a start that may be on record is known. Tells whether it was there.
    pub(crate) fn clear_saved_start(&mut self, key: task_key::TaskKey, attempt: u32) -> bool {
        self.task_record_mut(key).is_some_and(|it| it.suspicion.forget_attempt(attempt))
    }

    /// The number of the next start of a unit.
    pub(crate) fn next_attempt(&self, unit: task_key::UnitKey) -> Option<u32> {
        let step = self.jobs.get(&unit.graph)?.steps.get(unit.step as usize)?;
        let highest = match unit.task {
            Some(task) => step.tasks.get(task as usize)?.attempt,
            None => step.highest_attempt(),
        };
        Some(highest + 1)
    }

    /// Whether any task of a unit is under suspicion.
    pub(crate) fn has_suspect(&self, unit: task_key::UnitKey) -> bool {
        self.unit_records(unit).iter().any(|it| it.suspicion.is_suspect())
    }

    /// Whether a start of any task of a unit is a trial.
    pub(crate) fn unit_needs_isolation(&self, unit: task_key::UnitKey) -> bool {
        self.unit_records(unit).iter().any(|it| it.suspicion.needs_isolation())
    }

    /// The tasks of a unit.
    fn unit_records(&self, unit: task_key::UnitKey) -> &[job::TaskRecord] {
        let step = self.jobs.get(&unit.graph).and_then(|it| it.steps.get(unit.step as usize));
        let tasks = step.map(|it| it.tasks.as_slice()).unwrap_or_default();
        match unit.task {
            Some(task) => tasks.get(task as usize).map(std::slice::from_ref).unwrap_or_default(),
            None => tasks,
        }
    }

    /// Counts starts that an earlier scheduler has left on record and that no worker has listed, now that
    /// all have answered or their leases have lapsed. Tells whether there were any.
    fn record_inherited_losses(&mut self, tasks: &[task_key::TaskKey], now: Duration) -> bool {
        let mut is_any = false;
        for key in tasks {
            let Some(attempt) =
                self.task_record_mut(*key).and_then(|it| it.suspicion.inherited_attempt.take())
            else {
                continue;
            };
            let anytime_probability = self.background_probability_untimed(*key, now);
            let early_probability = anytime_probability.max(INHERITED_ODDS);
            let loss = suspicion::TaskLoss {
                attempt,
                early_probability,
                anytime_probability,
                latest_loss_offset: None,
            };
            self.record_loss(*key, loss, now);
            is_any = true;
        }
        is_any
    }

    /// Puts what runs on a worker that does not answer on record: should this scheduler go before the loss
    /// is sure, its successor counts it.
    pub(crate) fn save_runs_on(&mut self, worker: &ids::WorkerId) {
        let Some(record) = self.workers.get(worker) else { return };
        for key in record.runs.clone() {
            let Some(task) = self.task_record_mut(key) else { continue };
            let attempt = task.run.as_ref().map(|it| it.attempt);
            if task.suspicion.saved_attempt != attempt {
                task.suspicion.saved_attempt = attempt;
                self.mark_task_changed(key);
            }
        }
    }

    /// Puts a start on record, and tells whether that is durable.
    fn save_start(&mut self, key: task_key::TaskKey, attempt: u32) -> bool {
        let Some(task) = self.task_record_mut(key) else { return false };
        if task.suspicion.saved_attempt != Some(attempt) {
            task.suspicion.saved_attempt = Some(attempt);
            let mark = self.mark_task_changed(key);
            if let Some(task) = self.task_record_mut(key) {
                task.start_change = mark;
            }
        }
        let mark = self.task_record_mut(key).and_then(|it| it.start_change);
        mark.is_some_and(|it| self.unsaved.is_durable(it))
    }

    /// Holds a suspect back that was struck by the loss of a worker that may live, where that will show
    /// soon. It would be started once more although what is about to be known gives it up.
    pub(crate) fn delay_restart(&mut self, key: task_key::TaskKey, now: Duration) {
        if let Some(task) = self.task_record_mut(key).filter(|it| it.suspicion.is_strong_suspect())
        {
            task.held_until = now + UNLISTED_WITHIN;
        }
    }

    /// Has a task go elsewhere next, if it can: lost under it twice, one worker says less than two.
    pub(crate) fn avoid_worker(&mut self, key: task_key::TaskKey, worker: &ids::WorkerId) {
        if let Some(task) = self.task_record_mut(key) {
            task.lost_workers.insert(worker.clone());
        }
    }

    pub(crate) fn task_record_mut(
        &mut self,
        key: task_key::TaskKey,
    ) -> Option<&mut job::TaskRecord> {
        self.jobs.get_mut(&key.graph)?.task_mut(key)
    }
}
