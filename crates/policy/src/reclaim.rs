//! Reclaim: chooses the items to preempt for a claim or for urgent work, and stops them.

use std::time::Duration;

use almondpass_schema::model;

use crate::core::HallCore;
use crate::decision::AfterStop;
use crate::item::{ItemState, QueueItem, ReservationKind};
use crate::ledger::PlacedTask;
use crate::placement::{self, PlacementRequest, PlacementRule};
use crate::reasons;
use crate::reservations;
use crate::topology::NONE;

/// Cost of stopping a victim in addition to the work it loses, in accelerator seconds.
const STOP_COST: f64 = 5.0;
/// Cost of a restart for each accelerator of the victim, in seconds. Even if a checkpoint saves its
/// run, a gang has to wait for a place again, and a wider gang waits longer.
const RESTART_COST: f64 = 30.0;
/// The cost of a victim rises by this fraction with each earlier preemption, so that the same job is not
/// preempted over and over.
const REPEAT_COST: f64 = 1.0;

/// The allowed place whose holders cost least to preempt, where a gang that holds any part of the place
/// counts whole. `starts` are the accelerators at which a run may begin.
pub(crate) fn cheapest_placement(
    core: &HallCore,
    request: &PlacementRequest,
    rule: &impl PlacementRule,
    starts: &[u32],
    grace: Duration,
) -> Option<Vec<PlacedTask>> {
    let scattered = 1 < request.tasks && request.adjacency == model::Adjacency::Any;
    if scattered {
        return cheapest_scattered(core, request, rule, starts, grace);
    }
    let mut tasks = Vec::new();
    let mut best: Option<(f64, u32)> = None;
    for start in starts {
        if placement::place_run_at(&core.topology, request, rule, *start, &mut tasks).is_none() {
            continue;
        }
        let limit = best.map_or(f64::INFINITY, |(cost, _)| cost);
        let cost = cost(core, request.accelerators_per_task, &tasks, &[], limit, grace);
        if cost < limit {
            best = Some((cost, *start));
        }
        if cost == 0.0 {
            break;
        }
    }
    let (_, start) = best?;
    placement::place_run_at(&core.topology, request, rule, start, &mut tasks)?;
    Some(placement::placed_tasks(&core.topology, request.accelerators_per_task, &tasks))
}

/// Chooses the cheapest place for one task after the other; victims of earlier tasks cost nothing more.
fn cheapest_scattered(
    core: &HallCore,
    request: &PlacementRequest,
    rule: &impl PlacementRule,
    starts: &[u32],
    grace: Duration,
) -> Option<Vec<PlacedTask>> {
    let single_task = PlacementRequest { tasks: 1, ..*request };
    let mut victims: Vec<u32> = Vec::new();
    let mut chosen_starts: Vec<u32> = Vec::new();
    let mut n_placed = vec![0; core.topology.workers.len()];
    let mut task_starts = Vec::new();
    while (chosen_starts.len() as u32) < request.tasks {
        let mut best: Option<(f64, u32)> = None;
        for start in starts {
            let worker = core.topology.worker_of[*start as usize];
            let overlaps = |it: &u32| {
                *it < start + request.accelerators_per_task
                    && *start < it + request.accelerators_per_task
            };
            if rule.task_capacity(worker) <= n_placed[worker as usize]
                || chosen_starts.iter().any(overlaps)
                || placement::place_run_at(
                    &core.topology,
                    &single_task,
                    rule,
                    *start,
                    &mut task_starts,
                )
                .is_none()
            {
                continue;
            }
            let limit = best.map_or(f64::INFINITY, |(cost, _)| cost);
            let cost =
                cost(core, request.accelerators_per_task, &task_starts, &victims, limit, grace);
            if cost < limit {
                best = Some((cost, *start));
            }
            if cost == 0.0 {
                break;
            }
        }
        let (_, start) = best?;
        n_placed[core.topology.worker_of[start as usize] as usize] += 1;
        victims.extend(
            (start..start + request.accelerators_per_task)
                .map(|it| core.ledger.holder[it as usize]),
        );
        chosen_starts.push(start);
    }
    chosen_starts.sort_unstable();
    Some(placement::placed_tasks(&core.topology, request.accelerators_per_task, &chosen_starts))
}

/// Cost of preempting the holders of the tasks that begin at `tasks`, without those in `victims`; at
/// most `limit`, since a higher cost is of no interest.
fn cost(
    core: &HallCore,
    accelerators_per_task: u32,
    tasks: &[u32],
    victims: &[u32],
    limit: f64,
    grace: Duration,
) -> f64 {
    let mut counted: Vec<u32> = Vec::new();
    let mut sum = 0.0;
    for accelerator in tasks.iter().flat_map(|start| *start..start + accelerators_per_task) {
        let holder = core.ledger.holder[accelerator as usize];
        if holder == NONE || victims.contains(&holder) || counted.contains(&holder) {
            continue;
        }
        counted.push(holder);
        sum += core.victim_cost(core.items.at(holder), grace);
        if limit <= sum {
            return limit;
        }
    }
    sum
}

impl HallCore {
    /// Cost of preempting an item that is given `grace` for its checkpoint, in accelerator seconds weighted
    /// by priority and earlier preemptions.
    pub(crate) fn victim_cost(&self, item: &QueueItem, grace: Duration) -> f64 {
        if matches!(item.state, ItemState::Stopping) {
            return 0.1;
        }
        let rule = &self.catalog.classes[item.class as usize];
        // A checkpoint saves the run up to the stop if the grace time suffices for one.
        let saves_run = rule.checkpoint && self.parameters.checkpoint_grace <= grace;
        let lost_work = if saves_run && item.state == ItemState::Running {
            0.0
        } else {
            item.lost_work(self.now)
        };
        let repeat_factor = 1.0 + REPEAT_COST * f64::from(item.n_reclaims);
        let weight = 1.0 + f64::from(rule.priority) / 10.0;
        let n_accelerators = f64::from(item.n_accelerators().max(1));
        (lost_work + n_accelerators * RESTART_COST + STOP_COST) * repeat_factor * weight
    }

    /// Preempts the holders of the place that is reserved for an item.
    pub(crate) fn preempt_holders(&mut self, index: u32, kind: ReservationKind) {
        let grace = match kind {
            ReservationKind::Urgent => self.parameters.urgent_grace(),
            ReservationKind::Claim | ReservationKind::Gang => self.parameters.checkpoint_grace,
        };
        let text = self.reclaim_text(index);
        for victim in self.victims(index) {
            let reason = reasons::plain(model::WaitCode::Reclaiming, text.clone());
            self.preempt_victim(victim, grace, reason);
        }
    }

    /// Stops a victim and queues it again, if it can be stopped.
    fn preempt_victim(&mut self, victim: u32, grace: Duration, reason: model::WaitReason) {
        let item = self.items.at(victim);
        let rule = &self.catalog.classes[item.class as usize];
        // Requests and non-repeatable items are not stopped: they end by themselves within the reclaim
        // bound.
        let stoppable = !rule.is_request && rule.repeatable;
        if stoppable && matches!(item.state, ItemState::Starting | ItemState::Running) {
            if item.claimed_home.is_some() {
                self.detach_claim(victim);
                let booking = self.booking_of(victim);
                self.rebook(victim, booking);
            }
            self.checkpoint_and_stop(victim, grace, AfterStop::Requeue, reason);
        }
    }

    /// Items to preempt for a reserved place: the holders of its accelerators, and further items on the
    /// same workers until cores, memory and slots suffice.
    fn victims(&self, index: u32) -> Vec<u32> {
        let item = self.items.at(index);
        let usage = self.usage_of(index);
        let holder = |it: &u32| self.ledger.holder[*it as usize];
        let mut victims: Vec<u32> = item
            .tasks
            .iter()
            .flat_map(|it| &it.accelerators)
            .map(holder)
            .filter(|it| *it != NONE)
            .collect();
        victims.sort_unstable();
        victims.dedup();
        for (worker, worker_tasks) in reservations::tasks_by_worker(&item.tasks) {
            self.add_victims(worker, usage.times(worker_tasks.len() as u32), &mut victims);
        }
        victims
    }

    /// Adds the cheapest other items on a worker to the victims until its cores, memory and slots
    /// suffice.
    fn add_victims(&self, worker: u32, needed: crate::ledger::Usage, victims: &mut Vec<u32>) {
        let worker_ledger = &self.ledger.workers[worker as usize];
        let mut free = worker_ledger.free;
        let will_leave = |it: &&u32| victims.contains(it) || self.is_ending(**it);
        worker_ledger.items.iter().filter(will_leave).for_each(|it| free.add(self.usage_of(*it)));
        if free.covers(needed) {
            return;
        }
        let mut candidates: Vec<u32> = worker_ledger
            .items
            .iter()
            .copied()
            .filter(|it| !victims.contains(it) && !self.is_ending(*it))
            .filter(|it| {
                let item = self.items.at(*it);
                item.claimed_home.is_none() && self.frees_within_reclaim_bound(item)
            })
            .collect();
        candidates.sort_by(|a, b| {
            let cost =
                |it: &u32| self.victim_cost(self.items.at(*it), self.parameters.checkpoint_grace);
            cost(a).total_cmp(&cost(b)).then(a.cmp(b))
        });
        candidates.dedup();
        for candidate in candidates {
            if free.covers(needed) {
                return;
            }
            let n = worker_ledger.items.iter().filter(|it| **it == candidate).count();
            free.add(self.usage_of(candidate).times(n as u32));
            victims.push(candidate);
        }
    }

    fn is_ending(&self, index: u32) -> bool {
        matches!(self.items.at(index).state, ItemState::Stopping | ItemState::Checkpointing)
    }

    fn reclaim_text(&self, index: u32) -> String {
        let item = self.items.at(index);
        match item.claimed_home {
            Some(home) => {
                let label = self.homes[home as usize].label();
                format!("its accelerators are reclaimed for guarantee {label}")
            }
            None => {
                let class = &self.catalog.classes[item.class as usize].name;
                format!("its accelerators are reclaimed for urgent work of class {class}")
            }
        }
    }
}
