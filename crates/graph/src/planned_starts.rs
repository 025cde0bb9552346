//! Starts of suspects that have a place and are sent once they are saved.

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::isolation;
use crate::job;
use crate::saved_start;
use crate::task_key;

/// A unit keeps its place for this long while its start is being saved. A save takes less than that, unless the
/// store does not answer.
const PLACE_KEPT_FOR: Duration = Duration::from_millis(400);

impl core::PoolCore {
    /// Saves the start of a unit whose tasks have these workers now, if one of the tasks needs isolation.
    /// Returns whether the start may be sent.
    pub(crate) fn ensure_start_saved(
        &mut self,
        unit: task_key::UnitKey,
        workers: &[ids::WorkerId],
        now: Duration,
    ) -> bool {
        if !self.unit_needs_isolation(unit) {
            return true;
        }
        let Some(attempt) = self.next_attempt(unit) else { return false };
        let mut is_durable = true;
        for (key, worker) in self.unit_tasks(unit).into_iter().zip(workers) {
            if !self.needs_isolation(key) {
                continue;
            }
            let start = saved_start::SavedStart { attempt, place: self.start_place(worker, now) };
            // A task that is no suspect does not wait for its start to be saved: work that lost its
            // workers twice by chance would stay idle while the store is unavailable.
            is_durable &= self.save_start(key, start, now) || !self.is_suspect(key);
        }
        is_durable
    }

    /// Assigns workers to the tasks of a unit so that each task whose start is planned gets the worker of
    /// its plan, if the worker is among them. The tasks of a unit need the same.
    pub(crate) fn keep_planned_workers(
        &self,
        unit: task_key::UnitKey,
        workers: &mut [ids::WorkerId],
    ) {
        let tasks = self.task_records(unit);
        let is_as_planned = |index: usize, worker: &ids::WorkerId| {
            tasks.get(index).and_then(job::TaskRecord::planned_worker) == Some(worker)
        };
        for (index, task) in tasks.iter().enumerate() {
            let Some(planned) = task.planned_worker() else { continue };
            if workers.get(index).is_none_or(|it| it == planned) {
                continue;
            }
            let free = workers
                .iter()
                .enumerate()
                .position(|(other, it)| it == planned && !is_as_planned(other, it));
            if let Some(other) = free {
                workers.swap(index, other);
            }
        }
    }

    /// Whether the save of a unit's planned start takes so long that the unit keeps no place meanwhile.
    pub(crate) fn awaits_slow_save(&self, unit: task_key::UnitKey, now: Duration) -> bool {
        self.task_records(unit)
            .iter()
            .filter_map(|it| it.planned_start)
            .any(|it| !self.unsaved.is_durable(it.change) && now > it.planned_at + PLACE_KEPT_FOR)
    }

    /// Withdraws the saved start of a unit that has lost its place before the start was sent: a
    /// successor would count it as the loss of a worker.
    pub(crate) fn withdraw_planned_start(&mut self, unit: task_key::UnitKey, now: Duration) {
        if self.task_records(unit).iter().all(|it| it.planned_start.is_none()) {
            return;
        }
        for key in self.unit_tasks(unit) {
            if self.task_record_mut(key).is_some_and(|it| it.withdraw_planned_start(now)) {
                self.mark_task_changed(key);
            }
        }
    }

    /// Whether another task of the unit's job has a place and waits for its start to be saved.
    pub(crate) fn has_planned_start_beside(&self, unit: task_key::UnitKey) -> bool {
        let is_planned = self.task_records(unit).iter().any(|it| it.planned_start.is_some());
        !is_planned && self.jobs.get(&unit.graph).is_some_and(isolation::has_planned_start)
    }

    /// Whether a unit can't start because its start is not saved yet.
    pub(crate) fn awaits_saved_start(&self, unit: task_key::UnitKey) -> bool {
        self.task_records(unit).iter().any(|it| {
            let is_unsaved = it.planned_start.is_some_and(|it| !self.unsaved.is_durable(it.change));
            it.suspicion.inherited_start.is_some() || is_unsaved
        })
    }

    /// Saves a start that has a place, and returns whether it is durable.
    fn save_start(
        &mut self,
        key: task_key::TaskKey,
        start: saved_start::SavedStart,
        now: Duration,
    ) -> bool {
        let Some(task) = self.task_record_mut(key) else { return false };
        let saved = task.suspicion.saved_start.as_ref();
        if let Some(planned) = task.planned_start
            && saved.is_some_and(|it| it.is_same_as(&start))
        {
            return self.unsaved.is_durable(planned.change);
        }
        task.withdraw_planned_start(now);
        task.suspicion.saved_start = Some(Box::new(start));
        let change = self.mark_task_changed(key);
        if let Some(task) = self.task_record_mut(key) {
            let plan = |change| job::PlannedStart { change, planned_at: now };
            task.planned_start = change.map(plan);
        }
        false
    }
}
