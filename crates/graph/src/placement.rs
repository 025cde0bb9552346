//! Placement of units: best fit over workers, and over racks for gangs.
//!
//! Tasks are placed where the least is left over, so that whole workers and racks stay free for tasks that
//! need all accelerators of a worker and for gangs that need a rack.

use std::cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::candidate;
use crate::worker_speed;

/// Workers of unknown speed are tried on at most this part of the workers at a time.
const EXPLORED_SHARE: usize = 8;

/// Chooses a candidate for each task of the unit and takes the resources there, or changes nothing. The
/// result has one index into `candidates` per task.
pub fn place(
    candidates: &mut [candidate::WorkerCandidate],
    request: &candidate::PlacementRequest,
) -> Option<Vec<usize>> {
    let chosen = match request.n_tasks {
        1 => place_one(candidates, request).map(|it| vec![it]),
        _ => place_gang(candidates, request),
    }?;
    if !leaves_enough_empty(candidates, request, &chosen) {
        return None;
    }
    for index in &chosen {
        let candidate = &mut candidates[*index];
        candidate.used = candidate.used.plus(request.per_task);
        candidate.free = candidate.free.minus(request.per_task);
        candidate.n_runs += 1;
        candidate.is_exclusive |= request.is_isolated;
    }
    // The unit takes the capacity that was freed for it. A claim that stayed would withhold the same capacity
    // from other units a second time.
    for it in candidates.iter_mut() {
        it.claims.retain(|(unit, _)| *unit != request.unit);
    }
    Some(chosen)
}

/// Whether the unit would fit near its data and within one rack if all workers were empty.
pub fn could_be_local(
    candidates: &[candidate::WorkerCandidate],
    request: &candidate::PlacementRequest,
) -> bool {
    if request.rack_number.is_none() && !request.same_rack {
        return true;
    }
    let mut n_by_rack = vec![0; n_racks(candidates)];
    for (index, it) in candidates.iter().enumerate() {
        n_by_rack[it.rack] += request.count_on(index, it, it.profile.capacity);
    }
    match request.rack_number {
        Some(rack) => n_by_rack.get(rack).is_some_and(|it| *it >= request.n_tasks),
        None => n_by_rack.iter().any(|it| *it >= request.n_tasks),
    }
}

fn place_one(
    candidates: &[candidate::WorkerCandidate],
    request: &candidate::PlacementRequest,
) -> Option<usize> {
    let free_by_rack = free_by_rack(candidates);
    let may_use_empty = n_empty(candidates, request) > request.keeps_empty;
    let may_explore = cell::LazyCell::new(|| may_explore(candidates, request));
    let fitting = candidates.iter().enumerate().filter(|(index, it)| {
        let is_near = request.rack_number.is_none_or(|rack| it.rack == rack);
        let is_usable = may_use_empty || !it.is_empty();
        is_usable && (is_near || request.allows_remote) && request.count_now(*index, it) > 0
    });
    let best = fitting.min_by_key(|(_, it)| {
        let is_remote = request.rack_number.is_some_and(|rack| it.rack != rack);
        let left = it.free.minus(request.per_task);
        // Between workers with the same accelerators left, prefer the rack with the least free: racks that
        // become empty can serve gangs.
        let rack = free_by_rack[it.rack];
        // A task that may crash its worker goes where the fewest other tasks are at risk.
        let n_at_risk = if request.may_crash_worker { it.n_runs } else { 0 };
        let (speed_first, speed_last) = speed_order(it, request);
        let health = (is_remote, n_at_risk, it.failed_lately);
        let explores = it.speed.is_unknown && it.is_empty() && *may_explore;
        (
            request.is_planned_elsewhere(it),
            health,
            Reverse(explores),
            speed_first,
            left.accelerators,
            speed_last,
            rack,
            left.cpu_milli,
        )
    });
    best.map(|(index, _)| index)
}

/// Where the speed of a candidate counts: before the fit for a unit that prefers fast workers, behind it for
/// others. Lower is better.
fn speed_order(
    candidate: &candidate::WorkerCandidate,
    request: &candidate::PlacementRequest,
) -> ((worker_speed::SpeedClass, bool), worker_speed::SpeedClass) {
    let speed = candidate.speed;
    if request.prefers_fast {
        ((-speed.cautious, speed.is_unknown), 0)
    } else if request.prefers_slow {
        ((speed.usual, false), 0)
    } else {
        ((0, false), speed.usual)
    }
}

/// Whether a task that prefers no fast workers may go to an empty worker only because its speed is unknown. Few
/// are tried at a time, as each breaks up a whole worker.
fn may_explore(
    candidates: &[candidate::WorkerCandidate],
    request: &candidate::PlacementRequest,
) -> bool {
    if request.prefers_fast || !request.tells_speed {
        return false;
    }
    let mut n_workers = 0;
    let mut n_explored = 0;
    for it in candidates.iter().filter(|it| it.upstream == request.upstream) {
        n_workers += 1;
        n_explored += usize::from(it.speed.is_unknown && !it.is_empty());
    }
    n_explored * EXPLORED_SHARE < n_workers
}

/// Whether as many workers stay empty as the unit has to leave empty.
fn leaves_enough_empty(
    candidates: &[candidate::WorkerCandidate],
    request: &candidate::PlacementRequest,
    chosen: &[usize],
) -> bool {
    let newly_used = chosen.iter().collect::<BTreeSet<_>>();
    let n_newly_used = newly_used.iter().filter(|it| candidates[***it].is_empty()).count();
    n_newly_used == 0 || n_empty(candidates, request) >= n_newly_used + request.keeps_empty
}

fn n_empty(
    candidates: &[candidate::WorkerCandidate],
    request: &candidate::PlacementRequest,
) -> usize {
    candidates.iter().filter(|it| it.upstream == request.upstream && it.is_empty()).count()
}

fn free_by_rack(candidates: &[candidate::WorkerCandidate]) -> Vec<u32> {
    let mut free = vec![0; n_racks(candidates)];
    for it in candidates {
        free[it.rack] += it.free.accelerators;
    }
    free
}

fn n_racks(candidates: &[candidate::WorkerCandidate]) -> usize {
    candidates.iter().map(|it| it.rack + 1).max().unwrap_or_default()
}

fn place_gang(
    candidates: &[candidate::WorkerCandidate],
    request: &candidate::PlacementRequest,
) -> Option<Vec<usize>> {
    let counts = candidates.iter().enumerate().map(|(index, it)| request.count_now(index, it));
    let counts = counts.collect::<Vec<_>>();
    let needs_rack = request.same_rack || request.rack_number.is_some();
    let near = if needs_rack { choose_rack(candidates, request, &counts) } else { None };
    if let Some(rack) = near {
        return Some(distribute(candidates, request, &counts, |it| it.rack == rack));
    }
    if needs_rack && !request.allows_remote {
        return None;
    }
    if counts.iter().sum::<u32>() < request.n_tasks {
        return None;
    }
    Some(distribute(candidates, request, &counts, |_| true))
}

/// Chooses, of the racks that hold the whole gang, one with the fewest workers that failed lately, among these one
/// whose slowest needed worker is the fastest, as a gang is as slow as its slowest member, among these one with
/// the fewest needed workers of unknown speed, and among these the one with the fewest free accelerators.
fn choose_rack(
    candidates: &[candidate::WorkerCandidate],
    request: &candidate::PlacementRequest,
    counts: &[u32],
) -> Option<usize> {
    let mut racks = vec![RackCapacity::default(); n_racks(candidates)];
    for (it, count) in candidates.iter().zip(counts) {
        let rack = &mut racks[it.rack];
        rack.count += count;
        rack.accelerators += it.free.accelerators;
        rack.n_failed_lately += u32::from(it.failed_lately && *count > 0);
        if *count > 0 && request.prefers_fast {
            let speed = (it.speed.cautious, !it.speed.is_unknown);
            *rack.count_by_speed.entry(speed).or_default() += count;
        }
    }
    let large_enough = racks.iter().enumerate().filter(|(number, it)| {
        it.count >= request.n_tasks && request.rack_number.is_none_or(|rack| rack == *number)
    });
    large_enough
        .min_by_key(|(_, it)| {
            let needed = it.needed_speeds(request.n_tasks);
            (it.n_failed_lately, Reverse(needed.slowest), needed.n_unknown, it.accelerators)
        })
        .map(|(number, _)| number)
}

#[derive(Clone, Debug, Default)]
struct RackCapacity {
    count: u32,
    accelerators: u32,
    n_failed_lately: u32,
    /// Tasks that fit, by the speed of the workers and whether it is known; empty if the speed does not matter.
    count_by_speed: BTreeMap<(worker_speed::SpeedClass, bool), u32>,
}

/// Speeds of the workers that a gang needs in a rack.
#[derive(Clone, Copy, Debug, Default)]
struct NeededSpeeds {
    slowest: worker_speed::SpeedClass,
    n_unknown: u32,
}

impl RackCapacity {
    /// Speeds that are needed if the fastest workers are taken first.
    fn needed_speeds(&self, n_tasks: u32) -> NeededSpeeds {
        let mut missing = n_tasks;
        let mut n_unknown = 0;
        for ((speed, is_known), count) in self.count_by_speed.iter().rev() {
            n_unknown += if *is_known { 0 } else { missing.min(*count) };
            missing = missing.saturating_sub(*count);
            if missing == 0 {
                return NeededSpeeds { slowest: *speed, n_unknown };
            }
        }
        NeededSpeeds::default()
    }
}

/// Distributes the tasks over the allowed candidates, those with the fewest free accelerators first.
fn distribute(
    candidates: &[candidate::WorkerCandidate],
    request: &candidate::PlacementRequest,
    counts: &[u32],
    allowed: impl Fn(&candidate::WorkerCandidate) -> bool,
) -> Vec<usize> {
    let mut order = (0..candidates.len()).collect::<Vec<_>>();
    order.retain(|index| allowed(&candidates[*index]) && counts[*index] > 0);
    order.sort_by_key(|index| {
        let it = &candidates[*index];
        let n_at_risk = if request.may_crash_worker { it.n_runs } else { 0 };
        let (speed_first, _) = speed_order(it, request);
        let is_elsewhere = request.is_planned_elsewhere(it);
        (is_elsewhere, n_at_risk, it.failed_lately, speed_first, it.free.accelerators, *index)
    });
    let mut chosen = Vec::with_capacity(request.n_tasks as usize);
    for index in order {
        let missing = request.n_tasks as usize - chosen.len();
        let taken = missing.min(counts[index] as usize);
        chosen.extend(std::iter::repeat_n(index, taken));
    }
    chosen
}
