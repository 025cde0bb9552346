//! The state of a pool under one tenure.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::avoidance;
use crate::catalog;
use crate::headroom;
use crate::job;
use crate::loss_history;
use crate::losses;
use crate::order;
use crate::roster;
use crate::run_times;
use crate::save_queue;
use crate::takeover;
use crate::task_key;
use crate::timing;
use crate::wait_timer;
use crate::waiting;
use crate::worker;

/// For a worker's write of its entry, and for reading it: the list is asked for changes every 0.6 s.
const ENTRY_SLACK: Duration = Duration::from_millis(1_200);

/// Everything that the scheduler of a pool knows. Events are taken in by its methods; each returns
/// nothing and leaves orders, which [`PoolCore::take_orders`] hands out.
#[derive(Debug)]
pub struct PoolCore {
    pub(crate) timing: timing::PoolTiming,
    pub(crate) catalog: Arc<catalog::PoolCatalog>,
    pub(crate) jobs: BTreeMap<ids::GraphId, job::JobRecord>,
    /// The jobs that have not ended. Ended ones are kept to answer for and would make up most of
    /// what each turn goes over.
    pub(crate) active: BTreeSet<ids::GraphId>,
    pub(crate) workers: BTreeMap<ids::WorkerId, worker::WorkerRecord>,
    /// The workers that a successor finds; only these get tasks.
    pub(crate) roster: roster::RosterPages,
    /// The rows that the store does not have as they are.
    pub(crate) unsaved: save_queue::SaveQueue,
    pub(crate) orders: Vec<order::PoolOrder>,
    pub(crate) run_times: run_times::RunTimes,
    pub(crate) headroom: headroom::UrgentHeadroom,
    /// Accounts whose urgent work needs no more than is guaranteed to them, as of the last turn.
    pub(crate) within_guarantee: BTreeSet<ids::AccountId>,
    /// Until then, tasks of inherited jobs may run on workers that have not answered yet.
    pub(crate) settles_at: Duration,
    /// Whether a worker refused an order for a higher fencing token than ours.
    pub(crate) is_fenced_off: bool,
    /// Jobs that ended since they were last asked for.
    pub(crate) finished: Vec<FinishedJob>,
    /// Highest generation of a worker. It rises for all together: a worker that was forgotten and is
    /// listed again must not get a lower token than it has seen.
    pub(crate) newest_generation: u32,
    /// Workers found to have started again since they were last asked for.
    pub(crate) n_restarts: u64,
    /// How many workers are lost anyhow.
    pub(crate) loss_history: loss_history::LossHistory,
    /// When tasks no longer avoid the workers on which they failed, by time.
    pub(crate) avoidance_ends: VecDeque<avoidance::AvoidanceEnd>,
    /// What was believed of the starts that were found overdue since they were last asked for.
    pub(crate) overdue_phases: Vec<job::RunPhase>,
    /// Figures of losses since they were last asked for.
    pub(crate) loss_counts: losses::LossCounts,
    /// Until when all changes of the list of workers are taken in.
    pub(crate) list_read_at: Duration,
    /// Upstreams of whose workers less than half is in use, as of when jobs that wait were last gone over.
    pub(crate) underused: BTreeSet<ids::UpstreamName>,
    /// When the last turn was.
    pub(crate) last_round_at: Duration,
    /// Since when there have been turns all the while, and workers that may get tasks.
    pub(crate) uninterrupted_since: Duration,
    /// When time was last taken note of.
    pub(crate) last_maintenance_at: Duration,
    /// When jobs that wait were last gone over.
    pub(crate) waits_reported_at: Duration,
    /// The jobs that wait, as of then.
    pub(crate) wait_counts: waiting::WaitCounts,
    /// What the clock of the day showed last, as time since 1970: runs are due by it.
    pub(crate) wall_time: Duration,
    /// Whether a successor may go by what the roster notes of silent workers.
    pub(crate) keeps_silence_notes: bool,
    /// Data centres under evacuation: nothing starts on their workers.
    pub(crate) evacuated: Arc<[ids::DataCenter]>,
}

/// What a scheduler begins with.
#[derive(Clone, Debug)]
pub struct PoolStart {
    /// The platform's bounds.
    pub timing: timing::PoolTiming,
    /// Classes and accounts.
    pub catalog: Arc<catalog::PoolCatalog>,
    /// When everything that an earlier scheduler may have ordered has surely ended on the workers
    /// that do not answer.
    pub settles_at: Duration,
}

impl PoolCore {
    /// A pool without workers or jobs.
    pub fn new(start: PoolStart) -> PoolCore {
        PoolCore {
            timing: start.timing,
            catalog: start.catalog,
            jobs: BTreeMap::new(),
            active: BTreeSet::new(),
            workers: BTreeMap::new(),
            roster: roster::RosterPages::default(),
            unsaved: save_queue::SaveQueue::default(),
            orders: Vec::new(),
            run_times: run_times::RunTimes::default(),
            headroom: headroom::UrgentHeadroom::default(),
            within_guarantee: BTreeSet::new(),
            settles_at: start.settles_at,
            is_fenced_off: false,
            finished: Vec::new(),
            newest_generation: 0,
            n_restarts: 0,
            loss_history: loss_history::LossHistory::default(),
            avoidance_ends: VecDeque::new(),
            overdue_phases: Vec::new(),
            loss_counts: losses::LossCounts::default(),
            list_read_at: Duration::ZERO,
            underused: BTreeSet::new(),
            last_round_at: Duration::ZERO,
            uninterrupted_since: Duration::ZERO,
            last_maintenance_at: Duration::ZERO,
            waits_reported_at: Duration::ZERO,
            wait_counts: waiting::WaitCounts::default(),
            wall_time: Duration::ZERO,
            keeps_silence_notes: false,
            evacuated: Arc::default(),
        }
    }

    /// How much longer what earlier schedulers have ordered may go on, on workers that don't answer.
    pub fn settles_in(&self, now: Duration) -> Duration {
        self.settles_at.saturating_sub(now)
    }

    /// What earlier schedulers have ordered has surely ended at `at` on the workers that don't answer.
    pub fn bound_settling(&mut self, at: Duration) {
        self.settles_at = self.settles_at.min(at);
    }

    /// Takes a new configuration.
    pub fn set_catalog(&mut self, catalog: Arc<catalog::PoolCatalog>) {
        self.catalog = catalog;
    }

    /// All changes of the list of workers until `at` are taken in.
    pub fn note_list_read(&mut self, at: Duration) {
        self.list_read_at = self.list_read_at.max(at);
    }

    /// The list tells of the entry of a worker anew since it was last read. Where that is long behind the time
    /// before, the store may have carried the write out late, and what it says is from any time since.
    pub fn note_entry_read(&mut self, worker: &ids::WorkerId) {
        let at = self.list_read_at;
        let usual_gap = self.timing.heartbeat + ENTRY_SLACK;
        let Some(record) = self.workers.get_mut(worker) else { return };
        let before = record.entry_read_at.replace(at);
        if before.is_none_or(|it| at <= it + usual_gap) {
            record.entry_current_at = Some(at);
        }
    }

    /// Takes the data centres under evacuation: nothing starts on their workers until they are taken back.
    pub fn set_evacuated(&mut self, data_centers: Arc<[ids::DataCenter]>) {
        self.evacuated = data_centers;
    }

    /// Takes the time of day, as time since 1970.
    pub fn set_wall_time(&mut self, wall_time: Duration) {
        self.wall_time = wall_time;
    }

    /// Orders since the last call, to be sent in this order.
    pub fn take_orders(&mut self) -> Vec<order::PoolOrder> {
        std::mem::take(&mut self.orders)
    }

    /// Jobs that ended since the last call, with how long they took here.
    pub fn take_finished(&mut self) -> Vec<FinishedJob> {
        std::mem::take(&mut self.finished)
    }

    /// Whether a worker has shown that a later scheduler is at work.
    pub fn is_fenced_off(&self) -> bool {
        self.is_fenced_off
    }

    /// How far a job is, as far as callers may be told: an end only once it is durable.
    pub fn state_of(&self, graph: ids::GraphId) -> Option<JobStatus<'_>> {
        let job = self.jobs.get(&graph)?;
        let state = match job.durable_state {
            model::GraphState::Pending | model::GraphState::Running if job.started => {
                model::GraphState::Running
            }
            durable => durable,
        };
        let failure = job.failure.filter(|_| state == model::GraphState::Failed);
        Some(JobStatus { state, account: job.account.as_deref(), failure })
    }

    /// Whether a job is known, and its cancelling if it was `cancelled`.
    pub fn has_job(&self, graph: ids::GraphId, cancelled: bool) -> bool {
        self.jobs.get(&graph).is_some_and(|it| !cancelled || it.has_ended())
    }

    /// Jobs of a class of which no task has started.
    pub fn backlog(&self, class: &str) -> u64 {
        let waiting = self.active_jobs().filter(|(_, it)| it.class == class && !it.started);
        waiting.count() as u64
    }

    /// Mean run time of a class, once enough of its runs were seen from their beginning.
    pub fn usual_run_time(&self, class: &str) -> Option<Duration> {
        self.run_times.known_mean(class)
    }

    /// Whether anything is unfinished, so that turns are needed even without events.
    pub fn is_busy(&self) -> bool {
        !self.active.is_empty()
            || self.workers.values().any(|it| !it.runs.is_empty() || !it.unwanted_runs.is_empty())
    }

    /// The workers, for whoever keeps a session with each.
    pub fn worker_ids(&self) -> impl Iterator<Item = &ids::WorkerId> {
        self.workers.keys()
    }

    /// Figures for logs and metrics.
    pub fn summary(&self) -> PoolSummary {
        let mut summary = PoolSummary { n_workers: self.workers.len(), ..PoolSummary::default() };
        for (_, job) in self.active_jobs() {
            summary.n_jobs += 1;
            let tasks = || job.steps.iter().flat_map(|it| &it.tasks).filter(|it| !it.done);
            summary.n_waiting += tasks().filter(|it| it.run.is_none()).count();
            summary.n_suspects += tasks().filter(|it| it.suspicion.is_suspect()).count();
        }
        for worker in self.workers.values() {
            summary.n_running += worker.runs.len();
            summary.accelerators_used += worker.used.accelerators;
            summary.accelerators += worker.entry.capacity.accelerators;
        }
        summary
    }

    /// Whether every worker on which tasks of an earlier tenure may be has answered, or their
    /// leases have lapsed.
    pub fn is_settled(&self, now: Duration) -> bool {
        self.settled(now) == takeover::SettledJobs::All
    }

    /// What has settled by `now` of what an earlier tenure has left.
    pub(crate) fn settled(&self, now: Duration) -> takeover::SettledJobs {
        takeover::SettledJobs::of(self, now)
    }

    /// Whether each worker on which a successor has to expect tasks answers.
    pub fn all_answer(&self) -> bool {
        let mut records = self.roster.workers().filter_map(|it| self.workers.get(it));
        records.all(|it| it.is_responsive() || !it.belongs_in_roster())
    }

    /// The jobs that have not ended.
    pub(crate) fn active_jobs(&self) -> impl Iterator<Item = (ids::GraphId, &job::JobRecord)> {
        self.active.iter().filter_map(|it| Some((*it, self.jobs.get(it)?)))
    }

    /// Sorts a job whose state may have changed in with the active or the ended ones.
    pub(crate) fn update_active(&mut self, graph: ids::GraphId) {
        if self.jobs.get(&graph).is_some_and(|it| !it.has_ended()) {
            self.active.insert(graph);
        } else {
            self.active.remove(&graph);
        }
    }

    /// Takes note that a job has ended.
    pub(crate) fn finish(&mut self, graph: ids::GraphId, now: Duration) {
        let Some(job) = self.jobs.get_mut(&graph) else { return };
        job.ended_at = Some(now);
        let took = now.saturating_sub(job.admitted_at);
        tracing::info!(
            job = format_args!("{graph:016x}"),
            class = job.class,
            account = job.account,
            took_ms = took.as_millis() as u64,
            "job {}",
            job.state
        );
        self.finished.push(finished_job(job, took));
    }

    /// Takes the run of a task off its worker; the room is free from now on.
    pub(crate) fn release_run(&mut self, key: task_key::TaskKey, now: Duration) {
        let Some(job) = self.jobs.get_mut(&key.graph) else { return };
        let Some(step) = job.step_mut(key) else { return };
        let room = step.task_resources();
        let Some(task) = step.tasks.get_mut(key.task as usize) else { return };
        let Some(run) = task.run.take() else { return };
        task.ended_attempt = task.ended_attempt.max(run.attempt);
        task.waiting_since = now;
        // Its outcome is settled: a successor must not take the start for lost.
        let was_on_record = task.suspicion.saved_attempt.take().is_some();
        if run.is_confirmed && job.runs().next().is_none() {
            job.wait = wait_timer::WaitTimer::new(now);
        }
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.runs.remove(&key);
            worker.isolated_runs.remove(&key);
            worker.used = worker.used.minus(room);
        }
        if was_on_record {
            self.mark_task_changed(key);
        }
    }

    /// Asks for the stop of a task's run, unless that was done.
    pub(crate) fn stop_run(&mut self, key: task_key::TaskKey, now: Duration) {
        let Some(job) = self.jobs.get_mut(&key.graph) else { return };
        let Some(run) = job.task_mut(key).and_then(|it| it.run.as_mut()) else { return };
        if run.phase.is_stopping() {
            return;
        }
        run.phase = job::RunPhase::Stopping { stop_sent_at: now, stop_acked_at: None };
        let (worker, attempt) = (run.worker.clone(), run.attempt);
        self.order_stop(worker, key, attempt);
    }

    pub(crate) fn order_stop(
        &mut self,
        worker: ids::WorkerId,
        task: task_key::TaskKey,
        attempt: u32,
    ) {
        let Some(record) = self.workers.get(&worker) else { return };
        let address = record.entry.address.clone();
        let generation = record.generation;
        self.orders.push(order::PoolOrder::Stop(order::StopOrder {
            worker,
            address,
            generation,
            task,
            attempt,
        }));
    }

    /// Keys of the tasks of a unit.
    pub(crate) fn unit_tasks(&self, unit: task_key::UnitKey) -> Vec<task_key::TaskKey> {
        let Some(job) = self.jobs.get(&unit.graph) else { return Vec::new() };
        let key = |task| job.task_key(unit.graph, unit.step, task);
        if let Some(task) = unit.task {
            return vec![key(task)];
        }
        let step = job.steps.get(unit.step as usize);
        (0..step.map_or(0, |it| it.spec.tasks)).map(key).collect()
    }
}

fn finished_job(job: &job::JobRecord, took: Duration) -> FinishedJob {
    FinishedJob { account: job.account.clone(), class: job.class.clone(), state: job.state, took }
}

/// What callers may be told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobStatus<'a> {
    /// How far it is.
    pub state: model::GraphState,
    /// Whose it is.
    pub account: Option<&'a str>,
    /// Why it has failed, if it has.
    pub failure: Option<model::FailureCause>,
}

/// A job that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedJob {
    /// Whose it was.
    pub account: Option<ids::AccountId>,
    /// Its class.
    pub class: ids::ClassName,
    /// How it ended.
    pub state: model::GraphState,
    /// Since this scheduler learned of it.
    pub took: Duration,
}

/// Figures of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSummary {
    /// Jobs that have not ended.
    pub n_jobs: usize,
    /// Tasks that wait, for room or for earlier steps.
    pub n_waiting: usize,
    /// Tasks on workers.
    pub n_running: usize,
    /// Tasks under suspicion of crashing their workers.
    pub n_suspects: usize,
    /// Workers known.
    pub n_workers: usize,
    /// Accelerators in use.
    pub accelerators_used: u32,
    /// Accelerators of all workers.
    pub accelerators: u32,
}
