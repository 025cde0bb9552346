//! Answers of workers to starts and stops.

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::order;
use crate::pace;
use crate::task_key;
use crate::wait_timer;

/// Pause before a worker is used again that lacked resources although the recorded state has enough. The next
/// poll, within a second, shows what runs on it.
const NO_CAPACITY_PAUSE: Duration = Duration::from_millis(400);

/// Pause before a worker is used again that refused a start as unhealthy.
const UNHEALTHY_PAUSE: Duration = Duration::from_secs(1);

impl core::PoolCore {
    /// Applies the result of sending a start.
    pub fn start_answered(
        &mut self,
        start: &order::StartOrder,
        answer: order::StartAnswer,
        now: Duration,
    ) {
        let is_answered =
            !matches!(answer, order::StartAnswer::NotSent | order::StartAnswer::Unknown);
        self.start_window.start_settled(start.task, start.attempt, is_answered, now);
        match answer {
            order::StartAnswer::Started { clock_ms } => {
                let is_confirmed_by_incarnation = self.note_start_contact(start, clock_ms, now);
                self.start_confirmed(start, is_confirmed_by_incarnation, now);
            }
            order::StartAnswer::Refused(refusal) => self.start_refused(start, refusal, now),
            order::StartAnswer::NotSent => {
                self.log_start(start, "not sent");
                self.note_missed_exchange(&start.worker);
                self.undo_start(start, now);
            }
            order::StartAnswer::Unknown => {
                self.log_start(start, "no answer");
                self.note_missed_exchange(&start.worker);
                self.mark_start_unclear(start, now);
            }
            order::StartAnswer::Replaced => {
                self.worker_replaced(&start.worker, &start.address, now);
                // If the worker has moved to another address meanwhile, an earlier transmission of the start
                // may have reached it.
                self.mark_start_unclear(start, now);
            }
        }
    }

    /// Applies the result of sending a stop: whether the worker acknowledged it.
    pub fn stop_answered(&mut self, stop: &order::StopOrder, acked: bool, now: Duration) {
        // An answer of an earlier incarnation says nothing about the current one.
        if !self.is_current_generation(&stop.worker, stop.generation) {
            return;
        }
        self.stop_settled(stop);
        if !acked {
            self.note_missed_exchange(&stop.worker);
            return;
        }
        let Some(run) = self.run_of(&stop.worker, stop.task, stop.attempt) else { return };
        let is_confirmed = run.is_confirmed;
        if let job::RunPhase::Stopping { stop_acked_at, .. } = &mut run.phase {
            stop_acked_at.get_or_insert(now);
            if !is_confirmed {
                // The task may never have started, and then its end is never listed. Only a poll shows that.
                self.order_poll(&stop.worker);
            }
        }
    }

    /// Records that a stop is not in transit any more, whatever its outcome. It is ordered again while the run
    /// is still there.
    pub fn stop_settled(&mut self, stop: &order::StopOrder) {
        if !self.is_current_generation(&stop.worker, stop.generation) {
            return;
        }
        if let Some(record) = self.workers.get_mut(&stop.worker) {
            record.stops_in_transit.remove(&(stop.task, stop.attempt));
        }
    }

    /// Records that a worker refused an order to its incarnation `generation` because it had seen a higher
    /// fencing token. The token is a later scheduler's, or this scheduler's own if it has found a later
    /// incarnation since. Returns whether it is a later scheduler's.
    pub fn note_fenced_off(&mut self, worker: &ids::WorkerId, generation: u32) -> bool {
        if !self.is_current_generation(worker, generation) {
            return false;
        }
        if !self.is_fenced_off {
            tracing::warn!(worker, "worker has seen a later scheduler");
        }
        self.is_fenced_off = true;
        true
    }

    fn start_confirmed(
        &mut self,
        start: &order::StartOrder,
        is_confirmed_by_incarnation: bool,
        now: Duration,
    ) {
        let clock = self.workers.get(&start.worker).and_then(|it| it.clock.reading(now));
        if let Some(job) = self.jobs.get_mut(&start.task.graph) {
            job.note_started();
        }
        let Some(run) = self.run_of(&start.worker, start.task, start.attempt) else { return };
        run.is_confirmed = true;
        run.is_confirmed_by_incarnation |= is_confirmed_by_incarnation;
        run.first_confirmed_clock =
            run.first_confirmed_clock.or(clock.filter(|_| is_confirmed_by_incarnation));
        if matches!(run.phase, job::RunPhase::Ordered | job::RunPhase::Unclear { .. }) {
            run.phase = job::RunPhase::Running { confirmed_at: now };
            run.percent_changed_at = now;
            self.note_run_start(start.task, now);
        }
    }

    /// Records that the session with a worker failed: orders in transit or queued may or may not have reached
    /// it.
    pub fn session_failed(&mut self, worker: &ids::WorkerId, now: Duration) {
        let Some(record) = self.workers.get_mut(worker) else { return };
        record.stops_in_transit.clear();
        for key in record.runs.clone() {
            let Some(run) = self.task_record_mut(key).and_then(|it| it.run.as_mut()) else {
                continue;
            };
            if run.phase == job::RunPhase::Ordered {
                run.phase = job::RunPhase::Unclear { since: now };
            }
        }
        self.note_missed_exchange(worker);
    }

    /// Marks a start as unclear: it may or may not take effect.
    fn mark_start_unclear(&mut self, start: &order::StartOrder, now: Duration) {
        let Some(run) = self.run_of(&start.worker, start.task, start.attempt) else { return };
        if run.phase == job::RunPhase::Ordered {
            run.phase = job::RunPhase::Unclear { since: now };
            self.order_poll(&start.worker);
        }
    }

    /// Records that a run has begun. The pace of a gang's runs is measured from the time when all its members
    /// run.
    pub(crate) fn note_run_start(&mut self, key: task_key::TaskKey, now: Duration) {
        let Some(job) = self.jobs.get_mut(&key.graph) else { return };
        job.wait = wait_timer::WaitTimer::new(now);
        let (Some(step), Some(unit)) = (job.step(key), job.unit_of(key)) else { return };
        let is_running = |it: &job::TaskRecord| {
            let run = it.run.as_ref();
            run.is_some_and(|it| matches!(it.phase, job::RunPhase::Running { .. }))
        };
        if step.spec.gang && !step.tasks.iter().all(is_running) {
            return;
        }
        for member in self.unit_tasks(unit) {
            let worker = self.task_run(member).and_then(|it| self.workers.get(&it.worker));
            let Some(clock) = worker.and_then(|it| it.clock.reading(now)) else { continue };
            let task = self.jobs.get_mut(&member.graph).and_then(|it| it.task_mut(member));
            if let Some(run) = task.and_then(|it| it.run.as_mut()) {
                run.pace = pace::RunPace::new(clock, run.percent);
            }
        }
    }

    pub(crate) fn order_poll(&mut self, worker: &ids::WorkerId) {
        let poll = order::PoolOrder::Poll { worker: worker.clone() };
        if self.orders.last() != Some(&poll) {
            self.orders.push(poll);
        }
    }

    fn start_refused(
        &mut self,
        start: &order::StartOrder,
        refusal: order::StartRefusal,
        now: Duration,
    ) {
        self.log_start(start, "refused");
        let pause = match refusal {
            order::StartRefusal::Fenced => {
                // An earlier transmission of the start may have reached the later incarnation that refuses this
                // one.
                if !self.note_fenced_off(&start.worker, start.generation) {
                    self.mark_start_unclear(start, now);
                }
                return;
            }
            order::StartRefusal::Old => Duration::ZERO,
            order::StartRefusal::Late | order::StartRefusal::Room => NO_CAPACITY_PAUSE,
            order::StartRefusal::Unwell => UNHEALTHY_PAUSE,
        };
        if let Some(worker) = self.workers.get_mut(&start.worker) {
            worker.paused_until = worker.paused_until.max(now + pause);
        }
        tracing::info!(worker = start.worker, ?refusal, "start refused");
        self.order_poll(&start.worker);
        self.undo_start(start, now);
    }

    /// Undoes a start that certainly had no effect.
    fn undo_start(&mut self, start: &order::StartOrder, now: Duration) {
        if self.run_of(&start.worker, start.task, start.attempt).is_some() {
            self.release_run(start.task, now);
        }
    }

    /// Records an exchange without an answer. The worker may have restarted, so it has to answer a poll
    /// before it gets new tasks and before ends are acknowledged. Only the first missed exchange orders a
    /// poll; the session with the worker repeats it. If each of many unanswered starts ordered a poll, later
    /// orders would queue behind polls that get no answer either.
    pub(crate) fn note_missed_exchange(&mut self, worker: &ids::WorkerId) {
        if self.count_missed_exchange(worker) {
            self.order_poll(worker);
        }
    }

    /// Counts an exchange without an answer. Returns whether it is the first since the last answer.
    pub(crate) fn count_missed_exchange(&mut self, worker: &ids::WorkerId) -> bool {
        let Some(record) = self.workers.get_mut(worker) else { return false };
        record.n_missed_calls += 1;
        record.ack_window.close();
        if record.n_missed_calls > 1 {
            return false;
        }
        record.silent_since = self.last_maintenance_at;
        self.save_runs_on(worker);
        true
    }

    /// Applies the clock reading in a worker's answer to a start. Returns whether it belongs to the known
    /// incarnation: a start may reach a later incarnation before any poll does.
    fn note_start_contact(
        &mut self,
        start: &order::StartOrder,
        clock_ms: u64,
        now: Duration,
    ) -> bool {
        let Some(record) = self.workers.get(&start.worker) else { return false };
        if record.generation != start.generation {
            return false;
        }
        if record.clock.shows_reset(clock_ms, start.ordered_at) {
            self.note_missed_exchange(&start.worker);
            return false;
        }
        self.note_contact(&start.worker, clock_ms, now);
        true
    }

    pub(crate) fn note_contact(&mut self, worker: &ids::WorkerId, clock_ms: u64, now: Duration) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.clock.observe(now, clock_ms);
            record.last_contact_at = now;
        }
    }

    /// The task's current run, if it is this attempt on this worker.
    fn run_of(
        &mut self,
        worker: &ids::WorkerId,
        key: task_key::TaskKey,
        attempt: u32,
    ) -> Option<&mut job::TaskRun> {
        let task = self.jobs.get_mut(&key.graph)?.task_mut(key)?;
        task.run.as_mut().filter(|it| it.worker == *worker && it.attempt == attempt)
    }

    fn log_start(&self, start: &order::StartOrder, outcome: &str) {
        tracing::info!(
            job = format_args!("{:016x}", start.task.graph),
            task = %start.task,
            attempt = start.attempt,
            worker = start.worker,
            outcome,
            "start without effect or answer"
        );
    }
}
