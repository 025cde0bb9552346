//! Clearing a block for a waiting gang.
//!
//! Small work scatters, and a gang that needs a run waits for a coincidence that may never come.
//! So a run is reserved for it: the one whose holders are expected to be gone first. New work goes
//! there only if it is gone by then. Once the gang has waited `gang_wait`, only the certain end of
//! new work counts, so that the gang starts within `gang_wait` and the longest run ahead of it.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_schema::{model, time};

use crate::core::HallCore;
use crate::decision::AfterStop;
use crate::item::{ItemState, ReservationKind};
use crate::ledger::{Booking, PlacedTask, Usage};
use crate::placement::{self, PlacementRequest, PlacementRule};
use crate::placement_rules::FreeCapacityRule;
use crate::queue::GroupKey;
use crate::reasons;
use crate::reservations;
use crate::timers::TimerKind;
use crate::topology::NONE;

/// Gangs for which a block is sought in one turn.
const MAX_SEARCHES_PER_ROUND: usize = 4;
/// A block that opens later by this for each accelerator is preferred if it lies in home blocks,
/// which are closed to what can't be reclaimed.
const OUTSIDE_DELAY: Duration = Duration::from_secs(60);
/// A block whose opening slips by more than this part of the wait is chosen anew.
const SLIP: f64 = 0.25;

/// Everything that will be free some day.
struct GangBlockRule<'a> {
    core: &'a HallCore,
    index: u32,
    usage: Usage,
    hard: bool,
    /// Whether all that lies beside home blocks is needed by what can't be reclaimed.
    homes_only: bool,
    /// Whether blocks that are cleared for younger gangs may be taken.
    overdue: bool,
    exclude: &'a [u32],
}

impl PlacementRule for GangBlockRule<'_> {
    fn allows_worker(&self, worker: u32) -> bool {
        let others = &self.core.ledger.workers[worker as usize].reservations;
        self.core.health[worker as usize].usable()
            && !self.exclude.contains(&worker)
            && others.iter().all(|it| self.overdue && self.goes_before(*it))
    }

    fn allows_accelerator(&self, accelerator: u32) -> bool {
        let at = accelerator as usize;
        let ledger = &self.core.ledger;
        let worker = self.core.topology.worker_of[at];
        let reserved = ledger.reserved_for[at];
        self.core.health[worker as usize].usable()
            && !self.exclude.contains(&worker)
            && (!self.hard || ledger.home[at] == NONE)
            && (!self.homes_only || ledger.home[at] != NONE)
            && (reserved == NONE || self.overdue && self.goes_before(reserved))
            && (ledger.holder[at] == NONE
                || self.core.items.at(ledger.holder[at]).claimed_home.is_none())
    }

    fn task_capacity(&self, worker: u32) -> u32 {
        let spec = &self.core.topology.workers[worker as usize];
        let book = &self.core.ledger.workers[worker as usize];
        let whole = Usage::capacity(spec);
        let kept = if self.hard { book.home_accelerators } else { 0 };
        whole.minus(Usage::share(spec, kept)).max_tasks(self.usage)
    }

    fn penalty(&self, _accelerator: u32) -> u32 {
        0
    }

    fn cpu_only_rank(&self, _worker: u32) -> i64 {
        0
    }
}

impl GangBlockRule<'_> {
    fn goes_before(&self, other: u32) -> bool {
        let clearing = ItemState::Reserved(ReservationKind::Gang);
        let core = self.core;
        core.items.at(other).state == clearing
            && core.submitted_at(self.index) < core.submitted_at(other)
    }
}

/// A block and when it opens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GangBlockScore {
    opening: time::WallTime,
    n_held: usize,
    start: u32,
}

impl HallCore {
    /// Whether a gang has waited its bound.
    pub(crate) fn is_overdue(&self, index: u32) -> bool {
        self.parameters.gang_wait <= self.wait_time(index)
    }

    /// Reserves blocks for the gangs that waited long enough.
    pub(crate) fn reserve_gang_blocks(&mut self) {
        let clearing = ItemState::Reserved(ReservationKind::Gang);
        let mut n_clearing =
            self.reserved_items.iter().filter(|it| self.items.at(**it).state == clearing).count();
        let wants = |core: &HallCore, key: &GroupKey| {
            let narrow = key.tasks == 1 && key.demand.accelerators == 1;
            !narrow && !core.catalog.classes[key.class as usize].urgent
        };
        let mut wake: Option<time::WallTime> = None;
        let mut searches = 0;
        for group in self.ranked_groups(wants) {
            let Some(it) = self.queue.group(group) else { continue };
            if it.blocked_at_version != Some(self.capacity_version) {
                continue;
            }
            let Some(entry) = it.entries.first().copied() else { continue };
            let due = entry.submitted_at + self.parameters.gang_reservation_delay();
            if self.now < due {
                wake = Some(wake.map_or(due, |it| it.min(due)));
                continue;
            }
            let full = self.parameters.max_gang_reservations() <= n_clearing
                && !self.is_overdue(entry.item);
            if full || self.ineligibility(entry.item).is_some() {
                continue;
            }
            if MAX_SEARCHES_PER_ROUND <= searches {
                break;
            }
            searches += 1;
            if self.reserve_gang_block(entry.item) {
                n_clearing += 1;
            } else if self.is_overdue(entry.item)
                && self.booking_of(entry.item) == Booking::NonReclaimable
            {
                self.restore_canonical_blocks();
            }
        }
        if let Some(at) = wake {
            self.set_timer(at, TimerKind::WaitOver, NONE);
        }
    }

    fn reserve_gang_block(&mut self, index: u32) -> bool {
        let item = self.items.at(index);
        let request = PlacementRequest::of(&item.work);
        let rule = GangBlockRule {
            core: self,
            index,
            usage: request.usage,
            hard: self.booking_of(index) == Booking::NonReclaimable,
            homes_only: self.crowds_out_non_reclaimable(index) && !self.is_overdue(index),
            overdue: self.is_overdue(index),
            exclude: &item.exclude,
        };
        let ends = if request.accelerators_per_task == 0 { Vec::new() } else { self.ends(index) };
        let scattered = 1 < request.tasks && request.adjacency == model::Adjacency::Any;
        let found = if request.accelerators_per_task == 0 {
            self.earliest_bare(&request, &rule)
        } else if scattered {
            self.earliest_scattered(&request, &rule, &ends)
        } else {
            self.earliest_run(&request, &rule, &ends)
        };
        let Some(tasks) = found else { return false };
        self.dequeue(index);
        self.reserve(index, tasks, ReservationKind::Gang, None);
        let presses = self.is_overdue(index);
        self.items.at_mut(index).chosen_overdue = presses;
        if presses {
            self.preempt_younger(index);
        } else {
            let due = self.submitted_at(index) + self.parameters.gang_wait;
            self.set_timer(due, TimerKind::WaitOver, NONE);
        }
        true
    }

    /// Expected end of the holder of each accelerator.
    fn ends(&self, index: u32) -> Vec<time::WallTime> {
        let mut last = (NONE, self.now);
        let mut end = |holder: u32| {
            if holder == NONE {
                return self.now;
            }
            if holder != last.0 {
                let away =
                    self.now + self.parameters.checkpoint_grace + self.parameters.stop_margin;
                let yields_to_gang = self.yields_to_gang(holder, index);
                let end = self.expected_end(self.items.at(holder));
                last = (holder, if yields_to_gang { end.min(away) } else { end });
            }
            last.1
        };
        self.ledger.holder.iter().map(|it| end(*it)).collect()
    }

    fn earliest_run(
        &self,
        request: &PlacementRequest,
        rule: &GangBlockRule<'_>,
        ends: &[time::WallTime],
    ) -> Option<Vec<PlacedTask>> {
        let mut starts = Vec::new();
        let mut best: Option<GangBlockScore> = None;
        for spec in self.topology.workers.iter().filter(|it| 0 < it.accelerators) {
            let inner = if request.total_accelerators() < spec.accelerators {
                spec.accelerators_end()
            } else {
                spec.first_accelerator + 1
            };
            for start in spec.first_accelerator..inner {
                let Some(end) =
                    placement::place_run_at(&self.topology, request, rule, start, &mut starts)
                else {
                    continue;
                };
                let all = start as usize..end as usize;
                let held = &self.ledger.holder[all.clone()];
                let score = GangBlockScore {
                    opening: ends[all].iter().copied().max().unwrap_or(self.now)
                        + OUTSIDE_DELAY * self.n_outside(start, end),
                    n_held: held.iter().filter(|it| **it != NONE).count(),
                    start,
                };
                if best.is_none_or(|it| score < it) {
                    best = Some(score);
                }
            }
        }
        placement::place_run_at(&self.topology, request, rule, best?.start, &mut starts)?;
        Some(placement::placed_tasks(&self.topology, request.accelerators_per_task, &starts))
    }

    /// Accelerators of a run that lie beside home blocks.
    fn n_outside(&self, start: u32, end: u32) -> u32 {
        let outside = |it: &&u32| **it == NONE;
        self.ledger.home[start as usize..end as usize].iter().filter(outside).count() as u32
    }

    /// Workers whose cores, memory and slots are expected to be free first.
    fn earliest_bare(
        &self,
        request: &PlacementRequest,
        rule: &GangBlockRule<'_>,
    ) -> Option<Vec<PlacedTask>> {
        let together = request.adjacency == model::Adjacency::Worker;
        let mut places: Vec<(time::WallTime, u32)> = Vec::new();
        for worker in 0..self.topology.workers.len() as u32 {
            let most = if rule.allows_worker(worker) {
                rule.task_capacity(worker).min(request.tasks)
            } else {
                0
            };
            let steps = if together { request.tasks..=most } else { 1..=most };
            let at = |n: u32| (self.worker_free_at(worker, request.usage.times(n)), worker);
            places.extend(steps.map(at));
        }
        places.sort_unstable();
        let task = |worker: u32| PlacedTask { worker, accelerators: Vec::new() };
        if together {
            let (_, worker) = places.first()?;
            return Some(vec![task(*worker); request.tasks as usize]);
        }
        if request.adjacency == model::Adjacency::Rack {
            let rack = self.first_full_rack(request, &places)?;
            places.retain(|(_, worker)| self.topology.workers[*worker as usize].rack == rack);
        }
        let mut tasks: Vec<PlacedTask> =
            places.into_iter().take(request.tasks as usize).map(|(_, it)| task(it)).collect();
        tasks.sort_by_key(|it| it.worker);
        (tasks.len() as u32 == request.tasks).then_some(tasks)
    }

    /// The rack that first has room for all tasks.
    fn first_full_rack(
        &self,
        request: &PlacementRequest,
        places: &[(time::WallTime, u32)],
    ) -> Option<u32> {
        let mut counts = vec![0; self.topology.racks.len()];
        places.iter().find_map(|(_, worker)| {
            let rack = self.topology.workers[*worker as usize].rack;
            let count = counts.get_mut(rack as usize)?;
            *count += 1;
            (*count == request.tasks).then_some(rack)
        })
    }

    fn earliest_scattered(
        &self,
        request: &PlacementRequest,
        rule: &GangBlockRule<'_>,
        ends: &[time::WallTime],
    ) -> Option<Vec<PlacedTask>> {
        let single = PlacementRequest { tasks: 1, ..*request };
        let mut task = Vec::new();
        let mut places = Vec::new();
        for spec in self.topology.workers.iter().filter(|it| 0 < it.accelerators) {
            let mut start = spec.first_accelerator;
            while start + request.accelerators_per_task <= spec.accelerators_end() {
                if placement::place_run_at(&self.topology, &single, rule, start, &mut task)
                    .is_none()
                {
                    start += 1;
                    continue;
                }
                let all = start as usize..(start + request.accelerators_per_task) as usize;
                places.push((ends[all].iter().copied().max().unwrap_or(self.now), start));
                start += request.accelerators_per_task;
            }
        }
        places.sort_unstable();
        let mut used = vec![0; self.topology.workers.len()];
        let mut chosen: Vec<u32> = Vec::new();
        for (_, start) in places {
            let worker = self.topology.worker_of[start as usize];
            let full = request.tasks <= chosen.len() as u32;
            if !full && used[worker as usize] < rule.task_capacity(worker) {
                used[worker as usize] += 1;
                chosen.push(start);
            }
        }
        chosen.sort_unstable();
        (chosen.len() as u32 == request.tasks).then(|| {
            placement::placed_tasks(&self.topology, request.accelerators_per_task, &chosen)
        })
    }

    /// Looks again at a block that is being cleared: another place may be free, or its opening may
    /// have slipped.
    pub(crate) fn refresh_gang_reservation(&mut self, index: u32) {
        let item = self.items.at(index);
        let request = PlacementRequest::of(&item.work);
        let rule =
            FreeCapacityRule { home_blocks_only: false, ..FreeCapacityRule::new(self, index) };
        if let Some(tasks) = placement::best(&self.topology, &request, &rule) {
            let reason = self.start_reason(&tasks);
            self.unreserve(index);
            self.start(index, tasks, None, reason);
            return;
        }
        let opening = self.expected_free_at(index, &item.tasks);
        if self.is_overdue(index) && !item.chosen_overdue {
            // Chosen anew, it counts on younger work to make way.
            self.unreserve_and_enqueue(index);
            return;
        }
        let planned = item.expected_free_at.since(item.state_since);
        let slipped = opening.since(item.expected_free_at);
        if planned.mul_f64(SLIP) < slipped && !self.is_overdue(index) {
            self.unreserve_and_enqueue(index);
        } else {
            self.items.at_mut(index).expected_free_at = opening;
        }
    }

    /// Whether held work makes way for a gang that is overdue: it saves its run, is younger and of no
    /// higher priority, so that in order of age the gang would have had the place.
    fn yields_to_gang(&self, holder: u32, index: u32) -> bool {
        let (item, gang) = (self.items.at(holder), self.items.at(index));
        let rule = &self.catalog.classes[item.class as usize];
        let other = &self.catalog.classes[gang.class as usize];
        self.is_overdue(index)
            && rule.checkpoint
            && rule.repeatable
            && !rule.is_request
            && !rule.urgent
            && rule.priority <= other.priority
            && item.claimed_home.is_none()
            && gang.work.submitted_at < item.work.submitted_at
    }

    /// Sends younger work that saves its run out of the block of an overdue gang.
    fn preempt_younger(&mut self, index: u32) {
        let holders: BTreeSet<u32> = self
            .items
            .at(index)
            .tasks
            .iter()
            .flat_map(|it| &it.accelerators)
            .map(|it| self.ledger.holder[*it as usize])
            .filter(|it| *it != NONE)
            .collect();
        for it in holders {
            let running = self.items.at(it).state == ItemState::Running;
            if running && self.yields_to_gang(it, index) {
                let text = "makes way for a gang that waited beyond its bound";
                let reason = reasons::plain(model::WaitCode::ClearingBlock, text);
                self.checkpoint_and_stop(
                    it,
                    self.parameters.checkpoint_grace,
                    AfterStop::Requeue,
                    reason,
                );
            }
        }
    }

    /// `3 more adjacent workers in rack r2 of vadodara`, for a reason.
    pub(crate) fn missing_workers(&self, index: u32) -> String {
        let item = self.items.at(index);
        let held = |it: &u32| self.ledger.holder[*it as usize] != NONE;
        let usage = self.usage_of(index);
        let missing = |(worker, here): &(u32, &[PlacedTask])| {
            let needed = usage.times(here.len() as u32);
            here.iter().flat_map(|it| &it.accelerators).any(held)
                || !self.ledger.workers[*worker as usize].free.covers(needed)
        };
        let workers: Vec<u32> = reservations::tasks_by_worker(&item.tasks)
            .filter(missing)
            .map(|(worker, _)| worker)
            .collect();
        let first = workers.first().or(item.tasks.first().map(|it| &it.worker)).copied();
        let rack = first.map_or("", |it| self.topology.rack_name(it));
        let n = reasons::count(workers.len(), "more adjacent worker");
        format!("{n} in rack {rack} of {}", self.hall)
    }
}
