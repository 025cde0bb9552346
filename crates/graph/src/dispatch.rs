//! The scheduling round: selects the units that start now and their workers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::ids;

use crate::candidate;
use crate::core;
use crate::failed_placement;
use crate::job;
use crate::order;
use crate::pace;
use crate::placement;
use crate::preemption;
use crate::reservation;
use crate::resources;
use crate::task_key;
use crate::unit_order;

/// Longest gap between rounds without interruption. While anything waits, rounds come at least twice as
/// often; during a longer pause nothing could be ordered.
const MAX_ROUND_GAP: Duration = Duration::from_secs(1);

impl core::PoolCore {
    /// Runs periodic maintenance, starts the units that can start, and preempts other work for urgent units.
    pub fn run_round(&mut self, now: Duration) {
        self.note_round(now);
        self.begin_due_runs();
        self.run_maintenance(now);
        let all = self.startable_accelerators();
        let urgent = self.urgent_accelerators();
        self.headroom.observe(&urgent, all, now);
        self.within_guarantee = self.accounts_within_guarantee();
        self.observe_uses(now);
        let units = self.waiting_units(now);
        let is_wait_report_due = self.is_wait_report_due(now);
        // The search covers all workers, so it is not repeated in each round; a result is checked again
        // before it is used.
        if is_wait_report_due {
            self.underused = self.find_underused();
        }
        if units.is_empty() && !is_wait_report_due {
            self.move_late_runs(None, now);
            return;
        }
        self.expire_claims(now);
        self.update_pool_speeds(now);
        let mut candidates = self.candidates(now);
        if candidates.is_empty() {
            self.uninterrupted_since = now;
        }
        self.start_units(units, &mut candidates, now);
        if is_wait_report_due {
            self.report_waits(&candidates, now);
        }
        self.move_late_runs(Some(candidates), now);
    }

    fn note_round(&mut self, now: Duration) {
        if now > self.last_round_at + MAX_ROUND_GAP {
            self.uninterrupted_since = now;
        }
        self.last_round_at = now;
    }

    fn start_units(
        &mut self,
        mut units: unit_order::UnitOrder,
        candidates: &mut [candidate::WorkerCandidate],
        now: Duration,
    ) {
        let mut full_steps = BTreeSet::<(ids::GraphId, u32)>::new();
        let mut exhausted = Vec::<resources::Resources>::new();
        let mut failed = Vec::<failed_placement::FailedPlacement>::new();
        let mut round = self.preemption_round();
        self.standing_suspects = self.find_standing_suspects();
        self.start_window.drop_older(self.timing.start_timeout, now);
        while let Some(unit) = units.next_unit(self.account_state()) {
            if !self.start_window.admits(1) {
                break;
            }
            if self.is_end_uncertain(unit, now) || !self.is_evidence_complete(unit, now) {
                continue;
            }
            self.start_isolation_wait(unit, now);
            let is_tried = !full_steps.contains(&(unit.graph, unit.step));
            if is_tried && !self.cannot_fit(unit, &exhausted) {
                let outcome = self.try_start(unit, candidates, &mut failed, now);
                match outcome {
                    StartOutcome::Started => {
                        if let Some(passed) = units.passed() {
                            self.note_fair_start(unit, passed, now);
                        }
                        continue;
                    }
                    StartOutcome::AwaitsSave => continue,
                    // The units behind this one may not overtake it, or a large gang would never start.
                    StartOutcome::TooManyInTransit => break,
                    StartOutcome::NoCapacity | StartOutcome::Covered => {}
                }
                // Tasks of one step need the same, so if one does not fit, the others do not either. Tasks
                // under suspicion need more, and say nothing about the others.
                if !self.unit_needs_isolation(unit) {
                    full_steps.insert((unit.graph, unit.step));
                }
                if outcome == StartOutcome::NoCapacity {
                    exhausted.extend(self.exhausted_resources(unit, candidates));
                    if !self.is_urgent(unit) {
                        self.reserve_for(unit, candidates, now);
                    }
                }
            }
            self.withdraw_planned_start(unit, now);
            self.note_unplaced(unit, now);
            // Preemption for an urgent unit comes before less urgent units are tried. They would otherwise
            // start on the capacity about to be freed, and be stopped again at once.
            if self.is_urgent(unit) {
                self.preempt_for_urgent(unit, candidates, &mut round, now);
            }
        }
    }

    fn is_urgent(&self, unit: task_key::UnitKey) -> bool {
        self.jobs.get(&unit.graph).is_some_and(|it| it.priority == preemption::URGENT_PRIORITY)
    }

    /// Reserves capacity for a waiting gang or suspect, so that later units of this round do not take it.
    /// Other single tasks find capacity without a reservation.
    fn reserve_for(
        &self,
        unit: task_key::UnitKey,
        candidates: &mut [candidate::WorkerCandidate],
        now: Duration,
    ) {
        if unit.task.is_some() && !self.unit_needs_isolation(unit) {
            return;
        }
        let Some(request) = self.placement_request(unit, candidates, now) else { return };
        if request.awaits_isolation() {
            return;
        }
        let Some(chosen) = reservation::reserve(candidates, &request) else { return };
        for index in chosen {
            let kept = request.kept_resources(&candidates[index]);
            candidates[index].reserved.push((unit, kept));
        }
    }

    /// Resources of one task of the unit, if no worker has that much free. Nothing that needs as much has to
    /// be tried in this round.
    fn exhausted_resources(
        &self,
        unit: task_key::UnitKey,
        candidates: &[candidate::WorkerCandidate],
    ) -> Option<resources::Resources> {
        let job = self.jobs.get(&unit.graph)?;
        let resources = job.steps.get(unit.step as usize)?.task_resources();
        let is_exhausted = !candidates.iter().any(|it| resources.fits_in(it.free));
        is_exhausted.then_some(resources)
    }

    /// Whether a unit certainly does not fit and need not be tried. Urgent units are always tried, since
    /// other work may be stopped for them.
    fn cannot_fit(&self, unit: task_key::UnitKey, exhausted: &[resources::Resources]) -> bool {
        let Some(job) = self.jobs.get(&unit.graph) else { return true };
        let Some(step) = job.steps.get(unit.step as usize) else { return true };
        let resources = step.task_resources();
        job.priority != preemption::URGENT_PRIORITY
            && exhausted.iter().any(|it| it.fits_in(resources))
    }

    /// Units that may start now, in the order in which they are tried: by class priority, within a class by
    /// prospect, and then by age. In a class that has too little capacity, the use of the accounts comes
    /// before age if the fair order is on.
    fn waiting_units(&self, now: Duration) -> unit_order::UnitOrder {
        let settled = self.settled(now);
        let jobs = self.active_jobs().filter(|(_, it)| settled.covers(it));
        let jobs = jobs
            .map(|(graph, it)| ((it.priority, self.prospect(it, now), it.admitted_at, graph), it));
        let mut jobs = jobs.collect::<Vec<_>>();
        jobs.sort_unstable_by_key(|(rank, _)| *rank);
        let mut order = unit_order::UnitOrder::default();
        for ((_, prospect, _, graph), job) in jobs {
            let units = waiting_units_of(graph, job, self.wall_time);
            let first_step = units.first().map(|it| it.step);
            let Some(step) = first_step.filter(|_| self.is_fairly_ordered(job)) else {
                order.push(units);
                continue;
            };
            let key = unit_order::ContestKey {
                class: job.class.clone(),
                upstream: job.upstream.clone(),
                prospect,
            };
            let waiting = unit_order::WaitingJob {
                graph,
                account: job.account.clone(),
                admitted_at: job.admitted_at,
                standing: self.standing(job, step, now),
                needs_accelerators: job.graph_steps.iter().any(|it| it.accelerators > 0),
                units,
            };
            order.push_contested(key, waiting, self.account_state());
        }
        order
    }

    fn account_state(&self) -> unit_order::AccountState<'_> {
        unit_order::AccountState {
            uses: &self.fair_share.uses,
            guaranteed: &self.catalog.guaranteed,
        }
    }

    /// Workers that may get tasks now.
    pub(crate) fn candidates(&self, now: Duration) -> Vec<candidate::WorkerCandidate> {
        let usable =
            self.workers.iter().filter(|(id, it)| self.exclusion_reason(id, it, now).is_none());
        let mut racks = BTreeMap::<&str, usize>::new();
        let mut upstreams = BTreeMap::<&str, usize>::new();
        let candidates = usable.map(|(_, it)| candidate::WorkerCandidate {
            profile: Arc::clone(&it.place),
            rack: index_of_name(&it.place.rack, &mut racks),
            upstream: index_of_name(&it.place.upstream, &mut upstreams),
            used: it.in_use(),
            free: it.free(),
            n_runs: it.runs.len() + it.unwanted_runs.len(),
            failed_lately: it.health.has_recent_failures(),
            speed: self.speeds.rank(it),
            is_exclusive: !it.isolated_runs.is_empty(),
            claims: it.claims.iter().map(|it| (it.unit, it.resources)).collect(),
            reserved: Vec::new(),
        });
        candidates.collect()
    }

    /// Accelerators of the workers outside evacuated data centres.
    fn startable_accelerators(&self) -> u32 {
        let workers = self.workers.values().filter(|it| !self.is_evacuated(it));
        workers.map(|it| it.entry.capacity.accelerators).sum()
    }

    fn try_start(
        &mut self,
        unit: task_key::UnitKey,
        candidates: &mut [candidate::WorkerCandidate],
        failed: &mut Vec<failed_placement::FailedPlacement>,
        now: Duration,
    ) -> StartOutcome {
        if self.awaits_slow_save(unit, now) {
            return StartOutcome::AwaitsSave;
        }
        let Some(request) = self.placement_request(unit, candidates, now) else {
            return StartOutcome::Started;
        };
        // Urgent units may use capacity that is kept for them alone, and gangs reserve capacity, so a failed
        // search for other units says nothing about these.
        let is_plain = unit.task.is_some() && !self.is_urgent(unit) && !request.may_crash_worker;
        if is_plain && failed.iter().any(|it| it.covers(&request)) {
            return StartOutcome::Covered;
        }
        let Some(chosen) = placement::place(candidates, &request) else {
            if is_plain {
                failed.extend(failed_placement::FailedPlacement::from_request(&request));
            }
            return StartOutcome::NoCapacity;
        };
        let is_remote = is_remote(&request, candidates, &chosen);
        let mut workers =
            chosen.iter().map(|it| candidates[*it].profile.worker.clone()).collect::<Vec<_>>();
        self.keep_planned_workers(unit, &mut workers);
        let places = UnitPlaces { workers, is_isolated: request.is_isolated, is_remote };
        if !self.start_window.admits(places.workers.len()) {
            return StartOutcome::TooManyInTransit;
        }
        // The place stays taken among the candidates of this round until the start may be sent.
        if !self.ensure_start_saved(unit, &places.workers, now) {
            return StartOutcome::AwaitsSave;
        }
        self.start_unit(unit, places, now);
        StartOutcome::Started
    }

    /// Accelerators in use by each urgent job.
    fn urgent_accelerators(&self) -> Vec<u32> {
        let urgent =
            self.active_jobs().filter(|(_, it)| it.priority == preemption::URGENT_PRIORITY);
        let of_step = |step: &job::StepRecord| {
            let n_runs = step.tasks.iter().filter(|it| it.run.is_some()).count() as u32;
            n_runs * step.spec.accelerators
        };
        urgent.map(|(_, it)| it.steps.iter().map(of_step).sum()).collect()
    }

    fn start_unit(&mut self, unit: task_key::UnitKey, places: UnitPlaces, now: Duration) {
        let UnitPlaces { workers, is_isolated, is_remote } = places;
        let keys = self.unit_tasks(unit);
        let Some(attempt) = self.next_attempt(unit) else { return };
        for worker in self.workers.values_mut() {
            worker.claims.retain(|it| it.unit != unit);
        }
        for (key, worker) in keys.into_iter().zip(workers) {
            self.count_urgent_start(unit.graph, &worker);
            self.start_task(key, worker, StartProperties { attempt, is_isolated, is_remote }, now);
        }
    }

    fn start_task(
        &mut self,
        key: task_key::TaskKey,
        worker: ids::WorkerId,
        properties: StartProperties,
        now: Duration,
    ) {
        let StartProperties { attempt, is_isolated, is_remote } = properties;
        let start_timeout = self.timing.start_timeout;
        let Some(record) = self.workers.get_mut(&worker) else { return };
        let Some(deadline_ms) = record.clock.deadline_in(now, start_timeout) else { return };
        let Some(job) = self.jobs.get_mut(&key.graph) else { return };
        let body = job.body.clone();
        let Some(step) = job.step_mut(key) else { return };
        let resources = step.task_resources();
        let Some(task) = step.tasks.get_mut(key.task as usize) else { return };
        task.attempt = attempt;
        task.last_start = Some(Box::new(job::TaskStart { worker: worker.clone(), attempt }));
        task.planned_start = None;
        task.run = Some(job::TaskRun {
            worker: worker.clone(),
            attempt,
            phase: job::RunPhase::Ordered,
            start_deadline: Some(job::StartDeadline { generation: record.generation, deadline_ms }),
            is_confirmed: false,
            is_reported_overdue: false,
            is_confirmed_by_incarnation: false,
            is_remote,
            is_from_scratch: task.checkpoint.is_none(),
            tracked_since: now,
            percent: 0,
            percent_changed_at: now,
            pace: pace::RunPace::not_started(),
            is_polled_early: false,
            move_tried_at: None,
            is_speed_sampled: false,
            speed_sample: None,
            first_confirmed_clock: None,
        });
        record.runs.insert(key);
        record.used = record.used.plus(resources);
        if is_isolated {
            record.isolated_runs.insert(key);
        }
        tracing::info!(
            job = format_args!("{:016x}", key.graph),
            task = %key,
            attempt,
            worker,
            waited_ms = now.saturating_sub(task.waiting_since).as_millis() as u64,
            resumes = task.checkpoint.is_some(),
            free_accelerators = record.free().accelerators,
            "task starts"
        );
        self.start_window.start_ordered(key, attempt, now);
        self.orders.push(order::PoolOrder::Start(order::StartOrder {
            worker,
            address: record.entry.address.clone(),
            generation: record.generation,
            ordered_at: now,
            task: key,
            attempt,
            body,
            deadline_ms,
            checkpoint: task.checkpoint.clone(),
        }));
        self.charge_start(key);
    }
}

/// Whether a unit takes longer on the chosen candidates: off the rack of its data, or across racks.
pub(crate) fn is_remote(
    request: &candidate::PlacementRequest,
    candidates: &[candidate::WorkerCandidate],
    chosen: &[usize],
) -> bool {
    let racks = chosen.iter().map(|it| candidates[*it].rack).collect::<BTreeSet<_>>();
    let is_off_rack = request.rack_number.is_some_and(|rack| racks.iter().any(|it| *it != rack));
    is_off_rack || (request.same_rack && racks.len() > 1)
}

/// Result of trying a unit in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartOutcome {
    /// The unit started, or has nothing to start.
    Started,
    /// The unit has a place, and starts once its start is saved.
    AwaitsSave,
    /// The unit does not fit on the candidates.
    NoCapacity,
    /// The unit fits, but more starts are in transit than are answered in time.
    TooManyInTransit,
    /// Not tried, because a unit that needs the same or less did not fit in this round.
    Covered,
}

/// Workers chosen for the tasks of a unit.
#[derive(Clone, Debug)]
struct UnitPlaces {
    workers: Vec<ids::WorkerId>,
    is_isolated: bool,
    is_remote: bool,
}

/// Properties of the start of one task.
#[derive(Clone, Copy, Debug)]
struct StartProperties {
    attempt: u32,
    is_isolated: bool,
    is_remote: bool,
}

/// Units of a job that may start at the wall-clock time `wall_time`.
pub(crate) fn waiting_units_of(
    graph: ids::GraphId,
    job: &job::JobRecord,
    wall_time: Duration,
) -> Vec<task_key::UnitKey> {
    let mut units = Vec::new();
    for (index, step) in job.steps.iter().enumerate() {
        if wall_time < job.due_at(index) {
            // Runs become due in order, so no later step is due either.
            break;
        }
        if step.is_done() || !job.is_ready(index) {
            continue;
        }
        let waits = |it: &job::TaskRecord| !it.done && it.run.is_none();
        let unit = |task| task_key::UnitKey { graph, step: index as u32, task };
        if step.spec.gang {
            if step.tasks.iter().all(waits) {
                units.push(unit(None));
            }
            continue;
        }
        let waiting = step.tasks.iter().enumerate().filter(|(_, it)| waits(it));
        units.extend(waiting.map(|(task, _)| unit(Some(task as u32))));
    }
    units
}

/// Index of a name; a new name gets the next free index.
fn index_of_name<'a>(name: &'a str, indices: &mut BTreeMap<&'a str, usize>) -> usize {
    let next = indices.len();
    *indices.entry(name).or_insert(next)
}
