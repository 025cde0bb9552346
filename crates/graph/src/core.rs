//! State of the scheduler of one pool during one tenure.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::avoidance;
use crate::catalog;
use crate::early_polls;
use crate::fair_share;
use crate::headroom;
use crate::job;
use crate::late_runs;
use crate::load_summary;
use crate::loss_history;
use crate::losses;
use crate::order;
use crate::pool_speeds;
use crate::progress;
use crate::reported_ends;
use crate::roster;
use crate::run_times;
use crate::save_queue;
use crate::saved_start;
use crate::silent_workers;
use crate::start_window;
use crate::stop_reason;
use crate::takeover;
use crate::task_ends;
use crate::task_key;
use crate::timing;
use crate::wait_timer;
use crate::waiting;
use crate::worker;

/// Allowance for a worker to write its entry and for the scheduler to read it; the list is polled for changes
/// every 0.6 s.
const ENTRY_SLACK: Duration = Duration::from_millis(1_200);

/// Scheduling state of a pool. Methods apply events; the orders that result are collected until
/// [`PoolCore::take_orders`] returns them.
#[derive(Debug)]
pub struct PoolCore {
    /// Epoch of the tenure; the attempt numbers of inherited tasks follow from it.
    pub(crate) epoch: ids::Epoch,
    pub(crate) timing: timing::PoolTiming,
    /// Which optional decisions are on.
    pub(crate) scheduling: model::SchedulingSettings,
    pub(crate) catalog: Arc<catalog::PoolCatalog>,
    pub(crate) jobs: BTreeMap<ids::GraphId, job::JobRecord>,
    /// Jobs that have not ended. Ended jobs stay in `jobs` so that callers can still query them, and would be
    /// most of what each round iterates over.
    pub(crate) active: BTreeSet<ids::GraphId>,
    pub(crate) workers: BTreeMap<ids::WorkerId, worker::WorkerRecord>,
    /// Workers recorded in the store for a successor to find. Only these get tasks.
    pub(crate) roster: roster::RosterPages,
    /// Rows whose current content is not in the store yet.
    pub(crate) unsaved: save_queue::SaveQueue,
    pub(crate) orders: Vec<order::PoolOrder>,
    /// Starts in transit, and the limit of their number.
    pub(crate) start_window: start_window::StartWindow,
    pub(crate) run_times: run_times::RunTimes,
    /// How much the speeds of the workers differ.
    pub(crate) speeds: pool_speeds::PoolSpeeds,
    /// Moves of late units.
    pub(crate) moves: late_runs::MoveState,
    pub(crate) poll_budget: early_polls::PollBudget,
    pub(crate) load: load_summary::LoadMeter,
    pub(crate) headroom: headroom::UrgentHeadroom,
    /// Use of the pool by accounts, and classes with too little capacity.
    pub(crate) fair_share: fair_share::FairShare,
    /// Accounts whose urgent work needs no more accelerators than are guaranteed to them, as of the last
    /// round.
    pub(crate) within_guarantee: BTreeSet<ids::AccountId>,
    /// Until this time, tasks of inherited jobs may run on workers that have not answered yet.
    pub(crate) settles_at: Duration,
    /// Until this time, no later scheduler can have given orders.
    pub(crate) exclusive_until: Duration,
    /// What earlier schedulers have reported of workers that do not answer.
    pub(crate) silence_reports: silent_workers::SilenceReports,
    /// Ends that earlier schedulers have reported and that are not durable yet.
    pub(crate) reported_ends: reported_ends::ReportedEnds,
    /// Starts that earlier schedulers had saved, by the workers for which they were meant, until these answer.
    pub(crate) inherited_starts:
        BTreeMap<ids::WorkerId, Vec<(task_key::TaskKey, saved_start::SavedStart)>>,
    /// Whether a worker has refused an order because it had seen a higher fencing token than that of this
    /// scheduler.
    pub(crate) is_fenced_off: bool,
    /// Jobs that ended since the last call of [`PoolCore::take_finished`].
    pub(crate) finished: Vec<FinishedJob>,
    /// Highest generation given to any worker. It is shared by all workers, because a worker that was
    /// forgotten and is listed again must not get a lower token than it has seen.
    pub(crate) newest_generation: u32,
    /// Worker restarts detected since the count was last taken.
    pub(crate) n_restarts: u64,
    /// Recent losses of workers that no suspect task explains.
    pub(crate) loss_history: loss_history::LossHistory,
    /// Times at which tasks stop avoiding the workers on which they failed, in order of time.
    pub(crate) avoidance_ends: VecDeque<avoidance::AvoidanceEnd>,
    /// Recorded phases of the starts found overdue since the last call of [`PoolCore::take_overdue_phases`].
    pub(crate) overdue_phases: Vec<job::RunPhase>,
    /// Counts of losses since they were last taken.
    pub(crate) loss_counts: losses::LossCounts,
    /// Counts of ends since they were last taken.
    pub(crate) end_counts: task_ends::EndCounts,
    /// All changes of the worker list up to this time are applied.
    pub(crate) list_read_at: Duration,
    /// Upstreams with less than half of each resource of their workers in use, as of the last check of
    /// waiting jobs.
    pub(crate) underused: BTreeSet<ids::UpstreamName>,
    /// Jobs with nothing running of which a suspect waited for an empty worker at the beginning of the last round.
    pub(crate) standing_suspects: BTreeSet<ids::GraphId>,
    /// Time of the last scheduling round.
    pub(crate) last_round_at: Duration,
    /// Start of the current period in which rounds ran without a long pause and some worker could get tasks.
    pub(crate) uninterrupted_since: Duration,
    /// Time of the last maintenance pass.
    pub(crate) last_maintenance_at: Duration,
    /// Time of the last check of waiting jobs.
    pub(crate) waits_reported_at: Duration,
    /// Counts of waiting jobs as of that check.
    pub(crate) wait_counts: waiting::WaitCounts,
    /// Last reading of the wall clock, as time since 1970. Timed runs are due by it.
    pub(crate) wall_time: Duration,
    /// Whether a successor may rely on the roster's notes about silent workers.
    pub(crate) keeps_silence_notes: bool,
    /// Whether a page of the roster can't be decoded.
    pub(crate) has_unreadable_roster: bool,
    /// Data centres under evacuation. Nothing starts on their workers.
    pub(crate) evacuated: Arc<[ids::DataCenter]>,
}

/// Initial state of a scheduler.
#[derive(Clone, Debug)]
pub struct PoolStart {
    /// Epoch of the tenure.
    pub epoch: ids::Epoch,
    /// Leases and time bounds of the platform.
    pub timing: timing::PoolTiming,
    /// Which optional decisions are on.
    pub scheduling: model::SchedulingSettings,
    /// Job classes and accounts.
    pub catalog: Arc<catalog::PoolCatalog>,
    /// Time by which everything that an earlier scheduler may have ordered has certainly ended on workers
    /// that do not answer.
    pub settles_at: Duration,
}

impl PoolCore {
    /// Creates a pool without workers or jobs.
    pub fn new(start: PoolStart) -> PoolCore {
        PoolCore {
            epoch: start.epoch,
            timing: start.timing,
            scheduling: start.scheduling,
            catalog: start.catalog,
            jobs: BTreeMap::new(),
            active: BTreeSet::new(),
            workers: BTreeMap::new(),
            roster: roster::RosterPages::default(),
            unsaved: save_queue::SaveQueue::default(),
            orders: Vec::new(),
            start_window: start_window::StartWindow::default(),
            run_times: run_times::RunTimes::default(),
            speeds: pool_speeds::PoolSpeeds::default(),
            moves: late_runs::MoveState::default(),
            poll_budget: early_polls::PollBudget::default(),
            load: load_summary::LoadMeter::default(),
            headroom: headroom::UrgentHeadroom::default(),
            fair_share: fair_share::FairShare::default(),
            within_guarantee: BTreeSet::new(),
            settles_at: start.settles_at,
            exclusive_until: Duration::MAX,
            silence_reports: silent_workers::SilenceReports::default(),
            reported_ends: reported_ends::ReportedEnds::default(),
            inherited_starts: BTreeMap::new(),
            is_fenced_off: false,
            finished: Vec::new(),
            newest_generation: 0,
            n_restarts: 0,
            loss_history: loss_history::LossHistory::default(),
            avoidance_ends: VecDeque::new(),
            overdue_phases: Vec::new(),
            loss_counts: losses::LossCounts::default(),
            end_counts: task_ends::EndCounts::default(),
            list_read_at: Duration::ZERO,
            underused: BTreeSet::new(),
            standing_suspects: BTreeSet::new(),
            last_round_at: Duration::ZERO,
            uninterrupted_since: Duration::ZERO,
            last_maintenance_at: Duration::ZERO,
            waits_reported_at: Duration::ZERO,
            wait_counts: waiting::WaitCounts::default(),
            wall_time: Duration::ZERO,
            keeps_silence_notes: false,
            has_unreadable_roster: false,
            evacuated: Arc::default(),
        }
    }

    /// Latest time up to `now` for which it is known that no later scheduler has given orders. From then on one may
    /// have extended the leases of workers that do not answer this scheduler.
    pub(crate) fn known_until(&self, now: Duration) -> Duration {
        now.min(self.exclusive_until)
    }

    /// Returns for how much longer orders of earlier schedulers may still run on workers that do not answer.
    pub fn settles_in(&self, now: Duration) -> Duration {
        self.settles_at.saturating_sub(now)
    }

    /// Lowers the bound for orders of earlier schedulers: on workers that do not answer, all of them have
    /// ended by `at`.
    pub fn bound_settling(&mut self, at: Duration) {
        self.settles_at = self.settles_at.min(at);
    }

    /// Sets the time until which no later scheduler can have given orders: the end of the tenure's term as last
    /// renewed. Without it the tenure counts as exclusive.
    pub fn set_exclusive_until(&mut self, time: Duration) {
        self.exclusive_until = time;
    }

    /// Replaces the configuration of classes and accounts.
    pub fn set_catalog(&mut self, catalog: Arc<catalog::PoolCatalog>) {
        self.catalog = catalog;
    }

    /// Records that all changes of the worker list up to `at` are applied.
    pub fn note_list_read(&mut self, at: Duration) {
        self.list_read_at = self.list_read_at.max(at);
    }

    /// Records that the worker list returned a new version of a worker's entry. The entry counts as current
    /// at this read if it is the first version, or if the previous one was read at most a heartbeat and
    /// `ENTRY_SLACK` before. After a longer gap the store may have applied the write late, and the content may
    /// date from any time within the gap.
    pub fn note_entry_read(&mut self, worker: &ids::WorkerId) {
        let at = self.list_read_at;
        let usual_gap = self.timing.heartbeat + ENTRY_SLACK;
        let Some(record) = self.workers.get_mut(worker) else { return };
        let before = record.entry_read_at.replace(at);
        if before.is_none_or(|it| at <= it + usual_gap) {
            record.entry_current_at = Some(at);
        }
    }

    /// Records that the content of a worker's entry was written before `at`: the next version may have been applied
    /// late by the store from then on, not only since the entry was read.
    pub fn note_entry_written_before(&mut self, worker: &ids::WorkerId, at: Duration) {
        let Some(record) = self.workers.get_mut(worker) else { return };
        record.entry_read_at = record.entry_read_at.map(|it| it.min(at));
    }

    /// Sets the data centres under evacuation. Nothing starts on their workers until they are returned to
    /// service.
    pub fn set_evacuated(&mut self, data_centers: Arc<[ids::DataCenter]>) {
        self.evacuated = data_centers;
    }

    /// Sets the reading of the wall clock, as time since 1970.
    pub fn set_wall_time(&mut self, wall_time: Duration) {
        self.wall_time = wall_time;
    }

    /// Returns the orders since the last call; they have to be sent in this order.
    pub fn take_orders(&mut self) -> Vec<order::PoolOrder> {
        let orders = std::mem::take(&mut self.orders);
        self.meter_starts(&orders);
        orders
    }

    /// Returns the jobs that ended since the last call.
    pub fn take_finished(&mut self) -> Vec<FinishedJob> {
        std::mem::take(&mut self.finished)
    }

    /// Whether a worker has shown that a later scheduler is active.
    pub fn is_fenced_off(&self) -> bool {
        self.is_fenced_off
    }

    /// Returns the state of a job that callers may see. An end is visible only once it is saved.
    pub fn state_of(&self, graph: ids::GraphId) -> Option<JobStatus<'_>> {
        let job = self.jobs.get(&graph).filter(|it| !it.is_cancel_marker())?;
        let state = match job.durable_state {
            model::GraphState::Pending | model::GraphState::Running if job.started => {
                model::GraphState::Running
            }
            durable => durable,
        };
        let failure = job.failure.filter(|_| state == model::GraphState::Failed);
        Some(JobStatus { state, account: job.account.as_deref(), failure })
    }

    /// Whether a job is known, and has ended if `cancelled` is set.
    pub fn has_job(&self, graph: ids::GraphId, cancelled: bool) -> bool {
        self.jobs.get(&graph).is_some_and(|it| !cancelled || it.has_ended())
    }

    /// Number of jobs of a class of which no task has started, as far as workers have confirmed.
    pub fn backlog(&self, class: &str) -> u64 {
        let waiting = self.active_jobs().filter(|(_, it)| it.class == class && !it.started);
        waiting.count() as u64
    }

    /// Mean run time of a class, once enough complete runs of it were observed.
    pub fn usual_run_time(&self, class: &str) -> Option<Duration> {
        self.run_times.known_mean(class)
    }

    /// Whether any job, run or unwanted run is unfinished, so that rounds are needed even without events.
    pub fn is_busy(&self) -> bool {
        !self.active.is_empty()
            || self.workers.values().any(|it| !it.runs.is_empty() || !it.unwanted_runs.is_empty())
    }

    /// Ids of all known workers, each of which needs a session.
    pub fn worker_ids(&self) -> impl Iterator<Item = &ids::WorkerId> {
        self.workers.keys()
    }

    /// Counts for logs and metrics.
    pub fn summary(&self) -> PoolSummary {
        let mut summary = PoolSummary { n_workers: self.workers.len(), ..PoolSummary::default() };
        for (_, job) in self.active_jobs() {
            summary.n_jobs += 1;
            let tasks = || job.steps.iter().flat_map(|it| &it.tasks).filter(|it| !it.done);
            summary.n_waiting += tasks().filter(|it| it.run.is_none()).count();
            summary.n_suspects += tasks().filter(|it| it.suspicion.is_suspect()).count();
        }
        let steps = self.jobs.values().flat_map(|it| &it.steps);
        summary.n_task_records = steps.map(|it| it.tasks.len()).sum();
        for worker in self.workers.values() {
            summary.n_running += worker.runs.len();
            summary.accelerators_used += worker.used.accelerators;
            summary.accelerators += worker.entry.capacity.accelerators;
        }
        summary
    }

    /// Whether every worker that may hold tasks of an earlier tenure has answered, or the leases of these
    /// tasks have lapsed.
    pub fn is_settled(&self, now: Duration) -> bool {
        self.settled(now) == takeover::SettledJobs::All
    }

    /// The inherited jobs that are settled at `now`.
    pub(crate) fn settled(&self, now: Duration) -> takeover::SettledJobs {
        takeover::SettledJobs::of(self, now)
    }

    /// Whether all workers are answering on which a successor would have to expect tasks.
    pub fn all_answer(&self) -> bool {
        let mut records = self.roster.workers().filter_map(|it| self.workers.get(it));
        records.all(|it| it.is_responsive() || !it.belongs_in_roster())
    }

    /// Jobs that have not ended.
    pub(crate) fn active_jobs(&self) -> impl Iterator<Item = (ids::GraphId, &job::JobRecord)> {
        self.active.iter().filter_map(|it| Some((*it, self.jobs.get(it)?)))
    }

    /// Updates the set of active jobs after the state of a job may have changed.
    pub(crate) fn update_active(&mut self, graph: ids::GraphId) {
        if self.jobs.get(&graph).is_some_and(|it| !it.has_ended()) {
            self.active.insert(graph);
        } else {
            self.active.remove(&graph);
        }
    }

    /// Records the end of a job.
    pub(crate) fn finish(&mut self, graph: ids::GraphId, now: Duration) {
        let Some(job) = self.jobs.get_mut(&graph) else { return };
        job.ended_at = Some(now);
        if job.is_cancel_marker() {
            return;
        }
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

    /// Releases a run that is over, whose end no answer to this scheduler has listed.
    pub(crate) fn release_run_without_end(&mut self, key: task_key::TaskKey, now: Duration) {
        if now > self.exclusive_until
            && let Some(task) = self.task_record_mut(key)
        {
            task.end_uncertain_at = now;
        }
        self.release_run(key, now);
    }

    /// Whether a later scheduler may know the end of a task of the unit, which this one has not learned. A renewal of
    /// the tenure shows that there is no later scheduler.
    pub(crate) fn is_end_uncertain(&self, unit: task_key::UnitKey, now: Duration) -> bool {
        let known_until = self.known_until(now);
        self.task_records(unit).iter().any(|it| it.end_uncertain_at > known_until)
    }

    /// Removes the run of a task from its worker and frees its resources.
    pub(crate) fn release_run(&mut self, key: task_key::TaskKey, now: Duration) {
        let Some(job) = self.jobs.get_mut(&key.graph) else { return };
        let Some(step) = job.step_mut(key) else { return };
        let resources = step.task_resources();
        let Some(task) = step.tasks.get_mut(key.task as usize) else { return };
        let Some(run) = task.run.take() else { return };
        task.ended_attempt = task.ended_attempt.max(run.attempt);
        task.waiting_since = now;
        // The outcome of the run is known, so a successor must not count its saved start as lost.
        let was_saved = task.suspicion.drop_saved_start();
        if run.is_confirmed && job.runs().next().is_none() {
            job.wait = wait_timer::WaitTimer::new(now);
        }
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.runs.remove(&key);
            worker.isolated_runs.remove(&key);
            worker.used = worker.used.minus(resources);
        }
        if was_saved {
            self.mark_task_changed(key);
        }
        self.save_start_of_idle_job(key.graph);
    }

    /// Marks the state of a job for saving that has started and has nothing running: a successor would find nothing
    /// on the workers that shows it.
    fn save_start_of_idle_job(&mut self, graph: ids::GraphId) {
        let Some(job) = self.jobs.get(&graph) else { return };
        let is_saved = !job.started || job.durable_state != model::GraphState::Pending;
        if !is_saved && job.runs().next().is_none() {
            let chunk = progress::HEAD_CHUNK;
            self.unsaved.mark_changed(save_queue::SaveRowKey::Progress { graph, chunk });
        }
    }

    /// Orders the stop of a task's run, unless it is being stopped already.
    pub(crate) fn stop_run(
        &mut self,
        key: task_key::TaskKey,
        reason: stop_reason::StopReason,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get_mut(&key.graph) else { return };
        let Some(run) = job.task_mut(key).and_then(|it| it.run.as_mut()) else { return };
        if run.phase.is_stopping() {
            return;
        }
        run.phase = job::RunPhase::Stopping { stop_sent_at: now, stop_acked_at: None };
        let (worker, attempt) = (run.worker.clone(), run.attempt);
        tracing::info!(
            job = format_args!("{:016x}", key.graph),
            task = %key,
            attempt,
            worker,
            reason = reason.name(),
            "run is stopped"
        );
        self.order_stop(worker, key, attempt);
    }

    /// Orders a stop, unless the same stop is still waiting to be sent or answered. Repeats of it would
    /// take the place of other orders to the worker.
    pub(crate) fn order_stop(
        &mut self,
        worker: ids::WorkerId,
        task: task_key::TaskKey,
        attempt: u32,
    ) {
        let Some(record) = self.workers.get_mut(&worker) else { return };
        if !record.stops_in_transit.insert((task, attempt)) {
            return;
        }
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

    /// Keys of the tasks of a unit: one task, or all tasks of a gang.
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

/// State of a job as callers may see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobStatus<'a> {
    /// Saved state, except that a job counts as running once a worker has confirmed its first start.
    pub state: model::GraphState,
    /// Account that owns the job, if any.
    pub account: Option<&'a str>,
    /// Cause of the failure of a failed job.
    pub failure: Option<model::FailureCause>,
}

/// A job that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedJob {
    /// Account that owned the job, if any.
    pub account: Option<ids::AccountId>,
    /// Job class.
    pub class: ids::ClassName,
    /// Final state.
    pub state: model::GraphState,
    /// Time from the admission by this scheduler to the end.
    pub took: Duration,
}

/// Counts of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSummary {
    /// Jobs that have not ended.
    pub n_jobs: usize,
    /// Tasks that wait for resources or for earlier steps.
    pub n_waiting: usize,
    /// Tasks assigned to workers.
    pub n_running: usize,
    /// Tasks suspected of crashing their workers.
    pub n_suspects: usize,
    /// Tasks with a record in memory, also of jobs that have ended.
    pub n_task_records: usize,
    /// Known workers, listed or not.
    pub n_workers: usize,
    /// Accelerators in use.
    pub accelerators_used: u32,
    /// Accelerators of all known workers.
    pub accelerators: u32,
}
