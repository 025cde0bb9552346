//! Workers that start again under the id that they had.
//!
//! Ends are numbered from 1 in each life of a worker, its clock starts anew, and it has seen no token.
//! What is kept of one life and used for the next does harm in silence: ends are passed over as known
//! and acknowledged unseen, so that work that is done runs again; leases are reckoned by a clock that
//! is gone. So whatever is kept belongs to a life, and goes with it.

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::losses;
use crate::order;
use crate::pace;
use crate::worker;

/// In which life a worker has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerIncarnation {
    /// In the one that is known.
    Known,
    /// In one that is over; the answer was overtaken by one of the known life.
    Earlier,
    /// In a later one.
    Later,
}

impl worker::WorkerRecord {
    /// In which life the worker gave an answer to a look sent at `sent_at`.
    pub(crate) fn incarnation_of_answer(
        &self,
        listed: &order::PollReply,
        sent_at: Duration,
    ) -> AnswerIncarnation {
        let (Some(told), Some(known)) = (listed.incarnation, self.incarnation) else {
            // Where lives are not told apart, the clock tells: within one it never falls behind.
            let is_behind = self.clock.shows_reset(listed.clock_ms, sent_at);
            return if is_behind { AnswerIncarnation::Later } else { AnswerIncarnation::Known };
        };
        if told == known {
            return AnswerIncarnation::Known;
        }
        // Not by which number is higher: the clock of the day may be set back between two lives.
        if sent_at < self.incarnation_since {
            AnswerIncarnation::Earlier
        } else {
            AnswerIncarnation::Later
        }
    }

    /// Whether the list speaks of the life that answers. A later one may be of another kind and size,
    /// so that until its own entry is read no task is known to fit there. An entry that tells no life,
    /// of a worker that does, is not the worker's own.
    pub(crate) fn is_listed_incarnation(&self) -> bool {
        self.incarnation.is_none() || self.entry.incarnation == self.incarnation
    }

    /// The record of a later life, of which nothing is known but the list's entry. The runs stay until
    /// it is settled for each that it does not take effect in the later life.
    fn renewed(
        &mut self,
        generation: u32,
        incarnation: Option<ids::Incarnation>,
        now: Duration,
    ) -> Self {
        let is_of_entry = self.entry.incarnation == incarnation;
        worker::WorkerRecord {
            entry: std::mem::take(&mut self.entry),
            place: std::mem::take(&mut self.place),
            entry_incarnation: self.entry_incarnation,
            listed: self.listed,
            entry_current_at: self.entry_current_at,
            entry_read_at: self.entry_read_at,
            leaves_at: self.leaves_at.filter(|_| is_of_entry),
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
    /// Forgets what belonged to the former life of a worker that answers in a later one.
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
        *record = record.renewed(self.newest_generation, listed.incarnation, now);
        self.n_restarts += 1;
        self.carry_runs_over(worker, now);
        // With a higher token: from its answer on, nothing that was sent to the former life takes
        // effect in this one.
        self.order_poll(worker);
    }

    /// Readies the runs of a worker for its later life. A start may have reached that before any look
    /// did, or may yet: a stop that the former life has answered bars nothing there. And progress counts
    /// by the clock of the later life.
    fn carry_runs_over(&mut self, worker: &ids::WorkerId, now: Duration) {
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

    /// Workers found to have started again since the last call, for metrics.
    pub fn take_n_restarts(&mut self) -> u64 {
        std::mem::take(&mut self.n_restarts)
    }

    /// Whether an order was given to a life of its worker that is over, or a start has waited for half of
    /// its term; the other half is left for its way. It must not leave any more: a later life would carry
    /// it out, while its task may run elsewhere.
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

    /// Whether the worker is in that life of it.
    pub(crate) fn is_current_generation(&self, worker: &ids::WorkerId, generation: u32) -> bool {
        self.workers.get(worker).is_some_and(|it| it.generation == generation)
    }
}
