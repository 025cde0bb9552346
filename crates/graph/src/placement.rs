//! Where a unit runs: best fit over workers, and over racks for gangs.
//!
//! Tasks go where least is left over, so that whole workers and whole racks stay free for the
//! tasks that need all accelerators of a worker and the gangs that need a rack.

use std::collections::BTreeSet;

use crate::candidate;

/// Chooses a berth for each task of the unit and takes the room there, or changes nothing. The
/// result has one index for each task.
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
    // What was cleared for the unit is taken now; left as a claim it would keep others out twice.
    for it in candidates.iter_mut() {
        it.claims.retain(|(unit, _)| *unit != request.unit);
    }
    Some(chosen)
}

/// Whether the unit could ever be placed near its data and on one rack, were all workers empty.
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
    let may_open = n_empty(candidates, request) > request.keeps_empty;
    let fitting = candidates.iter().enumerate().filter(|(index, it)| {
        let is_near = request.rack_number.is_none_or(|rack| it.rack == rack);
        let is_open = may_open || !it.is_empty();
        is_open && (is_near || request.allows_remote) && request.count_now(*index, it) > 0
    });
    let best = fitting.min_by_key(|(_, it)| {
        let is_remote = request.rack_number.is_some_and(|rack| it.rack != rack);
        let left = it.free.minus(request.per_task);
        // Among workers left alike, that of the fullest rack: racks that empty serve gangs.
        let rack = free_by_rack[it.rack];
        // What may crash its worker runs where it puts least at risk.
        let n_at_risk = if request.may_crash_worker { it.n_runs } else { 0 };
        (is_remote, n_at_risk, it.failed_lately, left.accelerators, rack, left.cpu_milli)
    });
    best.map(|(index, _)| index)
}

/// Whether as many workers stay empty as the unit has to leave.
fn leaves_enough_empty(
    candidates: &[candidate::WorkerCandidate],
    request: &candidate::PlacementRequest,
    chosen: &[usize],
) -> bool {
    let opened = chosen.iter().collect::<BTreeSet<_>>();
    let n_opened = opened.iter().filter(|it| candidates[***it].is_empty()).count();
    n_opened == 0 || n_empty(candidates, request) >= n_opened + request.keeps_empty
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
        return Some(fill(candidates, request, &counts, |it| it.rack == rack));
    }
    if needs_rack && !request.allows_remote {
        return None;
    }
    if counts.iter().sum::<u32>() < request.n_tasks {
        return None;
    }
    Some(fill(candidates, request, &counts, |_| true))
}

/// The rack that holds the gang and has least left over then.
fn choose_rack(
    candidates: &[candidate::WorkerCandidate],
    request: &candidate::PlacementRequest,
    counts: &[u32],
) -> Option<usize> {
    let mut racks = vec![RackRoom::default(); n_racks(candidates)];
    for (it, count) in candidates.iter().zip(counts) {
        let rack = &mut racks[it.rack];
        rack.count += count;
        rack.accelerators += it.free.accelerators;
        rack.suspects += u32::from(it.failed_lately && *count > 0);
    }
    let holds = racks.iter().enumerate().filter(|(number, it)| {
        it.count >= request.n_tasks && request.rack_number.is_none_or(|rack| rack == *number)
    });
    holds.min_by_key(|(_, it)| (it.suspects, it.accelerators)).map(|(number, _)| number)
}

#[derive(Clone, Copy, Debug, Default)]
struct RackRoom {
    count: u32,
    accelerators: u32,
    suspects: u32,
}

/// Fills the allowed berths, those with least free first.
fn fill(
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
        (n_at_risk, it.failed_lately, it.free.accelerators, *index)
    });
    let mut chosen = Vec::with_capacity(request.n_tasks as usize);
    for index in order {
        let missing = request.n_tasks as usize - chosen.len();
        let taken = missing.min(counts[index] as usize);
        chosen.extend(std::iter::repeat_n(index, taken));
    }
    chosen
}
