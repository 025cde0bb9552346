//! Workers that restart under the same id.
//!
//! In each incarnation a worker numbers the ends of tasks from 1, its clock starts again, and it has
//! received no fencing token. State of one incarnation that was used for the next would cause silent
//! faults: ends would be skipped as known and acknowledged unread, so that completed work runs again,
//! and leases would be computed by a clock that no longer exists. So all state kept of a worker belongs
//! to one incarnation and is dropped with it.

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::losses;
use crate::order;
use crate::pace;
use crate::worker;

/// The incarnation of a worker that gave an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerIncarnation {
    /// The recorded incarnation.
    Known,
    /// An earlier incarnation; an answer of the recorded one has overtaken this answer.
    Earlier,
    /// A later incarnation, which is not recorded yet.
    Later,
}

impl worker::WorkerRecord {
    /// Determines which incarnation of the worker answered a poll sent at `sent_at`.
    pub(crate) fn incarnation_of_answer(
        &self,
        listed: &order::PollReply,
        sent_at: Duration,
    ) -> AnswerIncarnation {
        let (Some(reported), Some(known)) = (listed.incarnation, self.incarnation) else {
            // If the platform reports no incarnations, the clock decides: within one incarnation it
            // never goes back.
            let is_reset = self.clock.shows_reset(listed.clock_ms, sent_at);
            return if is_reset { AnswerIncarnation::Later } else { AnswerIncarnation::Known };
        };
        if reported == known {
            return AnswerIncarnation::Known;
        }
        // The numbers of incarnations are not compared: the wall clock they are taken from may be set
        // back.
        if sent_at < self.incarnation_since {
            AnswerIncarnation::Earlier
        } else {
            AnswerIncarnation::Later
        }
    }

    /// Whether the worker list describes the incarnation that answers. A later incarnation may be of
    /// another type and size, so no task is known to fit until its own entry is read. An entry without
    /// an incarnation, for a worker that reports one, was not written by that worker.
    pub(crate) fn is_listed_incarnation(&self) -> bool {
        self.incarnation.is_none() || self.entry.incarnation == self.incarnation
    }

    /// The record of a later incarnation, with nothing but the entry in the worker list and the runs.
    /// Each run stays until it is certain not to take effect in the later incarnation.
    fn of_later_incarnation(
        &mut self,
        generation: u32,
        incarnation: Option<ids::Incarnation>,
        now: Duration,
    ) -> Self {
        let has_own_entry = self.entry.incarnation == incarnation;
        worker::WorkerRecord {
            entry: std::mem::take(&mut self.entry),
            place: std::mem::take(&mut self.place),
            entry_incarnation: self.entry_incarnation,
            listed: self.listed,
            entry_current_at: self.entry_current_at,
            entry_read_at: self.entry_read_at,
            leaves_at: self.leaves_at.filter(|_| has_own_entry),
            incarnation,
            incarnation_since: now,
            runs: std::mem::take(&mut self.runs),
            isolated_runs: std::mem::take(&mut self.isolated_runs),
            used: self.used,
            ..worker::WorkerRecord::with_generation(generation)
        }
    }
}

impl core::PoolCore {
    /// Drops the state of the earlier incarnation of a worker that answers in a later one.
    pub(crate) fn worker_restarted(
        &mut self,
        worker: &ids::WorkerId,
        listed: &order::PollReply,
        now: Duration,
    ) {
        let Some(record) = self.workers.get(worker) else { return };
        let runs = record.runs.iter().copied().collect::<Vec<_>>();
        self.incarnation_ended(worker, losses::LossEvidence::Restarted, &runs, now);
        let Some(record) = self.workers.get_mut(worker) else { return };
        tracing::info!(
            worker,
            incarnation = listed.incarnation,
            former = record.incarnation,
            clock_ms = listed.clock_ms,
            acknowledged = record.acknowledged,
            n_runs = record.runs.len(),
            "worker has started again"
        );
        self.newest_generation += 1;
        *record = record.of_later_incarnation(self.newest_generation, listed.incarnation, now);
        self.n_restarts += 1;
        self.carry_over_runs(worker, now);
        // The poll carries a higher fencing token: once it is answered, the later incarnation refuses
        // all that was sent to the earlier one.
        self.order_poll(worker);
    }

    /// Prepares the runs of a worker for its later incarnation. A start may reach that incarnation
    /// before or after the first poll does, so a stop that the earlier incarnation answered is sent
    /// again. Progress is measured by the clock of the later incarnation.
    fn carry_over_runs(&mut self, worker: &ids::WorkerId, now: Duration) {
        let Some(record) = self.workers.get(worker) else { return };
        for key in record.runs.clone() {
            let task = self.jobs.get_mut(&key.graph).and_then(|it| it.task_mut(key));
            let Some(run) = task.and_then(|it| it.run.as_mut()) else { continue };
            run.is_confirmed_by_incarnation = false;
            run.pace = pace::RunPace::not_started();
            run.first_confirmed_clock = None;
            if run.phase.is_stopping() {
                run.phase = job::RunPhase::Stopping { stop_sent_at: now, stop_acked_at: None };
                let attempt = run.attempt;
                self.order_stop(worker.clone(), key, attempt);
            }
        }
    }

    /// Number of workers found to have restarted since the last call, for metrics.
    pub fn take_n_restarts(&mut self) -> u64 {
        std::mem::take(&mut self.n_restarts)
    }

    /// Whether an order was given to an incarnation that has ended, or a start has waited for half of
    /// the start timeout, as the other half is reserved for its delivery. Such an order must not be sent: a
    /// later
    /// incarnation would carry it out, while its task may run elsewhere.
    pub fn is_outdated(&self, order: &order::PoolOrder, now: Duration) -> bool {
        let (worker, generation) = match order {
            order::PoolOrder::Start(start)
                if now > start.ordered_at + self.timing.start_timeout / 2 =>
            {
                return true;
            }
            order::PoolOrder::Start(start) => (&start.worker, start.generation),
            order::PoolOrder::Stop(stop) => (&stop.worker, stop.generation),
            order::PoolOrder::Poll { .. } => return false,
        };
        !self.is_current_generation(worker, generation)
    }

    /// Whether `generation` is the number of the recorded incarnation.
    pub(crate) fn is_current_generation(&self, worker: &ids::WorkerId, generation: u32) -> bool {
        self.workers.get(worker).is_some_and(|it| it.generation == generation)
    }
}
