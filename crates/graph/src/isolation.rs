//! Isolated runs of suspects: apart from other work, and saved before their start is sent.
//!
//! A task that crashes its worker takes all other tasks there with it, so these appear to crash workers
//! as well. Also, if the scheduler failed while that worker is down, no trace of the loss would remain,
//! and its successor would count from zero. So the start is saved before it is sent, and the successor
//! counts it as a loss unless a worker lists its end. It is saved only once the unit has a place, and
//! withdrawn if the place is gone before it was sent: a start that waits is no evidence.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_schema::ids;

use crate::candidate;
use crate::core;
use crate::job;
use crate::saved_start;
use crate::suspicion;
use crate::task_key;

/// A suspect waits this long for an empty worker, then it starts next to other work. The platform counts
/// a job as lost that is idle for 3 s although capacity is free.
pub(crate) const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Upper bound of that wait, including the time in which nothing could start: outages of the store and
/// of connections to workers take seconds, and a takeover up to 14 s.
pub(crate) const TOTAL_ISOLATION_TIMEOUT: Duration = Duration::from_secs(20);

/// One worker in this many is kept for suspects with weak evidence: after a single loss there may be as
/// many suspects as tasks ran on the lost worker.
const WORKERS_PER_WEAK_SUSPECT: usize = 4;

/// The entry of a worker that is down is removed within this time after its lease has lapsed.
const UNLISTED_AFTER_LAPSE: Duration = Duration::from_millis(1_500);

/// Probability that a start saved by an earlier scheduler was never sent, or that the run goes on
/// unseen.
const INHERITED_START_PROBABILITY: f64 = 0.2;

/// Whether these tasks of a unit may have workers of their own now, if `n_standing` other jobs with nothing
/// running wait for such workers. Tasks that are close to proven to crash their workers always may.
pub(crate) fn may_run_isolated(
    tasks: &[job::TaskRecord],
    candidates: &[candidate::WorkerCandidate],
    n_standing: usize,
) -> bool {
    let n_exclusive = candidates.iter().filter(|it| it.is_exclusive).count();
    let n_spare = (candidates.len() / WORKERS_PER_WEAK_SUSPECT).max(1);
    n_exclusive + n_standing < n_spare || tasks.iter().any(|it| it.suspicion.is_strong_suspect())
}

/// Asks for empty workers if there are enough now. A unit that needs isolation but is no suspect has
/// more likely lost its workers by chance than crashed them, so it runs alone only where this costs no
/// wait.
pub(crate) fn isolated_if_free<'a>(
    request: candidate::PlacementRequest<'a>,
    tasks: &'a [job::TaskRecord],
    candidates: &[candidate::WorkerCandidate],
) -> candidate::PlacementRequest<'a> {
    let mut isolated = candidate::PlacementRequest { is_isolated: true, ..request.clone() };
    isolated.avoids.extend(workers_to_avoid(tasks, candidates));
    let places = candidates.iter().enumerate().map(|(index, it)| isolated.count_now(index, it));
    if places.sum::<u32>() >= isolated.n_tasks { isolated } else { request }
}

/// Workers that were lost under these tasks of a unit, which avoid them; empty if there are no other
/// workers.
pub(crate) fn workers_to_avoid<'a>(
    tasks: &'a [job::TaskRecord],
    candidates: &[candidate::WorkerCandidate],
) -> BTreeSet<&'a str> {
    let lost_workers = tasks.iter().flat_map(|it| &it.lost_workers).map(String::as_str);
    let lost_workers = lost_workers.collect::<BTreeSet<_>>();
    let has_others = candidates.iter().any(|it| !lost_workers.contains(it.profile.worker.as_str()));
    if has_others { lost_workers } else { BTreeSet::new() }
}

/// Whether a task of a job with nothing running waits for an empty worker.
fn awaits_isolation(job: &job::JobRecord) -> bool {
    let mut tasks = job.steps.iter().flat_map(|it| &it.tasks);
    tasks.any(|it| !it.done && it.suspicion.needs_isolation())
}

pub(crate) fn has_planned_start(job: &job::JobRecord) -> bool {
    job.steps.iter().flat_map(|it| &it.tasks).any(|it| it.planned_start.is_some())
}

impl core::PoolCore {
    /// Whether the evidence of earlier losses of a unit is complete, so that it may be started. Records
    /// losses for starts that an earlier scheduler had saved.
    pub(crate) fn is_evidence_complete(&mut self, unit: task_key::UnitKey, now: Duration) -> bool {
        // Fast path: nearly all of the many waiting units have no recorded loss.
        let has_losses = |it: &job::TaskRecord| {
            it.suspicion.needs_isolation() || it.suspicion.inherited_start.is_some()
        };
        if !self.task_records(unit).iter().any(has_losses) {
            return true;
        }
        if self.is_held_back(unit, now) {
            return false;
        }
        let tasks = self.unit_tasks(unit);
        !self.record_inherited_losses(&tasks, now)
    }

    /// Records when a unit first could run isolated, with only free capacity missing.
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

    /// How long a task has waited for an empty worker. Time in which nothing could start, as before a
    /// takeover has settled or while its start is being saved, does not count: else suspects would run
    /// next to other tasks right after an outage, when a loss is the least evidence.
    pub(crate) fn isolation_wait(&self, task: &job::TaskRecord, now: Duration) -> Duration {
        if task.isolatable_since < task.waiting_since {
            return Duration::ZERO;
        }
        let until = task.planned_start.map_or(now, |it| it.planned_at);
        until.saturating_sub(task.isolatable_since.max(self.uninterrupted_since))
    }

    /// The jobs with nothing running in underused pools of which a suspect waits for an empty worker.
    pub(crate) fn find_standing_suspects(&self) -> BTreeSet<ids::GraphId> {
        let jobs = self.standing_jobs().filter(|(_, it)| awaits_isolation(it));
        jobs.map(|(graph, _)| graph).collect()
    }

    /// Number of other jobs than that of a unit that stood at the beginning of the round, and still have neither
    /// a run nor a place.
    pub(crate) fn n_other_standing(&self, unit: task_key::UnitKey) -> usize {
        let others = self.standing_suspects.iter().filter(|it| **it != unit.graph);
        let jobs = others.filter_map(|it| self.jobs.get(it));
        jobs.filter(|it| it.runs().next().is_none() && !has_planned_start(it)).count()
    }

    /// Whether a task of a unit is held back until better evidence of the loss of its worker is due.
    pub(crate) fn is_held_back(&self, unit: task_key::UnitKey, now: Duration) -> bool {
        self.task_records(unit).iter().any(|it| now < it.held_until)
    }

    /// Removes the saved start of an attempt whose end is known. Returns whether it was saved.
    pub(crate) fn clear_saved_start(&mut self, key: task_key::TaskKey, attempt: u32) -> bool {
        self.task_record_mut(key).is_some_and(|it| it.suspicion.forget_attempt(attempt))
    }

    /// The number of the next attempt of a unit.
    pub(crate) fn next_attempt(&self, unit: task_key::UnitKey) -> Option<u32> {
        let step = self.jobs.get(&unit.graph)?.steps.get(unit.step as usize)?;
        let highest = match unit.task {
            Some(task) => step.tasks.get(task as usize)?.attempt,
            None => step.highest_attempt(),
        };
        Some(highest + 1)
    }

    /// Whether any task of a unit is a suspect.
    pub(crate) fn has_suspect(&self, unit: task_key::UnitKey) -> bool {
        self.task_records(unit).iter().any(|it| it.suspicion.is_suspect())
    }

    /// Whether any task of a unit may only be started in an isolated run.
    pub(crate) fn unit_needs_isolation(&self, unit: task_key::UnitKey) -> bool {
        self.task_records(unit).iter().any(|it| it.suspicion.needs_isolation())
    }

    /// The records of the tasks of a unit.
    pub(crate) fn task_records(&self, unit: task_key::UnitKey) -> &[job::TaskRecord] {
        let step = self.jobs.get(&unit.graph).and_then(|it| it.steps.get(unit.step as usize));
        let tasks = step.map(|it| it.tasks.as_slice()).unwrap_or_default();
        match unit.task {
            Some(task) => tasks.get(task as usize).map(std::slice::from_ref).unwrap_or_default(),
            None => tasks,
        }
    }

    /// Records a loss for each start that an earlier scheduler had saved and no worker lists, unless its
    /// worker shows that it had no effect. It is called once all workers have answered or their leases have
    /// lapsed. Returns whether there were any.
    fn record_inherited_losses(&mut self, tasks: &[task_key::TaskKey], now: Duration) -> bool {
        let mut has_recorded = false;
        for key in tasks {
            let Some(start) =
                self.task_record_mut(*key).and_then(|it| it.suspicion.take_inherited_start())
            else {
                continue;
            };
            if self.has_no_effect(&start) {
                self.mark_task_changed(*key);
                continue;
            }
            let anytime_probability = self.background_probability_untimed(*key, now);
            let early_probability = anytime_probability.max(INHERITED_START_PROBABILITY);
            let loss = suspicion::TaskLoss {
                attempt: start.attempt,
                early_probability,
                anytime_probability,
                latest_loss_offset: None,
            };
            self.record_loss(*key, loss, now);
            has_recorded = true;
        }
        has_recorded
    }

    /// Saves what runs on a worker that does not answer: if this scheduler fails before the loss is
    /// certain, its successor counts it.
    pub(crate) fn save_runs_on(&mut self, worker: &ids::WorkerId) {
        let Some(record) = self.workers.get(worker) else { return };
        let place = self.start_place(worker, self.last_maintenance_at);
        for key in record.runs.clone() {
            let Some(task) = self.task_record_mut(key) else { continue };
            let Some(attempt) = task.run.as_ref().map(|it| it.attempt) else { continue };
            if task.suspicion.saved_attempt() != Some(attempt) {
                let start = saved_start::SavedStart { attempt, place: place.clone() };
                task.suspicion.saved_start = Some(Box::new(start));
                self.mark_task_changed(key);
            }
        }
    }

    /// Holds a strong suspect back after the loss of a worker that may be alive, as better evidence is
    /// due soon. Otherwise the task would be started once more just before that evidence gives its job
    /// up.
    pub(crate) fn delay_restart(&mut self, key: task_key::TaskKey, now: Duration) {
        if let Some(task) = self.task_record_mut(key).filter(|it| it.suspicion.is_strong_suspect())
        {
            task.held_until = now + UNLISTED_AFTER_LAPSE;
        }
    }

    /// Makes a task avoid this worker, if there are others: two losses on the same worker are weaker
    /// evidence than on two workers.
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
