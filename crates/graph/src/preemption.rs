//! Preemption for urgent work: stops the least valuable work, and keeps its resources until the urgent
//! work takes them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondpass_schema::ids;

use crate::candidate;
use crate::core;
use crate::job;
use crate::preemption_plan;
use crate::resources;
use crate::stop_reason;
use crate::task_key;
use crate::worker;

/// Priority of the jobs that may preempt others.
pub const URGENT_PRIORITY: u32 = 0;

/// Maximum number of units per round for which preemption is tried, as each try goes over all workers
/// and their runs. The next round follows within milliseconds.
const MAX_TRIES_PER_ROUND: u32 = 8;

/// Part of the reclaim bound of a guarantee that is reserved for preemption, in addition to the time of
/// a stop: making the plan, delivering the stops and the starts, and one restart of a gang member.
const RECLAIM_MARGIN: Duration = Duration::from_millis(700);

/// Freed resources are kept for a unit this much longer than a stop takes: until the last end is listed.
const CLAIM_MARGIN: Duration = Duration::from_millis(800);

/// Cost of the restart of a stopped task, in milliseconds, which count for each core that it uses. It is
/// added to the work that the task loses, and covers a new placement, the restore of the checkpoint and a
/// poll.
const RESTART_COST_MS: u64 = 1_000;

/// Factor on the cost of stopping urgent work of accounts above their guarantee, so that it is stopped
/// for urgent work within a guarantee only where stopping less urgent work is not enough.
const URGENT_COST_FACTOR: u64 = 20;

/// Maximum cost of a preemption for urgent work outside a guarantee, as a multiple of its own work.
/// Under full load, lost work is missed by others: one plan stopped 47 tasks, 3,192 core-seconds, for a
/// job of seven tasks. A limit of two times its work does as well; no limit serves 0.016 less of the
/// worth (40 paired days, error 0.007).
const MAX_COST_FACTOR: u64 = 3;

/// A task at or above this percentage is nearly done; stopping it costs three times as much.
const NEARLY_DONE_PERCENT: u32 = 75;

/// Preemption state of one scheduling round.
#[derive(Clone, Debug, Default)]
pub(crate) struct PreemptionRound {
    /// Units for which resources are being freed already.
    claimed: BTreeSet<task_key::UnitKey>,
    /// Number of units for which preemption may still be tried.
    n_left: u32,
    /// Units that may be stopped for work within a guarantee; `None` until first needed.
    for_guaranteed: Option<preemption_plan::VictimSet>,
    /// Units that may be stopped for other urgent work; `None` until first needed.
    for_others: Option<preemption_plan::VictimSet>,
}

impl core::PoolCore {
    pub(crate) fn expire_claims(&mut self, now: Duration) {
        for worker in self.workers.values_mut() {
            worker.claims.retain(|it| now < it.until);
        }
    }

    /// Starts the preemption state of a round.
    pub(crate) fn preemption_round(&self) -> PreemptionRound {
        let claims = self.workers.values().flat_map(|it| &it.claims);
        let claimed = claims.map(|it| it.unit).collect();
        PreemptionRound { claimed, n_left: MAX_TRIES_PER_ROUND, ..PreemptionRound::default() }
    }

    /// Stops less urgent work for an urgent unit that could not be placed. It is tried for each task of
    /// a step in the same round: one task after the other would each wait for a stop, and the guarantee
    /// would be met late. If preemption would cost too much, the unit waits without a reservation. With
    /// reservations, one urgent gang after the other would keep later units off the free capacity (at
    /// four times the load of a full day 0.30 instead of 0.37 of the worth was served).
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
        self.preempt_for(unit, candidates, round, now);
    }

    fn preempt_for(
        &mut self,
        unit: task_key::UnitKey,
        candidates: &mut [candidate::WorkerCandidate],
        round: &mut PreemptionRound,
        now: Duration,
    ) {
        let is_guaranteed = self.is_within_guarantee(unit.graph);
        let victim_set =
            if is_guaranteed { &mut round.for_guaranteed } else { &mut round.for_others };
        let victim_set =
            victim_set.get_or_insert_with(|| self.victim_set(is_guaranteed, candidates, now));
        let Some(request) = self.placement_request(unit, candidates, now) else { return };
        if request.awaits_isolation() {
            return;
        }
        let Some(plan) = preemption_plan::cheapest_plan(candidates, victim_set, &request) else {
            return;
        };
        if plan.cost > self.max_cost(unit, &request, now) {
            return;
        }
        let kept_resources = plan
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
            for key in self.unit_tasks(victim_set.unit(*victim)) {
                self.stop_run(key, stop_reason::StopReason::ClearedForUrgent, now);
            }
            victim_set.mark_stopping(*victim);
        }
        // The victims that are now stopping have to be left out of the other set as well.
        let other = if is_guaranteed { &mut round.for_others } else { &mut round.for_guaranteed };
        *other = None;
        let until = self.claim_end(now);
        for (index, kept) in plan.candidates.into_iter().zip(kept_resources) {
            candidates[index].claims.push((unit, kept));
            let claim = worker::ResourceClaim { unit, resources: kept, until };
            self.add_claim(&candidates[index].profile.worker, claim);
        }
    }

    /// When a claim expires that is made together with stops at `now`.
    pub(crate) fn claim_end(&self, now: Duration) -> Duration {
        now + self.timing.stop_timeout + CLAIM_MARGIN
    }

    /// Keeps resources of a worker for a unit.
    pub(crate) fn add_claim(&mut self, worker: &ids::WorkerId, claim: worker::ResourceClaim) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.claims.push(claim);
        }
    }

    /// Maximum cost of a preemption for a unit, in core-milliseconds. Work within a guarantee gets its
    /// resources at any cost before its reclaim bound. Only in the first part of the bound does the cost
    /// limit apply, as waiting for other work to end is cheaper.
    fn max_cost(
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
        let mean_run_ms = self.run_times.mean(&job.class).as_millis() as u64;
        let own_work =
            mean_run_ms * u64::from(request.n_tasks) * (request.per_task.weight() / 1_000).max(1);
        MAX_COST_FACTOR * own_work
    }

    /// Resources of tasks that are being stopped, by candidate.
    fn resources_being_freed(
        &self,
        candidates: &[candidate::WorkerCandidate],
    ) -> Vec<resources::Resources> {
        let freed_on = |it: &candidate::WorkerCandidate| {
            let runs = self.workers.get(&it.profile.worker).map(|it| &it.runs);
            let stopping = runs
                .into_iter()
                .flatten()
                .filter(|key| self.task_run(**key).is_some_and(|it| it.phase.is_stopping()));
            stopping
                .fold(resources::Resources::default(), |sum, key| sum.plus(self.resources_of(*key)))
        };
        candidates.iter().map(freed_on).collect()
    }

    /// Units that may be stopped for urgent work that is within its account's guarantee, or not.
    fn victim_set(
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
                let factor = if is_urgent { URGENT_COST_FACTOR } else { 1 };
                let Some(cost) = self.stop_cost(*key, now) else { continue };
                let Some(victim) = job.unit_of(*key) else { continue };
                let entry = victims.entry(victim).or_insert_with(|| {
                    preemption_plan::PreemptionVictim { unit: victim, cost: 0, runs: Vec::new() }
                });
                entry.cost += factor * cost;
                entry.runs.push((index, self.resources_of(*key)));
            }
        }
        preemption_plan::VictimSet::new(
            self.resources_being_freed(candidates),
            victims.into_values().collect(),
        )
    }

    /// Cost of stopping a run, in core-milliseconds; `None` if it is stopping already or its start is
    /// unconfirmed.
    fn stop_cost(&self, key: task_key::TaskKey, now: Duration) -> Option<u64> {
        let run = self.task_run(key)?;
        if run.phase.is_stopping() || matches!(run.phase, job::RunPhase::Unclear { .. }) {
            return None;
        }
        let saves = self.jobs.get(&key.graph)?.step(key)?.spec.saves;
        let ran = now.saturating_sub(run.tracked_since).as_millis() as u64;
        // A task that saves checkpoints saves one when it is stopped, and loses no work.
        let lost = if saves { 0 } else { ran };
        let weight = self.resources_of(key).weight() / 1_000;
        let cost = (lost + RESTART_COST_MS) * weight.max(1);
        Some(if run.percent >= NEARLY_DONE_PERCENT { 3 * cost } else { cost })
    }

    fn resources_of(&self, key: task_key::TaskKey) -> resources::Resources {
        let step = self.jobs.get(&key.graph).and_then(|it| it.step(key));
        step.map(job::StepRecord::task_resources).unwrap_or_default()
    }

    /// Whether the urgent work of the job's account needs no more than the guarantee of the account, as
    /// of the beginning of the round.
    pub(crate) fn is_within_guarantee(&self, graph: ids::GraphId) -> bool {
        let account = self.jobs.get(&graph).and_then(|it| it.account.as_ref());
        account.is_some_and(|it| self.within_guarantee.contains(it))
    }

    /// Accounts whose urgent work needs no more accelerators than are guaranteed to them.
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
