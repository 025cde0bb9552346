//! The turn: who starts now, and where.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::{ids, model};

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

/// Turns come at least twice as often while anything waits: behind a longer pause nothing could be ordered.
const TURN_GAP: Duration = Duration::from_secs(1);

impl core::PoolCore {
    /// Takes note of the time, then starts what can start and clears room for urgent work.
    pub fn run_round(&mut self, now: Duration) {
        self.note_turn(now);
        self.run_maintenance(now);
        let all = self.startable_accelerators();
        let urgent = self.urgent_accelerators();
        self.headroom.observe(&urgent, all, now);
        self.within_guarantee = self.accounts_within_guarantee();
        let units = self.waiting_units(now);
        let is_wait_report_due = self.is_wait_report_due(now);
        // It goes over all workers, and what it finds is looked at anew before it counts.
        if is_wait_report_due {
            self.underused = self.find_underused();
        }
        if units.is_empty() && !is_wait_report_due {
            return;
        }
        self.expire_claims(now);
        let mut candidates = self.candidates(now);
        if candidates.is_empty() {
            self.uninterrupted_since = now;
        }
        self.start_units(units, &mut candidates, now);
        if is_wait_report_due {
            self.report_waits(&candidates, now);
        }
    }

    fn note_turn(&mut self, now: Duration) {
        if now > self.last_round_at + TURN_GAP {
            self.uninterrupted_since = now;
        }
        self.last_round_at = now;
    }

    fn start_units(
        &mut self,
        units: Vec<task_key::UnitKey>,
        candidates: &mut [candidate::WorkerCandidate],
        now: Duration,
    ) {
        let mut full = BTreeSet::<(ids::GraphId, u32)>::new();
        let mut hopeless = Vec::<resources::Resources>::new();
        let mut failed = Vec::<failed_placement::FailedPlacement>::new();
        let mut round = self.preemption_round();
        for unit in units {
            if !self.ensure_start_saved(unit, now) {
                continue;
            }
            self.start_isolation_wait(unit, now);
            let is_tried = !full.contains(&(unit.graph, unit.step));
            if is_tried && !self.is_hopeless(unit, &hopeless) {
                let outcome = self.try_start(unit, candidates, &mut failed, now);
                if outcome == StartOutcome::Started {
                    continue;
                }
                // Tasks of one step are alike: where one finds no room, neither do the others. Those under
                // suspicion ask for more.
                if !self.unit_needs_isolation(unit) {
                    full.insert((unit.graph, unit.step));
                }
                if outcome == StartOutcome::NoRoom {
                    hopeless.extend(self.hopeless_room(unit, candidates));
                    if !self.is_urgent(unit) {
                        self.reserve_for(unit, candidates, now);
                    }
                }
            }
            // In its turn, before less urgent units are looked at: they would start in the room that
            // is about to be cleared, and be stopped again at once.
            if self.is_urgent(unit) {
                self.preempt_for_urgent(unit, candidates, &mut round, now);
            }
        }
    }

    fn is_urgent(&self, unit: task_key::UnitKey) -> bool {
        self.jobs.get(&unit.graph).is_some_and(|it| it.priority == preemption::URGENT_PRIORITY)
    }

    /// Keeps the units that come later in this turn off the room for which a gang waits, or a suspect.
    /// Other tasks by themselves find room without.
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
        let Some(chosen) = reservation::reserve(candidates, &request) else { return };
        for index in chosen {
            let room = request.kept_resources(&candidates[index]);
            candidates[index].reserved.push((unit, room));
        }
    }

    /// The room of one task of a unit, if no worker has that much left: nothing that needs as much
    /// has to be tried in this turn.
    fn hopeless_room(
        &self,
        unit: task_key::UnitKey,
        candidates: &[candidate::WorkerCandidate],
    ) -> Option<resources::Resources> {
        let job = self.jobs.get(&unit.graph)?;
        let room = job.steps.get(unit.step as usize)?.task_resources();
        let is_hopeless = !candidates.iter().any(|it| room.fits_in(it.free));
        is_hopeless.then_some(room)
    }

    /// Whether a unit need not be tried. Urgent ones always are: other work may be stopped for them.
    fn is_hopeless(&self, unit: task_key::UnitKey, hopeless: &[resources::Resources]) -> bool {
        let Some(job) = self.jobs.get(&unit.graph) else { return true };
        let Some(step) = job.steps.get(unit.step as usize) else { return true };
        let room = step.task_resources();
        job.priority != preemption::URGENT_PRIORITY && hopeless.iter().any(|it| it.fits_in(room))
    }

    /// Units that may start now, in the order in which they are to: by class, and within a class first
    /// what can be in time, by age.
    fn waiting_units(&self, now: Duration) -> Vec<task_key::UnitKey> {
        let settled = self.settled(now);
        let jobs = self.active_jobs().filter(|(_, it)| settled.covers(it));
        let mut jobs = jobs.collect::<Vec<_>>();
        jobs.sort_by_cached_key(|(graph, it)| {
            (it.priority, self.prospect(it, now), it.admitted_at, *graph)
        });
        jobs.into_iter()
            .flat_map(|(graph, it)| waiting_units_of(graph, it, self.wall_time))
            .collect()
    }

    /// The workers that may get tasks now.
    pub(crate) fn candidates(&self, now: Duration) -> Vec<candidate::WorkerCandidate> {
        let usable =
            self.workers.iter().filter(|(id, it)| self.exclusion_reason(id, it, now).is_none());
        let mut racks = BTreeMap::<&str, usize>::new();
        let mut upstreams = BTreeMap::<&str, usize>::new();
        let candidates = usable.map(|(_, it)| candidate::WorkerCandidate {
            profile: Arc::clone(&it.place),
            rack: number_of(&it.place.rack, &mut racks),
            upstream: number_of(&it.place.upstream, &mut upstreams),
            used: it.in_use(),
            free: it.free(),
            n_runs: it.runs.len() + it.unwanted_runs.len(),
            failed_lately: it.health.has_recent_failures(),
            is_exclusive: !it.isolated_runs.is_empty(),
            claims: it.claims.iter().map(|it| (it.unit, it.resources)).collect(),
            reserved: Vec::new(),
        });
        candidates.collect()
    }

    /// Accelerators of the workers on which something may start while they are well.
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
        let Some(request) = self.placement_request(unit, candidates, now) else {
            return StartOutcome::Started;
        };
        // Urgent units may have room that is kept for them alone, and gangs reserve some.
        let is_plain = unit.task.is_some() && !self.is_urgent(unit) && !request.may_crash_worker;
        if is_plain && failed.iter().any(|it| it.covers(&request)) {
            return StartOutcome::Covered;
        }
        let Some(chosen) = placement::place(candidates, &request) else {
            if is_plain {
                failed.extend(failed_placement::FailedPlacement::from_request(&request));
            }
            return StartOutcome::NoRoom;
        };
        let racks = chosen.iter().map(|it| candidates[*it].rack).collect::<BTreeSet<_>>();
        let is_off = request.rack_number.is_some_and(|rack| racks.iter().any(|it| *it != rack));
        let is_remote = is_off || (request.same_rack && racks.len() > 1);
        let workers =
            chosen.iter().map(|it| candidates[*it].profile.worker.clone()).collect::<Vec<_>>();
        let places = UnitPlaces { workers, is_isolated: request.is_isolated, is_remote };
        self.start_unit(unit, places, now);
        StartOutcome::Started
    }

    /// Accelerators that each urgent job uses.
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
        let Some(job) = self.jobs.get_mut(&unit.graph) else { return };
        job.started = true;
        if job.state == model::GraphState::Pending {
            job.state = model::GraphState::Running;
        }
        let Some(attempt) = self.next_attempt(unit) else { return };
        for worker in self.workers.values_mut() {
            worker.claims.retain(|it| it.unit != unit);
        }
        for (key, worker) in keys.into_iter().zip(workers) {
            self.start_task(key, worker, StartTerms { attempt, is_isolated, is_remote }, now);
        }
    }

    fn start_task(
        &mut self,
        key: task_key::TaskKey,
        worker: ids::WorkerId,
        terms: StartTerms,
        now: Duration,
    ) {
        let StartTerms { attempt, is_isolated, is_remote } = terms;
        let start_timeout = self.timing.start_timeout;
        let Some(record) = self.workers.get_mut(&worker) else { return };
        let Some(deadline_ms) = record.clock.deadline_in(now, start_timeout) else { return };
        let Some(job) = self.jobs.get_mut(&key.graph) else { return };
        let body = job.body.clone();
        let Some(step) = job.step_mut(key) else { return };
        let room = step.task_resources();
        let Some(task) = step.tasks.get_mut(key.task as usize) else { return };
        task.attempt = attempt;
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
            first_confirmed_clock: None,
        });
        record.runs.insert(key);
        record.used = record.used.plus(room);
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
    }
}

/// What became of a unit in a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartOutcome {
    /// It starts, or has nothing to start.
    Started,
    /// It found no room.
    NoRoom,
    /// Another found no room that asked for no more.
    Covered,
}

/// Where a unit starts.
#[derive(Clone, Debug)]
struct UnitPlaces {
    workers: Vec<ids::WorkerId>,
    is_isolated: bool,
    is_remote: bool,
}

/// How a task starts.
#[derive(Clone, Copy, Debug)]
struct StartTerms {
    attempt: u32,
    is_isolated: bool,
    is_remote: bool,
}

/// Units of a job that may start at the time of day `wall`.
pub(crate) fn waiting_units_of(
    graph: ids::GraphId,
    job: &job::JobRecord,
    wall_time: Duration,
) -> Vec<task_key::UnitKey> {
    let mut units = Vec::new();
    for (index, step) in job.steps.iter().enumerate() {
        if wall_time < job.due_at(index) {
            // The runs are due one after the other.
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

/// The number of a name, the next one where it has none yet.
fn number_of<'a>(name: &'a str, numbers: &mut BTreeMap<&'a str, usize>) -> usize {
    let next = numbers.len();
    *numbers.entry(name).or_insert(next)
}
