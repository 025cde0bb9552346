//! What workers list: the truth about what runs where.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_schema::ids;

use crate::ack_window;
use crate::core;
use crate::job;
use crate::order;
use crate::pace;
use crate::preemption;
use crate::task_key;
use crate::worker;
use crate::worker_restarts;

/// A worker with tasks is looked at this often even if nothing ends, to see progress and hangs.
const BUSY_WAIT: Duration = Duration::from_millis(1_000);

/// A worker with urgent tasks is looked at this often: whether it has turned slow has to show while
/// there is time to start them elsewhere.
const URGENT_WAIT: Duration = Duration::from_millis(500);

/// An idle worker is looked at this often; the longest wait that workers allow is 2 s.
const IDLE_WAIT: Duration = Duration::from_millis(2_000);

/// Up to this many workers are looked at as often as the waits say; more of them less often, so that
/// the looks stay within what a small instance can do: 100 a second take 8 ms of a core.
const FEW_WORKERS: u32 = 100;

/// A start counts as refused for its deadline this much behind it: what runs and what the clock shows may
/// not be of quite the same moment.
pub(crate) const START_DEADLINE_SLACK: Duration = Duration::from_millis(100);

/// Wait before a stop is sent again to a worker that lists the run still.
const STRAY_AGAIN: Duration = Duration::from_millis(500);

impl core::PoolCore {
    /// How to look at a worker next; nothing where it is no longer known.
    pub fn next_poll(
        &mut self,
        worker: &ids::WorkerId,
        now: Duration,
    ) -> Option<order::PollRequest> {
        let lease = self.timing.lease;
        let busy_wait = if self.has_urgent(worker) { URGENT_WAIT } else { BUSY_WAIT };
        let n_workers = self.workers.len() as u32;
        let busy_wait = (busy_wait * n_workers.max(FEW_WORKERS) / FEW_WORKERS).min(IDLE_WAIT);
        let record = self.workers.get_mut(worker)?;
        // To a worker that does not answer no new deadline is sent: it would move the moment
        // on from which its tasks have surely lapsed.
        let answers = record.is_responsive();
        let deadline_ms = if answers { record.clock.deadline_in(now, lease) } else { None };
        let ack = record.next_ack(now);
        let has_runs = !record.runs.is_empty() || !record.unwanted_runs.is_empty();
        let wait = match (answers, has_runs) {
            // Ends that are not durable yet are listed again at once.
            _ if !record.unsaved_ends.is_empty() => Duration::ZERO,
            _ if ack == ack_window::EndAck::VerifyFirst => Duration::ZERO,
            (false, _) => Duration::ZERO,
            (true, true) => busy_wait,
            (true, false) => IDLE_WAIT,
        };
        record.ack_window.poll_sent(wait, ack);
        Some(order::PollRequest {
            address: record.entry.address.clone(),
            generation: record.generation,
            deadline_ms,
            last_seen: ack.last_acknowledged(),
            wait,
        })
    }

    fn has_urgent(&self, worker: &ids::WorkerId) -> bool {
        let runs = self.workers.get(worker).map(|it| &it.runs);
        let mut jobs = runs.into_iter().flatten().filter_map(|it| self.jobs.get(&it.graph));
        jobs.any(|it| it.priority == preemption::URGENT_PRIORITY)
    }

    /// Whether ends of the worker wait to become durable.
    pub fn has_unsaved_ends(&self, worker: &ids::WorkerId) -> bool {
        self.workers.get(worker).is_some_and(|it| !it.unsaved_ends.is_empty())
    }

    /// A look at a worker had no answer.
    pub fn poll_missed(&mut self, worker: &ids::WorkerId) {
        if self.count_missed_exchange(worker) {
            let n_runs = self.workers.get(worker).map_or(0, |it| it.runs.len());
            tracing::info!(worker, n_runs, "worker does not answer");
        }
    }

    /// Takes in what a worker lists, in answer to a look sent at `sent_at`.
    pub fn poll_answered(
        &mut self,
        worker: &ids::WorkerId,
        listed: order::PollReply,
        sent_at: Duration,
        now: Duration,
    ) {
        let Some(record) = self.workers.get(worker) else { return };
        let life = record.incarnation_of_answer(&listed, sent_at);
        if life == worker_restarts::AnswerIncarnation::Earlier {
            tracing::debug!(worker, "an answer of a former life is passed over");
            return;
        }
        if record.n_missed_calls > 1 {
            tracing::info!(worker, n_missed = record.n_missed_calls, "worker answers again");
        }
        if life == worker_restarts::AnswerIncarnation::Later {
            self.worker_restarted(worker, &listed, now);
        }
        let Some(record) = self.workers.get_mut(worker) else { return };
        record.incarnation = listed.incarnation.or(record.incarnation);
        record.n_missed_calls = 0;
        record.has_lapsed = false;
        record.ack_window.poll_answered(sent_at, now);
        record.lowest_listed_end = listed.ended.first().map(|it| it.number);
        let is_first = !record.fenced;
        record.fenced = true;
        self.withdraw_silence_note(worker);
        self.note_contact(worker, listed.clock_ms, now);
        if is_first {
            self.adopt_lease(worker, life);
        }
        for end in listed.ended {
            self.take_end_in_order(worker, end, now);
        }
        let running = listed.running.iter().map(|it| (it.task, it.attempt));
        let running = running.collect::<BTreeMap<_, _>>();
        let listed_at = ListedAt { clock: Duration::from_millis(listed.clock_ms), sent_at, now };
        for run in listed.running {
            self.take_running(worker, run, listed_at);
        }
        if listed.complete {
            self.take_missing(worker, &running, listed_at);
        }
        self.detect_slow_worker(worker, now);
    }

    /// An earlier scheduler may have extended the lease just before; and a life that was not known yet
    /// may have been given a deadline by the clock of the former one.
    fn adopt_lease(&mut self, worker: &ids::WorkerId, life: worker_restarts::AnswerIncarnation) {
        let lease = match life {
            worker_restarts::AnswerIncarnation::Later => self.timing.longest_lease,
            _ => self.timing.lease,
        };
        if let Some(record) = self.workers.get_mut(worker) {
            record.clock.assume_deadline(lease);
        }
    }

    fn take_end_in_order(&mut self, worker: &ids::WorkerId, end: order::ListedEnd, now: Duration) {
        let Some(record) = self.workers.get_mut(worker) else { return };
        if end.number <= record.highest_seen_end {
            return;
        }
        record.highest_seen_end = end.number;
        let number = end.number;
        let mark = self.take_end(worker, end, now);
        if let Some(record) = self.workers.get_mut(worker) {
            record.unsaved_ends.push_back(worker::UnsavedEnd { number, change: mark });
            record.advance_acknowledged(&self.unsaved);
        }
    }

    fn take_running(&mut self, worker: &ids::WorkerId, run: order::ListedRun, at: ListedAt) {
        match self.classify(worker, &run) {
            RunClass::Expected => self.update_run(run, at),
            RunClass::Unknown => self.adopt_run(worker, run, at),
            RunClass::Unwanted => self.stop_stray(worker, &run, at.now),
        }
    }

    fn classify(&self, worker: &ids::WorkerId, run: &order::ListedRun) -> RunClass {
        let Some(job) = self.jobs.get(&run.task.graph) else { return RunClass::Unwanted };
        let Some(task) = job.task(run.task) else { return RunClass::Unwanted };
        if let Some(known) = &task.run {
            let is_it = known.worker == *worker && known.attempt == run.attempt;
            return if is_it { RunClass::Expected } else { RunClass::Unwanted };
        }
        let is_new = run.attempt > task.ended_attempt;
        if job.inherited && !job.has_ended() && !task.done && is_new {
            return RunClass::Unknown;
        }
        RunClass::Unwanted
    }

    fn update_run(&mut self, listed: order::ListedRun, at: ListedAt) {
        let ListedAt { clock, now, .. } = at;
        let usual = self.class_pace(listed.task).or_else(|| self.sibling_pace(listed.task));
        let key = listed.task;
        let Some(job) = self.jobs.get_mut(&listed.task.graph) else { return };
        let has_comparable_run_time = job.has_comparable_run_time(key);
        let Some(task) = job.task_mut(listed.task) else { return };
        let Some(run) = task.run.as_mut() else { return };
        run.is_confirmed = true;
        run.is_confirmed_by_incarnation = true;
        let attempt = run.attempt;
        let mut has_begun = false;
        if matches!(run.phase, job::RunPhase::Ordered | job::RunPhase::Unclear { .. }) {
            run.phase = job::RunPhase::Running { confirmed_at: now };
            run.percent_changed_at = now;
            has_begun = true;
        }
        let first_confirmed_clock = *run.first_confirmed_clock.get_or_insert(clock);
        run.pace.observe(clock, listed.percent, usual);
        if run.percent != listed.percent {
            run.percent = listed.percent;
            run.percent_changed_at = now;
        }
        if listed.checkpoint.is_some() && listed.checkpoint != task.checkpoint {
            task.checkpoint = listed.checkpoint;
        }
        if has_comparable_run_time {
            task.suspicion.record_survival(clock.saturating_sub(first_confirmed_clock));
        }
        if has_begun {
            self.note_run_start(key, now);
        }
        if self.withdraw_loss(key, attempt) {
            self.mark_task_changed(key);
        }
    }

    /// A run that an earlier scheduler has ordered goes on.
    fn adopt_run(&mut self, worker: &ids::WorkerId, listed: order::ListedRun, at: ListedAt) {
        let ListedAt { clock, now, .. } = at;
        let Some(job) = self.jobs.get_mut(&listed.task.graph) else { return };
        job.started = true;
        job.state = almondpass_schema::model::GraphState::Running;
        let Some(step) = job.step_mut(listed.task) else { return };
        let room = step.task_resources();
        let Some(task) = step.tasks.get_mut(listed.task.task as usize) else { return };
        task.attempt = task.attempt.max(listed.attempt);
        if listed.checkpoint.is_some() {
            task.checkpoint = listed.checkpoint;
        }
        task.run = Some(job::TaskRun {
            worker: worker.clone(),
            attempt: listed.attempt,
            phase: job::RunPhase::Running { confirmed_at: now },
            start_deadline: None,
            is_confirmed: true,
            is_reported_overdue: false,
            is_confirmed_by_incarnation: true,
            is_remote: false,
            is_from_scratch: false,
            tracked_since: now,
            percent: listed.percent,
            percent_changed_at: now,
            pace: pace::RunPace::new(clock, listed.percent),
            first_confirmed_clock: Some(clock),
        });
        if task.suspicion.inherited_attempt == Some(listed.attempt) {
            task.suspicion.saved_attempt = task.suspicion.inherited_attempt.take();
        }
        let needs_isolation = task.suspicion.needs_isolation();
        if let Some(record) = self.workers.get_mut(worker) {
            record.runs.insert(listed.task);
            record.used = record.used.plus(room);
            // Where others run already, none joins them.
            if needs_isolation {
                record.isolated_runs.insert(listed.task);
            }
        }
    }

    fn stop_stray(&mut self, worker: &ids::WorkerId, run: &order::ListedRun, now: Duration) {
        let job = self.jobs.get(&run.task.graph);
        let room = job.and_then(|it| it.step(run.task)).map(job::StepRecord::task_resources);
        let Some(record) = self.workers.get_mut(worker) else { return };
        let room = room.unwrap_or(record.entry.capacity);
        let fresh =
            worker::UnwantedRun { attempt: run.attempt, resources: room, stop_sent_at: None };
        let stray = record.unwanted_runs.entry(run.task).or_insert(fresh);
        stray.attempt = stray.attempt.max(run.attempt);
        if stray.stop_sent_at.is_some_and(|it| now < it + STRAY_AGAIN) {
            return;
        }
        stray.stop_sent_at = Some(now);
        let attempt = stray.attempt;
        tracing::info!(
            job = format_args!("{:016x}", run.task.graph),
            task = %run.task,
            attempt,
            worker,
            "unwanted run is stopped"
        );
        self.order_stop(worker.clone(), run.task, attempt);
    }

    /// Runs that a worker does not list, although the look was sent after they were settled.
    fn take_missing(
        &mut self,
        worker: &ids::WorkerId,
        running: &BTreeMap<task_key::TaskKey, u32>,
        at: ListedAt,
    ) {
        let Some(record) = self.workers.get_mut(worker) else { return };
        record.unwanted_runs.retain(|key, _| running.contains_key(key));
        let missing = record.runs.iter().filter(|it| !running.contains_key(it));
        for key in missing.copied().collect::<Vec<_>>() {
            self.take_missing_run(key, at);
        }
    }

    fn take_missing_run(&mut self, key: task_key::TaskKey, at: ListedAt) {
        let ListedAt { sent_at, now, .. } = at;
        let Some(job) = self.jobs.get(&key.graph) else { return };
        let Some(run) = job.task(key).and_then(|it| it.run.as_ref()) else { return };
        match run.phase {
            job::RunPhase::Stopping { stop_acked_at: Some(stop_acked_at), .. }
                if sent_at > stop_acked_at =>
            {
                self.release_run(key, now);
            }
            job::RunPhase::Running { confirmed_at } if sent_at > confirmed_at => {
                let worker = run.worker.clone();
                let record = self.workers.get(&worker);
                tracing::warn!(
                    job = format_args!("{:016x}", key.graph),
                    task = %key,
                    attempt = run.attempt,
                    worker,
                    incarnation = record.and_then(|it| it.incarnation),
                    acknowledged = record.map(|it| it.acknowledged),
                    "run is gone without an end"
                );
                self.release_run(key, now);
            }
            // Its answer is still to come.
            job::RunPhase::Ordered | job::RunPhase::Running { .. } => {}
            _ if self.is_start_over(key, run, at) => {
                tracing::info!(
                    job = format_args!("{:016x}", key.graph),
                    task = %key,
                    attempt = run.attempt,
                    worker = run.worker,
                    belief = run.phase.name(),
                    "start has not taken effect by its deadline"
                );
                self.release_run(key, now);
            }
            // It has not come yet and may come later: a stop makes the worker refuse it then.
            job::RunPhase::Unclear { since } if sent_at > since => self.stop_run(key, now),
            _ => {}
        }
    }

    /// Whether a run that is not listed can't begin any more: the life that it was meant for is behind its
    /// deadline. Without it a worker that answers no stop would keep the task for as long as it does so.
    /// A later life has another clock: there it is over once a lease has surely lapsed, had that life taken it.
    fn is_start_over(&self, key: task_key::TaskKey, run: &job::TaskRun, at: ListedAt) -> bool {
        let (Some(start), Some(record)) = (run.start_deadline, self.workers.get(&run.worker))
        else {
            return false;
        };
        if start.generation != record.generation {
            return !run.is_confirmed_by_incarnation && self.has_surely_lapsed(key, at.sent_at);
        }
        let over_at = Duration::from_millis(start.deadline_ms).saturating_add(START_DEADLINE_SLACK);
        at.clock > over_at
    }
}

/// When a worker listed something.
#[derive(Clone, Copy, Debug)]
struct ListedAt {
    /// By the worker's clock.
    clock: Duration,
    /// When the look was sent, by ours.
    sent_at: Duration,
    /// When it was taken in, by ours.
    now: Duration,
}

enum RunClass {
    Expected,
    Unknown,
    Unwanted,
}
