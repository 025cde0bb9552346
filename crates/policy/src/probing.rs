//! Telling failing workers from failing work, and probing workers that were taken out.

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

/// Part that the newest result has in a failure rate.
const NEWEST_PART: f64 = 0.2;
/// A failure never counts for less than this against its worker.
const LEAST_WEIGHT: f64 = 0.1;
/// A worker that sat its quarantine out and found no small work to probe it within this takes any.
/// A gang that needs every worker would otherwise wait for ever in a hall without small work.
const PROBE_PATIENCE: Duration = Duration::from_secs(60);
/// Probes started in one turn.
const PROBES_A_TURN: usize = 4;

/// How often work of each account and class fails, on workers that are not in a streak.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureRates {
    rates: HashMap<(u32, u32), f64>,
}

impl FailureRates {
    fn rate(&self, account: u32, class: u32) -> f64 {
        self.rates.get(&(account, class)).copied().unwrap_or(0.0)
    }

    fn record(&mut self, account: u32, class: u32, failed: bool) {
        let rate = self.rates.entry((account, class)).or_insert(0.0);
        *rate += NEWEST_PART * (f64::from(u8::from(failed)) - *rate);
    }
}

/// One worker that is probed; home blocks are elsewhere while it is out.
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
    /// Counts a failure against the worker, as far as it is not the work's own.
    pub(crate) fn record_failure(&mut self, index: u32, worker: u32, work: work::WorkId) {
        let item = self.items.at_mut(index);
        item.n_failures += 1;
        if !item.failed_on.contains(&worker) {
            item.failed_on.push(worker);
        }
        let (account, class) = (item.account, item.class);
        let elsewhere = 1 < item.failed_on.len();
        let first = !self.health[worker as usize].has_failure_streak();
        // Only the first failure of a streak counts for the class: a failing worker would otherwise
        // make every class that it touches look faulty, and so be excused.
        let rate = self.failure_rates.rate(account, class);
        if first {
            self.failure_rates.record(account, class, true);
        }
        if elsewhere && self.health[worker as usize].probe != Some(work) {
            self.withdraw_failures(index);
            return;
        }
        let weight = (1.0 - rate).max(LEAST_WEIGHT);
        if self.health[worker as usize].record_failure(work, weight, self.now) {
            self.homes_dirty = true;
            if let Some(at) = self.health[worker as usize].quarantined_until {
                self.set_timer(at, TimerKind::CapacityCheck, NONE);
                self.set_timer(at + PROBE_PATIENCE, TimerKind::CapacityCheck, NONE);
            }
        }
    }

    /// Takes back what was counted against workers for this work.
    pub(crate) fn withdraw_failures(&mut self, index: u32) {
        let item = self.items.at(index);
        let work = item.work.id;
        for it in item.failed_on.clone() {
            self.health[it as usize].withdraw_failure(work);
        }
    }

    /// Counts a success for the workers.
    pub(crate) fn record_success(&mut self, index: u32) {
        let item = self.items.at(index);
        let work = item.work.id;
        self.failure_rates.record(item.account, item.class, false);
        for it in &item.tasks {
            let health: &mut WorkerHealth = &mut self.health[it.worker as usize];
            let out = !health.usable();
            health.record_success(work);
            if out && health.usable() {
                self.homes_dirty = true;
                self.capacity_version += 1;
            }
        }
    }

    /// Forgets that work is a probe.
    pub(crate) fn abandon_probe(&mut self, index: u32) {
        let item = self.items.at(index);
        for it in &item.tasks {
            self.health[it.worker as usize].abandon_probe(item.work.id);
        }
    }

    /// Leaves a worker alone for a while.
    pub(crate) fn pause_worker(&mut self, worker: u32) {
        let at = self.health[worker as usize].pause(self.now);
        self.set_timer(at, TimerKind::CapacityCheck, NONE);
    }

    /// Reports workers whose state changed.
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

    /// Gives one small piece of work, of the least pressing that waits, to each worker that has sat
    /// its quarantine out.
    pub(crate) fn probe_workers(&mut self) {
        let due: Vec<u32> = (0..self.health.len() as u32)
            .filter(|it| self.health[*it as usize].awaits_probe(self.now))
            .take(PROBES_A_TURN)
            .collect();
        if due.is_empty() {
            return;
        }
        let groups = self.ranked_groups(|core, key| {
            key.tasks == 1 && core.catalog.classes[key.class as usize].repeatable
        });
        for worker in due {
            let found = groups.iter().rev().find_map(|it| self.probe_with(*it, worker));
            let Some((index, tasks)) = found else {
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

    /// Lets a worker take any work where nothing small came to probe it.
    fn release_unprobed(&mut self, worker: u32) {
        let health = &mut self.health[worker as usize];
        if health.quarantined_until.is_some_and(|it| it + PROBE_PATIENCE <= self.now) {
            health.end_quarantine();
            self.homes_dirty = true;
            self.note_capacity_change();
        }
    }

    /// Places the eldest of a group that has never failed on the worker. Work that has failed may be
    /// at fault itself: as a probe it would take a sound worker out again and again, for longer each
    /// time, and a gang that needs the worker would wait for it.
    fn probe_with(&self, group: u32, worker: u32) -> Option<(u32, Vec<crate::ledger::PlacedTask>)> {
        let entries = &self.queue.group(group)?.entries;
        let index =
            entries.iter().map(|it| it.item).find(|it| self.items.at(*it).n_failures == 0)?;
        let item = self.items.at(index);
        let able = item.state == ItemState::Waiting
            && !item.exclude.contains(&worker)
            && self.booking_of(index) == Booking::Reclaimable
            && self.ineligibility(index).is_none();
        if !able {
            return None;
        }
        let request = PlacementRequest::of(&item.work);
        let rule = ProbeRule { core: self, worker, usage: request.usage };
        Some((index, placement::best(&self.topology, &request, &rule)?))
    }
}
