//! Polls of workers and their answers. A worker's answer lists its runs and ends, and overrides
//! what the scheduler has recorded of that worker.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_schema::ids;

use crate::ack_window;
use crate::core;
use crate::job;
use crate::order;
use crate::pace;
use crate::preemption;
use crate::step_speeds;
use crate::stop_reason;
use crate::task_ends;
use crate::task_key;
use crate::worker;
use crate::worker_restarts;

/// Interval of polls to a worker with tasks, unless an end makes it answer earlier; bounds how late
/// progress and stalls are noticed.
const BUSY_POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Interval of polls to a worker with urgent tasks. It has to show that the worker has become slow
/// while there is time to start them elsewhere.
const URGENT_POLL_WAIT: Duration = Duration::from_millis(500);

/// Interval of polls to an idle worker; the longest wait that workers allow is 2 s.
const IDLE_POLL_WAIT: Duration = Duration::from_millis(2_000);

/// Up to this many workers are polled at the intervals above. With more workers the intervals grow
/// in proportion, so that the polls stay within what a small instance can do: 100 polls a second
/// take 8 ms of a core.
const FULL_RATE_WORKERS: u32 = 100;

/// A start counts as refused for its deadline only this long after the deadline: the worker's list
/// of runs and its clock reading may not be taken at quite the same moment.
pub(crate) const START_DEADLINE_SLACK: Duration = Duration::from_millis(100);

/// Interval between stops of an unwanted run that the worker still lists.
const UNWANTED_STOP_INTERVAL: Duration = Duration::from_millis(500);

impl core::PoolCore {
    /// The next poll to send to a worker; `None` if the worker is not known any more.
    pub fn next_poll(
        &mut self,
        worker: &ids::WorkerId,
        now: Duration,
    ) -> Option<order::PollRequest> {
        let lease = self.timing.lease;
        let busy_wait =
            if self.has_urgent_task(worker) { URGENT_POLL_WAIT } else { BUSY_POLL_WAIT };
        let n_workers = self.workers.len() as u32;
        let busy_wait =
            (busy_wait * n_workers.max(FULL_RATE_WORKERS) / FULL_RATE_WORKERS).min(IDLE_POLL_WAIT);
        let record = self.workers.get_mut(worker)?;
        // A worker that does not answer gets no new deadline: it would postpone the time at which
        // its tasks have surely lapsed.
        let is_responsive = record.is_responsive();
        let deadline_ms = if is_responsive { record.clock.deadline_in(now, lease) } else { None };
        let ack = record.next_ack(now);
        let has_runs = !record.runs.is_empty() || !record.unwanted_runs.is_empty();
        let wait = match (is_responsive, has_runs) {
            // Ends that are not durable yet stay unacknowledged, so the worker lists them again at once.
            _ if !record.unsaved_ends.is_empty() => Duration::ZERO,
            _ if ack == ack_window::EndAck::VerifyFirst => Duration::ZERO,
            (false, _) => Duration::ZERO,
            (true, true) => busy_wait,
            (true, false) => IDLE_POLL_WAIT,
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

    fn has_urgent_task(&self, worker: &ids::WorkerId) -> bool {
        let runs = self.workers.get(worker).map(|it| &it.runs);
        let mut jobs = runs.into_iter().flatten().filter_map(|it| self.jobs.get(&it.graph));
        jobs.any(|it| it.priority == preemption::URGENT_PRIORITY)
    }

    /// Whether ends that the worker listed wait for their changes to become durable.
    pub fn has_unsaved_ends(&self, worker: &ids::WorkerId) -> bool {
        self.workers.get(worker).is_some_and(|it| !it.unsaved_ends.is_empty())
    }

    /// Records that a poll had no answer.
    pub fn poll_missed(&mut self, worker: &ids::WorkerId) {
        if self.count_missed_exchange(worker) {
            let n_runs = self.workers.get(worker).map_or(0, |it| it.runs.len());
            tracing::info!(worker, n_runs, "worker does not answer");
        }
    }

    /// Applies a worker's answer to the poll that was sent at `sent_at`.
    pub fn poll_answered(
        &mut self,
        worker: &ids::WorkerId,
        listed: order::PollReply,
        sent_at: Duration,
        now: Duration,
    ) {
        let Some(record) = self.workers.get(worker) else { return };
        let incarnation_of_answer = record.incarnation_of_answer(&listed, sent_at);
        if incarnation_of_answer == worker_restarts::AnswerIncarnation::Earlier {
            tracing::debug!(worker, "ignored an answer of an earlier incarnation");
            return;
        }
        if record.n_missed_calls > 1 {
            tracing::info!(worker, n_missed = record.n_missed_calls, "worker answers again");
        }
        if incarnation_of_answer == worker_restarts::AnswerIncarnation::Later {
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
        record.has_listed_all |= listed.complete;
        if is_first {
            record.drop_speed_of_other_incarnation();
        }
        self.withdraw_silence_note(worker);
        self.note_contact(worker, listed.clock_ms, now);
        if is_first {
            self.adopt_lease(worker, incarnation_of_answer);
        }
        for end in listed.ended {
            self.process_new_end(worker, end, now);
        }
        let running = listed.running.iter().map(|it| (it.task, it.attempt));
        let running = running.collect::<BTreeMap<_, _>>();
        let answer_times =
            AnswerTimes { clock: Duration::from_millis(listed.clock_ms), sent_at, now };
        for run in listed.running {
            self.process_listed_run(worker, run, answer_times);
        }
        if listed.complete {
            self.process_missing_runs(worker, &running, answer_times);
            self.settle_starts_at(worker);
        }
        self.detect_slow_worker(worker, now);
    }

    /// Assumes the longest lease that the worker may hold at its first answer. An earlier scheduler
    /// may have extended the lease just before; a later incarnation may have been given a deadline
    /// by the clock of the earlier one.
    fn adopt_lease(
        &mut self,
        worker: &ids::WorkerId,
        incarnation_of_answer: worker_restarts::AnswerIncarnation,
    ) {
        let lease = match incarnation_of_answer {
            worker_restarts::AnswerIncarnation::Later => self.timing.longest_lease,
            _ => self.timing.lease,
        };
        if let Some(record) = self.workers.get_mut(worker) {
            record.clock.assume_deadline(lease);
        }
    }

    fn process_new_end(&mut self, worker: &ids::WorkerId, end: order::ListedEnd, now: Duration) {
        let Some(record) = self.workers.get_mut(worker) else { return };
        if end.number <= record.highest_seen_end {
            return;
        }
        record.highest_seen_end = end.number;
        let change = self.apply_end(worker, &end, task_ends::EndSource::Worker, now);
        if let Some(record) = self.workers.get_mut(worker) {
            record.unsaved_ends.push_back(worker::UnsavedEnd { end, change });
            record.advance_acknowledged(&self.unsaved);
        }
    }

    fn process_listed_run(
        &mut self,
        worker: &ids::WorkerId,
        run: order::ListedRun,
        at: AnswerTimes,
    ) {
        self.begin_run_of(run.task);
        match self.classify(worker, &run) {
            RunClass::Expected => self.update_run(run, at),
            RunClass::Unknown => self.adopt_run(worker, run, at),
            RunClass::Unwanted => self.stop_unwanted_run(worker, &run, at.now),
        }
    }

    fn classify(&self, worker: &ids::WorkerId, run: &order::ListedRun) -> RunClass {
        let Some(job) = self.jobs.get(&run.task.graph) else { return RunClass::Unwanted };
        let Some(task) = job.task(run.task) else { return RunClass::Unwanted };
        if let Some(known) = &task.run {
            let is_same_run = known.worker == *worker && known.attempt == run.attempt;
            return if is_same_run { RunClass::Expected } else { RunClass::Unwanted };
        }
        let is_new = run.attempt > task.ended_attempt;
        if job.inherited && !job.has_ended() && !task.done && is_new {
            return RunClass::Unknown;
        }
        RunClass::Unwanted
    }

    fn update_run(&mut self, listed: order::ListedRun, at: AnswerTimes) {
        let AnswerTimes { clock, now, .. } = at;
        let expected_pace = self.class_pace(listed.task).or_else(|| self.sibling_pace(listed.task));
        let key = listed.task;
        let Some(job) = self.jobs.get_mut(&listed.task.graph) else { return };
        job.note_started();
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
        run.pace.observe(clock, listed.percent, expected_pace);
        let has_unsampled_pace = if self.scheduling.remember_speeds {
            step_speeds::has_new_sample(run)
        } else {
            !run.is_speed_sampled && run.pace.measured().is_some()
        };
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
        if has_unsampled_pace {
            self.sample_speeds(key);
        }
    }

    /// Continues a run that an earlier scheduler ordered.
    fn adopt_run(&mut self, worker: &ids::WorkerId, listed: order::ListedRun, at: AnswerTimes) {
        let AnswerTimes { clock, now, .. } = at;
        let Some(job) = self.jobs.get_mut(&listed.task.graph) else { return };
        job.note_started();
        let Some(step) = job.step_mut(listed.task) else { return };
        let resources = step.task_resources();
        let Some(task) = step.tasks.get_mut(listed.task.task as usize) else { return };
        task.attempt = task.attempt.max(listed.attempt);
        let is_start_withdrawn = task.withdraw_planned_start(now);
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
            is_polled_early: false,
            move_tried_at: None,
            is_speed_sampled: false,
            speed_sample: None,
            first_confirmed_clock: Some(clock),
        });
        if task.suspicion.inherited_attempt() == Some(listed.attempt) {
            task.suspicion.saved_start = task.suspicion.inherited_start.take();
        }
        let needs_isolation = task.suspicion.needs_isolation();
        if let Some(record) = self.workers.get_mut(worker) {
            record.runs.insert(listed.task);
            record.used = record.used.plus(resources);
            // Runs that are on the worker already go on, but no other run joins an isolated one.
            if needs_isolation {
                record.isolated_runs.insert(listed.task);
            }
        }
        if is_start_withdrawn {
            self.mark_task_changed(listed.task);
        }
    }

    fn stop_unwanted_run(&mut self, worker: &ids::WorkerId, run: &order::ListedRun, now: Duration) {
        let job = self.jobs.get(&run.task.graph);
        let resources = job.and_then(|it| it.step(run.task)).map(job::StepRecord::task_resources);
        let Some(record) = self.workers.get_mut(worker) else { return };
        let resources = resources.unwrap_or(record.entry.capacity);
        let first_listed =
            worker::UnwantedRun { attempt: run.attempt, resources, stop_sent_at: None };
        let unwanted = record.unwanted_runs.entry(run.task).or_insert(first_listed);
        unwanted.attempt = unwanted.attempt.max(run.attempt);
        if unwanted.stop_sent_at.is_some_and(|it| now < it + UNWANTED_STOP_INTERVAL) {
            return;
        }
        unwanted.stop_sent_at = Some(now);
        let attempt = unwanted.attempt;
        tracing::info!(
            job = format_args!("{:016x}", run.task.graph),
            task = %run.task,
            attempt,
            worker,
            "stopping an unwanted run"
        );
        self.order_stop(worker.clone(), run.task, attempt);
    }

    /// Settles runs that the worker does not list although the poll was sent after their last
    /// confirmation.
    fn process_missing_runs(
        &mut self,
        worker: &ids::WorkerId,
        running: &BTreeMap<task_key::TaskKey, u32>,
        at: AnswerTimes,
    ) {
        let Some(record) = self.workers.get_mut(worker) else { return };
        record.unwanted_runs.retain(|key, _| running.contains_key(key));
        let missing = record.runs.iter().filter(|it| !running.contains_key(it));
        for key in missing.copied().collect::<Vec<_>>() {
            self.process_missing_run(key, at);
        }
    }

    fn process_missing_run(&mut self, key: task_key::TaskKey, at: AnswerTimes) {
        let AnswerTimes { sent_at, now, .. } = at;
        let Some(job) = self.jobs.get(&key.graph) else { return };
        let Some(run) = job.task(key).and_then(|it| it.run.as_ref()) else { return };
        match run.phase {
            job::RunPhase::Stopping { stop_acked_at: Some(stop_acked_at), .. }
                if sent_at > stop_acked_at =>
            {
                self.release_run_without_end(key, now);
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
                self.release_run_without_end(key, now);
            }
            // The answer to the start, or a poll sent after the run was confirmed, is still to
            // come.
            job::RunPhase::Ordered | job::RunPhase::Running { .. } => {}
            _ if self.has_start_expired(key, run, at) => {
                tracing::info!(
                    job = format_args!("{:016x}", key.graph),
                    task = %key,
                    attempt = run.attempt,
                    worker = run.worker,
                    belief = run.phase.name(),
                    "start did not take effect by its deadline"
                );
                self.release_run_without_end(key, now);
            }
            // The start may still arrive after this answer: a stop makes the worker refuse it.
            job::RunPhase::Unclear { since } if sent_at > since => {
                self.stop_run(key, stop_reason::StopReason::UnclearStart, now);
            }
            _ => {}
        }
    }

    /// Whether a run that the worker does not list can't begin any more, because the clock of the
    /// incarnation for which the start was meant has passed the start's deadline. Without this
    /// check a worker that answers polls but no stops would keep the task for as long as it does
    /// so. The deadline says nothing on the clock of a later incarnation: there the run is over
    /// once the lease would have lapsed if that incarnation had taken the start.
    fn has_start_expired(
        &self,
        key: task_key::TaskKey,
        run: &job::TaskRun,
        at: AnswerTimes,
    ) -> bool {
        let (Some(start), Some(record)) = (run.start_deadline, self.workers.get(&run.worker))
        else {
            return false;
        };
        if start.generation != record.generation {
            return !run.is_confirmed_by_incarnation && self.has_surely_lapsed(key, at.sent_at);
        }
        let expires_at =
            Duration::from_millis(start.deadline_ms).saturating_add(START_DEADLINE_SLACK);
        at.clock > expires_at
    }
}

/// The times of a worker's answer to a poll.
#[derive(Clone, Copy, Debug)]
struct AnswerTimes {
    /// Reading of the worker's clock in the answer.
    clock: Duration,
    /// When the poll was sent, by the scheduler's clock.
    sent_at: Duration,
    /// When the answer was processed, by the scheduler's clock.
    now: Duration,
}

enum RunClass {
    Expected,
    Unknown,
    Unwanted,
}
