//! What workers answer to starts and stops.

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::order;
use crate::pace;
use crate::task_key;
use crate::wait_timer;

/// Wait before a worker that had no room although the book says so is used again. The next look
/// shows what runs there, within a second.
const ROOM_PAUSE: Duration = Duration::from_millis(400);

/// Wait before a worker that refused as unwell, or could not be reached, is used again.
const UNWELL_PAUSE: Duration = Duration::from_secs(1);

impl core::PoolCore {
    /// Takes in what became of a start.
    pub fn start_answered(
        &mut self,
        start: &order::StartOrder,
        answer: order::StartAnswer,
        now: Duration,
    ) {
        match answer {
            order::StartAnswer::Started { clock_ms } => {
                let is_confirmed_by_incarnation = self.start_heard(start, clock_ms, now);
                self.start_confirmed(start, is_confirmed_by_incarnation, now);
            }
            order::StartAnswer::Refused(refusal) => self.start_refused(start, refusal, now),
            order::StartAnswer::NotSent => {
                self.log_start(start, "not sent");
                self.note_missed_exchange(&start.worker);
                self.withdraw(start, now);
            }
            order::StartAnswer::Unknown => {
                self.log_start(start, "no answer");
                self.note_missed_exchange(&start.worker);
                self.start_unclear(start, now);
            }
            order::StartAnswer::Replaced => {
                self.worker_replaced(&start.worker, &start.address, now);
                // Where the worker has moved meanwhile, another sending of the start may have reached it.
                self.start_unclear(start, now);
            }
        }
    }

    /// Takes in whether a worker has answered a stop.
    pub fn stop_answered(&mut self, stop: &order::StopOrder, acked: bool, now: Duration) {
        // What a life that is over has answered bars nothing in the one that is there now.
        if !self.is_current_generation(&stop.worker, stop.generation) {
            return;
        }
        if !acked {
            self.note_missed_exchange(&stop.worker);
            return;
        }
        let Some(run) = self.run_of(&stop.worker, stop.task, stop.attempt) else { return };
        let is_confirmed = run.is_confirmed;
        if let job::RunPhase::Stopping { stop_acked_at, .. } = &mut run.phase {
            stop_acked_at.get_or_insert(now);
            if !is_confirmed {
                // It may never have started, and then no end is listed: only a look tells.
                self.order_poll(&stop.worker);
            }
        }
    }

    /// A worker refused what was meant for its life `generation`, for a higher fencing token: a later
    /// scheduler's, or our own where a later life has been found meanwhile. Tells whether it is the
    /// former.
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

    /// Whatever was under way to a worker, or waited for it, may have left or not.
    pub fn session_failed(&mut self, worker: &ids::WorkerId, now: Duration) {
        let runs = self.workers.get(worker).map(|it| it.runs.clone()).unwrap_or_default();
        for key in runs {
            let Some(run) = self.task_record_mut(key).and_then(|it| it.run.as_mut()) else {
                continue;
            };
            if run.phase == job::RunPhase::Ordered {
                run.phase = job::RunPhase::Unclear { since: now };
            }
        }
        self.note_missed_exchange(worker);
    }

    /// Nobody knows whether a start takes effect.
    fn start_unclear(&mut self, start: &order::StartOrder, now: Duration) {
        let Some(run) = self.run_of(&start.worker, start.task, start.attempt) else { return };
        if run.phase == job::RunPhase::Ordered {
            run.phase = job::RunPhase::Unclear { since: now };
            self.order_poll(&start.worker);
        }
    }

    /// Notes that a run has begun, where it does not wait for other members of its gang.
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
        let look = order::PoolOrder::Poll { worker: worker.clone() };
        if self.orders.last() != Some(&look) {
            self.orders.push(look);
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
                if !self.note_fenced_off(&start.worker, start.generation) {
                    self.withdraw(start, now);
                }
                return;
            }
            order::StartRefusal::Old => Duration::ZERO,
            order::StartRefusal::Late | order::StartRefusal::Room => ROOM_PAUSE,
            order::StartRefusal::Unwell => UNWELL_PAUSE,
        };
        if let Some(worker) = self.workers.get_mut(&start.worker) {
            worker.paused_until = worker.paused_until.max(now + pause);
        }
        tracing::info!(worker = start.worker, ?refusal, "start refused");
        self.order_poll(&start.worker);
        self.withdraw(start, now);
    }

    /// A start that certainly had no effect is taken back.
    fn withdraw(&mut self, start: &order::StartOrder, now: Duration) {
        if self.run_of(&start.worker, start.task, start.attempt).is_some() {
            self.release_run(start.task, now);
        }
    }

    /// Nobody knows whether the worker is still in the life that is known: it has to answer a look
    /// before it gets new tasks, and before ends are acknowledged. One look is asked for, and the
    /// session with the worker asks again: with one for each of many starts that had no answer, the
    /// orders behind them would wait for looks that have none either.
    pub(crate) fn note_missed_exchange(&mut self, worker: &ids::WorkerId) {
        if self.count_missed_exchange(worker) {
            self.order_poll(worker);
        }
    }

    /// Takes note of an exchange that had no answer. Tells whether it is the first behind an answer.
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

    /// Takes in the clock of a worker that has answered a start, and tells whether it is the known
    /// life's. A start may reach a later life before any look has.
    fn start_heard(&mut self, start: &order::StartOrder, clock_ms: u64, now: Duration) -> bool {
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

    /// The run of that attempt on that worker, as long as it is the task's.
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
