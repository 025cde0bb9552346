//! Admission and cancellation of jobs, and changes of the worker list.

use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::candidate;
use crate::core;
use crate::job;
use crate::losses;
use crate::progress;
use crate::save_queue;
use crate::stop_reason;
use crate::wait_timer;
use crate::worker;
use crate::worker_speed;

/// Number of attempts skipped after the highest saved one, for inherited tasks: an earlier scheduler may have
/// restarted them without saving the attempt, and a worker refuses an attempt number that has ended there.
const ATTEMPT_GAP: u32 = 8;

/// Attempt numbers of inherited tasks that are kept apart for each tenure. Two schedulers that inherit the same
/// rows would otherwise use the same numbers, and the end of a run of one would count for that of the other.
const ATTEMPTS_PER_TENURE: u32 = 1_024;

/// Largest number after which the attempts of a tenure are counted.
const MAX_FIRST_ATTEMPT: u32 = u32::MAX / 2;

/// An accepted job graph as stored.
#[derive(Clone, Debug)]
pub struct AdmittedJob {
    /// Job id.
    pub graph: ids::GraphId,
    /// Stored row of the accepted job.
    pub row: model::GraphRow,
    /// Version of the row.
    pub version: ids::RowVersion,
    /// How this scheduler learned of the job.
    pub origin: JobOrigin,
    /// Progress saved by earlier schedulers.
    pub progress: progress::SavedChunks,
    /// Whether the job was accepted before this tenure began.
    pub inherited: bool,
}

/// How a scheduler learned of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOrigin {
    /// Read from the store at the beginning of the tenure.
    Load,
    /// Received from the feed of accepted jobs.
    Feed,
    /// Received from the instance that stored the job.
    Nudge,
    /// Read from the store after a request for a job that was not known.
    Lookup,
}

impl JobOrigin {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            JobOrigin::Load => "load",
            JobOrigin::Feed => "feed",
            JobOrigin::Nudge => "nudge",
            JobOrigin::Lookup => "lookup",
        }
    }
}

impl core::PoolCore {
    /// Admits a job graph, or cancels one that is known.
    pub fn admit(&mut self, admitted: AdmittedJob, now: Duration) {
        let graph = admitted.graph;
        let cancelled = admitted.row.cancelled;
        let is_unchunked = admitted.progress.is_unchunked();
        for chunk in admitted.progress.unreadable() {
            self.unsaved.withhold(save_queue::SaveRowKey::Progress { graph, chunk });
        }
        let epoch = self.epoch;
        self.jobs.entry(graph).or_insert_with(|| {
            tracing::info!(
                job = format_args!("{graph:016x}"),
                class = admitted.row.class,
                account = admitted.row.account,
                inherited = admitted.inherited,
                origin = admitted.origin.name(),
                version = admitted.version,
                "job admitted"
            );
            job_record(admitted, epoch, now)
        });
        self.update_active(graph);
        self.index_inherited_starts(graph);
        if is_unchunked {
            let n_chunks = self.jobs.get(&graph).map_or(0, progress::n_chunks);
            self.mark_job_changed(graph, n_chunks);
        }
        if cancelled {
            self.cancel(graph, now);
        }
    }

    /// Ends a job that its caller has cancelled. The cancellation is saved already.
    fn cancel(&mut self, graph: ids::GraphId, now: Duration) {
        let Some(job) = self.jobs.get_mut(&graph) else { return };
        if job.has_ended() {
            return;
        }
        job.state = model::GraphState::Cancelled;
        job.durable_state = model::GraphState::Cancelled;
        self.active.remove(&graph);
        self.finish(graph, now);
        self.stop_all(graph, now);
    }

    /// Orders the stop of every run of a job.
    pub(crate) fn stop_all(&mut self, graph: ids::GraphId, now: Duration) {
        let Some(job) = self.jobs.get(&graph) else { return };
        let mut running = Vec::new();
        for (step, it) in job.steps.iter().enumerate() {
            let with_run = it.tasks.iter().enumerate().filter(|(_, it)| it.run.is_some());
            running.extend(with_run.map(|(task, _)| job.task_key(graph, step as u32, task as u32)));
        }
        for key in running {
            self.stop_run(key, stop_reason::StopReason::EndedJob, now);
        }
    }

    /// Adds or updates a worker from its entry on the platform's list. Returns false if the entry is older
    /// than one already applied, because the worker has rewritten it since.
    pub fn update_worker(
        &mut self,
        worker: ids::WorkerId,
        entry: worker::WorkerEntry,
        now: Duration,
    ) -> bool {
        let list_read_at = self.list_read_at;
        let record = self.worker_or_new(&worker);
        if record.listed && entry.is_superseded_by(&record.entry) {
            tracing::info!(
                worker,
                sequence = entry.sequence,
                "outdated entry of a worker is ignored"
            );
            return false;
        }
        record.entry_read_at.get_or_insert(list_read_at);
        let is_other_incarnation = record.entry.incarnation != entry.incarnation;
        let is_moved = !record.entry.has_endpoint(&entry.address, &entry.upstream);
        if !record.listed {
            tracing::info!(
                worker,
                address = entry.address,
                rack = entry.rack,
                incarnation = entry.incarnation,
                "worker listed"
            );
        }
        record.listed = true;
        // Only the incarnation that announced its shutdown is leaving.
        let leaves_at = record.leaves_at.filter(|_| !is_other_incarnation);
        record.leaves_at = entry.leaves_in.map(|left| {
            leaves_at.unwrap_or_else(|| {
                tracing::info!(worker, left_ms = left.as_millis() as u64, "worker is leaving");
                now + left
            })
        });
        record.place = Arc::new(candidate::WorkerProfile {
            worker: worker.clone(),
            upstream: entry.upstream.clone(),
            rack: entry.rack.clone(),
            labels: entry.labels.clone(),
            capacity: entry.capacity,
        });
        if is_other_incarnation && !record.fenced {
            // The speed was inherited for the incarnation of the earlier entry.
            record.speed = worker_speed::WorkerSpeed::default();
        }
        record.entry_incarnation = entry.incarnation.or(record.entry_incarnation);
        record.entry = entry;
        if is_other_incarnation && !record.is_listed_incarnation() {
            // The list shows another incarnation before a poll has found it.
            self.note_missed_exchange(&worker);
        }
        if is_moved {
            self.mark_roster_stale(&worker);
        }
        true
    }

    /// Adds a worker to which an earlier scheduler may have sent orders, from an entry on a page of the
    /// roster.
    pub fn inherit_worker(&mut self, entry: model::RosterEntry, page: u32) {
        for page in self.roster.load_worker(&entry.worker, entry.on_record, page) {
            self.unsaved.mark_changed(save_queue::SaveRowKey::Roster { page });
        }
        let record = self.worker_or_new(&entry.worker);
        record.inherited = true;
        if !record.listed {
            record.entry.address = entry.address;
            record.entry.upstream = entry.upstream;
        } else if !record.entry.has_endpoint(&entry.address, &entry.upstream) {
            self.mark_roster_stale(&entry.worker);
        }
    }

    fn worker_or_new(&mut self, worker: &ids::WorkerId) -> &mut worker::WorkerRecord {
        let generation = self.newest_generation;
        let fresh = || worker::WorkerRecord::with_generation(generation);
        self.workers.entry(worker.clone()).or_insert_with(fresh)
    }

    /// Records that the list no longer has a worker, so it gets no new tasks. Its runs count until its lease
    /// has lapsed, since the worker may be running and only be cut off from the list.
    pub fn unlist_worker(&mut self, worker: &ids::WorkerId, now: Duration) {
        let Some(record) = self.workers.get_mut(worker).filter(|it| it.listed) else { return };
        tracing::info!(worker, n_runs = record.runs.len(), "worker no longer listed");
        record.listed = false;
        self.update_loss_evidence(worker, losses::LossEvidence::Silent, now);
    }

    /// Records that another worker answers at `address`, so that all runs of this one are over, unless the
    /// list has the worker at another address by now.
    pub fn worker_replaced(
        &mut self,
        worker: &ids::WorkerId,
        address: &ids::PeerAddress,
        now: Duration,
    ) {
        let Some(record) = self.workers.get(worker) else { return };
        if record.entry.address != *address {
            self.note_missed_exchange(worker);
            return;
        }
        let runs = record.runs.iter().copied().collect::<Vec<_>>();
        self.incarnation_ended(worker, losses::LossEvidence::Replaced, &runs, now);
        for key in runs {
            self.release_run_without_end(key, now);
        }
        self.workers.remove(worker);
    }
}

fn job_record(admitted: AdmittedJob, epoch: ids::Epoch, now: Duration) -> job::JobRecord {
    let row = admitted.row;
    let mut job = job::JobRecord {
        class: row.class,
        account: row.account,
        upstream: row.upstream,
        priority: row.priority,
        max_attempts: row.max_attempts.max(1),
        body: Arc::from(row.graph.body),
        graph_steps: row.graph.steps.into_iter().map(Arc::from).collect(),
        n_runs: row.graph.schedule.as_ref().map_or(1, |it| it.runs.get()),
        steps: Vec::new(),
        skipped_attempts: 0,
        schedule: row.graph.schedule,
        inherited: admitted.inherited,
        has_unreadable_rows: admitted.progress.unreadable().next().is_some(),
        admitted_at: now,
        ended_at: None,
        wait: wait_timer::WaitTimer::new(now),
        started: false,
        state: model::GraphState::Pending,
        failure: None,
        durable_state: model::GraphState::Pending,
    };
    if job.schedule.is_none() {
        job.begin_run();
    }
    let has_progress = !admitted.progress.is_empty();
    admitted.progress.restore_into(&mut job);
    if has_progress && !row.cancelled {
        progress::infer_end(&mut job);
    }
    job.ended_at = job.has_ended().then_some(now);
    if job.inherited {
        let of_tenure = last_attempt_before(epoch);
        job.skipped_attempts = of_tenure.max(ATTEMPT_GAP);
        for task in job.steps.iter_mut().flat_map(|it| &mut it.tasks) {
            task.attempt = of_tenure.max(task.attempt + ATTEMPT_GAP);
        }
    }
    job
}

/// The attempt number after which inherited tasks are counted in a tenure.
fn last_attempt_before(epoch: ids::Epoch) -> u32 {
    let epoch = u32::try_from(epoch).unwrap_or(u32::MAX);
    epoch.saturating_mul(ATTEMPTS_PER_TENURE).min(MAX_FIRST_ATTEMPT)
}
