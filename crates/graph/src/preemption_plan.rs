//! Which running work makes room for urgent work: the least that is lost.

use std::collections::{BTreeMap, BTreeSet};

use crate::candidate;
use crate::resources;
use crate::task_key;

/// A unit that may be stopped.
#[derive(Clone, Debug)]
pub struct PreemptionVictim {
    /// The unit.
    pub unit: task_key::UnitKey,
    /// Work that would be lost, in core-milliseconds; with what a new start costs.
    pub cost: u64,
    /// Where it holds room: berth and room, one for each task.
    pub runs: Vec<(usize, resources::Resources)>,
}

/// What a reclaim does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreemptionPlan {
    /// Victims by index.
    pub victims: BTreeSet<usize>,
    /// Berths on which the unit will run, one for each task.
    pub candidates: Vec<usize>,
    /// Work that is lost, in core-milliseconds, with what the new starts cost.
    pub cost: u64,
}

/// Chooses whom to stop for `ask`, at least cost.
pub fn cheapest_plan(
    candidates: &[candidate::WorkerCandidate],
    pool: &VictimSet,
    request: &candidate::PlacementRequest,
) -> Option<PreemptionPlan> {
    let groups = berth_groups(candidates, request);
    let plans = groups.iter().filter_map(|it| plan_within(it, candidates, pool, request));
    plans.min_by_key(|it| it.cost)
}

/// Sets of berths within one of which the unit has to lie: a rack each where that matters.
fn berth_groups(
    candidates: &[candidate::WorkerCandidate],
    request: &candidate::PlacementRequest,
) -> Vec<Vec<usize>> {
    let all = || (0..candidates.len()).collect::<Vec<_>>();
    if request.allows_remote || (!request.same_rack && request.rack_number.is_none()) {
        return vec![all()];
    }
    let mut by_rack = BTreeMap::<usize, Vec<usize>>::new();
    for index in all() {
        by_rack.entry(candidates[index].rack).or_default().push(index);
    }
    let allowed = by_rack.into_iter();
    let allowed = allowed.filter(|(rack, _)| request.rack_number.is_none_or(|it| it == *rack));
    allowed.map(|(_, it)| it).collect()
}

fn plan_within(
    group: &[usize],
    candidates: &[candidate::WorkerCandidate],
    pool: &VictimSet,
    request: &candidate::PlacementRequest,
) -> Option<PreemptionPlan> {
    let mut state = PlanState::new(group, candidates, pool, request);
    let mut placed = Vec::<usize>::new();
    for _ in 0..request.n_tasks {
        placed.push(state.take_cheapest()?);
    }
    let cost = state.stopped.iter().map(|it| pool.victims[*it].cost).sum();
    Some(PreemptionPlan { victims: state.stopped, candidates: placed, cost })
}

/// Units that may be stopped, where each holds room, and the room of those that are stopping. Made
/// once a turn: it goes over all that runs.
#[derive(Clone, Debug, Default)]
pub struct VictimSet {
    victims: Vec<PreemptionVictim>,
    /// Victims with room there, the cheapest for their room last.
    by_berth: Vec<Vec<(usize, resources::Resources)>>,
    /// Room of tasks that are stopping already, by berth.
    freeing: Vec<resources::Resources>,
    /// Victims that were asked to stop since.
    stopping: BTreeSet<usize>,
}

impl VictimSet {
    /// The victims on `n_berths` berths; `freeing` is room of tasks that are stopping already, by berth.
    pub fn new(freeing: Vec<resources::Resources>, victims: Vec<PreemptionVictim>) -> VictimSet {
        let mut by_berth = vec![BTreeMap::<usize, resources::Resources>::new(); freeing.len()];
        for (victim, it) in victims.iter().enumerate() {
            for (candidate, room) in &it.runs {
                let freed = by_berth[*candidate].entry(victim).or_default();
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
        let by_berth = sorted.collect();
        VictimSet { victims, by_berth, freeing, stopping: BTreeSet::new() }
    }

    /// The unit of a victim.
    pub fn unit(&self, victim: usize) -> task_key::UnitKey {
        self.victims[victim].unit
    }

    /// A victim is being stopped: its room comes free, and it can't be stopped again.
    pub fn stop(&mut self, victim: usize) {
        if !self.stopping.insert(victim) {
            return;
        }
        for (candidate, room) in &self.victims[victim].runs {
            self.freeing[*candidate] = self.freeing[*candidate].plus(*room);
        }
    }
}

/// A plan for a group of berths, as far as it is made.
struct PlanState<'a> {
    candidates: &'a [candidate::WorkerCandidate],
    pool: &'a VictimSet,
    request: &'a candidate::PlacementRequest<'a>,
    /// What is in use on each berth of the group, less what the plan frees and with what it takes. What is
    /// free follows from it: a worker whose room has shrunk may have more in use than it offers.
    used: BTreeMap<usize, resources::Resources>,
    /// How many tasks the plan places on each berth of the group.
    n_placed: BTreeMap<usize, u32>,
    /// The cheapest way to run one more task on each berth of the group that can.
    options: BTreeMap<usize, PlanOption>,
    stopped: BTreeSet<usize>,
}

struct PlanOption {
    cost: u64,
    victims: Vec<usize>,
}

impl<'a> PlanState<'a> {
    fn new(
        group: &[usize],
        candidates: &'a [candidate::WorkerCandidate],
        pool: &'a VictimSet,
        request: &'a candidate::PlacementRequest<'a>,
    ) -> PlanState<'a> {
        let used_on = |index: usize| candidates[index].used.minus(pool.freeing[index]);
        let mut state = PlanState {
            candidates,
            pool,
            request,
            used: group.iter().map(|it| (*it, used_on(*it))).collect(),
            n_placed: BTreeMap::new(),
            options: BTreeMap::new(),
            stopped: BTreeSet::new(),
        };
        for index in group {
            state.renew_option(*index);
        }
        state
    }

    /// Places a task where it costs least; the berth, if there is any.
    fn take_cheapest(&mut self) -> Option<usize> {
        let cheapest = self.options.iter().min_by_key(|(index, it)| (it.cost, **index));
        let index = cheapest.map(|(index, _)| *index)?;
        let option = self.options.remove(&index)?;
        let mut changed = BTreeSet::from([index]);
        for victim in option.victims {
            self.stopped.insert(victim);
            for (candidate, room) in &self.pool.victims[victim].runs {
                if let Some(used) = self.used.get_mut(candidate) {
                    *used = used.minus(*room);
                    changed.insert(*candidate);
                }
            }
        }
        if let Some(used) = self.used.get_mut(&index) {
            *used = used.plus(self.request.per_task);
        }
        *self.n_placed.entry(index).or_default() += 1;
        changed.into_iter().for_each(|it| self.renew_option(it));
        Some(index)
    }

    fn renew_option(&mut self, index: usize) {
        match self.option_on(index) {
            Some(option) => self.options.insert(index, option),
            None => self.options.remove(&index),
        };
    }

    /// The cheapest way to run one more task there, if there is any.
    fn option_on(&self, index: usize) -> Option<PlanOption> {
        let candidate = &self.candidates[index];
        // The limit per worker has to hold with the tasks of this plan, whose room is taken here.
        let limit = self.request.count_on(index, candidate, candidate.profile.capacity);
        if limit <= self.n_placed.get(&index).copied().unwrap_or_default() {
            return None;
        }
        let mut used = self.used.get(&index).copied()?;
        let mut option = PlanOption { cost: 0, victims: Vec::new() };
        let is_there = |it: &&(usize, resources::Resources)| {
            !self.stopped.contains(&it.0) && !self.pool.stopping.contains(&it.0)
        };
        let mut on_berth = self.pool.by_berth[index].iter().rev().filter(is_there);
        while !self.fits(index, used) {
            let (victim, freed) = on_berth.next()?;
            used = used.minus(*freed);
            option.cost += self.pool.victims[*victim].cost;
            option.victims.push(*victim);
        }
        Some(option)
    }

    /// Whether one more task fits on a berth with that much in use. One that runs apart needs it empty.
    fn fits(&self, index: usize, used: resources::Resources) -> bool {
        let candidate = &self.candidates[index];
        let free = candidate.profile.capacity.minus(used);
        let n_placed = self.n_placed.get(&index).copied().unwrap_or_default();
        let is_empty = n_placed > 0 || used == resources::Resources::default();
        let left = candidate.available_to(self.request.unit, free);
        self.request.per_task.fits_in(left) && (is_empty || !self.request.is_isolated)
    }
}
