//! Reclaim: whose accelerators are taken back, and how.

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

/// Added to the lost work of each victim, in accelerator seconds.
const STOP_COST: f64 = 5.0;
/// Added for each of its accelerators, in seconds: even where a checkpoint saves the run, a gang has
/// to wait for its place again, the longer the wider it is.
const RESTART_COST: f64 = 30.0;
/// Work that was a victim before counts as dearer by this part each time, so that the same job is
/// not sent away again and again.
const REPEAT_COST: f64 = 1.0;

/// The place among allowed accelerators that costs least, whole gangs counted. `starts` are the
/// accelerators at which a run may begin.
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

/// Task by task; victims already chosen cost nothing more.
fn cheapest_scattered(
    core: &HallCore,
    request: &PlacementRequest,
    rule: &impl PlacementRule,
    starts: &[u32],
    grace: Duration,
) -> Option<Vec<PlacedTask>> {
    let single = PlacementRequest { tasks: 1, ..*request };
    let mut victims: Vec<u32> = Vec::new();
    let mut chosen: Vec<u32> = Vec::new();
    let mut used = vec![0; core.topology.workers.len()];
    let mut task = Vec::new();
    while (chosen.len() as u32) < request.tasks {
        let mut best: Option<(f64, u32)> = None;
        for start in starts {
            let worker = core.topology.worker_of[*start as usize];
            let overlaps = |it: &u32| {
                *it < start + request.accelerators_per_task
                    && *start < it + request.accelerators_per_task
            };
            if rule.task_capacity(worker) <= used[worker as usize]
                || chosen.iter().any(overlaps)
                || placement::place_run_at(&core.topology, &single, rule, *start, &mut task)
                    .is_none()
            {
                continue;
            }
            let limit = best.map_or(f64::INFINITY, |(cost, _)| cost);
            let cost = cost(core, request.accelerators_per_task, &task, &victims, limit, grace);
            if cost < limit {
                best = Some((cost, *start));
            }
            if cost == 0.0 {
                break;
            }
        }
        let (_, start) = best?;
        used[core.topology.worker_of[start as usize] as usize] += 1;
        victims.extend(
            (start..start + request.accelerators_per_task)
                .map(|it| core.ledger.holder[it as usize]),
        );
        chosen.push(start);
    }
    chosen.sort_unstable();
    Some(placement::placed_tasks(&core.topology, request.accelerators_per_task, &chosen))
}

/// What it costs to free the tasks that begin at `tasks`, or `limit` where it is no less.
fn cost(
    core: &HallCore,
    width: u32,
    tasks: &[u32],
    victims: &[u32],
    limit: f64,
    grace: Duration,
) -> f64 {
    let mut seen: Vec<u32> = Vec::new();
    let mut sum = 0.0;
    for it in tasks.iter().flat_map(|at| *at..at + width) {
        let holder = core.ledger.holder[it as usize];
        if holder == NONE || victims.contains(&holder) || seen.contains(&holder) {
            continue;
        }
        seen.push(holder);
        sum += core.victim_cost(core.items.at(holder), grace);
        if limit <= sum {
            return limit;
        }
    }
    sum
}

impl HallCore {
    /// What sending a gang away costs.
    pub(crate) fn victim_cost(&self, item: &QueueItem, grace: Duration) -> f64 {
        if matches!(item.state, ItemState::Stopping) {
            return 0.1;
        }
        let rule = &self.catalog.classes[item.class as usize];
        // A checkpoint saves the run up to the stop, where there is time for one.
        let saves = rule.checkpoint && self.parameters.checkpoint_grace <= grace;
        let lost =
            if saves && item.state == ItemState::Running { 0.0 } else { item.lost_work(self.now) };
        let repeat = 1.0 + REPEAT_COST * f64::from(item.n_reclaims);
        let weight = 1.0 + f64::from(rule.priority) / 10.0;
        let width = f64::from(item.n_accelerators().max(1));
        (lost + width * RESTART_COST + STOP_COST) * repeat * weight
    }

    /// Sends away whoever is in the place reserved for an item.
    pub(crate) fn preempt_holders(&mut self, index: u32, kind: ReservationKind) {
        let grace = match kind {
            ReservationKind::Urgent => self.parameters.urgent_grace(),
            ReservationKind::Claim | ReservationKind::Gang => self.parameters.checkpoint_grace,
        };
        let text = self.reclaim_text(index);
        for it in self.victims(index) {
            let reason = reasons::plain(model::WaitCode::Reclaiming, text.clone());
            self.preempt_victim(it, grace, reason);
        }
    }

    fn preempt_victim(&mut self, victim: u32, grace: Duration, reason: model::WaitReason) {
        let item = self.items.at(victim);
        let rule = &self.catalog.classes[item.class as usize];
        // Requests and what is not repeatable end by themselves, within the bound.
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

    /// Who holds the accelerators, and as many others as must go for the cores, memory and slots.
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
        for (worker, here) in reservations::tasks_by_worker(&item.tasks) {
            self.add_victims(worker, usage.times(here.len() as u32), &mut victims);
        }
        victims
    }

    /// Adds the cheapest other work on a worker until its cores, memory and slots suffice.
    fn add_victims(&self, worker: u32, needed: crate::ledger::Usage, victims: &mut Vec<u32>) {
        let book = &self.ledger.workers[worker as usize];
        let mut free = book.free;
        let leaves = |it: &&u32| victims.contains(it) || self.is_ending(**it);
        book.items.iter().filter(leaves).for_each(|it| free.add(self.usage_of(*it)));
        if free.covers(needed) {
            return;
        }
        let mut others: Vec<u32> = book
            .items
            .iter()
            .copied()
            .filter(|it| !victims.contains(it) && !self.is_ending(*it))
            .filter(|it| {
                let item = self.items.at(*it);
                item.claimed_home.is_none() && self.frees_within_reclaim_bound(item)
            })
            .collect();
        others.sort_by(|a, b| {
            let cost =
                |it: &u32| self.victim_cost(self.items.at(*it), self.parameters.checkpoint_grace);
            cost(a).total_cmp(&cost(b)).then(a.cmp(b))
        });
        others.dedup();
        for it in others {
            if free.covers(needed) {
                return;
            }
            let n = book.items.iter().filter(|other| **other == it).count();
            free.add(self.usage_of(it).times(n as u32));
            victims.push(it);
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
