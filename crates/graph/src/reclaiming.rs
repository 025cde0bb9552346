//! Which running work makes room for urgent work: the least that is lost.

use std::collections::{BTreeMap, BTreeSet};

use crate::berth;
use crate::room;
use crate::task_key;

/// A unit that may be stopped.
#[derive(Clone, Debug)]
pub struct ReclaimVictim {
    /// The unit.
    pub unit: task_key::UnitKey,
    /// Work that would be lost, in core-milliseconds; with what a new start costs.
    pub cost: u64,
    /// Where it holds room: berth and room, one for each task.
    pub runs: Vec<(usize, room::Room)>,
}

/// What a reclaim does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReclaimPlan {
    /// Victims by index.
    pub victims: BTreeSet<usize>,
    /// Berths on which the unit will run, one for each task.
    pub berths: Vec<usize>,
    /// Work that is lost, in core-milliseconds, with what the new starts cost.
    pub cost: u64,
}

/// Chooses whom to stop for `ask`, at least cost. `freeing` is room of tasks that are stopping
/// already, by berth.
pub fn reclaim(
    berths: &[berth::WorkerBerth],
    victims: &[ReclaimVictim],
    freeing: &[room::Room],
    ask: &berth::PlaceAsk,
) -> Option<ReclaimPlan> {
    let groups = berth_groups(berths, ask);
    let pool = VictimPool::new(berths.len(), victims);
    let plans = groups.iter().filter_map(|it| plan_within(it, berths, &pool, freeing, ask));
    plans.min_by_key(|it| it.cost)
}

/// Sets of berths within one of which the unit has to lie: a rack each where that matters.
fn berth_groups(berths: &[berth::WorkerBerth], ask: &berth::PlaceAsk) -> Vec<Vec<usize>> {
    let all = || (0..berths.len()).collect::<Vec<_>>();
    if ask.far || (!ask.same_rack && ask.rack_number.is_none()) {
        return vec![all()];
    }
    let mut by_rack = BTreeMap::<usize, Vec<usize>>::new();
    for index in all() {
        by_rack.entry(berths[index].rack).or_default().push(index);
    }
    let allowed = by_rack.into_iter();
    let allowed = allowed.filter(|(rack, _)| ask.rack_number.is_none_or(|it| it == *rack));
    allowed.map(|(_, it)| it).collect()
}

fn plan_within(
    group: &[usize],
    berths: &[berth::WorkerBerth],
    pool: &VictimPool,
    freeing: &[room::Room],
    ask: &berth::PlaceAsk,
) -> Option<ReclaimPlan> {
    let mut state = PlanState::new(berths, freeing, ask);
    let mut placed = Vec::<usize>::new();
    for _ in 0..ask.n_tasks {
        let options = group.iter().filter_map(|index| {
            let on_berth = placed.iter().filter(|it| *it == index).count();
            state.option_on(*index, on_berth, pool, ask)
        });
        let option = options.min_by_key(|it| (it.cost, it.index))?;
        state.take(&option, pool, ask);
        placed.push(option.index);
    }
    let cost = state.stopped.iter().map(|it| pool.victims[*it].cost).sum();
    Some(ReclaimPlan { victims: state.stopped, berths: placed, cost })
}

/// The victims, and where each holds room. Plans look at them by berth, once for each task and
/// berth; going over all victims there took most of a turn on 350 workers.
struct VictimPool<'a> {
    victims: &'a [ReclaimVictim],
    /// Victims with room there, the cheapest for their room last.
    by_berth: Vec<Vec<(usize, room::Room)>>,
}

impl VictimPool<'_> {
    fn new(n_berths: usize, victims: &[ReclaimVictim]) -> VictimPool<'_> {
        let mut by_berth = vec![BTreeMap::<usize, room::Room>::new(); n_berths];
        for (victim, it) in victims.iter().enumerate() {
            for (berth, room) in &it.runs {
                let freed = by_berth[*berth].entry(victim).or_default();
                *freed = freed.plus(*room);
            }
        }
        let sorted = by_berth.into_iter().map(|it| {
            let mut on_berth = it.into_iter().collect::<Vec<_>>();
            on_berth.sort_by_key(|(victim, freed)| {
                std::cmp::Reverse(victims[*victim].cost / freed.weight().max(1))
            });
            on_berth
        });
        VictimPool { victims, by_berth: sorted.collect() }
    }
}

struct PlanState<'a> {
    berths: &'a [berth::WorkerBerth],
    free: Vec<room::Room>,
    stopped: BTreeSet<usize>,
}

struct PlanOption {
    index: usize,
    cost: u64,
    victims: Vec<usize>,
}

impl<'a> PlanState<'a> {
    fn new(
        berths: &'a [berth::WorkerBerth],
        freeing: &[room::Room],
        ask: &berth::PlaceAsk,
    ) -> PlanState<'a> {
        let both = berths.iter().zip(freeing);
        let free = both.map(|(it, freeing)| it.left_for(ask.unit, it.free.plus(*freeing)));
        PlanState { berths, free: free.collect(), stopped: BTreeSet::new() }
    }

    /// The cheapest way to run one more task there, if there is any.
    fn option_on(
        &self,
        index: usize,
        n_placed: usize,
        pool: &VictimPool,
        ask: &berth::PlaceAsk,
    ) -> Option<PlanOption> {
        let berth = &self.berths[index];
        // The limit per worker has to hold with the tasks of this plan, whose room is taken here.
        let limit = ask.count_on(index, berth, berth.place.capacity);
        if limit as usize <= n_placed {
            return None;
        }
        let mut free = self.free[index];
        let mut option = PlanOption { index, cost: 0, victims: Vec::new() };
        let unstopped = |it: &&(usize, room::Room)| !self.stopped.contains(&it.0);
        let mut on_berth = pool.by_berth[index].iter().rev().filter(unstopped);
        while !ask.room.fits_in(free) {
            let (victim, freed) = on_berth.next()?;
            free = free.plus(*freed);
            option.cost += pool.victims[*victim].cost;
            option.victims.push(*victim);
        }
        Some(option)
    }

    fn take(&mut self, option: &PlanOption, pool: &VictimPool, ask: &berth::PlaceAsk) {
        for victim in &option.victims {
            if self.stopped.insert(*victim) {
                for (berth, room) in &pool.victims[*victim].runs {
                    self.free[*berth] = self.free[*berth].plus(*room);
                }
            }
        }
        self.free[option.index] = self.free[option.index].minus(ask.room);
    }
}
