//! State shared by the baseline policies: the queue, the work in progress and the free capacity.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::{ids, model, time};

use crate::baseline_capacity;
use crate::decision;
use crate::event;
use crate::hall_policy;
use crate::work;

/// Failed attempts of a work item after which a baseline finishes it as failed.
const MAX_FAILED_ATTEMPTS: u32 = 5;

/// Waiting work items tested per round; batch schedulers commonly limit their backfill like this.
const MAX_TESTED_PER_ROUND: usize = 100;

/// Delay before a work item whose start failed may start again.
const START_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Stage of a work item that has not finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkStage {
    /// Queued; may start at this time or later.
    Waiting(time::WallTime),
    /// A start was decided and capacity allocated; the start is not confirmed yet.
    Starting,
    /// Running since this time.
    Running(time::WallTime),
}

/// A work item that has not finished.
#[derive(Clone, Debug)]
pub(crate) struct WorkEntry {
    pub(crate) item: work::WorkItem,
    pub(crate) stage: WorkStage,
    pub(crate) placement: Vec<work::TaskAssignment>,
    arrival_number: u64,
    failures: u32,
    has_run: bool,
    cancelled: bool,
}

/// State of a baseline policy for one hall.
pub(crate) struct BaselineState {
    pub(crate) config: Arc<model::ConfigDocument>,
    hall: model::HallLayout,
    pub(crate) free_capacity: baseline_capacity::HallCapacity,
    unoccupied_hall: baseline_capacity::HallCapacity,
    pub(crate) entries: HashMap<work::WorkId, WorkEntry>,
    /// Waiting work, by time of submission and number of arrival.
    pub(crate) queue: BTreeMap<(time::WallTime, u64), work::WorkId>,
    /// Decisions to return from the current or next round.
    pub(crate) decisions: Vec<decision::Decision>,
    next_arrival_number: u64,
    /// Whether an event since the last call of `ready` may allow work to start.
    start_may_be_possible: bool,
    /// When `ready` returns work again even without such an event.
    next_retry: Option<time::WallTime>,
}

impl BaselineState {
    pub(crate) fn new(
        hall: &ids::HallName,
        config: Arc<model::ConfigDocument>,
    ) -> Result<BaselineState, hall_policy::PolicyFault> {
        let layout = find_hall(hall, &config)?.clone();
        Ok(BaselineState {
            free_capacity: baseline_capacity::HallCapacity::of(&layout, &config),
            unoccupied_hall: baseline_capacity::HallCapacity::unoccupied(&layout, &config),
            hall: layout,
            config,
            entries: HashMap::new(),
            queue: BTreeMap::new(),
            decisions: Vec::new(),
            next_arrival_number: 0,
            start_may_be_possible: true,
            next_retry: None,
        })
    }

    /// Applies a newer configuration. The layout of the hall must be unchanged: capacity is not recomputed.
    pub(crate) fn configure(
        &mut self,
        config: Arc<model::ConfigDocument>,
    ) -> Result<(), hall_policy::PolicyFault> {
        find_hall(&self.hall.name, &config)?;
        self.config = config;
        Ok(())
    }

    pub(crate) fn apply(&mut self, event: event::HallEvent, now: time::WallTime) {
        self.start_may_be_possible |=
            !matches!(event, event::HallEvent::Started(_) | event::HallEvent::Checkpointed(_));
        match event {
            event::HallEvent::Arrived(item) => self.arrived(item, now),
            event::HallEvent::Adopted { item, placement, started_at } => {
                self.adopted(item, placement, started_at);
            }
            event::HallEvent::Cancelled(work) => self.cancelled(work),
            event::HallEvent::Started(work) => self.started(work, now),
            event::HallEvent::StartFailed { work, .. } => self.start_failed(work, now),
            event::HallEvent::Checkpointed(_) => {}
            event::HallEvent::Ended { work, exit } => self.ended(work, exit, now),
            event::HallEvent::WorkerLost(worker) => {
                self.update_worker(&worker, |it| it.lost = true)
            }
            event::HallEvent::WorkerBack(worker) => {
                self.update_worker(&worker, |it| it.lost = false)
            }
            event::HallEvent::WorkerDraining(worker) => {
                self.update_worker(&worker, |it| it.draining = true);
            }
            event::HallEvent::WorkerUndrained(worker) => {
                self.update_worker(&worker, |it| it.draining = false);
            }
        }
    }

    /// Returns the first `MAX_TESTED_PER_ROUND` waiting work items that may start now, in arrival order.
    /// Returns none if no event that can change the placement has arrived and no retry has come due
    /// since the previous call.
    pub(crate) fn ready(&mut self, now: time::WallTime) -> Vec<work::WorkId> {
        if !std::mem::take(&mut self.start_may_be_possible)
            && self.next_retry.is_none_or(|it| now < it)
        {
            return Vec::new();
        }
        self.next_retry = self.next_wake(now);
        self.queue
            .values()
            .filter(|it| match self.entries[*it].stage {
                WorkStage::Waiting(not_before) => not_before <= now,
                WorkStage::Starting | WorkStage::Running(_) => false,
            })
            .copied()
            .take(MAX_TESTED_PER_ROUND)
            .collect()
    }

    /// Allocates the placement to a waiting work item and emits the start decision.
    pub(crate) fn start(&mut self, work: work::WorkId, placement: Vec<work::TaskAssignment>) {
        let Some(entry) = self.entries.get_mut(&work) else { return };
        entry.stage = WorkStage::Starting;
        entry.placement.clone_from(&placement);
        self.free_capacity.allocate(&entry.item.demand, &placement);
        self.queue.remove(&(entry.item.submitted_at, entry.arrival_number));
        let reason = wait_reason(model::WaitCode::Queued, "it fits here");
        self.decisions.push(decision::Decision::Start { work, placement, reason });
    }

    /// Earliest time at which a work item whose start failed may start again.
    pub(crate) fn next_wake(&self, now: time::WallTime) -> Option<time::WallTime> {
        self.queue
            .values()
            .filter_map(|it| match self.entries[it].stage {
                WorkStage::Waiting(not_before) if now < not_before => Some(not_before),
                WorkStage::Waiting(_) | WorkStage::Starting | WorkStage::Running(_) => None,
            })
            .min()
    }

    pub(crate) fn reason(&self, work: &work::WorkId) -> Option<model::WaitReason> {
        let entry = self.entries.get(work)?;
        let (code, text) = match entry.stage {
            WorkStage::Waiting(_) => (model::WaitCode::NoCapacity, "waiting for room"),
            WorkStage::Starting => (model::WaitCode::Queued, "starting"),
            WorkStage::Running(_) => (model::WaitCode::Queued, "running"),
        };
        Some(wait_reason(code, text))
    }

    pub(crate) fn admits(&self, item: &work::WorkItem) -> Result<(), model::WaitReason> {
        match self.unoccupied_hall.find_placement(item, baseline_capacity::PlacementChoice::First) {
            Some(_) => Ok(()),
            None => Err(wait_reason(model::WaitCode::NeverFits, "the empty hall has no room")),
        }
    }

    /// A picture with the queue only, because baselines are never shown to operators.
    pub(crate) fn picture(&self) -> model::HallPicture {
        let queue = self.queue.values().map(|it| self.queue_view(it)).collect();
        model::HallPicture {
            hall: self.hall.name.clone(),
            epoch: 0,
            holder: String::new(),
            workers: Vec::new(),
            queue,
            guarantees: Vec::new(),
            fragmentation: 0.0,
        }
    }

    fn queue_view(&self, work: &work::WorkId) -> model::QueueView {
        let item = &self.entries[work].item;
        model::QueueView {
            job: *work,
            account: item.account.clone(),
            class: item.class.clone(),
            since: item.submitted_at,
            reason: wait_reason(model::WaitCode::NoCapacity, "waiting for room"),
        }
    }

    fn arrived(&mut self, item: work::WorkItem, now: time::WallTime) {
        if self.entries.contains_key(&item.id) {
            return;
        }
        let work = item.id;
        let arrival_number = self.next_arrival_number;
        self.next_arrival_number += 1;
        self.queue.insert((item.submitted_at, arrival_number), work);
        let entry = WorkEntry {
            item,
            stage: WorkStage::Waiting(now),
            placement: Vec::new(),
            arrival_number,
            failures: 0,
            has_run: false,
            cancelled: false,
        };
        self.entries.insert(work, entry);
    }

    fn adopted(
        &mut self,
        item: work::WorkItem,
        placement: Vec<work::TaskAssignment>,
        started_at: time::WallTime,
    ) {
        let work = item.id;
        self.arrived(item, started_at);
        let Some(entry) = self.entries.get_mut(&work) else { return };
        if !matches!(entry.stage, WorkStage::Waiting(_)) {
            return;
        }
        self.queue.remove(&(entry.item.submitted_at, entry.arrival_number));
        self.free_capacity.allocate(&entry.item.demand, &placement);
        entry.stage = WorkStage::Running(started_at);
        entry.placement = placement;
        entry.has_run = true;
    }

    fn cancelled(&mut self, work: work::WorkId) {
        let Some(entry) = self.entries.get_mut(&work) else { return };
        if entry.cancelled {
            return;
        }
        entry.cancelled = true;
        if matches!(entry.stage, WorkStage::Waiting(_)) {
            self.queue.remove(&(entry.item.submitted_at, entry.arrival_number));
            self.finish(work, outcome_while_waiting);
            return;
        }
        let reason = wait_reason(model::WaitCode::Queued, "cancelled");
        let after_stop = decision::AfterStop::End;
        self.decisions.push(decision::Decision::Stop { work, after_stop, reason });
    }

    fn started(&mut self, work: work::WorkId, now: time::WallTime) {
        let Some(entry) = self.entries.get_mut(&work) else { return };
        if entry.stage == WorkStage::Starting {
            entry.stage = WorkStage::Running(now);
            entry.has_run = true;
        }
    }

    fn start_failed(&mut self, work: work::WorkId, now: time::WallTime) {
        let Some(entry) = self.entries.get_mut(&work) else { return };
        if entry.stage != WorkStage::Starting {
            return;
        }
        let placement = std::mem::take(&mut entry.placement);
        self.free_capacity.release(&entry.item.demand, &placement);
        if entry.cancelled {
            self.finish(work, outcome_while_waiting);
            return;
        }
        let retry = now + START_RETRY_DELAY;
        entry.stage = WorkStage::Waiting(retry);
        self.next_retry = Some(self.next_retry.map_or(retry, |it| it.min(retry)));
        self.queue.insert((entry.item.submitted_at, entry.arrival_number), work);
    }

    fn ended(&mut self, work: work::WorkId, exit: event::WorkExit, now: time::WallTime) {
        let Some(entry) = self.entries.get_mut(&work) else { return };
        if matches!(entry.stage, WorkStage::Waiting(_)) {
            return;
        }
        entry.has_run = true;
        let placement = std::mem::take(&mut entry.placement);
        self.free_capacity.release(&entry.item.demand, &placement);
        let class = self.config.classes.iter().find(|it| it.name == entry.item.class);
        let repeatable = class.is_some_and(|it| it.repeatable);
        match exit {
            event::WorkExit::Succeeded => self.finish(work, |_| model::RequestOutcome::Done),
            event::WorkExit::Stopped => self.finish(work, |_| model::RequestOutcome::Failed),
            event::WorkExit::Failed { .. } | event::WorkExit::Lost { .. } => {
                entry.failures += 1;
                if entry.cancelled || !repeatable || MAX_FAILED_ATTEMPTS <= entry.failures {
                    self.finish(work, |_| model::RequestOutcome::Failed);
                    return;
                }
                entry.stage = WorkStage::Waiting(now);
                self.queue.insert((entry.item.submitted_at, entry.arrival_number), work);
                let reason = wait_reason(model::WaitCode::Queued, "it is tried again");
                self.decisions.push(decision::Decision::Requeue { work, reason });
            }
        }
    }

    fn finish(&mut self, work: work::WorkId, outcome: fn(&WorkEntry) -> model::RequestOutcome) {
        let Some(entry) = self.entries.remove(&work) else { return };
        let reason = wait_reason(model::WaitCode::Queued, "over");
        let outcome = outcome(&entry);
        self.decisions.push(decision::Decision::Finish { work, outcome, reason });
    }

    fn update_worker(
        &mut self,
        worker: &ids::WorkerId,
        change: fn(&mut baseline_capacity::WorkerCapacity),
    ) {
        if let Some(worker) = self.free_capacity.worker_mut(worker) {
            change(worker);
        }
    }
}

/// Outcome of a work item that is cancelled while it waits.
fn outcome_while_waiting(entry: &WorkEntry) -> model::RequestOutcome {
    if entry.has_run { model::RequestOutcome::Failed } else { model::RequestOutcome::NotRun }
}

fn find_hall<'a>(
    hall: &ids::HallName,
    config: &'a model::ConfigDocument,
) -> Result<&'a model::HallLayout, hall_policy::PolicyFault> {
    config
        .halls
        .iter()
        .find(|it| it.name == *hall)
        .ok_or_else(|| hall_policy::PolicyFault::UnknownHall(hall.clone()))
}

fn wait_reason(code: model::WaitCode, text: &str) -> model::WaitReason {
    model::WaitReason { code, text: text.to_owned(), until: None }
}
