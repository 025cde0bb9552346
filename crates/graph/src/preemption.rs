//! Room for urgent work: stopping what is worth least, and keeping the room until it is taken.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondpass_schema::ids;

use crate::candidate;
use crate::core;
use crate::job;
use crate::preemption_plan;
use crate::resources;
use crate::task_key;
use crate::worker;

/// Priority of the work that may stop other work.
pub(crate) const URGENT_PRIORITY: u32 = 0;

/// Units for which room is sought in one turn; the next turn follows within milliseconds. Each goes
/// over all workers and what runs there.
const CLEARED_A_TURN: u32 = 8;

/// Part of the bound of a guarantee that is left for clearing its room beside the time that a stop
/// takes: finding the plan, the stops' way, the starts' way, and one member that has to start anew.
const RECLAIM_MARGIN: Duration = Duration::from_millis(700);

/// Room is kept for a unit this much longer than a stop takes.
const CLAIM_SLACK: Duration = Duration::from_millis(800);

/// Core-milliseconds for each thousandth of a core that a stopped task costs beyond the work it
/// loses: the time to find a place again and to restore, as measured on the users' sites (0.1 to
/// 0.6 s) and a look.
const RESTART_MS: u64 = 1_000;

/// Work of accounts above their guarantee is stopped for urgent work within a guarantee only where
/// nothing less urgent will do: it costs this many times as much.
const URGENT_COST: u64 = 20;

/// Urgent work outside a guarantee may cost other callers at most this many times its own work. Under
/// full load what is thrown away is missing to others: one plan stopped 47 tasks, 3,192 core-seconds,
/// for a job of seven tasks. Two times its work serves alike; no limit serves 0.016 of worth less (40
/// paired days, error 0.007).
const MOST_COST: u64 = 3;

/// A task at this percentage is nearly done; stopping it costs three times as much.
const NEARLY_DONE: u32 = 75;

/// What is left to clear in one turn.
#[derive(Clone, Debug, Default)]
pub(crate) struct PreemptionRound {
    /// Units for which room is being cleared already.
    claimed: BTreeSet<task_key::UnitKey>,
    /// Units for which room may still be sought.
    n_left: u32,
    /// What may be stopped for work within a guarantee, once it was needed.
    for_guaranteed: Option<preemption_plan::VictimSet>,
    /// What may be stopped for other urgent work, once it was needed.
    for_others: Option<preemption_plan::VictimSet>,
}

impl core::PoolCore {
    pub(crate) fn expire_claims(&mut self, now: Duration) {
        for worker in self.workers.values_mut() {
            worker.claims.retain(|it| now < it.until);
        }
    }

    /// What one turn may clear.
    pub(crate) fn preemption_round(&self) -> PreemptionRound {
        let claims = self.workers.values().flat_map(|it| &it.claims);
        let claimed = claims.map(|it| it.unit).collect();
        PreemptionRound { claimed, n_left: CLEARED_A_TURN, ..PreemptionRound::default() }
    }

    /// Stops less urgent work for an urgent unit that found no room. Each task of a step is
    /// cleared for at once: one after the other they would wait for a stop each, and a guarantee
    /// would come back late. Where it would cost too much the unit waits, and reserves nothing: one
    /// urgent gang after the other would keep those behind it off what is free (at four times the
    /// load of a full day 0.30 instead of 0.37 of worth).
    pub(crate) fn preempt_for_urgent(
        &mut self,
        unit: task_key::UnitKey,
        candidates: &mut [candidate::WorkerCandidate],
        round: &mut PreemptionRound,
        now: Duration,
    ) {
        if round.n_left == 0 || round.claimed.contains(&unit) {
            return;
        }
        round.n_left -= 1;
        self.clear_for(unit, candidates, round, now);
    }

    fn clear_for(
        &mut self,
        unit: task_key::UnitKey,
        candidates: &mut [candidate::WorkerCandidate],
        round: &mut PreemptionRound,
        now: Duration,
    ) {
        let is_guaranteed = self.is_within_guarantee(unit.graph);
        let pool = if is_guaranteed { &mut round.for_guaranteed } else { &mut round.for_others };
        let pool = pool.get_or_insert_with(|| self.victim_pool(is_guaranteed, candidates, now));
        let Some(request) = self.placement_request(unit, candidates, now) else { return };
        let Some(plan) = preemption_plan::cheapest_plan(candidates, pool, &request) else { return };
        if plan.cost > self.most_cost(unit, &request, now) {
            return;
        }
        let kept = plan
            .candidates
            .iter()
            .map(|it| request.kept_resources(&candidates[*it]))
            .collect::<Vec<_>>();
        tracing::info!(
            job = format_args!("{:016x}", unit.graph),
            step = unit.step,
            n_victims = plan.victims.len(),
            cost = plan.cost,
            n_workers = plan.candidates.len(),
            "room is cleared for urgent work"
        );
        for victim in &plan.victims {
            for key in self.unit_tasks(pool.unit(*victim)) {
                self.stop_run(key, now);
            }
            pool.stop(*victim);
        }
        // What is stopping is not the same in the other pool any more.
        let other = if is_guaranteed { &mut round.for_others } else { &mut round.for_guaranteed };
        *other = None;
        let until = now + self.timing.stop_timeout + CLAIM_SLACK;
        for (index, room) in plan.candidates.into_iter().zip(kept) {
            candidates[index].claims.push((unit, room));
            if let Some(record) = self.workers.get_mut(&candidates[index].profile.worker) {
                record.claims.push(worker::ResourceClaim { unit, resources: room, until });
            }
        }
    }

    /// Most work that may be thrown away for a unit, in core-milliseconds. A guarantee is owed its room
    /// at any cost, and in time: only for the first part of its bound is the cheaper way tried,
    /// which is waiting for work that ends.
    fn most_cost(
        &self,
        unit: task_key::UnitKey,
        request: &candidate::PlacementRequest,
        now: Duration,
    ) -> u64 {
        let Some(job) = self.jobs.get(&unit.graph) else { return 0 };
        let is_guaranteed = self.is_within_guarantee(unit.graph);
        let margin = self.timing.stop_timeout + RECLAIM_MARGIN;
        if is_guaranteed && now + margin >= job.admitted_at + self.timing.reclaim {
            return u64::MAX;
        }
        let run = self.run_times.mean(&job.class).as_millis() as u64;
        let own = run * u64::from(request.n_tasks) * (request.per_task.weight() / 1_000).max(1);
        MOST_COST * own
    }

    /// Room of tasks that are being stopped, by berth.
    fn freeing(&self, candidates: &[candidate::WorkerCandidate]) -> Vec<resources::Resources> {
        let on_berth = |it: &candidate::WorkerCandidate| {
            let runs = self.workers.get(&it.profile.worker).map(|it| &it.runs);
            let stopping = runs
                .into_iter()
                .flatten()
                .filter(|key| self.task_run(**key).is_some_and(|it| it.phase.is_stopping()));
            stopping.fold(resources::Resources::default(), |sum, key| sum.plus(self.room_of(*key)))
        };
        candidates.iter().map(on_berth).collect()
    }

    /// Units that may be stopped for urgent work, which is within its account's guarantee or not.
    fn victim_pool(
        &self,
        is_guaranteed: bool,
        candidates: &[candidate::WorkerCandidate],
        now: Duration,
    ) -> preemption_plan::VictimSet {
        let mut victims = BTreeMap::<task_key::UnitKey, preemption_plan::PreemptionVictim>::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let Some(record) = self.workers.get(&candidate.profile.worker) else { continue };
            for key in &record.runs {
                let Some(job) = self.jobs.get(&key.graph) else { continue };
                let is_urgent = job.priority == URGENT_PRIORITY;
                let is_protected = is_urgent && self.is_within_guarantee(key.graph);
                if is_urgent && (!is_guaranteed || is_protected) {
                    continue;
                }
                let factor = if is_urgent { URGENT_COST } else { 1 };
                let Some(cost) = self.stop_cost(*key, now) else { continue };
                let Some(victim) = job.unit_of(*key) else { continue };
                let entry = victims.entry(victim).or_insert_with(|| {
                    preemption_plan::PreemptionVictim { unit: victim, cost: 0, runs: Vec::new() }
                });
                entry.cost += factor * cost;
                entry.runs.push((index, self.room_of(*key)));
            }
        }
        preemption_plan::VictimSet::new(self.freeing(candidates), victims.into_values().collect())
    }

    /// Work that stopping a run throws away; nothing where it is stopping already.
    fn stop_cost(&self, key: task_key::TaskKey, now: Duration) -> Option<u64> {
        let run = self.task_run(key)?;
        if run.phase.is_stopping() || matches!(run.phase, job::RunPhase::Unclear { .. }) {
            return None;
        }
        let saves = self.jobs.get(&key.graph)?.step(key)?.spec.saves;
        let ran = now.saturating_sub(run.tracked_since).as_millis() as u64;
        // A stop saves a task that saves checkpoints.
        let lost = if saves { 0 } else { ran };
        let weight = self.room_of(key).weight() / 1_000;
        let cost = (lost + RESTART_MS) * weight.max(1);
        Some(if run.percent >= NEARLY_DONE { 3 * cost } else { cost })
    }

    fn room_of(&self, key: task_key::TaskKey) -> resources::Resources {
        let step = self.jobs.get(&key.graph).and_then(|it| it.step(key));
        step.map(job::StepRecord::task_resources).unwrap_or_default()
    }

    /// Whether the account of a job needs no more for its urgent work than is guaranteed to it, as of
    /// the beginning of the turn.
    pub(crate) fn is_within_guarantee(&self, graph: ids::GraphId) -> bool {
        let account = self.jobs.get(&graph).and_then(|it| it.account.as_ref());
        account.is_some_and(|it| self.within_guarantee.contains(it))
    }

    /// Accounts whose urgent work needs no more than is guaranteed to them.
    pub(crate) fn accounts_within_guarantee(&self) -> BTreeSet<ids::AccountId> {
        let mut needs = BTreeMap::<&str, u32>::new();
        let urgent = self.active_jobs().filter(|(_, it)| it.priority == URGENT_PRIORITY);
        for (_, job) in urgent {
            if let Some(account) = &job.account {
                *needs.entry(account).or_default() += job.accelerators();
            }
        }
        let guaranteed = |account: &ids::AccountId| self.catalog.guaranteed.get(account).copied();
        let within = needs.into_iter().filter(|(account, needed)| {
            guaranteed(&(*account).to_owned()).is_some_and(|it| *needed <= it)
        });
        within.map(|(account, _)| account.to_owned()).collect()
    }
}
