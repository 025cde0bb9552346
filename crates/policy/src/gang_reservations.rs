//! Reserves blocks for waiting gangs. A reserved block becomes free as the items on it end.
//!
//! Small items spread over the hall, so a gang that needs a run could wait forever for adjacent
//! accelerators to be free at the same time. The scheduler therefore reserves the run whose holders are
//! expected to end first. New items start there only if they are expected to end before the run is
//! free. Once the gang has waited `gang_wait`, the latest possible end of a new item counts instead of
//! its expected end, so that the gang starts within `gang_wait` plus the longest run time of the items
//! that were there before.

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

/// Most gangs for which a block is searched in one scheduling round.
const MAX_SEARCHES_PER_ROUND: usize = 4;
/// When blocks are compared, this is added for each accelerator outside home blocks to the time at which a
/// block is expected to be free. Blocks inside home blocks are preferred because non-reclaimable items
/// can't use them.
const OUTSIDE_DELAY: Duration = Duration::from_secs(60);
/// A block is chosen again if the time at which it is expected to be free slips by more than this fraction
/// of the wait that was expected when it was reserved.
const MAX_SLIP: f64 = 0.25;

/// Accelerators and workers that a gang may reserve, free or held; those held by claims of a guarantee are
/// excluded.
struct GangBlockRule<'a> {
    core: &'a HallCore,
    index: u32,
    usage: Usage,
    /// Whether the gang is non-reclaimable and must stay outside home blocks.
    non_reclaimable: bool,
    /// Whether all accelerators outside home blocks are needed by non-reclaimable items.
    home_blocks_only: bool,
    /// Whether the gang has waited `gang_wait` and may take blocks that are reserved for younger gangs.
    overdue: bool,
    exclude: &'a [u32],
}

impl PlacementRule for GangBlockRule<'_> {
    fn allows_worker(&self, worker: u32) -> bool {
        let others = &self.core.ledger.workers[worker as usize].reservations;
        self.core.health[worker as usize].usable()
            && !self.exclude.contains(&worker)
            && others.iter().all(|it| self.overdue && self.precedes(*it))
    }

    fn allows_accelerator(&self, accelerator: u32) -> bool {
        let at = accelerator as usize;
        let ledger = &self.core.ledger;
        let worker = self.core.topology.worker_of[at];
        let reserved = ledger.reserved_for[at];
        self.core.health[worker as usize].usable()
            && !self.exclude.contains(&worker)
            && (!self.non_reclaimable || ledger.home[at] == NONE)
            && (!self.home_blocks_only || ledger.home[at] != NONE)
            && (reserved == NONE || self.overdue && self.precedes(reserved))
            && (ledger.holder[at] == NONE
                || self.core.items.at(ledger.holder[at]).claimed_home.is_none())
    }

    fn task_capacity(&self, worker: u32) -> u32 {
        let spec = &self.core.topology.workers[worker as usize];
        let worker_ledger = &self.core.ledger.workers[worker as usize];
        let worker_capacity = Usage::capacity(spec);
        let n_excluded = if self.non_reclaimable { worker_ledger.home_accelerators } else { 0 };
        worker_capacity.minus(Usage::share(spec, n_excluded)).max_tasks(self.usage)
    }

    fn penalty(&self, _accelerator: u32) -> u32 {
        0
    }

    fn cpu_only_rank(&self, _worker: u32) -> i64 {
        0
    }
}

impl GangBlockRule<'_> {
    /// Whether `other` is a gang with a reserved block that was submitted later than this gang.
    fn precedes(&self, other: u32) -> bool {
        let gang_reservation = ItemState::Reserved(ReservationKind::Gang);
        let core = self.core;
        core.items.at(other).state == gang_reservation
            && core.submitted_at(self.index) < core.submitted_at(other)
    }
}

/// Order of candidate blocks: by the time at which they are expected to be free, then by the number of held
/// accelerators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GangBlockScore {
    free_at: time::WallTime,
    n_held: usize,
    start: u32,
}

impl HallCore {
    /// Whether a gang has waited at least `gang_wait`.
    pub(crate) fn is_overdue(&self, index: u32) -> bool {
        self.parameters.gang_wait <= self.wait_time(index)
    }

    /// Reserves blocks for the gangs that have waited long enough, up to the configured number of blocks;
    /// overdue gangs are not subject to this limit.
    pub(crate) fn reserve_gang_blocks(&mut self) {
        let gang_reservation = ItemState::Reserved(ReservationKind::Gang);
        let mut n_reserved = self
            .reserved_items
            .iter()
            .filter(|it| self.items.at(**it).state == gang_reservation)
            .count();
        let may_reserve = |core: &HallCore, key: &GroupKey| {
            let single_accelerator = key.tasks == 1 && key.demand.accelerators == 1;
            !single_accelerator && !core.catalog.classes[key.class as usize].urgent
        };
        let mut next_check: Option<time::WallTime> = None;
        let mut searches = 0;
        for group in self.ranked_groups(may_reserve) {
            let Some(queue_group) = self.queue.group(group) else { continue };
            if queue_group.blocked_at_version != Some(self.capacity_version) {
                continue;
            }
            let Some(entry) = queue_group.entries.first().copied() else { continue };
            let due = entry.submitted_at + self.parameters.gang_reservation_delay();
            if self.now < due {
                next_check = Some(next_check.map_or(due, |it| it.min(due)));
                continue;
            }
            let limit_reached = self.parameters.max_gang_reservations() <= n_reserved
                && !self.is_overdue(entry.item);
            if limit_reached || self.ineligibility(entry.item).is_some() {
                continue;
            }
            if MAX_SEARCHES_PER_ROUND <= searches {
                break;
            }
            searches += 1;
            if self.reserve_gang_block(entry.item) {
                n_reserved += 1;
            } else if self.is_overdue(entry.item)
                && self.booking_of(entry.item) == Booking::NonReclaimable
            {
                self.restore_canonical_blocks();
            }
        }
        if let Some(at) = next_check {
            self.set_timer(at, TimerKind::WaitOver, NONE);
        }
    }

    /// Reserves for a gang the block that is expected to be free first; false if no block fits.
    fn reserve_gang_block(&mut self, index: u32) -> bool {
        let item = self.items.at(index);
        let request = PlacementRequest::of(&item.work);
        let rule = GangBlockRule {
            core: self,
            index,
            usage: request.usage,
            non_reclaimable: self.booking_of(index) == Booking::NonReclaimable,
            home_blocks_only: self.crowds_out_non_reclaimable(index) && !self.is_overdue(index),
            overdue: self.is_overdue(index),
            exclude: &item.exclude,
        };
        let holder_ends =
            if request.accelerators_per_task == 0 { Vec::new() } else { self.holder_ends(index) };
        let scattered = 1 < request.tasks && request.adjacency == model::Adjacency::Any;
        let found = if request.accelerators_per_task == 0 {
            self.earliest_cpu_only(&request, &rule)
        } else if scattered {
            self.earliest_scattered(&request, &rule, &holder_ends)
        } else {
            self.earliest_run(&request, &rule, &holder_ends)
        };
        let Some(tasks) = found else { return false };
        self.dequeue(index);
        self.reserve(index, tasks, ReservationKind::Gang, None);
        let overdue = self.is_overdue(index);
        self.items.at_mut(index).chosen_overdue = overdue;
        if overdue {
            self.preempt_younger(index);
        } else {
            let due = self.submitted_at(index) + self.parameters.gang_wait;
            self.set_timer(due, TimerKind::WaitOver, NONE);
        }
        true
    }

    /// Expected time at which the holder of each accelerator is gone; now for free accelerators.
    fn holder_ends(&self, index: u32) -> Vec<time::WallTime> {
        let mut cached = (NONE, self.now);
        let mut end = |holder: u32| {
            if holder == NONE {
                return self.now;
            }
            if holder != cached.0 {
                let preempted_by =
                    self.now + self.parameters.checkpoint_grace + self.parameters.stop_margin;
                let yields = self.yields_to_gang(holder, index);
                let end = self.expected_end(self.items.at(holder));
                cached = (holder, if yields { end.min(preempted_by) } else { end });
            }
            cached.1
        };
        self.ledger.holder.iter().map(|it| end(*it)).collect()
    }

    /// The run whose accelerators are expected to be free first.
    fn earliest_run(
        &self,
        request: &PlacementRequest,
        rule: &GangBlockRule<'_>,
        holder_ends: &[time::WallTime],
    ) -> Option<Vec<PlacedTask>> {
        let mut starts = Vec::new();
        let mut best: Option<GangBlockScore> = None;
        for spec in self.topology.workers.iter().filter(|it| 0 < it.accelerators) {
            let starts_end = if request.total_accelerators() < spec.accelerators {
                spec.accelerators_end()
            } else {
                spec.first_accelerator + 1
            };
            for start in spec.first_accelerator..starts_end {
                let Some(end) =
                    placement::place_run_at(&self.topology, request, rule, start, &mut starts)
                else {
                    continue;
                };
                let range = start as usize..end as usize;
                let holders = &self.ledger.holder[range.clone()];
                let score = GangBlockScore {
                    free_at: holder_ends[range].iter().copied().max().unwrap_or(self.now)
                        + OUTSIDE_DELAY * self.n_outside(start, end),
                    n_held: holders.iter().filter(|it| **it != NONE).count(),
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

    /// Number of accelerators in a range that lie outside home blocks.
    fn n_outside(&self, start: u32, end: u32) -> u32 {
        let is_outside = |it: &&u32| **it == NONE;
        self.ledger.home[start as usize..end as usize].iter().filter(is_outside).count() as u32
    }

    /// For tasks without accelerators: the workers whose cores, memory and slots are expected to be free
    /// first.
    fn earliest_cpu_only(
        &self,
        request: &PlacementRequest,
        rule: &GangBlockRule<'_>,
    ) -> Option<Vec<PlacedTask>> {
        let on_one_worker = request.adjacency == model::Adjacency::Worker;
        let mut places: Vec<(time::WallTime, u32)> = Vec::new();
        for worker in 0..self.topology.workers.len() as u32 {
            let n_allowed = if rule.allows_worker(worker) {
                rule.task_capacity(worker).min(request.tasks)
            } else {
                0
            };
            let task_counts = if on_one_worker { request.tasks..=n_allowed } else { 1..=n_allowed };
            let place = |n: u32| (self.worker_free_at(worker, request.usage.times(n)), worker);
            places.extend(task_counts.map(place));
        }
        places.sort_unstable();
        let task = |worker: u32| PlacedTask { worker, accelerators: Vec::new() };
        if on_one_worker {
            let (_, worker) = places.first()?;
            return Some(vec![task(*worker); request.tasks as usize]);
        }
        if request.adjacency == model::Adjacency::Rack {
            let rack = self.earliest_rack(request, &places)?;
            places.retain(|(_, worker)| self.topology.workers[*worker as usize].rack == rack);
        }
        let mut tasks: Vec<PlacedTask> =
            places.into_iter().take(request.tasks as usize).map(|(_, it)| task(it)).collect();
        tasks.sort_by_key(|it| it.worker);
        (tasks.len() as u32 == request.tasks).then_some(tasks)
    }

    /// The rack that is expected to have capacity for all tasks first.
    fn earliest_rack(
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

    /// Places for single tasks that are expected to be free first.
    fn earliest_scattered(
        &self,
        request: &PlacementRequest,
        rule: &GangBlockRule<'_>,
        holder_ends: &[time::WallTime],
    ) -> Option<Vec<PlacedTask>> {
        let single_task = PlacementRequest { tasks: 1, ..*request };
        let mut task_starts = Vec::new();
        let mut places = Vec::new();
        for spec in self.topology.workers.iter().filter(|it| 0 < it.accelerators) {
            let mut start = spec.first_accelerator;
            while start + request.accelerators_per_task <= spec.accelerators_end() {
                if placement::place_run_at(
                    &self.topology,
                    &single_task,
                    rule,
                    start,
                    &mut task_starts,
                )
                .is_none()
                {
                    start += 1;
                    continue;
                }
                let range = start as usize..(start + request.accelerators_per_task) as usize;
                places.push((holder_ends[range].iter().copied().max().unwrap_or(self.now), start));
                start += request.accelerators_per_task;
            }
        }
        places.sort_unstable();
        let mut n_placed = vec![0; self.topology.workers.len()];
        let mut chosen_starts: Vec<u32> = Vec::new();
        for (_, start) in places {
            let worker = self.topology.worker_of[start as usize];
            let all_placed = request.tasks <= chosen_starts.len() as u32;
            if !all_placed && n_placed[worker as usize] < rule.task_capacity(worker) {
                n_placed[worker as usize] += 1;
                chosen_starts.push(start);
            }
        }
        chosen_starts.sort_unstable();
        (chosen_starts.len() as u32 == request.tasks).then(|| {
            placement::placed_tasks(&self.topology, request.accelerators_per_task, &chosen_starts)
        })
    }

    /// Checks the reservation of a gang again: starts the gang if a place elsewhere is free, and withdraws
    /// the reservation if its block will be free much later than expected or the gang has become overdue.
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
        let free_at = self.expected_free_at(index, &item.tasks);
        if self.is_overdue(index) && !item.chosen_overdue {
            // The next search takes into account that younger items now yield to the gang.
            self.unreserve_and_enqueue(index);
            return;
        }
        let planned_wait = item.expected_free_at.since(item.state_since);
        let slip = free_at.since(item.expected_free_at);
        if planned_wait.mul_f64(MAX_SLIP) < slip && !self.is_overdue(index) {
            self.unreserve_and_enqueue(index);
        } else {
            self.items.at_mut(index).expected_free_at = free_at;
        }
    }

    /// Whether a held item is preempted for an overdue gang: it can save a checkpoint, was submitted later
    /// and has no higher priority, so by age the gang would have had the place.
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

    /// Preempts the items in the block of an overdue gang that yield to it.
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
        for holder in holders {
            let running = self.items.at(holder).state == ItemState::Running;
            if running && self.yields_to_gang(holder, index) {
                let text = "makes way for a gang that waited beyond its bound";
                let reason = reasons::plain(model::WaitCode::ClearingBlock, text);
                self.checkpoint_and_stop(
                    holder,
                    self.parameters.checkpoint_grace,
                    AfterStop::Requeue,
                    reason,
                );
            }
        }
    }

    /// Text for a wait reason, such as `3 more adjacent workers in rack r2 of vadodara`.
    pub(crate) fn missing_workers(&self, index: u32) -> String {
        let item = self.items.at(index);
        let is_held = |it: &u32| self.ledger.holder[*it as usize] != NONE;
        let usage = self.usage_of(index);
        let is_missing = |(worker, worker_tasks): &(u32, &[PlacedTask])| {
            let needed = usage.times(worker_tasks.len() as u32);
            worker_tasks.iter().flat_map(|it| &it.accelerators).any(is_held)
                || !self.ledger.workers[*worker as usize].free.covers(needed)
        };
        let workers: Vec<u32> = reservations::tasks_by_worker(&item.tasks)
            .filter(is_missing)
            .map(|(worker, _)| worker)
            .collect();
        let first = workers.first().or(item.tasks.first().map(|it| &it.worker)).copied();
        let rack = first.map_or("", |it| self.topology.rack_name(it));
        let n = reasons::count(workers.len(), "more adjacent worker");
        format!("{n} in rack {rack} of {}", self.hall)
    }
}
