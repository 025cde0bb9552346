//! State that the baselines share: what waits and what runs.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::{ids, model, time};

use crate::baseline_capacity;
use crate::decision;
use crate::event;
use crate::hall_policy;
use crate::work;

/// Failed attempts after which a baseline gives work up.
const MAX_FAILURES: u32 = 5;

/// Waiting works looked at in a turn, as batch schedulers commonly bound their backfill.
const TESTED_WORKS: usize = 100;

/// Pause before work whose start failed is tried again.
const START_BACKOFF: Duration = Duration::from_secs(1);

/// Where work stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkStage {
    /// Not before this time.
    Waiting(time::WallTime),
    /// Reserved; the start is not confirmed.
    Starting,
    /// Running since.
    Running(time::WallTime),
}

/// Work that is not over.
#[derive(Clone, Debug)]
pub(crate) struct WorkEntry {
    pub(crate) item: work::WorkItem,
    pub(crate) stage: WorkStage,
    pub(crate) placement: Vec<work::TaskAssignment>,
    position: u64,
    failures: u32,
    ran: bool,
    cancelled: bool,
}

/// Everything a baseline knows.
pub(crate) struct BaselineState {
    pub(crate) config: Arc<model::ConfigDocument>,
    hall: model::HallLayout,
    pub(crate) free_capacity: baseline_capacity::HallCapacity,
    empty: baseline_capacity::HallCapacity,
    pub(crate) works: HashMap<work::WorkId, WorkEntry>,
    pub(crate) queue: BTreeMap<(time::WallTime, u64), work::WorkId>,
    pub(crate) out: Vec<decision::Decision>,
    next_position: u64,
    changed: bool,
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
            empty: baseline_capacity::HallCapacity::emptied(&layout, &config),
            hall: layout,
            config,
            works: HashMap::new(),
            queue: BTreeMap::new(),
            out: Vec::new(),
            next_position: 0,
            changed: true,
            next_retry: None,
        })
    }

    /// Takes a newer configuration of the same layout.
    pub(crate) fn configure(
        &mut self,
        config: Arc<model::ConfigDocument>,
    ) -> Result<(), hall_policy::PolicyFault> {
        find_hall(&self.hall.name, &config)?;
        self.config = config;
        Ok(())
    }

    pub(crate) fn apply(&mut self, event: event::HallEvent, now: time::WallTime) {
        self.changed |=
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
            event::HallEvent::WorkerLost(worker) => self.mark(&worker, |it| it.lost = true),
            event::HallEvent::WorkerBack(worker) => self.mark(&worker, |it| it.lost = false),
            event::HallEvent::WorkerDraining(worker) => {
                self.mark(&worker, |it| it.draining = true);
            }
            event::HallEvent::WorkerUndrained(worker) => {
                self.mark(&worker, |it| it.draining = false);
            }
        }
    }

    /// The first waiting works that may be tried now, in order of arrival; none where nothing has
    /// arrived or become free since the last time.
    pub(crate) fn ready(&mut self, now: time::WallTime) -> Vec<work::WorkId> {
        if !std::mem::take(&mut self.changed) && self.next_retry.is_none_or(|it| now < it) {
            return Vec::new();
        }
        self.next_retry = self.next_wake(now);
        self.queue
            .values()
            .filter(|it| match self.works[*it].stage {
                WorkStage::Waiting(not_before) => not_before <= now,
                WorkStage::Starting | WorkStage::Running(_) => false,
            })
            .copied()
            .take(TESTED_WORKS)
            .collect()
    }

    /// Starts waiting work.
    pub(crate) fn start(&mut self, work: work::WorkId, placement: Vec<work::TaskAssignment>) {
        let Some(entry) = self.works.get_mut(&work) else { return };
        entry.stage = WorkStage::Starting;
        entry.placement.clone_from(&placement);
        self.free_capacity.take(&entry.item.demand, &placement);
        self.queue.remove(&(entry.item.submitted_at, entry.position));
        let reason = wait_reason(model::WaitCode::Queued, "it fits here");
        self.out.push(decision::Decision::Start { work, placement, reason });
    }

    /// When work whose start failed is tried again.
    pub(crate) fn next_wake(&self, now: time::WallTime) -> Option<time::WallTime> {
        self.queue
            .values()
            .filter_map(|it| match self.works[it].stage {
                WorkStage::Waiting(not_before) if now < not_before => Some(not_before),
                WorkStage::Waiting(_) | WorkStage::Starting | WorkStage::Running(_) => None,
            })
            .min()
    }

    pub(crate) fn reason(&self, work: &work::WorkId) -> Option<model::WaitReason> {
        let entry = self.works.get(work)?;
        let (code, text) = match entry.stage {
            WorkStage::Waiting(_) => (model::WaitCode::NoCapacity, "waiting for room"),
            WorkStage::Starting => (model::WaitCode::Queued, "starting"),
            WorkStage::Running(_) => (model::WaitCode::Queued, "running"),
        };
        Some(wait_reason(code, text))
    }

    pub(crate) fn admits(&self, item: &work::WorkItem) -> Result<(), model::WaitReason> {
        match self.empty.place(item, baseline_capacity::PlacementChoice::First) {
            Some(_) => Ok(()),
            None => Err(wait_reason(model::WaitCode::NeverFits, "the empty hall has no room")),
        }
    }

    /// A picture with the queue only; operators never see a baseline.
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
        let item = &self.works[work].item;
        model::QueueView {
            job: *work,
            account: item.account.clone(),
            class: item.class.clone(),
            since: item.submitted_at,
            reason: wait_reason(model::WaitCode::NoCapacity, "waiting for room"),
        }
    }

    fn arrived(&mut self, item: work::WorkItem, now: time::WallTime) {
        if self.works.contains_key(&item.id) {
            return;
        }
        let work = item.id;
        let position = self.next_position;
        self.next_position += 1;
        self.queue.insert((item.submitted_at, position), work);
        let entry = WorkEntry {
            item,
            stage: WorkStage::Waiting(now),
            placement: Vec::new(),
            position,
            failures: 0,
            ran: false,
            cancelled: false,
        };
        self.works.insert(work, entry);
    }

    fn adopted(
        &mut self,
        item: work::WorkItem,
        placement: Vec<work::TaskAssignment>,
        started_at: time::WallTime,
    ) {
        let work = item.id;
        self.arrived(item, started_at);
        let Some(entry) = self.works.get_mut(&work) else { return };
        if !matches!(entry.stage, WorkStage::Waiting(_)) {
            return;
        }
        self.queue.remove(&(entry.item.submitted_at, entry.position));
        self.free_capacity.take(&entry.item.demand, &placement);
        entry.stage = WorkStage::Running(started_at);
        entry.placement = placement;
        entry.ran = true;
    }

    fn cancelled(&mut self, work: work::WorkId) {
        let Some(entry) = self.works.get_mut(&work) else { return };
        if entry.cancelled {
            return;
        }
        entry.cancelled = true;
        if matches!(entry.stage, WorkStage::Waiting(_)) {
            self.queue.remove(&(entry.item.submitted_at, entry.position));
            self.finish(work, untouched_outcome);
            return;
        }
        let reason = wait_reason(model::WaitCode::Queued, "cancelled");
        let after_stop = decision::AfterStop::End;
        self.out.push(decision::Decision::Stop { work, after_stop, reason });
    }

    fn started(&mut self, work: work::WorkId, now: time::WallTime) {
        let Some(entry) = self.works.get_mut(&work) else { return };
        if entry.stage == WorkStage::Starting {
            entry.stage = WorkStage::Running(now);
            entry.ran = true;
        }
    }

    fn start_failed(&mut self, work: work::WorkId, now: time::WallTime) {
        let Some(entry) = self.works.get_mut(&work) else { return };
        if entry.stage != WorkStage::Starting {
            return;
        }
        let placement = std::mem::take(&mut entry.placement);
        self.free_capacity.give_back(&entry.item.demand, &placement);
        if entry.cancelled {
            self.finish(work, untouched_outcome);
            return;
        }
        let retry = now + START_BACKOFF;
        entry.stage = WorkStage::Waiting(retry);
        self.next_retry = Some(self.next_retry.map_or(retry, |it| it.min(retry)));
        self.queue.insert((entry.item.submitted_at, entry.position), work);
    }

    fn ended(&mut self, work: work::WorkId, exit: event::WorkExit, now: time::WallTime) {
        let Some(entry) = self.works.get_mut(&work) else { return };
        if matches!(entry.stage, WorkStage::Waiting(_)) {
            return;
        }
        entry.ran = true;
        let placement = std::mem::take(&mut entry.placement);
        self.free_capacity.give_back(&entry.item.demand, &placement);
        let class = self.config.classes.iter().find(|it| it.name == entry.item.class);
        let repeatable = class.is_some_and(|it| it.repeatable);
        match exit {
            event::WorkExit::Succeeded => self.finish(work, |_| model::RequestOutcome::Done),
            event::WorkExit::Stopped => self.finish(work, |_| model::RequestOutcome::Failed),
            event::WorkExit::Failed { .. } | event::WorkExit::Lost { .. } => {
                entry.failures += 1;
                if entry.cancelled || !repeatable || MAX_FAILURES <= entry.failures {
                    self.finish(work, |_| model::RequestOutcome::Failed);
                    return;
                }
                entry.stage = WorkStage::Waiting(now);
                self.queue.insert((entry.item.submitted_at, entry.position), work);
                let reason = wait_reason(model::WaitCode::Queued, "it is tried again");
                self.out.push(decision::Decision::Requeue { work, reason });
            }
        }
    }

    fn finish(&mut self, work: work::WorkId, outcome: fn(&WorkEntry) -> model::RequestOutcome) {
        let Some(entry) = self.works.remove(&work) else { return };
        let reason = wait_reason(model::WaitCode::Queued, "over");
        let outcome = outcome(&entry);
        self.out.push(decision::Decision::Finish { work, outcome, reason });
    }

    fn mark(&mut self, worker: &ids::WorkerId, change: fn(&mut baseline_capacity::WorkerCapacity)) {
        if let Some(worker) = self.free_capacity.worker_mut(worker) {
            change(worker);
        }
    }
}

/// Outcome of work that waits when it is given up.
fn untouched_outcome(entry: &WorkEntry) -> model::RequestOutcome {
    if entry.ran { model::RequestOutcome::Failed } else { model::RequestOutcome::NotRun }
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
