//! Where a unit runs: best fit over workers, and over racks for gangs.
//!
//! Tasks go where least is left over, so that whole workers and whole racks stay free for the
//! tasks that need all accelerators of a worker and the gangs that need a rack.

use std::collections::BTreeSet;

use crate::berth;

/// Chooses a berth for each task of the unit and takes the room there, or changes nothing. The
/// result has one index for each task.
pub fn place(berths: &mut [berth::WorkerBerth], ask: &berth::PlaceAsk) -> Option<Vec<usize>> {
    let chosen = match ask.n_tasks {
        1 => place_one(berths, ask).map(|it| vec![it]),
        _ => place_gang(berths, ask),
    }?;
    if !leaves_enough_empty(berths, ask, &chosen) {
        return None;
    }
    for index in &chosen {
        let berth = &mut berths[*index];
        berth.used = berth.used.plus(ask.room);
        berth.free = berth.free.minus(ask.room);
        berth.n_runs += 1;
        berth.is_closed |= ask.is_apart;
    }
    // What was cleared for the unit is taken now; left as a claim it would keep others out twice.
    for it in berths.iter_mut() {
        it.claims.retain(|(unit, _)| *unit != ask.unit);
    }
    Some(chosen)
}

/// Whether the unit could ever be placed near its data and on one rack, were all workers empty.
pub fn could_be_near(berths: &[berth::WorkerBerth], ask: &berth::PlaceAsk) -> bool {
    if ask.rack_number.is_none() && !ask.same_rack {
        return true;
    }
    let mut n_by_rack = vec![0; n_racks(berths)];
    for (index, it) in berths.iter().enumerate() {
        n_by_rack[it.rack] += ask.count_on(index, it, it.place.capacity);
    }
    match ask.rack_number {
        Some(rack) => n_by_rack.get(rack).is_some_and(|it| *it >= ask.n_tasks),
        None => n_by_rack.iter().any(|it| *it >= ask.n_tasks),
    }
}

fn place_one(berths: &[berth::WorkerBerth], ask: &berth::PlaceAsk) -> Option<usize> {
    let free_by_rack = free_by_rack(berths);
    let may_open = n_empty(berths, ask) > ask.keeps_empty;
    let fitting = berths.iter().enumerate().filter(|(index, it)| {
        let is_near = ask.rack_number.is_none_or(|rack| it.rack == rack);
        let is_open = may_open || !it.is_empty();
        is_open && (is_near || ask.far) && ask.count_now(*index, it) > 0
    });
    let best = fitting.min_by_key(|(_, it)| {
        let is_far = ask.rack_number.is_some_and(|rack| it.rack != rack);
        let left = it.free.minus(ask.room);
        // Among workers left alike, that of the fullest rack: racks that empty serve gangs.
        let rack = free_by_rack[it.rack];
        // What may crash its worker runs where it puts least at risk.
        let n_at_risk = if ask.is_trial { it.n_runs } else { 0 };
        (is_far, n_at_risk, it.suspect, left.accelerators, rack, left.cpu_milli)
    });
    best.map(|(index, _)| index)
}

/// Whether as many workers stay empty as the unit has to leave.
fn leaves_enough_empty(
    berths: &[berth::WorkerBerth],
    ask: &berth::PlaceAsk,
    chosen: &[usize],
) -> bool {
    let opened = chosen.iter().collect::<BTreeSet<_>>();
    let n_opened = opened.iter().filter(|it| berths[***it].is_empty()).count();
    n_opened == 0 || n_empty(berths, ask) >= n_opened + ask.keeps_empty
}

fn n_empty(berths: &[berth::WorkerBerth], ask: &berth::PlaceAsk) -> usize {
    berths.iter().filter(|it| it.upstream == ask.upstream && it.is_empty()).count()
}

fn free_by_rack(berths: &[berth::WorkerBerth]) -> Vec<u32> {
    let mut free = vec![0; n_racks(berths)];
    for it in berths {
        free[it.rack] += it.free.accelerators;
    }
    free
}

fn n_racks(berths: &[berth::WorkerBerth]) -> usize {
    berths.iter().map(|it| it.rack + 1).max().unwrap_or_default()
}

fn place_gang(berths: &[berth::WorkerBerth], ask: &berth::PlaceAsk) -> Option<Vec<usize>> {
    let counts = berths.iter().enumerate().map(|(index, it)| ask.count_now(index, it));
    let counts = counts.collect::<Vec<_>>();
    let needs_rack = ask.same_rack || ask.rack_number.is_some();
    let near = if needs_rack { choose_rack(berths, ask, &counts) } else { None };
    if let Some(rack) = near {
        return Some(fill(berths, ask, &counts, |it| it.rack == rack));
    }
    if needs_rack && !ask.far {
        return None;
    }
    if counts.iter().sum::<u32>() < ask.n_tasks {
        return None;
    }
    Some(fill(berths, ask, &counts, |_| true))
}

/// The rack that holds the gang and has least left over then.
fn choose_rack(
    berths: &[berth::WorkerBerth],
    ask: &berth::PlaceAsk,
    counts: &[u32],
) -> Option<usize> {
    let mut racks = vec![RackRoom::default(); n_racks(berths)];
    for (it, count) in berths.iter().zip(counts) {
        let rack = &mut racks[it.rack];
        rack.count += count;
        rack.accelerators += it.free.accelerators;
        rack.suspects += u32::from(it.suspect && *count > 0);
    }
    let holds = racks.iter().enumerate().filter(|(number, it)| {
        it.count >= ask.n_tasks && ask.rack_number.is_none_or(|rack| rack == *number)
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
    berths: &[berth::WorkerBerth],
    ask: &berth::PlaceAsk,
    counts: &[u32],
    allowed: impl Fn(&berth::WorkerBerth) -> bool,
) -> Vec<usize> {
    let mut order = (0..berths.len()).collect::<Vec<_>>();
    order.retain(|index| allowed(&berths[*index]) && counts[*index] > 0);
    order.sort_by_key(|index| {
        let it = &berths[*index];
        let n_at_risk = if ask.is_trial { it.n_runs } else { 0 };
        (n_at_risk, it.suspect, it.free.accelerators, *index)
    });
    let mut chosen = Vec::with_capacity(ask.n_tasks as usize);
    for index in order {
        let missing = ask.n_tasks as usize - chosen.len();
        let taken = missing.min(counts[index] as usize);
        chosen.extend(std::iter::repeat_n(index, taken));
    }
    chosen
}
