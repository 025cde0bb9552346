//! Chooses the running work to stop for urgent work, at the least cost.

use std::collections::{BTreeMap, BTreeSet};

use crate::candidate;
use crate::resources;
use crate::task_key;

/// A unit that may be stopped.
#[derive(Clone, Debug)]
pub struct PreemptionVictim {
    /// The unit.
    pub unit: task_key::UnitKey,
    /// Cost of stopping the unit, in core-milliseconds: the work lost and the cost of its restart.
    pub cost: u64,
    /// Index of the candidate and resources used there, for each task.
    pub runs: Vec<(usize, resources::Resources)>,
}

/// The victims to stop for a unit, and its placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreemptionPlan {
    /// Indices of the victims.
    pub victims: BTreeSet<usize>,
    /// Indices of the candidates on which the unit will run, one for each task.
    pub candidates: Vec<usize>,
    /// Cost of stopping the victims, in core-milliseconds.
    pub cost: u64,
}

/// Returns the plan of least cost that lets the requested unit run; `None` if stopping work does not
/// help.
pub fn cheapest_plan(
    candidates: &[candidate::WorkerCandidate],
    victim_set: &VictimSet,
    request: &candidate::PlacementRequest,
) -> Option<PreemptionPlan> {
    let groups = candidate_groups(candidates, request);
    let plans = groups.iter().filter_map(|it| plan_within(it, candidates, victim_set, request));
    plans.min_by_key(|it| it.cost)
}

/// Groups of candidates, within one of which the unit has to be placed: a group for each rack if the
/// request is bound to a rack.
fn candidate_groups(
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
    victim_set: &VictimSet,
    request: &candidate::PlacementRequest,
) -> Option<PreemptionPlan> {
    let mut state = PlanState::new(group, candidates, victim_set, request);
    let mut placed = Vec::<usize>::new();
    for _ in 0..request.n_tasks {
        placed.push(state.place_cheapest()?);
    }
    let cost = state.stopped.iter().map(|it| victim_set.victims[*it].cost).sum();
    Some(PreemptionPlan { victims: state.stopped, candidates: placed, cost })
}

/// The units that may be stopped, by candidate, and the resources being freed. It is built once per
/// round, as this goes over all runs.
#[derive(Clone, Debug, Default)]
pub struct VictimSet {
    victims: Vec<PreemptionVictim>,
    /// Index of each victim on a candidate and the resources that it frees there, the one with the
    /// lowest cost for its resources last.
    by_candidate: Vec<Vec<(usize, resources::Resources)>>,
    /// Resources of tasks that are being stopped, by candidate.
    freeing: Vec<resources::Resources>,
    /// Indices of victims that were asked to stop since the set was built.
    stopping: BTreeSet<usize>,
}

impl VictimSet {
    /// Indexes `victims` by candidate; `freeing` has the resources of tasks that are being stopped, by
    /// candidate.
    pub fn new(freeing: Vec<resources::Resources>, victims: Vec<PreemptionVictim>) -> VictimSet {
        let mut by_candidate = vec![BTreeMap::<usize, resources::Resources>::new(); freeing.len()];
        for (victim, it) in victims.iter().enumerate() {
            for (candidate, held) in &it.runs {
                let freed = by_candidate[*candidate].entry(victim).or_default();
                *freed = freed.plus(*held);
            }
        }
        let sorted = by_candidate.into_iter().map(|it| {
            let mut on_candidate = it.into_iter().collect::<Vec<_>>();
            on_candidate.sort_by_key(|(victim, freed)| {
                std::cmp::Reverse(victims[*victim].cost / freed.weight().max(1))
            });
            on_candidate
        });
        let by_candidate = sorted.collect();
        VictimSet { victims, by_candidate, freeing, stopping: BTreeSet::new() }
    }

    /// The unit of a victim.
    pub fn unit(&self, victim: usize) -> task_key::UnitKey {
        self.victims[victim].unit
    }

    /// Marks a victim as stopping: its resources count as being freed, and it can't be chosen again.
    pub fn mark_stopping(&mut self, victim: usize) {
        if !self.stopping.insert(victim) {
            return;
        }
        for (candidate, held) in &self.victims[victim].runs {
            self.freeing[*candidate] = self.freeing[*candidate].plus(*held);
        }
    }
}

/// A partial plan for a group of candidates.
struct PlanState<'a> {
    candidates: &'a [candidate::WorkerCandidate],
    victim_set: &'a VictimSet,
    request: &'a candidate::PlacementRequest<'a>,
    /// Resources in use on each candidate of the group, without those that the plan frees, and with
    /// those that it takes. The free resources are derived from them: on a worker whose capacity has
    /// shrunk, more may be in use than it offers.
    used: BTreeMap<usize, resources::Resources>,
    /// Number of tasks that the plan places on each candidate of the group.
    n_placed: BTreeMap<usize, u32>,
    /// The cheapest way to run one more task on each candidate, where there is one.
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
        victim_set: &'a VictimSet,
        request: &'a candidate::PlacementRequest<'a>,
    ) -> PlanState<'a> {
        let used_on = |index: usize| candidates[index].used.minus(victim_set.freeing[index]);
        let mut state = PlanState {
            candidates,
            victim_set,
            request,
            used: group.iter().map(|it| (*it, used_on(*it))).collect(),
            n_placed: BTreeMap::new(),
            options: BTreeMap::new(),
            stopped: BTreeSet::new(),
        };
        for index in group {
            state.update_option(*index);
        }
        state
    }

    /// Places a task where it costs least, and returns the index of the candidate.
    fn place_cheapest(&mut self) -> Option<usize> {
        let cheapest = self.options.iter().min_by_key(|(index, it)| (it.cost, **index));
        let index = cheapest.map(|(index, _)| *index)?;
        let option = self.options.remove(&index)?;
        let mut changed = BTreeSet::from([index]);
        for victim in option.victims {
            self.stopped.insert(victim);
            for (candidate, held) in &self.victim_set.victims[victim].runs {
                if let Some(used) = self.used.get_mut(candidate) {
                    *used = used.minus(*held);
                    changed.insert(*candidate);
                }
            }
        }
        if let Some(used) = self.used.get_mut(&index) {
            *used = used.plus(self.request.per_task);
        }
        *self.n_placed.entry(index).or_default() += 1;
        changed.into_iter().for_each(|it| self.update_option(it));
        Some(index)
    }

    fn update_option(&mut self, index: usize) {
        match self.option_on(index) {
            Some(option) => self.options.insert(index, option),
            None => self.options.remove(&index),
        };
    }

    /// The cheapest way to run one more task on a candidate.
    fn option_on(&self, index: usize) -> Option<PlanOption> {
        let candidate = &self.candidates[index];
        // Compares the limit of an empty worker with the tasks of this plan, whose resources are taken
        // into account below.
        let limit = self.request.count_on(index, candidate, candidate.profile.capacity);
        if limit <= self.n_placed.get(&index).copied().unwrap_or_default() {
            return None;
        }
        let mut used = self.used.get(&index).copied()?;
        let mut option = PlanOption { cost: 0, victims: Vec::new() };
        let is_available = |it: &&(usize, resources::Resources)| {
            !self.stopped.contains(&it.0) && !self.victim_set.stopping.contains(&it.0)
        };
        let mut on_candidate =
            self.victim_set.by_candidate[index].iter().rev().filter(is_available);
        while !self.fits(index, used) {
            let (victim, freed) = on_candidate.next()?;
            used = used.minus(*freed);
            option.cost += self.victim_set.victims[*victim].cost;
            option.victims.push(*victim);
        }
        Some(option)
    }

    /// Whether one more task fits on a candidate with `used` in use. An isolated run needs an empty
    /// worker.
    fn fits(&self, index: usize, used: resources::Resources) -> bool {
        let candidate = &self.candidates[index];
        let free = candidate.profile.capacity.minus(used);
        let n_placed = self.n_placed.get(&index).copied().unwrap_or_default();
        let is_empty = n_placed > 0 || used == resources::Resources::default();
        let left = candidate.available_to(self.request.unit, free);
        self.request.per_task.fits_in(left) && (is_empty || !self.request.is_isolated)
    }
}
