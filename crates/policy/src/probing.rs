//! Attributes failures to workers or to the work itself, and probes workers after their quarantine.

use std::collections::HashMap;
use std::time::Duration;

use almondpass_schema::model;

use crate::core::HallCore;
use crate::decision::Decision;
use crate::health::WorkerHealth;
use crate::item::ItemState;
use crate::ledger::{Booking, Usage};
use crate::placement::{self, PlacementRequest, PlacementRule};
use crate::reasons;
use crate::timers::TimerKind;
use crate::topology::NONE;
use crate::work;

/// Weight of the newest result in the exponential moving average of a failure rate.
const NEWEST_RESULT_WEIGHT: f64 = 0.2;
/// Smallest weight of a failure against its worker, also for classes that nearly always fail.
const MIN_FAILURE_WEIGHT: f64 = 0.1;
/// A worker for which no probe is found within this time after its quarantine accepts any work again.
/// Otherwise a gang that needs every worker would wait forever in a hall without small work.
const PROBE_TIMEOUT: Duration = Duration::from_secs(60);
/// Most probes that are started in one round.
const MAX_PROBES_PER_ROUND: usize = 4;

/// Failure rate of each pair of account and class, counted on workers that have no failure streak.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureRates {
    by_account_and_class: HashMap<(u32, u32), f64>,
}

impl FailureRates {
    fn rate(&self, account: u32, class: u32) -> f64 {
        self.by_account_and_class.get(&(account, class)).copied().unwrap_or(0.0)
    }

    fn record(&mut self, account: u32, class: u32, failed: bool) {
        let rate = self.by_account_and_class.entry((account, class)).or_insert(0.0);
        *rate += NEWEST_RESULT_WEIGHT * (f64::from(u8::from(failed)) - *rate);
    }
}

/// Allows the free resources of one worker to its probe. Home blocks need no check: a worker in quarantine
/// has none.
struct ProbeRule<'a> {
    core: &'a HallCore,
    worker: u32,
    usage: Usage,
}

impl PlacementRule for ProbeRule<'_> {
    fn allows_accelerator(&self, accelerator: u32) -> bool {
        let at = accelerator as usize;
        self.core.topology.worker_of[at] == self.worker && self.core.ledger.holder[at] == NONE
    }

    fn task_capacity(&self, worker: u32) -> u32 {
        if worker != self.worker {
            return 0;
        }
        self.core.ledger.workers[worker as usize].free.max_tasks(self.usage)
    }

    fn penalty(&self, _accelerator: u32) -> u32 {
        0
    }

    fn cpu_only_rank(&self, _worker: u32) -> i64 {
        0
    }
}

impl HallCore {
    /// Records a failure of an item on a worker. It counts against the worker only if the item has not failed
    /// on another worker too or is the worker's probe, and the less the higher the failure rate of the item's
    /// account and class.
    pub(crate) fn record_failure(&mut self, index: u32, worker: u32, work: work::WorkId) {
        let item = self.items.at_mut(index);
        item.n_failures += 1;
        if !item.failed_on.contains(&worker) {
            item.failed_on.push(worker);
        }
        let (account, class) = (item.account, item.class);
        let failed_elsewhere = 1 < item.failed_on.len();
        let starts_streak = !self.health[worker as usize].has_failure_streak();
        // Only the first failure of a worker's streak counts for the class. Otherwise a faulty worker would
        // raise the failure rates of all classes that run on it, and these would lower the weights of its
        // failures.
        let rate = self.failure_rates.rate(account, class);
        if starts_streak {
            self.failure_rates.record(account, class, true);
        }
        if failed_elsewhere && self.health[worker as usize].probe != Some(work) {
            self.withdraw_failures(index);
            return;
        }
        let weight = (1.0 - rate).max(MIN_FAILURE_WEIGHT);
        if self.health[worker as usize].record_failure(work, weight, self.now) {
            self.homes_dirty = true;
            if let Some(at) = self.health[worker as usize].quarantined_until {
                self.set_timer(at, TimerKind::CapacityCheck, NONE);
                self.set_timer(at + PROBE_TIMEOUT, TimerKind::CapacityCheck, NONE);
            }
        }
    }

    /// Removes the failures of an item from the streaks of all workers on which it failed.
    pub(crate) fn withdraw_failures(&mut self, index: u32) {
        let item = self.items.at(index);
        let work = item.work.id;
        for it in item.failed_on.clone() {
            self.health[it as usize].withdraw_failure(work);
        }
    }

    /// Records that an item succeeded on its workers, which ends their streaks.
    pub(crate) fn record_success(&mut self, index: u32) {
        let item = self.items.at(index);
        let work = item.work.id;
        self.failure_rates.record(item.account, item.class, false);
        for it in &item.tasks {
            let health: &mut WorkerHealth = &mut self.health[it.worker as usize];
            let was_unusable = !health.usable();
            health.record_success(work);
            if was_unusable && health.usable() {
                self.homes_dirty = true;
                self.capacity_version += 1;
            }
        }
    }

    /// Clears the probe on the item's workers, if the item is one; another item may then probe them.
    pub(crate) fn abandon_probe(&mut self, index: u32) {
        let item = self.items.at(index);
        for it in &item.tasks {
            self.health[it.worker as usize].abandon_probe(item.work.id);
        }
    }

    /// Gives a worker no new work for a short time, and sets a timer for the end of the pause.
    pub(crate) fn pause_worker(&mut self, worker: u32) {
        let at = self.health[worker as usize].pause(self.now);
        self.set_timer(at, TimerKind::CapacityCheck, NONE);
    }

    /// Emits a decision for each worker whose state changed since it was last reported.
    pub(crate) fn report_worker_states(&mut self) {
        for worker in 0..self.health.len() {
            let state = self.health[worker].state(self.now);
            if state == self.reported_states[worker] {
                continue;
            }
            self.reported_states[worker] = state;
            let reason = self.worker_reason(worker as u32, state);
            let worker = self.topology.workers[worker].name.clone();
            self.outbox.push(Decision::WorkerChanged { worker, state, reason });
        }
    }

    fn worker_reason(&self, worker: u32, state: model::WorkerState) -> model::WaitReason {
        let name = &self.topology.workers[worker as usize].name;
        let health = &self.health[worker as usize];
        let text = match state {
            model::WorkerState::Live => format!("{name} takes work"),
            model::WorkerState::Draining => format!("{name} is drained: no new work"),
            model::WorkerState::Lost => format!("{name} does not answer"),
            model::WorkerState::Probing => {
                format!("{name} is probed with one small piece of repeatable work")
            }
            model::WorkerState::Quarantined => {
                format!("{name} fails what it starts: no work until it is probed")
            }
        };
        let code = match state {
            model::WorkerState::Quarantined | model::WorkerState::Probing => {
                model::WaitCode::Quarantined
            }
            _ => model::WaitCode::Queued,
        };
        let until = health.quarantined_until.filter(|_| state == model::WorkerState::Quarantined);
        model::WaitReason { code, text, until }
    }

    /// Starts a probe on each worker whose quarantine is over: the lowest-ranked waiting item that is
    /// repeatable, has one task and fits there.
    pub(crate) fn probe_workers(&mut self) {
        let awaiting_probe: Vec<u32> = (0..self.health.len() as u32)
            .filter(|it| self.health[*it as usize].awaits_probe(self.now))
            .take(MAX_PROBES_PER_ROUND)
            .collect();
        if awaiting_probe.is_empty() {
            return;
        }
        let groups = self.ranked_groups(|core, key| {
            key.tasks == 1 && core.catalog.classes[key.class as usize].repeatable
        });
        for worker in awaiting_probe {
            let probe = groups.iter().rev().find_map(|it| self.find_probe(*it, worker));
            let Some((index, tasks)) = probe else {
                self.release_unprobed(worker);
                continue;
            };
            self.dequeue(index);
            let work = self.items.at(index).work.id;
            self.health[worker as usize].probe = Some(work);
            let name = self.topology.workers[worker as usize].name.clone();
            let text = format!("probes {name}, which failed what it started");
            self.start(index, tasks, None, reasons::plain(model::WaitCode::Quarantined, text));
        }
    }

    /// Lifts the quarantine of a worker that found no probe within [`PROBE_TIMEOUT`] after the quarantine's
    /// time was over.
    fn release_unprobed(&mut self, worker: u32) {
        let health = &mut self.health[worker as usize];
        if health.quarantined_until.is_some_and(|it| it + PROBE_TIMEOUT <= self.now) {
            health.end_quarantine();
            self.homes_dirty = true;
            self.note_capacity_change();
        }
    }

    /// Places the oldest item of a group that has never failed on any worker. An item that has failed may be
    /// at fault itself: as a probe it would put a sound worker in quarantine again and again, for longer each
    /// time, and a gang that needs the worker would wait for that long.
    fn find_probe(&self, group: u32, worker: u32) -> Option<(u32, Vec<crate::ledger::PlacedTask>)> {
        let entries = &self.queue.group(group)?.entries;
        let index =
            entries.iter().map(|it| it.item).find(|it| self.items.at(*it).n_failures == 0)?;
        let item = self.items.at(index);
        let can_probe = item.state == ItemState::Waiting
            && !item.exclude.contains(&worker)
            && self.booking_of(index) == Booking::Reclaimable
            && self.ineligibility(index).is_none();
        if !can_probe {
            return None;
        }
        let request = PlacementRequest::of(&item.work);
        let rule = ProbeRule { core: self, worker, usage: request.usage };
        Some((index, placement::best(&self.topology, &request, &rule)?))
    }
}
