//! Jobs and workers that come and go.

use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::candidate;
use crate::core;
use crate::job;
use crate::losses;
use crate::progress;
use crate::save_queue;
use crate::wait_timer;
use crate::worker;

/// Attempts left out behind the highest one on record, for tasks that an earlier scheduler may
/// have started again without a trace. A number that a worker has seen end is refused there.
const ATTEMPT_GAP: u32 = 8;

/// An accepted job graph as it stands in the store.
#[derive(Clone, Debug)]
pub struct AdmittedJob {
    /// Its id.
    pub graph: ids::GraphId,
    /// The row of its acceptance.
    pub row: model::GraphRow,
    /// The version of that row.
    pub version: ids::RowVersion,
    /// How it became known.
    pub origin: JobOrigin,
    /// What an earlier scheduler has saved of it.
    pub progress: progress::SavedChunks,
    /// Whether it was accepted before this tenure began.
    pub inherited: bool,
}

/// How a scheduler learns of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOrigin {
    /// Read at the beginning of the tenure.
    Load,
    /// Told by the feed of accepted jobs.
    Feed,
    /// Told by the instance that stored it.
    Nudge,
    /// Looked up in the store, as it was asked for and not known.
    Lookup,
}

impl JobOrigin {
    /// Its name in logs.
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
    /// Takes in a job graph, or the cancelling of one that is known.
    pub fn admit(&mut self, admitted: AdmittedJob, now: Duration) {
        let graph = admitted.graph;
        let cancelled = admitted.row.cancelled;
        let is_unchunked = admitted.progress.is_unchunked();
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
            record_of(admitted, now)
        });
        self.update_active(graph);
        if is_unchunked {
            let n_chunks = self.jobs.get(&graph).map_or(0, progress::n_chunks);
            self.mark_job_changed(graph, n_chunks);
        }
        if cancelled {
            self.cancel(graph, now);
        }
    }

    /// Ends a job that its caller has cancelled; that is durable already.
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

    /// Stops every run of a job.
    pub(crate) fn stop_all(&mut self, graph: ids::GraphId, now: Duration) {
        let Some(job) = self.jobs.get(&graph) else { return };
        let mut running = Vec::new();
        for (step, it) in job.steps.iter().enumerate() {
            let with_run = it.tasks.iter().enumerate().filter(|(_, it)| it.run.is_some());
            running.extend(with_run.map(|(task, _)| job.task_key(graph, step as u32, task as u32)));
        }
        for key in running {
            self.stop_run(key, now);
        }
    }

    /// Takes in a worker of the platform's list. Tells whether that is news: not where the worker has written
    /// its entry anew since.
    pub fn update_worker(
        &mut self,
        worker: ids::WorkerId,
        listing: worker::WorkerEntry,
        now: Duration,
    ) -> bool {
        let list_read_at = self.list_read_at;
        let record = self.record_or_new(&worker);
        if record.listed && listing.is_superseded_by(&record.entry) {
            tracing::info!(worker, sequence = listing.sequence, "entry of a worker was overtaken");
            return false;
        }
        record.entry_read_at.get_or_insert(list_read_at);
        let is_other_life = record.entry.incarnation != listing.incarnation;
        let is_moved = !record.entry.has_endpoint(&listing.address, &listing.upstream);
        if !record.listed {
            tracing::info!(
                worker,
                address = listing.address,
                rack = listing.rack,
                incarnation = listing.incarnation,
                "worker listed"
            );
        }
        record.listed = true;
        // What a former life has said of leaving does not hold for this one.
        let leaves_at = record.leaves_at.filter(|_| !is_other_life);
        record.leaves_at = listing.leaves_in.map(|left| {
            leaves_at.unwrap_or_else(|| {
                tracing::info!(worker, left_ms = left.as_millis() as u64, "worker is leaving");
                now + left
            })
        });
        record.place = Arc::new(candidate::WorkerProfile {
            worker: worker.clone(),
            upstream: listing.upstream.clone(),
            rack: listing.rack.clone(),
            labels: listing.labels.clone(),
            capacity: listing.capacity,
        });
        record.entry_incarnation = listing.incarnation.or(record.entry_incarnation);
        record.entry = listing;
        if is_other_life && !record.is_listed_incarnation() {
            // The list has learned of another life first.
            self.note_missed_exchange(&worker);
        }
        if is_moved {
            self.mark_roster_stale(&worker);
        }
        true
    }

    /// Takes in a worker to which an earlier scheduler may have given orders, as it stands on a page of
    /// the roster.
    pub fn inherit_worker(&mut self, entry: model::RosterEntry, page: u32) {
        for page in self.roster.load_worker(&entry.worker, entry.on_record, page) {
            self.unsaved.mark_changed(save_queue::SaveRowKey::Roster { page });
        }
        let record = self.record_or_new(&entry.worker);
        record.inherited = true;
        if !record.listed {
            record.entry.address = entry.address;
            record.entry.upstream = entry.upstream;
        } else if !record.entry.has_endpoint(&entry.address, &entry.upstream) {
            self.mark_roster_stale(&entry.worker);
        }
    }

    fn record_or_new(&mut self, worker: &ids::WorkerId) -> &mut worker::WorkerRecord {
        let generation = self.newest_generation;
        let fresh = || worker::WorkerRecord::with_generation(generation);
        self.workers.entry(worker.clone()).or_insert_with(fresh)
    }

    /// The list has the worker no more: it gets no new tasks. What runs there counts until its
    /// lease has lapsed, since a worker may be alive and cut off from the list alone.
    pub fn unlist_worker(&mut self, worker: &ids::WorkerId, now: Duration) {
        let Some(record) = self.workers.get_mut(worker).filter(|it| it.listed) else { return };
        tracing::info!(worker, n_runs = record.runs.len(), "worker no longer listed");
        record.listed = false;
        self.update_loss_evidence(worker, losses::LossEvidence::Silent, now);
    }

    /// Another worker answers at `address`, so that everything on this one is over; but not where the
    /// list has it elsewhere by now.
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
            self.release_run(key, now);
        }
        self.workers.remove(worker);
    }
}

fn record_of(admitted: AdmittedJob, now: Duration) -> job::JobRecord {
    let row = admitted.row;
    let runs = row.graph.schedule.as_ref().map_or(1, |it| it.runs.get());
    let steps_per_run = row.graph.steps.len() as u32;
    let steps = (0..runs).flat_map(|_| row.graph.steps.iter().cloned());
    let steps = steps.map(|it| job::StepRecord::new(it, now));
    let mut job = job::JobRecord {
        class: row.class,
        account: row.account,
        upstream: row.upstream,
        priority: row.priority,
        max_attempts: row.max_attempts.max(1),
        body: Arc::from(row.graph.body),
        steps: steps.collect(),
        steps_per_run,
        schedule: row.graph.schedule,
        inherited: admitted.inherited,
        admitted_at: now,
        ended_at: None,
        wait: wait_timer::WaitTimer::new(now),
        started: false,
        state: model::GraphState::Pending,
        failure: None,
        durable_state: model::GraphState::Pending,
    };
    let has_progress = !admitted.progress.is_empty();
    admitted.progress.restore_into(&mut job);
    if has_progress && !row.cancelled {
        progress::infer_end(&mut job);
    }
    job.ended_at = job.has_ended().then_some(now);
    if job.inherited {
        for task in job.steps.iter_mut().flat_map(|it| &mut it.tasks) {
            task.attempt += ATTEMPT_GAP;
        }
    }
    job
}
